package engine_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/checker"
	"github.com/cresspond/cresspond/testbed/platformtest/client"
	"github.com/cresspond/cresspond/testbed/platformtest/engine"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/loopback"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

func modelConfig() engine.Config {
	return engine.Config{Name: "lm", Service: "lm", Zone: "a", Address: loopback.Host() + ":0", HealthPath: "/health", MaxConns: 50, Model: true,
		Pace: engine.Pace{Slots: 4, Waiting: 2, Memory: 4000, StepTime: 200 * time.Microsecond, PerRequest: 50 * time.Microsecond, PrefillPerMs: 1000, PrefillAtOnce: 500, Stride: 2},
		Capacity: engine.Capacity{Catalogue: protocol.EngineID{WeightsMb: 100, AdapterCapacity: 2, Models: []protocol.CatalogModel{
			{Label: "m", WeightsMb: 50, LoadTimeS: 0.01, Adapters: 2, AdapterSizeMb: 1}, {Label: "n", WeightsMb: 40, LoadTimeS: 0.01}, {Label: "big", WeightsMb: 90, LoadTimeS: 0.01}}},
			DiskShare: 0.5, AdapterTime: time.Millisecond},
		InitialModels: []protocol.Holding{{Label: "m", Generation: 1}}, ReportLag: 5 * time.Millisecond, Seed: 1}
}

func plainConfig() engine.Config {
	return engine.Config{Name: "plain", Service: "plain", Zone: "a", Address: loopback.Host() + ":0", HealthPath: "/health", MaxConns: 50, Slots: 2, Waiting: 1, Work: time.Millisecond, AnswerBytes: 300, Seed: 1}
}

type testEngine struct {
	t        *testing.T
	recorder *history.Recorder
	engine   *engine.Engine
	client   *client.Client
}

func start(t *testing.T, config engine.Config) *testEngine {
	t.Helper()
	recorder := history.NewRecorder(clock.System{})
	e := engine.New(config, recorder)
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	c := &client.Client{Recorder: recorder, NextAttemptID: client.NewAttemptIDs(1), KeepAlive: true,
		PickDaemon: func(string) (client.Daemon, bool) {
			return client.Daemon{Name: "engine", Address: e.Config.Address}, true
		}}
	t.Cleanup(c.Close)
	return &testEngine{t, recorder, e, c}
}

func streamed(out int) *client.Request {
	return &client.Request{ID: "r", Kind: "k", Host: "h", Method: http.MethodPost, URI: "/s/x", Body: []byte("prompt"), Class: protocol.Streaming, Deadline: 30 * time.Second, Target: time.Second, Gap: time.Second,
		Prompt: protocol.Prompt{Model: "m", TokensIn: 100, TokensOut: out, Parts: []protocol.Part{{ID: "aa", Tokens: 60}, {ID: "bb", Tokens: 40}}}}
}

func plain() *client.Request {
	return &client.Request{ID: "r", Kind: "k", Host: "h", Method: http.MethodPost, URI: "/p/x?q=1", Body: bytes.Repeat([]byte("b"), 2000), Class: protocol.Mutating, Deadline: 30 * time.Second, Target: time.Second}
}

// once sends one request and gives its last try as written down.
func (s *testEngine) once(r *client.Request) *history.Attempt {
	s.t.Helper()
	attempts := s.client.Do(context.Background(), r)
	if len(attempts) == 0 {
		s.t.Fatal("nothing was tried")
	}
	last := attempts[len(attempts)-1].AttemptID
	for _, attempt := range s.recorder.Snapshot().Attempts {
		if attempt.AttemptID == last {
			return attempt
		}
	}
	panic("a try is not in the book")
}

// await waits for a condition; the guard only ends a hang.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	guard := time.After(30 * time.Second)
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !holds() {
		select {
		case <-guard:
			t.Fatal("timed out waiting until " + what)
		case <-tick.C:
		}
	}
}

