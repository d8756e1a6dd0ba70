package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/rollout"
	"github.com/cresspond/cresspond/wire/peerapi"
)

const (
	// historyEvery is how often earlier bundles that are lacking are asked for, historyAtOnce how many.
	historyEvery = 500 * time.Millisecond
	historyBatch = 8
	historyLimit = 2 * time.Second
)

// runHistory fetches the bundles that were in force before this life began, so that they outlive the
// disks that hold them.
func (d *Daemon) runHistory(ctx context.Context) {
	ticker := time.NewTicker(historyEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		t := d.rollout.Table()
		// Bundles that are applied in one step come often and are large, and the group itself keeps the newest.
		if t == nil || t.Forward != nil {
			continue
		}
		asked := 0
		// The newest first, since the bound on their size drops the oldest.
		for epoch := t.Epoch - 1; epoch >= 1 && asked < historyBatch && d.rollout.Lacks(epoch); epoch-- {
			if _, known := d.rollout.Recall(epoch); known {
				continue
			}
			asked++
			if raw := d.fetchConfiguration(ctx, epoch); len(raw) > 0 {
				d.rollout.Remember(epoch, raw)
			}
		}
	}
}

// fetchConfiguration asks the group for an earlier bundle, and a fellow where there is no group.
func (d *Daemon) fetchConfiguration(ctx context.Context, epoch ident.Version) []byte {
	bounded, cancel := context.WithTimeout(ctx, historyLimit)
	defer cancel()
	if d.leaderAddress() != "" {
		var proposal statemachine.Proposal
		if found, ok := d.Look(bounded, "spec", fmt.Sprint(epoch)); ok && json.Unmarshal(found, &proposal) == nil {
			raw, err := proposal.Decompress()
			if err != nil {
				return nil
			}
			return raw
		}
		return nil
	}
	fellows := d.members.View().InContact(d.clock.Elapsed(), contactWindow)
	if len(fellows) == 0 {
		return nil
	}
	recalled, err := d.links.Client(fellows[rand.IntN(len(fellows))].Address).Recall(bounded, &peerapi.RecallRequest{Version: uint64(epoch)})
	if err != nil {
		return nil
	}
	if _, faults := document.Parse(recalled.Configuration); len(faults) > 0 {
		return nil
	}
	return recalled.Configuration
}

// Recall gives back a bundle that was in force here.
func (d *Daemon) Recall(_ context.Context, in *peerapi.RecallRequest) (*peerapi.RecallReply, error) {
	raw, _ := d.rollout.Recall(ident.Version(in.Version))
	out := &peerapi.RecallReply{Configuration: raw}
	if t := d.rollout.Table(); t != nil {
		out.Closures = rollout.EncodeClosures(t.Closures)
	}
	return out, nil
}
