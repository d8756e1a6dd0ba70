package peerclient

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/cresspond/cresspond/wire/peerapi"
)

// identifyServer implements Identify alone.
type identifyServer struct{ peerapi.Fellow }

func (identifyServer) Identify(context.Context, *peerapi.Empty) (*peerapi.Identity, error) {
	return &peerapi.Identity{NodeId: "asked"}, nil
}

// What one side sends the other receives, to the byte, headers included.
func TestTrafficCountersAgreeOnBothSides(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var serverTraffic Traffic
	server := &http.Server{Handler: serverTraffic.Serve(peerapi.NewFellowServer(identifyServer{}))}
	go func() { _ = server.Serve(serverTraffic.Listen(listener)) }()
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := New(ctx, "127.0.0.1:1", "127.0.0.1:1")
	const calls = 20
	for range calls {
		if _, err := client.Client(listener.Addr().String()).Identify(ctx, &peerapi.Empty{}); err != nil {
			t.Fatal(err)
		}
	}
	at := &client.Traffic
	if got := at.Requests.Load(); got != calls || serverTraffic.Served.Load() != calls {
		t.Errorf("%d calls were made, %d counted as made and %d as served", calls, got, serverTraffic.Served.Load())
	}
	if at.Connections.Load() != 1 {
		t.Errorf("%d connections were opened for calls made one after the other", at.Connections.Load())
	}
	if at.SentBytes.Load() == 0 || at.SentBytes.Load() != serverTraffic.ReceivedBytes.Load() || at.ReceivedBytes.Load() == 0 || at.ReceivedBytes.Load() != serverTraffic.SentBytes.Load() {
		t.Errorf("sent %d and received %d on one side, received %d and sent %d on the other", at.SentBytes.Load(), at.ReceivedBytes.Load(), serverTraffic.ReceivedBytes.Load(), serverTraffic.SentBytes.Load())
	}
}

// A call that carries little is mostly headers, and an idle fleet makes hundreds a second: headers that no peer reads
// are not sent.
func TestOnlyHeadersThatPeersReadAreSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var serverTraffic Traffic
	heads := make(chan http.Header, 1)
	inner := peerapi.NewFellowServer(identifyServer{})
	server := &http.Server{Handler: serverTraffic.Serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		heads <- r.Header.Clone()
		inner.ServeHTTP(w, r)
	}))}
	go func() { _ = server.Serve(serverTraffic.Listen(listener)) }()
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := New(ctx, "127.0.0.1:1", "127.0.0.1:1")
	if _, err := client.Client(listener.Addr().String()).Identify(ctx, &peerapi.Empty{}); err != nil {
		t.Fatal(err)
	}
	for name := range <-heads {
		if name != "Content-Type" && name != "Content-Length" {
			t.Errorf("%s is sent, and not read", name)
		}
	}
	// The request line, host and two headers; the status line, two headers and a name of five bytes.
	if sent, received := client.Traffic.SentBytes.Load(), client.Traffic.ReceivedBytes.Load(); sent > 140 || received > 90 {
		t.Errorf("%d bytes requested and %d in response", sent, received)
	}
}
