package mcstandin

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// PlatformHealthPath is the path of a PlatformServer's health check.
const PlatformHealthPath = "/health"

type (
	// PlatformServerFaults are the faults of a PlatformServer. Each field but BreakAfterEvent is the
	// number of requests that the fault still applies to, and counts down.
	PlatformServerFaults struct {
		// Overloaded refuses requests as overload, with status 503, without running them.
		Overloaded int
		// LostResponses runs requests and closes their connections without a response.
		LostResponses int
		// Errors runs requests and answers them with status 500.
		Errors int
		// RunThen503 runs requests and answers them with status 503.
		RunThen503 int
		// ExtraResponse sends a second response after the first.
		ExtraResponse int
		// Truncated ends responses in the middle of the body.
		Truncated int
		// MissingReceipt sends responses without a receipt.
		MissingReceipt int
		// WrongRequestID sends responses with the ID of another request.
		WrongRequestID int
		// MalformedResponse answers requests with bytes that are not an HTTP response.
		MalformedResponse int
		// BrokenStreams closes the connections of streams in the middle of the event after
		// BreakAfterEvent.
		BrokenStreams   int
		BreakAfterEvent int
		// SkippedEvents omits the first event of resumed streams.
		SkippedEvents int
	}

	// PlatformServer is a stand-in of one server of the users' platform: an http.Handler
	// that answers requests, streams events and refuses requests to other servers.
	PlatformServer struct {
		// ID is the server's ID; requests to another one get status 421.
		ID string
		// Events is the number of events of a stream, EventInterval the interval between them.
		Events        int
		EventInterval time.Duration
		// CallTime is how long a request runs that is not a stream.
		CallTime time.Duration
		// CrashOnPart is the ID of a prompt part that crashes the server when it begins to answer
		// a request with it; "" means none. The last part of a prompt never does. A stream is cut
		// off CrashAfterBytes into the event after CrashAfterEvents.
		CrashOnPart                       string
		CrashAfterEvents, CrashAfterBytes int
		// Crash is called at each request that crashes the server. It breaks the connections and
		// closes the listener, which belong to the owner of the server.
		Crash func()

		mu        sync.Mutex
		faults    PlatformServerFaults
		statement PlatformStatement
		refused   int
		checks    int
		runs      []PlatformRun
		cancelled int
	}

	// PlatformStatement is what a PlatformServer states about itself in its answers. Empty fields
	// are not sent.
	PlatformStatement struct {
		// Limit is the number of requests a second that it takes from all instances together.
		Limit string
		// Leaving announces that it is about to end.
		Leaving bool
		// RetryAfter is for how many seconds it wants no request from an instance that it refuses.
		RetryAfter string
		// Cold is for how many milliseconds it is cold, which it states in answers to health checks.
		Cold string
	}

	// PlatformRun is a request that a PlatformServer started to run.
	PlatformRun struct {
		ID, Method, Target string
		Header             http.Header
		Body               string
		// Time is when the server began to run the request.
		Time time.Time
	}
)

// SetFaults replaces the faults.
func (s *PlatformServer) SetFaults(faults PlatformServerFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// SetStatement replaces what the server states about itself.
func (s *PlatformServer) SetStatement(statement PlatformStatement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statement = statement
}

// writeStatement adds the headers in which the server states something about itself.
func (s *PlatformServer) writeStatement(header http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.statement.Limit != "" {
		header.Set("Server-Limit", s.statement.Limit)
	}
	if s.statement.Leaving {
		header.Set("Server-Leaving", "1")
	}
}

// Runs returns the requests that the server started to run.
func (s *PlatformServer) Runs() []PlatformRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]PlatformRun(nil), s.runs...)
}

// Refused returns how many requests the server refused as overload.
func (s *PlatformServer) Refused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

// Cancelled returns how many requests were cancelled by their callers.
func (s *PlatformServer) Cancelled() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelled
}

// takeFault reports whether a fault applies to this request, and counts it down if so.
func (s *PlatformServer) takeFault(fault *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *fault <= 0 {
		return false
	}
	*fault--
	return true
}

// takeCut reports whether a stream breaks in the middle of the event, and counts the fault down
// if so.
func (s *PlatformServer) takeCut(event int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if event <= s.faults.BreakAfterEvent || s.faults.BrokenStreams <= 0 {
		return false
	}
	s.faults.BrokenStreams--
	return true
}

