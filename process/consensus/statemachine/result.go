package statemachine

import (
	"github.com/cresspond/cresspond/configuration/closure"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/workerid"
)

// Verdict is the outcome of a command.
type Outcome string

const (
	// Done: the command took effect, now or when it was first sent.
	Done Outcome = "done"
	// Conflict: it builds on something that is no longer current.
	Conflict Outcome = "conflict"
	// Forbidden: this operator may not do it.
	Forbidden Outcome = "forbidden"
	// Missing: what it names does not exist.
	Missing Outcome = "missing"
	// Waiting: it can't take effect yet.
	Waiting Outcome = "waiting"
	// Mismatch: the sender does not hold what it names.
	Mismatch Outcome = "mismatch"
	// Exhausted: nothing is left to give.
	Exhausted Outcome = "exhausted"
	// Malformed: it can't be read, or a field is wrong.
	Malformed Outcome = "malformed"
	// Unproven says that the state can't tell what became of the command's earlier copies; nothing was changed.
	Unproven Outcome = "unproven"
)

// Result is what a command gives back.
type Result struct {
	Outcome      Outcome         `json:"verdict"`
	Reason       string          `json:"reason,omitempty"`
	Grant        *workerid.Grant `json:"grant,omitempty"`
	Proposal     *Proposal       `json:"proposal,omitempty"`
	Closures     *closure.Set    `json:"closures,omitempty"`
	PlannerLease *PlannerLease   `json:"claim,omitempty"`
	// Epoch is the spec epoch in force after the command, Revision the operators' own number of it.
	Version  ident.Version  `json:"epoch,omitempty"`
	Revision ident.Revision `json:"revision,omitempty"`
	// Winner names the proposal that was rolled on the base a loser built on.
	Winner string `json:"winner,omitempty"`
}
