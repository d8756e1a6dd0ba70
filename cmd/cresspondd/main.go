// Command cresspondd is the daemon. It serves the roles that its settings list: it routes callers, is a member of the
// control group, or plans placements.
//
// It exits with 0 after a graceful shutdown, with 1 if it or a recovery failed, and with 2 on wrong flags or settings.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"

	"github.com/cresspond/cresspond/cmd/internal/application"
	"github.com/cresspond/cresspond/daemon"
	"github.com/cresspond/cresspond/wire/dialect"
)

// version is set by the build.
var version = "0.1.0-dev"

// exitFailed is the exit code where the daemon or a recovery failed.
const exitFailed = 1

func main() {
	app := application.New("cresspondd", "The cresspond daemon: routes callers, keeps the control group, plans loads.", version)
	flags := addFlags(app)
	if _, err := app.Parse(os.Args[1:]); err != nil {
		app.Fatalf("%s, try --help", err)
	}
	settings, faults := flags.settings()
	if len(faults) == 0 && *flags.checkOnly {
		faults = settings.CheckAddresses("flags")
	}
	if len(faults) > 0 {
		for _, fault := range faults {
			fmt.Fprintln(os.Stderr, "cresspondd: "+fault.String())
		}
		os.Exit(application.ExitWrongUsage)
	}
	switch {
	case *flags.checkOnly:
		fmt.Println("the settings are valid")
	case len(*flags.recoverFrom) > 0:
		if err := recoverGroup(settings, *flags.recoverFrom, *flags.survivor); err != nil {
			fail("nothing was changed: " + err.Error())
		}
	default:
		log.SetHandler(jsonlog.New(os.Stderr))
		log.SetLevel(log.MustParseLevel(strings.ToLower(settings.Log)))
		stop, stopNow := stopSignals()
		if err := daemon.New(settings, version, log.Log, daemon.WithForwarding(dialect.Own())).Run(stop, stopNow); err != nil {
			fail(err.Error())
		}
	}
}

// fail reports why the command failed, and exits.
func fail(reason string) {
	fmt.Fprintln(os.Stderr, "cresspondd: "+reason)
	os.Exit(exitFailed)
}

// stopSignals returns a channel that is closed at the first SIGTERM or interrupt, for a graceful shutdown, and one that
// is closed at the second, for an immediate one.
func stopSignals() (stop, stopNow chan struct{}) {
	stop, stopNow = make(chan struct{}), make(chan struct{})
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		close(stop)
		<-signals
		close(stopNow)
	}()
	return stop, stopNow
}
