package mcforward

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcfleet"
	"marigoldcroft/mcmessage"
)

const (
	// baseDownTime is the longest time for which an endpoint gets no work after its first
	// failure. The time doubles with each consecutive failure up to maxDownTime; the actual
	// time is random between half of it and all of it.
	baseDownTime = 250 * time.Millisecond
	maxDownTime  = 2 * time.Second
	// failureCountTTL is the time without a failure after which an endpoint's failure count
	// is discarded.
	failureCountTTL = 10 * time.Second
	// silentThreshold is how many endpoints of one data centre must fail to acknowledge
	// anything within unreachableWindow for the data centre to count as unreachable. A
	// response from any endpoint there starts the count again.
	silentThreshold = 2
	// refusedThreshold is the same for endpoints that refuse connections, as a network
	// failure may cause refusals instead of time-outs. A process that died causes refusals
	// as well, but then other endpoints of its data centre still respond.
	refusedThreshold  = 3
	unreachableWindow = 2 * time.Second
	// probeDelay gives a dying process time to close its port before it is probed, and
	// secondProbeDelay is the time until the probe is repeated if the answer had just begun.
	probeDelay       = 60 * time.Millisecond
	secondProbeDelay = 120 * time.Millisecond
)

type (
	// healthTracker takes endpoints that could not be reached out of rotation and returns
	// them when they accept connections again.
	healthTracker struct {
		scheduler marigoldcroft.Scheduler
		// acceptsConnection reports whether the endpoint accepts a connection.
		acceptsConnection func(endpoint marigoldcroft.Endpoint) bool
		fleet             *mcfleet.Fleet
		logger            zerolog.Logger

		mu       sync.Mutex
		failures map[string]*endpointFailures
		// dataCentres holds, for each data centre, the endpoints that could not be reached
		// recently.
		dataCentres map[string]*dataCentreFailures
	}

	// dataCentreFailures is the evidence that a data centre is unreachable.
	dataCentreFailures struct {
		// unreachable maps each endpoint that could not be reached to the time of its
		// failure. It is cleared when any endpoint of the data centre responds.
		unreachable map[string]time.Time
	}

	endpointFailures struct {
		count int
		last  time.Time
		down  bool
		// ended is true once the host refused a connection, which shows that the process has ended.
		ended bool
	}
)

// markDown takes the endpoint out of rotation and schedules the check that may return it.
func (h *healthTracker) markDown(now time.Time, endpoint string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failures == nil {
		h.failures = make(map[string]*endpointFailures)
	}
	for name, s := range h.failures {
		if !s.down && now.Sub(s.last) > failureCountTTL {
			delete(h.failures, name)
		}
	}
	s := h.failures[endpoint]
	if s == nil {
		s = &endpointFailures{}
		h.failures[endpoint] = s
	}
	s.last = now
	if s.down {
		return
	}
	s.down = true
	s.count++
	bound := mcclock.Backoff(baseDownTime, maxDownTime, s.count-1)
	wait := bound/2 + rand.N(bound/2)
	h.logger.Info().Str("endpoint", endpoint).Int("failures", s.count).Dur("forMs", wait).Msg("endpointDown")
	h.scheduler.EndpointDown(now, endpoint)
	time.AfterFunc(wait, func() { h.recheck(endpoint) })
}

// markEnded takes the endpoint out of rotation because its host refused a connection. When it accepts
// connections again, another process runs there.
func (h *healthTracker) markEnded(now time.Time, endpoint string) {
	h.markDown(now, endpoint)
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.failures[endpoint]; s != nil {
		s.ended = true
	}
}

// recordSilent records an endpoint that did not acknowledge anything.
func (h *healthTracker) recordSilent(now time.Time, endpoint marigoldcroft.Endpoint) {
	h.recordUnreachable(now, endpoint, silentThreshold)
}

// recordRefused records an endpoint that refused a connection.
func (h *healthTracker) recordRefused(now time.Time, endpoint marigoldcroft.Endpoint) {
	h.recordUnreachable(now, endpoint, refusedThreshold)
}

// recordUnreachable records an endpoint that cannot be reached. When at least threshold
// endpoints of a data centre cannot be reached at once, the data centre counts as
// unreachable, and all its endpoints are taken out of rotation before each of them costs a
// request a time-out.
func (h *healthTracker) recordUnreachable(now time.Time, endpoint marigoldcroft.Endpoint, threshold int) {
	if !h.countUnreachable(now, endpoint, threshold) {
		return
	}
	h.logger.Warn().Str("dataCentre", endpoint.DataCentre()).Int("endpoints", threshold).Msg("dataCentreUnreachable")
	for _, other := range h.fleet.Endpoints() {
		if other.DataCentre() == endpoint.DataCentre() {
			h.markDown(now, other.Name())
		}
	}
}

// countUnreachable records the endpoint and reports whether its data centre thereby counts
// as unreachable.
func (h *healthTracker) countUnreachable(now time.Time, endpoint marigoldcroft.Endpoint, threshold int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dataCentres == nil {
		h.dataCentres = make(map[string]*dataCentreFailures)
	}
	s := h.dataCentres[endpoint.DataCentre()]
	if s == nil {
		s = &dataCentreFailures{unreachable: make(map[string]time.Time)}
		h.dataCentres[endpoint.DataCentre()] = s
	}
	for name, at := range s.unreachable {
		if now.Sub(at) > unreachableWindow {
			delete(s.unreachable, name)
		}
	}
	s.unreachable[endpoint.Name()] = now
	if len(s.unreachable) < threshold {
		return false
	}
	clear(s.unreachable)
	return true
}

