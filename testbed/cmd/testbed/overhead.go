package main

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cresspond/cresspond/testbed/scenario"
)

// addOverhead adds the command that measures the overhead of routing.
func addOverhead(app *kingpin.Application) command {
	clause := app.Command("overhead", "Compare requests through a routing daemon with direct requests to the engine.")
	rounds := clause.Flag("rounds", "How many rounds.").Default("5").Int()
	each := clause.Flag("each", "Requests of each kind in a round.").Default("60").Int()
	program := clause.Flag("cresspondd", "The daemon to run; by default the one beside this program.").String()
	return command{clause, func() error { return overhead(*rounds, *each, programs{daemon: *program}) }}
}

func overhead(rounds, each int, run programs) error {
	if rounds < 1 || each < 1 {
		return fmt.Errorf("there must be at least one round of one request")
	}
	f, err := lay("small", run, "")
	if err != nil {
		return err
	}
	defer f.Stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	return scenario.New(f, 1, sayer()).Overhead(ctx, rounds, each)
}
