// Package metrics serves a daemon's counters in the text form that Prometheus reads.
package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Loss is how many requests of one path and model were not served, or late, for one reason.
type Loss struct {
	Path, Model, Reason string
	Count               uint64
}

// Source is where the figures are read, at each request for them.
type Source interface {
	// EachCounter gives the daemon's counters and levels by name.
	EachCounter(say func(name string, value uint64))
	// Losses lists the requests that were not served, or late.
	Losses() []Loss
}

// namespace begins the name of each figure.
const namespace = "cresspond"

// collector reads a source whenever somebody asks.
type collector struct {
	source Source
	losses *prometheus.Desc
}

// Describe names nothing beforehand, since a daemon's roles decide which counters it has.
func (c *collector) Describe(chan<- *prometheus.Desc) {}

// Collect reads all figures.
func (c *collector) Collect(into chan<- prometheus.Metric) {
	c.source.EachCounter(func(name string, value uint64) {
		described := prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), "Counter or level "+name+" of the counters page.", nil, nil)
		into <- prometheus.MustNewConstMetric(described, prometheus.UntypedValue, float64(value))
	})
	for _, loss := range c.source.Losses() {
		into <- prometheus.MustNewConstMetric(c.losses, prometheus.CounterValue, float64(loss.Count), loss.Path, loss.Model, loss.Reason)
	}
}

// Handler serves the figures of a source.
func Handler(source Source) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(&collector{source: source, losses: prometheus.NewDesc(prometheus.BuildFQName(namespace, "", "requests_lost_total"),
		"Requests that were not served, or late, by path, model and reason.", []string{"path", "model", "reason"}, nil)})
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{DisableCompression: true})
}
