package peerclient

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cresspond/cresspond/wire/peerapi"
)

// fakePeer is a daemon's end that counts what arrives.
type fakePeer struct {
	address     string
	requests    atomic.Int64
	connections atomic.Int64
	closed      chan struct{}
}

// listenAsPeer runs a fake peer. answer writes the response to a request, gets its number over all connections, and
// returns whether the connection is kept open.
func listenAsPeer(t *testing.T, answer func(conn net.Conn, number int64) bool) *fakePeer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	p := &fakePeer{address: listener.Addr().String(), closed: make(chan struct{}, 64)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.connections.Add(1)
			go p.serve(conn, answer)
		}
	}()
	return p
}

func (p *fakePeer) serve(conn net.Conn, answer func(conn net.Conn, number int64) bool) {
	defer func() { conn.Close(); p.closed <- struct{}{} }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !answer(conn, p.requests.Add(1)) {
			return
		}
	}
}

// encodedReply is a daemon's complete response to a submit.
func encodedReply(t *testing.T, outcome string) string {
	t.Helper()
	body, err := proto.Marshal(&peerapi.SubmitReply{Outcome: outcome, Result: []byte(`{"verdict":"done"}`)})
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func write(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// requestsOfFailingCall counts how often a call arrives that meets a fault on a connection that was used before.
func requestsOfFailingCall(t *testing.T, client *http.Client, fault func(conn net.Conn) bool, header http.Header) int64 {
	t.Helper()
	p := listenAsPeer(t, func(conn net.Conn, number int64) bool {
		if number == 1 {
			write(conn, encodedReply(t, "applied"))
			return true
		}
		return fault(conn)
	})
	call := func(limit time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.address+"/x", strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		for name := range header {
			request.Header.Set(name, header.Get(name))
		}
		response, err := client.Do(request)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
	if err := call(10 * time.Second); err != nil {
		t.Fatal(err)
	}
	if call(300*time.Millisecond) == nil {
		t.Error("a call that met a fault was answered")
	}
	return p.requests.Load() - 1
}

func resetConnection(conn net.Conn) bool { _ = conn.(*net.TCPConn).SetLinger(0); return false }

// TestFailedCallIsSentOnce: once a byte of a call was received, no library retries it, whatever the fault.
func TestFailedCallIsSentOnce(t *testing.T) {
	complete := encodedReply(t, "applied")
	for name, fault := range map[string]func(conn net.Conn) bool{
		"reset":     resetConnection,
		"closed":    func(net.Conn) bool { return false },
		"silence":   func(net.Conn) bool { return true },
		"cut head":  func(conn net.Conn) bool { write(conn, complete[:20]); return false },
		"cut body":  func(conn net.Conn) bool { write(conn, complete[:len(complete)-5]); return resetConnection(conn) },
		"no answer": func(conn net.Conn) bool { write(conn, "SSH-2.0-x\r\n\r\n"); return false },
	} {
		pool := New(t.Context(), "127.0.0.1:1", "127.0.0.1:1")
		if arrivals := requestsOfFailingCall(t, pool.http, fault, nil); arrivals != 1 {
			t.Errorf("%s: arrived %d times", name, arrivals)
		}
	}
}

// TestArrivalCountDetectsLibraryRetries is the control: with this header the library takes a call for idempotent.
func TestArrivalCountDetectsLibraryRetries(t *testing.T) {
	pool := New(t.Context(), "127.0.0.1:1", "127.0.0.1:1")
	if arrivals := requestsOfFailingCall(t, pool.http, resetConnection, http.Header{"Idempotency-Key": {"k"}}); arrivals != 2 {
		t.Errorf("the library is known to send such a call again, and %d arrivals were counted", arrivals)
	}
}

// TestCallOnClosedConnectionArrivesOnce: the library retries by itself only if the connection was closed before it
// received a byte.
func TestCallOnClosedConnectionArrivesOnce(t *testing.T) {
	p := listenAsPeer(t, func(conn net.Conn, number int64) bool {
		write(conn, encodedReply(t, "applied"))
		return number != 1
	})
	client := New(t.Context(), "127.0.0.1:1", "127.0.0.1:1").Client(p.address)
	for number := int64(1); number <= 3; number++ {
		// The first connection is closed after its response; the call after that may or may not have noticed.
		if number == 2 {
			<-p.closed
		}
		_, err := client.Submit(t.Context(), &peerapi.SubmitRequest{Group: "g"})
		if arrivals := p.requests.Load(); arrivals > number || err == nil && number == 1 && arrivals != 1 {
			t.Fatalf("%d calls arrived %d times, %v", number, arrivals, err)
		}
	}
}

// TestIncompleteOrForeignResponseIsRejected: also if it decodes as a message.
func TestIncompleteOrForeignResponseIsRejected(t *testing.T) {
	body, err := proto.Marshal(&peerapi.SubmitReply{Outcome: "applied", Result: []byte(`{"verdict":"done"}`), Reason: "late field"})
	if err != nil {
		t.Fatal(err)
	}
	// Truncated between two fields a body still decodes, which is why the length is checked.
	truncated := body[:len(body)-2-len("late field")]
	if proto.Unmarshal(truncated, &peerapi.SubmitReply{}) != nil {
		t.Fatal("the truncated body was meant to decode")
	}
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n"
	for name, c := range map[string]struct {
		text string
		ok   bool
	}{
		"whole":             {fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body), true},
		"cut":               {fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), truncated), false},
		"without length":    {head + "\r\n" + string(truncated), false},
		"empty, no length":  {head + "\r\n", false},
		"another's, empty":  {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false},
		"another's, a page": {"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}", false},
		"redirect":          {"HTTP/1.1 307 Temporary Redirect\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n", false},
	} {
		p := listenAsPeer(t, func(conn net.Conn, _ int64) bool { write(conn, c.text); return false })
		reply, err := New(t.Context(), "127.0.0.1:1", "127.0.0.1:1").Client(p.address).Submit(t.Context(), &peerapi.SubmitRequest{})
		if (err == nil) != c.ok || c.ok && reply.Outcome != "applied" {
			t.Errorf("%s: %v, %v", name, reply, err)
		}
		if invalid := (InvalidResponseError{}); strings.Contains(name, "length") && !errors.As(err, &invalid) {
			t.Errorf("%s: the error is %T, which wraps no InvalidResponseError", name, err)
		}
		// The control: without the check a response without length or type is accepted.
		plain := peerapi.NewFellowProtobufClient("http://"+p.address, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
		if _, err := plain.Submit(t.Context(), &peerapi.SubmitRequest{}); err != nil && strings.Contains(name, "length") {
			t.Errorf("%s: rejected without the check, so the check is not what is tested here", name)
		}
	}
}

// TestUnsolicitedResponseIsNotTakenForTheNext: bytes on an idle connection close it.
func TestUnsolicitedResponseIsNotTakenForTheNext(t *testing.T) {
	first := make(chan net.Conn, 1)
	p := listenAsPeer(t, func(conn net.Conn, number int64) bool {
		if number == 1 {
			first <- conn
		}
		write(conn, encodedReply(t, fmt.Sprint("answer ", number)))
		return true
	})
	client := New(t.Context(), "127.0.0.1:1", "127.0.0.1:1").Client(p.address)
	for number := 1; number <= 2; number++ {
		reply, err := client.Submit(t.Context(), &peerapi.SubmitRequest{})
		if err != nil || reply.Outcome != fmt.Sprint("answer ", number) {
			t.Errorf("%d: %v, %v", number, reply, err)
		}
		if number == 1 {
			write(<-first, encodedReply(t, "surplus"))
			<-p.closed
		}
	}
}
