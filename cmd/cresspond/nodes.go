package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cresspond/cresspond/process/ident"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// nodeCommands rank engines by how their nodes behave.
type nodeCommands struct {
	rank *kingpin.CmdClause
	acts map[string]*string
}

func addNodeCommands(app *kingpin.Application) *nodeCommands {
	nodes := app.Command("nodes", "Rank engines by how their nodes behave.")
	c := &nodeCommands{rank: nodes.Command("rank", "List the engines, the worst first."), acts: map[string]*string{}}
	for _, act := range []struct{ name, help string }{
		{operatorapi.NodeDrain, "Send nothing more to an engine; refused where it is the last holder of something, or too many are shut."},
		{operatorapi.NodeKeep, "Have the ranking not drain an engine; one that it has drained is tried again."},
		{operatorapi.NodeRelease, "Take a drain, or a keeping, back."},
	} {
		command := nodes.Command(act.name, act.help)
		c.acts[command.FullCommand()] = command.Arg("engine", "The engine.").Required().String()
	}
	return c
}

// run runs the command if it is one of these; it says whether it was.
func (c *nodeCommands) run(t *tool, chosen, operator string, needsOperator func()) (bool, error) {
	if chosen == c.rank.FullCommand() {
		return true, t.page(operatorapi.PathNodes, showNodes)
	}
	engine, own := c.acts[chosen]
	if !own {
		return false, nil
	}
	needsOperator()
	_, act, _ := strings.Cut(chosen, " ")
	return true, t.post(operatorapi.PathNodes, operatorapi.NodeAct{Engine: ident.EngineID(*engine), Act: act, Operator: operator})
}

func showNodes(data []byte) error {
	var page operatorapi.Nodes
	if err := json.Unmarshal(data, &page); err != nil {
		return err
	}
	fmt.Printf("ranking is set to %s; claim %d, closures at epoch %d\n\n", page.Mode, page.Claim, page.ClosureEpoch)
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(out, "engine\tpool\tzone\tscore\tslowest in\tmeasured\tothers\tzones\tslow paths\tstage\tfor\tremarks")
	for _, node := range page.Nodes {
		score, kind, measured, others := "-", "-", "-", "-"
		if node.Score > 0 {
			score, kind, measured, others = fmt.Sprintf("%.2f", node.Score), node.Kind, fmt.Sprintf("%.0f", node.Value), fmt.Sprintf("%.0f", node.Others)
		}
		var paths []string
		for _, zone := range node.SlowPaths {
			paths = append(paths, string(zone))
		}
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%d s\t%s\n", node.Engine, node.Pool, node.Zone, score, kind, measured, others,
			node.Observers, strings.Join(paths, ","), node.Stage, node.SinceMs/1000, remarks(node))
	}
	return out.Flush()
}

func remarks(node operatorapi.Node) string {
	var out []string
	if node.ShutBy != "" {
		out = append(out, "drained by "+node.ShutBy)
	}
	if node.ShutFor != "" {
		out = append(out, node.ShutFor)
	}
	if node.Kept != "" {
		out = append(out, "kept by "+node.Kept)
	}
	if node.Refusal != "" {
		out = append(out, "not drained: "+node.Refusal)
	}
	return strings.Join(out, "; ")
}
