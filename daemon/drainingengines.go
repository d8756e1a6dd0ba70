package daemon

import (
	"time"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/wire/peerapi"
)

func (d *Daemon) drainingEngines() []*peerapi.DrainingEngine {
	var out []*peerapi.DrainingEngine
	now := d.clock.Elapsed()
	for id, engine := range d.watcher.View().Engines {
		if engine.Draining {
			out = append(out, &peerapi.DrainingEngine{
				Engine:     string(id),
				Address:    engine.Address,
				KnownMsAgo: now.Since(engine.DrainingSince).Milliseconds(),
			})
		}
	}
	return out
}

func (d *Daemon) receiveDraining(leaving []*peerapi.DrainingEngine) {
	for _, engine := range leaving {
		d.watcher.ReportDraining(ident.EngineID(engine.Engine), engine.Address, time.Duration(engine.KnownMsAgo)*time.Millisecond)
	}
}
