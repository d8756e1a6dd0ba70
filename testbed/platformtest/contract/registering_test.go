package contract

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/cresspond/cresspond/testbed/platformtest/engine"
	"github.com/cresspond/cresspond/testbed/platformtest/fleet"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// call makes a call at the control daemon as engines and operators do: an answer that promises nothing (a 5xx, 408 or
// 429) is asked for again unchanged, until there is a clear one.
func (f *fixture) call(method, path string, header map[string]string, body []byte) (status int, data []byte) {
	f.t.Helper()
	f.await(method+" "+path+" has a clear answer", func() bool {
		status, data = f.callOnce(method, path, header, body)
		return status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
	})
	return status, data
}

// callOnce makes one call.
func (f *fixture) callOnce(method, path string, header map[string]string, body []byte) (int, []byte) {
	f.t.Helper()
	request, err := http.NewRequest(method, "http://"+f.fleet.OfClass(fleet.Core)[0].Control()+path, bytes.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		f.t.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return response.StatusCode, data
}

// register sends a beat in an engine's name.
func (f *fixture) register(id string, heartbeat protocol.Registration) (int, []byte) {
	data, _ := json.Marshal(heartbeat)
	return f.call(http.MethodPut, protocol.PathEngines+id, map[string]string{"Content-Type": "application/json"}, data)
}

// TestARegistrationGetsAShortAcknowledgement: an acknowledgement is a 2xx of 4 KiB at most that can be read.
func TestARegistrationGetsAShortAcknowledgement(t *testing.T) {
	f := newFixture(t)
	heartbeat := protocol.Registration{Backend: fmt.Sprintf("plain-%d", f.number), Address: "127.0.0.1:9", Zone: "a", Generation: "v1", Slots: 1, State: protocol.StateReady, CallSeq: 1}
	status, body := f.register("i-contract-a", heartbeat)
	var answer protocol.Registered
	if status < 200 || status > 299 || len(body) > 4096 || len(body) > 0 && json.Unmarshal(body, &answer) != nil {
		t.Errorf("%d %q", status, body)
	}
	for what, spoil := range map[string][]byte{"no JSON": []byte("{"), "another form": []byte("[]"), "nothing": nil} {
		if status, _ := f.call(http.MethodPut, protocol.PathEngines+"i-contract-b", nil, spoil); status < 400 || status > 499 {
			t.Errorf("%s: %d", what, status)
		}
	}
	if status, _ := f.call(http.MethodDelete, protocol.PathEngines+"i-contract-a", nil, nil); status < 200 || status > 299 {
		t.Errorf("leaving: %d", status)
	}
	// Leaving again, and of one that nobody knows, is no failure: the first answer may have been lost.
	for _, id := range []string{"i-contract-a", "i-contract-never"} {
		if status, _ := f.call(http.MethodDelete, protocol.PathEngines+id, nil, nil); status < 200 || status > 299 {
			t.Errorf("leaving of %s: %d", id, status)
		}
	}
}

// TestADelayedHeartbeatOfADrainingEngineChangesNothing: its call-seq is lower, or its id has left.
func TestADelayedHeartbeatOfADrainingEngineChangesNothing(t *testing.T) {
	f := newFixture(t)
	e := f.plain(func(c *engine.Config) { c.Controls = nil })
	heartbeat := protocol.Registration{Backend: e.Config.Service, Address: e.Config.Address, Zone: "a", Generation: "v1", Slots: 8, State: protocol.StateReady, CallSeq: 5}
	f.register(e.Current(), heartbeat)
	f.awaitEngines("once", 1)
	draining := heartbeat
	draining.State, draining.CallSeq = protocol.StateDraining, 6
	if status, _ := f.register(e.Current(), draining); status != 200 {
		t.Fatal(status)
	}
	f.await("it gets nothing new", func() bool { return !f.ask(f.request("once")).Success() })
	// A beat that was sent before, and comes after.
	f.register(e.Current(), heartbeat)
	if status, _ := f.call(http.MethodDelete, protocol.PathEngines+e.Current(), nil, nil); status != 200 {
		t.Fatal(status)
	}
	late := heartbeat
	late.CallSeq = 7
	f.register(e.Current(), late)
	before := len(f.arrivals())
	for range 20 {
		r := f.request("once")
		r.Deadline = 300 * time.Millisecond
		f.ask(r)
	}
	if after := len(f.arrivals()); after != before {
		t.Errorf("%d requests reached an engine that has left", after-before)
	}
	f.checkRules()
}

// TestAnotherServiceAtAReusedAddressRunsNothing: an engine is gone without a word, and another has its address.
func TestAnotherServiceAtAReusedAddressRunsNothing(t *testing.T) {
	f := newFixture(t)
	e := f.plain(nil)
	f.awaitEngines("once", 1)
	address := e.Config.Address
	e.Crash()
	other := f.start(engine.Config{Service: fmt.Sprintf("model-%d", f.number), Slots: 8, Waiting: 8, Work: time.Millisecond, AnswerBytes: 10}, func(c *engine.Config) { c.Address = address })
	for range 30 {
		r := f.request("once")
		r.Deadline = 500 * time.Millisecond
		if attempt := f.ask(r); attempt.Success() {
			t.Errorf("%s was served, and no engine of its service lives", attempt.AttemptID)
		}
	}
	for _, arrival := range f.arrivals() {
		if arrival.Engine == other.Current() && arrival.Ran() {
			t.Errorf("%s ran at another service", arrival.AttemptID)
		}
	}
	f.checkRules()
}

// TestADrainingEngineGetsNoLateRequests: from its acknowledgement on it takes no longer than the bound.
func TestADrainingEngineGetsNoLateRequests(t *testing.T) {
	f := newFixture(t)
	f.plain(nil)
	f.plain(nil)
	f.awaitEngines("again", 2)
	leaving := f.engines[0]
	id := leaving.Current()
	leaving.Drain(0)
	for leaving.Current() == id {
		if attempt := f.ask(f.request("again")); !attempt.Success() {
			t.Errorf("%d %s", attempt.Status, attempt.Err)
		}
	}
	for _, incarnation := range f.recorder.Snapshot().Incarnations {
		if incarnation.Engine != id {
			continue
		}
		if incarnation.DrainAcked == 0 {
			t.Fatal("its leaving was never acknowledged")
		}
		for _, arrival := range f.arrivals() {
			if arrival.Engine == id && arrival.At.Since(incarnation.DrainAcked) > bounds.Drain {
				t.Errorf("%s came %v after the acknowledgement", arrival.AttemptID, arrival.At.Since(incarnation.DrainAcked))
			}
		}
	}
	f.checkRules()
}

// TestAChangeOfWeightsIsForwardedInItsEvent: the line that tells of it belongs to the event and goes along.
func TestAChangeOfWeightsIsForwardedInItsEvent(t *testing.T) {
	f := newFixture(t)
	e := f.model(func(c *engine.Config) { c.Pace.StepTime = 5 * time.Millisecond })
	f.awaitEngines("stream", 1)
	r := f.request("stream")
	r.Prompt.TokensOut = 120
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.await("it is under way", func() bool {
			for _, arrival := range f.arrivals() {
				if arrival.Prompt.TokensOut == 120 && arrival.Events > 5 {
					return true
				}
			}
			return false
		})
		e.Upgrade("m", 2)
	}()
	attempts := f.newClient().Do(context.Background(), r)
	<-done
	told := 0
	for _, event := range attempts[0].Events {
		if event.Version == "2" {
			told++
		}
	}
	if !attempts[0].Success() || told != 1 {
		t.Errorf("%d %s, told %d times", attempts[0].Status, attempts[0].Err, told)
	}
	f.checkRules()
}
