package gateway

import (
	"bufio"
	"errors"
	"io"

	"github.com/cresspond/cresspond/process/engines/connectionpool"
	"github.com/cresspond/cresspond/request/forwarding"
)

// errBroken makes the connection end without its last chunk, or short of the length that was said.
var errIncomplete = errors.New("the answer is not whole")

// stream is an answer that is passed on as it comes.
// A reader, not a writer: fasthttp ends a writer's stream with a clean last chunk whatever became of it.
type stream struct {
	*exchange
	answer *connectionpool.Result
	length int
	// pending is what goes on next.
	pending  []byte
	events   *bufio.Reader
	buffer   []byte
	complete bool
	failed   bool
}

// streamBody passes on an answer that is too large to be gathered first.
func (f *exchange) streamBody(answer *connectionpool.Result, begun []byte) *stream {
	f.responseBegun()
	f.Counters.Streams.Add(1)
	return &stream{exchange: f, answer: answer, length: answer.Response().Header.ContentLength(), pending: begun}
}

// responseBegun notes that bytes of an answer go on from now.
func (f *exchange) responseBegun() {
	if f.hasBegun.CompareAndSwap(false, true) {
		f.actor.ResponseBegun(f.record)
	}
}

// streamEvents waits for the first event, since until then nothing is promised to the caller.
func (f *exchange) streamEvents(answer *connectionpool.Result) (*stream, forwarding.Outcome) {
	s := &stream{exchange: f, answer: answer, length: -1, events: eventReaders.Get().(*bufio.Reader)}
	s.events.Reset(answer)
	err := s.readEvents()
	if err == nil {
		f.recordFirstByte(answer.Response().StatusCode())
	}
	if err != nil && !(err == io.EOF && len(s.pending) == 0 && answer.Complete()) {
		s.release()
		answer.Close()
		return nil, forwarding.OutcomeResponseLost
	}
	f.copyHeader(answer)
	s.complete = err == io.EOF
	f.responseBegun()
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
			return 0, errIncomplete
		}
		if s.complete {
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
			err = s.readEvents()
			now := s.Clock.Elapsed()
			s.record.Observed.LongestEventGap = max(s.record.Observed.LongestEventGap, now.Since(asked))
			s.recordEventGap(asked, now, err)
		}
		switch {
		case err == io.EOF:
			s.complete = true
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
	case s.complete:
		s.answer.Close()
		s.Counters.StreamsCompleted.Add(1)
		s.actor.AttemptEnded(s.record, forwarding.OutcomeCompleted, s.lastEvent)
	default:
		// The caller could not be written to, so nobody needs the rest.
		s.Counters.CallersLeft.Add(1)
		s.answer.Close()
		s.actor.AttemptEnded(s.record, forwarding.OutcomeCallerLeft, s.lastEvent)
	}
	s.finish()
	return nil
}

// resume takes a stream that broke off up at another engine, within the same answer.
func (s *stream) resume() bool {
	s.answer.Close()
	if s.events == nil {
		s.reportOutcome(forwarding.OutcomeStreamBroken)
		return false
	}
	outcome := forwarding.OutcomeStreamBroken
	for {
		step := s.reportOutcome(outcome)
		if step.Attempt == nil {
			return false
		}
		answer := s.sendAttempt(step.Attempt)
		outcome = outcomeOf(answer.Outcome)
		if answer.Outcome != connectionpool.OutcomeAnswered {
			continue
		}
		if status := answer.Response().StatusCode(); status != 200 || !answer.Header.Sealed || !answer.Header.Events {
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