// violations holds what was seen against the rules on answers.
func (s *testEngine) violations(rules ...string) (violations []string) {
	complete := &protocol.Config{Generation: 1, Routes: []protocol.Route{
		{Label: "s", Authority: "h", PathPrefix: "/s/", Class: protocol.Streaming, DeadlineMs: 30000, Backend: "lm"}, {Label: "p", Authority: "h", PathPrefix: "/p/", Class: protocol.Mutating, DeadlineMs: 30000, Backend: "plain"}}}
	s.recorder.Record(func(h *history.History) {
		h.Changes = []*history.Change{{Generation: 1, Config: complete, Outcome: history.Acknowledged, Began: h.Began, Answered: h.Began}}
	})
	for _, finding := range checker.CheckAll(s.recorder.Snapshot(), checker.Bounds{RetryWindow: time.Second, OriginWindow: time.Second}) {
		for _, rule := range rules {
			if finding.Rule == rule {
				violations = append(violations, finding.Violations...)
			}
		}
	}
	return violations
}

var onAnswers = []string{"MIXED", "UNASKED", "TWICE", "REFUSED", "ROUTE", "ORDER", "LIMIT"}

func (s *testEngine) sound() {
	s.t.Helper()
	if violations := s.violations(onAnswers...); len(violations) > 0 {
		s.t.Error(violations)
	}
}

func TestAnEngineStreamsAndAPlainOneAnswersByLengthAndInChunks(t *testing.T) {
	t.Parallel()
	s := start(t, modelConfig())
	for range 3 {
		attempt := s.once(streamed(9))
		if attempt.Status != 200 || !attempt.Complete || len(attempt.Events) != 5 || attempt.Events[4].ID != "5" {
			t.Fatalf("%+v", attempt)
		}
	}
	s.sound()
	h := s.recorder.Snapshot()
	if h.Arrivals[0].CachedTokens != 0 || h.Arrivals[1].CachedTokens != 100 || h.Arrivals[0].Began == 0 {
		t.Fatalf("%+v", h.Arrivals[1])
	}
	if !h.Attempts[0].FirstOnConnection || h.Attempts[1].FirstOnConnection {
		t.Fatal("the connection was not kept")
	}
	for _, chunked := range []bool{false, true} {
		config := plainConfig()
		config.Chunked = chunked
		p := start(t, config)
		r := plain()
		r.Chunked = chunked
		if attempt := p.once(r); attempt.Status != 200 || !attempt.Complete || len(attempt.ResponseBody) != 300 {
			t.Fatalf("%+v", attempt)
		}
		p.sound()
	}
}

func TestAStreamResumesAfterTheLastEvent(t *testing.T) {
	t.Parallel()
	s := start(t, modelConfig())
	r := streamed(9)
	r.Header = map[string]string{protocol.LastEvent: "3"}
	attempt := s.once(r)
	if len(attempt.Events) != 2 || attempt.Events[0].ID != "4" || !attempt.Complete {
		t.Fatalf("%+v", attempt)
	}
	s.engine.Inject(engine.Fault{Kind: engine.Break, At: 480})
	r = streamed(40)
	r.Resumable, r.MaxAttempts = true, 3
	attempts := s.client.Do(context.Background(), r)
	if len(attempts) != 2 || attempts[1].LastEvent == "" || !attempts[1].Complete || attempts[0].Complete {
		t.Fatalf("%+v", attempts)
	}
}

func TestAnEngineRejectsRequestsForOthers(t *testing.T) {
	t.Parallel()
	s := start(t, modelConfig())
	absent, adapter, other, version, nameless := streamed(4), streamed(4), streamed(4), streamed(4), streamed(4)
	absent.Prompt.Model, adapter.Prompt.Adapter = "n", "a1"
	other.Header = map[string]string{protocol.Target: "i-other-1"}
	version.Header = map[string]string{protocol.ExpectVersion: "2"}
	nameless.Header = map[string]string{protocol.Attempt: ""}
	for _, one := range []struct {
		what   string
		r      *client.Request
		status int
	}{{"an absent model", absent, 421}, {"an absent adapter", adapter, 421}, {"another instance", other, 421}, {"another version", version, 421}, {"no id", nameless, 400}} {
		if attempt := s.once(one.r); attempt.Status != one.status || !attempt.Complete {
			t.Errorf("%s: %+v", one.what, attempt)
		}
	}
	for _, arrival := range s.recorder.Snapshot().Arrivals {
		if arrival.Ran() || !arrival.Rejected {
			t.Errorf("%+v", arrival)
		}
	}
}

