package mcstore

import (
	"context"
	"time"

	"marigoldcroft"
)

// Get returns the object and retries if the store is unavailable.
func (c *Client) Get(ctx context.Context, key string) (marigoldcroft.Object, error) {
	var object marigoldcroft.Object
	err := c.retryRead(ctx, func() error {
		var err error
		object, err = c.getOnce(ctx, key)
		return err
	})
	return object, err
}

// List returns up to limit keys with the prefix, in ascending order, starting after the
// key after. It retries if the store is unavailable.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]marigoldcroft.ObjectEntry, error) {
	var entries []marigoldcroft.ObjectEntry
	err := c.retryRead(ctx, func() error {
		return c.call(ctx, "list "+prefix, c.reads, c.callTimeout, func(n *CallCounts) { n.List++ },
			func(ctx context.Context) error {
				var err error
				entries, err = c.store.List(ctx, prefix, after, limit)
				return err
			})
	})
	return entries, err
}

// Watch returns the object once its version differs from known, or after wait. It does not
// retry, since watchers call it in a loop.
func (c *Client) Watch(ctx context.Context, key string, known marigoldcroft.Version, wait time.Duration) (marigoldcroft.Object, error) {
	var object marigoldcroft.Object
	err := c.call(ctx, "watch "+key, c.reads, wait+c.callTimeout, func(n *CallCounts) { n.Watch++ },
		func(ctx context.Context) error {
			var err error
			object, err = c.store.Watch(ctx, key, known, wait)
			return err
		})
	return object, err
}

func (c *Client) getOnce(ctx context.Context, key string) (marigoldcroft.Object, error) {
	var object marigoldcroft.Object
	err := c.call(ctx, "get "+key, c.reads, c.callTimeout, func(n *CallCounts) { n.Get++ },
		func(ctx context.Context) error {
			var err error
			object, err = c.store.Get(ctx, key)
			return err
		})
	return object, err
}

// retryRead retries a read while the store is unavailable. It does not retry a read that
// exceeded the rate limit, since that has already waited for the limiter.
func (c *Client) retryRead(ctx context.Context, read func() error) error {
	for attempt := 1; ; attempt++ {
		err := read()
		if marigoldcroft.FailureKind[Kind](err) != KindUnavailable || attempt == readAttempts ||
			c.Breaker() == BreakerOpen || !backoff(ctx, attempt) {
			return err
		}
	}
}

// Era returns the era of the store.
func (c *Client) Era() uint64 { return marigoldcroft.StoreEra(c.store) }
