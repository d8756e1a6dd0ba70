package endtoend

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/testbed/engine"
	"github.com/cresspond/cresspond/testbed/journal"
	"github.com/cresspond/cresspond/wire/callerapi"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

func TestInvalidRequestsAreAnsweredAndReachNoEngine(t *testing.T) {
	b := start(t, nil, engine.Config{})
	sound := `{"route":"r","house":"h","model":"m","prompt":"route=r;x","deadlineMs":5000}`
	with := func(old, new string) string { return strings.Replace(sound, old, new, 1) }
	cases := []struct {
		name, attempt, body, field string
		status                     int
	}{
		{"not JSON", "a1", `{"route":`, "", 400},
		{"empty", "a2", ``, "", 400},
		{"an array", "a3", `[]`, "", 400},
		{"something after it", "a4", sound + `{}`, "", 400},
		{"unknown field", "a5", with(`"route"`, `"rout"`), "rout", 400},
		{"wrong type", "a6", with(`5000`, `"soon"`), "deadlineMs", 400},
		{"no route", "a7", with(`"route":"r",`, ``), "route", 400},
		{"no prompt", "a8", with(`"prompt":"route=r;x",`, ``), "prompt", 400},
		{"unknown route", "a9", with(`"route":"r"`, `"route":"q"`), "route", 404},
		{"another's route", "a10", with(`"house":"h"`, `"house":"k"`), "house", 403},
		{"unknown model", "a11", with(`"model":"m"`, `"model":"n"`), "model", 404},
		{"disallowed model", "a12", with(`"model":"m"`, `"model":"other"`), "model", 403},
		{"unknown adapter", "a13", with(`"model"`, `"adapter":"z","model"`), "adapter", 404},
		{"adapter of another model", "a14", with(`"model"`, `"adapter":"b","model"`), "adapter", 403},
		{"no deadline", "a15", with(`,"deadlineMs":5000`, ``), "deadlineMs", 400},
		{"deadline below zero", "a16", with(`5000`, `-1`), "deadlineMs", 400},
		{"deadline too far", "a17", with(`5000`, `99999999`), "deadlineMs", 400},
		{"deadline past all numbers", "a18", with(`5000`, `1e400`), "deadlineMs", 400},
		{"too large", "a19", with(`route=r;x`, strings.Repeat("x", 5000)), "", 413},
		{"no attempt id", "", sound, "X-Attempt-Id", 400},
		{"attempt id too long", strings.Repeat("x", 300), sound, "X-Attempt-Id", 400},
		{"attempt id with a blank", "a b", sound, "X-Attempt-Id", 400},
		{"session too long", "a20", with(`"model"`, `"session":"`+strings.Repeat("s", 300)+`","model"`), "session", 400},
	}
	for _, c := range cases {
		request, err := http.NewRequest(http.MethodPost, "http://"+b.address+callerapi.PathGenerate, strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set(callerapi.HeaderAttempt, c.attempt)
		response, err := client.Do(request)
		if err != nil {
			t.Fatal(c.name, err)
		}
		var reply callerapi.Error
		decode(t, response, &reply)
		if response.StatusCode != c.status || reply.Outcome != callerapi.Invalid || reply.Field != c.field || reply.Reason == "" {
			t.Errorf("%s: status %d, %+v; want %d and field %q", c.name, response.StatusCode, reply, c.status, c.field)
		}
	}
	// What is not even HTTP, and what is larger than is ever read.
	for _, raw := range []string{"GARBAGE\r\n\r\n", "POST /v1/generate HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n", "POST /v1/generate HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n", "POST /v1/generate HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nZZ\r\n"} {
		conn := b.dial()
		fmt.Fprint(conn, raw)
		_ = conn.CloseWrite()
		if answer := rest(conn); answer != "" && !strings.HasPrefix(answer, "HTTP/1.1 4") {
			t.Errorf("%q was answered with %q", raw, answer)
		}
	}
	if status, _ := b.get(callerapi.PathGenerate, nil); status != 405 {
		t.Errorf("GET was answered with %d", status)
	}
	if n := len(b.lines(journal.Arrive, "")); n != 0 {
		t.Errorf("%d requests reached the engine", n)
	}
	if record := b.call("sound", work()); !record.Complete() {
		t.Errorf("after all that, a sound request got %+v", record)
	}
}

func TestFaultyEngines(t *testing.T) {
	cases := []struct {
		fault   string
		outcome callerapi.Outcome
		// mid says that pieces go out before the fault shows.
		mid bool
	}{
		{"gap", callerapi.BrokenOff, true}, {"repeat", callerapi.BrokenOff, true}, {"foreign", callerapi.BrokenOff, true},
		{"early", callerapi.BrokenOff, true}, {"stall", callerapi.BrokenOff, true}, {"abort", callerapi.BrokenOff, true},
		{"junk", callerapi.BrokenOff, true}, {"endless", callerapi.BrokenOff, true},
		{"hang", callerapi.Unknown, false}, {"drop", callerapi.Unknown, false},
	}
	for _, c := range cases {
		t.Run(c.fault, func(t *testing.T) {
			b := start(t, nil, engine.Config{Fault: c.fault})
			request := work()
			request.DeadlineMs = 3000
			body := encode(t, request)
			conn := b.dial()
			fmt.Fprint(conn, closing(wire("attempt", body)))
			raw := rest(conn)
			// The truth at the level of HTTP: a stream that is not whole has no last chunk.
			if c.mid {
				if !strings.HasPrefix(raw, "HTTP/1.1 200") || !strings.Contains(raw, `"n":1`) {
					t.Errorf("no pieces came first: %q", raw)
				}
				if strings.Contains(raw, "\r\n0\r\n") {
					t.Errorf("the broken stream ended with a last chunk: %q", raw)
				}
				if strings.Contains(raw, `"final":true`) || strings.Contains(raw, "someone-else") {
					t.Errorf("what the engine got wrong went through: %q", raw)
				}
			} else if !strings.HasPrefix(raw, "HTTP/1.1 502") {
				t.Errorf("got %q", raw)
			}
			if !strings.Contains(raw, `"outcome":"`+string(c.outcome)+`"`) {
				t.Errorf("the outcome is not told as %s: %q", c.outcome, raw)
			}
			// Fasthttp's client would have tried again in silence: the engine must have seen it once.
			if n := len(b.lines(journal.Arrive, "attempt")); n != 1 {
				t.Errorf("the engine saw the attempt %d times", n)
			}
		})
	}
}

func TestIdempotentRequestIsRetriedWithinTheBudget(t *testing.T) {
	b := start(t, nil, engine.Config{Slots: 1, ChunkTime: 10 * time.Millisecond}, engine.Config{Slots: 1, ChunkTime: 10 * time.Millisecond})
	for round := 0; strings.Count(fmt.Sprint(b.status().Engines), "m:loaded") < 2; round++ {
		b.crowd(fmt.Sprint("warm-", round))
	}
	before, arrivedBefore := b.counter("goes_again"), len(b.lines(journal.Arrive, ""))
	b.stands[0].SetFault("drop")
	request := work()
	request.Repeatable = true
	complete, unknown, refused := 0, 0, 0
	const requests = 30
	for i := range requests {
		switch record := b.call(fmt.Sprint("again-", i), request); {
		case record.Complete():
			complete++
		case record.Outcome == callerapi.Unknown:
			unknown++
		case record.Outcome == callerapi.Refused:
			refused++
		default:
			t.Errorf("got %+v", record)
		}
	}
	again := b.counter("goes_again") - before
	if complete == 0 || again == 0 || again > 10+requests/10 {
		t.Errorf("%d whole, %d unknown, %d refused, %d goes again", complete, unknown, refused, again)
	}
	if arrivals := len(b.lines(journal.Arrive, "")) - arrivedBefore; uint64(arrivals) != uint64(requests)+again {
		t.Errorf("%d arrivals for %d requests and %d counted retries", arrivals, requests, again)
	}
	request.Repeatable = false
	for i := range 10 {
		attempt := fmt.Sprint("once-", i)
		b.call(attempt, request)
		if n := len(b.lines(journal.Begin, attempt)); n > 1 {
			t.Errorf("%s may not be repeated and ran %d times", attempt, n)
		}
	}
}

// crowd sends more than one engine can run at once, so that the planner wants another replica.
func (b *bench) crowd(name string) {
	var wait sync.WaitGroup
	for i := range 12 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			b.call(fmt.Sprintf("%s-%d", name, i), work())
		}()
	}
	wait.Wait()
}

