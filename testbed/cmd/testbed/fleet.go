package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cresspond/cresspond/testbed/deployment"
	"github.com/cresspond/cresspond/testbed/fleet"
)

// programs are the builds of the daemon that a fleet runs. An empty daemon is the one beside this program; an empty
// other is none.
type programs struct {
	daemon, other string
}

// lay lays out a fleet in a folder; empty is a new one.
func lay(name string, run programs, folder string) (*fleet.Fleet, error) {
	d, _ := deployment.Named(name)
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	if run.daemon == "" {
		run.daemon = filepath.Join(filepath.Dir(self), "cresspondd")
	}
	if run.other == "" {
		run.other = run.daemon
	}
	for _, program := range []string{run.daemon, run.other} {
		if _, err := os.Stat(program); err != nil {
			return nil, fmt.Errorf("the daemon cannot be run: %w", err)
		}
	}
	if folder == "" {
		if folder, err = os.MkdirTemp("", "testbed-"); err != nil {
			return nil, err
		}
	}
	return fleet.New(d, folder, [2]string{run.daemon, run.other}, self)
}

// sayer returns a function that prints progress with the time since now.
func sayer() func(string, ...any) {
	began := time.Now()
	return func(format string, args ...any) {
		fmt.Printf("%7.2f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}
}
