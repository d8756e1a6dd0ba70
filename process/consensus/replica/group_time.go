package replica

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// groupNow is the group's time as the leader stamps it: the last in the log, carried on by elapsed
// time. The time of day is asked once, when the group is new.
func (c *Core) groupTime(now clock.Mark) ident.GroupTime {
	if c.state.Now == 0 {
		return ident.GroupTime(c.wallClock().UnixMilli())
	}
	return c.state.Now.Add(now.Since(c.groupTimeAt))
}

// FirstRollAgo is how long ago the first bundle came in force, in the group's time; negative when none has.
func (c *Core) SinceFirstRollout(now clock.Mark) time.Duration {
	first, any := c.state.ProposalAt(1)
	if !any || first.RolledOut == nil {
		return -1
	}
	return max(time.Millisecond, time.Duration(c.groupTime(now)-first.RolledOut.At)*time.Millisecond)
}
