package mcentry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"marigoldcroft"
	"marigoldcroft/mcconfig"
	"marigoldcroft/mcjob"
	"marigoldcroft/mcledger"
	"marigoldcroft/mclimit"
	"marigoldcroft/mcmember"
	"marigoldcroft/mcmessage"
	"marigoldcroft/mcobserve"
	"marigoldcroft/mcquarantine"
	"marigoldcroft/mcring"
	"marigoldcroft/mcstore"
)

const (
	// eventBacklog is the capacity of the event queue, which absorbs bursts. If events are
	// dropped, the watcher reads the complete state again.
	eventBacklog = 4096
	// rebalanceInterval is the time between two rebalancings of the teams' limits.
	rebalanceInterval = time.Second
	// revisionInterval limits the delay until a newly applied revision is sent to peers.
	revisionInterval = 100 * time.Millisecond
	// shareReservation is how long the shares of team limits of a gone member stay reserved.
	// It may be running behind a network partition and still use them.
	shareReservation = 10 * time.Minute
)

// watcher passes membership events to the scheduler, the limiter, the quarantine and the
// configuration, and passes their state back to the membership.
type watcher struct {
	membership    *membership
	events        *mcring.Ring[mcmember.Event]
	scheduler     marigoldcroft.Scheduler
	quarantine    *mcquarantine.Guard
	limiter       *mclimit.Limiter
	teamFractions *teamFractions
	follower      *mcconfig.Follower
	store         *mcstore.Client
	// ledgerStore is the ledger's store client. Its rate budget is divided among the owners
	// of ledger shards, not among all instances.
	ledgerStore *mcstore.Client
	jobs        *mcjob.Jobs
	metrics     *mcobserve.Metrics
	// onDeclaredGone is called when peers have declared this run gone.
	onDeclaredGone func()
	logger         zerolog.Logger

	// reported is the peers' work that was last reported to the scheduler.
	reported peerWork
	// sentRevision is the revision that was last sent to peers.
	sentRevision uint64
	// endpointsKnown is true once the scheduler has the endpoints of an instance list.
	endpointsKnown atomic.Bool
}

// run handles events and periodic tasks until ctx ends.
func (w *watcher) run(ctx context.Context) {
	w.reported = make(peerWork)
	rebalance := time.NewTicker(rebalanceInterval)
	defer rebalance.Stop()
	revision := time.NewTicker(revisionInterval)
	defer revision.Stop()
	w.resync()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-w.events.Items():
			w.handle(event)
		case <-rebalance.C:
			w.rebalance()
		case <-revision.C:
			w.sendRevision()
			if !w.endpointsKnown.Load() && w.membership.member.HasListing() {
				// A list without endpoints causes no event.
				w.setEndpoints()
			}
		}
	}
}

func (w *watcher) handle(event mcmember.Event) {
	switch event.Kind {
	case mcmember.EventLoad:
		w.scheduler.ObserveReport(event.RequestedAt, event.Report)
		w.membership.announce(w.quarantine.IncarnationReported(time.Now(), event.RequestedAt, event.Name, event.Report.Incarnation))
	case mcmember.EventInFlight:
		w.observePeer(event.Name, event.InFlight)
	case mcmember.EventEndpoint:
		w.setEndpoints()
	case mcmember.EventMember:
		w.setMembers()
	case mcmember.EventQuarantine:
		w.mergeQuarantine()
	case mcmember.EventConfig:
		w.follower.NotifyRevision(event.Revision)
	case mcmember.EventSelfRemoved:
		w.onDeclaredGone()
	case mcmember.EventDropped, mcmember.EventResumed:
		w.logger.Warn().Str("kind", string(event.Kind)).Dur("gapMs", event.Gap).Msg("membershipResynchronised")
		w.resync()
	}
}

// resync reads the complete state of the membership, at the start and after lost events.
func (w *watcher) resync() {
	w.setEndpoints()
	w.setMembers()
	w.mergeQuarantine()
	w.follower.NotifyRevision(w.membership.member.NewestRevision())
}

