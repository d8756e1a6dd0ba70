package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/daemon/ownership"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/rollout"
	"github.com/cresspond/cresspond/wire/peerapi"
)

const (
	// historyEvery is how often missing earlier configurations are fetched, historyBatch how many at a time, and
	// historyLimit how long each may take.
	historyEvery = 500 * time.Millisecond
	historyBatch = 8
	historyLimit = 2 * time.Second
)

// runHistory fetches the configurations that were in force before this incarnation, so that they outlive the disks
// that hold them. It runs on a goroutine of its own until ctx ends.
func (d *Daemon) runHistory(ctx context.Context) {
	ticker := time.NewTicker(historyEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		table := d.rollout.Table()
		// Configurations that are applied in one step come often and are large, and the group itself retains the
		// newest.
		if table == nil || table.Forward != nil {
			continue
		}
		requested := 0
		// The newest come first, since the bound on their total size drops the oldest.
		for version := table.Version - 1; version >= 1 && requested < historyBatch && d.rollout.RetainsPast(version); version-- {
			if _, known := d.rollout.Past(version); known {
				continue
			}
			requested++
			if raw := d.fetchConfiguration(ctx, version); len(raw) > 0 {
				d.rollout.RememberPast(version, raw)
			}
		}
	}
}

// fetchConfiguration queries the group for an earlier configuration, or any peer where no leader is known.
func (d *Daemon) fetchConfiguration(ctx context.Context, version ident.Version) []byte {
	bounded, cancel := context.WithTimeout(ctx, historyLimit)
	defer cancel()
	if d.leaderAddress() != "" {
		var proposal statemachine.Proposal
		if found, err := d.Query(bounded, "spec", fmt.Sprint(version)); err == nil && json.Unmarshal(found.Data, &proposal) == nil {
			raw, err := proposal.Decompress()
			if err != nil {
				return nil
			}
			return raw
		}
		return nil
	}
	peers := d.members.View().InContact(d.clock.Elapsed(), ownership.ContactWindow)
	if len(peers) == 0 {
		return nil
	}
	recalled, err := d.links.Client(peers[rand.IntN(len(peers))].Address).Recall(bounded, &peerapi.RecallRequest{Version: uint64(version)})
	if err != nil {
		return nil
	}
	if _, faults := document.Parse(recalled.Configuration); len(faults) > 0 {
		return nil
	}
	return recalled.Configuration
}

// Recall returns a configuration that was in force here. It is part of the peer protocol.
func (d *Daemon) Recall(_ context.Context, in *peerapi.RecallRequest) (*peerapi.RecallReply, error) {
	raw, _ := d.rollout.Past(ident.Version(in.Version))
	out := &peerapi.RecallReply{Configuration: raw}
	if table := d.rollout.Table(); table != nil {
		out.Closures = rollout.EncodeClosures(table.Closures)
	}
	return out, nil
}
