package contract

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cresspond/cresspond/testbed/platformtest/client"
	"github.com/cresspond/cresspond/testbed/platformtest/engine"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// TestMethodPathAndBodyAreForwardedUnchanged: whatever a path looks like, the engine sees the client's own bytes.
func TestMethodPathAndBodyAreForwardedUnchanged(t *testing.T) {
	f := newFixture(t)
	f.plain(nil)
	f.awaitEngines("once", 1)
	base := fmt.Sprintf("/once/%d/", f.number)
	for _, rest := range []string{"", "x", "x/y/z", "x//y", "a/./b", "a/../b", "%41%2f%2F", "x%20y", "x+y", "x;p=1,q", "~u/@v:w", "x?q=1", "x?", "?a=b&c=%20&&d=+", "x?u=http://h/p?q", "x?%zz", "é", "x%c3%a9", "a%00b", "x%5Cy", "*"} {
		r := f.request("once")
		r.URI = base + rest
		attempt := f.askUntilExecuted(r)
		if strings.HasPrefix(rest, "a/../") || rest == "é" || rest == "x?%zz" || rest == "a%00b" {
			// These may be refused, as long as nothing else runs in their place.
			if !attempt.Success() && attempt.Status != 400 {
				t.Errorf("%q: %d %s", rest, attempt.Status, attempt.Err)
			}
			continue
		}
		if !attempt.Success() {
			t.Errorf("%q: %d %s", rest, attempt.Status, attempt.Err)
		}
	}
	for _, method := range []string{"GET", "PUT", "DELETE", "PATCH", "OPTIONS", "POST", "REPORT"} {
		r := f.request("once")
		r.Method = method
		if method == "GET" || method == "OPTIONS" || method == "DELETE" {
			r.Body = nil
		}
		if attempt := f.askUntilExecuted(r); !attempt.Success() {
			t.Errorf("%s: %d %s", method, attempt.Status, attempt.Err)
		}
	}
	for _, size := range []int{0, 1, 100, 4096, 70000, 1 << 20} {
		for _, chunked := range []bool{false, true} {
			r := f.request("once")
			r.Body, r.Chunked = bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size], chunked
			if attempt := f.askUntilExecuted(r); !attempt.Success() {
				t.Errorf("%d bytes, in chunks %t: %d %s", size, chunked, attempt.Status, attempt.Err)
			}
		}
	}
	f.checkRules()
}

// TestHeadersAreForwardedExceptHopByHop collects the heads of requests as an engine gets them.
func TestHeadersAreForwardedExceptHopByHop(t *testing.T) {
	f := newFixture(t)
	e := f.plain(nil)
	f.awaitEngines("once", 1)
	r := f.request("once")
	r.Header = map[string]string{"X-Custom": "Mixed Case ; value", "Accept-Encoding": "identity", "Cookie": "a=b; c=d", "User-Agent": "clients/1", "Authorization": "Bearer t", "Content-Type": "application/x-own",
		"Connection": "keep-alive, X-Hop", "X-Hop": "of this connection", "Keep-Alive": "timeout=9", "Te": "trailers"}
	if attempt := f.askUntilExecuted(r); !attempt.Success() {
		t.Fatalf("%+v", attempt)
	}
	head := e.LastHeader()
	for _, name := range []string{"X-Custom", "Accept-Encoding", "Cookie", "User-Agent", "Authorization", "Content-Type"} {
		if head.Get(name) != r.Header[name] {
			t.Errorf("%s: %q came as %q", name, r.Header[name], head.Get(name))
		}
	}
	for _, name := range []string{"X-Hop", "Keep-Alive", "Te"} {
		if head.Get(name) != "" {
			t.Errorf("%s went along: %q", name, head.Get(name))
		}
	}
	plain := f.request("once")
	if attempt := f.askUntilExecuted(plain); !attempt.Success() {
		t.Fatalf("%+v", attempt)
	}
	for name := range e.LastHeader() {
		switch name {
		case protocol.Attempt, protocol.Deadline, protocol.Target, protocol.Urgency, "Content-Length", "Host", "Connection", "Transfer-Encoding":
		default:
			t.Errorf("the head got %s: %v", name, e.LastHeader()[name])
		}
	}
	f.checkRules()
}

// TestTheEngineGetsTheRemainingDeadline: the deadline shrinks by what the request was held for, and never grows.
func TestTheEngineGetsTheRemainingDeadline(t *testing.T) {
	f := newFixture(t)
	f.plain(nil)
	f.awaitEngines("once", 1)
	for _, deadline := range []time.Duration{500 * time.Millisecond, 5 * time.Second, time.Hour} {
		r := f.request("once")
		r.Deadline = deadline
		attempt := f.ask(r)
		for _, arrival := range f.arrivalsOf(attempt.AttemptID) {
			if arrival.DeadlineMs > attempt.DeadlineMs || arrival.DeadlineMs > 20000 || arrival.DeadlineMs < min(attempt.DeadlineMs, 20000)*9/10-50 {
				t.Errorf("%d ms were told as %d", attempt.DeadlineMs, arrival.DeadlineMs)
			}
		}
	}
}

