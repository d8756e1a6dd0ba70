package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/cresspond/cresspond/wire/peerapi"
)

// stepsOf lists the three steps of each version up to the newest.
func stepsOf(newest int) (steps []*peerapi.RolloutStep) {
	for version := 1; version <= newest; version++ {
		for at, name := range []string{"learned", "built", "in-force"} {
			// Two steps may fall into one millisecond.
			steps = append(steps, &peerapi.RolloutStep{Change: fmt.Sprint("spec:", version), Step: name, UnixMs: int64(100*version + at/2)})
		}
	}
	return steps[max(0, len(steps)-maxSteps):]
}

// linkedPull has a daemon pull from a peer, and lets the reply come or get lost.
func linkedPull(from, to *Tracker, self *peerapi.PullRequest, steps []*peerapi.RolloutStep, answered bool) (sent *peerapi.PullRequest) {
	request := &peerapi.PullRequest{NodeId: self.NodeId, Address: self.Address, Roles: self.Roles, Ready: true,
		AttributesVersion: self.AttributesVersion, HasAttributes: true, IntervalMs: 250, Steps: steps}
	target := PullTarget{Address: "control", Linked: true}
	newest := newestStepOf(steps)
	from.FillRequest(request, target)
	reply := to.MembersFor(1, request)
	reply.NodeId, reply.KnownAttributesVersion = "control#1", to.RecordPull(1, request)
	result := PullResult{PullTarget: target, SentAt: 1, ReceivedAt: 1, NewestStep: newest, Reply: reply}
	if !answered {
		result.Reply, result.Err = nil, fmt.Errorf("lost")
	}
	from.HandleResult(1, result, InForce{})
	return request
}

func edgeAndControl() (edge, control *Tracker, self *peerapi.PullRequest) {
	self = &peerapi.PullRequest{NodeId: "edge#1", Address: "edge", Roles: []string{"route"}, AttributesVersion: 1}
	edge, control = NewTracker(0, "edge#1", "edge", false), NewTracker(0, "control#1", "control", true)
	edge.memberList.SetSelf(0, MemberRecord{Member: Member{NodeID: "edge#1", Address: "edge", Roles: self.Roles, Ready: true}, Version: 1})
	return edge, control, self
}

func TestPeerHasAllStepsThoughEachIsSentOnce(t *testing.T) {
	edge, control, self := edgeAndControl()
	linkedPull(edge, control, self, stepsOf(1), true)
	for version := 2; version <= 40; version++ {
		steps := stepsOf(version)
		if version%5 == 0 {
			linkedPull(edge, control, self, steps, false)
		}
		if sent := linkedPull(edge, control, self, steps, true); len(sent.Steps) > 3 || sent.HasAttributes {
			t.Errorf("version %d: %d steps were sent, attributes %t", version, len(sent.Steps), sent.HasAttributes)
		}
		if sent := linkedPull(edge, control, self, steps, true); len(sent.Steps) > 0 {
			t.Errorf("version %d: %d steps were sent again", version, len(sent.Steps))
		}
		known, _ := control.memberList.Member("edge#1")
		if len(known.Steps) != len(steps) {
			t.Fatalf("version %d: the peer has %d steps of %d", version, len(known.Steps), len(steps))
		}
		for i, step := range steps {
			if !sameStep(step, known.Steps[i]) {
				t.Fatalf("version %d: step %d is %v, not %v", version, i, known.Steps[i], step)
			}
		}
	}
}

func TestRestartedPeerIsSentAllStepsAgain(t *testing.T) {
	edge, control, self := edgeAndControl()
	linkedPull(edge, control, self, stepsOf(4), true)
	restarted := NewTracker(0, "control#2", "control", true)
	linkedPull(edge, restarted, self, stepsOf(5), true)
	linkedPull(edge, restarted, self, stepsOf(5), true)
	if known, _ := restarted.memberList.Member("edge#1"); len(known.Steps) != 15 {
		t.Errorf("the restarted peer has %d steps of 15", len(known.Steps))
	}
}

// rollingHost puts a new version in force before each look at it.
type rollingHost struct {
	singlePeerHost
	version int
}

func (h *rollingHost) DescribeSelf() *peerapi.PullRequest {
	h.version++
	request := h.singlePeerHost.DescribeSelf()
	request.Steps, request.ConfigurationVersion = stepsOf(h.version), uint64(h.version)
	return request
}

// A change of the configuration is no change of a member's attributes or status: forwarded to every daemon, those of all
// others once were most of what went between zones.
func TestStepsChangeNeitherAttributesNorStatus(t *testing.T) {
	m := New(syntheticClock{time.Now()}, &rollingHost{}, func() []string { return nil }, "self", Pace{})
	m.tracker = NewTracker(0, "self#1", "self", true)
	m.refreshSelf()
	attributes, status := m.self.Version, m.tracker.memberList.StatusChangeIndex()
	for range 20 {
		m.refreshSelf()
	}
	if m.self.Version != attributes || m.tracker.memberList.StatusChangeIndex() != status {
		t.Errorf("20 versions raised the attributes from %d to %d, and the status from %d to %d", attributes, m.self.Version, status, m.tracker.memberList.StatusChangeIndex())
	}
	if known, _ := m.tracker.memberList.Member("self#1"); known.ConfigurationVersion != 21 || len(known.Steps) != maxSteps {
		t.Errorf("it has version %d and %d steps of itself", known.ConfigurationVersion, len(known.Steps))
	}
}
