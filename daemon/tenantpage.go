package daemon

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/cluster/membership"
	"github.com/cresspond/cresspond/process/consensus/replica"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/process/quota"
	"github.com/cresspond/cresspond/wire/operatorapi"
	"github.com/cresspond/cresspond/wire/peerapi"
)

const (
	// tenantUseRead is the kind of read that returns the use of tenants at the daemon that is asked.
	tenantUseRead = "tenant-use"
	// tenantBucketsRead is the kind of read that returns the buckets of tenants; only the leader can answer it.
	tenantBucketsRead = "tenant-buckets"
	// maxTenantReads bounds the daemons that are asked at once for one page.
	maxTenantReads = 16
)

// Tenants returns the page of tenants: one of them, or all if tenant is empty; their use at the daemon named at, or here if
// at is empty, or at each routing daemon.
func (d *Daemon) Tenants(ctx context.Context, tenant, at string) operatorapi.Tenants {
	page := operatorapi.Tenants{
		Tenants:    tenantRows(d.forwardIndex(), tenant),
		Daemons:    []operatorapi.TenantDaemon{},
		Unanswered: []ident.NodeID{},
	}
	page.ConfigurationVersion, _ = d.InForce()
	if d.answersFor(at) {
		page.Daemons = append(page.Daemons, d.tenantUse(tenant))
	}
	d.readTenantUses(ctx, tenant, d.tenantPeers(at), &page)
	page.Leader = d.tenantLeader(ctx, tenant)
	return page
}

// tenantRows returns the tenants of a routing table, without their keys.
func tenantRows(index *upstream.Index, name string) []operatorapi.Tenant {
	rows := []operatorapi.Tenant{}
	if index == nil {
		return rows
	}
	for i := range index.Section.Tenants {
		tenant := &index.Section.Tenants[i]
		if name != "" && tenant.Name != name {
			continue
		}
		rows = append(rows, operatorapi.Tenant{
			Name:        tenant.Name,
			Rank:        tenant.Rank,
			TenantLimit: operatorapi.TenantLimit{RatePerSecond: tenant.RatePerSecond, Burst: tenant.Burst},
			Keys:        len(tenant.Keys),
		})
	}
	return rows
}

// answersFor reports whether the use here is asked for.
func (d *Daemon) answersFor(at string) bool {
	switch at {
	case "", d.config.Name, string(d.nodeID):
		return true
	}
	return at == operatorapi.TenantsAtAll && d.quotaLimiter != nil
}

// tenantPeers returns the routing peers whose use is asked for.
func (d *Daemon) tenantPeers(at string) []membership.Member {
	var peers []membership.Member
	for _, peer := range d.members.View().InContact(d.clock.Elapsed(), peerStatusWindow) {
		if peer.NodeID == d.nodeID || !peer.Serves(string(daemonconfig.Route)) {
			continue
		}
		if at == operatorapi.TenantsAtAll || at == string(peer.NodeID) || at == peer.NodeID.Name() {
			peers = append(peers, peer)
		}
	}
	return peers
}

// tenantUse returns the use of tenants here.
func (d *Daemon) tenantUse(name string) operatorapi.TenantDaemon {
	out := operatorapi.TenantDaemon{Daemon: d.nodeID, Zone: d.config.Zone, Tenants: []operatorapi.TenantUse{}}
	if d.quotaLimiter == nil {
		return out
	}
	out.Routes, out.OnCredit = true, d.quotaLimiter.OnCredit()
	for _, use := range d.quotaLimiter.Status() {
		if name == "" || use.Tenant == name {
			out.Tenants = append(out.Tenants, tenantUseOf(use))
		}
	}
	return out
}

func tenantUseOf(use quota.TenantUse) operatorapi.TenantUse {
	return operatorapi.TenantUse{
		Tenant:        use.Tenant,
		TenantLimit:   tenantLimitOf(use.Limit),
		Granted:       use.Granted,
		OnCredit:      use.OnCredit,
		Denied:        use.Denied,
		Lapsed:        use.Lapsed,
		Waiting:       use.Waiting,
		Tokens:        use.Tokens,
		SentPerSecond: use.RatePerSecond,
		StandingRate:  use.StandingRate,
		Deficit:       use.Deficit,
	}
}

