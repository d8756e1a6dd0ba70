package daemon

import (
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// addRegistryChanges adds to a reply what has changed here since the peer's last pull.
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
		// The load of engines in other zones is sent seldom; control daemons pass it on, and so are sent all.
		question.Zone = d.members.ZoneOf(ident.NodeID(in.NodeId))
	}
	switch {
	case in.RegistryUrgentOnly:
		question.Filter = registry.UrgentOnly
	case in.EveryHeartbeat && d.config.Serves(daemonconfig.Control):
		// Only daemons that may have to mark an engine unresponsive need each heartbeat.
		question.Filter = registry.WithHeartbeats
	}
	difference := d.registry.DeltaSince(question)
	reply.RegistryIncarnation, reply.RegistrySeen, reply.RegistryComplete = difference.Incarnation, difference.Seen, difference.Cursor.Complete
	reply.RegistryFullResync, reply.RegistryMore = difference.FullResync, difference.More
	reply.Engines = registry.Encode(d.clock.Elapsed(), difference.Records)
}

// cursorOf returns how much of this daemon's changes a peer has.
func cursorOf(in *peerapi.PullRequest) registry.Cursor {
	return registry.Cursor{Incarnation: in.RegistryIncarnation, Seen: in.RegistrySeen, Complete: in.RegistryComplete}
}
