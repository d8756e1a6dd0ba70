// Package metrics serves a daemon's counters in the text form that Prometheus reads.
package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Loss is the number of requests of one path and model that were not served, or late, for one reason.
type Loss struct {
	Path, Model, Reason string
	Count               uint64
}

// Source provides the metrics. It is read at each scrape, and must be safe for concurrent use.
type Source interface {
	// EachCounter reports the daemon's counters and gauges by name.
	EachCounter(report func(name string, value uint64))
	// Losses gives the numbers of requests that were not served, or late.
	Losses() []Loss
}

// namespace is the prefix of each metric's name.
const namespace = "cresspond"

// collector reads a source at each scrape.
type collector struct {
	source Source
	losses *prometheus.Desc
}

// Describe sends no descriptions, since a daemon's roles decide which counters it has: the collector is unchecked.
func (c *collector) Describe(chan<- *prometheus.Desc) {}

// Collect reads all metrics.
func (c *collector) Collect(into chan<- prometheus.Metric) {
	c.source.EachCounter(func(name string, value uint64) {
		described := prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), "Counter or level "+name+" of the counters page.", nil, nil)
		into <- prometheus.MustNewConstMetric(described, prometheus.UntypedValue, float64(value))
	})
	for _, loss := range c.source.Losses() {
		into <- prometheus.MustNewConstMetric(c.losses, prometheus.CounterValue, float64(loss.Count), loss.Path, loss.Model, loss.Reason)
	}
}

// Handler serves a source's metrics.
func Handler(source Source) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(&collector{source: source, losses: prometheus.NewDesc(prometheus.BuildFQName(namespace, "", "requests_lost_total"),
		"Requests that were not served, or late, by path, model and reason.", []string{"path", "model", "reason"}, nil)})
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{DisableCompression: true})
}