func TestAReplayDoesNotRunAgain(t *testing.T) {
	b := start(t, nil, engine.Config{})
	if record := b.call("same", work()); !record.Complete() {
		t.Fatalf("%+v", record)
	}
	if record := b.call("same", work()); record.Status != 409 || record.Outcome != callerapi.Replay {
		t.Fatalf("%+v", record)
	}
	if n := len(b.lines(journal.Begin, "same")); n != 1 {
		t.Fatalf("it ran %d times", n)
	}
}

func TestAnotherBodyUnderAKnownAttemptIsNotRun(t *testing.T) {
	b := start(t, nil, engine.Config{})
	if record := b.call("same", work()); !record.Complete() {
		t.Fatalf("%+v", record)
	}
	other := work()
	other.Prompt = "route=r;another"
	if record := b.call("same", other); record.Outcome != callerapi.Replay || !strings.Contains(record.Reason, "another request") {
		t.Errorf("%+v", record)
	}
	if n := len(b.lines(journal.Begin, "same")); n != 1 {
		t.Errorf("it ran %d times", n)
	}
}

func TestARefusedRequestMayComeAgainAndNeverRan(t *testing.T) {
	b := start(t, nil, engine.Config{})
	b.zone(true)
	request := work()
	request.DeadlineMs = 300
	record := b.call("late", request)
	if record.Status != 503 || record.Outcome != callerapi.Refused || !record.RetryAfter {
		t.Fatalf("%+v", record)
	}
	b.zone(false)
	if n := len(b.lines(journal.Arrive, "late")); n != 0 {
		t.Fatalf("it reached an engine %d times", n)
	}
	if record := b.call("late", work()); !record.Complete() {
		t.Fatalf("the same id, never run, was not let in again: %+v", record)
	}
}

