// Package mcentry assembles an entry instance from its components, runs it and shuts it
// down gracefully. Entry serves the chat interface, jobs and actions; Forwarding proxies
// HTTP requests on the users' platform.
package mcentry

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"marigoldcroft"
	"marigoldcroft/mcconfig"
	"marigoldcroft/mcengine"
	"marigoldcroft/mcgateway"
	"marigoldcroft/mcjob"
	"marigoldcroft/mcledger"
	"marigoldcroft/mclimit"
	"marigoldcroft/mcobserve"
	"marigoldcroft/mcorder"
	"marigoldcroft/mcpeer"
	"marigoldcroft/mcquarantine"
	"marigoldcroft/mcservice"
	"marigoldcroft/mcsetting"
	"marigoldcroft/mcstop"
	"marigoldcroft/mcstore"
)

// Kind classifies an error of an entry instance.
type Kind string

// Error is the error type of the package.
type Error = marigoldcroft.Failure[Kind]

// The kinds of errors of an entry instance.
const (
	KindStart Kind = "cannot start"
	KindServe Kind = "cannot serve"
	// KindStopLimit means that the graceful shutdown reached its limit and ended requests
	// that were still running.
	KindStopLimit Kind = "stop limit reached"
	// KindDeclaredGone means that the instance shut down because peers had declared this run of
	// it gone.
	KindDeclaredGone Kind = "run given up by peers"
)

const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	traceFlush    = 2 * time.Second
)

// Entry is one entry instance. Its exported fields are set before Run.
type Entry struct {
	Settings mcsetting.Settings
	// Output receives the log lines and, with the stdout exporter, the spans.
	Output io.Writer
	// Abort, when closed, ends a graceful shutdown immediately. Nil means never.
	Abort <-chan struct{}
	// Faults blocks peer traffic in tests; otherwise nil.
	Faults *mcpeer.PartitionInjector

	identity      marigoldcroft.Identity
	output        *mcobserve.BoundedWriter
	logger        zerolog.Logger
	metrics       *mcobserve.Metrics
	tracing       *sdktrace.TracerProvider
	engine        *mcengine.Client
	store         *mcstore.Client
	ledgerStore   *mcstore.Client
	follower      *mcconfig.Follower
	scheduler     marigoldcroft.Scheduler
	dispatcher    *mcgateway.Dispatcher
	limiter       *mclimit.Limiter
	teamFractions *teamFractions
	quarantine    *mcquarantine.Guard
	membership    *membership
	watcher       *watcher
	gateway       *mcgateway.Gateway
	service       *mcservice.Client
	ledger        *mcledger.Ledger
	actions       *mcledger.Executor
	jobs          *mcjob.Jobs
	reconciler    *mcorder.StreamReconciler
	peers         *mcpeer.Server

	clients     clients
	callers     net.Listener
	admin       net.Listener
	credentials *mcpeer.Credentials
	// drain is closed to begin a graceful shutdown: by an operator's command, or because
	// peers have declared this run gone.
	drain        chan struct{}
	drainOnce    sync.Once
	declaredGone atomic.Bool
	peerAddress  string
	tasks        sync.WaitGroup
}

// Run starts the instance and serves until ctx is cancelled, which begins a graceful
// shutdown: the instance reports that it is not ready, accepts requests for the lame-duck
// time, and returns when no request is left.
func (e *Entry) Run(ctx context.Context) error {
	if err := e.Start(ctx); err != nil {
		return err
	}
	return e.Serve(ctx)
}

// Start builds the components and opens the listeners, after which CallerAddress,
// PeerAddress and AdminAddress are known.
func (e *Entry) Start(ctx context.Context) error {
	e.output = mcobserve.NewBoundedWriter(e.Output, logQueueLength)
	if err := e.start(ctx); err != nil {
		e.output.Close()
		return err
	}
	return nil
}

func (e *Entry) start(ctx context.Context) error {
	s := e.Settings
	salt := rand.Uint64()
	e.identity = marigoldcroft.NewIdentity(s.Deployment, s.Region, s.DataCentre, s.Instance, time.Now(), salt)
	e.logger = mcobserve.NewLogger(e.output, s.Log.Level).With().Str("instance", s.Instance).Logger()
	e.metrics = mcobserve.NewMetrics()
	tracing, err := mcobserve.NewTracerProvider(ctx, s.Trace, s.Instance, e.output)
	if err != nil {
		return marigoldcroft.NewFailure("start", KindStart, err)
	}
	e.tracing = tracing
	return e.open(salt)
}

