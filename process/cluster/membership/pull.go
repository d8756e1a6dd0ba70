package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
)

const (
	// PullTimeout bounds one pull, beyond the time for which its reply may be delayed.
	PullTimeout = 700 * time.Millisecond
	// probeTicks is the number of ticks between probes of a seed and of a random member, which find out from either side
	// that a partition has healed.
	probeTicks = 10
	// minPullGap is the least time from one pull of a link to the next one that follows its reply at once; a link that
	// replies sooner is pulled with the next tick.
	minPullGap = 50 * time.Millisecond
	// probeWindow is how recent the last contact with a member that is probed must be.
	probeWindow = 10 * time.Second
)

// pullKey identifies a pull: of each there is at most one in flight.
type pullKey struct {
	address string
	// linked pulls are long polls that follow each other; the others are single.
	linked bool
	// allMembers asks for all members with their ages, in place of changes.
	allMembers bool
	// onlyWithDemand is sent only if requests are queued here of which the planner must be notified.
	onlyWithDemand bool
}

// tick detects failures, starts the pulls that are due and publishes the view. The order matters: pulls are chosen by
// the swept list, and the view is published before waiters and the host look at it.
func (m *Membership) tick(ctx context.Context) {
	m.refreshSelf()
	now := m.clock.Elapsed()
	forgetBefore := now - clock.Mark(forgetAfter)
	if now.Since(m.tracker.view.LastLeaderContact) > ContactWindow {
		// Without contact to the leader no member is forgotten: unresponsive ones may be across a partition.
		forgetBefore = 0
	}
	m.tracker.memberList.Sweep(now, forgetBefore)
	for _, address := range m.links(now) {
		m.startPull(ctx, pullKey{address: address, linked: true})
	}
	if !m.demandReported {
		// The reply to the pull in flight may be delayed for long; requests queued since then must be reported sooner.
		m.startPull(ctx, pullKey{address: m.tracker.planner, onlyWithDemand: true})
	}
	controlLost := m.tracker.ControlLost(now)
	if m.ticks++; controlLost || m.tracker.MemberList().Unconfirmed(now) || m.ticks%probeTicks == 0 {
		if seeds := m.seeds(); len(seeds) > 0 {
			m.startPull(ctx, pullKey{address: seeds[m.nextProbeSeed%len(seeds)], allMembers: controlLost})
			m.nextProbeSeed++
		}
		if contacts := m.view.Load().InContact(now, probeWindow); len(contacts) > 0 {
			m.startPull(ctx, pullKey{address: contacts[rand.IntN(len(contacts))].Address, allMembers: controlLost})
		}
	}
	m.publish()
	m.notifyWaiters()
	m.host.Tick()
}

// links returns the addresses to keep long polls to: before any control daemon is known, one seed at a time.
func (m *Membership) links(now clock.Mark) []string {
	links := m.tracker.Links(now)
	if seeds := m.seeds(); len(links) == 0 && len(seeds) > 0 {
		// A position of its own: with one shared with probes, every other seed of an even number would be skipped.
		m.nextLinkSeed++
		return []string{seeds[m.nextLinkSeed%len(seeds)]}
	}
	return links
}

// refreshSelf updates this daemon's own record, and raises its version if something changed.
func (m *Membership) refreshSelf() {
	described := m.host.DescribeSelf()
	record := recordOf(described)
	record.Version = m.self.Version
	if record.Version == 0 || record.Ready != m.self.Ready || !slices.Equal(record.Roles, m.self.Roles) {
		record.Version++
	}
	m.self = record
	m.tracker.memberList.SetSelf(m.clock.Elapsed(), record)
}

// startPull starts a pull in a goroutine of its own unless it is in flight. The goroutine applies the reply before it
// sends pullCompleted, so that the tracker sees the reply's versions in force when it handles it.
func (m *Membership) startPull(ctx context.Context, key pullKey) {
	if key.address == m.address || key.address == "" || m.pendingPulls[key] {
		return
	}
	m.pendingPulls[key] = true
	sentAt, fleetSize, planner := m.clock.Elapsed(), len(m.view.Load().Members), m.tracker.planner
	request := m.host.DescribeSelf()
	request.AttributesVersion, request.HasAttributes, request.AllMembers = m.self.Version, true, key.allMembers
	newestStep := newestStepOf(request.Steps)
	m.tracker.FillRequest(request, PullTarget{Address: key.address, Linked: key.linked})
	maxWait := m.maxWait(key, fleetSize)
	go func() {
		reportsDemand := key.address == planner && m.host.AddDemand(request, key.onlyWithDemand)
		if key.onlyWithDemand && !reportsDemand {
			m.mailbox.Send(pullCompleted{pullKey: key, skipped: true})
			return
		}
		if reportsDemand {
			maxWait = min(maxWait, m.pace.waitWithDemand(fleetSize))
		}
		if key.linked {
			request.MaxWaitMs = maxWait.Milliseconds()
			request.BatchDelayMs = batchDelayFor(fleetSize).Milliseconds()
			request.IntervalMs = max(maxWait, pullEvery).Milliseconds()
		}
		bounded, cancel := context.WithTimeout(ctx, maxWait+PullTimeout)
		defer cancel()
		reply, err := m.host.PullFrom(bounded, key.address, request)
		receivedAt := m.clock.Elapsed()
		if err == nil {
			m.host.ApplyReply(reply)
		}
		m.mailbox.Send(pullCompleted{
			pullKey: key, sentAt: sentAt, receivedAt: receivedAt, maxWait: maxWait, newestStep: newestStep,
			reportsDemand: reportsDemand, reply: reply, err: err,
		})
	}()
}

// maxWait is how long the reply to a pull may be delayed.
func (m *Membership) maxWait(key pullKey, fleetSize int) time.Duration {
	switch {
	case !key.linked, !m.tracker.view.CaughtUp:
		// Until this daemon has caught up it is not ready, so its replies are not delayed.
		return 0
	case m.servesControl:
		return min(m.pace.waitFor(fleetSize), controlMaxWait)
	}
	return m.pace.waitFor(fleetSize)
}

// handlePullCompleted takes a reply or its failure, and pulls again at once over a link that replied. A link that did
// not, or replied immediately, is pulled with the next tick.
func (m *Membership) handlePullCompleted(ctx context.Context, now clock.Mark, result pullCompleted) {
	delete(m.pendingPulls, result.pullKey)
	if result.skipped {
		return
	}
	if result.address == m.tracker.planner {
		m.demandReported = result.reportsDemand
	}
	m.Pulls.Add(1)
	m.handleResult(now, result)
	m.publish()
	m.notifyWaiters()
	waited := result.maxWait > 0 && now.Since(result.sentAt) >= minPullGap
	if result.err == nil && result.linked && waited && slices.Contains(m.tracker.Links(now), result.address) {
		m.startPull(ctx, result.pullKey)
	}
}

// handleResult hands a result to the tracker, and a change of the source's freshness on to the host.
func (m *Membership) handleResult(now clock.Mark, result pullCompleted) {
	if result.err != nil {
		m.FailedPulls.Add(1)
	}
	inForce := m.inForce()
	target := PullTarget{Address: result.address, Linked: result.linked, MaxWait: result.maxWait}
	change := m.tracker.HandleResult(now, PullResult{
		PullTarget: target, SentAt: result.sentAt, ReceivedAt: result.receivedAt, NewestStep: result.newestStep,
		Reply: result.reply, Err: result.err,
	}, inForce)
	if change == nil {
		return
	}
	if change.Stale {
		m.StaleSources.Add(1)
	}
	m.host.SourceFreshnessChanged(*change)
}
