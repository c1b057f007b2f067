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
	// reviveBase is how long an endpoint gets no work after it could not be reached. The
	// time doubles with each consecutive failure up to reviveMax.
	reviveBase = 250 * time.Millisecond
	reviveMax  = 2 * time.Second
	// reviveMemory is the time without a failure after which an endpoint's failure count is
	// discarded.
	reviveMemory = 10 * time.Second
	// silentEndpoints is how many endpoints of one data centre must time out within
	// silenceMemory, without a response from any other endpoint there, to show that the
	// data centre is unreachable.
	silentEndpoints = 2
	// refusedEndpoints is the same for refused connections, which a network cut may cause
	// instead of time-outs. Processes that died refuse connections as well, but then other
	// endpoints of their data centre still respond.
	refusedEndpoints = 3
	silenceMemory    = 2 * time.Second
	// probeDelay gives a dying process time to close its port before it is probed.
	probeDelay = 60 * time.Millisecond
)

type (
	// revivals takes endpoints that could not be reached out of rotation and returns them
	// when they accept connections again.
	revivals struct {
		scheduler marigoldcroft.Scheduler
		// reach reports whether the endpoint accepts a connection.
		reach  func(endpoint marigoldcroft.Endpoint) bool
		fleet  *mcfleet.Fleet
		logger zerolog.Logger

		mu     sync.Mutex
		series map[string]*failures
		// centres holds, for each data centre, the endpoints that could not be reached
		// recently.
		centres map[string]*silence
	}

	// silence is the evidence that a data centre is unreachable.
	silence struct {
		// endpoints maps each endpoint that could not be reached to the time of its
		// failure. A response of any endpoint of the data centre clears it.
		endpoints map[string]time.Time
	}

	failures struct {
		count int
		last  time.Time
		down  bool
	}
)

// down takes the endpoint out of rotation and schedules the check that may return it.
func (r *revivals) down(now time.Time, endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.series == nil {
		r.series = make(map[string]*failures)
	}
	for name, s := range r.series {
		if !s.down && now.Sub(s.last) > reviveMemory {
			delete(r.series, name)
		}
	}
	s := r.series[endpoint]
	if s == nil {
		s = &failures{}
		r.series[endpoint] = s
	}
	s.last = now
	if s.down {
		return
	}
	s.down = true
	s.count++
	bound := mcclock.Backoff(reviveBase, reviveMax, s.count-1)
	wait := bound/2 + rand.N(bound/2)
	r.logger.Info().Str("endpoint", endpoint).Int("failures", s.count).Dur("forMs", wait).Msg("endpointDown")
	r.scheduler.EndpointDown(now, endpoint)
	time.AfterFunc(wait, func() { r.up(endpoint) })
}

// silent records an endpoint that did not acknowledge anything.
func (r *revivals) silent(now time.Time, endpoint marigoldcroft.Endpoint) {
	r.lost(now, endpoint, silentEndpoints)
}

// refused records an endpoint that refused a connection.
func (r *revivals) refused(now time.Time, endpoint marigoldcroft.Endpoint) {
	r.lost(now, endpoint, refusedEndpoints)
}

// lost records an endpoint that cannot be reached. When as many endpoints of a data centre
// as enough cannot be reached at once, the data centre counts as unreachable, and all its
// endpoints are taken out of rotation before each of them costs a request a time-out.
func (r *revivals) lost(now time.Time, endpoint marigoldcroft.Endpoint, enough int) {
	if !r.unreachable(now, endpoint, enough) {
		return
	}
	r.logger.Warn().Str("dataCentre", endpoint.DataCentre()).Int("endpoints", enough).Msg("dataCentreUnreachable")
	for _, other := range r.fleet.Endpoints() {
		if other.DataCentre() == endpoint.DataCentre() {
			r.down(now, other.Name())
		}
	}
}

// unreachable records the endpoint and reports whether its data centre thereby counts as
// unreachable.
func (r *revivals) unreachable(now time.Time, endpoint marigoldcroft.Endpoint, enough int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.centres == nil {
		r.centres = make(map[string]*silence)
	}
	s := r.centres[endpoint.DataCentre()]
	if s == nil {
		s = &silence{endpoints: make(map[string]time.Time)}
		r.centres[endpoint.DataCentre()] = s
	}
	for name, at := range s.endpoints {
		if now.Sub(at) > silenceMemory {
			delete(s.endpoints, name)
		}
	}
	s.endpoints[endpoint.Name()] = now
	if len(s.endpoints) < enough {
		return false
	}
	clear(s.endpoints)
	return true
}

// heard records that an endpoint responded, so its data centre is reachable.
func (r *revivals) heard(endpoint marigoldcroft.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.centres[endpoint.DataCentre()]; s != nil {
		clear(s.endpoints)
	}
}

// up returns the endpoint to rotation if it accepts a connection, which is then pooled for
// the next request. Otherwise the endpoint stays out for longer.
func (r *revivals) up(endpoint string) {
	listed, ok := r.fleet.Endpoint(endpoint)
	reached := ok && r.reach(listed)
	r.mu.Lock()
	s := r.series[endpoint]
	if s == nil {
		r.mu.Unlock()
		return
	}
	s.down = false
	r.mu.Unlock()
	switch {
	case reached:
		r.scheduler.Observe(time.Now(), marigoldcroft.LoadReport{Endpoint: endpoint, Incarnation: r.fleet.Incarnation(endpoint)})
		r.logger.Info().Str("endpoint", endpoint).Msg("endpointBack")
	case ok:
		r.down(time.Now(), endpoint)
	default:
		r.forget(endpoint)
	}
}

// forget discards the record of an endpoint that no longer exists.
func (r *revivals) forget(endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.series, endpoint)
}

// reach opens a connection to the endpoint and pools it for the next request.
func (f *Forwarder) reach(endpoint marigoldcroft.Endpoint) bool {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	ch, err := f.channels.get(ctx, endpoint)
	if err != nil {
		return false
	}
	f.channels.keep(ch, 0)
	return true
}

// probe checks whether an endpoint whose connection broke has died, in which case its host
// refuses the connection.
func (f *Forwarder) probe(endpoint marigoldcroft.Endpoint) {
	time.AfterFunc(probeDelay, func() {
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		defer cancel()
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", endpoint.Address())
		if err == nil {
			// The connection served only to show that the endpoint listens.
			_ = conn.Close()
			return
		}
		now := time.Now()
		f.revivals.down(now, endpoint.Name())
		if errors.Is(err, syscall.ECONNREFUSED) {
			f.announce(f.Suspects.Refused(now, endpoint.Name()))
		}
	})
}

// Ended reports to the quarantine that an endpoint's process ended without announcing that
// it leaves. incarnation is that of the process that took its place, or 0.
func (f *Forwarder) Ended(name string, incarnation uint64) {
	now := time.Now()
	if incarnation != 0 {
		f.announce(f.Suspects.Answered(now, now, name, incarnation))
		return
	}
	f.announce(f.Suspects.Refused(now, name))
}

// announce logs changed quarantine entries and sends them to peers.
func (f *Forwarder) announce(entries []*mcmessage.QuarantineEntry) {
	if len(entries) == 0 {
		return
	}
	for _, e := range entries {
		f.Logger.Warn().Uint64("fingerprint", e.GetFingerprint()).Uint32("crashes", e.GetCrashes()).
			Bool("quarantined", e.GetQuarantined()).Bool("cleared", e.GetCleared()).Msg("suspectChanged")
	}
	f.Announce(entries)
}