// ServeHTTP serves one request, and records it as run unless it is refused.
func (s *PlatformServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	header.Set("Request-Id", r.Header.Get("Request-Id"))
	header.Set("Instance-Id", s.ID)
	s.writeStatement(header)
	if target := r.Header.Get("Target-Instance"); target != "" && target != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.takeFault(&s.faults.Overloaded) {
		s.mu.Lock()
		s.refused++
		s.mu.Unlock()
		header.Set("Not-Executed", "1")
		s.writeRetryAfter(header)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path == PlatformHealthPath {
		s.answerHealthCheck(w)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, PlatformRun{
		ID: r.Header.Get("Request-Id"), Method: r.Method, Target: r.RequestURI, Header: r.Header.Clone(), Body: string(body), Time: time.Now(),
	})
	s.mu.Unlock()
	s.respond(w, r)
}

// answerHealthCheck answers with status 503 while the server is leaving.
func (s *PlatformServer) answerHealthCheck(w http.ResponseWriter) {
	s.mu.Lock()
	s.checks++
	leaving := s.statement.Leaving
	if s.statement.Cold != "" {
		w.Header().Set("Cold-Ms", s.statement.Cold)
	}
	s.mu.Unlock()
	if leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Checks returns the number of health checks that the server answered.
func (s *PlatformServer) Checks() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checks
}

func (s *PlatformServer) writeRetryAfter(header http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.statement.RetryAfter != "" {
		header.Set("Retry-After", s.statement.RetryAfter)
	}
}

// crashesOn reports whether the server crashes when it begins to answer the request.
func (s *PlatformServer) crashesOn(r *http.Request) bool {
	return s.CrashOnPart != "" && slices.Contains(sharedParts(r.Header), s.CrashOnPart)
}

func (s *PlatformServer) crash() {
	if s.Crash != nil {
		s.Crash()
	}
	panic(http.ErrAbortHandler)
}

func (s *PlatformServer) respond(w http.ResponseWriter, r *http.Request) {
	if strings.Contains(r.URL.Path, "/stream/") {
		s.sendEvents(w, r)
		return
	}
	select {
	case <-time.After(s.CallTime):
	case <-r.Context().Done():
		s.mu.Lock()
		s.cancelled++
		s.mu.Unlock()
		return
	}
	if s.crashesOn(r) {
		s.crash()
	}
	header := w.Header()
	header.Set("Response-Seal", "seal-"+s.ID)
	header.Set("Content-Type", "text/plain")
	text := "answer to " + r.Header.Get("Request-Id")
	switch {
	case s.takeFault(&s.faults.LostResponses):
		panic(http.ErrAbortHandler)
	case s.takeFault(&s.faults.Errors):
		w.WriteHeader(http.StatusInternalServerError)
	case s.takeFault(&s.faults.RunThen503):
		w.WriteHeader(http.StatusServiceUnavailable)
	case s.takeFault(&s.faults.MissingReceipt):
		header.Del("Response-Seal")
	case s.takeFault(&s.faults.WrongRequestID):
		header.Set("Request-Id", "another")
	case s.takeFault(&s.faults.Truncated):
		header.Set("Content-Length", strconv.Itoa(2*len(text)))
	case s.takeFault(&s.faults.MalformedResponse):
		s.sendRaw(w, "these bytes are no answer\r\n\r\n")
		return
	case s.takeFault(&s.faults.ExtraResponse):
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Length: %d\r\n\r\n%s",
			r.Header.Get("Request-Id"), len(text), text)
		s.sendRaw(w, response+response)
		return
	}
	// A write error means that the caller has disconnected; there is nobody to report it to.
	_, _ = io.WriteString(w, text)
}

// sendRaw sends bytes on the connection and closes it a second later.
func (s *PlatformServer) sendRaw(w http.ResponseWriter, text string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, text)
	time.AfterFunc(time.Second, func() { _ = conn.Close() })
}

// sendEvents sends the events after the one that Last-Event-Id names, or all.
func (s *PlatformServer) sendEvents(w http.ResponseWriter, r *http.Request) {
	from := 0
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		from, _ = strconv.Atoi(last)
		if s.takeFault(&s.faults.SkippedEvents) {
			from++
		}
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Response-Seal", "seal-"+s.ID)
	control := http.NewResponseController(w)
	deadly := s.crashesOn(r)
	if deadly {
		_ = control.Flush()
	}
	for n := from + 1; n <= s.Events; n++ {
		select {
		case <-time.After(s.EventInterval):
		case <-r.Context().Done():
			s.mu.Lock()
			s.cancelled++
			s.mu.Unlock()
			return
		}
		if s.takeCut(n) {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: to", n)
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		event := fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n)
		if deadly && n > from+s.CrashAfterEvents {
			_, _ = io.WriteString(w, event[:min(s.CrashAfterBytes, len(event)-1)])
			_ = control.Flush()
			s.crash()
		}
		if _, err := io.WriteString(w, event); err != nil {
			return
		}
		if control.Flush() != nil {
			return
		}
	}
}
