package forwarding

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// World is what the passes may look at; it is gathered anew for each event.
type Environment struct {
	Now clock.Mark
	// Index is the table in force; Current says that it is known to be new enough.
	Index        *upstream.Index
	IndexCurrent bool
	View         *registry.View
	Zone         ident.ZoneID
	// Edges is how many daemons route, this one included.
	Routers int
	// Leased says whether a worker id is held, Mint mints under it.
	HasWorkerID bool
	MintID      func() (ident.SnowflakeID, bool)
	// Open says whether operators let new requests go to an engine: neither it nor its zone is closed. Nil is yes.
	EngineOpen func(*registry.Engine) bool
	// Emptied says that an engine is shut because its node is sick, so that what can go on elsewhere does. Nil is never.
	EngineEvacuated func(*registry.Engine) bool
	// Warm says whether a connection to an engine is kept that an attempt of a pool could use. Nil is never.
	HasIdleConnection func(engine *registry.Engine, pool string, careful bool) bool
	// Lacks says for how long a model or adapter is not likely to be loaded, where the planner said so.
	NotLoadedFor func(pool, model, adapter string) (time.Duration, bool)
}