func TestARequestWithoutRouteIsNotFoundAndWithoutIDMalformed(t *testing.T) {
	f := newFixture(t)
	f.plain(nil)
	f.awaitEngines("again", 1)
	for _, one := range []struct {
		what   string
		change func(*client.Request)
		status int
	}{
		{"another path", func(r *client.Request) { r.URI = "/nowhere/x" }, 404},
		{"another host", func(r *client.Request) { r.Host = "other.example" }, 404},
		{"a prefix without its slash", func(r *client.Request) { r.URI = fmt.Sprintf("/again/%d", f.number) }, 404},
		{"the host in capitals", func(r *client.Request) { r.Host = strings.ToUpper(host) }, 200},
		{"the host with a port", func(r *client.Request) { r.Host = host + ":8080" }, 200},
		{"no id", func(r *client.Request) { r.Header = map[string]string{protocol.Attempt: ""} }, 400},
	} {
		r := f.request("again")
		r.Absent = one.status == 404
		one.change(r)
		if attempt := f.ask(r); attempt.Status != one.status || !attempt.Complete {
			t.Errorf("%s: %d %s", one.what, attempt.Status, attempt.Err)
		}
	}
}

// TestPipelinedRequestsAreAnsweredInOrder: some in one write, of several classes.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	f := newFixture(t)
	f.plain(nil)
	f.model(nil)
	for _, class := range []string{"again", "once", "stream"} {
		f.awaitEngines(class, 1)
	}
	conn := f.dial()
	var wire []byte
	var sent []string
	for n := range 12 {
		attempt, data := f.wire(f.request([]string{"again", "stream", "once"}[n%3]))
		sent, wire = append(sent, attempt), append(wire, data...)
	}
	if _, err := conn.Write(wire); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	for place, attempt := range sent {
		response := f.response(reader)
		body, err := io.ReadAll(response.Body)
		if err != nil || response.StatusCode != 200 || response.Header.Get(protocol.Attempt) != attempt || !bytes.Contains(body, []byte(attempt)) {
			t.Fatalf("answer %d to %s: %d %v %v %q", place, attempt, response.StatusCode, response.Header, err, body)
		}
	}
	f.checkRules()
}

// TestAHalfClosedConnectionGetsItsAnswer: the client's side has ended, and it waits.
func TestAHalfClosedConnectionGetsItsAnswer(t *testing.T) {
	f := newFixture(t)
	f.plain(nil)
	f.model(nil)
	for _, class := range []string{"once", "stream"} {
		f.awaitEngines(class, 1)
		var attempt string
		var response *http.Response
		var body []byte
		var err error
		// One that is promised not to have run, as where a lease has just lapsed, comes again.
		f.await("it is not put off", func() bool {
			conn := f.dial()
			var data []byte
			attempt, data = f.wire(f.request(class))
			if _, err := conn.Write(data); err != nil {
				t.Fatal(err)
			}
			if err := conn.CloseWrite(); err != nil {
				t.Fatal(err)
			}
			response = f.response(bufio.NewReader(conn))
			body, err = io.ReadAll(response.Body)
			return response.StatusCode != http.StatusServiceUnavailable
		})
		if err != nil || response.StatusCode != 200 || !bytes.Contains(body, []byte(attempt)) {
			t.Errorf("%s: %d %v %q", class, response.StatusCode, err, body)
		}
	}
	f.checkRules()
}

// TestASlowReaderDelaysOnlyItself: one reads nothing of a long stream while others are served.
func TestASlowReaderDelaysOnlyItself(t *testing.T) {
	f := newFixture(t)
	f.model(func(c *engine.Config) { c.Pace.Memory, c.Pace.StepTime = 4000, 100*time.Microsecond })
	f.awaitEngines("stream", 1)
	conn := f.dial()
	_ = conn.SetReadBuffer(2048)
	long := f.request("stream")
	long.Prompt.TokensOut = 3500
	attempt, data := f.wire(long)
	if _, err := conn.Write(data); err != nil {
		t.Fatal(err)
	}
	f.await("it runs", func() bool { list := f.arrivalsOf(attempt); return len(list) > 0 && list[0].Events > 0 })
	for range 20 {
		if attempt := f.askUntilExecuted(f.request("stream")); !attempt.Success() {
			t.Fatalf("%d %s", attempt.Status, attempt.Err)
		}
	}
	response := f.response(bufio.NewReader(conn))
	body, err := io.ReadAll(response.Body)
	if err != nil || bytes.Count(body, []byte("data: ")) != 1750 {
		t.Errorf("%v, %d events", err, bytes.Count(body, []byte("data: ")))
	}
	f.checkRules()
}

