package statemachine

import (
	"github.com/cresspond/cresspond/configuration/closure"
	"github.com/cresspond/cresspond/ident"
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
	OpSignOff Op = "SIGN"
	// OpRoll puts a signed proposal in force.
	OpRollOut Op = "ROLL"
	// OpClosure closes or opens a zone, or drains an engine or takes it up again.
	OpClosure Op = "CLOSURE"
	// OpKeep has an operator forbid, or allow again, that the ranking shuts an engine.
	OpProtect Op = "KEEP"
	// OpClaim asks for the claim to order engines, or renews it.
	OpAcquirePlanner Op = "CLAIM"
	// OpDropClaim gives the claim back.
	OpReleasePlanner Op = "DROP-CLAIM"
	// OpEnlist says that a life of a daemon is about to serve.
	OpRegister Op = "ENLIST"
	// OpLost is an operator's word that a daemon will never serve again.
	OpDeclareLost Op = "LOST"
	// OpLeave says that an engine that registered itself is about to end, or has.
	OpEngineDeparted Op = "LEAVE"
	// OpApply puts a bundle in force in one step, on the revision it builds on.
	OpApply Op = "APPLY"
)

// Spreads says whether a command changes what must be in force everywhere.
func (op Op) Propagates() bool {
	return op == OpRollOut || op == OpClosure || op == OpProtect || op == OpDeclareLost || op == OpApply
}

// Command is the form of an entry in the log.
type Command struct {
	Op Op `json:"op"`
	// At is the group's time, stamped by the leader; whatever a sender wrote there is replaced.
	At       ident.GroupTime `json:"at"`
	NodeID   ident.NodeID    `json:"nodeId,omitempty"`
	WorkerID ident.WorkerID  `json:"workerId,omitempty"`
	// Last is the last timestamp minted, handed in with RELEASE.
	LastTimestamp ident.GroupTime `json:"last,omitempty"`
	// SpanMs is how long a tenure or a claim lasts, stamped by the leader from its config.
	LeaseMs int64 `json:"spanMs,omitempty"`

	ProposalID    string        `json:"proposalId,omitempty"`
	Base          ident.Version `json:"base,omitempty"`
	Operator      string        `json:"operator,omitempty"`
	Note          string        `json:"note,omitempty"`
	Configuration []byte        `json:"spec,omitempty"`
	// Packed says that Spec is compressed. Revision is the operator's own number of the bundle, BaseRevision
	// the one it builds on, and Digest tells one operator's call from all others.
	Compressed   bool           `json:"packed,omitempty"`
	Revision     ident.Revision `json:"revision,omitempty"`
	BaseRevision ident.Revision `json:"baseRevision,omitempty"`
	Digest       string         `json:"digest,omitempty"`

	Zone   ident.ZoneID   `json:"zone,omitempty"`
	Engine ident.EngineID `json:"engine,omitempty"`
	Closed bool           `json:"closed,omitempty"`
	// Based says that CLOSURE or KEEP names in Base the closure epoch it builds on, so that a copy which comes late
	// is found or refused; earlier builds did not.
	HasBase bool `json:"based,omitempty"`
	// Ranking is, with CLOSURE, the word of whoever plans that it ranks the engine so; no operator's closure has it.
	Ranking *closure.RankingDecision `json:"ranking,omitempty"`
	// Address is where a daemon that enlists is reached, Lost which one is declared lost.
	Address    string       `json:"address,omitempty"`
	LostDaemon ident.NodeID `json:"lost,omitempty"`

	// GapMs is the quiet time between one claim's end and the next claim, stamped by the leader.
	HandoverGapMs int64 `json:"gapMs,omitempty"`
	// Orders is, with CLAIM, the call-seq each engine must show before its reports tell of all orders given.
	Orders map[ident.EngineID]uint64 `json:"orders,omitempty"`
	// OrdersTurn numbers the tellings of one claim, so that one that comes late changes nothing.
	OrdersSequence uint64 `json:"ordersTurn,omitempty"`
	// Told is, with CLAIM, what the planner of pools is about to order; Whole asks for all that was told before.
	Announcement *Announcement `json:"told,omitempty"`
	// TellsAll is, with CLAIM, the asker's word that it tells of every order before the order leaves.
	AnnouncesAll  bool `json:"tellsAll,omitempty"`
	WithAnnounced bool `json:"whole,omitempty"`
	// Resume is, with CLAIM, the asker's word that it goes on where it stood, if its claim lapsed and nobody got another.
	Resume bool `json:"resume,omitempty"`
	// Above is, with CLAIM, the highest claim number that the asker has heard of; a fresh claim is above it.
	TokenAbove ident.FencingToken `json:"above,omitempty"`
}
