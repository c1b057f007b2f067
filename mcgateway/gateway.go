// Package mcgateway serves the callers' HTTP API: it decodes requests, applies limits,
// schedules the work and returns the answers in one piece or as streams.
package mcgateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcledger"
	"marigoldcroft/mclimit"
	"marigoldcroft/mcmessage"
	"marigoldcroft/mcobserve"
	"marigoldcroft/mcquarantine"
	"marigoldcroft/mcsetting"
	"marigoldcroft/mcstop"
)

const (
	headerRequestID   = "X-Request-Id"
	headerTemplate    = "X-Template"
	headerDeadline    = "X-Deadline-Ms"
	headerKey         = "Idempotency-Key"
	headerRevision    = "X-Config-Revision"
	headerConfigStale = "X-Config-Stale"

	// stoppingRetryAfter is the Retry-After while this instance is stopping. Other instances
	// can serve the caller, and retries go to them.
	stoppingRetryAfter = 50 * time.Millisecond
)

// errStopping is the cause of the end of requests that a planned stop aborts.
var errStopping = errors.New("this instance is stopping")

// Gateway serves callers. Its exported fields are set before Handler is called.
type Gateway struct {
	Identity   marigoldcroft.Identity
	Config     marigoldcroft.ConfigSource
	Engine     marigoldcroft.Engine
	Dispatcher *Dispatcher
	// Endpoint looks up an endpoint of the instance list by name.
	Endpoint func(name string) (marigoldcroft.Endpoint, bool)
	// EndpointsKnown reports whether the scheduler has been given the listed endpoints, before
	// which this instance is not ready. Nil means always.
	EndpointsKnown func() bool
	Limits         mcsetting.Limits
	Metrics        *mcobserve.Metrics
	Tracer         trace.Tracer
	Logger         zerolog.Logger

	// TeamLimits enforces the limits of teams; nil means that there are none.
	TeamLimits *mclimit.Limiter
	// Quarantine attributes endpoint crashes to requests and quarantines those that keep
	// causing them; nil disables quarantine.
	Quarantine *mcquarantine.Guard
	// AnnounceQuarantine sends changed quarantine entries to the peers before the caller can retry.
	// Its context ends after announceTimeout; nil means that there are no peers.
	AnnounceQuarantine func(ctx context.Context, entries []*mcmessage.QuarantineEntry)
	// JoinInstance returns the instance of the data centre at which identical requests are
	// joined. SuspectInstance returns the only instance of the deployment that may run a
	// crash suspect, which is a request suspected of having crashed an endpoint. Both
	// return self = true for this instance, and a nil client for an instance that cannot
	// be reached. A nil function means that this instance is the only one.
	JoinInstance    func(joinKey string) (client mcmessage.StreamServiceClient, self bool)
	SuspectInstance func(fingerprint mcquarantine.Fingerprint) (client mcmessage.StreamServiceClient, self bool)
	// LargestEngineTokens returns the KV memory, in tokens, of the model's largest engine, or 0
	// if it is unknown; nil means that it is always unknown.
	LargestEngineTokens func(model string) int64
	// Jobs and JobStatus serve durable jobs; while they are nil, requests for jobs get
	// 404.
	Jobs      marigoldcroft.JobCommand
	JobStatus marigoldcroft.JobQuery

	// Service calls plain services; while it is nil, such calls get 404.
	// ServiceEndpoints returns the endpoints of a service, least loaded first.
	Service          marigoldcroft.Service
	ServiceEndpoints func(service string) []marigoldcroft.Endpoint
	// ActionExecutor runs at-most-once calls through the ledger.
	ActionExecutor *mcledger.Executor

	stop     mcstop.Stop
	inFlight atomic.Int64
	// longRunning is the number of this instance's dispatches that run on endpoints and
	// are not of ClassShort.
	longRunning atomic.Int64
	// active counts requests and the goroutines that they started.
	active  sync.WaitGroup
	tokens  tokenEstimator
	flights flightTable
	retries mclimit.RetryBudget
	calls   callTable
	// refusedAt holds, by endpoint name, the time.Time at which its host last refused a connection.
	refusedAt sync.Map
	running   mcclock.RunningTime
}

// Handler returns the HTTP handler of the callers' API.
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

// Drain makes the readiness check fail. Requests that still arrive, or wait for an endpoint,
// are served if they are predicted to end by endBy; all others are refused as not run.
func (g *Gateway) Drain(endBy time.Time) {
	g.Dispatcher.StopBy(endBy)
	g.stop.Begin(endBy)
}

// RefuseNew makes the instance refuse requests that still arrive.
func (g *Gateway) RefuseNew() { g.stop.RefuseNew() }

// Abort ends the requests that are still in progress.
func (g *Gateway) Abort() { g.stop.Abort() }

// AbortNewest ends n of them, those that began last, and returns how many there were to end.
func (g *Gateway) AbortNewest(n int) int { return g.stop.AbortNewest(n) }

// Ending returns the number of requests that were ended by an abort and are still in progress.
func (g *Gateway) Ending() int { return g.stop.Ending() }

// Draining reports whether a planned stop has begun.
func (g *Gateway) Draining() bool { return g.stop.HasBegun() }

// InFlight returns the number of requests that this instance is processing.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// Wait blocks until all requests and the goroutines that they started have ended.
func (g *Gateway) Wait() { g.active.Wait() }

// exchange is one request of a caller, its response and the state that all handlers need.
type exchange struct {
	w      http.ResponseWriter
	r      *http.Request
	id     string
	start  time.Time
	config marigoldcroft.ConfigSnapshot
	team   marigoldcroft.Team
	// class is the scheduling class, once it is known; it is a metric label.
	class string
	// streamed is true if a problem is sent as an event of a stream that has begun, and
	// not as the response.
	streamed bool
	// notRunCoversKey is true if NotRun of a problem also holds for earlier requests with
	// the same idempotency key, not only for this request.
	notRunCoversKey bool
}

// kindService is the request kind of calls of plain services.
const kindService = "service"

// handler serves one exchange. A problem that it returns is sent as the response, unless
// the response is a stream that has begun.
type handler func(x *exchange) *Problem

// wrap adds to a handler what every request needs: request ID, in-flight limit,
// authentication, trace span, metrics and log line.
func (g *Gateway) wrap(kind string, serve handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		g.active.Add(1)
		defer g.active.Done()
		g.Metrics.InFlight.Inc()
		defer g.Metrics.InFlight.Dec()
		ctx := mcobserve.Propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := g.Tracer.Start(ctx, "entry "+kind, trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		ctx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		defer g.stop.OnAbort(func() { cancel(errStopping) })()
		x := &exchange{w: w, r: r.WithContext(ctx), id: uuid.NewString(), start: time.Now()}
		span.SetAttributes(attribute.String("request.id", x.id))
		w.Header().Set(headerRequestID, x.id)
		if g.stop.HasBegun() {
			w.Header().Set("Connection", "close")
		}
		n := g.inFlight.Add(1)
		defer g.inFlight.Add(-1)
		var problem *Problem
		switch {
		case g.stop.RefusesNew():
			problem = stoppingProblem()
		case n > int64(g.Limits.MaxInFlight):
			problem = notRun(CodeOverloaded, "this instance has its largest number of requests").withRetryAfter(time.Second)
		default:
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

// finishRequest sends the problem, if any, and records the request's metrics and log
// line.
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
	if g.EndpointsKnown != nil && !g.EndpointsKnown() {
		http.Error(w, "no endpoints yet", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
