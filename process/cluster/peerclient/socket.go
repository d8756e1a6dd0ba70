package peerclient

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A cut or a machine without power says nothing, so what stays unacknowledged ends a connection soon, and an
// idle one is looked at.
const tcpUserTimeout = 1500 * time.Millisecond

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}

// setTCPUserTimeout is called on each socket before it connects.
func setTCPUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}
