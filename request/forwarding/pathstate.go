package forwarding

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/featuregates"
)

// pathKey tells models apart: each has its engines, and its pace.
type pathKey struct{ path, model string }

// pathState is what this daemon has seen of one path's requests for one model.
type pathState struct {
	// first is a smoothed time from sending to the first byte, served the same to the whole answer.
	firstByteTime, serviceTime time.Duration
	// pace is a smoothed time to the first byte for each token of expected cost, paced when it was last seen,
	// best the least of it lately: what a token takes where nothing is in its way.
	timePerToken, bestTimePerToken float64
	measuredAt                     clock.Mark
}

const maxPathStates = 10_000

func (c *Core) pathState(request *Request) *pathState {
	key := pathKey{request.Path.Name, request.Attributes.Model}
	state := c.paths[key]
	if state == nil {
		if len(c.paths) >= maxPathStates {
			// Paths come and go with the bundles; what is known of them is soon known again.
			clear(c.paths)
		}
		state = &pathState{}
		c.paths[key] = state
	}
	return state
}

// began notes how long the first byte took.
func (p *pathState) responseBegun(request *Request, now clock.Mark) {
	waited := now.Since(request.sentAt)
	smooth(&p.firstByteTime, waited)
	if request.expectedCost <= 0 {
		return
	}
	pace := float64(waited) / request.expectedCost
	if p.timePerToken == 0 {
		p.timePerToken, p.bestTimePerToken = pace, pace
	}
	p.timePerToken += (pace - p.timePerToken) / 8
	if p.bestTimePerToken += (pace - p.bestTimePerToken) / 256; pace < p.bestTimePerToken {
		p.bestTimePerToken = pace
	}
	p.measuredAt = now
}

// tokens is how many tokens could be read in a time.
func (p *pathState) tokensIn(duration time.Duration) float64 {
	if p.bestTimePerToken <= 0 || duration <= 0 {
		return 0
	}
	return float64(duration) / p.bestTimePerToken
}

// sheds says whether a request is given up although an engine could be sent it: where its first byte is
// likely to come too late, it would only make those behind it late as well. Between in time and far too late
// a draw decides, since all daemons shedding and letting in by turns is worse than either. Nothing is shed
// while first bytes come well in time, nor what went out before. Those that come back are no exception: where
// they were, each wave of refusals came back as the next flood. What was seen counts less the
// longer ago, or a path that was given up on would never be tried again.
func (p *pathState) shouldShed(request *Request, env Environment, settings Settings, least time.Duration) bool {
	expected := decayed(time.Duration(request.expectedCost*p.timePerToken), p.measuredAt, env.Now)
	if expected > request.responseDeadline().Since(env.Now)-least {
		return true
	}
	target := float64(request.Path.TargetMs) * float64(time.Millisecond)
	if settings.Disabled.Has(featuregates.Shedding) {
		return false
	}
	if settings.ShedRange <= 0 || target <= 0 || float64(decayed(p.firstByteTime, p.measuredAt, env.Now)) < settings.ShedMinFirstByte*target {
		return false
	}
	drawn := float64(xxhash.Sum64String(request.Attributes.Attempt)>>40) / (1 << 24)
	return (float64(expected)/target-settings.ShedStart)/settings.ShedRange > drawn
}

const minAttemptFloor = 5 * time.Millisecond

// least is the time that an attempt needs at least to be worth sending: what it took lately, but no more than
// its target, or a bad hour would keep the next request from even being tried.
func (c *Core) minAttemptTime(request *Request) time.Duration {
	if request.Path == nil {
		return 0
	}
	target := time.Duration(request.Path.TargetMs) * time.Millisecond
	return max(target/10, min(c.pathState(request).firstByteTime, target)/2, minAttemptFloor)
}

// fading lets what was seen count less the longer ago: half after a second.
func decayed(seen time.Duration, at, now clock.Mark) time.Duration {
	return time.Duration(float64(seen) * float64(time.Second) / float64(time.Second+now.Since(at)))
}

// smooth moves a smoothed time towards the newest.
func smooth(into *time.Duration, newest time.Duration) {
	if *into == 0 {
		*into = newest
		return
	}
	*into += (newest - *into) / 8
}
