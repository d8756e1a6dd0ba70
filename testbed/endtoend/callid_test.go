package endtoend

import (
	"net/http"
	"strings"
	"testing"

	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// calledAs makes an operator's call with an id.
func (b *bench) calledAs(id, path string, body []byte) int {
	b.t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+b.address+path, strings.NewReader(string(body)))
	if err != nil {
		b.t.Fatal(err)
	}
	request.Header.Set(operatorapi.HeaderCallID, id)
	response, err := client.Do(request)
	if err != nil {
		b.t.Fatal(err)
	}
	response.Body.Close()
	return response.StatusCode
}

// A roll that was refused because its proposal was not signed yet stays refused, at every daemon and also where a copy
// of it comes after the signature; another call rolls it out.
func TestRefusedCallStaysRefusedByItsID(t *testing.T) {
	p := part(t, 1, nil)
	leader := awaitLeader(p.core)
	leader.await("calls are remembered", func() bool {
		return leader.counter("feature_level") >= uint64(statemachine.CallMemoryLevel)
	})
	if status, reply := leader.propose("second", 1, "ana", encode(t, testConfiguration(1, 4))); status != 200 {
		t.Fatalf("proposing: %d %+v", status, reply)
	}
	action := func(operator string) []byte {
		return encode(t, operatorapi.ProposalAction{ProposalID: "second", Operator: operator})
	}
	if status := leader.calledAs("early", operatorapi.PathRoll, action("ana")); status != 403 {
		t.Fatalf("rolled out unsigned: %d", status)
	}
	for _, step := range []struct{ id, path, operator string }{{"review", operatorapi.PathReview, "berta"}, {"sign", operatorapi.PathSign, "chen"}} {
		if status := leader.calledAs(step.id, step.path, action(step.operator)); status != 200 {
			t.Fatalf("%s: %d", step.id, status)
		}
	}
	for _, b := range p.all() {
		if status := b.calledAs("early", operatorapi.PathRoll, action("ana")); status != 403 {
			t.Errorf("%s took the copy of a refused call: %d", b.name, status)
		}
		if status := b.calledAs("sign", operatorapi.PathRoll, action("ana")); status != 409 {
			t.Errorf("%s took another call under an id in use: %d", b.name, status)
		}
	}
	if status := p.edges[0].calledAs("later", operatorapi.PathRoll, action("ana")); !taken(status) {
		t.Errorf("rolling out: %d", status)
	}
}
