package adminapi

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// bundle accepts configurations that are applied in one step, and gives back the newest.
func (d *Server) bundle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Method()) {
	case http.MethodGet, http.MethodHead:
		d.newestBundle(ctx)
	case http.MethodPut, http.MethodPatch:
		d.applyBundle(ctx)
	default:
		fail(ctx, fasthttp.StatusMethodNotAllowed, operatorapi.Error{Outcome: "invalid", Reason: "this path takes another method"})
	}
}

func (d *Server) newestBundle(ctx *fasthttp.RequestCtx) {
	newest, known := d.daemon.NewestBundle(context.Background())
	switch {
	case !known:
		fail(ctx, fasthttp.StatusServiceUnavailable, operatorapi.Error{Outcome: "unknown", Reason: "the control group gave no answer in time"})
	case len(newest.Configuration) == 0:
		fail(ctx, fasthttp.StatusNotFound, operatorapi.Error{Outcome: "missing", Reason: "no bundle is in force yet"})
	default:
		ctx.Response.Header.Set(operatorapi.HeaderRevision, fmt.Sprint(newest.Revision))
		ctx.Response.Header.Set(operatorapi.HeaderVersion, fmt.Sprint(newest.Version))
		ctx.SetContentType("application/json")
		ctx.SetBody(newest.Configuration)
	}
}

func (d *Server) applyBundle(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	base, err := strconv.ParseUint(string(args.Peek("base")), 10, 64)
	if err != nil {
		fail(ctx, fasthttp.StatusBadRequest, operatorapi.Error{Outcome: "invalid", Reason: "must be the revision that this builds on, 0 for the first", Field: "base"})
		return
	}
	operator := string(args.Peek("operator"))
	if !checkRequired(ctx, [2]string{"operator", operator}) {
		return
	}
	call := operatorapi.ApplyRequest{Base: ident.Revision(base), Operator: operator, Digest: operatorapi.RequestDigest(string(ctx.Method()), ident.Revision(base), ctx.PostBody())}
	if ctx.IsPut() {
		// What an operator wrote is parsed strictly here; the leader gets what is valid in itself.
		if _, call.Faults = document.Parse(ctx.PostBody()); len(call.Faults) == 0 {
			call.Configuration = ctx.PostBody()
		}
	} else {
		call.Patch = &upstream.Patch{}
		if fault := decodeStrictly(ctx.PostBody(), call.Patch); fault != nil {
			call.Patch, call.Faults = nil, []document.Fault{*fault}
		}
	}
	respondApply(ctx, d.daemon.ApplyBundle(context.Background(), call))
}

func respondApply(ctx *fasthttp.RequestCtx, got operatorapi.ApplyResponse) {
	status := map[operatorapi.ApplyOutcome]int{
		operatorapi.Conflicted: fasthttp.StatusConflict, operatorapi.Invalid: fasthttp.StatusBadRequest,
		operatorapi.Forbidden: fasthttp.StatusForbidden, operatorapi.Unknown: fasthttp.StatusServiceUnavailable,
	}[got.Outcome]
	switch {
	case got.Outcome == operatorapi.Applied && got.Acknowledged:
		status = fasthttp.StatusOK
	case got.Outcome == operatorapi.Applied:
		// Committed, and not yet in force at all daemons in contact.
		status = fasthttp.StatusAccepted
	}
	if status < fasthttp.StatusBadRequest {
		respond(ctx, status, got)
		return
	}
	fail(ctx, status, operatorapi.Error{Outcome: string(got.Outcome), Reason: got.Reason, Faults: got.Faults, Version: got.Version, Revision: got.Revision})
}
