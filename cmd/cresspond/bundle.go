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

// bundleCommands put bundles in force in one step, for fleets that let an operator alone do so.
type bundleCommands struct {
	apply, patch, show   *kingpin.CmdClause
	applyFile, patchFile *string
	applyBase, patchBase *uint64
}

func addBundleCommands(app *kingpin.Application) bundleCommands {
	const (
		baseHelp = "The revision in force that this builds on; 0 for the first. bundle show tells it."
		fileHelp = "JSON; - for standard input."
	)
	bundles := app.Command("bundle", "Put bundles in force in one step, where the fleet's settings let an operator alone do so.")
	var c bundleCommands
	c.apply = bundles.Command("apply", "Put a whole bundle in force.")
	c.applyFile = c.apply.Arg("file", "The bundle, "+fileHelp).Required().String()
	c.applyBase = c.apply.Flag("base", baseHelp).Required().Uint64()
	c.patch = bundles.Command("patch", "Change named paths, pools and limits of the bundle in force.")
	c.patchFile = c.patch.Arg("file", "The changes, "+fileHelp).Required().String()
	c.patchBase = c.patch.Flag("base", baseHelp).Required().Uint64()
	c.show = bundles.Command("show", "Print the newest bundle, and its revision on standard error.")
	return c
}

// run carries out a chosen command; it says false of another.
func (c bundleCommands) run(t *tool, chosen, operator string, needsOperator func()) (bool, error) {
	switch chosen {
	case c.apply.FullCommand():
		needsOperator()
		return true, t.applyBundle(http.MethodPut, *c.applyFile, *c.applyBase, operator)
	case c.patch.FullCommand():
		needsOperator()
		return true, t.applyBundle(http.MethodPatch, *c.patchFile, *c.patchBase, operator)
	case c.show.FullCommand():
		return true, t.showBundle()
	}
	return false, nil
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
	var answer operatorapi.Applying
	if err := json.Unmarshal(data, &answer); err != nil {
		return err
	}
	fmt.Printf("revision %d, epoch %d\n", answer.Revision, answer.Epoch)
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
