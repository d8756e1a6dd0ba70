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

func (fixedSource) TenantCounts() []TenantCounts {
	return []TenantCounts{{Granted: 1}, {Tenant: "acme", Granted: 9, OnCredit: 4, Refused: 5, Lapsed: 6}}
}

func (fixedSource) UnknownKeys() uint64 { return 8 }

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

// Guards against an operator who can't see whose requests are refused, and why.
func TestHandlerServesCountsOfTenants(t *testing.T) {
	answer := httptest.NewRecorder()
	Handler(fixedSource{}).ServeHTTP(answer, httptest.NewRequest("GET", "/metrics", nil))
	body := answer.Body.String()
	for _, want := range []string{
		`cresspond_tenant_requests_granted_total{tenant="acme"} 9`,
		`cresspond_tenant_requests_granted_total{tenant=""} 1`,
		`cresspond_tenant_requests_on_credit_total{tenant="acme"} 4`,
		`cresspond_tenant_tokens_lapsed_total{tenant="acme"} 6`,
		`cresspond_tenant_requests_refused_total{reason="over_quota",tenant="acme"} 5`,
		`cresspond_tenant_requests_refused_total{reason="unknown_key",tenant=""} 8`,
		"# TYPE cresspond_tenant_requests_refused_total counter",
	} {
		if !strings.Contains(body, want+"\n") {
			t.Errorf("%q is not in\n%s", want, body)
		}
	}
}
