package adminapi

import (
	"context"

	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/wire/operatorapi"
)

// TenantLister knows the tenants' limits and what was sent under them.
type TenantLister interface {
	// Tenants gives the page of one tenant, or of all if tenant is empty; at names the daemon whose use is asked for.
	Tenants(ctx context.Context, tenant, at string) operatorapi.Tenants
}

// tenants serves the page of tenants.
func (d *Server) tenants(ctx *fasthttp.RequestCtx) {
	bounded, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	arguments := ctx.QueryArgs()
	tenant, at := string(arguments.Peek(operatorapi.TenantsParameter)), string(arguments.Peek(operatorapi.TenantsAtParameter))
	page := d.daemon.Tenants(bounded, tenant, at)
	switch {
	case tenant != "" && len(page.Tenants) == 0:
		fail(ctx, fasthttp.StatusNotFound, operatorapi.Error{
			Outcome: "missing",
			Reason:  "the bundle in force here has no such tenant",
			Field:   operatorapi.TenantsParameter,
		})
	case at != "" && len(page.Daemons)+len(page.Unanswered) == 0:
		fail(ctx, fasthttp.StatusNotFound, operatorapi.Error{
			Outcome: "missing",
			Reason:  "no such routing daemon is in contact",
			Field:   operatorapi.TenantsAtParameter,
		})
	default:
		respond(ctx, fasthttp.StatusOK, page)
	}
}
