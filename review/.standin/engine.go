package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is one time that an engine began to work on a request.
type run struct {
	attempt, engine, model string
	number                 int
	at                     time.Time
}

// engine is a stand-in for one model engine. It carries out one order at a time, serves what it holds meanwhile, drops
// a request whose connection closes, and reports what was true reportLag ago.
type engine struct {
	f            *fleet
	id, ip, zone string
	backend      string
	slots        int
	sizes        map[string]float64
	loadTimes    map[string]time.Duration
	capacity     float64
	slower       func(model string) time.Duration
	eventCount   int
	firstAfter   time.Duration
	eventGap     time.Duration
	began        func(run)
	surplus      func(e *engine, answersInWindow int) bool
	// plain engines serve requests without models. event gives the text of an event, and spoil how many bytes of one are
	// sent before the engine breaks off; zero is all of it.
	plain          bool
	event          func(attempt string, id int) string
	spoil          func(e *engine, answersInWindow int, id int) int
	mutex          sync.Mutex
	models         map[string]bool
	loading        string
	callSeq        uint64
	history        []reportState
	active         atomic.Int64
	beats          uint64
	answersInSpell int
	listener       net.Listener
	stopped        chan struct{}
}

type reportState struct {
	at   time.Time
	body []byte
}

type modelEntry struct {
	Label      string   `json:"label"`
	Generation int      `json:"generation"`
	Adapters   []string `json:"adapters"`
}

const reportLag = 200 * time.Millisecond

// start listens, and sends beats until the engine is stopped.
func (e *engine) start() error {
	var err error
	if e.listener, err = net.Listen("tcp", fmt.Sprintf("%s:%d", e.ip, portEngine)); err != nil {
		return err
	}
	e.stopped = make(chan struct{})
	e.note()
	go func() {
		for {
			conn, err := e.listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	go e.beat()
	return nil
}

func (e *engine) stop() { close(e.stopped); e.listener.Close() }

func (e *engine) holdings() []modelEntry {
	out := []modelEntry{}
	for label := range e.models {
		out = append(out, modelEntry{Label: label, Generation: 1, Adapters: []string{}})
	}
	return out
}

// note keeps the state for later reports; the caller need not hold the mutex.
func (e *engine) note() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.noteLocked()
}

func (e *engine) noteLocked() {
	body, _ := json.Marshal(map[string]any{"phase": "colocated", "models": e.holdings(), "saturated": e.loading != "", "call-seq": e.callSeq, "queued": 0,
		"active": e.active.Load(), "kv-in-use": 100 * e.active.Load(), "kv-size": 123322, "served-models": 0})
	e.history = append(e.history, reportState{time.Now(), body})
	if len(e.history) > 4000 {
		e.history = e.history[2000:]
	}
}

// beat registers the engine about every beat-period-ms.
func (e *engine) beat() {
	for turn := 0; ; {
		e.mutex.Lock()
		e.beats++
		body, _ := json.Marshal(map[string]any{"backend": e.backend, "address": fmt.Sprintf("%s:%d", e.ip, portEngine), "zone": e.zone, "generation": "v1", "slots": e.slots,
			"state": "ready", "cold-left-ms": 0, "phase": "colocated", "models": e.holdings(), "call-seq": e.beats})
		e.mutex.Unlock()
		pause := 1200 * time.Millisecond
		if status, _, err := e.f.call(http.MethodPut, e.f.control()[turn%3], "/api/engines/"+e.id, "", body); err != nil || status/100 != 2 {
			turn++
			pause = 100 * time.Millisecond
		}
		select {
		case <-e.stopped:
			return
		case <-time.After(pause):
		}
	}
}

// serve serves one connection, one request at a time.
func (e *engine) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReaderSize(conn, 64<<10)
	// late is a surplus answer that comes in the slot of the next one.
	var late []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		attempt := request.Header.Get("X-Attempt-Id")
		if target := request.Header.Get("X-Target-Instance"); target != "" && target != e.id {
			e.answer(conn, 421, attempt, "X-Not-Executed: 1\r\nX-Instance-Id: "+e.id+"\r\n", nil)
			continue
		}
		switch {
		case request.URL.Path == "/api/report":
			e.answer(conn, 200, attempt, "Content-Type: application/json\r\n", e.report())
		case request.URL.Path == "/api/order":
			e.answer(conn, e.order(body), attempt, "", nil)
		case request.Method == http.MethodGet && request.URL.Path == "/health":
			e.answer(conn, 200, attempt, "X-Instance-Id: "+e.id+"\r\n", nil)
		default:
			if len(late) > 0 {
				e.f.line("%s: on connection %s, before the answer to %s, the surplus answer goes out", e.id, conn.RemoteAddr(), attempt)
				_, _ = conn.Write(late)
				late = nil
			}
			if e.f.onRequest != nil {
				e.f.onRequest(request.Header)
			}
			refused, ok := e.work(conn, reader, attempt, request.Header.Get("X-Model"), request.Header.Get("Last-Event-Id"))
			if !ok {
				return
			}
			e.mutex.Lock()
			e.answersInSpell++
			count := e.answersInSpell
			e.mutex.Unlock()
			if refused != nil && e.surplus != nil && e.surplus(e, count) {
				late = refused
			}
		}
	}
}

