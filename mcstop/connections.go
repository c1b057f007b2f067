package mcstop

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"marigoldcroft/mcbudget"
)

const (
	// arrivedWait is the read time-out of a connection without a request that is about to be
	// closed. A read returns what has arrived before it waits.
	arrivedWait = 50 * time.Millisecond
	// rejectedWait is the read time-out of a connection without a request that is rejected.
	rejectedWait = time.Millisecond
	// closePollInterval is how often Drain checks whether connections are left.
	closePollInterval = 5 * time.Millisecond
	// answerTime limits the writes of an answer whose handler sets no limit of its own, and
	// lastWriteTime is the least time for what is left to write when the handler returns.
	answerTime    = 10 * time.Second
	lastWriteTime = time.Second
	// refusal answers a request whose header did not arrive in time.
	refusal = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
)

// The phases of a connection: no byte of a request was read, the header is incomplete, the request
// is being served, or the handler has returned and the server reads the rest of the body.
const (
	phaseUnused int32 = iota
	phaseArriving
	phaseServing
	phaseServed
)

// ErrRejected ends the body of a request whose connection is rejected because a bound on what clients may
// hold is reached. It counts as a time-out, so that net/http closes the connection without an answer of its
// own.
var ErrRejected error = rejection{}

// rejection is the type of ErrRejected.
type rejection struct{}

func (rejection) Error() string {
	return "callers hold all of the memory or the connections that they may use"
}
func (rejection) Timeout() bool   { return true }
func (rejection) Temporary() bool { return false }

// connKey is the key of the connection in the contexts of its requests.
type connKey struct{}

type (
	// Connections is the listener of callers' connections. At the end of a planned stop it
	// closes them such that each request of which a byte was read gets an answer. The Shutdown
	// method of http.Server does not suffice: it closes a connection while the header of a
	// request arrives, and waits for new connections on which no request arrives.
	Connections struct {
		net.Listener

		share *mcbudget.Share
		// ended is closed by Close.
		ended     chan struct{}
		endedOnce sync.Once
		// closing ends unused connections, refusing also those with an incomplete header.
		closing, refusing atomic.Bool
		mu                sync.Mutex
		open              map[*callerConn]struct{}
		// accepted is closed once no further connection will be added to open.
		accepted    chan struct{}
		acceptsOnce sync.Once
	}

	// callerConn is a connection of a caller. Errors of SetReadDeadline and SetWriteDeadline are
	// ignored: reads and writes of an invalid connection fail.
	callerConn struct {
		*net.TCPConn

		connections *Connections
		account     *mcbudget.Account
		// mu is held while phase or, for a phase, the read deadline changes.
		mu    sync.Mutex
		phase atomic.Int32
		// ahead is true if the server, while it served a request, has read the first byte of
		// the next one.
		ahead atomic.Bool
		// hasRead is true if a read has returned bytes since the last request was answered.
		hasRead atomic.Bool
		// writeBy is the write deadline in Unix nanoseconds, or 0 if there is none.
		writeBy atomic.Int64
	}

	// observedBody notices the end of a request's body.
	observedBody struct {
		io.ReadCloser
		conn  *callerConn
		ended bool
	}
)

// NewConnections returns the connections that the TCP listener accepts for the server, which
// must serve the returned listener until Drain. They use the share of the connections; nil means that they
// are not bounded.
func NewConnections(server *http.Server, listener net.Listener, share *mcbudget.Share) *Connections {
	c := &Connections{
		Listener: listener, share: share, ended: make(chan struct{}),
		open: make(map[*callerConn]struct{}), accepted: make(chan struct{}),
	}
	server.ConnState = observeState
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, callerConnOf(conn))
	}
	server.Handler = observeRequest(server.Handler)
	return c
}

// callerConnOf returns the connection below TLS, if it uses that.
func callerConnOf(conn net.Conn) *callerConn {
	if encrypted, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = encrypted.NetConn()
	}
	return conn.(*callerConn)
}

// Close closes the listener.
func (c *Connections) Close() error {
	c.endedOnce.Do(func() { close(c.ended) })
	return c.Listener.Close()
}

