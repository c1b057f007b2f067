package mcbudget_test

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcbudget"
)

const mb = 1 << 20

// client is a connection whose rejection is noted.
type client struct {
	*mcbudget.Account
	woken int
}

func open(s *mcbudget.Share) *client {
	c := &client{}
	c.Account = s.Open(func(bool) { c.woken++ }, func() {})
	return c
}

// Guards against a bound on memory that rejects whoever comes last: the connection that holds most for the
// longest time must go first, and small requests must be served beside large ones.
func TestMostExpensiveConnectionIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rejected := 0
		b := &mcbudget.Budget{Memory: 10 * mb, Rejected: func(listener, bound string) {
			require.Equal(t, []string{"callers", mcbudget.BoundMemory}, []string{listener, bound})
			rejected++
		}}
		share := b.Share("callers", 100)
		slow, complete := open(share), open(share)
		slow.BeginBody(false)
		slow.ReadBody(make([]byte, 3*mb))
		complete.ReadBody(make([]byte, 3*mb))
		complete.Complete()
		time.Sleep(time.Second)
		small, large := open(share), open(share)
		small.ReadHead([]byte("GET / HTTP/1.1\r\n"))
		require.Zero(t, rejected)
		large.BeginBody(false)
		go slow.waitForEnd()
		large.ReadBody(make([]byte, mb))
		require.Equal(t, []int{1, 0, 0, 0}, []int{slow.woken, complete.woken, small.woken, large.woken})
		require.Equal(t, 1, rejected)
	})
}

// waitForEnd ends a rejected connection, as its server does.
func (c *client) waitForEnd() {
	for !c.IsRejected() {
		time.Sleep(time.Millisecond)
	}
	c.Close()
}

// Guards against heads of many short fields, which take far more memory than they have bytes.
func TestLinesOfAHeadAreCharged(t *testing.T) {
	b := &mcbudget.Budget{Memory: mb}
	c := open(b.Share("callers", 100))
	c.ReadHead(bytes.Repeat([]byte("a:\n"), 10_000))
	require.True(t, c.IsRejected())
	require.Equal(t, 1, c.woken)
}

// Guards against a listener whose share is used up by connections that send nothing, and against rejecting
// one that was just opened, or that has a complete request, before them.
func TestFullShareRejectsTheLongestStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &mcbudget.Budget{Memory: 100 * mb}
		share, other := b.Share("callers", 3), b.Share("operators", 1)
		elsewhere, complete, silent := open(other), open(share), open(share)
		complete.Complete()
		time.Sleep(time.Minute)
		recent := open(share)
		go silent.waitForEnd()
		share.WaitForRoom(nil)
		require.Equal(t, []int{0, 0, 1, 0}, []int{elsewhere.woken, complete.woken, silent.woken, recent.woken})
	})
}

// Guards against a request that was received completely, and is lost as its connection was to be rejected.
func TestCompleteRequestIsKept(t *testing.T) {
	b := &mcbudget.Budget{Memory: mb}
	c := open(b.Share("callers", 100))
	c.BeginBody(false)
	c.ReadBody(make([]byte, 2*mb))
	require.True(t, c.IsRejected())
	require.True(t, c.Complete())
	require.False(t, c.IsRejected())
	c.EndHandler()
	c.EndRequest()
	require.Less(t, b.Held(), int64(mb/10), "the body is still charged")
	c.Close()
	require.Zero(t, b.Held())
}

// Guards against charges that remain after their connections, or are taken back twice, so that the budget
// shrinks or grows with time.
func TestChargesEndWithTheirConnections(t *testing.T) {
	const seed = 7
	random := rand.New(rand.NewPCG(seed, seed))
	synctest.Test(t, func(t *testing.T) {
		b := &mcbudget.Budget{Memory: 4 * mb}
		share := b.Share("callers", 50)
		var clients []*client
		for range 50 {
			clients = append(clients, open(share))
		}
		for range 20_000 {
			c := clients[random.IntN(len(clients))]
			switch random.IntN(8) {
			case 0:
				c.ReadHead(bytes.Repeat([]byte("a:\n"), random.IntN(500)))
			case 1:
				c.ReadBody(make([]byte, random.IntN(50_000)))
			case 2:
				c.BeginRequest()
			case 3:
				c.BeginBody(random.IntN(2) == 0)
			case 4:
				c.Complete()
			case 5:
				c.EndHandler()
			case 6:
				c.EndRequest()
			case 7:
				if random.IntN(10) == 0 {
					c.Close()
				}
			}
		}
		for _, c := range clients {
			c.Close()
		}
		require.Zero(t, b.Held(), "seed %d", seed)
		share.WaitForRoom(nil)
	})
}

// Guards against shares that together exceed the descriptors, or leave none for the process's own calls.
func TestDescriptorsAreDivided(t *testing.T) {
	for _, n := range []int{64, 256, 400, 1024, 4100, 8192, 20_000, 1 << 20} {
		c := mcbudget.ConnectionsOf(n)
		used := c.Callers + 2*c.Checks + c.Peers
		require.Positive(t, min(c.Callers, c.Checks, c.Peers))
		require.LessOrEqual(t, used+c.Callers, n-min(n/4, 256), "%d descriptors: %+v", n, c)
	}
}
