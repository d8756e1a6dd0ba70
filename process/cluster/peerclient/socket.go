package peerclient

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	dialTimeout = 500 * time.Millisecond
	// tcpUserTimeout is how long sent bytes may stay unacknowledged before the kernel closes the connection: across a
	// partition, or if the peer's machine lost power, nothing else reports the failure.
	tcpUserTimeout = 1500 * time.Millisecond
)

// keepAlive detects the same failures on idle connections.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}

// setTCPUserTimeout is the net.Dialer.Control function that sets tcpUserTimeout on a socket before it connects.
func setTCPUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}
