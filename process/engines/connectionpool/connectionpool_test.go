package connectionpool

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/wire/dialect"
)

// fakeClock is a clock that a test moves.
type fakeClock struct{ at atomic.Int64 }

func (h *fakeClock) Elapsed() clock.Mark     { return clock.Mark(h.at.Load()) }
func (h *fakeClock) Wall() time.Time         { return time.Now() }
func (h *fakeClock) advance(d time.Duration) { h.at.Add(int64(d)) }
func newFakeClock() *fakeClock               { h := &fakeClock{}; h.advance(time.Hour); return h }
func until(h *fakeClock) clock.Mark          { return h.Elapsed() + clock.Mark(20*time.Second) }
func writeText(conn net.Conn, text string)   { _, _ = io.WriteString(conn, text) }
func sealedResponse(id, body string) string {
	return responseText("200 OK", id, "Cresspond-Seal: s\r\n", body)
}
func rejectionResponse(status, id string) string {
	return responseText(status, id, "Cresspond-Not-Run: 1\r\n", "no")
}
func responseText(status, id, fields, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, fields, len(body), body)
}

// engine answers the requests of each connection by their numbers.
type engine struct {
	address string
	mutex   sync.Mutex
	ids     []string
	conns   int
	ended   chan int
}

// listen runs an engine; answer gets the number of the connection and of the request on it, and says
// whether the connection is kept.
func listen(t testing.TB, answer func(conn net.Conn, id string, connection, number int) bool) *engine {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	e := &engine{address: listener.Addr().String(), ended: make(chan int, 10000)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.mutex.Lock()
			connection := e.conns
			e.conns++
			e.mutex.Unlock()
			go func() {
				defer func() { conn.Close(); e.ended <- connection }()
				reader := bufio.NewReader(conn)
				for number := 0; ; number++ {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, request.Body); err != nil {
						return
					}
					id := request.Header.Get("X-Attempt-Id")
					e.mutex.Lock()
					e.ids = append(e.ids, id)
					e.mutex.Unlock()
					if !answer(conn, id, connection, number) {
						return
					}
				}
			}()
		}
	}()
	return e
}

func (e *engine) seen() (ids []string, conns int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]string(nil), e.ids...), e.conns
}

// attempt is a plain attempt.
func attempt(h *fakeClock, address, id string) Attempt {
	head := &fasthttp.RequestHeader{}
	head.SetMethod("POST")
	head.SetRequestURI("/x")
	head.SetHost("h.example")
	head.Set("X-Attempt-Id", id)
	return Attempt{Engine: "e", Address: address, ID: id, Header: head, PrepareHeader: func() {}, Body: []byte("body"), Deadline: until(h),
		CheckBeforeSend: func() string { return "" }, Cancel: &Canceller{}}
}

// sendAndRead makes an attempt and reads its answer.
func sendAndRead(p *Pools, a Attempt) (Outcome, string, error) {
	answer := p.Send(a)
	if answer.Outcome != OutcomeAnswered {
		return answer.Outcome, "", nil
	}
	defer answer.Close()
	body, err := io.ReadAll(answer)
	return answer.Outcome, string(body), err
}

// dialWithoutTimeout connects however long a busy machine takes to, so that an attempt that is called never sent is
// one whose request was written.
func dialWithoutTimeout(_ context.Context, address string) (net.Conn, error) {
	return net.Dial("tcp", address)
}

