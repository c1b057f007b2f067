package mcledger

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"marigoldcroft"
	"marigoldcroft/mcmessage"
	"marigoldcroft/mcstore"
)

type (
	// cluster is two instances, A and B, that share one store and a fake service. B owns
	// all shards unless bothOwn is set; then each takes itself for the owner.
	cluster struct {
		mcstore.Memory
		mu    sync.Mutex
		nodes [2]*node
		runs  int
		// statusKnown is true if the service's status query knows the calls that ran.
		statusKnown atomic.Bool
		// calls, messages and puts hold the faults to inject once each: into the next calls
		// of the service, into the next message named begin or finish, and into the next
		// store writes, in order.
		calls    []string
		messages map[string]string
		puts     []string
		// putsAfterSegment are the faults of the writes that follow a stored segment.
		putsAfterSegment []string
		down             atomic.Bool
		bothOwn          bool
	}

	node struct {
		c        *cluster
		name     string
		ledger   *Ledger
		executor *Executor
		cancel   context.CancelFunc
		dead     atomic.Bool
	}

	// link is a fake gRPC client that carries the messages of one node to another.
	link struct{ from, to *node }
)

var errLost = errors.New("connection lost")

func newCluster(ctx context.Context) *cluster {
	c := &cluster{messages: make(map[string]string)}
	for i := range c.nodes {
		n := &node{c: c, name: string(rune('A' + i))}
		n.ledger = &Ledger{
			Store: c, Peers: n, Identity: marigoldcroft.NewIdentity("d", "r", "dc", n.name, time.Now(), 1),
		}
		n.executor = &Executor{Ledger: n.ledger, Service: n}
		var life context.Context
		life, n.cancel = context.WithCancel(ctx)
		c.nodes[i] = n
		go n.ledger.Run(life)
	}
	return c
}

func (c *cluster) popFault(faults *[]string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(*faults) == 0 {
		return ""
	}
	fault := (*faults)[0]
	*faults = (*faults)[1:]
	return fault
}

func (c *cluster) takeMessageFault(name string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	fault := c.messages[name]
	delete(c.messages, name)
	return fault
}

func (c *cluster) Put(ctx context.Context, key string, value []byte, expected marigoldcroft.Version, writeID string) (marigoldcroft.Version, error) {
	time.Sleep(2 * time.Millisecond)
	refused := marigoldcroft.NewFailure("put", mcstore.KindUnavailable, nil)
	unknown := marigoldcroft.NewFailure("put", mcstore.KindOutcomeUnknown, nil)
	if c.down.Load() {
		return "", refused
	}
	if strings.Contains(key, "segment-") {
		version, err := c.Memory.Put(ctx, key, value, expected, writeID)
		if err == nil {
			c.mu.Lock()
			c.puts, c.putsAfterSegment = append(c.puts, c.putsAfterSegment...), nil
			c.mu.Unlock()
		}
		return version, err
	}
	switch c.popFault(&c.puts) {
	case "lost before":
		return "", unknown
	case "lost after":
		_, _ = c.Memory.Put(ctx, key, value, expected, writeID)
		return "", unknown
	case "late":
		go func() {
			time.Sleep(time.Second)
			_, _ = c.Memory.Put(context.WithoutCancel(ctx), key, value, expected, writeID)
		}()
		return "", unknown
	case "refused":
		return "", refused
	case "paused":
		time.Sleep(3 * time.Second)
	}
	return c.Memory.Put(ctx, key, value, expected, writeID)
}

func (c *cluster) Get(ctx context.Context, key string) (marigoldcroft.Object, error) {
	time.Sleep(2 * time.Millisecond)
	if c.down.Load() {
		return marigoldcroft.Object{}, marigoldcroft.NewFailure("get", mcstore.KindUnavailable, nil)
	}
	return c.Memory.Get(ctx, key)
}

func (n *node) kill() {
	n.cancel()
	n.dead.Store(true)
}

