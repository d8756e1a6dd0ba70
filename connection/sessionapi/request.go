package sessionapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/routingtable"
	"github.com/cresspond/cresspond/request/dispatch"
	"github.com/cresspond/cresspond/wire/callerapi"
)

// readRequest gives the checked request with its prompt, or the first fault in it.
func (server *Server) readRequest(ctx *fasthttp.RequestCtx) (dispatch.Request, string, *requestFault) {
	table := server.table()
	if table == nil {
		return dispatch.Request{}, "", &requestFault{fasthttp.StatusServiceUnavailable, "", "no configuration is in force here yet"}
	}
	limits := table.Configuration.Limits
	body := ctx.PostBody()
	if len(body) > limits.MaxBodyBytes {
		return dispatch.Request{}, "", &requestFault{fasthttp.StatusRequestEntityTooLarge, "", fmt.Sprintf("the body is larger than %d bytes", limits.MaxBodyBytes)}
	}
	attempt, fault := readAttemptID(ctx)
	if fault != nil {
		return dispatch.Request{}, "", fault
	}
	generate, fault := decodeBody(body)
	if fault != nil {
		return dispatch.Request{}, "", fault
	}
	if fault := checkFields(generate, limits.MaxDeadlineMs); fault != nil {
		return dispatch.Request{}, "", fault
	}
	route, fault := checkAllowed(table, generate)
	if fault != nil {
		return dispatch.Request{}, "", fault
	}
	timeLimit := max(time.Duration(generate.DeadlineMs)*time.Millisecond, minTimeLimit)
	return dispatch.Request{
		Attempt:    attempt,
		Route:      generate.Route,
		Tenant:     generate.House,
		Value:      route.Priority,
		Rank:       route.Rank,
		Model:      generate.Model,
		Adapter:    generate.Adapter,
		Prefix:     generate.Prefix,
		Session:    generate.Session,
		Bytes:      len(body),
		Digest:     digestOf(body),
		Deadline:   server.clock.Elapsed() + clock.Mark(timeLimit),
		Idempotent: generate.Repeatable,
		EndSession: generate.EndSession,
		MaxQueued:  route.MaxPending,
	}, generate.Prompt, nil
}

// readAttemptID gives the client's attempt id, which must come exactly once.
func readAttemptID(ctx *fasthttp.RequestCtx) (string, *requestFault) {
	attempt := string(ctx.Request.Header.Peek(callerapi.HeaderAttempt))
	if !validName(attempt) {
		return "", &requestFault{fasthttp.StatusBadRequest, callerapi.HeaderAttempt, "must be 1 to 256 plain characters"}
	}
	if len(ctx.Request.Header.PeekAll(callerapi.HeaderAttempt)) != 1 {
		return "", &requestFault{fasthttp.StatusBadRequest, callerapi.HeaderAttempt, "stands twice"}
	}
	return attempt, nil
}

// decodeBody decodes a body strictly: unknown fields and trailing data are faults.
func decodeBody(body []byte) (callerapi.Generate, *requestFault) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	var generate callerapi.Generate
	if err := decoder.Decode(&generate); err != nil {
		return generate, decodingFault(err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return generate, &requestFault{fasthttp.StatusBadRequest, "", "something follows the JSON body"}
	}
	return generate, nil
}

// decodingFault names the field that could not be decoded, as far as the decoder tells.
func decodingFault(err error) *requestFault {
	var typed *json.UnmarshalTypeError
	if errors.As(err, &typed) {
		return &requestFault{fasthttp.StatusBadRequest, typed.Field, "a " + typed.Value + " does not fit here"}
	}
	// For an unknown field the decoder gives no typed error; its message holds the name.
	if _, name, found := strings.Cut(err.Error(), "unknown field "); found {
		return &requestFault{fasthttp.StatusBadRequest, strings.Trim(name, `"`), "is not known"}
	}
	return &requestFault{fasthttp.StatusBadRequest, "", "the body is not JSON: " + strings.TrimPrefix(err.Error(), "json: ")}
}

// namedField is a field of a request by its name on the wire.
type namedField struct{ name, value string }

// checkFields checks what can be said of a request without the routing table.
func checkFields(generate callerapi.Generate, maxDeadlineMs int64) *requestFault {
	for _, field := range []namedField{{"route", generate.Route}, {"house", generate.House}, {"model", generate.Model}} {
		if field.value == "" {
			return &requestFault{fasthttp.StatusBadRequest, field.name, "is missing"}
		}
	}
	for _, field := range []namedField{{"session", generate.Session}, {"prefix", generate.Prefix}} {
		if len(field.value) > maxNameBytes {
			return &requestFault{fasthttp.StatusBadRequest, field.name, "is longer than 256 bytes"}
		}
	}
	if generate.Prompt == "" {
		return &requestFault{fasthttp.StatusBadRequest, "prompt", "is missing"}
	}
	if generate.DeadlineMs <= 0 || generate.DeadlineMs > maxDeadlineMs {
		return &requestFault{fasthttp.StatusBadRequest, "deadlineMs", fmt.Sprintf("must be from 1 to %d", maxDeadlineMs)}
	}
	return nil
}

// checkAllowed finds the route and checks that it allows the request's model and adapter to its tenant.
func checkAllowed(table *routingtable.Table, generate callerapi.Generate) (*routingtable.Route, *requestFault) {
	route, known := table.Route(generate.Route)
	switch {
	case !known:
		return nil, &requestFault{fasthttp.StatusNotFound, "route", "no such route"}
	case route.Tenant != generate.House:
		return nil, &requestFault{fasthttp.StatusForbidden, "house", "this route is not of that house"}
	}
	if _, known := table.Model(generate.Model); !known {
		return nil, &requestFault{fasthttp.StatusNotFound, "model", "no such model"}
	}
	if _, known := table.Adapter(generate.Adapter); !known && generate.Adapter != "" {
		return nil, &requestFault{fasthttp.StatusNotFound, "adapter", "no such adapter"}
	}
	if !table.Allows(generate.Route, generate.Model, "") {
		return nil, &requestFault{fasthttp.StatusForbidden, "model", "is not allowed on this route"}
	}
	if !table.Allows(generate.Route, generate.Model, generate.Adapter) {
		return nil, &requestFault{fasthttp.StatusForbidden, "adapter", "is not allowed on this route with this model"}
	}
	return route, nil
}

// digestOf tells a body from others under the same attempt id.
func digestOf(body []byte) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write(body)
	return hash.Sum64()
}

// validName says whether a name can be sent in a header unchanged.
func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for i := range len(name) {
		if name[i] <= ' ' || name[i] > '~' {
			return false
		}
	}
	return true
}
