// Package adminapi serves the requests of operators, of their tools and of engines over HTTP: it decodes and validates
// them, submits commands by way of the daemon, and encodes responses. It owns no state; paths and bodies are wire/operatorapi.
package adminapi

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/rollout"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// Daemon is what the server needs of its daemon.
type Daemon interface {
	// Command and Query fail with an error that says why the outcome is unknown.
	Command(ctx context.Context, command statemachine.Command) (rollout.Response, error)
	Query(ctx context.Context, what, key string) (operatorapi.Reading, error)
	Ready() (bool, string)
	Status() operatorapi.Status
	Counters() string
	Registrar
	Bundles
	Ranker
	TenantLister
}

// Bundles puts configurations in force in one step, and gives back the newest.
type Bundles interface {
	// ApplyBundle answers in less than a second.
	ApplyBundle(ctx context.Context, call operatorapi.ApplyRequest) operatorapi.ApplyResponse
	// NewestBundle is the newest committed one as the group itself reads it; false where that could not be had in time.
	NewestBundle(ctx context.Context) (operatorapi.Bundle, bool)
}

// Server serves operators.
type Server struct{ daemon Daemon }

// New makes a server.
func New(daemon Daemon) *Server { return &Server{daemon} }

// commandTimeout is how long a command is attempted before its outcome is called unknown.
const commandTimeout = 8 * time.Second

// Handle serves one request.
func (d *Server) Handle(ctx *fasthttp.RequestCtx, path string) {
	if id, own := strings.CutPrefix(path, operatorapi.PathEngines); own && (id == "" || id[0] == '/' && id != "/") {
		d.engines(ctx, strings.TrimPrefix(id, "/"))
		return
	}
	posts := map[string]func(*fasthttp.RequestCtx){
		operatorapi.PathPropose:     d.propose,
		operatorapi.PathReview:      d.proposalAction(statemachine.OpReview),
		operatorapi.PathSign:        d.proposalAction(statemachine.OpSignOff),
		operatorapi.PathRoll:        d.proposalAction(statemachine.OpRollOut),
		operatorapi.PathZone:        d.zone,
		operatorapi.PathDrain:       d.drain,
		operatorapi.PathDeclareLost: d.lost,
	}
	gets := map[string]func(*fasthttp.RequestCtx){
		operatorapi.PathConfiguration: d.configuration,
		operatorapi.PathHistory:       func(c *fasthttp.RequestCtx) { d.query(c, "history", "") },
		operatorapi.PathProposal:      func(c *fasthttp.RequestCtx) { d.query(c, "proposal", string(c.QueryArgs().Peek("id"))) },
		operatorapi.PathClosures:      func(c *fasthttp.RequestCtx) { d.query(c, "closures", "") },
		operatorapi.PathTrace:         d.trace,
		operatorapi.PathTenants:       d.tenants,
		operatorapi.PathStatus:        func(c *fasthttp.RequestCtx) { respond(c, fasthttp.StatusOK, d.daemon.Status()) },
		operatorapi.PathReady:         d.ready,
		operatorapi.PathLive:          func(c *fasthttp.RequestCtx) { respond(c, fasthttp.StatusOK, map[string]bool{"live": true}) },
		operatorapi.PathCounters:      func(c *fasthttp.RequestCtx) { c.SetContentType("text/plain"); c.SetBodyString(d.daemon.Counters()) },
	}
	if path == operatorapi.PathNodes {
		d.nodes(ctx)
		return
	}
	if path == operatorapi.PathBundle {
		d.bundle(ctx)
		return
	}
	serve, isPost := posts[path]
	if !isPost {
		serve = gets[path]
	}
	switch {
	case serve == nil:
		fail(ctx, fasthttp.StatusNotFound, operatorapi.Error{Outcome: "invalid", Reason: "nothing is served at this path"})
	case isPost != ctx.IsPost() || !isPost && !ctx.IsGet() && !ctx.IsHead():
		fail(ctx, fasthttp.StatusMethodNotAllowed, operatorapi.Error{Outcome: "invalid", Reason: "this path takes another method"})
	default:
		serve(ctx)
	}
}

func respond(ctx *fasthttp.RequestCtx, status int, body any) {
	data, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		panic("broken invariant: an answer cannot be encoded: " + err.Error())
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(data, '\n'))
}

func fail(ctx *fasthttp.RequestCtx, status int, body operatorapi.Error) { respond(ctx, status, body) }

// decodeBody decodes a body strictly; it says false when it has answered with what is wrong.
func decodeBody(ctx *fasthttp.RequestCtx, into any) bool {
	fault := decodeStrictly(ctx.PostBody(), into)
	if fault == nil {
		return true
	}
	fail(ctx, fasthttp.StatusBadRequest, operatorapi.Error{Outcome: "invalid", Reason: fault.Reason, Field: fault.Path})
	return false
}

