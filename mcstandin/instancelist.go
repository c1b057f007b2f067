package mcstandin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"marigoldcroft"
)

type (
	// InstanceListFaults are the faults that POST /control/faults sets. Each request replaces
	// both; a field that it leaves out is cleared.
	InstanceListFaults struct {
		// Outage answers each read with status 503.
		Outage bool `json:"outage"`
		// Stale keeps serving the current listing: changes by Set do not become visible.
		Stale bool `json:"stale"`
	}

	// InstanceList is a stand-in of the platform's instance list. A change becomes visible
	// after Lag.
	InstanceList struct {
		Lag time.Duration

		mu     sync.Mutex
		faults InstanceListFaults
		// visible is the listing that callers get; pending replaces it at visibleAt.
		visible   marigoldcroft.InstanceListing
		pending   *marigoldcroft.InstanceListing
		visibleAt time.Time
	}
)

// Set replaces the listing; callers see it after Lag.
func (l *InstanceList) Set(listing marigoldcroft.InstanceListing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending, l.visibleAt = &listing, time.Now().Add(l.Lag)
}

// Show replaces the listing at once.
func (l *InstanceList) Show(listing marigoldcroft.InstanceListing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.visible, l.pending = listing, nil
}

func (l *InstanceList) current() (marigoldcroft.InstanceListing, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending != nil && !l.faults.Stale && !time.Now().Before(l.visibleAt) {
		l.visible, l.pending = *l.pending, nil
	}
	return l.visible, !l.faults.Outage
}

// Handler returns the HTTP API with the controls of the listing and the faults.
func (l *InstanceList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", func(w http.ResponseWriter, _ *http.Request) {
		listing, up := l.current()
		if !up {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, listing)
	})
	mux.HandleFunc("POST /control/listing", func(w http.ResponseWriter, r *http.Request) {
		var listing marigoldcroft.InstanceListing
		if err := json.NewDecoder(io.LimitReader(r.Body, maxEngineBody)).Decode(&listing); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.Set(listing)
		writeJSON(w, listing)
	})
	mux.HandleFunc("POST /control/faults", func(w http.ResponseWriter, r *http.Request) {
		var faults InstanceListFaults
		if err := json.NewDecoder(io.LimitReader(r.Body, maxEngineBody)).Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.mu.Lock()
		l.faults = faults
		l.mu.Unlock()
		writeJSON(w, faults)
	})
	return mux
}
