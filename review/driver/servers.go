package main

import (
	"errors"
	"sync"
	"time"

	"marigoldcroft/mcstandin"
	"marigoldcroft/review/harness"
)

const (
	// heartbeat is heartbeat-ms of the site copo-lima. An entry is removed after three of silence.
	heartbeat = 1200 * time.Millisecond
	// storeCut is the length of the cut between a server and the store, the default of srv_cut.
	storeCut = 5 * time.Second
	// retryAfter is for how long an overloaded server wants no requests.
	retryAfter = 12 * time.Second
	// exitAfterDrain is how long a leaving server serves on after drain-ms.
	exitAfterDrain = 3 * time.Second
	// orderCallTime is the time of an order at each server; the longest at the site copo-lima is 450 ms.
	orderCallTime = 300 * time.Millisecond
	// callers is the number of callers at once in a case with orders.
	callers = 12
)

var errNotServed = errors.New("a request before the disruption was not answered as expected")

// playPause lets the entry of one of five servers lapse and come back while the server wants no
// requests.
func playPause(c *harness.Cluster, trouble bool) (bool, error) {
	if _, err := startServers(c, 4); err != nil {
		return false, err
	}
	server := &refusingServer{PlatformServer: &mcstandin.PlatformServer{ID: "i-api-x", CallTime: 20 * time.Millisecond}, record: c.Record}
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
	server.SetStatement(mcstandin.PlatformStatement{RetryAfter: "12"})
	server.SetFaults(mcstandin.PlatformServerFaults{Overloaded: 1})
	cut := time.Now()
	for server.Refused() == 0 {
		call(c, e, "GET", "/lookup/1", otherKey)
	}
	refused := server.Arrivals()[len(server.Arrivals())-1]
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
		time.Sleep(50 * time.Millisecond)
	}
	<-done
	n := 0
	for _, at := range server.Arrivals() {
		if after := at.Sub(refused); after > 500*time.Millisecond && after < retryAfter {
			n++
		}
	}
	c.Record.Printf("server: %d requests reached %s from %s later than 0.5 s after its 503 with Retry-After %v and within that time; allowed are 2",
		n, server.ID, e.Name, retryAfter)
	return n <= 2, nil
}

// playForeign lets another writer write over the entry of a draining server, which exits some
// seconds after drain-ms.
func playForeign(c *harness.Cluster, trouble bool) (bool, error) {
	sound, err := startServers(c, 3)
	if err != nil {
		return false, err
	}
	for _, s := range sound {
		s.CallTime = orderCallTime
	}
	draining := &mcstandin.PlatformServer{ID: "i-api-x", CallTime: orderCallTime}
	address, exit, err := c.Serve(draining)
	if err != nil {
		return false, err
	}
	born := time.Now().UnixMilli()
	c.PutEntry(draining.ID, "api", address, mcstandin.PlatformReady, 6, born)
	c.PutConfig(harness.NewConfig(7, []harness.Route{lookupRoute(false), grantRoute()},
		[]harness.Tenant{{Name: "hule930", APIKeys: []string{otherKey}}}, apiService()))
	if err := c.StartEntries(3); err != nil {
		return false, err
	}
	time.Sleep(harness.StableTime)
	if !sendOrders(c, time.Now().Add(time.Second), nil) || len(draining.Runs()) == 0 {
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
	exits := acked.Add(harness.DrainTime + exitAfterDrain)
	time.AfterFunc(time.Until(exits), func() {
		exit()
		c.Record.Printf("server: %s exits", draining.ID)
	})
	var mu sync.Mutex
	late, lost := 0, 0
	sendOrders(c, exits.Add(time.Second), func(id string, sent time.Time, answer harness.Answer) {
		if server, _ := ranAt([]*mcstandin.PlatformServer{draining}, id); server == "" {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		late++
		if answer.Status != 200 {
			lost++
		}
		c.Record.Printf("server: %s ran order %s, sent %.3f s after the ack that it is draining; the caller got status %d",
			draining.ID, id, sent.Sub(acked).Seconds(), answer.Status)
	})
	for _, s := range append(sound, draining) {
		c.RecordRuns(s)
	}
	c.Record.Printf("%d orders reached %s later than drain-ms after the ack, and %d of them were lost when it exited", late, draining.ID, lost)
	return late == 0, nil
}

// sendOrders lets callers send orders one after another until the end. It calls observe for each and
// reports whether all were answered with success.
func sendOrders(c *harness.Cluster, end time.Time, observe func(id string, sent time.Time, answer harness.Answer)) bool {
	var wait sync.WaitGroup
	var mu sync.Mutex
	all := true
	for i := range callers {
		wait.Go(func() {
			for time.Now().Before(end) {
				sent := time.Now()
				id, answer := call(c, c.Entries[i%len(c.Entries)], "POST", "/grant/1", otherKey)
				mu.Lock()
				all = all && answer.Status == 200
				mu.Unlock()
				if observe != nil {
					observe(id, sent, answer)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	return all
}
