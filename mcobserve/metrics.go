package mcobserve

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// latencyBuckets in seconds range from the first token of a fast request to the duration
// of a long job.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .2, .42, .75, 1.5, 3, 6, 12, 30, 60, 120, 300, 900}

// Metrics holds the collectors of one process. They are safe for concurrent use.
type Metrics struct {
	registry *prometheus.Registry

	// Requests counts finished requests by kind (model, service, job), class and code.
	Requests *prometheus.CounterVec
	// InFlight is the number of requests that this instance is handling.
	InFlight prometheus.Gauge
	// FirstToken is the time to first token in seconds, by class and urgency.
	FirstToken *prometheus.HistogramVec
	// QueueWait is the time in the scheduler's queue in seconds, by class.
	QueueWait *prometheus.HistogramVec
	// HeadOfLine is the queue wait in seconds of short requests while long ones were
	// dispatched, which shows head-of-line blocking.
	HeadOfLine prometheus.Histogram
	// Refusals counts rejected requests by reason.
	Refusals *prometheus.CounterVec
	// RejectedConnections counts connections that were rejected by a bound on what clients may hold,
	// by listener and bound (memory, connections).
	RejectedConnections *prometheus.CounterVec
	// Attempts counts attempts on endpoints by result.
	Attempts *prometheus.CounterVec
	// ColdGrants counts the requests to cold endpoints by what the owner of their limit answered.
	ColdGrants *prometheus.CounterVec
	// ColdEndpoints is the number of endpoints that are cold and limit their requests.
	ColdEndpoints prometheus.Gauge
	// Mismatches counts stream events that were discarded because they belong to another
	// request or attempt.
	Mismatches prometheus.Counter
	// Joined counts requests that joined an identical request already running.
	Joined prometheus.Counter
	// ConfigRevision is the configuration revision that the instance applies.
	ConfigRevision prometheus.Gauge
	// ConfigStale is 1 if the configuration was not confirmed to be current within the
	// staleness limit.
	ConfigStale prometheus.Gauge
	// ControlBytes counts bytes of the state exchange between peers by direction.
	ControlBytes *prometheus.CounterVec
	// Evacuated is the number of evacuated data centres, and EvacuatedRequests the number of requests
	// of this instance that run there.
	Evacuated, EvacuatedRequests prometheus.Gauge
	// EvacuationChanges counts the changes of evacuations by their source, store or peer.
	EvacuationChanges *prometheus.CounterVec
	// EvacuationChecks counts the checks of the evacuations after a suspension by outcome.
	EvacuationChecks *prometheus.CounterVec
	// Actions counts at-most-once actions by result.
	Actions *prometheus.CounterVec
}

// NewMetrics returns collectors that are registered in a new registry.
func NewMetrics() *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry()}
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.Requests = m.counters("requests_total", "Ended requests.", "kind", "class", "code")
	m.InFlight = m.gauge("requests_in_flight", "Requests in this instance.")
	m.FirstToken = m.histograms("first_token_seconds", "Time to first token.", "class", "urgency")
	m.QueueWait = m.histograms("queue_wait_seconds", "Time in the scheduler's queue.", "class")
	m.HeadOfLine = m.histograms("head_of_line_seconds", "Queue wait of short work while long work was dispatched.").WithLabelValues().(prometheus.Histogram)
	m.Refusals = m.counters("refusals_total", "Refused requests.", "reason")
	m.RejectedConnections = m.counters("rejected_connections_total", "Connections rejected by a bound on what clients may hold.", "listener", "bound")
	m.Attempts = m.counters("attempts_total", "Attempts on endpoints.", "result")
	m.ColdGrants = m.counters("cold_grants_total", "Requests to cold endpoints by the answer of the owner of the limit.", "result")
	m.ColdEndpoints = m.gauge("cold_endpoints", "Endpoints that are cold and limit their requests.")
	m.Mismatches = m.counters("stream_mismatches_total", "Discarded events of other requests or attempts.").WithLabelValues()
	m.Joined = m.counters("joined_requests_total", "Requests that joined a running twin.").WithLabelValues()
	m.ConfigRevision = m.gauge("config_revision", "Configuration revision in force.")
	m.ConfigStale = m.gauge("config_stale", "1 when the configuration was not confirmed within the bound.")
	m.ControlBytes = m.counters("control_bytes_total", "Bytes of the peer exchange.", "direction")
	m.Evacuated = m.gauge("evacuated_data_centres", "Evacuated data centres.")
	m.EvacuatedRequests = m.gauge("evacuated_requests", "Requests of this instance that run in evacuated data centres.")
	m.EvacuationChanges = m.counters("evacuation_changes_total", "Evacuations that began or ended.", "source")
	m.EvacuationChecks = m.counters("evacuation_checks_total", "Checks of the evacuations after a suspension.", "outcome")
	m.Actions = m.counters("actions_total", "At-most-once actions.", "result")
	return m
}

// Registry returns the registry, so that other packages can register collectors.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func (m *Metrics) counters(name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "marigoldcroft", Name: name, Help: help}, labels)
	m.registry.MustRegister(c)
	return c
}

func (m *Metrics) histograms(name, help string, labels ...string) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: "marigoldcroft", Name: name, Help: help, Buckets: latencyBuckets,
	}, labels)
	m.registry.MustRegister(h)
	return h
}

func (m *Metrics) gauge(name, help string) prometheus.Gauge {
	g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "marigoldcroft", Name: name, Help: help})
	m.registry.MustRegister(g)
	return g
}
