package daemon

import (
	"cmp"
	"slices"

	"github.com/cresspond/cresspond/wire/operatorapi"
)

// Engines lists the engines that register themselves, as this daemon knows them, by id.
func (d *Daemon) Engines() operatorapi.Engines {
	view, heartbeats, now := d.registry.View(), d.registry.LastHeartbeats(), d.clock.Elapsed()
	out := operatorapi.Engines{Version: view.Version, Engines: []operatorapi.RegisteredEngine{}}
	for id, engine := range view.Engines {
		row := operatorapi.RegisteredEngine{
			ID:               id,
			LastContactMsAgo: now.Since(max(heartbeats[id].Received, engine.LastHeartbeat)).Milliseconds(),
			Condition:        operatorapi.EngineUsable,
			Registration: operatorapi.Registration{
				Pool:           engine.Pool,
				Address:        engine.Address,
				Zone:           engine.Zone,
				Software:       engine.Software,
				Slots:          engine.Slots,
				Draining:       engine.Draining,
				TerminatesInMs: engine.TerminatesInMs,
				SlowStartMs:    max(0, engine.SlowStartMs-now.Since(engine.LastHeartbeat).Milliseconds()),
				Phase:          engine.Phase,
				Models:         []operatorapi.LoadedModel{},
				CallSeq:        max(heartbeats[id].CallSeq, engine.CallSeq),
			},
		}
		switch {
		case engine.Deregistered:
			row.Condition = operatorapi.EngineRemoved
		case engine.TimedOut:
			row.Condition = operatorapi.EngineUnresponsive
		case engine.Draining:
			row.Condition = operatorapi.EngineDraining
		}
		for _, loaded := range engine.Models() {
			row.Models = append(row.Models, operatorapi.LoadedModel{
				Model:      loaded.Model,
				Generation: loaded.Generation,
				Adapters:   loaded.Adapters,
			})
		}
		if engine.Plan != nil {
			row.Token, row.Sequence = engine.Plan.Claim, engine.Plan.Sequence
		}
		out.Engines = append(out.Engines, row)
	}
	slices.SortFunc(out.Engines, func(a, b operatorapi.RegisteredEngine) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