func (n *node) Owner(int) string {
	if n.c.bothOwn {
		return n.name
	}
	return "B"
}

func (n *node) Client(instance string) (mcmessage.LedgerServiceClient, error) {
	return link{n, n.c.nodes[instance[0]-'A']}, nil
}

func (n *node) HasEnded(instance string, _ uint64) bool {
	return n.c.nodes[instance[0]-'A'].dead.Load()
}

func (l link) broken() bool { return l.from.dead.Load() || l.to.dead.Load() }

func (l link) Begin(ctx context.Context, in *mcmessage.LedgerBeginRequest, _ ...grpc.CallOption) (*mcmessage.LedgerBeginResponse, error) {
	return exchange(ctx, l, "begin", in, (&Server{Ledger: l.to.ledger}).Begin)
}

func (l link) Finish(ctx context.Context, in *mcmessage.LedgerFinishRequest, _ ...grpc.CallOption) (*mcmessage.LedgerFinishResponse, error) {
	return exchange(ctx, l, "finish", in, (&Server{Ledger: l.to.ledger}).Finish)
}

func exchange[I, O any](ctx context.Context, l link, name string, in I, serve func(context.Context, I) (O, error)) (O, error) {
	var none O
	fault := l.from.c.takeMessageFault(name)
	if l.broken() || fault == "cut before" {
		return none, errLost
	}
	if fault == "owner dies before" {
		l.to.kill()
		return none, errLost
	}
	out, err := serve(ctx, in)
	if fault == "owner dies after" {
		l.to.kill()
	}
	if l.broken() || fault == "cut after" {
		return none, errLost
	}
	return out, err
}

type notSent struct{ error }

func (notSent) NotSent() bool { return true }

// Call fakes the plain service and runs the action.
func (n *node) Call(context.Context, marigoldcroft.Endpoint, marigoldcroft.ServiceCall) (marigoldcroft.ServiceAnswer, error) {
	fault := n.c.popFault(&n.c.calls)
	switch fault {
	case "not sent":
		return marigoldcroft.ServiceAnswer{}, notSent{errLost}
	case "lost before":
		return marigoldcroft.ServiceAnswer{}, errLost
	case "executor dies before":
		n.kill()
	case "slow":
		time.Sleep(5 * time.Second)
	}
	if n.dead.Load() {
		return marigoldcroft.ServiceAnswer{}, errLost
	}
	n.c.mu.Lock()
	n.c.runs++
	n.c.mu.Unlock()
	if fault == "executor dies after" {
		n.kill()
	}
	if n.dead.Load() || fault == "lost after" {
		return marigoldcroft.ServiceAnswer{}, errLost
	}
	return answer, nil
}

var answer = marigoldcroft.ServiceAnswer{
	Status: 201, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte("booked"),
}

func (n *node) Status(context.Context, marigoldcroft.Endpoint, string) (marigoldcroft.ServiceAnswer, bool, error) {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	if n.dead.Load() {
		return marigoldcroft.ServiceAnswer{}, false, errLost
	}
	return answer, n.c.statusKnown.Load() && n.c.runs > 0, nil
}

func (n *node) Load(context.Context, marigoldcroft.Endpoint) (marigoldcroft.LoadReport, error) {
	return marigoldcroft.LoadReport{}, nil
}

func (n *node) execute(ctx context.Context, body string) Result {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	return n.executor.Execute(ctx, Call{
		Key:       marigoldcroft.NewActionKey("team", "orders", testKey(time.Now().Truncate(time.Hour), 1)),
		Call:      marigoldcroft.ServiceCall{Method: "POST", Path: "/book", Body: []byte(body)},
		Endpoints: []marigoldcroft.Endpoint{{}},
	})
}

