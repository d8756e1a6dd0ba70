package endtoend

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/daemon"
	"github.com/cresspond/cresspond/wire/dialect"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// plainEngine is a registered engine of a plain pool.
type plainEngine struct {
	id, address string
	arrivals    atomic.Int64
	// let, where it is there, is waited for before each answer; come tells of each arrival.
	let  chan struct{}
	come chan struct{}
	seq  uint64
}

func newPlainEngine(t *testing.T, id string) *plainEngine {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &plainEngine{id: id, address: listener.Addr().String(), come: make(chan struct{}, 1000)}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.arrivals.Add(1)
		body, _ := io.ReadAll(r.Body)
		e.come <- struct{}{}
		if strings.HasPrefix(r.URL.Path, "/slow/") && e.let != nil {
			<-e.let
		}
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		if r.Header.Get("Cresspond-Engine") != id {
			w.Header().Set("Cresspond-Not-Run", "another engine")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.Header().Set("Cresspond-Seal", id)
		_, _ = w.Write(append([]byte("did "), body...))
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	return e
}

// sendHeartbeat says that the engine lives, or that it leaves.
func (e *plainEngine) sendHeartbeat(b *bench, leaving bool) {
	b.t.Helper()
	e.seq++
	reply := operatorapi.Registration{Pool: "p", Address: e.address, Zone: "here", Slots: 20, CallSeq: e.seq, Draining: leaving}
	b.await(e.id+" is acknowledged", func() bool { status, _ := b.say("PUT", e.id, reply); return status == 200 })
}

// ask makes one opaque request at a daemon.
func (b *bench) ask(path, attempt string) (status int, body string, head http.Header) {
	b.t.Helper()
	request, err := http.NewRequest("POST", "http://"+b.address+path, strings.NewReader("work "+attempt))
	if err != nil {
		b.t.Fatal(err)
	}
	request.Host = "a.example"
	request.Header.Set("X-Attempt-Id", attempt)
	response, err := client.Do(request)
	if err != nil {
		return 0, "", nil
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(data), response.Header
}

// TestOpaqueRequestsFollowBundlesAndEngines: over real daemons, what a path leads to is served as soon as both
// path and engine are known, and not after either has gone.
func TestOpaqueRequestsFollowBundlesAndEngines(t *testing.T) {
	all := together(t, 3, true, func(int) []daemon.Option { return []daemon.Option{daemon.WithForwarding(dialect.Own())} })
	bundle := forwarding(1, 2)
	bundle.Forward.Paths[1].Class, bundle.Forward.Paths[1].Attempts = upstream.Idempotent, 3
	// An answer to what may be there somewhere is not that it is nowhere.
	if status, _, _ := all[0].ask("/r0/x", "early"); status != 503 {
		t.Error("before any bundle:", status)
	}
	if status, reply := all[0].acknowledged("PUT", 0, encode(t, bundle)); status != 200 {
		t.Fatal(status, reply)
	}
	number := 0
	served := func(b *bench, path string, want int) bool {
		number++
		attempt := fmt.Sprintf("%s-%d", b.name, number)
		status, body, head := b.ask(path, attempt)
		if status == 200 && (body != "did work "+attempt || head.Get("Cresspond-Seal") == "" || head.Get("X-Attempt-Id") != attempt) {
			t.Errorf("%s: %q %v", attempt, body, head)
		}
		return status == want
	}
	everywhere := func(what, path string, want int) {
		t.Helper()
		for _, b := range all {
			b.await(fmt.Sprintf("%s at %s: %d", what, b.name, want), func() bool { return served(b, path, want) })
		}
	}
	// Once its leaving is acknowledged, nothing more reaches it. The acknowledgement waits for all to know, but no
	// longer than that, so one that took so long says nothing: it is tried again with another engine.
	for number, queued := 0, false; !queued; number++ {
		first := newPlainEngine(t, fmt.Sprint("first-", number))
		first.sendHeartbeat(all[1], false)
		everywhere("a registered engine serves", "/r0/x", 200)
		everywhere("and by both paths", "/r1/x", 200)
		everywhere("no such path", "/r7/x", 404)
		asked := time.Now()
		first.sendHeartbeat(all[2], true)
		inTime := time.Since(asked) < leaveReach
		came := first.arrivals.Load()
		everywhere("nobody serves", "/r0/x", 503)
		now := first.arrivals.Load()
		queued = now == came
		if !queued && (inTime || number == 20) {
			t.Fatalf("%d requests reached an engine that had left", now-came)
		}
	}
	second := newPlainEngine(t, "second")
	second.sendHeartbeat(all[0], false)
	everywhere("another engine serves", "/r0/x", 200)

	// Paths come and go with the bundle.
	if status, reply := all[1].acknowledged("PATCH", 1, encode(t, upstream.Patch{Revision: 2, Upsert: upstream.Items{Paths: []upstream.Path{path("new", "p")}}, Remove: upstream.Names{Paths: []string{"r0"}}})); status != 200 {
		t.Fatal(status, reply)
	}
	second.sendHeartbeat(all[0], false)
	everywhere("a path was added", "/new/x", 200)
	everywhere("a path was taken away", "/r0/x", 404)
}

// TestAPlannedStopAnswersOpaqueRequests: a daemon that stops answers what it has read.
func TestAPlannedStopAnswersOpaqueRequests(t *testing.T) {
	all := together(t, 3, true, func(int) []daemon.Option { return []daemon.Option{daemon.WithForwarding(dialect.Own())} })
	b := all[1]
	bundle := document.Configuration{Name: "opaque", Forward: &upstream.Section{Revision: 1, Pools: []upstream.Pool{{Name: "p"}}, Paths: []upstream.Path{path("slow", "p")}}}
	bundle.Forward.Paths[0].DeadlineMs = 20_000
	if status, reply := b.acknowledged("PUT", 0, encode(t, bundle)); status != 200 {
		t.Fatal(status, reply)
	}
	e := newPlainEngine(t, "e")
	e.sendHeartbeat(b, false)
	b.await("the engine serves", func() bool { status, _, _ := b.ask("/slow/x", fmt.Sprint("warm", e.seq)); return status == 200 })
	for len(e.come) > 0 {
		<-e.come
	}
	e.let = make(chan struct{})
	type answer struct {
		status int
		body   string
	}
	answers := make(chan answer, 5)
	for i := range 5 {
		go func() {
			status, body, _ := b.ask("/slow/x", fmt.Sprint("a", i))
			answers <- answer{status, body}
		}()
	}
	for range 5 {
		<-e.come
	}
	close(b.stop)
	time.AfterFunc(300*time.Millisecond, func() { close(e.let) })
	for range 5 {
		if got := <-answers; got.status != 200 || !strings.HasPrefix(got.body, "did work a") {
			t.Errorf("%+v", got)
		}
	}
	<-b.ended
	close(b.hurry)
	b.ran = false
}

// TestADaemonThatForwardsServesItsOwnPages: what platforms and operators look at is no path of a bundle unless
// a bundle says so.
func TestADaemonThatForwardsServesItsOwnPages(t *testing.T) {
	all := together(t, 1, true, func(int) []daemon.Option { return []daemon.Option{daemon.WithForwarding(dialect.Own())} })
	b := all[0]
	if status, reply := b.acknowledged("PUT", 0, encode(t, forwarding(1, 1))); status != 200 {
		t.Fatal(status, reply)
	}
	b.await("it is ready", func() bool { status, _ := b.get(operatorapi.PathReady, nil); return status == 200 })
	for _, page := range []string{operatorapi.PathLive, operatorapi.PathCounters, operatorapi.PathStatus} {
		if status, body := b.get(page, nil); status != 200 {
			t.Errorf("%s: %d %s", page, status, body)
		}
	}
}
