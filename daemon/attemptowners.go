package daemon

import (
	"context"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/daemon/ownership"
	"github.com/cresspond/cresspond/process/cluster/deduplication"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/request/dispatch"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// ownerLimit bounds the wait for an owner's answer.
const ownerLimit = 200 * time.Millisecond

// queryAttemptOwners queries all owners of an attempt at once, and decides by their answers.
func (d *Daemon) queryAttemptOwners(query deduplication.Request) deduplication.Decision {
	self := d.config.AdvertisedPeerAddress()
	// Where each attempt arrives only once, neither another daemon nor an earlier incarnation can know of it.
	local := d.config.AttemptScope == daemonconfig.LocalAttempts
	owners := ownership.OnlyLocal(self)
	if !local {
		owners = ownership.OfAttempt(query.Attempt, d.members.View(), d.clock.Elapsed(), self)
	}
	type ownerReply struct {
		owner string
		reply *peerapi.AttemptReply
	}
	ctx, cancel := context.WithTimeout(context.Background(), ownerLimit)
	defer cancel()
	answers := make(chan ownerReply, len(owners.Query))
	for _, owner := range owners.Query {
		client := peerapi.Fellow(d)
		if owner != self {
			client = d.links.Client(owner)
			d.counters.attemptQueries.Add(1)
		}
		request := &peerapi.AttemptRequest{
			Attempt:           query.Attempt,
			Owner:             query.Owner,
			Digest:            query.Digest,
			AgeMs:             query.Age.Milliseconds(),
			Action:            string(query.Action),
			OtherOwnerAddress: owners.Informed[owner],
		}
		go func() {
			reply, err := client.Attempt(ctx, request)
			if err != nil {
				reply = nil
			}
			answers <- ownerReply{owner, reply}
		}()
	}
	var replies deduplication.Responses
	for range owners.Query {
		answer := <-answers
		if answer.reply == nil {
			continue
		}
		replies.Received = append(replies.Received, deduplication.Response(answer.reply.Outcome))
		_, knows := owners.Informed[answer.owner]
		replies.Authoritative = replies.Authoritative || knows && (local || !answer.reply.Fresh)
		// A daemon that may be partitioned must not be the only one to know.
		replies.Replicated = replies.Replicated || answer.owner != self || owners.OnlyDaemon
	}
	replies.Authoritative = replies.Authoritative && !owners.MinoritySide
	decision := deduplication.Decide(replies)
	if decision == deduplication.Undetermined {
		d.counters.attemptsUncertain.Add(1)
	}
	return decision
}

// attemptQuery returns the query about one request of this daemon.
func (d *Daemon) attemptQuery(action deduplication.Action, id dispatch.RecordID, request dispatch.Request, arrived clock.Mark) deduplication.Request {
	return deduplication.Request{
		Attempt: request.Attempt,
		Owner:   string(d.nodeID) + "/" + strconv.FormatUint(uint64(id), 10),
		Digest:  request.Digest,
		Age:     d.clock.Elapsed().Since(arrived),
		Action:  action,
	}
}

// recentlyStarted says whether this incarnation may not know of attempts that the one before knew of. If it saw the
// group before the first configuration was in force, there can't have been any.
func (d *Daemon) recentlyStarted() bool {
	view := d.members.View()
	return !view.PredatesFirstRollout && d.clock.Elapsed().Since(view.Started) < ownership.UncertainWindow
}

// Attempt answers queries about the attempts that this daemon owns. It is part of the peer protocol.
func (d *Daemon) Attempt(_ context.Context, in *peerapi.AttemptRequest) (*peerapi.AttemptReply, error) {
	action := deduplication.Action(in.Action)
	if in.Attempt == "" || in.Owner == "" || action != deduplication.ActionClaim && action != deduplication.ActionReject && action != deduplication.ActionRelease {
		d.counters.malformedMessages.Add(1)
		return nil, twirp.NewError(twirp.InvalidArgument, "malformed query about an attempt")
	}
	reply, startedRecently := &peerapi.AttemptReply{}, d.recentlyStarted()
	if !d.attempts.Do(func(now clock.Mark, memory *deduplication.Memory) {
		reply.Outcome = string(memory.Handle(now, deduplication.Request{
			Attempt: in.Attempt,
			Owner:   in.Owner,
			Digest:  in.Digest,
			Age:     time.Duration(in.AgeMs) * time.Millisecond,
			Action:  action,
		}))
		reply.Fresh = startedRecently && !memory.SyncedFrom(in.OtherOwnerAddress)
	}) {
		return nil, twirp.NewError(twirp.Unavailable, "this daemon is stopping")
	}
	return reply, nil
}

// Remember takes over attempts that another owner transfers. It is part of the peer protocol.
func (d *Daemon) Remember(_ context.Context, in *peerapi.RememberRequest) (*peerapi.Empty, error) {
	d.attempts.Do(func(now clock.Mark, memory *deduplication.Memory) {
		for _, one := range in.Attempts {
			memory.Merge(now, one.Attempt, deduplication.Entry{
				Owner:    one.Owner,
				Digest:   one.Digest,
				Rejected: one.Refused,
				At:       now - clock.Mark(time.Duration(one.AgeMs)*time.Millisecond),
			})
		}
		if in.From != "" && in.Complete {
			memory.MarkSynced(in.From)
		}
	})
	return &peerapi.Empty{}, nil
}
