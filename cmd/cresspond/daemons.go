package main

import (
	"fmt"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/featuregates"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// addDaemonCommands adds the commands on daemons: what they show, and what is said of a lost one.
func (c *commandLine) addDaemonCommands() {
	daemon := c.app.Command("daemon", "Say what became of a daemon.")
	lost := daemon.Command("lost", "Declare that a silent daemon will never serve again, so that changes need not wait for it.")
	id := lost.Arg("daemon", "Its full name with the mark of its incarnation, as trace and status show it.").Required().String()
	c.onAs(lost, func(t *tool, operator string) error {
		return t.post(operatorapi.PathDeclareLost, operatorapi.DeclareLost{Daemon: ident.NodeID(*id), Operator: operator})
	})

	c.onPage(c.app.Command("status", "Show what a daemon knows of itself, its peers and the engines."), operatorapi.PathStatus, showStatus)
	c.onPage(c.app.Command("engines", "List the engines that register themselves, as a daemon knows them."), operatorapi.PathEngines, showEngines)
	c.onPage(c.app.Command("counters", "Show a daemon's counters."), operatorapi.PathCounters, showAsIs)

	mechanisms := c.app.Command("mechanisms", "List the mechanisms that an experiment can go without.")
	c.offline[mechanisms.FullCommand()] = true
	c.on(mechanisms, func(t *tool) error {
		for _, one := range featuregates.Descriptions() {
			fmt.Printf("%-18s %s\n", one.Name, one.Purpose)
		}
		return nil
	})

	trace := c.app.Command("trace", "Follow one change through all daemons.")
	kind := trace.Arg("kind", "spec or closure.").Required().Enum("spec", "closure")
	version := trace.Arg("epoch", "Its epoch.").Required().Uint64()
	c.on(trace, func(t *tool) error {
		return t.page(fmt.Sprintf("%s?change=%s:%d", operatorapi.PathTrace, *kind, *version), showTrace)
	})
}
