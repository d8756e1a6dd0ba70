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

// TenantCounts are the numbers of requests and tokens of one tenant; those of all tenants that are not counted one by one
// stand under an empty name.
type TenantCounts struct {
	Tenant                             string
	Granted, OnCredit, Refused, Lapsed uint64
}

// Source provides the metrics. It is read at each scrape, and must be safe for concurrent use.
type Source interface {
	// EachCounter reports the daemon's counters and gauges by name.
	EachCounter(report func(name string, value uint64))
	// Losses gives the numbers of requests that were not served, or late.
	Losses() []Loss
	// TenantCounts gives the numbers of limited tenants, of a bounded number of them.
	TenantCounts() []TenantCounts
	// UnknownKeys is the number of requests refused since they bore no known key. They are no tenant's.
	UnknownKeys() uint64
}

// namespace is the prefix of each metric's name.
const namespace = "cresspond"

// Reasons for which requests are refused by what they are of a tenant's.
const (
	reasonUnknownKey = "unknown_key"
	reasonOverQuota  = "over_quota"
)

// collector reads a source at each scrape.
type collector struct {
	source Source
	losses *prometheus.Desc
	// granted to refused are of tenants.
	granted, onCredit, lapsed, refused *prometheus.Desc
}

func newCollector(source Source) *collector {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
	}
	return &collector{
		source:   source,
		losses:   describe("requests_lost_total", "Requests that were not served, or late, by path, model and reason.", "path", "model", "reason"),
		granted:  describe("tenant_requests_granted_total", "Requests that the limits of tenants allowed.", "tenant"),
		onCredit: describe("tenant_requests_on_credit_total", "Requests that were allowed on credit, without the leader.", "tenant"),
		lapsed:   describe("tenant_tokens_lapsed_total", "Tokens of tenants that lapsed unspent.", "tenant"),
		refused:  describe("tenant_requests_refused_total", "Requests refused for an unknown key or beyond a tenant's limit.", "tenant", "reason"),
	}
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
		into <- counted(c.losses, loss.Count, loss.Path, loss.Model, loss.Reason)
	}
	for _, tenant := range c.source.TenantCounts() {
		into <- counted(c.granted, tenant.Granted, tenant.Tenant)
		into <- counted(c.onCredit, tenant.OnCredit, tenant.Tenant)
		into <- counted(c.lapsed, tenant.Lapsed, tenant.Tenant)
		into <- counted(c.refused, tenant.Refused, tenant.Tenant, reasonOverQuota)
	}
	if unknown := c.source.UnknownKeys(); unknown > 0 {
		into <- counted(c.refused, unknown, "", reasonUnknownKey)
	}
}

// counted makes a sample of a counter.
func counted(described *prometheus.Desc, count uint64, labels ...string) prometheus.Metric {
	return prometheus.MustNewConstMetric(described, prometheus.CounterValue, float64(count), labels...)
}

// Handler serves a source's metrics.
func Handler(source Source) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(newCollector(source))
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{DisableCompression: true})
}
