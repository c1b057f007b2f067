package mcstandin

import (
	"cmp"
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxPlatformBody = 2 << 20
	maxPlatformWait = 30 * time.Second
	// platformPageSize is the default page size of a list.
	platformPageSize = 500
)

type (
	// PlatformStoreFaults are the faults of a PlatformStore.
	PlatformStoreFaults struct {
		// Status answers each call with this status; the call has no effect. 0 means none.
		Status int `json:"status"`
		// Silent keeps each call open without a response until its caller disconnects.
		Silent bool `json:"silent"`
		// SlowMs delays each call before it takes effect.
		SlowMs int64 `json:"slowMs"`
		// LostWrites is the probability that a write is applied but its connection is
		// closed without a response. LateMs applies such a write only this long after its
		// connection was closed.
		LostWrites float64 `json:"lostWrites"`
		LateMs     int64   `json:"lateMs"`
		// Refused lists the IPs of callers that get status 503 while others are served.
		Refused []string `json:"refused"`
	}

	// PlatformStore is a stand-in of the metadata store of the users' platform: an
	// http.Handler over objects in memory.
	PlatformStore struct {
		mu       sync.Mutex
		random   *rand.Rand
		revision int64
		objects  map[string]map[string]*platformObject
		events   []platformEvent
		// oldestWatchable is the oldest revision from which a watch can continue; watches from
		// older ones get status 410.
		oldestWatchable int64
		changed         chan struct{}
		faults          PlatformStoreFaults
		calls           map[string]int
		pageSize        int
		// era is the number of times that the store was restored from a copy.
		era int
	}

	// PlatformStoreCopy is the content of a PlatformStore at one time.
	PlatformStoreCopy struct {
		revision int64
		objects  map[string]map[string]*platformObject
	}

	platformObject struct {
		Metadata platformMetadata `json:"metadata"`
		Spec     json.RawMessage  `json:"spec"`
		Status   json.RawMessage  `json:"status"`
	}

	platformMetadata struct {
		Name       string   `json:"name"`
		Revision   int64    `json:"revision"`
		Created    int64    `json:"created"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	}

	platformEvent struct {
		kind     string
		revision int64
		deleted  bool
		object   json.RawMessage
	}

	platformEventBody struct {
		Object    json.RawMessage `json:"object"`
		Tombstone bool            `json:"tombstone"`
	}

	platformListBody struct {
		Items     []json.RawMessage   `json:"items,omitempty"`
		Truncated bool                `json:"truncated"`
		AsOf      int64               `json:"as-of"`
		Events    []platformEventBody `json:"events,omitempty"`
	}
)

// NewPlatformStore returns an empty store; seed is the seed of the random faults.
func NewPlatformStore(seed uint64) *PlatformStore {
	return &PlatformStore{
		random: rand.New(rand.NewPCG(seed, seed)), revision: 1, objects: make(map[string]map[string]*platformObject),
		changed: make(chan struct{}), calls: make(map[string]int), pageSize: platformPageSize,
	}
}

// SetFaults replaces the faults.
func (s *PlatformStore) SetFaults(faults PlatformStoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// SetPageSize sets the page size of a list.
func (s *PlatformStore) SetPageSize(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageSize = n
}

// DropHistory discards the recorded changes, so that watches from older revisions get status 410.
func (s *PlatformStore) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.oldestWatchable = nil, s.revision
	s.notifyWatches()
}

// Copy returns a copy of the present content.
func (s *PlatformStore) Copy() PlatformStoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return PlatformStoreCopy{revision: s.revision, objects: cloneObjects(s.objects)}
}

// Restore replaces the content by that of the copy. Revisions continue from those of the copy, and
// the store has no earlier history.
func (s *PlatformStore) Restore(from PlatformStoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.objects = from.revision, cloneObjects(from.objects)
	s.events, s.oldestWatchable = nil, s.revision
	s.notifyWatches()
}

func cloneObjects(objects map[string]map[string]*platformObject) map[string]map[string]*platformObject {
	clone := make(map[string]map[string]*platformObject, len(objects))
	for kind, byName := range objects {
		clone[kind] = maps.Clone(byName)
	}
	return clone
}

// Calls returns the number of calls by kind: list, watch, get and write.
func (s *PlatformStore) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]int, len(s.calls))
	for kind, n := range s.calls {
		calls[kind] = n
	}
	return calls
}

// Put writes the spec of an object unconditionally. A spec that is not valid JSON makes the
// object unreadable for callers.
func (s *PlatformStore) Put(kind, name string, spec []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, spec)
}

// Remove deletes an object.
func (s *PlatformStore) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Spec returns the spec of an object, or nil.
func (s *PlatformStore) Spec(kind, name string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind][name]; o != nil {
		return o.Spec
	}
	return nil
}

// write requires mu.
func (s *PlatformStore) write(kind, name string, spec []byte) *platformObject {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]*platformObject)
	}
	s.revision++
	o := &platformObject{Metadata: platformMetadata{Name: name, Created: s.revision}, Spec: spec}
	if current := s.objects[kind][name]; current != nil {
		o.Metadata.Created, o.Metadata.Finalizers, o.Status = current.Metadata.Created, current.Metadata.Finalizers, current.Status
	}
	o.Metadata.Revision = s.revision
	s.objects[kind][name] = o
	s.recordChange(kind, o, false)
	return o
}

// remove requires mu.
func (s *PlatformStore) remove(kind, name string) {
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	s.recordChange(kind, o, true)
}

// recordChange records a change for the watches; it requires mu.
func (s *PlatformStore) recordChange(kind string, o *platformObject, deleted bool) {
	s.events = append(s.events, platformEvent{kind: kind, revision: s.revision, deleted: deleted, object: o.encode()})
	s.notifyWatches()
}

func (s *PlatformStore) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// encode returns the object as callers get it. If its spec is not valid JSON, callers get a valid
// JSON object of the wrong types, as another writer may have stored.
func (o *platformObject) encode() json.RawMessage {
	if !json.Valid(o.Spec) {
		name, _ := json.Marshal(o.Metadata.Name)
		return json.RawMessage(`{"metadata":{"name":` + string(name) + `,"revision":"x"},"spec":7}`)
	}
	raw, err := json.Marshal(o)
	if err != nil {
		return json.RawMessage("null")
	}
	return raw
}

// ServeHTTP serves one call.
func (s *PlatformStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, ok := platformPath(r.URL.Path)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if s.applyFaults(w, r) {
		return
	}
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(era))
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	default:
		s.serveWrite(w, r, kind, name)
	}
}

func platformPath(path string) (kind, name string, ok bool) {
	rest, ok := strings.CutPrefix(path, "/objects/")
	kind, name, _ = strings.Cut(rest, "/")
	return kind, strings.TrimSuffix(name, "/status"), ok && kind != ""
}

// applyFaults applies the faults that affect every kind of call, and reports whether the call is
// over.
func (s *PlatformStore) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	host, _, _ := strings.Cut(r.RemoteAddr, ":")
	switch {
	case faults.Silent:
		<-r.Context().Done()
		return true
	case slices.Contains(faults.Refused, host):
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	case faults.Status != 0:
		w.WriteHeader(faults.Status)
		return true
	}
	if faults.SlowMs > 0 {
		time.Sleep(time.Duration(faults.SlowMs) * time.Millisecond)
	}
	return false
}

func (s *PlatformStore) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	s.calls["list"]++
	after := r.URL.Query().Get("after")
	body := platformListBody{AsOf: s.revision, Items: []json.RawMessage{}}
	names := make([]string, 0, len(s.objects[kind]))
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names[:min(len(names), s.pageSize)] {
		body.Items = append(body.Items, s.objects[kind][name].encode())
	}
	body.Truncated = len(names) > s.pageSize
	s.mu.Unlock()
	writeJSON(w, body)
}

func (s *PlatformStore) watch(w http.ResponseWriter, r *http.Request, kind string) {
	query := r.URL.Query()
	revision, err := strconv.ParseInt(query.Get("watch"), 10, 64)
	ms, errWait := strconv.ParseInt(cmp.Or(query.Get("wait-ms"), "0"), 10, 64)
	if err != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.calls["watch"]++
	s.mu.Unlock()
	timer := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxPlatformWait))
	defer timer.Stop()
	for {
		body, gone, changed := s.eventsAfter(kind, revision)
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(body.Events) > 0:
			writeJSON(w, body)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, body)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *PlatformStore) eventsAfter(kind string, revision int64) (platformListBody, bool, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body := platformListBody{AsOf: s.revision}
	for _, e := range s.events {
		if e.kind == kind && e.revision > revision {
			body.Events = append(body.Events, platformEventBody{Object: e.object, Tombstone: e.deleted})
		}
	}
	return body, revision < s.oldestWatchable || revision > s.revision, s.changed
}

func (s *PlatformStore) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	s.calls["get"]++
	o := s.objects[kind][name]
	var raw json.RawMessage
	if o != nil {
		raw = o.encode()
	}
	s.mu.Unlock()
	if o == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, raw)
}

// serveWrite applies a write and answers it or, with the probability LostWrites, closes the
// connection without a response.
func (s *PlatformStore) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxPlatformBody))
	var sent platformObject
	if err != nil || len(raw) > 0 && json.Unmarshal(raw, &sent) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if revision := r.URL.Query().Get("revision"); revision != "" {
		if sent.Metadata.Revision, err = strconv.ParseInt(revision, 10, 64); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if name == "" {
		name = sent.Metadata.Name
	}
	s.mu.Lock()
	s.calls["write"]++
	lost, late := s.random.Float64() < s.faults.LostWrites, time.Duration(s.faults.LateMs)*time.Millisecond
	s.mu.Unlock()
	if !lost {
		status, answer := s.apply(r.Method, kind, name, sent)
		if status != http.StatusOK {
			w.WriteHeader(status)
		}
		writeJSON(w, answer)
		return
	}
	if late > 0 {
		time.AfterFunc(late, func() { s.apply(r.Method, kind, name, sent) })
	} else {
		s.apply(r.Method, kind, name, sent)
	}
	panic(http.ErrAbortHandler)
}

// apply applies a write if its condition holds, and returns the status and body of the response.
func (s *PlatformStore) apply(method, kind, name string, sent platformObject) (int, json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[kind][name]
	null := json.RawMessage("null")
	switch {
	case method == http.MethodPost && current != nil:
		return http.StatusConflict, current.encode()
	case method != http.MethodPost && current == nil:
		return http.StatusNotFound, null
	case sent.Metadata.Revision != 0 && current != nil && current.Metadata.Revision != sent.Metadata.Revision:
		return http.StatusConflict, current.encode()
	case method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, null
	case method == http.MethodPut && string(current.Spec) == string(sent.Spec):
		return http.StatusOK, current.encode()
	}
	return http.StatusOK, s.write(kind, name, sent.Spec).encode()
}
