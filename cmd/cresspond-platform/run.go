package main

import (
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"

	"github.com/cresspond/cresspond/daemon"
	"github.com/cresspond/cresspond/platform"
	"github.com/cresspond/cresspond/process/daemonconfig"
)

// run runs the daemon until a signal asks it to stop. An incarnation that may not continue, since its group declared it
// lost, is succeeded by another with a new identity. read is the version of the settings file that the settings are from,
// hangups come when they are to be read again.
func run(settings daemonconfig.Config, file string, read fileVersion, hangups <-chan os.Signal) {
	// A client, an engine or a log's reader that disconnects must not end the daemon.
	signal.Ignore(syscall.SIGPIPE)
	stop := stopSignal()
	var current reloadTarget
	polls := time.NewTicker(settingsPollInterval)
	defer polls.Stop()
	go watchSettings(file, read, hangups, polls.C, current.reload)
	for {
		instance := build(settings)
		current.set(instance)
		err := instance.Run(stop, nil)
		if err == nil {
			return
		}
		log.WithError(err).Error("restarting the daemon")
		settings = instance.Config()
		select {
		case <-stop:
			return
		case <-time.After(restartDelay):
		}
	}
}

// reloadable takes over settings that were read again.
type reloadable interface {
	Reload(daemonconfig.Config)
}

// reloadTarget passes settings that were read again on to the daemon that runs, and to each that succeeds it: they may
// come before the first one is built, and between two. Its zero value is ready for use.
type reloadTarget struct {
	mutex  sync.Mutex
	daemon reloadable
	newest *daemonconfig.Config
}

func (r *reloadTarget) set(daemon reloadable) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.daemon = daemon
	if r.newest != nil {
		daemon.Reload(*r.newest)
	}
}

func (r *reloadTarget) reload(settings daemonconfig.Config) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.newest = &settings
	if r.daemon != nil {
		r.daemon.Reload(settings)
	}
}

// restartDelay is the pause between one incarnation of the daemon and the next within this process.
const restartDelay = 500 * time.Millisecond

// stopSignal returns a channel that is closed at the first SIGTERM or interrupt. A second one changes nothing: requests
// that were read are completed within the grace period.
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

// build makes a daemon with the platform's protocols.
func build(settings daemonconfig.Config) *daemon.Daemon {
	return daemon.New(settings, version, log.Log,
		daemon.WithReadiness(func(*daemon.Daemon) daemon.Handler { return platform.Readiness{} }),
		daemon.WithForwarding(platform.Dialect()),
		daemon.WithPatience(platform.ClientTimeout()),
		daemon.WithControl(func(d *daemon.Daemon) daemon.Handler { return platform.NewEngines(d) }),
		daemon.WithSectionUpgrade(platform.UpgradeSection),
		daemon.WithPoolPlanning(platform.NewEngineClient(), daemon.PoolSettings(settings)),
		daemon.WithControl(func(d *daemon.Daemon) daemon.Handler { return platform.NewOperator(d) }),
	)
}
