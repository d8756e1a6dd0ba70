package gateway

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// lookEvery is how often the callers that wait are looked at.
const lookEvery = 200 * time.Millisecond

// watcher looks whether callers that wait are still there. It looks only while any are.
type watcher struct {
	mutex   sync.Mutex
	waiting map[*flight]*watched
	ticking bool
}

// watched is one waiting caller.
type watched struct {
	raw syscall.RawConn
	// looked says that it was looked at before, half that it had said all it had to say by then.
	looked, half bool
}

func newWatcher() *watcher { return &watcher{waiting: map[*flight]*watched{}} }

func (w *watcher) add(f *flight) {
	one := &watched{raw: rawOf(f.ctx.Conn())}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.waiting[f] = one
	if !w.ticking {
		w.ticking = true
		time.AfterFunc(lookEvery, w.tick)
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

// tick looks at all that wait.
func (w *watcher) tick() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.ticking = len(w.waiting) > 0; !w.ticking {
		return
	}
	for f, one := range w.waiting {
		// Who is being answered shows by itself that it has left: it can't be written to.
		if !f.begun.Load() && one.gone() {
			delete(w.waiting, f)
			go f.leave()
		}
	}
	time.AfterFunc(lookEvery, w.tick)
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

// gone says whether the caller has left. One that said from the start that it has no more to say still
// waits for its answer; one that says so only after waiting has given up.
func (o *watched) gone() bool {
	if o.raw == nil {
		return false
	}
	var seen int16
	if o.raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if _, err := unix.Poll(poll, 0); err == nil {
			seen = poll[0].Revents
		}
	}) != nil {
		return true
	}
	if !o.looked {
		o.looked, o.half = true, seen&unix.POLLRDHUP != 0
	}
	return seen&(unix.POLLERR|unix.POLLHUP) != 0 || seen&unix.POLLRDHUP != 0 && !o.half
}
