package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cresspond/cresspond/testbed/scale"
)

// addScale adds the verbs of the scale run; what it gives runs the one that was chosen.
func addScale(app *kingpin.Application) func(chosen string) error {
	run := app.Command("scale", "Grow a fleet of hollow daemons and engines beside real ones by steps, and draw slopes through what control costs.")
	daemons := run.Flag("daemons", "A size of the fleet; give it once for each step.").Default("10", "30", "60", "100").Ints()
	engines := run.Flag("engines", "A number of engines, tried in turn in each step.").Default("0", "350", "1400").Ints()
	core := run.Flag("core", "Daemons of the core.").Default("3").Int()
	paths := run.Flag("paths", "Paths in the bundle.").Default("200").Int()
	beat := run.Flag("beat", "How often engines beat.").Default("1.2s").Duration()
	windows := run.Flag("windows", "How many times each rest is measured.").Default("3").Int()
	window := run.Flag("window", "How long each time.").Default("5s").Duration()
	pace := run.Flag("start-pace", "How many hollow daemons are started a second; 0 starts all at once.").Default("25").Float64()
	leaves := run.Flag("leaves", "Engines that leave in each step.").Default("10").Int()
	changes := run.Flag("changes", "Bundles rolled in each step.").Default("3").Int()
	restarts := run.Flag("restarts", "Daemons restarted in each step.").Default("5").Int()
	limits := scale.DefaultLimits()
	cores := run.Flag("most-cores", "How many processors the run may keep busy.").Default(fmt.Sprint(limits.Cores)).Float64()
	program := run.Flag("cresspondd", "The daemon to run; by default the one beside this program.").String()
	deployed := run.Flag("deployed", "Run the users' platform's program for the core and the edges that are processes of their own; engines are then polled too.").Bool()
	moves := run.Flag("load-moves", "With --deployed, how often an engine's load is another; 0 never moves it.").Default("0s").Duration()
	folder := run.Flag("folder", "Folder for logs and data; by default a new one, removed afterwards.").String()
	profiles := run.Flag("profiles", "Folder for profiles of the hosts' processor time, for go tool pprof.").ExistingDir()
	result := run.Flag("result", "File to write each row to, as a line of JSON.").String()

	fit := app.Command("scale-fit", "Draw the slopes again from the rows of earlier runs.")
	fitFiles := fit.Arg("rows", "Files of rows.").Required().ExistingFiles()
	fitAgainst := fit.Flag("against", "File of another run's rows; says which slopes differ by more than their errors.").ExistingFile()

	hollow := app.Command("hollow", "Be a process of hollow daemons.").Hidden()
	hollowProfile := hollow.Flag("profile", "File for what takes its processor time.").String()

	return func(chosen string) error {
		switch chosen {
		case hollow.FullCommand():
			return scale.Host(os.Stdin, os.Stdout, *hollowProfile)
		case fit.FullCommand():
			rows, err := scale.ReadRows(*fitFiles)
			if err != nil {
				return err
			}
			if *fitAgainst == "" {
				scale.Report(os.Stdout, rows)
				return nil
			}
			others, err := scale.ReadRows([]string{*fitAgainst})
			if err != nil {
				return err
			}
			_, err = scale.Against(os.Stdout, rows, others)
			return err
		}
		limits.Cores = *cores
		machine, err := scale.ThisMachine()
		if err != nil {
			return err
		}
		self, err := os.Executable()
		if err != nil {
			return err
		}
		o := scale.Options{Program: *program, Self: self, Build: version, Folder: *folder, Profiles: *profiles, Beat: *beat, StartPace: *pace, Windows: *windows, Window: *window, Engines: *engines,
			Deployed: *deployed, LoadMoves: *moves, Leaves: *leaves, Changes: *changes, Restarts: *restarts, Limits: limits, Machine: machine, Say: sayer()}
		if o.Program == "" {
			o.Program = filepath.Join(filepath.Dir(self), "cresspondd")
			if o.Deployed {
				o.Program = filepath.Join(filepath.Dir(self), "cresspond-platform")
			}
		}
		if _, err := os.Stat(o.Program); err != nil {
			return fmt.Errorf("the daemon cannot be run: %w", err)
		}
		if o.Folder == "" {
			if o.Folder, err = os.MkdirTemp("", "rehearse-scale-"); err != nil {
				return err
			}
			defer os.RemoveAll(o.Folder)
		}
		if *result != "" {
			file, err := os.OpenFile(*result, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
			if err != nil {
				return err
			}
			defer file.Close()
			o.Result = file
		}
		var steps []scale.Size
		for _, count := range *daemons {
			size := scale.Full()
			size.Daemons, size.Core, size.Paths = count, *core, *paths
			for _, e := range *engines {
				size.Engines = e
			}
			steps = append(steps, size)
		}
		ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer cancel()
		began := time.Now()
		rows, whole, err := scale.Run(ctx, steps, o)
		if err != nil {
			return err
		}
		scale.Report(os.Stdout, rows)
		fmt.Printf("\nbuild %s, %s\n", version, time.Since(began).Round(time.Second))
		if !whole {
			return fmt.Errorf("this run is PARTIAL: some steps were refused or cut short, as said above")
		}
		return nil
	}
}
