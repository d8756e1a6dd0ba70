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
	// contactWindow is how lately a daemon must have been heard to be in sight.
	contactWindow = 3 * time.Second
	// uncertainWindow is how long one that fell silent, or has just begun, leaves doubt about what it knew.
	uncertainWindow = 8 * time.Second
	// ownerLimit bounds the wait for a home's answer.
	ownerLimit = 200 * time.Millisecond
)

// attemptOwners are the daemons to ask about an attempt.
type attemptOwners struct {
	// query lists their addresses; knowers holds those that would know of an earlier claim, with each one's partner.
	query    []string
	informed map[string]string
	// onlyDaemon says that no other daemon is known.
	onlyDaemon bool
	// minoritySide says that most routing daemons may be on the other side of a split.
	minoritySide bool
}

// selectAttemptOwners finds the homes of an attempt: those it has among the daemons in sight, and those it had
// among all that were heard before the latest of them fell silent.
func selectAttemptOwners(attempt string, view *membership.View, now clock.Mark, self string) attemptOwners {
	leaderSeen := view.LastLeaderContact > 0 && now.Since(view.LastLeaderContact) <= contactWindow
	var current, before, stopping []string
	routersSeen, routersKnown := 0, 0
	for _, fellow := range view.Members {
		silent := now.Since(fellow.LastContact)
		if !fellow.Ready {
			// One that stops hands its memory on, and is asked while it is there.
			if silent <= contactWindow {
				stopping = append(stopping, fellow.Address)
			}
			continue
		}
		if silent <= contactWindow {
			current = append(current, fellow.Address)
		}
		if silent <= contactWindow+uncertainWindow {
			before = append(before, fellow.Address)
		}
		if fellow.Serves(string(daemonconfig.Route)) && (silent <= contactWindow+uncertainWindow || !leaderSeen) {
			routersKnown++
			if silent <= contactWindow {
				routersSeen++
			}
		}
	}
	if len(before) == 0 {
		// Where all stop together, they are each other's homes to the last.
		before, stopping = stopping, nil
	}
	h := attemptOwners{informed: map[string]string{}, onlyDaemon: len(before) <= 1 && len(stopping) == 0}
	// Where the two halves of a split are equal, the one that sees the leader goes on.
	h.minoritySide = 2*routersSeen < routersKnown || 2*routersSeen == routersKnown && !leaderSeen
	key := "attempt " + attempt
	add := func(from []string, knows bool) {
		slices.Sort(from)
		first, second := affinity.Owners(key, from)
		for home, partner := range map[string]string{first: second, second: first} {
			if home == "" {
				continue
			}
			if !slices.Contains(h.query, home) {
				h.query = append(h.query, home)
			}
			if knows {
				h.informed[home] = partner
			}
		}
	}
	add(before, true)
	add(current, false)
	add(slices.Concat(before, stopping), false)
	if !slices.Contains(h.query, self) {
		// What this daemon remembers itself costs nothing to ask.
		h.query = append(h.query, self)
	}
	return h
}