func TestHighestValueGoesFirstAndTenantsRotate(t *testing.T) {
	b := start(t, nil, engine.Config{Slots: 4, ChunkTime: 25 * time.Millisecond})
	var wait sync.WaitGroup
	send := func(route, tenant string, n int) {
		request := work()
		request.Route, request.House, request.DeadlineMs = route, tenant, 30000
		wait.Add(1)
		go func() {
			defer wait.Done()
			if record := b.call(fmt.Sprintf("%s-%d", route, n), request); !record.Complete() {
				t.Errorf("%s-%d: %+v", route, n, record)
			}
		}()
	}
	// A burst of one house first, then the rival's few, then the high bids; all slots are taken by the first.
	for i := range 16 {
		send("r", "h", i)
	}
	b.await("the burst is held", func() bool { return b.counter("requests_held_now") >= 12 })
	for i := range 3 {
		send("rival", "k", i)
		send("high", "h", i)
	}
	b.await("all are let in", func() bool { return b.counter("requests_let_in") == 22 })
	bidding := journal.Now()
	wait.Wait()
	// Four may have been on their way already; from then on all highest bids go before anything else, and
	// the rival, who has had no turn, takes turns with the burst.
	const onTheirWay = 4
	after, othersBeforeHigh := 0, 0
	for _, line := range b.lines(journal.Begin, "") {
		if line.At < bidding {
			continue
		}
		after++
		switch {
		case strings.HasPrefix(line.Attempt, "high"):
			if othersBeforeHigh > onTheirWay {
				t.Errorf("%s began after %d lower bids", line.Attempt, othersBeforeHigh)
			}
		case strings.HasPrefix(line.Attempt, "rival") && after > onTheirWay+3+2*3:
			t.Errorf("%s waited behind the burst until place %d", line.Attempt, after)
		default:
			othersBeforeHigh++
		}
	}
	if after < 10 {
		t.Errorf("only %d began after all had bid", after)
	}
}

