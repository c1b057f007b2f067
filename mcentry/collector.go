package mcentry

import (
	"github.com/prometheus/client_golang/prometheus"

	"marigoldcroft/mcstore"
)

// storeCollector exports the counters of the object store clients, keyed by their use.
type storeCollector map[string]*mcstore.Client

var (
	storeCalls = prometheus.NewDesc("marigoldcroft_store_calls_total",
		"Calls of the object store by kind; overBudget and breakerOpen were not made.", []string{"use", "kind"}, nil)
	storeBreaker = prometheus.NewDesc("marigoldcroft_store_breaker_state",
		"0 closed, 1 half open, 2 open.", []string{"use"}, nil)
)

// Describe implements prometheus.Collector.
func (c storeCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- storeCalls
	descriptions <- storeBreaker
}

// Collect implements prometheus.Collector.
func (c storeCollector) Collect(metrics chan<- prometheus.Metric) {
	for use, client := range c {
		n := client.Counts()
		for kind, count := range map[string]uint64{
			"get": n.Get, "list": n.List, "watch": n.Watch, "put": n.Put, "delete": n.Delete,
			"overBudget": n.RateLimited, "breakerOpen": n.BreakerOpen, "failed": n.Failed, "unknown": n.Unknown, "resolved": n.Resolved,
		} {
			metrics <- prometheus.MustNewConstMetric(storeCalls, prometheus.CounterValue, float64(count), use, kind)
		}
		metrics <- prometheus.MustNewConstMetric(storeBreaker, prometheus.GaugeValue, float64(client.Breaker()), use)
	}
}
