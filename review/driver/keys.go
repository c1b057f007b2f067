package main

import (
	"context"
	"fmt"
	"time"

	"marigoldcroft/mcstandin"
	"marigoldcroft/review/harness"
)

const (
	revokedKey = "n2ctnfzs989anu6wsjnb"
	otherKey   = "anfqasnmgkcuyj8pjbvk"
)

// lookupRoute is the route catalogue-lookup of the site copo-lima.
func lookupRoute(anonymous bool) harness.Route {
	return harness.Route{
		Name: "lookup", Host: harness.Host, PathPrefix: "/lookup/", Type: "idempotent", Service: "api", TimeoutMs: 2000, GoalMs: 300,
		Priority: 2, MaxAttempts: 2, AllowAnonymous: anonymous,
	}
}

// grantRoute is the route licence-grant of the site copo-lima.
func grantRoute() harness.Route {
	return harness.Route{
		Name: "grant", Host: harness.Host, PathPrefix: "/grant/", Type: "non_idempotent", Service: "api", TimeoutMs: 2000, GoalMs: 300,
		Priority: 2, MaxAttempts: 1,
	}
}

func apiService() harness.Service {
	return harness.Service{Name: "api", HealthPath: "/health", MaxConns: 96}
}

// startServers starts n servers of the service api, with as many slots as at the site copo-lima.
func startServers(c *harness.Cluster, n int) ([]*mcstandin.PlatformServer, error) {
	return startServersWithSlots(c, n, 6)
}

func startServersWithSlots(c *harness.Cluster, n, slots int) ([]*mcstandin.PlatformServer, error) {
	var servers []*mcstandin.PlatformServer
	for i := range n {
		s := &mcstandin.PlatformServer{ID: "i-api-" + string(rune('a'+i)), CallTime: 20 * time.Millisecond}
		address, _, err := c.Serve(s)
		if err != nil {
			return nil, err
		}
		c.PutEntry(s.ID, "api", address, mcstandin.PlatformReady, slots, time.Now().UnixMilli())
		servers = append(servers, s)
	}
	return servers, nil
}

// call sends one request and records it. An empty key sends none.
func call(c *harness.Cluster, e *harness.Entry, method, path, key string) (string, harness.Answer) {
	id, answer, took := send(e, method, path, key)
	recordCall(c, e, method, path, key, id, answer, took)
	return id, answer
}

// send sends one request and returns its ID, the answer and the time that it took.
func send(e *harness.Entry, method, path, key string) (string, harness.Answer, time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	id := harness.NextID()
	header := map[string]string{"Host": harness.Host, "Request-Id": id, "Deadline-Ms": "4000"}
	if key != "" {
		header["Authorization"] = "Bearer " + key
	}
	sent := time.Now()
	answer := harness.Send(ctx, e.Caller, method, path, "", header)
	return id, answer, time.Since(sent)
}

func recordCall(c *harness.Cluster, e *harness.Entry, method, path, key, id string, answer harness.Answer, took time.Duration) {
	line := fmt.Sprintf("caller: %s %s %s to %s", id, method, path, e.Name)
	if key != otherKey {
		line += fmt.Sprintf(" with key %q", key)
	}
	line += fmt.Sprintf(": status %d after %.3f s", answer.Status, took.Seconds())
	if answer.Err != nil {
		line += fmt.Sprintf(", %v", answer.Err)
	}
	c.Record.Printf("%s", line)
}

// ranAt returns the server that ran the request, or "".
func ranAt(servers []*mcstandin.PlatformServer, id string) (string, mcstandin.PlatformRun) {
	for _, s := range servers {
		for _, r := range s.Runs() {
			if r.ID == id {
				return s.ID, r
			}
		}
	}
	return "", mcstandin.PlatformRun{}
}

