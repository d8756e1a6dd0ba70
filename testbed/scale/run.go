package scale

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"
)

// Options say how a run goes.
type Options struct {
	// Program is the daemon, Self this program, Build names the build.
	Program, Self, Build string
	// Deployed says that Program is the users' platform's, and that engines and operators speak as there.
	Deployed bool
	// LoadMoves is how often an engine's load in its reports is another; zero never moves it. It needs Deployed.
	LoadMoves time.Duration
	Folder    string
	// Profiles is a folder for what takes the hosts' processor time; empty writes none.
	Profiles string
	Beat     time.Duration
	// StartPace is how many hollow daemons are started a second; zero starts all at once.
	StartPace float64
	Windows   int
	Window    time.Duration
	// Engines are the numbers of engines tried in turn in each step.
	Engines []int
	// Leaves, Changes and Restarts are how many of each are made in each step.
	Leaves, Changes, Restarts int
	Limits                    Limits
	Machine                   Machine
	// Result takes each row as a line of JSON.
	Result io.Writer
	Say    func(format string, args ...any)
}

// errCut says that a step was cut short.
var errCut = errors.New("cut short")

// Run plays all steps that fit, and gives their rows. whole is false where any was refused or cut short.
func Run(ctx context.Context, steps []Size, o Options) (rows []Row, whole bool, err error) {
	whole = true
	note := func(row Row) {
		row.Build = o.Build
		rows = append(rows, row)
		if o.Result != nil {
			_ = json.NewEncoder(o.Result).Encode(row)
		}
	}
	for i, size := range steps {
		need := NeedOf(size, costBy(rows, size))
		if why := Refusal(need, o.Machine, o.Limits); why != "" {
			o.Say("refused: %v: %s", size, why)
			note(Row{Size: size, Phase: PhaseRefused, Cut: why})
			whole = false
			continue
		}
		o.Say("step %d: %v; expected: %v", i+1, size, need)
		s := &step{Options: o, size: size, note: note}
		err := s.play(ctx, i)
		switch {
		case errors.Is(err, errCut):
			whole = false
			o.Say("this step is partial: %s", s.why())
		case err != nil:
			return rows, false, err
		}
		if ctx.Err() != nil {
			return rows, false, nil
		}
	}
	return rows, whole, nil
}
