package main

import (
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/cresspond/cresspond/process/daemonconfig"
)

const (
	settingsHead = "node-name = \"edge-1\"\nserves = [\"edge\"]\nip = \"10.0.0.1\"\nzone = \"a\"\nport-range = [7000,7010]\n"
	settingsTail = "\n[bind-addrs]\nfront = \"10.0.0.1:80\"\nreadiness = \"10.0.0.1:81\"\n"
)

// A half written file changes nothing and is read once it is complete; an unchanged one is not read at all.
func TestSettingsAreReloadedOnSignalOrChange(t *testing.T) {
	log.SetHandler(discard.Default)
	path := filepath.Join(t.TempDir(), "boot.toml")
	modified := time.Unix(1000, 0)
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		modified = modified.Add(time.Second)
		if err := os.Chtimes(path, modified, modified); err != nil {
			t.Fatal(err)
		}
	}
	validSettings := func(seed string) string { return settingsHead + "seeds = [\"" + seed + ":9\"]" + settingsTail }
	write(validSettings("10.0.0.2"))
	hangups, polls, reloaded, ended := make(chan os.Signal), make(chan time.Time), make(chan daemonconfig.Config, 1), make(chan struct{})
	go func() {
		watchSettings(path, fileVersionOf(path), hangups, polls, func(c daemonconfig.Config) { reloaded <- c })
		close(ended)
	}()
	// The channel is unbuffered: the second send returns only once the first poll has been handled.
	poll := func() { polls <- time.Time{}; polls <- time.Time{} }
	expectNoReload := func(when string) {
		select {
		case c := <-reloaded:
			t.Errorf("%s, settings were reloaded: %v", when, c.Seeds)
		default:
		}
	}
	poll()
	expectNoReload("with an unchanged file")

	hangups <- syscall.SIGHUP
	if c := <-reloaded; !slices.Equal(c.Seeds, []string{"10.0.0.2:7000"}) {
		t.Error(c.Seeds)
	}

	write(validSettings("10.0.0.3"))
	polls <- time.Time{}
	if c := <-reloaded; !slices.Equal(c.Seeds, []string{"10.0.0.3:7000"}) {
		t.Error(c.Seeds)
	}

	write(settingsHead + "seeds = [\"10.0")
	poll()
	hangups <- syscall.SIGHUP
	poll()
	expectNoReload("with a half written file")
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	poll()
	expectNoReload("without a file")
	write(validSettings("10.0.0.4"))
	polls <- time.Time{}
	if c := <-reloaded; !slices.Equal(c.Seeds, []string{"10.0.0.4:7000"}) {
		t.Error(c.Seeds)
	}
	close(hangups)
	close(polls)
	<-ended
}

// TestSettingsThatChangeWhileTheDaemonStartsAreReloaded guards against a change that nobody reads: the file changed after
// it was read and before it was watched, without a signal.
func TestSettingsThatChangeWhileTheDaemonStartsAreReloaded(t *testing.T) {
	log.SetHandler(discard.Default)
	path := filepath.Join(t.TempDir(), "boot.toml")
	write := func(seed string) {
		if err := os.WriteFile(path, []byte(settingsHead+"seeds = [\""+seed+":9\"]"+settingsTail), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("10.0.0.2")
	_, read, faults := readSettingsAtStart(path)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	write("10.0.0.103")
	polls, reloaded := make(chan time.Time, 1), make(chan daemonconfig.Config, 1)
	polls <- time.Time{}
	close(polls)
	watchSettings(path, read, nil, polls, func(c daemonconfig.Config) { reloaded <- c })
	select {
	case c := <-reloaded:
		if !slices.Equal(c.Seeds, []string{"10.0.0.103:7000"}) {
			t.Error(c.Seeds)
		}
	default:
		t.Error("the change was not read")
	}
}

// reloadRecorder records the settings that it was given last.
type reloadRecorder struct{ settings daemonconfig.Config }

func (r *reloadRecorder) Reload(settings daemonconfig.Config) { r.settings = settings }

// TestSettingsReloadedBetweenTwoDaemonsReachTheNext guards against settings that are read once and reach no daemon, since
// none was built yet or the last one had ended.
func TestSettingsReloadedBetweenTwoDaemonsReachTheNext(t *testing.T) {
	var target reloadTarget
	first, second := &reloadRecorder{}, &reloadRecorder{}
	target.reload(daemonconfig.Config{Seeds: []string{"a"}})
	target.set(first)
	if !slices.Equal(first.settings.Seeds, []string{"a"}) {
		t.Error("reloaded before the first daemon:", first.settings.Seeds)
	}
	target.reload(daemonconfig.Config{Seeds: []string{"b"}})
	if !slices.Equal(first.settings.Seeds, []string{"b"}) {
		t.Error("reloaded while it runs:", first.settings.Seeds)
	}
	target.set(second)
	if !slices.Equal(second.settings.Seeds, []string{"b"}) {
		t.Error("reloaded before the next daemon:", second.settings.Seeds)
	}
}
