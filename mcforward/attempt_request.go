package mcforward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"marigoldcroft"
)

// request builds the request for the endpoint.
func (a *attempt) request(ctx context.Context, endpoint marigoldcroft.Endpoint) *http.Request {
	c := a.call
	target := &url.URL{Scheme: "http", Host: endpoint.Address()}
	path, query, hasQuery := strings.Cut(c.r.RequestURI, "?")
	if strings.HasPrefix(path, "/") && !strings.HasPrefix(path, "//") {
		// Opaque keeps the path exactly as the caller wrote it.
		target.Opaque, target.RawQuery, target.ForceQuery = path, query, hasQuery
	} else {
		*target = *c.r.URL
		target.Scheme, target.Host = "http", endpoint.Address()
	}
	resume := c.request.ResumeAfter
	if c.lastEventID != "" {
		resume = c.lastEventID
	}
	r := &http.Request{
		Method: c.r.Method, URL: target, Host: c.r.Host, ContentLength: int64(len(c.body)),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: c.forwarder.Codec.AttemptHeader(&c.request, marigoldcroft.ForwardAttempt{
			Endpoint: endpoint.Name(), Team: c.team.Name, TimeLeft: time.Until(c.deadline), ResumeAfter: resume,
			Priority: c.enginePriority(), Helpers: a.helpers(),
		}),
	}
	r.Header.Del("Content-Length")
	if len(c.body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(c.body))
	} else {
		r.Body = http.NoBody
	}
	return r.WithContext(ctx)
}

// helpers returns the endpoints that prefill parts of the prompt.
func (a *attempt) helpers() []marigoldcroft.ForwardHelper {
	helpers := a.reservations
	for _, name := range a.decision.Helpers[len(a.reservations):] {
		if endpoint, ok := a.call.forwarder.Fleet.Endpoint(name); ok && a.mayHelp(name) && !a.call.isOutside(endpoint) {
			helpers = append(helpers, marigoldcroft.ForwardHelper{Address: endpoint.Address()})
		}
	}
	return helpers
}

// enginePriority returns the priority in the engine's admission queue, where lower values
// go first. Short requests go before long ones.
func (c *call) enginePriority() int {
	if c.class == marigoldcroft.ClassShort {
		return 2
	}
	return 6
}
