package gateway

import (
	"io"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/engines/connectionpool"
	"github.com/cresspond/cresspond/process/engines/nodehealth"
)

// attemptMeasurement is what is measured of an attempt for the ranking of nodes. Nothing of the request is recorded but
// how much work it is.
type attemptMeasurement struct {
	// sentAt is when the attempt's first byte was about to be sent, lastEventAt when its newest event came.
	sentAt, lastEventAt clock.Mark
	gaps                *nodehealth.Cell
}

// class gives what a measurement is comparable with.
func (f *exchange) class(kind nodehealth.Kind) nodehealth.Class {
	class := nodehealth.Class{Kind: kind, Pool: f.attempt.Pool}
	if kind == nodehealth.Connect {
		return class
	}
	class.Model, class.Load = f.request.Attributes.Model, nodehealth.LoadBand(f.attempt.EngineRunning)
	switch kind {
	case nodehealth.Stall:
		class.TargetMs = f.attempt.GapTargetMs
	case nodehealth.Transfer:
		class.Size = nodehealth.SizeBand(f.attempt.PrefillTokens)
	}
	return class
}

// recordConnect records how long a new connection took.
func (f *exchange) recordConnect(answer *connectionpool.Result) {
	if f.Recorder != nil && answer.ConnectTime > 0 {
		f.Recorder.Cell(f.attempt.Engine, f.class(nodehealth.Connect)).RecordDelay(answer.ConnectTime)
	}
}

// recordSend records that an attempt's first byte is about to be sent.
func (f *exchange) recordSend() {
	if f.Recorder != nil {
		f.measurement = attemptMeasurement{sentAt: f.Clock.Elapsed()}
	}
}

// recordFirstByte records how long a response's first byte took; only successes take the time that their work takes.
func (f *exchange) recordFirstByte(status int) {
	if f.Recorder == nil || status < 200 || status >= 300 {
		return
	}
	now := f.Clock.Elapsed()
	f.Recorder.Cell(f.attempt.Engine, f.class(nodehealth.Transfer)).RecordDelay(now.Since(f.measurement.sentAt))
	f.measurement.lastEventAt = now
}

// recordEventGap records the gap before an event, or before the failure that came in its place.
func (s *stream) recordEventGap(readStarted, now clock.Mark, err error) {
	if s.Recorder == nil || err == io.EOF || s.callerGone.Load() {
		return
	}
	before := s.measurement.lastEventAt
	s.measurement.lastEventAt = now
	// Where the caller was slow to take what went before, the pause is the caller's and not the engine's.
	if before == 0 || readStarted.Since(before) > now.Since(before)/2 && now.Since(before) > time.Millisecond {
		return
	}
	if s.measurement.gaps == nil {
		s.measurement.gaps = s.Recorder.Cell(s.attempt.Engine, s.class(nodehealth.Stall))
	}
	s.measurement.gaps.RecordPause(now.Since(before))
}
