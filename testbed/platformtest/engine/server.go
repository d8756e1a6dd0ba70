package engine

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cresspond/cresspond/clock"
)

// accept accepts connections until the incarnation ends.
func (inc *incarnation) accept() {
	for {
		conn, err := inc.listener.Accept()
		if err != nil {
			return
		}
		if !inc.gate.pass(inc.ctx) {
			reset(conn)
			continue
		}
		most := int64(inc.Config.MaxConns)
		if waiting := int64(inc.Config.Waiting + inc.Config.Pace.Waiting); most > 0 && inc.queued.Load()*2 > waiting {
			// With a long queue the limit is lower.
			most = max(1, most*3/4)
		}
		if open := inc.openConns.Add(1); most > 0 && open > most {
			inc.openConns.Add(-1)
			reset(conn)
			continue
		}
		inc.conns.Add(1)
		go func() {
			defer inc.conns.Done()
			defer inc.openConns.Add(-1)
			inc.serve(conn.(*net.TCPConn))
		}()
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// incoming is one request, read completely.
type incoming struct {
	request *http.Request
	body    []byte
}

// connection is a connection of a caller.
type connection struct {
	*incarnation
	conn *net.TCPConn
	// requests come as they are read; callerClosed is closed when the caller's side has ended.
	requests     chan incoming
	callerClosed chan struct{}
	// lateAnswer is an extra answer that a fault left to be sent before the next one.
	lateAnswer []byte
	// unusable is set where the connection must not be reused.
	unusable bool
}

func (inc *incarnation) serve(conn *net.TCPConn) {
	c := &connection{incarnation: inc, conn: conn, requests: make(chan incoming), callerClosed: make(chan struct{})}
	done := make(chan struct{})
	defer close(done)
	ended := make(chan struct{})
	go func() {
		select {
		case <-inc.ctx.Done():
			if inc.crashed.Load() {
				reset(conn)
			} else {
				conn.Close()
			}
		case <-done:
		}
		close(ended)
	}()
	defer conn.Close()
	go c.read(done)
	idle := time.NewTimer(time.Hour)
	defer idle.Stop()
	answered := clock.Mark(0)
	for !c.unusable {
		if inc.Config.IdleClose > 0 {
			idle.Reset(inc.Config.IdleClose)
		}
		select {
		case <-inc.ctx.Done():
			<-ended
			return
		case <-idle.C:
			return
		case in, ok := <-c.requests:
			if !ok {
				return
			}
			if !inc.gate.pass(inc.ctx) {
				<-ended
				return
			}
			if after := time.Duration(inc.dropIdle.Load()); after > 0 && answered > 0 && inc.Recorder.Now().Since(answered) >= after {
				reset(conn)
				return
			}
			if !c.answer(in) {
				return
			}
			answered = inc.Recorder.Now()
		}
	}
}

// read reads one request after the other, and detects the end of the caller's side.
func (c *connection) read(done <-chan struct{}) {
	defer close(c.callerClosed)
	defer close(c.requests)
	reader := bufio.NewReader(c.conn)
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
		case c.requests <- incoming{request, body}:
		case <-done:
			return
		}
	}
}
