package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
)

// Batch is the scheduler of a model engine, with continuous batching and a prefix cache. It has no clock and no sockets.
type Batch struct {
	pace         Pace
	queue        []*Job
	running      []*Job
	cache        map[string]*cachedPart
	clock        uint64
	cachedTokens int64
}

// NewBatch returns an empty batch.
func NewBatch(pace Pace) *Batch { return &Batch{pace: pace, cache: map[string]*cachedPart{}} }

// Queued counts the requests that wait for a slot.
func (b *Batch) Queued() int { return len(b.queue) }

// Active counts the requests that have a slot.
func (b *Batch) Active() int { return len(b.running) }

// Memory is the number of tokens that cannot be evicted, and that are used in all.
func (b *Batch) Memory() (fixed, all int64) {
	for _, job := range b.running {
		fixed += job.ownMemory
	}
	all = fixed + b.cachedTokens
	for _, cached := range b.cache {
		if cached.users > 0 {
			fixed += cached.tokens
		}
	}
	return fixed, all
}

// Idle says that a step would do nothing.
func (b *Batch) Idle() bool { return len(b.queue) == 0 && len(b.running) == 0 }

// Submit queues a request; false rejects it as too large, or because the queue is full.
func (b *Batch) Submit(job *Job) bool {
	if b.pace.Memory > 0 && int64(job.Prompt.TokensIn+job.Prompt.TokensOut) > b.pace.Memory {
		return false
	}
	free := b.pace.Slots - len(b.running)
	if len(b.queue) >= max(0, free)+b.pace.Waiting {
		return false
	}
	b.enqueue(job)
	return true
}

func (b *Batch) enqueue(job *Job) {
	b.queue = append(b.queue, job)
	// The more urgent go first, then those that arrived first.
	slices.SortStableFunc(b.queue, func(x, y *Job) int {
		return cmp.Or(cmp.Compare(x.Urgency, y.Urgency), cmp.Compare(x.Number, y.Number))
	})
}

// Remove removes a request whose caller has disconnected.
func (b *Batch) Remove(job *Job) {
	b.queue = slices.DeleteFunc(b.queue, func(other *Job) bool { return other == job })
	if job.running {
		b.release(job)
	}
}

// CancelQueued removes the queued requests that match; those that have begun stay.
func (b *Batch) CancelQueued(match func(*Job) bool) (dropped []*Job) {
	b.queue = slices.DeleteFunc(b.queue, func(job *Job) bool {
		if job.began || !match(job) {
			return false
		}
		dropped = append(dropped, job)
		return true
	})
	return dropped
}

// Running says whether any request that matches is running, or was preempted after it began.
func (b *Batch) Running(match func(*Job) bool) bool {
	return slices.ContainsFunc(b.running, match) || slices.ContainsFunc(b.queue, func(job *Job) bool { return job.began && match(job) })
}

func (b *Batch) release(job *Job) {
	b.running = slices.DeleteFunc(b.running, func(other *Job) bool { return other == job })
	for _, cached := range job.pinned {
		cached.users--
	}
	job.pinned, job.ownMemory, job.running = nil, 0, false
}

// admit gives queued requests slots, in order; the first that finds no memory stops the rest.
func (b *Batch) admit(now clock.Mark, progress []Progress) []Progress {
	for len(b.queue) > 0 {
		job := b.queue[0]
		if job.Deadline != 0 && now >= job.Deadline {
			b.queue = b.queue[1:]
			progress = append(progress, Progress{Job: job, Expired: true})
			continue
		}
		if len(b.running) >= b.pace.Slots {
			return progress
		}
		if job.HealthCheck {
			b.queue = b.queue[1:]
			progress = append(progress, Progress{Job: job, Last: true})
			continue
		}
		if !b.startJob(job) {
			return progress
		}
		b.queue = b.queue[1:]
	}
	return progress
}

func (b *Batch) startJob(job *Job) bool {
	b.clock++
	keptTokens := int64(0)
	var pinned []*cachedPart
	for _, key := range partKeys(job.Prompt) {
		cached := b.cache[key]
		if cached == nil {
			break
		}
		cached.users++
		cached.used = b.clock
		pinned = append(pinned, cached)
		keptTokens += cached.tokens
	}
	// Tokens generated before a preemption, or at another engine, are prefilled like a prompt.
	complete := int64(job.Prompt.TokensIn) + int64(job.From*b.pace.Stride) + int64(job.generated)
	need := max(0, complete-keptTokens)
	if !b.makeRoom(need + 1) {
		for _, cached := range pinned {
			cached.users--
		}
		return false
	}
	job.pinned, job.ownMemory, job.running = pinned, need, true
	job.prefillLeft = int(need)
	job.CachedTokens += int(min(keptTokens, complete))
	b.running = append(b.running, job)
	return true
}

// Begin starts a step: it returns how long the step takes and the progress of queued requests. Zero: nothing to do.
func (b *Batch) Begin(now clock.Mark) (time.Duration, []Progress) {
	progress := b.admit(now, nil)
	if len(b.running) == 0 {
		return 0, progress
	}
	reading := b.pace.PrefillAtOnce
	read := 0
	for _, job := range b.running {
		now := min(job.prefillLeft, reading)
		reading -= now
		read += now
	}
	took := b.pace.StepTime + time.Duration(len(b.running))*b.pace.PerRequest
	if b.pace.PrefillPerMs > 0 {
		took += time.Duration(float64(read) / b.pace.PrefillPerMs * float64(time.Millisecond))
	}
	return took, progress
}

// End finishes the step: prompts are prefilled further, and each request with a complete prefill gets one token.
func (b *Batch) End(now clock.Mark) (progress []Progress) {
	b.clock++
	reading := b.pace.PrefillAtOnce
	for _, job := range slices.Clone(b.running) {
		if !job.running {
			continue
		}
		if job.Deadline != 0 && now >= job.Deadline {
			b.release(job)
			progress = append(progress, Progress{Job: job, Expired: true})
			continue
		}
		if job.prefillLeft > 0 {
			cached := min(job.prefillLeft, reading)
			reading -= cached
			job.prefillLeft -= cached
			job.PrefilledTokens += cached
			if job.prefillLeft > 0 {
				continue
			}
			b.cacheParts(job)
		}
		for !b.makeRoom(1) {
			back := b.newestLeastUrgent()
			b.release(back)
			b.enqueue(back)
			progress = append(progress, Progress{Job: back, Preempted: true})
			if back == job {
				break
			}
		}
		if !job.running {
			continue
		}
		job.ownMemory++
		job.generated++
		job.began = true
		all := job.tokens(b.pace.Stride)
		sign := Progress{Job: job, Last: job.generated >= all}
		stride := max(1, b.pace.Stride)
		// After the last event nothing is left to generate.
		over := job.From > 0 && job.From*stride >= job.Prompt.TokensOut
		if !over && (job.generated%stride == 0 || sign.Last) {
			sign.Event = job.From + (job.generated+stride-1)/stride
		}
		if sign.Last {
			b.release(job)
		}
		// The first token is reported too, even if its event is not full yet.
		if sign.Event > 0 || sign.Last || job.generated == 1 {
			progress = append(progress, sign)
		}
	}
	return progress
}

func (b *Batch) newestLeastUrgent() *Job {
	return slices.MaxFunc(b.running, func(x, y *Job) int {
		return cmp.Or(cmp.Compare(x.Urgency, y.Urgency), cmp.Compare(x.Number, y.Number))
	})
}
