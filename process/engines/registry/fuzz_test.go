package registry

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// FuzzRecords: whatever a peer sends, no heartbeat is later than the moment it was received at, and it can be merged,
// timed out and sent on.
func FuzzRecords(f *testing.F) {
	now := clock.Mark(time.Hour)
	registration := normalize(Registration{ID: "e", Pool: "p", Address: "10.0.0.1:1", Zone: "z", Slots: 4, Models: []LoadedModel{{Model: "m", Adapters: []string{"a"}}}, CallSeq: 3})
	for _, records := range [][]Record{
		{{ID: "e", Registration: &registration, CallSeq: 3, Digest: digestOfRegistration(registration), LastHeartbeat: now - clock.Mark(time.Second)}},
		{{ID: "e", CallSeq: 3, Digest: 7, Draining: true, Deregistered: true, LastHeartbeat: now}},
		{{ID: "e", Registration: &registration, CallSeq: 4, Plan: &Plan{Claim: 2, Sequence: 3, Retiring: []Target{{"m", ""}}, PendingLoads: []PendingLoad{{Target{"n", ""}, now}}}}},
	} {
		data, err := proto.Marshal(&peerapi.PullReply{RegistryIncarnation: "l", RegistrySeen: 3, Engines: Encode(now, records)})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	// A time so long ago that it does not fit.
	tooLongAgo, err := proto.Marshal(&peerapi.PullReply{Engines: []*peerapi.RegisteredEngine{{Id: "e", LastContactMsAgo: 1 << 62, HasReport: true, Plan: &peerapi.EnginePlan{AgeMs: 1 << 61, Loading: []*peerapi.PlanTarget{{Model: "m", ReadyMs: -1 << 62}}}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(tooLongAgo)
	below, err := proto.Marshal(&peerapi.PullReply{Engines: []*peerapi.RegisteredEngine{{Id: "e", HasReport: true, Slots: -1, DrainMs: -2, SlowStartMs: -3, Plan: &peerapi.EnginePlan{Active: -1, Queued: -1, Memory: -1, MemoryUsed: -1, Weights: []*peerapi.EngineWeight{{Percent: -4}, {Percent: 400}}}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(below)
	f.Fuzz(func(t *testing.T, data []byte) {
		var reply peerapi.PullReply
		if proto.Unmarshal(data, &reply) != nil {
			return
		}
		records := Decode(now, reply.Engines)
		for _, record := range records {
			if record.ID == "" || record.LastHeartbeat > now || record.Plan != nil && record.Plan.Received > now {
				t.Fatalf("%+v was received before it was sent", record)
			}
			if record.Registration != nil && (record.Registration.Slots < 0 || record.Registration.TerminatesInMs < 0 || record.Registration.SlowStartMs < 0) {
				t.Fatalf("%+v says less than nothing", record.Registration)
			}
			if record.Plan == nil {
				continue
			}
			if record.Plan.Active < 0 || record.Plan.Queued < 0 || record.Plan.Memory < 0 || record.Plan.MemoryUsed < 0 {
				t.Fatalf("%+v says less than nothing", record.Plan)
			}
			for _, weight := range record.Plan.Weights {
				if weight.Fraction < 0 || weight.Fraction > 1 {
					t.Fatalf("a share of %v", weight.Fraction)
				}
			}
		}
		core := NewCore("incarnation", true, time.Second, now)
		core.ApplyDelta(now, "peer", Delta{Cursor: Cursor{Incarnation: reply.RegistryIncarnation, Seen: reply.RegistrySeen}, Records: records}, nil)
		core.Tick(now, time.Second, Connectivity{})
		for id, e := range core.View().Engines {
			if id == "" || e.ID != ident.EngineID(id) {
				t.Fatalf("%q is known as %+v", id, e)
			}
		}
		Encode(now, core.DeltaSince(DeltaRequest{}, 1<<20).Records)
	})
}
