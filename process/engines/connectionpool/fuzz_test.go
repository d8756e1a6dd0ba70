package connectionpool

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/wire/dialect"
)

// scriptedConn is a connection whose far end says what a test wants, and then ends.
type scriptedConn struct {
	io.Reader
	reset bool
}

func (s *scriptedConn) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if err == io.EOF && s.reset {
		err = &net.OpError{Op: "read", Err: syscall.ECONNRESET}
	}
	return n, err
}

func (s *scriptedConn) Write(p []byte) (int, error)      { return len(p), nil }
func (s *scriptedConn) Close() error                     { return nil }
func (s *scriptedConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (s *scriptedConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (s *scriptedConn) SetDeadline(time.Time) error      { return nil }
func (s *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (s *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// answerBody reads the first response with the standard library, which must agree on what is complete.
func answerBody(data []byte) (body []byte, err error) {
	reader := bufio.NewReader(bytes.NewReader(data))
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < 200 && response.StatusCode != 101 {
			continue
		}
		return io.ReadAll(response.Body)
	}
}

// FuzzEngineAnswer: whatever an engine sends, only an answer that bears the id is one, only a body that came to its end is
// complete, the standard library reads the same body, and nothing that was sent counts as not sent.
func FuzzEngineAnswer(f *testing.F) {
	for _, text := range []string{
		sealedResponse("a", "pong"), rejectionResponse("503 Service Unavailable", "a"), rejectionResponse("421 Misdirected Request", "a"), sealedResponse("b", "x") + sealedResponse("a", "pong"),
		"HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\npon\r\n1\r\ng\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n\r\npong", "HTTP/1.1 102 Processing\r\n\r\n" + sealedResponse("a", "pong"),
		"HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\npong",
		"HTTP/1.1 204 No Content\r\nX-Attempt-Id: a\r\n\r\n", "HTTP/1.0 200 OK\r\nX-Attempt-Id: a\r\nKeep-Alive: timeout=9, max=1\r\nContent-Length: 1\r\n\r\np",
		sealedResponse("a", "pong") + sealedResponse("a", "again"),
	} {
		f.Add([]byte(text), false)
		f.Add([]byte(text), true)
	}
	f.Fuzz(func(t *testing.T, data []byte, reset bool) {
		h := newFakeClock()
		pools := New(h, dialect.Own(), WithDial(func(context.Context, string) (net.Conn, error) {
			return &scriptedConn{bytes.NewReader(data), reset}, nil
		}))
		answer := pools.Send(attempt(h, "engine:1", "a"))
		switch answer.Outcome {
		case OutcomeAnswered:
		case OutcomeWithheld, OutcomeUnreachable:
			t.Fatalf("%s, though the request was sent", answer.Outcome)
		case OutcomeRejected, OutcomeMisdirected:
			if !answer.Header.NotRun {
				t.Fatal("a promise that the engine did not give")
			}
			return
		default:
			return
		}
		if answer.Header.Attempt != "a" || answer.Response().StatusCode() < 200 {
			t.Fatalf("another's answer: %+v", answer.Header)
		}
		hasLength := answer.Response().Header.ContentLength() >= -1
		body, err := io.ReadAll(answer)
		if err == nil != answer.Complete() {
			t.Fatalf("whole %t, %v", answer.Complete(), err)
		}
		answer.Close()
		if _, idle := pools.Open(); err != nil && idle > 0 {
			t.Fatal("a connection was kept though its answer is not whole")
		}
		if err != nil || !hasLength {
			return
		}
		// Only where the first answer is the one is the library's reading the same.
		if pools.Counters.ForeignResponses.Load() > 0 {
			return
		}
		if want, wrong := answerBody(data); wrong == nil && !bytes.Equal(body, want) {
			t.Fatalf("read %q, and the standard library %q", body, want)
		}
	})
}

// FuzzRequest: whatever a client sends, what goes on to an engine is one request with the same method, target, host,
// body and own fields, as the standard library reads it.
func FuzzRequest(f *testing.F) {
	for _, text := range []string{
		"POST /x?q=1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nCresspond-Model: m/a\r\nContent-Length: 4\r\n\r\nbody",
		"POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\nTrailer: X-Late\r\n\r\n4\r\nbody\r\n0\r\nX-Late: 1\r\n\r\n",
		"GET /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\n\r\n",
		"PUT /%2e/x//y HTTP/1.0\r\nHost: h\r\nX-Attempt-Id: a\r\nCresspond-Parts: p:4,q:9\r\nCresspond-Deadline-Ms: 40\r\n\r\n",
		"POST http://h/x HTTP/1.1\r\nHost: other\r\nX-Attempt-Id: a\r\nContent-Length: 0\r\n\r\n",
		"POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nContent-Length: 36\r\n\r\nGET /other HTTP/1.1\r\nHost: inner\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	own := dialect.Own()
	f.Fuzz(func(t *testing.T, data []byte) {
		var request fasthttp.Request
		if request.ReadLimitBody(bufio.NewReaderSize(bytes.NewReader(data), 16<<10), 1<<20) != nil || request.MayContinue() {
			return
		}
		ask, err := own.ReadAsk(&request.Header)
		if err != nil {
			return
		}
		var head fasthttp.RequestHeader
		request.Header.CopyTo(&head)
		RemoveHopByHop(&head)
		own.Dress(&head, dialect.Dress{Engine: "e-1", Left: time.Second, Urgency: 3})
		body := request.Body()
		sent := append(appendHeader(nil, &head, len(body)), body...)
		reader := bufio.NewReader(bytes.NewReader(sent))
		got, err := http.ReadRequest(reader)
		if err != nil {
			// An engine may read less than we do; then it runs nothing.
			return
		}
		read, err := io.ReadAll(got.Body)
		if err != nil || !bytes.Equal(read, body) {
			t.Fatalf("the body became %q, %v, in %q", read, err, sent)
		}
		if _, err := reader.ReadByte(); err != io.EOF {
			t.Fatalf("something stands behind the request: %q", sent)
		}
		if got.Method != string(request.Header.Method()) || got.RequestURI != string(request.Header.RequestURI()) {
			t.Fatalf("%s %s became %q", request.Header.Method(), request.Header.RequestURI(), sent)
		}
		for name, want := range map[string]string{"X-Attempt-Id": ask.Attempt, "Cresspond-Engine": "e-1"} {
			if values := got.Header.Values(name); len(values) != 1 || strings.TrimSpace(values[0]) != want {
				t.Fatalf("%s became %q", name, values)
			}
		}
		for _, name := range []string{"Cresspond-Model", "Cresspond-Tokens", "Cresspond-Parts"} {
			if value := strings.TrimSpace(string(request.Header.Peek(name))); got.Header.Get(name) != value {
				t.Fatalf("%s was %q and became %q", name, value, got.Header.Get(name))
			}
		}
	})
}
