package engine

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// faultWriter writes an answer's bytes and injects the fault of the request.
type faultWriter struct {
	*connection
	fault   *Fault
	written int
	arrival *history.Arrival
}

var errBrokenOff = errors.New("the answer was broken off")

func (o *faultWriter) Write(data []byte) (int, error) {
	if !o.gate.pass(o.ctx) {
		return 0, errBrokenOff
	}
	if o.fault != nil && (o.fault.Kind == Break || o.fault.Kind == Unresponsive) && o.written+len(data) > o.fault.At {
		cached := data[:max(0, o.fault.At-o.written)]
		if len(cached) > 0 {
			_, _ = o.conn.Write(cached)
		}
		o.written += len(cached)
		o.Recorder.Record(func(*history.History) { o.arrival.Broken = true })
		if o.fault.Kind == Unresponsive {
			o.stall()
			return 0, errBrokenOff
		}
		o.unusable = true
		if o.fault.Reset {
			reset(o.conn)
		} else {
			o.conn.Close()
		}
		return 0, errBrokenOff
	}
	count, err := o.conn.Write(data)
	o.written += count
	return count, err
}

// attemptHeader is the attempt id in the answer's header.
func (o *faultWriter) attemptHeader(attempt string) string {
	switch {
	case o.fault == nil:
	case o.fault.Kind == WrongAttemptID:
		o.Recorder.Record(func(*history.History) { o.arrival.Broken = true })
		return "f0" + attempt
	case o.fault.Kind == NoAttemptID:
		o.Recorder.Record(func(*history.History) { o.arrival.Broken = true })
		return ""
	}
	return attempt
}

// stall sends nothing until the caller closes or the incarnation ends.
func (c *connection) stall() {
	c.unusable = true
	select {
	case <-c.callerClosed:
	case <-c.ctx.Done():
	}
}

// writeHeader writes the status line and header of an answer; length -1 is chunked.
func (c *connection) writeHeader(w io.Writer, status int, header http.Header, attempt string, length int) error {
	response := http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: header, ContentLength: int64(length)}
	if attempt != "" {
		header.Set(protocol.Attempt, attempt)
	}
	if length < 0 {
		// net/http would add the chunked framing with the body; here the body is written later.
		header.Set("Transfer-Encoding", "chunked")
	} else {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	number := c.answers.Add(1)
	if c.draining.Load() || c.Config.CloseEach > 0 && number%int64(c.Config.CloseEach) == 0 {
		header.Set("Connection", "close")
		c.unusable = true
	} else if c.Config.AdvertiseIdle && c.Config.IdleClose >= time.Second {
		header.Set(protocol.KeepAlive, fmt.Sprintf("timeout=%d", int(c.Config.IdleClose/time.Second)))
	}
	var buffer bytes.Buffer
	fmt.Fprintf(&buffer, "HTTP/1.1 %03d %s\r\n", response.StatusCode, http.StatusText(status))
	if err := header.Write(&buffer); err != nil {
		return err
	}
	buffer.WriteString("\r\n")
	_, err := w.Write(buffer.Bytes())
	return err
}

// writeShort writes an answer to a request that was not executed.
func (c *connection) writeShort(w io.Writer, status int, header http.Header, attempt string, body []byte) bool {
	if c.writeHeader(w, status, header, attempt, len(body)) != nil {
		return false
	}
	if len(body) == 0 {
		return true
	}
	_, err := w.Write(body)
	return err == nil
}
