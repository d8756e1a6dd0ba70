package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"sync"

	"github.com/cresspond/cresspond/process/engines/connectionpool"
	"github.com/cresspond/cresspond/request/forwarding"
)

// errBroken makes the connection end without its last chunk, or short of the length that was said.
var errBroken = errors.New("the answer is not whole")

// stream is an answer that is passed on as it comes.
// A reader, not a writer: fasthttp ends a writer's stream with a clean last chunk whatever became of it.
type stream struct {
	*flight
	answer *connectionpool.Answer
	length int
	// pending is what goes on next.
	pending []byte
	events  *bufio.Reader
	buffer  []byte
	ended   bool
	failed  bool
}

// takeLong passes on an answer that is too large to be gathered first.
func (f *flight) takeLong(answer *connectionpool.Answer, begun []byte) *stream {
	f.begin()
	f.Counters.Streams.Add(1)
	return &stream{flight: f, answer: answer, length: answer.Response().Header.ContentLength(), pending: begun}
}

// begin notes that bytes of an answer go on from now.
func (f *flight) begin() {
	if f.begun.CompareAndSwap(false, true) {
		f.actor.ResponseBegun(f.record)
	}
}

const (
	eventBuffer = 4 << 10
	// mostEvent bounds one event, so that one without end is cut off.
	mostEvent = 256 << 10
)

var eventReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, eventBuffer) }}

// takeEvents waits for the first event, since until then nothing is promised to the caller.
func (f *flight) takeEvents(answer *connectionpool.Answer) (*stream, forwarding.Outcome) {
	s := &stream{flight: f, answer: answer, length: -1, events: eventReaders.Get().(*bufio.Reader)}
	s.events.Reset(answer)
	err := s.nextEvent()
	if err == nil {
		f.firstByte(answer.Response().StatusCode())
	}
	if err != nil && !(err == io.EOF && len(s.pending) == 0 && answer.Whole()) {
		s.release()
		answer.Close()
		return nil, forwarding.OutcomeResponseLost
	}
	f.copyHead(answer)
	s.ended = err == io.EOF
	f.begin()
	f.Counters.Streams.Add(1)
	return s, forwarding.OutcomeCompleted
}

func (s *stream) release() {
	if s.events != nil {
		s.events.Reset(nil)
		eventReaders.Put(s.events)
		s.events = nil
	}
}

// Read gives what goes on next: whole events, as many as have come.
func (s *stream) Read(p []byte) (int, error) {
	for len(s.pending) == 0 {
		if s.failed {
			return 0, errBroken
		}
		if s.ended {
			return 0, io.EOF
		}
		var err error
		if s.events == nil {
			var n int
			n, err = s.answer.Read(p)
			if n > 0 {
				// A failure shows again at the next read.
				return n, nil
			}
		} else {
			asked := s.Clock.Elapsed()
			err = s.nextEvent()
			now := s.Clock.Elapsed()
			s.record.Observed.LongestEventGap = max(s.record.Observed.LongestEventGap, now.Since(asked))
			s.came(asked, now, err)
		}
		switch {
		case err == io.EOF:
			s.ended = true
		case err != nil && !s.resume():
			s.failed = true
		}
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// Close ends the answer, whatever became of it.
func (s *stream) Close() error {
	s.release()
	switch {
	case s.failed:
		// The end was reported when it was found.
		s.Counters.StreamsBroken.Add(1)
	case s.ended:
		s.answer.Close()
		s.Counters.StreamsWhole.Add(1)
		s.actor.AttemptEnded(s.record, forwarding.OutcomeCompleted, s.lastEvent)
	default:
		// The caller could not be written to, so nobody needs the rest.
		s.Counters.CallersLeft.Add(1)
		s.answer.Close()
		s.actor.AttemptEnded(s.record, forwarding.OutcomeCallerLeft, s.lastEvent)
	}
	s.done()
	return nil
}

var (
	errOrder   = errors.New("the engine's events are not in order")
	errEndless = errors.New("the engine sent an event without end")
	errPart    = errors.New("the engine's stream ended within an event")
)

// nextEvent reads events until one is whole, and those that came with it.
func (s *stream) nextEvent() error {
	s.buffer = s.buffer[:0]
	whole := 0
	last := s.lastEvent
	for {
		line, err := s.events.ReadSlice('\n')
		s.buffer = append(s.buffer, line...)
		switch {
		case err == bufio.ErrBufferFull && len(s.buffer) <= mostEvent:
			continue
		case len(s.buffer)-whole > mostEvent:
			return errEndless
		case err == io.EOF && len(s.buffer) == whole:
			return io.EOF
		case err == io.EOF:
			return errPart
		case err != nil:
			return err
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		id, found := eventID(s.buffer[whole:])
		if found && !follows(id, last) {
			return errOrder
		}
		if found {
			last = id
		}
		whole = len(s.buffer)
		s.Counters.Events.Add(1)
		// Another one goes along only if it is here whole already.
		if buffered := s.events.Buffered(); buffered > 0 && whole < eventBuffer {
			ahead, _ := s.events.Peek(buffered)
			if bytes.Contains(ahead, []byte("\n\n")) || bytes.Contains(ahead, []byte("\n\r\n")) {
				continue
			}
		}
		s.pending, s.lastEvent = s.buffer, last
		if last != "" && !s.named.Load() {
			s.named.Store(true)
		}
		return nil
	}
}

// eventID is the id that an event bears.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if rest, found := bytes.CutPrefix(line, []byte("id:")); found {
			return string(bytes.TrimSpace(rest)), true
		}
	}
	return "", false
}

// follows says whether an event's id may come after the last one.
func follows(id, last string) bool {
	if last == "" {
		return true
	}
	was, err := strconv.ParseUint(last, 10, 64)
	is, wrong := strconv.ParseUint(id, 10, 64)
	if err != nil || wrong != nil {
		// Ids that are no numbers are known to differ, and no more.
		return id != last
	}
	return is > was
}

// resume takes a stream that broke off up at another engine, within the same answer.
func (s *stream) resume() bool {
	s.answer.Close()
	if s.events == nil {
		s.report(forwarding.OutcomeStreamBroken)
		return false
	}
	outcome := forwarding.OutcomeStreamBroken
	for {
		step := s.report(outcome)
		if step.Attempt == nil {
			return false
		}
		answer := s.attempt(step.Attempt)
		outcome = outcomeOf(answer.Outcome)
		if answer.Outcome != connectionpool.Answered {
			continue
		}
		if status := answer.Response().StatusCode(); status != 200 || !answer.Head.Sealed || !answer.Head.Events {
			// The answer that has begun can't become another one.
			answer.Close()
			outcome = forwarding.OutcomeResponseLost
			continue
		}
		s.Counters.Resumed.Add(1)
		s.answer = answer
		s.events.Reset(answer)
		return true
	}
}
