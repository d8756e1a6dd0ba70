package forwarding

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/featuregates"
)

// pathKey is a path and model: each model has its own engines and speed.
type pathKey struct{ path, model string }

// pathState is what this daemon measured of one path's requests for one model.
type pathState struct {
	// firstByteTime and serviceTime are smoothed times from sending to the first byte and to the end of the response.
	firstByteTime, serviceTime time.Duration
	// timePerToken is the smoothed time to the first byte in ns for each token of expected cost, bestTimePerToken its
	// recent minimum: what a token takes on an idle engine. measuredAt is when timePerToken was measured last.
	timePerToken, bestTimePerToken float64
	measuredAt                     clock.Mark
}

// maxPathStates bounds the states kept.
const maxPathStates = 10_000

// pathState gives the state of a request's path and model.
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

// responseBegun records how long the first byte of an attempt took.
func (p *pathState) responseBegun(request *Request, now clock.Mark) {
	waited := now.Since(request.sentAt)
	smooth(&p.firstByteTime, waited)
	if request.expectedCost <= 0 {
		return
	}
	perToken := float64(waited) / request.expectedCost
	if p.timePerToken == 0 {
		p.timePerToken, p.bestTimePerToken = perToken, perToken
	}
	p.timePerToken += (perToken - p.timePerToken) / 8
	if p.bestTimePerToken += (perToken - p.bestTimePerToken) / 256; perToken < p.bestTimePerToken {
		p.bestTimePerToken = perToken
	}
	p.measuredAt = now
}

// tokensIn is how many prompt tokens an idle engine reads in a time.
func (p *pathState) tokensIn(duration time.Duration) float64 {
	if p.bestTimePerToken <= 0 || duration <= 0 {
		return 0
	}
	return float64(duration) / p.bestTimePerToken
}

// shouldShed reports whether to reject a request although an engine could take it, because its first byte is expected so
// late that it would only delay the requests behind it. Between ShedStart and ShedStart+ShedRange the probability rises
// from 0 to 1: routers that all shed and admit in turns oscillate. Nothing is shed while first bytes come well in time,
// and no request that was sent already. Resubmitted requests are not exempt: when they were, each wave of rejections
// came back as the next overload. Measurements decay, or a path that sheds everything would never be tried again.
func (p *pathState) shouldShed(request *Request, env Environment, settings Settings, least time.Duration) bool {
	expected := decayed(time.Duration(request.expectedCost*p.timePerToken), p.measuredAt, env.Now)
	if expected > request.responseDeadline().Since(env.Now)-least {
		return true
	}
	target := float64(request.Path.Target())
	if settings.Disabled.Has(featuregates.Shedding) {
		return false
	}
	if settings.ShedRange <= 0 || target <= 0 || float64(decayed(p.firstByteTime, p.measuredAt, env.Now)) < settings.ShedMinFirstByte*target {
		return false
	}
	draw := float64(xxhash.Sum64String(request.Attributes.Attempt)>>40) / (1 << 24)
	return (float64(expected)/target-settings.ShedStart)/settings.ShedRange > draw
}

// minAttemptFloor is the least time that any attempt needs.
const minAttemptFloor = 5 * time.Millisecond

// minAttemptTime is the least time left with which an attempt is worth making: half of what first bytes took lately, but
// at most half the target, or one bad hour would keep later requests from being tried.
func (c *Core) minAttemptTime(request *Request) time.Duration {
	if request.Path == nil {
		return 0
	}
	target := request.Path.Target()
	return max(target/10, min(c.pathState(request).firstByteTime, target)/2, minAttemptFloor)
}

// decayed lets a measurement count less with its age: half after a second.
func decayed(seen time.Duration, at, now clock.Mark) time.Duration {
	return time.Duration(float64(seen) * float64(time.Second) / float64(time.Second+now.Since(at)))
}

// smooth moves an exponential moving average of weight 1/8 towards the newest value.
func smooth(into *time.Duration, newest time.Duration) {
	if *into == 0 {
		*into = newest
		return
	}
	*into += (newest - *into) / 8
}
