package forwarding

// Stage is where a record stands.
type Stage uint8

const (
	// Admitted: read, and not yet looked at by the passes.
	StageAdmitted Stage = iota
	// Held: waiting for an engine, stamped with a minted id.
	StageQueued
	// Sending: an attempt was handed to a sender; the bytes may be on their way.
	StageSending
	// Passing: bytes of an engine's answer went on to the caller.
	StageResponding
	// Ended: nothing more will happen.
	StageEnded
)

func (s Stage) String() string {
	return [...]string{"admitted", "held", "sending", "passing", "ended"}[s]
}

// allowed lists the ways from each stage to the next.
var allowedTransitions = map[Stage][]Stage{
	StageAdmitted: {StageQueued, StageSending, StageEnded},
	StageQueued:   {StageSending, StageEnded},
	// An attempt that did not run, or may be made again, leads back to holding or to the next one.
	StageSending: {StageQueued, StageSending, StageResponding, StageEnded},
	// A stream that may be taken up goes on at another engine, within the answer that has begun.
	StageResponding: {StageQueued, StageSending, StageResponding, StageEnded},
}

// move is the one function by which a record changes its stage.
func (r *Request) transition(to Stage) {
	for _, way := range allowedTransitions[r.stage] {
		if way == to {
			r.stage = to
			return
		}
	}
	panic("broken invariant: a record may not go from " + r.stage.String() + " to " + to.String())
}
