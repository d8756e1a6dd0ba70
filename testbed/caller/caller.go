// Package caller simulates callers: it sends one request over a connection of its own and records what came back on the
// wire.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cresspond/cresspond/testbed/journal"
	"github.com/cresspond/cresspond/wire/callerapi"
)

// Record is what a caller saw of one request. The names in JSON are those of calls.jsonl.
type Record struct {
	Attempt    string
	Daemon     string
	Request    callerapi.Generate
	Began, End time.Duration
	// Connected says that the connection was made, Sent that the complete request was written.
	Connected, Sent bool
	// GaveUp says that the caller closed the connection before it had its answer.
	GaveUp     bool
	Status     int
	Outcome    callerapi.Outcome
	Reason     string
	RetryAfter bool
	Chunks     int           `json:"Pieces"`
	FirstChunk time.Duration `json:"FirstPiece"`
	// Final: the final line arrived. CleanEnd: the HTTP message was complete.
	Final, CleanEnd bool
	// Faults lists what was wrong with the chunks: foreign, gap, splice.
	Faults []string
	Run    string
}

// Complete says that the caller has a complete answer.
func (r Record) Complete() bool {
	return r.Status == http.StatusOK && r.Final && r.CleanEnd && len(r.Faults) == 0
}

// Send sends one request over a connection of its own.
func Send(ctx context.Context, daemon, attempt string, request callerapi.Generate) (record Record) {
	record = Record{Attempt: attempt, Daemon: daemon, Request: request, Began: journal.Now()}
	defer func() { record.End, record.GaveUp = journal.Now(), ctx.Err() != nil && !record.Complete() }()
	dialer := net.Dialer{Timeout: 2 * time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", daemon)
	if err != nil {
		return record
	}
	defer conn.Close()
	record.Connected = true
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	body, err := json.Marshal(request)
	if err != nil {
		panic("broken invariant: a request cannot be encoded: " + err.Error())
	}
	// A guard against a hang; no finding rests on it.
	_ = conn.SetDeadline(time.Now().Add(2 * time.Minute))
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n%s: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		callerapi.PathGenerate, daemon, callerapi.HeaderAttempt, attempt, len(body), body); err != nil {
		return record
	}
	record.Sent = true
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return record
	}
	defer response.Body.Close()
	record.Status = response.StatusCode
	record.RetryAfter = response.Header.Get("Retry-After") != ""
	if response.StatusCode != http.StatusOK {
		data, err := io.ReadAll(response.Body)
		var word callerapi.Error
		if err == nil && json.Unmarshal(data, &word) == nil {
			record.Outcome, record.Reason, record.CleanEnd = word.Outcome, word.Reason, true
		}
		return record
	}
	record.follow(response.Body)
	return record
}

func (r *Record) follow(body io.Reader) {
	reader := bufio.NewReader(body)
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			r.CleanEnd = err == io.EOF && len(line) == 0
			return
		}
		var chunk callerapi.Piece
		if json.Unmarshal(bytes.TrimSpace(line), &chunk) != nil {
			r.Faults = append(r.Faults, "unreadable line")
			continue
		}
		if chunk.Outcome != "" {
			r.Outcome, r.Reason = chunk.Outcome, chunk.Reason
			continue
		}
		if chunk.Attempt != r.Attempt {
			r.Faults = append(r.Faults, "foreign piece")
		}
		if r.Final {
			r.Faults = append(r.Faults, "piece after the final line")
		}
		if chunk.Final {
			r.Final = true
			if chunk.Pieces != r.Chunks {
				r.Faults = append(r.Faults, "count")
			}
			continue
		}
		if r.Chunks == 0 {
			r.FirstChunk = journal.Now()
		}
		if chunk.N != r.Chunks {
			r.Faults = append(r.Faults, fmt.Sprintf("piece %d where %d was due", chunk.N, r.Chunks))
		}
		// The engine writes attempt, run and number into each chunk, so a splice shows even where the numbers fit.
		parts := strings.Split(strings.TrimSpace(chunk.Text), "/")
		switch {
		case len(parts) != 3 || parts[0] != r.Attempt || parts[2] != fmt.Sprint(r.Chunks):
			r.Faults = append(r.Faults, "foreign text")
		case r.Run != "" && parts[1] != r.Run:
			r.Faults = append(r.Faults, "splice")
		default:
			r.Run = parts[1]
		}
		r.Chunks++
	}
}
