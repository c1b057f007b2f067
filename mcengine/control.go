package mcengine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
)

type (
	streamList struct {
		Streams []marigoldcroft.EngineStream `json:"streams"`
	}
	cancelBody struct {
		ID      string `json:"id"`
		Attempt int    `json:"attempt"`
	}
)

// Load returns the engine's latest load report.
func (c *Client) Load(ctx context.Context, endpoint marigoldcroft.Endpoint) (marigoldcroft.LoadReport, error) {
	var report marigoldcroft.LoadReport
	err := c.call(ctx, "load of "+endpoint.Name(), http.MethodGet, endpoint.Address()+"/v1/load", nil, &report)
	report.Endpoint = endpoint.Name()
	return report, err
}

// Streams returns the streams that the engine holds.
func (c *Client) Streams(ctx context.Context, endpoint marigoldcroft.Endpoint) ([]marigoldcroft.EngineStream, error) {
	var list streamList
	err := c.call(ctx, "streams of "+endpoint.Name(), http.MethodGet, endpoint.Address()+"/v1/streams", nil, &list)
	return list.Streams, err
}

// Orders returns the last desired state that the engine accepted.
func (c *Client) Orders(ctx context.Context, endpoint marigoldcroft.Endpoint) (marigoldcroft.Order, error) {
	var order marigoldcroft.Order
	err := c.call(ctx, "orders of "+endpoint.Name(), http.MethodGet, endpoint.Address()+"/v1/orders", nil, &order)
	return order, err
}

// Cancel ends a stream and frees its memory on the engine. An unknown stream is not an
// error, as it uses no memory.
func (c *Client) Cancel(ctx context.Context, endpoint marigoldcroft.Endpoint, id marigoldcroft.StreamID) error {
	err := c.call(ctx, "cancel on "+endpoint.Name(), http.MethodPost, endpoint.Address()+"/v1/streams/cancel",
		cancelBody{ID: id.Request(), Attempt: id.Attempt()}, nil)
	if marigoldcroft.FailureKind[Kind](err) == KindNotFound {
		return nil
	}
	return err
}

// Order sends a desired state. An engine that checks fencing tokens rejects an old one,
// and the error is of the kind KindStaleFencing.
func (c *Client) Order(ctx context.Context, endpoint marigoldcroft.Endpoint, order marigoldcroft.Order) error {
	return c.call(ctx, "order to "+endpoint.Name(), http.MethodPost, endpoint.Address()+"/v1/orders", order, nil)
}

// call sends in as JSON and decodes the response into out. Either may be nil.
func (c *Client) call(ctx context.Context, operation, method, address string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return marigoldcroft.NewFailure(operation, KindInvalid, err)
		}
		body = bytes.NewReader(text)
	}
	r, err := http.NewRequestWithContext(ctx, method, address, body)
	if err != nil {
		return marigoldcroft.NewFailure(operation, KindInvalid, err)
	}
	response, err := c.HTTP.Do(r)
	if err != nil {
		return marigoldcroft.NewFailure(operation, transportKind(err), err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return statusFailure(operation, response)
	}
	return decodeResponse(operation, response.Body, out)
}

func decodeResponse(operation string, body io.Reader, out any) error {
	text, err := io.ReadAll(io.LimitReader(body, maxControlBytes+1))
	if err != nil {
		return marigoldcroft.NewFailure(operation, KindStreamBroken, err)
	}
	if len(text) > maxControlBytes {
		return marigoldcroft.NewFailure(operation, KindStreamBroken, errors.Newf("the answer is larger than %d bytes", maxControlBytes))
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(text, out); err != nil {
		return marigoldcroft.NewFailure(operation, KindStreamBroken, err)
	}
	return nil
}
