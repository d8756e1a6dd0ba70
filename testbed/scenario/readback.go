package scenario

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cresspond/cresspond/configuration/closure"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/testbed/checker"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// ReadBack reads every version and the closures back through any daemon.
func (r *Run) ReadBack() error {
	var list []statemachine.Proposal
	if err := r.Await("the history can be read", func() bool {
		for _, p := range r.anyDaemon() {
			if _, err := r.Fleet.Get(p, operatorapi.PathHistory, &list); err == nil {
				return true
			}
		}
		return false
	}); err != nil {
		return err
	}
	for _, proposal := range list {
		back := checker.ReadBack{Version: uint64(proposal.Version)}
		for _, p := range r.anyDaemon() {
			body, err := r.Fleet.Get(p, fmt.Sprintf("%s?epoch=%d", operatorapi.PathConfiguration, proposal.Version), nil)
			back.Body, back.Err = body, ""
			if err == nil {
				break
			}
			back.Err = err.Error()
		}
		r.history.ReadBacks = append(r.history.ReadBacks, back)
	}
	var closures closure.Set
	for _, p := range r.anyDaemon() {
		if data, err := r.Fleet.Get(p, operatorapi.PathClosures, nil); err == nil && json.Unmarshal(data, &closures) == nil {
			break
		}
	}
	for zone := range closures.Zones {
		r.history.ClosureSeen = append(r.history.ClosureSeen, string(zone))
	}
	for zone, closed := range r.closed {
		if closed {
			r.history.ClosureWanted = append(r.history.ClosureWanted, zone)
		}
	}
	slices.Sort(r.history.ClosureSeen)
	slices.Sort(r.history.ClosureWanted)
	return nil
}