// TestTruncatedResponseIsNeverComplete: in each form that an answer may have, nothing but all of its bytes is
// complete, and only a complete header guarantees that the request did not run. Where an answer has no length its bytes are
// all that came before its connection ended in order; a reset ends none.
func TestTruncatedResponseIsNeverComplete(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nCresspond-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\npon\r\n1\r\ng\r\n0\r\n\r\n"
	for form, whole := range map[string]string{
		"measured": sealedResponse("a", "pong"), "chunked": chunked, "interim": "HTTP/1.1 100 Continue\r\n\r\n" + sealedResponse("a", "pong"),
		"refusal": rejectionResponse("503 Service Unavailable", "a"), "misdirected": rejectionResponse("421 Misdirected Request", "a"), "foreign": sealedResponse("b", "pong"),
		"nameless": "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npong", "unmeasured": "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nCresspond-Seal: s\r\n\r\npong",
		"after-foreign": sealedResponse("b", "ping") + sealedResponse("a", "pong"),
	} {
		h := newFakeClock()
		pools := New(h, dialect.Own())
		pools.dial = dialWithoutTimeout
		var cut atomic.Int64
		e := listen(t, func(conn net.Conn, _ string, _, _ int) bool {
			at := int(cut.Load())
			writeText(conn, whole[:at])
			if at%2 == 0 {
				// A reset: what was sent may be lost with it.
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			return false
		})
		head := strings.LastIndex(whole, "\r\n\r\n") + 4
		if form == "chunked" {
			head = strings.Index(whole, "\r\n\r\n") + 4
		}
		for at := range len(whole) + 1 {
			cut.Store(int64(at))
			outcome, body, err := sendAndRead(pools, attempt(h, e.address, "a"))
			name := fmt.Sprintf("%s cut at %d of %d: %s %q %v", form, at, len(whole), outcome, body, err)
			all, reset := at == len(whole), at%2 == 0
			switch {
			case outcome == OutcomeUnreachable || outcome == OutcomeWithheld:
				t.Errorf("%s: what was sent was called never sent", name)
			case outcome == OutcomeRejected && (form != "refusal" || at < head), outcome == OutcomeMisdirected && (form != "misdirected" || at < head):
				t.Errorf("%s: taken for the engine's word", name)
			case form == "unmeasured" && at >= head && (outcome == OutcomeAnswered && err == nil) == reset:
				// It ends with its connection: in order it is whole, and reset it never is.
				t.Errorf("%s: reset %t", name, reset)
			case outcome == OutcomeAnswered && err == nil && form != "unmeasured" && (!all || body != "pong"):
				t.Errorf("%s: looks whole", name)
			case outcome == OutcomeAnswered && (form == "foreign" || form == "nameless"):
				t.Errorf("%s: another's answer", name)
			case all && at%2 != 0 && (form == "measured" || form == "chunked" || form == "interim" || form == "after-foreign") && (outcome != OutcomeAnswered || err != nil):
				t.Errorf("%s: not whole", name)
			case !strings.HasPrefix("pong", body):
				t.Errorf("%s: not its body", name)
			}
		}
		// Only the complete response at the end leaves a connection that may be reused.
		mayKeep := form == "measured" || form == "chunked" || form == "interim" || form == "refusal" || form == "misdirected"
		if busy, idle := pools.Open(); busy != 0 || idle > 1 || idle == 1 && !mayKeep {
			t.Errorf("%s: %d busy and %d idle left", form, busy, idle)
		}
	}
}

func TestUnreachableEngineReceivesNothing(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	h := newFakeClock()
	pools := New(h, dialect.Own())
	if outcome, _, _ := sendAndRead(pools, attempt(h, listener.Addr().String(), "a")); outcome != OutcomeUnreachable {
		t.Error(outcome)
	}
	if busy, idle := pools.Open(); busy+idle != 0 {
		t.Error(busy, idle)
	}
}

func TestResetAfterRequestCountsAsResponseLost(t *testing.T) {
	h := newFakeClock()
	pools := New(h, dialect.Own())
	e := listen(t, func(conn net.Conn, _ string, _, _ int) bool { _ = conn.(*net.TCPConn).SetLinger(0); return false })
	if outcome, _, _ := sendAndRead(pools, attempt(h, e.address, "a")); outcome != OutcomeResponseLost {
		t.Error(outcome)
	}
}

// waitUntilReadable waits until something has come on the idle connections.
func waitUntilReadable(p *Pools) {
	for {
		p.mutex.Lock()
		for _, connections := range p.engines {
			for _, conn := range connections.idle {
				if conn.isReadable() {
					p.mutex.Unlock()
					return
				}
			}
		}
		p.mutex.Unlock()
		runtime.Gosched()
	}
}

func TestIdleConnectionIsReusedUnlessReadable(t *testing.T) {
	for name, trouble := range map[string]func(conn net.Conn){
		"ended":   func(conn net.Conn) { conn.Close() },
		"reset":   func(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0); conn.Close() },
		"surplus": func(conn net.Conn) { writeText(conn, sealedResponse("a1", "late")) },
	} {
		h := newFakeClock()
		pools := New(h, dialect.Own())
		var first net.Conn
		e := listen(t, func(conn net.Conn, id string, connection, _ int) bool {
			if connection == 0 {
				first = conn
			}
			writeText(conn, sealedResponse(id, "to "+id))
			return true
		})
		for _, id := range []string{"a0", "a1"} {
			if _, body, err := sendAndRead(pools, attempt(h, e.address, id)); body != "to "+id || err != nil {
				t.Fatal(name, body, err)
			}
		}
		if ids, conns := e.seen(); len(ids) != 2 || conns != 1 {
			t.Fatal(name, ids, conns)
		}
		trouble(first)
		waitUntilReadable(pools)
		if outcome, body, err := sendAndRead(pools, attempt(h, e.address, "a2")); body != "to a2" || err != nil {
			t.Error(name, outcome, body, err)
		}
		if ids, conns := e.seen(); len(ids) != 3 || conns != 2 || pools.Counters.FoundStale.Load() != 1 {
			t.Error(name, ids, conns)
		}
	}
}