// callRevoked sends requests with the revoked key for some seconds after revoke-ms, to each entry in
// turn, and reports whether none of them ran.
func callRevoked(c *harness.Cluster, servers []*mcstandin.PlatformServer, acked time.Time) bool {
	time.Sleep(time.Until(acked.Add(harness.RevokeLimit + 500*time.Millisecond)))
	held := true
	for range 10 {
		for _, e := range c.Entries {
			sent := time.Now()
			id, _ := call(c, e, "GET", "/lookup/1", revokedKey)
			if server, run := ranAt(servers, id); server != "" {
				held = false
				c.Record.Printf("server: %s ran request %s, Tenant %q; it was sent %.3f s after the ack of the config that took its key away",
					server, id, run.Team(), sent.Sub(acked).Seconds())
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return held
}

// playLastKey takes the last key of a deployment away.
func playLastKey(c *harness.Cluster, trouble bool) (bool, error) {
	servers, err := startServers(c, 3)
	if err != nil {
		return false, err
	}
	routes := []harness.Route{lookupRoute(false), grantRoute()}
	config := harness.NewConfig(7, routes, []harness.Tenant{{Name: "hule930", APIKeys: []string{revokedKey}}}, apiService())
	c.PutConfig(config)
	if err := c.StartEntries(3); err != nil {
		return false, err
	}
	time.Sleep(harness.StableTime)
	for _, e := range c.Entries {
		if _, answer := call(c, e, "GET", "/lookup/1", revokedKey); answer.Status != 200 {
			return false, errNotServed
		}
		// Without a key, requests are refused while the tenant has one.
		if _, answer := call(c, e, "GET", "/lookup/1", ""); answer.Status != 401 {
			return false, errNotServed
		}
	}
	if !trouble {
		return true, nil
	}
	config.Version, config.Tenants = 12, []harness.Tenant{}
	acked := c.PutConfig(config)
	return callRevoked(c, servers, acked), nil
}

// playOpenRoute takes one of two keys of a tenant away that a caller uses on a route that
// allows anonymous requests.
func playOpenRoute(c *harness.Cluster, trouble bool) (bool, error) {
	servers, err := startServers(c, 3)
	if err != nil {
		return false, err
	}
	config := harness.NewConfig(7, []harness.Route{lookupRoute(true), grantRoute()},
		[]harness.Tenant{{Name: "hule930", APIKeys: []string{revokedKey, otherKey}}}, apiService())
	c.PutConfig(config)
	if err := c.StartEntries(3); err != nil {
		return false, err
	}
	time.Sleep(harness.StableTime)
	for _, e := range c.Entries {
		if _, answer := call(c, e, "GET", "/lookup/1", revokedKey); answer.Status != 200 {
			return false, errNotServed
		}
	}
	if !trouble {
		return true, nil
	}
	config.Version, config.Tenants = 12, []harness.Tenant{{Name: "hule930", APIKeys: []string{otherKey}}}
	acked := c.PutConfig(config)
	return callRevoked(c, servers, acked), nil
}

// playRestored restores the store from a copy from before a key was taken away, while one entry
// process is killed and started again by the platform.
func playRestored(c *harness.Cluster, trouble bool) (bool, error) {
	servers, err := startServers(c, 3)
	if err != nil {
		return false, err
	}
	config := harness.NewConfig(7, []harness.Route{lookupRoute(false), grantRoute()},
		[]harness.Tenant{{Name: "hule930", APIKeys: []string{revokedKey, otherKey}}}, apiService())
	c.PutConfig(config)
	if err := c.StartEntries(3); err != nil {
		return false, err
	}
	time.Sleep(harness.StableTime)
	for _, e := range c.Entries {
		if _, answer := call(c, e, "GET", "/lookup/1", revokedKey); answer.Status != 200 {
			return false, errNotServed
		}
	}
	older := c.Store.Copy()
	c.Record.Printf("store: a copy is made")
	time.Sleep(500 * time.Millisecond)
	revoked := config
	revoked.Version, revoked.Tenants = 12, []harness.Tenant{{Name: "hule930", APIKeys: []string{otherKey}}}
	acked := c.PutConfig(revoked)
	time.Sleep(harness.RevokeLimit + 500*time.Millisecond)
	e := c.Entries[0]
	if trouble {
		c.Store.SetFaults(mcstandin.PlatformStoreFaults{Status: 503})
		c.Record.Printf("store: away")
	}
	e.Kill()
	c.Record.Printf("platform: %s killed", e.Name)
	time.Sleep(time.Second)
	if trouble {
		c.Store.Restore(older)
		c.Store.SetFaults(mcstandin.PlatformStoreFaults{})
		c.Record.Printf("store: back from the copy of %.1f s ago", time.Since(acked).Seconds()+0.5)
	}
	back := time.Now()
	if err := e.Start(); err != nil {
		return false, err
	}
	c.Record.Printf("platform: %s started again", e.Name)
	written := make(chan struct{})
	go func() {
		// What the operator wrote is written again.
		time.Sleep(time.Until(back.Add(1500 * time.Millisecond)))
		c.PutConfig(revoked)
		close(written)
	}()
	held := true
	for time.Since(back) < 5*time.Second {
		sent := time.Now()
		ready := e.IsReady()
		id, answer := call(c, e, "GET", "/lookup/1", revokedKey)
		if server, _ := ranAt(servers, id); server != "" {
			held = false
			c.Record.Printf("server: %s ran request %s; it was sent %.3f s after the ack of the config that took its key away, the entry was ready: %v",
				server, id, sent.Sub(acked).Seconds(), ready)
		}
		if answer.Status == 0 {
			time.Sleep(20 * time.Millisecond)
		}
		for _, other := range c.Entries[1:] {
			id, _ := call(c, other, "GET", "/lookup/1", revokedKey)
			if server, _ := ranAt(servers, id); server != "" {
				held = false
				c.Record.Printf("server: %s ran request %s from %s, which was not started again", server, id, other.Name)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	<-written
	return held, nil
}
