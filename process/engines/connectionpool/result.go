package connectionpool

import (
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/wire/dialect"
)

// maxRejectionBody is how much of a rejection's body is read in order to keep the connection, in bytes.
const maxRejectionBody = 64 << 10

// Result is the outcome of an attempt and, if answered, its response.
type Result struct {
	Outcome Outcome
	Reason  string
	Header  dialect.Head
	// ConnectTime is how long a new connection took; zero means that an idle one was used.
	ConnectTime time.Duration

	pools      *Pools
	key        engineKey
	connection *connection
	canceller  *Canceller
	response   *fasthttp.Response
	body       io.Reader
	// complete says that the body was read to its end; an unusable connection is not reused.
	complete, unusable bool
	bodyErr            error
	// headErr is why no header came.
	headErr error
	// sending is the request being written; nil is none.
	sending *requestWrite
}

// errBodyTooLong ends the reading of a rejection's body that is not worth its connection.
var errBodyTooLong = errors.New("the body is too long to be read for its connection's sake")

// Response gives the response's header, until Close.
func (a *Result) Response() *fasthttp.Response { return a.response }

// Read reads the body; io.EOF says that it is complete.
func (a *Result) Read(p []byte) (int, error) {
	if a.bodyErr != nil {
		return 0, a.bodyErr
	}
	if a.complete {
		return 0, io.EOF
	}
	n, err := a.body.Read(p)
	switch {
	case err == io.EOF:
		// A body without a length or chunks ends with its connection, in order: one that is broken off ends in a reset.
		a.complete = true
	case err != nil:
		a.bodyErr = err
	}
	return n, err
}

// Complete reports whether the body was read to its end.
func (a *Result) Complete() bool { return a.complete }

// discardBody reads a short body to its end, so that the next response can be read; it reports whether the end came.
func (a *Result) discardBody() bool {
	if _, err := io.CopyN(io.Discard, a, maxRejectionBody); err == nil {
		a.bodyErr = errBodyTooLong
	}
	return a.complete
}

// Close ends the attempt. The connection is reused only if the request was written and the response read completely, and
// nothing more came.
func (a *Result) Close() {
	if a.connection == nil {
		a.releaseResponse()
		return
	}
	if a.complete && a.bodyErr == nil && !a.unusable && a.sending.complete() && !a.Header.Closes && a.connection.reader.Buffered() == 0 {
		a.connection.announcedIdleTimeout, a.connection.idleSince = a.Header.KeepFor, a.pools.clock.Elapsed()
		a.releaseConnection()
	} else {
		if a.complete && a.connection.reader.Buffered() > 0 {
			a.pools.Counters.SurplusBytes.Add(1)
		}
		a.closeConnection()
	}
	a.releaseResponse()
}

// releaseResponse returns the response's memory.
func (a *Result) releaseResponse() {
	if a.response != nil {
		a.body = nil
		fasthttp.ReleaseResponse(a.response)
		a.response = nil
	}
}

// finish sets the outcome; without a response it closes the result.
func (a *Result) finish(outcome Outcome, reason string) *Result {
	a.Outcome, a.Reason = outcome, reason
	if outcome != OutcomeAnswered {
		a.Close()
	}
	return a
}

// closeConnection closes the connection and stops counting it.
func (a *Result) closeConnection() {
	if a.connection == nil {
		return
	}
	a.canceller.arm(nil)
	_ = a.connection.Close()
	a.connection = nil
	a.pools.forget(a.key)
}

// releaseConnection returns the connection to the pool, unless the attempt was cancelled.
func (a *Result) releaseConnection() {
	if !a.canceller.arm(nil) {
		// It was ended meanwhile, so its connection is closed or about to be.
		a.closeConnection()
		return
	}
	_ = a.connection.SetDeadline(time.Time{})
	a.pools.release(a.key, a.connection)
	a.connection = nil
}
