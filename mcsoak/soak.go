package mcsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcstandin"
)

const (
	plainServers = 3
	poolServers  = 3
	// startTimeout limits the wait until all instances serve requests.
	startTimeout = 15 * time.Second
	// latencyObjective is the latency objective of all routes, that of short requests on the
	// users' platform.
	latencyObjective = 300 * time.Millisecond
)

type (
	// Soak is one run of the soak test. Its exported fields must be set before Run.
	Soak struct {
		// Binary is the path of the marigoldcroft executable that each instance runs.
		Binary string
		// Folder receives the settings files and logs of the processes.
		Folder string
		// Seed seeds the random choices of faults, callers and the store stand-in. The timing
		// of the processes still differs between runs with the same seed.
		Seed uint64
		// Length is the time during which faults are injected.
		Length time.Duration
		// Fault limits the faults to the one with this name; "" means all.
		Fault     string
		Instances int
		Callers   int
		// Log receives a line for each injected fault.
		Log io.Writer

		ctx          context.Context
		began        time.Time
		store        *mcstandin.PlatformStore
		storeServer  *httptest.Server
		instances    []*instance
		processes    sync.WaitGroup
		activeFaults sync.WaitGroup

		mu             sync.Mutex
		servers        []*backend
		removedServers []*backend
		startedServers int
		disruptions    []disruption
		outcomes       map[string]*outcome
		report         Report
		// version and rotatingKey belong to the newest configuration. revoked maps each revoked
		// key to the time at which the store had accepted the configuration without it.
		version     int
		rotatingKey string
		revoked     map[string]time.Time
		// deadlyActive is true while requests with deadlyPart may be open, deadlyShare the
		// fraction that have it, deadlyEndedAt the time of the last one, and crashes holds the
		// times at which it crashed servers.
		deadlyActive  bool
		deadlyShare   float64
		deadlyEndedAt time.Time
		crashes       []time.Time
		// quiet is the interval before the rolling restart, when no fault is active.
		quiet interval
		// evacuating is held during an evacuation, and evacuations holds all of them.
		evacuating  sync.Mutex
		evacuations []evacuation
		// rollingRestart is the interval of the rolling restart, in which no other fault is
		// active.
		rollingRestart interval
	}

	// Report is the result of a run.
	Report struct {
		Seed uint64
		// Requests counts all finished requests: Answered those with a complete response of
		// status 2xx, Refused those with a status of refusalStatuses, and Lost the remaining
		// ones without a complete response. Other complete responses count in Requests only.
		Requests, Answered, Refused, Lost int
		// Evacuations counts those that lasted for longer than evacuationLimit.
		Evacuations int
		// Broken describes up to maxBroken violated guarantees.
		Broken []string
	}
)

func (r *Report) count(o *outcome) {
	r.Requests++
	switch {
	case o.status >= 200 && o.status < 300 && o.complete:
		r.Answered++
	case refusalStatuses[o.status]:
		r.Refused++
	case o.status == 0 || !o.complete:
		r.Lost++
	}
}

// Run starts the processes, injects faults under load, checks recovery, restarts the
// instances one by one and returns the report. Violated guarantees are in the report, not in
// the error.
func (s *Soak) Run(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.ctx, s.began = ctx, time.Now()
	s.report.Seed, s.outcomes, s.revoked = s.Seed, make(map[string]*outcome), make(map[string]time.Time)
	defer s.stop()
	if s.Fault != "" && !slices.ContainsFunc(faults, func(f fault) bool { return f.name == s.Fault }) {
		return s.report, marigoldcroft.NewFailure("start", KindStart, fmt.Errorf("no fault has the name %q", s.Fault))
	}
	if err := s.start(); err != nil {
		return s.report, marigoldcroft.NewFailure("start", KindStart, err)
	}
	calling, stopCalling := context.WithCancel(ctx)
	var callers sync.WaitGroup
	callers.Go(func() { s.runCallers(calling) })
	s.began = time.Now()
	s.injectFaults()
	s.checkRecovery()
	if ctx.Err() == nil {
		s.restartInTurn()
	}
	stopCalling()
	callers.Wait()
	s.checkRuns()
	return s.report, ctx.Err()
}

