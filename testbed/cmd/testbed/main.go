// Command testbed runs a whole fleet on one machine, injects faults, and checks the recorded history against the rules of
// what must never happen. Each command has a file of its own. The program was called rehearse before; names of commands
// and flags from then still work.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// version is set by the build.
var version = "0.1.0-dev"

// command is a command of the program; run executes it once its flags are parsed.
type command struct {
	clause *kingpin.CmdClause
	run    func() error
}

func main() {
	app := kingpin.New("testbed", "Runs a fleet on one machine with faults, and checks its history.")
	app.Version(version)
	app.HelpFlag.Short('h')
	app.Terminate(func(status int) {
		if status != 0 {
			status = 2
		}
		os.Exit(status)
	})

	runClause, runOptions := addRun(app)
	compareClause, comparison := addCompare(app)
	commands := []command{
		{runClause, runOptions.execute},
		addAll(app), addOverhead(app), addUp(app), addEngine(app), addGenerate(app),
		{compareClause, func() error { return comparison.run(os.Stdout, os.Stderr) }},
	}
	runScale := addScale(app)

	chosen, err := app.Parse(os.Args[1:])
	if err != nil {
		app.Fatalf("%s, try --help", err)
	}
	execute := func() error { return runScale(chosen) }
	for _, one := range commands {
		if chosen == one.clause.FullCommand() {
			execute = one.run
		}
	}
	if err := execute(); err != nil {
		fmt.Fprintln(os.Stderr, "testbed: "+err.Error())
		os.Exit(1)
	}
}
