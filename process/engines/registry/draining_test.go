package registry

import (
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
)

func TestDeregisteredEngineNeverReturns(t *testing.T) {
	core := NewCore("one", true, time.Second, 0)
	core.ReceiveHeartbeat(second, testRegistration("e1", 1))
	core.Deregister(second, "e1")
	core.ReceiveHeartbeat(2*second, testRegistration("e1", 9))
	if engine := core.View().Engines["e1"]; !engine.Deregistered || engine.Usable() {
		t.Errorf("%+v", engine)
	}
	// Nor does one that was deregistered before its first heartbeat, nor one that was removed since.
	core.Deregister(second, "e2")
	for now := second; now < 700*second; now += second {
		core.Tick(now, time.Second, connected(now))
	}
	core.ReceiveHeartbeat(700*second, testRegistration("e2", 9))
	core.ReceiveHeartbeat(700*second, testRegistration("e1", 12))
	for id, engine := range core.View().Engines {
		if engine.Usable() {
			t.Errorf("%s is back: %+v", id, engine)
		}
	}
}

// TestHeartbeatsAfterDeregistrationAreIgnored: some engines deregister first, and go on serving and sending heartbeats for
// a while. Whatever comes afterwards, late or not, at that daemon or at one that has it from the group alone, neither
// uses them.
func TestHeartbeatsAfterDeregistrationAreIgnored(t *testing.T) {
	informedByEngine, informedByGroup := NewCore("one", true, time.Second, 0), NewCore("two", true, time.Second, 0)
	for _, core := range []*Core{informedByEngine, informedByGroup} {
		core.ReceiveHeartbeat(second, testRegistration("e1", 5))
		core.ReceiveHeartbeat(second, testRegistration("e2", 5))
	}
	informedByEngine.Deregister(2*second, "e1")
	informedByGroup.MarkDraining(2*second, "e1", false, true)
	for at, callSeq := range []uint64{6, 3, 9, 7, 12, 4} {
		now := 2*second + clock.Mark(at)*second/2
		for _, core := range []*Core{informedByEngine, informedByGroup} {
			result := core.ReceiveHeartbeat(now, testRegistration("e1", callSeq))
			core.Tick(now, time.Second, connected(now))
			if core.View().Engines["e1"].Usable() {
				t.Errorf("it is back by heartbeat %d: %+v", callSeq, result)
			}
			if result.DrainCommitted != (core == informedByGroup) {
				t.Errorf("heartbeat %d: %+v", callSeq, result)
			}
		}
	}
}
