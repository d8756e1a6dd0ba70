package peerclient

import (
	"bufio"
	"context"
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

// peer is a daemon's end that counts what arrives.
type peer struct {
	address  string
	arrivals atomic.Int64
	conns    atomic.Int64
	ended    chan struct{}
}

// listenAsPeer runs a peer; answer gets the number of the call over all connections, and says whether the connection
// is kept.
func listenAsPeer(t *testing.T, answer func(conn net.Conn, number int64) bool) *peer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	p := &peer{address: listener.Addr().String(), ended: make(chan struct{}, 64)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.conns.Add(1)
			go p.serve(conn, answer)
		}
	}()
	return p
}

func (p *peer) serve(conn net.Conn, answer func(conn net.Conn, number int64) bool) {
	defer func() { conn.Close(); p.ended <- struct{}{} }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !answer(conn, p.arrivals.Add(1)) {
			return
		}
	}
}

// replyTo is a daemon's whole answer to a submit.
func replyTo(t *testing.T, outcome string) string {
	t.Helper()
	body, err := proto.Marshal(&peerapi.SubmitReply{Outcome: outcome, Result: []byte(`{"verdict":"done"}`)})
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func write(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// arrivalsOfACall counts how often a call arrives that meets with trouble on a kept connection.
func arrivalsOfACall(t *testing.T, client *http.Client, trouble func(conn net.Conn) bool, header http.Header) int64 {
	t.Helper()
	p := listenAsPeer(t, func(conn net.Conn, number int64) bool {
		if number == 1 {
			write(conn, replyTo(t, "applied"))
			return true
		}
		return trouble(conn)
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
		t.Error("a call in trouble was answered")
	}
	return p.arrivals.Load() - 1
}

func resetOf(conn net.Conn) bool { _ = conn.(*net.TCPConn).SetLinger(0); return false }

// TestACallArrivesOnce: once a byte of a call was taken, no library sends it again, whatever becomes of it.
func TestACallArrivesOnce(t *testing.T) {
	whole := replyTo(t, "applied")
	for name, trouble := range map[string]func(conn net.Conn) bool{
		"reset":     resetOf,
		"closed":    func(net.Conn) bool { return false },
		"silence":   func(net.Conn) bool { return true },
		"cut head":  func(conn net.Conn) bool { write(conn, whole[:20]); return false },
		"cut body":  func(conn net.Conn) bool { write(conn, whole[:len(whole)-5]); return resetOf(conn) },
		"no answer": func(conn net.Conn) bool { write(conn, "SSH-2.0-x\r\n\r\n"); return false },
	} {
		links := New(t.Context(), "127.0.0.1:1", "127.0.0.1:1")
		if arrivals := arrivalsOfACall(t, links.http, trouble, nil); arrivals != 1 {
			t.Errorf("%s: arrived %d times", name, arrivals)
		}
	}
}

// TestTheCountOfCallsSeesRepeats is the broken variant: with this header the library takes a call for repeatable.
func TestTheCountOfCallsSeesRepeats(t *testing.T) {
	links := New(t.Context(), "127.0.0.1:1", "127.0.0.1:1")
	if arrivals := arrivalsOfACall(t, links.http, resetOf, http.Header{"Idempotency-Key": {"k"}}); arrivals != 2 {
		t.Errorf("the library is known to send such a call again, and %d arrivals were counted", arrivals)
	}
}

// TestACallOnAConnectionThatWasClosedArrivesOnce: the one case in which the library sends again by itself is that not
// one byte was taken.
func TestACallOnAConnectionThatWasClosedArrivesOnce(t *testing.T) {
	p := listenAsPeer(t, func(conn net.Conn, number int64) bool {
		write(conn, replyTo(t, "applied"))
		return number != 1
	})
	client := New(t.Context(), "127.0.0.1:1", "127.0.0.1:1").Client(p.address)
	for number := int64(1); number <= 3; number++ {
		// The first connection ends once it was answered on; the call after that finds it closed or not.
		if number == 2 {
			<-p.ended
		}
		_, err := client.Submit(t.Context(), &peerapi.SubmitRequest{Group: "g"})
		if arrivals := p.arrivals.Load(); arrivals > number || err == nil && number == 1 && arrivals != 1 {
			t.Fatalf("%d calls arrived %d times, %v", number, arrivals, err)
		}
	}
}

// TestOnlyADaemonsWholeAnswerIsBelieved: also where it would read as a message.
func TestOnlyADaemonsWholeAnswerIsBelieved(t *testing.T) {
	body, err := proto.Marshal(&peerapi.SubmitReply{Outcome: "applied", Result: []byte(`{"verdict":"done"}`), Reason: "late field"})
	if err != nil {
		t.Fatal(err)
	}
	// Between two fields a cut body still reads as a message, which is what the check is there for.
	cut := body[:len(body)-2-len("late field")]
	if proto.Unmarshal(cut, &peerapi.SubmitReply{}) != nil {
		t.Fatal("the cut body was to read as a message")
	}
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n"
	for name, c := range map[string]struct {
		text string
		ok   bool
	}{
		"whole":             {fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body), true},
		"cut":               {fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), cut), false},
		"without length":    {head + "\r\n" + string(cut), false},
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
		// The broken variant: without the check what has no length or no type is believed.
		plain := peerapi.NewFellowProtobufClient("http://"+p.address, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
		if _, err := plain.Submit(t.Context(), &peerapi.SubmitRequest{}); err != nil && strings.Contains(name, "length") {
			t.Errorf("%s: refused without the check, so the check is not what is tried here", name)
		}
	}
}

// TestASurplusAnswerIsNotTheNextOnes: what comes on an idle connection ends it.
func TestASurplusAnswerIsNotTheNextOnes(t *testing.T) {
	first := make(chan net.Conn, 1)
	p := listenAsPeer(t, func(conn net.Conn, number int64) bool {
		if number == 1 {
			first <- conn
		}
		write(conn, replyTo(t, fmt.Sprint("answer ", number)))
		return true
	})
	client := New(t.Context(), "127.0.0.1:1", "127.0.0.1:1").Client(p.address)
	for number := 1; number <= 2; number++ {
		reply, err := client.Submit(t.Context(), &peerapi.SubmitRequest{})
		if err != nil || reply.Outcome != fmt.Sprint("answer ", number) {
			t.Errorf("%d: %v, %v", number, reply, err)
		}
		if number == 1 {
			write(<-first, replyTo(t, "surplus"))
			<-p.ended
		}
	}
}