// decodeStrictly decodes one JSON value without unknown fields, or says what is wrong and in which field.
func decodeStrictly(body []byte, into any) *document.Fault {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil {
		if _, after := decoder.Token(); after == io.EOF {
			return nil
		}
		return &document.Fault{Reason: "something follows the JSON body"}
	}
	var mistyped *json.UnmarshalTypeError
	if errors.As(err, &mistyped) {
		return &document.Fault{Path: mistyped.Field, Reason: "a " + mistyped.Value + " does not fit here"}
	}
	return &document.Fault{Reason: "the body cannot be read: " + strings.TrimPrefix(err.Error(), "json: ")}
}

// checkRequired answers with the first empty field, if there is one.
func checkRequired(ctx *fasthttp.RequestCtx, fields ...[2]string) bool {
	for _, field := range fields {
		if field[1] == "" || len(field[1]) > 200 {
			fail(ctx, fasthttp.StatusBadRequest, operatorapi.Error{Outcome: "invalid", Reason: "must be 1 to 200 bytes long", Field: field[0]})
			return false
		}
	}
	return true
}

// maxCallIDBytes bounds the id of a call.
const maxCallIDBytes = 100

// callID reads the id of an operator's call, or makes one up; it says false when it has answered that it is too long.
func callID(ctx *fasthttp.RequestCtx) (string, bool) {
	id := string(ctx.Request.Header.Peek(operatorapi.HeaderCallID))
	switch {
	case id == "":
		return rand.Text(), true
	case len(id) > maxCallIDBytes:
		fail(ctx, fasthttp.StatusBadRequest, operatorapi.Error{Outcome: "invalid", Reason: fmt.Sprintf("must be 1 to %d bytes long", maxCallIDBytes), Field: operatorapi.HeaderCallID})
		return "", false
	}
	return id, true
}

func (d *Server) command(ctx *fasthttp.RequestCtx, command statemachine.Command) {
	id, ok := callID(ctx)
	if !ok {
		return
	}
	command.CallID = id
	bounded, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	got, err := d.daemon.Command(bounded, command)
	if err != nil {
		// The command may still be applied: whoever asks again with the same ids finds out.
		fail(ctx, fasthttp.StatusServiceUnavailable, operatorapi.Error{Outcome: "unknown", Reason: err.Error() + "; ask again, here or elsewhere, with the same ids"})
		return
	}
	status := map[statemachine.Outcome]int{
		statemachine.Done: fasthttp.StatusOK, statemachine.Conflict: fasthttp.StatusConflict, statemachine.Forbidden: fasthttp.StatusForbidden,
		statemachine.Missing: fasthttp.StatusNotFound, statemachine.Malformed: fasthttp.StatusBadRequest,
		statemachine.Exhausted: fasthttp.StatusConflict, statemachine.Unproven: fasthttp.StatusServiceUnavailable,
	}[got.Outcome]
	if status == fasthttp.StatusOK {
		if command.Op.Propagates() && !got.Acknowledged {
			// Committed, and not yet in force everywhere: this is no acknowledgement.
			status = fasthttp.StatusAccepted
		}
		respond(ctx, status, got)
		return
	}
	if status == 0 {
		status = fasthttp.StatusInternalServerError
	}
	fail(ctx, status, operatorapi.Error{Outcome: string(got.Outcome), Reason: got.Reason, Faults: got.Faults, Winner: got.Winner, Version: got.Version, Closures: got.Closures})
}

func (d *Server) propose(ctx *fasthttp.RequestCtx) {
	var body operatorapi.Propose
	if !decodeBody(ctx, &body) || !checkRequired(ctx, [2]string{"proposalId", body.ProposalID}, [2]string{"operator", body.Operator}) {
		return
	}
	if len(body.Configuration) == 0 {
		fail(ctx, fasthttp.StatusBadRequest, operatorapi.Error{Outcome: "invalid", Reason: "is missing", Field: "spec"})
		return
	}
	d.command(ctx, statemachine.Command{Op: statemachine.OpPropose, ProposalID: body.ProposalID, Base: body.Base, Operator: body.Operator, Note: body.Note, Configuration: body.Configuration})
}

func (d *Server) proposalAction(op statemachine.Op) func(*fasthttp.RequestCtx) {
	return func(ctx *fasthttp.RequestCtx) {
		var body operatorapi.ProposalAction
		if decodeBody(ctx, &body) && checkRequired(ctx, [2]string{"proposalId", body.ProposalID}, [2]string{"operator", body.Operator}) {
			d.command(ctx, statemachine.Command{Op: op, ProposalID: body.ProposalID, Operator: body.Operator, Note: body.Note})
		}
	}
}

func (d *Server) zone(ctx *fasthttp.RequestCtx) {
	var body operatorapi.ZoneClosure
	if !decodeBody(ctx, &body) || !checkRequired(ctx, [2]string{"zone", string(body.Zone)}, [2]string{"operator", body.Operator}) {
		return
	}
	d.close(ctx, statemachine.Command{Zone: body.Zone, Operator: body.Operator}, body.Base, body.Closed, "closed")
}

