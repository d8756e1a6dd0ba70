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

// BenchmarkSizeCall is one call between daemons that carries next to nothing, in processor time of both ends and in
// bytes of both directions, for docs/CAPACITY.md: go test -run - -bench Size ./process/cluster/peerclient
func BenchmarkSizeCall(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	var serverTraffic Traffic
	server := &http.Server{Handler: serverTraffic.Serve(peerapi.NewFellowServer(identifyServer{}))}
	go func() { _ = server.Serve(serverTraffic.Listen(listener)) }()
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := New(ctx, "127.0.0.1:1", "127.0.0.1:1")
	before, calls := processorTime(b), 0
	for b.Loop() {
		if _, err := client.Client(listener.Addr().String()).Identify(ctx, &peerapi.Empty{}); err != nil {
			b.Fatal(err)
		}
		calls++
	}
	b.ReportMetric(float64(processorTime(b)-before)/float64(calls), "processor-ns/call")
	b.ReportMetric(float64(client.Traffic.SentBytes.Load())/float64(calls), "bytes-asked/call")
	b.ReportMetric(float64(client.Traffic.ReceivedBytes.Load())/float64(calls), "bytes-answered/call")
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
