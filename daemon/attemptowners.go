package daemon

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/cluster/affinity"
	"github.com/cresspond/cresspond/process/cluster/deduplication"
	"github.com/cresspond/cresspond/process/cluster/membership"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/request/dispatch"
	"github.com/cresspond/cresspond/wire/peerapi"
)

const (
	// contactWindow is how recent the last contact with a daemon must be for it to count as reachable.
	contactWindow = 3 * time.Second
	// uncertainWindow is for how long a daemon that became unreachable, or has just started, leaves it uncertain
	// which attempts it knew of.
	uncertainWindow = 8 * time.Second
	// ownerLimit bounds the wait for an owner's answer.
	ownerLimit = 200 * time.Millisecond
)

// attemptOwners are the daemons to query about an attempt: those that remember it, chosen by consistent hashing.
type attemptOwners struct {
	// query lists their addresses. informed holds those that would know of an earlier claim, each with the address of
	// the other owner.
	query    []string
	informed map[string]string
	// onlyDaemon says that no other daemon is known.
	onlyDaemon bool
	// minoritySide says that most routing daemons may be on the other side of a network partition.
	minoritySide bool
}

// selectAttemptOwners finds the owners of an attempt: those that it has among the daemons in contact, and those that
// it had among all that were in contact before the last of them became unreachable.
func selectAttemptOwners(attempt string, view *membership.View, now clock.Mark, self string) attemptOwners {
	leaderSeen := view.LastLeaderContact > 0 && now.Since(view.LastLeaderContact) <= contactWindow
	var current, before, draining []string
	routersSeen, routersKnown := 0, 0
	for _, peer := range view.Members {
		sinceContact := now.Since(peer.LastContact)
		if !peer.Ready {
			// A draining daemon transfers its memory to others, and is queried for as long as it is there.
			if sinceContact <= contactWindow {
				draining = append(draining, peer.Address)
			}
			continue
		}
		if sinceContact <= contactWindow {
			current = append(current, peer.Address)
		}
		if sinceContact <= contactWindow+uncertainWindow {
			before = append(before, peer.Address)
		}
		if peer.Serves(string(daemonconfig.Route)) && (sinceContact <= contactWindow+uncertainWindow || !leaderSeen) {
			routersKnown++
			if sinceContact <= contactWindow {
				routersSeen++
			}
		}
	}
	if len(before) == 0 {
		// Where all daemons drain together, they own each other's attempts to the last.
		before, draining = draining, nil
	}
	owners := attemptOwners{informed: map[string]string{}, onlyDaemon: len(before) <= 1 && len(draining) == 0}
	// Where both sides of a partition have equally many, the side that sees the leader goes on.
	owners.minoritySide = 2*routersSeen < routersKnown || 2*routersSeen == routersKnown && !leaderSeen
	key := "attempt " + attempt
	add := func(from []string, knows bool) {
		slices.Sort(from)
		first, second := affinity.Owners(key, from)
		for owner, partner := range map[string]string{first: second, second: first} {
			if owner == "" {
				continue
			}
			if !slices.Contains(owners.query, owner) {
				owners.query = append(owners.query, owner)
			}
			if knows {
				owners.informed[owner] = partner
			}
		}
	}
	add(before, true)
	add(current, false)
	add(slices.Concat(before, draining), false)
	if !slices.Contains(owners.query, self) {
		// A query of this daemon's own memory costs nothing.
		owners.query = append(owners.query, self)
	}
	return owners
}

// queryAttemptOwners queries all owners of an attempt at once, and decides by their answers.
func (d *Daemon) queryAttemptOwners(query deduplication.Request) deduplication.Decision {
	self := d.config.AdvertisedPeerAddress()
	// Where each attempt arrives only once, neither another daemon nor an earlier incarnation can know of it.
	local := d.config.AttemptScope == daemonconfig.LocalAttempts
	owners := attemptOwners{query: []string{self}, informed: map[string]string{self: ""}, onlyDaemon: true}
	if !local {
		owners = selectAttemptOwners(query.Attempt, d.members.View(), d.clock.Elapsed(), self)
	}
	type ownerReply struct {
		home  string
		reply *peerapi.AttemptReply
	}
	ctx, cancel := context.WithTimeout(context.Background(), ownerLimit)
	defer cancel()
	answers := make(chan ownerReply, len(owners.query))
	for _, owner := range owners.query {
		client := peerapi.Fellow(d)
		if owner != self {
			client = d.links.Client(owner)
			d.counters.attemptQueries.Add(1)
		}
		request := &peerapi.AttemptRequest{Attempt: query.Attempt, Owner: query.Owner, Digest: query.Digest, AgeMs: query.Age.Milliseconds(), Action: string(query.Action), OtherOwnerAddress: owners.informed[owner]}
		go func() {
			reply, err := client.Attempt(ctx, request)
			if err != nil {
				reply = nil
			}
			answers <- ownerReply{owner, reply}
		}()
	}
	var replies deduplication.Responses
	for range owners.query {
		answer := <-answers
		if answer.reply == nil {
			continue
		}
		replies.Received = append(replies.Received, deduplication.Response(answer.reply.Outcome))
		_, knows := owners.informed[answer.home]
		replies.Authoritative = replies.Authoritative || knows && (local || !answer.reply.Fresh)
		// A daemon that may be partitioned must not be the only one to know.
		replies.Replicated = replies.Replicated || answer.home != self || owners.onlyDaemon
	}
	replies.Authoritative = replies.Authoritative && !owners.minoritySide
	decision := deduplication.Decide(replies)
	if decision == deduplication.Undetermined {
		d.counters.attemptsUncertain.Add(1)
	}
	return decision
}

// attemptQuery returns the query about one request of this daemon.
func (d *Daemon) attemptQuery(action deduplication.Action, id dispatch.RecordID, request dispatch.Request, arrived clock.Mark) deduplication.Request {
	return deduplication.Request{Attempt: request.Attempt, Owner: string(d.nodeID) + "/" + strconv.FormatUint(uint64(id), 10),
		Digest: request.Digest, Age: d.clock.Elapsed().Since(arrived), Action: action}
}

// recentlyStarted says whether this incarnation may not know of attempts that the one before knew of. If it saw the
// group before the first configuration was in force, there can't have been any.
func (d *Daemon) recentlyStarted() bool {
	view := d.members.View()
	return !view.PredatesFirstRollout && d.clock.Elapsed().Since(view.Started) < uncertainWindow
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
		reply.Outcome = string(memory.Handle(now, deduplication.Request{Attempt: in.Attempt, Owner: in.Owner, Digest: in.Digest,
			Age: time.Duration(in.AgeMs) * time.Millisecond, Action: action}))
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
			memory.Merge(now, one.Attempt, deduplication.Entry{Owner: one.Owner, Digest: one.Digest, Rejected: one.Refused,
				At: now - clock.Mark(time.Duration(one.AgeMs)*time.Millisecond)})
		}
		if in.From != "" && in.Complete {
			memory.MarkSynced(in.From)
		}
	})
	return &peerapi.Empty{}, nil
}
