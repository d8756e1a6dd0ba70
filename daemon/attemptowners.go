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
	// sightWindow is how lately a daemon must have been heard to be in sight.
	sightWindow = 3 * time.Second
	// doubtSpan is how long one that fell silent, or has just begun, leaves doubt about what it knew.
	doubtSpan = 8 * time.Second
	// homeLimit bounds the wait for a home's answer.
	homeLimit = 200 * time.Millisecond
)

// homes are the daemons to ask about an attempt.
type homes struct {
	// ask lists their addresses; knowers holds those that would know of an earlier claim, with each one's partner.
	ask     []string
	knowers map[string]string
	// alone says that no other daemon is known.
	alone bool
	// fewInSight says that most routing daemons may be on the other side of a split.
	fewInSight bool
}

// homesOf finds the homes of an attempt: those it has among the daemons in sight, and those it had
// among all that were heard before the latest of them fell silent.
func homesOf(attempt string, view *membership.View, now clock.Mark, self string) homes {
	leaderSeen := view.HeardLeader > 0 && now.Since(view.HeardLeader) <= sightWindow
	var current, before, stopping []string
	routersSeen, routersKnown := 0, 0
	for _, fellow := range view.Fellows {
		silent := now.Since(fellow.Heard)
		if !fellow.Ready {
			// One that stops hands its memory on, and is asked while it is there.
			if silent <= sightWindow {
				stopping = append(stopping, fellow.Address)
			}
			continue
		}
		if silent <= sightWindow {
			current = append(current, fellow.Address)
		}
		if silent <= sightWindow+doubtSpan {
			before = append(before, fellow.Address)
		}
		if fellow.Serves(string(daemonconfig.Route)) && (silent <= sightWindow+doubtSpan || !leaderSeen) {
			routersKnown++
			if silent <= sightWindow {
				routersSeen++
			}
		}
	}
	if len(before) == 0 {
		// Where all stop together, they are each other's homes to the last.
		before, stopping = stopping, nil
	}
	h := homes{knowers: map[string]string{}, alone: len(before) <= 1 && len(stopping) == 0}
	// Where the two halves of a split are equal, the one that sees the leader goes on.
	h.fewInSight = 2*routersSeen < routersKnown || 2*routersSeen == routersKnown && !leaderSeen
	key := "attempt " + attempt
	add := func(from []string, knows bool) {
		slices.Sort(from)
		first, second := affinity.Owners(key, from)
		for home, partner := range map[string]string{first: second, second: first} {
			if home == "" {
				continue
			}
			if !slices.Contains(h.ask, home) {
				h.ask = append(h.ask, home)
			}
			if knows {
				h.knowers[home] = partner
			}
		}
	}
	add(before, true)
	add(current, false)
	add(slices.Concat(before, stopping), false)
	if !slices.Contains(h.ask, self) {
		// What this daemon remembers itself costs nothing to ask.
		h.ask = append(h.ask, self)
	}
	return h
}

// askHomes puts one question to all homes of an attempt at once, and weighs what they say.
func (d *Daemon) askHomes(ask deduplication.Ask) deduplication.Decision {
	self := d.config.ReachedAt()
	// Where each attempt arrives once, no other daemon and no earlier life can know of one.
	local := d.config.Attempts == daemonconfig.LocalAttempts
	h := homes{ask: []string{self}, knowers: map[string]string{self: ""}, alone: true}
	if !local {
		h = homesOf(ask.Attempt, d.members.View(), d.clock.Elapsed(), self)
	}
	type said struct {
		home  string
		reply *peerapi.AttemptReply
	}
	ctx, cancel := context.WithTimeout(context.Background(), homeLimit)
	defer cancel()
	answers := make(chan said, len(h.ask))
	for _, home := range h.ask {
		client := peerapi.Fellow(d)
		if home != self {
			client = d.links.To(home)
			d.counters.attemptCalls.Add(1)
		}
		request := &peerapi.AttemptRequest{Attempt: ask.Attempt, Owner: ask.Owner, Digest: ask.Digest, AgeMs: ask.Age.Milliseconds(), Action: string(ask.Act), OtherOwnerAddress: h.knowers[home]}
		go func() {
			reply, err := client.Attempt(ctx, request)
			if err != nil {
				reply = nil
			}
			answers <- said{home, reply}
		}()
	}
	var heard deduplication.Answers
	for range h.ask {
		answer := <-answers
		if answer.reply == nil {
			continue
		}
		heard.Given = append(heard.Given, deduplication.Answer(answer.reply.Outcome))
		_, knows := h.knowers[answer.home]
		heard.Knew = heard.Knew || knows && (local || !answer.reply.Fresh)
		// A daemon that may be cut off must not be the only one that knows.
		heard.Written = heard.Written || answer.home != self || h.alone
	}
	heard.Knew = heard.Knew && !h.fewInSight
	verdict := deduplication.Decide(heard)
	if verdict == deduplication.Doubt {
		d.counters.attemptDoubts.Add(1)
	}
	return verdict
}

// askFor makes the question about one record of this daemon.
func (d *Daemon) askFor(act deduplication.Act, id dispatch.RecordID, request dispatch.Request, arrived clock.Mark) deduplication.Ask {
	return deduplication.Ask{Attempt: request.Attempt, Owner: string(d.nodeID) + "/" + strconv.FormatUint(uint64(id), 10),
		Digest: request.Digest, Age: d.clock.Elapsed().Since(arrived), Act: act}
}

// young says whether this life may lack attempts of the one before. Where it saw the group before any
// bundle was in force, nothing can have run that it does not know of.
func (d *Daemon) young() bool {
	view := d.members.View()
	return !view.BeforeAll && d.clock.Elapsed().Since(view.Started) < doubtSpan
}

// Attempt answers for the attempts whose home this daemon is.
func (d *Daemon) Attempt(_ context.Context, in *peerapi.AttemptRequest) (*peerapi.AttemptReply, error) {
	act := deduplication.Act(in.Action)
	if in.Attempt == "" || in.Owner == "" || act != deduplication.Claim && act != deduplication.Refuse && act != deduplication.Free {
		d.counters.garbage.Add(1)
		return nil, twirp.NewError(twirp.InvalidArgument, "this asks nothing about an attempt")
	}
	reply, young := &peerapi.AttemptReply{}, d.young()
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
