// Package hangup keeps a SIGHUP from ending a program while it starts. The runtime initializes packages in the order of their
// import paths as far as their imports allow, so this one, which imports next to nothing, comes before those of the libraries that
// take most of the time.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

var signals = make(chan os.Signal, 1)

func init() { signal.Notify(signals, syscall.SIGHUP) }

// Signals gives the hangups since the program started; of several that wait it holds one.
func Signals() <-chan os.Signal { return signals }
