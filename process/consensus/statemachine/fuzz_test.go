package statemachine

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/cresspond/cresspond/ident"
)

// fuzzedState is a state with something of everything.
func fuzzedState(f *testing.F) *State {
	f.Helper()
	state := New()
	for _, r := range retryCases() {
		for _, c := range append(append([]Command{}, r.before...), r.command) {
			c.At = 1000
			data, err := json.Marshal(c)
			if err != nil {
				f.Fatal(err)
			}
			state.Apply(data)
		}
	}
	return state
}

// FuzzSnapshot: a snapshot is refused, or is a state that can be read, changed by every command and written again.
func FuzzSnapshot(f *testing.F) {
	f.Add([]byte(nil))
	f.Add([]byte("{}"))
	f.Add(fuzzedState(f).Snapshot())
	for _, text := range []string{
		`null`, `{"workers":null}`, `{"workers":{"tenures":null,"nodes":null,"floors":null}}`, `{"proposals":null}`, `{"proposals":{"p":null}}`,
		`{"history":["p"]}`, `{"history":["p"],"proposals":{"p":{"stage":"rolled"}}}`, `{"serving":null}`, `{"closures":null}`, `{"closures":{"zones":null}}`,
		`{"leaves":9,"left":[]}`, `{"workers":{"nodes":{"a#1":3}}}`, `{"workers":{"tenures":{"3":{"workerId":4,"nodeId":"a#1","leaseExpiry":5}}}}`,
		`{"proposals":{"p":{"stage":"signed","base":1,"spec":"eA=="}},"revision":9223372036854775807}`,
	} {
		f.Add([]byte(text))
	}
	f.Add([]byte(`{"closures":{"epoch":3,"zones":{},"engines":{"e":{"operator":"ana","at":1,"epoch":3}}}}`))
	var commands [][]byte
	for _, r := range retryCases() {
		for _, c := range append(append([]Command{}, r.before...), r.command) {
			data, err := json.Marshal(c)
			if err != nil {
				f.Fatal(err)
			}
			commands = append(commands, data)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		state, err := Restore(data)
		if err != nil {
			return
		}
		first := state.Snapshot()
		again, err := Restore(first)
		if err != nil {
			t.Fatalf("what was written can't be read: %v", err)
		}
		if !bytes.Equal(first, again.Snapshot()) {
			t.Fatal("it is another state once it was written and read")
		}
		for version := ident.Version(0); version <= state.Version(); version++ {
			state.ProposalAt(version)
		}
		state.DepartedSince(0)
		state.ServingDaemons()
		for _, command := range commands {
			state.Apply(command)
		}
		state.Snapshot()
	})
}

// FuzzCommand: an entry of any content is refused, or leaves a state that can be written and read.
func FuzzCommand(f *testing.F) {
	for _, r := range retryCases() {
		data, err := json.Marshal(r.command)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	base := fuzzedState(f).Snapshot()
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, start := range [][]byte{nil, base} {
			state, err := Restore(start)
			if err != nil {
				t.Fatal(err)
			}
			now, version, acquirePlanner := state.Now, state.Version(), state.PlannerLease.Token
			state.Apply(data)
			if state.Now < now || state.Version() < version || state.Version() > version+1 || state.PlannerLease.Token < acquirePlanner {
				t.Fatalf("the state went back: %q", data)
			}
			snapshot := state.Snapshot()
			restored, err := Restore(snapshot)
			if err != nil || !bytes.Equal(snapshot, restored.Snapshot()) {
				t.Fatalf("a snapshot after %q can't be read: %v", data, err)
			}
		}
	})
}
