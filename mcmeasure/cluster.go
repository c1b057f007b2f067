// Package mcmeasure runs benchmarks. It compares the product with baseline scheduling
// policies, on a cluster of entry instances and stand-ins for engines and platform services
// that all run in one process on loopback. It also measures the costs behind the capacity
// page.
package mcmeasure

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
	"marigoldcroft/mcconfig"
	"marigoldcroft/mcentry"
	"marigoldcroft/mcgateway"
	"marigoldcroft/mcload"
	"marigoldcroft/mcsetting"
	"marigoldcroft/mcstandin"
)

// TeamKey is the bearer key of the cluster's team.
const TeamKey = "measure-key"

const (
	deployment        = "measure"
	dataCentre        = "a"
	model             = "caption"
	loopback          = "127.0.0.1:0"
	readyTimeout      = 20 * time.Second
	readyPollInterval = 20 * time.Millisecond
	readHeaderTimeout = 5 * time.Second
)

type (
	// ClusterSettings describes a cluster in one data centre.
	ClusterSettings struct {
		Entries int
		Engines int
		Policy  string
		Engine  mcstandin.EngineSettings
	}

	// Cluster is a running set of entry instances, engines, an object store and an instance
	// list. All but the entry instances are stand-ins.
	Cluster struct {
		Engines []*mcstandin.Engine
		Store   *mcstandin.ObjectStore
		// Targets are the base URLs of the entry instances; EngineTargets are the base URLs of
		// the engines.
		Targets       []string
		EngineTargets []string

		entries []*mcentry.Entry
		listing marigoldcroft.InstanceListing
		list    *mcstandin.InstanceList
		cancel  context.CancelFunc
		running sync.WaitGroup
		servers []*http.Server
	}
)

// StartCluster starts a cluster and returns when every entry instance is ready.
func StartCluster(ctx context.Context, settings ClusterSettings) (*Cluster, error) {
	ctx, cancel := context.WithCancel(ctx)
	c := &Cluster{cancel: cancel, Store: mcstandin.NewObjectStore(1), list: &mcstandin.InstanceList{}}
	storeAddress, err := c.listen(c.Store)
	if err != nil {
		return nil, err
	}
	listAddress, err := c.listen(c.list.Handler())
	if err != nil {
		return nil, err
	}
	if err := c.startEngines(ctx, settings); err != nil {
		return nil, err
	}
	if err := c.startEntries(ctx, settings, storeAddress, listAddress); err != nil {
		return nil, err
	}
	return c, c.configure(ctx)
}

// Stop stops the cluster and waits for its engines and entry instances.
func (c *Cluster) Stop() {
	c.cancel()
	c.running.Wait()
	for _, server := range c.servers {
		// Close always closes the listeners, whatever error it returns.
		_ = server.Close()
	}
	http.DefaultClient.CloseIdleConnections()
}

// listen serves h on a free loopback port and returns its base URL.
func (c *Cluster) listen(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	c.servers = append(c.servers, server)
	go func() {
		// Serve always returns an error; after Close it is http.ErrServerClosed.
		_ = server.Serve(listener)
	}()
	return "http://" + listener.Addr().String(), nil
}

// startEngines starts the engines and adds them to the instance listing.
func (c *Cluster) startEngines(ctx context.Context, settings ClusterSettings) error {
	for i := range settings.Engines {
		engine := &mcstandin.Engine{Settings: settings.Engine, Crash: func() {}}
		engine.Settings.Name, engine.Settings.Model = fmt.Sprintf("engine-%d", i+1), model
		address, err := c.listen(engine.Handler())
		if err != nil {
			return err
		}
		c.running.Go(func() { engine.Run(ctx) })
		c.Engines = append(c.Engines, engine)
		c.EngineTargets = append(c.EngineTargets, address)
		c.listing.Endpoints = append(c.listing.Endpoints, marigoldcroft.ListedEndpoint{
			Name: engine.Settings.Name, Kind: marigoldcroft.EndpointEngine, Address: address, DataCentre: dataCentre, Pool: model,
		})
	}
	return nil
}

// startEntries starts the entry instances and publishes the instance listing.
func (c *Cluster) startEntries(ctx context.Context, settings ClusterSettings, store, list string) error {
	for i := range settings.Entries {
		s := mcsetting.Default()
		s.Deployment, s.Region, s.DataCentre, s.Instance = deployment, "r", dataCentre, fmt.Sprintf("entry-%d", i+1)
		s.CallerAddress, s.PeerAddress, s.AdminAddress = loopback, loopback, loopback
		s.ObjectStore, s.InstanceList, s.Scheduler = store, list, settings.Policy
		s.Stop.LameDuck, s.Log.Level = 0, "error"
		entry := &mcentry.Entry{Settings: s, Output: io.Discard}
		if err := entry.Start(ctx); err != nil {
			return err
		}
		c.entries = append(c.entries, entry)
		c.Targets = append(c.Targets, "http://"+entry.CallerAddress())
		c.listing.Instances = append(c.listing.Instances, marigoldcroft.ListedInstance{
			Name: s.Instance, DataCentre: dataCentre, Region: s.Region, PeerAddress: entry.PeerAddress(),
		})
	}
	c.list.Show(c.listing)
	for _, entry := range c.entries {
		c.running.Go(func() {
			// Serve returns when the cluster stops. An instance that fails shows in the
			// measured outcomes.
			_ = entry.Serve(ctx)
		})
	}
	return nil
}

// configure stores the templates and the team and waits until all instances are ready.
func (c *Cluster) configure(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	templates := []marigoldcroft.TemplateSpec{
		{Name: "caption", Model: model, Urgency: "interactive", Repeat: marigoldcroft.RepeatIdempotent, DeadlineMs: 30_000},
		{
			Name: "comparison", Model: model, Urgency: "batch", Repeat: marigoldcroft.RepeatIdempotent, DeadlineMs: 600_000,
			Oversize: marigoldcroft.OversizeSplit, CombinePrompt: "Combine the partial answers.",
		},
	}
	var changes []mcconfig.Change
	for _, t := range templates {
		changes = append(changes, newChange(mcconfig.Object{Template: &t}))
	}
	team := marigoldcroft.TeamSpec{Name: "measure", KeyHashes: []string{mcgateway.KeyHash(TeamKey)}, Templates: []string{"caption", "comparison"}}
	changes = append(changes, newChange(mcconfig.Object{Team: &team}))
	if _, err := c.entries[0].Editor().Apply(ctx, changes, false); err != nil {
		return err
	}
	return c.waitReady(ctx)
}

// newChange returns a configuration change that stores the object under its ID.
func newChange(object mcconfig.Object) mcconfig.Change {
	return mcconfig.Change{Name: object.ID(), Object: object}
}

// waitReady polls /readyz of every instance until all are ready.
func (c *Cluster) waitReady(ctx context.Context) error {
	for _, target := range c.Targets {
		for !mcload.IsReady(ctx, target+"/readyz") {
			select {
			case <-ctx.Done():
				return errors.Newf("entry instance %s did not become ready within %s", target, readyTimeout)
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}
