package daemon

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/cluster/membership"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/wire/operatorapi"
	"github.com/cresspond/cresspond/wire/peerapi"
)

const (
	// leaveLimit is how long an engine that leaves waits for its acknowledgement; it then asks the next daemon.
	leaveLimit = 800 * time.Millisecond
	// leaveReach is how long the acknowledgement waits for all in contact to know.
	leaveReach = 300 * time.Millisecond
	// leftLately is for how long a fresh control daemon tells all of those who left.
	leftLately = time.Minute
)

// Registry is what this daemon knows of the engines that register themselves.
func (d *Daemon) Registry() *registry.Registry { return d.registry }

// Register takes what an engine says of itself.
func (d *Daemon) Register(ctx context.Context, word registry.Word) registry.Outcome {
	if !d.config.Serves(daemonconfig.Control) {
		return registry.Outcome{Verdict: registry.Unknown}
	}
	hearing, ok := d.registry.Hear(word)
	if !ok {
		return registry.Outcome{Verdict: registry.Unknown}
	}
	d.counters.engineBeats.Add(1)
	if hearing.Late {
		d.counters.engineBeatsLate.Add(1)
	}
	if !word.Leaving {
		return registry.Outcome{Verdict: registry.Acknowledged}
	}
	return d.leave(ctx, word.ID, hearing)
}

// Deregister takes an engine's word that it is gone.
func (d *Daemon) Deregister(ctx context.Context, id ident.EngineID) registry.Outcome {
	if !d.config.Serves(daemonconfig.Control) {
		return registry.Outcome{Verdict: registry.Unknown}
	}
	hearing, ok := d.registry.End(id)
	if !ok {
		return registry.Outcome{Verdict: registry.Unknown}
	}
	return d.leave(ctx, id, hearing)
}

// leave has the group write down that an engine leaves. All hear of it from here meanwhile, since it does no
// harm to know it early; the acknowledgement rests on the group, so that it outlives this daemon.
func (d *Daemon) leave(ctx context.Context, id ident.EngineID, hearing registry.Hearing) registry.Outcome {
	bounded, cancel := context.WithTimeout(ctx, leaveLimit)
	defer cancel()
	if hearing.Left {
		// Said again: it is written down, and need only have had the time to get about.
		d.awaitReach(bounded, hearing.Change, leaveReach-d.clock.Elapsed().Since(hearing.LeftAt))
		d.counters.leavesAcknowledged.Add(1)
		return registry.Outcome{Verdict: registry.Acknowledged}
	}
	answer, ok := d.submit(bounded, statemachine.Command{Op: statemachine.OpLeave, Engine: id})
	if !ok || answer.Verdict != statemachine.Done {
		d.counters.leavesUnknown.Add(1)
		return registry.Outcome{Verdict: registry.Unknown}
	}
	d.registry.Leave([]ident.EngineID{id}, false, true)
	d.counters.leavesAcknowledged.Add(1)
	return registry.Outcome{Verdict: registry.Acknowledged}
}

// awaitLeave is called at the leader when a leave is committed: it waits until all in contact know.
func (d *Daemon) awaitLeave(ctx context.Context, id ident.EngineID) {
	change := d.registry.Leave([]ident.EngineID{id}, false, true)
	d.awaitReach(ctx, change, leaveReach)
}

func (d *Daemon) awaitReach(ctx context.Context, change uint64, within time.Duration) bool {
	return d.registry.AwaitReach(ctx, change, within, func() []ident.NodeID {
		var peers []ident.NodeID
		for _, fellow := range d.members.View().InContact(d.clock.Elapsed(), membership.ContactWindow) {
			if fellow.NodeID != d.nodeID {
				peers = append(peers, fellow.NodeID)
			}
		}
		return peers
	})
}

// noteLeft takes over who left by the replicated state. It is called on the replica's actor, and so waits for nothing.
func (d *Daemon) noteLeft(state *statemachine.State) {
	lately, before := []ident.EngineID{}, []ident.EngineID{}
	// After a snapshot all are noted again, which changes nothing.
	for _, left := range state.LeftSince(d.leavesNoted) {
		if left.At.Add(leftLately) < state.Now {
			before = append(before, left.Engine)
		} else {
			lately = append(lately, left.Engine)
		}
	}
	d.leavesNoted = state.Leaves
	if len(lately) > 0 || len(before) > 0 {
		go func() {
			d.registry.Remember(before)
			d.registry.Leave(lately, false, true)
		}()
	}
}

