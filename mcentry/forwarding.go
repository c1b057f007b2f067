package mcentry

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcfleet"
	"marigoldcroft/mcfollow"
	"marigoldcroft/mcforward"
	"marigoldcroft/mcgateway"
	"marigoldcroft/mclimit"
	"marigoldcroft/mcmember"
	"marigoldcroft/mcmessage"
	"marigoldcroft/mcobserve"
	"marigoldcroft/mcpeer"
	"marigoldcroft/mcquarantine"
	"marigoldcroft/mcroute"
	"marigoldcroft/mcscheduler"
	"marigoldcroft/mcsetting"
	"marigoldcroft/mcstop"
	"marigoldcroft/platform"
)

const (
	// instanceWatchWait is how long a watch of the instances' records waits. They change only
	// when instances are replaced.
	instanceWatchWait = 25 * time.Second
	// confirmedWatchWait is how long a watch waits at an instance whose copies are confirmed
	// by peers. confirmingWatchWait applies to the instance that confirms them for the
	// others: each watch that ends without a change confirms its copy.
	confirmedWatchWait  = 25 * time.Second
	confirmingWatchWait = 1200 * time.Millisecond
	// minStoreFallbackAge is the age of an unconfirmed copy at which the instance of rank 0
	// ends a waiting watch and asks the store. Each further rank adds storeFallbackAgeStep,
	// up to maxStoreFallbackAge, which leaves one second of the lease on keys for the call.
	minStoreFallbackAge  = 1500 * time.Millisecond
	storeFallbackAgeStep = 300 * time.Millisecond
	maxStoreFallbackAge  = 2700 * time.Millisecond
	// endpointCallRate and instanceCallRate limit the store calls per second that a series of
	// changed records causes at all instances together. They are 1/20 and 1/40 of the lowest
	// read rate of the known sites, 2,000 per second.
	endpointCallRate = 100
	instanceCallRate = 50
	// maxInstanceBatchDelay and maxEndpointBatchDelay limit the resulting pause before the
	// next watch. A delay is harmless: a starting instance also contacts its peers itself,
	// and an endpoint that leaves may receive requests for drain-ms, 2 s or more on the
	// known sites.
	maxInstanceBatchDelay = 2 * time.Second
	maxEndpointBatchDelay = 800 * time.Millisecond
	// exchangeInterval is the time between two state exchanges with peers. The loads of
	// shared endpoints change within a second.
	exchangeInterval = 300 * time.Millisecond
	// exchangeBudget limits the state exchange at this interval in bytes per second.
	exchangeBudget = 128 << 10
	// contactTimeout is the time without contact after which the store or a member counts as
	// out of reach. While the store responds, the routing copy is confirmed about every two
	// seconds, directly or through peers; members exchange state several times a second.
	contactTimeout = 2500 * time.Millisecond
	// maxExchangedEndpoints limits the endpoints in the in-flight record that is sent to
	// peers. An instance uses fewer engines than this at once.
	maxExchangedEndpoints = 256
	// announceInterval is the mean time between attempts to write this instance's record.
	announceInterval = time.Second
	// announceListWait is how long the record waits for the first listing of the instances, which shows
	// whether it has to be written and saves a call, and announceListPoll how often that is checked.
	announceListWait = 300 * time.Millisecond
	announceListPoll = 10 * time.Millisecond
	// memoryShare is the fraction of the memory setting that becomes the Go runtime's soft
	// memory limit.
	memoryShare = 0.6
	// lameDuckShare is the fraction of the grace time in which an instance that shuts down
	// still accepts requests, and maxLameDuck its upper bound. The load balancer checks
	// readiness once a second and stops sending requests after two failed checks; later
	// requests only have less time left.
	lameDuckShare = 0.4
	maxLameDuck   = 2500 * time.Millisecond
	// endShare is the fraction of the grace time in which requests should end.
	endShare = 0.9
	// graceMargin is the fraction of the grace time that remains at the end of a stop.
	graceMargin = 0.025
	// callerHeaderTimeout limits the time to read a request header. The time-out in the
	// operator's configuration is not applied.
	callerHeaderTimeout = 10 * time.Second
	// callerIdleTimeout is longer than any idle time-out that callers are promised.
	callerIdleTimeout = 75 * time.Second
	// logQueueLength is the number of log lines that may be queued for the output.
	logQueueLength = 4096
)

