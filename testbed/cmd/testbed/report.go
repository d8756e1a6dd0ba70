package main

import (
	"fmt"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cresspond/cresspond/testbed/checker"
	"github.com/cresspond/cresspond/testbed/journal"
	"github.com/cresspond/cresspond/wire/callerapi"
)

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
		case call.Complete():
			outcomes["served"]++
			waits = append(waits, call.FirstChunk-call.Began)
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
