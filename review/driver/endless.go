package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"marigoldcroft/mcstandin"
	"marigoldcroft/review/harness"
)

const (
	// faultyShare is x of srv_grey of the site copo-lima, the share of its requests that a faulty
	// server fails, and faultyTime is its for_s.
	faultyShare = 0.45
	faultyTime  = 6500 * time.Millisecond
	// dripInterval is the time between two of the bytes without end.
	dripInterval = 200 * time.Millisecond
	// answerSlack is the time after the route's timeout by which a request must have an answer.
	answerSlack = 500 * time.Millisecond
	routeTime   = 2 * time.Second
	// callTime is the time of a call, and busyCallers the number of callers at once, of which each
	// has one request at a time: they take four fifths of the slots.
	callTime    = 200 * time.Millisecond
	busyCallers = 90
	// patience is the time limit that callers state.
	patience = 4 * time.Second
	// slots is batch-slots of the servers.
	slots = 16
)

// endlessServer is a server that at times answers with a head that switches to another protocol and
// bytes without end, until the caller closes the channel.
type endlessServer struct {
	id     string
	record *harness.Record
	faulty atomic.Bool
	// held is the number of channels on which such bytes are sent at the moment.
	held atomic.Int64

	mu sync.Mutex
	// ran are the requests that it ran.
	ran []string
}

// serve accepts connections until the listener is closed.
func (s *endlessServer) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *endlessServer) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("Request-Id")
		if target := r.Header.Get("Target-Instance"); target != "" && target != s.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		if s.faulty.Load() && rand.Float64() < faultyShare {
			s.drip(conn, id)
			return
		}
		time.Sleep(callTime)
		s.mu.Lock()
		s.ran = append(s.ran, id)
		s.mu.Unlock()
		body := "answer to " + id
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", id, s.id, len(body), body)
	}
}

// drip sends bytes that are no answer until the caller closes the channel.
func (s *endlessServer) drip(conn net.Conn, id string) {
	began := time.Now()
	s.held.Add(1)
	defer s.held.Add(-1)
	s.record.Printf("server: %s sends bytes without end for request %s", s.id, id)
	fmt.Fprintf(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\nRequest-Id: %s\r\n\r\n", id)
	for {
		if _, err := io.WriteString(conn, "x"); err != nil {
			s.record.Printf("server: the channel of request %s was closed after %.1f s", id, time.Since(began).Seconds())
			return
		}
		time.Sleep(dripInterval)
	}
}

// playEndless lets one of seven servers send bytes without end for a part of its requests.
func playEndless(c *harness.Cluster, trouble bool) (bool, error) {
	sound, err := startServersWithSlots(c, 6, slots)
	if err != nil {
		return false, err
	}
	for _, s := range sound {
		s.CallTime = callTime
	}
	server := &endlessServer{id: "i-api-x", record: c.Record}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	c.OnClose(func() { _ = listener.Close() })
	go server.serve(listener)
	c.PutEntry(server.id, "api", listener.Addr().String(), mcstandin.PlatformReady, slots, time.Now().UnixMilli())
	c.PutConfig(harness.NewConfig(7, []harness.Route{lookupRoute(false), grantRoute()},
		[]harness.Tenant{{Name: "hule930", APIKeys: []string{otherKey}}}, apiService()))
	if err := c.StartEntries(3); err != nil {
		return false, err
	}
	time.Sleep(harness.StableTime)
	begun := time.Now()
	server.faulty.Store(trouble)
	var wait sync.WaitGroup
	var late, unanswered atomic.Int64
	for i := range busyCallers {
		wait.Go(func() {
			for time.Since(begun) < faultyTime+2*time.Second {
				server.faulty.Store(trouble && time.Since(begun) < faultyTime)
				kind, path := "GET", "/lookup/1"
				if i%2 == 0 {
					kind, path = "POST", "/grant/1"
				}
				if took, answered := callPatiently(c, c.Entries[i%len(c.Entries)], kind, path); took > routeTime {
					late.Add(1)
					if !answered || took > routeTime+answerSlack {
						unanswered.Add(1)
					}
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	for _, s := range sound {
		c.RecordRuns(s)
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	c.Record.Printf("server: %s ran %d requests: %s", server.id, len(server.ran), strings.Join(server.ran, " "))
	c.Record.Printf("server: %s is sound again since %.1f s; %d channels on which it sends bytes without end are still open, their callers have left",
		server.id, time.Since(begun.Add(faultyTime)).Seconds(), server.held.Load())
	c.Record.Printf("callers: %d requests were unanswered at their route's timeout-ms, %d of them had no answer half a second later", late.Load(), unanswered.Load())
	return unanswered.Load() < 8 || 2*unanswered.Load() <= late.Load(), nil
}

// callPatiently sends a request, waits for the answer until the time limit and returns how long it
// took.
func callPatiently(c *harness.Cluster, e *harness.Entry, method, path string) (took time.Duration, answered bool) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	id := harness.NextID()
	sent := time.Now()
	answer := harness.Send(ctx, e.Caller, method, path, "", map[string]string{
		"Host": harness.Host, "Request-Id": id, "Authorization": "Bearer " + otherKey, "Deadline-Ms": fmt.Sprint(patience.Milliseconds()),
	})
	took = time.Since(sent)
	recordCall(c, e, method, path, otherKey, id, answer, took)
	return took, answer.Status != 0
}
