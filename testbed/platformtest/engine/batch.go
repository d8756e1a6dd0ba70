package engine

import (
	"cmp"
	"slices"
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
	// ReadAtOnce is the most of prompts read in one step.
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
	// Probe takes a place and is done at once.
	HealthCheck bool
	// Hangs keeps a plain run from ever ending.
	Hang bool

	// Read and Kept count the tokens that were read, and that had not to be.
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

// kept is one part of a prompt that the engine keeps; it stands for all parts before it too.
type cachedPart struct {
	key    string
	tokens int64
	// users are running requests, used is when it last was.
	users int
	used  uint64
}

// Sign is one thing that a step brought.
type Progress struct {
	Job *Job
	// Event is the number of an event that is ready; zero is none. Last: it was the last one.
	Event int
	Last  bool
	// Expired: its deadline has passed. PutBack: it had to make room and waits again.
	Expired, Preempted bool
}

// Batch decides what an engine works on. It knows no clock and no socket.
type Batch struct {
	pace         Pace
	queue        []*Job
	running      []*Job
	cache        map[string]*cachedPart
	clock        uint64
	cachedTokens int64
}

// NewBatch makes one.
func NewBatch(pace Pace) *Batch { return &Batch{pace: pace, cache: map[string]*cachedPart{}} }

// Queued and Active count.
func (b *Batch) Queued() int { return len(b.queue) }

// Active counts the requests that hold a slot.
func (b *Batch) Active() int { return len(b.running) }

// Memory is what can't give way, and what is used in all.
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

// Offer takes a request in; false turns it away as full.
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
	// The more urgent go first, then those that came first.
	slices.SortStableFunc(b.queue, func(x, y *Job) int {
		return cmp.Or(cmp.Compare(x.Urgency, y.Urgency), cmp.Compare(x.Number, y.Number))
	})
}

// Remove forgets a request whose caller has left.
func (b *Batch) Remove(job *Job) {
	b.queue = slices.DeleteFunc(b.queue, func(other *Job) bool { return other == job })
	if job.running {
		b.release(job)
	}
}

// Drop takes the waiting requests that match out; those that have begun stay.
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

// Works says whether any request that matches is running, or was put back after it began.
func (b *Batch) Running(match func(*Job) bool) bool {
	return slices.ContainsFunc(b.running, match) || slices.ContainsFunc(b.queue, func(job *Job) bool { return job.began && match(job) })
}

// Forget drops all kept parts of a model, or of an adapter of it.
func (b *Batch) DropCache(owner string) {
	for key, cached := range b.cache {
		if cached.users == 0 && (keyOwner(key) == owner) {
			b.cachedTokens -= cached.tokens
			delete(b.cache, key)
		}
	}
}

func keyOwner(key string) string {
	for i := range key {
		if key[i] == '|' {
			return key[:i]
		}
	}
	return key
}

func (b *Batch) release(job *Job) {
	b.running = slices.DeleteFunc(b.running, func(other *Job) bool { return other == job })
	for _, cached := range job.pinned {
		cached.users--
	}
	job.pinned, job.ownMemory, job.running = nil, 0, false
}

// room makes room for more tokens by giving up kept parts, those unused longest first.
func (b *Batch) makeRoom(more int64) bool {
	if b.pace.Memory == 0 {
		return true
	}
	for {
		_, all := b.Memory()
		if all+more <= b.pace.Memory {
			return true
		}
		var oldest *cachedPart
		for _, cached := range b.cache {
			// Of parts used at the same time the later in the prompt goes first; a key is longer the later it is.
			if cached.users == 0 && (oldest == nil || cached.used < oldest.used ||
				cached.used == oldest.used && (len(cached.key) > len(oldest.key) || len(cached.key) == len(oldest.key) && cached.key < oldest.key)) {
				oldest = cached
			}
		}
		if oldest == nil {
			return false
		}
		b.cachedTokens -= oldest.tokens
		delete(b.cache, oldest.key)
	}
}

// chain gives the keys of a prompt's parts.
func partKeys(prompt protocol.Prompt) []string {
	key := prompt.WriteModel() + "|"
	keys := make([]string, 0, len(prompt.Parts))
	for _, cached := range prompt.Parts {
		key += cached.ID + ","
		keys = append(keys, key)
	}
	return keys
}

// admit gives waiting requests slots, in order; the first that finds no room stops the rest.
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
	// What was made before it was put back, or at another engine, is read like a prompt.
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

// keep turns what a request has read into parts that others can use.
func (b *Batch) cacheParts(job *Job) {
	keys := partKeys(job.Prompt)
	for place := len(job.pinned); place < len(keys); place++ {
		tokens := int64(job.Prompt.Parts[place].Tokens)
		cached := b.cache[keys[place]]
		if cached == nil {
			cached = &cachedPart{key: keys[place], tokens: tokens}
			b.cache[cached.key] = cached
			b.cachedTokens += tokens
		}
		// Its own copy becomes the common one.
		job.ownMemory = max(0, job.ownMemory-tokens)
		cached.users++
		cached.used = b.clock
		job.pinned = append(job.pinned, cached)
	}
}

// Begin starts a step: it says how long it takes, and what became of those that waited. Zero: nothing to do.
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

// End finishes the step: prompts are read on, and each request whose prompt is read has one token more.
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
		// Behind the last event nothing is left to write.
		over := job.From > 0 && job.From*stride >= job.Prompt.TokensOut
		if !over && (job.generated%stride == 0 || sign.Last) {
			sign.Event = job.From + (job.generated+stride-1)/stride
		}
		if sign.Last {
			b.release(job)
		}
		// The first token is told too, even if its event is not full yet.
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
