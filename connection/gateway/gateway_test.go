package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/connectionpool"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/request/forwarding"
	"github.com/cresspond/cresspond/wire/dialect"
)

// arrival is one request as an engine read it.
type arrival struct {
	request *http.Request
	body    string
	// conn is the connection it came on, number how many came on it before.
	conn   net.Conn
	number int
}

// fakeEngine is an engine that answers over raw sockets, with whatever bytes a test wants.
type fakeEngine struct {
	id       ident.EngineID
	listener net.Listener
	// answer writes the answer; it says whether the connection is kept.
	answer func(a arrival) bool
	mutex  sync.Mutex
	came   []arrival
	conns  atomic.Int64
	closed chan struct{}
}

func newFakeEngine(t testing.TB, id ident.EngineID, answer func(a arrival) bool) *fakeEngine {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeEngine{id: id, listener: listener, answer: answer, closed: make(chan struct{}, 64)}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(conn)
		}
	}()
	return s
}

func (s *fakeEngine) serve(conn net.Conn) {
	defer func() { conn.Close(); s.closed <- struct{}{} }()
	reader := bufio.NewReader(conn)
	for number := 0; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		a := arrival{request, string(body), conn, number}
		s.mutex.Lock()
		s.came = append(s.came, a)
		s.mutex.Unlock()
		if !s.answer(a) {
			return
		}
	}
}

func (s *fakeEngine) arrivals() []arrival {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]arrival(nil), s.came...)
}

func (s *fakeEngine) registered(pool string) *registry.Engine {
	return &registry.Engine{Registration: registry.Registration{ID: s.id, Pool: pool, Address: s.listener.Addr().String(), Slots: 64}}
}

// completeText is a sealed answer of a length.
func completeText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nCresspond-Seal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func idOf(a arrival) string { return a.request.Header.Get("X-Attempt-Id") }

func writeText(a arrival, text string) { _, _ = io.WriteString(a.conn, text) }

// fixture is a gateway in front of fake engines.
type fixture struct {
	t           testing.TB
	gateway     *Gateway
	address     string
	index       atomic.Pointer[upstream.Index]
	view        atomic.Pointer[registry.View]
	hasWorkerID atomic.Bool
	draining    atomic.Bool
	// old reports that the table in force may be outdated.
	old   atomic.Bool
	actor *forwarding.Actor
	pools *connectionpool.Pools
	// evacuated reports which engines were closed because their nodes are unhealthy.
	evacuated atomic.Pointer[func(*registry.Engine) bool]
	// beforeLook is called when an engine is reached, right before checkBeforeSend.
	beforeLook func()
}

func path(name string, class upstream.Class) upstream.Path {
	return upstream.Path{Name: name, Host: "h.example", Prefix: "/" + name + "/", Class: class, DeadlineMs: 5000, TargetMs: 1000, Attempts: 3, Shares: []upstream.Share{{Pool: "p", Weight: 1}}}
}

func newFixture(t testing.TB, engines ...*fakeEngine) *fixture {
	t.Helper()
	f := &fixture{t: t, beforeLook: func() {}}
	f.hasWorkerID.Store(true)
	resumable := path("resume", upstream.Stream)
	resumable.Resumable = true
	f.index.Store(upstream.NewIndex(&upstream.Section{Revision: 1, Pools: []upstream.Pool{{Name: "p"}},
		Paths: []upstream.Path{path("once", upstream.Once), path("again", upstream.Idempotent), path("stream", upstream.Stream), resumable}}))
	f.engines(engines...)
	settings := forwarding.DefaultSettings()
	settings.RetrySlack = 1000
	var minted atomic.Int64
	f.actor = forwarding.NewActor(settings, func() forwarding.Environment {
		evacuated := func(engine *registry.Engine) bool {
			isEvacuated := f.evacuated.Load()
			return isEvacuated != nil && (*isEvacuated)(engine)
		}
		return forwarding.Environment{Now: clock.System{}.Elapsed(), EngineEvacuated: evacuated, EngineOpen: func(engine *registry.Engine) bool { return !evacuated(engine) }, Index: f.index.Load(), IndexCurrent: !f.old.Load(), View: f.view.Load(), Routers: 1, HasWorkerID: f.hasWorkerID.Load(),
			MintID: func() (ident.SnowflakeID, bool) { return ident.SnowflakeID(minted.Add(1)), f.hasWorkerID.Load() }}
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.actor.Run(ctx)
	f.pools = connectionpool.New(clock.System{}, dialect.Own())
	f.gateway = New(Dependencies{Clock: clock.System{}, Dialect: headerDialect{dialect.Own(), f}, Index: f.index.Load, View: f.view.Load, IndexCurrent: func() bool { return !f.old.Load() },
		HasWorkerID: func() bool { return f.hasWorkerID.Load() }, Draining: f.draining.Load, Settings: settings}, f.actor, f.pools)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: f.gateway.Handle, DisablePreParseMultipartForm: true, Logger: discardLogger{}, CloseOnShutdown: true}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { listener.Close() })
	f.address = listener.Addr().String()
	return f
}

