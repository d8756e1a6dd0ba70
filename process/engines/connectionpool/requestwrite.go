package connectionpool

import (
	"time"

	"github.com/valyala/bytebufferpool"
)

// maxInlineRequest is the size in bytes up to which a request is written before its response is read: it fits into the
// socket buffers, so that the write does not wait for the engine.
const maxInlineRequest = 16 << 10

// requestWrite is one request being written. A large one is written while its response is read, since an engine may
// respond before it has read the body, and read on late or never.
type requestWrite struct {
	// done is closed when the write has ended; sent and err may be read from then on.
	done chan struct{}
	sent int
	err  error
}

var closedChannel = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

// startWrite writes a request. It owns the buffer from here on.
func startWrite(conn *connection, buffer *bytebufferpool.ByteBuffer) *requestWrite {
	s := &requestWrite{done: closedChannel}
	if len(buffer.B) <= maxInlineRequest {
		s.write(conn, buffer)
		return s
	}
	done := make(chan struct{})
	s.done = done
	go func() {
		defer close(done)
		s.write(conn, buffer)
	}()
	return s
}

func (s *requestWrite) write(conn *connection, buffer *bytebufferpool.ByteBuffer) {
	s.sent, s.err = conn.Write(buffer.B)
	conn.counters.BytesSent.Add(uint64(s.sent))
	bytebufferpool.Put(buffer)
}

// ended reports whether the write has ended.
func (s *requestWrite) ended() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// wait waits until the write has ended; closing the connection ends it.
func (s *requestWrite) wait() { <-s.done }

// nothingSent reports whether the write failed before any byte was taken.
func (s *requestWrite) nothingSent() bool { return s.ended() && s.err != nil && s.sent == 0 }

// writeGracePeriod is how long the end of a write is awaited once the response has come: if the engine has read all of
// the request, only the writer's goroutine has yet to run.
const writeGracePeriod = 5 * time.Millisecond

// complete reports whether the whole request was written; only then may another follow on the connection. No request
// counts as complete.
func (s *requestWrite) complete() bool {
	if s == nil {
		return true
	}
	if !s.ended() {
		timer := time.NewTimer(writeGracePeriod)
		defer timer.Stop()
		select {
		case <-s.done:
		case <-timer.C:
			return false
		}
	}
	return s.err == nil
}