func (d *Server) drain(ctx *fasthttp.RequestCtx) {
	var body operatorapi.EngineDrain
	if !decodeBody(ctx, &body) || !checkRequired(ctx, [2]string{"engine", string(body.Engine)}, [2]string{"operator", body.Operator}) {
		return
	}
	d.close(ctx, statemachine.Command{Engine: body.Engine, Operator: body.Operator}, body.Base, body.Draining, "draining")
}

// close carries out a closure or an opening, which names the closures it builds on.
func (d *Server) close(ctx *fasthttp.RequestCtx, command statemachine.Command, base *ident.Version, closed *bool, closedField string) {
	missing := ""
	switch {
	case closed == nil:
		missing = closedField
	case base == nil:
		missing = "base"
	}
	if missing != "" {
		fail(ctx, fasthttp.StatusBadRequest, operatorapi.Error{Outcome: "invalid", Reason: "is missing", Field: missing})
		return
	}
	command.Op, command.Closed, command.Base, command.HasBase = statemachine.OpClosure, *closed, *base, true
	d.command(ctx, command)
}

// lost takes an operator's word that a daemon is gone for good.
func (d *Server) lost(ctx *fasthttp.RequestCtx) {
	var body operatorapi.DeclareLost
	if decodeBody(ctx, &body) && checkRequired(ctx, [2]string{"daemon", string(body.Daemon)}, [2]string{"operator", body.Operator}) {
		d.command(ctx, statemachine.Command{Op: statemachine.OpDeclareLost, LostDaemon: body.Daemon, Operator: body.Operator})
	}
}

// find reads part of the state; it says false when it has answered why not.
func (d *Server) find(ctx *fasthttp.RequestCtx, what, key string) ([]byte, bool) {
	bounded, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	reading, err := d.daemon.Query(bounded, what, key)
	if err != nil {
		fail(ctx, fasthttp.StatusServiceUnavailable, operatorapi.Error{Outcome: "unknown", Reason: err.Error()})
		return nil, false
	}
	if len(reading.Data) == 0 {
		fail(ctx, fasthttp.StatusNotFound, operatorapi.Error{Outcome: "missing", Reason: "there is no such " + what})
		return nil, false
	}
	ctx.Response.Header.Set(operatorapi.HeaderReadFrom, reading.Leader)
	return reading.Data, true
}

func (d *Server) query(ctx *fasthttp.RequestCtx, what, key string) {
	if result, ok := d.find(ctx, what, key); ok {
		ctx.SetContentType("application/json")
		ctx.SetBody(result)
	}
}

// configuration reads a bundle back, byte for byte.
func (d *Server) configuration(ctx *fasthttp.RequestCtx) {
	key := string(ctx.QueryArgs().Peek("epoch"))
	if key == "" {
		key = "0"
	}
	if _, err := strconv.ParseUint(key, 10, 64); err != nil {
		fail(ctx, fasthttp.StatusBadRequest, operatorapi.Error{Outcome: "invalid", Reason: "must be a number", Field: "epoch"})
		return
	}
	result, ok := d.find(ctx, "spec", key)
	if !ok {
		return
	}
	var proposal statemachine.Proposal
	if err := json.Unmarshal(result, &proposal); err != nil {
		fail(ctx, fasthttp.StatusInternalServerError, operatorapi.Error{Outcome: "unknown", Reason: "the answer of the control group cannot be read"})
		return
	}
	raw, err := proposal.Decompress()
	if err != nil {
		fail(ctx, fasthttp.StatusInternalServerError, operatorapi.Error{Outcome: "unknown", Reason: "the bundle cannot be unpacked"})
		return
	}
	if len(raw) == 0 {
		reason := "this epoch's bundle was lost with the majority that held it"
		if proposal.Applied {
			reason = "of bundles applied in one step only the newest are kept whole"
		}
		fail(ctx, fasthttp.StatusGone, operatorapi.Error{Outcome: "missing", Reason: reason, Version: proposal.Version})
		return
	}
	ctx.Response.Header.Set(operatorapi.HeaderVersion, fmt.Sprint(proposal.Version))
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}

func (d *Server) trace(ctx *fasthttp.RequestCtx) {
	change := string(ctx.QueryArgs().Peek("change"))
	kind, number, _ := strings.Cut(change, ":")
	if _, err := strconv.ParseUint(number, 10, 64); err != nil || kind != "spec" && kind != "closure" {
		fail(ctx, fasthttp.StatusBadRequest, operatorapi.Error{Outcome: "invalid", Reason: "must be spec:N or closure:N", Field: "change"})
		return
	}
	d.query(ctx, "trace", change)
}

func (d *Server) ready(ctx *fasthttp.RequestCtx) {
	ready, why := d.daemon.Ready()
	status := fasthttp.StatusOK
	if !ready {
		status = fasthttp.StatusServiceUnavailable
	}
	respond(ctx, status, map[string]any{"ready": ready, "reason": why})
}
