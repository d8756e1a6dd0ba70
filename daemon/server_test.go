package daemon

import (
	"errors"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

func TestMaxConnectionsReservesDescriptors(t *testing.T) {
	for descriptors, want := range map[int]int{0: 8192, 4100: 2340, 100: 64, 1 << 20: 8192} {
		if got := maxConnections(descriptors); got != want {
			t.Errorf("of %d descriptors callers may take %d, and not %d", descriptors, got, want)
		}
	}
}

// Guards against a client's key in an answer: the library's text quotes the request that it could not parse.
func TestAnswerToUnreadableRequestDoesNotQuoteIt(t *testing.T) {
	const quoted = "Authorization: Bearer secret"
	for name, c := range map[string]struct {
		err    error
		status int
	}{
		"malformed":        {errors.New("cannot parse " + quoted), fasthttp.StatusBadRequest},
		"header too large": {&fasthttp.ErrSmallBuffer{}, fasthttp.StatusRequestHeaderFieldsTooLarge},
		"body too large":   {fasthttp.ErrBodyTooLarge, fasthttp.StatusRequestEntityTooLarge},
	} {
		var ctx fasthttp.RequestCtx
		badRequest(&ctx, c.err)
		body := string(ctx.Response.Body())
		if ctx.Response.StatusCode() != c.status || !strings.Contains(body, "cannot be read") || strings.Contains(body, "secret") {
			t.Errorf("%s: %d %s", name, ctx.Response.StatusCode(), body)
		}
	}
}