func TestAFullEngineAndAnExpiredQueueAnswerNotExecuted(t *testing.T) {
	t.Parallel()
	config := plainConfig()
	config.Work = time.Hour
	s := start(t, config)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	for n := range 3 {
		c := &client.Client{Recorder: s.recorder, NextAttemptID: client.NewAttemptIDs(uint64(n + 10)), PickDaemon: s.client.PickDaemon}
		done.Add(1)
		go func() { defer done.Done(); c.Do(ctx, plain()) }()
	}
	await(t, "two run and one waits", func() bool {
		ran, here := 0, 0
		for _, arrival := range s.recorder.Snapshot().Arrivals {
			here++
			if arrival.Ran() {
				ran++
			}
		}
		return ran == 2 && here == 3
	})
	if attempt := s.once(plain()); attempt.Status != 503 {
		t.Errorf("%+v", attempt)
	}
	if attempt := s.once(&client.Request{Host: "h", Method: http.MethodGet, URI: "/health", Deadline: 30 * time.Second}); attempt.Status != 503 {
		t.Errorf("a probe of a full engine: %+v", attempt)
	}
	cancel()
	done.Wait()
	// Those whose callers have left make room.
	await(t, "room is made", func() bool {
		for _, arrival := range s.recorder.Snapshot().Arrivals {
			if !arrival.HealthCheck && !arrival.Rejected && !arrival.CallerClosed {
				return false
			}
		}
		return true
	})
	if attempt := s.once(&client.Request{Host: "h", Method: http.MethodGet, URI: "/health", Deadline: 30 * time.Second}); attempt.Status != 200 {
		t.Errorf("a probe: %+v", attempt)
	}
}

