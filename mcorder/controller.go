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

// checkInterval is the time between two comparisons of desired and actual states.
const checkInterval = 2 * time.Second

type (
	// OrderClient sends orders to endpoints and reads their current orders;
	// marigoldcroft.Engine implements it.
	OrderClient interface {
		Order(ctx context.Context, endpoint marigoldcroft.Endpoint, order marigoldcroft.Order) error
		Orders(ctx context.Context, endpoint marigoldcroft.Endpoint) (marigoldcroft.Order, error)
	}

	// Desired is the state that an endpoint should have.
	Desired struct {
		Endpoint marigoldcroft.Endpoint
		Order    marigoldcroft.Order
	}

	// Controller brings the endpoints of one group to their desired states while this
	// instance holds the group's lease. Set the exported fields before Run.
	Controller struct {
		Lease  *Lease
		Engine OrderClient
		// LoadBudgetLease is the lease object of LoadGroup. Only its load budget is used; the
		// lease itself is never acquired.
		LoadBudgetLease *Lease
		LoadLimit       LoadLimit
		// DesiredStates returns the desired states of the group's endpoints.
		DesiredStates func() []Desired
		Logger        zerolog.Logger

		mu           sync.Mutex
		unreconciled map[string]string
	}
)

// Run compares desired and actual states and corrects differences until ctx ends. It
// does not acquire or renew the lease; Lease.Run must run as well.
func (c *Controller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		c.ReconcileOnce(ctx)
		mcclock.Sleep(ctx, checkInterval)
	}
	return ctx.Err()
}

// ReconcileOnce compares each endpoint with its desired state once and sends an order
// where they differ. It returns the number of endpoints whose state, when read back, was
// not confirmed as the desired one. It does nothing and returns 0 if the lease is not
// held.
func (c *Controller) ReconcileOnce(ctx context.Context) int {
	if _, err := c.Lease.Epoch(); err != nil {
		return 0
	}
	unreconciled := make(map[string]string)
	for _, desired := range c.DesiredStates() {
		if err := c.applyState(ctx, desired); err != nil {
			unreconciled[desired.Endpoint.Name()] = err.Error()
			c.Logger.Warn().Err(err).Str("endpoint", desired.Endpoint.Name()).Msg("orderUnsettled")
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreconciled = unreconciled
	return len(unreconciled)
}

// Unreconciled returns, by endpoint name, why the last completed ReconcileOnce could not
// confirm the desired state.
func (c *Controller) Unreconciled() map[string]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unreconciled
}

// applyState sends an order to one endpoint if its state differs from the desired one,
// and reads the state back to confirm it.
func (c *Controller) applyState(ctx context.Context, desired Desired) error {
	actual, err := c.readBack(ctx, desired.Endpoint)
	if err != nil || SameState(actual, desired.Order) {
		return err
	}
	// A weight load is taken from the budget only when the order may be sent.
	if _, _, err := c.Lease.Permit(desired.Endpoint.ChecksFencing()); err != nil {
		return err
	}
	if loadsWeights(actual, desired.Order) && c.LoadBudgetLease != nil {
		ok, err := c.LoadBudgetLease.TakeLoad(ctx, c.LoadLimit)
		if err != nil {
			return err
		}
		if !ok {
			return marigoldcroft.NewFailure("order", KindUnavailable, errors.New("the deployment-wide rate limit on weight loads is reached"))
		}
	}
	if err := c.send(ctx, desired); err != nil {
		return err
	}
	if actual, err = c.readBack(ctx, desired.Endpoint); err != nil {
		return err
	}
	if !SameState(actual, desired.Order) {
		return marigoldcroft.NewFailure("order", KindUnavailable, errors.New("the endpoint does not report the desired state yet"))
	}
	return nil
}

// send checks the remaining time of the lease right before it sends the order, and
// limits the order's deadline accordingly.
func (c *Controller) send(ctx context.Context, desired Desired) error {
	epoch, until, err := c.Lease.Permit(desired.Endpoint.ChecksFencing())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	order := desired.Order
	order.FencingToken = epoch
	if err := c.Engine.Order(ctx, desired.Endpoint, order); err != nil {
		return marigoldcroft.NewFailure("order "+desired.Endpoint.Name(), KindUnavailable, err)
	}
	c.Logger.Info().Str("endpoint", desired.Endpoint.Name()).Uint64("fencing", epoch).Msg("orderSent")
	return nil
}

func (c *Controller) readBack(ctx context.Context, endpoint marigoldcroft.Endpoint) (marigoldcroft.Order, error) {
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	actual, err := c.Engine.Orders(ctx, endpoint)
	if err != nil {
		return actual, marigoldcroft.NewFailure("read orders of "+endpoint.Name(), KindUnavailable, err)
	}
	return actual, nil
}

// SameState reports whether two orders describe the same state. The fencing token is not
// compared.
func SameState(a, b marigoldcroft.Order) bool {
	x, y := slices.Clone(a.Models), slices.Clone(b.Models)
	slices.Sort(x)
	slices.Sort(y)
	return slices.Equal(x, y) && a.Adapter == b.Adapter && a.Version == b.Version && a.Role == b.Role
}

// loadsWeights reports whether the change makes the endpoint read from the weight
// store.
func loadsWeights(from, to marigoldcroft.Order) bool {
	if from.Version != to.Version || from.Adapter != to.Adapter && to.Adapter != "" {
		return true
	}
	return slices.ContainsFunc(to.Models, func(m string) bool { return !slices.Contains(from.Models, m) })
}
