package daemon

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/cresspond/cresspond/connection/enginestream"
	"github.com/twitchtv/twirp"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/cluster/affinity"
	"github.com/cresspond/cresspond/process/cluster/deduplication"
	"github.com/cresspond/cresspond/process/cluster/membership"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/process/engines/admission"
	"github.com/cresspond/cresspond/process/engines/priority"
	"github.com/cresspond/cresspond/process/placement/sessionplacement"
	"github.com/cresspond/cresspond/process/workerid/snowflake"
	"github.com/cresspond/cresspond/request/dispatch"
	"github.com/cresspond/cresspond/request/relay"
	"github.com/cresspond/cresspond/wire/callerapi"
	"github.com/cresspond/cresspond/wire/engineapi"
	"github.com/cresspond/cresspond/wire/peerapi"
)

const (
	// stallLimit is how long the next piece of a stream is waited for.
	stallLimit = 8 * time.Second
	// runOver is how long a stream that began in time may go on past its deadline.
	runOver = 15 * time.Second
	// enoughTime is how much time a go must have had for its failure to count against the engine.
	enoughTime = 2 * time.Second
	// seatLimit bounds the question to a session's home; a daemon that gets no answer decides alone.
	seatLimit = 300 * time.Millisecond
)

// Ready says whether this daemon takes new work, and if not, why.
func (d *Daemon) Ready() (bool, string) {
	if d.draining.Load() {
		return false, "it is stopping"
	}
	if ready, why := d.members.Ready(); !ready {
		return false, why
	}
	if d.config.Serves(daemonconfig.Route) && d.config.Platform != "" && d.watcher.View().ListRead == 0 {
		return false, "the platform's list of engines has not been read yet"
	}
	return true, ""
}

// World is what the request path may look at now.
func (d *Daemon) World() dispatch.World {
	_, notReady := d.members.Ready()
	return dispatch.World{
		Lacks: d.lacksNow(),
		Now:   d.clock.Elapsed(), Table: d.keeper.Table(), Engines: d.watcher.View(), NotReady: notReady, Mint: d.generator.Mint,
		Zone: d.config.Zone, ShareAssignments: true, Admission: true,
	}
}

// lacksFresh is for how long the planner's word on what it will not load is believed.
const lacksFresh = 1500 * time.Millisecond

// lacksNow is what will not be loaded soon, by the newest word of whoever plans.
func (d *Daemon) lacksNow() map[dispatch.Wanted]time.Duration {
	if d.Plans() {
		out := map[dispatch.Wanted]time.Duration{}
		for _, lack := range d.placer.Condition().Lacks {
			out[dispatch.Wanted{Model: lack.Model, Adapter: lack.Adapter}] = lack.Wait
		}
		return out
	}
	if heard := d.lacks.Load(); heard != nil && d.clock.Elapsed().Since(heard.heard) < lacksFresh {
		return heard.waits
	}
	return nil
}

// lastLook is the last check before the first byte: what it reads is what is in force at that moment.
func (d *Daemon) lastLook(flight *dispatch.Call, send dispatch.Send) string {
	t := d.keeper.Table()
	engine := d.watcher.View().Engines[send.Engine]
	switch {
	case t == nil || !t.Allows(flight.Request.Route, flight.Request.Model, flight.Request.Adapter):
		return "the spec in force no longer allows this"
	case !t.Open(send.Engine):
		return "the engine's zone is closed, or it is being drained"
	case engine == nil || engine.Address != send.Address || !engine.Usable():
		return "the engine is leaving or not sound"
	case d.clock.Elapsed() >= send.Deadline:
		return "the deadline has passed"
	case send.Stamped && !d.generator.Held():
		return "the worker id has lapsed"
	case flight.Context().Err() != nil:
		return "the caller has left"
	}
	if ready, why := d.members.Ready(); !ready {
		return why
	}
	return ""
}

// errBroken makes the connection end without its last chunk.
var errBroken = errors.New("the answer is not whole")

