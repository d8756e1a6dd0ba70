package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"
	"time"

	platformchecker "github.com/cresspond/cresspond/testbed/platformtest/checker"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	platformscenario "github.com/cresspond/cresspond/testbed/platformtest/scenario"
)

// runPlatform runs a fleet on the users' platform, and checks its history by their rules.
func runPlatform(options platformscenario.Options, keep bool) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if options.Program == "" {
		options.Program = filepath.Join(filepath.Dir(self), "cresspond-platform")
	}
	for _, program := range []string{options.Program, options.OtherProgram} {
		if program == "" {
			continue
		}
		if _, err := os.Stat(program); err != nil {
			return fmt.Errorf("the daemon cannot be run: %w", err)
		}
	}
	if options.Folder == "" {
		if options.Folder, err = os.MkdirTemp("", "testbed-"); err != nil {
			return err
		}
	}
	options.Say = sayer()
	fmt.Printf("the users' platform, seed %d, scale %g, folder %s\n", options.Seed, options.Scale, options.Folder)
	h, err := platformscenario.Play(context.Background(), options)
	if err != nil {
		return err
	}
	bad := printFindings(h)
	for _, log := range platformscenario.Logs(options.Folder) {
		bad++
		fmt.Println("  a process says in its log that something broke:", log)
	}
	platformFigures(h)
	if stalled := platformscenario.Stalled(h); stalled > 0 {
		fmt.Printf("this machine itself stalled for %v of %v, which excuses what the rules excuse\n", stalled.Round(time.Millisecond), h.Ended.Since(h.Began).Round(time.Second))
	}
	if bad > 0 {
		return errors.Join(fmt.Errorf("%d rules did not hold (seed %d, folder %s)", bad, options.Seed, options.Folder), writeHistory(h, options.Folder))
	}
	if !keep {
		return os.RemoveAll(options.Folder)
	}
	return nil
}

// writeHistory writes what clients, engines and operators saw beside the logs, so that a violation can be traced.
func writeHistory(h *history.History, folder string) error {
	data, err := json.Marshal(h)
	if err != nil {
		return fmt.Errorf("the history cannot be encoded: %w", err)
	}
	return os.WriteFile(filepath.Join(folder, "history.json"), data, 0o600)
}

// printFindings prints the table of findings and returns how many rules were broken.
func printFindings(h *history.History) int {
	findings := platformchecker.CheckAll(h, platformscenario.Bounds)
	bad := 0
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(out, "\nrule\tchecked\tviolations")
	for _, finding := range findings {
		note := ""
		if finding.Checked == 0 {
			note = "  not part of this run"
		}
		if len(finding.Violations) > 0 {
			bad++
		}
		fmt.Fprintf(out, "%s\t%d\t%d%s\n", finding.Rule, finding.Checked, len(finding.Violations), note)
	}
	out.Flush()
	for _, finding := range findings {
		for place, violation := range finding.Violations {
			if place == 5 {
				fmt.Printf("  ... and %d more\n", len(finding.Violations)-place)
				break
			}
			fmt.Printf("  %s: %s\n", finding.Rule, violation)
		}
	}
	return bad
}

// platformFigures prints figures that no rule is about.
func platformFigures(h *history.History) {
	type tally struct {
		tries, served, promised, failed, cut, gaveUp int
		first                                        []time.Duration
	}
	kinds := map[string]*tally{}
	for _, try := range h.Attempts {
		count := kinds[try.Kind]
		if count == nil {
			count = &tally{}
			kinds[try.Kind] = count
		}
		count.tries++
		switch {
		case try.Success():
			count.served++
			count.first = append(count.first, try.First.Since(try.Began))
		case try.ClientClosed:
			count.gaveUp++
		case try.PromisesNotRun():
			count.promised++
		case try.Status == 0 || !try.Complete:
			count.cut++
		default:
			count.failed++
		}
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(out, "\nkind\ttries\tserved\trefused with a promise\tfailed\tcut\tgiven up\tfirst byte, median / 99 %")
	names := []string{}
	for name := range kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		count := kinds[name]
		slices.Sort(count.first)
		median, most := time.Duration(0), time.Duration(0)
		if len(count.first) > 0 {
			median, most = count.first[len(count.first)/2], count.first[len(count.first)*99/100]
		}
		fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%v / %v\n", name, count.tries, count.served, count.promised, count.failed, count.cut, count.gaveUp, median.Round(time.Millisecond), most.Round(time.Millisecond))
	}
	out.Flush()
	arrivals, again, probes, orders, loads := map[string]int{}, 0, 0, 0, 0
	for _, arrival := range h.Arrivals {
		if arrival.HealthCheck {
			probes++
			continue
		}
		if arrivals[arrival.AttemptID]++; arrivals[arrival.AttemptID] > 1 {
			again++
		}
	}
	for _, order := range h.Orders {
		orders++
		if order.FromStore && order.Status == 202 {
			loads++
		}
	}
	limits := platformchecker.RefusedUnderLimit(h, platformscenario.Bounds)
	fmt.Printf("attempts of tenants under their limits %d, of these answered 429 %d (%.2f %%)\n", limits.Attempts, limits.Refused, 100*limits.Share())
	fmt.Printf("arrivals at engines %d, further ones %d, probes %d, orders %d, loads from the store %d\n", len(h.Arrivals)-probes, again, probes, orders, loads)
}
