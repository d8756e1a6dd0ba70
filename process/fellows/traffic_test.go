package fellows

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/cresspond/cresspond/wire/fellowapi"
)

// answering answers one kind of call; the rest is never asked here.
type answering struct{ fellowapi.Fellow }

func (answering) Identify(context.Context, *fellowapi.Nothing) (*fellowapi.Identity, error) {
	return &fellowapi.Identity{NodeId: "asked"}, nil
}

// What one side sends the other receives, to the byte, heads included.
func TestTrafficAgreesOnBothSides(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var asked Traffic
	server := &http.Server{Handler: asked.Serve(fellowapi.NewFellowServer(answering{}))}
	go func() { _ = server.Serve(asked.Listen(listener)) }()
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	asking := New(ctx, "127.0.0.1:1", "127.0.0.1:1")
	const calls = 20
	for range calls {
		if _, err := asking.To(listener.Addr().String()).Identify(ctx, &fellowapi.Nothing{}); err != nil {
			t.Fatal(err)
		}
	}
	at := &asking.Traffic
	if got := at.Asked.Load(); got != calls || asked.Answered.Load() != calls {
		t.Errorf("%d calls were made, %d counted as made and %d as served", calls, got, asked.Answered.Load())
	}
	if at.Opened.Load() != 1 {
		t.Errorf("%d connections were opened for calls made one after the other", at.Opened.Load())
	}
	if at.Sent.Load() == 0 || at.Sent.Load() != asked.Received.Load() || at.Received.Load() == 0 || at.Received.Load() != asked.Sent.Load() {
		t.Errorf("sent %d and received %d on one side, received %d and sent %d on the other", at.Sent.Load(), at.Received.Load(), asked.Received.Load(), asked.Sent.Load())
	}
}
