package mcstore

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"marigoldcroft"
	"marigoldcroft/mcclock"
)

const (
	// readAttempts is the maximum number of attempts for one read.
	readAttempts = 4
	backoffBase  = 20 * time.Millisecond
	backoffMax   = time.Second
	// resolveCallTimeouts limits the time spent on finding the outcome of a write, as a
	// multiple of the call timeout.
	resolveCallTimeouts = 5

	defaultCallTimeout = 2 * time.Second
)

type (
	// ClientConfig configures a Client.
	ClientConfig struct {
		// Store is the underlying store.
		Store marigoldcroft.ObjectStore
		// WritesPerSecond and ReadsPerSecond are the call rates allowed to the whole
		// deployment. A watch counts as a read. Zero means no limit.
		WritesPerSecond float64
		ReadsPerSecond  float64
		// Instances is the number of live instances that share the rates. Zero means 1.
		Instances int
		// CallTimeout is the timeout of each call. Zero means 2 s.
		CallTimeout time.Duration
	}

	// CallCounts holds the number of calls to the underlying store by kind and result.
	CallCounts struct {
		Get, List, Watch, Put, Delete uint64
		// RateLimited and BreakerOpen count calls rejected locally by the rate limit and
		// by the circuit breaker.
		RateLimited, BreakerOpen uint64
		// Failed counts calls that got no response or that the store refused to serve.
		Failed uint64
		// Unknown counts writes whose response was lost. Resolved counts those of them
		// whose outcome was then determined by reading the object or repeating the write.
		Unknown, Resolved uint64
	}

	// Client adds rate limits, timeouts, retries with backoff and a circuit breaker to an
	// object store, and determines the outcome of writes whose response was lost. It
	// implements marigoldcroft.ObjectStore.
	Client struct {
		store       marigoldcroft.ObjectStore
		callTimeout time.Duration
		writes      *rate.Limiter
		reads       *rate.Limiter
		breaker     breaker

		mu        sync.Mutex
		writeRate float64
		readRate  float64
		instances int
		counts    CallCounts
	}
)

// NewClient returns a client for cfg.Store.
func NewClient(cfg ClientConfig) *Client {
	c := &Client{
		store: cfg.Store, callTimeout: cfg.CallTimeout,
		writes: rate.NewLimiter(rate.Inf, 1), reads: rate.NewLimiter(rate.Inf, 1),
		instances: max(1, cfg.Instances),
	}
	if c.callTimeout <= 0 {
		c.callTimeout = defaultCallTimeout
	}
	c.SetRates(cfg.WritesPerSecond, cfg.ReadsPerSecond)
	return c
}

// SetRates sets the call rates of the whole deployment, in calls per second. Zero means no limit.
func (c *Client) SetRates(writesPerSecond, readsPerSecond float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeRate, c.readRate = writesPerSecond, readsPerSecond
	c.applyRates()
}

// SetInstances sets the number of live instances that share the rates.
func (c *Client) SetInstances(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances = max(1, n)
	c.applyRates()
}

// applyRates sets both limiters to this instance's share of the rates. It requires mu to be
// held.
func (c *Client) applyRates() {
	setInstanceRate(c.writes, c.writeRate, c.instances)
	setInstanceRate(c.reads, c.readRate, c.instances)
}

// setInstanceRate gives limiter one instance's share of the total rate, with a burst of one
// second's calls and at least one call.
func setInstanceRate(limiter *rate.Limiter, total float64, instances int) {
	if total <= 0 {
		limiter.SetLimit(rate.Inf)
		return
	}
	share := total / float64(instances)
	limiter.SetLimit(rate.Limit(share))
	limiter.SetBurst(int(math.Max(1, share)))
}

// Breaker returns the state of the circuit breaker.
func (c *Client) Breaker() BreakerState { return c.breaker.currentState() }

// Counts returns the call counts since the client was created.
func (c *Client) Counts() CallCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

func (c *Client) updateCounts(update func(*CallCounts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	update(&c.counts)
}

// call runs one store call with the timeout, subject to the rate limit and the circuit
// breaker. It first waits up to callTimeout for the rate limiter.
func (c *Client) call(ctx context.Context, operation string, limiter *rate.Limiter, timeout time.Duration,
	countCall func(*CallCounts), request func(ctx context.Context) error,
) error {
	if err := c.waitForLimiter(ctx, limiter); err != nil {
		if ctx.Err() != nil {
			return marigoldcroft.NewFailure(operation, KindUnavailable, ctx.Err())
		}
		c.updateCounts(func(n *CallCounts) { n.RateLimited++ })
		return marigoldcroft.NewFailure(operation, KindRateLimited, err)
	}
	permit, allowed := c.breaker.allow()
	if !allowed {
		c.updateCounts(func(n *CallCounts) { n.BreakerOpen++ })
		return marigoldcroft.NewFailure(operation, KindUnavailable, errors.New("the circuit breaker is open"))
	}
	c.updateCounts(countCall)
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := request(callCtx)
	if isFailure(err) {
		c.updateCounts(func(n *CallCounts) { n.Failed++ })
	}
	c.breaker.done(permit, resultOf(ctx, callCtx, err))
	return err
}

// resultOf returns what the end of a call shows about the store's health. ctx is the
// caller's context and callCtx that of the call.
func resultOf(ctx, callCtx context.Context, err error) callResult {
	switch {
	case !isFailure(err):
		return callSucceeded
	case ctx.Err() != nil:
		return callInconclusive
	case callCtx.Err() != nil:
		return callTimedOut
	}
	return callFailed
}

func (c *Client) waitForLimiter(ctx context.Context, limiter *rate.Limiter) error {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	return limiter.Wait(ctx)
}

// isFailure reports whether err means that the store did not serve the call. Errors such
// as a version conflict show that the store works.
func isFailure(err error) bool {
	if err == nil {
		return false
	}
	switch marigoldcroft.FailureKind[Kind](err) {
	case KindNotFound, KindConflict, KindTooLarge, KindInvalidKey:
		return false
	}
	return true
}

// backoff waits before retry number attempt, counted from 1, with exponential backoff and
// full jitter. It returns false if ctx ends first.
func backoff(ctx context.Context, attempt int) bool {
	return mcclock.Sleep(ctx, rand.N(mcclock.Backoff(backoffBase, backoffMax, attempt)))
}
