// Command cresspond is the operators' tool: it takes bundles through their stages, closes zones,
// shows status, and traces one change through all daemons.
package main

import (
	"fmt"
	"net/url"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cresspond/cresspond/process/ident"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// version is set by the build.
var version = "0.1.0-dev"

func main() {
	app := kingpin.New("cresspond", "Operate a cresspond fleet.")
	app.Version(version)
	app.HelpFlag.Short('h')
	app.Terminate(func(status int) {
		if status != 0 {
			status = 2
		}
		os.Exit(status)
	})
	daemons := app.Flag("daemon", "IP:port of a daemon; give it once for each to try.").Envar("CRESSPOND_DAEMONS").Required().Strings()
	asJSON := app.Flag("json", "Print answers as JSON.").Bool()
	operator := app.Flag("operator", "Who you are.").Envar("CRESSPOND_OPERATOR").String()

	specs := app.Command("spec", "Take a bundle through its stages, or read it back.")
	propose := specs.Command("propose", "Propose a bundle.")
	proposeFile := propose.Arg("file", "The bundle, JSON; - for standard input.").Required().String()
	proposeID := propose.Flag("id", "The proposal's id; the same id sent again finds the same proposal.").Required().String()
	proposeBase := propose.Flag("base", "The epoch in force that this bundle builds on; 0 for the first.").Required().Uint64()
	proposeNote := propose.Flag("note", "A note for the reviewers.").String()
	acts := map[string]*string{}
	paths := map[string]string{}
	for _, act := range []struct{ name, help, path string }{
		{"review", "Say that you have reviewed a proposal.", operatorapi.PathReview},
		{"sign", "Sign a reviewed proposal off; its author may not.", operatorapi.PathSign},
		{"roll", "Put a signed proposal in force everywhere.", operatorapi.PathRoll},
	} {
		command := specs.Command(act.name, act.help)
		acts[command.FullCommand()] = command.Arg("id", "The proposal's id.").Required().String()
		paths[command.FullCommand()] = act.path
	}
	get := specs.Command("get", "Read a bundle back, byte for byte.")
	getEpoch := get.Arg("epoch", "Its epoch; 0 for the one in force.").Default("0").Uint64()
	history := specs.Command("history", "List all epochs with their sign-offs.")
	show := specs.Command("show", "Show one proposal with its stage.")
	showID := show.Arg("id", "The proposal's id.").Required().String()

	bundles := addBundleCommands(app)
	ranks := addNodeCommands(app)

	zones := app.Command("zone", "Close or open a zone.")
	zoneClose := zones.Command("close", "Send nothing more to a zone's engines.")
	zoneCloseName := zoneClose.Arg("zone", "The zone.").Required().String()
	const baseHelp = "The closure epoch that this builds on; zone list shows it."
	zoneCloseBase := zoneClose.Flag("base", baseHelp).Required().Uint64()
	zoneOpen := zones.Command("open", "Open a zone again.")
	zoneOpenName := zoneOpen.Arg("zone", "The zone.").Required().String()
	zoneOpenBase := zoneOpen.Flag("base", baseHelp).Required().Uint64()
	zoneList := zones.Command("list", "List what is closed.")

	engine := app.Command("engine", "Drain an engine, or take it up again.")
	engineDrain := engine.Command("drain", "Send nothing more to an engine.")
	engineDrainID := engineDrain.Arg("engine", "The engine.").Required().String()
	engineDrainBase := engineDrain.Flag("base", baseHelp).Required().Uint64()
	engineResume := engine.Command("resume", "Send to an engine again.")
	engineResumeID := engineResume.Arg("engine", "The engine.").Required().String()
	engineResumeBase := engineResume.Flag("base", baseHelp).Required().Uint64()

	daemon := app.Command("daemon", "Say what became of a daemon.")
	daemonLost := daemon.Command("lost", "Declare that a silent daemon will never serve again, so that changes need not wait for it.")
	daemonLostID := daemonLost.Arg("daemon", "Its full name with the mark of its life, as trace and status show it.").Required().String()

	status := app.Command("status", "Show a daemon's own word on itself, its fellows and the engines.")
	engines := app.Command("engines", "List the engines that register themselves, as a daemon knows them.")
	counters := app.Command("counters", "Show a daemon's counters.")
	trace := app.Command("trace", "Follow one change through all daemons.")
	traceKind := trace.Arg("kind", "spec or closure.").Required().Enum("spec", "closure")
	traceEpoch := trace.Arg("epoch", "Its epoch.").Required().Uint64()

	chosenCommand, err := app.Parse(os.Args[1:])
	if err != nil {
		app.Fatalf("%s, try --help", err)
	}
	t := &tool{asJSON: *asJSON, client: newClient()}
	for _, daemon := range *daemons {
		t.daemons = append(t.daemons, strings.FieldsFunc(daemon, func(r rune) bool { return r == ',' || r == ' ' || r == '\n' })...)
	}
	needsOperator := func() {
		if *operator == "" {
			app.Fatalf("this command needs --operator or CRESSPOND_OPERATOR")
		}
	}
	yes, no := true, false
	switch chosenCommand {
	case propose.FullCommand():
		needsOperator()
		err = t.propose(*proposeFile, operatorapi.Propose{ProposalID: *proposeID, Base: ident.Epoch(*proposeBase), Operator: *operator, Note: *proposeNote})
	case get.FullCommand():
		err = t.page(fmt.Sprintf("%s?epoch=%d", operatorapi.PathSpec, *getEpoch), func(data []byte) error { _, err := os.Stdout.Write(data); return err })
	case history.FullCommand():
		err = t.page(operatorapi.PathHistory, t.showHistory)
	case show.FullCommand():
		err = t.page(operatorapi.PathProposal+"?id="+url.QueryEscape(*showID), showProposal)
	case zoneClose.FullCommand():
		needsOperator()
		err = t.post(operatorapi.PathZone, operatorapi.Zone{Zone: ident.ZoneID(*zoneCloseName), Closed: &yes, Base: epochOf(zoneCloseBase), Operator: *operator})
	case zoneOpen.FullCommand():
		needsOperator()
		err = t.post(operatorapi.PathZone, operatorapi.Zone{Zone: ident.ZoneID(*zoneOpenName), Closed: &no, Base: epochOf(zoneOpenBase), Operator: *operator})
	case zoneList.FullCommand():
		err = t.page(operatorapi.PathClosures, showIndented)
	case engineDrain.FullCommand():
		needsOperator()
		err = t.post(operatorapi.PathDrain, operatorapi.Drain{Engine: ident.EngineID(*engineDrainID), Draining: &yes, Base: epochOf(engineDrainBase), Operator: *operator})
	case engineResume.FullCommand():
		needsOperator()
		err = t.post(operatorapi.PathDrain, operatorapi.Drain{Engine: ident.EngineID(*engineResumeID), Draining: &no, Base: epochOf(engineResumeBase), Operator: *operator})
	case daemonLost.FullCommand():
		needsOperator()
		err = t.post(operatorapi.PathLost, operatorapi.Lost{Daemon: ident.NodeID(*daemonLostID), Operator: *operator})
	case status.FullCommand():
		err = t.page(operatorapi.PathStatus, t.showStatus)
	case engines.FullCommand():
		err = t.page(operatorapi.PathEngines, showEngines)
	case counters.FullCommand():
		err = t.page(operatorapi.PathCounters, func(data []byte) error { _, err := os.Stdout.Write(data); return err })
	case trace.FullCommand():
		err = t.page(fmt.Sprintf("%s?change=%s:%d", operatorapi.PathTrace, *traceKind, *traceEpoch), t.showTrace)
	default:
		done := false
		if done, err = bundles.run(t, chosenCommand, *operator, needsOperator); done {
			break
		}
		if done, err = ranks.run(t, chosenCommand, *operator, needsOperator); done {
			break
		}
		needsOperator()
		err = t.post(paths[chosenCommand], operatorapi.Act{ProposalID: *acts[chosenCommand], Operator: *operator})
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "cresspond: "+err.Error())
		os.Exit(1)
	}
	if t.notEverywhere {
		os.Exit(exitNotEverywhere)
	}
}
