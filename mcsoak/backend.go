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
	streamEvents = 12
	eventTime    = 25 * time.Millisecond
	callTime     = 60 * time.Millisecond
	serverSlots  = 8
	dataCentre   = "z"
)

// backend is one server of a service with its entry in the store and the link to it.
type backend struct {
	id, service string
	server      *mcstandin.PlatformServer
	listener    *httptest.Server
	link        *proxy
	// ending is true once the soak ends the server.
	ending atomic.Bool

	mu sync.Mutex
	// leavingAt is when the store had accepted that the server is leaving.
	leavingAt time.Time
	// late are requests that began too long after that.
	late []string
}

// startBackend starts a server and enters it in the store.
func (s *Soak) startBackend(service string) (*backend, error) {
	s.mu.Lock()
	s.backends++
	b := &backend{id: fmt.Sprintf("i-%s-%d", service, s.backends), service: service}
	s.mu.Unlock()
	b.server = &mcstandin.PlatformServer{ID: b.id, Events: streamEvents, EventInterval: eventTime, CallTime: callTime}
	b.listener = httptest.NewServer(http.HandlerFunc(b.serve))
	var err error
	if b.link, err = newProxy(strings.TrimPrefix(b.listener.URL, "http://")); err != nil {
		return nil, err
	}
	s.enter(b, mcstandin.PlatformReady)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = append(s.servers, b)
	return b, nil
}

// serve notes requests that reach a server which has said for long that it leaves.
func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	if !b.leavingAt.IsZero() && time.Since(b.leavingAt) > leavingLimit {
		b.late = append(b.late, r.Header.Get("Request-Id"))
	}
	b.mu.Unlock()
	b.server.ServeHTTP(w, r)
}

// enter writes the server's entry.
func (s *Soak) enter(b *backend, state string) {
	s.store.PutEntry(b.id, mcstandin.PlatformEntry{
		Service: b.service, Address: b.link.address, DataCentre: dataCentre, Slots: serverSlots, State: state, Started: time.Now().UnixMilli(),
	})
}

// leave makes the server leave: it says so, serves on for a while and ends.
func (s *Soak) leave(b *backend) {
	s.enter(b, mcstandin.PlatformDraining)
	b.mu.Lock()
	b.leavingAt = time.Now()
	b.mu.Unlock()
	s.pause(leavingTime)
	s.remove(b)
}

// crash ends the server without a word; its entry lapses later.
func (s *Soak) crash(b *backend) {
	b.link.close()
	b.listener.CloseClientConnections()
	s.pause(lapseTime)
	s.remove(b)
}

// remove takes the server out of the store and ends it.
func (s *Soak) remove(b *backend) {
	s.store.RemoveEntry(b.id)
	b.link.close()
	b.listener.CloseClientConnections()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.servers {
		if other == b {
			s.servers = append(s.servers[:i:i], s.servers[i+1:]...)
			s.gone = append(s.gone, b)
		}
	}
}