// order posts an order and gives the status, or 0 without an answer.
func (s *testEngine) order(order protocol.Order) int {
	data, _ := json.Marshal(order)
	response, err := http.Post("http://"+s.engine.Config.Address+protocol.PathOrder, "application/json", bytes.NewReader(data))
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

func (s *testEngine) report() (report protocol.Report) {
	response, err := http.Get("http://" + s.engine.Config.Address + protocol.PathReport)
	if err != nil {
		return report
	}
	defer response.Body.Close()
	_ = json.NewDecoder(response.Body).Decode(&report)
	return report
}

func TestOrdersShowInReportsThatLag(t *testing.T) {
	t.Parallel()
	s := start(t, modelConfig())
	fence := uint64(1)
	load := protocol.Order{Operation: protocol.Load, Model: "n", Owner: "o", Fence: &fence}
	if status := s.order(load); status != 202 {
		t.Fatal(status)
	}
	await(t, "the model shows", func() bool { return len(s.report().Models) == 2 })
	if report := s.report(); report.CallSeq != 1 || report.Saturated {
		t.Fatalf("%+v", report)
	}
	s.engine.LoseOrders(1)
	if status := s.order(protocol.Order{Operation: protocol.Evict, Model: "n", Owner: "o", Fence: &fence}); status != 0 {
		t.Fatal(status)
	}
	await(t, "the order without an answer shows", func() bool { return len(s.report().Models) == 1 && s.report().CallSeq == 2 })
	id := s.engine.Current()
	if status := s.order(protocol.Order{Operation: protocol.Load, Model: "big", Owner: "o", Fence: &fence}); status != 202 && status != 0 {
		t.Fatal(status)
	}
	await(t, "the engine has fallen", func() bool { return s.engine.Current() == "" })
	if len(s.violations("LIMIT")) != 1 {
		t.Error("the order over the room was not noticed")
	}
	if err := s.engine.Start(); err != nil {
		t.Fatal(err)
	}
	if s.engine.Current() == id || len(s.report().Models) != 0 || s.report().CallSeq != 0 {
		t.Errorf("%s then %s, %+v", id, s.engine.Current(), s.report())
	}
}

func TestAnEvictionWaitsForRunningRequestsAndRejectsNewOnes(t *testing.T) {
	t.Parallel()
	config := modelConfig()
	config.Pace.StepTime = 2 * time.Millisecond
	s := start(t, config)
	result := make(chan *history.Attempt, 1)
	go func() { result <- s.once(streamed(200)) }()
	await(t, "the stream has begun", func() bool {
		h := s.recorder.Snapshot()
		return len(h.Arrivals) == 1 && h.Arrivals[0].Ran()
	})
	fence := uint64(1)
	if status := s.order(protocol.Order{Operation: protocol.Evict, Model: "m", Owner: "o", Fence: &fence}); status != 202 {
		t.Fatal(status)
	}
	other := &client.Client{Recorder: s.recorder, NextAttemptID: client.NewAttemptIDs(5), PickDaemon: s.client.PickDaemon}
	if attempts := other.Do(context.Background(), streamed(4)); attempts[0].Status != 503 {
		t.Errorf("%+v", attempts[0])
	}
	if attempt := <-result; !attempt.Complete || len(attempt.Events) != 100 {
		t.Errorf("%+v", attempt)
	}
	await(t, "it is unloaded", func() bool { return len(s.report().Models) == 0 })
	if attempt := s.once(streamed(4)); attempt.Status != 421 {
		t.Errorf("%+v", attempt)
	}
}

// controls is a list of control daemons that answer as they are told.
type controls struct {
	mutex  sync.Mutex
	beats  []protocol.Registration
	gone   []string
	answer func(number int, w http.ResponseWriter, r *http.Request)
	server *httptest.Server
}

func newControls(t *testing.T, answer func(int, http.ResponseWriter, *http.Request)) *controls {
	c := &controls{answer: answer}
	c.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		c.mutex.Lock()
		var heartbeat protocol.Registration
		if r.Method == http.MethodDelete {
			c.gone = append(c.gone, strings.TrimPrefix(r.URL.Path, protocol.PathEngines))
		} else if json.Unmarshal(data, &heartbeat) == nil {
			c.beats = append(c.beats, heartbeat)
		}
		number := len(c.beats)
		c.mutex.Unlock()
		if c.answer != nil {
			c.answer(number, w, r)
		}
	}))
	t.Cleanup(c.server.Close)
	return c
}

func (c *controls) address() string { return strings.TrimPrefix(c.server.URL, "http://") }

func (c *controls) heard() ([]protocol.Registration, []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]protocol.Registration{}, c.beats...), append([]string{}, c.gone...)
}

