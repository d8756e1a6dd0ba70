package client

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// Request is what a client wants an answer to; it may take several attempts.
type Request struct {
	ID, Kind, Session string
	Zone              string
	Host, Method, URI string
	Header            map[string]string
	// Key is the API key that is sent, and Tenant the tenant that holds it; empty is none. ForgedTenants are sent as
	// X-Tenant headers, which a client has no right to.
	Key, Tenant   string
	ForgedTenants []string
	Body          []byte
	// Chunked sends the body in chunks.
	Chunked bool
	Prompt  protocol.Prompt
	// Class and Resumable are the route's; Deadline is how long the client waits, Target the latency target.
	Class            string
	Resumable        bool
	Deadline, Target time.Duration
	Gap              time.Duration
	// MaxAttempts is the number of attempts in all.
	MaxAttempts int
	// CloseAfter is how long after sending the client closes the connection, whatever arrived; zero is never.
	CloseAfter time.Duration
	// Impatient clients retry at once, without backoff and whatever Retry-After says.
	Impatient bool
	// ExceedsDeadline marks a request whose work takes longer than its route's deadline.
	ExceedsDeadline bool
	// Probe marks a request that shows the configuration in force; Absent: its route must not exist.
	Probe, Absent bool
	// Only sends all attempts to this daemon; nil lets the client pick.
	Only *Daemon
}

func (r *Request) idempotent() bool {
	return r.Class == protocol.Idempotent || r.Class == protocol.Streaming && r.Resumable
}

// Daemon is where a connection leads.
type Daemon struct{ Name, Address string }

// Client sends one request after the other.
type Client struct {
	Recorder *history.Recorder
	// PickDaemon picks the daemon for a new connection from a zone; false if there is none.
	PickDaemon func(zone string) (Daemon, bool)
	// KeepAlive reuses connections.
	KeepAlive bool
	// NextAttemptID returns a unique id.
	NextAttemptID func() string

	mutex    sync.Mutex
	idleConn *Conn
}

// NewAttemptIDs returns a generator of attempt ids from a seed, safe for concurrent use.
func NewAttemptIDs(seed uint64) func() string {
	var mutex sync.Mutex
	random := rand.New(rand.NewPCG(seed, 77))
	return func() string {
		mutex.Lock()
		defer mutex.Unlock()
		return fmt.Sprintf("%016x", random.Uint64())
	}
}

// Close closes the idle connection.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.idleConn != nil {
		c.idleConn.Close()
		c.idleConn = nil
	}
}

// Do sends a request until there is an answer or no retry is allowed, and returns the attempts.
func (c *Client) Do(ctx context.Context, r *Request) []*history.Attempt {
	began := c.Recorder.Now()
	until := began + clock.Mark(r.Deadline)
	var attempts []*history.Attempt
	lastEvent := ""
	for n := 0; ; n++ {
		left := until.Since(c.Recorder.Now())
		if left <= 0 || ctx.Err() != nil {
			return attempts
		}
		attempt := c.attempt(ctx, r, left, lastEvent, n > 0)
		attempts = append(attempts, attempt)
		if !shouldRetry(r, attempt) || n+1 >= max(1, r.MaxAttempts) {
			return attempts
		}
		if len(attempt.Events) > 0 {
			lastEvent = attempt.Events[len(attempt.Events)-1].ID
		}
		left = until.Since(c.Recorder.Now())
		pause := min(left/3, time.Duration(20<<min(n, 6))*time.Millisecond)
		if attempt.HasRetryAfter {
			pause = min(left/3, time.Duration(attempt.RetryAfterMs)*time.Millisecond)
		}
		if r.Impatient {
			pause = 0
		}
		if !wait(ctx, pause) {
			return attempts
		}
	}
}

