package daemon

import (
	"context"
	"errors"
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
	// keepAliveLimit is how long connections may idle where the configuration in force allows no more. A server waits
	// for longer than callerReadLimit only while a connection idles, by which listener.KeepAliveListener knows one.
	keepAliveLimit = time.Minute
)

const (
	maxCallerBody = 4 << 20
	// maxHeader bounds a request's head; what bundles allow is less.
	maxHeader = 32 << 10
	// maxConfigurationBody leaves room for a bundle's largest size and what is said around it.
	maxConfigurationBody = document.MaxBytes + 64<<10
)

// bodyLimit lets only what holds a bundle be as large as a bundle may be.
func bodyLimit(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	// Bundles are put in force in one step by PUT and PATCH, whatever a deployment calls the path.
	method := string(header.Method())
	if string(header.RequestURI()) == operatorapi.PathPropose || method == http.MethodPut || method == http.MethodPatch {
		return fasthttp.RequestConfig{MaxRequestBodySize: maxConfigurationBody}
	}
	return fasthttp.RequestConfig{}
}

// discardLogger drops the library's own lines: broken connections are counted, not told.
type discardLogger struct{}

// Printf drops a line.
func (discardLogger) Printf(string, ...any) {}

// badRequest answers what could not even be read as HTTP.
func badRequest(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var small *fasthttp.ErrSmallBuffer
	switch {
	case err == fasthttp.ErrBodyTooLarge:
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &small):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	sessionapi.Fail(ctx, status, callerapi.Error{Outcome: callerapi.Invalid, Reason: "the request cannot be read: " + err.Error()})
	ctx.SetConnectionClose()
}

// badCallerRequest is badRequest where callers come in: how large a body is read there follows from the table in force, and
// that may be old.
func (d *Daemon) badCallerRequest(ctx *fasthttp.RequestCtx, err error) {
	if err == fasthttp.ErrBodyTooLarge && d.isForwarded(ctx, string(ctx.Path())) {
		d.forwarding.gateway.HandleUnread(ctx, fasthttp.StatusRequestEntityTooLarge)
		return
	}
	badRequest(ctx, err)
}

// maxConnections is how many connections a listener keeps open: what callers take must leave descriptors for
// engines, peers and files.
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

// server is one listener's server.
func (d *Daemon) server(handle fasthttp.RequestHandler, limits func(*fasthttp.RequestHeader) fasthttp.RequestConfig) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: handle, Name: "cresspond", MaxRequestBodySize: maxCallerBody, HeaderReceived: limits, ReadTimeout: callerReadLimit, WriteTimeout: 5 * time.Minute,
		IdleTimeout: keepAliveLimit, NoDefaultServerHeader: true, Concurrency: maxConnections(d.config.Machine.MaxFileDescriptors), CloseOnShutdown: true, Logger: discardLogger{}, ReadBufferSize: maxHeader,
		// A form is some caller's body like any other, and goes on byte for byte.
		ErrorHandler: badRequest, DisablePreParseMultipartForm: true,
	}
}

// handle serves what comes to Listen.
func (d *Daemon) handle(ctx *fasthttp.RequestCtx) {
	d.closeIfDraining(ctx)
	path := string(ctx.Path())
	switch {
	case d.isForwarded(ctx, path):
		d.forwarding.gateway.Handle(ctx)
	case d.config.Serves(daemonconfig.Route) && d.config.OpaqueOnly:
		// Nothing else is served there, not even by a daemon put together without forwarding.
		sessionapi.Fail(ctx, fasthttp.StatusServiceUnavailable, callerapi.Error{Outcome: callerapi.Unknown, Reason: "no paths are in force here yet"})
	case path == callerapi.PathGenerate && d.config.Serves(daemonconfig.Route):
		d.sessionAPI.Handle(ctx)
	default:
		d.serveOperators(ctx)
	}
}

// closeIfDraining lets whoever is answered by a stopping daemon connect elsewhere next time.
func (d *Daemon) closeIfDraining(ctx *fasthttp.RequestCtx) {
	if d.draining.Load() {
		ctx.SetConnectionClose()
	}
}

// handleOperator serves what comes to OperatorListen.
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

// readyPages are what ReadyListen serves: it is for looking only.
var readyPages = []string{operatorapi.PathReady, operatorapi.PathLive, operatorapi.PathCounters, operatorapi.PathStatus}

// handleReady serves what comes to ReadyListen.
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

// isForwarded says whether a request is for the gateway: all that the product itself does not serve, and
// what the bundle in force names outright.
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

// callerLimits lets a request be as large as the bundle in force allows on paths of opaque requests.
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
