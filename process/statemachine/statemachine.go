// Package statemachine is the whole replicated state of the group. Apply is its only writer,
// and every command carries the group's time as the leader stamped it, so all members agree.
package statemachine

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cresspond/cresspond/process/ident"
	"github.com/cresspond/cresspond/process/workerid"
)

// Op names a command.
type Op string

const (
	// OpAcquire asks for a lease on a worker id.
	OpAcquire Op = "ACQUIRE"
	// OpRenew extends a lease on a worker id.
	OpRenew Op = "RENEW"
	// OpRelease ends a lease on a worker id.
	OpRelease Op = "RELEASE"
	// OpReclaim ends lapsed tenures; the leader's expiry check proposes it.
	OpReclaim Op = "RECLAIM"
	// OpPropose hands in a bundle.
	OpPropose Op = "PROPOSE"
	// OpReview notes a review of a proposal.
	OpReview Op = "REVIEW"
	// OpSign notes a sign-off of a reviewed proposal.
	OpSign Op = "SIGN"
	// OpRoll puts a signed proposal in force.
	OpRoll Op = "ROLL"
	// OpClosure closes or opens a zone, or drains an engine or takes it up again.
	OpClosure Op = "CLOSURE"
	// OpKeep has an operator forbid, or allow again, that the ranking shuts an engine.
	OpKeep Op = "KEEP"
	// OpClaim asks for the claim to order engines, or renews it.
	OpClaim Op = "CLAIM"
	// OpDropClaim gives the claim back.
	OpDropClaim Op = "DROP-CLAIM"
	// OpEnlist says that a life of a daemon is about to serve.
	OpEnlist Op = "ENLIST"
	// OpLost is an operator's word that a daemon will never serve again.
	OpLost Op = "LOST"
	// OpLeave says that an engine that registered itself is about to end, or has.
	OpLeave Op = "LEAVE"
	// OpApply puts a bundle in force in one step, on the revision it builds on.
	OpApply Op = "APPLY"
)

// Spreads says whether a command changes what must be in force everywhere.
func (op Op) Spreads() bool {
	return op == OpRoll || op == OpClosure || op == OpKeep || op == OpLost || op == OpApply
}

// Command is the form of an entry in the log.
type Command struct {
	Op Op `json:"op"`
	// At is the group's time, stamped by the leader; whatever a sender wrote there is replaced.
	At       ident.GroupTime `json:"at"`
	NodeID   ident.NodeID    `json:"nodeId,omitempty"`
	WorkerID ident.WorkerID  `json:"workerId,omitempty"`
	// Last is the last timestamp minted, handed in with RELEASE.
	Last ident.GroupTime `json:"last,omitempty"`
	// SpanMs is how long a tenure or a claim lasts, stamped by the leader from its config.
	SpanMs int64 `json:"spanMs,omitempty"`

	ProposalID string      `json:"proposalId,omitempty"`
	Base       ident.Epoch `json:"base,omitempty"`
	Operator   string      `json:"operator,omitempty"`
	Note       string      `json:"note,omitempty"`
	Spec       []byte      `json:"spec,omitempty"`
	// Packed says that Spec is compressed. Revision is the operator's own number of the bundle, BaseRevision
	// the one it builds on, and Digest tells one operator's call from all others.
	Packed       bool           `json:"packed,omitempty"`
	Revision     ident.Revision `json:"revision,omitempty"`
	BaseRevision ident.Revision `json:"baseRevision,omitempty"`
	Digest       string         `json:"digest,omitempty"`

	Zone   ident.ZoneID   `json:"zone,omitempty"`
	Engine ident.EngineID `json:"engine,omitempty"`
	Closed bool           `json:"closed,omitempty"`
	// Based says that a closure names in Base the closure epoch it builds on; earlier builds did not.
	Based bool `json:"based,omitempty"`
	// Ranking is, with CLOSURE, the word of whoever plans that it ranks the engine so; no operator's closure has it.
	Ranking *RankingMark `json:"ranking,omitempty"`
	// Address is where a daemon that enlists is reached, Lost which one is declared lost.
	Address string       `json:"address,omitempty"`
	Lost    ident.NodeID `json:"lost,omitempty"`

	// GapMs is the quiet time between one claim's end and the next claim, stamped by the leader.
	GapMs int64 `json:"gapMs,omitempty"`
	// Orders is, with CLAIM, the call-seq each engine must show before its reports tell of all orders given.
	Orders map[ident.EngineID]uint64 `json:"orders,omitempty"`
	// OrdersTurn numbers the tellings of one claim, so that one that comes late changes nothing.
	OrdersTurn uint64 `json:"ordersTurn,omitempty"`
	// Told is, with CLAIM, what the planner of pools is about to order; Whole asks for all that was told before.
	Told *Told `json:"told,omitempty"`
	// TellsAll is, with CLAIM, the asker's word that it tells of every order before the order leaves.
	TellsAll bool `json:"tellsAll,omitempty"`
	Whole    bool `json:"whole,omitempty"`
	// Resume is, with CLAIM, the asker's word that it goes on where it stood, if its claim lapsed and nobody got another.
	Resume bool `json:"resume,omitempty"`
	// Above is, with CLAIM, the highest claim number that the asker has heard of; a fresh claim is above it.
	Above ident.ClaimNumber `json:"above,omitempty"`
}

