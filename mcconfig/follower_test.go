package mcconfig_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"marigoldcroft"
	"marigoldcroft/mcconfig"
	"marigoldcroft/mcmessage"
	"marigoldcroft/mcstore"
)

// faultyStore injects faults into the calls to a store.
type faultyStore struct {
	marigoldcroft.ObjectStore
	mu sync.Mutex
	// down makes all calls fail; delay is the latency of a call.
	down  bool
	delay time.Duration
	// loseResponses is the number of next writes that take effect but whose response is
	// lost; dropWrites is the number of next writes that are lost themselves.
	loseResponses, dropWrites int
	// watchMisses makes watches time out without reporting a change.
	watchMisses bool
	// afterResponseLoss is called after a write whose response is lost, before the caller
	// gets the error.
	afterResponseLoss func(key string)
	// beforePut is called before each write, without holding mu.
	beforePut func(key string)
	writes    int
	reads     int
}

func (s *faultyStore) beforeCall(ctx context.Context, write bool) (inner marigoldcroft.ObjectStore, drop bool, err error) {
	s.mu.Lock()
	delay, down := s.delay, s.down
	inner = s.ObjectStore
	if write {
		s.writes++
		drop = s.dropWrites > 0
		if drop {
			s.dropWrites--
		}
	} else {
		s.reads++
	}
	s.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return nil, false, marigoldcroft.NewFailure("call", mcstore.KindUnavailable, ctx.Err())
		}
	}
	if down {
		return nil, false, marigoldcroft.NewFailure("call", mcstore.KindUnavailable, errors.New("the store is down"))
	}
	return inner, drop, nil
}

func (s *faultyStore) configure(change func(*faultyStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// takeResponseLoss reports whether the response of the current write is to be lost, and
// decrements loseResponses.
func (s *faultyStore) takeResponseLoss() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loseResponses == 0 {
		return false
	}
	s.loseResponses--
	return true
}

func (s *faultyStore) Get(ctx context.Context, key string) (marigoldcroft.Object, error) {
	inner, _, err := s.beforeCall(ctx, false)
	if err != nil {
		return marigoldcroft.Object{}, err
	}
	return inner.Get(ctx, key)
}

func (s *faultyStore) Watch(ctx context.Context, key string, known marigoldcroft.Version, wait time.Duration) (marigoldcroft.Object, error) {
	inner, _, err := s.beforeCall(ctx, false)
	if err != nil {
		return marigoldcroft.Object{}, err
	}
	s.mu.Lock()
	misses := s.watchMisses
	s.mu.Unlock()
	if misses && known != "" {
		<-ctx.Done()
		return marigoldcroft.Object{}, marigoldcroft.NewFailure("watch", mcstore.KindUnavailable, ctx.Err())
	}
	return inner.Watch(ctx, key, known, wait)
}

func (s *faultyStore) Put(ctx context.Context, key string, value []byte, expected marigoldcroft.Version, writeID string) (marigoldcroft.Version, error) {
	if s.beforePut != nil {
		s.beforePut(key)
	}
	inner, drop, err := s.beforeCall(ctx, true)
	if err != nil {
		return "", err
	}
	unknown := marigoldcroft.NewFailure("put", mcstore.KindOutcomeUnknown, errors.New("the answer was lost"))
	if drop {
		return "", unknown
	}
	version, err := inner.Put(ctx, key, value, expected, writeID)
	if err == nil && s.takeResponseLoss() {
		if s.afterResponseLoss != nil {
			s.afterResponseLoss(key)
		}
		return "", unknown
	}
	return version, err
}

// directPeers is a PeerSource that calls the servers of other followers in-process.
type directPeers []*mcconfig.Server

func (p directPeers) ConfigPeers() []mcmessage.ConfigServiceClient {
	clients := make([]mcmessage.ConfigServiceClient, 0, len(p))
	for _, s := range p {
		clients = append(clients, directPeer{s})
	}
	return clients
}

type directPeer struct{ server *mcconfig.Server }

func (p directPeer) FetchHead(ctx context.Context, r *mcmessage.FetchHeadRequest, _ ...grpc.CallOption) (*mcmessage.FetchHeadResponse, error) {
	return p.server.FetchHead(ctx, r)
}

func (p directPeer) FetchPage(ctx context.Context, r *mcmessage.FetchPageRequest, _ ...grpc.CallOption) (*mcmessage.FetchPageResponse, error) {
	return p.server.FetchPage(ctx, r)
}

func template(name string, deadlineMs int64) mcconfig.Change {
	return mcconfig.Change{
		Name: mcconfig.ObjectName{Kind: mcconfig.ObjectTemplate, Name: name},
		Object: mcconfig.Object{Template: &marigoldcroft.TemplateSpec{
			Name: name, Model: "m", Urgency: "normal", Repeat: marigoldcroft.RepeatIdempotent, DeadlineMs: deadlineMs,
		}},
	}
}

func team(name string, key int, templates ...string) mcconfig.Change {
	return mcconfig.Change{
		Name: mcconfig.ObjectName{Kind: mcconfig.ObjectTeam, Name: name},
		Object: mcconfig.Object{Team: &marigoldcroft.TeamSpec{
			Name: name, KeyHashes: []string{keyHash(key)}, Templates: templates,
		}},
	}
}

func keyHash(key int) string { return fmt.Sprintf("%064x", key) }

// startFollower starts a follower and returns a function that stops it and waits for its
// end.
func startFollower(t *testing.T, f *mcconfig.Follower) func() {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// Guards against a change that a follower has not applied within the bound of 17 s, and
// against a team that is not found by its key hash.
func TestChangeReachesFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &faultyStore{ObjectStore: &mcstore.Memory{}, delay: 3 * time.Millisecond}
		a := &mcconfig.Follower{Store: store, Deployment: "d"}
		b := &mcconfig.Follower{Store: store, Deployment: "d", Peers: directPeers{{Follower: a}}}
		defer startFollower(t, a)()
		defer startFollower(t, b)()
		<-a.Ready()
		<-b.Ready()
		editor := &mcconfig.Editor{Store: store, Follower: a}
		result, err := editor.Apply(t.Context(), []mcconfig.Change{template("caption", 2000), team("copo", 7, "caption")}, false)
		require.NoError(t, err)
		time.Sleep(17 * time.Second)
		synctest.Wait()
		for _, f := range []*mcconfig.Follower{a, b} {
			require.Equal(t, result.Revision, f.Current().Revision())
			found, ok := f.Current().TeamByKeyHash(keyHash(7))
			require.True(t, ok)
			require.Equal(t, "copo", found.Name())
			require.False(t, f.Stale())
		}
	})
}
