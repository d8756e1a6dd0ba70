package gateway

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// lookEvery is how often the callers of open requests are looked at.
	lookEvery = 200 * time.Millisecond
	// halfCloseWithin is how soon after its request a caller that only has no more to say closes its side; a first
	// look right behind that time tells it from one that leaves.
	halfCloseWithin = 50 * time.Millisecond
	// looksApart lets one look serve callers that are due at about the same time.
	looksApart = 25 * time.Millisecond
	// dateSlack is by how much the system's dates may differ from the clock here.
	dateSlack = 20 * time.Millisecond
)

// watcher looks whether the callers of open requests are still there. It looks only while any are open.
type watcher struct {
	mutex   sync.Mutex
	waiting map[*flight]*watched
	// timer is set for due while any are open.
	timer *time.Timer
	due   time.Time
}

// watched is the caller of one open request.
type watched struct {
	raw syscall.RawConn
	// began is when the request was read, due when the caller is looked at next; due is the watcher's.
	began, due time.Time

	mutex sync.Mutex
	// open is when the caller's side was last seen open; half says that it was closed right behind the request,
	// by a caller that waits for its answer.
	open time.Time
	half bool
}

func newWatcher() *watcher { return &watcher{waiting: map[*flight]*watched{}} }

func newWatched(conn net.Conn) *watched {
	now := time.Now()
	return &watched{raw: rawOf(conn), began: now, open: now, due: now.Add(halfCloseWithin)}
}

func (w *watcher) add(f *flight) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.waiting[f] = f.caller
	if w.due.IsZero() || f.caller.due.Before(w.due) {
		w.wakeAt(f.caller.due)
	}
}

// wakeAt has tick called at a time, and at no other.
func (w *watcher) wakeAt(at time.Time) {
	w.due = at
	if w.timer == nil {
		w.timer = time.AfterFunc(time.Until(at), w.tick)
	} else {
		w.timer.Reset(time.Until(at))
	}
}

func rawOf(conn net.Conn) syscall.RawConn {
	under, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := under.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

func (w *watcher) remove(f *flight) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.waiting, f)
}

// tick looks at the callers that are due.
func (w *watcher) tick() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	w.due = time.Time{}
	next := now.Add(lookEvery)
	for f, caller := range w.waiting {
		if !caller.due.After(now) {
			// Also one that is being answered: it is written to only when its engine has something to say.
			if caller.gone() {
				delete(w.waiting, f)
				go f.leave()
				continue
			}
			caller.due = now.Add(lookEvery)
		}
		if caller.due.Before(next) {
			next = caller.due
		}
	}
	if len(w.waiting) > 0 {
		if soonest := now.Add(looksApart); next.Before(soonest) {
			next = soonest
		}
		w.wakeAt(next)
	}
}

// each calls do for all that wait or are being answered.
func (w *watcher) each(do func(*flight)) {
	w.mutex.Lock()
	waiting := make([]*flight, 0, len(w.waiting))
	for f := range w.waiting {
		waiting = append(waiting, f)
	}
	w.mutex.Unlock()
	for _, f := range waiting {
		do(f)
	}
}

// leave ends what is under way for a caller that has left.
func (f *flight) leave() {
	f.left.Store(true)
	f.cancel.Now()
	f.actor.CallerLeft(f.record)
}

// gone says whether the caller has left. One whose side was closed right behind its request still waits for the
// answer; one that closes it only after waiting has given up.
func (c *watched) gone() bool {
	if c.raw == nil {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	events, err := c.poll()
	switch {
	case err != nil || events&(unix.POLLERR|unix.POLLHUP) != 0:
		return true
	case events&unix.POLLRDHUP == 0:
		c.open = time.Now()
		return false
	case c.half:
		return false
	}
	c.half = c.closedBehindRequest()
	return !c.half
}

// poll gives what the system knows of the connection without waiting.
func (c *watched) poll() (events int16, err error) {
	err = c.raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if _, failed := unix.Poll(poll, 0); failed == nil {
			events = poll[0].Revents
		}
	})
	return events, err
}

// closedBehindRequest says whether the caller's side, which is seen closed for the first time, was closed right
// behind its request. Where the system can't date that, the looks before have to tell.
func (c *watched) closedBehindRequest() bool {
	if behind, dated := c.dateOfEnd(); dated {
		return behind < halfCloseWithin
	}
	return c.open.Sub(c.began) < halfCloseWithin
}

// dateOfEnd gives how long after the caller's last data its side was closed. The system dates the last data and the
// last packet of any kind, which is the end as long as the caller has had nothing to acknowledge since.
func (c *watched) dateOfEnd() (behind time.Duration, dated bool) {
	var info *unix.TCPInfo
	err := c.raw.Control(func(fd uintptr) {
		info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || info == nil {
		return 0, false
	}
	data, packet, sent := ago(info.Last_data_recv), ago(info.Last_ack_recv), ago(info.Last_data_sent)
	if data+dateSlack < time.Since(c.began) {
		// The request was here by then, so these dates go by another clock, or there are none.
		return 0, false
	}
	return data - packet, sent >= data
}

func ago(milliseconds uint32) time.Duration { return time.Duration(milliseconds) * time.Millisecond }
