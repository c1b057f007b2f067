package mcorder

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"marigoldcroft"
	"marigoldcroft/mcclock"
)

// checkInterval is the pause between two comparisons of wanted and actual states.
const checkInterval = 2 * time.Second

type (
	// Endpoint sends orders and reads them back; marigoldcroft.Engine is one.
	Endpoint interface {
		Order(ctx context.Context, endpoint marigoldcroft.Endpoint, order marigoldcroft.Order) error
		Orders(ctx context.Context, endpoint marigoldcroft.Endpoint) (marigoldcroft.Order, error)
	}

	// Desired is the state that an endpoint shall have.
	Desired struct {
		Endpoint marigoldcroft.Endpoint
		Order    marigoldcroft.Order
	}

	// Controller brings the endpoints of one group to their wanted states while this
	// instance holds the group's lease. Set the exported fields before Run.
	Controller struct {
		Lease  *Lease
		Engine Endpoint
		// Loads is a lease over LoadGroup that is only drawn on, never held.
		Loads     *Lease
		LoadLimit LoadLimit
		// Wanted returns the wanted states.
		Wanted func() []Desired
		Logger zerolog.Logger

		mu        sync.Mutex
		unsettled map[string]string
	}
)

// Run compares and corrects until ctx ends. The lease is run by its own Run.
func (c *Controller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		c.Pass(ctx)
		mcclock.Sleep(ctx, checkInterval)
	}
	return ctx.Err()
}

// Pass compares each wanted state once and sends what differs. It returns the number
// of endpoints that are not in their wanted state as read back.
func (c *Controller) Pass(ctx context.Context) int {
	if _, err := c.Lease.Epoch(); err != nil {
		return 0
	}
	unsettled := make(map[string]string)
	for _, desired := range c.Wanted() {
		if err := c.applyState(ctx, desired); err != nil {
			unsettled[desired.Endpoint.Name()] = err.Error()
			c.Logger.Warn().Err(err).Str("endpoint", desired.Endpoint.Name()).Msg("orderUnsettled")
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsettled = unsettled
	return len(unsettled)
}

// Unsettled returns the reason for each endpoint that was not in its wanted state.
func (c *Controller) Unsettled() map[string]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unsettled
}

// applyState brings one endpoint to its wanted state and reads it back.
func (c *Controller) applyState(ctx context.Context, desired Desired) error {
	actual, err := c.readBack(ctx, desired.Endpoint)
	if err != nil || Same(actual, desired.Order) {
		return err
	}
	// A load is drawn only when the order can be sent.
	if _, _, err := c.Lease.Permit(desired.Endpoint.ChecksFencing()); err != nil {
		return err
	}
	if loadsWeights(actual, desired.Order) && c.Loads != nil {
		ok, err := c.Loads.DrawLoad(ctx, c.LoadLimit)
		if err != nil {
			return err
		}
		if !ok {
			return marigoldcroft.NewFailure("order", KindUnavailable, errors.New("no weight load is left in the deployment-wide rate"))
		}
	}
	if err := c.send(ctx, desired); err != nil {
		return err
	}
	if actual, err = c.readBack(ctx, desired.Endpoint); err != nil {
		return err
	}
	if !Same(actual, desired.Order) {
		return marigoldcroft.NewFailure("order", KindUnavailable, errors.New("the endpoint has not taken the state yet"))
	}
	return nil
}

// send checks the remaining time of the lease right before the order leaves and
// bounds the order by it.
func (c *Controller) send(ctx context.Context, desired Desired) error {
	epoch, until, err := c.Lease.Permit(desired.Endpoint.ChecksFencing())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	order := desired.Order
	order.Fencing = epoch
	if err := c.Engine.Order(ctx, desired.Endpoint, order); err != nil {
		return marigoldcroft.NewFailure("order "+desired.Endpoint.Name(), KindUnavailable, err)
	}
	c.Logger.Info().Str("endpoint", desired.Endpoint.Name()).Uint64("fencing", epoch).Msg("orderSent")
	return nil
}

func (c *Controller) readBack(ctx context.Context, endpoint marigoldcroft.Endpoint) (marigoldcroft.Order, error) {
	ctx, cancel := context.WithTimeout(ctx, OrderDeadline)
	defer cancel()
	actual, err := c.Engine.Orders(ctx, endpoint)
	if err != nil {
		return actual, marigoldcroft.NewFailure("read orders of "+endpoint.Name(), KindUnavailable, err)
	}
	return actual, nil
}

// Same tells whether two orders want the same state; the fencing token is no part of it.
func Same(a, b marigoldcroft.Order) bool {
	x, y := slices.Clone(a.Models), slices.Clone(b.Models)
	slices.Sort(x)
	slices.Sort(y)
	return slices.Equal(x, y) && a.Adapter == b.Adapter && a.Version == b.Version && a.Role == b.Role
}

// loadsWeights tells whether the change makes the endpoint read from the weight store.
func loadsWeights(from, to marigoldcroft.Order) bool {
	if from.Version != to.Version || from.Adapter != to.Adapter && to.Adapter != "" {
		return true
	}
	return slices.ContainsFunc(to.Models, func(m string) bool { return !slices.Contains(from.Models, m) })
}