// TestFaults checks that an action does not run twice, that "not run" is never reported
// wrongly, and that no outcome is lost, when a process dies or pauses, a message or a
// write is lost before or after it takes effect, or the store is unavailable. The
// caller's instance is A, the owner of the shard is B.
func TestFaults(t *testing.T) {
	const (
		ran, recorded, unknown = ResultRan, ResultRecorded, ResultUnknown
		unavailable            = ResultStoreUnavailable
	)
	for _, f := range []struct {
		name  string
		set   func(c *cluster)
		first ResultKind
		// notRun is the expected NotRun of the first result.
		notRun bool
		// heal runs after the first call. The retries follow 20 s later, first at A and then
		// at B; an empty kind means no retry.
		heal   func(c *cluster)
		retryA ResultKind
		retryB ResultKind
		runs   int
	}{
		{"no fault", nil, ran, false, nil, recorded, recorded, 1},
		{"begin cut before", cut("begin", "cut before"), ran, false, nil, recorded, recorded, 1},
		{"begin cut after", cut("begin", "cut after"), ran, false, nil, recorded, recorded, 1},
		{"finish cut before", cut("finish", "cut before"), ran, false, nil, recorded, recorded, 1},
		{"finish cut after", cut("finish", "cut after"), ran, false, nil, recorded, recorded, 1},
		{"owner dies before begin", cut("begin", "owner dies before"), ran, false, nil, recorded, "", 1},
		{"owner dies after begin", cut("begin", "owner dies after"), ran, false, nil, recorded, "", 1},
		{"owner dies before finish", cut("finish", "owner dies before"), ran, false, nil, recorded, "", 1},
		{"owner dies after finish", cut("finish", "owner dies after"), ran, false, nil, recorded, "", 1},
		{"intent write lost before", puts("lost before"), ran, false, nil, recorded, recorded, 1},
		{"intent write lost after", puts("lost after"), ran, false, nil, recorded, recorded, 1},
		{"intent write late", puts("late"), ran, false, nil, recorded, recorded, 1},
		{"intent write refused", puts("refused"), unavailable, true, nil, ran, recorded, 1},
		{"outcome write lost before", puts("", "lost before"), ran, false, nil, recorded, recorded, 1},
		{"outcome write lost after", puts("", "lost after"), ran, false, nil, recorded, recorded, 1},
		{"outcome write refused", puts("", "refused"), ran, false, nil, recorded, recorded, 1},
		{"owner paused in the intent write", puts("paused"), ran, false, nil, recorded, recorded, 1},
		{"owner paused in the outcome write", puts("", "paused"), ran, false, nil, recorded, recorded, 1},
		{"store down", storeDown, unavailable, false, storeUp, ran, recorded, 1},
		{"both own the shard", func(c *cluster) { c.bothOwn = true }, ran, false, nil, recorded, recorded, 1},
		{"not sent", calls("not sent"), ResultNotSent, true, nil, ran, recorded, 1},
		{"call lost before", calls("lost before"), unknown, false, nil, unknown, unknown, 0},
		{"call lost after", calls("lost after"), unknown, false, nil, unknown, unknown, 1},
		{"call lost after, status known", withStatusKnown(calls("lost after")), ran, false, nil, recorded, recorded, 1},
		{"status known later", calls("lost after"), unknown, false, withStatusKnown(func(*cluster) {}), recorded, recorded, 1},
		{"slow call", calls("slow"), ResultDeadlineExceeded, false, nil, recorded, recorded, 1},
		{"executor dies before the call", calls("executor dies before"), unknown, false, nil, "", unknown, 0},
		{"executor dies after the call", calls("executor dies after"), unknown, false, nil, "", unknown, 1},
		{"executor dies, status known", calls("executor dies after"), unknown, false, withStatusKnown(func(*cluster) {}), "", recorded, 1},
		{"intent write late, then refused", func(c *cluster) {
			c.bothOwn, c.puts = true, []string{"late", "refused"}
		}, unavailable, false, nil, ran, recorded, 1},
		{"outcome goes to an owner with an old copy", calls("not sent"), ResultNotSent, true, cut("begin", "cut before"), ran, recorded, 1},
		{"executor dies, retry refused", calls("executor dies before"), unknown, false, puts("refused"), "", unavailable, 0},
		{"store down after the grant", func(c *cluster) {
			c.calls = []string{"slow"}
			time.AfterFunc(2*time.Second, func() { c.down.Store(true) })
			time.AfterFunc(15*time.Second, func() { c.down.Store(false) })
		}, ResultDeadlineExceeded, false, nil, recorded, recorded, 1},
	} {
		t.Run(f.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				c := newCluster(ctx)
				if f.set != nil {
					f.set(c)
				}
				first := c.nodes[0].execute(ctx, "one")
				require.Equal(t, f.first, first.Kind, "error: %v", first.Err)
				require.Equal(t, f.notRun, first.NotRun)
				if f.heal != nil {
					f.heal(c)
				}
				time.Sleep(20 * time.Second)
				for i, want := range []ResultKind{f.retryA, f.retryB} {
					if want == "" {
						continue
					}
					got := c.nodes[i].execute(ctx, "one")
					require.Equal(t, want, got.Kind, "retry at %d: %v", i, got.Err)
					if want == unavailable {
						require.False(t, got.NotRun, "the key may have run")
					}
					if want == recorded {
						require.Equal(t, answer, got.Answer)
						require.Equal(t, ResultKeyReused, c.nodes[i].execute(ctx, "two").Kind)
					}
					time.Sleep(time.Second)
				}
				cancel()
				for _, n := range c.nodes {
					n.executor.Wait()
				}
				require.Equal(t, f.runs, c.runs)
			})
		})
	}
}

