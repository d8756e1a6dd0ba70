// Command cresspondd is the daemon: it routes, keeps the control group, or plans, as its settings say.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"

	"github.com/cresspond/cresspond/process/config"
	"github.com/cresspond/cresspond/process/daemon"
	"github.com/cresspond/cresspond/wire/dialect"
)

// version is set by the build.
var version = "0.1.0-dev"

func main() {
	app := kingpin.New("cresspondd", "The cresspond daemon: routes callers, keeps the control group, plans loads.")
	app.Version(version)
	app.HelpFlag.Short('h')
	app.Terminate(func(status int) {
		// kingpin ends with 1 on wrong flags; wrong settings of any kind end with 2 here.
		if status != 0 {
			status = 2
		}
		os.Exit(status)
	})
	file := app.Flag("config", "Settings file, JSON.").Short('c').String()
	checkOnly := app.Flag("check", "Check the settings, say what is wrong, and end.").Bool()
	name := app.Flag("name", "Name of this daemon, unlike any other's.").String()
	zone := app.Flag("zone", "Zone this daemon stands in.").String()
	listen := app.Flag("listen", "IP:port for callers and operators.").String()
	fellowListen := app.Flag("fellow-listen", "IP:port for other daemons.").String()
	fellowAddress := app.Flag("fellow-address", "IP:port at which other daemons reach --fellow-listen.").String()
	seeds := app.Flag("seed", "IP:port of a seed; give it once for each.").Strings()
	serve := app.Flag("serve", "What to serve: route, control, place; give it once for each.").Strings()
	data := app.Flag("data", "Data folder, needed to serve control.").String()
	platform := app.Flag("platform", "IP:port of the platform's list of engines.").String()
	drainMs := app.Flag("drain-ms", "How long a stopping daemon may take, in milliseconds.").Default("-1").Int64()
	level := app.Flag("log", "Least level to log: debug, info, warn, error.").String()
	recoverFrom := app.Flag("recover-from", "Recover a group whose majority is lost for good: fellow IP:port of a living daemon; give it once for EACH that lives. Writes the empty data folder and ends.").Strings()
	survivor := app.Flag("survivor", "With --recover-from: the data folder of a control daemon that survived, stopped.").String()
	if _, err := app.Parse(os.Args[1:]); err != nil {
		app.Fatalf("%s, try --help", err)
	}

	settings, faults := config.Read(*file)
	override := func(into *string, value string) {
		if value != "" {
			*into = value
		}
	}
	override(&settings.Name, *name)
	override((*string)(&settings.Zone), *zone)
	override(&settings.Listen, *listen)
	override(&settings.FellowListen, *fellowListen)
	override(&settings.FellowAddress, *fellowAddress)
	override(&settings.Data, *data)
	override(&settings.Platform, *platform)
	override(&settings.Log, *level)
	if *drainMs >= 0 {
		settings.DrainMs = *drainMs
	}
	if len(*seeds) > 0 {
		settings.Seeds = *seeds
	}
	if len(*serve) > 0 {
		settings.Serve = nil
		for _, role := range *serve {
			settings.Serve = append(settings.Serve, config.Role(role))
		}
	}
	// A file that can't be read leaves nothing worth checking further.
	if len(faults) == 0 {
		faults = settings.Check(*file)
	}
	if len(faults) > 0 {
		for _, fault := range faults {
			fmt.Fprintln(os.Stderr, "cresspondd: "+fault.String())
		}
		os.Exit(2)
	}
	if *checkOnly {
		fmt.Println("the settings are sound")
		return
	}
	if len(*recoverFrom) > 0 {
		if err := recoverGroup(settings, *recoverFrom, *survivor); err != nil {
			fmt.Fprintln(os.Stderr, "cresspondd: nothing was changed: "+err.Error())
			os.Exit(1)
		}
		return
	}
	log.SetHandler(jsonlog.New(os.Stderr))
	log.SetLevel(log.MustParseLevel(strings.ToLower(settings.Log)))

	stop, hurry := make(chan struct{}), make(chan struct{})
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		close(stop)
		<-signals
		close(hurry)
	}()
	if err := daemon.New(settings, version, log.Log, daemon.WithForwarding(dialect.Own())).Run(stop, hurry); err != nil {
		fmt.Fprintln(os.Stderr, "cresspondd: "+err.Error())
		os.Exit(1)
	}
}
