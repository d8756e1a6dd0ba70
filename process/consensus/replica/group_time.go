package replica

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/raft"
)

// groupTime is the group's time as the leader stamps it: the newest in the log, advanced by the time elapsed since it
// was applied. The time of day is read once, when the group is new, so that a machine whose clock is set can't move it.
func (c *Core) groupTime(now clock.Mark) ident.GroupTime {
	if c.state.Now == 0 {
		return ident.GroupTime(c.wallClock().UnixMilli())
	}
	return c.state.Now.Add(now.Since(c.groupTimeAt))
}

// stampedAt is the moment on this machine's clock that the stamp of an applied entry counts from. An entry found on disk
// was stamped before this member started, however late it is applied, so the time since has passed.
func (c *Core) stampedAt(now clock.Mark, index raft.Index) clock.Mark {
	if index <= c.lastRestored {
		return c.startedAt
	}
	return now
}

// noteTruncation looks for entries found on disk that are replaced: those in their place may have been stamped at any
// time since the start.
func (c *Core) noteTruncation(save *raft.Save) {
	if save != nil && save.TruncateFrom > 0 && save.TruncateFrom <= c.lastRestored {
		c.lastRestored = save.TruncateFrom - 1
	}
}

// SinceFirstRollout is how long ago, in the group's time, the first configuration was put in force; negative if none was.
func (c *Core) SinceFirstRollout(now clock.Mark) time.Duration {
	first, found := c.state.ProposalAt(1)
	if !found || first.RolledOut == nil {
		return -1
	}
	return max(time.Millisecond, time.Duration(c.groupTime(now)-first.RolledOut.At)*time.Millisecond)
}
