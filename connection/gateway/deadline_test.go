package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
)

// TestAttemptCarriesTimeLeft: by the client's own time or its path's, whichever is shorter, and also where the
// client said none; an attempt that is made later bears less by what went by.
func TestAttemptCarriesTimeLeft(t *testing.T) {
	const work = 150 * time.Millisecond
	for _, c := range []struct {
		field string
		most  int
	}{{"", 5000}, {"Cresspond-Deadline-Ms: 2000", 2000}, {"Cresspond-Deadline-Ms: 60000", 5000}, {"Cresspond-Deadline-Ms: soon", 5000}} {
		for _, class := range []string{"once", "again", "stream", "resume"} {
			var mutex sync.Mutex
			var left []int
			answer := func(a arrival) bool {
				said := a.request.Header.Values("Cresspond-Deadline-Ms")
				milliseconds, err := strconv.Atoi(fmt.Sprint(said)[1 : len(fmt.Sprint(said))-1])
				if err != nil {
					t.Errorf("%s, %q: an attempt bears %v", class, c.field, said)
				}
				mutex.Lock()
				defer mutex.Unlock()
				if left = append(left, milliseconds); len(left) == 1 {
					<-time.After(work)
					rejectNotRun(a, "503 Service Unavailable")
				} else {
					writeText(a, completeResponse(a, "pong"))
				}
				return true
			}
			var engines []*fakeEngine
			for _, id := range []ident.EngineID{"e1", "e2"} {
				engines = append(engines, newFakeEngine(t, id, answer))
			}
			fields := []string{"X-Own: 1"}
			if c.field != "" {
				fields = append(fields, c.field)
			}
			if got := newFixture(t, engines...).call(ask(class, "a1", "ping", fields...)); got.status != 200 {
				t.Errorf("%s, %q: %+v", class, c.field, got)
			}
			if len(left) != 2 || left[0] > c.most || left[0] < c.most/2 || left[1] > left[0]-int(work.Milliseconds()) {
				t.Errorf("%s, %q: the attempts bear %v", class, c.field, left)
			}
		}
	}
}

// TestStreamPastDeadlineIsBrokenOff: it must not look complete, and its engine's work ends.
func TestStreamPastDeadlineIsBrokenOff(t *testing.T) {
	for _, class := range []string{"stream", "resume"} {
		engine := newFakeEngine(t, "e1", func(a arrival) bool {
			chunks(a, "s")
			ticker := time.NewTicker(20 * time.Millisecond)
			defer ticker.Stop()
			for n := 1; ; n++ {
				<-ticker.C
				if _, err := io.WriteString(a.conn, fmt.Sprintf("%x\r\n%s\r\n", len(event(n)), event(n))); err != nil {
					return false
				}
			}
		})
		f := newFixture(t, engine)
		short := path(class, upstream.Stream)
		short.DeadlineMs, short.Resumable = 300, class == "resume"
		f.index.Store(upstream.NewIndex(&upstream.Section{Revision: 2, Pools: []upstream.Pool{{Name: "p"}}, Paths: []upstream.Path{short}}))
		began := time.Now()
		got := f.call(ask(class, "a1", "ping", "Cresspond-Deadline-Ms: 60000"))
		if got.status != 200 || got.err == nil || time.Since(began) < 300*time.Millisecond {
			t.Errorf("%s after %v: %+v", class, time.Since(began), got)
		}
		<-engine.closed
		if len(engine.arrivals()) != 1 {
			t.Errorf("%s: it was sent %d times", class, len(engine.arrivals()))
		}
	}
}

// TestEarlyRespondingEngineStillReceivesBody: it reads on after its response, finds the rest of the body there, and
// then the next request from its beginning.
func TestEarlyRespondingEngineStillReceivesBody(t *testing.T) {
	const size = 1 << 20
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	var mutex sync.Mutex
	ran := map[string]string{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.CopyN(io.Discard, request.Body, size/8)
					id := request.Header.Get("X-Attempt-Id")
					_, _ = io.WriteString(conn, completeText(id, "early"))
					// It reads on later, when the answer is long with the caller.
					<-time.After(20 * time.Millisecond)
					rest, err := io.ReadAll(request.Body)
					mutex.Lock()
					ran[id] = fmt.Sprintf("%s %d %v %v", request.RequestURI, len(rest), len(bytes.Trim(rest, id[:1])), err)
					mutex.Unlock()
				}
			}()
		}
	}()
	engine := &fakeEngine{id: "e1", listener: listener}
	f := newFixture(t, engine)
	for n := range 8 {
		id := string(rune('a'+n)) + "1"
		if got := f.call(ask("again", id, strings.Repeat(id[:1], size))); got.status != 200 || got.body != "early" || got.head.Get("X-Attempt-Id") != id {
			t.Errorf("%s: %+v", id, got)
		}
	}
	f.pools.Sweep(func(ident.EngineID) bool { return false })
	for {
		mutex.Lock()
		done := len(ran) == 8
		mutex.Unlock()
		if done {
			break
		}
		runtime.Gosched()
	}
	for id, saw := range ran {
		if saw != fmt.Sprintf("/again/x?q=%%41 %d 0 <nil>", size-size/8) {
			t.Errorf("%s: %s", id, saw)
		}
	}
}

// TestClientWorkHeadersAreForwardedUnchanged: the fields that say how much work a request is are read, and left.
func TestClientWorkHeadersAreForwardedUnchanged(t *testing.T) {
	for _, fields := range [][3]string{
		{"m/a1", "1460,80", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"},
		{"m", "1460 , 80", "5c:800, 91:410"},
		{"M/", "x", "5c"},
		{"m/a/b", "1e3,5", ","},
	} {
		engine := newFakeEngine(t, "e1", func(a arrival) bool { writeText(a, completeResponse(a, "pong")); return true })
		f := newFixture(t, engine)
		names := [3]string{"Cresspond-Model", "Cresspond-Tokens", "Cresspond-Parts"}
		var said []string
		for place, name := range names {
			said = append(said, name+": "+fields[place])
		}
		f.call(ask("again", "a1", "ping", said...))
		for _, a := range engine.arrivals() {
			for place, name := range names {
				if got := a.request.Header.Values(name); len(got) != 1 || got[0] != fields[place] {
					t.Errorf("%s: %q came as %q", name, fields[place], got)
				}
			}
		}
		if len(engine.arrivals()) == 0 && fields[0] == "m/a1" {
			t.Error("it was not sent")
		}
	}
}