// Accept waits for the next connection.
func (c *Connections) Accept() (net.Conn, error) {
	c.share.WaitForRoom(c.ended)
	accepted, err := c.Listener.Accept()
	if err != nil {
		if errors.Is(err, net.ErrClosed) {
			c.acceptsOnce.Do(func() { close(c.accepted) })
		}
		return nil, err
	}
	conn := &callerConn{TCPConn: accepted.(*net.TCPConn), connections: c}
	conn.account = c.share.Open(conn.wake, func() { _ = conn.TCPConn.Close() })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[conn] = struct{}{}
	return conn, nil
}

// Drain closes the listener and the connections without a request, and waits until the others
// have ended or ctx has. Requests that still arrive must be refused.
func (c *Connections) Drain(ctx context.Context) error {
	// The error is ignored: the listener is not used any more.
	_ = c.Close()
	select {
	case <-c.accepted:
	case <-ctx.Done():
		// The server has stopped accepting connections because of another error.
		return ctx.Err()
	}
	c.endReads(&c.closing)
	wait := restTime
	if end, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(end)/2)
	}
	defer time.AfterFunc(wait, func() { c.endReads(&c.refusing) }).Stop()
	ticker := time.NewTicker(closePollInterval)
	defer ticker.Stop()
	for c.count() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// CloseAll closes the connections that remain.
func (c *Connections) CloseAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		// The error is ignored: the connection may already be closed.
		_ = conn.Close()
	}
}

func (c *Connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// endReads sets the flag and wakes the connections that wait for a request, so that they notice.
func (c *Connections) endReads(flag *atomic.Bool) {
	flag.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		conn.endRead()
	}
}

// observeState follows the state of a connection in the server.
func observeState(conn net.Conn, state http.ConnState) {
	c := callerConnOf(conn)
	switch state {
	case http.StateActive:
		c.ahead.Store(false)
		c.account.BeginBody(!c.hasRead.Load())
		c.setPhase(phaseServing)
	case http.StateIdle:
		if c.account.MustEnd() {
			// The caller has sent more requests than it has read answers. The error is ignored:
			// the next read fails if the connection is closed already.
			_ = c.TCPConn.Close()
		}
		c.account.EndRequest()
		c.hasRead.Store(false)
		if c.ahead.Load() {
			c.account.BeginRequest()
			c.setPhase(phaseArriving)
		} else {
			c.setPhase(phaseUnused)
		}
	case http.StateClosed, http.StateHijacked:
		c.account.Close()
		c.connections.mu.Lock()
		defer c.connections.mu.Unlock()
		delete(c.connections.open, c)
	}
}

// observeRequest follows the end of the handler, and limits what net/http reads and writes for the
// request without a limit of its own: the answer, and the rest of a body that the handler did not
// read, for which net/http waits before it sends a small answer.
func observeRequest(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := r.Context().Value(connKey{}).(*callerConn)
		body := &observedBody{ReadCloser: r.Body, conn: conn, ended: r.ContentLength == 0}
		if conn.account.MustEnd() {
			w.Header().Set("Connection", "close")
		}
		if body.ended {
			conn.complete()
		} else {
			r.Body = body
		}
		_ = conn.SetWriteDeadline(time.Now().Add(answerTime))
		defer func() {
			conn.setPhase(phaseServed)
			conn.limitRest(time.Now(), !body.ended)
			conn.account.EndHandler()
		}()
		handler.ServeHTTP(w, r)
	})
}

// Read reads from the body.
func (b *observedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.ended {
		b.conn.complete()
	}
	b.ended = b.ended || err != nil
	return n, err
}

// complete notes that the whole request has been read, which is therefore served.
func (c *callerConn) complete() {
	if c.account.Complete() {
		_ = c.SetReadDeadline(time.Time{})
	}
}

// wake makes the reads of a rejected connection fail, and its writes if the handler has returned.
func (c *callerConn) wake(answered bool) {
	past := time.Unix(1, 0)
	_ = c.TCPConn.SetReadDeadline(past)
	if answered {
		_ = c.TCPConn.SetWriteDeadline(past)
	}
}

// SetReadDeadline sets the read deadline, unless the connection must end.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	return c.account.UnlessRejected(func() error { return c.TCPConn.SetReadDeadline(t) })
}

