package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"sync"
)

const (
	// eventBufferSize is the size of the read buffer, in bytes.
	eventBufferSize = 4 << 10
	// maxEvent bounds one event, in bytes.
	maxEvent = 256 << 10
)

var eventReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, eventBufferSize) }}

var (
	errEventOrder    = errors.New("the engine's events are not in order")
	errEventTooLarge = errors.New("the engine sent an event without end")
	errPartialEvent  = errors.New("the engine's stream ended within an event")
)

// readEvents reads one complete event, and those that have come with it.
func (s *stream) readEvents() error {
	s.buffer = s.buffer[:0]
	complete := 0
	last := s.lastEvent
	for {
		blank, err := s.readLine(complete + maxEvent)
		switch {
		case len(s.buffer)-complete > maxEvent:
			return errEventTooLarge
		case err == io.EOF && len(s.buffer) == complete:
			return io.EOF
		case err == io.EOF:
			return errPartialEvent
		case err != nil:
			return err
		}
		if !blank {
			continue
		}
		id, found := eventID(s.buffer[complete:])
		if found && !follows(id, last) {
			return errEventOrder
		}
		if found {
			last = id
		}
		complete = len(s.buffer)
		s.Counters.Events.Add(1)
		// A further event is passed on along with it only if it has come completely.
		if buffered := s.events.Buffered(); buffered > 0 && complete < eventBufferSize {
			ahead, _ := s.events.Peek(buffered)
			if bytes.Contains(ahead, []byte("\n\n")) || bytes.Contains(ahead, []byte("\n\r\n")) {
				continue
			}
		}
		s.pending, s.lastEvent = s.buffer, last
		if last != "" && !s.hasEventID.Load() {
			s.hasEventID.Store(true)
		}
		return nil
	}
}

// readLine appends one line to the buffer, in as many parts as the reader gives it, and reports whether the whole line is
// blank, which ends an event. It stops behind a part with which the buffer is longer than limit.
func (s *stream) readLine(limit int) (blank bool, err error) {
	began := len(s.buffer)
	for {
		part, err := s.events.ReadSlice('\n')
		s.buffer = append(s.buffer, part...)
		if err == bufio.ErrBufferFull && len(s.buffer) <= limit {
			continue
		}
		return len(bytes.TrimRight(s.buffer[began:], "\r\n")) == 0, err
	}
}

// eventID gives an event's id.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if rest, found := bytes.CutPrefix(line, []byte("id:")); found {
			return string(bytes.TrimSpace(rest)), true
		}
	}
	return "", false
}

// follows reports whether an event's id may come after the last one.
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
