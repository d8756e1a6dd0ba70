package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cresspond/cresspond/wire/operatorapi"
)

// addBundleCommands adds the commands that put bundles in force in one step, for fleets that let an operator alone do so.
func (c *commandLine) addBundleCommands() {
	bundles := c.app.Command("bundle", "Put bundles in force in one step, where the fleet's settings let an operator alone do so.")
	c.onApply(bundles.Command("apply", "Put a whole bundle in force."), "The bundle", http.MethodPut)
	c.onApply(bundles.Command("patch", "Change named paths, pools and limits of the bundle in force."), "The changes", http.MethodPatch)
	c.on(bundles.Command("show", "Print the newest bundle, and its revision on standard error."), (*tool).showBundle)
}

func (c *commandLine) onApply(command *kingpin.CmdClause, what, method string) {
	file := command.Arg("file", what+", JSON; - for standard input.").Required().String()
	base := command.Flag("base", "The revision in force that this builds on; 0 for the first. bundle show tells it.").Required().Uint64()
	c.onAs(command, func(t *tool, operator string) error { return t.applyBundle(method, *file, *base, operator) })
}

func readFile(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(file)
}

// applyBundle sends the file as it is: sent again it is the same call, and finds itself.
func (t *tool) applyBundle(method, file string, base uint64, operator string) error {
	body, err := readFile(file)
	if err != nil {
		return err
	}
	query := url.Values{"base": {fmt.Sprint(base)}, "operator": {operator}}
	data, err := t.ask(method, operatorapi.PathBundle+"?"+query.Encode(), body)
	if err != nil {
		return err
	}
	if t.asJSON {
		return showIndented(data)
	}
	var answer operatorapi.ApplyResponse
	if err := json.Unmarshal(data, &answer); err != nil {
		return err
	}
	fmt.Printf("revision %d, epoch %d\n", answer.Revision, answer.Version)
	if answer.Acknowledged {
		fmt.Printf("acknowledged: in force at all %d daemons in contact\n", len(answer.InForceAt))
		return nil
	}
	fmt.Printf("committed, and NOT yet in force everywhere: at %d daemons, lacking at\n", len(answer.InForceAt))
	for _, node := range answer.Missing {
		fmt.Printf("  %s\n", node)
	}
	fmt.Println("give the same command again to see whether it has got there")
	return nil
}

func (t *tool) showBundle() error {
	var revision string
	t.seen = func(header http.Header) { revision = header.Get(operatorapi.HeaderRevision) }
	data, err := t.ask(http.MethodGet, operatorapi.PathBundle, nil)
	if err != nil {
		return err
	}
	fmt.Fprintln(os.Stderr, "revision "+revision)
	_, err = os.Stdout.Write(data)
	return err
}
