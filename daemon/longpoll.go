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

// versions number what is told whole where it changed, by one life's own count.
type versions struct{ shortages, draining atomic.Uint64 }

// randomize lets two lives never have the same versions.
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

// updateUrgency says whether there is anything that an asker does not know.
func (d *Daemon) updateUrgency(in *peerapi.PullRequest) longpoll.Urgency {
	configuration, closure := d.InForce()
	leader, term := d.leaderAndTerm()
	planner, plans, self := d.members.View().PlannerAddress, d.IsPlanner(), d.config.AdvertisedPeerAddress()
	switch {
	case d.sendsConfiguration(configuration, in) || uint64(closure) > in.ClosureVersion,
		// An asker that knows of a newer leader has no use for this one.
		leader != "" && (term > in.LeaderTerm || in.LeaderAddress == ""),
		in.Group == "" && d.Group() != "",
		// Whoever relies on this daemon must hear at once that it can't any more, or can again.
		in.SourceFreshness == peerapi.SourceFreshness_SOURCE_CONFIRMED && d.stale(),
		in.SourceFreshness == peerapi.SourceFreshness_SOURCE_STALE && !d.stale(),
		// Numbers of another life count for nothing.
		in.RegistryIncarnation != string(d.nodeID) || d.registry.LatestUrgentChange() > in.RegistryComplete || len(in.RegistryRefetch) > 0,
		in.MembersIncarnation != string(d.nodeID),
		d.enginesDraining.Load() && d.sentVersions.draining.Load() != in.DrainingVersion:
		return longpoll.Urgent
	// Of how busy engines are there is always something new; control daemons, who tell it across zones, let it wait
	// for the end of the hold.
	case !in.RegistryUrgentOnly && (d.registry.LatestNonLoadChange() > in.RegistryComplete || !in.EveryHeartbeat && d.registry.LatestChange() > in.RegistryComplete),
		d.members.StatusChangeIndex() > in.MembersSeen || !in.RegistryUrgentOnly && d.members.ChangeIndex() > in.MembersSeen,
		plans != (in.PlannerAddress == self) || in.PlannerAddress == "" && planner != "",
		plans && d.sentVersions.shortages.Load() != in.ShortagesVersion:
		return longpoll.Ordinary
	}
	return longpoll.Nothing
}

// bundleRest is for how long a new bundle is left to the teller of an asker that asks here for what is urgent only,
// and to the log of one that serves control.
const configurationDelay = 400 * time.Millisecond

// configurationSeen is since when a bundle is in force here, as far as was looked.
type configurationSeen struct {
	version ident.Version
	at      clock.Mark
}

// sendsConfiguration says whether an asker is told the bundle in force here. A bundle is large, and who asks for what is
// urgent only has it from its teller in a moment, who serves control from the group's log: these are told here only if
// they still lack it after a while.
func (d *Daemon) sendsConfiguration(version ident.Version, in *peerapi.PullRequest) bool {
	seen := d.configurationSeen.Load()
	if seen == nil || seen.version != version {
		seen = &configurationSeen{version, d.clock.Elapsed()}
		d.configurationSeen.Store(seen)
	}
	return uint64(version) > in.ConfigurationVersion && (!in.RegistryUrgentOnly && !in.EveryHeartbeat || d.clock.Elapsed().Since(seen.at) >= configurationDelay)
}

// MembersChanged wakes those whose answers are held back, when the list of members changed.
func (d *Daemon) MembersChanged() { d.notifier.Notify(longpoll.Ordinary) }

// registryChanged does so when the registry changed.
func (d *Daemon) registryChanged() {
	how := longpoll.Ordinary
	if newest := d.registry.LatestUrgentChange(); newest != d.urgentNotified.Swap(newest) {
		how = longpoll.Urgent
	}
	d.notifier.Notify(how)
	d.admitCallers()
}

// polledState is what a beat looks at.
type polledState struct {
	leader     string
	term       uint64
	leads      bool
	stale      bool
	draining   int
	drainKnown clock.Mark
}

// Tick looks for news that nobody else tells of. Only the actor of members calls it.
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
	held := &shortageReport{sessions: d.sessionPlacer.Status().Unplaced, pools: d.poolPlanning.condition().Lacks}
	if known := d.shortageReport.Load(); known == nil || !held.similarTo(known) {
		d.shortageReport.Store(held)
		d.sentVersions.shortages.Add(1)
		d.notifier.Notify(longpoll.Ordinary)
	}
}
