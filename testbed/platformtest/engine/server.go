package engine

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cresspond/cresspond/clock"
)

// accept takes connections until the life ends.
func (l *incarnation) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		if !l.gate.pass(l.ctx) {
			reset(conn)
			continue
		}
		most := int64(l.Config.MaxConns)
		if waiting := int64(l.Config.Waiting + l.Config.Pace.Waiting); most > 0 && l.queued.Load()*2 > waiting {
			// With a long queue it takes fewer.
			most = max(1, most*3/4)
		}
		if open := l.openConns.Add(1); most > 0 && open > most {
			l.openConns.Add(-1)
			reset(conn)
			continue
		}
		l.conns.Add(1)
		go func() {
			defer l.conns.Done()
			defer l.openConns.Add(-1)
			l.serve(conn.(*net.TCPConn))
		}()
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// incoming is one request read whole.
type incoming struct {
	request *http.Request
	body    []byte
}

// connection is one connection to the engine.
type connection struct {
	*incarnation
	conn *net.TCPConn
	// requests come as they are read; gone is closed when the caller's side has ended.
	requests     chan incoming
	callerClosed chan struct{}
	// lateAnswer is what a fault left for the next answer's place.
	lateAnswer []byte
	// unusable says that the connection can't be used on.
	unusable bool
}

func (l *incarnation) serve(conn *net.TCPConn) {
	k := &connection{incarnation: l, conn: conn, requests: make(chan incoming), callerClosed: make(chan struct{})}
	done := make(chan struct{})
	defer close(done)
	ended := make(chan struct{})
	go func() {
		select {
		case <-l.ctx.Done():
			if l.crashed.Load() {
				reset(conn)
			} else {
				conn.Close()
			}
		case <-done:
		}
		close(ended)
	}()
	defer conn.Close()
	go k.read(done)
	idle := time.NewTimer(time.Hour)
	defer idle.Stop()
	answered := clock.Mark(0)
	for !k.unusable {
		if l.Config.IdleClose > 0 {
			idle.Reset(l.Config.IdleClose)
		}
		select {
		case <-l.ctx.Done():
			<-ended
			return
		case <-idle.C:
			return
		case in, ok := <-k.requests:
			if !ok {
				return
			}
			if !l.gate.pass(l.ctx) {
				<-ended
				return
			}
			if after := time.Duration(l.dropIdle.Load()); after > 0 && answered > 0 && l.Recorder.Now().Since(answered) >= after {
				reset(conn)
				return
			}
			if !k.answer(in) {
				return
			}
			answered = l.Recorder.Now()
		}
	}
}

// read reads requests one after the other, and notices the end of the caller's side.
func (k *connection) read(done <-chan struct{}) {
	defer close(k.callerClosed)
	defer close(k.requests)
	reader := bufio.NewReader(k.conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		select {
		case k.requests <- incoming{request, body}:
		case <-done:
			return
		}
	}
}
