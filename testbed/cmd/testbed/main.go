// Command rehearse brings a whole deployment up on one machine, makes its failures happen, and
// judges the history by the rules of what must never happen.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cresspond/cresspond/testbed/checker"
	"github.com/cresspond/cresspond/testbed/deployment"
	"github.com/cresspond/cresspond/testbed/engine"
	"github.com/cresspond/cresspond/testbed/fleet"
	"github.com/cresspond/cresspond/testbed/journal"
	platformscenario "github.com/cresspond/cresspond/testbed/platformtest/scenario"
	"github.com/cresspond/cresspond/testbed/scenario"
	"github.com/cresspond/cresspond/wire/callerapi"
)

// version is set by the build.
var version = "0.1.0-dev"

func main() {
	app := kingpin.New("rehearse", "Rehearses a cresspond deployment on one machine, with failures.")
	app.Version(version)
	app.HelpFlag.Short('h')
	app.Terminate(func(status int) {
		if status != 0 {
			status = 2
		}
		os.Exit(status)
	})

	run := app.Command("run", "Run a deployment's day with failures and judge it: small, consortium, cooperativa, or platform for the users' platform.")
	runName := run.Arg("deployment", "The deployment.").Required().Enum("small", "consortium", "cooperativa", "platform")
	runScenario := run.Flag("scenario", "What happens: "+strings.Join(scenario.Names(), ", ")+".").Default("day").Enum(scenario.Names()...)
	runSeed := run.Flag("seed", "Seed of the run.").Default("1").Uint64()
	runScale := run.Flag("scale", "Share of the deployment's load.").Default("1").Float64()
	runActs := run.Flag("act", "On the users' platform: a trouble that happens; give it once for each, in order. "+strings.Join(platformscenario.Names(), ", ")+".").Enums(platformscenario.Names()...)
	runCount := run.Flag("acts", "On the users' platform: how many troubles are drawn from the seed, where none is named.").Default("8").Int()
	runProgram := run.Flag("cresspondd", "The daemon to run; by default the one beside this program.").String()
	runOther := run.Flag("other-program", "Another build of the daemon, which every second machine starts with; machines change from one to the other under way.").String()
	runFolder := run.Flag("folder", "Folder for logs and journals; by default a new one, removed after a run without violations.").String()
	runKeep := run.Flag("keep", "Keep the folder.").Bool()
	runResult := run.Flag("result", "File to write the outcome to, as JSON.").String()

	all := app.Command("all", "Run every scenario of both deployments, for each seed, and print one table over all seeds.")
	allSeeds := all.Flag("seed", "A seed; give it once for each.").Default("1").Uint64List()
	allScale := all.Flag("scale", "Share of the deployments' load.").Default("0.5").Float64()
	allParallel := all.Flag("parallel", "How many fleets run at once; by default one for each three processors.").Default(fmt.Sprint(max(1, runtime.NumCPU()/3))).Int()
	allScenarios := all.Flag("scenario", "Only this scenario; give it once for each.").Enums(scenario.Names()...)
	allProgram := all.Flag("cresspondd", "The daemon to run; by default the one beside this program.").String()

	over := app.Command("overhead", "Compare requests through a routing daemon with the engine asked straight.")
	overRounds := over.Flag("rounds", "How many rounds.").Default("5").Int()
	overEach := over.Flag("each", "Requests of each kind in a round.").Default("60").Int()
	overProgram := over.Flag("cresspondd", "The daemon to run; by default the one beside this program.").String()

	up := app.Command("up", "Bring a deployment up, serve one request, and leave it running until interrupted.")
	upName := up.Arg("deployment", "The deployment.").Required().Enum("small", "consortium", "cooperativa")
	upProgram := up.Flag("cresspondd", "The daemon to run; by default the one beside this program.").String()
	upFolder := up.Flag("folder", "Folder for logs and journals.").String()
	upOnce := up.Flag("once", "End after the one request.").Bool()

	stand := app.Command("engine", "Be a stand-in engine.").Hidden()
	standName := stand.Flag("deployment", "The deployment.").Required().String()
	standID := stand.Flag("id", "The engine's id.").Required().String()
	standListen := stand.Flag("listen", "IP:port.").Required().String()
	standJournal := stand.Flag("journal", "File to write down all that happens.").Required().String()

	daysVerb, writeDays := addDays(app)
	scaled := addScale(app)
	compareVerb, comparison := addCompare(app)

	chosenCommand, err := app.Parse(os.Args[1:])
	if err != nil {
		app.Fatalf("%s, try --help", err)
	}
	switch chosenCommand {
	case run.FullCommand():
		if *runName == "platform" {
			err = rehearsePlatform(platformscenario.Options{Seed: *runSeed, Program: *runProgram, OtherProgram: *runOther, Folder: *runFolder, Faults: *runActs, Count: *runCount, Scale: *runScale}, *runKeep)
			break
		}
		err = rehearse(*runName, *runScenario, *runSeed, *runScale, programs{*runProgram, *runOther}, *runFolder, *runKeep, *runResult)
	case all.FullCommand():
		err = rehearseAll(*allSeeds, *allScale, *allProgram, *allParallel, *allScenarios)
	case over.FullCommand():
		err = overhead(*overRounds, *overEach, programs{daemon: *overProgram})
	case up.FullCommand():
		err = bringUp(*upName, programs{daemon: *upProgram}, *upFolder, *upOnce)
	case stand.FullCommand():
		err = beEngine(*standName, *standID, *standListen, *standJournal)
	case daysVerb.FullCommand():
		err = writeDays()
	case compareVerb.FullCommand():
		err = comparison.run(os.Stdout, os.Stderr)
	default:
		err = scaled(chosenCommand)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "rehearse: "+err.Error())
		os.Exit(1)
	}
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
	return engine.New(engine.Config{ID: id, Room: d.Room, Sizes: sizes, Slots: d.Slots, AdapterPlaces: d.AdapterPlaces,
		LoadTime: 600 * time.Millisecond, AdapterTime: 150 * time.Millisecond, PieceTime: 12 * time.Millisecond, ReportLag: 150 * time.Millisecond}, writer).Serve(listener)
}

