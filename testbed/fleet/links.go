package fleet

import (
	"net"
	"sync"
)

// Links proxies all traffic between daemons, and can partition them, one way or both.
type Links struct {
	mutex       sync.Mutex
	heal        *sync.Cond
	partitioned map[[2]string]bool
	// names maps an IP address to the daemon that sends from it.
	names map[string]string
	// Stopped counts the transfers that a partition stopped.
	Stopped int
}

// NewLinks returns links without partitions.
func NewLinks() *Links {
	l := &Links{partitioned: map[[2]string]bool{}, names: map[string]string{}}
	l.heal = sync.NewCond(&l.mutex)
	return l
}

// Partition stops all traffic from one daemon to another.
func (l *Links) Partition(from, to string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.partitioned[[2]string{from, to}] = true
}

// Heal ends all partitions.
func (l *Links) Heal() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	clear(l.partitioned)
	l.heal.Broadcast()
}

// pass waits while the direction is partitioned; it says whether it was, as the connection must then be closed.
func (l *Links) pass(from, to string) (wasCut bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for l.partitioned[[2]string{from, to}] {
		if !wasCut {
			l.Stopped++
		}
		wasCut = true
		l.heal.Wait()
	}
	return wasCut
}

// Carry listens where others reach a daemon, and passes on to where it listens; the daemon speaks from that IP number.
func (l *Links) Carry(listener net.Listener, to, address string) {
	host, _, _ := net.SplitHostPort(address)
	l.mutex.Lock()
	l.names[host] = to
	l.mutex.Unlock()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go l.join(conn, to, address)
	}
}

func (l *Links) join(conn net.Conn, to, address string) {
	defer conn.Close()
	host, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	l.mutex.Lock()
	from := l.names[host]
	l.mutex.Unlock()
	if l.pass(from, to) {
		return
	}
	behind, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer behind.Close()
	done := make(chan struct{}, 2)
	pump := func(source, sink net.Conn, speaker, hearer string) {
		defer func() { done <- struct{}{} }()
		buffer := make([]byte, 32<<10)
		for {
			n, err := source.Read(buffer)
			if n > 0 {
				if l.pass(speaker, hearer) {
					return
				}
				if _, err := sink.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go pump(conn, behind, from, to)
	go pump(behind, conn, to, from)
	<-done
}
