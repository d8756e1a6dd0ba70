// Command cresspond is the operators' tool: it takes bundles through their stages, closes zones,
// shows status, and traces one change through all daemons.
package main

import (
	"cmp"
	"crypto/rand"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cresspond/cresspond/cmd/internal/application"
)

// version is set by the build.
var version = "0.1.0-dev"

const (
	exitFailed = 1
	// exitNotEverywhere says that a change is committed, and not yet in force at all daemons that may be serving.
	exitNotEverywhere = 3
)

const (
	// askLimit bounds one request to a daemon, and dialLimit the time until it is connected.
	askLimit  = 12 * time.Second
	dialLimit = time.Second
	// askPatience is for how long the daemons are asked in rounds while none of them knows the outcome; roundPause is
	// between two rounds.
	askPatience = 8 * time.Second
	roundPause  = 200 * time.Millisecond
)

func main() {
	commands := newCommandLine()
	chosen, err := commands.app.Parse(os.Args[1:])
	if err != nil {
		commands.app.Fatalf("%s, try --help", err)
	}
	t := commands.tool()
	if len(t.daemons) == 0 && !commands.offline[chosen] {
		commands.app.Fatalf("required flag(s) '--daemon' not provided, try --help")
	}
	if err := commands.run[chosen](t); err != nil {
		fmt.Fprintln(os.Stderr, "cresspond: "+err.Error())
		os.Exit(exitFailed)
	}
	if t.notEverywhere {
		os.Exit(exitNotEverywhere)
	}
}

// commandLine is the tool's flags and commands.
type commandLine struct {
	app      *kingpin.Application
	daemons  *[]string
	asJSON   *bool
	operator *string
	callID   *string
	// run holds what each command does, by its full name.
	run map[string]func(*tool) error
	// offline holds the full names of the commands that ask no daemon.
	offline map[string]bool
}

func newCommandLine() *commandLine {
	app := application.New("cresspond", "Operate a cresspond fleet.", version)
	c := &commandLine{app: app, run: map[string]func(*tool) error{}, offline: map[string]bool{}}
	c.daemons = app.Flag("daemon", "IP:port of a daemon; give it once for each to try.").Envar("CRESSPOND_DAEMONS").Strings()
	c.asJSON = app.Flag("json", "Print answers as JSON.").Bool()
	c.operator = app.Flag("operator", "Who you are.").Envar("CRESSPOND_OPERATOR").String()
	c.callID = app.Flag("call-id", "The id of a change; the same change with the same id finds what became of it. Made up where it is not given.").String()
	c.addProposalCommands()
	c.addBundleCommands()
	c.addNodeCommands()
	c.addClosureCommands()
	c.addDaemonCommands()
	c.addTenantCommands()
	return c
}

// on sets what a command does.
func (c *commandLine) on(command *kingpin.CmdClause, do func(*tool) error) {
	c.run[command.FullCommand()] = do
}

// onAs sets what a command does that needs to know the operator.
func (c *commandLine) onAs(command *kingpin.CmdClause, do func(t *tool, operator string) error) {
	c.on(command, func(t *tool) error {
		if *c.operator == "" {
			c.app.Fatalf("this command needs --operator or CRESSPOND_OPERATOR")
		}
		return do(t, *c.operator)
	})
}

// onPage makes a command show a page of a daemon.
func (c *commandLine) onPage(command *kingpin.CmdClause, path string, show func([]byte) error) {
	c.on(command, func(t *tool) error { return t.page(path, show) })
}

// tool makes the client from the flags.
func (c *commandLine) tool() *tool {
	t := &tool{asJSON: *c.asJSON, client: newClient(), patience: askPatience, callID: cmp.Or(*c.callID, rand.Text())}
	for _, daemon := range *c.daemons {
		t.daemons = append(t.daemons, strings.FieldsFunc(daemon, func(r rune) bool { return r == ',' || r == ' ' || r == '\n' })...)
	}
	return t
}
