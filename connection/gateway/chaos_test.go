package gateway

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/request/forwarding"
)

// executionLog is what the engines of a test saw.
type executionLog struct {
	mutex sync.Mutex
	// ran counts the runs of each id, refused those that an engine guaranteed not to have run.
	ran, refused map[string]int
	bodies       map[string]string
}

func (l *executionLog) note(id, body string, ran bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if ran {
		l.ran[id]++
		l.bodies[id] = body
		return
	}
	l.refused[id]++
}

// chaotic is an engine that does anything that engines do, drawn for each request.
func (l *executionLog) chaotic(seal string, random func(int) int) func(a arrival) bool {
	return func(a arrival) bool {
		id := idOf(a)
		stream := strings.HasPrefix(a.request.RequestURI, "/stream/") || strings.HasPrefix(a.request.RequestURI, "/resume/")
		from := 0
		_, _ = fmt.Sscan(a.request.Header.Get("Last-Event-Id"), &from)
		kind := random(14)
		l.note(id, a.body, kind > 2)
		body := "to " + id
		switch kind {
		case 0:
			rejectNotRun(a, "503 Service Unavailable")
		case 1:
			rejectNotRun(a, "421 Misdirected Request")
		case 2:
			rejectNotRun(a, "429 Too Many Requests")
			return false
		case 3:
			return false
		case 4:
			_ = a.conn.(*net.TCPConn).SetLinger(0)
			return false
		case 5:
			writeText(a, completeText("other", "x"))
			return false
		case 6:
			writeText(a, failed(a, "500 Internal Server Error"))
		case 7:
			text := completeResponse(a, body)
			writeText(a, text[:random(len(text))])
			return false
		case 8:
			writeText(a, completeResponse(a, body)+completeResponse(a, body))
		case 9:
			if stream {
				chunks(a, seal, events(from+1, from+1+random(3)))
				return false
			}
			writeText(a, completeResponse(a, body))
			return false
		default:
			if stream {
				chunks(a, seal)
				for n := from + 1; n <= 6; n++ {
					writeText(a, fmt.Sprintf("%x\r\n%s\r\n", len(event(n)), event(n)))
				}
				writeText(a, lastChunk)
				return true
			}
			writeText(a, completeResponse(a, body))
		}
		return true
	}
}

// TestNoRequestRunsTwiceAndResponsesAreTruthfulUnderFaults: many callers at once, some of whom leave, before engines that refuse,
// break, mix up, repeat and cut, while the table and the engines change.
func TestNoRequestRunsTwiceAndResponsesAreTruthfulUnderFaults(t *testing.T) {
	var drawing sync.Mutex
	source := rand.New(rand.NewPCG(11, 5))
	random := func(n int) int {
		drawing.Lock()
		defer drawing.Unlock()
		return source.IntN(n)
	}
	l := &executionLog{ran: map[string]int{}, refused: map[string]int{}, bodies: map[string]string{}}
	var engines []*fakeEngine
	for n := range 4 {
		engines = append(engines, newFakeEngine(t, ident.EngineID(fmt.Sprint("e", n)), l.chaotic(fmt.Sprint("seal", n), random)))
	}
	f := newFixture(t, engines...)
	complete := f.index.Load()
	moved := path("once", upstream.Once)
	moved.Shares[0].Pool = "q"
	moved.TargetMs = 40
	elsewhere := upstream.NewIndex(&upstream.Section{Revision: 2, Paths: append([]upstream.Path{moved}, complete.Section.Paths[1:]...), Pools: []upstream.Pool{{Name: "p"}, {Name: "q"}}})

	type received struct {
		path, id string
		result
		left bool
	}
	const callers, each = 12, 30
	answers := make(chan received, callers*each)
	var wait sync.WaitGroup
	for caller := range callers {
		wait.Go(func() {
			conn := f.dial()
			reader := bufio.NewReader(conn)
			for n := range each {
				one := received{path: []string{"once", "again", "stream", "resume"}[random(4)], id: fmt.Sprintf("c%dn%d", caller, n)}
				_, _ = io.WriteString(conn, ask(one.path, one.id, "body of "+one.id, "Cresspond-Deadline-Ms: 3000"))
				if one.left = random(12) == 0; one.left {
					conn.Close()
				} else {
					one.result = read(reader)
				}
				answers <- one
				if one.left || one.err != nil || one.closes {
					conn.Close()
					conn = f.dial()
					reader = bufio.NewReader(conn)
				}
			}
		})
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(3 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			f.index.Store([]*upstream.Index{complete, complete, elsewhere}[random(3)])
			f.engines(engines[random(2):]...)
			f.actor.Wake()
		}
	}()
	wait.Wait()
	close(stop)
	<-stopped
	close(answers)
	for f.gateway.Counters.Read.Load() < callers*each || f.gateway.OpenRequests() > 0 {
		// Those whose callers left are read late, and end at the next look.
		f.actor.Wake()
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	statuses := map[int]int{}
	for one := range answers {
		statuses[one.status]++
		name := fmt.Sprintf("%s %s: %d %q %v, %d runs", one.path, one.id, one.status, one.body, one.err, l.ran[one.id])
		ran := l.ran[one.id]
		if ran > 1 && (one.path == "once" || one.path == "stream") {
			t.Errorf("%s: ran twice", name)
		}
		if body, there := l.bodies[one.id]; there && body != "body of "+one.id {
			t.Errorf("%s: ran as %q", name, body)
		}
		if one.left {
			continue
		}
		switch {
		case one.status == 503 && ran > 0:
			t.Errorf("%s: refused what ran", name)
		case one.status == 429 || one.status == 421 || one.status == 408 || one.status == 404 || one.status == 400:
			t.Errorf("%s: not ours to say", name)
		case one.status == 200 && one.err == nil:
			expected := "to " + one.id
			if one.path == "stream" || one.path == "resume" {
				if strings.HasPrefix(one.body, "to ") {
					break
				}
				expected = events(1, 6)
			}
			if one.body != expected || one.head.Get("X-Attempt-Id") != one.id || one.head.Get("Cresspond-Seal") == "" {
				t.Errorf("%s: not its answer", name)
			}
		case one.status == 200 && !strings.HasPrefix(events(1, 6), one.body) && !strings.HasPrefix("to "+one.id, one.body):
			t.Errorf("%s: not the beginning of its answer", name)
		}
	}
	f.actor.Do(func(c *forwarding.Core, _ forwarding.Environment) {
		t.Logf("%v, %d resumed, %+v", statuses, f.gateway.Counters.Resumed.Load(), c.Counters)
	})
	if busy, _ := f.pools.Open(); busy != 0 {
		t.Errorf("%d connections left busy", busy)
	}
}
