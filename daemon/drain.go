package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/daemonconfig"
)

const (
	// defaultDrainNotice is how long a stopping daemon whose readiness nobody asks for at an address of its own goes on
	// taking connections that are still handed to it.
	defaultDrainNotice = 1500 * time.Millisecond
	// maxDrainNotice bounds that time where readiness is asked for: it is asked once a second, and counts twice. What
	// is sent within three seconds of the signal may outlast the daemon; what comes later would have to be finished.
	maxDrainNotice = 2700 * time.Millisecond
	// unreadyAnswersNeeded is how many answers of not being ready keep new connections away, and lastHandedOver how long
	// a connection that was handed over before may be on its way.
	unreadyAnswersNeeded = 2
	connectionInTransit  = 300 * time.Millisecond
	// leadershipTransferEvery is how often a stopping leader offers its office.
	leadershipTransferEvery = 300 * time.Millisecond
	// claimLimit bounds the word that the planner's claim is free, releaseLimit the release of the worker id.
	claimLimit   = time.Second
	releaseLimit = 400 * time.Millisecond
)

// drain stops taking new work, finishes what was read, hands over and lets go.
func (d *Daemon) drain(servers []*fasthttp.Server, hurry <-chan struct{}) {
	limit, cancel := context.WithTimeout(context.Background(), time.Duration(d.Config().DrainMs)*time.Millisecond)
	defer cancel()
	go func() {
		select {
		case <-hurry:
			cancel()
		case <-limit.Done():
		}
	}()
	d.draining.Store(true)
	d.log.Info("draining")
	defer d.stopForwarding(limit)()
	var remaining unreleasedSet
	var wait sync.WaitGroup
	wait.Go(func() { d.handOverRoles(limit, &remaining) })
	d.awaitNoNewConnections(limit)
	for _, server := range servers {
		wait.Go(func() {
			if err := server.ShutdownWithContext(limit); err != nil {
				remaining.add(openResponses)
				d.log.WithField("open", d.sessionAPI.Open()).Warn("stopped before all answers were written")
			}
		})
	}
	wait.Wait()
	if d.config.AttemptScope != daemonconfig.LocalAttempts {
		d.handOverAttempts(limit)
		if limit.Err() != nil {
			remaining.add(attemptMemory)
		}
	}
	d.awaitRegistrationsSeen(&remaining)
	bounded, done := context.WithTimeout(context.Background(), releaseLimit)
	defer done()
	// Without a tenure too, the group hears that this life serves no more.
	worker, last, _ := d.generator.ReleaseLease()
	if _, ok := d.submit(bounded, statemachine.Command{Op: statemachine.OpRelease, NodeID: d.nodeID, WorkerID: worker, LastTimestamp: last}); !ok {
		remaining.add(workerID)
	}
	d.retireMember(limit, &remaining)
	if things := remaining.list(); len(things) > 0 {
		d.counters.notHandedOver.Add(uint64(len(things)))
		d.log.WithField("kept", things).Warn("stopped without handing all over")
		return
	}
	d.log.Info("stopped")
}

// handOverRoles gives up what this daemon does for the others: planning, then leading. The group keeps its
// size: a machine that stops may come back.
func (d *Daemon) handOverRoles(limit context.Context, remaining *unreleasedSet) {
	if d.config.Serves(daemonconfig.Placement) {
		plans := d.IsPlanner()
		d.sessionPlacer.Resign()
		d.poolPlanning.standDown()
		bounded, done := context.WithTimeout(limit, claimLimit)
		if _, ok := d.submitOnce(bounded, statemachine.Command{Op: statemachine.OpReleasePlanner, NodeID: d.nodeID}); !ok && plans {
			remaining.add(plannersClaim)
		}
		done()
	}
	ticker := time.NewTicker(leadershipTransferEvery)
	defer ticker.Stop()
	for {
		groupMember := d.replica.Load()
		if groupMember == nil || !groupMember.Status().IsLeader {
			return
		}
		// An heir that does not take the office is asked again, or another is.
		groupMember.TransferLeadership()
		select {
		case <-limit.Done():
			remaining.add(leadership)
			return
		case <-ticker.C:
		}
	}
}

// awaitNoNewConnections goes on taking new connections until the platform hands over no more of them.
func (d *Daemon) awaitNoNewConnections(limit context.Context) {
	limitForNotice := defaultDrainNotice
	if d.config.ReadyListen != "" {
		// Half of the time that there is stays for what was taken last.
		limitForNotice = min(maxDrainNotice, time.Duration(d.Config().DrainMs)*time.Millisecond/2)
	}
	longest := time.NewTimer(limitForNotice)
	defer longest.Stop()
	var transferred <-chan time.Time
	for answered := 0; ; {
		select {
		case <-d.unreadyAnswered:
			if answered++; answered == unreadyAnswersNeeded {
				transferred = time.After(connectionInTransit)
			}
		case <-transferred:
			return
		case <-longest.C:
			return
		case <-limit.Done():
			return
		}
	}
}
