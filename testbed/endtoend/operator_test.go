package endtoend

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/cresspond/cresspond/configuration/closure"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/testbed/engine"
	"github.com/cresspond/cresspond/wire/operatorapi"
	"github.com/cresspond/cresspond/wire/peerapi"
)

func decode(t *testing.T, response *http.Response, into any) {
	t.Helper()
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		t.Fatal(err)
	}
}

func TestConfigurationStepsInOrder(t *testing.T) {
	b := start(t, nil, engine.Config{})
	second := testConfiguration(1, 4)
	second.Name = "second"
	bundle := append([]byte("\n\t"), encode(t, second)...)
	expect := func(what string, status, want int, reply operatorapi.Error) {
		t.Helper()
		if status != want {
			t.Errorf("%s: status %d, %+v; want %d", what, status, reply, want)
		}
	}
	status, reply := b.propose("p2", 0, "ana", bundle)
	expect("a stale base", status, 409, reply)
	if reply.Winner != "first" || reply.Version != 1 {
		t.Errorf("the loser is not told the winner: %+v", reply)
	}
	status, reply = b.propose("p2", 7, "ana", bundle)
	expect("a base that is not there yet", status, 409, reply)
	status, reply = b.propose("p2", 1, "ana", bundle)
	expect("a sound proposal", status, 200, reply)
	status, reply = b.propose("p2", 1, "ana", bundle)
	expect("the same one again", status, 200, reply)
	status, reply = b.propose("p2", 1, "ana", b.bundle)
	expect("the same id for another bundle", status, 409, reply)
	status, reply = b.postStep(operatorapi.PathRoll, "p2", "ana")
	expect("an unsigned roll", status, 403, reply)
	status, reply = b.postStep(operatorapi.PathSign, "p2", "berta")
	expect("a sign-off before review", status, 403, reply)
	status, reply = b.postStep(operatorapi.PathReview, "p2", "berta")
	expect("a review", status, 200, reply)
	status, reply = b.postStep(operatorapi.PathSign, "p2", "ana")
	expect("the author's own sign-off", status, 403, reply)
	status, reply = b.postStep(operatorapi.PathSign, "nothing", "berta")
	expect("an unknown proposal", status, 404, reply)
	if now := b.status().ConfigurationVersion; now != 1 {
		t.Errorf("epoch %d is in force", now)
	}
	status, reply = b.propose("rival", 1, "eva", b.bundle)
	expect("a rival on the same base", status, 200, reply)
	status, reply = b.postStep(operatorapi.PathSign, "p2", "berta")
	expect("a sign-off", status, 200, reply)
	status, reply = b.postStep(operatorapi.PathRoll, "p2", "ana")
	expect("a roll", status, 200, reply)
	status, reply = b.postStep(operatorapi.PathRoll, "p2", "ana")
	expect("the same roll again", status, 200, reply)
	status, reply = b.postStep(operatorapi.PathReview, "rival", "berta")
	expect("the loser of the race", status, 409, reply)
	if now := b.status().ConfigurationVersion; now != 2 {
		t.Errorf("epoch %d is in force after one roll asked for twice", now)
	}
	if _, back := b.get(operatorapi.PathConfiguration+"?epoch=2", nil); !bytes.Equal(back, bytes.TrimSpace(bundle)) {
		t.Error("the bundle does not read back byte for byte")
	}
	if _, back := b.get(operatorapi.PathConfiguration+"?epoch=1", nil); !bytes.Equal(back, b.bundle) {
		t.Error("the first bundle does not read back byte for byte")
	}
	var history []statemachine.Proposal
	b.get(operatorapi.PathHistory, &history)
	if len(history) != 2 || history[1].SignOffs[0].Operator != "berta" {
		t.Errorf("history: %+v", history)
	}
	var trace operatorapi.Trace
	b.get(operatorapi.PathTrace+"?change=spec:2", &trace)
	if !trace.Known || len(trace.Rows) != 1 || trace.Rows[0].Missing || trace.Rows[0].InForceMs < trace.Rows[0].BuiltMs || trace.Rows[0].BuiltMs < trace.Rows[0].LearnedMs || trace.Rows[0].LearnedMs == 0 {
		t.Errorf("trace: %+v", trace)
	}
}

