// Package client simulates the platform's clients: it sends and retries as the platform's protocol prescribes, over
// sockets of its own, and records each attempt with every byte that came back.
package client

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// Conn is one connection of a client.
type Conn struct {
	recorder *history.Recorder
	conn     *net.TCPConn
	reader   *bufio.Reader
	// Daemon names the machine that it leads to.
	Daemon string

	mutex sync.Mutex
	// awaited is the attempt whose answer is due; last is the one before.
	awaited, last *pending
	requestCount  int
	// readClosed is set where nothing more is read.
	readClosed bool
	ended      chan struct{}
	// closeAnnounced is set where the daemon wants it closed; idleDeadline is until when it may be idle.
	closeAnnounced bool
	idleDeadline   clock.Mark
}

// pending is an attempt in progress.
type pending struct {
	attempt *history.Attempt
	// method decides on the framing of the answer.
	method string
	done   chan struct{}
	// eventReceived signals each event, to detect a stalled stream.
	eventReceived chan struct{}
}

// Dial opens a connection, within the second that the platform's protocol gives.
func Dial(ctx context.Context, recorder *history.Recorder, daemon, address string) (*Conn, error) {
	dialer := net.Dialer{Timeout: time.Second}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &Conn{recorder: recorder, conn: raw.(*net.TCPConn), reader: bufio.NewReader(raw), Daemon: daemon, ended: make(chan struct{})}
	go c.read()
	return c, nil
}

// Close closes it.
func (c *Conn) Close() { c.conn.Close() }

// Usable says whether another request may be sent on it.
func (c *Conn) Usable() bool {
	select {
	case <-c.ended:
		return false
	default:
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.readClosed && !c.closeAnnounced && c.awaited == nil && (c.idleDeadline == 0 || c.recorder.Now() < c.idleDeadline)
}

// read reads answers as they arrive, and bytes that no request waits for.
func (c *Conn) read() {
	defer close(c.ended)
	defer c.conn.Close()
	for {
		_, err := c.reader.Peek(1)
		c.mutex.Lock()
		due, last := c.awaited, c.last
		c.readClosed = c.readClosed || err != nil || due == nil
		c.mutex.Unlock()
		if err != nil {
			if due != nil {
				c.recorder.Record(func(*history.History) { due.attempt.Err = "closed: " + err.Error() })
				c.finish(due)
			}
			return
		}
		if due == nil {
			stray, _ := c.reader.Peek(c.reader.Buffered())
			if last != nil {
				c.recorder.Record(func(*history.History) { last.attempt.Unsolicited += string(stray) })
			}
			return
		}
		if !c.readAnswer(due) {
			return
		}
	}
}

func (c *Conn) finish(due *pending) {
	c.recorder.Record(func(*history.History) { due.attempt.Ended = c.recorder.Now() })
	c.mutex.Lock()
	c.awaited, c.last = nil, due
	c.mutex.Unlock()
	close(due.done)
}

// finishAndStop finishes an attempt after which nothing more is read; it returns false.
func (c *Conn) finishAndStop(due *pending) bool {
	c.mutex.Lock()
	c.readClosed = true
	c.mutex.Unlock()
	c.finish(due)
	return false
}

// readAnswer reads one answer; false ends the connection.
func (c *Conn) readAnswer(due *pending) bool {
	c.recorder.Record(func(*history.History) {
		if due.attempt.First == 0 {
			due.attempt.First = c.recorder.Now()
		}
	})
	beginning, _ := c.reader.Peek(c.reader.Buffered())
	answers := strings.HasPrefix("HTTP/1.1 ", string(beginning[:min(9, len(beginning))]))
	response, err := http.ReadResponse(c.reader, &http.Request{Method: due.method})
	if err != nil {
		// The beginning of an answer and then the end of the connection is a truncated answer, not a malformed one.
		_, after := c.reader.Peek(1)
		c.recorder.Record(func(*history.History) {
			due.attempt.Err = err.Error()
			if malformed(err) && !(answers && after != nil) {
				due.attempt.Malformed = err.Error()
			}
		})
		return c.finishAndStop(due)
	}
	if response.StatusCode >= 100 && response.StatusCode < 200 {
		return true
	}
	attempt := due.attempt
	c.recorder.Record(func(*history.History) {
		attempt.Status, attempt.AnsweredID, attempt.Seal, attempt.Encoding = response.StatusCode, response.Header.Get(protocol.Attempt), response.Header.Get(protocol.Seal), response.Header.Get("Content-Encoding")
		if after, err := strconv.ParseFloat(response.Header.Get(protocol.RetryAfter), 64); err == nil {
			attempt.HasRetryAfter, attempt.RetryAfterMs = true, int64(after*1000)
		}
	})
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		err = c.events(due, response.Body)
	} else {
		var body []byte
		body, err = io.ReadAll(response.Body)
		c.recorder.Record(func(*history.History) { attempt.ResponseBody = body })
	}
	c.mutex.Lock()
	c.closeAnnounced = c.closeAnnounced || response.Close || err != nil
	for _, field := range strings.Split(response.Header.Get(protocol.KeepAlive), ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			if seconds, err := strconv.Atoi(value); err == nil {
				c.idleDeadline = c.recorder.Now() + clock.Mark(time.Duration(seconds)*time.Second)
			}
		}
	}
	closes := c.closeAnnounced
	c.mutex.Unlock()
	c.recorder.Record(func(*history.History) {
		attempt.Complete = err == nil
		if err != nil {
			attempt.Err = err.Error()
			if malformed(err) {
				attempt.Malformed = err.Error()
			}
		}
	})
	if closes {
		return c.finishAndStop(due)
	}
	c.finish(due)
	return true
}

