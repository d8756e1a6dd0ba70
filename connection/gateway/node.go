package gateway

import (
	"io"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/engines/connectionpool"
	"github.com/cresspond/cresspond/process/engines/nodehealth"
)

// nodeWatch is what is measured of the engine that an attempt is at. Of the request itself nothing goes along but
// how much work it is.
type nodeWatch struct {
	// left is when the attempt's first byte was about to leave, last when its newest event came.
	left, last clock.Mark
	stalls     *nodehealth.Cell
}

func (f *flight) class(kind nodehealth.Kind) nodehealth.Class {
	class := nodehealth.Class{Kind: kind, Pool: f.send.Pool}
	if kind == nodehealth.Connect {
		return class
	}
	class.Model, class.Load = f.record.Attributes.Model, nodehealth.LoadBand(f.send.EngineRunning)
	switch kind {
	case nodehealth.Stall:
		class.TargetMs = f.send.GapTargetMs
	case nodehealth.Transfer:
		class.Size = nodehealth.SizeBand(f.send.PrefillTokens)
	}
	return class
}

// connected records how long a fresh connection took.
func (f *flight) connected(answer *connectionpool.Answer) {
	if f.Recorder != nil && answer.Connect > 0 {
		f.Recorder.Cell(f.send.Engine, f.class(nodehealth.Connect)).RecordDelay(answer.Connect)
	}
}

// leaves notes that an attempt's first byte is about to leave.
func (f *flight) leaves() {
	if f.Recorder != nil {
		f.node = nodeWatch{left: f.Clock.Elapsed()}
	}
}

// firstByte records how long the first byte of an answer took. Only what went well took the time that its work takes.
func (f *flight) firstByte(status int) {
	if f.Recorder == nil || status < 200 || status >= 300 {
		return
	}
	now := f.Clock.Elapsed()
	f.Recorder.Cell(f.send.Engine, f.class(nodehealth.Transfer)).RecordDelay(now.Since(f.node.left))
	f.node.last = now
}

// came records the pause before an event, or before the failure that came in its place; it was waited for since asked.
func (s *stream) came(asked, now clock.Mark, err error) {
	if s.Recorder == nil || err == io.EOF || s.left.Load() {
		return
	}
	before := s.node.last
	s.node.last = now
	// Where the caller was slow to take what went before, the pause is the caller's and not the engine's.
	if before == 0 || asked.Since(before) > now.Since(before)/2 && now.Since(before) > time.Millisecond {
		return
	}
	if s.node.stalls == nil {
		s.node.stalls = s.Recorder.Cell(s.send.Engine, s.class(nodehealth.Stall))
	}
	s.node.stalls.RecordPause(now.Since(before))
}
