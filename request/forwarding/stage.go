package forwarding

// Stage is the state of one request.
type Stage uint8

const (
	// StageAdmitted: read, and not yet dispatched.
	StageAdmitted Stage = iota
	// StageQueued: waiting for an engine, under a minted id.
	StageQueued
	// StageSending: an attempt was given to the sender; bytes may be on their way.
	StageSending
	// StageResponding: bytes of an engine's response were passed on to the caller.
	StageResponding
	// StageEnded: served, or answered by this daemon.
	StageEnded
)

func (s Stage) String() string {
	return [...]string{"admitted", "queued", "sending", "responding", "ended"}[s]
}

// allowedTransitions lists the stages that may follow each stage.
var allowedTransitions = map[Stage][]Stage{
	StageAdmitted: {StageQueued, StageSending, StageEnded},
	StageQueued:   {StageSending, StageEnded},
	// After an attempt that did not run, or may be repeated, the request is queued or sent again.
	StageSending: {StageQueued, StageSending, StageResponding, StageEnded},
	// A resumable stream continues at another engine, within the response that has begun.
	StageResponding: {StageQueued, StageSending, StageResponding, StageEnded},
}

// transition is the only function that changes a request's stage.
func (r *Request) transition(to Stage) {
	for _, next := range allowedTransitions[r.stage] {
		if next == to {
			r.stage = to
			return
		}
	}
	panic("broken invariant: a request may not go from " + r.stage.String() + " to " + to.String())
}
