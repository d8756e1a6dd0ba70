package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
)

const (
	// PullTimeout bounds one pull, beside what its answer may be held back for.
	PullTimeout = 700 * time.Millisecond
	// probeTicks is how many beats pass between questions to a seed and to any daemon, so that a split that
	// healed is noticed from either side.
	probeTicks = 10
	// minPullGap is how soon after a question the next may follow at once.
	minPullGap = 50 * time.Millisecond
)

// pullKey is one question to one address.
type pullKey struct {
	address string
	// linked questions follow each other, and their answers are held back while nothing is new.
	linked bool
	// allMembers asks for all that is known of members, with ages.
	allMembers bool
	// onlyWithDemand is asked only if something waits here that the planner must hear of, beside any other question.
	onlyWithDemand bool
}

func (m *Membership) tick(ctx context.Context) {
	m.refreshSelf()
	now := m.clock.Elapsed()
	forgetBefore := now - clock.Mark(forgetAfter)
	if now.Since(m.tracker.view.LastLeaderContact) > ContactWindow {
		// Out of the leader's sight nobody is forgotten: those who fell silent may be on the other side of a split.
		forgetBefore = 0
	}
	m.tracker.memberList.Sweep(now, forgetBefore)
	for _, address := range m.links(now) {
		m.startPull(ctx, pullKey{address: address, linked: true})
	}
	if !m.demandReported {
		// The answer to the last question may be held back for long; what has come to wait since must be heard of sooner.
		m.startPull(ctx, pullKey{address: m.tracker.planner, onlyWithDemand: true})
	}
	controlLost := m.tracker.ControlLost(now)
	if m.ticks++; controlLost || m.tracker.MemberList().Unconfirmed(now) || m.ticks%probeTicks == 0 {
		if seeds := m.seeds(); len(seeds) > 0 {
			m.startPull(ctx, pullKey{address: seeds[m.nextProbeSeed%len(seeds)], allMembers: controlLost})
			m.nextProbeSeed++
		}
		if contacts := m.view.Load().InContact(now, 10*time.Second); len(contacts) > 0 {
			m.startPull(ctx, pullKey{address: contacts[rand.IntN(len(contacts))].Address, allMembers: controlLost})
		}
	}
	m.publish()
	m.notifyWaiters()
	m.host.Tick()
}

// links lists whom to ask again and again; before any control daemon is known, the seeds in turn.
func (m *Membership) links(now clock.Mark) []string {
	links := m.tracker.Links(now)
	if seeds := m.seeds(); len(links) == 0 && len(seeds) > 0 {
		// A turn of its own: two of one count would pass by every other seed of an even number.
		m.nextLinkSeed++
		return []string{seeds[m.nextLinkSeed%len(seeds)]}
	}
	return links
}

// refreshSelf takes up what this daemon says of itself now.
func (m *Membership) refreshSelf() {
	described := m.host.DescribeSelf()
	record := recordOf(described)
	record.Version = m.self.Version
	if record.Version == 0 || record.Ready != m.self.Ready || !slices.Equal(record.Roles, m.self.Roles) || len(record.Steps) != len(m.self.Steps) ||
		len(record.Steps) > 0 && record.Steps[len(record.Steps)-1].UnixMs != m.self.Steps[len(m.self.Steps)-1].UnixMs {
		record.Version++
	}
	m.self = record
	m.tracker.memberList.SetSelf(m.clock.Elapsed(), record)
}

// startPull puts a question, if it is not being asked already.
func (m *Membership) startPull(ctx context.Context, key pullKey) {
	if key.address == m.address || key.address == "" || m.inFlight[key] {
		return
	}
	m.inFlight[key] = true
	sentAt, fleetSize, planner := m.clock.Elapsed(), len(m.view.Load().Members), m.tracker.planner
	request := m.host.DescribeSelf()
	request.AttributesVersion, request.HasAttributes, request.AllMembers = m.self.Version, true, key.allMembers
	m.tracker.FillRequest(request, PullTarget{Address: key.address, Linked: key.linked})
	maxWait := time.Duration(0)
	if key.linked {
		switch {
		case !m.tracker.view.CaughtUp:
			// It is not ready before it has heard all there is, so nothing is held back.
		case m.servesControl:
			maxWait = min(m.pace.waitFor(fleetSize), controlMaxWait)
		default:
			maxWait = m.pace.waitFor(fleetSize)
		}
	}
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
			request.MaxWaitMs, request.BatchDelayMs, request.IntervalMs = maxWait.Milliseconds(), batchDelayFor(fleetSize).Milliseconds(), max(maxWait, pullEvery).Milliseconds()
		}
		bounded, cancel := context.WithTimeout(ctx, maxWait+PullTimeout)
		defer cancel()
		reply, err := m.host.PullFrom(bounded, key.address, request)
		receivedAt := m.clock.Elapsed()
		if err == nil {
			m.host.ApplyReply(reply)
		}
		m.mailbox.Send(pullCompleted{pullKey: key, sentAt: sentAt, receivedAt: receivedAt, maxWait: maxWait, reportsDemand: reportsDemand, reply: reply, err: err})
	}()
}

func (m *Membership) handleResult(now clock.Mark, result pullCompleted) {
	if result.err != nil {
		m.FailedPulls.Add(1)
	}
	var inForce InForce
	inForce.Configuration, inForce.Closure = m.host.InForce()
	target := PullTarget{Address: result.address, Linked: result.linked, MaxWait: result.maxWait}
	if change := m.tracker.HandleResult(now, PullResult{PullTarget: target, SentAt: result.sentAt, ReceivedAt: result.receivedAt, Reply: result.reply, Err: result.err}, inForce); change != nil {
		if change.Stale {
			m.StaleSources.Add(1)
		}
		m.host.SourceFreshnessChanged(*change)
	}
}