// Told is what a planner of pools tells the group before its orders leave.
type Told struct {
	// Orders is, by engine, how many orders it must show to have taken before its reports tell of these.
	Orders map[ident.EngineID]uint64 `json:"orders,omitempty"`
	// Loads is how many of the orders may fetch weights from the store.
	Loads int `json:"loads,omitempty"`
	// KeepMs is for how long a load counts, and an order may be missing from reports.
	KeepMs int64 `json:"keepMs,omitempty"`
}

// History is what the planners of pools have told: it goes on from claim to claim.
type History struct {
	// Since is when the first of it was told: of what was before nothing is known.
	Since  ident.GroupTime              `json:"since"`
	Orders map[ident.EngineID]ToldOrder `json:"orders,omitempty"`
	Loads  []ToldLoads                  `json:"loads,omitempty"`
}

// ToldOrder is the newest order told of for one engine.
type ToldOrder struct {
	Taken uint64          `json:"taken"`
	At    ident.GroupTime `json:"at"`
}

// ToldLoads is a number of loads told of at one moment.
type ToldLoads struct {
	At    ident.GroupTime `json:"at"`
	Count int             `json:"count"`
}

// Verdict is the outcome of a command.
type Verdict string

const (
	// Done: the command took effect, now or when it was first sent.
	Done Verdict = "done"
	// Conflict: it builds on something that is no longer current.
	Conflict Verdict = "conflict"
	// Forbidden: this operator may not do it.
	Forbidden Verdict = "forbidden"
	// Missing: what it names does not exist.
	Missing Verdict = "missing"
	// Waiting: it can't take effect yet.
	Waiting Verdict = "waiting"
	// Mismatch: the sender does not hold what it names.
	Mismatch Verdict = "mismatch"
	// Exhausted: nothing is left to give.
	Exhausted Verdict = "exhausted"
	// Malformed: it can't be read, or a field is wrong.
	Malformed Verdict = "malformed"
)

// Stage is how far a proposal has come.
type Stage string

const (
	// Proposed: handed in, not reviewed yet.
	Proposed Stage = "proposed"
	// Reviewed: reviewed, not signed off yet.
	Reviewed Stage = "reviewed"
	// Signed: signed off, not in force yet.
	Signed Stage = "signed"
	// Rolled: it came in force as an epoch.
	Rolled Stage = "rolled"
	// Lost: another proposal on the same base came in force first.
	Lost Stage = "lost"
)

// Mark is one operator's act on a proposal.
type Mark struct {
	Operator string          `json:"operator"`
	At       ident.GroupTime `json:"at"`
	Note     string          `json:"note,omitempty"`
}

