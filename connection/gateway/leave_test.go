package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/request/forwarding"
)

// soon is when the callers of these tests leave: well after the request, but sooner than they are all looked at.
const soon = pollInterval / 2

// halfCloser is a connection of which one side can be closed.
type halfCloser interface {
	net.Conn
	CloseWrite() error
}

// disconnect closes a connection soon, or only the sending side of it.
func disconnect(conn halfCloser, half bool) {
	time.AfterFunc(soon, func() {
		if half {
			_ = conn.CloseWrite()
		} else {
			conn.Close()
		}
	})
}

// networks are a kind of connection on which the system dates what comes, and one on which it does not.
var networks = []string{"tcp", "unix"}

// over serves the fixture's gateway on a network, and connects to it there; nothing is accepted before let is closed.
func (f *fixture) over(network string, let chan struct{}) halfCloser {
	f.t.Helper()
	address := "127.0.0.1:0"
	if network == "unix" {
		address = filepath.Join(f.t.TempDir(), "socket")
	}
	listener, err := net.Listen(network, address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { listener.Close() })
	server := &fasthttp.Server{Handler: f.gateway.Handle, Logger: discardLogger{}}
	go func() { _ = server.Serve(late{listener, let}) }()
	conn, err := net.Dial(network, listener.Addr().String())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return conn.(halfCloser)
}

// opened lets connections be accepted at once.
func opened() chan struct{} {
	let := make(chan struct{})
	close(let)
	return let
}

// late is a listener that accepts nothing before it is let.
type late struct {
	net.Listener
	let chan struct{}
}

func (l late) Accept() (net.Conn, error) {
	<-l.let
	return l.Listener.Accept()
}

// newUnresponsiveEngine is an engine that says when it has read a request, and answers nothing until its connection ends.
func newUnresponsiveEngine(t *testing.T) (engine *fakeEngine, came chan string) {
	came = make(chan string, 16)
	return newFakeEngine(t, "e1", func(a arrival) bool {
		came <- idOf(a)
		_, _ = a.conn.Read(make([]byte, 1))
		return false
	}), came
}

// TestEarlyDisconnectEndsAttempt: a connection that ends a while after the request is no request of a
// caller that had no more to say, also where nobody has looked at it before. No other engine gets it either.
func TestEarlyDisconnectEndsAttempt(t *testing.T) {
	for _, class := range []string{"once", "again", "stream", "resume"} {
		for way := range 2 * len(networks) {
			engine, came := newUnresponsiveEngine(t)
			other := newFakeEngine(t, "e2", engine.answer)
			f := newFixture(t, engine, other)
			conn, half := f.over(networks[way/2], opened()), way%2 == 0
			_, _ = io.WriteString(conn, ask(class, "a1", "ping"))
			<-came
			disconnect(conn, half)
			ended := make(chan struct{})
			go func() {
				select {
				case <-engine.closed:
				case <-other.closed:
				}
				close(ended)
			}()
			select {
			case <-ended:
			case <-time.After(3 * time.Second):
				t.Errorf("%s over %s, half closed %t: its engine still works on it", class, networks[way/2], half)
			}
			for f.gateway.OpenRequests() > 0 {
				runtime.Gosched()
			}
			if all := len(engine.arrivals()) + len(other.arrivals()); all != 1 {
				t.Errorf("%s: it was sent %d times", class, all)
			}
		}
	}
}

// TestDisconnectRightAfterTheRequestEndsItsAttempt guards against work for callers that leave tens of milliseconds after
// their request, as impatient ones of a quick path do: they were taken for callers that have nothing more to say.
func TestDisconnectRightAfterTheRequestEndsItsAttempt(t *testing.T) {
	const after = 30 * time.Millisecond
	for _, class := range []string{"again", "resume"} {
		engine, came := newUnresponsiveEngine(t)
		f := newFixture(t, engine)
		// A later close than this only makes it easier, since the system dates it.
		conn := f.over("tcp", opened())
		_, _ = io.WriteString(conn, ask(class, "a1", "ping"))
		time.AfterFunc(after, func() { conn.Close() })
		<-came
		select {
		case <-engine.closed:
		case <-time.After(3 * time.Second):
			t.Errorf("%s: its engine still works on it", class)
		}
	}
}

