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
		Pace: engine.Pace{Slots: 4, Waiting: 2, Memory: 4000, Step: 200 * time.Microsecond, PerRun: 50 * time.Microsecond, ReadPerMs: 1000, ReadAtOnce: 500, Stride: 2},
		Room: engine.Room{Catalogue: protocol.EngineID{WeightsMb: 100, AdapterCapacity: 2, Models: []protocol.CatalogModel{
			{Label: "m", WeightsMb: 50, LoadTimeS: 0.01, Adapters: 2, AdapterSizeMb: 1}, {Label: "n", WeightsMb: 40, LoadTimeS: 0.01}, {Label: "big", WeightsMb: 90, LoadTimeS: 0.01}}},
			DiskShare: 0.5, AdapterTime: time.Millisecond},
		Initially: []protocol.Holding{{Label: "m", Generation: 1}}, ReportLag: 5 * time.Millisecond, Seed: 1}
}

func plainConfig() engine.Config {
	return engine.Config{Name: "plain", Service: "plain", Zone: "a", Address: loopback.Host() + ":0", HealthPath: "/health", MaxConns: 50, Slots: 2, Waiting: 1, Work: time.Millisecond, AnswerBytes: 300, Seed: 1}
}

type stand struct {
	t      *testing.T
	book   *history.Book
	engine *engine.Engine
	client *client.Client
}

func start(t *testing.T, config engine.Config) *stand {
	t.Helper()
	book := history.NewBook(clock.System{})
	e := engine.New(config, book)
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	c := &client.Client{Book: book, NextAttempt: client.NewAttempts(1), Keeps: true,
		Enter: func(string) (client.Daemon, bool) {
			return client.Daemon{Name: "engine", Address: e.Config.Address}, true
		}}
	t.Cleanup(c.Close)
	return &stand{t, book, e, c}
}

func streamed(out int) *client.Request {
	return &client.Request{ID: "r", Kind: "k", Host: "h", Method: http.MethodPost, URI: "/s/x", Body: []byte("prompt"), Class: protocol.Streaming, Deadline: 30 * time.Second, Aim: time.Second, Gap: time.Second,
		Prompt: protocol.Prompt{Model: "m", TokensIn: 100, TokensOut: out, Parts: []protocol.Part{{ID: "aa", Tokens: 60}, {ID: "bb", Tokens: 40}}}}
}

func plain() *client.Request {
	return &client.Request{ID: "r", Kind: "k", Host: "h", Method: http.MethodPost, URI: "/p/x?q=1", Body: bytes.Repeat([]byte("b"), 2000), Class: protocol.Mutating, Deadline: 30 * time.Second, Aim: time.Second}
}

// once sends one request and gives its last try as written down.
func (s *stand) once(r *client.Request) *history.Try {
	s.t.Helper()
	tries := s.client.Do(context.Background(), r)
	if len(tries) == 0 {
		s.t.Fatal("nothing was tried")
	}
	last := tries[len(tries)-1].Attempt
	for _, try := range s.book.Read().Tries {
		if try.Attempt == last {
			return try
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
			t.Fatal("waited in vain until " + what)
		case <-tick.C:
		}
	}
}

// verdict holds what was seen against the rules on answers.
func (s *stand) verdict(rules ...string) (violations []string) {
	whole := &protocol.Config{Generation: 1, Routes: []protocol.Route{
		{Label: "s", Authority: "h", PathPrefix: "/s/", Class: protocol.Streaming, DeadlineMs: 30000, Backend: "lm"}, {Label: "p", Authority: "h", PathPrefix: "/p/", Class: protocol.Mutating, DeadlineMs: 30000, Backend: "plain"}}}
	s.book.Note(func(h *history.History) {
		h.Changes = []*history.Change{{Generation: 1, Whole: whole, Outcome: history.Acknowledged, Began: h.Began, Answered: h.Began}}
	})
	for _, finding := range checker.Judge(s.book.Read(), checker.Bounds{RetryWindow: time.Second, OriginWindow: time.Second}) {
		for _, rule := range rules {
			if finding.Rule == rule {
				violations = append(violations, finding.Violations...)
			}
		}
	}
	return violations
}

var onAnswers = []string{"MIXED", "UNASKED", "TWICE", "REFUSED", "ROUTE", "ORDER", "LIMIT"}

