package daemon

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/connection/gateway"
	"github.com/cresspond/cresspond/daemon/tenantquota"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/replica"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/process/quota"
	"github.com/cresspond/cresspond/wire/peerapi"
)

var (
	// errLeaderUnknown ends a call for tokens while no leader is known.
	errLeaderUnknown = eris.New("no leader of the control group is known")
	// errNotAllotting ends a call for tokens at a daemon that does not lead.
	errNotAllotting = eris.New("the daemon that was asked does not lead the control group")
)

// leaderLease is how recent a majority's confirmation must be for a leader to allot tokens. No other leader can have begun
// before it has ended.
const leaderLease = 500 * time.Millisecond

const (
	// neighbourContactWindow is how recent the last contact must be for a daemon to be asked for a loan.
	neighbourContactWindow = 3 * time.Second
	// maxLoan is the most tokens that one loan is of.
	maxLoan = 64
)

// quotaSettings returns how far the fleet may exceed a tenant's limit.
func quotaSettings(bounds daemonconfig.Bounds) quota.Settings {
	return quota.Settings{
		Window: time.Duration(bounds.QuotaWindowMs) * time.Millisecond,
		Excess: bounds.QuotaExcess,
		Margin: bounds.QuotaMargin,
	}
}

// newQuotaLimiter makes the limiter of a daemon that forwards requests.
func (d *Daemon) newQuotaLimiter() *tenantquota.Limiter {
	return tenantquota.NewLimiter(d.nodeID, tenantquota.Dependencies{
		Clock:  d.clock,
		Ask:    d.askForTokens,
		Leader: d.quotaLeader,
		Neighbours: tenantquota.Neighbours{
			Addresses: d.quotaNeighbours,
			Borrow:    d.borrowTokens,
		},
		Log: d.log,
	})
}

// quotaLeader returns what the limiter is told of the leader and the fleet.
func (d *Daemon) quotaLeader() tenantquota.Leader {
	now := d.clock.Elapsed()
	_, term := d.leaderAndTerm()
	return tenantquota.Leader{
		Term:    term,
		Daemons: d.routingDaemonCount(now),
		Contact: d.confirmed(),
	}
}

// takeQuota takes a token for a request of a tenant, by the limit in force here.
func (d *Daemon) takeQuota(name string) gateway.QuotaDecision {
	limit, limited := limitOf(d.forwardIndex(), name)
	if !limited {
		return gateway.QuotaDecision{Granted: true}
	}
	decision := d.quotaLimiter.Take(name, limit)
	if decision.Outcome != quota.Granted {
		return gateway.QuotaDecision{RetryAfter: decision.RetryAfter}
	}
	return gateway.QuotaDecision{Granted: true, Token: decision.Token}
}

// limitOf returns a tenant's limit by a routing table; false where it has none.
func limitOf(index *upstream.Index, name string) (quota.Limit, bool) {
	if index == nil {
		return quota.Limit{}, false
	}
	tenant, known := index.Tenant(name)
	if !known || !tenant.Limited() {
		return quota.Limit{}, false
	}
	return quota.Limit{RatePerSecond: tenant.RatePerSecond, Burst: tenant.Burst}, true
}

// allottedLimitOf returns the limit by which a leader allots to a tenant: a rate of 0 where the tenant has no limit any more,
// though the daemon that asks has yet to learn that; false where there is no such tenant.
func allottedLimitOf(index *upstream.Index, name string) (quota.Limit, bool) {
	if index == nil {
		return quota.Limit{}, false
	}
	if _, known := index.Tenant(name); !known {
		return quota.Limit{}, false
	}
	limit, _ := limitOf(index, name)
	return limit, true
}

