package gateway

import (
	"bytes"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/request/forwarding"
)

// writeText answers with one line of text.
func (g *Gateway) writeText(ctx *fasthttp.RequestCtx, status int, reason string) {
	ctx.ResetBody()
	ctx.SetStatusCode(status)
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(reason + "\n")
}

// tooLarge rejects a request beyond the limits in force. Only a current table makes that final: a newer one may allow
// the request, and clients don't retry after a final answer.
func (g *Gateway) tooLarge(ctx *fasthttp.RequestCtx, status int, reason string) {
	g.Counters.TooLarge.Add(1)
	if g.IndexCurrent() {
		g.writeText(ctx, status, reason)
	} else {
		g.writeText(ctx, fasthttp.StatusServiceUnavailable, "cresspond: "+forwarding.CauseNoTable.String()+": "+reason)
		g.Dialect.Refuse(&ctx.Response.Header, time.Second)
	}
	ctx.SetConnectionClose()
}

// HandleUnread answers a request that the limits in force kept from being read completely.
func (g *Gateway) HandleUnread(ctx *fasthttp.RequestCtx, status int) {
	ctx.Response.Header.SetNoDefaultContentType(true)
	g.tooLarge(ctx, status, "the request is larger than was read")
}

// headerSize is the size of a request's header with its first line, in bytes.
func headerSize(head *fasthttp.RequestHeader) int {
	return len(head.Method()) + len(head.RequestURI()) + len(" ") + len(" HTTP/1.1\r\n") + len(head.RawHeaders())
}

// PathOf gives the path of a request target as it was sent.
func PathOf(target []byte) string {
	if len(target) > 0 && target[0] != '/' {
		// A target may name scheme and host too.
		if at := bytes.Index(target, []byte("://")); at >= 0 {
			target = target[at+3:]
			if slash := bytes.IndexByte(target, '/'); slash >= 0 {
				target = target[slash:]
			} else {
				target = []byte{'/'}
			}
		}
	}
	if at := bytes.IndexAny(target, "?#"); at >= 0 {
		target = target[:at]
	}
	return string(target)
}
