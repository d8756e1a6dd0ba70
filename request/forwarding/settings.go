package forwarding

import (
	"time"

	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/process/featuregates"
)

// Settings are what a deployment may set of forwarding.
type Settings struct {
	// RetryRatio is the share of first sends that may be sent again in any RetryWindow, over the fleet;
	// RetrySlack is a number that may go beside it.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// RetryUse is the part of both that is used, since daemons can't count together.
	RetryUtilization float64
	// Patience is for how long clients wait for a stream in silence.
	ClientTimeout ClientTimeout
	// DeadlineSlack is how long past the deadline the engine's own last word is waited for.
	DeadlineSlack time.Duration
	// ShedFrom and ShedOver are multiples of a path's target: from the first on, and surely from their sum on, a
	// request is refused whose first byte is expected that late. Nothing is while first bytes come within
	// ShedCalm of it. ShedOver of zero sheds only what can't be served before its deadline.
	ShedStart, ShedRange, ShedMinFirstByte float64
	// HoldBack has engines that the fleet finds ill get no more than the share that is told of them; without it the
	// judgement is only counted.
	EjectOutliers bool
	// Off are the mechanisms that an experiment goes without.
	Disabled featuregates.Set
	// ObserveLoss is told of each request that is not served, or late, on the core's own goroutine; nil tells nobody.
	ObserveLoss func(Loss)
	// ReportFresh is for how long a report on an engine is believed.
	ReportMaxAge time.Duration
}

// DefaultSettings are modest ones.
func DefaultSettings() Settings {
	return Settings{RetryRatio: 0.1, RetrySlack: 10, RetryWindow: 10 * time.Second, RetryUtilization: 0.5, DeadlineSlack: 50 * time.Millisecond, ReportMaxAge: 2 * time.Second,
		ShedStart: 0.6, ShedRange: 1, ShedMinFirstByte: 0.4}
}

// Patience is for how long clients wait for a stream in silence: the longest of a time and of multiples of the
// path's target and of its longest pause. All zero is for as long as their deadline.
type ClientTimeout struct {
	Minimum                 time.Duration
	TargetFactor, GapFactor int64
}

// noPatience is for longer than any deadline.
const noClientTimeout = 24 * time.Hour

func (s Settings) clientTimeout(path *upstream.Path) time.Duration {
	if path.Class != upstream.Stream || s.ClientTimeout == (ClientTimeout{}) {
		return noClientTimeout
	}
	return max(s.ClientTimeout.Minimum, time.Duration(max(s.ClientTimeout.TargetFactor*path.TargetMs, s.ClientTimeout.GapFactor*path.GapTargetMs))*time.Millisecond)
}
