package daemon

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/daemon/ownership"
	"github.com/cresspond/cresspond/process/cluster/deduplication"
	"github.com/cresspond/cresspond/process/cluster/membership"
	"github.com/cresspond/cresspond/wire/peerapi"
)

const (
	// transferBatch is how many attempts are transferred in one message, transferEvery how often ownership is
	// compared.
	transferBatch = 1000
	// transferLimit bounds one message of a transfer.
	transferLimit = time.Second
	transferEvery = 300 * time.Millisecond
)

// runOwnershipTransfer transfers attempts to their new owners as daemons come and go. It runs on a goroutine of its
// own until ctx ends.
func (d *Daemon) runOwnershipTransfer(ctx context.Context) {
	ticker := time.NewTicker(transferEvery)
	defer ticker.Stop()
	before := ownership.Daemons{}
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
func (d *Daemon) liveOwners() ownership.Daemons {
	out := ownership.Daemons{}
	for _, peer := range d.members.View().InContact(d.clock.Elapsed(), ownership.ContactWindow) {
		if peer.Ready {
			out[peer.Address] = peer.NodeID
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
func (d *Daemon) transferOwnership(ctx context.Context, before, after ownership.Daemons) {
	change := ownership.NewChange(before, after)
	if change.Empty() {
		return
	}
	d.transferAssignments(ctx, change)
	for owner, transfer := range d.attemptTransfers(change) {
		d.sendTransfer(ctx, owner, transfer)
	}
}

// attemptTransfer is what one owner is sent.
type attemptTransfer struct {
	records []*peerapi.AttemptRecord
	// complete says that the owner then has all that it shares with this daemon.
	complete bool
}

// attemptTransfers returns what each owner is to be sent, by address.
func (d *Daemon) attemptTransfers(change *ownership.Change) map[string]attemptTransfer {
	transfers := map[string]attemptTransfer{}
	startedRecently, self := d.recentlyStarted(), d.config.AdvertisedPeerAddress()
	d.attempts.Do(func(now clock.Mark, memory *deduplication.Memory) {
		memory.Each(func(attempt string, entry deduplication.Entry) {
			for _, owner := range change.NewOwners(ownership.AttemptKey(attempt)) {
				if owner == self {
					continue
				}
				transfer := transfers[owner]
				transfer.records = append(transfer.records, &peerapi.AttemptRecord{
					Attempt: attempt,
					Owner:   entry.Owner,
					Digest:  entry.Digest,
					AgeMs:   now.Since(entry.At).Milliseconds(),
					Refused: entry.Rejected,
				})
				transfers[owner] = transfer
			}
		})
		for _, address := range change.NewIncarnations() {
			if address != self {
				transfer := transfers[address]
				transfer.complete = !startedRecently || memory.SyncedFrom(address)
				transfers[address] = transfer
			}
		}
	})
	return transfers
}

// sendTransfer sends an owner its records in batches, and then whether they are complete.
func (d *Daemon) sendTransfer(ctx context.Context, owner string, transfer attemptTransfer) {
	delivered := true
	for batch := range slices.Chunk(transfer.records, transferBatch) {
		// An owner that misses this is not the only one that knows.
		err := d.sendAttempts(ctx, owner, &peerapi.RememberRequest{Attempts: batch})
		delivered = delivered && err == nil
		d.counters.attemptsTransferred.Add(uint64(len(batch)))
	}
	if delivered && transfer.complete {
		// An owner that misses this counts as recently started for some seconds more.
		_ = d.sendAttempts(ctx, owner, &peerapi.RememberRequest{From: d.config.AdvertisedPeerAddress(), Complete: true})
	}
}

func (d *Daemon) sendAttempts(ctx context.Context, owner string, request *peerapi.RememberRequest) error {
	bounded, cancel := context.WithTimeout(ctx, transferLimit)
	defer cancel()
	_, err := d.links.Client(owner).Remember(bounded, request)
	return err
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
