package mcentry

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"marigoldcroft"
	"marigoldcroft/mcadmin"
	"marigoldcroft/mcconfig"
	"marigoldcroft/mcmember"
	"marigoldcroft/mcmessage"
	"marigoldcroft/mcquarantine"
	"marigoldcroft/mcstop"
	"marigoldcroft/mcstore"
)

const (
	// pollTimeout limits the reads of a balancer's check or of the metrics, and the writes of its
	// answer.
	pollTimeout = 10 * time.Second
	// commandTimeout is the same for an operator's command, whose client waits for 20 s.
	commandTimeout = 30 * time.Second
)

// stateNames are the member states as the operators' interface shows them.
var stateNames = map[mcmessage.MemberState]string{
	mcmessage.MemberState_MEMBER_STATE_LIVE:     "live",
	mcmessage.MemberState_MEMBER_STATE_DRAINING: "draining",
	mcmessage.MemberState_MEMBER_STATE_GONE:     "gone",
	mcmessage.MemberState_MEMBER_STATE_SUSPECT:  "suspect",
}

// breakerNames are the states of the store's circuit breaker as the operators' interface
// shows them.
var breakerNames = map[mcstore.BreakerState]string{
	mcstore.BreakerClosed:   "reachable",
	mcstore.BreakerHalfOpen: "probing",
	mcstore.BreakerOpen:     "unreachable",
}

// operations implements the operators' commands and queries for this instance.
type operations struct{ entry *Entry }

// Drain begins a graceful shutdown of the instance. For another instance it forwards the
// command.
func (o *operations) Drain(ctx context.Context, instance string) error {
	if instance == o.entry.Settings.Instance {
		o.entry.drainOnce.Do(func() { close(o.entry.drain) })
		return nil
	}
	for _, view := range o.entry.membership.live() {
		if view.Instance == instance {
			return o.entry.adminClient(view.AdminAddress).Command(ctx, "instances/"+url.PathEscape(instance)+"/drain")
		}
	}
	return marigoldcroft.NewFailure("drain "+instance, mcadmin.KindNotFound, nil)
}

// SetLeaving sets or clears the operators' mark that an endpoint is leaving.
func (o *operations) SetLeaving(endpoint string, leaving bool) error {
	if _, known := o.entry.membership.member.Endpoint(endpoint); !known {
		return marigoldcroft.NewFailure("mark "+endpoint, mcadmin.KindNotFound, nil)
	}
	o.entry.membership.member.SetLeaving(endpoint, leaving)
	return nil
}

// ClearQuarantine lifts the quarantine of a request on all instances.
func (o *operations) ClearQuarantine(fingerprint uint64) error {
	o.entry.watcher.mergeQuarantine()
	entry := o.entry.quarantine.Clear(time.Now(), mcquarantine.Fingerprint(fingerprint))
	if entry == nil {
		return marigoldcroft.NewFailure("clear quarantine", mcadmin.KindNotFound, errors.Newf("no entry for fingerprint %x", fingerprint))
	}
	o.entry.membership.announce([]*mcmessage.QuarantineEntry{entry})
	return nil
}

// Status returns this instance's view of the deployment.
func (o *operations) Status() mcadmin.Status {
	e := o.entry
	traffic := e.membership.member.Traffic()
	return mcadmin.Status{
		Instance: e.Settings.Instance, DataCentre: e.Settings.DataCentre, Region: e.Settings.Region,
		Incarnation: e.identity.Incarnation(), Draining: e.gateway.Draining(),
		InFlight: e.gateway.InFlight(), Queued: e.scheduler.Queued(),
		Store: breakerNames[e.store.Breaker()], Config: e.follower.Status(),
		Members: memberStatuses(e), Endpoints: endpointStatuses(e.membership.member.Endpoints()),
		PeerExchange: mcadmin.PeerExchangeStatus{
			BytesPerSecond: traffic.BytesPerSecond, Budget: traffic.Budget, IntervalMs: traffic.Interval.Milliseconds(),
		},
	}
}

func memberStatuses(e *Entry) []mcadmin.MemberStatus {
	var statuses []mcadmin.MemberStatus
	for _, view := range e.membership.member.Members() {
		status := mcadmin.MemberStatus{
			Instance: view.Instance, DataCentre: view.DataCentre, State: stateNames[view.State],
			Revision: view.ConfigRevision, AgeMs: view.Age.Milliseconds(),
		}
		if view.Instance == e.Settings.Instance {
			status.Revision, status.AgeMs = e.follower.Current().Revision(), 0
		}
		statuses = append(statuses, status)
	}
	for _, contact := range e.membership.member.NeverContacted() {
		statuses = append(statuses, mcadmin.MemberStatus{Instance: contact.Instance, DataCentre: contact.DataCentre, State: "unheard"})
	}
	return statuses
}

