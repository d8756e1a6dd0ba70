package registry

import (
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
)

func TestDeregisteredEngineNeverReturns(t *testing.T) {
	c := NewCore("one", true, time.Second, 0)
	c.ReceiveHeartbeat(second, testRegistration("e1", 1))
	c.Deregister(second, "e1")
	c.ReceiveHeartbeat(2*second, testRegistration("e1", 9))
	if engine := c.View().Engines["e1"]; !engine.Deregistered || engine.Usable() {
		t.Errorf("%+v", engine)
	}
	// Nor one that ended before it was ever heard of, nor after it was forgotten.
	c.Deregister(second, "e2")
	for now := second; now < 700*second; now += second {
		c.Tick(now, time.Second, connected(now))
	}
	c.ReceiveHeartbeat(700*second, testRegistration("e2", 9))
	c.ReceiveHeartbeat(700*second, testRegistration("e1", 12))
	for id, engine := range c.View().Engines {
		if engine.Usable() {
			t.Errorf("%s is back: %+v", id, engine)
		}
	}
}

// TestHeartbeatsAfterDeregistrationAreIgnored: some engines say first that they are gone, and serve and beat on for a
// while. Whatever comes after, late or not, at that daemon or at one that has it from the group alone, none uses them.
func TestHeartbeatsAfterDeregistrationAreIgnored(t *testing.T) {
	told, heard := NewCore("one", true, time.Second, 0), NewCore("two", true, time.Second, 0)
	for _, c := range []*Core{told, heard} {
		c.ReceiveHeartbeat(second, testRegistration("e1", 5))
		c.ReceiveHeartbeat(second, testRegistration("e2", 5))
	}
	told.Deregister(2*second, "e1")
	heard.MarkDraining(2*second, "e1", false, true)
	for at, callSeq := range []uint64{6, 3, 9, 7, 12, 4} {
		now := 2*second + clock.Mark(at)*second/2
		for _, c := range []*Core{told, heard} {
			result := c.ReceiveHeartbeat(now, testRegistration("e1", callSeq))
			c.Tick(now, time.Second, connected(now))
			if c.View().Engines["e1"].Usable() {
				t.Errorf("it is back by beat %d: %+v", callSeq, result)
			}
			if result.DrainCommitted != (c == heard) {
				t.Errorf("beat %d: %+v", callSeq, result)
			}
		}
	}
}