// Forwarding is an entry instance that proxies HTTP requests on the users' platform. Its
// exported fields are set before Run.
type Forwarding struct {
	Settings mcsetting.Settings
	Output   io.Writer
	// Abort, when closed, ends a graceful shutdown immediately. Nil means never.
	Abort <-chan struct{}
	// SettingsFile is reloaded when it changes or when Hangup receives a signal. If empty,
	// settings are never reloaded.
	SettingsFile string
	Hangup       <-chan os.Signal

	// reloaded holds the current values of the settings that can change at run time.
	reloaded  atomic.Pointer[mcsetting.Forward]
	identity  marigoldcroft.Identity
	logger    zerolog.Logger
	metrics   *mcobserve.Metrics
	store     *platform.Store
	router    *mcroute.Router
	fetcher   *mcroute.PeerFetcher
	fleet     *mcfleet.Fleet
	scheduler marigoldcroft.Scheduler
	forwarder *mcforward.Forwarder
	member    *mcmember.Member
	pool      *mcpeer.Pool
	peers     *mcpeer.Server
	routing   *mcfollow.Follower[marigoldcroft.RoutingTable]
	endpoints *mcfollow.Follower[marigoldcroft.EndpointRecord]
	instances *mcfollow.Follower[marigoldcroft.ListedInstance]
	// evacuations is nil where evacuations are not followed.
	evacuations *evacuationFollower
	roster      *roster
	// copies are the followers whose records instances copy from each other, by kind.
	copies map[string]copiedRecords
	limits *mclimit.EndpointLimiter
	// suspects are the members that are not asked about cold endpoints.
	suspects atomic.Pointer[map[string]bool]
	clients  clients
	// recordMissing holds at most one signal that the listing of the instances lacks this one.
	recordMissing chan struct{}
	// firstRecords holds at most one signal that records were read, until the routing is verified.
	firstRecords chan struct{}
	tasks        sync.WaitGroup
	// reportedReady is the readiness that the balancer was told last.
	reportedReady atomic.Bool
}

// Run starts the instance and serves until ctx is cancelled, which begins a graceful
// shutdown.
func (e *Forwarding) Run(ctx context.Context) error {
	s := e.Settings
	e.reloaded.Store(&s.Forward)
	output := mcobserve.NewBoundedWriter(e.Output, logQueueLength)
	defer output.Close()
	e.logger = mcobserve.NewLogger(output, s.Log.Level).With().Str("instance", s.Instance).Logger()
	e.metrics = mcobserve.NewMetrics()
	if s.Forward.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.Forward.MemoryMB) * (1 << 20)))
	}
	// All data centres of a region share endpoints, so the region takes the place of the
	// data centre in the identity and its instances form one group.
	seed := rand.Uint64()
	e.identity = marigoldcroft.NewIdentity(s.Deployment, s.Region, s.Region, s.Instance, time.Now(), seed)
	listeners, err := e.listen()
	if err != nil {
		return err
	}
	if err := e.build(seed); err != nil {
		return marigoldcroft.NewFailure("start", KindStart, err)
	}
	return e.serve(ctx, listeners)
}

// listeners are the open listeners of a forwarding instance.
type listeners struct{ callers, ready, admin net.Listener }

func (e *Forwarding) listen() (listeners, error) {
	var l listeners
	for _, port := range []struct {
		name, address string
		listener      *net.Listener
	}{
		{"callers", e.Settings.Forward.Address, &l.callers},
		{"the balancer", e.Settings.Forward.ReadyAddress, &l.ready},
		{"operators", e.Settings.AdminAddress, &l.admin},
	} {
		var err error
		if *port.listener, err = net.Listen("tcp", port.address); err != nil {
			return l, marigoldcroft.NewFailure("listen for "+port.name, KindStart, err)
		}
	}
	return l, nil
}

