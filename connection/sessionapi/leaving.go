package sessionapi

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// lookEvery is how often a waiting caller's connection is looked at.
const lookEvery = 200 * time.Millisecond

// interim is an answer that any HTTP/1.1 caller passes over while it waits for the final one.
const interim = "HTTP/1.1 102 Processing\r\n\r\n"

// watch looks whether a waiting caller is still there.
type watch struct {
	conn net.Conn
	raw  syscall.RawConn
	// mayAsk says that an interim answer may be sent, asked that one was.
	mayAsk, asked bool
}

func newWatch(conn net.Conn, mayAsk bool) *watch {
	w := &watch{conn: conn, mayAsk: mayAsk}
	if under, ok := conn.(syscall.Conn); ok {
		// Without a raw connection nothing can be seen; the caller is then taken to be there.
		w.raw, _ = under.SyscallConn()
	}
	return w
}

// gone says whether the caller has left. One that has only said all it had to say looks the same as one
// that closed its connection, until something is sent to it: the latter's system answers with a reset.
func (w *watch) gone() bool {
	if w.raw == nil {
		return false
	}
	var seen int16
	if w.raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if _, err := unix.Poll(poll, 0); err == nil {
			seen = poll[0].Revents
		}
	}) != nil {
		return true
	}
	if seen&(unix.POLLERR|unix.POLLHUP) != 0 {
		return true
	}
	if seen&unix.POLLRDHUP != 0 && w.mayAsk && !w.asked {
		w.asked = true
		_ = w.conn.SetWriteDeadline(time.Now().Add(lookEvery))
		_, err := w.conn.Write([]byte(interim))
		_ = w.conn.SetWriteDeadline(time.Time{})
		return err != nil
	}
	return false
}
