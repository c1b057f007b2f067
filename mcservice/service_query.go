package mcservice

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
)

// Status asks the service for the result of the call with the key. Any status other than
// 200 means that the service does not know the key or supports no status queries.
func (c *Client) Status(ctx context.Context, endpoint marigoldcroft.Endpoint, key string) (marigoldcroft.ServiceAnswer, bool, error) {
	var status CallStatus
	known, err := c.query(ctx, "status of "+endpoint.Name(), endpoint.Address()+statusPath+"?key="+url.QueryEscape(key), &status)
	if err != nil || !known {
		return marigoldcroft.ServiceAnswer{}, false, err
	}
	header := http.Header{}
	if status.ContentType != "" {
		header.Set("Content-Type", status.ContentType)
	}
	return marigoldcroft.ServiceAnswer{Status: status.Status, Header: header, Body: status.Body}, true, nil
}

// Load returns the load report of the endpoint.
func (c *Client) Load(ctx context.Context, endpoint marigoldcroft.Endpoint) (marigoldcroft.LoadReport, error) {
	operation := "load of " + endpoint.Name()
	var report marigoldcroft.LoadReport
	ok, err := c.query(ctx, operation, endpoint.Address()+loadPath, &report)
	if err == nil && !ok {
		err = marigoldcroft.NewFailure(operation, KindMalformed, errors.New("the endpoint offers no load report"))
	}
	return report, err
}

// query decodes a JSON answer into v; it returns false for a status other than 200.
func (c *Client) query(ctx context.Context, operation, address string, v any) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.QueryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return false, notSentFailure(operation, err)
	}
	answer, err := c.send(operation, request, maxQueryBytes)
	if err != nil || answer.Status != http.StatusOK {
		return false, err
	}
	if err := json.Unmarshal(answer.Body, v); err != nil {
		return false, marigoldcroft.NewFailure(operation, KindMalformed, err)
	}
	return true, nil
}
