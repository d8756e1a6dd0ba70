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

// Request is what a client wants an answer to; it may take several tries.
type Request struct {
	ID, Kind, Session string
	Zone              string
	Host, Method, URI string
	Header            map[string]string
	Body              []byte
	// Chunked sends the body in chunks.
	Chunked bool
	Prompt  protocol.Prompt
	// Class and Resumable are as the route says; Deadline is how long the client waits.
	Class         string
	Resumable     bool
	Deadline, Aim time.Duration
	Gap           time.Duration
	// Tries is how often it tries in all.
	Tries int
	// LeavesAfter is how long after it was sent the client closes its connection, whatever came; zero is never.
	LeavesAfter time.Duration
	// Impatient clients try again at once, and do not wait as told.
	Impatient bool
	// Outlasts marks one whose work takes longer than its route's deadline.
	Outlasts bool
	// Probe marks one that shows the configuration in force; Absent: its route is not there.
	Probe, Absent bool
	// At sends all tries to this daemon.
	At *Daemon
}

func (r *Request) repeatable() bool {
	return r.Class == protocol.Idempotent || r.Class == protocol.Streaming && r.Resumable
}

// Daemon is where a connection is handed to.
type Daemon struct{ Name, Address string }

// Client sends requests one after the other.
type Client struct {
	Book *history.Book
	// Enter picks the daemon for a new connection from a zone; false if there is none.
	Enter func(zone string) (Daemon, bool)
	// Keeps says that it keeps connections.
	Keeps bool
	// NextAttempt gives ids that nobody else gives.
	NextAttempt func() string

	mutex sync.Mutex
	kept  *Conn
}

// NewAttempts gives attempt ids from a seed.
func NewAttempts(seed uint64) func() string {
	var mutex sync.Mutex
	random := rand.New(rand.NewPCG(seed, 77))
	return func() string {
		mutex.Lock()
		defer mutex.Unlock()
		return fmt.Sprintf("%016x", random.Uint64())
	}
}

// Close closes what it keeps.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.kept != nil {
		c.kept.Close()
		c.kept = nil
	}
}

