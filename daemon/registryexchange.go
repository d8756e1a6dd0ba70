package daemon

import (
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// tellRegistry puts into a reply what changed here since the asker's last question.
func (d *Daemon) addRegistryChanges(in *peerapi.PullRequest, reply *peerapi.PullReply) {
	if !followsRegistry(in) {
		return
	}
	wanted := make([]ident.EngineID, 0, len(in.RegistryRefetch))
	for _, id := range in.RegistryRefetch {
		wanted = append(wanted, ident.EngineID(id))
	}
	question := registry.DeltaRequest{Cursor: cursorOf(in), FullRecordsOf: wanted}
	if !in.EveryHeartbeat {
		// How busy far engines are is told seldom; control daemons pass it on, and so are told all.
		question.Zone = d.members.ZoneOf(ident.NodeID(in.NodeId))
	}
	switch {
	case in.RegistryUrgentOnly:
		question.Filter = registry.UrgentOnly
	case in.EveryHeartbeat && d.config.Serves(daemonconfig.Control):
		// Only those who may have to judge an engine's silence need to hear of each beat.
		question.Filter = registry.WithHeartbeats
	}
	difference := d.registry.DeltaSince(question)
	reply.RegistryIncarnation, reply.RegistrySeen, reply.RegistryComplete = difference.Incarnation, difference.Seen, difference.Cursor.Complete
	reply.RegistryFullResync, reply.RegistryMore = difference.FullResync, difference.More
	reply.Engines = registry.Encode(d.clock.Elapsed(), difference.Records)
}

// cursorOf is how much of this daemon's changes an asker has.
func cursorOf(in *peerapi.PullRequest) registry.Cursor {
	return registry.Cursor{Incarnation: in.RegistryIncarnation, Seen: in.RegistrySeen, Complete: in.RegistryComplete}
}
