package replica

import (
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

// Option configures a replica. Handlers are called on the actor's goroutine and must not block.
type Option func(*Replica)

// WithConfigurationChangeHandler sets what is called when the configuration in force, the closures or the engines that
// left have changed. The handler must not keep the state.
func WithConfigurationChangeHandler(handler func(*statemachine.State)) Option {
	return func(r *Replica) { r.onConfigurationChange = handler }
}

// WithStatusChangeHandler sets what is called when this member's leadership, membership, disk or divergent members
// changed.
func WithStatusChangeHandler(handler func(before, after Status)) Option {
	return func(r *Replica) { r.onStatusChange = handler }
}

// WithCounters has notices counted in counters that outlive this replica.
func WithCounters(counters *Counters) Option {
	return func(r *Replica) { r.Counters = counters }
}

// WithNoticeHandler sets what is called with each notice for operators.
func WithNoticeHandler(handler func(raft.Notice)) Option {
	return func(r *Replica) { r.onNotice = handler }
}

// WithFatalHandler sets what is called when a write failed, or with a [StateDivergedError]. This replica must then be
// stopped; after a StateDivergedError the member has to join anew without its state.
func WithFatalHandler(handler func(error)) Option {
	return func(r *Replica) { r.onFatal = handler }
}