// TestEventsAreForwardedAsTheyArrive: the first is at the client long before the last is made.
func TestEventsAreForwardedAsTheyArrive(t *testing.T) {
	f := newFixture(t)
	f.model(func(c *engine.Config) { c.Pace.StepTime = 10 * time.Millisecond })
	f.awaitEngines("stream", 1)
	r := f.request("stream")
	r.Prompt.TokensOut = 60
	attempt := f.askUntilExecuted(r)
	if !attempt.Success() || len(attempt.Events) != 30 {
		t.Fatalf("%+v", attempt)
	}
	if spread := attempt.Events[29].At.Since(attempt.Events[0].At); spread < 300*time.Millisecond {
		t.Errorf("all events came within %v", spread)
	}
	f.checkRules()
}

// TestAStreamResumesFromLastEventID: a client goes on behind each event of a stream.
func TestAStreamResumesFromLastEventID(t *testing.T) {
	f := newFixture(t)
	f.model(nil)
	f.awaitEngines("resume", 1)
	for after := 1; after < 6; after++ {
		r := f.request("resume")
		attempt := f.send(r, fmt.Sprint(after))
		if !attempt.Success() || len(attempt.Events) != 6-after || attempt.Events[0].ID != fmt.Sprint(after+1) {
			t.Errorf("after %d: %d %s, %d events", after, attempt.Status, attempt.Err, len(attempt.Events))
		}
	}
	f.checkRules()
}

// send sends one try that takes a stream up.
func (f *fixture) send(r *client.Request, lastEvent string) *history.Attempt {
	f.t.Helper()
	conn, err := client.Dial(context.Background(), f.recorder, "edge-0", f.front())
	if err != nil {
		f.t.Fatal(err)
	}
	defer conn.Close()
	attempt := &history.Attempt{Request: r.ID, Kind: r.Kind, AttemptID: nextAttemptID(), Host: r.Host, Method: r.Method, URI: r.URI, BodyDigest: protocol.Digest(r.Body), Class: r.Class, Resumable: r.Resumable,
		Prompt: r.Prompt, LastEvent: lastEvent, Began: f.recorder.Now(), DeadlineMs: r.Deadline.Milliseconds()}
	f.recorder.Record(func(h *history.History) { h.Attempts = append(h.Attempts, attempt) })
	client.Send(context.Background(), conn, r, attempt, r.Deadline, lastEvent)
	return attempt
}

// TestAResumableStreamBrokenAfterAnyEventResumes: two engines, one cut after each event.
func TestAResumableStreamBrokenAfterAnyEventResumes(t *testing.T) {
	f := newFixture(t)
	f.model(nil)
	f.model(nil)
	// Both are known, or there is nothing to go on with.
	f.awaitEngines("resume", 2)
	for at := 300; at < 700; at += 13 {
		for _, e := range f.engines {
			e.Inject(engine.Fault{Kind: engine.Break, At: at})
		}
		r := f.request("resume")
		r.MaxAttempts = 4
		attempts := f.newClient().Do(context.Background(), r)
		if last := attempts[len(attempts)-1]; !last.Success() {
			t.Errorf("cut at %d twice: %d %s after %d tries", at, last.Status, last.Err, len(attempts))
		}
	}
	f.checkRules()
}

// TestLimitsOfTheConfigurationAreEnforced: heads and bodies beyond them are refused, and nothing of them runs.
func TestLimitsOfTheConfigurationAreEnforced(t *testing.T) {
	f := newFixture(t)
	f.plain(nil)
	f.awaitEngines("once", 1)
	large, wide := f.request("once"), f.request("once")
	large.Body = make([]byte, 1<<20+1)
	wide.Header = map[string]string{"X-Wide": strings.Repeat("w", 20000)}
	chunked := f.request("once")
	chunked.Body, chunked.Chunked = large.Body, true
	for what, one := range map[string]struct {
		r        *client.Request
		statuses []int
	}{"body": {large, []int{413}}, "body in chunks": {chunked, []int{413}}, "head": {wide, []int{431}}} {
		attempt := f.ask(one.r)
		// It may close while the client still writes; that is no answer, and nothing ran.
		if attempt.Status != 0 && attempt.Status != one.statuses[0] {
			t.Errorf("%s: %d %s", what, attempt.Status, attempt.Err)
		}
		if len(f.arrivalsOf(attempt.AttemptID)) > 0 {
			t.Errorf("%s: it went on", what)
		}
	}
	near := f.request("once")
	near.Header = map[string]string{"X-Wide": strings.Repeat("w", 15000)}
	if attempt := f.askUntilExecuted(near); !attempt.Success() {
		t.Errorf("a head within the limit: %d %s", attempt.Status, attempt.Err)
	}
	f.checkRules()
}