func endpointStatuses(views []mcmember.EndpointView) []mcadmin.EndpointStatus {
	statuses := make([]mcadmin.EndpointStatus, 0, len(views))
	for _, view := range views {
		state := "live"
		switch {
		case view.Down:
			state = "down"
		case view.Leaving:
			state = "leaving"
		case !view.Listed:
			state = "not listed"
		}
		statuses = append(statuses, mcadmin.EndpointStatus{
			Name: view.Endpoint.Name(), Kind: string(view.Endpoint.Kind()), Pool: view.Endpoint.Pool(), State: state,
			Running: view.Report.Running, Waiting: view.Report.Waiting, AgeMs: view.Age.Milliseconds(),
		})
	}
	return statuses
}

// Explain returns the scheduler's current decision for a hypothetical request.
func (o *operations) Explain(teamName, templateName string, tokens int64) (mcadmin.SchedulingDecision, error) {
	config := o.entry.follower.Current()
	team, ok := config.Team(teamName)
	if !ok {
		return mcadmin.SchedulingDecision{}, marigoldcroft.NewFailure("explain team "+teamName, mcadmin.KindNotFound, nil)
	}
	template, ok := config.Template(templateName)
	if !ok || template.Model() == "" {
		return mcadmin.SchedulingDecision{}, marigoldcroft.NewFailure("explain model template "+templateName, mcadmin.KindNotFound, nil)
	}
	now := time.Now()
	decision := o.entry.scheduler.Explain(now, marigoldcroft.Work{
		ID: marigoldcroft.NewStreamID("explain-"+uuid.NewString(), 1), Team: team.Name(), Model: template.Model(),
		Urgency: template.Urgency(), Weight: team.Weight(), Deadline: now.Add(template.Deadline()),
		PromptTokens: tokens, OutputTokens: int64(template.MaxOutputTokens()),
	})
	return mcadmin.SchedulingDecision{
		Action: decision.Action.String(), Reason: string(decision.Reason), Endpoint: decision.Endpoint,
		Class: decision.Class.String(), StartMs: milliseconds(decision.PredictedStart),
		FirstTokenMs: milliseconds(decision.PredictedFirstToken), RetryAfterMs: decision.RetryAfter.Milliseconds(),
		Revision: config.Revision(),
	}, nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// adminServer returns the operators' HTTP server, which uses mutual TLS if it is
// configured.
func (e *Entry) adminServer() *http.Server {
	o := &operations{entry: e}
	handler := (&mcadmin.Server{
		Editor: e.Editor(), Query: &mcconfig.Query{Store: e.store, Follower: e.follower}, Command: o, Instance: o,
		Jobs: e.gateway.Jobs, JobQuery: e.gateway.JobStatus, Logger: e.logger,
	}).Handler()
	server := newOperationsServer(handler, commandTimeout)
	server.MaxHeaderBytes = e.Settings.Limits.MaxHeaderBytes
	if e.credentials != nil {
		server.TLSConfig = e.credentials.HTTPServer()
	}
	return server
}

// newOperationsServer returns a server for clients other than callers. Each request and its answer have
// the time limit.
func newOperationsServer(handler http.Handler, limit time.Duration) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ReadTimeout: limit, WriteTimeout: limit,
	}
}

// adminClient returns a client of another instance's operators' interface.
func (e *Entry) adminClient(address string) *mcadmin.Client {
	if e.credentials == nil {
		return mcadmin.NewClient(address, nil)
	}
	return mcadmin.NewClient(address, e.credentials.HTTPClient())
}

// serveAdmin serves the operators' interface until ctx ends.
func (e *Entry) serveAdmin(ctx context.Context) error {
	server := e.adminServer()
	go func() {
		<-ctx.Done()
		// The error is ignored, as the listener is closed in any case.
		_ = server.Close()
	}()
	serve := server.Serve
	if server.TLSConfig != nil {
		serve = func(l net.Listener) error { return server.ServeTLS(l, "", "") }
	}
	if err := serve(mcstop.NewConnections(server, e.admin, e.clients.operators)); !errors.Is(err, http.ErrServerClosed) {
		return marigoldcroft.NewFailure("serve operators", KindServe, err)
	}
	return nil
}
