package mcentry

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"marigoldcroft"
	"marigoldcroft/mcmessage"
)

// refreshInterval is the time between two readings of the instance list and of loads.
const refreshInterval = 500 * time.Millisecond

// directory keeps the endpoints of this data centre and their loads.
type directory struct {
	list       marigoldcroft.InstanceList
	engine     marigoldcroft.EngineQuery
	scheduler  marigoldcroft.Scheduler
	dataCentre string
	logger     zerolog.Logger

	mu        sync.RWMutex
	endpoints map[string]marigoldcroft.Endpoint
}

func (d *directory) endpoint(name string) (marigoldcroft.Endpoint, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	e, ok := d.endpoints[name]
	return e, ok
}

func (d *directory) run(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		d.refresh(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (d *directory) refresh(ctx context.Context) {
	listing, err := d.list.Instances(ctx)
	if err != nil {
		d.logger.Warn().Err(err).Msg("instanceListFailed")
	} else {
		d.replace(listing)
	}
	d.mu.RLock()
	endpoints := d.endpoints
	d.mu.RUnlock()
	var polls sync.WaitGroup
	for _, endpoint := range endpoints {
		polls.Go(func() { d.poll(ctx, endpoint) })
	}
	polls.Wait()
}

func (d *directory) replace(listing marigoldcroft.InstanceListing) {
	endpoints := make(map[string]marigoldcroft.Endpoint)
	var engines []marigoldcroft.Endpoint
	for _, l := range listing.Endpoints {
		if l.DataCentre != d.dataCentre || l.Kind != marigoldcroft.EndpointEngine {
			continue
		}
		e := marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{
			Name: l.Name, Kind: l.Kind, Address: l.Address, DataCentre: l.DataCentre, Pool: l.Pool,
			ChecksFencing: l.ChecksFencing, Leaving: l.Leaving,
		})
		endpoints[e.Name()] = e
		engines = append(engines, e)
	}
	d.mu.Lock()
	d.endpoints = endpoints
	d.mu.Unlock()
	d.scheduler.SetEndpoints(time.Now(), engines)
}

func (d *directory) poll(ctx context.Context, endpoint marigoldcroft.Endpoint) {
	asked := time.Now()
	report, err := d.engine.Load(ctx, endpoint)
	if err != nil {
		d.scheduler.EndpointDown(asked, endpoint.Name())
		return
	}
	d.scheduler.Observe(asked, report)
}

// noPeers is the peer source of an instance that knows no peers.
type noPeers struct{}

func (noPeers) ConfigPeers() []mcmessage.ConfigServiceClient { return nil }