func (s *stand) sound() {
	s.t.Helper()
	if violations := s.verdict(onAnswers...); len(violations) > 0 {
		s.t.Error(violations)
	}
}

func TestAnEngineStreamsAndAPlainOneAnswersByLengthAndInChunks(t *testing.T) {
	t.Parallel()
	s := start(t, modelConfig())
	for range 3 {
		try := s.once(streamed(9))
		if try.Status != 200 || !try.Whole || len(try.Events) != 5 || try.Events[4].ID != "5" {
			t.Fatalf("%+v", try)
		}
	}
	s.sound()
	h := s.book.Read()
	if h.Arrivals[0].KeptTokens != 0 || h.Arrivals[1].KeptTokens != 100 || h.Arrivals[0].Began == 0 {
		t.Fatalf("%+v", h.Arrivals[1])
	}
	if !h.Tries[0].FirstOnConnection || h.Tries[1].FirstOnConnection {
		t.Fatal("the connection was not kept")
	}
	for _, chunked := range []bool{false, true} {
		config := plainConfig()
		config.Chunked = chunked
		p := start(t, config)
		r := plain()
		r.Chunked = chunked
		if try := p.once(r); try.Status != 200 || !try.Whole || len(try.BodyOut) != 300 {
			t.Fatalf("%+v", try)
		}
		p.sound()
	}
}

func TestAStreamGoesOnBehindALastEvent(t *testing.T) {
	t.Parallel()
	s := start(t, modelConfig())
	r := streamed(9)
	r.Header = map[string]string{protocol.LastEvent: "3"}
	try := s.once(r)
	if len(try.Events) != 2 || try.Events[0].ID != "4" || !try.Whole {
		t.Fatalf("%+v", try)
	}
	s.engine.Inject(engine.Fault{Kind: engine.Break, At: 480})
	r = streamed(40)
	r.Resumable, r.Tries = true, 3
	tries := s.client.Do(context.Background(), r)
	if len(tries) != 2 || tries[1].LastEvent == "" || !tries[1].Whole || tries[0].Whole {
		t.Fatalf("%+v", tries)
	}
}

func TestAnEngineTurnsAwayWhatIsNotForIt(t *testing.T) {
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
		if try := s.once(one.r); try.Status != one.status || !try.Whole {
			t.Errorf("%s: %+v", one.what, try)
		}
	}
	for _, arrival := range s.book.Read().Arrivals {
		if arrival.Ran() || !arrival.NotRun {
			t.Errorf("%+v", arrival)
		}
	}
}

func TestAFullEngineAndOneWhoseQueueOutlastsTheDeadlineSayThatNothingRan(t *testing.T) {
	t.Parallel()
	config := plainConfig()
	config.Work = time.Hour
	s := start(t, config)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	for n := range 3 {
		c := &client.Client{Book: s.book, NextAttempt: client.NewAttempts(uint64(n + 10)), Enter: s.client.Enter}
		done.Add(1)
		go func() { defer done.Done(); c.Do(ctx, plain()) }()
	}
	await(t, "two run and one waits", func() bool {
		ran, here := 0, 0
		for _, arrival := range s.book.Read().Arrivals {
			here++
			if arrival.Ran() {
				ran++
			}
		}
		return ran == 2 && here == 3
	})
	if try := s.once(plain()); try.Status != 503 {
		t.Errorf("%+v", try)
	}
	if try := s.once(&client.Request{Host: "h", Method: http.MethodGet, URI: "/health", Deadline: 30 * time.Second}); try.Status != 503 {
		t.Errorf("a probe of a full engine: %+v", try)
	}
	cancel()
	done.Wait()
	// Those whose callers have left make room.
	await(t, "room is made", func() bool {
		for _, arrival := range s.book.Read().Arrivals {
			if !arrival.Probe && !arrival.NotRun && !arrival.Left {
				return false
			}
		}
		return true
	})
	if try := s.once(&client.Request{Host: "h", Method: http.MethodGet, URI: "/health", Deadline: 30 * time.Second}); try.Status != 200 {
		t.Errorf("a probe: %+v", try)
	}
}

