package daemon

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/cluster/affinity"
	"github.com/cresspond/cresspond/process/cluster/deduplication"
	"github.com/cresspond/cresspond/process/cluster/membership"
	"github.com/cresspond/cresspond/wire/peerapi"
)

const (
	// transferBatch is how many attempts are transferred in one message, transferEvery how often ownership is
	// compared.
	transferBatch = 1000
	transferEvery = 300 * time.Millisecond
)

// runOwnershipTransfer transfers attempts to their new owners as daemons come and go. It runs on a goroutine of its
// own until ctx ends.
func (d *Daemon) runOwnershipTransfer(ctx context.Context) {
	ticker := time.NewTicker(transferEvery)
	defer ticker.Stop()
	before := map[string]ident.NodeID{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := d.liveOwners()
		d.transferOwnership(ctx, before, now)
		before = now
	}
}

// liveOwners returns the daemons in contact that can be owners, by address.
func (d *Daemon) liveOwners() map[string]ident.NodeID {
	out := map[string]ident.NodeID{}
	for _, peer := range d.members.View().InContact(d.clock.Elapsed(), contactWindow) {
		if peer.Ready {
			out[peer.Address] = peer.NodeID
		}
	}
	return out
}

func addressesOf(byAddress map[string]ident.NodeID) []string {
	out := make([]string, 0, len(byAddress))
	for address := range byAddress {
		out = append(out, address)
	}
	slices.Sort(out)
	return out
}

// newOwners lists the owners that a key has now and did not have before, in the same incarnation.
func newOwners(key string, before, after map[string]ident.NodeID, oldAddresses, newAddresses []string) []string {
	oldFirst, oldSecond := affinity.Owners(key, oldAddresses)
	newFirst, newSecond := affinity.Owners(key, newAddresses)
	var out []string
	for _, owner := range []string{newFirst, newSecond} {
		if owner != "" && ((owner != oldFirst && owner != oldSecond) || before[owner] != after[owner]) {
			out = append(out, owner)
		}
	}
	return out
}

// handOverAttempts transfers all that is remembered here to the owners that it has without this daemon.
func (d *Daemon) handOverAttempts(ctx context.Context) {
	after := d.liveOwners()
	before := maps.Clone(after)
	before[d.config.AdvertisedPeerAddress()] = d.nodeID
	delete(after, d.config.AdvertisedPeerAddress())
	d.transferOwnership(ctx, before, after)
}

// transferOwnership sends what is remembered here to the owners that it has in after, and did not have, in the same
// incarnation, in before.
func (d *Daemon) transferOwnership(ctx context.Context, before, after map[string]ident.NodeID) {
	unchanged := len(before) == len(after)
	for address, incarnation := range after {
		unchanged = unchanged && before[address] == incarnation
	}
	if unchanged {
		return
	}
	d.transferAssignments(ctx, before, after)
	oldAddresses, newAddresses := addressesOf(before), addressesOf(after)
	batches, complete := map[string][]*peerapi.AttemptRecord{}, map[string]bool{}
	startedRecently, self := d.recentlyStarted(), d.config.AdvertisedPeerAddress()
	d.attempts.Do(func(now clock.Mark, memory *deduplication.Memory) {
		memory.Each(func(attempt string, entry deduplication.Entry) {
			for _, owner := range newOwners("attempt "+attempt, before, after, oldAddresses, newAddresses) {
				if owner == self {
					continue
				}
				batches[owner] = append(batches[owner], &peerapi.AttemptRecord{Attempt: attempt, Owner: entry.Owner, Digest: entry.Digest,
					AgeMs: now.Since(entry.At).Milliseconds(), Refused: entry.Rejected})
			}
		})
		for address, incarnation := range after {
			// A new incarnation is told whether it now has all that it shares with this daemon.
			if before[address] != incarnation && address != self {
				complete[address] = !startedRecently || memory.SyncedFrom(address)
				batches[address] = append(batches[address], nil...)
			}
		}
	})
	for owner, batch := range batches {
		delivered := true
		for part := range slices.Chunk(batch, transferBatch) {
			bounded, cancel := context.WithTimeout(ctx, time.Second)
			// An owner that misses this is not the only one that knows.
			_, err := d.links.Client(owner).Remember(bounded, &peerapi.RememberRequest{Attempts: part})
			cancel()
			delivered = delivered && err == nil
			d.counters.attemptsTransferred.Add(uint64(len(part)))
		}
		if delivered && complete[owner] {
			bounded, cancel := context.WithTimeout(ctx, time.Second)
			// An owner that misses this counts as recently started for some seconds more.
			_, _ = d.links.Client(owner).Remember(bounded, &peerapi.RememberRequest{From: self, Complete: true})
			cancel()
		}
	}
}

// readyPeers returns the sorted addresses of the daemons in contact within the window that fit and are not draining.
func (d *Daemon) readyPeers(window time.Duration, fits func(membership.Member) bool) []string {
	var addresses []string
	for _, peer := range d.members.View().InContact(d.clock.Elapsed(), window) {
		if peer.Ready && fits(peer) {
			addresses = append(addresses, peer.Address)
		}
	}
	slices.Sort(addresses)
	return addresses
}