func TestSurplusBytesAfterResponseCloseConnection(t *testing.T) {
	h := newFakeClock()
	pools := New(h, dialect.Own())
	e := listen(t, func(conn net.Conn, id string, connection, _ int) bool {
		more := ""
		if connection == 0 {
			more = sealedResponse(id, "again")
		}
		writeText(conn, sealedResponse(id, "to "+id)+more)
		return true
	})
	for _, id := range []string{"a0", "a1"} {
		if _, body, err := sendAndRead(pools, attempt(h, e.address, id)); body != "to "+id || err != nil {
			t.Fatal(body, err)
		}
	}
	if _, conns := e.seen(); conns != 2 || pools.Counters.SurplusBytes.Load() != 1 {
		t.Error(conns, pools.Counters.SurplusBytes.Load())
	}
}

func TestLateResponseIsNotPassedToNextRequest(t *testing.T) {
	for _, behind := range []bool{true, false} {
		h := newFakeClock()
		pools := New(h, dialect.Own())
		e := listen(t, func(conn net.Conn, id string, connection, number int) bool {
			switch {
			case connection == 0 && number == 1 && behind:
				writeText(conn, sealedResponse("a0", "late")+sealedResponse(id, "to "+id))
			case connection == 0 && number == 1:
				writeText(conn, sealedResponse("a0", "late"))
				return false
			default:
				writeText(conn, sealedResponse(id, "to "+id))
			}
			return true
		})
		if _, body, err := sendAndRead(pools, attempt(h, e.address, "a0")); body != "to a0" || err != nil {
			t.Fatal(body, err)
		}
		outcome, body, err := sendAndRead(pools, attempt(h, e.address, "a1"))
		if behind && (outcome != OutcomeAnswered || body != "to a1" || err != nil) || !behind && (outcome != OutcomeResponseLost && outcome != OutcomeProtocolError) {
			t.Errorf("%t: %s %q %v", behind, outcome, body, err)
		}
		if _, body, err := sendAndRead(pools, attempt(h, e.address, "a2")); body != "to a2" || err != nil {
			t.Error(body, err)
		}
		if ids, conns := e.seen(); len(ids) != 3 || conns != 2 {
			t.Errorf("%v over %d connections", ids, conns)
		}
	}
}

func TestNotRepeatableAttemptReusesOnlyRecentConnections(t *testing.T) {
	for _, c := range []struct {
		says      string
		idle      time.Duration
		careful   bool
		wantConns int
	}{
		{"", 200 * time.Millisecond, true, 1}, {"", 400 * time.Millisecond, true, 2}, {"", 400 * time.Millisecond, false, 1}, {"", 3 * time.Second, false, 2},
		{"Keep-Alive: timeout=4, max=9\r\n", time.Second, true, 1}, {"Keep-Alive: timeout=4\r\n", 2700 * time.Millisecond, true, 1}, {"Keep-Alive: timeout=4\r\n", 2900 * time.Millisecond, true, 2},
		{"Keep-Alive: timeout=4\r\n", 3 * time.Second, false, 1}, {"Keep-Alive: timeout=4\r\n", 3900 * time.Millisecond, false, 2},
		{"Connection: close\r\n", 0, false, 2},
	} {
		h := newFakeClock()
		pools := New(h, dialect.Own())
		e := listen(t, func(conn net.Conn, id string, _, _ int) bool {
			writeText(conn, responseText("200 OK", id, "Cresspond-Seal: s\r\n"+c.says, "pong"))
			return true
		})
		for _, id := range []string{"a0", "a1"} {
			a := attempt(h, e.address, id)
			a.NotRepeatable = c.careful
			if _, body, err := sendAndRead(pools, a); body != "pong" || err != nil {
				t.Fatal(body, err)
			}
			h.advance(c.idle)
		}
		if _, conns := e.seen(); conns != c.wantConns {
			t.Errorf("%+v: %d connections", c, conns)
		}
	}
}

