package mcforward

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
	"marigoldcroft/mcsocket"
)

const (
	// dialTimeout limits the time to connect to an endpoint. Connecting within a region
	// takes a few milliseconds, and a request that was not sent can go to another endpoint
	// at no cost.
	dialTimeout = 250 * time.Millisecond
	// silenceLimit closes a connection whose sent bytes stay unacknowledged. Callers leave
	// a stream that is silent for two seconds, so another endpoint must take it over before
	// then.
	silenceLimit = 700 * time.Millisecond
	// idleMargin is subtracted from the idle time that an endpoint states, to allow for the
	// time that a request is in transit.
	idleMargin = 700 * time.Millisecond
	// defaultIdle is how long an idle connection is kept when the endpoint states no idle
	// time.
	defaultIdle = 800 * time.Millisecond
	// maxIdleTime caps the idle time that an endpoint states.
	maxIdleTime = time.Minute
	// maxIdlePerEndpoint limits the idle connections to one endpoint. An endpoint accepts a
	// few hundred connections from all instances together.
	maxIdlePerEndpoint = 32
	bufferBytes        = 4 << 10
)

type (
	// channels is a pool of connections to endpoints. A connection serves one request at a
	// time and only the endpoint that it was opened for.
	channels struct {
		transport *http.Transport
		opened    func()

		mu   sync.Mutex
		idle map[string][]*channel
	}

	// channel is a pooled connection.
	channel struct {
		endpoint string
		address  string
		conn     *http.ClientConn
		socket   *countedConn
		// idleSince and idleTime determine until when an idle connection can be reused.
		idleSince time.Time
		idleTime  time.Duration
	}

	// countedConn counts the bytes written, which shows whether any part of a request can
	// have reached the endpoint.
	countedConn struct {
		net.Conn
		written atomic.Int64
	}

	socketKey struct{}
)

// Write counts bytes that were, or are being, passed to the kernel.
func (c *countedConn) Write(p []byte) (int, error) {
	// The bytes are counted before the call, as a response may arrive before Write returns.
	c.written.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n - len(p)))
	return n, err
}

func newChannels(opened func()) *channels {
	dialer := mcsocket.Dialer(dialTimeout, silenceLimit)
	return &channels{
		opened: opened, idle: make(map[string][]*channel),
		transport: &http.Transport{
			DisableCompression: true, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes,
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				counted := &countedConn{Conn: conn}
				if slot, ok := ctx.Value(socketKey{}).(**countedConn); ok {
					*slot = counted
				}
				return counted, nil
			},
		},
	}
}

// get returns an idle connection to the endpoint or opens a new one.
func (c *channels) get(ctx context.Context, endpoint marigoldcroft.Endpoint) (*channel, error) {
	if kept := c.take(endpoint); kept != nil {
		return kept, nil
	}
	var socket *countedConn
	conn, err := c.transport.NewClientConn(context.WithValue(ctx, socketKey{}, &socket), "http", endpoint.Address())
	if err != nil {
		kind := KindUnreachable
		if errors.Is(err, syscall.ECONNREFUSED) {
			kind = KindDead
		}
		return nil, failure("connect to "+endpoint.Name(), kind, err)
	}
	c.opened()
	return &channel{endpoint: endpoint.Name(), address: endpoint.Address(), conn: conn, socket: socket}, nil
}

// take returns the idle connection that was used last, as the others may have expired.
func (c *channels) take(endpoint marigoldcroft.Endpoint) *channel {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[endpoint.Name()]
	for len(kept) > 0 {
		ch := kept[len(kept)-1]
		kept = kept[:len(kept)-1]
		if ch.usable(time.Now()) && ch.address == endpoint.Address() {
			c.idle[endpoint.Name()] = kept
			return ch
		}
		ch.close()
	}
	delete(c.idle, endpoint.Name())
	return nil
}

func (ch *channel) usable(now time.Time) bool {
	return ch.conn.Err() == nil && now.Sub(ch.idleSince) < ch.idleTime
}

// close closes the connection; closing it again is harmless.
func (ch *channel) close() {
	// The error is ignored: the connection may already be gone.
	_ = ch.conn.Close()
}

// keep returns a connection to the pool after its last response was read to the end. stated
// is the idle time that the endpoint states, or 0.
func (c *channels) keep(ch *channel, stated time.Duration) {
	ch.idleSince, ch.idleTime = time.Now(), defaultIdle
	if stated > 0 {
		ch.idleTime = min(max(stated-idleMargin, stated/4), maxIdleTime)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[ch.endpoint]
	if len(kept) >= maxIdlePerEndpoint || ch.conn.Err() != nil {
		ch.close()
		return
	}
	c.idle[ch.endpoint] = append(kept, ch)
}

// sweep closes idle connections that have expired or whose endpoint may get no more work.
func (c *channels) sweep(now time.Time, wanted func(endpoint string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, kept := range c.idle {
		left := kept[:0]
		for _, ch := range kept {
			if wanted(name) && ch.usable(now) {
				left = append(left, ch)
			} else {
				ch.close()
			}
		}
		clear(kept[len(left):])
		if len(left) == 0 {
			delete(c.idle, name)
		} else {
			c.idle[name] = left
		}
	}
}