// Carry runs one go to its end.
func (d *Daemon) Carry(flight *dispatch.Call, send dispatch.Send, firstPiece func()) (dispatch.AttemptOutcome, string) {
	giveBack, granted := d.askPermit(flight, send)
	if !granted {
		return dispatch.Withdrawn, "no slot of the engine is free"
	}
	refused := false
	defer func() { giveBack(refused) }()
	// The homes are asked while the engine is dialled; the first byte waits for both.
	claimed := make(chan deduplication.Decision, 1)
	go func() {
		claimed <- d.askHomes(d.askFor(deduplication.Claim, flight.ID, flight.Request, flight.Arrived))
	}()
	var claim deduplication.Decision
	departed := false
	left := send.Deadline.Since(d.clock.Elapsed())
	began := false
	result := enginestream.Carry(flight.Context(), enginestream.Go{
		Address: send.Address, Attempt: flight.Request.Attempt,
		Work: engineapi.Generate{Model: flight.Request.Model, Adapter: flight.Request.Adapter, Prefix: flight.Request.Prefix,
			Prompt: flight.Prompt, Session: flight.Request.Session, DeadlineMs: max(1, left.Milliseconds())},
		MayLeave: func() string {
			claim = <-claimed
			reason := ""
			if !mayGo(claim, flight.Request.Repeatable) {
				reason = "this attempt may be another daemon's"
			} else if reason = d.lastLook(flight, send); reason != "" {
				d.counters.lastLookStops.Add(1)
			}
			departed = reason == ""
			return reason
		},
		Piece: func(line []byte) bool {
			if !began {
				began = true
				firstPiece()
			}
			return flight.Piece(line)
		},
		FirstLimit: max(left, time.Millisecond), StallLimit: d.stallLimit, Limit: left + d.runOver,
	})
	if outcome, reason := d.afterClaim(flight, result.Outcome, claim, claimed, departed); outcome != result.Outcome {
		return outcome, reason
	}
	bytes := uint64(result.Sent + result.Received)
	if send.Zone == d.config.Zone {
		d.counters.bytesOwnZone.Add(bytes)
	} else {
		d.counters.bytesOtherZone.Add(bytes)
	}
	refused = result.Outcome == dispatch.EngineRefused || result.Outcome == dispatch.NeverSent
	switch result.Outcome {
	case dispatch.Whole:
		d.watcher.GoWent(send.Engine, true)
	case dispatch.Lost, dispatch.NeverSent, dispatch.Cut:
		// One that began late and ran into its own deadline says nothing against the engine.
		if d.clock.Elapsed() < send.Deadline || left >= enoughTime {
			d.watcher.GoWent(send.Engine, false)
		}
	}
	if result.Junk {
		d.counters.junkEngines.Add(1)
		d.watcher.SetAside(send.Engine)
	}
	if began {
		switch result.Outcome {
		case dispatch.Whole:
			flight.Finish(nil, nil)
		default:
			last := relay.Line(callerapi.Piece{Attempt: flight.Request.Attempt, N: result.Pieces, Outcome: callerapi.BrokenOff, Reason: result.Reason})
			flight.Finish(last, errBroken)
		}
	}
	return result.Outcome, result.Reason
}

// mayGo says whether a go may leave on what the homes said. Where they can't be asked, only the caller's
// own word that the work may run twice lets it go.
func mayGo(claim deduplication.Decision, repeatable bool) bool {
	return claim == deduplication.May || claim == deduplication.Doubt && repeatable
}

// afterClaim frees the claim of a go that provably never ran, so that the same attempt may come again
// anywhere, and says what becomes of one that the homes held back.
func (d *Daemon) afterClaim(flight *dispatch.Call, outcome dispatch.AttemptOutcome, claim deduplication.Decision, claimed <-chan deduplication.Decision, departed bool) (dispatch.AttemptOutcome, string) {
	if departed && outcome != dispatch.EngineRefused {
		return outcome, ""
	}
	if claim == "" {
		// The engine could not even be dialled; the claim may be on its way still.
		claim = <-claimed
	}
	if mayGo(claim, flight.Request.Repeatable) || claim == deduplication.Doubt {
		d.askHomes(d.askFor(deduplication.Free, flight.ID, flight.Request, flight.Arrived))
	}
	switch claim {
	case deduplication.Replay:
		return dispatch.KnownElsewhere, "this attempt id is known to another daemon and is not run again"
	case deduplication.Other:
		return dispatch.KnownElsewhere, "this attempt id stands for another request"
	case deduplication.Refused:
		return dispatch.RefusedElsewhere, "another daemon refused this attempt meanwhile"
	case deduplication.Doubt:
		if !flight.Request.Repeatable {
			return dispatch.Doubted, "whether this attempt has run through another daemon cannot be told now"
		}
	}
	return outcome, ""
}

