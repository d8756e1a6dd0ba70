package peerclient

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cresspond/cresspond/wire/peerapi"
)

// BenchmarkSizeCall is one call between daemons that says next to nothing, in processor time of both ends and
// in bytes of both ways, for docs/CAPACITY.md: go test -run - -bench Size ./process/cluster/peerclient
func BenchmarkSizeCall(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	var asked Traffic
	server := &http.Server{Handler: asked.Serve(peerapi.NewFellowServer(answering{}))}
	go func() { _ = server.Serve(asked.Listen(listener)) }()
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	asking := New(ctx, "127.0.0.1:1", "127.0.0.1:1")
	before, calls := processorTime(b), 0
	for b.Loop() {
		if _, err := asking.Client(listener.Addr().String()).Identify(ctx, &peerapi.Empty{}); err != nil {
			b.Fatal(err)
		}
		calls++
	}
	b.ReportMetric(float64(processorTime(b)-before)/float64(calls), "processor-ns/call")
	b.ReportMetric(float64(asking.Traffic.SentBytes.Load())/float64(calls), "bytes-asked/call")
	b.ReportMetric(float64(asking.Traffic.ReceivedBytes.Load())/float64(calls), "bytes-answered/call")
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
