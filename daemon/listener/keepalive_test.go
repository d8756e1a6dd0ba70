package listener

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// discardLogger drops the server's own lines.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// TestKeepAliveConnectionIdlesForAsLongAsTheConfigurationAllows: also where that changes, and longer than the server's own limit;
// a request still has the server's time to be read.
func TestKeepAliveConnectionIdlesForAsLongAsTheConfigurationAllows(t *testing.T) {
	const read, usual = 100 * time.Millisecond, 200 * time.Millisecond
	var rest atomic.Int64
	under, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &KeepAliveListener{
		Listener:  under,
		ReadLimit: read,
		IdleLimit: usual,
		KeepAlive: func() time.Duration { return time.Duration(rest.Load()) },
	}
	server := &fasthttp.Server{
		Handler:     func(*fasthttp.RequestCtx) {},
		ReadTimeout: read,
		IdleTimeout: usual,
		Logger:      discardLogger{},
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { under.Close() })
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	// after says whether a connection still answers after it has rested for a time, or how a request in two parts ends.
	after := func(idle time.Duration, first, second string) bool {
		conn, err := net.Dial("tcp", under.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		_, _ = io.WriteString(conn, request)
		if _, err := http.ReadResponse(reader, nil); err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, first)
		<-time.After(idle)
		_, _ = io.WriteString(conn, second)
		response, err := http.ReadResponse(reader, nil)
		return err == nil && response.StatusCode == http.StatusOK
	}
	for _, c := range []struct {
		rest, idle time.Duration
		stillOpen  bool
	}{{0, 3 * usual, false}, {usual / 2, usual / 4, true}, {10 * usual, 3 * usual, true}, {time.Minute, 3 * usual, true}, {0, 3 * usual, false}} {
		rest.Store(int64(c.rest))
		if stillOpen := after(c.idle, "", request); stillOpen != c.stillOpen {
			t.Errorf("idle for %v where %v is allowed: still open %t", c.idle, c.rest, stillOpen)
		}
	}
	rest.Store(int64(time.Minute))
	if after(3*read, request[:10], request[10:]) {
		t.Error("a request that stops in its middle is waited for as long as a connection at rest")
	}
}
