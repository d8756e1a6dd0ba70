package daemon

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/cresspond/cresspond/connection/metrics"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/request/forwarding"
)

// metricsReadLimit is how long a request for metrics may take to be read.
const metricsReadLimit = 5 * time.Second

// Losses lists the forwarded requests that were not served here, or too late.
func (d *Daemon) Losses() []metrics.Loss {
	if d.forwarding.actor == nil {
		return nil
	}
	var losses map[forwarding.LossKey]uint64
	d.forwarding.actor.Do(func(core *forwarding.Core, _ forwarding.Environment) { losses = core.Losses() })
	out := make([]metrics.Loss, 0, len(losses))
	for key, count := range losses {
		out = append(out, metrics.Loss{Path: key.Path, Model: key.Model, Reason: key.Reason.String(), Count: count})
	}
	slices.SortFunc(out, func(a, b metrics.Loss) int {
		return cmp.Or(cmp.Compare(a.Path, b.Path), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Model, b.Model))
	})
	return out
}

// startMetrics serves metrics where the settings name an address. Where they say to wait for an address, serving
// requests does not wait for this one. Its goroutine ends with ctx.
func (d *Daemon) startMetrics(ctx context.Context) error {
	if d.config.MetricsListen == "" {
		return nil
	}
	if d.config.OnFault == daemonconfig.RetryOnFault {
		go func() {
			if listener, err := d.listeners.Open(ctx.Done(), daemonconfig.MetricsKey, d.config.MetricsListen); err == nil {
				d.serveMetrics(ctx, listener)
			}
		}()
		return nil
	}
	listener, err := d.listeners.Open(ctx.Done(), daemonconfig.MetricsKey, d.config.MetricsListen)
	if err != nil {
		return err
	}
	go d.serveMetrics(ctx, listener)
	return nil
}

// serveMetrics serves metrics until ctx ends.
func (d *Daemon) serveMetrics(ctx context.Context, listener net.Listener) {
	pages := http.NewServeMux()
	pages.Handle(d.config.MetricsPath, metrics.Handler(d))
	server := &http.Server{Handler: pages, ReadTimeout: metricsReadLimit}
	defer context.AfterFunc(ctx, func() { server.Close() })()
	d.serveOn(ctx, server, listener, daemonconfig.MetricsKey, d.config.MetricsListen)
}
