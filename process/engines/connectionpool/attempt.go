package connectionpool

import (
	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// Outcome is what is known of an attempt when Send returns.
type Outcome uint8

const (
	// OutcomeWithheld: CheckBeforeSend gave a reason not to send, or no connection was free.
	OutcomeWithheld Outcome = iota
	// OutcomeUnreachable: no byte of the request was sent.
	OutcomeUnreachable
	// OutcomeRejected: the engine guarantees that the request has not run and will not.
	OutcomeRejected
	// OutcomeMisdirected: another engine answered, or it has not loaded what was asked for; the request has not run.
	OutcomeMisdirected
	// OutcomeAnswered: the header of the attempt's response has come; the body is still to be read.
	OutcomeAnswered
	// OutcomeResponseLost: bytes were sent and no response came, so the request may have run.
	OutcomeResponseLost
	// OutcomeProtocolError: bytes were sent and what came is no response to the attempt, so the request may have run.
	OutcomeProtocolError
)

func (o Outcome) String() string {
	return [...]string{"held-back", "never-sent", "refused", "misdirected", "answered", "lost", "junk"}[o]
}

// Attempt is one attempt at an engine.
type Attempt struct {
	Engine  ident.EngineID
	Address string
	// Pool is the engine's pool. Idle lifetimes are learned by pool.
	Pool string
	// ID is the client's id of the request, which the response must bear. UniqueID says that no other attempt bears it, so
	// that the connection need not remember it.
	ID       string
	UniqueID bool
	// Header is the request's header without hop-by-hop fields. PrepareHeader adds the fields of this attempt right
	// before it is written.
	Header        *fasthttp.RequestHeader
	PrepareHeader func()
	Body          []byte
	// NotRepeatable attempts can't be made again, so they reuse a connection only well within its idle timeout.
	NotRepeatable bool
	// MaxConnections bounds this daemon's connections to the engine; zero is no bound.
	MaxConnections int
	// Deadline is until when the response, body included, is awaited.
	Deadline clock.Mark
	// CheckBeforeSend is called right before the first byte is written; it gives a reason not to send, or "".
	CheckBeforeSend func() string
	// Cancel can end the attempt from another goroutine by closing its connection.
	Cancel *Canceller
	// MissingID is what a response without an attempt id is taken for.
	MissingID MissingIDPolicy
}

// MissingIDPolicy is when a response without an attempt id counts as the response to an attempt.
type MissingIDPolicy uint8

const (
	// RejectMissingID: never.
	RejectMissingID MissingIDPolicy = iota
	// AllowMissingIDOnNew: on a connection's first request, where it can't belong to another one. The connection is not
	// reused.
	AllowMissingIDOnNew
	// AllowMissingIDOnIdle: also on a reused connection. It is for engines that put no id on any response, and requests
	// for which a stale response does no harm.
	AllowMissingIDOnIdle
)
