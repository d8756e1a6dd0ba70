package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/cluster/membership"
	"github.com/cresspond/cresspond/process/rollout"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// traceReachLimit is how long a trace waits for the daemons that lack the change: a leader that was elected after the
// change was acknowledged may not have heard of all of them yet.
const traceReachLimit = 500 * time.Millisecond

// changeTrace gathers the steps of each daemon for one change, named "spec:N" or "closure:N"; state is an encoded
// traceState.
func (d *Daemon) changeTrace(ctx context.Context, change string, state []byte) []byte {
	var newest traceState
	_ = json.Unmarshal(state, &newest)
	kind, number := "", uint64(0)
	if before, after, found := strings.Cut(change, ":"); found {
		kind = before
		_, _ = fmt.Sscanf(after, "%d", &number)
	}
	version, configuration, closure := newest.Configuration, ident.Version(number), ident.Version(0)
	if kind == "closure" {
		version, configuration, closure = newest.Closure, 0, ident.Version(number)
	}
	if number <= version {
		d.members.AwaitRollout(ctx, configuration, closure, traceReachLimit, func() []ident.NodeID { return newest.Serving })
	}
	out := operatorapi.Trace{
		Change:  change,
		Rows:    []operatorapi.TraceRow{},
		Version: ident.Version(version),
		Known:   number > 0 && number <= version,
	}
	now := d.clock.Elapsed()
	unseen := newest.Serving
	for _, peer := range d.members.View().InContact(now, time.Minute) {
		row := traceRow(peer, change, kind, number, now)
		if at := slices.Index(unseen, peer.NodeID); at >= 0 {
			row.Serving, unseen = true, slices.Delete(unseen, at, at+1)
		}
		out.Rows = append(out.Rows, row)
	}
	for _, node := range unseen {
		// The daemon may be serving and has been out of contact for long, so the change can't count as in force
		// there.
		out.Rows = append(out.Rows, operatorapi.TraceRow{
			NodeID:           node,
			LastContactMsAgo: -1,
			Missing:          true,
			Serving:          true,
		})
	}
	out.Acknowledged = out.Known && !slices.ContainsFunc(out.Rows, func(row operatorapi.TraceRow) bool { return row.Serving && row.Missing })
	data, err := json.Marshal(out)
	if err != nil {
		panic("broken invariant: a trace cannot be encoded: " + err.Error())
	}
	return data
}

// traceRow returns what a peer has told of one change: of kind "spec" or "closure", and a version number.
func traceRow(peer membership.Member, change, kind string, number uint64, now clock.Mark) operatorapi.TraceRow {
	row := operatorapi.TraceRow{
		NodeID:           peer.NodeID,
		Zone:             peer.Zone,
		LastContactMsAgo: now.Since(peer.LastContact).Milliseconds(),
	}
	for _, step := range peer.Steps {
		if step.Change != change {
			continue
		}
		switch step.Step {
		case rollout.Learned:
			row.LearnedMs = step.UnixMs
		case rollout.Built:
			row.BuiltMs = step.UnixMs
		case rollout.InForce:
			row.InForceMs = step.UnixMs
		}
	}
	appliedVersion := peer.ConfigurationVersion
	if kind == "closure" {
		appliedVersion = peer.ClosureVersion
	}
	row.Missing = uint64(appliedVersion) < number
	return row
}
