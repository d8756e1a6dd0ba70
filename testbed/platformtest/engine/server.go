package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
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

// link is one connection to the engine.
type connection struct {
	*incarnation
	conn *net.TCPConn
	// requests come as they are read; gone is closed when the caller's side has ended.
	requests     chan incoming
	callerClosed chan struct{}
	// late is what a fault left for the next answer's place.
	lateAnswer []byte
	// broke says that the connection can't be used on.
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

// out writes an answer's bytes, and does what its fault wants of them.
type faultWriter struct {
	*connection
	fault   *Fault
	written int
	arrival *history.Arrival
}

var errBrokenOff = errors.New("the answer was broken off")

func (o *faultWriter) Write(data []byte) (int, error) {
	if !o.gate.pass(o.ctx) {
		return 0, errBrokenOff
	}
	if o.fault != nil && (o.fault.Kind == Break || o.fault.Kind == Unresponsive) && o.written+len(data) > o.fault.At {
		cached := data[:max(0, o.fault.At-o.written)]
		if len(cached) > 0 {
			_, _ = o.conn.Write(cached)
		}
		o.written += len(cached)
		o.Recorder.Record(func(*history.History) { o.arrival.Broken = true })
		if o.fault.Kind == Unresponsive {
			o.stall()
			return 0, errBrokenOff
		}
		o.unusable = true
		if o.fault.Reset {
			reset(o.conn)
		} else {
			o.conn.Close()
		}
		return 0, errBrokenOff
	}
	count, err := o.conn.Write(data)
	o.written += count
	return count, err
}

// hush says nothing until the caller closes or the life ends.
func (k *connection) stall() {
	k.unusable = true
	select {
	case <-k.callerClosed:
	case <-k.ctx.Done():
	}
}

// head writes the head of an answer; length -1 is in chunks.
func (k *connection) writeHeader(w io.Writer, status int, header http.Header, attempt string, length int) error {
	response := http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: header, ContentLength: int64(length)}
	if attempt != "" {
		header.Set(protocol.Attempt, attempt)
	}
	if length < 0 {
		// The library writes chunked framing itself when it writes a body; here the body comes later.
		header.Set("Transfer-Encoding", "chunked")
	} else {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	number := k.answers.Add(1)
	if k.draining.Load() || k.Config.CloseEach > 0 && number%int64(k.Config.CloseEach) == 0 {
		header.Set("Connection", "close")
		k.unusable = true
	} else if k.Config.AdvertiseIdle && k.Config.IdleClose >= time.Second {
		header.Set(protocol.KeepAlive, fmt.Sprintf("timeout=%d", int(k.Config.IdleClose/time.Second)))
	}
	var buffer bytes.Buffer
	fmt.Fprintf(&buffer, "HTTP/1.1 %03d %s\r\n", response.StatusCode, http.StatusText(status))
	if err := header.Write(&buffer); err != nil {
		return err
	}
	buffer.WriteString("\r\n")
	_, err := w.Write(buffer.Bytes())
	return err
}

// short writes an answer without a run.
func (k *connection) writeShort(w io.Writer, status int, header http.Header, attempt string, body []byte) bool {
	if k.writeHeader(w, status, header, attempt, len(body)) != nil {
		return false
	}
	if len(body) == 0 {
		return true
	}
	_, err := w.Write(body)
	return err == nil
}

// answer serves one request; false ends the connection.
func (k *connection) answer(in incoming) bool {
	switch in.request.URL.Path {
	case protocol.PathReport:
		return k.writeShort(k.conn, http.StatusOK, http.Header{"Content-Type": {"application/json"}}, in.request.Header.Get(protocol.Attempt), encode(k.report()))
	case protocol.PathOrder:
		return k.answerOrder(in)
	}
	attempt := in.request.Header.Get(protocol.Attempt)
	probe := in.request.Method == http.MethodGet && in.request.URL.Path == k.Config.HealthPath
	arrival := &history.Arrival{At: k.Recorder.Now(), Engine: k.id, Service: k.Config.Service, AttemptID: attempt, Method: in.request.Method, URI: in.request.RequestURI,
		Host: in.request.Host, BodyDigest: protocol.Digest(in.body), Target: in.request.Header.Get(protocol.Target), LastEvent: in.request.Header.Get(protocol.LastEvent), HealthCheck: probe}
	arrival.DeadlineMs, _ = strconv.ParseInt(in.request.Header.Get(protocol.Deadline), 10, 64)
	prompt, err := protocol.ReadPrompt(in.request.Header.Get(protocol.Model), in.request.Header.Get(protocol.TokenCounts), in.request.Header.Get(protocol.PromptPrefix))
	arrival.Prompt = prompt
	k.Recorder.Record(func(h *history.History) { h.Arrivals = append(h.Arrivals, arrival) })
	fault := (*Fault)(nil)
	if !probe {
		k.Engine.mutex.Lock()
		k.lastHeader = in.request.Header
		k.Engine.mutex.Unlock()
		fault = k.faults.take(attempt)
	}
	o := &faultWriter{connection: k, fault: fault, arrival: arrival}
	if fault != nil && fault.Kind == CloseUnread {
		k.Recorder.Record(func(*history.History) { arrival.Broken = true })
		return false
	}
	if len(k.lateAnswer) > 0 {
		// A surplus answer from before comes in the slot where the next is due.
		_, _ = k.conn.Write(k.lateAnswer)
		k.lateAnswer = nil
		k.Recorder.Record(func(*history.History) { arrival.Broken = true })
	}
	if turned, ok := k.reject(o, in.request, arrival, prompt, err); turned {
		return ok
	}
	return k.run(o, in.request, arrival, prompt)
}

// turnAway answers what is not run at all.
func (k *connection) reject(o *faultWriter, request *http.Request, arrival *history.Arrival, prompt protocol.Prompt, err error) (turned, ok bool) {
	refuse := func(status int, header http.Header) (bool, bool) {
		if status != http.StatusMisdirectedRequest {
			header.Set(protocol.NotExecuted, "1")
		}
		k.Recorder.Record(func(*history.History) {
			arrival.Status, arrival.Rejected, arrival.Ended = status, true, k.Recorder.Now()
		})
		return true, k.writeShort(o, status, header, arrival.AttemptID, nil)
	}
	if arrival.Target != "" && arrival.Target != k.id {
		return refuse(http.StatusMisdirectedRequest, http.Header{protocol.Instance: {k.id}})
	}
	if arrival.HealthCheck {
		return false, true
	}
	if arrival.AttemptID == "" || err != nil {
		return refuse(http.StatusBadRequest, http.Header{})
	}
	if !k.Config.Model {
		return false, true
	}
	status := 0
	k.do(func() {
		switch expected := request.Header.Get(protocol.ExpectVersion); {
		case k.holdings.InPendingOrder(prompt.Model, prompt.Adapter):
			status = http.StatusServiceUnavailable
		case !k.holdings.Holds(prompt.Model, prompt.Adapter):
			status = http.StatusMisdirectedRequest
		case expected != "" && expected != strconv.FormatUint(k.holdings.Holding(prompt.Model).Generation, 10):
			status = http.StatusMisdirectedRequest
		}
	})
	if status != 0 {
		return refuse(status, http.Header{protocol.Instance: {k.id}})
	}
	return false, true
}

// run has a request done and writes its answer.
func (k *connection) run(o *faultWriter, request *http.Request, arrival *history.Arrival, prompt protocol.Prompt) bool {
	job := &Job{Prompt: prompt, Urgency: 5, HealthCheck: arrival.HealthCheck, Hang: o.fault != nil && o.fault.Kind == Hang}
	if urgency, err := strconv.Atoi(request.Header.Get(protocol.Urgency)); err == nil {
		job.Urgency = urgency
	}
	if arrival.DeadlineMs > 0 {
		job.Deadline = arrival.At + clock.Mark(time.Duration(arrival.DeadlineMs)*time.Millisecond)
	}
	stream := k.Config.Model
	if arrival.LastEvent != "" && stream {
		job.From, _ = strconv.Atoi(arrival.LastEvent)
		k.Recorder.Record(func(*history.History) { arrival.From = job.From })
	}
	progress, taken := k.submit(job, arrival)
	if !taken {
		return k.answerNotExecuted(o, arrival)
	}
	first, ok := k.next(job, progress)
	if !ok {
		return k.callerLeft(arrival)
	}
	if first.Expired && !job.began {
		return k.answerNotExecuted(o, arrival)
	}
	if arrival.HealthCheck {
		return k.answerProbe(o, arrival)
	}
	run := fmt.Sprintf("%s-%d", k.id, job.Number)
	k.Recorder.Record(func(*history.History) { arrival.Run, arrival.Status = run, http.StatusOK })
	if stream {
		return k.stream(o, arrival, job, progress, first, run)
	}
	return k.plain(o, arrival, job, progress, run)
}

// next waits for a sign of the job; false if the caller has left or the life has ended.
func (k *connection) next(job *Job, progress <-chan Progress) (Progress, bool) {
	gone := k.callerClosed
	if k.Config.ContinueOnClose {
		gone = nil
	}
	select {
	case sign, ok := <-progress:
		return sign, ok
	case <-gone:
		k.cancel(job)
		return Progress{}, false
	case <-k.ctx.Done():
		return Progress{}, false
	}
}

func (k *connection) callerLeft(arrival *history.Arrival) bool {
	k.Recorder.Record(func(*history.History) {
		arrival.Ended = k.Recorder.Now()
		if k.ctx.Err() == nil {
			arrival.CallerClosed = true
		} else {
			arrival.Broken = true
		}
	})
	return false
}

func (k *connection) answerNotExecuted(o *faultWriter, arrival *history.Arrival) bool {
	k.Recorder.Record(func(*history.History) {
		arrival.Status, arrival.Rejected, arrival.Ended = http.StatusServiceUnavailable, true, k.Recorder.Now()
	})
	return k.writeShort(o, http.StatusServiceUnavailable, http.Header{protocol.NotExecuted: {"1"}}, arrival.AttemptID, nil)
}

func (k *connection) answerProbe(o *faultWriter, arrival *history.Arrival) bool {
	status := http.StatusOK
	if k.draining.Load() {
		status = http.StatusServiceUnavailable
	}
	k.Recorder.Record(func(*history.History) {
		arrival.Status, arrival.Ended, arrival.Complete = status, k.Recorder.Now(), true
	})
	return k.writeShort(o, status, http.Header{protocol.Instance: {k.id}}, arrival.AttemptID, nil)
}

// misname gives the attempt id that an answer bears.
func (o *faultWriter) attemptHeader(attempt string) string {
	switch {
	case o.fault == nil:
	case o.fault.Kind == WrongAttemptID:
		o.Recorder.Record(func(*history.History) { o.arrival.Broken = true })
		return "f0" + attempt
	case o.fault.Kind == NoAttemptID:
		o.Recorder.Record(func(*history.History) { o.arrival.Broken = true })
		return ""
	}
	return attempt
}

// plain answers a plain run.
func (k *connection) plain(o *faultWriter, arrival *history.Arrival, job *Job, progress <-chan Progress, run string) bool {
	last, ok := k.next(job, progress)
	if !ok {
		return k.callerLeft(arrival)
	}
	status, body := http.StatusOK, protocol.Body(arrival.AttemptID, run, k.Config.AnswerBytes)
	switch {
	case last.Expired:
		status, body = http.StatusGatewayTimeout, []byte("the deadline has passed\n")
	case o.fault != nil && o.fault.Kind == EngineError:
		status, body = o.fault.Status, []byte("a failure of the engine's own\n")
	}
	return k.send(o, arrival, run, status, body)
}

// send writes a whole answer of a run.
func (k *connection) send(o *faultWriter, arrival *history.Arrival, run string, status int, body []byte) bool {
	stamp := protocol.Stamp{Engine: k.id, Attempt: arrival.AttemptID, Run: run, Status: status, Length: len(body), Digest: protocol.Digest(body)}
	k.Recorder.Record(func(*history.History) { arrival.Status = status })
	if o.fault != nil && o.fault.Kind == Malformed {
		k.Recorder.Record(func(*history.History) { arrival.Broken, arrival.Ended = true, k.Recorder.Now() })
		_, _ = k.conn.Write([]byte("\x00\x01 these bytes are no answer \xff\r\n\r\n"))
		return false
	}
	write := func(w io.Writer, attempt string) error {
		header := http.Header{protocol.Seal: {stamp.Write()}, "Content-Type": {"application/octet-stream"}}
		if !k.Config.Chunked {
			if err := k.writeHeader(w, status, header, attempt, len(body)); err != nil {
				return err
			}
			_, err := w.Write(body)
			return err
		}
		if err := k.writeHeader(w, status, header, attempt, -1); err != nil {
			return err
		}
		chunks := httputil.NewChunkedWriter(w)
		if _, err := chunks.Write(body); err != nil {
			return err
		}
		if err := chunks.Close(); err != nil {
			return err
		}
		_, err := io.WriteString(w, "\r\n")
		return err
	}
	err := write(o, o.attemptHeader(arrival.AttemptID))
	k.Recorder.Record(func(*history.History) {
		arrival.Ended, arrival.Complete = k.Recorder.Now(), err == nil && !arrival.Broken
	})
	if err != nil {
		return false
	}
	if o.fault != nil && (o.fault.Kind == ExtraAnswer || o.fault.Kind == LateExtraAnswer) {
		var more bytes.Buffer
		if write(&more, "5a"+arrival.AttemptID) == nil {
			if o.fault.Kind == ExtraAnswer {
				_, _ = k.conn.Write(more.Bytes())
			} else {
				k.lateAnswer = more.Bytes()
			}
		}
	}
	return true
}

// stream answers a run of a model engine by events.
func (k *connection) stream(o *faultWriter, arrival *history.Arrival, job *Job, progress <-chan Progress, sign Progress, run string) bool {
	all := arrival.Prompt.Events(k.Config.Pace.Stride)
	if o.fault != nil && (o.fault.Kind == EngineError || o.fault.Kind == Malformed) {
		k.cancel(job)
		return k.send(o, arrival, run, max(500, o.fault.Status), []byte("a failure of the engine's own\n"))
	}
	stamp := protocol.Stamp{Engine: k.id, Attempt: arrival.AttemptID, Run: run, Status: http.StatusOK, Length: -1}
	upgrades := k.upgrades.Load()
	generation := k.generation(arrival.Prompt.Model)
	header := http.Header{protocol.Seal: {stamp.Write()}, "Content-Type": {"text/event-stream"}, protocol.WeightVersions: {strconv.FormatUint(generation, 10)}}
	if k.writeHeader(o, http.StatusOK, header, o.attemptHeader(arrival.AttemptID), -1) != nil {
		k.cancel(job)
		return k.callerLeft(arrival)
	}
	chunks := httputil.NewChunkedWriter(o)
	for {
		if sign.Event > 0 {
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", sign.Event, protocol.EventData(arrival.AttemptID, run, sign.Event, all))
			if now := k.upgrades.Load(); now != upgrades {
				// An event at which the version changes says so in its first line.
				upgrades = now
				if newer := k.generation(arrival.Prompt.Model); newer != generation {
					generation = newer
					event = fmt.Sprintf("%s: %d\n%s", strings.ToLower(protocol.WeightVersions), generation, event)
				}
			}
			k.Recorder.Record(func(*history.History) { arrival.Events = sign.Event })
			if _, err := io.WriteString(chunks, event); err != nil {
				k.cancel(job)
				return k.callerLeft(arrival)
			}
		}
		if sign.Last {
			break
		}
		if sign.Expired {
			// It stops at the deadline handed to it, in the middle.
			k.Recorder.Record(func(*history.History) { arrival.Ended, arrival.Broken = k.Recorder.Now(), true })
			return false
		}
		var ok bool
		if sign, ok = k.next(job, progress); !ok {
			return k.callerLeft(arrival)
		}
	}
	if err := chunks.Close(); err != nil {
		return k.callerLeft(arrival)
	}
	if _, err := io.WriteString(o, "\r\n"); err != nil {
		return k.callerLeft(arrival)
	}
	k.Recorder.Record(func(*history.History) { arrival.Ended, arrival.Complete = k.Recorder.Now(), !arrival.Broken })
	if o.fault != nil && (o.fault.Kind == ExtraAnswer || o.fault.Kind == LateExtraAnswer) {
		more := []byte("HTTP/1.1 200 OK\r\n" + protocol.Attempt + ": 5a" + arrival.AttemptID + "\r\n" + protocol.Seal + ": " + stamp.Write() + "\r\nContent-Length: 2\r\n\r\nok")
		if o.fault.Kind == ExtraAnswer {
			_, _ = k.conn.Write(more)
		} else {
			k.lateAnswer = more
		}
	}
	return true
}

// generation gives the version of what is held of a model.
func (l *incarnation) generation(model string) (generation uint64) {
	l.do(func() {
		if holding := l.holdings.Holding(model); holding != nil {
			generation = holding.Generation
		}
	})
	return generation
}

// answerOrder takes an order.
func (k *connection) answerOrder(in incoming) bool {
	if target := in.request.Header.Get(protocol.Target); target != "" && target != k.id {
		return k.writeShort(k.conn, http.StatusMisdirectedRequest, http.Header{protocol.Instance: {k.id}}, "", nil)
	}
	var order protocol.Order
	if json.Unmarshal(in.body, &order) != nil || !k.Config.Model {
		return k.writeShort(k.conn, http.StatusBadRequest, http.Header{}, "", nil)
	}
	status := k.takeOrder(order)
	if status == 0 {
		return false
	}
	if fault := k.orderFaults.take(""); fault != nil {
		// An order with no answer may have been taken.
		k.unusable = true
		return false
	}
	return k.writeShort(k.conn, status, http.Header{}, "", nil)
}
