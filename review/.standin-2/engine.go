package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// beatPeriod is how often an engine sends a heartbeat.
	beatPeriod = 1200 * time.Millisecond
	// A stream has so many events, one each eventGap; a plain request works for plainWork.
	eventCount, eventGap = 40, 50 * time.Millisecond
	plainWork            = 30 * time.Millisecond
	plainBytes           = 800
)

// arrival is one request at an engine.
type arrival struct {
	engine string
	at     time.Time
	whole  bool
}

// engines are all engines of a case, and what they got.
type engines struct {
	mutex    sync.Mutex
	arrivals map[string][]*arrival
	servers  []*http.Server
	stopping chan struct{}
	beating  sync.WaitGroup
}

func newEngines() *engines {
	return &engines{arrivals: map[string][]*arrival{}, stopping: make(chan struct{})}
}

// of gives what engines got of an attempt.
func (e *engines) of(attempt string) []*arrival {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]*arrival(nil), e.arrivals[attempt]...)
}

// start starts an engine of a service, which serves streams and plain requests, and has it send heartbeats.
func (e *engines) start(p *platform, id, service, zone string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(id, w, r) })}
	e.servers = append(e.servers, server)
	go func() { _ = server.Serve(listener) }()
	e.beating.Add(1)
	go e.beat(p, id, service, zone, listener.Addr().String())
	return nil
}

func (e *engines) serve(id string, w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Attempt-Id")
	switch {
	case r.URL.Path == "/health":
		w.Header().Set("X-Instance-Id", id)
		return
	case r.Header.Get("X-Target-Instance") != "" && r.Header.Get("X-Target-Instance") != id:
		w.Header().Set("X-Attempt-Id", attempt)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	got := &arrival{engine: id, at: time.Now()}
	e.mutex.Lock()
	e.arrivals[attempt] = append(e.arrivals[attempt], got)
	e.mutex.Unlock()
	w.Header().Set("X-Attempt-Id", attempt)
	w.Header().Set("X-Server-Seal", "seal."+id)
	if !strings.HasSuffix(r.URL.Path, "/stream") {
		time.Sleep(plainWork)
		_, _ = w.Write(bytes.Repeat([]byte("x"), plainBytes))
		got.whole = true
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for number := 1; number <= eventCount; number++ {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, attempt)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			// Whoever called has closed its connection.
			return
		case <-time.After(eventGap):
		}
	}
	got.whole = true
}

// beat sends heartbeats to one core machine after the other, until one takes it.
func (e *engines) beat(p *platform, id, service, zone, address string) {
	defer e.beating.Done()
	client := &http.Client{Timeout: time.Second}
	cores := p.of("core")
	for sequence := 1; ; sequence++ {
		body, err := json.Marshal(map[string]any{"backend": service, "address": address, "zone": zone, "generation": "v1", "slots": 64, "state": "ready", "cold-left-ms": 0, "call-seq": sequence})
		if err != nil {
			return
		}
		for n := range cores {
			request, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s:%d/api/engines/%s", cores[(sequence+n)%len(cores)].ip, p.control, id), bytes.NewReader(body))
			if err != nil {
				return
			}
			request.Header.Set("Content-Type", "application/json")
			response, err := client.Do(request)
			if err != nil {
				continue
			}
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			if response.StatusCode < 300 {
				break
			}
		}
		select {
		case <-e.stopping:
			return
		case <-time.After(beatPeriod):
		}
	}
}

func (e *engines) stop() {
	close(e.stopping)
	for _, server := range e.servers {
		_ = server.Close()
	}
	e.beating.Wait()
}
