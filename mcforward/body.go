package mcforward

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldcroft/mcstop"
)

// readBody buffers the whole body, as the request may have to be sent again.
func (f *Forwarder) readBody(c *call) *problem {
	limit := c.limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if c.r.ContentLength > limit {
		return &problem{status: http.StatusRequestEntityTooLarge, reason: "the body is larger than " + strconv.FormatInt(limit, 10) + " bytes"}
	}
	if c.r.ContentLength == 0 {
		return nil
	}
	endLimit := f.stop.LimitRead(c.w, c.deadline)
	body, err := io.ReadAll(io.LimitReader(c.r.Body, limit+1))
	endLimit(err != nil)
	c.body = body
	switch {
	case errors.Is(err, mcstop.ErrRejected):
		return &problem{status: http.StatusServiceUnavailable, reason: err.Error(), retryAfter: time.Second, closeConnection: true}
	case err != nil && (f.stop.IsOver(time.Now()) || f.stop.RefusesNew()):
		p := stoppingProblem()
		p.closeConnection = true
		return p
	case err != nil && time.Now().After(c.deadline):
		return &problem{status: http.StatusRequestTimeout, reason: "the body did not arrive in time", closeConnection: true}
	case err != nil:
		return &problem{status: http.StatusBadRequest, reason: "the body could not be read", closeConnection: true}
	case f.stop.RefusesNew():
		return stoppingProblem()
	case int64(len(body)) > limit:
		return &problem{status: http.StatusRequestEntityTooLarge, reason: "the body is larger than " + strconv.FormatInt(limit, 10) + " bytes", closeConnection: true}
	}
	return nil
}
