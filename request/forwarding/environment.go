package forwarding

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// Environment is everything outside the core that a decision may depend on. It is gathered anew for each event.
type Environment struct {
	// Now is the time of the event, on the process's monotonic clock.
	Now clock.Mark
	// Index is the routing table in force; nil is none.
	Index *upstream.Index
	// IndexCurrent reports whether the table is known to be recent enough to say that a path does not exist.
	IndexCurrent bool
	// KeysOutdated reports that the table may hold keys that were withdrawn, and that the deployment wants none accepted
	// then.
	KeysOutdated bool
	// View is the registered engines.
	View *registry.View
	// Zone is this daemon's own zone; empty is unknown.
	Zone ident.ZoneID
	// Routers counts the daemons that route, this one included.
	Routers int
	// HasWorkerID reports whether this daemon holds a worker id, under which MintID can mint.
	HasWorkerID bool
	// MintID mints an id under the worker id; false where none is held.
	MintID func() (ident.SnowflakeID, bool)
	// EngineOpen reports whether operators let new requests go to an engine: neither it nor its zone is closed. Nil is
	// always.
	EngineOpen func(*registry.Engine) bool
	// EngineEvacuated reports whether an engine was closed because its node is unhealthy, so that requests under way there
	// migrate. Nil is never.
	EngineEvacuated func(*registry.Engine) bool
	// HasIdleConnection reports whether the connection pool has an idle connection to an engine that an attempt of a pool
	// could use; careful is of attempts that can't be repeated. Nil means that connections are not taken into account.
	HasIdleConnection func(engine *registry.Engine, pool string, careful bool) bool
	// NotLoadedFor gives the planner's estimate of how long a model or adapter will not be loaded; false where it gave
	// none. Nil is never any.
	NotLoadedFor func(pool, model, adapter string) (time.Duration, bool)
}