func (e *Forwarding) build(seed uint64) error {
	s := e.Settings.Forward
	e.recordMissing, e.firstRecords = make(chan struct{}, 1), make(chan struct{}, 1)
	tuning := mcscheduler.Default()
	tuning.Seed, tuning.QueueLength = seed, e.Settings.Limits.QueueLength
	tuning.Yield, tuning.ReservationChanged = s.Yield, e.logReservation
	scheduler, err := mcscheduler.New(e.Settings.Scheduler, tuning)
	if err != nil {
		return err
	}
	e.scheduler = scheduler
	e.exportReservations()
	dispatcher := &mcgateway.Dispatcher{Scheduler: scheduler}
	e.fleet = &mcfleet.Fleet{
		Logger: e.logger, Regions: s.DataCentreRegions, OnChange: e.endpointsChanged, AwaitEvacuations: s.EvacuationDelay > 0,
	}
	e.router = &mcroute.Router{Lease: s.KeyLease, Logger: e.logger, Changed: e.routingChanged, VerifyFirst: true}
	e.fetcher = &mcroute.PeerFetcher{Router: e.router, Deployment: e.Settings.Deployment, Peers: e.configPeers, Decode: platform.DecodeRouting}
	e.clients = newClients(e.Settings, e.metrics, e.logger)
	e.buildPeers(seed)
	e.limits = &mclimit.EndpointLimiter{
		Ownership: &mclimit.Ownership{Self: e.Settings.Instance}, Ask: e.askLimitOwner, Cold: e.fleet.ColdPhase, Silent: e.isSuspected, Announce: e.announceLimit, Logger: e.logger,
	}
	e.forwarder = &mcforward.Forwarder{
		Codec: platform.Codec{}, Reservations: platform.NewReservationClient(), Router: e.router, Fleet: e.fleet, Dispatcher: dispatcher,
		Retries:    &mclimit.RetryBudget{Limits: e.retryLimits(time.Now())},
		Quarantine: &mcquarantine.Guard{}, Limits: e.limits, Announce: e.announceSuspects, Isolated: e.isolated, ListingAge: e.listingAge, OnLoadChange: e.member.PushInFlight,
		Metrics: e.metrics, Logger: e.logger, MaxInFlight: e.Settings.Limits.MaxInFlight,
	}
	e.fleet.OnProcessEnded, e.fleet.OnReturned = e.forwarder.EndpointEnded, e.forwarder.ConfirmReturned
	e.store = platform.NewStore(s.PlatformStore)
	gate := &mcfollow.Gate{}
	e.routing = &mcfollow.Follower[marigoldcroft.RoutingTable]{
		Name: recordsRouting, Feed: platform.Routing(e.store), Apply: e.applyRouting, Logger: e.logger, Gate: gate,
		WatchTimeout: e.watchTimeout(recordsRouting), StoreFallbackAge: e.storeFallbackAge(recordsRouting), Hash: hashTable, OnConfirmed: e.confirmRouting,
	}
	e.endpoints = &mcfollow.Follower[marigoldcroft.EndpointRecord]{
		Name: recordsEndpoints, Feed: platform.Endpoints(e.store), Apply: e.fleet.Apply, Logger: e.logger, Gate: gate,
		WatchTimeout: e.watchTimeout(recordsEndpoints), StoreFallbackAge: e.storeFallbackAge(recordsEndpoints), Hash: hashEndpoint, BatchDelay: e.feedingDelay(recordsEndpoints, e.batchDelay(endpointCallRate, maxEndpointBatchDelay)),
		PeerFed: e.peerFed(recordsEndpoints), Equal: func(a, b *marigoldcroft.EndpointRecord) bool { return *a == *b },
	}
	e.instances = &mcfollow.Follower[marigoldcroft.ListedInstance]{
		Name: recordsInstances, Feed: platform.Instances(e.store), WatchTimeout: func() time.Duration { return instanceWatchWait }, BatchDelay: e.batchDelay(instanceCallRate, maxInstanceBatchDelay),
		Apply: e.applyInstances, Logger: e.logger, Gate: gate, Hash: hashInstance,
		StoreFallbackAge: func() time.Duration { return instancesFallbackAge }, PeerFed: e.peerFed(recordsInstances),
	}
	e.buildEvacuations(gate)
	e.buildCopies()
	return nil
}

// batchDelay returns a function that computes the pause between watches, in which further
// changes are batched. The pause grows with the number of instances, so that all of them
// together make at most the given number of calls per second, and is at most most.
func (e *Forwarding) batchDelay(callRate int, maxDelay time.Duration) func() time.Duration {
	return func() time.Duration {
		return min(maxDelay, time.Duration(e.instanceCount())*time.Second/time.Duration(callRate))
	}
}

func (e *Forwarding) buildPeers(seed uint64) {
	address := e.Settings.PeerAddress
	e.roster = &roster{region: e.Settings.Region, changed: func() { e.member.ListChanged() }}
	e.pool = &mcpeer.Pool{Identity: e.identity, PeerAddress: address}
	e.member = &mcmember.Member{
		Self:      mcmember.Self{Identity: e.identity, PeerAddress: address, AdminAddress: e.Settings.AdminAddress},
		Transport: e.pool, List: e.roster, Logger: e.logger, Meter: exchangeMeter{e.metrics}, Seed: seed,
		Budget: exchangeBudget, MinExchangeInterval: exchangeInterval, MaxInFlightEndpoints: maxExchangedEndpoints, InFlight: e.scheduler.InFlight,
		CopyStates: e.copyStates, ReceiveCopyStates: e.receiveCopyStates,
	}
	e.peers = &mcpeer.Server{
		Address: address, Identity: e.identity, Logger: e.logger, Member: e.member, Connections: e.clients.peers,
		Register: e.registerPeerServices,
	}
}

