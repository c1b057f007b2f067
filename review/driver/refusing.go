package main

import (
	"net/http"
	"sync"
	"time"

	"marigoldcroft/mcstandin"
	"marigoldcroft/review/harness"
)

// refusingServer is a server that records when requests reach it.
type refusingServer struct {
	*mcstandin.PlatformServer
	record *harness.Record

	mu sync.Mutex
	at []time.Time
}

// ServeHTTP serves one request.
func (s *refusingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.at = append(s.at, time.Now())
	s.mu.Unlock()
	s.record.Printf("server: %s got request %s", s.ID, r.Header.Get("Request-Id"))
	s.PlatformServer.ServeHTTP(w, r)
}

// Arrivals returns when requests reached the server.
func (s *refusingServer) Arrivals() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.at...)
}
