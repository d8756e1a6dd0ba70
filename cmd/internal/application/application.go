// Package application holds what the command lines of all programs have in common.
package application

import (
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// ExitWrongUsage is the exit code for wrong flags, and for wrong settings of any kind.
const ExitWrongUsage = 2

// New makes the command line of a program. On wrong flags kingpin exits with 1; programs made here with ExitWrongUsage.
func New(name, help, version string) *kingpin.Application {
	app := kingpin.New(name, help)
	app.Version(version)
	app.HelpFlag.Short('h')
	app.Terminate(func(status int) {
		if status != 0 {
			status = ExitWrongUsage
		}
		os.Exit(status)
	})
	return app
}