// limitRest limits what follows the end of the handler. A read deadline is set only for a body that
// was not read to its end, as otherwise the server reads ahead, and a failure of that would cancel
// later requests of the connection.
func (c *callerConn) limitRest(now time.Time, bodyLeft bool) {
	if bodyLeft {
		_ = c.SetReadDeadline(now.Add(restTime))
	}
	if least := now.Add(lastWriteTime); c.writeBy.Load() < least.UnixNano() {
		_ = c.SetWriteDeadline(least)
	}
}

// SetWriteDeadline sets the write deadline.
func (c *callerConn) SetWriteDeadline(t time.Time) error {
	by := int64(0)
	if !t.IsZero() {
		by = t.UnixNano()
	}
	c.writeBy.Store(by)
	return c.TCPConn.SetWriteDeadline(t)
}

// setPhase changes the phase. The read deadline by which endRead woke the connection does not
// apply to a request that has arrived meanwhile.
func (c *callerConn) setPhase(phase int32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase.Store(phase)
	if phase != phaseUnused && c.connections.closing.Load() {
		_ = c.SetReadDeadline(time.Time{})
	}
}

// endRead wakes the connection if it is to be closed.
func (c *callerConn) endRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mustEnd() {
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

// mustEnd reports whether the connection is to be closed without waiting for more bytes.
func (c *callerConn) mustEnd() bool {
	switch c.phase.Load() {
	case phaseUnused:
		return c.connections.closing.Load()
	case phaseArriving, phaseServed:
		return c.connections.refusing.Load()
	}
	return false
}

// Read reads from the connection. At the end of a stop, a connection that waits for a request, for
// the rest of its header, or for the rest of a body that the handler did not read, gets what has
// arrived, or else an error that closes it.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.read(p)
	if n == 0 && err != nil && c.account.IsRejected() {
		return c.endRejected(p)
	}
	return n, err
}

// endRejected ends the reads of a rejected connection. One on which a request has arrived meanwhile is kept.
// A request whose head is incomplete is refused here; the handler answers a request whose body is.
func (c *callerConn) endRejected(p []byte) (int, error) {
	switch c.phase.Load() {
	case phaseUnused:
		_ = c.TCPConn.SetReadDeadline(time.Now().Add(rejectedWait))
		if n, _ := c.TCPConn.Read(p); n > 0 {
			c.account.Keep()
			_ = c.SetReadDeadline(time.Time{})
			c.readHead(p[:n])
			return n, nil
		}
	case phaseArriving:
		c.refuse()
	}
	return 0, ErrRejected
}

// refuse answers a request whose head is incomplete. Errors are ignored: a caller that has left cannot be
// told. The server must not add its own answer to a part of a header.
func (c *callerConn) refuse() {
	_ = c.SetWriteDeadline(time.Now().Add(lastWriteTime))
	_, _ = c.Write([]byte(refusal))
	_ = c.CloseWrite()
}

func (c *callerConn) read(p []byte) (int, error) {
	if phase := c.phase.Load(); phase == phaseServing || phase == phaseServed && !c.mustEnd() {
		n, err := c.TCPConn.Read(p)
		c.account.ReadBody(p[:n])
		c.hasRead.Store(true)
		if n == 1 && len(p) == 1 {
			// To notice that a caller leaves, the server reads one byte. Bodies are read
			// through a larger buffer.
			c.ahead.Store(true)
		}
		return n, err
	}
	if c.mustEnd() {
		return c.readArrived(p)
	}
	n, err := c.TCPConn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.mustEnd() {
		return c.readArrived(p)
	}
	if n > 0 {
		c.readHead(p[:n])
	}
	return n, err
}

// readHead notes bytes of a head.
func (c *callerConn) readHead(p []byte) {
	if c.phase.Load() == phaseUnused {
		c.account.BeginRequest()
	}
	c.account.ReadHead(p)
	c.hasRead.Store(true)
	c.setPhase(phaseArriving)
}

// readArrived reads what has arrived. If this is nothing, a request whose header is incomplete is
// refused.
func (c *callerConn) readArrived(p []byte) (int, error) {
	_ = c.SetReadDeadline(time.Now().Add(arrivedWait))
	n, err := c.TCPConn.Read(p)
	switch {
	case c.phase.Load() == phaseServed:
	case n > 0:
		c.readHead(p[:n])
	case errors.Is(err, os.ErrDeadlineExceeded) && c.phase.Load() == phaseArriving && !c.account.IsRejected():
		c.refuse()
	}
	return n, err
}
