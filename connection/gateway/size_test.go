package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cresspond/cresspond/clock"
)

// BenchmarkSizeStream is one stream of so many events over a kept connection: straight from the engine, and
// through the gateway. Processor time is that of client, engine and gateway together, so the gateway's part is
// the difference of both, for docs/CAPACITY.md: go test -run - -bench Size ./connection/gateway
func BenchmarkSizeStream(b *testing.B) {
	for _, events := range []int{1, 10, 100} {
		engine := newFakeEngine(b, "e1", func(a arrival) bool {
			writeText(a, "HTTP/1.1 200 OK\r\nX-Attempt-Id: "+idOf(a)+"\r\nCresspond-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
			for n := range events {
				event := fmt.Sprintf("id: %d\ndata: %040d\n\n", n, n)
				writeText(a, fmt.Sprintf("%x\r\n%s\r\n", len(event), event))
			}
			writeText(a, "0\r\n\r\n")
			return true
		})
		f := newFixture(b, engine)
		for _, way := range []struct{ name, address string }{{"straight", engine.listener.Addr().String()}, {"through", f.address}} {
			b.Run(fmt.Sprintf("%d events %s", events, way.name), func(b *testing.B) {
				conn, err := net.Dial("tcp", way.address)
				if err != nil {
					b.Fatal(err)
				}
				defer conn.Close()
				reader := bufio.NewReader(conn)
				before, turn := processorTime(b), 0
				for b.Loop() {
					turn++
					if _, err := io.WriteString(conn, ask("stream", fmt.Sprintf("%s-%d-%d-%d", way.name, events, turn, clock.System{}.Elapsed()), "go")); err != nil {
						b.Fatal(err)
					}
					response, err := http.ReadResponse(reader, nil)
					if err != nil {
						b.Fatal(err)
					}
					if n, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK || n == 0 {
						b.Fatalf("status %d, %d bytes, %v", response.StatusCode, n, err)
					}
				}
				b.ReportMetric(float64(processorTime(b)-before)/float64(turn), "processor-ns/stream")
			})
		}
	}
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkSizeOpenStream is the memory that one open stream keeps, heap and stacks of client, engine and
// gateway together: straight from the engine, and through the gateway.
func BenchmarkSizeOpenStream(b *testing.B) {
	const streams = 60
	for _, way := range []string{"straight", "through"} {
		b.Run(way, func(b *testing.B) {
			for b.Loop() {
				openStreams(b, way == "through", streams)
			}
		})
	}
}

// openStreams opens streams before an engine of their own and reports what each keeps.
func openStreams(b *testing.B, through bool, streams int) {
	begun, end := make(chan struct{}, streams), make(chan struct{})
	engine := newFakeEngine(b, "e1", func(a arrival) bool {
		writeText(a, "HTTP/1.1 200 OK\r\nX-Attempt-Id: "+idOf(a)+"\r\nCresspond-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n12\r\nid: 1\ndata: xxxx\n\n\r\n")
		begun <- struct{}{}
		<-end
		return false
	})
	f := newFixture(b, engine)
	defer close(end)
	address := engine.listener.Addr().String()
	if through {
		address = f.address
	}
	before := kept()
	for n := range streams {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			b.Fatal(err)
		}
		defer conn.Close()
		if _, err := io.WriteString(conn, ask("stream", fmt.Sprintf("open-%d", n), "go")); err != nil {
			b.Fatal(err)
		}
		select {
		case <-begun:
		case <-b.Context().Done():
			b.Fatal("a stream did not begin")
		}
		// Its first event has come through, so all that a stream keeps is there.
		if _, err := io.ReadFull(conn, make([]byte, 40)); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(kept()-before)/float64(streams), "bytes/stream")
}

// kept is the heap in use and the stacks, after a collection.
func kept() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
