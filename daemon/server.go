package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/connection/gateway"
	"github.com/cresspond/cresspond/connection/sessionapi"
	"github.com/cresspond/cresspond/daemon/listener"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/wire/callerapi"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

const (
	// callerReadLimit is how long a request may take to be read.
	callerReadLimit = 20 * time.Second
	// callerWriteLimit is how long a response may take to be written.
	callerWriteLimit = 5 * time.Minute
	// keepAliveLimit is how long connections may idle where the configuration in force allows no more. A server waits
	// for longer than callerReadLimit only while a connection idles, by which listener.KeepAliveListener knows one.
	keepAliveLimit = time.Minute
)

const (
	maxCallerBody = 4 << 20
	// maxHeader bounds a request's header; configurations allow less.
	maxHeader = 32 << 10
	// maxConfigurationBody leaves room for the largest configuration and what goes with it.
	maxConfigurationBody = document.MaxBytes + 64<<10
)

// bodyLimit lets only requests that carry a configuration be as large as one may be.
func bodyLimit(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	// Configurations are applied in one step by PUT and PATCH, whatever the deployment calls the path.
	method := string(header.Method())
	if string(header.RequestURI()) == operatorapi.PathPropose || method == http.MethodPut || method == http.MethodPatch {
		return fasthttp.RequestConfig{MaxRequestBodySize: maxConfigurationBody}
	}
	return fasthttp.RequestConfig{}
}

// discardLogger drops the server library's own log lines: broken connections are counted instead.
type discardLogger struct{}

// Printf drops a line.
func (discardLogger) Printf(string, ...any) {}

// badRequest answers a request that could not be parsed as HTTP.
func badRequest(ctx *fasthttp.RequestCtx, err error) {
	status, reason := unreadable(err)
	sessionapi.Fail(ctx, status, callerapi.Error{
		Outcome: callerapi.Invalid,
		Reason:  "the request cannot be read: " + reason,
	})
	ctx.SetConnectionClose()
}

// unreadable returns the status and the reason for a request that could not be parsed. The library's own text is not given
// on: it quotes the request, and with it the client's key.
func unreadable(err error) (status int, reason string) {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case err == fasthttp.ErrBodyTooLarge:
		return fasthttp.StatusRequestEntityTooLarge, "its body is larger than is allowed here"
	case errors.As(err, &small):
		return fasthttp.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("its header is larger than %d bytes", maxHeader)
	}
	return fasthttp.StatusBadRequest, "its header or its framing is malformed, or it did not come in full"
}

// badCallerRequest is badRequest for callers. The body limit there follows from the table in force, so the gateway
// answers for bodies that are too large.
func (d *Daemon) badCallerRequest(ctx *fasthttp.RequestCtx, err error) {
	if err == fasthttp.ErrBodyTooLarge && d.isForwarded(ctx, string(ctx.Path())) {
		d.forwarding.gateway.HandleUnread(ctx, fasthttp.StatusRequestEntityTooLarge)
		return
	}
	badRequest(ctx, err)
}

// maxConnections is how many connections a listener keeps open: callers must leave descriptors for engines, peers and
// files.
func maxConnections(descriptors int) int {
	const (
		most, least = 8192, 64
		forFiles    = 200
		share       = 60
	)
	if descriptors == 0 {
		return most
	}
	return max(least, min(most, (descriptors-forFiles)*share/100))
}

// server returns the HTTP server of one listener.
func (d *Daemon) server(handle fasthttp.RequestHandler, limits func(*fasthttp.RequestHeader) fasthttp.RequestConfig) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               handle,
		Name:                  "cresspond",
		HeaderReceived:        limits,
		MaxRequestBodySize:    maxCallerBody,
		ReadBufferSize:        maxHeader,
		ReadTimeout:           callerReadLimit,
		WriteTimeout:          callerWriteLimit,
		IdleTimeout:           keepAliveLimit,
		Concurrency:           maxConnections(d.config.Machine.MaxFileDescriptors),
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		Logger:                discardLogger{},
		ErrorHandler:          badRequest,
		// A form is a caller's body like any other, and is forwarded byte for byte.
		DisablePreParseMultipartForm: true,
	}
}

