package adminapi

import (
	"context"
	"fmt"
	"net"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// Registrar accepts the registrations of engines.
type Registrar interface {
	Register(ctx context.Context, message registry.Registration) registry.Response
	Deregister(ctx context.Context, id ident.EngineID) registry.Response
	// Engines lists them as this daemon knows them.
	Engines() operatorapi.Engines
}

var registrationCheck = newRegistrationCheck()

func newRegistrationCheck() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		return name
	})
	if err := v.RegisterValidation("ipport", func(level validator.FieldLevel) bool {
		host, port, err := net.SplitHostPort(level.Field().String())
		return err == nil && net.ParseIP(host) != nil && port != ""
	}); err != nil {
		panic("broken invariant: a check cannot be registered: " + err.Error())
	}
	return v
}

// engines serves the list, and accepts the registrations of engines.
func (d *Server) engines(ctx *fasthttp.RequestCtx, id string) {
	switch {
	case id == "" && (ctx.IsGet() || ctx.IsHead()):
		respond(ctx, fasthttp.StatusOK, d.daemon.Engines())
	case id == "" || !ctx.IsPut() && !ctx.IsDelete():
		fail(ctx, fasthttp.StatusMethodNotAllowed, operatorapi.Error{Outcome: "invalid", Reason: "this path takes another method"})
	case len(id) > 200 || strings.Contains(id, "/"):
		fail(ctx, fasthttp.StatusBadRequest, operatorapi.Error{Outcome: "invalid", Reason: "must be 1 to 200 bytes long, without a slash", Field: "id"})
	case ctx.IsDelete():
		d.registered(ctx, d.daemon.Deregister(context.Background(), ident.EngineID(id)))
	default:
		var body operatorapi.Registration
		if !decodeBody(ctx, &body) {
			return
		}
		if err := registrationCheck.Struct(body); err != nil {
			field, reason := firstFault(err)
			fail(ctx, fasthttp.StatusBadRequest, operatorapi.Error{Outcome: "invalid", Reason: reason, Field: field})
			return
		}
		message := registry.Registration{ID: ident.EngineID(id), Pool: body.Pool, Address: body.Address, Zone: body.Zone, Software: body.Software, Slots: body.Slots,
			Draining: body.Draining, TerminatesInMs: body.TerminatesInMs, SlowStartMs: body.SlowStartMs, Phase: body.Phase, CallSeq: body.CallSeq}
		for _, held := range body.Models {
			message.Models = append(message.Models, registry.LoadedModel{Model: held.Model, Generation: held.Generation, Adapters: held.Adapters})
		}
		d.registered(ctx, d.daemon.Register(context.Background(), message))
	}
}

// firstFault is the first field that is wrong, and why.
func firstFault(err error) (field, reason string) {
	found, ok := err.(validator.ValidationErrors)
	if !ok || len(found) == 0 {
		return "", err.Error()
	}
	_, field, _ = strings.Cut(found[0].Namespace(), ".")
	switch found[0].Tag() {
	case "required":
		return field, "is missing"
	case "ipport":
		return field, "must be an IP number and a port"
	}
	return field, strings.TrimSuffix(fmt.Sprintf("must satisfy %s=%s", found[0].Tag(), found[0].Param()), "=")
}

func (d *Server) registered(ctx *fasthttp.RequestCtx, outcome registry.Response) {
	switch outcome.Outcome {
	case registry.Acknowledged:
		respond(ctx, fasthttp.StatusOK, operatorapi.RegistrationResponse{Outcome: string(outcome.Outcome)})
	case registry.Invalid:
		fail(ctx, fasthttp.StatusBadRequest, operatorapi.Error{Outcome: string(outcome.Outcome), Reason: outcome.Reason, Field: outcome.Field})
	default:
		fail(ctx, fasthttp.StatusServiceUnavailable, operatorapi.Error{Outcome: string(registry.Unknown), Reason: "the control group gave no answer in time; say it again to another daemon"})
	}
}