// headerDialect runs a test's hook between reaching an engine and checkBeforeSend.
type headerDialect struct {
	dialect.Dialect
	*fixture
}

func (d headerDialect) Dress(head *fasthttp.RequestHeader, dress dialect.Dress) {
	d.Dialect.Dress(head, dress)
	d.beforeLook()
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// engines replaces the registered engines.
func (f *fixture) engines(engines ...*fakeEngine) {
	view := &registry.View{Engines: map[ident.EngineID]*registry.Engine{}, Pools: map[string][]*registry.Engine{}}
	for _, one := range engines {
		engine := one.registered("p")
		view.Engines[one.id] = engine
		view.Pools["p"] = append(view.Pools["p"], engine)
	}
	f.view.Store(view)
}

func (f *fixture) dial() net.Conn {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return conn
}

// ask is a request of a client.
func ask(path, id, body string, fields ...string) string {
	return fmt.Sprintf("POST /%s/x?q=%%41 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s",
		path, id, len(body), strings.Join(append(fields, ""), "\r\n"), body)
}

// result is what a client got.
type result struct {
	status int
	head   http.Header
	body   string
	// err is why the response does not look complete.
	err error
	// closes reports that the daemon closes the connection.
	closes bool
}

func read(reader *bufio.Reader) result {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return result{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return result{response.StatusCode, response.Header, string(body), err, response.Close}
}

// call sends a request on a connection of its own.
func (f *fixture) call(text string) result {
	f.t.Helper()
	conn := f.dial()
	defer conn.Close()
	if _, err := io.WriteString(conn, text); err != nil {
		f.t.Fatal(err)
	}
	return read(bufio.NewReader(conn))
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	engine := newFakeEngine(t, "e1", func(a arrival) bool { writeText(a, completeText(idOf(a), "pong")); return true })
	f := newFixture(t, engine)
	for number := range 3 {
		id := fmt.Sprint("a", number)
		got := f.call(ask("once", id, "ping", "X-Own: 1", "Connection: X-Hop", "X-Hop: 2", "TE: trailers", "Upgrade: x", "Cresspond-Deadline-Ms: 900"))
		if got.status != 200 || got.body != "pong" || got.err != nil || got.head.Get("Cresspond-Seal") != "s" || got.head.Get("X-Attempt-Id") != id {
			t.Fatalf("%+v", got)
		}
	}
	came := engine.arrivals()
	a := came[0]
	if a.request.Method != "POST" || a.request.RequestURI != "/once/x?q=%41" || a.body != "ping" || a.request.Host != "h.example" || a.request.Header.Get("X-Own") != "1" {
		t.Errorf("%+v", a.request)
	}
	for _, gone := range []string{"X-Hop", "TE", "Upgrade", "Connection"} {
		if a.request.Header.Get(gone) != "" {
			t.Errorf("%s went along", gone)
		}
	}
	if a.request.Header.Get("Cresspond-Engine") != "e1" || a.request.Header.Get("Cresspond-Deadline-Ms") == "" || a.request.Header.Get("Cresspond-Deadline-Ms") > "900" && len(a.request.Header.Get("Cresspond-Deadline-Ms")) > 2 {
		t.Errorf("%+v", a.request.Header)
	}
	if engine.conns.Load() != 1 {
		t.Errorf("%d connections", engine.conns.Load())
	}
}

func TestEventsAreForwardedImmediately(t *testing.T) {
	next := make(chan string)
	engine := newFakeEngine(t, "e1", func(a arrival) bool {
		writeText(a, "HTTP/1.1 200 OK\r\nX-Attempt-Id: "+idOf(a)+"\r\nCresspond-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		for event := range next {
			if event == "" {
				writeText(a, "0\r\n\r\n")
				return true
			}
			writeText(a, fmt.Sprintf("%x\r\n%s\r\n", len(event), event))
		}
		return false
	})
	f := newFixture(t, engine)
	conn := f.dial()
	_, _ = io.WriteString(conn, ask("stream", "a1", "go"))
	reader := bufio.NewReader(conn)
	next <- "id: 1\ndata: x\n\n"
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 100)
	for n := 2; n < 6; n++ {
		got, err := response.Body.Read(buffer)
		if err != nil || string(buffer[:got]) != fmt.Sprintf("id: %d\ndata: x\n\n", n-1) {
			t.Fatalf("%q %v", buffer[:got], err)
		}
		next <- fmt.Sprintf("id: %d\ndata: x\n\n", n)
	}
	next <- ""
	rest, err := io.ReadAll(response.Body)
	if err != nil || string(rest) != "id: 5\ndata: x\n\n" {
		t.Fatalf("%q %v", rest, err)
	}
}
