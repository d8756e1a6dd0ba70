package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/process/engines/nodehealth"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/request/forwarding"
	"github.com/cresspond/cresspond/wire/dialect"
)

// fakeClock is a clock that a test advances.
type fakeClock struct{ now clock.Mark }

func (c *fakeClock) Elapsed() clock.Mark { return c.now }
func (c *fakeClock) Wall() time.Time     { return time.Time{} }

// pausedReader gives one event a read, each after a pause of its own.
type pausedReader struct {
	clock  *fakeClock
	pauses []time.Duration
	next   int
}

func (p *pausedReader) Read(into []byte) (int, error) {
	if p.next == len(p.pauses) {
		return 0, io.EOF
	}
	p.clock.now += clock.Mark(p.pauses[p.next])
	p.next++
	return copy(into, fmt.Sprintf("id: %d\ndata: x\n\n", p.next)), nil
}

// measured is a stream whose engine pauses so; slow is how long its caller takes before each read.
func measured(pauses []time.Duration, slow time.Duration, change func(*forwarding.Request, *forwarding.Attempt)) []nodehealth.Digest {
	watch := &fakeClock{now: clock.Mark(time.Hour)}
	recorder := nodehealth.NewRecorder()
	record := forwarding.Request{Attributes: dialect.Ask{Model: "m", Attempt: "a"}, Path: &upstream.Path{Name: "one", Host: "h", Rank: 1}}
	send := forwarding.Attempt{Engine: "e", Pool: "p", EngineRunning: 9, PrefillTokens: 1000, GapTargetMs: 100}
	if change != nil {
		change(&record, &send)
	}
	f := &exchange{Gateway: &Gateway{Dependencies: Dependencies{Clock: watch, Recorder: recorder}}, request: &record, attempt: &send}
	s := &stream{exchange: f, events: bufio.NewReaderSize(&pausedReader{clock: watch, pauses: pauses}, eventBufferSize)}
	f.recordSend()
	if err := s.readEvents(); err != nil {
		panic(err)
	}
	f.recordFirstByte(200)
	for {
		if len(s.pending) == 0 {
			watch.now += clock.Mark(slow)
		}
		if _, err := s.Read(make([]byte, 4096)); err != nil {
			break
		}
	}
	return recorder.TakeDigests()
}

func values(digests []nodehealth.Digest, kind nodehealth.Kind) (out []uint32) {
	for _, digest := range digests {
		if digest.Class.Kind == kind {
			for _, bucket := range digest.Buckets {
				for range bucket.Count {
					out = append(out, bucket.Value)
				}
			}
		}
	}
	return out
}

func about(got []uint32, want ...uint32) bool {
	return slices.EqualFunc(got, want, func(a, b uint32) bool { return a >= b-b/8 && a <= b+b/8 })
}

func TestEventGapsAreMeasured(t *testing.T) {
	reports := measured([]time.Duration{300 * time.Millisecond, 20 * time.Millisecond, 20 * time.Millisecond, time.Second}, 0, nil)
	if got := values(reports, nodehealth.Transfer); !about(got, 300) {
		t.Fatalf("the first event came after 300 ms: %v", got)
	}
	if got := values(reports, nodehealth.Stall); !about(got, 200, 200, 10_000) {
		t.Fatalf("two pauses of a fifth of the longest aimed at, one of ten times: %v", got)
	}
	for _, digest := range reports {
		if digest.Engine != "e" || digest.Class.Pool != "p" || digest.Class.Model != "m" || digest.Class.Load != nodehealth.LoadBand(9) {
			t.Fatalf("%+v", digest)
		}
	}
}

// A caller that takes its time makes the engine wait, so that what it then shows is the caller's pause.
func TestSlowCallerGapsAreNotAttributedToEngine(t *testing.T) {
	if got := values(measured([]time.Duration{1e6, 1e6, 1e6, 1e6}, 2*time.Second, nil), nodehealth.Stall); len(got) > 0 {
		t.Fatalf("the caller was slow: %v", got)
	}
	if got := values(measured([]time.Duration{1e6, 3e9, 3e9}, time.Second, nil), nodehealth.Stall); len(got) != 2 {
		t.Fatalf("the engine was slower than its caller: %v", got)
	}
}

