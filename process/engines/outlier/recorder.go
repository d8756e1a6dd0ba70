package outlier

import (
	"slices"
	"strings"
	"time"

	"github.com/cresspond/cresspond/ident"
)

// Digest is what one daemon saw of one engine since its last report.
type Digest struct {
	Engine ident.EngineID
	// Attempts are those that have ended, or whose first byte has come or is overdue; each counts once, and so does
	// each of the next three, which are no part of each other.
	Attempts int
	// Failures gave no whole answer though the engine had the time, or an answer of its own that it failed.
	Failures int
	// Refusals were turned away with the engine's word that it did not run them.
	Refusals int
	// Overdue are those whose first byte came far later than like ones elsewhere, or has not come yet.
	Overdue int
}

// Reading is what one daemon has seen of one engine lately, smoothed: what ranks engines may read it.
type Reading struct {
	Attempts, Failures, Refusals, Overdue, Truncated uint64
	// FirstExcess is by how much first bytes came later than expected for their size, GapExcess by how much the
	// longest pause of a stream was above what its path allows, Connect how long a fresh connection took.
	FirstByteExcess, GapExcess, Connect time.Duration
}

// Ledger is one daemon's own account. It belongs to one actor.
type Recorder struct {
	readings map[ident.EngineID]*Reading
	pending  map[ident.EngineID]*Digest
}

// NewLedger makes an empty one.
func NewRecorder() *Recorder {
	return &Recorder{readings: map[ident.EngineID]*Reading{}, pending: map[ident.EngineID]*Digest{}}
}

// Outcome is what became of one attempt.
type Outcome uint8

const (
	// Well: an answer came, or began to come, in time.
	Success Outcome = iota
	// Failure: no whole answer came though the engine had the time, or it failed by its own account.
	Failure
	// Refusal: the engine stated that it did not run the attempt.
	Refusal
	// Overdue: the first byte came far later than for like requests, or has not come yet.
	Overdue
)

// Note counts an attempt. One is noted once, by the worst that is known of it at that time.
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

// Worse counts an attempt as a failure that was noted as something better: an answer that began, and broke off.
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

// First notes how much later than expected a first byte came; before time counts as none.
func (l *Recorder) RecordFirstByteExcess(engine ident.EngineID, excess time.Duration) {
	smooth(&l.readingOf(engine).FirstByteExcess, max(0, excess))
}

// Gap notes by how much the longest pause of a stream was above what its path allows.
func (l *Recorder) RecordGapExcess(engine ident.EngineID, excess time.Duration) {
	smooth(&l.readingOf(engine).GapExcess, max(0, excess))
}

// Connected notes how long a fresh connection took.
func (l *Recorder) RecordConnect(engine ident.EngineID, took time.Duration) {
	smooth(&l.readingOf(engine).Connect, took)
}

// Of gives what was seen of an engine.
func (l *Recorder) Reading(engine ident.EngineID) Reading {
	if reading := l.readings[engine]; reading != nil {
		return *reading
	}
	return Reading{}
}

// Take gives what was not reported yet, by engine, and counts it as reported: what gets lost on its way stays lost, since
// more comes.
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

// Forget drops what is known of engines that are not to be kept.
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

// smooth moves a smoothed time towards the newest.
func smooth(into *time.Duration, newest time.Duration) { *into += (newest - *into) / 8 }
