package outlier

import (
	"slices"
	"strings"
	"time"

	"github.com/cresspond/cresspond/ident"
)

// Digest is what one daemon observed of one engine since its last report.
type Digest struct {
	Engine ident.EngineID
	// Attempts are those that have ended, or whose first byte has come or is overdue. Each is counted once here, and at most
	// once below.
	Attempts int
	// Failures gave no complete answer though the engine had the time, or an answer that states its own failure.
	Failures int
	// Refusals were rejected, and the engine stated that it did not run them.
	Refusals int
	// Overdue attempts have their first byte far later than similar ones at other engines, or not yet.
	Overdue int
}

// Reading is what one daemon has observed of one engine. Counts are over its lifetime, times are smoothed.
type Reading struct {
	Attempts, Failures, Refusals, Overdue, Truncated uint64
	// FirstByteExcess is by how much first bytes came later than expected for their size, GapExcess by how much the longest
	// gap of a stream was above its path's target, Connect how long a new connection took.
	FirstByteExcess, GapExcess, Connect time.Duration
}

// Recorder counts what one daemon observes. It belongs to one goroutine.
type Recorder struct {
	readings map[ident.EngineID]*Reading
	pending  map[ident.EngineID]*Digest
}

// NewRecorder makes an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{readings: map[ident.EngineID]*Reading{}, pending: map[ident.EngineID]*Digest{}}
}

// Outcome is how one attempt ended, or how it stands when it is recorded.
type Outcome uint8

const (
	// Success is an answer that came, or began to come, in time.
	Success Outcome = iota
	// Failure is no complete answer though the engine had the time, or one that states the engine's own failure.
	Failure
	// Refusal is the engine's statement that it did not run the attempt.
	Refusal
	// Overdue is a first byte that came far later than for similar requests, or has not come yet.
	Overdue
)

// Record counts an attempt. It is recorded once, by the worst that is known of it at that time.
func (l *Recorder) Record(engine ident.EngineID, outcome Outcome) {
	reading, digest := l.readingOf(engine), l.pending[engine]
	if digest == nil {
		digest = &Digest{Engine: engine}
		l.pending[engine] = digest
	}
	reading.Attempts++
	digest.Attempts++
	switch outcome {
	case Failure:
		reading.Failures++
		digest.Failures++
	case Refusal:
		reading.Refusals++
		digest.Refusals++
	case Overdue:
		reading.Overdue++
		digest.Overdue++
	}
}

// RecordTruncated counts an attempt as a failure that was recorded as something better: an answer that began and broke off.
func (l *Recorder) RecordTruncated(engine ident.EngineID) {
	l.readingOf(engine).Failures++
	l.readingOf(engine).Truncated++
	digest := l.pending[engine]
	if digest == nil {
		digest = &Digest{Engine: engine, Attempts: 1}
		l.pending[engine] = digest
	}
	digest.Failures = min(digest.Failures+1, digest.Attempts)
}

// RecordFirstByteExcess records how much later than expected a first byte came; early counts as zero.
func (l *Recorder) RecordFirstByteExcess(engine ident.EngineID, excess time.Duration) {
	smooth(&l.readingOf(engine).FirstByteExcess, max(0, excess))
}

// RecordGapExcess records by how much the longest gap of a stream was above its path's target; below counts as zero.
func (l *Recorder) RecordGapExcess(engine ident.EngineID, excess time.Duration) {
	smooth(&l.readingOf(engine).GapExcess, max(0, excess))
}

// RecordConnect records how long a new connection took.
func (l *Recorder) RecordConnect(engine ident.EngineID, took time.Duration) {
	smooth(&l.readingOf(engine).Connect, took)
}

// Reading gives what was observed of an engine.
func (l *Recorder) Reading(engine ident.EngineID) Reading {
	if reading := l.readings[engine]; reading != nil {
		return *reading
	}
	return Reading{}
}

// TakeDigests gives what was not reported yet, ordered by engine, and counts it as reported. A report that is lost on its
// way is not repeated, since more will come.
func (l *Recorder) TakeDigests() []Digest {
	if len(l.pending) == 0 {
		return nil
	}
	out := make([]Digest, 0, len(l.pending))
	for _, digest := range l.pending {
		out = append(out, *digest)
	}
	clear(l.pending)
	slices.SortFunc(out, func(a, b Digest) int { return strings.Compare(string(a.Engine), string(b.Engine)) })
	return out
}

// Prune drops the engines for which keep returns false.
func (l *Recorder) Prune(keep func(ident.EngineID) bool) {
	for engine := range l.readings {
		if !keep(engine) {
			delete(l.readings, engine)
			delete(l.pending, engine)
		}
	}
}

func (l *Recorder) readingOf(engine ident.EngineID) *Reading {
	reading := l.readings[engine]
	if reading == nil {
		reading = &Reading{}
		l.readings[engine] = reading
	}
	return reading
}

// smooth moves an exponentially smoothed time towards the newest, by an eighth.
func smooth(into *time.Duration, newest time.Duration) { *into += (newest - *into) / 8 }
