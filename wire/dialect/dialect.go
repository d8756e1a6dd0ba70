// Package dialect says how clients and engines of a deployment name things in the heads of their messages.
// The request path asks it, and knows no header of its own.
package dialect

import (
	"time"

	"github.com/valyala/fasthttp"
)

// Part is one part of a prompt, which several requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Ask is what a request's head says of it.
type Ask struct {
	// Attempt is the client's own id of this try; it goes on unchanged.
	Attempt        string
	Model, Adapter string
	// TokensIn and TokensOut are of the prompt, and the most of the answer; zero is unknown.
	TokensIn, TokensOut int
	// Parts are the parts of the prompt in order; the last is the request's own or its session's.
	Parts []Part
	// Deadline is how long the client will wait; zero is unknown.
	Deadline time.Duration
	// Key is the secret that tells whose request it is; empty is none. It is never logged.
	Key string
	// LastEvent is the id of the last event the client has, where it takes a stream up; Resumes says that it does.
	LastEvent string
	Resumes   bool
}

// Dress is what is written into the head of one attempt at an engine.
type Dress struct {
	// Engine is the incarnation of the engine that the request is meant for; another one must refuse it.
	Engine string
	// Left is the time left.
	Left time.Duration
	// Urgency is from 0, first, to 9.
	Urgency int
	// LastEvent takes a stream up after this event, if Resumes.
	LastEvent string
	Resumes   bool
	// HideKey withholds the client's key, and whatever the client says of its tenant, from the engine; Tenant is the name of
	// the tenant instead, if there is one.
	HideKey bool
	Tenant  string
}

// Head is what the head of an engine's answer says.
type Head struct {
	// Attempt is the id that it answers.
	Attempt string
	// NotRun is the engine's word that the request has not run and never will; only a status from 400 on can say it.
	NotRun bool
	// Misdirected says that it is another engine, or does not hold what was asked for.
	Misdirected bool
	// Sealed says that a success bears the engine's stamp.
	Sealed bool
	// Events says that the body is a series of events.
	Events bool
	// Closes says that the engine will close the connection; KeepFor is how long it keeps it idle, if it said.
	Closes  bool
	KeepFor time.Duration
}

// Dialect is one deployment's way.
type Dialect interface {
	// ReadAsk reads a request's head; the error names a malformed field.
	ReadAsk(head *fasthttp.RequestHeader) (Ask, error)
	// Dress writes an attempt's own fields over a copy of the client's head. Fields that concern one
	// connection only are taken away by the caller.
	Dress(head *fasthttp.RequestHeader, dress Dress)
	// ReadHead reads the head of an engine's answer.
	ReadHead(head *fasthttp.ResponseHeader) Head
	// Refuse writes when to come back into an answer of ours; zero says nothing.
	Refuse(head *fasthttp.ResponseHeader, comeBack time.Duration)
}
