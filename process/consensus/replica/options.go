package replica

import (
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

// Option sets one thing of a replica.
type Option func(*Replica)

// WithChanged calls back, on the actor, when the spec in force, the closures or the engines that left changed. The state may not be kept.
func WithConfigurationChangeHandler(changed func(*statemachine.State)) Option {
	return func(r *Replica) { r.onConfigurationChange = changed }
}

// WithTurned calls back, on the actor, when this member's condition is another than before.
func WithStatusChangeHandler(turned func(before, after Status)) Option {
	return func(r *Replica) { r.onStatusChange = turned }
}

// WithCounters has notices counted where they outlive this replica.
func WithCounters(counters *Counters) Option {
	return func(r *Replica) { r.Counters = counters }
}

// WithNoticed calls back, on the actor, with each notice for an operator.
func WithNoticeHandler(noticed func(raft.Notice)) Option {
	return func(r *Replica) { r.onNotice = noticed }
}

// WithFatal is called when the disk failed, or with a StateDiffersError; this member must then leave.
func WithFatalHandler(fatal func(error)) Option {
	return func(r *Replica) { r.onFatal = fatal }
}
