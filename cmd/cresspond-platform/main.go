// Command cresspond-platform is the daemon on the users' platform: the same daemon as cresspondd, with the platform's
// settings file and its protocols towards clients, engines and operators. It exits with 0 after a graceful shutdown, and
// with 2 on wrong flags or settings.
package main

import (
	"fmt"
	"os"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"

	"github.com/cresspond/cresspond/cmd/internal/application"
	"github.com/cresspond/cresspond/cmd/internal/hangup"
	"github.com/cresspond/cresspond/platform"
	"github.com/cresspond/cresspond/process/engines/nodehealth"
	"github.com/cresspond/cresspond/process/featuregates"
)

// version is set by the build.
var version = "0.1.0-dev"

func main() {
	app := application.New("cresspond-platform", "The cresspond daemon on a users' platform.", version)
	settingsFile := app.Flag("config", "Settings file, TOML.").Short('c').Envar(platform.SettingsVariable).String()
	rankingMode := app.Flag("ranking", "What the ranking of engines by the health of their nodes is used for: off, watch, or drain the worst.").Default(string(nodehealth.Off)).Envar("CRESSPOND_RANKING").
		Enum(string(nodehealth.Off), string(nodehealth.ObserveOnly), string(nodehealth.Drain))
	disabledFeatures := app.Flag("without", "For experiments: a mechanism to disable; give it once for each.").Enums(featuregates.Names()...)
	logLevel := app.Flag("log", "Lowest level to log.").Default(log.InfoLevel.String()).Enum("debug", "info", "warn", "error")
	metricsEndpoint := app.Flag("metrics", "Where metrics are served, PORT/PATH as in the deploy file.").String()
	checkOnly := app.Flag("check", "Check the settings, report what is wrong, and exit.").Bool()
	if _, err := app.Parse(os.Args[1:]); err != nil {
		app.Fatalf("%s, try --help", err)
	}
	settings, read, faults := readSettingsAtStart(*settingsFile)
	if len(faults) == 0 {
		faults = platform.ServeMetrics(&settings, *metricsEndpoint)
	}
	if len(faults) == 0 && *checkOnly {
		faults = settings.CheckAddresses(*settingsFile)
	}
	if len(faults) > 0 {
		for _, fault := range faults {
			fmt.Fprintln(os.Stderr, "cresspond-platform: "+fault.String())
		}
		os.Exit(application.ExitWrongUsage)
	}
	settings.Ranking.Mode = nodehealth.Mode(*rankingMode)
	settings.Log, settings.Experiments.Disabled = *logLevel, *disabledFeatures
	if *checkOnly {
		fmt.Println("the settings are valid")
		return
	}
	log.SetHandler(jsonlog.New(os.Stderr))
	log.SetLevel(log.MustParseLevel(settings.Log))
	boundMemory(settings.Machine.MemoryMb)
	run(settings, *settingsFile, read, hangup.Signals())
}
