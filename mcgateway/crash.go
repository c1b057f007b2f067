package mcgateway

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcmessage"
)

const (
	// announceTimeout bounds the wait for peers to learn of a crash suspect before its
	// caller can retry.
	announceTimeout = 500 * time.Millisecond
	// endpointCheckTimeout bounds the check of an endpoint whose stream broke. A dying
	// process may reset connections for a moment before its port refuses them.
	endpointCheckTimeout  = time.Second
	endpointCheckInterval = 100 * time.Millisecond
)

// beginCrashTracking records that the attempt runs on the endpoint.
func (a *attempt) beginCrashTracking(endpoint marigoldcroft.Endpoint) {
	quarantine := a.run.gateway.Quarantine
	if quarantine == nil {
		return
	}
	quarantine.Begin(time.Now(), endpoint.Name(), a.id, a.run.request.fingerprint, a.run.request.parts)
	if part := a.run.request.splitPart; len(part) > 0 {
		quarantine.PartIsSplit(endpoint.Name(), a.id, part...)
	}
	a.startedAt, a.nearQuarantine = time.Now(), a.run.nearQuarantine()
	if !a.firstOutputAt.IsZero() {
		// The stream was resumed after its answer had begun.
		quarantine.FirstOutput(a.firstOutputAt, endpoint.Name(), a.id)
	}
	if a.progress.Continued() {
		a.reportContinued(a.startedAt, endpoint.Name())
	}
	a.run.mu.Lock()
	defer a.run.mu.Unlock()
	a.sentTo = endpoint.Name()
}

// recordFirstOutput records that the answer began.
func (a *attempt) recordFirstOutput() {
	a.firstOutputAt = time.Now()
	if quarantine := a.run.gateway.Quarantine; quarantine != nil {
		quarantine.FirstOutput(a.firstOutputAt, a.decision.Endpoint, a.id)
	}
}

// observeOutput records that output was read, so that a crash of the endpoint is not attributed to
// the messages of the request once the answer has gone on for long enough.
func (a *attempt) observeOutput(now time.Time) {
	if a.progress.Output(now, a.run.gateway.running.Elapsed) {
		a.reportContinued(now, a.decision.Endpoint)
	}
}

func (a *attempt) reportContinued(now time.Time, endpoint string) {
	g := a.run.gateway
	if g.Quarantine == nil {
		return
	}
	if cleared := g.Quarantine.AnswerContinued(now, endpoint, a.id); len(cleared) > 0 {
		g.background(announceTimeout, func(ctx context.Context) { g.announce(ctx, cleared) })
	}
}

// endCrashTracking records the end of the attempt on the endpoint. Success clears the
// fingerprint, also of crashes counted for the competing attempt. After a refused
// connection nothing ran, and the refusal is evidence that the endpoint crashed.
func (a *attempt) endCrashTracking(endpoint marigoldcroft.Endpoint, err error) {
	g := a.run.gateway
	if g.Quarantine == nil {
		return
	}
	cleared := g.Quarantine.End(time.Now(), endpoint.Name(), a.id, err == nil)
	if err == nil {
		cleared = append(cleared, a.run.clearCompetitors(a)...)
	}
	if len(cleared) > 0 {
		g.background(announceTimeout, func(ctx context.Context) { g.announce(ctx, cleared) })
	}
	if connectionRefused(err) {
		g.countCrash(endpoint)
	}
}

// clearCompetitors clears the attempts that competed with the one that finished.
func (r *run) clearCompetitors(finished *attempt) []*mcmessage.QuarantineEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var cleared []*mcmessage.QuarantineEntry
	for _, other := range r.racing {
		if other != finished && other.sentTo != "" {
			cleared = append(cleared, r.gateway.Quarantine.End(time.Now(), other.sentTo, other.id, true)...)
		}
	}
	return cleared
}

// recordBrokenStream reports a broken stream, which alone is no evidence of a crash.
func (g *Gateway) recordBrokenStream(endpoint marigoldcroft.Endpoint, id marigoldcroft.StreamID) {
	if g.Quarantine != nil {
		g.Quarantine.StreamBroken(time.Now(), endpoint.Name(), id)
	}
}

// recordResumedStream reports that the endpoint still had the stream when it was asked, so
// that it has not crashed. It passes 0 for the incarnation, which a resume does not return.
func (g *Gateway) recordResumedStream(requestedAt time.Time, endpoint marigoldcroft.Endpoint) {
	if g.Quarantine != nil {
		g.Quarantine.IncarnationReported(time.Now(), requestedAt, endpoint.Name(), 0)
	}
}

// checkEndpoint finds out whether an endpoint crashed or only a stream broke: it asks for
// the endpoint's load until it gets an answer or the connection is refused. The error of
// a failed resume, passed as err, may already show a refused connection.
func (g *Gateway) checkEndpoint(ctx context.Context, endpoint marigoldcroft.Endpoint, err error) {
	if g.Quarantine == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endpointCheckTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if connectionRefused(err) {
			g.countCrash(endpoint)
			return
		}
		requestedAt := time.Now()
		var report marigoldcroft.LoadReport
		if report, err = g.Engine.Load(ctx, endpoint); err == nil {
			g.reportCrash(endpoint, g.Quarantine.IncarnationReported(time.Now(), requestedAt, endpoint.Name(), report.Incarnation))
			return
		}
		if !connectionRefused(err) {
			mcclock.Sleep(ctx, endpointCheckInterval)
		}
	}
}

// countCrash counts a crash of the endpoint, whose host refused a connection, if a stream of it
// broke.
func (g *Gateway) countCrash(endpoint marigoldcroft.Endpoint) {
	// The time is stored first, so that streams that break later do not miss it.
	g.refusedAt.Store(endpoint.Name(), time.Now())
	g.reportCrash(endpoint, g.Quarantine.ConnectionRefused(time.Now(), endpoint.Name()))
}

// checkRepeat decides, when the stream broke, whether the request may be tried again. It counts
// only crashes other than the one that may have broken the stream: another request that was in
// flight at the endpoint may have reported that one already.
func (a *attempt) checkRepeat(endpoint marigoldcroft.Endpoint) {
	near := a.run.nearQuarantine()
	refusedAt, refused := a.run.gateway.refusedAt.Load(endpoint.Name())
	if !refused || refusedAt.(time.Time).Before(a.startedAt) {
		a.nearQuarantine = near
	}
}

// reportCrash tells the scheduler and the peers about a crash that made requests
// suspects. It does nothing if there are no new suspects.
func (g *Gateway) reportCrash(endpoint marigoldcroft.Endpoint, newSuspects []*mcmessage.QuarantineEntry) {
	if len(newSuspects) == 0 {
		return
	}
	g.Logger.Warn().Str("endpoint", endpoint.Name()).Int("suspects", len(newSuspects)).Msg("endpointDied")
	g.Dispatcher.Scheduler.EndpointDown(time.Now(), endpoint.Name())
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	g.announce(ctx, newSuspects)
}

func (g *Gateway) announce(ctx context.Context, entries []*mcmessage.QuarantineEntry) {
	if g.AnnounceQuarantine != nil {
		g.AnnounceQuarantine(ctx, entries)
	}
}

// connectionRefused reports whether the endpoint's host answered that nothing listens on
// the port.
func connectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
