// Command cresspond is the operators' tool: it takes bundles through their stages, closes zones,
// shows status, and traces one change through all daemons.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cresspond/cresspond/process/ident"
	"github.com/cresspond/cresspond/process/statemachine"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// version is set by the build.
var version = "0.1.0-dev"

// tool asks daemons, one after the other, until one gives a known outcome.
type tool struct {
	daemons []string
	client  *http.Client
	asJSON  bool
	// notEverywhere says that the answer was no acknowledgement.
	notEverywhere bool
	// seen, where set, is shown the head of an answer.
	seen func(http.Header)
}

// askLimit is how long one daemon's answer is waited for.
const askLimit = 12 * time.Second

// newClient makes the client of daemons. It uses no connection twice, so that the library has no reason to send
// anything again by itself, and follows no redirect, which would turn one call into another.
func newClient() *http.Client {
	return &http.Client{
		Timeout:       askLimit,
		Transport:     &http.Transport{Proxy: http.ProxyFromEnvironment, DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

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

// exitNotEverywhere says that a change is committed, and not yet in force at all daemons that may be serving.
const exitNotEverywhere = 3

func epochOf(number *uint64) *ident.Epoch {
	epoch := ident.Epoch(*number)
	return &epoch
}

var errNoLength = errors.New("it does not say where it ends")

// ask goes from daemon to daemon until one gives an outcome; all acts may be asked again.
func (t *tool) ask(method, path string, body []byte) ([]byte, error) {
	last := fmt.Errorf("no daemon was named")
	for _, daemon := range t.daemons {
		request, err := http.NewRequest(method, "http://"+daemon+path, bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := t.client.Do(request)
		if err != nil {
			last = fmt.Errorf("%s cannot be reached: %w", daemon, err)
			continue
		}
		data, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err == nil && response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			// It ends wherever its connection does, so a part of it would look whole.
			err = errNoLength
		}
		if err != nil {
			last = fmt.Errorf("%s broke off its answer: %w", daemon, err)
			continue
		}
		if response.StatusCode == http.StatusOK || response.StatusCode == http.StatusAccepted {
			t.notEverywhere = response.StatusCode == http.StatusAccepted
			if t.seen != nil {
				t.seen(response.Header)
			}
			return data, nil
		}
		last = explain(daemon, response.StatusCode, data)
		// Only an unknown outcome is worth asking another daemon.
		if response.StatusCode != http.StatusServiceUnavailable {
			return nil, last
		}
	}
	return nil, last
}

// explain puts an error's body into words, with every fault on its own line.
func explain(daemon string, status int, data []byte) error {
	var word operatorapi.Error
	if json.Unmarshal(data, &word) != nil {
		return fmt.Errorf("%s answered with status %d", daemon, status)
	}
	var out strings.Builder
	fmt.Fprintf(&out, "%s: %s", word.Outcome, word.Reason)
	if word.Field != "" {
		fmt.Fprintf(&out, " (%s)", word.Field)
	}
	if word.Winner != "" {
		fmt.Fprintf(&out, "; %s won", word.Winner)
	}
	if word.Closures != nil {
		fmt.Fprintf(&out, "; closures are at epoch %d", word.Closures.Epoch)
	}
	if word.Epoch > 0 && word.Closures == nil {
		fmt.Fprintf(&out, "; epoch %d is in force", word.Epoch)
	}
	if word.Revision > 0 {
		fmt.Fprintf(&out, ", as revision %d", word.Revision)
	}
	for _, fault := range word.Faults {
		fmt.Fprintf(&out, "\n  %s", fault)
	}
	return fmt.Errorf("%s", out.String())
}

func (t *tool) page(path string, show func([]byte) error) error {
	data, err := t.ask(http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if t.asJSON {
		return showIndented(data)
	}
	return show(data)
}

func showIndented(data []byte) error {
	var out bytes.Buffer
	if err := json.Indent(&out, bytes.TrimSpace(data), "", "  "); err != nil {
		return err
	}
	fmt.Println(out.String())
	return nil
}

func (t *tool) propose(file string, proposal operatorapi.Propose) error {
	raw, err := readFile(file)
	if err != nil {
		return err
	}
	if !json.Valid(raw) {
		return fmt.Errorf("%s is not JSON", file)
	}
	proposal.Spec = raw
	body, err := proposal.Encode()
	if err != nil {
		return err
	}
	return t.postRaw(operatorapi.PathPropose, body)
}

func (t *tool) post(path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return t.postRaw(path, data)
}

func (t *tool) postRaw(path string, body []byte) error {
	data, err := t.ask(http.MethodPost, path, body)
	if err != nil {
		return err
	}
	if t.asJSON {
		return showIndented(data)
	}
	var answer operatorapi.Answer
	if err := json.Unmarshal(data, &answer); err != nil {
		return err
	}
	if proposal := answer.Proposal; proposal != nil {
		fmt.Printf("%s is %s", proposal.ID, proposal.Stage)
		if proposal.Epoch > 0 {
			fmt.Printf(" as epoch %d", proposal.Epoch)
		}
		fmt.Println()
	}
	if answer.Closures != nil {
		fmt.Printf("closures are at epoch %d: %d zones closed, %d engines draining\n", answer.Closures.Epoch, len(answer.Closures.Zones), len(answer.Closures.Engines))
	}
	switch {
	case answer.Acknowledged:
		fmt.Printf("acknowledged: in force at all %d daemons\n", len(answer.InForceAt))
	case len(answer.Missing) > 0:
		fmt.Printf("committed, and NOT yet in force everywhere: at %d daemons, lacking at\n", len(answer.InForceAt))
		for _, node := range answer.Missing {
			fmt.Printf("  %s\n", node)
		}
		fmt.Println("give the same command again to see whether it has got there; a daemon that is gone for good: daemon lost NAME")
	}
	return nil
}

func at(t ident.GroupTime) string { return time.UnixMilli(int64(t)).UTC().Format(time.RFC3339) }

func (t *tool) showHistory(data []byte) error {
	var list []statemachine.Proposal
	if err := json.Unmarshal(data, &list); err != nil {
		return err
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(out, "epoch\tproposal\tauthor\treviewed by\tsigned by\trolled by\tat")
	for _, proposal := range list {
		fmt.Fprintf(out, "%d\t%s\t%s\t%s\t%s\t%s\t%s\n", proposal.Epoch, proposal.ID, proposal.Proposed.Operator, names(proposal.Reviews), names(proposal.Signs), proposal.Rolled.Operator, at(proposal.Rolled.At))
	}
	return out.Flush()
}

func names(marks []statemachine.Mark) string {
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
		proposal.Proposed.Operator, at(proposal.Proposed.At), names(proposal.Reviews), names(proposal.Signs))
	return nil
}

func (t *tool) showStatus(data []byte) error {
	var status operatorapi.Status
	if err := json.Unmarshal(data, &status); err != nil {
		return err
	}
	ready := "ready"
	if !status.Ready {
		ready = "not ready: " + status.NotReady
	}
	fmt.Printf("%s in zone %s serves %s, %s\nspec epoch %d, closure epoch %d, group %s, leader at %s\n", status.NodeID, status.Zone, strings.Join(status.Serve, ", "), ready,
		status.SpecEpoch, status.ClosureEpoch, status.Group, status.Leader)
	if status.WorkerID != nil {
		fmt.Printf("worker id %d\n", *status.WorkerID)
	}
	if status.Raft != nil {
		votes := "votes"
		if !status.Raft.Voter {
			votes = "does not vote yet"
		}
		fmt.Printf("%s in term %d, %s, committed to %d, %d members\n", status.Raft.Role, status.Raft.Term, votes, status.Raft.Commit, len(status.Raft.Members))
	}
	if status.Planner != nil && status.Planner.Held {
		fmt.Printf("plans under claim %d, %d orders under way\n", status.Planner.Claim, status.Planner.InFlight)
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(out, "\ndaemon\taddress\tzone\tserves\tspec\tclosures\theard")
	for _, fellow := range status.Fellows {
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%d\t%d\t%d ms ago\n", fellow.NodeID, fellow.Address, fellow.Zone, strings.Join(fellow.Serve, ","), fellow.SpecEpoch, fellow.ClosureEpoch, fellow.HeardMsAgo)
	}
	fmt.Fprintln(out, "\nengine\taddress\tzone\tcondition\topen\tdraining\tmodels")
	for _, engine := range status.Engines {
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%t\t%t\t%s\n", engine.ID, engine.Address, engine.Zone, engine.Condition, engine.Open, engine.Draining, strings.Join(engine.Models, " "))
	}
	return out.Flush()
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
			engine.Condition, engine.HeardMsAgo, strings.Join(models, " "))
	}
	return out.Flush()
}

func (t *tool) showTrace(data []byte) error {
	var trace operatorapi.Trace
	if err := json.Unmarshal(data, &trace); err != nil {
		return err
	}
	if !trace.Known {
		return fmt.Errorf("there is no change %s; the newest is %d", trace.Change, trace.Epoch)
	}
	var first int64
	for _, row := range trace.Rows {
		if row.LearnedMs > 0 && (first == 0 || row.LearnedMs < first) {
			first = row.LearnedMs
		}
	}
	step := func(ms int64) string {
		if ms == 0 {
			return "-"
		}
		return fmt.Sprintf("+%d ms", ms-first)
	}
	missing := 0
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(out, "daemon\tzone\tlearned\tbuilt\tin force\theard")
	for _, row := range trace.Rows {
		inForce := step(row.InForceMs)
		switch {
		case row.Missing:
			inForce = "MISSING"
			missing++
		case row.InForceMs == 0:
			// A daemon that came later, or that went straight to a newer epoch, has no steps of its own for this one.
			inForce = "holds it or a later one"
		}
		heard := fmt.Sprintf("%d ms ago", row.HeardMsAgo)
		if row.HeardMsAgo < 0 {
			heard = "not for a minute or more"
		}
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%s\n", row.NodeID, row.Zone, step(row.LearnedMs), step(row.BuiltMs), inForce, heard)
	}
	if err := out.Flush(); err != nil {
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
