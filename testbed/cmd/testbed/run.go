package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cresspond/cresspond/testbed/checker"
	platformscenario "github.com/cresspond/cresspond/testbed/platformtest/scenario"
	"github.com/cresspond/cresspond/testbed/scenario"
)

// runOptions select a run of a deployment.
type runOptions struct {
	deployment string
	// scenario is of the product's own deployments, faults and faultCount are of the users' platform.
	scenario   string
	faults     []string
	faultCount int
	seed       uint64
	scale      float64
	programs   programs
	folder     string
	keep       bool
	result     string
}

// usersPlatform is the name of the deployment on the users' platform.
const usersPlatform = "platform"

// addRun adds the command that runs one deployment.
func addRun(app *kingpin.Application) (*kingpin.CmdClause, *runOptions) {
	options := &runOptions{}
	clause := app.Command("run", "Run a deployment with faults and check its history: small, consortium, cooperativa, or platform for the users' platform.")
	clause.Arg("deployment", "The deployment.").Required().EnumVar(&options.deployment, "small", "consortium", "cooperativa", usersPlatform)
	clause.Flag("scenario", "What happens: "+strings.Join(scenario.Names(), ", ")+".").Default("day").EnumVar(&options.scenario, scenario.Names()...)
	clause.Flag("seed", "Seed of the run.").Default("1").Uint64Var(&options.seed)
	clause.Flag("scale", "Share of the deployment's load.").Default("1").Float64Var(&options.scale)
	clause.Flag("fault", "On the users' platform: a fault to play; give it once for each, in order. "+strings.Join(platformscenario.Names(), ", ")+".").EnumsVar(&options.faults, platformscenario.Names()...)
	clause.Flag("act", "The earlier name of --fault.").Hidden().EnumsVar(&options.faults, platformscenario.Names()...)
	clause.Flag("faults", "On the users' platform: how many faults are drawn from the seed, where none is named.").Default("8").IntVar(&options.faultCount)
	clause.Flag("acts", "The earlier name of --faults.").Hidden().IntVar(&options.faultCount)
	clause.Flag("cresspondd", "The daemon to run; by default the one beside this program.").StringVar(&options.programs.daemon)
	clause.Flag("other-program", "Another build of the daemon, which every second machine starts with; machines change from one to the other under way.").StringVar(&options.programs.other)
	clause.Flag("folder", "Folder for logs and journals; by default a new one, removed after a run without violations.").StringVar(&options.folder)
	clause.Flag("keep", "Keep the folder.").BoolVar(&options.keep)
	clause.Flag("result", "File to write the outcome to, as JSON.").StringVar(&options.result)
	return clause, options
}

// execute runs the deployment.
func (o *runOptions) execute() error {
	if o.deployment == usersPlatform {
		return runPlatform(platformscenario.Options{Seed: o.seed, Program: o.programs.daemon, OtherProgram: o.programs.other, Folder: o.folder, Faults: o.faults, Count: o.faultCount, Scale: o.scale}, o.keep)
	}
	return runDeployment(o.deployment, o.scenario, o.seed, o.scale, o.programs, o.folder, o.keep, o.result)
}

// runDeployment runs a scenario of one of the product's own deployments, and fails where a rule did not hold or was not
// checked.
func runDeployment(name, what string, seed uint64, scale float64, run programs, folder string, keep bool, result string) error {
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
