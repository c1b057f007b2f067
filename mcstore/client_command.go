package mcstore

import (
	"context"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
)

// Put stores value if the object's current version equals expected. If the response is
// lost, Put tries for a limited time to find out whether the write took effect. It returns
// an error of KindOutcomeUnknown if the store cannot be read or another write has since replaced
// the object.
func (c *Client) Put(ctx context.Context, key string, value []byte, expected marigoldcroft.Version, writeID string) (marigoldcroft.Version, error) {
	version, err := c.putOnce(ctx, key, value, expected, writeID)
	if !IsOutcomeUnknown(err) {
		return version, err
	}
	c.updateCounts(func(n *CallCounts) { n.Unknown++ })
	return c.resolvePut(ctx, key, value, expected, writeID, err)
}

func (c *Client) putOnce(ctx context.Context, key string, value []byte, expected marigoldcroft.Version, writeID string) (marigoldcroft.Version, error) {
	var version marigoldcroft.Version
	err := c.call(ctx, "put "+key, c.writes, c.callTimeout, func(n *CallCounts) { n.Put++ },
		func(ctx context.Context) error {
			var err error
			version, err = c.store.Put(ctx, key, value, expected, writeID)
			if err != nil && marigoldcroft.FailureKind[Kind](err) == "" {
				return marigoldcroft.NewFailure("put "+key, KindOutcomeUnknown, err)
			}
			return err
		})
	return version, err
}

// resolvePut finds out whether a write with a lost response took effect. While the object
// is still at the expected version, the write may yet arrive, so it cannot be reported as
// failed. resolvePut then sends it again with the same write ID and expected version, so
// that only one of the copies can succeed.
func (c *Client) resolvePut(ctx context.Context, key string, value []byte, expected marigoldcroft.Version, writeID string, lostErr error) (marigoldcroft.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, resolveCallTimeouts*c.callTimeout)
	defer cancel()
	// An open breaker ends the loop, so that callers learn of an outage without waiting
	// for the timeout.
	for attempt := 0; c.Breaker() != BreakerOpen && (attempt == 0 || backoff(ctx, attempt)); attempt++ {
		object, err := c.getOnce(ctx, key)
		if err != nil && !IsNotFound(err) {
			continue
		}
		if err == nil && object.WriteID() == writeID {
			c.updateCounts(func(n *CallCounts) { n.Resolved++ })
			return object.Version(), nil
		}
		if object.Version() != expected {
			return "", marigoldcroft.NewFailure("put "+key, KindOutcomeUnknown,
				errors.Newf("the answer was lost and write %q has replaced the object", object.WriteID()))
		}
		version, err := c.putOnce(ctx, key, value, expected, writeID)
		if err == nil {
			c.updateCounts(func(n *CallCounts) { n.Resolved++ })
			return version, nil
		}
	}
	return "", lostErr
}

// Delete removes the object if its current version equals expected. If the response is
// lost, Delete repeats the call for a limited time, and succeeds if a repeated call deletes
// the object or does not find it.
func (c *Client) Delete(ctx context.Context, key string, expected marigoldcroft.Version, writeID string) error {
	err := c.deleteOnce(ctx, key, expected, writeID)
	if !IsOutcomeUnknown(err) {
		return err
	}
	c.updateCounts(func(n *CallCounts) { n.Unknown++ })
	ctx, cancel := context.WithTimeout(ctx, resolveCallTimeouts*c.callTimeout)
	defer cancel()
	for attempt := 1; c.Breaker() != BreakerOpen && backoff(ctx, attempt); attempt++ {
		retryErr := c.deleteOnce(ctx, key, expected, writeID)
		if retryErr == nil || IsNotFound(retryErr) {
			c.updateCounts(func(n *CallCounts) { n.Resolved++ })
			return nil
		}
		if IsConflict(retryErr) {
			return retryErr
		}
	}
	return err
}

func (c *Client) deleteOnce(ctx context.Context, key string, expected marigoldcroft.Version, writeID string) error {
	return c.call(ctx, "delete "+key, c.writes, c.callTimeout, func(n *CallCounts) { n.Delete++ },
		func(ctx context.Context) error { return c.store.Delete(ctx, key, expected, writeID) })
}

var _ marigoldcroft.ObjectStore = (*Client)(nil)
