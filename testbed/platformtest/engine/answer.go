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

// reject answers what is not run at all.
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