func TestConnectionsPerEngineAreBounded(t *testing.T) {
	h := newFakeClock()
	pools := New(h, dialect.Own())
	let := make(chan struct{})
	e := listen(t, func(conn net.Conn, id string, _, _ int) bool {
		<-let
		writeText(conn, sealedResponse(id, "pong"))
		return true
	})
	const most = 3
	outcomes := make(chan Outcome, 20)
	for n := range 20 {
		go func() {
			a := attempt(h, e.address, fmt.Sprint(n))
			a.MaxConnections = most
			outcome, _, _ := sendAndRead(pools, a)
			outcomes <- outcome
		}()
	}
	for range 20 - most {
		if outcome := <-outcomes; outcome != OutcomeWithheld {
			t.Error(outcome)
		}
	}
	close(let)
	for range most {
		if outcome := <-outcomes; outcome != OutcomeAnswered {
			t.Error(outcome)
		}
	}
	if _, conns := e.seen(); conns != most {
		t.Error(conns)
	}
	if busy, idle := pools.Open(); busy != 0 || idle != most {
		t.Error(busy, idle)
	}
	pools.Sweep(nil)
	h.advance(time.Minute)
	pools.Sweep(nil)
	if busy, idle := pools.Open(); busy+idle != 0 {
		t.Error(busy, idle)
	}
}

func TestCancellingClosesConnection(t *testing.T) {
	h := newFakeClock()
	pools := New(h, dialect.Own())
	come := make(chan struct{})
	e := listen(t, func(conn net.Conn, _ string, _, _ int) bool {
		close(come)
		_, _ = conn.Read(make([]byte, 1))
		return false
	})
	a := attempt(h, e.address, "a")
	go func() { <-come; a.Cancel.Cancel() }()
	if outcome, _, _ := sendAndRead(pools, a); outcome != OutcomeResponseLost {
		t.Error(outcome)
	}
	<-e.ended
	// What begins after it was ended does not leave.
	if outcome, _, _ := sendAndRead(pools, a); outcome != OutcomeUnreachable {
		t.Error(outcome)
	}
	if ids, _ := e.seen(); len(ids) != 1 {
		t.Error(ids)
	}
}

func TestCheckBeforeSendWithholdsAndKeepsConnection(t *testing.T) {
	h := newFakeClock()
	pools := New(h, dialect.Own())
	e := listen(t, func(conn net.Conn, id string, _, _ int) bool {
		writeText(conn, sealedResponse(id, "pong"))
		return true
	})
	a := attempt(h, e.address, "a")
	a.CheckBeforeSend = func() string { return "no" }
	if outcome, _, _ := sendAndRead(pools, a); outcome != OutcomeWithheld {
		t.Error(outcome)
	}
	if outcome, _, _ := sendAndRead(pools, attempt(h, e.address, "b")); outcome != OutcomeAnswered {
		t.Error(outcome)
	}
	if ids, conns := e.seen(); len(ids) != 1 || ids[0] != "b" || conns != 1 {
		t.Error(ids, conns)
	}
}

