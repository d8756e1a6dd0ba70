package directapply

import (
	"encoding/json"
	"testing"

	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

func body(t *testing.T, revision ident.Revision) []byte {
	t.Helper()
	data, err := json.Marshal(map[string]any{"name": "b", "forward": map[string]any{"revision": revision, "pools": []any{map[string]any{"name": "p"}}, "paths": []any{}}})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func call(t *testing.T, digest string, base, revision ident.Revision) operatorapi.ApplyRequest {
	return operatorapi.ApplyRequest{Base: base, Digest: digest, Operator: "ana", Configuration: body(t, revision)}
}

// unreadable is the same call at a build that reads more strictly.
func unreadable(request operatorapi.ApplyRequest) operatorapi.ApplyRequest {
	request.Configuration, request.Faults = nil, []document.Fault{{Path: "name", Reason: "is too short since this build"}}
	return request
}

// decide carries a call out on a state, as the leader does.
func decide(t *testing.T, state *statemachine.State, request operatorapi.ApplyRequest) (response operatorapi.ApplyResponse, submitted bool) {
	t.Helper()
	decision := ViewOf(state, request).Decide(request)
	if decision.Submit == nil {
		return decision.Response, false
	}
	data, err := json.Marshal(decision.Submit)
	if err != nil {
		t.Fatal(err)
	}
	return ResponseTo(state.Apply(data)), true
}

func TestCallIsDecidedByItsDigestBeforeItIsRead(t *testing.T) {
	state := statemachine.New()
	first := call(t, "first", 0, 1)
	if response, submitted := decide(t, state, first); response.Outcome != operatorapi.Applied || !submitted {
		t.Fatalf("the first: %+v", response)
	}
	if response, _ := decide(t, state, call(t, "refused ahead", 9, 10)); response.Outcome != operatorapi.Conflicted {
		t.Fatalf("one on a base that is ahead: %+v", response)
	}
	for name, c := range map[string]struct {
		request operatorapi.ApplyRequest
		want    operatorapi.ApplyOutcome
	}{
		"taken by a build that could read it":    {unreadable(first), operatorapi.Applied},
		"taken, and read here too":               {first, operatorapi.Applied},
		"lost against the first":                 {unreadable(call(t, "second", 0, 1)), operatorapi.Conflicted},
		"refused on its base before":             {unreadable(call(t, "refused ahead", 9, 10)), operatorapi.Conflicted},
		"never seen, on the revision in force":   {unreadable(call(t, "third", 1, 2)), operatorapi.Invalid},
		"never seen, on a base that is ahead":    {unreadable(call(t, "fourth", 5, 6)), operatorapi.Invalid},
		"never seen, on no revision that can be": {unreadable(call(t, "fifth", statemachine.MaxRevision+1, 2)), operatorapi.Invalid},
	} {
		before := state.Snapshot()
		response, submitted := decide(t, state, c.request)
		if response.Outcome != c.want || submitted {
			t.Errorf("%s: %+v, submitted %t", name, response, submitted)
		}
		if c.want == operatorapi.Invalid && len(response.Faults) == 0 {
			t.Errorf("%s: no fault is named", name)
		}
		if string(before) != string(state.Snapshot()) {
			t.Errorf("%s: the state changed", name)
		}
	}
	// The broken variant: a build that looks for faults first refuses what is in force.
	request := unreadable(first)
	if view := (View{Latest: LatestOf(state), Status: statemachine.ApplyOpen}); view.Decide(request).Response.Outcome != operatorapi.Invalid {
		t.Error("a call whose digest is not looked for is not refused")
	}
}

func TestConfigurationWithFaultsIsRefusedAndNotSubmitted(t *testing.T) {
	state := statemachine.New()
	for name, request := range map[string]operatorapi.ApplyRequest{
		"no JSON":                  {Digest: "a", Operator: "ana", Configuration: []byte(`{"name":`)},
		"no part to apply":         {Digest: "b", Operator: "ana", Configuration: []byte(`{"name":"b"}`)},
		"revision not above":       call(t, "c", 0, 0),
		"revision above the limit": call(t, "d", 0, statemachine.MaxRevision+1),
	} {
		if response, submitted := decide(t, state, request); response.Outcome != operatorapi.Invalid || len(response.Faults) == 0 || submitted {
			t.Errorf("%s: %+v, submitted %t", name, response, submitted)
		}
	}
}
