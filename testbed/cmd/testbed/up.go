package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cresspond/cresspond/testbed/deployment"
	"github.com/cresspond/cresspond/testbed/scenario"
	"github.com/cresspond/cresspond/wire/callerapi"
)

// addUp adds the command that leaves a fleet running.
func addUp(app *kingpin.Application) command {
	clause := app.Command("up", "Bring a deployment up, serve one request, and leave it running until interrupted.")
	name := clause.Arg("deployment", "The deployment.").Required().Enum("small", "consortium", "cooperativa")
	program := clause.Flag("cresspondd", "The daemon to run; by default the one beside this program.").String()
	folder := clause.Flag("folder", "Folder for logs and journals.").String()
	once := clause.Flag("once", "End after the one request.").Bool()
	return command{clause, func() error { return bringUp(*name, programs{daemon: *program}, *folder, *once) }}
}

func bringUp(name string, run programs, folder string, once bool) error {
	f, err := lay(name, run, folder)
	if err != nil {
		return err
	}
	defer f.Stop()
	say := sayer()
	r := scenario.New(f, 1, say)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := r.Begin(ctx); err != nil {
		return err
	}
	kind := f.Deployment.Kinds[0]
	if err := r.Await("an edge is handed connections", func() bool {
		record := r.Call(fmt.Sprintf("first-request-%d", time.Now().UnixNano()), callerapi.Generate{Route: kind.Route, House: kind.Tenant, Model: deployment.ModelName(0), DeadlineMs: kind.DeadlineMs})
		return record.Complete()
	}); err != nil {
		return err
	}
	say("one request was served whole")
	for _, p := range f.Daemons {
		fmt.Printf("%-8s zone %-10s callers and operators at %s\n", p.Name, p.Zone, p.Address)
	}
	// What an operator at a shell needs to try things out.
	var daemons []string
	for _, p := range f.Daemons {
		daemons = append(daemons, p.Address)
	}
	hints := fmt.Sprintf("export CRESSPOND_DAEMONS=%s\nexport EDGE=%s\n", strings.Join(daemons, ","), f.Edges()[0].Address)
	if err := os.WriteFile(filepath.Join(f.Folder, "env"), []byte(hints), 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(f.Folder, "bundle.json"), f.Deployment.Configuration("second", nil), 0o600); err != nil {
		return err
	}
	if once {
		return nil
	}
	fmt.Println("running until interrupted")
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	return nil
}