// Do tries until there is an answer or no further try is allowed, and gives the tries.
func (c *Client) Do(ctx context.Context, r *Request) []*history.Try {
	began := c.Book.Now()
	until := began + clock.Mark(r.Deadline)
	var tries []*history.Try
	lastEvent := ""
	for n := 0; ; n++ {
		left := until.Since(c.Book.Now())
		if left <= 0 || ctx.Err() != nil {
			return tries
		}
		try := c.try(ctx, r, left, lastEvent, n > 0)
		tries = append(tries, try)
		if !again(r, try) || n+1 >= max(1, r.Tries) {
			return tries
		}
		if len(try.Events) > 0 {
			lastEvent = try.Events[len(try.Events)-1].ID
		}
		left = until.Since(c.Book.Now())
		pause := min(left/3, time.Duration(20<<min(n, 6))*time.Millisecond)
		if try.HasRetryAfter {
			pause = min(left/3, time.Duration(try.RetryAfterMs)*time.Millisecond)
		}
		if r.Impatient {
			pause = 0
		}
		if !wait(ctx, pause) {
			return tries
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

// again says whether the page allows another try after this one.
func again(r *Request, try *history.Try) bool {
	if try.Early || try.GaveUp && !r.repeatable() {
		return false
	}
	switch status := try.Status; {
	case try.Promise() && try.Whole:
		return true
	case status == 400 || status == 401 || status == 404 || status == 413 || status == 431:
		return false
	case status >= 200 && status < 300 && try.Whole:
		return false
	case r.repeatable():
		return true
	}
	// Nothing was sent: nobody can have read it.
	return try.Sent == 0 && !try.Connected
}

// enter gives a connection, kept or new.
func (c *Client) enter(ctx context.Context, r *Request, fresh bool) (*Conn, Daemon, error) {
	c.mutex.Lock()
	kept := c.kept
	c.kept = nil
	c.mutex.Unlock()
	if kept != nil {
		if !fresh && r.At == nil && kept.Usable() {
			return kept, Daemon{Name: kept.Daemon}, nil
		}
		kept.Close()
	}
	daemon := Daemon{}
	if r.At != nil {
		daemon = *r.At
	} else {
		var ok bool
		if daemon, ok = c.Enter(r.Zone); !ok {
			return nil, daemon, fmt.Errorf("no daemon takes connections")
		}
	}
	conn, err := Dial(ctx, c.Book, daemon.Name, daemon.Address)
	return conn, daemon, err
}

// try makes one try.
func (c *Client) try(ctx context.Context, r *Request, left time.Duration, lastEvent string, fresh bool) *history.Try {
	try := &history.Try{Request: r.ID, Kind: r.Kind, Session: r.Session, Zone: r.Zone, Attempt: c.NextAttempt(), Host: r.Host, Method: r.Method, URI: r.URI,
		BodyDigest: protocol.Digest(r.Body), BodyBytes: len(r.Body), Prompt: r.Prompt, LastEvent: lastEvent, DeadlineMs: left.Milliseconds(), AimMs: r.Aim.Milliseconds(),
		Class: r.Class, Resumable: r.Resumable, Probe: r.Probe, Absent: r.Absent, Outlasts: r.Outlasts, Began: c.Book.Now()}
	c.Book.Note(func(h *history.History) { h.Tries = append(h.Tries, try) })
	conn, daemon, err := c.enter(ctx, r, fresh)
	if err != nil {
		c.Book.Note(func(*history.History) { try.Daemon, try.Err, try.Ended = daemon.Name, err.Error(), c.Book.Now() })
		return try
	}
	Send(ctx, conn, r, try, left, lastEvent)
	if c.Keeps && conn.Usable() {
		c.mutex.Lock()
		c.kept = conn
		c.mutex.Unlock()
	} else {
		conn.Close()
	}
	return try
}

// Send sends a try over a connection and waits for its answer, as long as a client would.
func Send(ctx context.Context, conn *Conn, r *Request, try *history.Try, left time.Duration, lastEvent string) {
	due := conn.expect(try)
	data := Wire(r, try.Attempt, left, lastEvent)
	written := make(chan bool, 1)
	go func() {
		// A daemon that does not read holds the writer up; the answer may come all the same.
		_, err := conn.conn.Write(data)
		if err == nil {
			conn.book.Note(func(*history.History) { try.Sent = conn.book.Now() })
		}
		written <- err == nil
	}()
	defer func() {
		_ = conn.conn.SetWriteDeadline(time.Unix(1, 0))
		if whole := <-written; !whole {
			conn.Close()
		}
		_ = conn.conn.SetWriteDeadline(time.Time{})
	}()
	deadline := time.NewTimer(left)
	defer deadline.Stop()
	silence := left
	if r.Class == protocol.Streaming {
		silence = max(2*time.Second, 4*r.Aim, 8*r.Gap)
	}
	quiet := time.NewTimer(silence)
	defer quiet.Stop()
	var leaves <-chan time.Time
	if r.LeavesAfter > 0 {
		leaving := time.NewTimer(r.LeavesAfter)
		defer leaving.Stop()
		leaves = leaving.C
	}
	early := false
	for {
		select {
		case <-due.done:
			return
		case <-due.beats:
			quiet.Reset(silence)
			continue
		case <-deadline.C:
		case <-quiet.C:
		case <-leaves:
			early = true
		case <-ctx.Done():
		}
		conn.book.Note(func(*history.History) {
			if try.GaveUp = try.Status == 0 || !try.Whole; try.GaveUp {
				try.Early, try.LeftAt = early, conn.book.Now()
			}
		})
		conn.Close()
		<-due.done
		return
	}
}
