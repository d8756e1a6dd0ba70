package adminapi

import (
	"context"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// limited is a daemon with one tenant, that records what it is asked for.
type limited struct {
	Daemon
	tenant, at string
}

func (l *limited) Tenants(_ context.Context, tenant, at string) operatorapi.Tenants {
	l.tenant, l.at = tenant, at
	page := operatorapi.Tenants{}
	if tenant == "" || tenant == "acme" {
		page.Tenants = []operatorapi.Tenant{{Name: "acme"}}
	}
	switch at {
	case "", operatorapi.TenantsAtAll:
		page.Daemons = []operatorapi.TenantDaemon{{Daemon: "edge#1"}}
	case "mute-1":
		page.Unanswered = []ident.NodeID{"mute-1#1"}
	}
	return page
}

func TestTenantsPageNamesWhatIsUnknown(t *testing.T) {
	for query, status := range map[string]int{
		"":                       fasthttp.StatusOK,
		"?tenant=acme":           fasthttp.StatusOK,
		"?tenant=other":          fasthttp.StatusNotFound,
		"?at=all":                fasthttp.StatusOK,
		"?at=mute-1":             fasthttp.StatusOK,
		"?at=nobody":             fasthttp.StatusNotFound,
		"?tenant=acme&at=nobody": fasthttp.StatusNotFound,
	} {
		var ctx fasthttp.RequestCtx
		ctx.Request.SetRequestURI(operatorapi.PathTenants + query)
		New(&limited{}).Handle(&ctx, operatorapi.PathTenants)
		if got := ctx.Response.StatusCode(); got != status {
			t.Errorf("%s: %d %s", query, got, ctx.Response.Body())
		}
	}
}

func TestTenantsPagePassesOnWhatIsAskedFor(t *testing.T) {
	var ctx fasthttp.RequestCtx
	ctx.Request.SetRequestURI(operatorapi.PathTenants + "?tenant=a+b&at=edge%231")
	daemon := &limited{}
	New(daemon).Handle(&ctx, operatorapi.PathTenants)
	if daemon.tenant != "a b" || daemon.at != "edge#1" {
		t.Errorf("%q at %q", daemon.tenant, daemon.at)
	}
}