// recordResponse records that an endpoint responded, so its data centre is reachable.
func (h *healthTracker) recordResponse(endpoint marigoldcroft.Endpoint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.dataCentres[endpoint.DataCentre()]; s != nil {
		clear(s.unreachable)
	}
}

// recheck returns the endpoint to rotation if it accepts a connection, which is then pooled
// for the next request. Otherwise the endpoint stays out for longer.
func (h *healthTracker) recheck(endpoint string) {
	if _, evacuated := h.fleet.EvacuatedSince(endpoint); evacuated {
		// The endpoint stays out of rotation, and is checked after the evacuation.
		time.AfterFunc(maxDownTime, func() { h.recheck(endpoint) })
		return
	}
	listed, ok := h.fleet.Endpoint(endpoint)
	reached := ok && h.acceptsConnection(listed)
	h.mu.Lock()
	s := h.failures[endpoint]
	if s == nil {
		h.mu.Unlock()
		return
	}
	ended := reached && s.ended
	s.down, s.ended = false, s.ended && !reached
	h.mu.Unlock()
	switch {
	case reached:
		if ended {
			h.fleet.MarkRestarted(endpoint, time.Now())
		}
		h.scheduler.ObserveReport(time.Now(), marigoldcroft.LoadReport{Endpoint: endpoint, Incarnation: h.fleet.Incarnation(endpoint)})
		h.logger.Info().Str("endpoint", endpoint).Msg("endpointBack")
	case ok:
		h.markDown(time.Now(), endpoint)
	default:
		h.forget(endpoint)
	}
}

// forget discards the failure record of an endpoint that is no longer listed.
func (h *healthTracker) forget(endpoint string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.failures, endpoint)
}

// tryConnect opens a connection to the endpoint and pools it for the next request.
func (f *Forwarder) tryConnect(endpoint marigoldcroft.Endpoint) bool {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := f.pool.get(ctx, endpoint)
	if err != nil {
		return false
	}
	f.pool.put(conn, 0)
	return true
}

// probe checks, after each of the delays, whether an endpoint whose connection broke has died, in
// which case its host refuses the connection. It calls survived, if that is not nil, when the
// endpoint accepts the last one.
func (f *Forwarder) probe(endpoint marigoldcroft.Endpoint, survived func(), delay time.Duration, further ...time.Duration) {
	time.AfterFunc(delay, func() {
		if _, evacuated := f.Fleet.EvacuatedSince(endpoint.Name()); evacuated {
			// No connection is opened to the data centre; whether the endpoint crashed stays unknown.
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		defer cancel()
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", endpoint.Address())
		if err == nil {
			// The connection served only to show that the endpoint listens.
			_ = conn.Close()
			switch {
			case len(further) > 0:
				f.probe(endpoint, survived, further[0], further[1:]...)
			case survived != nil:
				survived()
			}
			return
		}
		now := time.Now()
		if !errors.Is(err, syscall.ECONNREFUSED) {
			f.health.markDown(now, endpoint.Name())
		} else {
			f.health.markEnded(now, endpoint.Name())
			f.announce(endpoint.Name(), f.Quarantine.ConnectionRefused(now, endpoint.Name()))
		}
	})
}

// probeBroken probes an endpoint that broke the connection of an attempt, twice if the crash would
// be attributed to the prompt.
func (f *Forwarder) probeBroken(endpoint marigoldcroft.Endpoint, answerBegins bool) {
	if answerBegins {
		f.probe(endpoint, nil, probeDelay, secondProbeDelay)
		return
	}
	f.probe(endpoint, nil, probeDelay)
}

// confirmSurvival tells the quarantine about a response whose end is the end of its connection.
// It counts as complete once the endpoint is found to listen, as the response of a process that
// died looks the same.
func (f *Forwarder) confirmSurvival(endpoint marigoldcroft.Endpoint, id marigoldcroft.StreamID) {
	f.Quarantine.StreamBroken(time.Now(), endpoint.Name(), id)
	f.probe(endpoint, func() {
		f.announce(endpoint.Name(), f.Quarantine.End(time.Now(), endpoint.Name(), id, true))
	}, probeDelay)
}

// EndpointEnded reports to the quarantine that an endpoint's process ended without announcing that
// it leaves. Whether another process took its place makes no difference.
func (f *Forwarder) EndpointEnded(name string, _ uint64) {
	f.announce(name, f.Quarantine.ConnectionRefused(time.Now(), name))
}

// MergeSuspects merges the quarantine entries of peers. It clears those of shared prompt parts
// with which this instance answered requests.
func (f *Forwarder) MergeSuspects(entries []*mcmessage.QuarantineEntry) {
	now := time.Now()
	f.Quarantine.Merge(now, entries)
	f.announce("", f.Quarantine.ClearProvenParts(now))
}

// announce logs the quarantine entries that changed because the endpoint crashed or completed
// a response, and sends them to peers.
func (f *Forwarder) announce(endpoint string, entries []*mcmessage.QuarantineEntry) {
	if len(entries) == 0 {
		return
	}
	for _, e := range entries {
		f.Logger.Warn().Str("endpoint", endpoint).Uint64("fingerprint", e.GetFingerprint()).Uint32("crashes", e.GetCrashes()).Bool("part", e.GetPart()).
			Bool("quarantined", e.GetQuarantined()).Bool("cleared", e.GetCleared()).Msg("suspectChanged")
	}
	f.Announce(entries)
}
