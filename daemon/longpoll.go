package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// Daemons ask each other again and again for what is new. The answer is held back while nothing is, so that
// news travels at once and rest costs little.

// urgency says how soon an asker must hear what is new.
type urgency int

const (
	nothingNew urgency = iota
	// ordinary news waits for more of its kind, urgent news does not.
	ordinary
	urgent
)

// bell wakes those whose answers are held back.
type bell struct {
	mutex            sync.Mutex
	ordinary, urgent chan struct{}
}

func newBell() *bell { return &bell{ordinary: make(chan struct{}), urgent: make(chan struct{})} }

func (b *bell) ring(how urgency) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	// What is urgent wakes all.
	close(b.ordinary)
	b.ordinary = make(chan struct{})
	if how == urgent {
		close(b.urgent)
		b.urgent = make(chan struct{})
	}
}

func (b *bell) listen() (ordinary, urgent <-chan struct{}) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.ordinary, b.urgent
}

// versions number what is told whole where it changed, by one life's own count.
type versions struct{ shortages, draining atomic.Uint64 }

// randomize lets two lives never have the same versions.
func (v *versions) randomize() {
	v.shortages.Store(rand.Uint64() >> 1)
	v.draining.Store(rand.Uint64() >> 1)
}

// mostHold bounds how long an answer is held back, whatever the asker says.
const maxHold = 2 * time.Second

// awaitUpdate waits until there is news for an asker, for as long as it lets its answer be held back.
func (d *Daemon) awaitUpdate(ctx context.Context, in *peerapi.PullRequest) {
	hold := min(time.Duration(in.MaxWaitMs)*time.Millisecond, maxHold)
	if hold <= 0 {
		return
	}
	limit := time.NewTimer(hold)
	defer limit.Stop()
	gap := time.NewTimer(min(time.Duration(in.BatchDelayMs)*time.Millisecond, hold))
	defer gap.Stop()
	gapPassed := false
	for {
		// Whoever listens first and looks then misses nothing.
		anyUpdate, urgentUpdate := d.bell.listen()
		switch d.updateUrgency(in) {
		case urgent:
			return
		case ordinary:
			if gapPassed {
				return
			}
			// More of its kind changes nothing.
			anyUpdate = nil
		}
		select {
		case <-anyUpdate:
		case <-urgentUpdate:
		case <-gap.C:
			gapPassed = true
		case <-limit.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// updateUrgency says whether there is anything that an asker does not know.
func (d *Daemon) updateUrgency(in *peerapi.PullRequest) urgency {
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
		return urgent
	// Of how busy engines are there is always something new; control daemons, who tell it across zones, let it wait
	// for the end of the hold.
	case !in.RegistryUrgentOnly && (d.registry.LatestNonLoadChange() > in.RegistryComplete || !in.EveryHeartbeat && d.registry.LatestChange() > in.RegistryComplete),
		d.members.StatusChangeIndex() > in.MembersSeen || !in.RegistryUrgentOnly && d.members.ChangeIndex() > in.MembersSeen,
		plans != (in.PlannerAddress == self) || in.PlannerAddress == "" && planner != "",
		plans && d.sentVersions.shortages.Load() != in.ShortagesVersion:
		return ordinary
	}
	return nothingNew
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
func (d *Daemon) MembersChanged() { d.bell.ring(ordinary) }

// registryChanged does so when the registry changed.
func (d *Daemon) registryChanged() {
	how := ordinary
	if newest := d.registry.LatestUrgentChange(); newest != d.urgentNotified.Swap(newest) {
		how = urgent
	}
	d.bell.ring(how)
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
		d.bell.ring(urgent)
	}
	if !d.IsPlanner() {
		return
	}
	held := &shortageReport{sessions: d.sessionPlacer.Condition().Lacks, pools: d.poolPlanning.condition().Lacks}
	if known := d.shortageReport.Load(); known == nil || !held.similarTo(known) {
		d.shortageReport.Store(held)
		d.sentVersions.shortages.Add(1)
		d.bell.ring(ordinary)
	}
}