// restartInTurn stops and restarts the instances one by one, while callers keep sending requests
// and no other fault is active.
func (s *Soak) restartInTurn() {
	for _, b := range s.currentServers() {
		b.server.SetFaults(mcstandin.PlatformServerFaults{})
	}
	quietFrom := time.Now()
	s.pause(callerTimeLimit) // Requests that earlier faults affected have ended by then.
	from := time.Now()
	random := rand.New(rand.NewPCG(s.Seed, 1))
	for _, i := range s.instances {
		s.restart(i, syscall.SIGTERM, random)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quiet, s.rollingRestart = interval{from: quietFrom, to: from}, interval{from: from, to: time.Now()}
}

// start starts the stand-ins and the instances and waits until all instances serve requests.
func (s *Soak) start() error {
	s.store = mcstandin.NewPlatformStore(s.Seed)
	s.storeServer = httptest.NewServer(s.store)
	s.configure(false)
	for service, n := range map[string]int{"plain": plainServers, "pool": poolServers} {
		for range n {
			if _, err := s.startBackend(service, "", ""); err != nil {
				return err
			}
		}
	}
	for n := range s.Instances {
		i, err := s.newInstance(n+1, strings.TrimPrefix(s.storeServer.URL, "http://"))
		if i != nil {
			s.instances = append(s.instances, i)
		}
		if err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); {
		if s.ctx.Err() != nil || s.allServing() {
			return s.ctx.Err()
		}
		s.pause(pollInterval)
	}
	return fmt.Errorf("not all of %d instances served a request within %s", s.Instances, startTimeout)
}

func (s *Soak) allServing() bool {
	for _, i := range s.instances {
		o := &outcome{id: fmt.Sprintf("start-%d", time.Now().UnixNano()), instance: i, key: steadyKey, path: "/read/start"}
		if o.send(s.ctx, transport); o.status != 200 {
			return false
		}
	}
	return true
}

// stop kills the processes and closes the proxies and stand-ins of the run. Paused processes
// are resumed first.
func (s *Soak) stop() {
	for _, i := range s.instances {
		i.restartMu.Lock()
		i.signal(syscall.SIGCONT)
		i.end(syscall.SIGKILL)
		i.restartMu.Unlock()
		i.callerProxy.close()
		i.storeProxy.close()
		_ = i.log.Close()
	}
	s.processes.Wait()
	for _, b := range s.currentAndRemovedServers() {
		b.link.close()
		b.listener.CloseClientConnections()
	}
	if s.storeServer != nil {
		s.storeServer.CloseClientConnections()
	}
}

// configure writes the next version of the configuration to the store. With replaceKey it
// revokes the rotating key and issues a new one. The lock is held during the write, so that
// concurrent changes are written in the order of their versions: an older one must not bring
// back a key that counts as revoked.
func (s *Soak) configure(replaceKey bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	old := s.rotatingKey
	if replaceKey || old == "" {
		s.rotatingKey = fmt.Sprintf("key-%d", s.version)
	}
	c := mcstandin.PlatformConfig{
		Version: s.version, Services: []mcstandin.PlatformService{{Name: coldService, ColdStartS: coldTime.Seconds(), ColdPerS: coldPerSecond}, {Name: "pool"}},
		Teams: []mcstandin.PlatformTeam{{Name: team, Keys: []string{steadyKey, s.rotatingKey}}},
	}
	for n, k := range requestKinds {
		c.Routes = append(c.Routes, k.route(n))
	}
	s.store.PutConfig(c)
	if old != "" && s.rotatingKey != old {
		s.revoked[old] = time.Now()
	}
}

// route returns the configuration of the nth route, which serves requests of this kind.
func (k requestKind) route(n int) mcstandin.PlatformRoute {
	r := mcstandin.PlatformRoute{
		Name: fmt.Sprintf("r%d", n), Host: host, Prefix: k.prefix, Kind: mcstandin.PlatformIdempotent, Service: k.service,
		TimeoutMs: callerTimeLimit.Milliseconds(), ObjectiveMs: latencyObjective.Milliseconds(), MaxAttempts: 2, Resumable: k.streaming && !k.atMostOnce,
	}
	switch {
	case k.streaming:
		r.Kind = mcstandin.PlatformStreaming
	case k.atMostOnce:
		r.Kind = mcstandin.PlatformNonIdempotent
	}
	return r
}

func (s *Soak) currentRotatingKey() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rotatingKey
}

func (s *Soak) revokedBefore(key string, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	revoked, ok := s.revoked[key]
	return ok && revoked.Before(at)
}

func (s *Soak) anyInstance(r *rand.Rand) *instance { return s.instances[r.IntN(len(s.instances))] }

func (s *Soak) anyServer(r *rand.Rand) *backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers[r.IntN(len(s.servers))]
}

func (s *Soak) currentServers() []*backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*backend(nil), s.servers...)
}

// currentAndRemovedServers returns the current servers followed by those that were removed.
func (s *Soak) currentAndRemovedServers() []*backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(append([]*backend(nil), s.servers...), s.removedServers...)
}

func (s *Soak) pause(d time.Duration) { mcclock.Sleep(s.ctx, d) }

func (s *Soak) logf(format string, arguments ...any) {
	fmt.Fprintf(s.Log, "%8.3f seed=%d "+format+"\n", append([]any{time.Since(s.began).Seconds(), s.Seed}, arguments...)...)
}

// Failed reports whether the run violated a guarantee; its logs are then kept.
func (r Report) Failed() bool { return len(r.Broken) > 0 }

// String returns the summary line that the soak command prints.
func (r Report) String() string {
	return fmt.Sprintf("seed=%d requests=%d answered=%d refused=%d lost=%d evacuations=%d broken=%d", r.Seed, r.Requests, r.Answered, r.Refused, r.Lost, r.Evacuations, len(r.Broken))
}

// MakeRunFolder creates a temporary folder for the settings and logs of one run.
func MakeRunFolder(seed uint64) (string, error) {
	return os.MkdirTemp("", fmt.Sprintf("marigoldcroft-soak-%d-", seed))
}