func tenantLimitOf(limit quota.Limit) operatorapi.TenantLimit {
	return operatorapi.TenantLimit{RatePerSecond: limit.RatePerSecond, Burst: limit.Burst}
}

// readTenantUses asks peers for their use of tenants, some at a time, and adds it to a page in their order.
func (d *Daemon) readTenantUses(ctx context.Context, tenant string, peers []membership.Member, page *operatorapi.Tenants) {
	answers := make([]*operatorapi.TenantDaemon, len(peers))
	slots := make(chan struct{}, maxTenantReads)
	var group sync.WaitGroup
	for i, peer := range peers {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			answers[i] = readTenants[operatorapi.TenantDaemon](ctx, d, peer.Address, tenantUseRead, tenant)
		})
	}
	group.Wait()
	for i, answer := range answers {
		if answer == nil {
			page.Unanswered = append(page.Unanswered, peers[i].NodeID)
			continue
		}
		page.Daemons = append(page.Daemons, *answer)
	}
}

// tenantLeader returns the leader's page; nil where no leader answers.
func (d *Daemon) tenantLeader(ctx context.Context, tenant string) *operatorapi.TenantLeader {
	if page, leads := d.tenantBuckets(tenant); leads {
		return page
	}
	address := d.leaderAddress()
	if address == "" || address == d.config.AdvertisedPeerAddress() {
		return nil
	}
	return readTenants[operatorapi.TenantLeader](ctx, d, address, tenantBucketsRead, tenant)
}

// tenantBuckets returns the buckets of tenants, if this daemon leads.
func (d *Daemon) tenantBuckets(name string) (*operatorapi.TenantLeader, bool) {
	now := d.clock.Elapsed()
	leadership, leads := d.quotaLeadership(now)
	if !leads {
		return nil, false
	}
	page := &operatorapi.TenantLeader{Daemon: d.nodeID, Term: leadership.Term, Buckets: []operatorapi.TenantBucket{}}
	for _, bucket := range d.quotaAllotter.Status(now) {
		if name == "" || bucket.Tenant == name {
			page.Buckets = append(page.Buckets, tenantBucketOf(bucket))
		}
	}
	return page, true
}

func tenantBucketOf(bucket quota.TenantBucket) operatorapi.TenantBucket {
	out := operatorapi.TenantBucket{
		Tenant:      bucket.Tenant,
		TenantLimit: tenantLimitOf(bucket.Limit),
		Level:       bucket.Level,
		Capacity:    bucket.Capacity,
		Granted:     bucket.Granted,
		Denied:      bucket.Denied,
		Daemons:     []operatorapi.TenantAllowance{},
	}
	for _, allowance := range bucket.Daemons {
		out.Daemons = append(out.Daemons, operatorapi.TenantAllowance{
			Daemon:       allowance.Daemon,
			StandingRate: allowance.StandingRate,
			Reserved:     allowance.Reserved,
			Overdue:      allowance.Overdue,
		})
	}
	return out
}

// readTenants reads a part of the page from a peer; nil where it does not answer, or can't.
func readTenants[T any](ctx context.Context, d *Daemon, address, what, tenant string) *T {
	bounded, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	reply, err := d.links.Client(address).Read(bounded, &peerapi.ReadRequest{
		Group: string(d.Group()),
		What:  what,
		Key:   tenant,
	})
	page := new(T)
	if err != nil || reply.Outcome != string(replica.Applied) || json.Unmarshal(reply.Result, page) != nil {
		return nil
	}
	return page
}

// readTenantPage answers a peer's read of a part of the page; false if it reads something else.
func (d *Daemon) readTenantPage(what, tenant string) (*peerapi.ReadReply, bool) {
	switch what {
	case tenantUseRead:
		return appliedReply(d.tenantUse(tenant)), true
	case tenantBucketsRead:
		page, leads := d.tenantBuckets(tenant)
		if !leads {
			return &peerapi.ReadReply{Outcome: string(replica.NotLeader), LeaderAddress: d.leaderAddress()}, true
		}
		return appliedReply(page), true
	}
	return nil, false
}

// appliedReply encodes what was read.
func appliedReply(page any) *peerapi.ReadReply {
	data, err := json.Marshal(page)
	if err != nil {
		panic("broken invariant: a page cannot be encoded: " + err.Error())
	}
	return &peerapi.ReadReply{Outcome: string(replica.Applied), Result: data}
}
