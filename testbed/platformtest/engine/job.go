package engine

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// Pace is the speed of an engine, and how many requests it serves at once.
type Pace struct {
	Slots int
	// Waiting is the length of the queue behind the slots.
	Waiting int
	// Memory is in tokens, for running requests and cached parts together.
	Memory int64
	// A step generates a token for each running request; it takes StepTime, PerRequest more for each of them, and
	// the time of the prefill in it.
	StepTime, PerRequest time.Duration
	PrefillPerMs         float64
	// PrefillAtOnce is the most prompt tokens in one step.
	PrefillAtOnce int
	// Stride is the number of tokens in an event.
	Stride int
}

// Job is one request in an engine.
type Job struct {
	Number   uint64
	Prompt   protocol.Prompt
	Urgency  int
	Deadline clock.Mark
	// From is the last event that the caller has; generation resumes after it.
	From int
	// HealthCheck jobs take a place in the queue and complete at once.
	HealthCheck bool
	// Hang keeps a plain request from ever completing.
	Hang bool

	// PrefilledTokens were computed, CachedTokens were found in the prefix cache.
	PrefilledTokens, CachedTokens int
	prefillLeft                   int
	generated                     int
	began                         bool
	running                       bool
	ownMemory                     int64
	pinned                        []*cachedPart
}

// Began says whether work on it has begun.
func (j *Job) Began() bool { return j.began }

// tokens is how many tokens are left to generate.
func (j *Job) tokens(stride int) int { return max(1, j.Prompt.TokensOut-j.From*stride) }

// Progress is an event in the execution of a job.
type Progress struct {
	Job *Job
	// Event is the number of an event that is ready; zero is none. Last marks the last one.
	Event int
	Last  bool
	// Expired: its deadline has passed. Preempted: it gave its memory up and is queued again.
	Expired, Preempted bool
}
