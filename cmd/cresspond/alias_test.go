package main

import (
	"slices"
	"testing"
)

// TestConfigCommandsKeepTheirOldName parses each command by its name and by the one that operators' scripts may still use.
func TestConfigCommandsKeepTheirOldName(t *testing.T) {
	for _, arguments := range [][]string{
		{"propose", "file.json", "--id", "p", "--base", "0"},
		{"review", "p"}, {"sign", "p"}, {"roll", "p"}, {"get"}, {"get", "3"}, {"history"}, {"show", "p"},
	} {
		for _, name := range []string{"config", "spec"} {
			commands := newCommandLine()
			chosen, err := commands.app.Parse(slices.Concat([]string{name}, arguments))
			if want := "config " + arguments[0]; err != nil || chosen != want || commands.run[chosen] == nil {
				t.Errorf("%s %v is command %q, %v", name, arguments, chosen, err)
			}
		}
	}
}
