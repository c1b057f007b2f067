package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"marigoldcroft/mcstandin"
	"marigoldcroft/review/harness"
)

const (
	deadlyPart, soundPart = "91bd3f06", "5c1e07a2"
	// proofTime is longer than the minute for which an answer counts as proof that a part is sound.
	proofTime  = 64 * time.Second
	soundCount = 25
)

// partServer is an engine that crashes when it begins to answer a request with deadlyPart and is back
// some seconds later.
type partServer struct {
	*mcstandin.PlatformServer
	c       *harness.Cluster
	address string
	mu      sync.Mutex
	starts  int
}

func (s *partServer) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts++
	id := fmt.Sprintf("i-pool-%s-%d", s.address[strings.LastIndexByte(s.address, ':')+1:], s.starts)
	listener, err := listen(s.address)
	if err != nil {
		return err
	}
	server := &http.Server{ReadHeaderTimeout: time.Minute}
	s.PlatformServer = &mcstandin.PlatformServer{ID: id, Events: 10, EventInterval: 30 * time.Millisecond, CrashOnPart: deadlyPart}
	s.PlatformServer.Crash = func() {
		s.c.Record.Printf("server: %s crashes", id)
		_ = server.Close()
		time.AfterFunc(3*heartbeat, func() { s.c.Store.RemoveEntry(id) })
		time.AfterFunc(backAfter, func() { _ = s.start() })
	}
	server.Handler = s.PlatformServer
	go func() { _ = server.Serve(listener) }()
	s.c.OnClose(func() { _ = server.Close() })
	s.c.PutEntry(id, "pool", s.address, mcstandin.PlatformReady, 16, time.Now().UnixMilli())
	return nil
}

// playCompanion sends requests with a deadly part and another one, and then sound requests with the
// other one alone.
func playCompanion(c *harness.Cluster, trouble bool) (bool, error) {
	for range 6 {
		address, err := harness.FreeAddress()
		if err != nil {
			return false, err
		}
		if err := (&partServer{c: c, address: address}).start(); err != nil {
			return false, err
		}
	}
	pool := harness.Service{Name: "pool", HealthPath: "/health", MaxConns: 354, Engine: harness.EngineFigures}
	c.PutConfig(harness.NewConfig(7, []harness.Route{auditRoute()}, []harness.Tenant{{Name: "hule930", APIKeys: []string{otherKey}}}, pool))
	if err := c.StartEntries(3); err != nil {
		return false, err
	}
	time.Sleep(harness.StableTime)
	send := func(n int, parts string) bool {
		ctx, cancel := context.WithTimeout(context.Background(), 11*time.Second)
		defer cancel()
		id := harness.NextID()
		answer := harness.Send(ctx, c.Entries[n%len(c.Entries)].Caller, "POST", "/stream/1", fmt.Sprint(n), map[string]string{
			"Host": harness.Host, "Request-Id": id, "Authorization": "Bearer " + otherKey, "Deadline-Ms": "10000", "Model": "m",
			"Token-Counts": "5000,300", "Prefix-Hash": parts + fmt.Sprintf(",%x:4960", time.Now().UnixNano()),
		})
		c.Record.Printf("caller: request %s with parts %s: status %d %s", id, parts, answer.Status, firstLine(answer.Body))
		return answer.Status == 200
	}
	before, during := 0, 0
	for n := range soundCount {
		if send(n, soundPart+":40") {
			before++
		}
	}
	c.Record.Printf("callers: no request for %v", proofTime)
	time.Sleep(proofTime)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	if trouble {
		wait.Go(func() {
			for n := 0; ; n++ {
				send(n, deadlyPart+":40,"+soundPart+":40")
				select {
				case <-stop:
					return
				case <-time.After(700 * time.Millisecond):
				}
			}
		})
	}
	time.Sleep(12 * time.Second)
	for n := range soundCount {
		if send(n, soundPart+":40") {
			during++
		}
		time.Sleep(100 * time.Millisecond)
	}
	close(stop)
	wait.Wait()
	c.Record.Printf("callers: %d of %d sound requests were served before, %d of %d while such requests came", before, soundCount, during, soundCount)
	return 2*during >= before, nil
}

func firstLine(s string) string {
	line, _, _ := strings.Cut(s, "\n")
	return line
}
