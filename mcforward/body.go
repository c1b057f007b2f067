package mcforward

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// smallBodyBytes is the size up to which a body may also use a reserve above
	// Forwarder.MaxBodyBytes, so that large bodies that arrive slowly do not keep small
	// ones out. The usual requests have 1 to 31 KB.
	smallBodyBytes = 64 << 10
	// smallBodyReserve is the size of that reserve as a fraction of Forwarder.MaxBodyBytes.
	smallBodyReserve = 0.25
)

var errBodyMemory = errors.New("request bodies use all of their memory")

// bodyReader counts body bytes against Forwarder.MaxBodyBytes as they arrive, so that
// incomplete bodies of slow senders count too.
type bodyReader struct {
	f *Forwarder
	c *call
}

func (b bodyReader) Read(p []byte) (int, error) {
	n, err := b.c.r.Body.Read(p)
	b.c.countedBytes += int64(n)
	limit := b.f.MaxBodyBytes
	if b.c.countedBytes <= smallBodyBytes {
		limit += int64(smallBodyReserve * float64(limit))
	}
	if used := b.f.bodyBytes.Add(int64(n)); limit > 0 && used > limit {
		return n, errBodyMemory
	}
	return n, err
}

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
	body, err := io.ReadAll(io.LimitReader(bodyReader{f: f, c: c}, limit+1))
	endLimit(err != nil)
	c.body = body
	switch {
	case errors.Is(err, errBodyMemory):
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

// releaseBody drops the body and subtracts its bytes from the total of this instance.
func (f *Forwarder) releaseBody(c *call) {
	f.bodyBytes.Add(-c.countedBytes)
	c.countedBytes, c.body = 0, nil
}
