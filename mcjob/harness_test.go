package mcjob

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcstore"
)

const (
	// detection is the time after which the other instance learns of a death.
	detection  = 6 * time.Second
	jobTimeout = time.Minute
	// maxEndDelay is the documented bound on the time from a job's deadline to its end,
	// if a sweeper is alive and the store is up: HangGrace and one sweep, with room for
	// slow calls.
	maxEndDelay = HangGrace + SweepInterval + 5*time.Second
	callLatency = 2 * time.Millisecond
	// unreadableName is the end of the key of an object that the store lists but fails
	// to return.
	unreadableName = "unserved"
)

type (
	// cluster is two instances over one store. It records a violation if a final state
	// changes, an epoch decreases or a job ends too late.
	cluster struct {
		mcstore.Memory
		mu    sync.Mutex
		nodes [2]*node
		down  atomic.Bool
		// lastFaultNanos is the Unix time of the start or end of the last fault.
		lastFaultNanos atomic.Int64
		// sweeper is the index of the node that owns all shards, or -1 if both do.
		sweeper atomic.Int32
		// shards limits the sweeps to the given shards; nil means all.
		shards map[int]bool
		// final holds the final state of each ended job, by id.
		final      map[string]marigoldcroft.JobState
		violations []string
		// fault is injected at call number faultAt of node 0, not counting lists and
		// watches. Before and after refer to the effect of the call; late and soon lose
		// the response of a write that takes effect 3 s or 4 call latencies later.
		fault   string
		faultAt int
		calls   int
		running atomic.Int32
		// answerSuffix is appended to each answer.
		answerSuffix string
		run          func(ctx context.Context, n *node, body []byte) (string, error)
	}

	// node is one incarnation of an instance. It is also the store of its Jobs: it
	// forwards calls to the cluster's store and adds the faults of this node.
	node struct {
		c     *cluster
		index int
		jobs  *Jobs
		kill  context.CancelFunc
		dead  atomic.Bool
		// reportedEnded is true once the other node considers this one dead.
		reportedEnded atomic.Bool
		// disconnected is true while the node cannot reach the store.
		disconnected atomic.Bool
		// pausedUntilNanos is the Unix time until which the process is paused.
		pausedUntilNanos atomic.Int64
		// lostWrites is the number of next writes whose response is lost. Each is lost
		// after its effect while the count is even, and before it while it is odd.
		lostWrites atomic.Int32
		stopped    chan struct{}
	}
)

func newCluster(t *testing.T, change ...func(*cluster, *Jobs)) *cluster {
	c := &cluster{final: make(map[string]marigoldcroft.JobState)}
	c.sweeper.Store(1)
	c.run = func(ctx context.Context, n *node, body []byte) (string, error) {
		if !mcclock.Sleep(ctx, time.Second) {
			return "", context.Cause(ctx)
		}
		return fmt.Sprintf("%s by %d%s", body, n.index, c.answerSuffix), nil
	}
	for i := range c.nodes {
		c.nodes[i] = c.newNode(i)
	}
	for _, f := range change {
		f(c, c.nodes[0].jobs)
		f(c, c.nodes[1].jobs)
	}
	for _, n := range c.nodes {
		n.start(t)
	}
	t.Cleanup(func() {
		for _, n := range c.nodes {
			n.crash()
			<-n.stopped
		}
	})
	return c
}

func (c *cluster) newNode(index int) *node {
	n := &node{c: c, index: index, stopped: make(chan struct{})}
	n.jobs = &Jobs{
		Store: n, Runner: n, Peers: n,
		Identity: marigoldcroft.NewIdentity("d", "r", "dc", fmt.Sprint(index), time.Now(), 1),
	}
	return n
}

func (n *node) start(t *testing.T) {
	var ctx context.Context
	ctx, n.kill = context.WithCancel(context.WithoutCancel(t.Context()))
	go func() {
		defer close(n.stopped)
		n.jobs.Run(ctx)
	}()
}

// restart replaces a node by a new incarnation, and stops the old one first.
func (c *cluster) restart(t *testing.T, index int) {
	c.nodes[index].crash()
	<-c.nodes[index].stopped
	n := c.newNode(index)
	c.mu.Lock()
	c.nodes[index] = n
	c.mu.Unlock()
	n.start(t)
}

// crash ends the process. Its later calls have no effect.
func (n *node) crash() {
	if n.dead.CompareAndSwap(false, true) {
		n.kill()
		time.AfterFunc(detection, func() {
			n.c.noteFault()
			n.reportedEnded.Store(true)
			n.c.sweeper.CompareAndSwap(int32(n.index), int32(1-n.index))
		})
	}
}

// pause stops the process long enough for the other node to consider it dead.
func (n *node) pause() {
	const length = 25 * time.Second
	n.pausedUntilNanos.Store(time.Now().Add(length).UnixNano())
	n.reportedEnded.Store(true)
	time.AfterFunc(length, func() {
		n.c.noteFault()
		n.reportedEnded.Store(n.dead.Load())
	})
}

func (n *node) waitWhilePaused() { time.Sleep(time.Until(time.Unix(0, n.pausedUntilNanos.Load()))) }

func (n *node) unreachable() bool {
	n.waitWhilePaused()
	return n.dead.Load() || n.disconnected.Load() || n.c.down.Load()
}

func (n *node) Owns(shard int) bool {
	sweeper := n.c.sweeper.Load()
	return (sweeper < 0 || sweeper == int32(n.index)) && (n.c.shards == nil || n.c.shards[shard])
}

func (n *node) HasEnded(instance string, incarnation uint64) bool {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	other := n.c.nodes[instance[0]-'0']
	return other.jobs.Identity.Incarnation() != incarnation || other.reportedEnded.Load()
}

