package mcstandin

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"marigoldcroft"
	"marigoldcroft/mcservice"
)

const maxServiceBodyBytes = 16 << 20

type (
	// ServiceFaults are the faults that POST /control/faults sets. Fields that a request
	// leaves out keep their values.
	ServiceFaults struct {
		// Dead closes the connection of each request outside /control; it has no effect.
		Dead bool `json:"dead"`
		// DieBefore and DieAfter crash the service on the next call: DieBefore before the
		// call runs, DieAfter after it ran and before its response. They act once and set
		// Dead.
		DieBefore bool `json:"dieBefore"`
		DieAfter  bool `json:"dieAfter"`
		// SlowMs delays each call before it runs.
		SlowMs int64 `json:"slowMs"`
		// LostResponses is the probability that a call runs but its connection is closed
		// without a response.
		LostResponses float64 `json:"lostAnswers"`
		// NoStatus answers status queries with status 404.
		NoStatus bool `json:"noStatus"`
		// Leaving sets the leaving flag of the load report.
		Leaving bool `json:"leaving"`
	}

	// Service is a stand-in of a plain service. It does not deduplicate: it runs each call,
	// also a repeated one, and counts runs by idempotency key, so that tests can detect
	// duplicate execution.
	Service struct {
		name        string
		incarnation uint64

		mu      sync.Mutex
		random  *rand.Rand
		faults  ServiceFaults
		running int
		// runs holds the number of runs by key; calls without a key count under "".
		runs map[string]int
		// lastResponses holds the last response by key, for status queries.
		lastResponses map[string]mcservice.CallStatus
	}
)

// NewService returns a service; seed is the seed of its random faults.
func NewService(name string, seed uint64) *Service {
	return &Service{
		name: name, incarnation: uint64(time.Now().UnixNano()), random: rand.New(rand.NewPCG(seed, seed)),
		runs: make(map[string]int), lastResponses: make(map[string]mcservice.CallStatus),
	}
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(faults ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Runs returns the number of runs by idempotency key.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// ServeHTTP serves the load report, status queries and /control. Any other path is a call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/control/faults" && r.Method == http.MethodPost:
		s.serveFaults(w, r)
	case r.URL.Path == "/control/counts":
		writeServiceJSON(w, s.Runs())
	case s.isDead():
		panic(http.ErrAbortHandler)
	case r.URL.Path == "/v1/load":
		writeServiceJSON(w, s.loadReport())
	case r.URL.Path == "/v1/status":
		s.serveStatus(w, r.FormValue("key"))
	default:
		s.serveCall(w, r)
	}
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxServiceBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	writeServiceJSON(w, faults)
}

func (s *Service) isDead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Dead
}

func (s *Service) loadReport() marigoldcroft.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return marigoldcroft.LoadReport{
		Endpoint: s.name, Incarnation: s.incarnation, Time: time.Now(), Running: s.running, Leaving: s.faults.Leaving,
	}
}

func (s *Service) serveStatus(w http.ResponseWriter, key string) {
	s.mu.Lock()
	answer, ok := s.lastResponses[key]
	ok = ok && key != "" && !s.faults.NoStatus
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeServiceJSON(w, answer)
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxServiceBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	s.beginCall()
	defer s.endCall()
	s.maybeCrash(func(f *ServiceFaults) *bool { return &f.DieBefore })
	s.mu.Lock()
	slow := time.Duration(s.faults.SlowMs) * time.Millisecond
	s.mu.Unlock()
	if slow > 0 {
		// An accepted call runs to its end even if its caller disconnects.
		time.Sleep(slow)
	}
	answer := s.run(r, body)
	s.maybeCrash(func(f *ServiceFaults) *bool { return &f.DieAfter })
	if s.losesResponse() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", answer.ContentType)
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

func (s *Service) beginCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
}

func (s *Service) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// maybeCrash sets Dead if the one-shot fault is set, and closes the connection if Dead is set.
func (s *Service) maybeCrash(fault func(*ServiceFaults) *bool) {
	s.mu.Lock()
	set := fault(&s.faults)
	if *set {
		s.faults.Dead, *set = true, false
	}
	dead := s.faults.Dead
	s.mu.Unlock()
	if dead {
		panic(http.ErrAbortHandler)
	}
}

func (s *Service) losesResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.LostResponses > 0 && s.random.Float64() < s.faults.LostResponses
}

// run executes the call. Its response contains the number of runs of the key.
func (s *Service) run(r *http.Request, body []byte) mcservice.CallStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := strings.TrimSpace(r.Header.Get(mcservice.IdempotencyKeyHeader))
	s.runs[key]++
	answer := mcservice.CallStatus{
		Status: http.StatusOK, ContentType: "application/json",
		Body: fmt.Appendf(nil, `{"service":%q,"path":%q,"bodyBytes":%d,"run":%d}`+"\n", s.name, r.URL.Path, len(body), s.runs[key]),
	}
	s.lastResponses[key] = answer
	return answer
}

func writeServiceJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
