package main

import (
	"fmt"
	"net"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cresspond/cresspond/testbed/deployment"
	"github.com/cresspond/cresspond/testbed/engine"
	"github.com/cresspond/cresspond/testbed/journal"
)

// addEngine adds the hidden command that fleets start their simulated engines with.
func addEngine(app *kingpin.Application) command {
	clause := app.Command("engine", "Be a simulated engine.").Hidden()
	name := clause.Flag("deployment", "The deployment.").Required().String()
	id := clause.Flag("id", "The engine's id.").Required().String()
	listen := clause.Flag("listen", "IP:port.").Required().String()
	journal := clause.Flag("journal", "File to write down all that happens.").Required().String()
	return command{clause, func() error { return beEngine(*name, *id, *listen, *journal) }}
}

func beEngine(name, id, listen, path string) error {
	d, known := deployment.Named(name)
	if !known {
		return fmt.Errorf("no such deployment: %s", name)
	}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	writer, err := journal.NewWriter(path, id)
	if err != nil {
		return err
	}
	sizes := map[string]int64{}
	for i := range d.Models {
		sizes[deployment.ModelName(i)] = deployment.Size(i)
	}
	return engine.New(engine.Config{ID: id, Capacity: d.Capacity, Sizes: sizes, Slots: d.Slots, AdapterSlots: d.AdapterSlots,
		LoadTime: 600 * time.Millisecond, AdapterTime: 150 * time.Millisecond, ChunkTime: 12 * time.Millisecond, ReportLag: 150 * time.Millisecond}, writer).Serve(listener)
}
