package mcstandin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// PlatformServerFaults are the faults of a PlatformServer. Each counts down with the
	// requests that it strikes.
	PlatformServerFaults struct {
		// Full sheds so many requests without running them.
		Full int
		// Lost runs so many requests and closes their connections without an answer.
		Lost int
		// Errors answers so many requests with status 500 after running them.
		Errors int
		// Busy answers so many requests with status 503 after running them.
		Busy int
		// Extra sends a second answer after so many answers.
		Extra int
		// Truncated breaks so many answers off in the middle.
		Truncated int
		// Unsealed leaves the receipt out of so many answers.
		Unsealed int
		// Foreign names another request in so many answers.
		Foreign int
		// Garbage answers so many requests with bytes that are no answer.
		Garbage int
		// CutAfter breaks so many streams off in the middle of the event after CutEvent.
		CutAfter int
		CutEvent int
		// Skip leaves out one event of so many resumed streams.
		Skip int
	}

	// PlatformServer is a stand-in of one server of the users' platform: an http.Handler
	// that answers requests, streams events and refuses requests for other servers.
	PlatformServer struct {
		// ID is the server's id; requests for another one get status 421.
		ID string
		// Events is the number of events of a stream, EventTime the time between two.
		Events    int
		EventTime time.Duration
		// Work is the time of a request that is not a stream.
		Work time.Duration

		mu     sync.Mutex
		faults PlatformServerFaults
		runs   []PlatformRun
		ended  int
	}

	// PlatformRun is a request that a PlatformServer began to run.
	PlatformRun struct {
		ID, Method, Target string
		Header             http.Header
		Body               string
	}
)

// SetFaults replaces the faults.
func (s *PlatformServer) SetFaults(faults PlatformServerFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Runs returns the requests that the server began to run.
func (s *PlatformServer) Runs() []PlatformRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]PlatformRun(nil), s.runs...)
}

// Ended returns how many requests were ended by their callers.
func (s *PlatformServer) Ended() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// strike counts a fault down and tells whether it strikes.
func (s *PlatformServer) strike(fault *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *fault <= 0 {
		return false
	}
	*fault--
	return true
}

// cuts tells whether a stream breaks off in the middle of the event.
func (s *PlatformServer) cuts(event int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if event <= s.faults.CutEvent || s.faults.CutAfter <= 0 {
		return false
	}
	s.faults.CutAfter--
	return true
}

// ServeHTTP answers one request.
func (s *PlatformServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	header.Set("Request-Id", r.Header.Get("Request-Id"))
	header.Set("Instance-Id", s.ID)
	if target := r.Header.Get("Target-Instance"); target != "" && target != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.strike(&s.faults.Full) {
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, PlatformRun{
		ID: r.Header.Get("Request-Id"), Method: r.Method, Target: r.RequestURI, Header: r.Header.Clone(), Body: string(body),
	})
	s.mu.Unlock()
	s.answer(w, r)
}

func (s *PlatformServer) answer(w http.ResponseWriter, r *http.Request) {
	if strings.Contains(r.URL.Path, "/stream/") {
		s.stream(w, r)
		return
	}
	select {
	case <-time.After(s.Work):
	case <-r.Context().Done():
		s.mu.Lock()
		s.ended++
		s.mu.Unlock()
		return
	}
	header := w.Header()
	header.Set("Response-Seal", "seal-"+s.ID)
	header.Set("Content-Type", "text/plain")
	text := "answer to " + r.Header.Get("Request-Id")
	switch {
	case s.strike(&s.faults.Lost):
		panic(http.ErrAbortHandler)
	case s.strike(&s.faults.Errors):
		w.WriteHeader(http.StatusInternalServerError)
	case s.strike(&s.faults.Busy):
		w.WriteHeader(http.StatusServiceUnavailable)
	case s.strike(&s.faults.Unsealed):
		header.Del("Response-Seal")
	case s.strike(&s.faults.Foreign):
		header.Set("Request-Id", "another")
	case s.strike(&s.faults.Truncated):
		header.Set("Content-Length", strconv.Itoa(2*len(text)))
	case s.strike(&s.faults.Garbage):
		s.raw(w, "these bytes are no answer\r\n\r\n")
		return
	case s.strike(&s.faults.Extra):
		one := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Length: %d\r\n\r\n%s",
			r.Header.Get("Request-Id"), len(text), text)
		s.raw(w, one+one)
		return
	}
	// A caller that is gone cannot be told.
	_, _ = io.WriteString(w, text)
}

// raw sends bytes on the connection and keeps it open for a while.
func (s *PlatformServer) raw(w http.ResponseWriter, text string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, text)
	time.AfterFunc(time.Second, func() { _ = conn.Close() })
}

// stream sends the events after the one that the request names.
func (s *PlatformServer) stream(w http.ResponseWriter, r *http.Request) {
	from := 0
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		from, _ = strconv.Atoi(last)
		if s.strike(&s.faults.Skip) {
			from++
		}
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Response-Seal", "seal-"+s.ID)
	control := http.NewResponseController(w)
	for n := from + 1; n <= s.Events; n++ {
		select {
		case <-time.After(s.EventTime):
		case <-r.Context().Done():
			s.mu.Lock()
			s.ended++
			s.mu.Unlock()
			return
		}
		if s.cuts(n) {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: to", n)
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n); err != nil {
			return
		}
		if control.Flush() != nil {
			return
		}
	}
}