// TestCallersAreFirstPolledSoonAfterTheirRequest: where the system does not date the end of a caller's side, only a look
// before it tells a caller that leaves from one that has nothing more to say.
func TestCallersAreFirstPolledSoonAfterTheirRequest(t *testing.T) {
	if most := firstPollAfter + minPollSpacing; most > 20*time.Millisecond {
		t.Error(most)
	}
}

// TestDisconnectEndsIdleStream: an engine that says nothing gives no occasion to write to
// a disconnected caller, so its disconnect must be found by polling.
func TestDisconnectEndsIdleStream(t *testing.T) {
	for _, class := range []string{"stream", "resume"} {
		engine := newFakeEngine(t, "e1", func(a arrival) bool {
			chunks(a, "s", event(1))
			_, _ = a.conn.Read(make([]byte, 1))
			return false
		})
		f := newFixture(t, engine)
		conn := f.dial()
		_, _ = io.WriteString(conn, ask(class, "a1", "ping"))
		readUntil(t, bufio.NewReader(conn), "piece 1")
		time.AfterFunc(2*pollInterval, func() { conn.Close() })
		select {
		case <-engine.closed:
		case <-time.After(3 * time.Second):
			t.Errorf("%s: its engine still works on it", class)
		}
		for f.gateway.OpenRequests() > 0 {
			runtime.Gosched()
		}
		if len(engine.arrivals()) != 1 {
			t.Errorf("%s: it was sent again", class)
		}
	}
}

// TestRequestOfDisconnectedCallerIsNotSent: a request that was read only after its caller had given up reaches no
// engine.
func TestRequestOfDisconnectedCallerIsNotSent(t *testing.T) {
	engine := newFakeEngine(t, "e1", func(a arrival) bool { writeText(a, completeResponse(a, "pong")); return true })
	f := newFixture(t, engine)
	let := make(chan struct{})
	conn := f.over("tcp", let)
	_, _ = io.WriteString(conn, ask("again", "a1", "ping"))
	time.AfterFunc(soon, func() { conn.Close(); close(let) })
	for f.gateway.Counters.Read.Load() == 0 || f.gateway.OpenRequests() > 0 {
		runtime.Gosched()
	}
	if all := len(engine.arrivals()); all != 0 {
		t.Errorf("it was sent %d times", all)
	}
}

// TestHalfClosedCallersGetAllResponses: their side ends right behind several requests, the first of
// which is answered slowly.
func TestHalfClosedCallersGetAllResponses(t *testing.T) {
	for _, network := range networks {
		engine := newFakeEngine(t, "e1", func(a arrival) bool {
			if strings.HasPrefix(a.request.RequestURI, "/once/") {
				writeText(a, completeResponse(a, "pong"))
				return true
			}
			chunks(a, "s")
			ticker := time.NewTicker(pollInterval / 4)
			defer ticker.Stop()
			for n := 1; n <= 12; n++ {
				<-ticker.C
				fmt.Fprintf(a.conn, "%x\r\n%s\r\n", len(event(n)), event(n))
			}
			writeText(a, "0\r\n\r\n")
			return true
		})
		f := newFixture(t, engine)
		conn := f.over(network, opened())
		_, _ = io.WriteString(conn, ask("stream", "a1", "ping")+ask("once", "a2", "ping")+ask("stream", "a3", "ping")+ask("once", "a4", "ping"))
		_ = conn.CloseWrite()
		reader := bufio.NewReader(conn)
		for n := 1; n <= 4; n++ {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(network, n, err)
			}
			if _, err := io.ReadAll(response.Body); err != nil || response.StatusCode != http.StatusOK || response.Header.Get("X-Attempt-Id") != fmt.Sprint("a", n) {
				t.Errorf("answer %d over %s: %d %v", n, network, response.StatusCode, err)
			}
		}
	}
}

// TestCallersArePolledWithinHalfASecond: a deployment may allow work for a caller that has left for no longer.
func TestCallersArePolledWithinHalfASecond(t *testing.T) {
	if pollInterval > 250*time.Millisecond {
		t.Error(pollInterval)
	}
	if forwarding.DefaultSettings().DeadlineSlack+pollInterval > 300*time.Millisecond {
		t.Error("a deadline and a look together take too long")
	}
}
