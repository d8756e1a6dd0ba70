package engine

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// Pace is how fast an engine is, and how much it takes at once.
type Pace struct {
	Slots int
	// Waiting is how many more it queues.
	Waiting int
	// Memory is in tokens, for running requests and kept parts together.
	Memory int64
	// A step gives each running request a token; it takes Step, PerRun more for each request that runs, and
	// the time that the prompts read in it take.
	StepTime, PerRequest time.Duration
	PrefillPerMs         float64
	// PrefillAtOnce is the most of prompts read in one step.
	PrefillAtOnce int
	// Stride is how many tokens one event holds.
	Stride int
}

// Job is one request in an engine's hands.
type Job struct {
	Number   uint64
	Prompt   protocol.Prompt
	Urgency  int
	Deadline clock.Mark
	// From is the last event that the caller has already; the run goes on behind it.
	From int
	// HealthCheck takes a place and is done at once.
	HealthCheck bool
	// Hang keeps a plain run from ever ending.
	Hang bool

	// PrefilledTokens and Kept count the tokens that were read, and that had not to be.
	PrefilledTokens, CachedTokens int
	prefillLeft                   int
	generated                     int
	began                         bool
	running                       bool
	ownMemory                     int64
	pinned                        []*cachedPart
}

// Began says whether its first token is out.
func (j *Job) Began() bool { return j.began }

// tokens is how many tokens of its own run it makes.
func (j *Job) tokens(stride int) int { return max(1, j.Prompt.TokensOut-j.From*stride) }

// Progress is one thing that a step brought.
type Progress struct {
	Job *Job
	// Event is the number of an event that is ready; zero is none. Last: it was the last one.
	Event int
	Last  bool
	// Expired: its deadline has passed. PutBack: it had to make room and waits again.
	Expired, Preempted bool
}
