package peerclient

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/cresspond/cresspond/wire/peerapi"
)

// answering answers one kind of call; the rest is never asked here.
type answering struct{ peerapi.Fellow }

func (answering) Identify(context.Context, *peerapi.Empty) (*peerapi.Identity, error) {
	return &peerapi.Identity{NodeId: "asked"}, nil
}

// What one side sends the other receives, to the byte, heads included.
func TestTrafficAgreesOnBothSides(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var asked Traffic
	server := &http.Server{Handler: asked.Serve(peerapi.NewFellowServer(answering{}))}
	go func() { _ = server.Serve(asked.Listen(listener)) }()
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	asking := New(ctx, "127.0.0.1:1", "127.0.0.1:1")
	const calls = 20
	for range calls {
		if _, err := asking.Client(listener.Addr().String()).Identify(ctx, &peerapi.Empty{}); err != nil {
			t.Fatal(err)
		}
	}
	at := &asking.Traffic
	if got := at.Requests.Load(); got != calls || asked.Served.Load() != calls {
		t.Errorf("%d calls were made, %d counted as made and %d as served", calls, got, asked.Served.Load())
	}
	if at.Connections.Load() != 1 {
		t.Errorf("%d connections were opened for calls made one after the other", at.Connections.Load())
	}
	if at.SentBytes.Load() == 0 || at.SentBytes.Load() != asked.ReceivedBytes.Load() || at.ReceivedBytes.Load() == 0 || at.ReceivedBytes.Load() != asked.SentBytes.Load() {
		t.Errorf("sent %d and received %d on one side, received %d and sent %d on the other", at.SentBytes.Load(), at.ReceivedBytes.Load(), asked.ReceivedBytes.Load(), asked.SentBytes.Load())
	}
}

// A call that says nothing is mostly its heads, and a fleet at rest makes hundreds a second: what no peer reads is
// left out.
func TestHeadsSayOnlyWhatIsRead(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var asked Traffic
	heads := make(chan http.Header, 1)
	inner := peerapi.NewFellowServer(answering{})
	server := &http.Server{Handler: asked.Serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		heads <- r.Header.Clone()
		inner.ServeHTTP(w, r)
	}))}
	go func() { _ = server.Serve(asked.Listen(listener)) }()
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	asking := New(ctx, "127.0.0.1:1", "127.0.0.1:1")
	if _, err := asking.Client(listener.Addr().String()).Identify(ctx, &peerapi.Empty{}); err != nil {
		t.Fatal(err)
	}
	for name := range <-heads {
		if name != "Content-Type" && name != "Content-Length" {
			t.Errorf("%s is said, and not read", name)
		}
	}
	// The call's line, host and two fields; the answer's line, two fields and a name of five bytes.
	if sent, received := asking.Traffic.SentBytes.Load(), asking.Traffic.ReceivedBytes.Load(); sent > 140 || received > 90 {
		t.Errorf("%d bytes asked and %d answered", sent, received)
	}
}
