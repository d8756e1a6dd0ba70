package forwarding

import (
	"time"

	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/process/featuregates"
)

// Settings are the deployment's settings of forwarding.
type Settings struct {
	// RetryRatio bounds retries to this share of first sends in any RetryWindow, over all routers. RetrySlack is a
	// number of retries allowed besides. Defaults: 0.1, 10 and 10 s.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// RetryUtilization is the share of that bound which is used, since routers can't count together. Default: 0.5.
	RetryUtilization float64
	// ClientTimeout is how long clients wait for the first byte of a stream. Default: until the deadline.
	ClientTimeout ClientTimeout
	// DeadlineSlack is how long past its deadline an engine's final response is still awaited. Default: 50 ms.
	DeadlineSlack time.Duration
	// ShedStart and ShedRange are multiples of a path's target: a request whose first byte is expected later than
	// ShedStart may be shed, beyond their sum it is. Nothing is shed while first bytes take less than ShedMinFirstByte
	// of the target. A ShedRange of zero sheds only what can't be served before its deadline. Defaults: 0.6, 1 and 0.4.
	ShedStart, ShedRange, ShedMinFirstByte float64
	// EjectOutliers limits engines that the fleet finds unhealthy to the share given for them; without it they are only
	// counted. Default: off.
	EjectOutliers bool
	// Disabled are the mechanisms that an experiment does without. Default: none.
	Disabled featuregates.Set
	// ObserveLoss is called for each request that was not served in time, on the core's goroutine; nil observes nothing.
	ObserveLoss func(Loss)
	// ReportMaxAge is how old a report on an engine may be to count. Default: 2 s.
	ReportMaxAge time.Duration
}

// DefaultSettings gives the defaults named at the fields.
func DefaultSettings() Settings {
	return Settings{RetryRatio: 0.1, RetrySlack: 10, RetryWindow: 10 * time.Second, RetryUtilization: 0.5, DeadlineSlack: 50 * time.Millisecond, ReportMaxAge: 2 * time.Second,
		ShedStart: 0.6, ShedRange: 1, ShedMinFirstByte: 0.4}
}

// ClientTimeout is how long clients wait for the first byte of a stream: the longest of Minimum, TargetFactor times the
// path's target, and GapFactor times its target for gaps between events. All zero means until the deadline.
type ClientTimeout struct {
	Minimum                 time.Duration
	TargetFactor, GapFactor int64
}

// noClientTimeout is longer than any deadline.
const noClientTimeout = 24 * time.Hour

// clientTimeout applies ClientTimeout to a path; only streams have one.
func (s Settings) clientTimeout(path *upstream.Path) time.Duration {
	if path.Class != upstream.Stream || s.ClientTimeout == (ClientTimeout{}) {
		return noClientTimeout
	}
	return max(s.ClientTimeout.Minimum, time.Duration(s.ClientTimeout.TargetFactor)*path.Target(), time.Duration(s.ClientTimeout.GapFactor)*path.GapTarget())
}