// Proposal is one bundle on its way to being in force.
type Proposal struct {
	ID       string      `json:"proposalId"`
	Base     ident.Epoch `json:"base"`
	Stage    Stage       `json:"stage"`
	Proposed Mark        `json:"proposed"`
	Reviews  []Mark      `json:"reviews,omitempty"`
	Signs    []Mark      `json:"signs,omitempty"`
	Rolled   *Mark       `json:"rolled,omitempty"`
	Epoch    ident.Epoch `json:"epoch,omitempty"`
	Spec     []byte      `json:"spec,omitempty"`
	// Packed says that Spec is compressed; Bundle gives it back.
	Packed   bool           `json:"packed,omitempty"`
	Revision ident.Revision `json:"revision,omitempty"`
	// Applied says that it came in force in one step, by an operator alone.
	Applied bool `json:"applied,omitempty"`
}

// Closures is which zones are shut and which engines an operator is draining.
type Closures struct {
	Epoch   ident.Epoch                    `json:"epoch"`
	Zones   map[ident.ZoneID]ClosureMark   `json:"zones"`
	Engines map[ident.EngineID]ClosureMark `json:"engines"`
	// Kept lists the engines that the ranking may not shut.
	Kept map[ident.EngineID]ClosureMark `json:"kept,omitempty"`
	// Lost lists the lives of daemons that an operator declared lost: one that hears of itself here stops.
	Lost map[ident.NodeID]ClosureMark `json:"lost,omitempty"`
}

// ClosureAct is one closure or opening, so that one sent again finds itself.
type ClosureAct struct {
	Epoch    ident.Epoch    `json:"epoch"`
	Operator string         `json:"operator"`
	Zone     ident.ZoneID   `json:"zone,omitempty"`
	Engine   ident.EngineID `json:"engine,omitempty"`
	Closed   bool           `json:"closed"`
}

// mostActs is how many closures and openings are remembered, mostLost how many lost daemons.
const (
	mostActs = 64
	mostLost = 64
)

// Serving is one life of a daemon that may be serving.
type Serving struct {
	Address string          `json:"address"`
	Since   ident.GroupTime `json:"since"`
}

// ClosureMark says who closed what, and when.
type ClosureMark struct {
	Operator string          `json:"operator"`
	At       ident.GroupTime `json:"at"`
	Epoch    ident.Epoch     `json:"epoch"`
	// Ranking is there where the ranking closed it.
	Ranking *RankingMark `json:"ranking,omitempty"`
}

// RankingMark says under which claim an engine was ranked, by which stamped record, and why.
type RankingMark struct {
	Claim  ident.ClaimNumber `json:"claim"`
	Stamp  ident.MintedID    `json:"stamp"`
	Reason string            `json:"reason,omitempty"`
}

// Claim is the right to plan and to command engines.
type Claim struct {
	Number ident.ClaimNumber `json:"number"`
	NodeID ident.NodeID      `json:"nodeId"`
	Until  ident.GroupTime   `json:"until"`
	Now    ident.GroupTime   `json:"now"`
	// Orders is the call-seq each engine must show before its reports tell of all orders given under this
	// claim and those before: its holder says so before each order leaves.
	Orders     map[ident.EngineID]uint64 `json:"orders,omitempty"`
	OrdersTurn uint64                    `json:"ordersTurn,omitempty"`
	// Pools is what the planners of pools told; a result has it where it was asked for.
	Pools *History `json:"pools,omitempty"`
	// TellsAll says that the holder tells of every order before it leaves, Ordered when it last did.
	TellsAll bool            `json:"tellsAll,omitempty"`
	Ordered  ident.GroupTime `json:"ordered,omitempty"`
}

// FreeAt is when a successor may have the claim, with this quiet time between the orders of two holders.
// Where every order was told of, the quiet time counts from the newest and may have passed already when the
// claim lapses; else any order may have left at the claim's very end.
func (c Claim) FreeAt(gap time.Duration) ident.GroupTime {
	if c.TellsAll {
		return max(c.Until, c.Ordered.Add(gap))
	}
	return c.Until.Add(gap)
}

