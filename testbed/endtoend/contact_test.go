package endtoend

import (
	"fmt"
	"testing"

	"github.com/cresspond/cresspond/wire/operatorapi"
)

// A follower that is cut off alone says so within a second, at once after the cut and later; what it was asked for takes
// effect once only, when the same calls are made elsewhere.
func TestAFollowerThatIsCutOffAnswersOperatorsWithinASecond(t *testing.T) {
	p := part(t, 0, nil)
	leader := awaitLeader(p.core)
	follower := p.others(leader)[0]
	before := leader.status().ClosureVersion
	p.cut(follower, p.core)
	yes := true
	body := encode(t, operatorapi.ZoneClosure{Zone: "there", Closed: &yes, Base: &before, Operator: "ana"})
	for round := range 3 {
		asked := begin()
		status, reply, _ := follower.post(operatorapi.PathZone, body)
		if took, _ := asked.took(); status != 503 || took > answeredWithin {
			t.Errorf("round %d: %d %+v after %v", round, status, reply, took)
		}
	}
	if status, reply, _ := leader.post(operatorapi.PathZone, body); !taken(status) {
		t.Errorf("the same call at the leader: %d %+v", status, reply)
	}
	p.links.Heal()
	follower.await("it is told", func() bool { return follower.status().ClosureVersion > before })
	if status, reply, _ := follower.post(operatorapi.PathZone, body); !taken(status) {
		t.Errorf("the same call at the one that was cut off, once it is back: %d %+v", status, reply)
	}
	if after := leader.status().ClosureVersion; after != before+1 {
		t.Errorf("one closure raised the version from %d to %d", before, after)
	}
}

// Whoever was told that a change is in force everywhere is never told otherwise by a trace, whichever daemon he asks.
func TestATraceNeverContradictsAnAcknowledgement(t *testing.T) {
	p := part(t, 2, nil)
	leader := awaitLeader(p.core)
	yes, no := true, false
	acknowledged := 0
	for round := range 30 {
		base, closed := leader.status().ClosureVersion, &yes
		if round%2 == 1 {
			closed = &no
		}
		status, reply, _ := leader.post(operatorapi.PathZone, encode(t, operatorapi.ZoneClosure{Zone: "there", Closed: closed, Base: &base, Operator: "ana"}))
		if status != 200 {
			t.Logf("round %d: %d %+v", round, status, reply)
			continue
		}
		acknowledged++
		asked := p.all()[round%len(p.all())]
		var trace operatorapi.Trace
		if status, reply := asked.get(fmt.Sprintf("%s?change=closure:%d", operatorapi.PathTrace, base+1), &trace); status != 200 || !trace.Acknowledged {
			t.Errorf("round %d: %s says %d %s after an acknowledgement", round, asked.name, status, reply)
		}
	}
	if acknowledged == 0 {
		t.Error("nothing was acknowledged")
	}
}
