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
	head = "node-name = \"edge-1\"\nserves = [\"edge\"]\nip = \"10.0.0.1\"\nzone = \"a\"\nport-range = [7000,7010]\n"
	tail = "\n[bind-addrs]\nfront = \"10.0.0.1:80\"\nreadiness = \"10.0.0.1:81\"\n"
)

// TestSettingsAreReadAgainOnASignalOrAChange: a file that is just being written changes nothing and is read
// once it is whole; one that looks as before is not read at all.
func TestSettingsAreReadAgainOnASignalOrAChange(t *testing.T) {
	log.SetHandler(discard.Default)
	path := filepath.Join(t.TempDir(), "boot.toml")
	modified := time.Unix(1000, 0)
	put := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		modified = modified.Add(time.Second)
		if err := os.Chtimes(path, modified, modified); err != nil {
			t.Fatal(err)
		}
	}
	whole := func(seed string) string { return head + "seeds = [\"" + seed + ":9\"]" + tail }
	put(whole("10.0.0.2"))
	told, looks, read, ended := make(chan os.Signal), make(chan time.Time), make(chan daemonconfig.Config, 1), make(chan struct{})
	go func() {
		watch(path, told, looks, func(c daemonconfig.Config) { read <- c })
		close(ended)
	}()
	// A channel without room hands over when the one before is done with.
	look := func() { looks <- time.Time{}; looks <- time.Time{} }
	nothing := func(when string) {
		select {
		case c := <-read:
			t.Errorf("%s, settings were taken over: %v", when, c.Seeds)
		default:
		}
	}
	look()
	nothing("with the file as it was")

	told <- syscall.SIGHUP
	if c := <-read; !slices.Equal(c.Seeds, []string{"10.0.0.2:7000"}) {
		t.Error(c.Seeds)
	}

	put(whole("10.0.0.3"))
	looks <- time.Time{}
	if c := <-read; !slices.Equal(c.Seeds, []string{"10.0.0.3:7000"}) {
		t.Error(c.Seeds)
	}

	put(head + "seeds = [\"10.0")
	look()
	told <- syscall.SIGHUP
	look()
	nothing("with half a file")
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	look()
	nothing("without a file")
	put(whole("10.0.0.4"))
	looks <- time.Time{}
	if c := <-read; !slices.Equal(c.Seeds, []string{"10.0.0.4:7000"}) {
		t.Error(c.Seeds)
	}
	close(told)
	close(looks)
	<-ended
}