func TestFaultyBundlesAreRefusedWithEveryFault(t *testing.T) {
	b := start(t, nil, engine.Config{})
	s := testConfiguration(1, 4)
	s.Name = ""
	s.Engines[0].Zone = "nowhere"
	s.Models[0].Size = 0
	s.Models = append(s.Models, s.Models[1])
	s.Routes[0].Models = append(s.Routes[0].Models, "none")
	s.Limits.MaxRetryRatio = 2
	status, reply := b.propose("faulty", 1, "ana", encode(t, s))
	if status != 400 {
		t.Fatal(status, reply)
	}
	for _, path := range []string{"name", "engines[0].zone", "models[0].size", "models[2].name", "routes[0].models[1]", "limits.retryShare"} {
		found := false
		for _, fault := range reply.Faults {
			found = found || fault.Path == path
		}
		if !found {
			t.Errorf("no fault at %s in %v", path, reply.Faults)
		}
	}
	for name, bundle := range map[string]string{
		"unknown field": strings.Replace(string(b.bundle), `"zones"`, `"zonen"`, 1),
		"twice":         strings.Replace(string(b.bundle), `"name"`, `"name": "x", "Name"`, 1),
		"wrong type":    strings.Replace(string(b.bundle), `"worth": 10`, `"worth": "much"`, 1),
		"a list":        `[]`,
		"a number":      `5`,
		"null":          `null`,
	} {
		if status, reply := b.propose("bad-"+name, 1, "ana", []byte(bundle)); status != 400 || len(reply.Faults) == 0 {
			t.Errorf("%s: %d %+v", name, status, reply)
		}
	}
	for path, body := range map[string]string{
		operatorapi.PathRoll: `{"proposalId":"x"}`, operatorapi.PathZone: `{"zone":"here","closed":true,"operator":"ana"}`, operatorapi.PathDeclareLost: `{"daemon":"","operator":"ana"}`, operatorapi.PathReview: `{`,
		operatorapi.PathSign: `{"proposalId":5,"operator":"a"}`, operatorapi.PathDrain: `{"engine":"","draining":true,"operator":"a"}`,
	} {
		if status, reply, _ := b.post(path, []byte(body)); status != 400 || reply.Reason == "" {
			t.Errorf("%s %s: %d %+v", path, body, status, reply)
		}
	}
	for path, body := range map[string]string{
		operatorapi.PathZone: `{"zone":"nowhere","closed":true,"base":0,"operator":"ana"}`, operatorapi.PathDrain: `{"engine":"none","draining":true,"base":0,"operator":"ana"}`,
		operatorapi.PathDeclareLost: `{"daemon":"nobody#1","operator":"ana"}`,
	} {
		if status, reply, _ := b.post(path, []byte(body)); status != 404 {
			t.Errorf("%s %s: %d %+v", path, body, status, reply)
		}
	}
	if now := b.status(); now.ConfigurationVersion != 1 || now.ClosureVersion != 0 {
		t.Errorf("epochs %d and %d are in force", now.ConfigurationVersion, now.ClosureVersion)
	}
}

// TestOfTwoClosuresOnOneBaseOneLoses: the loser is told what won and is never in force; a closure whose
// answer was lost finds itself when it is asked for again.
func TestOfTwoClosuresOnOneBaseOneLoses(t *testing.T) {
	b := start(t, nil, engine.Config{})
	shut := func(zone, operator string, closed bool, base ident.Version) (int, operatorapi.Error) {
		return b.answered(operatorapi.PathZone, encode(t, operatorapi.ZoneClosure{Zone: ident.ZoneID(zone), Closed: &closed, Base: &base, Operator: operator}))
	}
	for round := range 10 {
		base := b.status().ClosureVersion
		statuses := make(chan int, 2)
		for _, operator := range []string{"ana", "berta"} {
			go func() {
				status, _ := shut(map[string]string{"ana": "here", "berta": "there"}[operator], operator, round%2 == 0, base)
				statuses <- status
			}()
		}
		if first, second := <-statuses, <-statuses; first+second != 200+409 {
			t.Fatalf("round %d: %d and %d", round, first, second)
		}
		now := b.status().ClosureVersion
		if now != base+1 {
			t.Fatalf("round %d: from epoch %d to %d", round, base, now)
		}
		var closures closure.Set
		b.get(operatorapi.PathClosures, &closures)
		if round%2 == 0 && len(closures.Zones) != 1 {
			t.Fatalf("round %d: %v are shut", round, closures.Zones)
		}
		if round%2 == 1 {
			// What the loser did not open is opened now, so that the next round begins anew.
			for zone := range closures.Zones {
				if status, reply := shut(string(zone), "chen", false, now); status != 200 {
					t.Fatal(status, reply)
				}
			}
			continue
		}
		for zone, mark := range closures.Zones {
			if status, reply := shut(string(zone), mark.Operator, true, base); status != 200 {
				t.Errorf("asked for again: %d %+v", status, reply)
			}
			if status, reply := shut(string(zone), "chen", true, base); status != 409 || reply.Winner != mark.Operator || reply.Closures == nil || reply.Closures.Version != now {
				t.Errorf("another operator's: %d %+v", status, reply)
			}
			// Both are shut for the next round, in which both are opened.
			other := map[ident.ZoneID]string{"here": "there", "there": "here"}[zone]
			if status, reply := shut(other, "chen", true, now); status != 200 {
				t.Fatal(status, reply)
			}
		}
	}
	if status, reply := shut("here", "ana", true, 999); status != 409 {
		t.Errorf("a base from the future: %d %+v", status, reply)
	}
}

