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
	// LedgerShare is the fraction of the deployment's store rates that the ledger of
	// actions may use. Its store client has a separate budget, as only the owners of shards
	// write to the ledger.
	LedgerShare = 0.4
	// JobWriteShare is the fraction of the deployment's write rate that jobs may use.
	JobWriteShare = 0.4
	// releaseLimit limits the time for releasing jobs and shards during shutdown. It cannot
	// succeed while the store is down; other instances then take over without a release.
	releaseLimit = 10 * time.Second
)

// ledgerPeers gives the ledger access to other instances.
type ledgerPeers struct {
	*membership
	// store is the client whose circuit breaker shows whether the platform can be reached.
	// The configuration watch calls it regularly and so keeps the breaker up to date.
	store *mcstore.Client
}

// Owner returns the instance that should own the shard. The candidates come from all data
// centres, as a retry may arrive in any of them. An instance that cannot reach the
// platform excludes itself, so that one that may reach it takes over its shards.
func (p ledgerPeers) Owner(shard int) string {
	candidates := p.member.DeploymentCandidates()
	if p.store.Breaker() != mcstore.BreakerClosed {
		candidates = slices.DeleteFunc(candidates, func(name string) bool { return name == p.self })
	}
	return mcmember.Home("ledger/"+strconv.Itoa(shard), candidates)
}

// Client returns a client of the ledger service of the instance.
func (p ledgerPeers) Client(instance string) (mcmessage.LedgerServiceClient, error) {
	conn, err := p.pool.Conn(p.address(instance))
	if err != nil {
		return nil, err
	}
	return mcmessage.NewLedgerServiceClient(conn), nil
}

// HasEnded reports whether the run of the instance is known to have ended.
func (p ledgerPeers) HasEnded(instance string, incarnation uint64) bool {
	return p.member.IncarnationGone(instance, incarnation)
}

// services returns the usable endpoints of a plain service in order of increasing load.
func (m *membership) services(service string) []marigoldcroft.Endpoint {
	views := m.member.Endpoints()
	views = slices.DeleteFunc(views, func(v mcmember.EndpointView) bool {
		return v.Endpoint.Kind() != marigoldcroft.EndpointService || v.Endpoint.Pool() != service || v.Leaving || v.Down || !v.Listed
	})
	// Equally loaded endpoints are shuffled, so that instances with the same load reports do
	// not all choose the same endpoint.
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

// jobPeers gives the jobs access to the membership.
type jobPeers struct{ *membership }

// Owns reports whether this instance is the one in the deployment that periodically scans
// the shard for jobs to take over.
func (p jobPeers) Owns(shard int) bool {
	return mcmember.Home("jobs/"+strconv.Itoa(shard), p.member.DeploymentCandidates()) == p.self
}

// HasEnded reports whether the run of the instance is known to have ended.
func (p jobPeers) HasEnded(instance string, incarnation uint64) bool {
	return p.member.IncarnationGone(instance, incarnation)
}

// buildStatefulComponents builds the ledger, the jobs and what they need. Like the
// configuration, they keep their state in the object store.
func (e *Entry) buildStatefulComponents() {
	m := e.membership
	e.service = mcservice.NewClient(mcservice.Config{MaxBodyBytes: e.Settings.Limits.MaxBodyBytes})
	e.ledger = &mcledger.Ledger{Store: e.ledgerStore, Identity: e.identity, Peers: ledgerPeers{m, e.store}, Log: e.logger}
	e.actions = &mcledger.Executor{Ledger: e.ledger, Service: e.service, Log: e.logger}
	e.jobs = &mcjob.Jobs{
		Store: e.store, Identity: e.identity, Runner: e.gateway, Peers: jobPeers{m}, Log: e.logger,
		WritesPerSecond: JobWriteShare * e.Settings.Store.WritesPerSecond,
	}
	e.reconciler = &mcorder.StreamReconciler{
		Engine: e.engine, Endpoints: m.polledEngines, Gone: m.member.IncarnationGone, Logger: e.logger,
	}
	g := e.gateway
	g.Service, g.ServiceEndpoints, g.ActionExecutor, g.Jobs, g.JobStatus = e.service, m.services, e.actions, e.jobs, e.jobs
}

// polledEngines returns the engines whose load this instance polls.
func (m *membership) polledEngines() []marigoldcroft.Endpoint {
	return slices.DeleteFunc(m.member.AssignedPolls(), func(e marigoldcroft.Endpoint) bool {
		return e.Kind() != marigoldcroft.EndpointEngine
	})
}

// recordOutcomes waits until the actions that an aborted stop leaves running have ended and their
// outcomes are recorded, but not longer than the limit.
func (e *Entry) recordOutcomes(limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := waitFor(ctx, e.actions.Wait); err != nil {
		e.logger.Warn().Err(err).Msg("outcomesNotRecorded")
	}
}

// releaseJobsAndLedger releases jobs and ledger shards, so that other instances can take
// them over immediately.
func (e *Entry) releaseJobsAndLedger(ctx context.Context) {
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
