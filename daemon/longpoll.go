package daemon

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/daemon/longpoll"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// versions number what is sent as a whole whenever it changes. The numbers count within one incarnation.
type versions struct{ shortages, draining atomic.Uint64 }

// randomize makes two incarnations never have the same numbers.
func (v *versions) randomize() {
	v.shortages.Store(rand.Uint64() >> 1)
	v.draining.Store(rand.Uint64() >> 1)
}

// maxHold bounds how long an answer is held back, whatever the caller allows.
const maxHold = 2 * time.Second

// awaitUpdate waits until there is something new for a peer, for as long as it lets its answer be held back.
func (d *Daemon) awaitUpdate(ctx context.Context, in *peerapi.PullRequest) {
	d.notifier.Await(ctx, min(time.Duration(in.MaxWaitMs)*time.Millisecond, maxHold), time.Duration(in.BatchDelayMs)*time.Millisecond,
		func() longpoll.Urgency { return d.updateUrgency(in) })
}

// updateUrgency returns how urgent what a peer does not know yet is.
func (d *Daemon) updateUrgency(in *peerapi.PullRequest) longpoll.Urgency {
	configuration, closure := d.InForce()
	leader, term := d.leaderAndTerm()
	planner, plans, self := d.members.View().PlannerAddress, d.IsPlanner(), d.config.AdvertisedPeerAddress()
	switch {
	case d.sendsConfiguration(configuration, in) || uint64(closure) > in.ClosureVersion,
		// A peer that knows of a newer leader has no use for this one.
		leader != "" && (term > in.LeaderTerm || in.LeaderAddress == ""),
		in.Group == "" && d.Group() != "",
		// A peer that relies on this daemon must learn at once that it has become stale, or is confirmed again.
		in.SourceFreshness == peerapi.SourceFreshness_SOURCE_CONFIRMED && d.stale(),
		in.SourceFreshness == peerapi.SourceFreshness_SOURCE_STALE && !d.stale(),
		// Cursors of another incarnation are void.
		in.RegistryIncarnation != string(d.nodeID) || d.registry.LatestUrgentChange() > in.RegistryComplete || len(in.RegistryRefetch) > 0,
		in.MembersIncarnation != string(d.nodeID),
		d.enginesDraining.Load() && d.sentVersions.draining.Load() != in.DrainingVersion:
		return longpoll.Urgent
	// The load of engines changes all the time; control daemons, who exchange it across zones, let it wait until the
	// hold is over.
	case !in.RegistryUrgentOnly && (d.registry.LatestNonLoadChange() > in.RegistryComplete ||
		!in.EveryHeartbeat && d.registry.LatestChange() > in.RegistryComplete),
		d.members.StatusChangeIndex() > in.MembersSeen || !in.RegistryUrgentOnly && d.members.ChangeIndex() > in.MembersSeen,
		plans != (in.PlannerAddress == self) || in.PlannerAddress == "" && planner != "",
		plans && d.sentVersions.shortages.Load() != in.ShortagesVersion:
		return longpoll.Ordinary
	}
	return longpoll.Nothing
}

// configurationDelay is for how long a new configuration is left to the relay of a peer that pulls only urgent
// changes here, and to the log of one that serves control.
const configurationDelay = 400 * time.Millisecond

// configurationSeen records since when a configuration is in force here, as far as anybody looked.
type configurationSeen struct {
	version ident.Version
	at      clock.Mark
}

// sendsConfiguration says whether a peer is sent the configuration in force here. A configuration is large. Who pulls
// only urgent changes soon gets it from its relay, and who serves control from the group's log: these are sent it
// only if they still miss it after a while.
func (d *Daemon) sendsConfiguration(version ident.Version, in *peerapi.PullRequest) bool {
	seen := d.configurationSeen.Load()
	if seen == nil || seen.version != version {
		seen = &configurationSeen{version, d.clock.Elapsed()}
		d.configurationSeen.Store(seen)
	}
	if uint64(version) <= in.ConfigurationVersion {
		return false
	}
	getsItElsewhere := in.RegistryUrgentOnly || in.EveryHeartbeat
	return !getsItElsewhere || d.clock.Elapsed().Since(seen.at) >= configurationDelay
}

// MembersChanged wakes the peers whose answers are held back, since the membership has changed.
func (d *Daemon) MembersChanged() { d.notifier.Notify(longpoll.Ordinary) }

// registryChanged does so when the registry has changed, and may let callers in.
func (d *Daemon) registryChanged() {
	how := longpoll.Ordinary
	if newest := d.registry.LatestUrgentChange(); newest != d.urgentNotified.Swap(newest) {
		how = longpoll.Urgent
	}
	d.notifier.Notify(how)
	d.admitCallers()
}

// polledState is what Tick compares.
type polledState struct {
	leader     string
	term       uint64
	leads      bool
	stale      bool
	draining   int
	drainKnown clock.Mark
}

// Tick looks for changes that nobody notifies of. Only the goroutine of the membership actor calls it.
func (d *Daemon) Tick() {
	leader, term := d.leaderAndTerm()
	now := polledState{leader: leader, term: term, leads: d.IsLeader(), stale: d.stale()}
	for id, engine := range d.watcher.View().Engines {
		if engine.Draining {
			now.draining++
			now.drainKnown += engine.DrainingSince + clock.Mark(len(id))
		}
	}
	before := d.lastPolled
	d.lastPolled = now
	if now.draining != before.draining || now.drainKnown != before.drainKnown {
		d.sentVersions.draining.Add(1)
	}
	d.enginesDraining.Store(now.draining > 0)
	if now.stale != before.stale {
		d.logStale(now.stale)
	}
	if now != before {
		d.notifier.Notify(longpoll.Urgent)
	}
	if !d.IsPlanner() {
		return
	}
	report := &shortageReport{sessions: d.sessionPlacer.Status().Unplaced, pools: d.poolPlanning.condition().Unplaced}
	if known := d.shortageReport.Load(); known == nil || !report.similarTo(known) {
		d.shortageReport.Store(report)
		d.sentVersions.shortages.Add(1)
		d.notifier.Notify(longpoll.Ordinary)
	}
}
