package connectionpool

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/cresspond/cresspond/wire/dialect"
)

// earlyEngine answers each request when it has read its head, and reads on only when the test lets it.
type earlyEngine struct {
	address string
	readOn  chan struct{}
	// due is, for each connection in order, what came behind its first head.
	due chan []byte
}

func listenEarly(t *testing.T, answer func(id string) string) *earlyEngine {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	e := &earlyEngine{address: listener.Addr().String(), readOn: make(chan struct{}), due: make(chan []byte, 8)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn, answer)
		}
	}()
	return e
}

func (e *earlyEngine) serve(conn net.Conn, answer func(id string) string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	writeText(conn, answer(request.Header.Get("X-Attempt-Id")))
	<-e.readOn
	behind, _ := io.ReadAll(reader)
	e.due <- behind
}

// countStrayBytes counts what is not of the body that is due.
func countStrayBytes(behind []byte, filler byte) int {
	return len(behind) - bytes.Count(behind, []byte{filler})
}

// largeBody passes all that connections take without being read.
const largeBody = 16 << 20

// TestEarlyResponseIsAcceptedAndNoStrayBytesFollow: the engine answers before it has read a long body,
// keeps the connection and reads on later. That does not delay its response, and the next request uses another connection.
func TestEarlyResponseIsAcceptedAndNoStrayBytesFollow(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(id string) string
		want   []Outcome
	}{
		"refused":  {func(id string) string { return rejectionResponse("503 Service Unavailable", id) }, []Outcome{OutcomeRejected}},
		"answered": {func(id string) string { return sealedResponse(id, "pong") }, []Outcome{OutcomeAnswered}},
		"foreign":  {func(string) string { return sealedResponse("other", "pong") }, []Outcome{OutcomeResponseLost, OutcomeProtocolError}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newFakeClock()
			pools := New(h, dialect.Own())
			e := listenEarly(t, c.answer)
			first := attempt(h, e.address, "a")
			first.Body = bytes.Repeat([]byte{'x'}, largeBody)
			// The engine reads on only once this has come back.
			if outcome, _, err := sendAndRead(pools, first); !slices.Contains(c.want, outcome) || err != nil {
				t.Fatal(outcome, err)
			}
			if busy, idle := pools.Open(); busy+idle != 0 {
				t.Errorf("%d busy and %d idle connections are left with a body due", busy, idle)
			}
			sendAndRead(pools, attempt(h, e.address, "b"))
			h.advance(time.Minute)
			pools.Sweep(nil)
			close(e.readOn)
			for range 2 {
				behind := <-e.due
				// The second request has a short body of its own.
				if stray := countStrayBytes(behind, 'x'); stray != 0 && string(behind) != "body" {
					t.Errorf("%d bytes where the rest of a body was due", stray)
				}
				if len(behind) >= largeBody {
					t.Error("the body fitted whole, so nothing was tried")
				}
			}
		})
	}
}

// TestEarlyResponseCheckDetectsReusedConnection is the broken variant: a client that uses the connection again.
func TestEarlyResponseCheckDetectsReusedConnection(t *testing.T) {
	e := listenEarly(t, func(id string) string { return rejectionResponse("503 Service Unavailable", id) })
	conn, err := net.Dial("tcp", e.address)
	if err != nil {
		t.Fatal(err)
	}
	writeText(conn, fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nContent-Length: %d\r\n\r\n", 100))
	writeText(conn, "xxxxxxxxxx")
	if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
		t.Fatal(err)
	}
	writeText(conn, "POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: b\r\nContent-Length: 0\r\n\r\n")
	conn.Close()
	close(e.readOn)
	if countStrayBytes(<-e.due, 'x') == 0 {
		t.Error("a request in place of a body was not seen")
	}
}

// TestResponseWithoutIDIsAcceptedOnNewConnectionOnly: on one that was used it may be a late answer to another.
func TestResponseWithoutIDIsAcceptedOnNewConnectionOnly(t *testing.T) {
	unnamed := "HTTP/1.1 200 OK\r\nCresspond-Seal: s\r\nContent-Length: 4\r\n\r\npong"
	h := newFakeClock()
	pools := New(h, dialect.Own())
	e := listen(t, func(conn net.Conn, id string, _, number int) bool {
		if id == "named" {
			writeText(conn, sealedResponse(id, "ping"))
		} else {
			writeText(conn, unnamed)
		}
		return true
	})
	for n, c := range []struct {
		id     string
		policy MissingIDPolicy
		want   Outcome
		conns  int
	}{
		{"a", RejectMissingID, OutcomeProtocolError, 1}, {"b", AllowMissingIDOnNew, OutcomeAnswered, 2}, {"c", AllowMissingIDOnNew, OutcomeAnswered, 3},
		{"named", AllowMissingIDOnNew, OutcomeAnswered, 4}, {"d", AllowMissingIDOnNew, OutcomeProtocolError, 4}, {"e", AllowMissingIDOnNew, OutcomeAnswered, 5},
		// The broken variant: whoever takes it on a kept connection is seen by the same count.
		{"f", AllowMissingIDOnIdle, OutcomeAnswered, 6}, {"g", AllowMissingIDOnIdle, OutcomeAnswered, 6},
	} {
		a := attempt(h, e.address, c.id)
		a.MissingID = c.policy
		outcome, _, err := sendAndRead(pools, a)
		if _, conns := e.seen(); outcome != c.want || err != nil || conns != c.conns {
			t.Errorf("%d: %s after %d connections, %v", n, outcome, conns, err)
		}
	}
}

// TestInterimResponseIsSkipped: what 1xx announces is passed over, and a change of protocol is no answer at all.
func TestInterimResponseIsSkipped(t *testing.T) {
	for status, want := range map[string]Outcome{"101 Switching Protocols": OutcomeProtocolError, "102 Processing": OutcomeAnswered, "103 Early Hints": OutcomeAnswered, "199 Odd": OutcomeAnswered} {
		h := newFakeClock()
		pools := New(h, dialect.Own())
		e := listen(t, func(conn net.Conn, id string, _, _ int) bool {
			writeText(conn, "HTTP/1.1 "+status+"\r\nX-Attempt-Id: "+id+"\r\n\r\n"+sealedResponse(id, "pong"))
			return true
		})
		outcome, body, err := sendAndRead(pools, attempt(h, e.address, "a"))
		if outcome != want || outcome == OutcomeAnswered && (body != "pong" || err != nil) {
			t.Errorf("%s: %s %q %v", status, outcome, body, err)
		}
	}
}

// TestFullyReadLargeRequestKeepsItsConnection: only what is still due spoils a connection.
func TestFullyReadLargeRequestKeepsItsConnection(t *testing.T) {
	h := newFakeClock()
	pools := New(h, dialect.Own())
	e := listen(t, func(conn net.Conn, id string, _, _ int) bool {
		writeText(conn, sealedResponse(id, "pong"))
		return true
	})
	for n := range 50 {
		a := attempt(h, e.address, fmt.Sprint("a", n))
		a.Body = bytes.Repeat([]byte{'x'}, 1<<20)
		if outcome, body, err := sendAndRead(pools, a); outcome != OutcomeAnswered || body != "pong" || err != nil {
			t.Fatal(outcome, body, err)
		}
	}
	// On a busy machine the writer may wait for its turn; a connection is lost then, and nothing else.
	if _, conns := e.seen(); conns > 10 {
		t.Errorf("%d connections for 50 requests, one after the other", conns)
	}
}