// Result is what a command gives back.
type Result struct {
	Verdict  Verdict         `json:"verdict"`
	Reason   string          `json:"reason,omitempty"`
	Grant    *workerid.Grant `json:"grant,omitempty"`
	Proposal *Proposal       `json:"proposal,omitempty"`
	Closures *Closures       `json:"closures,omitempty"`
	Claim    *Claim          `json:"claim,omitempty"`
	// Epoch is the spec epoch in force after the command, Revision the operators' own number of it.
	Epoch    ident.Epoch    `json:"epoch,omitempty"`
	Revision ident.Revision `json:"revision,omitempty"`
	// Winner names the proposal that was rolled on the base a loser built on.
	Winner string `json:"winner,omitempty"`
}

// State is the replicated state.
type State struct {
	Now       ident.GroupTime      `json:"now"`
	Workers   *workerid.Table      `json:"workers"`
	Proposals map[string]*Proposal `json:"proposals"`
	// History lists the proposals in force, by epoch, from 1.
	History []string `json:"history"`
	// Revision is the operators' own number of the bundle in force: it rises with each bundle.
	Revision ident.Revision `json:"revision,omitempty"`
	// Refused lists the newest orders to apply a bundle that named a base above the revision in force.
	Refused  []string `json:"refused,omitempty"`
	Closures Closures `json:"closures"`
	// Acts lists the newest closures and openings.
	Acts  []ClosureAct `json:"acts,omitempty"`
	Claim Claim        `json:"claim"`
	// Serving holds every daemon that may be serving: it has enlisted, and has neither stopped as planned,
	// nor been followed by another life of its name, nor been declared lost.
	Serving map[ident.NodeID]Serving `json:"serving,omitempty"`
	// Left lists the engines that said they leave, the newest last; Leaves counts all there ever were.
	Left   []Left `json:"left,omitempty"`
	Leaves uint64 `json:"leaves,omitempty"`
}

// Left is one engine that said it leaves.
type Left struct {
	Engine ident.EngineID  `json:"engine"`
	At     ident.GroupTime `json:"at"`
}

// mostLeft is how many engines that left are remembered: an engine's id is new with each start, so one that
// left long ago is not spoken of any more.
const mostLeft = 4096

// New makes the state before the first entry.
func New() *State {
	return &State{
		Workers:   workerid.New(),
		Proposals: map[string]*Proposal{},
		Closures:  Closures{Zones: map[ident.ZoneID]ClosureMark{}, Engines: map[ident.EngineID]ClosureMark{}},
		Serving:   map[ident.NodeID]Serving{},
	}
}

// Snapshot gives the form that is kept on disk and sent to members who lag.
func (s *State) Snapshot() []byte {
	data, err := json.Marshal(s)
	if err != nil {
		panic("broken invariant: the replicated state cannot be encoded: " + err.Error())
	}
	return data
}

// Restore reads a snapshot.
func Restore(data []byte) (*State, error) {
	s := New()
	if len(data) == 0 {
		return s, nil
	}
	if err := json.Unmarshal(data, s); err != nil {
		return nil, err
	}
	s.Workers.Rebuild()
	if s.Revision == 0 {
		// Earlier builds counted no revisions, and each bundle that they put in force would have made one.
		s.Revision = ident.Revision(s.Epoch())
	}
	return s, nil
}

// Epoch is the spec epoch in force; zero before the first roll.
func (s *State) Epoch() ident.Epoch { return ident.Epoch(len(s.History)) }

// InForce gives the proposal that is in force.
func (s *State) InForce() (*Proposal, bool) { return s.At(s.Epoch()) }

// At gives the proposal that was put in force with this epoch.
func (s *State) At(epoch ident.Epoch) (*Proposal, bool) {
	if epoch == 0 || int(epoch) > len(s.History) {
		return nil, false
	}
	found := s.Proposals[s.History[epoch-1]]
	return found, found != nil
}

// Apply takes one committed command.
func (s *State) Apply(data []byte) Result {
	var command Command
	if err := json.Unmarshal(data, &command); err != nil {
		return Result{Verdict: Malformed, Reason: err.Error()}
	}
	// The group's time never goes back, whatever a leader stamped.
	s.Now = max(s.Now, command.At)
	result := s.apply(command)
	result.Epoch, result.Revision = s.Epoch(), s.Revision
	return result
}

