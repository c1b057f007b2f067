package mcstore

import (
	"context"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
)

// Put stores value if the current version is expected. A write whose answer was lost
// is resolved within a bound; an error of the kind unknown remains when the store
// cannot be read or another write has replaced the object since.
func (c *Client) Put(ctx context.Context, key string, value []byte, expected marigoldcroft.Version, writeID string) (marigoldcroft.Version, error) {
	version, err := c.putOnce(ctx, key, value, expected, writeID)
	if !IsUnknown(err) {
		return version, err
	}
	c.count(func(n *CallCounts) { n.Unknown++ })
	return c.resolvePut(ctx, key, value, expected, writeID, err)
}

func (c *Client) putOnce(ctx context.Context, key string, value []byte, expected marigoldcroft.Version, writeID string) (marigoldcroft.Version, error) {
	var version marigoldcroft.Version
	err := c.call(ctx, "put "+key, c.writes, c.callTimeout, func(n *CallCounts) { n.Put++ },
		func(ctx context.Context) error {
			var err error
			version, err = c.store.Put(ctx, key, value, expected, writeID)
			if err != nil && marigoldcroft.FailureKind[Kind](err) == "" {
				return marigoldcroft.NewFailure("put "+key, KindUnknown, err)
			}
			return err
		})
	return version, err
}

// resolvePut finds out whether a write took effect. While the object is still at the
// expected version, the write may be on its way, so that it cannot be declared
// failed; it is sent again with the same id, and only one of the copies can succeed.
func (c *Client) resolvePut(ctx context.Context, key string, value []byte, expected marigoldcroft.Version, writeID string, cause error) (marigoldcroft.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeouts*c.callTimeout)
	defer cancel()
	// An open breaker ends the search: callers learn of an outage from it in time.
	for attempt := 0; c.Breaker() != BreakerOpen && (attempt == 0 || backoff(ctx, attempt)); attempt++ {
		object, err := c.getOnce(ctx, key)
		if err != nil && !IsNotFound(err) {
			continue
		}
		if err == nil && object.WriteID() == writeID {
			c.count(func(n *CallCounts) { n.Resolved++ })
			return object.Version(), nil
		}
		if object.Version() != expected {
			return "", marigoldcroft.NewFailure("put "+key, KindUnknown,
				errors.Newf("the answer was lost and write %q has replaced the object", object.WriteID()))
		}
		version, err := c.putOnce(ctx, key, value, expected, writeID)
		if err == nil {
			c.count(func(n *CallCounts) { n.Resolved++ })
			return version, nil
		}
	}
	return "", cause
}

// Delete removes the object if the current version is expected. A delete whose answer
// was lost succeeds when the object is found to be gone.
func (c *Client) Delete(ctx context.Context, key string, expected marigoldcroft.Version, writeID string) error {
	err := c.deleteOnce(ctx, key, expected, writeID)
	if !IsUnknown(err) {
		return err
	}
	c.count(func(n *CallCounts) { n.Unknown++ })
	ctx, cancel := context.WithTimeout(ctx, resolveTimeouts*c.callTimeout)
	defer cancel()
	for attempt := 1; c.Breaker() != BreakerOpen && backoff(ctx, attempt); attempt++ {
		again := c.deleteOnce(ctx, key, expected, writeID)
		if again == nil || IsNotFound(again) {
			c.count(func(n *CallCounts) { n.Resolved++ })
			return nil
		}
		if IsConflict(again) {
			return again
		}
	}
	return err
}

func (c *Client) deleteOnce(ctx context.Context, key string, expected marigoldcroft.Version, writeID string) error {
	return c.call(ctx, "delete "+key, c.writes, c.callTimeout, func(n *CallCounts) { n.Delete++ },
		func(ctx context.Context) error { return c.store.Delete(ctx, key, expected, writeID) })
}

var _ marigoldcroft.ObjectStore = (*Client)(nil)
