package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// answer serves one request; false ends the connection.
func (c *connection) answer(in incoming) bool {
	switch in.request.URL.Path {
	case protocol.PathReport:
		return c.writeShort(c.conn, http.StatusOK, http.Header{"Content-Type": {"application/json"}}, in.request.Header.Get(protocol.Attempt), encode(c.report()))
	case protocol.PathOrder:
		return c.answerOrder(in)
	}
	attempt := in.request.Header.Get(protocol.Attempt)
	probe := in.request.Method == http.MethodGet && in.request.URL.Path == c.Config.HealthPath
	arrival := &history.Arrival{At: c.Recorder.Now(), Engine: c.id, Service: c.Config.Service, AttemptID: attempt, Method: in.request.Method, URI: in.request.RequestURI,
		Host: in.request.Host, BodyDigest: protocol.Digest(in.body), Target: in.request.Header.Get(protocol.Target), LastEvent: in.request.Header.Get(protocol.LastEvent), HealthCheck: probe}
	arrival.Tenants, arrival.Urgency = in.request.Header.Values(protocol.TenantName), in.request.Header.Get(protocol.Urgency)
	_, arrival.Authorized = in.request.Header[protocol.Authorization]
	arrival.DeadlineMs, _ = strconv.ParseInt(in.request.Header.Get(protocol.Deadline), 10, 64)
	prompt, err := protocol.ReadPrompt(in.request.Header.Get(protocol.Model), in.request.Header.Get(protocol.TokenCounts), in.request.Header.Get(protocol.PromptPrefix))
	arrival.Prompt = prompt
	c.Recorder.Record(func(h *history.History) { h.Arrivals = append(h.Arrivals, arrival) })
	fault := (*Fault)(nil)
	if !probe {
		c.Engine.mutex.Lock()
		c.lastHeader = in.request.Header
		c.Engine.mutex.Unlock()
		fault = c.faults.take(attempt)
	}
	o := &faultWriter{connection: c, fault: fault, arrival: arrival}
	if fault != nil && fault.Kind == CloseUnread {
		c.Recorder.Record(func(*history.History) { arrival.Broken = true })
		return false
	}
	if len(c.lateAnswer) > 0 {
		// An extra answer left by an earlier fault takes the place of this one.
		_, _ = c.conn.Write(c.lateAnswer)
		c.lateAnswer = nil
		c.Recorder.Record(func(*history.History) { arrival.Broken = true })
	}
	if rejected, ok := c.reject(o, in.request, arrival, prompt, err); rejected {
		return ok
	}
	return c.run(o, in.request, arrival, prompt)
}

// reject answers requests that are not executed; rejected says whether it did, ok whether the connection goes on.
func (c *connection) reject(o *faultWriter, request *http.Request, arrival *history.Arrival, prompt protocol.Prompt, err error) (rejected, ok bool) {
	refuse := func(status int, header http.Header) (bool, bool) {
		if status != http.StatusMisdirectedRequest {
			header.Set(protocol.NotExecuted, "1")
		}
		c.Recorder.Record(func(*history.History) {
			arrival.Status, arrival.Rejected, arrival.Ended = status, true, c.Recorder.Now()
		})
		return true, c.writeShort(o, status, header, arrival.AttemptID, nil)
	}
	if arrival.Target != "" && arrival.Target != c.id {
		return refuse(http.StatusMisdirectedRequest, http.Header{protocol.Instance: {c.id}})
	}
	if arrival.HealthCheck {
		return false, true
	}
	if arrival.AttemptID == "" || err != nil {
		return refuse(http.StatusBadRequest, http.Header{})
	}
	if !c.Config.Model {
		return false, true
	}
	status := 0
	c.do(func() {
		switch expected := request.Header.Get(protocol.ExpectVersion); {
		case c.holdings.InPendingOrder(prompt.Model, prompt.Adapter):
			status = http.StatusServiceUnavailable
		case !c.holdings.Holds(prompt.Model, prompt.Adapter):
			status = http.StatusMisdirectedRequest
		case expected != "" && expected != strconv.FormatUint(c.holdings.Holding(prompt.Model).Generation, 10):
			status = http.StatusMisdirectedRequest
		}
	})
	if status != 0 {
		return refuse(status, http.Header{protocol.Instance: {c.id}})
	}
	return false, true
}

// run executes a request and writes its answer.
func (c *connection) run(o *faultWriter, request *http.Request, arrival *history.Arrival, prompt protocol.Prompt) bool {
	job := &Job{Prompt: prompt, Urgency: 5, HealthCheck: arrival.HealthCheck, Hang: o.fault != nil && o.fault.Kind == Hang}
	if urgency, err := strconv.Atoi(request.Header.Get(protocol.Urgency)); err == nil {
		job.Urgency = urgency
	}
	if arrival.DeadlineMs > 0 {
		job.Deadline = arrival.At + clock.Mark(time.Duration(arrival.DeadlineMs)*time.Millisecond)
	}
	stream := c.Config.Model
	if arrival.LastEvent != "" && stream {
		job.From, _ = strconv.Atoi(arrival.LastEvent)
		c.Recorder.Record(func(*history.History) { arrival.From = job.From })
	}
	progress, taken := c.submit(job, arrival)
	if !taken {
		return c.answerNotExecuted(o, arrival)
	}
	first, ok := c.next(job, progress)
	if !ok {
		return c.callerLeft(arrival)
	}
	if first.Expired && !job.began {
		return c.answerNotExecuted(o, arrival)
	}
	if arrival.HealthCheck {
		return c.answerProbe(o, arrival)
	}
	run := fmt.Sprintf("%s-%d", c.id, job.Number)
	c.Recorder.Record(func(*history.History) { arrival.Run, arrival.Status = run, http.StatusOK })
	if stream {
		return c.stream(o, arrival, job, progress, first, run)
	}
	return c.plain(o, arrival, job, progress, run)
}