func (s *State) apply(c Command) Result {
	span := time.Duration(c.SpanMs) * time.Millisecond
	switch c.Op {
	case OpAcquire:
		return grantResult(s.Workers.Acquire(c.NodeID, s.Now, span))
	case OpRenew:
		return grantResult(s.Workers.Renew(c.NodeID, c.WorkerID, s.Now, span))
	case OpRelease:
		// Whoever lets go of its worker id has stopped serving.
		delete(s.Serving, c.NodeID)
		if s.Workers.Release(c.NodeID, c.WorkerID, c.Last) == workerid.Mismatch {
			return Result{Verdict: Mismatch}
		}
		return Result{Verdict: Done}
	case OpReclaim:
		s.Workers.Reclaim(s.Now)
		return Result{Verdict: Done}
	case OpPropose:
		return s.propose(c)
	case OpReview, OpSign:
		return s.mark(c)
	case OpRoll:
		return s.roll(c)
	case OpApply:
		return s.applyBundle(c)
	case OpClosure:
		return s.close(c)
	case OpKeep:
		return s.keep(c)
	case OpEnlist:
		return s.enlist(c)
	case OpLost:
		return s.lose(c)
	case OpLeave:
		return s.leave(c)
	case OpClaim:
		return s.claim(c)
	case OpDropClaim:
		if s.Claim.NodeID == c.NodeID && s.Claim.Until > s.Now {
			s.Claim.Until = s.Now
		}
		if s.Claim.NodeID == c.NodeID {
			// It let go for good, so a late word of it must not take the claim up again.
			s.Claim.NodeID = ""
		}
		return Result{Verdict: Done}
	}
	return Result{Verdict: Malformed, Reason: "unknown op " + string(c.Op)}
}

func grantResult(grant workerid.Grant, verdict workerid.Outcome) Result {
	switch verdict {
	case workerid.Granted:
		return Result{Verdict: Done, Grant: &grant}
	case workerid.Exhausted:
		return Result{Verdict: Exhausted, Reason: "no worker id is free"}
	}
	return Result{Verdict: Mismatch, Reason: "no such tenure"}
}

func (s *State) propose(c Command) Result {
	if known := s.Proposals[c.ProposalID]; known != nil {
		// The same proposal sent again finds itself, so a lost answer can be asked for anew.
		if known.Base == c.Base && known.Proposed.Operator == c.Operator && slices.Equal(known.Spec, c.Spec) {
			return Result{Verdict: Done, Proposal: known.brief()}
		}
		return Result{Verdict: Conflict, Reason: "this proposal id stands for another bundle", Proposal: known.brief()}
	}
	if reserved(c.ProposalID) {
		return Result{Verdict: Malformed, Reason: "ids that begin so are for bundles applied in one step"}
	}
	if c.Base != s.Epoch() {
		return s.lostTo(c.Base)
	}
	made := &Proposal{ID: c.ProposalID, Base: c.Base, Stage: Proposed, Spec: c.Spec, Revision: c.Revision,
		Proposed: Mark{Operator: c.Operator, At: s.Now, Note: c.Note}}
	s.Proposals[c.ProposalID] = made
	return Result{Verdict: Done, Proposal: made.brief()}
}

// lostTo answers one whose base is no longer, or not yet, in force.
func (s *State) lostTo(base ident.Epoch) Result {
	result := Result{Verdict: Conflict, Reason: "the base is not the epoch in force"}
	if winner, ok := s.At(base + 1); ok {
		result.Winner = winner.ID
	}
	return result
}