func TestMalformedPeerMessagesAreRejectedAndCounted(t *testing.T) {
	b := start(t, nil, engine.Config{})
	group := string(b.status().Group)
	peer := peerapi.NewFellowProtobufClient("http://"+b.fellow, http.DefaultClient)
	ctx := context.Background()
	garbage := []*peerapi.RaftBatch{
		{Group: group, Messages: []*peerapi.RaftMessage{{Kind: 99, From: 1, To: 1, Term: 1}}},
		{Group: group, Messages: []*peerapi.RaftMessage{{Kind: uint32(raft.MsgSnapshot), From: 1, To: 1, Term: 1}}},
		{Group: group, Messages: []*peerapi.RaftMessage{{Kind: uint32(raft.MsgAppend), From: 1, To: 1, Term: 1, LogIndex: 5, Entries: []*peerapi.RaftEntry{{Index: 9, Term: 1}}}}},
		{Group: group, Messages: []*peerapi.RaftMessage{{Kind: uint32(raft.MsgAppend), From: 1, To: 1, Term: 1, Entries: []*peerapi.RaftEntry{{Index: 1, Term: 1, Kind: uint32(raft.EntryMembership), Data: []byte("{")}}}}},
		{Group: "", Messages: nil},
		{Group: group, Messages: []*peerapi.RaftMessage{{Kind: uint32(raft.MsgHeartbeat), From: 1, To: 1, Term: 99}}},
	}
	for i, batch := range garbage {
		if _, err := peer.Raft(ctx, batch); err == nil {
			t.Errorf("garbage %d was taken", i)
		}
	}
	if n := b.counter("fellow_garbage"); n != uint64(len(garbage)) {
		t.Errorf("%d were counted", n)
	}
	before := b.counter("fellow_foreign_group")
	if _, err := peer.Raft(ctx, &peerapi.RaftBatch{Group: "another", Messages: []*peerapi.RaftMessage{{Kind: uint32(raft.MsgHeartbeat), From: 1, To: 2, Term: 99}}}); err == nil {
		t.Error("another group's message was taken")
	}
	if _, err := peer.Submit(ctx, &peerapi.SubmitRequest{Group: "another", Command: []byte(`{"op":"CLOSURE","zone":"here","closed":true}`)}); err == nil {
		t.Error("another group's command was taken")
	}
	if _, err := peer.Submit(ctx, &peerapi.SubmitRequest{Group: group, Command: []byte(`{"op":"RECLAIM"}`)}); err == nil {
		t.Error("a command that is the leader's alone was taken")
	}
	if _, err := peer.Pull(ctx, &peerapi.PullRequest{Group: "another", NodeId: "x", Address: "y"}); err == nil {
		t.Error("another group's pull was served")
	}
	if n := b.counter("fellow_foreign_group"); n != before+3 {
		t.Errorf("%d foreign messages were counted", n-before)
	}
	if record := b.call("after", work()); !record.Complete() {
		t.Errorf("%+v", record)
	}
}

func TestMalformedReportQuarantinesEngine(t *testing.T) {
	b := start(t, nil, engine.Config{Fault: "junk-report", FaultFrom: 1})
	if record := b.call("one", work()); !record.Complete() {
		t.Fatalf("%+v", record)
	}
	b.await("the engine is set aside", func() bool { return b.status().Engines[0].Condition == "set-aside" })
	request := work()
	request.DeadlineMs = 300
	if record := b.call("two", request); record.Outcome != "refused" {
		t.Errorf("%+v", record)
	}
	if b.counter("engine_reports_junk") == 0 {
		t.Error("the junk was not counted")
	}
}
