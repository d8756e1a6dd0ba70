package membership

import (
	"slices"

	"github.com/cresspond/cresspond/wire/peerapi"
)

// The steps of rollouts travel apart from a member's attributes: each change of the configuration brings every daemon
// three of them, and a new version of its attributes would be forwarded to every other daemon. Steps are sent to the
// peers that a daemon pulls from itself, with its attributes all of them, later only those that the peer lacks.

// maxSteps bounds how many steps of a member are retained, the newest.
const maxSteps = 48

// newestStepOf returns the last of some steps, or nil.
func newestStepOf(steps []*peerapi.RolloutStep) *peerapi.RolloutStep {
	if len(steps) == 0 {
		return nil
	}
	return steps[len(steps)-1]
}

// stepsAfter returns the steps behind an acknowledged one, or all where that is not among them.
func stepsAfter(steps []*peerapi.RolloutStep, acknowledged *peerapi.RolloutStep) []*peerapi.RolloutStep {
	for i := len(steps) - 1; i >= 0; i-- {
		if sameStep(steps[i], acknowledged) {
			return steps[i+1:]
		}
	}
	return steps
}

// appendSteps appends the steps that are not known yet and drops the oldest. Steps that come twice change nothing.
func appendSteps(known, more []*peerapi.RolloutStep) []*peerapi.RolloutStep {
	for _, step := range more {
		if !slices.ContainsFunc(known, func(other *peerapi.RolloutStep) bool { return sameStep(step, other) }) {
			known = append(slices.Clip(known), step)
		}
	}
	return known[max(0, len(known)-maxSteps):]
}

func sameStep(a, b *peerapi.RolloutStep) bool {
	return b != nil && a.Change == b.Change && a.Step == b.Step && a.UnixMs == b.UnixMs
}

// AcknowledgedStep returns this daemon's newest rollout step that is known at an address; nil is none.
func (l *MemberList) AcknowledgedStep(address string) *peerapi.RolloutStep {
	if source := l.sources[address]; source != nil {
		return source.acknowledgedStep
	}
	return nil
}

// AcknowledgeStep records that the peer at an address has this daemon's steps up to this one.
func (l *MemberList) AcknowledgeStep(address string, newest *peerapi.RolloutStep) {
	l.sourceAt(address).acknowledgedStep = newest
}