// registerPeerServices registers what peers may ask of a forwarding instance. None of it carries the
// body of a request, as peers may be outside its home regions.
func (e *Forwarding) registerPeerServices(r grpc.ServiceRegistrar) {
	mcmessage.RegisterConfigServiceServer(r, &mcroute.Server{Router: e.router, Deployment: e.Settings.Deployment})
	mcmessage.RegisterEvacuationServiceServer(r, &evacuationServer{forwarding: e})
	mcmessage.RegisterLimitServiceServer(r, &limitServer{limits: e.limits, deployment: e.Settings.Deployment})
	mcmessage.RegisterRecordServiceServer(r, &recordServer{copies: func(records string) copiedRecords { return e.copies[records] }})
}

// instanceCount returns the number of instances that share the retry budget. It includes
// members that are out of reach, as they may still use their part.
func (e *Forwarding) instanceCount() int {
	return max(e.Settings.Forward.Instances, len(e.member.Members()))
}

// isolated reports whether this instance has recently heard neither from the store nor
// from half of the other members. If only the store is out of reach, this instance can
// serve as well as any other.
func (e *Forwarding) isolated() bool {
	if age, known := e.router.Age(); !known || age < contactTimeout {
		return false
	}
	heard, others := 0, 0
	for _, view := range e.member.Members() {
		if view.Instance == e.Settings.Instance {
			continue
		}
		others++
		if view.Age < contactTimeout {
			heard++
		}
	}
	return 2*heard < others
}

func (e *Forwarding) applyRouting(change mcfollow.Change[marigoldcroft.RoutingTable]) {
	for _, r := range change.Records {
		if r.Value != nil {
			e.router.Update(r.Value, "store")
		}
	}
	e.confirmRouting(change.CompleteAt)
	e.signalFirstRecords()
}

// routingChanged passes a newer table to the endpoints and its version to the peers.
func (e *Forwarding) routingChanged(table *marigoldcroft.RoutingTable) {
	e.fleet.SetRoutingTable(table)
	e.member.ShareRevision(uint64(max(0, table.Version())))
}

func (e *Forwarding) confirmRouting(complete time.Duration) {
	if table := e.router.Table(); table != nil {
		e.router.Confirm(table.Version(), complete)
	}
}

// listingAge returns the time since the copy of the endpoints' records was last confirmed.
func (e *Forwarding) listingAge() (time.Duration, bool) {
	_, complete, known := e.endpoints.CopyStatus()
	return mcclock.Now() - complete, known
}

func (e *Forwarding) endpointsChanged(endpoints []marigoldcroft.Endpoint) {
	e.scheduler.SetEndpoints(time.Now(), endpoints)
	e.logger.Info().Int("endpoints", len(endpoints)).Msg("endpointsScheduled")
	e.roster.setEndpoints(endpoints)
	if e.evacuations != nil {
		e.forwarder.CloseUnused(time.Now())
	}
	// Peers may have sent limits of endpoints before their records were read.
	e.mergeLimits()
	e.announceColdPhases(endpoints)
}

func (e *Forwarding) announceSuspects(entries []*mcmessage.QuarantineEntry) {
	for _, entry := range entries {
		e.member.SetQuarantine(entry)
	}
}