func TestClientThatDisconnectsCancelsTheAttempt(t *testing.T) {
	b := start(t, nil, engine.Config{ChunkTime: 30 * time.Millisecond})
	conn := b.dial()
	fmt.Fprint(conn, wire("leaver", encode(t, work())))
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(line, `"n":0`) {
			break
		}
	}
	_ = conn.SetLinger(0)
	conn.Close()
	b.await("the engine sees the go cancelled", func() bool { return len(b.lines(journal.Cancel, "leaver")) == 1 })
	if n := len(b.lines(journal.Arrive, "leaver")); n != 1 {
		t.Errorf("%d arrivals", n)
	}
}

// zone shuts or opens the engines' zone.
func (b *bench) zone(closed bool) {
	b.t.Helper()
	base := b.status().ClosureVersion
	if status, reply := b.answered(operatorapi.PathZone, encode(b.t, operatorapi.ZoneClosure{Zone: "here", Closed: &closed, Base: &base, Operator: "ana"})); status != 200 {
		b.t.Fatal(status, reply)
	}
}

// TestQueuedRequestsOfDisconnectedClientsAreDropped: whoever is gone gives its place up at once, however it went, and
// no engine hears of it; one that only said all it had to say is answered.
func TestQueuedRequestsOfDisconnectedClientsAreDropped(t *testing.T) {
	b := start(t, nil, engine.Config{})
	b.zone(true)
	request := work()
	request.DeadlineMs = 30000
	conns := map[string]*net.TCPConn{}
	for _, name := range []string{"closes", "resets", "half"} {
		conns[name] = b.dial()
		fmt.Fprint(conns[name], closing(wire(name, encode(t, request))))
	}
	b.await("all are held", func() bool { return b.counter("requests_held_now") == 3 })
	conns["closes"].Close()
	_ = conns["resets"].SetLinger(0)
	conns["resets"].Close()
	_ = conns["half"].CloseWrite()
	b.await("those who left are dropped", func() bool { return b.counter("requests_held_now") == 1 && b.counter("callers_left") == 2 })
	b.zone(false)
	if raw := rest(conns["half"]); !strings.Contains(raw, `"final":true`) || !strings.HasSuffix(raw, "0\r\n\r\n") {
		t.Errorf("got %q", raw)
	}
	for _, name := range []string{"closes", "resets"} {
		if n := len(b.lines(journal.Arrive, name)); n != 0 {
			t.Errorf("%s left and reached an engine", name)
		}
	}
}

func TestASlowReaderHoldsUpNobody(t *testing.T) {
	b := start(t, nil, engine.Config{})
	for i := range 3 {
		conn := b.dial()
		fmt.Fprint(conn, wire(fmt.Sprint("slow-", i), encode(t, work())))
	}
	for i := range 5 {
		if record := b.call(fmt.Sprint("quick-", i), work()); !record.Complete() {
			t.Errorf("%+v", record)
		}
	}
}

func TestAHalfClosedCallerIsAnswered(t *testing.T) {
	b := start(t, nil, engine.Config{})
	conn := b.dial()
	fmt.Fprint(conn, closing(wire("half", encode(t, work()))))
	_ = conn.CloseWrite()
	if raw := rest(conn); !strings.Contains(raw, `"final":true`) || !strings.HasSuffix(raw, "0\r\n\r\n") {
		t.Errorf("got %q", raw)
	}
}

func TestPipelinedAndReusedConnectionsKeepAnswersApart(t *testing.T) {
	b := start(t, nil, engine.Config{ChunkTime: time.Millisecond, Slots: 8})
	var wait sync.WaitGroup
	for c := range 4 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			conn := b.dial()
			var all strings.Builder
			for i := range 10 {
				all.WriteString(wire(fmt.Sprintf("pipe-%d-%d", c, i), encode(t, work())))
			}
			fmt.Fprint(conn, all.String())
			reader := bufio.NewReader(conn)
			for i := range 10 {
				attempt := fmt.Sprintf("pipe-%d-%d", c, i)
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Error(attempt, err)
					return
				}
				lines := bufio.NewScanner(response.Body)
				count, final := 0, false
				for lines.Scan() {
					if !strings.Contains(lines.Text(), `"`+attempt+`"`) {
						t.Errorf("%s got %s", attempt, lines.Text())
					}
					count++
					final = strings.Contains(lines.Text(), `"final":true`)
				}
				if !final || count != engine.ChunksFor(attempt)+1 || lines.Err() != nil {
					t.Errorf("%s got %d lines, final %t, %v", attempt, count, final, lines.Err())
				}
			}
		}()
	}
	wait.Wait()
}

