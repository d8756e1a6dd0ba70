package registry

import (
	"testing"
	"time"
)

func TestHigherCallSeqSupersedesRegistration(t *testing.T) {
	core := NewCore("one", true, time.Second, 0)
	newer, older := testRegistration("e1", 5), testRegistration("e1", 4)
	newer.Slots, older.Slots = 8, 2
	if core.ReceiveHeartbeat(second, newer).Stale {
		t.Error("the first heartbeat is stale")
	}
	if !core.ReceiveHeartbeat(second, older).Stale {
		t.Error("an older heartbeat is not stale")
	}
	same := newer
	same.Slots = 9
	if !core.ReceiveHeartbeat(second, same).Stale || core.View().Engines["e1"].Slots != 8 {
		t.Error("a heartbeat of the same call-seq with other content is not dropped")
	}
}

func TestSuccessorAtAddressDeregistersPredecessor(t *testing.T) {
	core := NewCore("one", true, time.Second, 0)
	core.ReceiveHeartbeat(second, testRegistration("e1", 7))
	next := testRegistration("e2", 1)
	next.Address = testRegistration("e1", 7).Address
	core.ReceiveHeartbeat(2*second, next)
	if core.View().Engines["e1"].Usable() || !core.View().Engines["e2"].Usable() {
		t.Error("the engine that came later is not the one in use")
	}
	// A delayed heartbeat of the old engine, from a frozen machine's buffers, does not remove the new one for good.
	core.ReceiveHeartbeat(2*second+1, testRegistration("e1", 8))
	for now := 3 * second; now < 10*second; now += second / 2 {
		next.CallSeq++
		core.ReceiveHeartbeat(now, next)
		core.Tick(now, time.Second, connected(now))
	}
	if e1, e2 := core.View().Engines["e1"], core.View().Engines["e2"]; !e1.Deregistered || !e2.Usable() {
		t.Errorf("%+v %+v", e1, e2)
	}
}

// TestDelayedHeartbeatDoesNotDisplaceSuccessor: heartbeats may come seconds late, and an address is
// reused sooner.
func TestDelayedHeartbeatDoesNotDisplaceSuccessor(t *testing.T) {
	core := NewCore("one", true, time.Second, 0)
	first, next := testRegistration("e1", 7), testRegistration("e2", 1)
	next.Address = first.Address
	core.ReceiveHeartbeat(second, first)
	core.ReceiveHeartbeat(4*second, next)
	first.CallSeq++
	if result := core.ReceiveHeartbeat(5*second, first); !result.Stale {
		t.Error("it is taken for an engine that still runs")
	}
	if e1, e2 := core.View().Engines["e1"], core.View().Engines["e2"]; e1.Usable() || !e2.Usable() {
		t.Errorf("%+v %+v", e1, e2)
	}
	// Where the successor is timed out, there is no engine to protect.
	for now := 5 * second; now < 12*second; now += second / 4 {
		core.Tick(now, time.Second, connected(now))
	}
	first.CallSeq++
	core.ReceiveHeartbeat(12*second, first)
	if core.View().Engines["e2"].Usable() {
		t.Error("an engine that is timed out is in use")
	}
}