// askForTokens makes one call to the leader.
func (d *Daemon) askForTokens(ctx context.Context, request quota.Request) (quota.Reply, error) {
	address := d.leaderAddress()
	if address == "" {
		return quota.Reply{}, errLeaderUnknown
	}
	message := encodeQuotaRequest(request)
	message.Group = string(d.Group())
	reply, err := d.links.Client(address).Quota(ctx, message)
	if err != nil {
		return quota.Reply{}, eris.Wrapf(err, "tokens could not be asked for at %s", address)
	}
	if !reply.IsLeader {
		return quota.Reply{}, errNotAllotting
	}
	return decodeQuotaReply(reply), nil
}

// quotaNeighbours returns the addresses of the routing daemons of this zone that are in contact.
func (d *Daemon) quotaNeighbours() []string {
	var addresses []string
	for _, peer := range d.members.View().InContact(d.clock.Elapsed(), neighbourContactWindow) {
		if peer.Zone == d.config.Zone && peer.NodeID != d.nodeID && peer.Serves(string(daemonconfig.Route)) {
			addresses = append(addresses, peer.Address)
		}
	}
	return addresses
}

// borrowTokens asks one neighbour for tokens.
func (d *Daemon) borrowTokens(ctx context.Context, address string, request quota.LoanRequest) (int, error) {
	reply, err := d.links.Client(address).Lend(ctx, &peerapi.LendRequest{
		Group:  string(d.Group()),
		Tenant: request.Tenant,
		Count:  int64(request.Count),
	})
	if err != nil {
		return 0, eris.Wrapf(err, "tokens could not be borrowed at %s", address)
	}
	return int(reply.Count), nil
}

// Lend lends tokens to a neighbour that reaches no leader. It is part of the peer protocol.
func (d *Daemon) Lend(_ context.Context, in *peerapi.LendRequest) (*peerapi.LendReply, error) {
	if err := d.checkGroup(in.Group); err != nil {
		return nil, err
	}
	limit, limited := limitOf(d.forwardIndex(), in.Tenant)
	if d.quotaLimiter == nil || !limited || in.Count <= 0 {
		return &peerapi.LendReply{}, nil
	}
	request := quota.LoanRequest{Tenant: in.Tenant, Count: int(min(in.Count, maxLoan))}
	return &peerapi.LendReply{Count: int64(d.quotaLimiter.Lend(request, limit))}, nil
}

// Quota allots tokens, if this daemon leads. It is part of the peer protocol.
func (d *Daemon) Quota(_ context.Context, in *peerapi.QuotaRequest) (*peerapi.QuotaReply, error) {
	if err := d.checkGroup(in.Group); err != nil {
		return nil, err
	}
	if in.NodeId == "" {
		d.counters.malformedMessages.Add(1)
		return nil, twirp.NewError(twirp.InvalidArgument, "a request for tokens needs the node id of its sender")
	}
	// The clock is read once: what is allotted is allotted at a moment at which the leadership was confirmed, also if this
	// process is stopped in between.
	now := d.clock.Elapsed()
	leadership, leads := d.quotaLeadership(now)
	if !leads {
		return &peerapi.QuotaReply{LeaderAddress: d.leaderAddress()}, nil
	}
	index := d.forwardIndex()
	if index == nil {
		// The daemon that asks has a table, and knows better whether its tenants have limits.
		return &peerapi.QuotaReply{LeaderAddress: d.leaderAddress()}, nil
	}
	inForce := func(tenant string) (quota.Limit, bool) { return allottedLimitOf(index, tenant) }
	reply, err := d.quotaAllotter.Allot(leadership, decodeQuotaRequest(in), inForce, now)
	if err != nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	}
	return encodeQuotaReply(reply), nil
}

// quotaLeadership returns this daemon's leadership; false unless a majority has confirmed it just now.
func (d *Daemon) quotaLeadership(now clock.Mark) (tenantquota.Leadership, bool) {
	groupMember := d.replica.Load()
	if groupMember == nil {
		return tenantquota.Leadership{}, false
	}
	condition := groupMember.Status()
	if !condition.IsLeader || now.Since(condition.ConfirmedUntil) > leaderLease {
		return tenantquota.Leadership{}, false
	}
	return d.leadershipOf(condition), true
}

