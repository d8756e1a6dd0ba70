package forwarding

import (
	"time"

	"github.com/cresspond/cresspond/ident"
)

// Step is what the record's sender does next: one of the three.
type Step struct {
	Attempt *Attempt
	Answer  *Answer
	// Pass lets the engine's own failure go on, since no better answer is to be had.
	PassEngineError bool
}

// Send is one attempt to make.
type Attempt struct {
	Engine   ident.EngineID
	Address  string
	Zone     ident.ZoneID
	Pool     string
	TimeLeft time.Duration
	Urgency  int
	// Careful attempts can't be made again.
	NotRepeatable bool
	// LastEvent takes a stream up after this event, if Resumes.
	LastEvent      string
	Resume         bool
	MaxConnections int
	// Stamped says that it was held or tried before, which only a lease allows.
	NeedsWorkerID bool
	// Running is how many requests run and wait there, Reading how many tokens are to be read before its first
	// byte, both as far as this daemon knows; GapTargetMs is the path's.
	EngineRunning, PrefillTokens int
	GapTargetMs                  int64
}

// step gives a record's sender the next thing to do. A record has at most one that is not yet taken.
func (r *Request) give(s Step) { r.steps <- s }
