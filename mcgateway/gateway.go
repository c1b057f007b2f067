// Package mcgateway is the callers' interface: it decodes requests, applies limits,
// drives the scheduler and streams whole answers back.
package mcgateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"marigoldcroft"
	"marigoldcroft/mcledger"
	"marigoldcroft/mclimit"
	"marigoldcroft/mcmessage"
	"marigoldcroft/mcobserve"
	"marigoldcroft/mcquarantine"
	"marigoldcroft/mcsetting"
)

const (
	headerRequestID   = "X-Request-Id"
	headerTemplate    = "X-Template"
	headerDeadline    = "X-Deadline-Ms"
	headerKey         = "Idempotency-Key"
	headerRevision    = "X-Config-Revision"
	headerConfigStale = "X-Config-Stale"
)

// Gateway serves callers. Its exported fields are set before Handler is called.
type Gateway struct {
	Identity   marigoldcroft.Identity
	Config     marigoldcroft.ConfigSource
	Engine     marigoldcroft.Engine
	Dispatcher *Dispatcher
	// Endpoint returns the endpoint with the name, as the instance list shows it.
	Endpoint func(name string) (marigoldcroft.Endpoint, bool)
	Limits   mcsetting.Limits
	Metrics  *mcobserve.Metrics
	Tracer   trace.Tracer
	Logger   zerolog.Logger

	// Teams enforces the limits of teams; nil means that there are none.
	Teams *mclimit.Limiter
	// Suspects attributes crashes of endpoints; nil means that nothing is quarantined.
	Suspects *mcquarantine.Guard
	// Announce tells peers of changed entries before the caller can try again. Its
	// context ends after announceTimeout; nil means that there are no peers.
	Announce func(ctx context.Context, entries []*mcmessage.QuarantineEntry)
	// Home finds the instance of the data centre at which identical requests meet, and
	// SuspectHome the instance of the deployment that alone runs a suspect. Both return
	// self for this instance and a nil client for one that cannot be reached; a nil
	// function means that this instance is the only one.
	Home        func(joinKey string) (client mcmessage.StreamServiceClient, self bool)
	SuspectHome func(fingerprint mcquarantine.Fingerprint) (client mcmessage.StreamServiceClient, self bool)
	// LargestEngine returns the KV memory, in tokens, of the largest engine of the model
	// or 0 when it is unknown; nil means that it is always unknown.
	LargestEngine func(model string) int64
	// Jobs and JobStatus serve durable jobs; requests for jobs get 404 while they are nil.
	Jobs      marigoldcroft.JobCommand
	JobStatus marigoldcroft.JobQuery

	// Service calls plain services; calls of them get 404 while it is nil. Services
	// returns the endpoints of a service, the least loaded first.
	Service  marigoldcroft.Service
	Services func(service string) []marigoldcroft.Endpoint
	// Actions runs the calls that may run at most once.
	Actions *mcledger.Executor

	// draining is true from the start of a planned stop.
	draining atomic.Bool
	inFlight atomic.Int64
	// longRunning counts long work that this instance has on endpoints.
	longRunning atomic.Int64
	active      sync.WaitGroup
	tokens      tokenEstimator
	flights     flightTable
	retries     mclimit.RetryBudget
}

// Handler returns the callers' HTTP interface.
func (g *Gateway) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", g.wrap("model", g.serveChat))
	mux.HandleFunc("POST /v1/jobs", g.wrap("job", g.serveJobSubmit))
	mux.HandleFunc("GET /v1/jobs/{id}", g.wrap("jobQuery", g.serveJobQuery))
	mux.HandleFunc("GET /v1/jobs/{id}/stream", g.wrap("jobStream", g.serveJobStream))
	mux.HandleFunc("/v1/services/{service}/{path...}", g.wrap(kindService, g.serveService))
	mux.HandleFunc("GET /healthz", g.serveHealth)
	mux.HandleFunc("GET /readyz", g.serveReady)
	mux.Handle("GET /metrics", g.Metrics.Handler())
	return mux
}

// Drain makes the instance unready; requests that still arrive are served.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Draining tells whether a planned stop has begun.
func (g *Gateway) Draining() bool { return g.draining.Load() }

// InFlight returns the number of requests in this instance.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// Wait returns when no request is in this instance.
func (g *Gateway) Wait() { g.active.Wait() }

// exchange is one request of a caller with what all handlers need.
type exchange struct {
	w      http.ResponseWriter
	r      *http.Request
	id     string
	start  time.Time
	config marigoldcroft.ConfigSnapshot
	team   marigoldcroft.Team
	// class is the metric label of the work, once it is known.
	class string
	// streamed is true when the answer began and its problem was sent as an event.
	streamed bool
	// notRunCoversKey is true when a problem's NotRun speaks of the idempotency key and not
	// only of this try.
	notRunCoversKey bool
}

// kindService is the kind of requests for plain services.
const kindService = "service"

// handler serves one exchange; a problem is sent unless the answer has begun.
type handler func(x *exchange) *Problem

// wrap wraps a handler with what each request needs: id, limits, team, span, log line.
func (g *Gateway) wrap(kind string, serve handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		g.active.Add(1)
		defer g.active.Done()
		g.Metrics.InFlight.Inc()
		defer g.Metrics.InFlight.Dec()
		ctx := mcobserve.Propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := g.Tracer.Start(ctx, "entry "+kind, trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		x := &exchange{w: w, r: r.WithContext(ctx), id: uuid.NewString(), start: time.Now()}
		span.SetAttributes(attribute.String("request.id", x.id))
		w.Header().Set(headerRequestID, x.id)
		n := g.inFlight.Add(1)
		defer g.inFlight.Add(-1)
		var problem *Problem
		if n > int64(g.Limits.MaxInFlight) {
			problem = notRun(CodeOverloaded, "this instance has its largest number of requests").withRetryAfter(time.Second)
		} else {
			problem = g.serve(x, serve)
		}
		g.finishRequest(x, kind, problem)
	}
}

func (g *Gateway) serve(x *exchange, serve handler) *Problem {
	x.config = g.Config.Current()
	g.setConfigHeaders(x)
	if problem := g.authenticate(x); problem != nil {
		return problem
	}
	return serve(x)
}

func (g *Gateway) setConfigHeaders(x *exchange) {
	header := x.w.Header()
	header.Set(headerRevision, formatUint(x.config.Revision()))
	if g.Config.Stale() {
		header.Set(headerConfigStale, "true")
	}
}

// finishRequest sends the problem, if any, and writes the request's metrics and log line.
func (g *Gateway) finishRequest(x *exchange, kind string, problem *Problem) {
	code := "ok"
	if problem != nil {
		if kind == kindService {
			withdrawNotRun(x, problem)
		}
		problem.RequestID = x.id
		code = string(problem.Code)
		if !x.streamed {
			problem.write(x.w)
		}
	}
	g.Metrics.Requests.WithLabelValues(kind, x.class, code).Inc()
	event := g.Logger.Info().Str("requestId", x.id).Str("kind", kind).Str("team", x.team.Name()).
		Str("class", x.class).Str("code", code).Dur("elapsedMs", time.Since(x.start))
	if problem != nil {
		event = event.Bool("notRun", problem.NotRun)
	}
	event.Msg("requestEnded")
}

func (g *Gateway) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if g.Draining() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	if g.Config.Current().Revision() == 0 {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
