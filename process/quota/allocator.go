package quota

import (
	"github.com/rotisserie/eris"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

var (
	// ErrNotLeading is returned for a request to an allocator that does not lead.
	ErrNotLeading = eris.New("quota: this daemon does not lead")
	// ErrStaleRequest is returned for a request that is not later than the last one of its daemon: a copy, or one that
	// was long on its way.
	ErrStaleRequest = eris.New("quota: the request is older than the daemon's last one")
	// ErrRetiredDaemon is returned for a request of an incarnation that a later one has replaced.
	ErrRetiredDaemon = eris.New("quota: the daemon's incarnation has been replaced")
)

// LimitOf gives the limit in force for a tenant, and whether there is such a tenant.
type LimitOf func(tenant string) (Limit, bool)

// Allocator allots tokens to daemons while its own daemon leads. Its state is in memory only.
type Allocator struct {
	settings Settings
	leading  bool
	term     uint64
	// first reports that no earlier term can have granted anything.
	first bool
	// since is when the allocator began to lead.
	since    clock.Mark
	tenants  map[string]*tenantBucket
	daemons  map[ident.NodeID]*daemonContact
	retired  map[ident.NodeID]clock.Mark
	current  map[string]ident.NodeID
	expireAt clock.Mark
	// unreported are the daemons that were members when the allocator began to lead and have not made a request since:
	// they may be spending on credit that a predecessor gave them.
	unreported map[ident.NodeID]struct{}
}

// daemonContact is what the allocator knows of one daemon.
type daemonContact struct {
	// last is when its last request was handled.
	last     clock.Mark
	sequence uint64
	id       ident.NodeID
	// allowances are what the daemon has, by tenant.
	allowances map[string]*allowance
}

// overdue reports whether the daemon is out of contact.
func (d *daemonContact) overdue(now clock.Mark) bool { return now.Since(d.last) > ContactTimeout }

// allowanceFor returns the daemon's allowance for a tenant; a new one has no standing rate.
func (d *daemonContact) allowanceFor(name string, tenant *tenantBucket) *allowance {
	if current, found := d.allowances[name]; found && current.tenant == tenant {
		return current
	}
	created := &allowance{tenant: tenant, daemon: d}
	tenant.allowances = append(tenant.allowances, created)
	d.allowances[name] = created
	return created
}

// NewAllocator returns an allocator that does not lead yet.
func NewAllocator(settings Settings) *Allocator {
	return &Allocator{settings: settings}
}

// Lead starts allotting for a term, with no knowledge of earlier terms. The members are the daemons that may hold
// standing rates of a predecessor, as far as is known.
func (a *Allocator) Lead(term uint64, members []ident.NodeID, now clock.Mark) {
	a.leading = true
	a.first = false
	a.term = term
	a.since = now
	a.expireAt = now
	a.tenants = make(map[string]*tenantBucket)
	a.daemons = make(map[ident.NodeID]*daemonContact)
	a.retired = make(map[ident.NodeID]clock.Mark)
	a.current = make(map[string]ident.NodeID)
	a.unreported = make(map[ident.NodeID]struct{}, len(members))
	for _, member := range members {
		a.unreported[member] = struct{}{}
	}
}

// LeadFirst is Lead for a term before which no tenant can have been granted anything, so that buckets start full.
func (a *Allocator) LeadFirst(term uint64, now clock.Mark) {
	a.Lead(term, nil, now)
	a.first = true
}

// Resign stops allotting and forgets all state.
func (a *Allocator) Resign() {
	*a = Allocator{settings: a.settings}
}

// Retire notes that an incarnation of a daemon has ended for sure, so that nothing is reserved for it any longer.
func (a *Allocator) Retire(daemon ident.NodeID, now clock.Mark) {
	if !a.leading {
		return
	}
	a.retired[daemon] = now
	delete(a.unreported, daemon)
	contact, found := a.daemons[daemon]
	if !found {
		return
	}
	for _, allowance := range contact.allowances {
		a.advance(allowance.tenant, now)
		allowance.remove()
	}
	delete(a.daemons, daemon)
}

// Allot handles one request of a daemon. It returns ErrNotLeading, ErrStaleRequest or ErrRetiredDaemon, on which the
// daemon gets no reply that it may use.
func (a *Allocator) Allot(request Request, limitOf LimitOf, now clock.Mark) (Reply, error) {
	if !a.leading {
		return Reply{}, ErrNotLeading
	}
	if request.Term > a.term {
		return Reply{}, eris.Wrapf(ErrNotLeading, "request %d of %s is of term %d, and this is %d",
			request.Sequence, request.Daemon, request.Term, a.term)
	}
	if _, ended := a.retired[request.Daemon]; ended {
		return Reply{}, eris.Wrapf(ErrRetiredDaemon, "request %d of %s", request.Sequence, request.Daemon)
	}
	a.expire(now)
	contact := a.contactOf(request.Daemon, now)
	if request.Sequence <= contact.sequence {
		return Reply{}, eris.Wrapf(ErrStaleRequest, "request %d of %s", request.Sequence, request.Daemon)
	}
	contact.sequence = request.Sequence
	a.advanceOverdue(contact, now)
	contact.last = now
	a.receiveReports(contact, request, limitOf, now)
	reply := Reply{Sequence: request.Sequence, Term: a.term, LeaderFor: now.Since(a.since)}
	for _, claim := range request.Claims {
		reply.Allotments = append(reply.Allotments, a.allot(contact, claim, limitOf, now))
	}
	return reply, nil
}

// contactOf returns the state of a daemon, and retires the incarnation that it replaces.
func (a *Allocator) contactOf(daemon ident.NodeID, now clock.Mark) *daemonContact {
	if contact, found := a.daemons[daemon]; found {
		return contact
	}
	if earlier, found := a.current[daemon.Name()]; found {
		a.Retire(earlier, now)
	}
	for unreported := range a.unreported {
		if unreported.Name() == daemon.Name() && unreported != daemon {
			a.Retire(unreported, now)
		}
	}
	contact := &daemonContact{id: daemon, last: now, allowances: make(map[string]*allowance)}
	a.daemons[daemon] = contact
	a.current[daemon.Name()] = daemon
	return contact
}

// advanceOverdue brings all tenants of a daemon up to now if it was out of contact, so that all is reserved up to now.
func (a *Allocator) advanceOverdue(contact *daemonContact, now clock.Mark) {
	if !contact.overdue(now) {
		return
	}
	for _, allowance := range contact.allowances {
		a.advance(allowance.tenant, now)
	}
}

// receiveReports takes in what the claims report, before any of them is granted tokens: deficits of the same term, and
// the standing rates of an earlier one. Then nothing is reserved for the daemon any longer.
func (a *Allocator) receiveReports(contact *daemonContact, request Request, limitOf LimitOf, now clock.Mark) {
	for _, claim := range request.Claims {
		limit, found := limitOf(claim.Tenant)
		if !found || limit.RatePerSecond <= 0 {
			continue
		}
		tenant := a.tenantOf(claim.Tenant, limit, now)
		allowance := contact.allowanceFor(claim.Tenant, tenant)
		if request.Term == a.term {
			allowance.chargeDeficit(claim)
			allowance.confirm(claim.StandingRate)
			continue
		}
		allowance.previous = creditRate{perSecond: claim.StandingRate, start: now - clock.Mark(claim.StandingAge)}
		tenant.reportedStanding += allowance.previous.at(now)
	}
	for _, allowance := range contact.allowances {
		allowance.refund()
	}
	delete(a.unreported, request.Daemon)
}

// allot answers one claim.
func (a *Allocator) allot(contact *daemonContact, claim Claim, limitOf LimitOf, now clock.Mark) Allotment {
	allotment := Allotment{Tenant: claim.Tenant}
	limit, found := limitOf(claim.Tenant)
	if !found {
		allotment.RetryAfter = minimumRetryAfter
		return allotment
	}
	if limit.RatePerSecond <= 0 {
		allotment.Count = claim.Waiting + claim.Prefetch
		return allotment
	}
	allowance := contact.allowances[claim.Tenant]
	tenant := allowance.tenant
	tenant.lastClaim = now
	allotment.Count = tenant.bucket.grant(claim.Waiting, claim.Prefetch)
	tenant.granted += uint64(allotment.Count)
	if allotment.Count < claim.Waiting {
		tenant.denied += uint64(claim.Waiting - allotment.Count)
		allotment.RetryAfter = tenant.retryAfter(now)
	}
	allotment.StandingRate = allowance.renew(claim.RatePerSecond, now)
	return allotment
}

// tenantOf returns a tenant's bucket, brought up to now, under the limit in force.
func (a *Allocator) tenantOf(name string, limit Limit, now clock.Mark) *tenantBucket {
	tenant, found := a.tenants[name]
	if !found {
		tenant = a.newTenant(limit)
		a.tenants[name] = tenant
	}
	a.advance(tenant, now)
	if tenant.bucket.limit != limit {
		tenant.bucket.configure(limit, a.settings)
	}
	return tenant
}

// newTenant returns a bucket as if it had existed since the allocator began to lead.
func (a *Allocator) newTenant(limit Limit) *tenantBucket {
	tenant := &tenantBucket{}
	tenant.bucket.updatedAt = a.since
	tenant.lastClaim = a.since
	tenant.bucket.configure(limit, a.settings)
	tenant.bucket.level = a.settings.initialLevel(limit)
	if a.first {
		tenant.bucket.level = tenant.bucket.capacity
	}
	return tenant
}

// advance brings a bucket up to now: it adds what accrued, less what daemons out of contact may have spent on credit.
func (a *Allocator) advance(tenant *tenantBucket, now clock.Mark) {
	reserved := a.reserveUnreported(tenant, now)
	for _, allowance := range tenant.allowances {
		if allowance.daemon.overdue(now) {
			reserved += allowance.reserve(now)
		}
	}
	tenant.bucket.accrue(reserved, now)
	tenant.capRefundable()
}

// reserveUnreported returns what daemons that have not reported since the allocator began to lead may have spent since
// the last call: their standing rates are what the reported ones leave of all there can be, and no more than one daemon may
// have for each of them.
func (a *Allocator) reserveUnreported(tenant *tenantBucket, now clock.Mark) float64 {
	if len(a.unreported) == 0 {
		return 0
	}
	limit := tenant.bucket.limit
	standing := min(standingFraction*limit.RatePerSecond-tenant.reportedStanding, float64(len(a.unreported))*limit.daemonStandingRate())
	unreported := creditRate{perSecond: max(0, standing), start: a.since}
	return unreported.between(tenant.bucket.updatedAt, now)
}

// expire forgets tenants and daemons that have not been in use for idleTimeout. A daemon's allowances outlast its
// credit by far.
func (a *Allocator) expire(now clock.Mark) {
	if now < a.expireAt {
		return
	}
	a.expireAt = now + clock.Mark(expireInterval)
	for name, tenant := range a.tenants {
		if now.Since(tenant.lastClaim) > idleTimeout && a.full(tenant, now) {
			delete(a.tenants, name)
		}
	}
	for daemon, contact := range a.daemons {
		a.expireAllowances(daemon, contact, now)
	}
	for daemon, retiredAt := range a.retired {
		if now.Since(retiredAt) > idleTimeout {
			delete(a.retired, daemon)
		}
	}
}

// full reports whether a bucket is as a new one would be.
func (a *Allocator) full(tenant *tenantBucket, now clock.Mark) bool {
	a.advance(tenant, now)
	return tenant.bucket.level >= tenant.bucket.capacity
}

// expireAllowances forgets the allowances of one daemon that are idle, and the daemon if none is left.
func (a *Allocator) expireAllowances(daemon ident.NodeID, contact *daemonContact, now clock.Mark) {
	for name, allowance := range contact.allowances {
		if a.tenants[name] == allowance.tenant && now.Since(allowance.newest.start) <= idleTimeout {
			continue
		}
		allowance.remove()
		delete(contact.allowances, name)
	}
	if now.Since(contact.last) <= idleTimeout || len(contact.allowances) > 0 {
		return
	}
	delete(a.daemons, daemon)
	if a.current[daemon.Name()] == daemon {
		delete(a.current, daemon.Name())
	}
}
