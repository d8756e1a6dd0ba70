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
	// defaultDrainNotice is how long a draining daemon goes on accepting connections where its readiness is not
	// checked at an address of its own.
	defaultDrainNotice = 1500 * time.Millisecond
	// maxDrainNotice bounds that time where readiness is checked: the platform checks once a second, and acts on the
	// second failure. What is sent within three seconds of the signal may outlast the daemon; what comes later would
	// have to be completed.
	maxDrainNotice = 2700 * time.Millisecond
	// unreadyAnswersNeeded is how many failed readiness checks keep new connections away, and connectionInTransit how
	// long a connection that was assigned before may still be on its way.
	unreadyAnswersNeeded = 2
	connectionInTransit  = 300 * time.Millisecond
	// leadershipTransferEvery is how often a draining leader tries to transfer its leadership.
	leadershipTransferEvery = 300 * time.Millisecond
	// claimLimit bounds the release of the planner's lease, and releaseLimit that of the worker id.
	claimLimit   = time.Second
	releaseLimit = 400 * time.Millisecond
)

// drain completes the requests that were read, transfers what this daemon alone holds and releases its leases, in
// this order: leadership and planning, connections, memory of attempts, registrations, the worker id, the member of
// the group. The member is last, since the steps before it need the group. Closing hurry, or the drain time of the
// settings, cuts each step short.
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
				d.log.WithField("openSessionRequests", d.sessionAPI.InProgress()).Warn("drain ended before all responses were written")
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
	// The group is told that this incarnation no longer serves, also where it has no lease.
	worker, last, _ := d.generator.ReleaseLease()
	if _, ok := d.submit(bounded, statemachine.Command{
		Op:            statemachine.OpRelease,
		NodeID:        d.nodeID,
		WorkerID:      worker,
		LastTimestamp: last,
	}); !ok {
		remaining.add(workerID)
	}
	d.retireMember(limit, &remaining)
	if unreleasedResources := remaining.all(); len(unreleasedResources) > 0 {
		d.counters.notHandedOver.Add(uint64(len(unreleasedResources)))
		d.log.WithField("unreleased", unreleasedResources).Warn("stopped without releasing everything")
		return
	}
	d.log.Info("stopped")
}

// handOverRoles gives up planning, and then leadership. The group keeps its size: a machine that stops may come back.
func (d *Daemon) handOverRoles(limit context.Context, remaining *unreleasedSet) {
	if d.config.Serves(daemonconfig.Placement) {
		wasPlanner := d.IsPlanner()
		d.sessionPlacer.Resign()
		d.poolPlanning.standDown()
		bounded, done := context.WithTimeout(limit, claimLimit)
		if _, ok := d.submitOnce(bounded, statemachine.Command{
			Op:     statemachine.OpReleasePlanner,
			NodeID: d.nodeID,
		}); !ok && wasPlanner {
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
		// A successor that does not take over is tried again, or another one is.
		groupMember.TransferLeadership()
		select {
		case <-limit.Done():
			remaining.add(leadership)
			return
		case <-ticker.C:
		}
	}
}

// awaitNoNewConnections returns once the platform has had the time to stop assigning connections to this daemon; they
// are accepted until then.
func (d *Daemon) awaitNoNewConnections(limit context.Context) {
	limitForNotice := defaultDrainNotice
	if d.config.ReadyListen != "" {
		// The other half of the drain time is left for the requests that were accepted last.
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