func TestHeartbeatsFailOverToTheNextDaemonAndFollowTheirTarget(t *testing.T) {
	t.Parallel()
	second := newControls(t, nil)
	first := newControls(t, func(_ int, w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"beat-target":%q}`, second.address())
	})
	moved := newControls(t, func(_ int, w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, first.server.URL+r.URL.Path, http.StatusTemporaryRedirect)
	})
	broken := newControls(t, func(_ int, w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) })
	wordy := newControls(t, func(_ int, w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(bytes.Repeat([]byte(" "), 5000))
	})
	config := modelConfig()
	config.HeartbeatPeriod = 3 * time.Millisecond
	config.Controls = func() []string { return []string{broken.address(), wordy.address(), "127.0.0.1:1", moved.address()} }
	s := start(t, config)
	await(t, "beats go to the target", func() bool { heartbeats, _ := second.heard(); return len(heartbeats) > 3 })
	heartbeats, _ := second.heard()
	for i, heartbeat := range heartbeats {
		if heartbeat.Backend != "lm" || heartbeat.State != protocol.StateReady || len(heartbeat.Models) != 1 || heartbeat.Address != s.engine.Config.Address || i > 0 && heartbeat.CallSeq <= heartbeats[i-1].CallSeq {
			t.Fatalf("%+v", heartbeats)
		}
	}
	// A target that fails is forgotten.
	before, _ := first.heard()
	second.server.CloseClientConnections()
	second.server.Close()
	await(t, "the list is called again", func() bool { now, _ := first.heard(); return len(now) > len(before) })
}

func TestADrainingEngineServesUntilItsBoundAfterTheAcknowledgement(t *testing.T) {
	t.Parallel()
	hold := make(chan struct{})
	c := newControls(t, func(_ int, w http.ResponseWriter, _ *http.Request) {
		select {
		case <-hold:
		default:
			w.WriteHeader(503)
		}
	})
	config := modelConfig()
	config.HeartbeatPeriod, config.DrainBound, config.DrainPatience = 3*time.Millisecond, 20*time.Millisecond, time.Hour
	config.Controls = func() []string { return []string{c.address()} }
	s := start(t, config)
	id := s.engine.Current()
	s.engine.Drain(0)
	await(t, "it says that it drains", func() bool {
		heartbeats, _ := c.heard()
		return len(heartbeats) > 0 && heartbeats[len(heartbeats)-1].State == protocol.StateDraining
	})
	if attempt := s.once(streamed(4)); attempt.Status != 200 {
		t.Errorf("%+v", attempt)
	}
	close(hold)
	await(t, "it has ended", func() bool { return s.recorder.Snapshot().Incarnations[0].Ended != 0 })
	if _, gone := c.heard(); len(gone) != 1 || gone[0] != id {
		t.Error(gone)
	}
	incarnation := s.recorder.Snapshot().Incarnations[0]
	if incarnation.DrainAcked == 0 || incarnation.Ended.Since(incarnation.DrainAcked) < config.DrainBound || incarnation.Crashed {
		t.Errorf("%+v", incarnation)
	}
	// At short notice it is gone when the time is over, acknowledged or not.
	config.Controls = func() []string { return []string{"127.0.0.1:1"} }
	short := start(t, config)
	short.engine.Drain(10 * time.Millisecond)
	await(t, "it is gone", func() bool { return short.engine.Current() == "" })
}

func TestACrashedEngineRefusesConnectionsAndAFrozenOneTimesOut(t *testing.T) {
	t.Parallel()
	s := start(t, plainConfig())
	s.engine.Freeze()
	r := plain()
	r.Deadline = 30 * time.Millisecond
	if attempt := s.once(r); !attempt.ClientClosed || attempt.Status != 0 {
		t.Errorf("%+v", attempt)
	}
	s.engine.Thaw()
	if attempt := s.once(plain()); attempt.Status != 200 {
		t.Errorf("%+v", attempt)
	}
	before := s.engine.Current()
	s.engine.Crash()
	s.client.Close()
	if attempt := s.once(plain()); attempt.Connected {
		t.Errorf("%+v", attempt)
	}
	if err := s.engine.Start(); err != nil {
		t.Fatal(err)
	}
	if s.engine.Current() == before {
		t.Error("a new life has the old id")
	}
	if attempt := s.once(plain()); attempt.Status != 200 {
		t.Errorf("%+v", attempt)
	}
	s.sound()
}

func TestFaultsOnDemand(t *testing.T) {
	t.Parallel()
	for _, one := range []struct {
		fault engine.Fault
		rules []string
		check func(*history.Attempt) bool
	}{
		{engine.Fault{Kind: engine.Malformed}, []string{"MIXED"}, func(attempt *history.Attempt) bool { return !attempt.Success() }},
		{engine.Fault{Kind: engine.WrongAttemptID}, []string{"MIXED"}, func(attempt *history.Attempt) bool { return attempt.AnsweredID != attempt.AttemptID }},
		{engine.Fault{Kind: engine.NoAttemptID}, nil, func(attempt *history.Attempt) bool { return attempt.AnsweredID == "" }},
		{engine.Fault{Kind: engine.EngineError, Status: 500}, nil, func(attempt *history.Attempt) bool { return attempt.Status == 500 && attempt.Seal != "" }},
		{engine.Fault{Kind: engine.CloseUnread}, nil, func(attempt *history.Attempt) bool { return attempt.Status == 0 }},
		{engine.Fault{Kind: engine.ExtraAnswer}, []string{"MIXED"}, func(attempt *history.Attempt) bool { return attempt.Success() }},
	} {
		s := start(t, plainConfig())
		s.engine.Inject(one.fault)
		attempt := s.once(plain())
		if !one.check(attempt) {
			t.Errorf("%s: %+v", one.fault.Kind, attempt)
		}
		if one.fault.Kind == engine.ExtraAnswer {
			await(t, "the surplus answer is seen", func() bool { return s.recorder.Snapshot().Attempts[0].Unsolicited != "" })
		}
		if bad := s.violations(onAnswers...); (len(bad) > 0) != (len(one.rules) > 0) {
			t.Errorf("%s: %v", one.fault.Kind, bad)
		}
	}
	s := start(t, plainConfig())
	s.engine.Inject(engine.Fault{Kind: engine.LateExtraAnswer})
	s.once(plain())
	if attempt := s.once(plain()); attempt.AnsweredID == attempt.AttemptID {
		t.Errorf("a surplus answer did not come in the slot of the next: %+v", attempt)
	}
}

func TestAnAnswerTruncatedAtAnyByteIsIncompleteForTheClient(t *testing.T) {
	t.Parallel()
	streams, byLength, chunked := modelConfig(), plainConfig(), plainConfig()
	byLength.AnswerBytes, chunked.AnswerBytes, chunked.Chunked = 40, 40, true
	for i, config := range []engine.Config{streams, byLength, chunked} {
		s := start(t, config)
		complete := 0
		for at := 0; complete == 0; at++ {
			r := plain()
			if i == 0 {
				r = streamed(4)
			}
			s.engine.Inject(engine.Fault{Kind: engine.Break, At: at, Reset: at%2 == 0})
			if attempt := s.once(r); attempt.Success() {
				complete++
				if h := s.recorder.Snapshot(); h.Arrivals[len(h.Arrivals)-1].Broken {
					t.Fatalf("cut at byte %d, and it looks whole: %+v", at, attempt)
				}
			}
			if at > 2000 {
				t.Fatal("no answer was ever whole")
			}
		}
		s.sound()
	}
}

func TestConnectionsBeyondTheLimitAreReset(t *testing.T) {
	t.Parallel()
	config := plainConfig()
	config.MaxConns = 2
	s := start(t, config)
	var conns []*client.Conn
	for range 2 {
		conn, err := client.Dial(context.Background(), s.recorder, "engine", s.engine.Config.Address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conns = append(conns, conn)
		// An answer shows that the connection has been taken.
		attempt := &history.Attempt{AttemptID: fmt.Sprint("conn", len(conns)), Method: http.MethodPost, URI: "/p/x"}
		client.Send(context.Background(), conn, plain(), attempt, 30*time.Second, "")
		if attempt.Status != 200 {
			t.Fatalf("%+v", attempt)
		}
	}
	if attempt := s.once(plain()); attempt.Status != 0 {
		t.Errorf("%+v", attempt)
	}
	conns[0].Close()
	await(t, "a place is free", func() bool { return s.once(plain()).Status == 200 })
}

func TestIdleConnectionsAreClosedAndSomeAnswersAnnounceIt(t *testing.T) {
	t.Parallel()
	config := plainConfig()
	config.IdleClose = 5 * time.Millisecond
	s := start(t, config)
	conn, err := client.Dial(context.Background(), s.recorder, "engine", s.engine.Config.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	await(t, "the idle connection is closed", func() bool { return !conn.Usable() })
	config = plainConfig()
	config.CloseEach = 2
	s = start(t, config)
	for range 4 {
		s.once(plain())
	}
	firsts := 0
	for _, attempt := range s.recorder.Snapshot().Attempts {
		if attempt.FirstOnConnection {
			firsts++
		}
	}
	if firsts != 2 {
		t.Errorf("%d connections for four requests", firsts)
	}
}

func TestADroppedIdleConnectionIsResetOnlyWhenUsed(t *testing.T) {
	t.Parallel()
	s := start(t, plainConfig())
	if attempt := s.once(plain()); attempt.Status != 200 {
		t.Fatalf("%+v", attempt)
	}
	s.engine.DropIdle(time.Nanosecond)
	arrivals := len(s.recorder.Snapshot().Arrivals)
	// The client looks at its connection, finds nothing on it, and has its request reset unread.
	if attempt := s.once(plain()); attempt.Status != 0 || attempt.FirstOnConnection {
		t.Errorf("%+v", attempt)
	}
	if now := len(s.recorder.Snapshot().Arrivals); now != arrivals {
		t.Errorf("%d arrivals on a dropped connection", now-arrivals)
	}
	s.engine.DropIdle(0)
	if attempt := s.once(plain()); attempt.Status != 200 {
		t.Errorf("%+v", attempt)
	}
	s.sound()
}

// TestAnEngineDeregisteredFirstServesOn: it never says that it drains, beats on, and ends after its bound.
func TestAnEngineDeregisteredFirstServesOn(t *testing.T) {
	t.Parallel()
	hold := make(chan struct{})
	c := newControls(t, func(_ int, w http.ResponseWriter, r *http.Request) {
		select {
		case <-hold:
		default:
			if r.Method == http.MethodDelete {
				w.WriteHeader(503)
			}
		}
	})
	config := modelConfig()
	config.HeartbeatPeriod, config.DrainBound, config.DrainPatience = 3*time.Millisecond, 50*time.Millisecond, time.Hour
	config.Controls = func() []string { return []string{c.address()} }
	s := start(t, config)
	s.engine.Delete()
	await(t, "it is said to be gone twice", func() bool { _, gone := c.heard(); return len(gone) > 1 })
	before, _ := c.heard()
	await(t, "it beats on", func() bool { now, _ := c.heard(); return len(now) > len(before)+2 })
	if attempt := s.once(streamed(4)); attempt.Status != 200 || !s.engine.Draining() {
		t.Errorf("%+v", attempt)
	}
	close(hold)
	await(t, "it has ended", func() bool { return s.recorder.Snapshot().Incarnations[0].Ended != 0 })
	incarnation := s.recorder.Snapshot().Incarnations[0]
	if incarnation.DrainRequested == 0 || incarnation.DrainAcked == 0 || incarnation.Ended.Since(incarnation.DrainAcked) < config.DrainBound || incarnation.Crashed {
		t.Errorf("%+v", incarnation)
	}
	heartbeats, _ := c.heard()
	for _, heartbeat := range heartbeats {
		if heartbeat.State != protocol.StateReady {
			t.Fatalf("%+v", heartbeat)
		}
	}
}

func TestDelayedHeartbeatsArriveBehindLaterOnes(t *testing.T) {
	t.Parallel()
	c := newControls(t, nil)
	config := modelConfig()
	config.HeartbeatPeriod, config.LateEach, config.LateBy = 3*time.Millisecond, 3, 30*time.Millisecond
	config.Controls = func() []string { return []string{c.address()} }
	start(t, config)
	await(t, "one came late", func() bool {
		heartbeats, _ := c.heard()
		highest := uint64(0)
		for _, heartbeat := range heartbeats {
			if heartbeat.CallSeq < highest && heartbeat.CallSeq%3 == 0 {
				return true
			}
			highest = max(highest, heartbeat.CallSeq)
		}
		return false
	})
}