// Nothing of a request's host or route changes what is recorded.
func TestMeasurementsOmitRoute(t *testing.T) {
	pauses := []time.Duration{3e8, 2e7, 1e9}
	usual := fmt.Sprint(measured(pauses, 0, nil))
	for name, change := range map[string]func(*forwarding.Request, *forwarding.Attempt){
		"route": func(r *forwarding.Request, _ *forwarding.Attempt) {
			r.Path = &upstream.Path{Name: "other", Host: "else", Prefix: "/x/", Rank: 7}
		},
		"host":    func(r *forwarding.Request, _ *forwarding.Attempt) { r.Host, r.URLPath = "house-7", "/y/" },
		"attempt": func(r *forwarding.Request, _ *forwarding.Attempt) { r.Attributes.Attempt = "another" },
		"parts": func(r *forwarding.Request, _ *forwarding.Attempt) {
			r.Attributes.Parts = []dialect.Part{{ID: "session-of-house-3"}}
		},
		"urgency": func(_ *forwarding.Request, s *forwarding.Attempt) {
			s.Urgency, s.NotRepeatable, s.NeedsWorkerID = 5, true, true
		},
	} {
		if got := fmt.Sprint(measured(pauses, 0, change)); got != usual {
			t.Errorf("%s: %s\nwas %s", name, got, usual)
		}
	}
}

// readUntil reads up to and with a text.
func readUntil(t *testing.T, reader *bufio.Reader, text string) string {
	t.Helper()
	var got []byte
	for !bytes.Contains(got, []byte(text)) {
		next, err := reader.ReadByte()
		if err != nil {
			t.Fatalf("%v after %q", err, got)
		}
		got = append(got, next)
	}
	return string(got)
}

func TestCompleteResponsesAndConnectsAreMeasured(t *testing.T) {
	engine := newFakeEngine(t, "e1", func(a arrival) bool { writeText(a, completeText(idOf(a), "fine")); return true })
	f := newFixture(t, engine)
	f.gateway.Recorder = nodehealth.NewRecorder()
	f.call(ask("once", "a1", "x"))
	f.call(ask("once", "a2", "x"))
	reports := f.gateway.Recorder.TakeDigests()
	if len(values(reports, nodehealth.Transfer)) != 2 || len(values(reports, nodehealth.Connect)) == 0 || len(values(reports, nodehealth.Stall)) != 0 {
		t.Fatalf("two answers: %v", reports)
	}
}

// A resumable stream at an evacuated engine continues at another one, each event once; a request that may not
// run twice stays until its end.
func TestStreamsMigrateFromEvacuatedEngine(t *testing.T) {
	release := make(chan struct{})
	head := func(a arrival) string {
		return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + idOf(a) + "\r\nCresspond-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	}
	piece := func(n int) string {
		text := fmt.Sprintf("id: %d\ndata: x\n\n", n)
		return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	}
	var first string
	serve := func() func(a arrival) bool {
		return func(a arrival) bool {
			from := 1
			if after := a.request.Header.Get("Last-Event-Id"); after != "" {
				_, _ = fmt.Sscan(after, &from)
				from++
			}
			writeText(a, head(a)+piece(from))
			if from == 1 {
				// It stalls here, until it is let go on.
				select {
				case <-release:
				case <-t.Context().Done():
				}
			}
			for n := from + 1; n <= 4; n++ {
				writeText(a, piece(n))
			}
			writeText(a, lastChunk)
			return true
		}
	}
	one, two := newFakeEngine(t, "e1", serve()), newFakeEngine(t, "e2", serve())
	f := newFixture(t, one, two)
	evacuated := func(engine *registry.Engine) bool { return string(engine.ID) == first }
	f.evacuated.Store(&evacuated)
	for _, c := range []struct {
		path  string
		moves bool
	}{{"resume", true}, {"stream", false}} {
		first = ""
		conn := f.dial()
		_, _ = io.WriteString(conn, ask(c.path, "id-"+c.path, "x"))
		reader := bufio.NewReader(conn)
		response := readUntil(t, reader, "id: 1")
		for _, s := range []*fakeEngine{one, two} {
			for _, a := range s.arrivals() {
				if idOf(a) == "id-"+c.path {
					first = string(s.id)
				}
			}
		}
		f.gateway.MigrateEvacuated()
		if !c.moves {
			close(release)
		}
		response += readUntil(t, reader, "0\r\n\r\n")
		for n := 1; n <= 4; n++ {
			if got := strings.Count(response, fmt.Sprintf("id: %d\n", n)); got != 1 {
				t.Fatalf("%s: event %d came %d times: %s", c.path, n, got, response)
			}
		}
		arrived := 0
		for _, s := range []*fakeEngine{one, two} {
			for _, a := range s.arrivals() {
				if idOf(a) == "id-"+c.path {
					arrived++
				}
			}
		}
		if want := map[bool]int{true: 2, false: 1}[c.moves]; arrived != want {
			t.Fatalf("%s arrived %d times", c.path, arrived)
		}
	}
}
