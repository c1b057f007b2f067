package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"marigoldcroft/mcstandin"
	"marigoldcroft/review/harness"
)

const (
	// changedGrace is grace-s after the change of the settings; it was 8 s.
	changedGrace = 16 * time.Second
	// auditEvents and auditInterval make streams that end 12 s after they began, within their time
	// limit of 15 s.
	auditEvents   = 24
	auditInterval = 500 * time.Millisecond
	auditStreams  = 6
)

// auditRoute is the route collection-audit of the site copo-lima.
func auditRoute() harness.Route {
	return harness.Route{
		Name: "audit", Host: harness.Host, PathPrefix: "/stream/", Type: "streaming", Service: "pool", TimeoutMs: 15000, GoalMs: 3000,
		Priority: 1, MaxAttempts: 2, Sticky: true, Resumable: true, GapTargetMs: 1000,
	}
}

// playGrace raises grace-s in the settings file of a running entry process, sends it SIGHUP, and
// some seconds later SIGTERM while it answers streams. Without the disruption, the settings
// file has the larger value from the start.
func playGrace(c *harness.Cluster, trouble bool) (bool, error) {
	var servers []*mcstandin.PlatformServer
	for i := range 3 {
		s := &mcstandin.PlatformServer{ID: fmt.Sprintf("i-pool-%d", i), Events: auditEvents, EventInterval: auditInterval}
		address, _, err := c.Serve(s)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
		c.PutEntry(s.ID, "pool", address, mcstandin.PlatformReady, 16, time.Now().UnixMilli())
	}
	pool := harness.Service{Name: "pool", HealthPath: "/health", MaxConns: 354, Engine: harness.EngineFigures}
	c.PutConfig(harness.NewConfig(7, []harness.Route{auditRoute()}, []harness.Tenant{{Name: "hule930", APIKeys: []string{otherKey}}}, pool))
	if !trouble {
		c.Grace = changedGrace
	}
	if err := c.StartEntries(3); err != nil {
		return false, err
	}
	e := c.Entries[0]
	if trouble {
		time.Sleep(time.Second)
		if err := e.WriteSettings(c.StoreAddress(), changedGrace); err != nil {
			return false, err
		}
		if err := e.Signal(syscall.SIGHUP); err != nil {
			return false, err
		}
		c.Record.Printf("platform: the settings file of %s has grace-s %.0f instead of %.0f, SIGHUP", e.Name, changedGrace.Seconds(), harness.GraceTime.Seconds())
	}
	time.Sleep(harness.StableTime + 2*time.Second)
	var wait sync.WaitGroup
	var mu sync.Mutex
	var stopped time.Time
	cut := 0
	for range auditStreams {
		wait.Go(func() {
			id, answer := sendAudit(c, e)
			mu.Lock()
			defer mu.Unlock()
			after := time.Since(stopped)
			c.Record.Printf("caller: stream %s ended %.3f s after SIGTERM with status %d, %d of %d events, error %v",
				id, after.Seconds(), answer.Status, strings.Count(answer.Body, "id: "), auditEvents, answer.Err)
			if answer.Err != nil && after < changedGrace*5/6 {
				cut++
			}
		})
	}
	time.Sleep(time.Second)
	mu.Lock()
	stopped = time.Now()
	mu.Unlock()
	if err := e.Signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	c.Record.Printf("platform: SIGTERM to %s", e.Name)
	wait.Wait()
	for e.Running() && time.Since(stopped) < changedGrace {
		time.Sleep(50 * time.Millisecond)
	}
	c.Record.Printf("platform: %s has ended: %v, %.3f s after SIGTERM", e.Name, !e.Running(), time.Since(stopped).Seconds())
	for _, s := range servers {
		c.RecordRuns(s)
	}
	c.Record.Printf("%d of %d streams were cut before the last sixth of grace-s, while their servers were at work", cut, auditStreams)
	return cut == 0, nil
}

// sendAudit sends one request with a time limit of 15 s.
func sendAudit(c *harness.Cluster, e *harness.Entry) (string, harness.Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), 16*time.Second)
	defer cancel()
	id := harness.NextID()
	c.Record.Printf("caller: stream %s sent to %s", id, e.Name)
	return id, harness.Send(ctx, e.Caller, "POST", "/stream/1", "", map[string]string{
		"Host": harness.Host, "Request-Id": id, "Authorization": "Bearer " + otherKey, "Deadline-Ms": "15000", "Model": "m",
		"Token-Counts": "5000,1000", "Prefix-Hash": "5c1e07a2:40,9" + id[len(id)-1:] + ":4960",
	})
}
