package partitionsim

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/replica"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/placement/plannerlease"
	"github.com/cresspond/cresspond/process/placement/poolplacement"
)

const (
	// engineLease is the least time between the orders of two planners to one engine.
	engineLease = 3 * time.Second
	// leaseMargin and nonPreferredWait are as in poolplacement.
	leaseMargin, nonPreferredWait = 300 * time.Millisecond, 500 * time.Millisecond
	// orderPeriod is how often a planner issues an order.
	orderPeriod = 200 * time.Millisecond
	// slowDialEach is the number of connections of which one takes up to the whole time of its order.
	slowDialEach = 3
	engineCount  = 2
)

func plannerSettings() poolplacement.Settings {
	return poolplacement.DefaultSettings("", engineLease)
}

// setPlannerLease sets the times by which the group grants the planner's lease.
func (w *world) setPlannerLease(config *replica.Config) {
	config.PlannerLease, config.PlannerLeaseGap = plannerSettings().LeaseSpan, w.plannerLeaseGap()
}

func (w *world) plannerLeaseGap() time.Duration {
	if w.variant == grantsWithoutGap {
		return 0
	}
	return plannerSettings().LeaseGap
}

// nodeClock is a node's clock as its actors read it.
type nodeClock struct{ *node }

func (c nodeClock) Elapsed() clock.Mark { return c.clock() }

func (c nodeClock) Wall() time.Time { return time.UnixMilli(0) }

// planner is the role that issues orders to engines under a lease of the group. The lease is the daemon's own; the steps
// of poolplacement.Actor around it are played.
type planner struct {
	node        *node
	settings    poolplacement.Settings
	lease       *plannerlease.Lease
	token       ident.FencingToken
	requested   bool
	nextRequest clock.Mark
	freeSince   clock.Mark
	nextOrder   clock.Mark
	issued      uint64
}

// startPlanner starts the role on a control node's incarnation.
func (n *node) startPlanner() {
	settings := plannerSettings()
	n.planner = &planner{node: n, settings: settings, lease: plannerlease.New(nodeClock{n}, leaseMargin)}
	n.every(settings.PlanInterval, n.planner.step)
}

func (p *planner) step() {
	now := p.node.clock()
	p.requestLease(now)
	if token, leased := p.lease.Token(); leased && token == p.token && now >= p.nextOrder {
		p.nextOrder = now + clock.Mark(orderPeriod)
		p.announceAndSend(now, token)
	}
}

// requestLease acquires or renews the lease when it is due.
func (p *planner) requestLease(now clock.Mark) {
	if p.requested || now < p.nextRequest {
		return
	}
	if _, leased := p.lease.Token(); !leased {
		if p.node.view.NotReadyReason(now, p.node.force()) != "" {
			p.freeSince = 0
			return
		}
		if p.freeSince == 0 {
			p.freeSince = now
		}
		if p.node.isLeader() && now.Since(p.freeSince) < nonPreferredWait {
			return
		}
	}
	p.requested, p.nextRequest = true, now+clock.Mark(p.settings.RenewInterval)
	p.claim(nil, p.settings.LeaseSpan, func(reply poolplacement.LeaseReply) {
		p.requested = false
		p.adopt(now, reply)
	})
}

// adopt takes a reply of the group.
func (p *planner) adopt(requestedAt clock.Mark, reply poolplacement.LeaseReply) {
	granted := reply.Granted
	if granted == nil {
		wait := max(p.settings.RenewInterval, reply.Wait)
		if p.node.isLeader() {
			wait += nonPreferredWait
		}
		p.nextRequest = max(p.nextRequest, p.node.clock()+clock.Mark(wait))
		return
	}
	if p.node.world.variant == countsLeaseFromReceipt {
		requestedAt = p.node.clock()
	}
	p.token, p.nextRequest = granted.Token, requestedAt+clock.Mark(p.settings.RenewInterval)
	p.lease.Renew(requestedAt, granted)
}

// claim asks the group for the lease, with an announcement if there is one; take gets an empty reply if there is none in
// time.
func (p *planner) claim(announcement *statemachine.Announcement, limit time.Duration, take func(poolplacement.LeaseReply)) {
	n, incarnation, answered := p.node, p.node.incarnation, false
	finish := func(reply poolplacement.LeaseReply) {
		if !answered {
			answered = true
			take(reply)
		}
	}
	n.world.after(limit, func() { n.do(incarnation, func() { finish(poolplacement.LeaseReply{}) }) })
	n.submit(statemachine.Command{Op: statemachine.OpAcquirePlanner, NodeID: n.id(), Announcement: announcement, AnnouncesAll: true, Resume: true}, func(result statemachine.Result) {
		if result.Outcome == statemachine.Done {
			finish(poolplacement.LeaseReply{Granted: result.PlannerLease})
			return
		}
		free := result.PlannerLease.FreeAt(n.world.plannerLeaseGap())
		finish(poolplacement.LeaseReply{Wait: time.Duration(free-result.PlannerLease.Now) * time.Millisecond})
	})
}

// announceAndSend announces an order to the group and sends it where the group has it.
func (p *planner) announceAndSend(asked clock.Mark, token ident.FencingToken) {
	p.issued++
	sent := order{token: token, sender: p.node.id(), sequence: p.issued, engine: p.node.world.random.IntN(engineCount)}
	if p.node.world.variant == sendsUnannounced {
		p.send(asked, sent)
		return
	}
	announcement := &statemachine.Announcement{Orders: map[ident.EngineID]uint64{sent.engineID(): sent.sequence}, KeepMs: p.settings.Window.Milliseconds()}
	p.claim(announcement, p.settings.OrderTimeout, func(reply poolplacement.LeaseReply) {
		if reply.Granted == nil || reply.Granted.Token != token {
			return
		}
		p.adopt(asked, reply)
		p.send(asked, sent)
	})
}

// send carries an order to its engine over a new connection, unless its time ends or the lease is lost before. Engines are
// in reach of all planners at all times, which is the worst case for the lease.
func (p *planner) send(asked clock.Mark, sent order) {
	n, incarnation, timedOut := p.node, p.node.incarnation, false
	left := p.settings.OrderTimeout - n.clock().Since(asked)
	n.world.after(left, func() { n.do(incarnation, func() { timedOut = true }) })
	dial := n.world.ms(1, 20)
	if n.world.random.IntN(slowDialEach) == 0 {
		dial = n.world.ms(20, int(p.settings.OrderTimeout.Milliseconds()))
	}
	n.world.after(dial, func() {
		n.do(incarnation, func() {
			allowed := !timedOut && p.lease.Allows(sent.token)
			if !allowed && n.world.variant != sendsUnchecked {
				return
			}
			n.world.after(n.world.ms(1, 6), func() { n.world.sawOrder(n, sent) })
		})
	})
}
