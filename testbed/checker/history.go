package checker

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cresspond/cresspond/testbed/caller"
	"github.com/cresspond/cresspond/testbed/journal"
)

// Action is one fault, change or planned work in a run.
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

// Kinds of actions.
const (
	// Rolled: a bundle was acknowledged to be in force everywhere.
	Rolled = "rolled"
	// Committed: a bundle may be in force, and was not acknowledged.
	Committed = "committed"
	// Refused: a bundle was rejected, or lost a race.
	Refused = "refused-bundle"
	// ZoneClosing: a closure is committed, and not yet acknowledged.
	ZoneClosing = "zone-closing"
	// ZoneClosed: a closure was acknowledged.
	ZoneClosed = "zone-closed"
	// ZoneOpened: the opening of a zone was requested.
	ZoneOpened = "zone-opened"
	// EngineDraining: an engine began to drain, on the platform's or an operator's request.
	EngineDraining = "engine-leaving"
	// EngineKilled: an engine's process was killed.
	EngineKilled = "engine-killed"
	// EngineStarted: an engine's process was started.
	EngineStarted = "engine-started"
	// Crashed: a daemon was killed.
	Crashed = "crashed"
	// StopRequested: a daemon was sent SIGTERM.
	StopRequested = "stop-asked"
	// Stopped: a daemon that was sent SIGTERM has ended.
	Stopped = "stopped"
	// Split: daemons were partitioned.
	Split = "split"
	// Healed: all partitions were healed.
	Healed = "healed"
)

// Observation is the state of a daemon at one time.
type Observation struct {
	At                   time.Duration
	Daemon               string
	Incarnation          string
	ConfigurationVersion uint64
	ClosureVersion       uint64
	// Ready says that it accepted new requests: its configuration is in force only then.
	Ready bool
}

// ReadBack is an acknowledged change as it was read back.
type ReadBack struct {
	Version uint64
	Body    []byte
	Err     string
}

// Exit is the exit code of a daemon that was stopped.
type Exit struct {
	Daemon string
	Code   int
}

// History is all that was recorded of a run.
type History struct {
	Journals     []journal.Line
	Calls        []caller.Record
	Actions      []Action
	Observations []Observation
	ReadBacks    []ReadBack
	Exits        []Exit
	// ClosureWanted and ClosureSeen are the closures acknowledged and read back at the end.
	ClosureWanted, ClosureSeen []string
	// ZoneOf is the zone of each engine.
	ZoneOf map[string]string
	// LoadsAtOnce, LoadGap, Slots and RetryShare are the limits in the bundle.
	LoadsAtOnce int
	LoadGap     time.Duration
	Slots       int
	RetryShare  float64
	// Contest lists the classes that compete for the same capacity, in scenarios with a contest.
	Contest []Class
}

// Class is one kind of request in a contest.
type Class struct {
	Name     string
	Tenant   string
	Priority int64
	// Burst says that this class sends far more than its usual load.
	Burst bool
	// Prefix begins the attempt ids of the class.
	Prefix string
}

// ServedShare is the fraction of a class that was served completely, and its number of requests.
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

// never is the time of an action that did not happen.
const never = time.Duration(1<<62 - 1)

// rolls lists the bundles that came in force, by version, each with the time of its acknowledgement or never.
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

// splitAftermath is how long after a partition has healed the two sides may still differ on assignments.
const splitAftermath = 3 * time.Second

// split says whether daemons were partitioned at some time between two times. A session whose requests come
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

// next is the time of the first action of a kind on a subject from an index on; never if there is none.
func (h *History) next(from int, kind, subject string) time.Duration {
	for _, action := range h.Actions[from:] {
		if action.Kind == kind && action.Subject == subject {
			return action.At
		}
	}
	return never
}
