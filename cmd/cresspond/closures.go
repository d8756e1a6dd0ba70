package main

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// addClosureCommands adds the commands that close zones and drain engines.
func (c *commandLine) addClosureCommands() {
	zones := c.app.Command("zone", "Close or open a zone.")
	c.onZone(zones.Command("close", "Send nothing more to a zone's engines."), true)
	c.onZone(zones.Command("open", "Open a zone again."), false)
	c.onPage(zones.Command("list", "List what is closed."), operatorapi.PathClosures, showIndented)

	engine := c.app.Command("engine", "Drain an engine, or take it up again.")
	c.onDrain(engine.Command("drain", "Send nothing more to an engine."), true)
	c.onDrain(engine.Command("resume", "Send to an engine again."), false)
}

// baseFlag is the version of the closures that a change builds on.
func baseFlag(command *kingpin.CmdClause) *uint64 {
	return command.Flag("base", "The closure epoch that this builds on; zone list shows it.").Required().Uint64()
}

func (c *commandLine) onZone(command *kingpin.CmdClause, closed bool) {
	zone := command.Arg("zone", "The zone.").Required().String()
	base := baseFlag(command)
	c.onAs(command, func(t *tool, operator string) error {
		return t.post(operatorapi.PathZone, operatorapi.ZoneClosure{Zone: ident.ZoneID(*zone), Closed: &closed, Base: versionOf(base), Operator: operator})
	})
}

func (c *commandLine) onDrain(command *kingpin.CmdClause, draining bool) {
	engine := command.Arg("engine", "The engine.").Required().String()
	base := baseFlag(command)
	c.onAs(command, func(t *tool, operator string) error {
		return t.post(operatorapi.PathDrain, operatorapi.EngineDrain{Engine: ident.EngineID(*engine), Draining: &draining, Base: versionOf(base), Operator: operator})
	})
}

func versionOf(number *uint64) *ident.Version {
	version := ident.Version(*number)
	return &version
}
