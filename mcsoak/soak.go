package mcsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http/httptest"
	"os"
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
	// startTime is how long instances may take until they serve.
	startTime = 15 * time.Second
	// objectiveTime is that of the users' short requests.
	objectiveTime = 300 * time.Millisecond
)

type (
	// Soak is one run. Its exported fields are set before Run.
	Soak struct {
		// Binary is the program of the entry instances.
		Binary string
		// Folder takes the settings and logs of the processes.
		Folder    string
		Seed      uint64
		Length    time.Duration
		Instances int
		Callers   int
		// Log gets a line for each fault.
		Log io.Writer

		ctx         context.Context
		began       time.Time
		store       *mcstandin.PlatformStore
		storeServer *httptest.Server
		instances   []*instance
		waits       sync.WaitGroup
		waitsFaults sync.WaitGroup

		mu       sync.Mutex
		servers  []*backend
		gone     []*backend
		backends int
		spans    []span
		outcomes map[string]*outcome
		report   Report
		// version and key are those of the newest configuration; revoked holds when the store
		// had accepted the configuration that took a key away.
		version int
		key     string
		revoked map[string]time.Time
		// stops is the time in which instances are stopped in turn and nothing else is harmed.
		stops span
	}

	// Report is the result of a run.
	Report struct {
		Seed                              uint64
		Requests, Answered, Refused, Lost int
		Broken                            []string
	}
)

func (r *Report) count(o *outcome) {
	r.Requests++
	switch {
	case o.status >= 200 && o.status < 300 && o.whole:
		r.Answered++
	case refusals[o.status]:
		r.Refused++
	case o.status == 0 || !o.whole:
		r.Lost++
	}
}

// Run plays the run and returns its report.
func (s *Soak) Run(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.ctx, s.began = ctx, time.Now()
	s.report.Seed, s.outcomes, s.revoked = s.Seed, make(map[string]*outcome), make(map[string]time.Time)
	defer s.stop()
	if err := s.start(); err != nil {
		return s.report, marigoldcroft.NewFailure("start", KindStart, err)
	}
	calling, stopCalling := context.WithCancel(ctx)
	var callers sync.WaitGroup
	callers.Go(func() { s.callers(calling) })
	s.began = time.Now()
	s.trouble()
	s.judgeRecovery()
	if ctx.Err() == nil {
		s.stopInTurn()
	}
	stopCalling()
	callers.Wait()
	s.judgeRuns()
	return s.report, ctx.Err()
}

// stopInTurn stops and starts every instance, while callers go on and nothing else is harmed.
func (s *Soak) stopInTurn() {
	for _, b := range s.allServers() {
		b.server.SetFaults(mcstandin.PlatformServerFaults{})
	}
	s.pause(callerTime) // Requests that were harmed before have ended.
	from := time.Now()
	random := rand.New(rand.NewPCG(s.Seed, 1))
	for _, i := range s.instances {
		s.restart(i, syscall.SIGTERM, random)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stops = span{from: from, to: time.Now()}
}

// start starts the stand-ins and the instances and waits until all serve.
func (s *Soak) start() error {
	s.store = mcstandin.NewPlatformStore(s.Seed)
	s.storeServer = httptest.NewServer(s.store)
	s.configure(false)
	for service, n := range map[string]int{"plain": plainServers, "pool": poolServers} {
		for range n {
			if _, err := s.startBackend(service); err != nil {
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
	for deadline := time.Now().Add(startTime); time.Now().Before(deadline); {
		if s.ctx.Err() != nil || s.allServe() {
			return s.ctx.Err()
		}
		s.pause(probePause)
	}
	return fmt.Errorf("not all of %d instances serve after %s", s.Instances, startTime)
}

func (s *Soak) allServe() bool {
	for _, i := range s.instances {
		o := &outcome{id: fmt.Sprintf("start-%d", time.Now().UnixNano()), instance: i, key: steadyKey, path: "/read/start"}
		if o.send(s.ctx, transport); o.status != 200 {
			return false
		}
	}
	return true
}

// stop ends all that the run started.
func (s *Soak) stop() {
	for _, i := range s.instances {
		i.life.Lock()
		i.signal(syscall.SIGCONT)
		i.end(syscall.SIGKILL)
		i.life.Unlock()
		i.callers.close()
		i.store.close()
		_ = i.log.Close()
	}
	s.waits.Wait()
	for _, b := range s.everyServer() {
		b.link.close()
		b.listener.CloseClientConnections()
	}
	if s.storeServer != nil {
		s.storeServer.CloseClientConnections()
	}
}

// configure writes the next configuration. It may replace the key that changes. Changes
// that overlap are written in the order of their versions.
func (s *Soak) configure(replaceKey bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	old := s.key
	if replaceKey || old == "" {
		s.key = fmt.Sprintf("key-%d", s.version)
	}
	c := mcstandin.PlatformConfig{
		Version: s.version, Services: []mcstandin.PlatformService{{Name: "plain"}, {Name: "pool"}},
		Teams: []mcstandin.PlatformTeam{{Name: team, Keys: []string{steadyKey, s.key}}},
	}
	for n, k := range kinds {
		c.Routes = append(c.Routes, k.route(n))
	}
	s.store.PutConfig(c)
	if old != "" && s.key != old {
		s.revoked[old] = time.Now()
	}
}

// route returns the route of a kind of request.
func (k kind) route(n int) mcstandin.PlatformRoute {
	r := mcstandin.PlatformRoute{
		Name: fmt.Sprintf("r%d", n), Host: host, Prefix: k.prefix, Kind: mcstandin.PlatformIdempotent, Service: k.service,
		TimeoutMs: callerTime.Milliseconds(), ObjectiveMs: objectiveTime.Milliseconds(), MaxAttempts: 2, Resumable: k.streaming && !k.once,
	}
	switch {
	case k.streaming:
		r.Kind = mcstandin.PlatformStreaming
	case k.once:
		r.Kind = mcstandin.PlatformNonIdempotent
	}
	return r
}

func (s *Soak) changingKey() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.key
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

func (s *Soak) allServers() []*backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*backend(nil), s.servers...)
}

// everyServer returns the servers with those that are gone.
func (s *Soak) everyServer() []*backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(append([]*backend(nil), s.servers...), s.gone...)
}

func (s *Soak) pause(d time.Duration) { mcclock.Sleep(s.ctx, d) }

func (s *Soak) logf(format string, arguments ...any) {
	fmt.Fprintf(s.Log, "%8.3f seed=%d "+format+"\n", append([]any{time.Since(s.began).Seconds(), s.Seed}, arguments...)...)
}

// Failed tells whether the run broke a guarantee; its folder is then kept.
func (r Report) Failed() bool { return len(r.Broken) > 0 }

// String returns the line of the report.
func (r Report) String() string {
	return fmt.Sprintf("seed=%d requests=%d answered=%d refused=%d lost=%d broken=%d", r.Seed, r.Requests, r.Answered, r.Refused, r.Lost, len(r.Broken))
}

// MakeRunFolder creates a temporary folder for the processes of a seed.
func MakeRunFolder(seed uint64) (string, error) {
	return os.MkdirTemp("", fmt.Sprintf("marigoldcroft-soak-%d-", seed))
}
