package endtoend

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cresspond/cresspond/daemon"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// say calls an engine's own path at a daemon.
func (b *bench) say(method, id string, body any) (int, operatorapi.Error) {
	b.t.Helper()
	text := ""
	if body != nil {
		text = string(encode(b.t, body))
	}
	request, err := http.NewRequest(method, "http://"+b.address+operatorapi.PathEngines+"/"+id, strings.NewReader(text))
	if err != nil {
		b.t.Fatal(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, operatorapi.Error{}
	}
	defer response.Body.Close()
	var reply operatorapi.Error
	_ = json.NewDecoder(response.Body).Decode(&reply)
	return response.StatusCode, reply
}

// leave says that an engine leaves, until that is acknowledged: a busy disk can take longer than a daemon waits.
func (b *bench) leave(method, id string, body any) {
	b.t.Helper()
	b.await(id+" is acknowledged", func() bool {
		status, reply := b.say(method, id, body)
		if status != 200 && status != 503 {
			b.t.Fatal(id, status, reply)
		}
		return status == 200
	})
}

// condition is what a daemon says of one registered engine; empty if it does not know it.
func (b *bench) condition(id string) string {
	var list operatorapi.Engines
	b.get(operatorapi.PathEngines, &list)
	for _, engine := range list.Engines {
		if string(engine.ID) == id {
			return engine.Condition
		}
	}
	return ""
}

func registration(number int, callSeq uint64) operatorapi.Registration {
	return operatorapi.Registration{Pool: "p", Address: fmt.Sprintf("10.0.0.%d:80", number), Zone: "here", Slots: 4, CallSeq: callSeq,
		Models: []operatorapi.LoadedModel{{Model: "m", Generation: 1, Adapters: []string{"a"}}}}
}

func TestEnginesThatRegisterAreKnownEverywhereAndLeaveForGood(t *testing.T) {
	all := several(t, 3, func(int) []daemon.Option { return nil })
	everywhere := func(id, condition string) {
		t.Helper()
		for _, b := range all {
			b.await(id+" is "+condition, func() bool { return b.condition(id) == condition })
		}
	}
	for i, b := range all {
		if status, reply := b.say("PUT", fmt.Sprint("r", i), registration(i, 1)); status != 200 {
			t.Fatal(status, reply)
		}
	}
	for i := range all {
		everywhere(fmt.Sprint("r", i), operatorapi.EngineUsable)
	}
	leaving := registration(0, 2)
	leaving.Draining = true
	all[1].leave("PUT", "r0", leaving)
	everywhere("r0", operatorapi.EngineDraining)
	// What was told to one daemon, and acknowledged, is known to all that are in contact already. The
	// acknowledgement waits for them no longer than its reach, so one that took so long says nothing: it is tried
	// again with another engine.
	for number, queued := 0, false; !queued; number++ {
		id, reply := fmt.Sprint("once-", number), registration(60+number, 1)
		if status, reply := all[0].say("PUT", id, reply); status != 200 {
			t.Fatal(status, reply)
		}
		everywhere(id, operatorapi.EngineUsable)
		reply.CallSeq, reply.Draining = 2, true
		asked := time.Now()
		all[1].leave("PUT", id, reply)
		inTime := time.Since(asked) < leaveReach
		queued = true
		for _, b := range all {
			condition := b.condition(id)
			queued = queued && condition == operatorapi.EngineDraining
			if !queued && (inTime || number == 20) {
				t.Fatalf("%s: %s is %q", b.name, id, condition)
			}
		}
	}
	for i, b := range all {
		leaving.CallSeq++
		if status, _ := b.say("PUT", "r0", leaving); status != 200 {
			t.Error("said again:", status)
		}
		b.leave("DELETE", fmt.Sprint("never-known-", i), nil)
	}
	all[2].leave("DELETE", "r1", nil)
	everywhere("r1", operatorapi.EngineRemoved)
	for i, b := range all {
		// Neither is taken up again, whoever is told.
		if status, _ := b.say("PUT", "r1", registration(1, 99)); status != 200 {
			t.Error(status)
		}
		if status, _ := b.say("PUT", "r0", registration(0, uint64(90+i))); status != 200 {
			t.Error(status)
		}
		if status, _ := b.say("PUT", fmt.Sprint("never-known-", i), registration(50+i, 1)); status != 200 {
			t.Error(status)
		}
	}
	for i, b := range all {
		for _, other := range all {
			id := fmt.Sprint("never-known-", i)
			if condition := other.condition(id); condition == operatorapi.EngineUsable || b.condition("r0") == operatorapi.EngineUsable || b.condition("r1") == operatorapi.EngineUsable {
				t.Errorf("%s at %s: %q", id, other.name, condition)
			}
		}
	}
	// Who misses its beats is silent everywhere.
	everywhere("r2", operatorapi.EngineUnresponsive)
	if status, _ := all[0].say("PUT", "r2", registration(2, 2)); status != 200 {
		t.Error(status)
	}
	everywhere("r2", operatorapi.EngineUsable)
}

func TestABadRegistrationNamesItsField(t *testing.T) {
	all := several(t, 1, func(int) []daemon.Option { return nil })
	b := all[0]
	for field, change := range map[string]func(*operatorapi.Registration){
		"pool":                  func(r *operatorapi.Registration) { r.Pool = "" },
		"address":               func(r *operatorapi.Registration) { r.Address = "nowhere" },
		"slots":                 func(r *operatorapi.Registration) { r.Slots = 0 },
		"callSeq":               func(r *operatorapi.Registration) { r.CallSeq = 0 },
		"coldMs":                func(r *operatorapi.Registration) { r.SlowStartMs = -1 },
		"models[0].model":       func(r *operatorapi.Registration) { r.Models[0].Model = "" },
		"models[0].adapters[0]": func(r *operatorapi.Registration) { r.Models[0].Adapters[0] = "" },
	} {
		r := registration(1, 1)
		change(&r)
		if status, reply := b.say("PUT", "r1", r); status != 400 || reply.Field != field {
			t.Errorf("%s: %d %+v", field, status, reply)
		}
	}
	if condition := b.condition("r1"); condition != "" {
		t.Errorf("taken all the same: %s", condition)
	}
}

func TestHeartbeatsToOneDaemonKeepEngineUsableEverywhere(t *testing.T) {
	const period = time.Second
	p := part(t, 1, func(c *daemonconfig.Config) { c.Bounds.HeartbeatMs = period.Milliseconds() })
	list := func(b *bench) operatorapi.Engines {
		var out operatorapi.Engines
		b.get(operatorapi.PathEngines, &out)
		return out
	}
	seq := uint64(0)
	sendHeartbeat := func() {
		seq++
		if status, _ := p.core[0].say("PUT", "r0", registration(0, seq)); status != 200 {
			t.Error(status)
		}
	}
	sendHeartbeat()
	for _, b := range p.all() {
		b.await("r0 is known", func() bool { return b.condition("r0") != "" })
	}
	before := map[*bench]uint64{}
	for _, b := range p.all() {
		before[b] = list(b).Version
	}
	// Each round ends when another control daemon has heard of its beat, which takes it no longer than an answer is
	// held back between them: that is held to the millisecond in made-up time, and here by five beats that were in
	// time. A machine that has other work to do makes single ones late.
	const soon = 300
	for began, inTime := begin(), 0; ; {
		sendHeartbeat()
		var heard operatorapi.RegisteredEngine
		p.core[1].await("the beat is known to another", func() bool { heard = list(p.core[1]).Engines[0]; return heard.CallSeq == seq })
		if heard.LastContactMsAgo < soon {
			inTime++
		}
		for _, b := range p.all() {
			if engine := list(b).Engines[0]; engine.Condition != operatorapi.EngineUsable {
				t.Fatalf("%s takes it for %s", b.name, engine.Condition)
			}
		}
		lasted, _ := began.took()
		if lasted > 60*time.Second {
			t.Fatalf("only %d beats were known to another in time", inTime)
		}
		if lasted > 10*period && inTime >= 5 {
			break
		}
	}
	for _, b := range p.all() {
		if after := list(b).Version; after != before[b] {
			t.Errorf("%s went from version %d to %d by beats that brought nothing new", b.name, before[b], after)
		}
	}
	// Without beats it is silent, at those that route too.
	for _, b := range p.all() {
		b.await("r0 is silent", func() bool { return b.condition("r0") == operatorapi.EngineUnresponsive })
	}
}

func TestTheDaemonsOwnPagesAreNotForwarded(t *testing.T) {
	b := several(t, 1, func(int) []daemon.Option { return nil })[0]
	for _, path := range []string{operatorapi.PathReady, operatorapi.PathLive, operatorapi.PathCounters, operatorapi.PathStatus, operatorapi.PathEngines} {
		if status, page := b.get(path, nil); status != 200 {
			t.Errorf("%s: %d %s", path, status, page)
		}
	}
}
