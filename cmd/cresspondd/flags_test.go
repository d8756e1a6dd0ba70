package main

import (
	"testing"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cresspond/cresspond/process/daemonconfig"
)

// Flags that were renamed still work under their former names.
func TestFlagsOverrideSettingsUnderTheirNamesAndAliases(t *testing.T) {
	for name, arguments := range map[string][]string{
		"names":   {"--peer-listen", "127.0.0.1:1", "--peer-address", "10.0.0.1:1"},
		"aliases": {"--fellow-listen", "127.0.0.1:1", "--fellow-address", "10.0.0.1:1"},
	} {
		t.Run(name, func(t *testing.T) {
			app := kingpin.New("cresspondd", "")
			flags := addFlags(app)
			if _, err := app.Parse(arguments); err != nil {
				t.Fatal(err)
			}
			settings := daemonconfig.Config{DrainMs: 7}
			flags.override(&settings)
			if settings.PeerListen != "127.0.0.1:1" || settings.PeerAddress != "10.0.0.1:1" {
				t.Errorf("peer-listen is %q, peer-address %q", settings.PeerListen, settings.PeerAddress)
			}
			if settings.DrainMs != 7 {
				t.Errorf("a flag that was not given changed drain-ms to %d", settings.DrainMs)
			}
		})
	}
}
