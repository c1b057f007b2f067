package mcsoak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"marigoldcroft/mcstandin"
)

const (
	streamEvents   = 12
	eventInterval  = 25 * time.Millisecond
	serverWorkTime = 60 * time.Millisecond
	serverSlots    = 8
	dataCentre     = "z"
)

// backend is a stand-in server of a service. Its entry in the store names the address of link,
// the proxy through which instances reach it.
type backend struct {
	id, service, dataCentre string
	started                 time.Time
	server                  *mcstandin.PlatformServer
	listener                *httptest.Server
	link                    *proxy
	// replacing is true once a fault has chosen the server to be replaced.
	replacing atomic.Bool
	// endless is the server that answers requests in place of server while endlessLeft is positive.
	endless     atomic.Pointer[mcstandin.EndlessServer]
	endlessLeft atomic.Int64
	// crashed is true once a request with deadlyPart has crashed the server.
	crashed atomic.Bool

	mu sync.Mutex
	// leavingAt is the time at which the store had accepted the leaving state; zero before.
	leavingAt time.Time
	// isCold is true if the server takes only coldPerSecond requests a second until coldTime after its
	// start, and coldArrivals are the times of the requests that it got until then.
	isCold       bool
	coldArrivals []time.Time
	// lateRequests are the IDs of requests that arrived more than leavingLimit after leavingAt.
	lateRequests []string
}

// startBackend starts a server and writes its entry to the store. It uses a new ID if the given
// one is "", and a free address likewise.
func (s *Soak) startBackend(service, id, address string) (*backend, error) {
	s.mu.Lock()
	s.startedServers++
	n := s.startedServers
	s.mu.Unlock()
	if id == "" {
		id = fmt.Sprintf("i-%s-%d", service, n)
	}
	b := &backend{
		id: id, service: service, dataCentre: s.nextDataCentre(service, address), started: time.Now(),
		isCold: service == coldService && len(s.instances) == s.Instances,
	}
	b.server = &mcstandin.PlatformServer{
		ID: b.id, Events: streamEvents, EventInterval: eventInterval, CallTime: serverWorkTime,
		CrashOnPart: deadlyPart, CrashAfterEvents: n % 3, CrashAfterBytes: 5 * (n % 4), Crash: func() { s.crashOnPart(b) },
	}
	b.listener = httptest.NewServer(http.HandlerFunc(b.serve))
	var err error
	if address == "" {
		if address, err = mcstandin.FreeAddress(); err != nil {
			return nil, err
		}
	}
	if b.link, err = listenProxy(address, strings.TrimPrefix(b.listener.URL, "http://")); err != nil {
		return nil, err
	}
	s.writeEntry(b, mcstandin.PlatformReady)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = append(s.servers, b)
	return b, nil
}

// serve records requests that arrive more than leavingLimit after the server began to leave,
// and serves all requests. Health checks may reach it until its end.
func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	b.countCold(r)
	if r.URL.Path != mcstandin.PlatformHealthPath && !b.leavingAt.IsZero() && time.Since(b.leavingAt) > leavingLimit {
		b.lateRequests = append(b.lateRequests, r.Header.Get("Request-Id"))
	}
	b.mu.Unlock()
	if endless := b.endless.Load(); endless != nil && b.endlessLeft.Add(-1) >= 0 {
		endless.ServeHTTP(w, r)
		return
	}
	b.server.ServeHTTP(w, r)
}

// writeEntry writes the entry of the server with the given state to the store.
func (s *Soak) writeEntry(b *backend, state string) {
	s.store.PutEntry(b.id, mcstandin.PlatformEntry{
		ColdLeftMs: b.coldLeft().Milliseconds(),
		Service:    b.service, Address: b.link.address, DataCentre: b.dataCentre, Slots: serverSlots, State: state, Started: b.started.UnixMilli(),
	})
}

// leave announces in the store that the server is leaving, lets it serve for leavingTime and
// removes it.
func (s *Soak) leave(b *backend) {
	s.writeEntry(b, mcstandin.PlatformDraining)
	b.beginLeaving()
	s.pause(leavingTime)
	s.remove(b)
}

// beginLeaving makes the server state in its answers and health checks that it is leaving.
func (b *backend) beginLeaving() {
	b.server.SetStatement(mcstandin.PlatformStatement{Leaving: true})
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leavingAt = time.Now()
}

// crash makes the server unreachable without notice and removes its entry after
// entryLapseTime, as the entry of a crashed server lapses.
func (s *Soak) crash(b *backend) {
	b.link.close()
	b.listener.CloseClientConnections()
	s.pause(entryLapseTime)
	s.remove(b)
}

// remove deletes the entry of the server, makes it unreachable and moves it to the removed
// servers.
func (s *Soak) remove(b *backend) {
	s.store.RemoveEntry(b.id)
	b.link.close()
	b.listener.CloseClientConnections()
	s.moveToRemoved(b)
}
