package statemachine

import (
	"github.com/cresspond/cresspond/configuration/closure"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/workerid"
)

// Outcome is the outcome of a command.
type Outcome string

const (
	// Done: the command took effect, now or when it was first sent.
	Done Outcome = "done"
	// Conflict: it builds on something that is no longer current, or not yet.
	Conflict Outcome = "conflict"
	// Forbidden: its sender may not do it.
	Forbidden Outcome = "forbidden"
	// Missing: what it names does not exist.
	Missing Outcome = "missing"
	// Waiting: it can't take effect yet.
	Waiting Outcome = "waiting"
	// Mismatch: the sender does not hold the lease that it names.
	Mismatch Outcome = "mismatch"
	// Exhausted: no free value is left, of worker ids or of revisions.
	Exhausted Outcome = "exhausted"
	// Malformed: it can't be read, or a field is wrong.
	Malformed Outcome = "malformed"
	// Unproven: the state can't tell what became of the command's earlier copies; nothing was changed.
	Unproven Outcome = "unproven"
)

// Result is the result of a command. Which of the pointers are set depends on the command and the outcome.
type Result struct {
	Outcome      Outcome         `json:"verdict"`
	Reason       string          `json:"reason,omitempty"`
	Grant        *workerid.Grant `json:"grant,omitempty"`
	Proposal     *Proposal       `json:"proposal,omitempty"`
	Closures     *closure.Set    `json:"closures,omitempty"`
	PlannerLease *PlannerLease   `json:"claim,omitempty"`
	// Version is the version of the configuration in force after the command, Revision the operators' own number of it.
	Version  ident.Version  `json:"epoch,omitempty"`
	Revision ident.Revision `json:"revision,omitempty"`
	// Winner names what took effect on the base of a command that conflicts: a proposal's id or, for closures, the
	// operator.
	Winner string `json:"winner,omitempty"`
}