// answer writes a short answer, and gives its bytes.
func (e *engine) answer(conn net.Conn, status int, attempt, header string, body []byte) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if attempt != "" {
		fmt.Fprintf(&out, "X-Attempt-Id: %s\r\n", attempt)
	}
	fmt.Fprintf(&out, "%sContent-Length: %d\r\n\r\n", header, len(body))
	out.Write(body)
	_, _ = conn.Write(out.Bytes())
	return out.Bytes()
}

func (e *engine) report() []byte {
	e.note()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	shown := e.history[0].body
	for _, state := range e.history {
		if time.Since(state.at) < reportLag {
			break
		}
		shown = state.body
	}
	return shown
}

// order takes an order and gives the status of its answer.
func (e *engine) order(body []byte) int {
	var order struct {
		Operation  string  `json:"operation"`
		Model      string  `json:"model"`
		Expected   *uint64 `json:"expected"`
		Owner      string  `json:"owner"`
		FenceToken uint64  `json:"fence-token"`
	}
	if json.Unmarshal(body, &order) != nil || order.Owner == "" || order.FenceToken == 0 {
		return 400
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.loading != "" || order.Expected != nil && *order.Expected != e.callSeq {
		return 409
	}
	if order.Operation == "load" == e.models[order.Model] {
		return 200
	}
	e.callSeq++
	took := 20 * time.Millisecond
	switch order.Operation {
	case "load":
		used := e.sizes[order.Model]
		for label := range e.models {
			used += e.sizes[label]
		}
		if used > e.capacity {
			e.f.line("%s: ordered over its memory", e.id)
		}
		took = e.loadTimes[order.Model]
		if e.slower != nil {
			took += e.slower(order.Model)
		}
	case "evict":
		delete(e.models, order.Model)
	default:
		return 400
	}
	e.loading = order.Model
	e.noteLocked()
	e.f.line("%s: takes the order to %s %s from %s under %d; done in %v", e.id, order.Operation, order.Model, order.Owner, order.FenceToken, took)
	time.AfterFunc(took, func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		e.loading = ""
		if order.Operation == "load" {
			e.models[order.Model] = true
		}
		e.noteLocked()
	})
	return 202
}

// work serves a request for a model as a stream. It gives the bytes of the answer where that says that the request has
// not run; false ends the connection.
func (e *engine) work(conn net.Conn, reader *bufio.Reader, attempt, model, lastEvent string) (refused []byte, ok bool) {
	e.mutex.Lock()
	held, loading := e.plain || e.models[model], e.loading == model
	e.mutex.Unlock()
	switch {
	case loading && !held:
		e.f.line("%s: %s for %s on connection %s is answered 503 with X-Not-Executed: the load is under way", e.id, attempt, model, conn.RemoteAddr())
		return e.answer(conn, 503, attempt, "X-Not-Executed: 1\r\n", nil), true
	case !held:
		e.f.line("%s: %s for %s on connection %s is answered 421: the model is not there", e.id, attempt, model, conn.RemoteAddr())
		return e.answer(conn, 421, attempt, "X-Not-Executed: 1\r\nX-Instance-Id: "+e.id+"\r\n", nil), true
	}
	e.active.Add(1)
	defer e.active.Add(-1)
	gone := make(chan struct{})
	stopWatching := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		// A request whose connection closes is dropped; the next request is not read by this.
		defer close(watched)
		for {
			select {
			case <-stopWatching:
				return
			default:
			}
			_ = conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
			_, err := reader.Peek(1)
			if err == nil {
				return
			}
			if timeout, is := err.(net.Error); !is || !timeout.Timeout() {
				close(gone)
				return
			}
		}
	}()
	defer func() {
		close(stopWatching)
		<-watched
		_ = conn.SetReadDeadline(time.Time{})
	}()
	pause := func(long time.Duration) bool {
		select {
		case <-gone:
			return false
		case <-time.After(long):
			return true
		}
	}
	if !pause(e.firstAfter) {
		return nil, false
	}
	began := run{attempt: attempt, engine: e.id, model: model, at: time.Now()}
	e.began(began)
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s.%d\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", attempt, e.id, began.at.UnixNano())
	from, _ := strconv.Atoi(lastEvent)
	for i := from + 1; i <= e.eventCount; i++ {
		event := fmt.Sprintf("id: %d\ndata: %d of %s\n\n", i, i, attempt)
		if e.event != nil {
			event = e.event(attempt, i)
		}
		if e.spoil != nil {
			e.mutex.Lock()
			count := e.answersInSpell
			e.mutex.Unlock()
			if most := e.spoil(e, count, i); most > 0 {
				e.f.line("%s: in trouble, it breaks %s off within event %d, behind %d of its %d bytes", e.id, attempt, i, most, len(event))
				fmt.Fprintf(&out, "%x\r\n%s", len(event), event[:most])
				_, _ = conn.Write(out.Bytes())
				time.Sleep(20 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
				return nil, false
			}
		}
		fmt.Fprintf(&out, "%x\r\n%s\r\n", len(event), event)
		if i == e.eventCount {
			out.WriteString("0\r\n\r\n")
		}
		if _, err := conn.Write(out.Bytes()); err != nil {
			return nil, false
		}
		out.Reset()
		if i < e.eventCount && !pause(e.eventGap) {
			return nil, false
		}
	}
	return nil, true
}
