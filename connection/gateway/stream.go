package gateway

import (
	"bufio"
	"errors"
	"io"

	"github.com/cresspond/cresspond/process/engines/connectionpool"
	"github.com/cresspond/cresspond/request/forwarding"
)

// errIncomplete makes the connection end without the last chunk, or short of the announced length.
var errIncomplete = errors.New("the answer is not whole")

// stream is a response that is passed on as it comes. It is a reader, since fasthttp ends a writer's stream with a clean
// last chunk whatever happened.
type stream struct {
	*exchange
	result *connectionpool.Result
	length int
	// pending is what is passed on next.
	pending  []byte
	events   *bufio.Reader
	buffer   []byte
	complete bool
	failed   bool
}

// streamBody passes on a response that is too large to be buffered.
func (f *exchange) streamBody(result *connectionpool.Result, begun []byte) *stream {
	f.responseBegun()
	f.Counters.Streams.Add(1)
	return &stream{exchange: f, result: result, length: result.Response().Header.ContentLength(), pending: begun}
}

// responseBegun reports that bytes of a response are passed on from now on.
func (f *exchange) responseBegun() {
	if f.hasBegun.CompareAndSwap(false, true) {
		f.actor.ResponseBegun(f.request)
	}
}

// streamEvents waits for the first event; until then another attempt could still be made.
func (f *exchange) streamEvents(result *connectionpool.Result) (*stream, forwarding.Outcome) {
	s := &stream{exchange: f, result: result, length: -1, events: eventReaders.Get().(*bufio.Reader)}
	s.events.Reset(result)
	err := s.readEvents()
	if err == nil {
		f.recordFirstByte(result.Response().StatusCode())
	}
	if err != nil && !(err == io.EOF && len(s.pending) == 0 && result.Complete()) {
		s.release()
		result.Close()
		return nil, forwarding.OutcomeResponseLost
	}
	f.copyHeader(result)
	s.complete = err == io.EOF
	f.responseBegun()
	f.Counters.Streams.Add(1)
	return s, forwarding.OutcomeCompleted
}

// release returns the event reader.
func (s *stream) release() {
	if s.events != nil {
		s.events.Reset(nil)
		eventReaders.Put(s.events)
		s.events = nil
	}
}

// Read gives what is passed on next: complete events, as many as have come.
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
			n, err = s.result.Read(p)
			if n > 0 {
				// A failure shows again at the next read.
				return n, nil
			}
		} else {
			readStarted := s.Clock.Elapsed()
			err = s.readEvents()
			now := s.Clock.Elapsed()
			s.request.Observed.LongestEventGap = max(s.request.Observed.LongestEventGap, now.Since(readStarted))
			s.recordEventGap(readStarted, now, err)
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

// Close ends the response and reports its outcome.
func (s *stream) Close() error {
	s.release()
	switch {
	case s.failed:
		// The end was reported when it was found.
		s.Counters.StreamsBroken.Add(1)
	case s.complete:
		s.result.Close()
		s.Counters.StreamsCompleted.Add(1)
		s.actor.AttemptEnded(s.request, forwarding.OutcomeCompleted, s.lastEvent)
	default:
		// The caller could not be written to, so the rest is not needed.
		s.Counters.CallersLeft.Add(1)
		s.result.Close()
		s.actor.AttemptEnded(s.request, forwarding.OutcomeCallerLeft, s.lastEvent)
	}
	s.finish()
	return nil
}

// resume continues a stream that broke off at another engine, within the same response.
func (s *stream) resume() bool {
	s.result.Close()
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
		result := s.sendAttempt(step.Attempt)
		outcome = s.outcomeOf(result.Outcome)
		if result.Outcome != connectionpool.OutcomeAnswered {
			continue
		}
		if status := result.Response().StatusCode(); status != 200 || !result.Header.Sealed || !result.Header.Events {
			// The response that has begun can't be continued by one of another kind.
			result.Close()
			outcome = forwarding.OutcomeResponseLost
			continue
		}
		s.Counters.Resumed.Add(1)
		s.result = result
		s.events.Reset(result)
		return true
	}
}
