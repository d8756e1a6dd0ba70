package rollout

import (
	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

// Response is the leader's response to a submitted command, to daemons and to operators: the command's result and, for a
// change that has to spread, how far it has.
type Response struct {
	statemachine.Result
	// Acknowledged says of a rollout or a closure that it is in force at every daemon that may be serving.
	// Without it the change is committed, and in force wherever it has arrived.
	Acknowledged bool `json:"acknowledged,omitempty"`
	// InForceAt lists the daemons that have the change in force, Missing those that may be serving without it.
	InForceAt []ident.NodeID   `json:"inForceAt,omitempty"`
	Missing   []ident.NodeID   `json:"missing,omitempty"`
	Faults    []document.Fault `json:"faults,omitempty"`
}
