package scenario

import (
	"context"
	"time"
)

// configFaults are changes of the configuration, with faults around them.
var configFaults = []fault{
	{name: "config-change", rest: time.Second, play: (*Run).changeConfig},
	{name: "config-race", rest: time.Second, play: (*Run).raceConfigs},
	{name: "ack-kill", rest: 4 * time.Second, play: (*Run).ackKill},
	{name: "ack-wipe", rest: 5 * time.Second, play: (*Run).ackWipe},
	{name: "config-bad", rest: 0, play: (*Run).sendInvalidConfigs},
	{name: "config-again", rest: 0, play: (*Run).resendConfigs},
	{name: "config-lost-answers", rest: time.Second, play: (*Run).configLostAnswers},
}

// ackKill kills the machine that has just acknowledged a configuration.
func (r *Run) ackKill(ctx context.Context) error {
	m, err := r.changeAndFindAcker(ctx)
	if err != nil || m == nil {
		return err
	}
	return r.killAndRestart(ctx, m)
}

// ackWipe does the same, and the disk of that machine is lost.
func (r *Run) ackWipe(ctx context.Context) error {
	m, err := r.changeAndFindAcker(ctx)
	if err != nil || m == nil {
		return err
	}
	r.Fleet.Kill(m)
	if err := r.Fleet.Wipe(m); err != nil {
		return err
	}
	r.pause(ctx, 300*ms)
	return r.Fleet.Restart(m)
}

// configLostAnswers changes the configuration while answers to the operator get lost.
func (r *Run) configLostAnswers(ctx context.Context) error {
	r.operator.LoseAnswerShare = 0.6
	defer func() { r.operator.LoseAnswerShare = 0 }()
	return r.changeConfig(ctx)
}
