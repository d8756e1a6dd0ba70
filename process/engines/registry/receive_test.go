package registry

import (
	"testing"
	"time"
)

func TestHigherCallSeqSupersedesRegistration(t *testing.T) {
	c := NewCore("one", true, time.Second, 0)
	newer, older := testRegistration("e1", 5), testRegistration("e1", 4)
	newer.Slots, older.Slots = 8, 2
	if c.ReceiveHeartbeat(second, newer).Stale {
		t.Error("the first word is not late")
	}
	if !c.ReceiveHeartbeat(second, older).Stale {
		t.Error("an older word is late")
	}
	same := newer
	same.Slots = 9
	if !c.ReceiveHeartbeat(second, same).Stale || c.View().Engines["e1"].Slots != 8 {
		t.Error("a word of the same number with other content is dropped")
	}
}

func TestSuccessorAtAddressDeregistersPredecessor(t *testing.T) {
	c := NewCore("one", true, time.Second, 0)
	c.ReceiveHeartbeat(second, testRegistration("e1", 7))
	next := testRegistration("e2", 1)
	next.Address = testRegistration("e1", 7).Address
	c.ReceiveHeartbeat(2*second, next)
	if c.View().Engines["e1"].Usable() || !c.View().Engines["e2"].Usable() {
		t.Error("the one heard later counts")
	}
	// A late word of the old one, from a frozen machine's buffers, does not end the new one for good.
	c.ReceiveHeartbeat(2*second+1, testRegistration("e1", 8))
	for now := 3 * second; now < 10*second; now += second / 2 {
		next.CallSeq++
		c.ReceiveHeartbeat(now, next)
		c.Tick(now, time.Second, connected(now))
	}
	if e1, e2 := c.View().Engines["e1"], c.View().Engines["e2"]; !e1.Deregistered || !e2.Usable() {
		t.Errorf("%+v %+v", e1, e2)
	}
}

// TestDelayedHeartbeatDoesNotDisplaceSuccessor: beats may come seconds late, and an address is given on sooner.
func TestDelayedHeartbeatDoesNotDisplaceSuccessor(t *testing.T) {
	c := NewCore("one", true, time.Second, 0)
	first, next := testRegistration("e1", 7), testRegistration("e2", 1)
	next.Address = first.Address
	c.ReceiveHeartbeat(second, first)
	c.ReceiveHeartbeat(4*second, next)
	first.CallSeq++
	if result := c.ReceiveHeartbeat(5*second, first); !result.Stale {
		t.Error("it is taken for one that still lives")
	}
	if e1, e2 := c.View().Engines["e1"], c.View().Engines["e2"]; e1.Usable() || !e2.Usable() {
		t.Errorf("%+v %+v", e1, e2)
	}
	// Where the one that followed has fallen silent, there is nobody to protect.
	for now := 5 * second; now < 12*second; now += second / 4 {
		c.Tick(now, time.Second, connected(now))
	}
	first.CallSeq++
	c.ReceiveHeartbeat(12*second, first)
	if c.View().Engines["e2"].Usable() {
		t.Error("one that is silent is in use")
	}
}
