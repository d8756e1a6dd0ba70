package connectionpool

import (
	"time"

	"github.com/valyala/bytebufferpool"
)

// inlineRequest is up to which size a request is written before its answer is read: it fits into the buffers of the
// connection, so that the write does not wait for the engine.
const inlineRequest = 16 << 10

// sending is one request being written to an engine. A large one is written beside the reading of its answer, since
// an engine may answer before it has read the body and then read on late, or never.
type sending struct {
	// done is closed when the write has ended; sent and err may be read from then on.
	done chan struct{}
	sent int
	err  error
}

var ended = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

// startSending writes a request. It owns the buffer from here on.
func startSending(one *link, buffer *bytebufferpool.ByteBuffer) *sending {
	s := &sending{done: ended}
	if len(buffer.B) <= inlineRequest {
		s.write(one, buffer)
		return s
	}
	done := make(chan struct{})
	s.done = done
	go func() {
		defer close(done)
		s.write(one, buffer)
	}()
	return s
}

func (s *sending) write(one *link, buffer *bytebufferpool.ByteBuffer) {
	s.sent, s.err = one.Write(buffer.B)
	one.counters.BytesSent.Add(uint64(s.sent))
	bytebufferpool.Put(buffer)
}

// over says whether the write has ended.
func (s *sending) over() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// wait waits until the write has ended; closing the connection ends it.
func (s *sending) wait() { <-s.done }

// nothingLeft says whether the write failed before any byte was taken.
func (s *sending) nothingLeft() bool { return s.over() && s.err != nil && s.sent == 0 }

// writeEnds is how long the end of a write is waited for once the answer has come: where the engine has read all of a
// request, only the writer's turn of the processor is still missing.
const writeEnds = 5 * time.Millisecond

// complete says whether all of the request was taken; only then may another follow on its connection. No request
// at all leaves nothing due.
func (s *sending) complete() bool {
	if s == nil {
		return true
	}
	if !s.over() {
		timer := time.NewTimer(writeEnds)
		defer timer.Stop()
		select {
		case <-s.done:
		case <-timer.C:
			return false
		}
	}
	return s.err == nil
}
