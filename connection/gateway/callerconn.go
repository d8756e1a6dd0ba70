package gateway

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// callerConn is the caller of one open request.
type callerConn struct {
	raw syscall.RawConn
	// readAt is when the request was read, due when the caller is looked at next; due is the watcher's.
	readAt, due time.Time

	mutex sync.Mutex
	// lastOpen is when the caller's side was last seen open; half says that it was closed right behind the request,
	// by a caller that waits for its answer.
	lastOpen   time.Time
	halfClosed bool
}

func newCallerConn(conn net.Conn) *callerConn {
	now := time.Now()
	return &callerConn{raw: rawConn(conn), readAt: now, lastOpen: now, due: now.Add(halfCloseWindow)}
}

func rawConn(conn net.Conn) syscall.RawConn {
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

// isGone says whether the caller has left. One whose side was closed right behind its request still waits for the
// answer; one that closes it only after waiting has given up.
func (c *callerConn) isGone() bool {
	if c.raw == nil {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	events, err := c.pollEvents()
	switch {
	case err != nil || events&(unix.POLLERR|unix.POLLHUP) != 0:
		return true
	case events&unix.POLLRDHUP == 0:
		c.lastOpen = time.Now()
		return false
	case c.halfClosed:
		return false
	}
	c.halfClosed = c.closedBehindRequest()
	return !c.halfClosed
}

// pollEvents gives what the system knows of the connection without waiting.
func (c *callerConn) pollEvents() (events int16, err error) {
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
func (c *callerConn) closedBehindRequest() bool {
	if behind, dated := c.closeDelay(); dated {
		return behind < halfCloseWindow
	}
	return c.lastOpen.Sub(c.readAt) < halfCloseWindow
}

// closeDelay gives how long after the caller's last data its side was closed. The system dates the last data and the
// last packet of any kind, which is the end as long as the caller has had nothing to acknowledge since.
func (c *callerConn) closeDelay() (behind time.Duration, dated bool) {
	var info *unix.TCPInfo
	err := c.raw.Control(func(fd uintptr) {
		info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || info == nil {
		return 0, false
	}
	data, packet, sent := ago(info.Last_data_recv), ago(info.Last_ack_recv), ago(info.Last_data_sent)
	if data+clockTolerance < time.Since(c.readAt) {
		// The request was here by then, so these dates go by another clock, or there are none.
		return 0, false
	}
	return data - packet, sent >= data
}

func ago(milliseconds uint32) time.Duration { return time.Duration(milliseconds) * time.Millisecond }