func (n *node) RunJob(ctx context.Context, _ marigoldcroft.JobStatus, body []byte) (string, error) {
	n.c.running.Add(1)
	defer n.c.running.Add(-1)
	return n.c.run(ctx, n, body)
}

var (
	errDisconnected = marigoldcroft.NewFailure("call", mcstore.KindUnavailable, nil)
	errLostResponse = marigoldcroft.NewFailure("write", mcstore.KindOutcomeUnknown, nil)
)

// callWithFaults makes a store call with the faults that are due. Only the response of
// a write can be lost after its effect.
func (n *node) callWithFaults(ctx context.Context, write bool, effect func(context.Context) error) error {
	time.Sleep(callLatency)
	fault := ""
	if n.index == 0 {
		n.c.mu.Lock()
		n.c.calls++
		if n.c.calls == n.c.faultAt {
			fault = n.c.fault
		}
		n.c.mu.Unlock()
	}
	if left := n.lostWrites.Load(); write && left > 0 && n.lostWrites.CompareAndSwap(left, left-1) {
		fault = []string{"lost after", "lost before"}[left%2]
		n.c.noteFault()
	}
	switch fault {
	case "dies before":
		n.crash()
	case "outage":
		n.c.outage(20 * time.Second)
	case "slow":
		time.Sleep(8 * time.Second)
	case "paused":
		n.pause()
	}
	if n.unreachable() || fault == "refused" {
		return errDisconnected
	}
	if write && fault == "lost before" {
		return errLostResponse
	}
	if delay := map[string]time.Duration{"late": 3 * time.Second, "soon": 4 * callLatency}[fault]; write && delay > 0 {
		time.AfterFunc(delay, func() { _ = effect(context.WithoutCancel(ctx)) })
		return errLostResponse
	}
	err := effect(ctx)
	if fault == "dies after" {
		n.crash()
		return errLostResponse
	}
	if write && fault == "lost after" {
		return errLostResponse
	}
	return err
}

func (n *node) Get(ctx context.Context, key string) (object marigoldcroft.Object, err error) {
	err = n.callWithFaults(ctx, false, func(ctx context.Context) error {
		if object, err = n.c.Memory.Get(ctx, key); strings.HasSuffix(key, unreadableName) {
			err = errDisconnected
		}
		return err
	})
	return object, err
}

func (n *node) List(ctx context.Context, prefix, after string, limit int) ([]marigoldcroft.ObjectEntry, error) {
	if n.unreachable() {
		return nil, errDisconnected
	}
	return n.c.Memory.List(ctx, prefix, after, limit)
}

func (n *node) Watch(ctx context.Context, key string, known marigoldcroft.Version, wait time.Duration) (marigoldcroft.Object, error) {
	if n.unreachable() {
		return marigoldcroft.Object{}, errDisconnected
	}
	defer n.waitWhilePaused()
	return n.c.Memory.Watch(ctx, key, known, wait)
}

func (n *node) Put(ctx context.Context, key string, value []byte, expected marigoldcroft.Version, writeID string) (version marigoldcroft.Version, err error) {
	err = n.callWithFaults(ctx, true, func(ctx context.Context) error {
		n.c.mu.Lock()
		defer n.c.mu.Unlock()
		old, _ := n.c.Memory.Get(ctx, key)
		if version, err = n.c.Memory.Put(ctx, key, value, expected, writeID); err == nil {
			n.c.checkJobWrite(key, old.Value(), value)
		}
		return err
	})
	return version, err
}

func (n *node) Delete(ctx context.Context, key string, expected marigoldcroft.Version, writeID string) error {
	return n.callWithFaults(ctx, true, func(ctx context.Context) error {
		return n.c.Memory.Delete(ctx, key, expected, writeID)
	})
}

// checkJobWrite records the violations of a write to a job object. The caller must hold
// mu.
func (c *cluster) checkJobWrite(key string, old, value []byte) {
	if !strings.HasPrefix(key, jobPrefix) {
		return
	}
	next, err := decodeDocument(value)
	if err != nil {
		c.violations = append(c.violations, err.Error())
		return
	}
	if state, ok := c.final[next.ID]; ok {
		c.violations = append(c.violations, fmt.Sprintf("%s was %s and became %s", key, state, next.State))
	}
	if old != nil {
		if before, _ := decodeDocument(old); next.Epoch < before.Epoch {
			c.violations = append(c.violations, "the epoch decreased")
		}
	}
	if next.State.Final() {
		c.final[next.ID] = next.State
		if now := time.Now(); now.After(next.Deadline.Add(maxEndDelay)) && now.After(time.Unix(0, c.lastFaultNanos.Load()).Add(maxEndDelay)) {
			c.violations = append(c.violations, fmt.Sprintf("%s ended %s after its deadline", key, now.Sub(next.Deadline)))
		}
	}
}

func (c *cluster) noteFault() { c.lastFaultNanos.Store(time.Now().UnixNano()) }

// outage makes the store unreachable for the given time.
func (c *cluster) outage(length time.Duration) {
	c.down.Store(true)
	time.AfterFunc(length, func() {
		c.noteFault()
		c.down.Store(false)
	})
}

func (c *cluster) finalState(id string) marigoldcroft.JobState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.final[id]
}

// stored returns up to 10 objects under the prefix.
func (c *cluster) stored(t *testing.T, prefix string) []marigoldcroft.ObjectEntry {
	entries, err := c.Memory.List(t.Context(), prefix, "", 10)
	require.NoError(t, err)
	return entries
}

func submission(key, body string) marigoldcroft.JobSubmission {
	return marigoldcroft.JobSubmission{
		Team: "team", Template: "t", Key: key, Body: []byte(body), Deadline: time.Now().Add(jobTimeout),
	}
}
