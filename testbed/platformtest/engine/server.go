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
func (l *life) accept() {
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
		if open := l.open.Add(1); most > 0 && open > most {
			l.open.Add(-1)
			reset(conn)
			continue
		}
		l.conns.Add(1)
		go func() {
			defer l.conns.Done()
			defer l.open.Add(-1)
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
type link struct {
	*life
	conn *net.TCPConn
	// requests come as they are read; gone is closed when the caller's side has ended.
	requests chan incoming
	gone     chan struct{}
	// late is what a fault left for the next answer's place.
	late []byte
	// broke says that the connection can't be used on.
	broke bool
}

func (l *life) serve(conn *net.TCPConn) {
	k := &link{life: l, conn: conn, requests: make(chan incoming), gone: make(chan struct{})}
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
	for !k.broke {
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
			if after := time.Duration(l.dropIdle.Load()); after > 0 && answered > 0 && l.Book.Now().Since(answered) >= after {
				reset(conn)
				return
			}
			if !k.answer(in) {
				return
			}
			answered = l.Book.Now()
		}
	}
}

// read reads requests one after the other, and notices the end of the caller's side.
func (k *link) read(done <-chan struct{}) {
	defer close(k.gone)
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
type out struct {
	*link
	fault   *Fault
	written int
	arrival *history.Arrival
}

var errBroke = errors.New("the answer was broken off")

func (o *out) Write(data []byte) (int, error) {
	if !o.gate.pass(o.ctx) {
		return 0, errBroke
	}
	if o.fault != nil && (o.fault.Kind == Break || o.fault.Kind == Silence) && o.written+len(data) > o.fault.At {
		part := data[:max(0, o.fault.At-o.written)]
		if len(part) > 0 {
			_, _ = o.conn.Write(part)
		}
		o.written += len(part)
		o.Book.Note(func(*history.History) { o.arrival.Broke = true })
		if o.fault.Kind == Silence {
			o.hush()
			return 0, errBroke
		}
		o.broke = true
		if o.fault.Reset {
			reset(o.conn)
		} else {
			o.conn.Close()
		}
		return 0, errBroke
	}
	count, err := o.conn.Write(data)
	o.written += count
	return count, err
}

// hush says nothing until the caller closes or the life ends.
func (k *link) hush() {
	k.broke = true
	select {
	case <-k.gone:
	case <-k.ctx.Done():
	}
}

// head writes the head of an answer; length -1 is in chunks.
func (k *link) head(w io.Writer, status int, header http.Header, attempt string, length int) error {
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
	if k.leaving.Load() || k.Config.CloseEach > 0 && number%int64(k.Config.CloseEach) == 0 {
		header.Set("Connection", "close")
		k.broke = true
	} else if k.Config.TellIdle && k.Config.IdleClose >= time.Second {
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
func (k *link) short(w io.Writer, status int, header http.Header, attempt string, body []byte) bool {
	if k.head(w, status, header, attempt, len(body)) != nil {
		return false
	}
	if len(body) == 0 {
		return true
	}
	_, err := w.Write(body)
	return err == nil
}

// answer serves one request; false ends the connection.
func (k *link) answer(in incoming) bool {
	switch in.request.URL.Path {
	case protocol.PathReport:
		return k.short(k.conn, http.StatusOK, http.Header{"Content-Type": {"application/json"}}, in.request.Header.Get(protocol.Attempt), encode(k.report()))
	case protocol.PathOrder:
		return k.answerOrder(in)
	}
	attempt := in.request.Header.Get(protocol.Attempt)
	probe := in.request.Method == http.MethodGet && in.request.URL.Path == k.Config.HealthPath
	arrival := &history.Arrival{At: k.Book.Now(), Engine: k.id, Service: k.Config.Service, Attempt: attempt, Method: in.request.Method, URI: in.request.RequestURI,
		Host: in.request.Host, BodyDigest: protocol.Digest(in.body), Target: in.request.Header.Get(protocol.Target), LastEvent: in.request.Header.Get(protocol.LastEvent), Probe: probe}
	arrival.DeadlineMs, _ = strconv.ParseInt(in.request.Header.Get(protocol.Deadline), 10, 64)
	prompt, err := protocol.ReadPrompt(in.request.Header.Get(protocol.Model), in.request.Header.Get(protocol.TokenCounts), in.request.Header.Get(protocol.PromptPrefix))
	arrival.Prompt = prompt
	k.Book.Note(func(h *history.History) { h.Arrivals = append(h.Arrivals, arrival) })
	fault := (*Fault)(nil)
	if !probe {
		k.Engine.mutex.Lock()
		k.lastHead = in.request.Header
		k.Engine.mutex.Unlock()
		fault = k.faults.take(attempt)
	}
	o := &out{link: k, fault: fault, arrival: arrival}
	if fault != nil && fault.Kind == Unread {
		k.Book.Note(func(*history.History) { arrival.Broke = true })
		return false
	}
	if len(k.late) > 0 {
		// A surplus answer from before comes in the slot where the next is due.
		_, _ = k.conn.Write(k.late)
		k.late = nil
		k.Book.Note(func(*history.History) { arrival.Broke = true })
	}
	if turned, ok := k.turnAway(o, in.request, arrival, prompt, err); turned {
		return ok
	}
	return k.run(o, in.request, arrival, prompt)
}

// turnAway answers what is not run at all.
func (k *link) turnAway(o *out, request *http.Request, arrival *history.Arrival, prompt protocol.Prompt, err error) (turned, ok bool) {
	refuse := func(status int, header http.Header) (bool, bool) {
		if status != http.StatusMisdirectedRequest {
			header.Set(protocol.NotExecuted, "1")
		}
		k.Book.Note(func(*history.History) {
			arrival.Status, arrival.NotRun, arrival.Ended = status, true, k.Book.Now()
		})
		return true, k.short(o, status, header, arrival.Attempt, nil)
	}
	if arrival.Target != "" && arrival.Target != k.id {
		return refuse(http.StatusMisdirectedRequest, http.Header{protocol.Instance: {k.id}})
	}
	if arrival.Probe {
		return false, true
	}
	if arrival.Attempt == "" || err != nil {
		return refuse(http.StatusBadRequest, http.Header{})
	}
	if !k.Config.Model {
		return false, true
	}
	status := 0
	k.do(func() {
		switch expected := request.Header.Get(protocol.ExpectVersion); {
		case k.holdings.Concerned(prompt.Model, prompt.Adapter):
			status = http.StatusServiceUnavailable
		case !k.holdings.Holds(prompt.Model, prompt.Adapter):
			status = http.StatusMisdirectedRequest
		case expected != "" && expected != strconv.FormatUint(k.holdings.Held(prompt.Model).Generation, 10):
			status = http.StatusMisdirectedRequest
		}
	})
	if status != 0 {
		return refuse(status, http.Header{protocol.Instance: {k.id}})
	}
	return false, true
}

// run has a request done and writes its answer.
func (k *link) run(o *out, request *http.Request, arrival *history.Arrival, prompt protocol.Prompt) bool {
	job := &Job{Prompt: prompt, Urgency: 5, Probe: arrival.Probe, Hangs: o.fault != nil && o.fault.Kind == Hang}
	if urgency, err := strconv.Atoi(request.Header.Get(protocol.Urgency)); err == nil {
		job.Urgency = urgency
	}
	if arrival.DeadlineMs > 0 {
		job.Deadline = arrival.At + clock.Mark(time.Duration(arrival.DeadlineMs)*time.Millisecond)
	}
	stream := k.Config.Model
	if arrival.LastEvent != "" && stream {
		job.From, _ = strconv.Atoi(arrival.LastEvent)
		k.Book.Note(func(*history.History) { arrival.From = job.From })
	}
	signs, taken := k.offer(job, arrival)
	if !taken {
		return k.unexecuted(o, arrival)
	}
	first, ok := k.next(job, signs)
	if !ok {
		return k.left(arrival)
	}
	if first.Expired && !job.began {
		return k.unexecuted(o, arrival)
	}
	if arrival.Probe {
		return k.answerProbe(o, arrival)
	}
	run := fmt.Sprintf("%s-%d", k.id, job.Number)
	k.Book.Note(func(*history.History) { arrival.Run, arrival.Status = run, http.StatusOK })
	if stream {
		return k.stream(o, arrival, job, signs, first, run)
	}
	return k.plain(o, arrival, job, signs, run)
}

// next waits for a sign of the job; false if the caller has left or the life has ended.
func (k *link) next(job *Job, signs <-chan Sign) (Sign, bool) {
	gone := k.gone
	if k.Config.KeepsOnClose {
		gone = nil
	}
	select {
	case sign, ok := <-signs:
		return sign, ok
	case <-gone:
		k.leave(job)
		return Sign{}, false
	case <-k.ctx.Done():
		return Sign{}, false
	}
}

func (k *link) left(arrival *history.Arrival) bool {
	k.Book.Note(func(*history.History) {
		arrival.Ended = k.Book.Now()
		if k.ctx.Err() == nil {
			arrival.Left = true
		} else {
			arrival.Broke = true
		}
	})
	return false
}

func (k *link) unexecuted(o *out, arrival *history.Arrival) bool {
	k.Book.Note(func(*history.History) {
		arrival.Status, arrival.NotRun, arrival.Ended = http.StatusServiceUnavailable, true, k.Book.Now()
	})
	return k.short(o, http.StatusServiceUnavailable, http.Header{protocol.NotExecuted: {"1"}}, arrival.Attempt, nil)
}

func (k *link) answerProbe(o *out, arrival *history.Arrival) bool {
	status := http.StatusOK
	if k.leaving.Load() {
		status = http.StatusServiceUnavailable
	}
	k.Book.Note(func(*history.History) { arrival.Status, arrival.Ended, arrival.Whole = status, k.Book.Now(), true })
	return k.short(o, status, http.Header{protocol.Instance: {k.id}}, arrival.Attempt, nil)
}

// misname gives the attempt id that an answer bears.
func (o *out) misname(attempt string) string {
	switch {
	case o.fault == nil:
	case o.fault.Kind == Foreign:
		o.Book.Note(func(*history.History) { o.arrival.Broke = true })
		return "f0" + attempt
	case o.fault.Kind == NoID:
		o.Book.Note(func(*history.History) { o.arrival.Broke = true })
		return ""
	}
	return attempt
}

// plain answers a plain run.
func (k *link) plain(o *out, arrival *history.Arrival, job *Job, signs <-chan Sign, run string) bool {
	last, ok := k.next(job, signs)
	if !ok {
		return k.left(arrival)
	}
	status, body := http.StatusOK, protocol.Body(arrival.Attempt, run, k.Config.AnswerBytes)
	switch {
	case last.Expired:
		status, body = http.StatusGatewayTimeout, []byte("the deadline has passed\n")
	case o.fault != nil && o.fault.Kind == Own:
		status, body = o.fault.Status, []byte("a failure of the engine's own\n")
	}
	return k.send(o, arrival, run, status, body)
}

// send writes a whole answer of a run.
func (k *link) send(o *out, arrival *history.Arrival, run string, status int, body []byte) bool {
	stamp := protocol.Stamp{Engine: k.id, Attempt: arrival.Attempt, Run: run, Status: status, Length: len(body), Digest: protocol.Digest(body)}
	k.Book.Note(func(*history.History) { arrival.Status = status })
	if o.fault != nil && o.fault.Kind == Junk {
		k.Book.Note(func(*history.History) { arrival.Broke, arrival.Ended = true, k.Book.Now() })
		_, _ = k.conn.Write([]byte("\x00\x01 these bytes are no answer \xff\r\n\r\n"))
		return false
	}
	write := func(w io.Writer, attempt string) error {
		header := http.Header{protocol.Seal: {stamp.Write()}, "Content-Type": {"application/octet-stream"}}
		if !k.Config.Chunked {
			if err := k.head(w, status, header, attempt, len(body)); err != nil {
				return err
			}
			_, err := w.Write(body)
			return err
		}
		if err := k.head(w, status, header, attempt, -1); err != nil {
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
	err := write(o, o.misname(arrival.Attempt))
	k.Book.Note(func(*history.History) { arrival.Ended, arrival.Whole = k.Book.Now(), err == nil && !arrival.Broke })
	if err != nil {
		return false
	}
	if o.fault != nil && (o.fault.Kind == Surplus || o.fault.Kind == LateSurplus) {
		var more bytes.Buffer
		if write(&more, "5a"+arrival.Attempt) == nil {
			if o.fault.Kind == Surplus {
				_, _ = k.conn.Write(more.Bytes())
			} else {
				k.late = more.Bytes()
			}
		}
	}
	return true
}

// stream answers a run of a model engine by events.
func (k *link) stream(o *out, arrival *history.Arrival, job *Job, signs <-chan Sign, sign Sign, run string) bool {
	all := arrival.Prompt.Events(k.Config.Pace.Stride)
	if o.fault != nil && (o.fault.Kind == Own || o.fault.Kind == Junk) {
		k.leave(job)
		return k.send(o, arrival, run, max(500, o.fault.Status), []byte("a failure of the engine's own\n"))
	}
	stamp := protocol.Stamp{Engine: k.id, Attempt: arrival.Attempt, Run: run, Status: http.StatusOK, Length: -1}
	upgrades := k.upgrades.Load()
	generation := k.generation(arrival.Prompt.Model)
	header := http.Header{protocol.Seal: {stamp.Write()}, "Content-Type": {"text/event-stream"}, protocol.WeightVersions: {strconv.FormatUint(generation, 10)}}
	if k.head(o, http.StatusOK, header, o.misname(arrival.Attempt), -1) != nil {
		k.leave(job)
		return k.left(arrival)
	}
	chunks := httputil.NewChunkedWriter(o)
	for {
		if sign.Event > 0 {
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", sign.Event, protocol.EventData(arrival.Attempt, run, sign.Event, all))
			if now := k.upgrades.Load(); now != upgrades {
				// An event at which the version changes says so in its first line.
				upgrades = now
				if newer := k.generation(arrival.Prompt.Model); newer != generation {
					generation = newer
					event = fmt.Sprintf("%s: %d\n%s", strings.ToLower(protocol.WeightVersions), generation, event)
				}
			}
			k.Book.Note(func(*history.History) { arrival.Events = sign.Event })
			if _, err := io.WriteString(chunks, event); err != nil {
				k.leave(job)
				return k.left(arrival)
			}
		}
		if sign.Last {
			break
		}
		if sign.Expired {
			// It stops at the deadline handed to it, in the middle.
			k.Book.Note(func(*history.History) { arrival.Ended, arrival.Broke = k.Book.Now(), true })
			return false
		}
		var ok bool
		if sign, ok = k.next(job, signs); !ok {
			return k.left(arrival)
		}
	}
	if err := chunks.Close(); err != nil {
		return k.left(arrival)
	}
	if _, err := io.WriteString(o, "\r\n"); err != nil {
		return k.left(arrival)
	}
	k.Book.Note(func(*history.History) { arrival.Ended, arrival.Whole = k.Book.Now(), !arrival.Broke })
	if o.fault != nil && (o.fault.Kind == Surplus || o.fault.Kind == LateSurplus) {
		more := []byte("HTTP/1.1 200 OK\r\n" + protocol.Attempt + ": 5a" + arrival.Attempt + "\r\n" + protocol.Seal + ": " + stamp.Write() + "\r\nContent-Length: 2\r\n\r\nok")
		if o.fault.Kind == Surplus {
			_, _ = k.conn.Write(more)
		} else {
			k.late = more
		}
	}
	return true
}

// generation gives the version of what is held of a model.
func (l *life) generation(model string) (generation uint64) {
	l.do(func() {
		if held := l.holdings.Held(model); held != nil {
			generation = held.Generation
		}
	})
	return generation
}

// answerOrder takes an order.
func (k *link) answerOrder(in incoming) bool {
	if target := in.request.Header.Get(protocol.Target); target != "" && target != k.id {
		return k.short(k.conn, http.StatusMisdirectedRequest, http.Header{protocol.Instance: {k.id}}, "", nil)
	}
	var order protocol.Order
	if json.Unmarshal(in.body, &order) != nil || !k.Config.Model {
		return k.short(k.conn, http.StatusBadRequest, http.Header{}, "", nil)
	}
	status := k.take(order)
	if status == 0 {
		return false
	}
	if fault := k.orderFaults.take(""); fault != nil {
		// An order with no answer may have been taken.
		k.broke = true
		return false
	}
	return k.short(k.conn, status, http.Header{}, "", nil)
}