// programs are the builds of the daemon that a fleet runs. An empty daemon is the one beside this program; an empty
// other is none.
type programs struct {
	daemon, other string
}

// lay prepares a fleet.
func lay(name string, run programs, folder string) (*fleet.Fleet, error) {
	d, _ := deployment.Named(name)
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	if run.daemon == "" {
		run.daemon = filepath.Join(filepath.Dir(self), "cresspondd")
	}
	if run.other == "" {
		run.other = run.daemon
	}
	for _, program := range []string{run.daemon, run.other} {
		if _, err := os.Stat(program); err != nil {
			return nil, fmt.Errorf("the daemon cannot be run: %w", err)
		}
	}
	if folder == "" {
		if folder, err = os.MkdirTemp("", "rehearse-"); err != nil {
			return nil, err
		}
	}
	return fleet.New(d, folder, [2]string{run.daemon, run.other}, self)
}

func sayer() func(string, ...any) {
	began := time.Now()
	return func(format string, args ...any) {
		fmt.Printf("%7.2f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}
}

func rehearse(name, what string, seed uint64, scale float64, run programs, folder string, keep bool, result string) error {
	f, err := lay(name, run, folder)
	if err != nil {
		return err
	}
	defer f.Stop()
	fmt.Printf("deployment %s, scenario %s, seed %d, scale %g, folder %s\n", name, what, seed, scale, f.Folder)
	r := scenario.New(f, seed, sayer())
	counters, err := r.Play(context.Background(), what, scale)
	if err != nil {
		return err
	}
	history, err := r.Finish()
	if err != nil {
		return err
	}
	if err := writeCalls(filepath.Join(f.Folder, "calls.jsonl"), history); err != nil {
		return err
	}
	bad := report(history, counters, scenario.Unchecked(what))
	if result != "" {
		if err := summarize(history).write(result); err != nil {
			return err
		}
	}
	if bad > 0 {
		return fmt.Errorf("%d rules did not hold or were not checked (seed %d, folder %s)", bad, seed, f.Folder)
	}
	if !keep {
		return os.RemoveAll(f.Folder)
	}
	return nil
}

// writeCalls leaves what every caller saw beside the engines' journals.
func writeCalls(path string, history *checker.History) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	encoder := json.NewEncoder(file)
	for _, call := range history.Calls {
		if err := encoder.Encode(call); err != nil {
			return err
		}
	}
	return nil
}

// report prints the table and says how many rules failed.
func report(history *checker.History, counters map[string]uint64, unchecked map[string]bool) int {
	bad := 0
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(out, "\nrule\tchecked\tviolations")
	findings := checker.Check(history)
	for _, finding := range findings {
		note := ""
		if finding.Checked == 0 {
			note = "  nothing was checked"
		}
		if unchecked[finding.Rule] && finding.Checked == 0 {
			note = "  not part of this scenario"
		} else if !finding.OK() {
			bad++
		}
		fmt.Fprintf(out, "%s\t%d\t%d%s\n", finding.Rule, finding.Checked, len(finding.Violations), note)
	}
	out.Flush()
	for _, finding := range findings {
		for i, violation := range finding.Violations {
			if i == 5 {
				fmt.Printf("  ... and %d more\n", len(finding.Violations)-i)
				break
			}
			fmt.Printf("  %s: %s\n", finding.Rule, violation)
		}
	}
	figures(history, counters)
	return bad
}

func figures(history *checker.History, counters map[string]uint64) {
	outcomes := map[string]int{}
	var waits []time.Duration
	for _, call := range history.Calls {
		switch {
		case call.Whole():
			outcomes["served"]++
			waits = append(waits, call.FirstPiece-call.Began)
		case call.Outcome != "":
			outcomes[string(call.Outcome)]++
		default:
			outcomes["no answer"]++
		}
	}
	slices.Sort(waits)
	first, again := checker.Retries(history)
	begins := map[string]int{}
	orders := 0
	for _, line := range history.Journals {
		switch line.Kind {
		case journal.Begin:
			begins[line.Attempt]++
		case journal.Order:
			orders++
		}
	}
	duplicates := 0
	for _, n := range begins {
		if n > 1 {
			duplicates++
		}
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(out, "\nfigure\tvalue")
	for _, name := range []string{"served", string(callerapi.Refused), string(callerapi.BrokenOff), string(callerapi.Unknown), string(callerapi.Invalid), string(callerapi.Replay), "no answer"} {
		fmt.Fprintf(out, "%s\t%d\n", name, outcomes[name])
	}
	fmt.Fprintf(out, "first goes\t%d\nretries\t%d (%.2f %%)\n", first, again, 100*float64(again)/float64(max(1, first)))
	fmt.Fprintf(out, "repeatable requests that ran more than once\t%d\norders taken\t%d\n", duplicates, orders)
	fmt.Fprintf(out, "bytes to engines in the own zone\t%d\nbytes to engines in other zones\t%d\n", counters["bytes_own_zone"], counters["bytes_other_zone"])
	if len(waits) > 0 {
		fmt.Fprintf(out, "first piece after, median / 99 %%\t%v / %v\n", waits[len(waits)/2].Round(time.Millisecond), waits[len(waits)*99/100].Round(time.Millisecond))
	}
	if refused, couldHave := checker.Refusals(history); len(refused) > 0 {
		fmt.Fprintf(out, "refused after, least / median / most\t%v / %v / %v\n", refused[0].Round(time.Millisecond),
			refused[len(refused)/2].Round(time.Millisecond), refused[len(refused)-1].Round(time.Millisecond))
		fmt.Fprintf(out, "refused though the model stood before the deadline\t%d\n", couldHave)
	}
	for i, took := range checker.Recovery(history) {
		fmt.Fprintf(out, "crash %d: a whole answer after\t%v\n", i+1, took.Round(time.Millisecond))
	}
	out.Flush()
}

func overhead(rounds, each int, run programs) error {
	if rounds < 1 || each < 1 {
		return fmt.Errorf("there must be at least one round of one request")
	}
	f, err := lay("small", run, "")
	if err != nil {
		return err
	}
	defer f.Stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	return scenario.New(f, 1, sayer()).Overhead(ctx, rounds, each)
}

func bringUp(name string, run programs, folder string, once bool) error {
	f, err := lay(name, run, folder)
	if err != nil {
		return err
	}
	defer f.Stop()
	say := sayer()
	r := scenario.New(f, 1, say)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := r.Begin(ctx); err != nil {
		return err
	}
	kind := f.Deployment.Kinds[0]
	if err := r.Await("an edge is handed connections", func() bool {
		record := r.Call(fmt.Sprintf("first-request-%d", time.Now().UnixNano()), callerapi.Generate{Route: kind.Route, House: kind.House, Model: deployment.ModelName(0), DeadlineMs: kind.DeadlineMs})
		return record.Whole()
	}); err != nil {
		return err
	}
	say("one request was served whole")
	for _, p := range f.Daemons {
		fmt.Printf("%-8s zone %-10s callers and operators at %s\n", p.Name, p.Zone, p.Address)
	}
	// What an operator at a shell needs to try things out.
	var daemons []string
	for _, p := range f.Daemons {
		daemons = append(daemons, p.Address)
	}
	hints := fmt.Sprintf("export CRESSPOND_DAEMONS=%s\nexport EDGE=%s\n", strings.Join(daemons, ","), f.Edges()[0].Address)
	if err := os.WriteFile(filepath.Join(f.Folder, "env"), []byte(hints), 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(f.Folder, "bundle.json"), f.Deployment.Spec("second", nil), 0o600); err != nil {
		return err
	}
	if once {
		return nil
	}
	fmt.Println("running until interrupted")
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	return nil
}
