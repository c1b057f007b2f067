package mcpeer

import (
	"context"
	"net"
	"sync"

	"google.golang.org/grpc/stats"

	"marigoldcroft/mcbudget"
)

type (
	// accountTable holds the account of each connection by its remote address. As the handler of the
	// server's statistics it adds the account to the contexts of the connection's calls.
	accountTable struct{ accounts sync.Map }

	// accountKey is the key of the account in the context of a call.
	accountKey struct{}

	// peerListener counts the bytes of its connections, and bounds what they make the process hold.
	peerListener struct {
		net.Listener
		server    *Server
		ended     chan struct{}
		endedOnce *sync.Once
	}

	// accountedConn charges what it reads until a valid request has been received.
	accountedConn struct {
		countingConn
		account *mcbudget.Account
		table   *accountTable
	}
)

// accountOf returns the account of the connection of a call, or nil.
func accountOf(ctx context.Context) *mcbudget.Account {
	account, _ := ctx.Value(accountKey{}).(*mcbudget.Account)
	return account
}

// TagConn adds the account to the context of the connection.
func (t *accountTable) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	account, known := t.accounts.Load(info.RemoteAddr.String())
	if !known {
		return ctx
	}
	return context.WithValue(ctx, accountKey{}, account)
}

// HandleConn has nothing to do.
func (t *accountTable) HandleConn(context.Context, stats.ConnStats) {}

// TagRPC returns the context unchanged.
func (t *accountTable) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC has nothing to do.
func (t *accountTable) HandleRPC(context.Context, stats.RPCStats) {}

func newPeerListener(l net.Listener, s *Server) peerListener {
	return peerListener{Listener: l, server: s, ended: make(chan struct{}), endedOnce: &sync.Once{}}
}

// Accept waits for the next connection.
func (l peerListener) Accept() (net.Conn, error) {
	l.server.Connections.WaitForRoom(l.ended)
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &accountedConn{countingConn: countingConn{conn, &l.server.bytes}, table: &l.server.accounts}
	// The error is ignored: the server closes the connection after its failed read.
	end := func() { _ = conn.Close() }
	c.account = l.server.Connections.Open(func(bool) { end() }, end)
	if c.account != nil {
		c.table.accounts.Store(conn.RemoteAddr().String(), c.account)
	}
	return c, nil
}

// Close closes the listener.
func (l peerListener) Close() error {
	l.endedOnce.Do(func() { close(l.ended) })
	return l.Listener.Close()
}

// Read reads from the connection.
func (c *accountedConn) Read(p []byte) (int, error) {
	n, err := c.countingConn.Read(p)
	c.account.ReadBody(p[:n])
	return n, err
}

// Close closes the connection.
func (c *accountedConn) Close() error {
	if c.account != nil {
		c.table.accounts.CompareAndDelete(c.RemoteAddr().String(), c.account)
		c.account.Close()
	}
	return c.countingConn.Close()
}
