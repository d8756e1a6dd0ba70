package checker

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cresspond/cresspond/testbed/caller"
	"github.com/cresspond/cresspond/testbed/journal"
)

// Action is one thing done to the fleet.
type Action struct {
	At      time.Duration
	Kind    string
	Subject string
	// RequestedAt is when it was begun, where that differs: its effects may show from then on.
	RequestedAt time.Duration
	// Version and Body belong to a roll or a closure that was acknowledged.
	Version uint64
	Body    []byte
}

// The kinds of acts.
const (
	// Rolled: a bundle was acknowledged as in force everywhere.
	Rolled = "rolled"
	// Committed: a bundle is in force where it got to, and not acknowledged.
	Committed = "committed"
	// Refused: a bundle was refused, or lost its race.
	Refused = "refused-bundle"
	// ZoneClosing: a closure is committed, and not yet acknowledged.
	ZoneClosing = "zone-closing"
	// ZoneClosed: a closure was acknowledged.
	ZoneClosed = "zone-closed"
	// ZoneOpened: an opening was asked for.
	ZoneOpened = "zone-opened"
	// EngineDraining: an engine was asked to leave, or drained.
	EngineDraining = "engine-leaving"
	// EngineKilled: an engine's process was killed.
	EngineKilled = "engine-killed"
	// EngineStarted: an engine's process was started.
	EngineStarted = "engine-started"
	// Crashed: a daemon was killed.
	Crashed = "crashed"
	// StopRequested: a daemon was asked to stop.
	StopRequested = "stop-asked"
	// Stopped: a daemon that was asked to stop has ended.
	Stopped = "stopped"
	// Split: links between daemons were cut.
	Split = "split"
	// Healed: cut links work again.
	Healed = "healed"
)

// Observation is one look at what a daemon has in force.
type Observation struct {
	At                   time.Duration
	Daemon               string
	Incarnation          string
	ConfigurationVersion uint64
	ClosureVersion       uint64
	// Ready says that it took new work: what it has is in force only then.
	Ready bool
}

// ReadBack is what reading an acknowledged change back gave.
type ReadBack struct {
	Version uint64
	Body    []byte
	Err     string
}

// Exit is how a daemon that was asked to stop ended.
type Exit struct {
	Daemon string
	Code   int
}

// History is all that is known of a run.
type History struct {
	Journals     []journal.Line
	Calls        []caller.Record
	Actions      []Action
	Observations []Observation
	ReadBacks    []ReadBack
	Exits        []Exit
	// ClosureWanted and ClosureSeen are the closures acknowledged and read back at the end.
	ClosureWanted, ClosureSeen []string
	// ZoneOf tells where engines stand; EndOf, to which address a stopped daemon belonged.
	ZoneOf map[string]string
	// LoadsAtOnce, LoadGap, Slots and RetryShare are what the bundle set.
	LoadsAtOnce int
	LoadGap     time.Duration
	Slots       int
	RetryShare  float64
	// Contest lists the classes that bid for the same room at the same time, where the scenario makes one.
	Contest []Class
}

// Class is one kind of request in a contest.
type Class struct {
	Name     string
	Tenant   string
	Priority int64
	// Burst says that this class asks for far more than its usual.
	Burst bool
	// Prefix begins the attempt ids of the class.
	Prefix string
}

// ServedShare is the part of a class that was served whole.
func (h *History) ServedShare(c Class) (share float64, count int) {
	complete := 0
	for _, call := range h.Calls {
		if strings.HasPrefix(call.Attempt, c.Prefix) {
			count++
			if call.Complete() {
				complete++
			}
		}
	}
	if count == 0 {
		return 0, 0
	}
	return float64(complete) / float64(count), count
}

// never is the time of what did not happen.
const never = time.Duration(1<<62 - 1)

// rolls lists the bundles that came in force, by epoch, each with the moment it was acknowledged, if it was.
func (h *History) rolls() []Action {
	var out []Action
	for _, action := range h.Actions {
		if action.Kind != Rolled && action.Kind != Committed {
			continue
		}
		if action.Kind == Committed {
			action.At = never
		}
		if at := slices.IndexFunc(out, func(other Action) bool { return other.Version == action.Version }); at < 0 {
			out = append(out, action)
		} else if action.At < out[at].At {
			out[at] = action
		}
	}
	slices.SortStableFunc(out, func(a, b Action) int { return cmp.Compare(a.Version, b.Version) })
	return out
}

// splitAftermath is how long after a split has healed the two sides may still differ on assignments.
const splitAftermath = 3 * time.Second

// split says whether daemons were split at some time between two moments. A session whose requests come
// in on both sides then has an assignment on each.
func (h *History) split(from, to time.Duration) bool {
	began, apart := time.Duration(0), false
	for _, action := range h.Actions {
		switch action.Kind {
		case Split:
			if !apart {
				began, apart = action.At, true
			}
		case Healed:
			if apart && began <= to && from <= action.At+splitAftermath {
				return true
			}
			apart = false
		}
	}
	return apart && began <= to
}

// next is when the first act of a kind on a subject was done at or after the act of this index; never if there was none.
func (h *History) next(from int, kind, subject string) time.Duration {
	for _, action := range h.Actions[from:] {
		if action.Kind == kind && action.Subject == subject {
			return action.At
		}
	}
	return never
}
