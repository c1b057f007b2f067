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
	// unackedTimeout is how long sent bytes may stay unacknowledged before the connection
	// is closed. Callers leave a stream that is silent for two seconds, so another endpoint
	// must take it over before then.
	unackedTimeout = 700 * time.Millisecond
	// idleMargin is subtracted from the idle time that an endpoint states, to allow for the
	// time that a request is in transit.
	idleMargin = 700 * time.Millisecond
	// defaultIdleTime is how long an idle connection is kept when the endpoint states no
	// idle time.
	defaultIdleTime = 800 * time.Millisecond
	// maxIdleTime caps the idle time that an endpoint states.
	maxIdleTime = time.Minute
	// maxIdlePerEndpoint limits the idle connections to one endpoint. An endpoint accepts a
	// few hundred connections from all instances together.
	maxIdlePerEndpoint = 32
	bufferBytes        = 4 << 10
)

type (
	// connPool is a pool of connections to endpoints. A connection serves one request at a
	// time and only the endpoint that it was opened for.
	connPool struct {
		transport *http.Transport
		onOpen    func()

		mu   sync.Mutex
		idle map[string][]*pooledConn
	}

	// pooledConn is a connection to an endpoint, in use or idle in the pool.
	pooledConn struct {
		endpoint string
		address  string
		conn     *http.ClientConn
		socket   *countingConn
		// reused is true if the connection has carried an earlier request.
		reused bool
		// idleSince and idleTime determine until when an idle connection can be reused.
		idleSince time.Time
		idleTime  time.Duration
	}

	// countingConn counts the bytes written, which shows whether any part of a request can
	// have reached the endpoint, and the bytes read.
	countingConn struct {
		mcsocket.ResetConn
		written, read atomic.Int64
	}

	socketContextKey struct{}
)

// Write counts bytes that were, or are being, passed to the kernel.
func (c *countingConn) Write(p []byte) (int, error) {
	// The bytes are counted before the call, as a response may arrive before Write returns.
	c.written.Add(int64(len(p)))
	n, err := c.ResetConn.Write(p)
	c.written.Add(int64(n - len(p)))
	return n, err
}

// Read counts the bytes that were received.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.ResetConn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

func newConnPool(onOpen func()) *connPool {
	dialer := mcsocket.NewDialer(dialTimeout, unackedTimeout)
	return &connPool{
		onOpen: onOpen, idle: make(map[string][]*pooledConn),
		transport: &http.Transport{
			DisableCompression: true, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes,
			MaxResponseHeaderBytes: mcsocket.MaxResponseHeaderBytes,
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				counted := &countingConn{ResetConn: mcsocket.ResetConn{Conn: conn}}
				if slot, ok := ctx.Value(socketContextKey{}).(**countingConn); ok {
					*slot = counted
				}
				return counted, nil
			},
		},
	}
}

// get returns an idle connection to the endpoint or opens a new one.
func (c *connPool) get(ctx context.Context, endpoint marigoldcroft.Endpoint) (*pooledConn, error) {
	if idle := c.takeIdle(endpoint); idle != nil {
		return idle, nil
	}
	var socket *countingConn
	conn, err := c.transport.NewClientConn(context.WithValue(ctx, socketContextKey{}, &socket), "http", endpoint.Address())
	if err != nil {
		kind := KindUnreachable
		if errors.Is(err, syscall.ECONNREFUSED) {
			kind = KindConnectionRefused
		}
		return nil, failure("connect to "+endpoint.Name(), kind, err)
	}
	c.onOpen()
	return &pooledConn{endpoint: endpoint.Name(), address: endpoint.Address(), conn: conn, socket: socket}, nil
}

// takeIdle removes and returns the idle connection that was used last, as the others may
// have expired.
func (c *connPool) takeIdle(endpoint marigoldcroft.Endpoint) *pooledConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[endpoint.Name()]
	for len(idle) > 0 {
		pc := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		if pc.usable(time.Now()) && pc.address == endpoint.Address() {
			c.idle[endpoint.Name()] = idle
			return pc
		}
		pc.close()
	}
	delete(c.idle, endpoint.Name())
	return nil
}

func (pc *pooledConn) usable(now time.Time) bool {
	return pc.conn.Err() == nil && now.Sub(pc.idleSince) < pc.idleTime
}

// close closes the connection; closing it again is harmless.
func (pc *pooledConn) close() {
	// The error is ignored: the connection may already be gone.
	_ = pc.conn.Close()
}

// put returns a connection to the pool after its last response was read to the end.
// statedIdleTime is the idle time that the endpoint states, or 0.
func (c *connPool) put(pc *pooledConn, statedIdleTime time.Duration) {
	pc.reused, pc.idleSince, pc.idleTime = true, time.Now(), defaultIdleTime
	if statedIdleTime > 0 {
		pc.idleTime = min(max(statedIdleTime-idleMargin, statedIdleTime/4), maxIdleTime)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[pc.endpoint]
	if len(idle) >= maxIdlePerEndpoint || pc.conn.Err() != nil {
		pc.close()
		return
	}
	c.idle[pc.endpoint] = append(idle, pc)
}

// closeExpired closes idle connections that have expired or whose endpoint is no longer
// eligible for requests.
func (c *connPool) closeExpired(now time.Time, eligible func(endpoint string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, idle := range c.idle {
		remaining := idle[:0]
		for _, pc := range idle {
			if eligible(name) && pc.usable(now) {
				remaining = append(remaining, pc)
			} else {
				pc.close()
			}
		}
		clear(idle[len(remaining):])
		if len(remaining) == 0 {
			delete(c.idle, name)
		} else {
			c.idle[name] = remaining
		}
	}
}
