// Package operator simulates the platform's operators: they send configurations by the platform's protocol, resend them
// unchanged while the outcome is unclear, and record the outcome of each call.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// Operator is one operator.
type Operator struct {
	Name     string
	Recorder *history.Recorder
	// Controls lists the control daemons that the operator knows.
	Controls func() []string
	// LoseAnswerShare is the fraction of answers that are lost on their way back.
	LoseAnswerShare float64

	mutex  sync.Mutex
	random *rand.Rand
	client *http.Client
}

// New returns an operator whose choices follow from seed.
func New(name string, seed uint64, recorder *history.Recorder, controls func() []string) *Operator {
	return &Operator{Name: name, Recorder: recorder, Controls: controls, random: rand.New(rand.NewPCG(seed, 5)),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
			if len(via) > 2 {
				return errors.New("redirected more than twice")
			}
			return nil
		}}}
}

func (o *Operator) draw() (turn int, lost bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.random.IntN(1 << 16), o.random.Float64() < o.LoseAnswerShare
}

// answer is the outcome of one call; status 0 is no answer.
type answer struct {
	daemon string
	status int
	body   []byte
	err    error
}

// send makes one call at one daemon.
func (o *Operator) send(ctx context.Context, daemon, method string, base uint64, body []byte) answer {
	// A second for the answer, and more for large bodies.
	ctx, cancel := context.WithTimeout(ctx, time.Second+time.Duration(len(body)/1000)*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+daemon+protocol.PathConfig, bytes.NewReader(body))
	if err != nil {
		return answer{daemon: daemon, err: err}
	}
	if method != http.MethodGet {
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set("If-Match", strconv.FormatUint(base, 10))
	}
	response, err := o.client.Do(request)
	if err != nil {
		return answer{daemon: daemon, err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{daemon: daemon, err: err}
	}
	if _, lost := o.draw(); lost {
		return answer{daemon: daemon, err: errors.New("the answer was lost")}
	}
	return answer{daemon: daemon, status: response.StatusCode, body: data}
}

// call sends until there is a clear answer or ctx ends; it returns the last answer and the number of sends.
func (o *Operator) call(ctx context.Context, method string, base uint64, body []byte) (answer, int) {
	turn, _ := o.draw()
	others := 0
	var last answer
	for sends := 1; ; sends++ {
		controls := o.Controls()
		if len(controls) > 0 {
			last = o.send(ctx, controls[(turn+sends)%len(controls)], method, base, body)
		}
		switch {
		case last.status >= 200 && last.status < 300:
			return last, sends
		case last.status == 400 || last.status == 409 || last.status == 412 || last.status == 413 || last.status == 422:
			return last, sends
		case last.status >= 400 && last.status < 500 && last.status != 408 && last.status != 429:
			if others++; others == 3 {
				return last, sends
			}
		}
		pause := time.NewTimer(min(time.Second, 20*time.Millisecond<<min(sends, 6)))
		select {
		case <-ctx.Done():
			pause.Stop()
			last.status = 0
			return last, sends
		case <-pause.C:
		}
	}
}

// change sends a change and records its outcome.
func (o *Operator) change(ctx context.Context, method string, change history.Change, body []byte) *history.Change {
	change.Operator, change.Began, change.Outcome, change.Method, change.Body = o.Name, o.Recorder.Now(), history.Unclear, method, body
	noted := &change
	o.Recorder.Record(func(h *history.History) { h.Changes = append(h.Changes, noted) })
	last, sends := o.call(ctx, method, change.Base, body)
	o.Recorder.Record(func(*history.History) {
		noted.Status, noted.Sends, noted.By = last.status, sends, last.daemon
		switch {
		case last.status >= 200 && last.status < 300:
			noted.Outcome, noted.Answered = history.Acknowledged, o.Recorder.Now()
		case last.status >= 400 && last.status < 500:
			noted.Outcome, noted.Answered = history.Refused, o.Recorder.Now()
		}
	})
	return noted
}

// Put sends a complete configuration. fault says what makes it invalid; empty is valid.
func (o *Operator) Put(ctx context.Context, base uint64, config *protocol.Config, fault string) *history.Change {
	return o.change(ctx, http.MethodPut, history.Change{Base: base, Generation: config.Generation, Config: config, Fault: fault}, config.Encode())
}

// PutRaw sends bytes that are no readable configuration.
func (o *Operator) PutRaw(ctx context.Context, base, generation uint64, body []byte) *history.Change {
	return o.change(ctx, http.MethodPut, history.Change{Base: base, Generation: generation, Fault: "it cannot be read completely"}, body)
}

// Patch changes named items of a configuration that the operator knows completely.
func (o *Operator) Patch(ctx context.Context, on *protocol.Config, patch protocol.Patch, fault string) *history.Change {
	body, err := json.Marshal(patch)
	if err != nil {
		panic("broken invariant: a patch cannot be written: " + err.Error())
	}
	return o.change(ctx, http.MethodPatch, history.Change{Base: on.Generation, Generation: patch.Generation, Config: on.Apply(patch), Fault: fault, Patch: true}, body)
}

// Resend sends a change that was answered before once more, byte for byte; the same goes to others daemons at the same
// time, whose answers are ignored.
func (o *Operator) Resend(ctx context.Context, before history.Change, others int) *history.Change {
	controls := o.Controls()
	for n := range min(others, len(controls)) {
		go o.send(ctx, controls[n], before.Method, before.Base, before.Body)
	}
	return o.change(ctx, before.Method, history.Change{Base: before.Base, Generation: before.Generation, Config: before.Config, Fault: before.Fault, Patch: before.Patch, Resent: true}, before.Body)
}

// Get reads the newest configuration; end marks the reading at the end of the run.
func (o *Operator) Get(ctx context.Context, end bool) history.ReadBack {
	began := o.Recorder.Now()
	last, _ := o.call(ctx, http.MethodGet, 0, nil)
	back := history.ReadBack{Began: began, At: o.Recorder.Now(), Raw: last.body}
	switch {
	case last.err != nil:
		back.Err = last.err.Error()
	case last.status != http.StatusOK:
		back.Err = fmt.Sprintf("status %d", last.status)
	default:
		config := new(protocol.Config)
		if err := json.Unmarshal(last.body, config); err != nil {
			back.Err = err.Error()
		} else {
			back.Config = config
		}
	}
	o.Recorder.Record(func(h *history.History) {
		h.Reads = append(h.Reads, back)
		if end {
			h.ReadBacks = append(h.ReadBacks, back)
		}
	})
	return back
}
