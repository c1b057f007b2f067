package mcroute_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcmessage"
	"marigoldcroft/mcroute"
)

func table(version int64) *marigoldcroft.RoutingTable {
	return marigoldcroft.NewRoutingTable(marigoldcroft.RoutingTableSpec{Version: version, Source: []byte{byte(version)}})
}

func newRouter() *mcroute.Router {
	return &mcroute.Router{Lease: 100 * time.Millisecond, Logger: zerolog.Nop()}
}

// A table must never be replaced by an older one, in whatever order and from whatever
// source the tables arrive.
func TestTableNeverGoesBack(t *testing.T) {
	r := newRouter()
	require.Nil(t, r.Table())
	var wait sync.WaitGroup
	for version := int64(1); version <= 50; version++ {
		wait.Go(func() { r.Update(table(version), "store") })
	}
	wait.Wait()
	require.Equal(t, int64(50), r.Table().Version())
	require.False(t, r.Update(table(49), "peer"))
	require.False(t, r.Update(table(50), "peer"))
	require.Equal(t, int64(50), r.Table().Version())
}

// Guards against requests on a new table that are scheduled without the figures of its services:
// Changed, which sets them, must have returned before the table is in force.
func TestTableIsInForceAfterChanged(t *testing.T) {
	r := newRouter()
	var before []int64
	r.Changed = func(*marigoldcroft.RoutingTable) {
		version := int64(0)
		if held := r.Table(); held != nil {
			version = held.Version()
		}
		before = append(before, version)
	}
	r.Update(table(3), "store")
	r.Update(table(2), "peer")
	r.Update(table(5), "store")
	require.Equal(t, []int64{0, 3}, before)
	require.Equal(t, int64(5), r.Table().Version())
}

// A revoked key must stop working everywhere within the lease, so no key may be accepted
// after it. Confirming a version newer than the one in force must not extend the lease.
func TestKeysAreTrustedForTheLease(t *testing.T) {
	r := newRouter()
	require.False(t, r.KeysTrusted(), "no version was confirmed")
	r.Update(table(2), "store")
	r.Confirm(3, mcclock.Now())
	require.False(t, r.KeysTrusted(), "the confirmed version is newer than the one in force")
	r.Confirm(2, mcclock.Now()-150*time.Millisecond)
	require.False(t, r.KeysTrusted(), "the confirmation is too old")
	r.Confirm(2, mcclock.Now())
	require.True(t, r.KeysTrusted())
	r.Confirm(2, mcclock.Now()-150*time.Millisecond)
	require.True(t, r.KeysTrusted(), "an older confirmation does not shorten the lease")
	require.Eventually(t, func() bool { return !r.KeysTrusted() }, 5*time.Second, 5*time.Millisecond)
}

// peer is a client that calls the server of another instance directly.
type peer struct {
	server *mcroute.Server
	calls  int
}

func (p *peer) FetchHead(ctx context.Context, r *mcmessage.FetchHeadRequest, _ ...grpc.CallOption) (*mcmessage.FetchHeadResponse, error) {
	p.calls++
	return p.server.FetchHead(ctx, r)
}

func (p *peer) FetchPage(context.Context, *mcmessage.FetchPageRequest, ...grpc.CallOption) (*mcmessage.FetchPageResponse, error) {
	return nil, context.Canceled
}

// An instance that cannot use the store must take a newer table, and the confirmation of
// its keys, from a peer that has them.
func TestTableIsFetchedFromPeers(t *testing.T) {
	informed := newRouter()
	informed.Update(table(7), "store")
	informed.Confirm(7, mcclock.Now())
	other := &peer{server: &mcroute.Server{Router: informed, Deployment: "d"}}
	isolated := newRouter()
	isolated.Lease = time.Minute
	isolated.Update(table(5), "store")
	fetcher := &mcroute.PeerFetcher{
		Router: isolated, Deployment: "d", Peers: func() []mcmessage.ConfigServiceClient { return []mcmessage.ConfigServiceClient{other} },
		Decode: func(source []byte) *marigoldcroft.RoutingTable { return table(int64(source[0])) },
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go fetcher.Run(ctx)
	require.Eventually(t, func() bool { return isolated.Table().Version() == 7 && isolated.KeysTrusted() }, 5*time.Second, 10*time.Millisecond)
	age, _ := isolated.Age()
	own, _ := informed.Age()
	require.GreaterOrEqual(t, age+time.Second, own, "the age must not be less than that of the peer's confirmation")
}

// TestFetchHead checks that no table is served to another deployment, and that a table that
// was never confirmed has no confirmation age.
func TestFetchHead(t *testing.T) {
	server := &mcroute.Server{Router: newRouter(), Deployment: "d"}
	_, err := server.FetchHead(t.Context(), &mcmessage.FetchHeadRequest{Deployment: "d"})
	require.Error(t, err, "the instance has no table yet")
	server.Router.Update(table(1), "store")
	_, err = server.FetchHead(t.Context(), &mcmessage.FetchHeadRequest{Deployment: "x"})
	require.Error(t, err)
	response, err := server.FetchHead(t.Context(), &mcmessage.FetchHeadRequest{Deployment: "d", KnownRevision: 1})
	require.NoError(t, err)
	require.True(t, response.GetUnchanged())
	require.Equal(t, int64(-1), response.GetConfirmedAgeMs(), "a table that was never confirmed has no age")
}
