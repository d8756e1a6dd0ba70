package connectionpool

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"github.com/cresspond/cresspond/clock"
)

// link is one connection to an engine; one request is under way on it at a time.
type link struct {
	net.Conn
	raw       syscall.RawConn
	reader    *bufio.Reader
	idleSince clock.Mark
	// connect is how long it took to come up, until that is told.
	connect time.Duration
	// keepFor is how long the engine said that it keeps it; zero is unsaid.
	keepFor time.Duration
	// used says that a request was sent on it.
	used     bool
	counters *Counters
}

func newLink(raw net.Conn, counters *Counters) *link {
	one := &link{Conn: raw, counters: counters}
	if under, ok := raw.(syscall.Conn); ok {
		// Without a raw connection nothing can be looked at, and it counts as stirring once it was kept.
		one.raw, _ = under.SyscallConn()
	}
	one.reader = bufio.NewReaderSize(one, readerSize)
	return one
}

// Read counts what comes.
func (l *link) Read(p []byte) (int, error) {
	n, err := l.Conn.Read(p)
	l.counters.BytesReceived.Add(uint64(n))
	return n, err
}

// keptFor is how long it may stay idle.
func (l *link) keptFor() time.Duration {
	if l.keepFor <= 0 {
		return keptUnsaid
	}
	return min(l.keepFor-keptMargin, mostKept)
}

// carefulShare is the share, in hundredths, of the time that an engine keeps a connection in which it may be used for an
// attempt that can't be made again. An engine that drops them sooner is found out by lifetimes.
const carefulShare = 75

// carefulFor is how long it may have been idle for an attempt that can't be made again.
func (l *link) carefulFor() time.Duration {
	if l.keepFor <= 0 {
		return carefulUnsaid
	}
	return l.keptFor() * carefulShare / 100
}

// stirs says whether anything can be read from an idle connection: bytes that nobody asked for, or its end.
func (l *link) stirs() bool {
	if l.raw == nil || l.reader.Buffered() > 0 {
		return true
	}
	stirred := true
	err := l.raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
		if _, err := unix.Poll(poll, 0); err == nil {
			stirred = poll[0].Revents != 0
		}
	})
	return err != nil || stirred
}

// appendHead writes a head whose framing is made here, from the body that was read.
func appendHead(buffer []byte, head *fasthttp.RequestHeader, body int) []byte {
	if body > 0 || head.ContentLength() >= 0 {
		head.SetContentLength(body)
	}
	return head.AppendBytes(buffer)
}

// HopByHop takes away what concerns one connection only, and what would frame a body.
func HopByHop(head *fasthttp.RequestHeader) {
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
			// The fields that frame the message or say where it goes are no one's to take away.
			if !isFraming(name) {
				head.DelBytes(name)
			}
		}
	}
	for _, name := range hopFields {
		head.Del(name)
	}
	head.ResetConnectionClose()
	head.SetNoDefaultContentType(true)
	head.SetProtocol("HTTP/1.1")
	if head.ContentLength() == -1 {
		// The body was read whole, so it needs no chunks any more.
		head.SetContentLength(0)
	}
}

// HopByHopAnswer does the same for an answer.
func HopByHopAnswer(head *fasthttp.ResponseHeader) {
	for _, named := range head.PeekAll(fasthttp.HeaderConnection) {
		for name := range splitList(named) {
			if !isFraming(name) {
				head.DelBytes(name)
			}
		}
	}
	for _, name := range hopFields {
		head.Del(name)
	}
	head.ResetConnectionClose()
}

var hopFields = []string{
	fasthttp.HeaderConnection, fasthttp.HeaderKeepAlive, "Proxy-Connection", fasthttp.HeaderProxyAuthenticate, fasthttp.HeaderProxyAuthorization,
	fasthttp.HeaderTE, fasthttp.HeaderTrailer, fasthttp.HeaderTransferEncoding, fasthttp.HeaderUpgrade, fasthttp.HeaderExpect, "Http2-Settings",
}

func isNetwork(err error) bool {
	var network net.Error
	return errors.As(err, &network) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
