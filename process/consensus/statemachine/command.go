package statemachine

import (
	"time"

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
	// OpReclaim ends the expired leases of worker ids; the leader's expiry check submits it.
	OpReclaim Op = "RECLAIM"
	// OpPropose submits a configuration.
	OpPropose Op = "PROPOSE"
	// OpReview records a review of a proposal.
	OpReview Op = "REVIEW"
	// OpSignOff records a sign-off of a reviewed proposal.
	OpSignOff Op = "SIGN"
	// OpRollOut puts a signed proposal in force.
	OpRollOut Op = "ROLL"
	// OpClosure closes or opens a zone, or drains an engine or ends its draining.
	OpClosure Op = "CLOSURE"
	// OpProtect has an operator protect an engine from being drained by the ranking, or ends that.
	OpProtect Op = "KEEP"
	// OpAcquirePlanner asks for the planner's lease, or renews it.
	OpAcquirePlanner Op = "CLAIM"
	// OpReleasePlanner ends the planner's lease early.
	OpReleasePlanner Op = "DROP-CLAIM"
	// OpRegister registers an incarnation of a daemon that is about to serve.
	OpRegister Op = "ENLIST"
	// OpDeclareLost is an operator's statement that a daemon will never serve again.
	OpDeclareLost Op = "LOST"
	// OpEngineDeparted says that an engine that registered itself is about to shut down, or has.
	OpEngineDeparted Op = "LEAVE"
	// OpRaiseFeatureLevel raises the level of the commands that the group may use; a leader submits it.
	OpRaiseFeatureLevel Op = "LEVEL"
	// OpApply puts a configuration in force in one step, on the revision it builds on.
	OpApply Op = "APPLY"
)

// Propagates says whether a command changes what every daemon has to put in force.
func (op Op) Propagates() bool {
	return op == OpRollOut || op == OpClosure || op == OpProtect || op == OpDeclareLost || op == OpApply
}

// Command is an entry of the log. Which fields are set depends on the Op. A command that was logged is applied by every
// later build, so no field may change its meaning.
type Command struct {
	Op Op `json:"op"`
	// At is the group's time, stamped by the leader; whatever a sender wrote there is replaced.
	At       ident.GroupTime `json:"at"`
	NodeID   ident.NodeID    `json:"nodeId,omitempty"`
	WorkerID ident.WorkerID  `json:"workerId,omitempty"`
	// LastTimestamp is the timestamp of the last id generated under the lease that OpRelease ends.
	LastTimestamp ident.GroupTime `json:"last,omitempty"`
	// LeaseMs is how long a lease lasts, stamped by the leader from its settings.
	LeaseMs int64 `json:"spanMs,omitempty"`

	ProposalID string `json:"proposalId,omitempty"`
	// Base is the version that a proposal or, with HasBase, a change of the closures builds on.
	Base     ident.Version `json:"base,omitempty"`
	Operator string        `json:"operator,omitempty"`
	Note     string        `json:"note,omitempty"`
	// Configuration is the document's bytes, compressed where Compressed says so.
	Configuration []byte `json:"spec,omitempty"`
	Compressed    bool   `json:"packed,omitempty"`
	// Revision is the operator's own number of the configuration, BaseRevision the one it builds on. Digest
	// distinguishes one operator's apply request from all others.
	Revision     ident.Revision `json:"revision,omitempty"`
	BaseRevision ident.Revision `json:"baseRevision,omitempty"`
	Digest       string         `json:"digest,omitempty"`

	Zone   ident.ZoneID   `json:"zone,omitempty"`
	Engine ident.EngineID `json:"engine,omitempty"`
	Closed bool           `json:"closed,omitempty"`
	// HasBase says that OpClosure or OpProtect names in Base the version of the closures it builds on, so that a late
	// retry is recognised or refused; earlier builds named none.
	HasBase bool `json:"based,omitempty"`
	// Ranking is set where the planner's ranking sends OpClosure, never for an operator's.
	Ranking *closure.RankingDecision `json:"ranking,omitempty"`
	// StartedAt is, for OpRegister, the group's time as a leader read it after the incarnation had started; zero is not
	// known. A later incarnation of the daemon never has an earlier one.
	StartedAt ident.GroupTime `json:"startedAt,omitempty"`
	// Address is where a daemon that registers is reached, LostDaemon which one is declared lost.
	Address    string       `json:"address,omitempty"`
	LostDaemon ident.NodeID `json:"lost,omitempty"`

	// FeatureLevel is the level that OpRaiseFeatureLevel raises the group to.
	FeatureLevel FeatureLevel `json:"level,omitempty"`
	// CallID distinguishes one call of an operator from all others, and CalledAt is the group's time as it was known when
	// the call arrived; see calls.go. Both are empty where a daemon sends the command.
	CallID   string          `json:"callId,omitempty"`
	CalledAt ident.GroupTime `json:"calledAt,omitempty"`

	// The fields below belong to OpAcquirePlanner.

	// HandoverGapMs is the quiet period between one planner's lease and the next, stamped by the leader.
	HandoverGapMs int64 `json:"gapMs,omitempty"`
	// Orders is, by engine, the call sequence number that its report must show before it reflects every order sent.
	Orders map[ident.EngineID]uint64 `json:"orders,omitempty"`
	// OrdersSequence numbers the values of Orders under one lease, so that one that arrives late changes nothing.
	OrdersSequence uint64 `json:"ordersTurn,omitempty"`
	// Announcement is what the planner of pools is about to order.
	Announcement *Announcement `json:"told,omitempty"`
	// AnnouncesAll says that the planner announces every order before the order leaves.
	AnnouncesAll bool `json:"tellsAll,omitempty"`
	// WithAnnounced asks for all that was announced so far.
	WithAnnounced bool `json:"whole,omitempty"`
	// Resume says that the planner continues its lease if it expired and nobody got another.
	Resume bool `json:"resume,omitempty"`
	// TokenAbove is the highest fencing token that the planner has seen; a new lease's is above it.
	TokenAbove ident.FencingToken `json:"above,omitempty"`
}

// leaseDuration is how long the lease that a command asks for lasts.
func (c Command) leaseDuration() time.Duration { return time.Duration(c.LeaseMs) * time.Millisecond }
