package connectionpool

import (
	"bytes"
	"iter"
	"strings"

	"github.com/valyala/fasthttp"
)

// appendHeader appends a request header whose length field is set from the body that was read.
func appendHeader(buffer []byte, head *fasthttp.RequestHeader, body int) []byte {
	if body > 0 || head.ContentLength() >= 0 {
		head.SetContentLength(body)
	}
	return head.AppendBytes(buffer)
}

// RemoveHopByHop removes the fields that concern one connection (RFC 9110, section 7.6.1) and those that would frame a
// body.
func RemoveHopByHop(head *fasthttp.RequestHeader) {
	// Fields that came behind a body are not taken for fields of the head.
	var behind [][]byte
	for name := range head.Trailers() {
		behind = append(behind, append([]byte(nil), name...))
	}
	for _, name := range behind {
		head.DelBytes(name)
	}
	for _, named := range head.PeekAll(fasthttp.HeaderConnection) {
		for name := range splitList(named) {
			// Fields that frame or address the message must stay, whatever the sender names.
			if !isFraming(name) {
				head.DelBytes(name)
			}
		}
	}
	for _, name := range hopByHopFields {
		head.Del(name)
	}
	head.ResetConnectionClose()
	head.SetNoDefaultContentType(true)
	head.SetProtocol("HTTP/1.1")
	if head.ContentLength() == -1 {
		// The body was read completely, so it needs no chunks.
		head.SetContentLength(0)
	}
}

// RemoveHopByHopResponse does the same for a response.
func RemoveHopByHopResponse(head *fasthttp.ResponseHeader) {
	for _, named := range head.PeekAll(fasthttp.HeaderConnection) {
		for name := range splitList(named) {
			if !isFraming(name) {
				head.DelBytes(name)
			}
		}
	}
	for _, name := range hopByHopFields {
		head.Del(name)
	}
	head.ResetConnectionClose()
}

// hopByHopFields are removed even where no Connection field names them.
var hopByHopFields = []string{
	fasthttp.HeaderConnection, fasthttp.HeaderKeepAlive, "Proxy-Connection", fasthttp.HeaderProxyAuthenticate, fasthttp.HeaderProxyAuthorization,
	fasthttp.HeaderTE, fasthttp.HeaderTrailer, fasthttp.HeaderTransferEncoding, fasthttp.HeaderUpgrade, fasthttp.HeaderExpect, "Http2-Settings",
}

// splitList gives the elements of a comma-separated field.
func splitList(list []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for name := range bytes.SplitSeq(list, []byte{','}) {
			if name = bytes.TrimSpace(name); len(name) > 0 && !yield(append([]byte(nil), name...)) {
				return
			}
		}
	}
}

// isFraming reports whether a field belongs to the message, so that a Connection field may not remove it.
func isFraming(name []byte) bool {
	switch strings.ToLower(string(name)) {
	case "host", "content-length", "content-type", "content-encoding", "close", "keep-alive":
		return true
	}
	return false
}