func (s *State) mark(c Command) Result {
	proposal := s.Proposals[c.ProposalID]
	if proposal == nil {
		return Result{Verdict: Missing, Reason: "no such proposal"}
	}
	mark := Mark{Operator: c.Operator, At: s.Now, Note: c.Note}
	done := &proposal.Reviews
	if c.Op == OpSign {
		done = &proposal.Signs
	}
	if slices.ContainsFunc(*done, func(m Mark) bool { return m.Operator == c.Operator }) {
		return Result{Verdict: Done, Proposal: proposal.brief()}
	}
	if proposal.Stage == Lost || proposal.Stage == Rolled {
		return Result{Verdict: Conflict, Reason: "the proposal is " + string(proposal.Stage), Proposal: proposal.brief()}
	}
	if c.Op == OpSign {
		if c.Operator == proposal.Proposed.Operator {
			return Result{Verdict: Forbidden, Reason: "an author may not sign off the own bundle", Proposal: proposal.brief()}
		}
		if len(proposal.Reviews) == 0 {
			return Result{Verdict: Forbidden, Reason: "the bundle has not been reviewed", Proposal: proposal.brief()}
		}
	}
	*done = append(*done, mark)
	proposal.advance()
	return Result{Verdict: Done, Proposal: proposal.brief()}
}

// advance is the one place where an open proposal moves on.
func (p *Proposal) advance() {
	switch {
	case len(p.Signs) > 0:
		p.Stage = Signed
	case len(p.Reviews) > 0:
		p.Stage = Reviewed
	}
}

func (s *State) roll(c Command) Result {
	proposal := s.Proposals[c.ProposalID]
	if proposal == nil {
		return Result{Verdict: Missing, Reason: "no such proposal"}
	}
	switch {
	case proposal.Stage == Rolled:
		return Result{Verdict: Done, Proposal: proposal.brief()}
	case proposal.Base != s.Epoch():
		result := s.lostTo(proposal.Base)
		result.Proposal = proposal.brief()
		return result
	case proposal.Stage != Signed:
		return Result{Verdict: Forbidden, Reason: "the bundle has not been signed off", Proposal: proposal.brief()}
	}
	s.putInForce(proposal, Mark{Operator: c.Operator, At: s.Now, Note: c.Note})
	return Result{Verdict: Done, Proposal: proposal.brief()}
}

// brief is a copy without the bundle itself.
func (p *Proposal) brief() *Proposal {
	copied := *p
	copied.Spec = nil
	return &copied
}

func (s *State) close(c Command) Result {
	if c.Based && c.Base != s.Closures.Epoch {
		return s.closureLost(c)
	}
	if c.Ranking != nil {
		if verdict, reason := s.mayRank(c); verdict != Done {
			return Result{Verdict: verdict, Reason: reason}
		}
	}
	mark := ClosureMark{Operator: c.Operator, At: s.Now, Epoch: s.Closures.Epoch + 1, Ranking: c.Ranking}
	next := s.Closures.Clone()
	changed := false
	if before, shut := next.Engines[c.Engine]; shut && c.Closed && before.Ranking != nil && c.Ranking == nil {
		// What the ranking shut an operator may shut too; then only an operator opens it.
		delete(next.Engines, c.Engine)
	}
	if c.Zone != "" {
		changed = setClosure(next.Zones, c.Zone, c.Closed, mark)
	}
	if c.Engine != "" {
		changed = setClosure(next.Engines, c.Engine, c.Closed, mark) || changed
	}
	// What is closed already stays as it was, so a repeated order changes nothing.
	if changed {
		next.Epoch++
		s.Closures = next
		s.Acts = append(s.Acts, ClosureAct{Epoch: next.Epoch, Operator: c.Operator, Zone: c.Zone, Engine: c.Engine, Closed: c.Closed})
		s.Acts = s.Acts[max(0, len(s.Acts)-mostActs):]
	}
	return s.closuresNow()
}

// mayRank says whether whoever plans may shut or open an engine: it holds the claim, operators don't keep the engine,
// and it opens only what the ranking shut.
func (s *State) mayRank(c Command) (Verdict, string) {
	_, kept := s.Closures.Kept[c.Engine]
	before, shut := s.Closures.Engines[c.Engine]
	switch {
	case c.Engine == "" || c.Zone != "":
		return Malformed, "the ranking shuts engines alone"
	case s.Claim.Number != c.Ranking.Claim || s.Claim.NodeID != c.NodeID || s.Claim.Until <= s.Now:
		return Forbidden, "the claim under which this was ranked is no longer held"
	case c.Closed && kept:
		return Forbidden, "an operator keeps this engine"
	case !c.Closed && shut && before.Ranking == nil:
		return Forbidden, "an operator drains this engine"
	}
	return Done, ""
}

