package mcstore

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
)

// Get returns the object.
func (h *HTTP) Get(ctx context.Context, key string) (marigoldcroft.Object, error) {
	return h.read(ctx, "get "+key, key, objectsPath+url.PathEscape(key))
}

// Watch returns the object once its version differs from known. If the version has not
// changed after wait, Watch returns it with its write ID but without the value, which the
// store does not send again.
func (h *HTTP) Watch(ctx context.Context, key string, known marigoldcroft.Version, wait time.Duration) (marigoldcroft.Object, error) {
	query := url.Values{"version": {string(known)}, "waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	return h.read(ctx, "watch "+key, key, watchPath+url.PathEscape(key)+"?"+query.Encode())
}

// List returns up to limit keys with the prefix, in ascending order, starting after the
// key after.
func (h *HTTP) List(ctx context.Context, prefix, after string, limit int) ([]marigoldcroft.ObjectEntry, error) {
	operation := "list " + prefix
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	resp, _, err := h.send(ctx, http.MethodGet, listPath+"?"+query.Encode(), nil, nil, maxListBytes)
	if err != nil {
		return nil, marigoldcroft.NewFailure(operation, KindUnavailable, err)
	}
	if resp.status != http.StatusOK {
		return nil, statusFailure(operation, resp, KindUnavailable)
	}
	var entries []marigoldcroft.ObjectEntry
	if err := json.Unmarshal(resp.body, &entries); err != nil {
		return nil, marigoldcroft.NewFailure(operation, KindUnavailable, errors.Wrap(err, "malformed list"))
	}
	return entries, nil
}

func (h *HTTP) read(ctx context.Context, operation, key, path string) (marigoldcroft.Object, error) {
	resp, _, err := h.send(ctx, http.MethodGet, path, nil, nil, MaxValueBytes)
	if err != nil {
		return marigoldcroft.Object{}, marigoldcroft.NewFailure(operation, KindUnavailable, err)
	}
	if resp.status == http.StatusNotModified {
		return marigoldcroft.NewObject(key, nil, parseETag(resp.header), resp.header.Get(WriteIDHeader)), nil
	}
	if resp.status != http.StatusOK {
		return marigoldcroft.Object{}, statusFailure(operation, resp, KindUnavailable)
	}
	version := parseETag(resp.header)
	if version == "" {
		return marigoldcroft.Object{}, marigoldcroft.NewFailure(operation, KindUnavailable, errors.New("the answer has no ETag"))
	}
	return marigoldcroft.NewObject(key, resp.body, version, resp.header.Get(WriteIDHeader)), nil
}
