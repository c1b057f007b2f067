package main

import (
	"errors"
	"time"

	"marigoldcroft/mcstandin"
	"marigoldcroft/review/harness"
)

const (
	// heartbeat is heartbeat-ms of the site copo-lima. An entry is removed after three of silence.
	heartbeat = 1200 * time.Millisecond
	// storeCut is the length of the cut between a server and the store: for_s of srv_cut.
	storeCut = 5 * time.Second
)

var errNotServed = errors.New("a request before the disruption was not answered as expected")

// arrivals returns when requests reached the server, whether it ran or refused them.
type arrivals interface{ Arrivals() []time.Time }

// playPause lets the entry of an overloaded server lapse and come back while the server wants no
// requests.
func playPause(c *harness.Cluster, trouble bool) (bool, error) {
	const retryAfter = 12 * time.Second
	server := &refusingServer{PlatformServer: &mcstandin.PlatformServer{ID: "i-api-a", CallTime: 20 * time.Millisecond}, record: c.Record}
	address, _, err := c.Serve(server)
	if err != nil {
		return false, err
	}
	born := time.Now().UnixMilli()
	c.PutEntry(server.ID, "api", address, mcstandin.PlatformReady, 6, born)
	c.PutConfig(harness.NewConfig(7, []harness.Route{lookupRoute(false), grantRoute()},
		[]harness.Tenant{{Name: "hule930", APIKeys: []string{otherKey}}}, apiService()))
	if err := c.StartEntries(1); err != nil {
		return false, err
	}
	time.Sleep(harness.StableTime)
	e := c.Entries[0]
	if _, answer := call(c, e, "GET", "/lookup/1", otherKey); answer.Status != 200 {
		return false, errNotServed
	}
	server.SetStatement(mcstandin.PlatformStatement{RetryAfter: "12"})
	server.SetFaults(mcstandin.PlatformServerFaults{Overloaded: 1})
	cut := time.Now()
	call(c, e, "GET", "/lookup/1", otherKey)
	refused := server.Arrivals()[1]
	done := make(chan struct{})
	go func() {
		defer close(done)
		if !trouble {
			return
		}
		c.Record.Printf("server: %s is cut off from the store for %v", server.ID, storeCut)
		time.Sleep(time.Until(cut.Add(3 * heartbeat)))
		c.Store.RemoveEntry(server.ID)
		c.Record.Printf("store: the entry of %s has lapsed", server.ID)
		time.Sleep(time.Until(cut.Add(storeCut)))
		c.PutEntry(server.ID, "api", address, mcstandin.PlatformReady, 6, born)
	}()
	for time.Since(refused) < retryAfter-500*time.Millisecond {
		call(c, e, "GET", "/lookup/1", otherKey)
		time.Sleep(150 * time.Millisecond)
	}
	<-done
	n := 0
	for _, at := range server.Arrivals() {
		if after := at.Sub(refused); after > 500*time.Millisecond && after < retryAfter {
			n++
		}
	}
	c.Record.Printf("server: %d requests reached %s from %s later than 0.5 s after its first 503 with Retry-After %v and within that time; allowed are 2",
		n, server.ID, e.Name, retryAfter)
	return n <= 2, nil
}

// playForeign lets another writer write over the entry of a draining server.
func playForeign(c *harness.Cluster, trouble bool) (bool, error) {
	servers, err := startServers(c, 3)
	if err != nil {
		return false, err
	}
	draining, address, born := &mcstandin.PlatformServer{ID: "i-api-x", CallTime: 20 * time.Millisecond}, "", time.Now().UnixMilli()
	if address, _, err = c.Serve(draining); err != nil {
		return false, err
	}
	c.PutEntry(draining.ID, "api", address, mcstandin.PlatformReady, 6, born)
	c.PutConfig(harness.NewConfig(7, []harness.Route{lookupRoute(false), grantRoute()},
		[]harness.Tenant{{Name: "hule930", APIKeys: []string{otherKey}}}, apiService()))
	if err := c.StartEntries(3); err != nil {
		return false, err
	}
	time.Sleep(harness.StableTime)
	for range 20 {
		for _, e := range c.Entries {
			if _, answer := call(c, e, "GET", "/lookup/1", otherKey); answer.Status != 200 {
				return false, errNotServed
			}
		}
	}
	if len(draining.Runs()) == 0 {
		return false, errNotServed
	}
	c.PutEntry(draining.ID, "api", address, mcstandin.PlatformDraining, 6, born)
	acked := time.Now()
	time.Sleep(time.Second)
	if trouble {
		text := `{"service":"api","address":"` + address + `","zone":"z","batch-slots":6,"state":"ready"}`
		c.Store.PutRawEntry(draining.ID, text)
		c.Record.Printf("another writer: entry of %s: %s", draining.ID, text)
	}
	time.Sleep(time.Until(acked.Add(harness.DrainTime + 500*time.Millisecond)))
	held := true
	for range 20 {
		for _, e := range c.Entries {
			sent := time.Now()
			id, _ := call(c, e, "GET", "/lookup/1", otherKey)
			if server, _ := ranAt([]*mcstandin.PlatformServer{draining}, id); server != "" {
				held = false
				c.Record.Printf("server: %s ran request %s, sent %.3f s after the ack that it is draining", server, id, sent.Sub(acked).Seconds())
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	_ = servers
	return held, nil
}
