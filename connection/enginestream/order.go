package enginestream

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/wire/engineapi"
)

// SendOrder sends one order. It gives the engine's answer, or nil with sent telling whether the order may have arrived.
// lastCheck is called right before the first byte, and stops the order where it returns false.
func SendOrder(ctx context.Context, address string, order engineapi.Order, timeout time.Duration, lastCheck func() bool) (answer *engineapi.OrderAnswer, sent bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, false
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	body, err := json.Marshal(order)
	if err != nil {
		panic("broken invariant: an order cannot be encoded: " + err.Error())
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + engineapi.PathOrder)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.Header.SetConnectionClose()
	request.SetBodyRaw(body)
	// The planner's lease and the worker-id lease are checked once more, as late as possible.
	if !lastCheck() {
		return nil, false
	}
	writer := bufio.NewWriter(conn)
	if request.Write(writer) != nil || writer.Flush() != nil {
		return nil, true
	}
	var reply engineapi.OrderAnswer
	if response.ReadLimitBody(bufio.NewReader(conn), 64<<10) != nil || json.Unmarshal(response.Body(), &reply) != nil {
		return nil, true
	}
	return &reply, true
}
