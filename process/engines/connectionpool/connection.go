package connectionpool

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cresspond/cresspond/clock"
)

const (
	// maxResponseHeader bounds the header of a response, in bytes.
	maxResponseHeader = 8 << 10
	// defaultIdleTimeout is how long a connection may be idle if the engine announced no time.
	defaultIdleTimeout = 2 * time.Second
	// defaultNotRepeatableIdleTimeout is the same before an attempt that can't be repeated.
	defaultNotRepeatableIdleTimeout = 300 * time.Millisecond
	// idleTimeoutMargin is subtracted from the time that the engine announced in whole seconds.
	idleTimeoutMargin = 300 * time.Millisecond
	// maxIdleTimeout bounds the idle time of any connection.
	maxIdleTimeout = 20 * time.Second
)

// connection is one connection to an engine. One request at a time is under way on it.
type connection struct {
	net.Conn
	raw       syscall.RawConn
	reader    *bufio.Reader
	idleSince clock.Mark
	// connectTime is how long connecting took; it is reported with the first attempt only.
	connectTime time.Duration
	// announcedIdleTimeout is how long the engine announced to keep it idle; zero is unknown.
	announcedIdleTimeout time.Duration
	// used reports that a request was sent on it; sent holds the ids of those whose id another attempt may bear.
	used     bool
	sent     sentIDs
	counters *Counters
}

// newConnection wraps a dialed connection.
func newConnection(raw net.Conn, counters *Counters) *connection {
	conn := &connection{Conn: raw, counters: counters}
	if under, ok := raw.(syscall.Conn); ok {
		// A connection that can't be polled counts as readable, so it is not reused.
		conn.raw, _ = under.SyscallConn()
	}
	conn.reader = bufio.NewReaderSize(conn, maxResponseHeader)
	return conn
}

// Read counts the bytes received.
func (l *connection) Read(p []byte) (int, error) {
	n, err := l.Conn.Read(p)
	l.counters.BytesReceived.Add(uint64(n))
	return n, err
}

// idleTimeout is how long it may stay idle.
func (l *connection) idleTimeout() time.Duration {
	if l.announcedIdleTimeout <= 0 {
		return defaultIdleTimeout
	}
	return min(l.announcedIdleTimeout-idleTimeoutMargin, maxIdleTimeout)
}

// notRepeatableIdlePercent is the part of the idle timeout, in percent, within which an attempt that can't be repeated
// may reuse it. Engines that close earlier are found out by idleLifetimes.
const notRepeatableIdlePercent = 75

// notRepeatableIdleTimeout is how long it may have been idle before an attempt that can't be repeated.
func (l *connection) notRepeatableIdleTimeout() time.Duration {
	if l.announcedIdleTimeout <= 0 {
		return defaultNotRepeatableIdleTimeout
	}
	return l.idleTimeout() * notRepeatableIdlePercent / 100
}

// isReadable reports whether an idle connection has unexpected bytes, or its end, to be read.
func (l *connection) isReadable() bool {
	if l.raw == nil || l.reader.Buffered() > 0 {
		return true
	}
	stirred := true
	err := l.raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
		if _, err := unix.Poll(poll, 0); err == nil {
			stirred = poll[0].Revents != 0
		}
	})
	return err != nil || stirred
}
