package mcmember

import (
	"context"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"marigoldcroft"
)

const (
	// PollInterval is the time between two polls of an endpoint by the same member. It is
	// also the deadline of each poll.
	PollInterval = time.Second
	// ConfirmAge is the age of an endpoint's load report above which Confirm polls the
	// endpoint.
	ConfirmAge = 3 * time.Second
)

// pollLoop polls the endpoints that are assigned to this member.
func (m *Member) pollLoop(ctx context.Context) error {
	ticker := time.NewTicker(PollInterval)
	defer ticker.Stop()
	for {
		var endpoints []marigoldcroft.Endpoint
		m.withTable(func(t *Table, now time.Time) { endpoints = t.AssignedPolls(now) })
		for _, e := range endpoints {
			if m.beginPoll(e.Name()) {
				m.running.Go(func() { m.pollAfterDelay(ctx, e) })
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// beginPoll marks a poll of the endpoint as running. It returns false if one already is.
func (m *Member) beginPoll(endpoint string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runningPolls[endpoint] {
		return false
	}
	m.runningPolls[endpoint] = true
	return true
}

// pollAfterDelay polls the endpoint after a delay of up to half of PollInterval. The delay is a
// hash of endpoint and poller, which spreads the polls over the interval.
func (m *Member) pollAfterDelay(ctx context.Context, e marigoldcroft.Endpoint) {
	defer func() {
		m.mu.Lock()
		delete(m.runningPolls, e.Name())
		m.mu.Unlock()
	}()
	delay := xxhash.Sum64String(e.Name()+"/"+m.Self.Identity.Instance()) % uint64(PollInterval/2)
	timer := time.NewTimer(time.Duration(delay))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
		m.poll(ctx, e)
	}
}

// poll fetches the endpoint's load once and records the report or the failure.
func (m *Member) poll(ctx context.Context, e marigoldcroft.Endpoint) error {
	parent := ctx
	ctx, cancel := context.WithTimeout(ctx, PollInterval)
	defer cancel()
	requestedAt := time.Now()
	report, err := m.Loader.Load(ctx, e)
	if err == nil && report.Endpoint != "" && report.Endpoint != e.Name() {
		err = errors.Newf("the load report is for endpoint %q", report.Endpoint)
	}
	if err == nil {
		report.Endpoint = e.Name()
		m.withTable(func(t *Table, now time.Time) { err = t.ObservePoll(now, requestedAt, report) })
		return err
	}
	if parent.Err() == nil {
		refused := errors.Is(err, syscall.ECONNREFUSED)
		m.withTable(func(t *Table, now time.Time) { t.ObserveFailure(now, requestedAt, e.Name(), refused) })
	}
	return marigoldcroft.NewFailure("poll "+e.Name(), KindUnreachable, err)
}

// Confirm returns the state of the endpoint. If the newest report is older than ConfirmAge
// it polls the endpoint first; concurrent calls share one poll. On an error the endpoint
// could not be polled, and the last known state is returned.
func (m *Member) Confirm(ctx context.Context, endpoint string) (EndpointView, error) {
	for {
		var view EndpointView
		known, pollDone := false, (chan struct{})(nil)
		m.withTable(func(t *Table, now time.Time) {
			view, known = t.Endpoint(now, endpoint)
			if !known || view.Age <= ConfirmAge || m.Loader == nil || view.Endpoint.Address() == "" {
				return
			}
			if pollDone = m.pendingConfirms[endpoint]; pollDone == nil {
				m.pendingConfirms[endpoint] = make(chan struct{})
			}
		})
		switch {
		case !known:
			return view, marigoldcroft.NewFailure("confirm "+endpoint, KindUnknownEndpoint, nil)
		case view.Age <= ConfirmAge:
			return view, nil
		case m.Loader == nil || view.Endpoint.Address() == "":
			return view, marigoldcroft.NewFailure("confirm "+endpoint, KindUnreachable, errors.New("the endpoint has no known address"))
		case pollDone == nil:
			return m.pollForConfirm(ctx, view)
		}
		select {
		case <-ctx.Done():
			return view, marigoldcroft.NewFailure("confirm "+endpoint, KindUnreachable, ctx.Err())
		case <-pollDone:
		}
	}
}

// pollForConfirm polls the endpoint for Confirm and wakes the concurrent calls that wait for
// the result.
func (m *Member) pollForConfirm(ctx context.Context, view EndpointView) (EndpointView, error) {
	name := view.Endpoint.Name()
	err := m.poll(ctx, view.Endpoint)
	m.withTable(func(t *Table, now time.Time) {
		view, _ = t.Endpoint(now, name)
		close(m.pendingConfirms[name])
		delete(m.pendingConfirms, name)
	})
	return view, err
}
