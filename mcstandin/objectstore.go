package mcstandin

import (
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"marigoldcroft"
	"marigoldcroft/mcstore"
)

const (
	maxObjectBytes       = 1 << 20
	maxStoreControlBytes = 1 << 16
	maxStoreWatchWait    = time.Minute
	maxStoreListEntries  = 1000
)

type (
	// ObjectStoreFaults are the faults that POST /control/faults sets. Fields that a request
	// leaves out keep their values.
	ObjectStoreFaults struct {
		// Outage answers each call with status 503; the call has no effect.
		Outage bool `json:"outage"`
		// SlowMs delays each call before it takes effect.
		SlowMs int64 `json:"slowMs"`
		// LostResponses is the probability that a write takes effect but its connection is
		// closed without a response.
		LostResponses float64 `json:"lostAnswers"`
		// WritesPerSecond and ReadsPerSecond are rate limits; calls above them get status
		// 429. 0 means no limit. A watch counts as a read.
		WritesPerSecond float64 `json:"writesPerSecond"`
		ReadsPerSecond  float64 `json:"readsPerSecond"`
		// Save takes a snapshot of the objects and Restore returns to it. Both act once;
		// if both are set, Restore acts first.
		Save    bool `json:"save"`
		Restore bool `json:"restore"`
	}

	// ObjectStore is a stand-in of the platform's object store: an http.Handler over an
	// in-memory store.
	ObjectStore struct {
		store mcstore.Memory

		mu       sync.Mutex
		random   *rand.Rand
		faults   ObjectStoreFaults
		writes   *rate.Limiter
		reads    *rate.Limiter
		snapshot map[string]marigoldcroft.Object
		// counts holds the number of calls by kind: get, list, watch, put and delete.
		// Calls that met an injected fault also count as outage, limited or lost.
		counts map[string]int64
	}
)

// NewObjectStore returns an empty store; seed is the seed of the random faults.
func NewObjectStore(seed uint64) *ObjectStore {
	return &ObjectStore{random: rand.New(rand.NewPCG(seed, seed)), counts: make(map[string]int64)}
}

// Memory returns the store behind the handler.
func (s *ObjectStore) Memory() *mcstore.Memory { return &s.store }

// SetFaults replaces the faults and takes or restores the snapshot.
func (s *ObjectStore) SetFaults(faults ObjectStoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.Restore {
		s.store.Restore(s.snapshot)
	}
	if faults.Save {
		s.snapshot = s.store.Snapshot()
	}
	faults.Save, faults.Restore = false, false
	s.writes = updatedLimiter(s.writes, s.faults.WritesPerSecond, faults.WritesPerSecond)
	s.reads = updatedLimiter(s.reads, s.faults.ReadsPerSecond, faults.ReadsPerSecond)
	s.faults = faults
}

// updatedLimiter returns the limiter of a rate, or nil for no limit. An unchanged rate keeps its
// limiter and so the calls that it has counted.
func updatedLimiter(current *rate.Limiter, before, after float64) *rate.Limiter {
	if before == after {
		return current
	}
	if after <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(after), max(1, int(after/10)))
}

// Counts returns the number of calls by kind.
func (s *ObjectStore) Counts() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.counts)
}

// ServeHTTP serves the store's API and /control. It matches paths by prefix instead of using
// http.ServeMux, which cleans paths and so would change keys that contain ".." or "//".
func (s *ObjectStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key, isObject := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	watched, isWatch := strings.CutPrefix(r.URL.Path, "/v1/watch/")
	switch {
	case r.URL.Path == "/control/faults" && r.Method == http.MethodPost:
		s.serveFaults(w, r)
	case r.URL.Path == "/control/counts":
		writeStoreJSON(w, s.Counts())
	case isObject && r.Method == http.MethodGet:
		s.call(w, r, "get", func() { s.get(w, r, key) })
	case isObject && r.Method == http.MethodPut:
		s.call(w, r, "put", func() { s.put(w, r, key) })
	case isObject && r.Method == http.MethodDelete:
		s.call(w, r, "delete", func() { s.remove(w, r, key) })
	case r.URL.Path == "/v1/objects" && r.Method == http.MethodGet:
		s.call(w, r, "list", func() { s.list(w, r) })
	case isWatch && r.Method == http.MethodGet:
		s.call(w, r, "watch", func() { s.watch(w, r, watched) })
	default:
		http.NotFound(w, r)
	}
}

func (s *ObjectStore) serveFaults(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxStoreControlBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	writeStoreJSON(w, faults)
}

