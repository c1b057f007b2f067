package main

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"marigoldcroft/mcstandin"
	"marigoldcroft/review/harness"
)

const (
	// deadlyServers is the number of servers, and backAfter the time after which a crashed one is back.
	deadlyServers = 6
	backAfter     = 3 * time.Second
	// deadlyInterval is the time between two requests that crash servers, deadlyTime that in which
	// they come.
	deadlyInterval = 500 * time.Millisecond
	deadlyTime     = 25 * time.Second
	// allowedRetries is the number of requests that may reach servers later than stable-ms after the
	// third crash.
	allowedRetries = 3
	deadlyPath     = "/lookup/deadly"
	// orderTime is the work of a sound request, the mean of the site copo-lima.
	orderTime = 60 * time.Millisecond
)

// crashingServer is a server that crashes when it begins to run a request to deadlyPath, and is back
// some seconds later at the same address under another id.
type crashingServer struct {
	c       *harness.Cluster
	deadly  bool
	address string

	mu      sync.Mutex
	starts  int
	id      string
	server  *http.Server
	crashes *crashLog
}

// crashLog holds when the servers got the requests to deadlyPath, and the other requests that each
// server began to run.
type crashLog struct {
	mu   sync.Mutex
	at   []time.Time
	runs map[string][]string
}

// addRun records that a server began to run a request.
func (l *crashLog) addRun(server, request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[server] = append(l.runs[server], request)
}

// add records a request and returns how many there were.
func (l *crashLog) add(at time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at = append(l.at, at)
	return len(l.at)
}

// start starts the server.
func (s *crashingServer) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	listener, err := listen(s.address)
	if err != nil {
		return err
	}
	s.starts++
	s.address = listener.Addr().String()
	s.id = fmt.Sprintf("i-%s-%d", s.address[strings.LastIndexByte(s.address, ':')+1:], s.starts)
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	s.server = server
	go func() { _ = server.Serve(listener) }()
	s.c.OnClose(func() { _ = server.Close() })
	s.c.PutEntry(s.id, "api", s.address, mcstandin.PlatformReady, 6, time.Now().UnixMilli())
	return nil
}

// crash ends the server at once with its connections.
func (s *crashingServer) crash() {
	s.mu.Lock()
	id, server := s.id, s.server
	s.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(3*heartbeat, func() { s.c.Store.RemoveEntry(id) })
	time.AfterFunc(backAfter, func() {
		if err := s.start(); err != nil {
			s.c.Record.Printf("server: %s is not back: %v", id, err)
		}
	})
}

// ServeHTTP serves one request.
func (s *crashingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	id := s.id
	s.mu.Unlock()
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if target := r.Header.Get("Target-Instance"); target != "" && target != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == deadlyPath {
		n := s.crashes.add(time.Now())
		s.c.Record.Printf("server: %s begins to run %s %s of tenant %s, request %s, the %d. time; it crashes: %v",
			id, r.Method, r.RequestURI, r.Header.Get("Tenant"), r.Header.Get("Request-Id"), n, s.deadly)
		if s.deadly {
			s.crash()
			panic(http.ErrAbortHandler)
		}
	}
	s.crashes.addRun(id, r.Header.Get("Request-Id"))
	time.Sleep(orderTime)
	w.Header().Set("Response-Seal", "seal-"+id)
	_, _ = io.WriteString(w, "answer to "+r.Header.Get("Request-Id"))
}

// playDeadly sends a request that crashes servers again and again, with the same path, caller and
// body and with another query each time.
func playDeadly(c *harness.Cluster, trouble bool) (bool, error) {
	crashes := &crashLog{runs: make(map[string][]string)}
	for range deadlyServers {
		address, err := harness.FreeAddress()
		if err != nil {
			return false, err
		}
		s := &crashingServer{c: c, deadly: trouble, address: address, crashes: crashes}
		if err := s.start(); err != nil {
			return false, err
		}
	}
	c.PutConfig(harness.NewConfig(7, []harness.Route{lookupRoute(false), grantRoute()},
		[]harness.Tenant{{Name: "hule930", APIKeys: []string{otherKey}}}, apiService()))
	if err := c.StartEntries(3); err != nil {
		return false, err
	}
	time.Sleep(harness.StableTime)
	var wait sync.WaitGroup
	begun := time.Now()
	// With QUERY=same the query is the same each time, to compare.
	sameQuery := os.Getenv("QUERY") == "same"
	var orders, lost atomic.Int64
	for i := range callers {
		wait.Go(func() {
			for n := 0; time.Since(begun) < deadlyTime; n++ {
				e, path := c.Entries[i%len(c.Entries)], fmt.Sprintf("/grant/%d-%d", i, n)
				id, answer, took := send(e, http.MethodPost, path, otherKey)
				orders.Add(1)
				// Any other answer than a success or a refusal leaves open what became of the order.
				if answer.Status != http.StatusOK && answer.Status != http.StatusServiceUnavailable {
					lost.Add(1)
				}
				recordCall(c, e, http.MethodPost, path, otherKey, id, answer, took)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	for n := 1; time.Since(begun) < deadlyTime; n++ {
		query := ""
		if n > 1 && !sameQuery {
			query = fmt.Sprintf("?retry=%d", n-1)
		}
		wait.Go(func() { call(c, c.Entries[n%len(c.Entries)], "GET", deadlyPath+query, otherKey) })
		time.Sleep(deadlyInterval)
	}
	wait.Wait()
	late := 0
	crashes.mu.Lock()
	defer crashes.mu.Unlock()
	for _, at := range crashes.at {
		if trouble && len(crashes.at) >= 3 && at.Sub(crashes.at[2]) > harness.StableTime {
			late++
		}
	}
	for _, server := range slices.Sorted(maps.Keys(crashes.runs)) {
		c.Record.Printf("server: %s began to run %d other requests: %s", server, len(crashes.runs[server]), strings.Join(crashes.runs[server], " "))
	}
	c.Record.Printf("servers: %d requests with the same path, caller and body reached servers, %d of them later than stable-ms after the third crash; allowed are %d",
		len(crashes.at), late, allowedRetries)
	c.Record.Printf("callers: of %d sound orders %d were lost at a server that crashed", orders.Load(), lost.Load())
	return late <= allowedRetries, nil
}

// listen listens at the address of a server that has crashed.
func listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }
