package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cresspond/cresspond/testbed/checker"
	"github.com/cresspond/cresspond/testbed/scenario"
	"github.com/cresspond/cresspond/wire/callerapi"
)

// summary is the outcome of one run.
type summary struct {
	Checks     int                `json:"checks"`
	Violations map[string]int     `json:"violations"`
	Figures    map[string]float64 `json:"figures"`
}

// figureNames are the figures of a summary, in the order of the table.
var figureNames = []string{"requests", "served %", "refused %", "unknown %", "replay %", "refused after s", "retries %", "back after s", "cold peak"}

func summarize(history *checker.History) summary {
	out := summary{Violations: map[string]int{}, Figures: map[string]float64{}}
	for _, finding := range checker.Check(history) {
		out.Checks += finding.Checked
		if len(finding.Violations) > 0 {
			out.Violations[finding.Rule] = len(finding.Violations)
		}
	}
	total := float64(max(1, len(history.Calls)))
	for _, call := range history.Calls {
		switch {
		case call.Complete():
			out.Figures["served %"] += 100 / total
		case call.Outcome == callerapi.Refused || call.Outcome == callerapi.Unknown || call.Outcome == callerapi.Replay:
			out.Figures[string(call.Outcome)+" %"] += 100 / total
		}
	}
	out.Figures["requests"] = total
	if refused, _ := checker.Refusals(history); len(refused) > 0 {
		out.Figures["refused after s"] = refused[len(refused)/2].Seconds()
	}
	first, again := checker.Retries(history)
	out.Figures["retries %"] = 100 * float64(again) / float64(max(1, first))
	if back := checker.Recovery(history); len(back) > 0 {
		out.Figures["back after s"] = slices.Max(back).Seconds()
	}
	out.Figures["cold peak"] = float64(checker.WarmingPeak(history))
	return out
}

func (s summary) write(path string) error {
	data, err := json.Marshal(s)
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o600)
}

// job is one run of a deployment.
type job struct {
	deployment, scenario string
	seed                 uint64
	outcome              *summary
	failure              string
}

// addAll adds the command that runs every scenario.
func addAll(app *kingpin.Application) command {
	clause := app.Command("all", "Run every scenario of both deployments, for each seed, and print one table over all seeds.")
	seeds := clause.Flag("seed", "A seed; give it once for each.").Default("1").Uint64List()
	scale := clause.Flag("scale", "Share of the deployments' load.").Default("0.5").Float64()
	parallel := clause.Flag("parallel", "How many fleets run at once; by default one for each three processors.").Default(fmt.Sprint(max(1, runtime.NumCPU()/3))).Int()
	only := clause.Flag("scenario", "Only this scenario; give it once for each.").Enums(scenario.Names()...)
	program := clause.Flag("cresspondd", "The daemon to run; by default the one beside this program.").String()
	return command{clause, func() error { return runAll(*seeds, *scale, *program, *parallel, *only) }}
}

// runAll runs every job in a process of its own, some at once, and goes on where one fails.
func runAll(seeds []uint64, scale float64, program string, parallel int, only []string) error {
	if parallel < 1 {
		return fmt.Errorf("at least one fleet must run at a time")
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "testbed-all-")
	if err != nil {
		return err
	}
	if len(only) == 0 {
		only = scenario.Names()
	}
	var jobs []*job
	for _, seed := range seeds {
		for _, what := range only {
			for _, name := range []string{"consortium", "cooperativa"} {
				jobs = append(jobs, &job{deployment: name, scenario: what, seed: seed})
			}
		}
	}
	began := time.Now()
	turns, say := make(chan struct{}, parallel), sync.Mutex{}
	var wait sync.WaitGroup
	for _, one := range jobs {
		turns <- struct{}{}
		wait.Add(1)
		go func() {
			defer wait.Done()
			defer func() { <-turns }()
			one.run(self, folder, program, scale)
			say.Lock()
			defer say.Unlock()
			fmt.Printf("%7.1f s  %s %s, seed %d: %s\n", time.Since(began).Seconds(), one.deployment, one.scenario, one.seed, one.word())
		}()
	}
	wait.Wait()
	return table(jobs, only, folder)
}

func (j *job) run(self, folder, program string, scale float64) {
	name := filepath.Join(folder, fmt.Sprintf("%s-%s-%d", j.deployment, j.scenario, j.seed))
	args := []string{"run", j.deployment, "--scenario", j.scenario, "--seed", fmt.Sprint(j.seed), "--scale", fmt.Sprint(scale), "--folder", name, "--result", name + ".json"}
	if program != "" {
		args = append(args, "--cresspondd", program)
	}
	output, err := exec.Command(self, args...).CombinedOutput()
	if err != nil {
		lines := strings.Split(strings.TrimSpace(string(output)), "\n")
		j.failure = lines[len(lines)-1]
		// The output is kept for the operator.
		_ = os.WriteFile(name+".log", output, 0o600)
	}
	var outcome summary
	if data, err := os.ReadFile(name + ".json"); err == nil && json.Unmarshal(data, &outcome) == nil {
		j.outcome = &outcome
	}
}

func (j *job) word() string {
	if j.failure != "" {
		return j.failure
	}
	return "all rules hold"
}

// table prints, for each deployment and scenario, checks and violations over all seeds, and the least, middle and most of each figure.
func table(jobs []*job, scenarios []string, folder string) error {
	fmt.Printf("\n| deployment | scenario | seeds | checks | violations | failed | %s |\n|%s\n", strings.Join(figureNames, " | "), strings.Repeat(" --- |", 6+len(figureNames)))
	failed := 0
	for _, name := range []string{"consortium", "cooperativa"} {
		for _, what := range scenarios {
			checks, violations, bad, count := 0, 0, 0, 0
			figures := map[string][]float64{}
			for _, one := range jobs {
				if one.deployment != name || one.scenario != what {
					continue
				}
				count++
				if one.failure != "" {
					bad++
				}
				if one.outcome == nil {
					continue
				}
				checks += one.outcome.Checks
				for _, n := range one.outcome.Violations {
					violations += n
				}
				for _, figure := range figureNames {
					figures[figure] = append(figures[figure], one.outcome.Figures[figure])
				}
			}
			failed += bad
			fmt.Printf("| %s | %s | %d | %d | %d | %d |", name, what, count, checks, violations, bad)
			for _, figure := range figureNames {
				fmt.Printf(" %s |", spread(figures[figure]))
			}
			fmt.Println()
		}
	}
	for _, one := range jobs {
		if one.failure != "" {
			fmt.Printf("\n%s %s, seed %d: %s", one.deployment, one.scenario, one.seed, one.failure)
			if one.outcome != nil {
				for rule, n := range one.outcome.Violations {
					fmt.Printf("\n  %s: %d", rule, n)
				}
			}
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d runs failed; their output is in %s", failed, len(jobs), folder)
	}
	return os.RemoveAll(folder)
}

// spread writes the least, middle and most of some values.
func spread(values []float64) string {
	if len(values) == 0 {
		return "-"
	}
	slices.Sort(values)
	write := func(v float64) string { return fmt.Sprintf("%.3g", v) }
	if values[len(values)-1] >= 1000 {
		write = func(v float64) string { return fmt.Sprintf("%.0f", v) }
	}
	return write(values[0]) + " / " + write(values[len(values)/2]) + " / " + write(values[len(values)-1])
}
