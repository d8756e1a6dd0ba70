package main

import (
	"os"
	"time"

	"github.com/apex/log"

	"github.com/cresspond/cresspond/platform"
	"github.com/cresspond/cresspond/process/daemonconfig"
)

// settingsPollInterval is how often the settings file is checked for changes: it may change without a signal.
const settingsPollInterval = 2 * time.Second

// readSettingsAtStart retries for a second, since the file may be half written. The version is that of the file before it
// was read, so that no later change is taken for one that was read.
func readSettingsAtStart(file string) (daemonconfig.Config, fileVersion, []daemonconfig.Fault) {
	const retries, retryInterval = 5, 200 * time.Millisecond
	read := fileVersionOf(file)
	settings, faults := platform.ReadSettings(file)
	for range retries {
		if len(faults) == 0 {
			break
		}
		<-time.After(retryInterval)
		read = fileVersionOf(file)
		settings, faults = platform.ReadSettings(file)
	}
	return settings, read, faults
}

// watchSettings reloads the settings at each signal, and at a poll that finds another version of the file than was loaded.
// It returns once both channels are closed.
func watchSettings(file string, loaded fileVersion, signals <-chan os.Signal, polls <-chan time.Time, reload func(daemonconfig.Config)) {
	reloadPending, warned := false, false
	for signals != nil || polls != nil {
		select {
		case _, more := <-signals:
			if !more {
				signals = nil
				continue
			}
			reloadPending = true
		case _, more := <-polls:
			if !more {
				polls = nil
				continue
			}
		}
		current := fileVersionOf(file)
		if !reloadPending && current == loaded {
			continue
		}
		settings, faults := platform.ReadSettings(file)
		if len(faults) > 0 {
			// The file may be half written: the settings in force stay, and the next poll retries.
			if !warned {
				log.WithField("fault", faults[0].String()).Warn("settings cannot be reloaded; retrying")
			}
			reloadPending, warned = true, true
			continue
		}
		loaded, reloadPending, warned = current, false, false
		reload(settings)
	}
}

// fileVersion tells a changed file from an unchanged one.
type fileVersion struct {
	size     int64
	modified time.Time
}

// fileVersionOf returns the version of a file; zero where it can't be read.
func fileVersionOf(file string) fileVersion {
	info, err := os.Stat(file)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{info.Size(), info.ModTime()}
}