// leadershipOf describes the leadership of a member that leads.
func (d *Daemon) leadershipOf(condition replica.Status) tenantquota.Leadership {
	return tenantquota.Leadership{
		Term:    uint64(condition.Term),
		Members: func() []ident.NodeID { return d.possiblyRouting(condition) },
		First:   condition.SinceFirstRollout < 0 && !condition.Group.Recovered(),
	}
}

// possiblyRouting returns those of the daemons that may be serving that may route: all but those that are known, in this
// incarnation or another one, not to. Members of the group that were not heard yet route if this one does.
func (d *Daemon) possiblyRouting(condition replica.Status) []ident.NodeID {
	routes := d.config.Serves(daemonconfig.Route)
	notRouting := map[string]bool{d.nodeID.Name(): !routes}
	for _, member := range condition.Membership.Members {
		notRouting[member.Name] = !routes
	}
	for _, peer := range d.members.View().Members {
		notRouting[peer.NodeID.Name()] = !peer.Serves(string(daemonconfig.Route))
	}
	var out []ident.NodeID
	for _, id := range condition.ServingDaemons {
		if !notRouting[id.Name()] {
			out = append(out, id)
		}
	}
	return out
}

func encodeQuotaRequest(request quota.Request) *peerapi.QuotaRequest {
	out := &peerapi.QuotaRequest{NodeId: string(request.Daemon), Sequence: request.Sequence, Term: request.Term}
	for _, claim := range request.Claims {
		out.Claims = append(out.Claims, &peerapi.QuotaClaim{
			Tenant:        claim.Tenant,
			Waiting:       int64(claim.Waiting),
			Prefetch:      int64(claim.Prefetch),
			Rate:          claim.RatePerSecond,
			StandingRate:  claim.StandingRate,
			StandingAgeUs: claim.StandingAge.Microseconds(),
			CreditFrom:    claim.CreditFrom,
			CreditTo:      claim.CreditTo,
		})
	}
	return out
}

func decodeQuotaRequest(in *peerapi.QuotaRequest) quota.Request {
	out := quota.Request{Daemon: ident.NodeID(in.NodeId), Sequence: in.Sequence, Term: in.Term}
	for _, claim := range in.Claims {
		out.Claims = append(out.Claims, quota.Claim{
			Tenant:        claim.Tenant,
			Waiting:       int(claim.Waiting),
			Prefetch:      int(claim.Prefetch),
			RatePerSecond: claim.Rate,
			StandingRate:  claim.StandingRate,
			StandingAge:   time.Duration(claim.StandingAgeUs) * time.Microsecond,
			CreditFrom:    claim.CreditFrom,
			CreditTo:      claim.CreditTo,
		})
	}
	return out
}

func encodeQuotaReply(reply quota.Reply) *peerapi.QuotaReply {
	out := &peerapi.QuotaReply{
		IsLeader:    true,
		Sequence:    reply.Sequence,
		Term:        reply.Term,
		LeaderForUs: reply.LeaderFor.Microseconds(),
	}
	for _, allotment := range reply.Allotments {
		out.Allotments = append(out.Allotments, &peerapi.QuotaAllotment{
			Tenant:       allotment.Tenant,
			Count:        int64(allotment.Count),
			RetryAfterUs: allotment.RetryAfter.Microseconds(),
			StandingRate: allotment.StandingRate,
		})
	}
	return out
}

func decodeQuotaReply(in *peerapi.QuotaReply) quota.Reply {
	out := quota.Reply{Sequence: in.Sequence, Term: in.Term, LeaderFor: time.Duration(in.LeaderForUs) * time.Microsecond}
	for _, allotment := range in.Allotments {
		out.Allotments = append(out.Allotments, quota.Allotment{
			Tenant:       allotment.Tenant,
			Count:        int(allotment.Count),
			RetryAfter:   time.Duration(allotment.RetryAfterUs) * time.Microsecond,
			StandingRate: allotment.StandingRate,
		})
	}
	return out
}
