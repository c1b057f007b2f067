package mcsoak

import (
	"io"
	"net"
	"sync"
	"time"

	"marigoldcroft/mcstandin"
)

// relayBuffer is the size in bytes of the copy buffer of each direction.
const relayBuffer = 16 << 10

// The states of a link. Bytes that a link holds back are forwarded when it works again, unless
// their connection has been closed.
const (
	linkUp linkState = iota
	// linkStalled holds back the bytes of both directions.
	linkStalled
	// linkOneWay holds back the bytes that come from the target.
	linkOneWay
	// linkRefusing resets new connections; open ones keep working.
	linkRefusing
)

type (
	linkState int

	// proxy is a TCP proxy on the loopback interface that can impair its connections.
	proxy struct {
		// address is where the proxy listens, target where it forwards connections to.
		address, target string

		listener net.Listener
		mu       sync.Mutex
		state    linkState
		delay    time.Duration
		// changed is closed and replaced at each change of state or delay.
		changed chan struct{}
		conns   map[net.Conn]bool
		closed  bool
		// held are the intervals in which the link held back or delayed bytes; the last one may last.
		held []interval
	}
)

func newProxy(target string) (*proxy, error) {
	address, err := mcstandin.FreeAddress()
	if err != nil {
		return nil, err
	}
	return listenProxy(address, target)
}

func listenProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{address: address, target: target, listener: listener, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.relay(conn)
	}
}

// relay forwards one connection until both directions have ended. The client sees a reset when
// the link refuses connections or the target cannot be reached.
func (p *proxy) relay(from net.Conn) {
	if state, _, _ := p.link(); state == linkRefusing {
		reset(from)
		return
	}
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(from)
		return
	}
	if !p.track(from, to) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.copyDirection(from, to, false) })
	both.Go(func() { p.copyDirection(to, from, true) })
	both.Wait()
	p.untrackAndClose(from, to)
}

// copyDirection copies bytes in one direction and propagates the end of the stream as a
// half-close and errors as a reset. fromTarget is true for the bytes that the target sends.
func (p *proxy) copyDirection(from, to net.Conn, fromTarget bool) {
	buffer := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buffer)
		p.waitUntilOpen(fromTarget)
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				reset(from)
				return
			}
		}
		if err == io.EOF {
			if half, ok := to.(*net.TCPConn); ok {
				_ = half.CloseWrite()
			}
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// waitUntilOpen blocks while the link holds back the bytes of a direction, then sleeps for its
// delay.
func (p *proxy) waitUntilOpen(fromTarget bool) {
	for {
		state, delay, changed := p.link()
		if state != linkStalled && (state != linkOneWay || !fromTarget) {
			time.Sleep(delay)
			return
		}
		<-changed
	}
}

func (p *proxy) link() (linkState, time.Duration, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state, p.delay, p.changed
}

// setLink sets the state and the delay of the link and wakes waiting copies.
func (p *proxy) setLink(state linkState, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if n := len(p.held); n > 0 && p.held[n-1].to.IsZero() {
		p.held[n-1].to = now
	}
	if state == linkStalled || state == linkOneWay || delay > 0 {
		p.held = append(p.held, interval{from: now})
	}
	p.state, p.delay = state, delay
	close(p.changed)
	p.changed = make(chan struct{})
}

// heldBetween reports whether the link held back or delayed bytes at any time from from to to.
func (p *proxy) heldBetween(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.held {
		if h.from.Before(to) && (h.to.IsZero() || h.to.After(from)) {
			return true
		}
	}
	return false
}

// resetAll resets all open connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		reset(conn)
	}
}

// track registers connections, so that resetAll reaches them. It resets them and returns false
// when the proxy is closed.
func (p *proxy) track(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		if p.closed {
			reset(conn)
			continue
		}
		p.conns[conn] = true
	}
	return !p.closed
}

func (p *proxy) untrackAndClose(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		delete(p.conns, conn)
		_ = conn.Close()
	}
}

// close stops listening, releases held-back bytes and resets all connections.
func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.setLink(linkUp, 0)
	p.resetAll()
}

// reset closes a connection with a TCP reset instead of a FIN.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
