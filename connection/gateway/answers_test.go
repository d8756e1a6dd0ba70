package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/request/forwarding"
)

// rejectNotRun is an engine's guarantee that it has not run a request.
func rejectNotRun(a arrival, status string) {
	writeText(a, fmt.Sprintf("HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\nCresspond-Not-Run: full\r\nContent-Length: 2\r\n\r\nno", status, idOf(a)))
}

// chunks is a stream's head, and then each event as a chunk of its own.
func chunks(a arrival, seal string, events ...string) {
	writeText(a, "HTTP/1.1 200 OK\r\nX-Attempt-Id: "+idOf(a)+"\r\nCresspond-Seal: "+seal+"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for _, event := range events {
		writeText(a, fmt.Sprintf("%x\r\n%s\r\n", len(event), event))
	}
}

func event(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

func events(from, to int) string {
	var out strings.Builder
	for n := from; n <= to; n++ {
		out.WriteString(event(n))
	}
	return out.String()
}

const lastChunk = "0\r\n\r\n"

// TestEngineBehaviourDeterminesResponse: for each way in which an engine may end an attempt, the answer
// claims no more than is known, and a request that may not run twice arrives once.
func TestEngineBehaviourDeterminesResponse(t *testing.T) {
	well := func(a arrival) bool { writeText(a, completeResponse(a, "pong")); return true }
	for name, c := range map[string]struct {
		path     string
		first    func(a arrival) bool
		status   int
		body     string
		arrivals int
	}{
		"refused":       {"once", func(a arrival) bool { rejectNotRun(a, "503 Service Unavailable"); return true }, 200, "pong", 2},
		"misdirected":   {"once", func(a arrival) bool { rejectNotRun(a, "421 Misdirected Request"); return true }, 200, "pong", 2},
		"too many":      {"once", func(a arrival) bool { rejectNotRun(a, "429 Too Many Requests"); return true }, 200, "pong", 2},
		"reset":         {"once", func(a arrival) bool { _ = a.conn.(*net.TCPConn).SetLinger(0); return false }, 502, "", 1},
		"closed":        {"once", func(a arrival) bool { return false }, 502, "", 1},
		"closed, again": {"again", func(a arrival) bool { return false }, 200, "pong", 2},
		"junk":          {"once", func(a arrival) bool { writeText(a, "SSH-2.0-x\r\n\r\n"); return false }, 502, "", 1},
		"foreign":       {"once", func(a arrival) bool { writeText(a, completeText("other", "x")); return true }, 502, "", 1},
		"unsealed": {"once", func(a arrival) bool {
			writeText(a, strings.Replace(completeResponse(a, "x"), "Cresspond-Seal", "Other", 1))
			return true
		}, 502, "", 1},
		"unsealed, again": {"again", func(a arrival) bool {
			writeText(a, strings.Replace(completeResponse(a, "x"), "Cresspond-Seal", "Other", 1))
			return true
		}, 200, "pong", 2},
		"cut body": {"once", func(a arrival) bool {
			text := completeResponse(a, "ping")
			writeText(a, text[:len(text)-1])
			return false
		}, 502, "", 1},
		"cut body, again": {"again", func(a arrival) bool {
			text := completeResponse(a, "ping")
			writeText(a, text[:len(text)-1])
			return false
		}, 200, "pong", 2},
		"own failure":          {"once", func(a arrival) bool { writeText(a, failed(a, "500 Internal Server Error")); return true }, 500, "oh", 1},
		"own failure, again":   {"again", func(a arrival) bool { writeText(a, failed(a, "500 Internal Server Error")); return true }, 200, "pong", 2},
		"own timeout":          {"stream", func(a arrival) bool { writeText(a, failed(a, "504 Gateway Timeout")); return true }, 504, "oh", 1},
		"own 503":              {"once", func(a arrival) bool { writeText(a, failed(a, "503 Service Unavailable")); return true }, 502, "", 1},
		"own 404":              {"once", func(a arrival) bool { writeText(a, failed(a, "404 Not Found")); return true }, 404, "oh", 1},
		"cut before any event": {"stream", func(a arrival) bool { chunks(a, "s"); return false }, 502, "", 1},
		"cut in first event":   {"stream", func(a arrival) bool { chunks(a, "s", "id: 1\nda"); return false }, 502, "", 1},
		"empty stream":         {"stream", func(a arrival) bool { chunks(a, "s"); writeText(a, lastChunk); return true }, 200, "", 1},
	} {
		var came atomic.Int64
		answer := func(a arrival) bool {
			if came.Add(1) == 1 {
				return c.first(a)
			}
			return well(a)
		}
		f := newFixture(t, newFakeEngine(t, "e1", answer), newFakeEngine(t, "e2", answer))
		got := f.call(ask(c.path, "a1", "ping"))
		if got.status != c.status || got.err != nil || c.body != "" && got.body != c.body || came.Load() != int64(c.arrivals) {
			t.Errorf("%s: %d arrivals, %+v", name, came.Load(), got)
		}
		if promise := got.status == 503 || got.status == 429 || got.status == 421; promise && c.arrivals > 0 {
			t.Errorf("%s: a promise for what may have run", name)
		}
		if got.status == 200 && got.head.Get("X-Attempt-Id") != "a1" {
			t.Errorf("%s: %v", name, got.head)
		}
	}
}

func completeResponse(a arrival, body string) string { return completeText(idOf(a), body) }

func failed(a arrival, status string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\nContent-Length: 2\r\n\r\noh", status, idOf(a))
}

func TestRequestThatDidNotRunIsRejectedWithRetryAfter(t *testing.T) {
	full := func(a arrival) bool { rejectNotRun(a, "503 Service Unavailable"); return true }
	f := newFixture(t, newFakeEngine(t, "e1", full), newFakeEngine(t, "e2", full))
	if got := f.call(ask("once", "a1", "ping")); got.status != 503 || got.head.Get("Retry-After") == "" || got.head.Get("Cresspond-Not-Run") != "" {
		t.Errorf("%+v", got)
	}
	dead := newFakeEngine(t, "e3", full)
	dead.listener.Close()
	f.engines(dead)
	if got := f.call(ask("once", "a2", "ping")); got.status != 503 {
		t.Errorf("%+v", got)
	}
	if got := f.call(strings.Replace(ask("once", "a3", "ping"), "X-Attempt-Id", "X-Other", 1)); got.status != 400 {
		t.Errorf("%+v", got)
	}
	if got := f.call(ask("nowhere", "a4", "ping")); got.status != 404 {
		t.Errorf("%+v", got)
	}
}

// TestStreamResumesAtAnotherEngine: cut at any point, a resumable stream reaches its client without a gap, a
// repeat or a splice, under the head of its first engine.
func TestStreamResumesAtAnotherEngine(t *testing.T) {
	const last = 5
	body := events(1, last)
	for at := len(event(1)); at < len(body); at += 3 {
		var came atomic.Int64
		serve := func(seal string) func(a arrival) bool {
			return func(a arrival) bool {
				if came.Add(1) == 1 {
					chunks(a, seal, body[:at])
					return false
				}
				from := 0
				_, _ = fmt.Sscan(a.request.Header.Get("Last-Event-Id"), &from)
				if from == 0 {
					t.Error("taken up from the start")
				}
				chunks(a, seal, events(from+1, last))
				writeText(a, lastChunk)
				return true
			}
		}
		f := newFixture(t, newFakeEngine(t, "e1", serve("one")), newFakeEngine(t, "e2", serve("two")))
		got := f.call(ask("resume", "a1", "ping"))
		if got.body != body || got.err != nil || came.Load() != 2 {
			t.Fatalf("cut at %d: %q %v after %d", at, got.body, got.err, came.Load())
		}
		if f.gateway.Counters.Resumed.Load() != 1 {
			t.Error("not counted")
		}
	}
}

// TestBrokenStreamNeverLooksComplete: gaps are the engine's to make, but what comes twice, out of order, cut or
// from nobody ends the answer where it was last right.
func TestBrokenStreamNeverLooksComplete(t *testing.T) {
	for name, rest := range map[string]string{
		"cut": "", "cut within an event": "id: 2\nda", "repeat": event(1), "older": event(0), "again": event(2) + event(2),
	} {
		engine := newFakeEngine(t, "e1", func(a arrival) bool {
			chunks(a, "s", event(1))
			if rest != "" {
				writeText(a, fmt.Sprintf("%x\r\n%s\r\n", len(rest), rest))
			}
			if name != "cut" && name != "cut within an event" {
				writeText(a, lastChunk)
				return true
			}
			return false
		})
		f := newFixture(t, engine, newFakeEngine(t, "e2", func(a arrival) bool { t.Error("sent again"); return false }))
		got := f.call(ask("stream", "a1", "ping"))
		if got.err == nil || !strings.HasPrefix(event(1)+event(2), got.body) {
			t.Errorf("%s: %q %v", name, got.body, got.err)
		}
	}
}

func TestTruncatedLargeResponseDoesNotLookComplete(t *testing.T) {
	large := strings.Repeat("x", 3*maxBuffered)
	for _, chunked := range []bool{false, true} {
		for _, cut := range []int{0, 1} {
			engine := newFakeEngine(t, "e1", func(a arrival) bool {
				text := completeResponse(a, large)
				if chunked {
					text = fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nCresspond-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", idOf(a), len(large), large)
				}
				writeText(a, text[:len(text)-cut])
				return cut == 0
			})
			f := newFixture(t, engine)
			got := f.call(ask("once", "a1", "ping"))
			if (got.err == nil) != (cut == 0) || cut == 0 && got.body != large {
				t.Errorf("chunked %t cut %d: %d bytes, %v", chunked, cut, len(got.body), got.err)
			}
		}
	}
}

func TestUnresponsiveEngineGives504AtDeadline(t *testing.T) {
	engine := newFakeEngine(t, "e1", func(a arrival) bool { _, _ = a.conn.Read(make([]byte, 1)); return false })
	f := newFixture(t, engine)
	if got := f.call(ask("once", "a1", "ping", "Cresspond-Deadline-Ms: 150")); got.status != 504 {
		t.Errorf("%+v", got)
	}
	// Its end at the engine is seen, so that it stops work.
	<-engine.closed
}

func TestPipelinedRequestsGetTheirOwnResponses(t *testing.T) {
	engine := newFakeEngine(t, "e1", func(a arrival) bool { writeText(a, completeResponse(a, "to "+idOf(a)+" "+a.body)); return true })
	f := newFixture(t, engine)
	conn := f.dial()
	const count = 20
	var text strings.Builder
	for n := range count {
		text.WriteString(ask("once", fmt.Sprint("a", n), fmt.Sprint("ping", n)))
	}
	_, _ = io.WriteString(conn, text.String())
	reader := bufio.NewReader(conn)
	for n := range count {
		if got := read(reader); got.body != fmt.Sprintf("to a%d ping%d", n, n) {
			t.Errorf("%d: %+v", n, got)
		}
	}
	if reader.Buffered() > 0 {
		t.Error("bytes where no request waits")
	}
}

// TestResponseDoesNotWaitForPipelinedRequest: the first of two pipelined answers goes out at once.
func TestResponseDoesNotWaitForPipelinedRequest(t *testing.T) {
	let := make(chan struct{})
	engine := newFakeEngine(t, "e1", func(a arrival) bool {
		if idOf(a) == "a1" {
			<-let
		}
		writeText(a, completeResponse(a, "pong"))
		return true
	})
	f := newFixture(t, engine)
	conn := f.dial()
	_, _ = io.WriteString(conn, ask("once", "a0", "ping")+ask("once", "a1", "ping"))
	reader := bufio.NewReader(conn)
	if got := read(reader); got.status != 200 {
		t.Errorf("%+v", got)
	}
	close(let)
	if got := read(reader); got.status != 200 {
		t.Errorf("%+v", got)
	}
}

func TestChunkedBodyAndInterimResponse(t *testing.T) {
	engine := newFakeEngine(t, "e1", func(a arrival) bool { writeText(a, completeResponse(a, a.body)); return true })
	f := newFixture(t, engine)
	got := f.call("POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n")
	if got.status != 200 || got.body != "abcdefg" {
		t.Errorf("%+v", got)
	}
	conn := f.dial()
	_, _ = io.WriteString(conn, "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a2\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	reader := bufio.NewReader(conn)
	if line, err := reader.ReadString('\n'); !strings.HasPrefix(line, "HTTP/1.1 100") || err != nil {
		t.Fatal(line, err)
	}
	_, _ = reader.ReadString('\n')
	_, _ = io.WriteString(conn, "ping")
	if got := read(reader); got.status != 200 || got.body != "ping" {
		t.Errorf("%+v", got)
	}
	for _, a := range engine.arrivals() {
		if a.request.Header.Get("Expect") != "" || len(a.request.TransferEncoding) > 0 {
			t.Errorf("%+v", a.request.Header)
		}
	}
	form := "--b\r\nContent-Disposition: form-data; name=\"x\"\r\n\r\ny\r\n--b--\r\n"
	if got := f.call(ask("once", "a3", form, "Content-Type: multipart/form-data; boundary=b")); got.body != form {
		t.Errorf("%+v", got)
	}
	if got := f.call("GET /again/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a4\r\n\r\n"); got.status != 200 || got.body != "" {
		t.Errorf("%+v", got)
	}
	conn = f.dial()
	_, _ = io.WriteString(conn, "HEAD /again/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a5\r\n\r\n"+ask("once", "a6", "ping"))
	reader = bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, &http.Request{Method: "HEAD"})
	if err != nil || response.StatusCode != 200 {
		t.Fatal(err, response)
	}
	if got := read(reader); got.body != "ping" {
		t.Errorf("%+v", got)
	}
}

func TestHalfClosedCallerIsAnswered(t *testing.T) {
	let := make(chan struct{})
	engine := newFakeEngine(t, "e1", func(a arrival) bool { <-let; writeText(a, completeResponse(a, "pong")); return true })
	f := newFixture(t, engine)
	conn := f.dial()
	_, _ = io.WriteString(conn, ask("once", "a1", "ping"))
	_ = conn.(*net.TCPConn).CloseWrite()
	time.AfterFunc(3*pollInterval, func() { close(let) })
	if got := read(bufio.NewReader(conn)); got.status != 200 || got.body != "pong" {
		t.Errorf("%+v", got)
	}
}

// TestDisconnectEndsAttempt: also a queued request, so that another one takes its turn.
func TestDisconnectEndsAttempt(t *testing.T) {
	come := make(chan struct{}, 1)
	engine := newFakeEngine(t, "e1", func(a arrival) bool {
		come <- struct{}{}
		_, _ = a.conn.Read(make([]byte, 1))
		return false
	})
	f := newFixture(t, engine)
	conn := f.dial()
	_, _ = io.WriteString(conn, ask("once", "a1", "ping"))
	<-come
	time.AfterFunc(2*pollInterval, func() { conn.Close() })
	<-engine.closed
	f.engines()
	second := f.dial()
	_, _ = io.WriteString(second, ask("once", "a2", "ping"))
	queued := func() (now int) {
		f.actor.Do(func(c *forwarding.Core, _ forwarding.Environment) { now = c.QueueLength() })
		return now
	}
	for queued() == 0 {
		runtime.Gosched()
	}
	time.AfterFunc(2*pollInterval, func() { second.Close() })
	for queued() > 0 {
		runtime.Gosched()
	}
}

func TestSlowReaderDelaysOnlyItself(t *testing.T) {
	engine := newFakeEngine(t, "e1", func(a arrival) bool {
		if strings.HasPrefix(a.request.RequestURI, "/stream/") {
			chunks(a, "s")
			for n := 1; ; n++ {
				piece := fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", 1000))
				if _, err := fmt.Fprintf(a.conn, "%x\r\n%s\r\n", len(piece), piece); err != nil {
					return false
				}
			}
		}
		writeText(a, completeResponse(a, "pong"))
		return true
	})
	f := newFixture(t, engine)
	slow := f.dial()
	_, _ = io.WriteString(slow, ask("stream", "slow", "go"))
	if _, err := slow.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	for n := range 50 {
		if got := f.call(ask("once", fmt.Sprint("a", n), "ping")); got.status != 200 {
			t.Fatalf("%+v", got)
		}
	}
	slow.Close()
	// The caller does not read any more, so the engine's connection is closed.
	<-engine.closed
}

func TestCheckBeforeSendUsesCurrentTable(t *testing.T) {
	let, dialled := make(chan struct{}), make(chan struct{})
	engine := newFakeEngine(t, "e1", func(a arrival) bool { writeText(a, completeResponse(a, "pong")); return true })
	f := newFixture(t, engine)
	f.beforeLook = func() { close(dialled); <-let }
	got := make(chan result)
	go func() { got <- f.call(ask("once", "a1", "ping")) }()
	<-dialled
	f.beforeLook = func() {}
	// Between the choice and the first byte the path moves to a pool without engines.
	moved := path("once", upstream.Once)
	moved.Shares[0].Pool = "q"
	moved.TargetMs = 10
	f.index.Store(upstream.NewIndex(&upstream.Section{Revision: 2, Paths: []upstream.Path{moved}, Pools: []upstream.Pool{{Name: "p"}, {Name: "q"}}}))
	close(let)
	if got := <-got; got.status != 503 {
		t.Errorf("%+v", got)
	}
	if came := engine.arrivals(); len(came) != 0 {
		t.Error("it was sent where the table no longer leads")
	}
}

func TestTooLargeBodyIsRejectedAndDrainingDaemonClosesConnections(t *testing.T) {
	engine := newFakeEngine(t, "e1", func(a arrival) bool { writeText(a, completeResponse(a, "pong")); return true })
	f := newFixture(t, engine)
	f.draining.Store(true)
	if got := f.call(ask("once", "a1", "ping")); got.status != 200 || !got.closes {
		t.Errorf("%+v", got)
	}
	f.draining.Store(false)
	section := *f.index.Load().Section
	section.Limits.MaxBodyBytes = 3
	f.index.Store(upstream.NewIndex(&section))
	if got := f.call(ask("once", "a2", "ping")); got.status != 413 {
		t.Errorf("%+v", got)
	}
}

// TestTooLargeIsFinalOnlyWhenTableIsCurrent: while a newer table may allow it, the client is asked to retry.
func TestTooLargeIsFinalOnlyWhenTableIsCurrent(t *testing.T) {
	engine := newFakeEngine(t, "e1", func(a arrival) bool { writeText(a, completeResponse(a, "pong")); return true })
	f := newFixture(t, engine)
	limited := func(limits upstream.Limits) {
		section := *f.index.Load().Section
		section.Limits = limits
		f.index.Store(upstream.NewIndex(&section))
	}
	for _, c := range []struct {
		name   string
		limits upstream.Limits
		final  int
	}{
		{"body", upstream.Limits{MaxBodyBytes: 3}, 413},
		{"head", upstream.Limits{MaxHeaderBytes: 40}, 431},
	} {
		limited(c.limits)
		f.old.Store(true)
		got := f.call(ask("once", c.name+"1", "ping"))
		if got.status != 503 || got.head.Get("Retry-After") == "" || !got.closes {
			t.Errorf("%s by a table that may be old: %+v", c.name, got)
		}
		f.old.Store(false)
		if got := f.call(ask("once", c.name+"2", "ping")); got.status != c.final || !got.closes {
			t.Errorf("%s by a current table: %+v", c.name, got)
		}
		limited(upstream.Limits{})
		if got := f.call(ask("once", c.name+"1", "ping")); got.status != 200 {
			t.Errorf("%s by a newer table: %+v", c.name, got)
		}
	}
}

// TestUnreadRequestIsAnsweredAsTooLarge: also where the reader itself gave up at the limit in force.
func TestUnreadRequestIsAnsweredAsTooLarge(t *testing.T) {
	f := newFixture(t)
	for old, status := range map[bool]int{true: 503, false: 413} {
		f.old.Store(old)
		var ctx fasthttp.RequestCtx
		f.gateway.HandleUnread(&ctx, 413)
		if got := ctx.Response.StatusCode(); got != status || !ctx.Response.ConnectionClose() {
			t.Errorf("old %v: %d", old, got)
		}
	}
}

// TestShutdownAnswersAllRequests: queued requests are rejected, those that may have run are not, and none is left
// without an answer.
func TestShutdownAnswersAllRequests(t *testing.T) {
	come := make(chan struct{}, 10)
	engine := newFakeEngine(t, "e1", func(a arrival) bool {
		if strings.HasPrefix(a.request.RequestURI, "/stream/") {
			chunks(a, "s", event(1))
		}
		come <- struct{}{}
		_, _ = a.conn.Read(make([]byte, 1))
		return false
	})
	f := newFixture(t, engine)
	got := map[string]chan result{}
	send := func(path, id string) {
		answer := make(chan result, 1)
		got[id] = answer
		conn := f.dial()
		_, _ = io.WriteString(conn, ask(path, id, "ping"))
		go func() { answer <- read(bufio.NewReader(conn)) }()
	}
	send("once", "sent")
	<-come
	send("again", "repeatable")
	<-come
	send("stream", "begun")
	<-come
	for f.gateway.Counters.Streams.Load() == 0 {
		runtime.Gosched()
	}
	f.engines()
	send("once", "held")
	queued := 0
	for queued == 0 {
		f.actor.Do(func(c *forwarding.Core, _ forwarding.Environment) { queued = c.QueueLength() })
	}
	f.gateway.Stop()
	for id, status := range map[string]int{"sent": 502, "repeatable": 502, "held": 503} {
		if answer := <-got[id]; answer.status != status || answer.err != nil {
			t.Errorf("%s: %+v", id, answer)
		}
	}
	if f.gateway.OpenRequests() != 1 {
		t.Errorf("%d open", f.gateway.OpenRequests())
	}
	send("once", "late")
	if answer := <-got["late"]; answer.status != 503 {
		t.Errorf("%+v", answer)
	}
}