// next waits for progress of the job; false if the caller has disconnected or the incarnation has ended.
func (c *connection) next(job *Job, progress <-chan Progress) (Progress, bool) {
	gone := c.callerClosed
	if c.Config.ContinueOnClose {
		gone = nil
	}
	select {
	case sign, ok := <-progress:
		return sign, ok
	case <-gone:
		c.cancel(job)
		return Progress{}, false
	case <-c.ctx.Done():
		return Progress{}, false
	}
}

func (c *connection) callerLeft(arrival *history.Arrival) bool {
	c.Recorder.Record(func(*history.History) {
		arrival.Ended = c.Recorder.Now()
		if c.ctx.Err() == nil {
			arrival.CallerClosed = true
		} else {
			arrival.Broken = true
		}
	})
	return false
}

func (c *connection) answerNotExecuted(o *faultWriter, arrival *history.Arrival) bool {
	c.Recorder.Record(func(*history.History) {
		arrival.Status, arrival.Rejected, arrival.Ended = http.StatusServiceUnavailable, true, c.Recorder.Now()
	})
	return c.writeShort(o, http.StatusServiceUnavailable, http.Header{protocol.NotExecuted: {"1"}}, arrival.AttemptID, nil)
}

func (c *connection) answerProbe(o *faultWriter, arrival *history.Arrival) bool {
	status := http.StatusOK
	if c.draining.Load() {
		status = http.StatusServiceUnavailable
	}
	c.Recorder.Record(func(*history.History) {
		arrival.Status, arrival.Ended, arrival.Complete = status, c.Recorder.Now(), true
	})
	return c.writeShort(o, status, http.Header{protocol.Instance: {c.id}}, arrival.AttemptID, nil)
}

// plain answers a plain request.
func (c *connection) plain(o *faultWriter, arrival *history.Arrival, job *Job, progress <-chan Progress, run string) bool {
	last, ok := c.next(job, progress)
	if !ok {
		return c.callerLeft(arrival)
	}
	status, body := http.StatusOK, protocol.Body(arrival.AttemptID, run, c.Config.AnswerBytes)
	switch {
	case last.Expired:
		status, body = http.StatusGatewayTimeout, []byte("the deadline has passed\n")
	case o.fault != nil && o.fault.Kind == EngineError:
		status, body = o.fault.Status, []byte("a failure of the engine's own\n")
	}
	return c.send(o, arrival, run, status, body)
}

// send writes the complete answer of an executed request.
func (c *connection) send(o *faultWriter, arrival *history.Arrival, run string, status int, body []byte) bool {
	stamp := protocol.Stamp{Engine: c.id, Attempt: arrival.AttemptID, Run: run, Status: status, Length: len(body), Digest: protocol.Digest(body)}
	c.Recorder.Record(func(*history.History) { arrival.Status = status })
	if o.fault != nil && o.fault.Kind == Malformed {
		c.Recorder.Record(func(*history.History) { arrival.Broken, arrival.Ended = true, c.Recorder.Now() })
		_, _ = c.conn.Write([]byte("\x00\x01 these bytes are no answer \xff\r\n\r\n"))
		return false
	}
	write := func(w io.Writer, attempt string) error {
		header := http.Header{protocol.Seal: {stamp.Write()}, "Content-Type": {"application/octet-stream"}}
		if !c.Config.Chunked {
			if err := c.writeHeader(w, status, header, attempt, len(body)); err != nil {
				return err
			}
			_, err := w.Write(body)
			return err
		}
		if err := c.writeHeader(w, status, header, attempt, -1); err != nil {
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
	c.Recorder.Record(func(*history.History) {
		arrival.Ended, arrival.Complete = c.Recorder.Now(), err == nil && !arrival.Broken
	})
	if err != nil {
		return false
	}
	if o.fault != nil && (o.fault.Kind == ExtraAnswer || o.fault.Kind == LateExtraAnswer) {
		var more bytes.Buffer
		if write(&more, "5a"+arrival.AttemptID) == nil {
			if o.fault.Kind == ExtraAnswer {
				_, _ = c.conn.Write(more.Bytes())
			} else {
				c.lateAnswer = more.Bytes()
			}
		}
	}
	return true
}

// answerOrder takes an order.
func (c *connection) answerOrder(in incoming) bool {
	if target := in.request.Header.Get(protocol.Target); target != "" && target != c.id {
		return c.writeShort(c.conn, http.StatusMisdirectedRequest, http.Header{protocol.Instance: {c.id}}, "", nil)
	}
	var order protocol.Order
	if json.Unmarshal(in.body, &order) != nil || !c.Config.Model {
		return c.writeShort(c.conn, http.StatusBadRequest, http.Header{}, "", nil)
	}
	status := c.takeOrder(order)
	if status == 0 {
		return false
	}
	if fault := c.orderFaults.take(""); fault != nil {
		// An order whose answer is lost may have been accepted.
		c.unusable = true
		return false
	}
	return c.writeShort(c.conn, status, http.Header{}, "", nil)
}