func cut(name, fault string) func(*cluster) {
	return func(c *cluster) { c.messages[name] = fault }
}

func puts(faults ...string) func(*cluster) { return func(c *cluster) { c.puts = faults } }

func calls(faults ...string) func(*cluster) { return func(c *cluster) { c.calls = faults } }

func storeDown(c *cluster) { c.down.Store(true) }

func storeUp(c *cluster) { c.down.Store(false) }

func withStatusKnown(set func(*cluster)) func(*cluster) {
	return func(c *cluster) {
		c.statusKnown.Store(true)
		set(c)
	}
}

// A write that seals a segment stores the segment first. If the write of the head that follows
// is lost, the same write is sent again and finds its own segment. It must go on with the head:
// the shard would refuse all Begins until another instance replaced the head.
func TestLostHeadWriteAfterSealedSegment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := newCluster(ctx)
		c.bothOwn = true
		ledger := c.nodes[0].ledger
		body := make([]byte, 8<<10)
		runAction := func(key marigoldcroft.ActionKey) error {
			ctx, cancel := context.WithTimeout(ctx, time.Minute)
			defer cancel()
			grant, err := ledger.Begin(ctx, key, [32]byte{})
			if err != nil {
				return err
			}
			require.True(t, grant.Granted)
			return ledger.Finish(ctx, key, grant.AttemptID, marigoldcroft.ActionDone, marigoldcroft.ActionOutcome{Status: 201, Body: body})
		}
		for n, sealed := 0, 0; sealed == 0; n++ {
			require.Less(t, n, 100)
			key := keyOfShard(1, n)
			// The loss is only met by the write after the segment of this action, if any.
			c.putsAfterSegment = []string{"lost before"}
			require.NoError(t, runAction(key))
			sealed = int(ledger.Counts().Seals)
		}
		require.Empty(t, c.putsAfterSegment, "the head write was not lost")
		require.NoError(t, runAction(keyOfShard(1, 1000)))
	})
}

// keyOfShard returns the nth key of the shard.
func keyOfShard(shard, n int) marigoldcroft.ActionKey {
	for i := 0; ; i++ {
		key := marigoldcroft.NewActionKey("team", "orders", testKey(time.Now().Truncate(time.Hour), n<<16+i))
		if Shard(key) == shard {
			return key
		}
	}
}
