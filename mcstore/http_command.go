package mcstore

import (
	"context"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
)

// Put stores value if the object's current version equals expected.
func (h *HTTP) Put(ctx context.Context, key string, value []byte, expected marigoldcroft.Version, writeID string) (marigoldcroft.Version, error) {
	operation := "put " + key
	if err := checkWrite(ctx, key, value); err != nil {
		return "", err
	}
	resp, err := h.write(ctx, operation, http.MethodPut, key, value, expected, writeID)
	if err != nil {
		return "", err
	}
	version := parseETag(resp.header)
	if version == "" {
		return "", marigoldcroft.NewFailure(operation, KindOutcomeUnknown, errors.New("the answer has no ETag"))
	}
	return version, nil
}

// Delete removes the object if its current version equals expected.
func (h *HTTP) Delete(ctx context.Context, key string, expected marigoldcroft.Version, writeID string) error {
	if err := checkWrite(ctx, key, nil); err != nil {
		return err
	}
	_, err := h.write(ctx, "delete "+key, http.MethodDelete, key, nil, expected, writeID)
	return err
}

func (h *HTTP) write(ctx context.Context, operation, method, key string, value []byte, expected marigoldcroft.Version, writeID string) (response, error) {
	header := http.Header{WriteIDHeader: {writeID}}
	if expected == "" {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", `"`+string(expected)+`"`)
	}
	resp, sent, err := h.send(ctx, method, objectsPath+url.PathEscape(key), header, value, maxListBytes)
	switch {
	case err != nil && !sent:
		return response{}, marigoldcroft.NewFailure(operation, KindUnavailable, err)
	case err != nil:
		return response{}, marigoldcroft.NewFailure(operation, KindOutcomeUnknown, err)
	case resp.status >= 200 && resp.status < 300:
		return resp, nil
	}
	// A 5xx response may come from an intermediary that has already forwarded the write.
	return response{}, statusFailure(operation, resp, KindOutcomeUnknown)
}
