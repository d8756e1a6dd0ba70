// Package operatorapi is the JSON interface of operators, their tools and engines: paths, headers and bodies.
package operatorapi

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/cresspond/cresspond/configuration/closure"
	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/ident"
)

const (
	// PathPropose accepts a proposal.
	PathPropose = "/v1/spec/propose"
	// PathReview records a review of a proposal.
	PathReview = "/v1/spec/review"
	// PathSign records a sign-off of a reviewed proposal.
	PathSign = "/v1/spec/sign"
	// PathRoll puts a signed proposal in force.
	PathRoll = "/v1/spec/roll"
	// PathConfiguration gives the configuration of a version, byte for byte.
	PathConfiguration = "/v1/spec"
	// PathHistory lists the proposals that came in force.
	PathHistory = "/v1/spec/history"
	// PathProposal gives one proposal.
	PathProposal = "/v1/spec/proposal"
	// PathZone closes or opens a zone.
	PathZone = "/v1/zone"
	// PathDrain drains an engine or takes it up again.
	PathDrain = "/v1/engine"
	// PathClosures lists what is closed.
	PathClosures = "/v1/closures"
	// PathDeclareLost takes an operator's statement that a daemon will never serve again.
	PathDeclareLost = "/v1/daemon/lost"
	// PathStatus shows what a daemon knows.
	PathStatus = "/v1/status"
	// PathTrace follows one change through all daemons.
	PathTrace = "/v1/trace"
	// PathReady says whether the daemon takes requests.
	PathReady = "/ready"
	// PathLive says that the process answers.
	PathLive = "/live"
	// PathCounters lists the daemon's counters as text.
	PathCounters = "/counters"
	// HeaderVersion carries the version of a configuration that is read back.
	HeaderVersion = "X-Spec-Epoch"
	// HeaderCallID carries the id of an operator's call, 1 to 100 bytes: the same call with the same id finds what became
	// of it. A daemon makes one up where there is none.
	HeaderCallID = "X-Call-Id"
	// HeaderReadFrom carries the peer address of the leader that an answer was read from: a majority confirmed it while
	// it was asked. Answers without it are the answering daemon's own view.
	HeaderReadFrom = "X-Read-From"
)

// Propose submits a configuration, which is retained byte for byte.
type Propose struct {
	ProposalID    string          `json:"proposalId"`
	Base          ident.Version   `json:"base"`
	Operator      string          `json:"operator"`
	Note          string          `json:"note"`
	Configuration json.RawMessage `json:"spec"`
}

// Encode gives the wire form with the configuration as it is; json.Marshal would change its white space.
func (p Propose) Encode() ([]byte, error) {
	raw := bytes.TrimSpace(p.Configuration)
	head, err := json.Marshal(struct {
		ProposalID string        `json:"proposalId"`
		Base       ident.Version `json:"base"`
		Operator   string        `json:"operator"`
		Note       string        `json:"note"`
	}{p.ProposalID, p.Base, p.Operator, p.Note})
	if err != nil {
		return nil, err
	}
	return slices.Concat(head[:len(head)-1], []byte(`,"spec":`), raw, []byte("}")), nil
}

// ProposalAction reviews, signs or rolls a proposal.
type ProposalAction struct {
	ProposalID string `json:"proposalId"`
	Operator   string `json:"operator"`
	Note       string `json:"note"`
}

// ZoneClosure closes or opens a zone. Base is the version of the closures it builds on.
type ZoneClosure struct {
	Zone     ident.ZoneID   `json:"zone"`
	Closed   *bool          `json:"closed"`
	Base     *ident.Version `json:"base"`
	Operator string         `json:"operator"`
}

// DeclareLost declares that an incarnation of a daemon will never serve again.
type DeclareLost struct {
	Daemon   ident.NodeID `json:"daemon"`
	Operator string       `json:"operator"`
}

// EngineDrain starts or ends an operator's draining of an engine.
type EngineDrain struct {
	Engine   ident.EngineID `json:"engine"`
	Draining *bool          `json:"draining"`
	Base     *ident.Version `json:"base"`
	Operator string         `json:"operator"`
}

// Error is the body of an answer that is no success.
type Error struct {
	Outcome string           `json:"outcome"`
	Reason  string           `json:"reason"`
	Field   string           `json:"field,omitempty"`
	Faults  []document.Fault `json:"faults,omitempty"`
	Winner  string           `json:"winner,omitempty"`
	Version ident.Version    `json:"epoch,omitempty"`
	// Revision is the one in force, said of calls that name one as their base.
	Revision ident.Revision `json:"revision,omitempty"`
	// Closures is what won over a closure that lost its race.
	Closures *closure.Set `json:"closures,omitempty"`
}

