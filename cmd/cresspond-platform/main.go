// Command cresspond-platform is the daemon on the users' platform: the same daemon as cresspondd, with the
// platform's settings file and its forms towards clients, engines and operators.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"

	"github.com/cresspond/cresspond/cmd/internal/application"
	"github.com/cresspond/cresspond/daemon"
	"github.com/cresspond/cresspond/platform"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/process/engines/nodehealth"
	"github.com/cresspond/cresspond/process/featuregates"
)

// version is set by the build.
var version = "0.1.0-dev"

func main() {
	app := application.New("cresspond-platform", "The cresspond daemon on a users' platform.", version)
	file := app.Flag("config", "Settings file, TOML.").Short('c').Envar(platform.SettingsVariable).String()
	ranks := app.Flag("ranking", "What engines are ranked for by how their nodes behave: off, watch, or drain the worst.").Default(string(nodehealth.Off)).Envar("CRESSPOND_RANKING").
		Enum(string(nodehealth.Off), string(nodehealth.ObserveOnly), string(nodehealth.Drain))
	without := app.Flag("without", "For experiments: a mechanism to go without; once for each.").Enums(featuregates.Names()...)
	logLevel := app.Flag("log", "The least level that is logged.").Default(log.InfoLevel.String()).Enum("debug", "info", "warn", "error")
	metrics := app.Flag("metrics", "Where metrics are served, PORT/PATH as in the deploy file.").String()
	checkOnly := app.Flag("check", "Check the settings, say what is wrong, and end.").Bool()
	if _, err := app.Parse(os.Args[1:]); err != nil {
		app.Fatalf("%s, try --help", err)
	}
	settings, faults := readAtStart(*file)
	if len(faults) == 0 {
		faults = platform.ServeMetrics(&settings, *metrics)
	}
	if len(faults) == 0 && *checkOnly {
		faults = settings.CheckAddresses(*file)
	}
	if len(faults) > 0 {
		for _, fault := range faults {
			fmt.Fprintln(os.Stderr, "cresspond-platform: "+fault.String())
		}
		os.Exit(application.ExitWrongUsage)
	}
	settings.Ranking.Mode = nodehealth.Mode(*ranks)
	settings.Log, settings.Experiments.Disabled = *logLevel, *without
	if *checkOnly {
		fmt.Println("the settings are sound")
		return
	}
	log.SetHandler(jsonlog.New(os.Stderr))
	log.SetLevel(log.MustParseLevel(settings.Log))
	boundMemory(settings.Machine.MemoryMb)
	run(settings, *file)
}

// run runs the daemon until a signal asks it to stop. An incarnation that may not go on, since its group declared it
// lost, is followed by another with a name of its own.
func run(settings daemonconfig.Config, file string) {
	// A client, an engine or a log's reader that went away must not end the daemon.
	signal.Ignore(syscall.SIGPIPE)
	stop := stopSignal()
	var current atomic.Pointer[daemon.Daemon]
	reload := func(next daemonconfig.Config) {
		if running := current.Load(); running != nil {
			running.Reload(next)
		}
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	looks := time.NewTicker(lookEvery)
	defer looks.Stop()
	go watch(file, hangups, looks.C, reload)
	for {
		made := build(settings)
		current.Store(made)
		err := made.Run(stop, nil)
		if err == nil {
			return
		}
		log.WithError(err).Error("starting again")
		settings = made.Config()
		select {
		case <-stop:
			return
		case <-time.After(startAgain):
		}
	}
}

// stopSignal gives a channel that closes at the first signal to stop. A second one changes nothing: what was read is
// finished within the grace period all the same.
func stopSignal() <-chan struct{} {
	stop := make(chan struct{})
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		close(stop)
	}()
	return stop
}

// startAgain is the pause between one incarnation of the daemon and the next within this process.
const startAgain = 500 * time.Millisecond

// build puts the daemon and the platform's forms together.
func build(settings daemonconfig.Config) *daemon.Daemon {
	return daemon.New(settings, version, log.Log,
		daemon.WithReadiness(func(*daemon.Daemon) daemon.Handler { return platform.Readiness{} }),
		daemon.WithForwarding(platform.Dialect()),
		daemon.WithPatience(platform.ClientTimeout()),
		daemon.WithControl(func(d *daemon.Daemon) daemon.Handler { return platform.NewEngines(d) }),
		daemon.WithPoolPlanning(platform.NewEngineClient(), daemon.PoolSettings(settings)),
		daemon.WithControl(func(d *daemon.Daemon) daemon.Handler { return platform.NewOperator(d) }),
	)
}

// readAtStart gives a file that is just being written a moment.
func readAtStart(file string) (daemonconfig.Config, []daemonconfig.Fault) {
	const looks, between = 5, 200 * time.Millisecond
	settings, faults := platform.ReadSettings(file)
	for range looks {
		if len(faults) == 0 {
			break
		}
		<-time.After(between)
		settings, faults = platform.ReadSettings(file)
	}
	return settings, faults
}

// lookEvery is how often the settings file is looked at: it may change without a signal.
const lookEvery = 2 * time.Second

// boundMemory keeps the heap well under what the machine kills for.
func boundMemory(megabytes int64) {
	const (
		share = 85
		// Memory is dearer here than the processor time that collecting sooner takes: on a day of load 17 in 100
		// less at the peak, for 12 in 100 more time.
		collectAt = 50
	)
	debug.SetGCPercent(collectAt)
	if megabytes > 0 {
		debug.SetMemoryLimit(megabytes << 20 / 100 * share)
	}
}

// watch reads the settings again at each signal, and when the file looks changed at a look.
func watch(file string, signals <-chan os.Signal, looks <-chan time.Time, reload func(daemonconfig.Config)) {
	read, pending, said := stampOf(file), false, false
	for signals != nil || looks != nil {
		select {
		case _, more := <-signals:
			if !more {
				signals = nil
				continue
			}
			pending = true
		case _, more := <-looks:
			if !more {
				looks = nil
				continue
			}
		}
		stamp := stampOf(file)
		if !pending && stamp == read {
			continue
		}
		settings, faults := platform.ReadSettings(file)
		if len(faults) > 0 {
			// It may be half written: what is in force stays, and the next look tries again.
			if !said {
				log.WithField("fault", faults[0].String()).Warn("the settings cannot be read again yet")
			}
			pending, said = true, true
			continue
		}
		read, pending, said = stamp, false, false
		reload(settings)
	}
}

// stamp is what a changed file differs in.
type stamp struct {
	size     int64
	modified time.Time
}

func stampOf(file string) stamp {
	info, err := os.Stat(file)
	if err != nil {
		return stamp{}
	}
	return stamp{info.Size(), info.ModTime()}
}
