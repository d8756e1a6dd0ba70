package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"
)

type fixedSource struct{}

func (fixedSource) EachCounter(report func(string, uint64)) {
	report("pulls", 7)
	report("opaque_held_now", 2)
}

func (fixedSource) Losses() []Loss { return []Loss{{"plan", "m-1", "model_absent", 3}} }

// TestHandlerServesCountersAndLosses: each counter stands under the project's name, each loss under its reason.
func TestHandlerServesCountersAndLosses(t *testing.T) {
	answer := httptest.NewRecorder()
	Handler(fixedSource{}).ServeHTTP(answer, httptest.NewRequest("GET", "/metrics", nil))
	body := answer.Body.String()
	for _, want := range []string{"cresspond_pulls 7\n", "cresspond_opaque_held_now 2\n",
		`cresspond_requests_lost_total{model="m-1",path="plan",reason="model_absent"} 3` + "\n"} {
		if !strings.Contains(body, want) {
			t.Errorf("%q is not in\n%s", want, body)
		}
	}
	if answer.Code != 200 || !strings.HasPrefix(answer.Header().Get("Content-Type"), "text/plain") {
		t.Errorf("%d, %s", answer.Code, answer.Header())
	}
}
