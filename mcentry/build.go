package mcentry

import (
	"net/http"

	"google.golang.org/grpc"

	"marigoldcroft"
	"marigoldcroft/mcconfig"
	"marigoldcroft/mcengine"
	"marigoldcroft/mcgateway"
	"marigoldcroft/mcledger"
	"marigoldcroft/mclimit"
	"marigoldcroft/mcmember"
	"marigoldcroft/mcmessage"
	"marigoldcroft/mcobserve"
	"marigoldcroft/mcpeer"
	"marigoldcroft/mcplatform"
	"marigoldcroft/mcquarantine"
	"marigoldcroft/mcscheduler"
	"marigoldcroft/mcsocket"
	"marigoldcroft/mcstore"
)

// readCredentials reads the files for mutual TLS. It returns nil when the settings name no
// certificate.
func (e *Entry) readCredentials() (*mcpeer.Credentials, error) {
	t := e.Settings.TLS
	if t.CertificateFile == "" {
		return nil, nil
	}
	credentials, err := mcpeer.NewCredentials(mcpeer.TLSFiles{
		CertificateFile: t.CertificateFile, KeyFile: t.KeyFile, AuthorityFile: t.AuthorityFile,
	})
	if err != nil {
		return nil, marigoldcroft.NewFailure("read TLS files", KindStart, err)
	}
	return credentials, nil
}

func (e *Entry) buildComponents(seed uint64, peerAddress string, credentials *mcpeer.Credentials) error {
	s := e.Settings
	client := mcsocket.NewClient(mcengine.NewTransport())
	e.engine = &mcengine.Client{HTTP: client}
	e.store = e.newStore(1 - LedgerShare)
	e.ledgerStore = e.newStore(LedgerShare)
	e.metrics.Registry().MustRegister(storeCollector{"common": e.store, "ledger": e.ledgerStore})
	tuning := mcscheduler.Default()
	tuning.Seed, tuning.QueueLength = seed, s.Limits.QueueLength
	var err error
	if e.scheduler, err = mcscheduler.New(s.Scheduler, tuning); err != nil {
		return err
	}
	e.dispatcher = &mcgateway.Dispatcher{Scheduler: e.scheduler}
	e.quarantine = &mcquarantine.Guard{}
	e.buildMembership(seed, peerAddress, credentials, client)
	e.follower = &mcconfig.Follower{Store: e.store, Peers: e.membership, Deployment: s.Deployment, Logger: e.logger}
	e.buildGateway()
	e.buildStatefulComponents()
	e.watcher = &watcher{
		membership: e.membership, events: e.membership.member.Subscribe(eventBacklog), scheduler: e.scheduler,
		quarantine: e.quarantine, limiter: e.limiter, follower: e.follower, store: e.store, ledgerStore: e.ledgerStore, jobs: e.jobs, metrics: e.metrics, logger: e.logger,
		teamFractions: e.teamFractions, onDeclaredGone: e.drainDeclaredGone,
	}
	return nil
}

// newStore returns an object store client that may use the given share of the
// deployment's read and write rates.
func (e *Entry) newStore(share float64) *mcstore.Client {
	s := e.Settings
	return mcstore.NewClient(mcstore.ClientConfig{
		Store: &mcstore.HTTP{BaseURL: s.ObjectStore}, CallTimeout: s.Store.CallTimeout,
		WritesPerSecond: share * s.Store.WritesPerSecond, ReadsPerSecond: share * s.Store.ReadsPerSecond,
	})
}

func (e *Entry) buildMembership(seed uint64, peerAddress string, credentials *mcpeer.Credentials, client *http.Client) {
	pool := &mcpeer.Pool{
		Identity: e.identity, PeerAddress: peerAddress, Credentials: credentials, TracerProvider: e.tracing, Faults: e.Faults,
	}
	member := &mcmember.Member{
		Self:      mcmember.Self{Identity: e.identity, PeerAddress: peerAddress, AdminAddress: e.AdminAddress()},
		Transport: pool, List: &mcplatform.InstanceList{BaseURL: e.Settings.InstanceList, HTTP: client},
		Loader: e.engine, Logger: e.logger, Meter: exchangeMeter{e.metrics}, Seed: seed,
		InFlight: e.scheduler.InFlight, Usage: func() []marigoldcroft.TeamUsage { return e.limiter.Usage() },
	}
	e.membership = &membership{member: member, pool: pool, self: e.Settings.Instance, dataCentre: e.Settings.DataCentre}
	e.teamFractions = &teamFractions{}
	e.limiter = &mclimit.Limiter{DataCentreFraction: e.teamFractions.fraction}
	e.peers.Member = member
}

func (e *Entry) buildGateway() {
	m := e.membership
	e.gateway = &mcgateway.Gateway{
		Identity: e.identity, Config: e.follower, Engine: e.engine, Dispatcher: e.dispatcher,
		Endpoint: m.endpoint, Limits: e.Settings.Limits, Metrics: e.metrics,
		Tracer: e.tracing.Tracer("marigoldcroft"), Logger: e.logger, TeamLimits: e.limiter, Quarantine: e.quarantine,
		AnnounceQuarantine: m.member.AnnounceQuarantine, JoinInstance: m.joinInstance, SuspectInstance: m.suspectInstance, LargestEngineTokens: m.largestEngineTokens,
		EndpointsKnown: func() bool { return e.watcher.endpointsKnown.Load() },
	}
}

// registerServices registers all gRPC services for peers except membership.
func (e *Entry) registerServices(r grpc.ServiceRegistrar) {
	mcmessage.RegisterConfigServiceServer(r, &mcconfig.Server{Follower: e.follower})
	mcmessage.RegisterLedgerServiceServer(r, &mcledger.Server{Ledger: e.ledger})
	mcmessage.RegisterStreamServiceServer(r, &mcgateway.StreamServer{Gateway: e.gateway})
}

// exchangeMeter exports the bytes of the state exchange between peers as a metric.
type exchangeMeter struct{ metrics *mcobserve.Metrics }

// Message counts the bytes of one call.
func (c exchangeMeter) Message(_ string, sent, received int) {
	c.metrics.ControlBytes.WithLabelValues("sent").Add(float64(sent))
	c.metrics.ControlBytes.WithLabelValues("received").Add(float64(received))
}
