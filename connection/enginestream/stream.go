package enginestream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"time"

	"github.com/cresspond/cresspond/request/dispatch"
	"github.com/cresspond/cresspond/request/relay"
)

// relayStream passes the engine's lines on, each checked, until the final one or the first fault.
func relayStream(ctx context.Context, attempt Attempt, raw net.Conn, stream io.Reader, end time.Time) Result {
	checker := relay.NewChecker(attempt.Attempt)
	lines := bufio.NewReaderSize(stream, 4096)
	broken := func(reason string, isJunk bool) Result {
		outcome := dispatch.BrokenOff
		if checker.Chunks() == 0 {
			outcome = dispatch.Lost
		}
		if ctx.Err() != nil {
			outcome = dispatch.ClientDisconnected
		}
		return Result{Outcome: outcome, Reason: reason, Malformed: isJunk && ctx.Err() == nil, Chunks: checker.Chunks()}
	}
	for {
		_ = raw.SetWriteDeadline(end)
		limit := time.Now().Add(attempt.StallTimeout)
		if limit.After(end) {
			limit = end
		}
		_ = raw.SetReadDeadline(limit)
		line, err := readLine(lines)
		if errors.Is(err, errLineTooLong) {
			return broken("the engine sent a line without end", true)
		}
		if err == io.EOF && len(line) == 0 {
			if checker.Complete() {
				return Result{Outcome: dispatch.Completed, Chunks: checker.Chunks()}
			}
			return broken("the engine ended the stream too early", true)
		}
		if err != nil {
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				return broken("the engine's stream stalled", true)
			}
			return broken("the engine's stream broke", false)
		}
		checked, reason := checker.Check(line)
		if reason != "" {
			return broken(reason, true)
		}
		if checker.Complete() {
			// The final line is passed on only once the engine's stream has ended properly.
			if _, err := lines.ReadByte(); err != io.EOF {
				return broken("the engine's stream did not end after its final line", true)
			}
		}
		if !attempt.Chunk(checked) {
			return Result{Outcome: dispatch.ClientDisconnected, Chunks: checker.Chunks()}
		}
		if checker.Complete() {
			return Result{Outcome: dispatch.Completed, Chunks: checker.Chunks()}
		}
	}
}

// errLineTooLong says that a line exceeds relay.MaxChunkBytes.
var errLineTooLong = errors.New("a line is too long")

func readLine(lines *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := lines.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > relay.MaxChunkBytes {
			return nil, errLineTooLong
		}
		if err != bufio.ErrBufferFull {
			return line, err
		}
	}
}

func isNetworkError(err error) bool {
	var network net.Error
	return errors.As(err, &network) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || strings.Contains(err.Error(), "closed")
}
