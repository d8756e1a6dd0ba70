package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

func at(t ident.GroupTime) string { return time.UnixMilli(int64(t)).UTC().Format(time.RFC3339) }

func showHistory(data []byte) error {
	var list []statemachine.Proposal
	if err := json.Unmarshal(data, &list); err != nil {
		return err
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(out, "epoch\tproposal\tauthor\treviewed by\tsigned by\trolled by\tat")
	for _, proposal := range list {
		fmt.Fprintf(out, "%d\t%s\t%s\t%s\t%s\t%s\t%s\n", proposal.Version, proposal.ID, proposal.Proposed.Operator, names(proposal.Reviews), names(proposal.SignOffs), proposal.RolledOut.Operator, at(proposal.RolledOut.At))
	}
	return out.Flush()
}

func names(marks []statemachine.OperatorAction) string {
	var out []string
	for _, mark := range marks {
		out = append(out, mark.Operator)
	}
	return strings.Join(out, ", ")
}

func showProposal(data []byte) error {
	var proposal statemachine.Proposal
	if err := json.Unmarshal(data, &proposal); err != nil {
		return err
	}
	fmt.Printf("%s is %s, on base epoch %d, by %s at %s\nreviewed by %s, signed by %s\n", proposal.ID, proposal.Stage, proposal.Base,
		proposal.Proposed.Operator, at(proposal.Proposed.At), names(proposal.Reviews), names(proposal.SignOffs))
	return nil
}

func showStatus(data []byte) error {
	var status operatorapi.Status
	if err := json.Unmarshal(data, &status); err != nil {
		return err
	}
	showDaemon(status)
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(out, "\ndaemon\taddress\tzone\tserves\tspec\tclosures\theard")
	for _, peer := range status.Peers {
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%d\t%d\t%d ms ago\n", peer.NodeID, peer.Address, peer.Zone, strings.Join(peer.Serve, ","), peer.ConfigurationVersion, peer.ClosureVersion, peer.LastContactMsAgo)
	}
	fmt.Fprintln(out, "\nengine\taddress\tzone\tcondition\topen\tdraining\tmodels")
	for _, engine := range status.Engines {
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%t\t%t\t%s\n", engine.ID, engine.Address, engine.Zone, engine.Condition, engine.Open, engine.Draining, strings.Join(engine.Models, " "))
	}
	return out.Flush()
}

// showDaemon prints what a daemon says of itself.
func showDaemon(status operatorapi.Status) {
	ready := "ready"
	if !status.Ready {
		ready = "not ready: " + status.NotReady
	}
	fmt.Printf("%s in zone %s serves %s, %s\n%s\nspec epoch %d, closure epoch %d, group %s, leader at %s\n", status.NodeID, status.Zone, strings.Join(status.Serve, ", "), ready, ageOf(status),
		status.ConfigurationVersion, status.ClosureVersion, status.Group, status.Leader)
	if status.WorkerID != nil {
		fmt.Printf("worker id %d\n", *status.WorkerID)
	}
	if status.Raft != nil {
		votes := "votes"
		if !status.Raft.Voter {
			votes = "does not vote yet"
		}
		fmt.Printf("%s in term %d, %s, committed to %d, %d members\n", status.Raft.Role, status.Raft.Term, votes, status.Raft.Commit, len(status.Raft.Members))
		for _, member := range status.Raft.Members {
			if member.Differs {
				fmt.Printf("the state of %s differs from a majority's\n", member.Name)
			}
		}
	}
	if status.Planner != nil && status.Planner.HasLease {
		fmt.Printf("plans under claim %d, %d orders under way\n", status.Planner.Token, status.Planner.PendingOrders)
	}
}

// ageOf says whose knowledge a status page is, and how old.
func ageOf(status operatorapi.Status) string {
	if status.ConfirmedMsAgo == nil {
		return "this is its own view, which no majority of the control group has confirmed yet"
	}
	return fmt.Sprintf("this is its own view, confirmed by a majority of the control group %d ms ago", *status.ConfirmedMsAgo)
}

func showEngines(data []byte) error {
	var list operatorapi.Engines
	if err := json.Unmarshal(data, &list); err != nil {
		return err
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(out, "engine\tpool\taddress\tzone\tsoftware\tslots\tcondition\theard\tmodels")
	for _, engine := range list.Engines {
		var models []string
		for _, held := range engine.Models {
			models = append(models, held.Model)
			if len(held.Adapters) > 0 {
				models[len(models)-1] += fmt.Sprintf("+%d", len(held.Adapters))
			}
		}
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%d ms ago\t%s\n", engine.ID, engine.Pool, engine.Address, engine.Zone, engine.Software, engine.Slots,
			engine.Condition, engine.LastContactMsAgo, strings.Join(models, " "))
	}
	return out.Flush()
}

func showTrace(data []byte) error {
	var trace operatorapi.Trace
	if err := json.Unmarshal(data, &trace); err != nil {
		return err
	}
	if !trace.Known {
		return fmt.Errorf("there is no change %s; the newest is %d", trace.Change, trace.Version)
	}
	first := firstLearned(trace)
	missing, err := showTraceRows(trace, first)
	if err != nil {
		return err
	}
	if trace.Acknowledged {
		fmt.Println("in force at every daemon that may be serving")
	} else {
		fmt.Println("NOT yet in force at every daemon that may be serving")
	}
	if first > 0 {
		fmt.Printf("first learned at %s by that daemon's clock; %d daemons lack it\n", time.UnixMilli(first).UTC().Format(time.RFC3339Nano), missing)
	}
	return nil
}

// firstLearned is when the first daemon learned of a change, in milliseconds; zero where none says so.
func firstLearned(trace operatorapi.Trace) int64 {
	var first int64
	for _, row := range trace.Rows {
		if row.LearnedMs > 0 && (first == 0 || row.LearnedMs < first) {
			first = row.LearnedMs
		}
	}
	return first
}

// showTraceRows prints one row a daemon, with times after the first, and counts the daemons that lack the change.
func showTraceRows(trace operatorapi.Trace, first int64) (missing int, err error) {
	step := func(ms int64) string {
		if ms == 0 {
			return "-"
		}
		return fmt.Sprintf("+%d ms", ms-first)
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(out, "daemon\tzone\tlearned\tbuilt\tin force\theard")
	for _, row := range trace.Rows {
		inForce := step(row.InForceMs)
		switch {
		case row.Missing:
			inForce = "MISSING"
			missing++
		case row.InForceMs == 0:
			// A daemon that came later, or that went straight to a newer version, has no steps of its own for this one.
			inForce = "holds it or a later one"
		}
		heard := fmt.Sprintf("%d ms ago", row.LastContactMsAgo)
		if row.LastContactMsAgo < 0 {
			heard = "not for a minute or more"
		}
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%s\n", row.NodeID, row.Zone, step(row.LearnedMs), step(row.BuiltMs), inForce, heard)
	}
	return missing, out.Flush()
}