// call counts a call, applies the faults that act before its effect, and runs it.
func (s *ObjectStore) call(w http.ResponseWriter, r *http.Request, kind string, run func()) {
	s.mu.Lock()
	s.counts[kind]++
	faults, limit := s.faults, s.reads
	if kind == "put" || kind == "delete" {
		limit = s.writes
	}
	limited := limit != nil && !limit.Allow()
	if limited {
		s.counts["limited"]++
	}
	s.mu.Unlock()
	if limited {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	if faults.SlowMs > 0 {
		select {
		case <-time.After(time.Duration(faults.SlowMs) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	if s.checkOutage() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run()
}

// checkOutage reports whether there is an outage, and counts the call if so. It is called after
// each delay and each wait, as an outage may have begun meanwhile.
func (s *ObjectStore) checkOutage() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		s.counts["outage"]++
	}
	return s.faults.Outage
}

// maybeLoseResponse closes the connection without a response, with the probability
// LostResponses.
// It is called after a write took effect.
func (s *ObjectStore) maybeLoseResponse() {
	s.mu.Lock()
	lost := s.faults.LostResponses > 0 && s.random.Float64() < s.faults.LostResponses
	if lost {
		s.counts["lost"]++
	}
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
}

func (s *ObjectStore) get(w http.ResponseWriter, r *http.Request, key string) {
	object, err := s.store.Get(r.Context(), key)
	writeObject(w, object, err)
}

func (s *ObjectStore) watch(w http.ResponseWriter, r *http.Request, key string) {
	ms, err := strconv.ParseInt(r.FormValue("waitMs"), 10, 64)
	if err != nil || ms < 0 {
		http.Error(w, "waitMs must be a number of milliseconds", http.StatusBadRequest)
		return
	}
	wait := min(time.Duration(ms)*time.Millisecond, maxStoreWatchWait)
	object, err := s.store.Watch(r.Context(), key, marigoldcroft.Version(r.FormValue("version")), wait)
	if s.checkOutage() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err == nil && string(object.Version()) == r.FormValue("version") {
		w.Header().Set("ETag", `"`+string(object.Version())+`"`)
		w.Header().Set(mcstore.WriteIDHeader, object.WriteID())
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeObject(w, object, err)
}

func (s *ObjectStore) list(w http.ResponseWriter, r *http.Request) {
	limit, err := strconv.Atoi(r.FormValue("limit"))
	if err != nil || limit < 1 {
		http.Error(w, "limit must be a positive number", http.StatusBadRequest)
		return
	}
	entries, err := s.store.List(r.Context(), r.FormValue("prefix"), r.FormValue("after"), min(limit, maxStoreListEntries))
	if err != nil {
		writeStoreError(w, err)
		return
	}
	writeStoreJSON(w, entries)
}

func (s *ObjectStore) put(w http.ResponseWriter, r *http.Request, key string) {
	expected, ok := expectedStoreVersion(w, r)
	if !ok {
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	version, err := s.store.Put(r.Context(), key, value, expected, r.Header.Get(mcstore.WriteIDHeader))
	if err != nil {
		writeStoreError(w, err)
		return
	}
	s.maybeLoseResponse()
	w.Header().Set("ETag", `"`+string(version)+`"`)
	w.WriteHeader(http.StatusNoContent)
}

func (s *ObjectStore) remove(w http.ResponseWriter, r *http.Request, key string) {
	expected, ok := expectedStoreVersion(w, r)
	if !ok {
		return
	}
	if err := s.store.Delete(r.Context(), key, expected, r.Header.Get(mcstore.WriteIDHeader)); err != nil {
		writeStoreError(w, err)
		return
	}
	s.maybeLoseResponse()
	w.WriteHeader(http.StatusNoContent)
}

// expectedStoreVersion returns the version that a write expects, "" for no object. It answers a
// write without a condition with status 428.
func expectedStoreVersion(w http.ResponseWriter, r *http.Request) (marigoldcroft.Version, bool) {
	if match := r.Header.Get("If-Match"); match != "" {
		return marigoldcroft.Version(strings.Trim(match, `"`)), true
	}
	if r.Header.Get("If-None-Match") == "*" {
		return "", true
	}
	w.WriteHeader(http.StatusPreconditionRequired)
	return "", false
}

func writeObject(w http.ResponseWriter, object marigoldcroft.Object, err error) {
	if err != nil {
		writeStoreError(w, err)
		return
	}
	w.Header().Set("ETag", `"`+string(object.Version())+`"`)
	w.Header().Set(mcstore.WriteIDHeader, object.WriteID())
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(object.Value())
}

func writeStoreError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	switch marigoldcroft.FailureKind[mcstore.Kind](err) {
	case mcstore.KindNotFound:
		status = http.StatusNotFound
	case mcstore.KindConflict:
		status = http.StatusPreconditionFailed
	case mcstore.KindTooLarge:
		status = http.StatusRequestEntityTooLarge
	case mcstore.KindInvalidKey:
		status = http.StatusBadRequest
	}
	http.Error(w, err.Error(), status)
}

func writeStoreJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