// TestAmbiguousFramingIsNotSmuggled: framings that two readers could read in two ways never make a second request run.
func TestAmbiguousFramingIsNotSmuggled(t *testing.T) {
	f := newFixture(t)
	f.plain(nil)
	f.awaitEngines("once", 1)
	path := f.path("once")
	inner := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: smuggled\r\nX-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n", path, host)
	outer := func(head, body string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 5000\r\n%s\r\n%s", path, host, nextAttemptID(), head, body)
	}
	for what, text := range map[string]string{
		"length and chunks":       outer(fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", 5+len(inner)), "0\r\n\r\n"+inner),
		"chunks and length":       outer("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(inner), inner)),
		"two lengths":             outer(fmt.Sprintf("Content-Length: 0\r\nContent-Length: %d\r\n", len(inner)), inner),
		"two lengths in one":      outer(fmt.Sprintf("Content-Length: 0, %d\r\n", len(inner)), inner),
		"an unknown encoding":     outer(fmt.Sprintf("Transfer-Encoding: xchunked\r\nContent-Length: %d\r\n", len(inner)), inner),
		"an encoding after tab":   outer(fmt.Sprintf("Transfer-Encoding:\tchunked\r\nContent-Length: %d\r\n", 5+len(inner)), "0\r\n\r\n"+inner),
		"a space before colon":    outer(fmt.Sprintf("Transfer-Encoding : chunked\r\nContent-Length: %d\r\n", 5+len(inner)), "0\r\n\r\n"+inner),
		"a signed length":         outer(fmt.Sprintf("Content-Length: +%d\r\n", len(inner)), inner),
		"a folded line":           outer(fmt.Sprintf("X-Fold: a\r\n Content-Length: 0\r\nContent-Length: %d\r\n", len(inner)), inner),
		"a newline in chunk size": outer("Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x;\n\r\n%s\r\n0\r\n\r\n", len(inner), inner)),
		"a huge chunk size":       outer("Transfer-Encoding: chunked\r\n", "ffffffffffffffff1\r\n"+inner),
	} {
		conn := f.dial()
		_, _ = conn.Write([]byte(text))
		_ = conn.CloseWrite()
		_, _ = io.ReadAll(conn)
		for _, arrival := range f.arrivals() {
			if arrival.AttemptID == "smuggled" && what != "length and chunks" && what != "two lengths" {
				t.Errorf("%s: the inner request arrived", what)
			}
		}
		for _, arrival := range f.arrivals() {
			// A reader that takes chunks over the length sees two requests in a row, and so must the engine: whole ones.
			if arrival.AttemptID == "smuggled" && arrival.URI != path {
				t.Errorf("%s: %s", what, arrival.URI)
			}
		}
	}
}

// TestUnusualButValidClientsAreServed: HTTP/1.0, Expect, a head in pieces, and an empty line before it.
func TestUnusualButValidClientsAreServed(t *testing.T) {
	f := newFixture(t)
	f.plain(nil)
	f.awaitEngines("once", 1)
	for what, change := range map[string]func([]byte) []byte{
		"one byte at a time": func(data []byte) []byte { return data },
		"expect a continue": func(data []byte) []byte {
			return bytes.Replace(data, []byte("Host:"), []byte("Expect: 100-continue\r\nHost:"), 1)
		},
		"an empty line before": func(data []byte) []byte { return append([]byte("\r\n"), data...) },
		"connection close": func(data []byte) []byte {
			return bytes.Replace(data, []byte("Host:"), []byte("Connection: close\r\nHost:"), 1)
		},
	} {
		conn := f.dial()
		attempt, data := f.wire(f.request("once"))
		data = change(data)
		step := len(data)
		if what == "one byte at a time" {
			step = 1
		}
		for from := 0; from < len(data); from += step {
			if _, err := conn.Write(data[from:min(len(data), from+step)]); err != nil {
				t.Fatal(what, err)
			}
		}
		reader := bufio.NewReader(conn)
		response := f.response(reader)
		for response.StatusCode == http.StatusContinue {
			response = f.response(reader)
		}
		body, err := io.ReadAll(response.Body)
		if err != nil || response.StatusCode != 200 || !bytes.Contains(body, []byte(attempt)) {
			t.Errorf("%s: %d %v %q", what, response.StatusCode, err, body)
		}
		if what == "connection close" {
			if rest, err := io.ReadAll(reader); err != nil || len(rest) > 0 {
				t.Errorf("%s: %v %q", what, err, rest)
			}
		}
	}
	f.checkRules()
}