// open opens the listeners and builds the components, which need the listeners' addresses.
func (e *Entry) open(seed uint64) error {
	e.drain = make(chan struct{})
	credentials, err := e.readCredentials()
	if err != nil {
		return err
	}
	e.credentials = credentials
	if memory := e.Settings.Forward.MemoryMB; memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(memory) * (1 << 20)))
	}
	e.clients = newClients(e.Settings, e.metrics, e.logger)
	e.peers = &mcpeer.Server{
		Address: e.Settings.PeerAddress, Identity: e.identity, Credentials: credentials,
		TracerProvider: e.tracing, Faults: e.Faults, Logger: e.logger, Register: e.registerServices, Connections: e.clients.peers,
	}
	peerAddress, err := e.peers.Listen()
	if err != nil {
		return marigoldcroft.NewFailure("listen for peers", KindStart, err)
	}
	if e.callers, err = net.Listen("tcp", e.Settings.CallerAddress); err != nil {
		return marigoldcroft.NewFailure("listen for callers", KindStart, err)
	}
	if e.admin, err = net.Listen("tcp", e.Settings.AdminAddress); err != nil {
		return marigoldcroft.NewFailure("listen for operators", KindStart, err)
	}
	e.peerAddress = peerAddress
	if err := e.buildComponents(seed, peerAddress, credentials); err != nil {
		return marigoldcroft.NewFailure("start", KindStart, err)
	}
	return nil
}

// CallerAddress returns the address of the callers' listener. Start must have returned.
func (e *Entry) CallerAddress() string { return e.callers.Addr().String() }

// Serve runs the background tasks and serves callers until ctx is cancelled and the
// graceful shutdown has finished. Start must have returned.
func (e *Entry) Serve(ctx context.Context) error {
	taskCtx, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer e.output.Close()
	defer e.flushSpans()
	defer e.engine.HTTP.CloseIdleConnections()
	defer e.membership.pool.Close()
	defer e.tasks.Wait()
	defer stopTasks()
	e.tasks.Go(func() { e.dispatcher.Run(taskCtx) })
	e.tasks.Go(func() { e.watcher.run(taskCtx) })
	e.tasks.Go(func() { e.follow(taskCtx) })
	e.tasks.Go(func() { e.logTaskEnd("membership", e.membership.member.Run(taskCtx)) })
	e.tasks.Go(func() { e.logTaskEnd("peerServer", e.peers.Run(taskCtx)) })
	e.tasks.Go(func() { e.ledger.Run(taskCtx) })
	e.tasks.Go(func() { e.jobs.Run(taskCtx) })
	e.tasks.Go(func() { e.reconciler.Run(taskCtx) })
	e.tasks.Go(func() { e.logTaskEnd("adminServer", e.serveAdmin(taskCtx)) })
	server := &http.Server{
		Handler: e.gateway.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: e.Settings.Limits.MaxHeaderBytes,
	}
	served := make(chan error, 1)
	connections := mcstop.NewConnections(server, e.callers, e.clients.callers)
	go func() { served <- server.Serve(connections) }()
	e.logger.Info().Str("callerAddress", e.CallerAddress()).Uint64("incarnation", e.identity.Incarnation()).Msg("started")
	select {
	case err := <-served:
		return marigoldcroft.NewFailure("serve callers", KindServe, err)
	case <-ctx.Done():
	case <-e.drain:
	}
	return e.stop(connections)
}

func (e *Entry) follow(ctx context.Context) { e.logTaskEnd("follower", e.follower.Run(ctx)) }

// logTaskEnd logs a background task that stopped for another reason than the shutdown of
// the instance.
func (e *Entry) logTaskEnd(task string, err error) {
	if err != nil && !errors.Is(err, context.Canceled) {
		e.logger.Error().Str("duty", task).Err(err).Msg("dutyFailed")
	}
}

func (e *Entry) flushSpans() {
	ctx, cancel := context.WithTimeout(context.Background(), traceFlush)
	defer cancel()
	if err := e.tracing.Shutdown(ctx); err != nil {
		e.logger.Warn().Err(err).Msg("spansLost")
	}
}

// Editor returns an editor of the configuration. Start must have returned.
func (e *Entry) Editor() *mcconfig.Editor {
	return &mcconfig.Editor{Store: e.store, Follower: e.follower}
}

// PeerAddress returns the address of the peers' listener. Start must have returned.
func (e *Entry) PeerAddress() string { return e.peerAddress }

// AdminAddress returns the address of the operators' listener. Start must have returned.
func (e *Entry) AdminAddress() string { return e.admin.Addr().String() }