// Engines lists the engines that register themselves, as this daemon knows them.
func (d *Daemon) Engines() operatorapi.Engines {
	view, beats, now := d.registry.View(), d.registry.Beats(), d.clock.Elapsed()
	out := operatorapi.Engines{Version: view.Version, Engines: []operatorapi.RegisteredEngine{}}
	for id, engine := range view.Engines {
		row := operatorapi.RegisteredEngine{ID: id, HeardMsAgo: now.Since(max(beats[id].Heard, engine.Heard)).Milliseconds(), Condition: operatorapi.EngineUsable,
			Registration: operatorapi.Registration{Pool: engine.Pool, Address: engine.Address, Zone: engine.Zone, Software: engine.Software, Slots: engine.Slots,
				Leaving: engine.Leaving, LeaveMs: engine.LeaveMs, ColdMs: max(0, engine.ColdMs-now.Since(engine.Heard).Milliseconds()), Phase: engine.Phase,
				Models: []operatorapi.HeldModel{}, CallSeq: max(beats[id].CallSeq, engine.CallSeq)}}
		switch {
		case engine.Gone:
			row.Condition = operatorapi.EngineGone
		case engine.Silent:
			row.Condition = operatorapi.EngineSilent
		case engine.Leaving:
			row.Condition = operatorapi.EngineLeaving
		}
		for _, held := range engine.Models() {
			row.Models = append(row.Models, operatorapi.HeldModel{Model: held.Model, Generation: held.Generation, Adapters: held.Adapters})
		}
		if engine.Plan != nil {
			row.Claim, row.Turn = engine.Plan.Claim, engine.Plan.Turn
		}
		out.Engines = append(out.Engines, row)
	}
	slices.SortFunc(out.Engines, func(a, b operatorapi.RegisteredEngine) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// tellRegistry puts into a reply what changed here since the asker's last question.
func (d *Daemon) tellRegistry(in *peerapi.PullRequest, reply *peerapi.PullReply) {
	if !followsRegistry(in) {
		return
	}
	wanted := make([]ident.EngineID, 0, len(in.RegistryRefetch))
	for _, id := range in.RegistryRefetch {
		wanted = append(wanted, ident.EngineID(id))
	}
	question := registry.Question{Cursor: cursorOf(in), Wanted: wanted}
	if !in.EveryHeartbeat {
		// How busy far engines are is told seldom; control daemons pass it on, and so are told all.
		question.Zone = d.members.ZoneOf(ident.NodeID(in.NodeId))
	}
	switch {
	case in.RegistryUrgentOnly:
		question.Kind = registry.UrgentOnly
	case in.EveryHeartbeat && d.config.Serves(daemonconfig.Control):
		// Only those who may have to judge an engine's silence need to hear of each beat.
		question.Kind = registry.WithBeats
	}
	difference := d.registry.Since(question)
	reply.RegistryIncarnation, reply.RegistrySeen, reply.RegistryComplete = difference.Life, difference.Seen, difference.Cursor.Whole
	reply.RegistryFullResync, reply.RegistryMore = difference.Afresh, difference.More
	reply.Engines = registry.Encode(d.clock.Elapsed(), difference.Records)
}

// cursorOf is how much of this daemon's changes an asker has.
func cursorOf(in *peerapi.PullRequest) registry.Cursor {
	return registry.Cursor{Life: in.RegistryIncarnation, Seen: in.RegistrySeen, Whole: in.RegistryComplete}
}

// followsRegistry says whether a question is one of those that go on, or of a daemon that has lost control. A
// look at any daemon now and then must not bring the whole registry along.
func followsRegistry(in *peerapi.PullRequest) bool { return in.IntervalMs > 0 || in.AllMembers }

// PullFrom asks another daemon, and takes over what it tells of engines.
func (d *Daemon) PullFrom(ctx context.Context, address string, request *peerapi.PullRequest) (*peerapi.PullReply, error) {
	reply, err := d.pullFrom(ctx, address, request)
	if request.DemandVersion > 0 && (err != nil || reply.DemandBaseUnknown) {
		d.wants.Lost()
	}
	return reply, err
}

func (d *Daemon) pullFrom(ctx context.Context, address string, request *peerapi.PullRequest) (*peerapi.PullReply, error) {
	if !followsRegistry(request) {
		return d.links.To(address).Pull(ctx, request)
	}
	peer := address
	if request.RegistryUrgentOnly = d.isSecond(address); request.RegistryUrgentOnly {
		// What is heard in short is counted apart, so that all can be asked for when that is needed.
		peer += " urgent"
	}
	cursor, wanted := d.registry.Asked(peer)
	request.RegistryIncarnation, request.RegistrySeen, request.RegistryComplete = cursor.Life, cursor.Seen, cursor.Whole
	request.EveryHeartbeat = d.config.Serves(daemonconfig.Control)
	request.ShortagesVersion, request.DrainingVersion = d.heardNews.lacks.Load(), d.heardNews.draining.Load()
	for _, id := range wanted {
		request.RegistryRefetch = append(request.RegistryRefetch, string(id))
	}
	asked := d.clock.Elapsed()
	reply, err := d.links.To(address).Pull(ctx, request)
	if err != nil || !d.ofOurs(reply) {
		return reply, err
	}
	d.registry.Learn(peer, registry.Difference{Cursor: registry.Cursor{Life: reply.RegistryIncarnation, Seen: reply.RegistrySeen, Whole: reply.RegistryComplete},
		Afresh: reply.RegistryFullResync, More: reply.RegistryMore, Records: registry.Decode(d.clock.Elapsed(), reply.Engines)}, wanted)
	if !reply.RegistryMore && !request.RegistryUrgentOnly {
		d.hearsay.note(address, asked)
	}
	return reply, nil
}

// tellerFresh is how lately the teller must have told all for others to be asked for what is urgent only.
const tellerFresh = 2500 * time.Millisecond

// isSecond says whether an address is one of those of which only what is urgent is asked, because the teller tells the rest.
func (d *Daemon) isSecond(address string) bool {
	teller := d.members.View().TellerAddress
	return !d.config.Serves(daemonconfig.Control) && teller != "" && teller != address && d.clock.Elapsed().Since(d.hearsay.of(teller)) <= tellerFresh
}

// ofOurs says whether a reply is of this daemon's group, or of one where neither knows a group yet.
func (d *Daemon) ofOurs(reply *peerapi.PullReply) bool {
	known := d.Group()
	return known == "" || reply.Group == "" || reply.Group == string(known) || ident.GroupID(reply.Group).Succeeds(known)
}

// hearsay is up to when each other control daemon has told all that it heard.
type hearsay struct {
	mutex sync.Mutex
	upTo  map[string]clock.Mark
}

func (h *hearsay) note(address string, asked clock.Mark) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.upTo == nil {
		h.upTo = map[string]clock.Mark{}
	}
	h.upTo[address] = max(h.upTo[address], asked)
}

func (h *hearsay) of(address string) clock.Mark {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.upTo[address]
}

// beatPeriod is how often engines that register themselves beat.
func (d *Daemon) beatPeriod() time.Duration {
	return time.Duration(d.Bounds().BeatMs) * time.Millisecond
}

// pace is how often this daemon asks others again. Where attempts are known to the fleet, all must soon know
// who came and went, so that each attempt's homes are agreed on; else there is time.
func (d *Daemon) pace() membership.Pace {
	if d.config.Attempts == daemonconfig.LocalAttempts {
		return membership.Pace{Least: 600 * time.Millisecond, Most: 750 * time.Millisecond}
	}
	return membership.Pace{Least: 150 * time.Millisecond, Most: 750 * time.Millisecond}
}

// contact says how well this daemon hears what other control daemons hear. One that is cut off from any that
// lives can't tell an engine's silence from its own deafness; nor can several that were cut off from a majority together.
func (d *Daemon) contact() registry.Contact {
	now := d.clock.Elapsed()
	if !d.config.Serves(daemonconfig.Control) {
		// It judges nobody, so it need not look through the fleet for it.
		return registry.Contact{Horizon: now}
	}
	return contactOf(d.members.View(), d.nodeID, now, d.hearsay.of, d.beatPeriod(), d.alone)
}

// contactOf is contact for a view; heard is up to when a control daemon at an address has told all that it heard.
func contactOf(view *membership.View, self ident.NodeID, now clock.Mark, heard func(address string) clock.Mark, period time.Duration, alone func() bool) registry.Contact {
	out, others := registry.Contact{Horizon: now}, 0
	for _, fellow := range view.Fellows {
		if fellow.NodeID == self || !fellow.Serves(string(daemonconfig.Control)) || now.Since(fellow.Heard) > membership.ContactWindow {
			continue
		}
		others++
		out.Horizon = min(out.Horizon, heard(fellow.Address))
	}
	out.May = now.Since(out.Horizon) <= period && (others > 0 || alone()) && now.Since(view.HeardLeader) <= membership.ContactWindow
	return out
}

// alone says whether this daemon is the whole group.
func (d *Daemon) alone() bool {
	held := d.replica.Load()
	return held != nil && len(held.Condition().Members.Voters()) == 1 && held.Condition().Leads
}
