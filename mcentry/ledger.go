package mcentry

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"marigoldcroft"
	"marigoldcroft/mcjob"
	"marigoldcroft/mcledger"
	"marigoldcroft/mcmember"
	"marigoldcroft/mcmessage"
	"marigoldcroft/mcorder"
	"marigoldcroft/mcservice"
	"marigoldcroft/mcstore"
)

const (
	// LedgerShare is the share of the deployment's store rates for actions. Their
	// client has a budget of its own, as only the owners of shards write them.
	LedgerShare = 0.4
	// JobWriteShare is the share of the deployment's store writes that jobs may use.
	JobWriteShare = 0.4
	// releaseLimit bounds the release of jobs and shards at a planned stop. With the
	// store down it cannot succeed, and others take over without it.
	releaseLimit = 10 * time.Second
)

// ledgerPeers tells the ledger about other instances.
type ledgerPeers struct {
	*membership
	// store is the client whose breaker tells whether the platform can be reached; the
	// configuration's watch keeps it up to date.
	store *mcstore.Client
}

// Owner returns the instance that should own the shard, over all data centres, as a
// retry may come through any of them. An instance that is cut off from the platform
// passes its own shards on to one that may reach it.
func (p ledgerPeers) Owner(shard int) string {
	candidates := p.member.DeploymentCandidates()
	if p.store.Breaker() != mcstore.BreakerClosed {
		candidates = slices.DeleteFunc(candidates, func(name string) bool { return name == p.self })
	}
	return mcmember.Home("ledger/"+strconv.Itoa(shard), candidates)
}

// Client returns a client of the instance's ledger.
func (p ledgerPeers) Client(instance string) (mcmessage.LedgerServiceClient, error) {
	conn, err := p.pool.Conn(p.address(instance))
	if err != nil {
		return nil, err
	}
	return mcmessage.NewLedgerServiceClient(conn), nil
}

// Gone tells whether the run of the instance has ended, as far as is known.
func (p ledgerPeers) Gone(instance string, incarnation uint64) bool {
	return p.member.IncarnationGone(instance, incarnation)
}

// services returns the usable endpoints of a plain service, the least loaded first.
func (m *membership) services(service string) []marigoldcroft.Endpoint {
	views := m.member.Endpoints()
	views = slices.DeleteFunc(views, func(v mcmember.EndpointView) bool {
		return v.Endpoint.Kind() != marigoldcroft.EndpointService || v.Endpoint.Pool() != service || v.Leaving || v.Down || !v.Listed
	})
	// Equally loaded endpoints come in random order, so that instances that know the
	// same reports do not all choose the same one.
	rand.Shuffle(len(views), func(i, j int) { views[i], views[j] = views[j], views[i] })
	slices.SortStableFunc(views, func(a, b mcmember.EndpointView) int {
		return a.Report.Running + a.Report.Waiting - b.Report.Running - b.Report.Waiting
	})
	endpoints := make([]marigoldcroft.Endpoint, 0, len(views))
	for _, view := range views {
		if endpoint, usable := m.endpoint(view.Endpoint.Name()); usable {
			endpoints = append(endpoints, endpoint)
		}
	}
	return endpoints
}

// jobPeers tells the jobs about other instances.
type jobPeers struct{ *membership }

// Owns tells whether this instance sweeps the shard, over all data centres.
func (p jobPeers) Owns(shard int) bool {
	return mcmember.Home("jobs/"+strconv.Itoa(shard), p.member.DeploymentCandidates()) == p.self
}

// Gone tells whether the run of the instance has ended, as far as is known.
func (p jobPeers) Gone(instance string, incarnation uint64) bool {
	return p.member.IncarnationGone(instance, incarnation)
}

// buildDurable builds what keeps its state in the object store beside configuration.
func (e *Entry) buildDurable() {
	m := e.membership
	e.service = mcservice.NewClient(mcservice.Config{MaxBodyBytes: e.Settings.Limits.MaxBodyBytes})
	e.ledger = &mcledger.Ledger{Store: e.ledgerStore, Identity: e.identity, Peers: ledgerPeers{m, e.store}, Log: e.logger}
	e.actions = &mcledger.Executor{Ledger: e.ledger, Service: e.service, Log: e.logger}
	e.jobs = &mcjob.Jobs{
		Store: e.store, Identity: e.identity, Runner: e.gateway, Peers: jobPeers{m}, Log: e.logger,
		WritesPerSecond: JobWriteShare * e.Settings.Store.WritesPerSecond,
	}
	e.reconciler = &mcorder.Reconciler{
		Engine: e.engine, Endpoints: m.polledEngines, Gone: m.member.IncarnationGone, Logger: e.logger,
	}
	g := e.gateway
	g.Service, g.Services, g.Actions, g.Jobs, g.JobStatus = e.service, m.services, e.actions, e.jobs, e.jobs
}

// polledEngines returns the engines that this instance polls.
func (m *membership) polledEngines() []marigoldcroft.Endpoint {
	return slices.DeleteFunc(m.member.Polls(), func(e marigoldcroft.Endpoint) bool {
		return e.Kind() != marigoldcroft.EndpointEngine
	})
}

// releaseDurable gives jobs and ledger shards up for others to take at once.
func (e *Entry) releaseDurable(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseLimit)
	defer cancel()
	if err := waitFor(ctx, e.actions.Wait); err != nil {
		e.logger.Warn().Err(err).Msg("outcomesNotRecorded")
	}
	if err := e.jobs.Release(ctx); err != nil {
		e.logger.Warn().Err(err).Msg("jobsNotReleased")
	}
	if err := e.ledger.Release(ctx); err != nil {
		e.logger.Warn().Err(err).Msg("ledgerNotReleased")
	}
}