func TestQueueIsBounded(t *testing.T) {
	b := start(t, func(s *document.Configuration) { s.Limits.MaxPending = 5 }, engine.Config{Slots: 1, ChunkTime: 20 * time.Millisecond})
	var wait sync.WaitGroup
	outcomes := make(chan string, 40)
	for i := range 40 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			request := work()
			request.DeadlineMs = 6000
			record := b.call(fmt.Sprint("many-", i), request)
			outcomes <- fmt.Sprint(record.Status, record.Outcome, record.RetryAfter)
			if record.Outcome == callerapi.Refused && len(b.lines(journal.Arrive, record.Attempt)) > 0 && len(b.lines(journal.Begin, record.Attempt)) > 0 {
				t.Errorf("%s was refused and ran", record.Attempt)
			}
		}()
	}
	wait.Wait()
	close(outcomes)
	counts := map[string]int{}
	for outcome := range outcomes {
		counts[outcome]++
	}
	if counts["429refusedtrue"] == 0 || counts["200false"] == 0 {
		t.Errorf("outcomes: %v", counts)
	}
}

func TestAnEngineSmallerThanTheBundleSaysIsFilledAndNotFlooded(t *testing.T) {
	t.Parallel()
	request := work()
	request.DeadlineMs = 30000
	// A stand-in that gets no processor frees a slot later than its last byte tells, and must refuse what comes for
	// it. So the count is made again with a fresh one, three times in all: who floods does so each time.
	for count := 1; ; count++ {
		b := startAgain(t, func(s *document.Configuration) { s.Engines[0].Slots = 4 }, engine.Config{Slots: 2, ChunkTime: 5 * time.Millisecond})
		var wait sync.WaitGroup
		for i := range 12 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				if record := b.call(fmt.Sprint("small-", i), request); !record.Complete() {
					t.Errorf("%+v", record)
				}
			}()
		}
		wait.Wait()
		refused := len(b.lines(journal.Refuse, ""))
		if refused <= 4 {
			return
		}
		if count == 3 {
			t.Fatalf("the engine had to refuse %d times", refused)
		}
		b.end()
	}
}

func TestGracefulShutdownFinishesRequestsThatWereRead(t *testing.T) {
	b := start(t, nil, engine.Config{ChunkTime: 40 * time.Millisecond, Slots: 2})
	var wait sync.WaitGroup
	for i := range 6 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			if record := b.call(fmt.Sprint("stopping-", i), work()); !record.Complete() {
				t.Errorf("%+v", record)
			}
		}()
	}
	b.await("all are let in", func() bool { return b.counter("requests_let_in") == 6 })
	close(b.stop)
	b.await("the daemon says that it is not ready", func() bool { status, _ := b.get(operatorapi.PathReady, nil); return status != 200 })
	wait.Wait()
	if err := <-b.ended; err != nil {
		t.Error(err)
	}
	// The data folder is whole: another life serves the same epoch.
	b.stop, b.hurry = make(chan struct{}), make(chan struct{})
	b.run()
	b.await("the next life serves", func() bool { return b.status().Ready && b.status().ConfigurationVersion == 1 })
	// What ran in the life before is forgotten, so for a while nothing is run that may not run twice.
	if record := b.call("stopping-0", work()); record.Outcome != callerapi.Unknown || !record.RetryAfter {
		t.Errorf("%+v", record)
	}
	b.await("the next life takes all work", func() bool { return b.call("after", work()).Complete() })
	if n := len(b.lines(journal.Begin, "after")); n != 1 {
		t.Errorf("it ran %d times", n)
	}
}