// TestRequestSmugglingIsPrevented: however a client framed its request, an engine gets one request with one framing.
func TestRequestSmugglingIsPrevented(t *testing.T) {
	for name, raw := range map[string]string{
		"chunked":      "POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\nTrailer: X-Late\r\n\r\n4\r\nbody\r\n0\r\nX-Late: 1\r\n\r\n",
		"connection":   "POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nConnection: Content-Length, Host, X-Hop\r\nX-Hop: 1\r\nContent-Length: 4\r\n\r\nbody",
		"get-body":     "GET /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nContent-Length: 4\r\n\r\nbody",
		"head-less":    "GET /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\n\r\n",
		"expect":       "POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\nbody",
		"ten":          "POST /x HTTP/1.0\r\nHost: h\r\nX-Attempt-Id: a\r\nContent-Length: 4\r\n\r\nbody",
		"inner":        "POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nContent-Length: 36\r\n\r\nGET /other HTTP/1.1\r\nHost: inner\r\n\r\n",
		"empty-post":   "POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nContent-Length: 0\r\n\r\n",
		"upper-chunks": "POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nTransfer-Encoding: Chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	} {
		var request fasthttp.Request
		if err := request.ReadLimitBody(bufio.NewReader(strings.NewReader(raw)), 0); err != nil {
			// A request that can't be read is not sent on.
			continue
		}
		if request.MayContinue() {
			if err := request.ContinueReadBody(bufio.NewReader(strings.NewReader("body")), 0); err != nil {
				t.Fatal(name, err)
			}
		}
		var head fasthttp.RequestHeader
		request.Header.CopyTo(&head)
		RemoveHopByHop(&head)
		body := request.Body()
		sent := string(append(appendHeader(nil, &head, len(body)), body...))
		reader := bufio.NewReader(strings.NewReader(sent))
		got, err := http.ReadRequest(reader)
		if err != nil {
			t.Fatal(name, err, sent)
		}
		read, err := io.ReadAll(got.Body)
		if err != nil || string(read) != string(body) || len(got.TransferEncoding) != 0 || got.Host != "h" || got.Proto != "HTTP/1.1" {
			t.Errorf("%s: %q %v in %q", name, read, err, sent)
		}
		for _, field := range []string{"Trailer", "X-Late", "X-Hop", "Connection", "Expect", "Transfer-Encoding"} {
			if _, there := got.Header[field]; there {
				t.Errorf("%s: %s went along in %q", name, field, sent)
			}
		}
		if _, err := reader.ReadByte(); err != io.EOF {
			t.Errorf("%s: bytes behind the request in %q", name, sent)
		}
	}
}

// Interrupt ends the current attempt and none after it, and never a connection that was released.
func TestInterruptStopsOnlyCurrentAttempt(t *testing.T) {
	var c Canceller
	c.Interrupt()
	stopped := 0
	if !c.arm(func() { stopped++ }) {
		t.Fatal("what begins after an interruption goes on")
	}
	c.Interrupt()
	c.Interrupt()
	if stopped != 1 {
		t.Fatalf("stopped %d times", stopped)
	}
	if c.arm(nil) {
		t.Fatal("what was stopped is not given back as if it were sound")
	}
	if !c.arm(func() { stopped++ }) || !c.arm(nil) {
		t.Fatal("the next one goes on, and is given back")
	}
	c.Interrupt()
	if stopped != 1 || c.Cancelled() {
		t.Fatal("nothing was under way")
	}
	c.Cancel()
	if c.arm(func() {}) || !c.Cancelled() {
		t.Fatal("after the end nothing begins")
	}
}

// TestIdleLifetimeIsLearnedFromDroppedConnections: the engine says four seconds and drops after one, and shows nothing
// before the next request is reset. One request is lost to find out, and none after; what is learned decays.
func TestIdleLifetimeIsLearnedFromDroppedConnections(t *testing.T) {
	for _, notRepeatable := range []bool{true, false} {
		h := newFakeClock()
		pools := New(h, dialect.Own())
		var mutex sync.Mutex
		last := map[int]clock.Mark{}
		e := listen(t, func(conn net.Conn, id string, connection, number int) bool {
			mutex.Lock()
			defer mutex.Unlock()
			if number > 0 && h.Elapsed().Since(last[connection]) >= time.Second {
				_ = conn.(*net.TCPConn).SetLinger(0)
				return false
			}
			last[connection] = h.Elapsed()
			writeText(conn, responseText("200 OK", id, "Cresspond-Seal: s\r\nKeep-Alive: timeout=4\r\n", "pong"))
			return true
		})
		lost, sent := 0, 0
		send := func(pause time.Duration) {
			h.advance(pause)
			a := attempt(h, e.address, fmt.Sprint("a", sent))
			a.NotRepeatable, a.Pool, sent = notRepeatable, "p", sent+1
			if outcome, _, _ := sendAndRead(pools, a); outcome == OutcomeResponseLost {
				lost++
			} else if outcome != OutcomeAnswered {
				t.Fatal(outcome)
			}
		}
		for range 10 {
			send(1100 * time.Millisecond)
		}
		if lost != 1 || pools.Counters.DroppedWhileIdle.Load() != 1 {
			t.Errorf("careful %t: %d lost, %d learned", notRepeatable, lost, pools.Counters.DroppedWhileIdle.Load())
		}
		// Well within the learned lifetime a connection is reused; other pools are not affected.
		_, before := e.seen()
		send(0)
		send(200 * time.Millisecond)
		if _, conns := e.seen(); conns > before+1 {
			t.Errorf("careful %t: %d connections, %d before", notRepeatable, conns, before)
		}
		if bound := pools.learned.limit("other", notRepeatable, h.Elapsed()); bound < 10*time.Second {
			t.Errorf("careful %t: %v elsewhere", notRepeatable, bound)
		}
		h.advance(2 * time.Minute)
		if bound := pools.learned.limit("p", notRepeatable, h.Elapsed()); bound < 10*time.Second {
			t.Errorf("careful %t: still %v after two minutes", notRepeatable, bound)
		}
	}
}

