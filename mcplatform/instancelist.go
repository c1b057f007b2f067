// Package mcplatform is an HTTP client for the platform's instance list.
package mcplatform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
)

// Kind classifies instance list errors.
type Kind string

// Error is the error type of the package.
type Error = marigoldcroft.Failure[Kind]

// The kinds of instance list errors.
const (
	KindUnavailable Kind = "unavailable"
	KindMalformed   Kind = "malformed answer"
)

const (
	listTimeout = 2 * time.Second
	// maxListBytes is many times the size of a list of 330 instances and 600 endpoints.
	maxListBytes = 4 << 20
	maxListRows  = 10000
)

// InstanceList reads the platform's instance list over HTTP.
type InstanceList struct {
	// BaseURL is the base URL of the platform.
	BaseURL string
	HTTP    *http.Client
}

// Instances fetches the current list. The platform publishes changes with a delay, so the
// result may be out of date.
func (l *InstanceList) Instances(ctx context.Context) (marigoldcroft.InstanceListing, error) {
	const operation = "read instance list"
	var listing marigoldcroft.InstanceListing
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, l.BaseURL+"/v1/instances", nil)
	if err != nil {
		return listing, marigoldcroft.NewFailure(operation, KindUnavailable, err)
	}
	response, err := l.HTTP.Do(r)
	if err != nil {
		return listing, marigoldcroft.NewFailure(operation, KindUnavailable, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return listing, marigoldcroft.NewFailure(operation, KindUnavailable, errors.Newf("status %d", response.StatusCode))
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&listing); err != nil {
		return listing, marigoldcroft.NewFailure(operation, KindMalformed, err)
	}
	if rows := len(listing.Instances) + len(listing.Endpoints); rows > maxListRows {
		return marigoldcroft.InstanceListing{}, marigoldcroft.NewFailure(operation, KindMalformed,
			errors.Newf("the instance list has %d rows; at most %d are allowed", rows, maxListRows))
	}
	return listing, nil
}