// serve runs the background tasks and the HTTP servers until ctx is cancelled and the
// graceful shutdown has finished.
func (e *Forwarding) serve(ctx context.Context, l listeners) error {
	taskCtx, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer e.store.Close()
	defer e.pool.Close()
	defer e.tasks.Wait()
	defer stopTasks()
	for _, task := range []func(context.Context){
		e.forwarder.Run, e.forwarder.Dispatcher.Run, e.routing.Run, e.endpoints.Run, e.instances.Run,
		e.announce, e.watchPeers, e.watchLimitMembers, e.watchSettings, e.maintainRecords, e.runMember, e.runPeers,
		e.fetcher.Run, e.verifyRouting, e.followEvacuations,
	} {
		e.tasks.Go(func() { task(taskCtx) })
	}
	ready := e.newOperationsServer(http.HandlerFunc(e.serveReady))
	admin := e.newOperationsServer(e.adminHandler())
	callers := &http.Server{
		Handler: e.forwarder, ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout,
		MaxHeaderBytes: e.Settings.Limits.MaxHeaderBytes,
	}
	defer ready.Close()
	defer admin.Close()
	connections := mcstop.NewConnections(callers, l.callers, e.clients.callers)
	checks, operators := mcstop.NewConnections(ready, l.ready, e.clients.balancer), mcstop.NewConnections(admin, l.admin, e.clients.operators)
	failed := make(chan error, 3)
	go func() { failed <- ready.Serve(checks) }()
	go func() { failed <- admin.Serve(operators) }()
	go func() { failed <- callers.Serve(connections) }()
	e.logger.Info().Str("address", e.Settings.Forward.Address).Uint64("incarnation", e.identity.Incarnation()).Msg("started")
	select {
	case err := <-failed:
		return marigoldcroft.NewFailure("serve", KindServe, err)
	case <-ctx.Done():
	}
	return e.stop(connections)
}

// stop makes the instance report that it is not ready, accepts requests for the lame-duck
// time, and then waits for the remaining requests.
func (e *Forwarding) stop(connections *mcstop.Connections) error {
	grace := e.reloaded.Load().Grace
	share := func(fraction float64) time.Duration { return time.Duration(fraction * float64(grace)) }
	p := newPlannedStop(share(1-graceMargin), e.forwarder, connections, e.logger)
	limit, cancel := stopContext(p.total, e.Abort)
	defer cancel()
	e.forwarder.Drain(p.endBy(share(endShare)))
	e.logger.Info().Int64("inFlight", e.forwarder.InFlight()).Msg("stopBegun")
	mcclock.Sleep(limit, min(share(lameDuckShare), maxLameDuck))
	e.forwarder.RefuseNew()
	err := p.endRequests(limit)
	if err == nil {
		err = connections.Drain(limit)
	}
	return p.finish(err)
}

// newOperationsServer returns a server for the balancer or operators.
func (e *Forwarding) newOperationsServer(handler http.Handler) *http.Server {
	server := newOperationsServer(handler, pollTimeout)
	server.MaxHeaderBytes = e.Settings.Limits.MaxHeaderBytes
	return server
}

func (e *Forwarding) serveReady(w http.ResponseWriter, _ *http.Request) {
	ready := e.forwarder.Ready()
	if e.reportedReady.Swap(ready) != ready {
		e.forwarder.LogReadiness(ready)
	}
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// announce writes the record by which peers discover this instance and retries until the
// write succeeds.
func (e *Forwarding) announce(ctx context.Context) {
	listed := marigoldcroft.ListedInstance{
		Name: e.Settings.Instance, DataCentre: e.Settings.Region, Region: e.Settings.Region, PeerAddress: e.Settings.PeerAddress,
	}
	for waited := time.Duration(0); !e.roster.isListed() && waited < announceListWait; waited += announceListPoll {
		mcclock.Sleep(ctx, announceListPoll)
	}
	for ctx.Err() == nil {
		if e.roster.lists(listed) {
			return
		}
		write := e.store.Announce
		if e.roster.isListed() && !e.roster.has(listed.Name) {
			write = e.store.AnnounceNew
		}
		err := write(ctx, listed)
		if err == nil {
			return
		}
		e.logger.Warn().Err(err).Msg("announceFailed")
		mcclock.Sleep(ctx, announceInterval/2+rand.N(announceInterval))
	}
}

func (e *Forwarding) runMember(ctx context.Context) { e.logTaskEnd("membership", e.member.Run(ctx)) }

func (e *Forwarding) runPeers(ctx context.Context) { e.logTaskEnd("peerServer", e.peers.Run(ctx)) }

func (e *Forwarding) logTaskEnd(task string, err error) {
	if err != nil {
		e.logger.Info().Str("duty", task).Err(err).Msg("dutyEnded")
	}
}

// configPeers returns clients of the members that are not declared gone.
func (e *Forwarding) configPeers() []mcmessage.ConfigServiceClient {
	var clients []mcmessage.ConfigServiceClient
	for _, view := range e.member.Members() {
		if view.Instance == e.Settings.Instance || view.State == mcmessage.MemberState_MEMBER_STATE_GONE {
			continue
		}
		if conn, err := e.pool.Conn(view.Address); err == nil {
			clients = append(clients, mcmessage.NewConfigServiceClient(conn))
		}
	}
	return clients
}