// mostKept is how many engines may be kept at once: an engine's id is new with each start, so old ones go first.
const mostKept = 1024

// keep has an engine kept from the ranking, or no longer.
func (s *State) keep(c Command) Result {
	if c.Engine == "" {
		return Result{Verdict: Malformed, Reason: "no engine is named"}
	}
	next := s.Closures.Clone()
	mark := ClosureMark{Operator: c.Operator, At: s.Now, Epoch: next.Epoch + 1}
	if setClosure(next.Kept, c.Engine, c.Closed, mark) {
		next.Epoch++
		for len(next.Kept) > mostKept {
			oldest := slices.MinFunc(slices.Sorted(maps.Keys(next.Kept)), func(a, b ident.EngineID) int {
				return cmp.Compare(next.Kept[a].Epoch, next.Kept[b].Epoch)
			})
			delete(next.Kept, oldest)
		}
		s.Closures = next
	}
	return s.closuresNow()
}

func (s *State) closuresNow() Result {
	out := s.Closures.Clone()
	return Result{Verdict: Done, Closures: &out}
}

// closureLost answers a closure whose base is not the closures in force: it may be one that was asked
// for already and lost its answer, else another operator was first.
func (s *State) closureLost(c Command) Result {
	result := s.closuresNow()
	for _, act := range s.Acts {
		if act.Epoch != c.Base+1 {
			continue
		}
		if act == (ClosureAct{Epoch: act.Epoch, Operator: c.Operator, Zone: c.Zone, Engine: c.Engine, Closed: c.Closed}) {
			return result
		}
		result.Winner = act.Operator
	}
	result.Verdict, result.Reason = Conflict, "the base is not the closure epoch in force"
	return result
}

// enlist notes a life that is about to serve. An earlier one of its name is over, since a name runs once.
func (s *State) enlist(c Command) Result {
	if _, lost := s.Closures.Lost[c.NodeID]; lost {
		return Result{Verdict: Forbidden, Reason: "this daemon was declared lost"}
	}
	for other := range s.Serving {
		if other != c.NodeID && other.Name() == c.NodeID.Name() {
			delete(s.Serving, other)
		}
	}
	if _, known := s.Serving[c.NodeID]; !known {
		s.Serving[c.NodeID] = Serving{Address: c.Address, Since: s.Now}
	}
	return Result{Verdict: Done}
}

// lose takes an operator's word that a daemon will never serve again.
func (s *State) lose(c Command) Result {
	if _, already := s.Closures.Lost[c.Lost]; already {
		return s.closuresNow()
	}
	if _, serving := s.Serving[c.Lost]; !serving {
		return Result{Verdict: Missing, Reason: "no such daemon may be serving"}
	}
	delete(s.Serving, c.Lost)
	next := s.Closures.Clone()
	next.Epoch++
	next.Lost[c.Lost] = ClosureMark{Operator: c.Operator, At: s.Now, Epoch: next.Epoch}
	for len(next.Lost) > mostLost {
		oldest := slices.MinFunc(slices.Sorted(maps.Keys(next.Lost)), func(a, b ident.NodeID) int {
			return cmp.Compare(next.Lost[a].Epoch, next.Lost[b].Epoch)
		})
		delete(next.Lost, oldest)
	}
	s.Closures = next
	return s.closuresNow()
}

// leave notes an engine that leaves; said again, it changes nothing.
func (s *State) leave(c Command) Result {
	if c.Engine == "" {
		return Result{Verdict: Malformed, Reason: "no engine is named"}
	}
	if slices.ContainsFunc(s.Left, func(left Left) bool { return left.Engine == c.Engine }) {
		return Result{Verdict: Done}
	}
	// A new list, so that whoever holds the old one may go on reading it.
	s.Left = append(slices.Clone(s.Left[max(0, len(s.Left)-mostLeft+1):]), Left{Engine: c.Engine, At: s.Now})
	s.Leaves++
	return Result{Verdict: Done}
}

