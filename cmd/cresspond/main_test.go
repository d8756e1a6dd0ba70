package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// daemonEnd answers each request with a text and closes, or resets where there is none; it counts what arrives.
func daemonEnd(t *testing.T, text string) (address string, arrivals *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	arrivals = new(atomic.Int64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				arrivals.Add(1)
			}
			if text == "" {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_, _ = io.WriteString(conn, text)
			conn.Close()
		}
	}()
	return listener.Addr().String(), arrivals
}

// TestEachDaemonIsQueriedOnceAndOnlyACompleteResponseCounts: an unclear answer leads to the next daemon, a clear one does not,
// and what leads elsewhere is not followed.
func TestEachDaemonIsQueriedOnceAndOnlyACompleteResponseCounts(t *testing.T) {
	const good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	elsewhere, followed := daemonEnd(t, good)
	for name, c := range map[string]struct {
		text string
		next int64
	}{
		"whole": {good, 0}, "reset": {"", 1}, "cut": {good[:len(good)-1], 1}, "without length": {"HTTP/1.1 200 OK\r\n\r\no", 1},
		"unknown": {"HTTP/1.1 503 Unknown\r\nContent-Length: 0\r\n\r\n", 1}, "conflict": {"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n", 0},
		"redirect":   {"HTTP/1.1 307 There\r\nLocation: http://" + elsewhere + "/\r\nContent-Length: 0\r\n\r\n", 0},
		"other call": {"HTTP/1.1 302 There\r\nLocation: http://" + elsewhere + "/\r\nContent-Length: 0\r\n\r\n", 0},
	} {
		for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch} {
			first, arrivals := daemonEnd(t, c.text)
			second, next := daemonEnd(t, good)
			tool := &tool{daemons: []string{first, second}, client: newClient()}
			data, err := tool.ask(method, "/v1/x", []byte("{}"))
			answered := c.next == 1 || name == "whole"
			if answered != (err == nil && string(data) == "ok") || arrivals.Load() != 1 || next.Load() != c.next || followed.Load() != 0 {
				t.Errorf("%s %s: %q %v, arrived %d times, %d at the next, %d elsewhere", method, name, data, err, arrivals.Load(), next.Load(), followed.Load())
			}
		}
	}
	// The broken variant: the library's client as it comes follows, and the count shows it.
	first, _ := daemonEnd(t, "HTTP/1.1 302 There\r\nLocation: http://"+elsewhere+"/\r\nContent-Length: 0\r\n\r\n")
	if _, err := (&tool{daemons: []string{first}, client: &http.Client{}}).ask(http.MethodPost, "/v1/x", []byte("{}")); err != nil || followed.Load() != 1 {
		t.Errorf("%v, %d elsewhere", err, followed.Load())
	}
}

// While no daemon knows the outcome all are asked in rounds, and the first that does is believed. Daemons that can't be
// reached at all are not asked again.
func TestDaemonsAreAskedInRoundsUntilOneKnowsTheOutcome(t *testing.T) {
	var arrivals atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if arrivals.Add(1) < 3 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ok")
	}))
	defer server.Close()
	gone, unanswered := daemonEnd(t, "")
	asked := &tool{daemons: []string{gone, server.Listener.Addr().String()}, client: newClient(), patience: time.Minute}
	if data, err := asked.ask(http.MethodPost, "/v1/x", nil); err != nil || string(data) != "ok" || arrivals.Load() != 3 || unanswered.Load() != 3 {
		t.Errorf("%q %v after %d and %d calls", data, err, arrivals.Load(), unanswered.Load())
	}
	alone := &tool{daemons: []string{gone}, client: newClient(), patience: time.Minute}
	if _, err := alone.ask(http.MethodPost, "/v1/x", nil); err == nil || unanswered.Load() != 4 {
		t.Errorf("%v after %d calls", err, unanswered.Load())
	}
}