// order posts an order and gives the status, or 0 without an answer.
func (s *stand) order(order protocol.Order) int {
	data, _ := json.Marshal(order)
	response, err := http.Post("http://"+s.engine.Config.Address+protocol.PathOrder, "application/json", bytes.NewReader(data))
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

func (s *stand) report() (report protocol.Report) {
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
	if len(s.verdict("LIMIT")) != 1 {
		t.Error("the order over the room was not noticed")
	}
	if err := s.engine.Start(); err != nil {
		t.Fatal(err)
	}
	if s.engine.Current() == id || len(s.report().Models) != 0 || s.report().CallSeq != 0 {
		t.Errorf("%s then %s, %+v", id, s.engine.Current(), s.report())
	}
}

func TestAnEvictionWaitsForItsRunsAndRefusesTheRest(t *testing.T) {
	t.Parallel()
	config := modelConfig()
	config.Pace.Step = 2 * time.Millisecond
	s := start(t, config)
	result := make(chan *history.Try, 1)
	go func() { result <- s.once(streamed(200)) }()
	await(t, "the stream has begun", func() bool {
		h := s.book.Read()
		return len(h.Arrivals) == 1 && h.Arrivals[0].Ran()
	})
	fence := uint64(1)
	if status := s.order(protocol.Order{Operation: protocol.Evict, Model: "m", Owner: "o", Fence: &fence}); status != 202 {
		t.Fatal(status)
	}
	other := &client.Client{Book: s.book, NextAttempt: client.NewAttempts(5), Enter: s.client.Enter}
	if tries := other.Do(context.Background(), streamed(4)); tries[0].Status != 503 {
		t.Errorf("%+v", tries[0])
	}
	if try := <-result; !try.Whole || len(try.Events) != 100 {
		t.Errorf("%+v", try)
	}
	await(t, "it is unloaded", func() bool { return len(s.report().Models) == 0 })
	if try := s.once(streamed(4)); try.Status != 421 {
		t.Errorf("%+v", try)
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
		var beat protocol.Registration
		if r.Method == http.MethodDelete {
			c.gone = append(c.gone, strings.TrimPrefix(r.URL.Path, protocol.PathEngines))
		} else if json.Unmarshal(data, &beat) == nil {
			c.beats = append(c.beats, beat)
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

func TestAnEngineBeatsGoesOnToTheNextDaemonAndFollowsItsTarget(t *testing.T) {
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
	config.BeatPeriod = 3 * time.Millisecond
	config.Controls = func() []string { return []string{broken.address(), wordy.address(), "127.0.0.1:1", moved.address()} }
	s := start(t, config)
	await(t, "beats go to the target", func() bool { beats, _ := second.heard(); return len(beats) > 3 })
	beats, _ := second.heard()
	for place, beat := range beats {
		if beat.Backend != "lm" || beat.State != protocol.StateReady || len(beat.Models) != 1 || beat.Address != s.engine.Config.Address || place > 0 && beat.CallSeq <= beats[place-1].CallSeq {
			t.Fatalf("%+v", beats)
		}
	}
	// A target that fails is forgotten.
	before, _ := first.heard()
	second.server.CloseClientConnections()
	second.server.Close()
	await(t, "the list is called again", func() bool { now, _ := first.heard(); return len(now) > len(before) })
}

func TestALeavingEngineServesOnUntilItsBoundAfterTheAcknowledgement(t *testing.T) {
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
	config.BeatPeriod, config.DrainBound, config.DrainPatience = 3*time.Millisecond, 20*time.Millisecond, time.Hour
	config.Controls = func() []string { return []string{c.address()} }
	s := start(t, config)
	id := s.engine.Current()
	s.engine.Leave(0)
	await(t, "it says that it drains", func() bool {
		beats, _ := c.heard()
		return len(beats) > 0 && beats[len(beats)-1].State == protocol.StateDraining
	})
	if try := s.once(streamed(4)); try.Status != 200 {
		t.Errorf("%+v", try)
	}
	close(hold)
	await(t, "it has ended", func() bool { return s.book.Read().Lives[0].Ended != 0 })
	if _, gone := c.heard(); len(gone) != 1 || gone[0] != id {
		t.Error(gone)
	}
	life := s.book.Read().Lives[0]
	if life.DrainAcked == 0 || life.Ended.Since(life.DrainAcked) < config.DrainBound || life.Crashed {
		t.Errorf("%+v", life)
	}
	// At short notice it is gone when the time is over, acknowledged or not.
	config.Controls = func() []string { return []string{"127.0.0.1:1"} }
	short := start(t, config)
	short.engine.Leave(10 * time.Millisecond)
	await(t, "it is gone", func() bool { return short.engine.Current() == "" })
}

func TestACrashedEngineRefusesAndAFrozenOneSaysNothing(t *testing.T) {
	t.Parallel()
	s := start(t, plainConfig())
	s.engine.Freeze()
	r := plain()
	r.Deadline = 30 * time.Millisecond
	if try := s.once(r); !try.GaveUp || try.Status != 0 {
		t.Errorf("%+v", try)
	}
	s.engine.Thaw()
	if try := s.once(plain()); try.Status != 200 {
		t.Errorf("%+v", try)
	}
	before := s.engine.Current()
	s.engine.Crash()
	s.client.Close()
	if try := s.once(plain()); try.Connected {
		t.Errorf("%+v", try)
	}
	if err := s.engine.Start(); err != nil {
		t.Fatal(err)
	}
	if s.engine.Current() == before {
		t.Error("a new life has the old id")
	}
	if try := s.once(plain()); try.Status != 200 {
		t.Errorf("%+v", try)
	}
	s.sound()
}

func TestFaultsOnDemand(t *testing.T) {
	t.Parallel()
	for _, one := range []struct {
		fault engine.Fault
		rules []string
		check func(*history.Try) bool
	}{
		{engine.Fault{Kind: engine.Junk}, []string{"MIXED"}, func(try *history.Try) bool { return !try.Success() }},
		{engine.Fault{Kind: engine.Foreign}, []string{"MIXED"}, func(try *history.Try) bool { return try.Attempted != try.Attempt }},
		{engine.Fault{Kind: engine.NoID}, nil, func(try *history.Try) bool { return try.Attempted == "" }},
		{engine.Fault{Kind: engine.Own, Status: 500}, nil, func(try *history.Try) bool { return try.Status == 500 && try.Seal != "" }},
		{engine.Fault{Kind: engine.Unread}, nil, func(try *history.Try) bool { return try.Status == 0 }},
		{engine.Fault{Kind: engine.Surplus}, []string{"MIXED"}, func(try *history.Try) bool { return try.Success() }},
	} {
		s := start(t, plainConfig())
		s.engine.Inject(one.fault)
		try := s.once(plain())
		if !one.check(try) {
			t.Errorf("%s: %+v", one.fault.Kind, try)
		}
		if one.fault.Kind == engine.Surplus {
			await(t, "the surplus answer is seen", func() bool { return s.book.Read().Tries[0].Surplus != "" })
		}
		if bad := s.verdict(onAnswers...); (len(bad) > 0) != (len(one.rules) > 0) {
			t.Errorf("%s: %v", one.fault.Kind, bad)
		}
	}
	s := start(t, plainConfig())
	s.engine.Inject(engine.Fault{Kind: engine.LateSurplus})
	s.once(plain())
	if try := s.once(plain()); try.Attempted == try.Attempt {
		t.Errorf("a surplus answer did not come in the slot of the next: %+v", try)
	}
}

func TestAnAnswerCutAtAnyByteNeverLooksWholeToTheClient(t *testing.T) {
	t.Parallel()
	streams, byLength, chunked := modelConfig(), plainConfig(), plainConfig()
	byLength.AnswerBytes, chunked.AnswerBytes, chunked.Chunked = 40, 40, true
	for place, config := range []engine.Config{streams, byLength, chunked} {
		s := start(t, config)
		whole := 0
		for at := 0; whole == 0; at++ {
			r := plain()
			if place == 0 {
				r = streamed(4)
			}
			s.engine.Inject(engine.Fault{Kind: engine.Break, At: at, Reset: at%2 == 0})
			if try := s.once(r); try.Success() {
				whole++
				if h := s.book.Read(); h.Arrivals[len(h.Arrivals)-1].Broke {
					t.Fatalf("cut at byte %d, and it looks whole: %+v", at, try)
				}
			}
			if at > 2000 {
				t.Fatal("no answer was ever whole")
			}
		}
		s.sound()
	}
}

func TestConnectionsBeyondTheMostAreReset(t *testing.T) {
	t.Parallel()
	config := plainConfig()
	config.MaxConns = 2
	s := start(t, config)
	var conns []*client.Conn
	for range 2 {
		conn, err := client.Dial(context.Background(), s.book, "engine", s.engine.Config.Address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conns = append(conns, conn)
		// An answer shows that the connection has been taken.
		try := &history.Try{Attempt: fmt.Sprint("conn", len(conns)), Method: http.MethodPost, URI: "/p/x"}
		client.Send(context.Background(), conn, plain(), try, 30*time.Second, "")
		if try.Status != 200 {
			t.Fatalf("%+v", try)
		}
	}
	if try := s.once(plain()); try.Status != 0 {
		t.Errorf("%+v", try)
	}
	conns[0].Close()
	await(t, "a place is free", func() bool { return s.once(plain()).Status == 200 })
}

func TestIdleConnectionsAreClosedAndSomeAnswersSaySo(t *testing.T) {
	t.Parallel()
	config := plainConfig()
	config.IdleClose = 5 * time.Millisecond
	s := start(t, config)
	conn, err := client.Dial(context.Background(), s.book, "engine", s.engine.Config.Address)
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
	for _, try := range s.book.Read().Tries {
		if try.FirstOnConnection {
			firsts++
		}
	}
	if firsts != 2 {
		t.Errorf("%d connections for four requests", firsts)
	}
}

func TestAConnectionDroppedInSilenceShowsNothingUntilItIsUsed(t *testing.T) {
	t.Parallel()
	s := start(t, plainConfig())
	if try := s.once(plain()); try.Status != 200 {
		t.Fatalf("%+v", try)
	}
	s.engine.DropIdle(time.Nanosecond)
	arrivals := len(s.book.Read().Arrivals)
	// The client looks at its connection, finds nothing on it, and has its request reset unread.
	if try := s.once(plain()); try.Status != 0 || try.FirstOnConnection {
		t.Errorf("%+v", try)
	}
	if now := len(s.book.Read().Arrivals); now != arrivals {
		t.Errorf("%d arrivals on a dropped connection", now-arrivals)
	}
	s.engine.DropIdle(0)
	if try := s.once(plain()); try.Status != 200 {
		t.Errorf("%+v", try)
	}
	s.sound()
}

// TestAnEngineIsDeletedFirstAndServesOn: it never says that it drains, beats on, and ends after its bound.
func TestAnEngineIsDeletedFirstAndServesOn(t *testing.T) {
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
	config.BeatPeriod, config.DrainBound, config.DrainPatience = 3*time.Millisecond, 50*time.Millisecond, time.Hour
	config.Controls = func() []string { return []string{c.address()} }
	s := start(t, config)
	s.engine.Delete()
	await(t, "it is said to be gone twice", func() bool { _, gone := c.heard(); return len(gone) > 1 })
	before, _ := c.heard()
	await(t, "it beats on", func() bool { now, _ := c.heard(); return len(now) > len(before)+2 })
	if try := s.once(streamed(4)); try.Status != 200 || !s.engine.Leaving() {
		t.Errorf("%+v", try)
	}
	close(hold)
	await(t, "it has ended", func() bool { return s.book.Read().Lives[0].Ended != 0 })
	life := s.book.Read().Lives[0]
	if life.DrainAsked == 0 || life.DrainAcked == 0 || life.Ended.Since(life.DrainAcked) < config.DrainBound || life.Crashed {
		t.Errorf("%+v", life)
	}
	beats, _ := c.heard()
	for _, beat := range beats {
		if beat.State != protocol.StateReady {
			t.Fatalf("%+v", beat)
		}
	}
}

func TestSomeBeatsComeBehindLaterOnes(t *testing.T) {
	t.Parallel()
	c := newControls(t, nil)
	config := modelConfig()
	config.BeatPeriod, config.LateEach, config.LateBy = 3*time.Millisecond, 3, 30*time.Millisecond
	config.Controls = func() []string { return []string{c.address()} }
	start(t, config)
	await(t, "one came late", func() bool {
		beats, _ := c.heard()
		highest := uint64(0)
		for _, beat := range beats {
			if beat.CallSeq < highest && beat.CallSeq%3 == 0 {
				return true
			}
			highest = max(highest, beat.CallSeq)
		}
		return false
	})
}
