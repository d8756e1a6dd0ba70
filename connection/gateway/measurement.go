package gateway

import (
	"io"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/engines/connectionpool"
	"github.com/cresspond/cresspond/process/engines/nodehealth"
)

// attemptMeasurement is what is measured of the engine that an attempt is at. Of the request itself nothing goes along but
// how much work it is.
type attemptMeasurement struct {
	// sentAt is when the attempt's first byte was about to leave, last when its newest event came.
	sentAt, lastEventAt clock.Mark
	gaps                *nodehealth.Cell
}

func (f *exchange) class(kind nodehealth.Kind) nodehealth.Class {
	class := nodehealth.Class{Kind: kind, Pool: f.attempt.Pool}
	if kind == nodehealth.Connect {
		return class
	}
	class.Model, class.Load = f.record.Attributes.Model, nodehealth.LoadBand(f.attempt.EngineRunning)
	switch kind {
	case nodehealth.Stall:
		class.TargetMs = f.attempt.GapTargetMs
	case nodehealth.Transfer:
		class.Size = nodehealth.SizeBand(f.attempt.PrefillTokens)
	}
	return class
}

// recordConnect records how long a fresh connection took.
func (f *exchange) recordConnect(answer *connectionpool.Result) {
	if f.Recorder != nil && answer.ConnectTime > 0 {
		f.Recorder.Cell(f.attempt.Engine, f.class(nodehealth.Connect)).RecordDelay(answer.ConnectTime)
	}
}

// recordSend notes that an attempt's first byte is about to leave.
func (f *exchange) recordSend() {
	if f.Recorder != nil {
		f.measurement = attemptMeasurement{sentAt: f.Clock.Elapsed()}
	}
}

// recordFirstByte records how long the first byte of an answer took. Only what went well took the time that its work takes.
func (f *exchange) recordFirstByte(status int) {
	if f.Recorder == nil || status < 200 || status >= 300 {
		return
	}
	now := f.Clock.Elapsed()
	f.Recorder.Cell(f.attempt.Engine, f.class(nodehealth.Transfer)).RecordDelay(now.Since(f.measurement.sentAt))
	f.measurement.lastEventAt = now
}

// recordEventGap records the pause before an event, or before the failure that came in its place; it was waited for since asked.
func (s *stream) recordEventGap(asked, now clock.Mark, err error) {
	if s.Recorder == nil || err == io.EOF || s.callerGone.Load() {
		return
	}
	before := s.measurement.lastEventAt
	s.measurement.lastEventAt = now
	// Where the caller was slow to take what went before, the pause is the caller's and not the engine's.
	if before == 0 || asked.Since(before) > now.Since(before)/2 && now.Since(before) > time.Millisecond {
		return
	}
	if s.measurement.gaps == nil {
		s.measurement.gaps = s.Recorder.Cell(s.attempt.Engine, s.class(nodehealth.Stall))
	}
	s.measurement.gaps.RecordPause(now.Since(before))
}
