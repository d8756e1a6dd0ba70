package tenantquota

import (
	"sync"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/quota"
)

// Leadership is a moment of this daemon's leadership of the control group.
type Leadership struct {
	Term uint64
	// Members gives the daemons that may route; it is called once in a term, and nil is none.
	Members func() []ident.NodeID
	// First reports that no configuration was in force before, so that nobody can have been allotted anything.
	First bool
}

// Allotter owns the quota.Allocator of a daemon that may lead the control group. It is safe for concurrent use.
type Allotter struct {
	mutex     sync.Mutex
	allocator *quota.Allocator
	term      uint64
	// latest is the latest moment that the allocator was told. Calls may overtake each other between reading the clock and
	// being handled, and the allocator's time never goes backwards.
	latest  clock.Mark
	log     log.Interface
	changes leaderLog
	counts  AllotterCounts
}

// AllotterCounts count since the daemon started. They only rise.
type AllotterCounts struct {
	// Calls is the number of daemons' calls that were answered.
	Calls uint64
	// CreditReported is the number of requests that daemons reported to have sent on credit. A report whose answer was
	// lost comes again and counts again; it is charged once.
	CreditReported uint64
}

// NewAllotter makes an allotter that has not allotted anything. It logs its changes of state.
func NewAllotter(settings quota.Settings, logger log.Interface) *Allotter {
	return &Allotter{allocator: quota.NewAllocator(settings), log: logger, changes: newLeaderLog(logger)}
}

// Lead begins a leadership, without knowledge of the one before. It is called as soon as this daemon leads, since what
// accrues to tenants counts from then on; once more for the same term, or for an earlier one, does nothing.
func (a *Allotter) Lead(leadership Leadership, now clock.Mark) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.lead(leadership, a.advance(now))
}

// advance gives the allocator's time for a moment at which a caller read the clock.
func (a *Allotter) advance(now clock.Mark) clock.Mark {
	a.latest = max(a.latest, now)
	return a.latest
}

func (a *Allotter) lead(leadership Leadership, now clock.Mark) {
	if leadership.Term <= a.term {
		return
	}
	a.term = leadership.Term
	a.changes = newLeaderLog(a.log)
	if leadership.First {
		a.allocator.LeadFirst(leadership.Term, now)
		return
	}
	var members []ident.NodeID
	if leadership.Members != nil {
		members = leadership.Members()
	}
	a.changes.members = len(members)
	a.allocator.Lead(leadership.Term, members, now)
}

// Allot answers one request under a leadership that was confirmed at a moment. It returns quota.ErrNotLeading if this daemon
// has led in a later term since, and the errors of quota.Allocator.
func (a *Allotter) Allot(leadership Leadership, request quota.Request, limitOf quota.LimitOf, now clock.Mark) (quota.Reply, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now = a.advance(now)
	a.lead(leadership, now)
	if leadership.Term < a.term {
		return quota.Reply{}, eris.Wrapf(quota.ErrNotLeading, "the call was let in under term %d, and this is %d",
			leadership.Term, a.term)
	}
	reply, err := a.allocator.Allot(request, limitOf, now)
	if err != nil {
		return reply, err
	}
	a.noteCall(leadership, request, reply, now)
	return reply, nil
}

// noteCall counts a call that was answered, and logs what it changed.
func (a *Allotter) noteCall(leadership Leadership, request quota.Request, reply quota.Reply, now clock.Mark) {
	credit := uint64(0)
	if request.Term == a.term {
		// What was sent on credit in an earlier term is not charged.
		credit = creditOf(request)
	}
	a.counts.Calls++
	a.counts.CreditReported += credit
	a.changes.begin(leadership)
	a.changes.noteCredit(request.Daemon, credit, now)
	a.changes.noteContact(request.Daemon, reply, now)
}

// creditOf is how many requests a daemon reports to have sent on credit.
func creditOf(request quota.Request) uint64 {
	total := uint64(0)
	for _, claim := range request.Claims {
		if claim.CreditTo > claim.CreditFrom {
			total += claim.CreditTo - claim.CreditFrom
		}
	}
	return total
}

// Counts gives what was counted.
func (a *Allotter) Counts() AllotterCounts {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.counts
}

// Status gives the tenants in use; nothing where this daemon has not led.
func (a *Allotter) Status(now clock.Mark) []quota.TenantBucket {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.allocator.Status(a.advance(now))
}
