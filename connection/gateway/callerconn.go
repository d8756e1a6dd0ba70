package gateway

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// callerConn is the caller's connection of one open request.
type callerConn struct {
	raw syscall.RawConn
	// readAt is when the request was read, due when the connection is polled next; due belongs to the monitor.
	readAt, due time.Time

	mutex sync.Mutex
	// lastOpen is when the caller's side was last seen open; halfClosed reports that it was closed right after the
	// request, by a caller that waits for its response.
	lastOpen   time.Time
	halfClosed bool
}

func newCallerConn(conn net.Conn) *callerConn {
	now := time.Now()
	return &callerConn{raw: rawConn(conn), readAt: now, lastOpen: now, due: now.Add(firstPollAfter)}
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

// isGone reports whether the caller has disconnected. One that closed its side right after its request still waits for
// the response; one that closes it later has given up.
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

// pollEvents gives the connection's events without waiting.
func (c *callerConn) pollEvents() (events int16, err error) {
	err = c.raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if _, failed := unix.Poll(poll, 0); failed == nil {
			events = poll[0].Revents
		}
	})
	return events, err
}

// closedBehindRequest reports whether the caller's side, seen closed for the first time, was closed right after its
// request. Where the system can't date that, earlier polls have to tell.
func (c *callerConn) closedBehindRequest() bool {
	if behind, dated := c.closeDelay(); dated {
		return behind < halfCloseWindow
	}
	return c.lastOpen.Sub(c.readAt) < firstPollAfter
}

// closeDelay gives how long after the caller's last data its side was closed; false if unknown. The system dates the
// last data and the last packet of any kind, which is the FIN as long as the caller has had nothing to acknowledge
// since.
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
