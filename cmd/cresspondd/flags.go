package main

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/cresspond/cresspond/process/daemonconfig"
)

// flags are the daemon's flags; those that are given override the settings file.
type flags struct {
	file                            *string
	checkOnly                       *bool
	name, zone                      *string
	listen, peerListen, peerAddress *string
	seeds, serve                    *[]string
	data, platform, level           *string
	drainMs                         *int64
	recoverFrom                     *[]string
	survivor                        *string
}

func addFlags(app *kingpin.Application) *flags {
	f := &flags{}
	f.file = app.Flag("config", "Settings file, JSON.").Short('c').String()
	f.checkOnly = app.Flag("check", "Check the settings, say what is wrong, and end.").Bool()
	f.name = app.Flag("name", "Name of this daemon, unlike any other's.").String()
	f.zone = app.Flag("zone", "Zone this daemon stands in.").String()
	f.listen = app.Flag("listen", "IP:port for callers and operators.").String()
	f.peerListen = app.Flag("fellow-listen", "IP:port for other daemons.").String()
	f.peerAddress = app.Flag("fellow-address", "IP:port at which other daemons reach --fellow-listen.").String()
	f.seeds = app.Flag("seed", "IP:port of a seed; give it once for each.").Strings()
	f.serve = app.Flag("serve", "What to serve: route, control, place; give it once for each.").Strings()
	f.data = app.Flag("data", "Data folder, needed to serve control.").String()
	f.platform = app.Flag("platform", "IP:port of the platform's list of engines.").String()
	f.drainMs = app.Flag("drain-ms", "How long a stopping daemon may take, in milliseconds.").Default("-1").Int64()
	f.level = app.Flag("log", "Least level to log: debug, info, warn, error.").String()
	f.recoverFrom = app.Flag("recover-from", "Recover a group whose majority is lost for good: fellow IP:port of a living daemon; give it once for EACH that lives. Writes the empty data folder and ends.").Strings()
	f.survivor = app.Flag("survivor", "With --recover-from: the data folder of a control daemon that survived, stopped.").String()
	return f
}

// settings reads the settings file, overrides it by the flags and checks the whole.
func (f *flags) settings() (daemonconfig.Config, []daemonconfig.Fault) {
	settings, faults := daemonconfig.Read(*f.file)
	f.override(&settings)
	// A file that can't be read leaves nothing worth checking further.
	if len(faults) == 0 {
		faults = settings.Check(*f.file)
	}
	return settings, faults
}

func (f *flags) override(settings *daemonconfig.Config) {
	set := func(into *string, value string) {
		if value != "" {
			*into = value
		}
	}
	set(&settings.Name, *f.name)
	set((*string)(&settings.Zone), *f.zone)
	set(&settings.Listen, *f.listen)
	set(&settings.PeerListen, *f.peerListen)
	set(&settings.PeerAddress, *f.peerAddress)
	set(&settings.DataDir, *f.data)
	set(&settings.Platform, *f.platform)
	set(&settings.Log, *f.level)
	if *f.drainMs >= 0 {
		settings.DrainMs = *f.drainMs
	}
	if len(*f.seeds) > 0 {
		settings.Seeds = *f.seeds
	}
	if len(*f.serve) > 0 {
		settings.Roles = nil
		for _, role := range *f.serve {
			settings.Roles = append(settings.Roles, daemonconfig.Role(role))
		}
	}
}