// queryAttemptOwners puts one question to all homes of an attempt at once, and weighs what they say.
func (d *Daemon) queryAttemptOwners(ask deduplication.Ask) deduplication.Decision {
	self := d.config.AdvertisedPeerAddress()
	// Where each attempt arrives once, no other daemon and no earlier life can know of one.
	local := d.config.AttemptScope == daemonconfig.LocalAttempts
	h := attemptOwners{query: []string{self}, informed: map[string]string{self: ""}, onlyDaemon: true}
	if !local {
		h = selectAttemptOwners(ask.Attempt, d.members.View(), d.clock.Elapsed(), self)
	}
	type said struct {
		home  string
		reply *peerapi.AttemptReply
	}
	ctx, cancel := context.WithTimeout(context.Background(), ownerLimit)
	defer cancel()
	answers := make(chan said, len(h.query))
	for _, home := range h.query {
		client := peerapi.Fellow(d)
		if home != self {
			client = d.links.Client(home)
			d.counters.attemptQueries.Add(1)
		}
		request := &peerapi.AttemptRequest{Attempt: ask.Attempt, Owner: ask.Owner, Digest: ask.Digest, AgeMs: ask.Age.Milliseconds(), Action: string(ask.Act), OtherOwnerAddress: h.informed[home]}
		go func() {
			reply, err := client.Attempt(ctx, request)
			if err != nil {
				reply = nil
			}
			answers <- said{home, reply}
		}()
	}
	var heard deduplication.Answers
	for range h.query {
		answer := <-answers
		if answer.reply == nil {
			continue
		}
		heard.Given = append(heard.Given, deduplication.Answer(answer.reply.Outcome))
		_, knows := h.informed[answer.home]
		heard.Knew = heard.Knew || knows && (local || !answer.reply.Fresh)
		// A daemon that may be cut off must not be the only one that knows.
		heard.Written = heard.Written || answer.home != self || h.onlyDaemon
	}
	heard.Knew = heard.Knew && !h.minoritySide
	verdict := deduplication.Decide(heard)
	if verdict == deduplication.Doubt {
		d.counters.attemptsUncertain.Add(1)
	}
	return verdict
}

// attemptQuery makes the question about one record of this daemon.
func (d *Daemon) attemptQuery(act deduplication.Act, id dispatch.RecordID, request dispatch.Request, arrived clock.Mark) deduplication.Ask {
	return deduplication.Ask{Attempt: request.Attempt, Owner: string(d.nodeID) + "/" + strconv.FormatUint(uint64(id), 10),
		Digest: request.Digest, Age: d.clock.Elapsed().Since(arrived), Act: act}
}

// recentlyStarted says whether this life may lack attempts of the one before. Where it saw the group before any
// bundle was in force, nothing can have run that it does not know of.
func (d *Daemon) recentlyStarted() bool {
	view := d.members.View()
	return !view.PredatesFirstRollout && d.clock.Elapsed().Since(view.Started) < uncertainWindow
}

// Attempt answers for the attempts whose home this daemon is.
func (d *Daemon) Attempt(_ context.Context, in *peerapi.AttemptRequest) (*peerapi.AttemptReply, error) {
	act := deduplication.Act(in.Action)
	if in.Attempt == "" || in.Owner == "" || act != deduplication.Claim && act != deduplication.Refuse && act != deduplication.Free {
		d.counters.malformedMessages.Add(1)
		return nil, twirp.NewError(twirp.InvalidArgument, "this asks nothing about an attempt")
	}
	reply, young := &peerapi.AttemptReply{}, d.recentlyStarted()
	if !d.attempts.Do(func(now clock.Mark, memory *deduplication.Memory) {
		reply.Outcome = string(memory.Take(now, deduplication.Ask{Attempt: in.Attempt, Owner: in.Owner, Digest: in.Digest,
			Age: time.Duration(in.AgeMs) * time.Millisecond, Act: act}))
		reply.Fresh = young && !memory.Whole(in.OtherOwnerAddress)
	}) {
		return nil, twirp.NewError(twirp.Unavailable, "this daemon is stopping")
	}
	return reply, nil
}

// Remember takes attempts over from another home.
func (d *Daemon) Remember(_ context.Context, in *peerapi.RememberRequest) (*peerapi.Empty, error) {
	d.attempts.Do(func(now clock.Mark, memory *deduplication.Memory) {
		for _, one := range in.Attempts {
			memory.Learn(now, one.Attempt, deduplication.Entry{Owner: one.Owner, Digest: one.Digest, Refused: one.Refused,
				At: now - clock.Mark(time.Duration(one.AgeMs)*time.Millisecond)})
		}
		if in.From != "" && in.Complete {
			memory.LearnWhole(in.From)
		}
	})
	return &peerapi.Empty{}, nil
}
