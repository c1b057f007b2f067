package mcsoak

import (
	"io"
	"net"
	"sync"
	"time"

	"marigoldcroft/mcstandin"
)

// relayBuffer is the size in bytes of what a proxy passes on at once.
const relayBuffer = 16 << 10

// The states of a link. Bytes that a link holds back are passed on when it is whole again,
// unless their connection has ended.
const (
	linkWhole linkState = iota
	// linkSilent passes nothing on in either direction.
	linkSilent
	// linkOneWay passes nothing on from the dialled side.
	linkOneWay
	// linkRefusing resets new connections.
	linkRefusing
)

type (
	linkState int

	// proxy is a loopback relay of TCP connections whose link can be harmed.
	proxy struct {
		// address is where connections arrive, target where they are passed on to.
		address, target string

		listener net.Listener
		mu       sync.Mutex
		state    linkState
		delay    time.Duration
		// changed is closed at each change of the link.
		changed chan struct{}
		conns   map[net.Conn]bool
		closed  bool
	}
)

func newProxy(target string) (*proxy, error) {
	address, err := mcstandin.FreeAddress()
	if err != nil {
		return nil, err
	}
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
	if !p.keep(from, to) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.pass(from, to, false) })
	both.Go(func() { p.pass(to, from, true) })
	both.Wait()
	p.drop(from, to)
}

// pass copies bytes in one direction; backwards means from the dialled side.
func (p *proxy) pass(from, to net.Conn, backwards bool) {
	buffer := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buffer)
		p.await(backwards)
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

// await returns when the link lets bytes of a direction through.
func (p *proxy) await(backwards bool) {
	for {
		state, delay, changed := p.link()
		if state != linkSilent && (state != linkOneWay || !backwards) {
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

// set changes the state of the link.
func (p *proxy) set(state linkState, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state, p.delay = state, delay
	close(p.changed)
	p.changed = make(chan struct{})
}

// resetAll resets the open connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		reset(conn)
	}
}

func (p *proxy) keep(conns ...net.Conn) bool {
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

func (p *proxy) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		delete(p.conns, conn)
		_ = conn.Close()
	}
}

// close ends the proxy and its connections.
func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.set(linkWhole, 0)
	p.resetAll()
}

// reset closes a connection so that its peer sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