func TestPassedDeadlineDoesNotShortenIdleLifetime(t *testing.T) {
	h := newFakeClock()
	pools := New(h, dialect.Own())
	e := listen(t, func(conn net.Conn, id string, _, number int) bool {
		if number == 0 {
			writeText(conn, sealedResponse(id, "pong"))
		}
		return true
	})
	// On a busy machine the deadline may pass before the first byte is written, which is another case: then anew.
	outcome, rounds := OutcomeUnreachable, uint64(0)
	for ; outcome == OutcomeUnreachable; rounds++ {
		if outcome, _, _ := sendAndRead(pools, attempt(h, e.address, "a0")); outcome != OutcomeAnswered {
			t.Fatal(outcome)
		}
		a := attempt(h, e.address, "a1")
		a.Deadline = h.Elapsed() + clock.Mark(30*time.Millisecond)
		outcome, _, _ = sendAndRead(pools, a)
	}
	if outcome != OutcomeResponseLost && outcome != OutcomeProtocolError || pools.Counters.Reused.Load() != rounds || pools.Counters.DroppedWhileIdle.Load() != 0 {
		t.Error(outcome, rounds, pools.Counters.Reused.Load(), pools.Counters.DroppedWhileIdle.Load())
	}
}

// TestReleasedConnectionIsNotInterrupted: several callers share few connections, and how long each took to make is
// reported once, to the attempt that dialed it. The race detector shows any access after the release.
func TestReleasedConnectionIsNotInterrupted(t *testing.T) {
	const callers, each = 8, 100
	pools := New(clock.System{}, dialect.Own())
	e := listen(t, func(conn net.Conn, id string, _, _ int) bool {
		writeText(conn, rejectionResponse("503 Busy", id))
		return true
	})
	var announced atomic.Int64
	var wait sync.WaitGroup
	for caller := range callers {
		wait.Go(func() {
			for number := range each {
				a := attempt(newFakeClock(), e.address, fmt.Sprintf("c%dn%d", caller, number))
				a.Deadline = clock.System{}.Elapsed() + clock.Mark(20*time.Second)
				answer := pools.Send(a)
				if answer.Outcome != OutcomeRejected {
					t.Errorf("%v %s", answer.Outcome, answer.Reason)
				}
				if answer.ConnectTime > 0 {
					announced.Add(1)
				}
			}
		})
	}
	wait.Wait()
	if dialed := pools.Counters.Dialed.Load(); uint64(announced.Load()) != dialed || dialed >= callers*each {
		t.Errorf("%d connections were made, and %d times one was told of", dialed, announced.Load())
	}
}

// TestHasIdleMatchesNextAttempt: an idle connection, as long as an attempt of its kind may take it.
func TestHasIdleMatchesNextAttempt(t *testing.T) {
	h := newFakeClock()
	pools := New(h, dialect.Own())
	e := listen(t, func(conn net.Conn, id string, _, _ int) bool {
		writeText(conn, responseText("200 OK", id, "Cresspond-Seal: s\r\nKeep-Alive: timeout=4\r\n", "pong"))
		return true
	})
	first := attempt(h, e.address, "a0")
	warm := func(notRepeatable bool) bool {
		return pools.HasIdle(first.Engine, first.Address, first.Pool, notRepeatable)
	}
	if warm(false) || warm(true) {
		t.Error("warm before any connection")
	}
	if _, body, err := sendAndRead(pools, first); body != "pong" || err != nil {
		t.Fatal(body, err)
	}
	for _, test := range []struct {
		after         time.Duration
		warm, careful bool
	}{{2700 * time.Millisecond, true, true}, {200 * time.Millisecond, true, false}, {900 * time.Millisecond, false, false}} {
		h.advance(test.after)
		if warm(false) != test.warm || warm(true) != test.careful {
			t.Errorf("%v later: %t, careful %t", test.after, warm(false), warm(true))
		}
	}
}