// handle serves the caller's address.
func (d *Daemon) handle(ctx *fasthttp.RequestCtx) {
	d.closeIfDraining(ctx)
	path := string(ctx.Path())
	switch {
	case d.isForwarded(ctx, path):
		d.forwarding.gateway.Handle(ctx)
	case d.config.Serves(daemonconfig.Route) && d.config.OpaqueOnly:
		// Nothing else is served there, also by a daemon that was made without forwarding.
		sessionapi.Fail(ctx, fasthttp.StatusServiceUnavailable, callerapi.Error{
			Outcome: callerapi.Unknown,
			Reason:  "no paths are in force here yet",
		})
	case path == callerapi.PathGenerate && d.config.Serves(daemonconfig.Route):
		d.sessionAPI.Handle(ctx)
	default:
		d.serveOperators(ctx)
	}
}

// closeIfDraining closes the connection after the answer of a draining daemon, so that the caller connects elsewhere.
func (d *Daemon) closeIfDraining(ctx *fasthttp.RequestCtx) {
	if d.draining.Load() {
		ctx.SetConnectionClose()
	}
}

// handleOperator serves the operators' address.
func (d *Daemon) handleOperator(ctx *fasthttp.RequestCtx) {
	d.closeIfDraining(ctx)
	d.serveOperators(ctx)
}

// serveOperators serves operators and engines.
func (d *Daemon) serveOperators(ctx *fasthttp.RequestCtx) {
	for _, handler := range d.controlHandlers {
		if handler.Handle(ctx) {
			return
		}
	}
	d.adminAPI.Handle(ctx, string(ctx.Path()))
}

// readyPages are the pages of the readiness address, which is read-only.
var readyPages = []string{operatorapi.PathReady, operatorapi.PathLive, operatorapi.PathCounters, operatorapi.PathStatus}

// handleReady serves the readiness address.
func (d *Daemon) handleReady(ctx *fasthttp.RequestCtx) {
	for _, handler := range d.readinessHandlers {
		if handler.Handle(ctx) {
			return
		}
	}
	path := string(ctx.Path())
	if !slices.Contains(readyPages, path) {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	d.adminAPI.Handle(ctx, path)
	if path == operatorapi.PathReady && ctx.Response.StatusCode() != fasthttp.StatusOK && d.draining.Load() {
		select {
		case d.unreadyAnswered <- struct{}{}:
		default:
		}
	}
}

// isForwarded says whether the gateway serves a request: all that the daemon itself doesn't, and the paths that the
// configuration in force names.
func (d *Daemon) isForwarded(ctx *fasthttp.RequestCtx, path string) bool {
	if !d.forwards() {
		return false
	}
	if d.config.OpaqueOnly || !strings.HasPrefix(path, "/v1/") && !slices.Contains(readyPages, path) {
		return true
	}
	index := d.forwardIndex()
	if index == nil {
		return false
	}
	_, found := index.Lookup(string(ctx.Request.Header.Host()), path)
	return found
}

// callerLimits lets a forwarded request be as large as the configuration in force allows.
func (d *Daemon) callerLimits(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	index := d.forwardIndex()
	if !d.forwards() || index == nil {
		return bodyLimit(header)
	}
	if !d.config.OpaqueOnly {
		if _, found := index.Lookup(string(header.Host()), gateway.PathOf(header.RequestURI())); !found {
			return bodyLimit(header)
		}
	}
	return fasthttp.RequestConfig{MaxRequestBodySize: int(index.Section.Limits.MaxBodyBytes)}
}

// serveOn runs a server on a listener until the daemon stops, and ends the daemon at a fault that is not retried.
func (d *Daemon) serveOn(ctx context.Context, server listener.Server, opened net.Listener, setting, address string) {
	if err := d.listeners.Serve(ctx, server, opened, setting, address, d.draining.Load); err != nil {
		d.abort(err)
	}
}