// fellowsFor lists, in order, the addresses of daemons heard within the window that fit and are not stopping.
func (d *Daemon) fellowsFor(window time.Duration, fits func(membership.Fellow) bool) []string {
	var addresses []string
	for _, fellow := range d.members.View().InContact(d.clock.Elapsed(), window) {
		if fellow.Ready && fits(fellow) {
			addresses = append(addresses, fellow.Address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// keeperOf is the address of the daemon that keeps an engine's slots.
func (d *Daemon) keeperOf(engine ident.EngineID) string {
	routers := d.fellowsFor(keeperWindow, func(f membership.Fellow) bool { return f.Serves(string(daemonconfig.Route)) })
	keeper, _ := affinity.Owners("engine "+string(engine), routers)
	return keeper
}

const (
	// keeperWindow is how lately a daemon must have been heard to keep slots.
	keeperWindow = 1500 * time.Millisecond
	// permitWait is how long a bid waits at the keeper before it is weighed anew here.
	permitWait  = 150 * time.Millisecond
	permitLimit = 400 * time.Millisecond
	slotSettles = 10 * time.Millisecond
)

// askPermit asks the engine's keeper for a slot. A keeper that can't be reached must not hold up the go:
// the engine's own refusal then bounds what it gets.
func (d *Daemon) askPermit(flight *dispatch.Call, send dispatch.Send) (giveBack func(refused bool), granted bool) {
	keeper := d.keeperOf(send.Engine)
	request := &peerapi.PermitRequest{Engine: string(send.Engine), Id: string(d.nodeID) + "/" + strconv.FormatUint(d.permitIDs.Add(1), 10),
		NodeId: string(d.nodeID), HasAssignment: send.Assigned, Value: send.Worth, Rank: int64(send.Rank), Tenant: send.Tenant}
	client := peerapi.Fellow(d)
	if keeper != "" && keeper != d.config.ReachedAt() {
		client = d.links.To(keeper)
	}
	ctx, cancel := context.WithTimeout(flight.Context(), permitLimit)
	defer cancel()
	reply, err := client.Permit(ctx, request)
	if err != nil {
		d.counters.permitsUnasked.Add(1)
		return func(bool) {}, flight.Context().Err() == nil
	}
	if !reply.Granted {
		return nil, false
	}
	return func(refused bool) {
		// An engine frees a slot a moment after its last byte, so the slot is not given on at once.
		time.AfterFunc(slotSettles, func() {
			ctx, cancel := context.WithTimeout(context.Background(), permitLimit)
			defer cancel()
			// A keeper that misses this hears it from the daemon's silence, or takes the slot back in time.
			_, _ = client.Permit(ctx, &peerapi.PermitRequest{Engine: request.Engine, Id: request.Id, Release: true, Refused: refused})
		})
	}, true
}

// Permit serves bids for the slots of engines kept here.
func (d *Daemon) Permit(ctx context.Context, in *peerapi.PermitRequest) (*peerapi.PermitReply, error) {
	if in.Engine == "" || in.Id == "" {
		return nil, twirp.NewError(twirp.InvalidArgument, "a permit is for an engine, and has an id")
	}
	if !d.config.Serves(daemonconfig.Route) {
		return nil, twirp.NewError(twirp.FailedPrecondition, "this daemon keeps no slots")
	}
	if in.Release {
		d.slots.Release(ident.EngineID(in.Engine), in.Id, in.Refused)
		return &peerapi.PermitReply{}, nil
	}
	granted := d.slots.Ask(ctx, admission.Ask{ID: in.Id, Node: ident.NodeID(in.NodeId), Engine: ident.EngineID(in.Engine),
		Bid: priority.Bid{Assigned: in.HasAssignment, Worth: in.Value, Rank: int(in.Rank), Tenant: in.Tenant}, Until: d.clock.Elapsed() + clock.Mark(permitWait)})
	return &peerapi.PermitReply{Granted: granted}, nil
}

// yard is what the keeper of slots may look at.
func (d *Daemon) yard() admission.View {
	now, t, view := d.clock.Elapsed(), d.keeper.Table(), d.watcher.View()
	return admission.View{
		Now: now,
		Capacity: func(id ident.EngineID) int {
			engine, known := view.Engines[id]
			if t == nil || !known || !engine.Usable() {
				return 0
			}
			allowed, _ := t.Engine(id)
			return engine.Capacity(now, allowed.Slots)
		},
		Busy: func(id ident.EngineID) int {
			if engine, known := view.Engines[id]; known {
				return engine.Report.Busy
			}
			return 0
		},
		Asked: func(id ident.EngineID) clock.Mark {
			if engine, known := view.Engines[id]; known {
				return engine.Asked
			}
			return 0
		},
		Alive: func(node ident.NodeID) bool {
			fellow, known := d.members.View().Fellows[node]
			return node == d.nodeID || known && now.Since(fellow.Heard) < 3*time.Second
		},
	}
}

// seatHomes are the addresses of the two daemons that keep a session's seat.
// Any daemon can be a home, whatever it serves, so that the restart of a lone routing daemon loses none.
func (d *Daemon) seatHomes(session string) (first, second string) {
	// A daemon that is stopping hands its seats over, and takes no more.
	return affinity.Owners(session, d.fellowsFor(3*time.Second, func(membership.Fellow) bool { return true }))
}

// rehomeSeats gives the seats whose home this daemon was to the homes that have come to be.
func (d *Daemon) rehomeSeats(ctx context.Context, before, after map[string]ident.NodeID) {
	self := d.config.ReachedAt()
	oldAddresses, newAddresses := addressesOf(before), addressesOf(after)
	unreached := map[string]bool{}
	for session, engine := range d.home.All() {
		oldFirst, oldSecond := affinity.Owners(session, oldAddresses)
		if ctx.Err() != nil || oldFirst != self && oldSecond != self {
			continue
		}
		for _, home := range newcomers(session, before, after, oldAddresses, newAddresses) {
			if home != self && !unreached[home] {
				unreached[home] = d.seatAt(home, &peerapi.SeatRequest{Session: session, Engine: string(engine)}) == nil
			}
		}
	}
}

// newcomers lists the homes that something has now, and did not have before in the same life.
func newcomers(key string, before, after map[string]ident.NodeID, oldAddresses, newAddresses []string) []string {
	oldFirst, oldSecond := affinity.Owners(key, oldAddresses)
	newFirst, newSecond := affinity.Owners(key, newAddresses)
	var out []string
	for _, home := range []string{newFirst, newSecond} {
		if home != "" && ((home != oldFirst && home != oldSecond) || before[home] != after[home]) {
			out = append(out, home)
		}
	}
	return out
}

// seatAt asks one home; nil means that it can't be reached.
func (d *Daemon) seatAt(home string, request *peerapi.SeatRequest) *peerapi.SeatReply {
	if home == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), seatLimit)
	defer cancel()
	ask := d.links.To(home).Seat
	if home == d.config.ReachedAt() {
		ask = d.Seat
	}
	reply, err := ask(ctx, request)
	if err != nil {
		return nil
	}
	return reply
}

// routing is the daemon as the dispatch actor sees it.
type routing struct{ *Daemon }

// Assignment asks for a session's seat, and remembers it here too, so that it outlives its homes.
func (r routing) Assignment(ask dispatch.AskAssignment) (ident.EngineID, bool) {
	engine, found := r.seatOf(ask)
	if found {
		r.home.Note(r.clock.Elapsed(), ask.Session, engine)
	}
	return engine, found
}

// seatOf asks a session's homes. The first decides; the second keeps a copy, and knows better where the
// first is gone or has just come back with nothing. Where neither knew of it, and daemons were lost
// lately, all are asked.
func (r routing) seatOf(ask dispatch.AskAssignment) (ident.EngineID, bool) {
	if ask.Engine != "" && ask.Replaces == "" && r.lostLately() {
		if engine, known := r.askAllForSeat(ask.Session); known {
			ask.Engine = engine
		}
	}
	first, second := r.seatHomes(ask.Session)
	request := &peerapi.SeatRequest{Session: ask.Session, Model: ask.Model, Adapter: ask.Adapter, Engine: string(ask.Engine), Replaces: string(ask.Replaces)}
	decided := r.seatAt(first, request)
	if decided != nil && (!decided.Found || !decided.Fresh) {
		return ident.EngineID(decided.Engine), decided.Found
	}
	copied := r.seatAt(second, request)
	switch {
	case copied == nil && decided == nil:
		// Homes that can't be reached must not hold up the session: the wish stands.
		return ask.Engine, ask.Engine != ""
	case copied == nil:
		return ident.EngineID(decided.Engine), true
	case decided != nil && !copied.Fresh && copied.Found && copied.Engine != decided.Engine:
		// The first home had forgotten, so it is told what the second one knows.
		r.seatAt(first, &peerapi.SeatRequest{Session: ask.Session, Engine: copied.Engine, Replaces: decided.Engine})
	}
	return ident.EngineID(copied.Engine), copied.Found
}

// lostLately says whether daemons were lost or have begun anew so lately that seats may have gone with them.
func (d *Daemon) lostLately() bool {
	now := d.clock.Elapsed()
	for _, fellow := range d.members.View().Fellows {
		silent := now.Since(fellow.Heard)
		if fellow.Ready && (silent > keeperWindow && silent <= sightWindow+doubtSpan || now.Since(fellow.Met) < doubtSpan) {
			return true
		}
	}
	return false
}

// askAllForSeat asks every daemon in sight for a session's seat; the one used last counts.
func (d *Daemon) askAllForSeat(session string) (ident.EngineID, bool) {
	asked := addressesOf(d.homeLives())
	replies := make(chan *peerapi.SeatReply, len(asked))
	for _, address := range asked {
		go func() { replies <- d.seatAt(address, &peerapi.SeatRequest{Session: session}) }()
	}
	var newest *peerapi.SeatReply
	for range asked {
		if reply := <-replies; reply != nil && reply.Found && (newest == nil || reply.UsedMsAgo < newest.UsedMsAgo) {
			newest = reply
		}
	}
	if newest == nil {
		return "", false
	}
	return ident.EngineID(newest.Engine), true
}

// EndAssignment tells a session's homes that it has ended.
func (r routing) EndAssignment(session string) {
	first, second := r.seatHomes(session)
	// A home that misses this forgets the seat when it has been idle long enough.
	for _, home := range []string{first, second} {
		r.seatAt(home, &peerapi.SeatRequest{Session: session, Ended: true})
	}
}

// planning is the daemon as the placement actor sees it.
type planning struct{ *Daemon }

// Input gathers what the plan looks at.
func (p planning) Input() sessionplacement.Input {
	now := p.clock.Elapsed()
	in := sessionplacement.Input{Now: now, Table: p.keeper.Table(), Engines: p.watcher.View()}
	if p.config.Serves(daemonconfig.Route) {
		snapshot := p.dispatch.Snapshot()
		for _, demand := range snapshot.Demands {
			in.Demand = append(in.Demand, sessionplacement.Demand(demand))
		}
		for _, seat := range snapshot.Seats {
			in.Assignments = append(in.Assignments, sessionplacement.Assignments(seat))
		}
	}
	p.fleetMutex.Lock()
	defer p.fleetMutex.Unlock()
	for node, heard := range p.fleetWants {
		// Demand goes stale soon; seats are believed for longer, so a daemon cut off keeps them.
		if now.Since(heard.At) > wantsKept {
			delete(p.fleetWants, node)
			continue
		}
		if now.Since(heard.At) < demandFresh {
			heard.Each(now, func(demand *peerapi.Demand, _ time.Duration, _ float64) {
				if demand.Pool == "" {
					in.Demand = append(in.Demand, sessionplacement.Demand{Model: demand.Model, Adapter: demand.Adapter, Worth: demand.Value, Queued: int(demand.Queued), Running: int(demand.Running)})
				}
			})
		}
		for _, seat := range heard.Seats {
			in.Assignments = append(in.Assignments, sessionplacement.Assignments{Engine: ident.EngineID(seat.Engine), Model: seat.Model, Adapter: seat.Adapter, Sessions: int(seat.Sessions)})
		}
	}
	return in
}

const (
	wantsKept   = 10 * time.Second
	demandFresh = 2 * time.Second
)

// Claim asks the group for the claim.
func (p planning) Claim(ctx context.Context, orders map[ident.EngineID]uint64, turn uint64) (*statemachine.Claim, bool) {
	answer, ok := p.submitOnce(ctx, statemachine.Command{Op: statemachine.OpClaim, NodeID: p.nodeID, Orders: orders, OrdersTurn: turn, Above: p.heardClaim()})
	if !ok || answer.Verdict != statemachine.Done || answer.Claim == nil {
		return nil, false
	}
	return answer.Claim, true
}

// Mint stamps an order.
func (p planning) Mint() (ident.MintedID, snowflake.Outcome) { return p.generator.Mint() }

// Order sends an order.
func (p planning) Order(ctx context.Context, address string, order engineapi.Order, limit time.Duration, mayLeave func() bool) (*engineapi.OrderAnswer, bool) {
	return enginestream.Order(ctx, address, order, limit, func() bool { return mayLeave() && p.generator.Held() })
}

// MayStand says whether this daemon should try to plan.
func (p planning) MayStand() bool {
	ready, _ := p.Ready()
	// A bundle without engines of the platform's list leaves nothing to plan for sessions.
	t := p.keeper.Table()
	return ready && p.generator.Held() && (p.pools == nil || t != nil && len(t.Spec.Engines) > 0)
}