func wait(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// shouldRetry says whether the platform's protocol allows a retry after this attempt.
func shouldRetry(r *Request, attempt *history.Attempt) bool {
	if attempt.Early || attempt.ClientClosed && !r.idempotent() {
		return false
	}
	switch status := attempt.Status; {
	case attempt.PromisesNotRun() && attempt.Complete:
		return true
	case status == 400 || status == 401 || status == 404 || status == 413 || status == 431:
		return false
	case status >= 200 && status < 300 && attempt.Complete:
		return false
	case r.idempotent():
		return true
	}
	// Nothing was sent, so nobody can have read it.
	return attempt.Sent == 0 && !attempt.Connected
}

// connect returns a connection, idle or new.
func (c *Client) connect(ctx context.Context, r *Request, fresh bool) (*Conn, Daemon, error) {
	c.mutex.Lock()
	kept := c.idleConn
	c.idleConn = nil
	c.mutex.Unlock()
	if kept != nil {
		if !fresh && r.Only == nil && kept.Usable() {
			return kept, Daemon{Name: kept.Daemon}, nil
		}
		kept.Close()
	}
	daemon := Daemon{}
	if r.Only != nil {
		daemon = *r.Only
	} else {
		var ok bool
		if daemon, ok = c.PickDaemon(r.Zone); !ok {
			return nil, daemon, fmt.Errorf("no daemon accepts connections")
		}
	}
	conn, err := Dial(ctx, c.Recorder, daemon.Name, daemon.Address)
	return conn, daemon, err
}

// attempt makes one attempt.
func (c *Client) attempt(ctx context.Context, r *Request, left time.Duration, lastEvent string, fresh bool) *history.Attempt {
	attempt := &history.Attempt{Request: r.ID, Kind: r.Kind, Session: r.Session, Zone: r.Zone, AttemptID: c.NextAttemptID(), Host: r.Host, Method: r.Method, URI: r.URI,
		BodyDigest: protocol.Digest(r.Body), BodyBytes: len(r.Body), Prompt: r.Prompt, LastEvent: lastEvent, Key: r.Key, Tenant: r.Tenant, DeadlineMs: left.Milliseconds(), TargetMs: r.Target.Milliseconds(),
		Class: r.Class, Resumable: r.Resumable, Probe: r.Probe, Absent: r.Absent, ExceedsDeadline: r.ExceedsDeadline, Began: c.Recorder.Now()}
	c.Recorder.Record(func(h *history.History) { h.Attempts = append(h.Attempts, attempt) })
	conn, daemon, err := c.connect(ctx, r, fresh)
	if err != nil {
		c.Recorder.Record(func(*history.History) {
			attempt.Daemon, attempt.Err, attempt.Ended = daemon.Name, err.Error(), c.Recorder.Now()
		})
		return attempt
	}
	Send(ctx, conn, r, attempt, left, lastEvent)
	if c.KeepAlive && conn.Usable() {
		c.mutex.Lock()
		c.idleConn = conn
		c.mutex.Unlock()
	} else {
		conn.Close()
	}
	return attempt
}

// Send sends an attempt over a connection and waits for its answer as long as a client would.
func Send(ctx context.Context, conn *Conn, r *Request, attempt *history.Attempt, left time.Duration, lastEvent string) {
	due := conn.expect(attempt)
	data := Wire(r, attempt.AttemptID, left, lastEvent)
	written := make(chan bool, 1)
	go func() {
		// A daemon that does not read blocks the writer; the answer may arrive all the same.
		_, err := conn.conn.Write(data)
		if err == nil {
			conn.recorder.Record(func(*history.History) { attempt.Sent = conn.recorder.Now() })
		}
		written <- err == nil
	}()
	defer func() {
		_ = conn.conn.SetWriteDeadline(time.Unix(1, 0))
		if complete := <-written; !complete {
			conn.Close()
		}
		_ = conn.conn.SetWriteDeadline(time.Time{})
	}()
	deadline := time.NewTimer(left)
	defer deadline.Stop()
	quietTimeout := left
	if r.Class == protocol.Streaming {
		quietTimeout = max(2*time.Second, 4*r.Target, 8*r.Gap)
	}
	quiet := time.NewTimer(quietTimeout)
	defer quiet.Stop()
	var leaves <-chan time.Time
	if r.CloseAfter > 0 {
		leaving := time.NewTimer(r.CloseAfter)
		defer leaving.Stop()
		leaves = leaving.C
	}
	early := false
	for {
		select {
		case <-due.done:
			return
		case <-due.eventReceived:
			quiet.Reset(quietTimeout)
			continue
		case <-deadline.C:
		case <-quiet.C:
		case <-leaves:
			early = true
		case <-ctx.Done():
		}
		conn.recorder.Record(func(*history.History) {
			if attempt.ClientClosed = attempt.Status == 0 || !attempt.Complete; attempt.ClientClosed {
				attempt.Early, attempt.ClosedAt = early, conn.recorder.Now()
			}
		})
		conn.Close()
		<-due.done
		return
	}
}
