package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// addNodeCommands adds the commands on the ranking of engines by how their nodes behave.
func (c *commandLine) addNodeCommands() {
	nodes := c.app.Command("nodes", "Rank engines by how their nodes behave.")
	c.onPage(nodes.Command("rank", "List the engines, the worst first."), operatorapi.PathNodes, showNodes)
	for _, act := range []struct{ name, help string }{
		{operatorapi.NodeDrain, "Send nothing more to an engine; refused where it is the last holder of something, or too many are shut."},
		{operatorapi.NodeProtect, "Have the ranking not drain an engine; one that it has drained is tried again."},
		{operatorapi.NodeRelease, "Take a drain, or a keeping, back."},
	} {
		command := nodes.Command(act.name, act.help)
		engine := command.Arg("engine", "The engine.").Required().String()
		c.onAs(command, func(t *tool, operator string) error {
			return t.post(operatorapi.PathNodes, operatorapi.NodeAction{Engine: ident.EngineID(*engine), Action: act.name, Operator: operator})
		})
	}
}

func showNodes(data []byte) error {
	var page operatorapi.Nodes
	if err := json.Unmarshal(data, &page); err != nil {
		return err
	}
	fmt.Printf("ranking is set to %s; claim %d, closures at epoch %d\n\n", page.Mode, page.Token, page.ClosureVersion)
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
	if node.ClosedBy != "" {
		out = append(out, "drained by "+node.ClosedBy)
	}
	if node.ClosedReason != "" {
		out = append(out, node.ClosedReason)
	}
	if node.ProtectedBy != "" {
		out = append(out, "kept by "+node.ProtectedBy)
	}
	if node.Refusal != "" {
		out = append(out, "not drained: "+node.Refusal)
	}
	return strings.Join(out, "; ")
}