// malformed tells bytes that are no HTTP answer from a truncated answer.
func malformed(err error) bool {
	var network net.Error
	var protocol textproto.ProtocolError
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &network):
		return false
	case errors.As(err, &protocol):
		return true
	}
	return strings.Contains(err.Error(), "malformed") || strings.Contains(err.Error(), "invalid") || strings.Contains(err.Error(), "unsupported")
}

// events reads a stream of events, each as it arrives.
func (c *Conn) events(due *pending, body io.Reader) error {
	reader := bufio.NewReader(body)
	var event history.Event
	some := false
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			if err == io.EOF && (some || line != "") {
				// An answer that is complete by its framing and ends inside an event is malformed.
				c.recorder.Record(func(*history.History) { due.attempt.Malformed = "the answer ends inside an event" })
			}
			if err == io.EOF {
				return nil
			}
			return err
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case line == "" && some:
			event.At = c.recorder.Now()
			noted := event
			c.recorder.Record(func(*history.History) { due.attempt.Events = append(due.attempt.Events, noted) })
			event, some = history.Event{}, false
			select {
			case due.eventReceived <- struct{}{}:
			default:
			}
		case strings.HasPrefix(line, "id:"):
			event.ID, some = strings.TrimSpace(line[3:]), true
		case strings.HasPrefix(line, "data:"):
			event.Data, some = strings.TrimSpace(line[5:]), true
		case strings.HasPrefix(line, strings.ToLower(protocol.WeightVersions)+":"):
			event.Version, some = strings.TrimSpace(line[len(protocol.WeightVersions)+1:]), true
		case line != "":
			some = true
		}
	}
}

// Wire encodes a request as it goes over the connection.
func Wire(r *Request, attempt string, left time.Duration, lastEvent string) []byte {
	header := http.Header{protocol.Attempt: {attempt}, protocol.Deadline: {strconv.FormatInt(left.Milliseconds(), 10)}}
	if r.Prompt.Model != "" {
		header.Set(protocol.Model, r.Prompt.WriteModel())
		header.Set(protocol.TokenCounts, r.Prompt.WriteCounts())
		if len(r.Prompt.Parts) > 0 {
			header.Set(protocol.PromptPrefix, r.Prompt.WriteParts())
		}
	}
	if lastEvent != "" {
		header.Set(protocol.LastEvent, lastEvent)
	}
	if r.Key != "" {
		header.Set(protocol.Authorization, protocol.AuthorizationValue(r.Key))
	}
	for _, tenant := range r.ForgedTenants {
		header.Add(protocol.TenantName, tenant)
	}
	for name, value := range r.Header {
		header.Set(name, value)
	}
	if r.Chunked {
		header.Set("Transfer-Encoding", "chunked")
	} else if len(r.Body) > 0 || r.Method == http.MethodPost {
		header.Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	var buffer bytes.Buffer
	fmt.Fprintf(&buffer, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	if err := header.Write(&buffer); err != nil {
		panic("broken invariant: a head cannot be written: " + err.Error())
	}
	buffer.WriteString("\r\n")
	if !r.Chunked {
		buffer.Write(r.Body)
		return buffer.Bytes()
	}
	chunks := httputil.NewChunkedWriter(&buffer)
	for from := 0; from < len(r.Body); from += 700 {
		_, _ = chunks.Write(r.Body[from:min(len(r.Body), from+700)])
	}
	_ = chunks.Close()
	buffer.WriteString("\r\n")
	return buffer.Bytes()
}

// expect makes an attempt the one whose answer is due.
func (c *Conn) expect(attempt *history.Attempt) *pending {
	due := &pending{attempt: attempt, method: attempt.Method, done: make(chan struct{}), eventReceived: make(chan struct{}, 1)}
	c.mutex.Lock()
	over := c.readClosed
	if !over {
		c.awaited = due
	}
	c.requestCount++
	first := c.requestCount == 1
	c.mutex.Unlock()
	c.recorder.Record(func(*history.History) {
		attempt.Connected, attempt.FirstOnConnection, attempt.Daemon = true, first, c.Daemon
	})
	if over {
		// It was closed before anything was sent.
		c.recorder.Record(func(*history.History) { attempt.Connected, attempt.Err = false, "closed while it was idle" })
		c.finish(due)
	}
	return due
}