// Reading is part of the replicated state, as a leader read it that a majority confirmed after the call came.
type Reading struct {
	// Data is the encoded part; empty where it does not exist.
	Data []byte
	// Leader is the peer address of the leader.
	Leader string
}

// Status is what one daemon reports about itself.
type Status struct {
	NodeID               ident.NodeID  `json:"nodeId"`
	Version              string        `json:"version"`
	Zone                 ident.ZoneID  `json:"zone"`
	Serve                []string      `json:"serve"`
	Ready                bool          `json:"ready"`
	NotReady             string        `json:"notReady,omitempty"`
	Group                ident.GroupID `json:"group,omitempty"`
	Leader               string        `json:"leader,omitempty"`
	ConfigurationVersion ident.Version `json:"specEpoch"`
	ClosureVersion       ident.Version `json:"closureEpoch"`
	// ConfirmedMsAgo is how long ago a majority of the control group confirmed that no newer versions had been
	// acknowledged; it is missing where that never was.
	ConfirmedMsAgo *int64         `json:"confirmedMsAgo,omitempty"`
	WorkerID       *int64         `json:"workerId,omitempty"`
	Raft           *RaftStatus    `json:"raft,omitempty"`
	Planner        *PlannerStatus `json:"planner,omitempty"`
	Peers          []Peer         `json:"fellows"`
	Engines        []Engine       `json:"engines"`
}

// RaftStatus is a member's place in the group.
type RaftStatus struct {
	Role    string `json:"role"`
	Term    uint64 `json:"term"`
	Commit  uint64 `json:"commit"`
	Stalled bool   `json:"stalled"`
	// Voter says whether this very data folder votes; one at the address of a lost one does not at first.
	Voter   bool         `json:"voter"`
	Members []RaftMember `json:"members"`
	// Applied is how far the state is, StateDigest its newest digest and where in the log that was made.
	Applied     uint64 `json:"applied"`
	StateDigest string `json:"stateDigest,omitempty"`
}

// RaftMember is one member of the group.
type RaftMember struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Voter   bool   `json:"voter"`
	// Differs is set by a leader: this member's state differs from that of a majority.
	Differs bool `json:"differs,omitempty"`
}

// PlannerStatus is where the planner stands.
type PlannerStatus struct {
	HasLease      bool               `json:"held"`
	Token         ident.FencingToken `json:"claim,omitempty"`
	PendingOrders int                `json:"inFlight"`
}

// Peer is another daemon as this one knows it.
type Peer struct {
	NodeID               ident.NodeID  `json:"nodeId"`
	Address              string        `json:"address"`
	Zone                 ident.ZoneID  `json:"zone"`
	Serve                []string      `json:"serve"`
	LastContactMsAgo     int64         `json:"heardMsAgo"`
	ConfigurationVersion ident.Version `json:"specEpoch"`
	ClosureVersion       ident.Version `json:"closureEpoch"`
	Ready                bool          `json:"ready"`
}

// Engine is an engine as this daemon knows it.
type Engine struct {
	ID        ident.EngineID `json:"id"`
	Address   string         `json:"address"`
	Zone      ident.ZoneID   `json:"zone"`
	Condition string         `json:"condition"`
	Draining  bool           `json:"draining"`
	Open      bool           `json:"open"`
	CallSeq   uint64         `json:"callSeq"`
	Models    []string       `json:"models"`
}

// Trace follows one change through all daemons.
type Trace struct {
	Change  string        `json:"change"`
	Rows    []TraceRow    `json:"rows"`
	Known   bool          `json:"known"`
	Version ident.Version `json:"epoch"`
	// Acknowledged says that every daemon that may be serving has the change, or a later one.
	Acknowledged bool `json:"acknowledged"`
}

// TraceRow is one daemon's steps, by wall clock in milliseconds; zero where a step is not known.
type TraceRow struct {
	NodeID           ident.NodeID `json:"nodeId"`
	Zone             ident.ZoneID `json:"zone"`
	LearnedMs        int64        `json:"learnedMs,omitempty"`
	BuiltMs          int64        `json:"builtMs,omitempty"`
	InForceMs        int64        `json:"inForceMs,omitempty"`
	LastContactMsAgo int64        `json:"heardMsAgo"`
	// Missing says that the daemon has not got this change, Serving that the group counts it as one that may be serving.
	Missing bool `json:"missing"`
	Serving bool `json:"serving"`
}
