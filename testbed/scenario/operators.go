package scenario

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cresspond/cresspond/configuration/closure"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/testbed/checker"
	"github.com/cresspond/cresspond/testbed/fleet"
	"github.com/cresspond/cresspond/testbed/journal"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// anyDaemon gives daemons to ask, in a seeded order, running ones only.
func (r *Run) anyDaemon() []*fleet.Process {
	var running []*fleet.Process
	for _, p := range r.Fleet.Daemons {
		if p.Running() {
			running = append(running, p)
		}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.random.Shuffle(len(running), func(i, j int) { running[i], running[j] = running[j], running[i] })
	// As an operator would, one that gave no answer a moment ago is tried last.
	slices.SortStableFunc(running, func(a, b *fleet.Process) int { return r.unresponsiveSince[a].Compare(r.unresponsiveSince[b]) })
	return running
}

// Ask posts an operator's request until some daemon answers with a known outcome.
func (r *Run) Ask(path string, body, into any) (int, error) {
	var last error
	guard := time.Now().Add(waitTimeout)
	for time.Now().Before(guard) {
		for _, p := range r.anyDaemon() {
			status, err := r.Fleet.Post(p, path, body, into)
			if status != 0 && status != http.StatusServiceUnavailable {
				return status, err
			}
			last = err
			r.mutex.Lock()
			r.unresponsiveSince[p] = time.Now()
			r.mutex.Unlock()
		}
	}
	return 0, fmt.Errorf("no daemon gave an outcome: %w", last)
}

// follow asks for a committed change again and again until it is acknowledged.
func (r *Run) follow(path string, body any, acknowledged func()) {
	r.acks.Add(1)
	go func() {
		defer r.acks.Done()
		// It ends with the run, if not before: a daemon that never comes back keeps a change from being acknowledged.
		for r.following.Err() == nil {
			if status, _ := r.Ask(path, body, nil); status == http.StatusOK {
				acknowledged()
				return
			}
		}
	}()
}

// closureVersion reads the version that a closure would be based on.
func (r *Run) closureVersion() (base ident.Version, err error) {
	err = r.Await("the closures can be read", func() bool {
		for _, p := range r.anyDaemon() {
			var closures closure.Set
			if _, err := r.Fleet.Get(p, operatorapi.PathClosures, &closures); err == nil {
				base = closures.Version
				return true
			}
		}
		return false
	})
	return base, err
}

// Zone closes or opens a zone and notes it.
func (r *Run) Zone(zone ident.ZoneID, closed bool) error {
	base, err := r.closureVersion()
	if err != nil {
		return err
	}
	requestedAt := journal.Now()
	body := operatorapi.ZoneClosure{Zone: zone, Closed: &closed, Base: &base, Operator: "ana"}
	status, err := r.Ask(operatorapi.PathZone, body, nil)
	if err != nil {
		return err
	}
	r.mutex.Lock()
	r.closed[string(zone)] = closed
	r.mutex.Unlock()
	action := checker.Action{Kind: checker.ZoneClosed, Subject: string(zone), RequestedAt: requestedAt}
	switch {
	case !closed:
		// An opening may be in force before its answer arrives, so it counts from when it was requested.
		action.Kind, action.At = checker.ZoneOpened, requestedAt
		r.Record(action)
	case status == http.StatusOK:
		r.Record(action)
	default:
		closing := action
		closing.Kind = checker.ZoneClosing
		r.Record(closing)
		r.follow(operatorapi.PathZone, body, func() {
			r.mutex.Lock()
			still := r.closed[string(zone)]
			r.mutex.Unlock()
			if still {
				r.Record(action)
			}
		})
	}
	return nil
}