// LeftSince lists the engines that left since so many had.
func (s *State) LeftSince(leaves uint64) []Left {
	return s.Left[len(s.Left)-int(min(uint64(len(s.Left)), s.Leaves-min(leaves, s.Leaves))):]
}

// ServingNow lists the daemons that may be serving.
func (s *State) ServingNow() []ident.NodeID { return slices.Sorted(maps.Keys(s.Serving)) }

func setClosure[K comparable](marks map[K]ClosureMark, key K, closed bool, mark ClosureMark) bool {
	_, already := marks[key]
	if already == closed {
		return false
	}
	if closed {
		marks[key] = mark
	} else {
		delete(marks, key)
	}
	return true
}

// Clone copies the closures, so that readers keep what they hold.
func (c Closures) Clone() Closures {
	out := Closures{Epoch: c.Epoch, Zones: map[ident.ZoneID]ClosureMark{}, Engines: map[ident.EngineID]ClosureMark{}, Lost: map[ident.NodeID]ClosureMark{}, Kept: map[ident.EngineID]ClosureMark{}}
	for engine, mark := range c.Kept {
		out.Kept[engine] = mark
	}
	for zone, mark := range c.Zones {
		out.Zones[zone] = mark
	}
	for engine, mark := range c.Engines {
		out.Engines[engine] = mark
	}
	for node, mark := range c.Lost {
		out.Lost[node] = mark
	}
	return out
}

func (s *State) claim(c Command) Result {
	live := s.Claim.Until > s.Now
	span := time.Duration(c.SpanMs) * time.Millisecond
	switch {
	case s.Claim.Number > 0 && s.Claim.NodeID == c.NodeID && (live || c.Resume):
		s.Claim.Until = max(s.Claim.Until, s.Now.Add(span))
		if c.OrdersTurn > s.Claim.OrdersTurn {
			s.Claim.Orders, s.Claim.OrdersTurn = c.Orders, c.OrdersTurn
		}
	case live || s.Claim.Number > 0 && s.Now < s.Claim.FreeAt(time.Duration(c.GapMs)*time.Millisecond):
		// A successor waits out the old claim and the quiet gap, so no engine is commanded in quick turns.
		return Result{Verdict: Waiting, Reason: "another claim is in force or has just ended", Claim: s.claimNow(false)}
	default:
		s.Claim = Claim{Number: max(s.Claim.Number, c.Above) + 1, NodeID: c.NodeID, Orders: s.Claim.Orders, Pools: s.Claim.Pools, Until: s.Now.Add(span), TellsAll: c.TellsAll}
	}
	if c.Told != nil {
		s.Claim.Ordered = s.Now
		s.Claim.Pools = s.Claim.Pools.add(s.Now, *c.Told)
	}
	return Result{Verdict: Done, Claim: s.claimNow(c.Whole)}
}

// add takes in what was told, and forgets what no longer counts. What comes twice only counts for more.
func (h *History) add(now ident.GroupTime, told Told) *History {
	next := &History{Since: now, Orders: map[ident.EngineID]ToldOrder{}}
	kept := now - ident.GroupTime(told.KeepMs)
	if h != nil {
		next.Since = h.Since
		for engine, order := range h.Orders {
			if order.At > kept {
				next.Orders[engine] = order
			}
		}
		for _, loads := range h.Loads {
			if loads.At > kept {
				next.Loads = append(next.Loads, loads)
			}
		}
	}
	for engine, taken := range told.Orders {
		next.Orders[engine] = ToldOrder{Taken: max(taken, next.Orders[engine].Taken), At: now}
	}
	if told.Loads > 0 {
		next.Loads = append(next.Loads, ToldLoads{At: now, Count: told.Loads})
	}
	return next
}

// claimNow copies the claim; the pools' history goes along only where it was asked for, since it may be long.
func (s *State) claimNow(whole bool) *Claim {
	claim := s.Claim
	claim.Now = s.Now
	if !whole {
		claim.Pools = nil
	}
	return &claim
}
