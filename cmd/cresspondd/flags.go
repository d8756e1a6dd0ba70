package main

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/cresspond/cresspond/process/daemonconfig"
)

// flags are the daemon's flags. Those that are given override the settings file.
type flags struct {
	settingsFile                          *string
	checkOnly                             *bool
	name, zone                            *string
	listen                                *string
	peerListen, peerAddress               string
	seeds, roles                          *[]string
	dataFolder, platformAddress, logLevel *string
	drainMs                               *int64
	recoverFrom                           *[]string
	survivor                              *string
}

// drainNotGiven is the value of --drain-ms where the settings file decides.
const drainNotGiven = "-1"

func addFlags(app *kingpin.Application) *flags {
	f := &flags{}
	f.settingsFile = app.Flag("config", "Settings file, JSON.").Short('c').String()
	f.checkOnly = app.Flag("check", "Check the settings, report what is wrong, and exit.").Bool()
	f.name = app.Flag("name", "Name of this daemon, unique in the fleet.").String()
	f.zone = app.Flag("zone", "Zone that this daemon is in.").String()
	f.listen = app.Flag("listen", "IP:port for callers and operators.").String()
	app.Flag("peer-listen", "IP:port for other daemons.").StringVar(&f.peerListen)
	app.Flag("peer-address", "IP:port at which other daemons reach --peer-listen.").StringVar(&f.peerAddress)
	f.seeds = app.Flag("seed", "IP:port of a seed; give it once for each.").Strings()
	f.roles = app.Flag("serve", "Role to serve: route, control, place; give it once for each.").Strings()
	f.dataFolder = app.Flag("data", "Data folder, required to serve control.").String()
	f.platformAddress = app.Flag("platform", "IP:port of the platform's list of engines.").String()
	f.drainMs = app.Flag("drain-ms", "How long a graceful shutdown may take, in milliseconds.").Default(drainNotGiven).Int64()
	f.logLevel = app.Flag("log", "Lowest level to log: debug, info, warn, error.").String()
	f.recoverFrom = app.Flag("recover-from", "Recover a group whose majority is lost for good: peer IP:port of a living daemon; give it once for EACH that lives. Writes the empty data folder and exits.").Strings()
	f.survivor = app.Flag("survivor", "With --recover-from: the data folder of a control daemon that survived, stopped.").String()
	f.addAliases(app)
	return f
}

// addAliases adds the former names of flags, which still work and are hidden from the help.
func (f *flags) addAliases(app *kingpin.Application) {
	app.Flag("fellow-listen", "Former name of --peer-listen.").Hidden().StringVar(&f.peerListen)
	app.Flag("fellow-address", "Former name of --peer-address.").Hidden().StringVar(&f.peerAddress)
}

// settings reads the settings file, overrides it by the flags and checks the result.
func (f *flags) settings() (daemonconfig.Config, []daemonconfig.Fault) {
	settings, faults := daemonconfig.Read(*f.settingsFile)
	f.override(&settings)
	// A file that can't be read leaves nothing worth checking further.
	if len(faults) == 0 {
		faults = settings.Check(*f.settingsFile)
	}
	return settings, faults
}

// override replaces the settings whose flags are given.
func (f *flags) override(settings *daemonconfig.Config) {
	set := func(setting *string, value string) {
		if value != "" {
			*setting = value
		}
	}
	set(&settings.Name, *f.name)
	set((*string)(&settings.Zone), *f.zone)
	set(&settings.Listen, *f.listen)
	set(&settings.PeerListen, f.peerListen)
	set(&settings.PeerAddress, f.peerAddress)
	set(&settings.DataDir, *f.dataFolder)
	set(&settings.Platform, *f.platformAddress)
	set(&settings.Log, *f.logLevel)
	if *f.drainMs >= 0 {
		settings.DrainMs = *f.drainMs
	}
	if len(*f.seeds) > 0 {
		settings.Seeds = *f.seeds
	}
	if len(*f.roles) > 0 {
		settings.Roles = nil
		for _, role := range *f.roles {
			settings.Roles = append(settings.Roles, daemonconfig.Role(role))
		}
	}
}
