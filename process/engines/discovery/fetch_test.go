package discovery

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/wire/engineapi"
)

// reportingEngine answers each request with what answer gives, and closes the connection where that is empty; it counts
// arrivals.
func reportingEngine(t *testing.T, answer func(number int64) string) (address string, arrivals *atomic.Int64) {
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
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					text := answer(arrivals.Add(1))
					if _, err := io.WriteString(conn, text); err != nil || text == "" {
						_ = conn.(*net.TCPConn).SetLinger(0)
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), arrivals
}

func reportText(callSeq int64) string {
	body := fmt.Sprintf(`{"call-seq":%d}`, callSeq)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// TestReportIsFetchedOnceAndSurplusAnswerIsDiscarded: a request that is reset arrives once, and a second
// answer that comes with the first is not read as the next one's.
func TestReportIsFetchedOnceAndSurplusAnswerIsDiscarded(t *testing.T) {
	w := New(clock.System{}, "", func() {})
	address, arrivals := reportingEngine(t, func(number int64) string {
		if number == 1 {
			return reportText(1)
		}
		return ""
	})
	var report engineapi.Report
	if err := w.fetch("e", address, engineapi.PathReport, &report); err != nil {
		t.Fatal(err)
	}
	if err := w.fetch("e", address, engineapi.PathReport, &report); err == nil || arrivals.Load() != 2 {
		t.Errorf("%v after %d arrivals", err, arrivals.Load())
	}

	stale := func(get func(address string) bool) (count int) {
		var mutex sync.Mutex
		address, _ := reportingEngine(t, func(number int64) string {
			mutex.Lock()
			defer mutex.Unlock()
			return reportText(number) + reportText(number)
		})
		for range 6 {
			if !get(address) {
				count++
			}
		}
		return count
	}
	requested := uint64(0)
	if count := stale(func(address string) bool {
		requested++
		var report engineapi.Report
		return w.fetch("s", address, engineapi.PathReport, &report) == nil && report.CallSeq == requested
	}); count != 0 {
		t.Errorf("%d reports were stale or failed", count)
	}
	// The broken variant is a client that reads on where the last answer ended.
	var conn net.Conn
	var reader *bufio.Reader
	requested = 0
	if count := stale(func(address string) bool {
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", address); err != nil {
				t.Fatal(err)
			}
			reader = bufio.NewReader(conn)
		}
		requested++
		_, _ = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
		var response fasthttp.Response
		return response.Read(reader) == nil && string(response.Body()) == fmt.Sprintf(`{"call-seq":%d}`, requested)
	}); count == 0 {
		t.Error("the check does not see stale reports")
	}
}