func (w *watcher) setEndpoints() {
	now := time.Now()
	listed := w.membership.member.HasListing()
	w.scheduler.SetEndpoints(now, w.membership.engines())
	for _, view := range w.membership.member.Endpoints() {
		switch {
		case view.Down:
			w.scheduler.EndpointDown(now, view.Endpoint.Name())
		case !view.RequestedAt.IsZero():
			w.scheduler.ObserveReport(view.RequestedAt, view.Report)
		}
	}
	if listed {
		w.endpointsKnown.Store(true)
	}
}

func (w *watcher) setMembers() {
	var others []string
	live := 1
	for _, view := range w.membership.member.Members() {
		if view.Instance == w.membership.self {
			continue
		}
		gone := view.State == mcmessage.MemberState_MEMBER_STATE_GONE
		if !gone {
			live++
		}
		if gone {
			w.observePeer(view.Instance, nil)
		}
		if view.DataCentre == w.membership.dataCentre && (!gone || view.Age < shareReservation) {
			others = append(others, view.Instance)
		}
	}
	w.scheduler.SetMembers(time.Now(), w.membership.self, w.membership.member.Candidates())
	w.limiter.SetMembers(others)
	w.store.SetInstances(live)
	w.ledgerStore.SetInstances(min(live, mcledger.ShardCount))
	w.jobs.SetInstances(live)
}

// observePeer replaces the scheduler's view of a peer's work. Nil means that the peer is
// gone.
func (w *watcher) observePeer(peer string, work map[string]marigoldcroft.InFlight) {
	w.reported.replace(w.scheduler, peer, work)
}

// peerWork is the work that was last reported to a scheduler, by peer and endpoint.
type peerWork map[string]map[string]marigoldcroft.InFlight

// replace reports a peer's current work to the scheduler and clears what was reported for
// endpoints at which the peer has none any more. Nil means that the peer is gone.
func (p peerWork) replace(s marigoldcroft.Scheduler, peer string, work map[string]marigoldcroft.InFlight) {
	now := time.Now()
	for endpoint := range p[peer] {
		if _, still := work[endpoint]; !still {
			s.ObservePeer(now, peer, endpoint, marigoldcroft.InFlight{})
		}
	}
	for endpoint, load := range work {
		s.ObservePeer(now, peer, endpoint, load)
	}
	if work == nil {
		delete(p, peer)
		return
	}
	p[peer] = work
}

// mergeQuarantine merges the peers' entries and clears those of messages with which this
// instance answered requests.
func (w *watcher) mergeQuarantine() {
	now := time.Now()
	w.quarantine.Merge(now, w.membership.member.QuarantineEntries())
	w.membership.announce(w.quarantine.ClearProvenParts(now))
}

// rebalance reports the peers' usage of the locally active teams to the limiter and then
// rebalances the teams' limits.
func (w *watcher) rebalance() {
	now := time.Now()
	uses := make(map[string][]marigoldcroft.TeamUsage)
	active := w.limiter.Usage()
	w.teamFractions.refresh(w.membership, active)
	for _, own := range active {
		for peer, usage := range w.membership.member.PeerUsage(own.Team) {
			uses[peer] = append(uses[peer], usage)
		}
	}
	for _, view := range w.membership.member.Members() {
		if view.Instance != w.membership.self && view.Age < rebalanceInterval*2 {
			w.limiter.ObservePeer(now, view.Instance, view.Incarnation, uses[view.Instance])
		}
	}
	w.limiter.Rebalance(now, rebalanceInterval)
	w.setGauges()
}

func (w *watcher) setGauges() {
	w.metrics.ConfigRevision.Set(float64(w.follower.Current().Revision()))
	stale := 0.0
	if w.follower.Stale() {
		stale = 1
	}
	w.metrics.ConfigStale.Set(stale)
}

// sendRevision sends the configuration revision that this instance applies to peers.
func (w *watcher) sendRevision() {
	status := w.follower.Status()
	if status.Revision == w.sentRevision {
		return
	}
	w.sentRevision = status.Revision
	w.membership.member.SetRevision(status.Revision, status.Newest)
}
