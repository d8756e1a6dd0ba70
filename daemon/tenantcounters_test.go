package daemon

import (
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/cresspond/cresspond/connection/metrics"
	"github.com/cresspond/cresspond/process/daemonconfig"
)

func TestTenantCountersAreALineEach(t *testing.T) {
	var out strings.Builder
	writeTenantCounts(&out, metrics.TenantCounts{Tenant: "acme", Granted: 9, OnCredit: 4, Refused: 5, Lapsed: 6})
	want := `tenant_requests{tenant="acme",outcome="granted"} 9
tenant_requests{tenant="acme",outcome="on_credit"} 4
tenant_requests{tenant="acme",outcome="denied"} 5
tenant_requests{tenant="acme",outcome="lapsed"} 6
`
	if out.String() != want {
		t.Errorf("%s", out.String())
	}
}

// Guards against a page that fails at a daemon which sends no requests, as control daemons of the users' platform do.
func TestDaemonThatSendsNoRequestsCountsNone(t *testing.T) {
	settings := daemonconfig.Default()
	settings.Name, settings.Roles = "core-1", []daemonconfig.Role{daemonconfig.Control}
	d := New(settings, "test", &log.Logger{Handler: discard.Default})
	names := map[string]bool{}
	d.eachQuotaCounter(func(name string, _ uint64) { names[name] = true })
	if names["quota_granted"] || !names["quota_calls_answered"] || len(d.TenantCounts()) > 0 || d.UnknownKeys() != 0 {
		t.Errorf("%v", names)
	}
	if use := d.tenantUse(""); use.Routes || use.OnCredit || len(use.Tenants) > 0 {
		t.Errorf("%+v", use)
	}
}
