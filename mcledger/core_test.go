package mcledger

import (
	"context"
	"crypto/sha256"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcmessage"
)

// TestRules checks the decision on a Begin and a Finish in each state of the record. A
// wrong decision would grant a key twice, or change or lose an outcome.
func TestRules(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	const a, b = "attempt-a", "attempt-b"
	attempt := func(id string) *mcmessage.LedgerAttempt {
		return &mcmessage.LedgerAttempt{Key: testKey(now, 1), AttemptId: id, Executor: id}
	}
	begin := func(id string) *request {
		return &request{kind: requestBegin, attempt: attempt(id), bodyHash: []byte("h")}
	}
	otherExecutor := begin(a)
	otherExecutor.attempt.Executor = "other"
	finish := func(id string, state mcmessage.LedgerState) *request {
		return &request{kind: requestFinish, attempt: attempt(id), state: state}
	}
	for _, c := range []struct {
		name          string
		state         mcmessage.LedgerState // of attempt a; none for no record
		hash          string
		r             *request
		reply         replyKind
		after         mcmessage.LedgerState // none for no change
		executorEnded bool
	}{
		{"first begin", stateNone, "", begin(a), replyGranted, stateStarted, false},
		{"begin again", stateStarted, "h", begin(a), replyGranted, stateNone, false},
		{"attempt of another executor", stateStarted, "h", otherExecutor, replyExisting, stateNone, false},
		{"second caller", stateStarted, "h", begin(b), replyExisting, stateNone, false},
		{"second caller, executor ended", stateStarted, "h", begin(b), replyExisting, stateUnknown, true},
		{"other body", stateStarted, "x", begin(b), replyBodyMismatch, stateNone, true},
		{"after done", stateDone, "h", begin(b), replyExisting, stateNone, true},
		{"after unknown", stateUnknown, "h", begin(b), replyExisting, stateNone, true},
		{"after abandoned", stateAbandoned, "h", begin(b), replyGranted, stateStarted, false},
		{"abandoned attempt arrives late", stateAbandoned, "", begin(a), replyExisting, stateNone, false},
		{"done", stateStarted, "h", finish(a, stateDone), replyRecorded, stateDone, false},
		{"done again", stateDone, "h", finish(a, stateDone), replyRecorded, stateNone, false},
		{"unknown after done", stateDone, "h", finish(a, stateUnknown), replyNotRecorded, stateNone, false},
		{"resolved", stateUnknown, "h", finish(a, stateDone), replyRecorded, stateDone, false},
		{"abandoned after unknown", stateUnknown, "h", finish(a, stateAbandoned), replyNotRecorded, stateNone, false},
		{"abandoned before its begin", stateNone, "", finish(a, stateAbandoned), replyRecorded, stateAbandoned, false},
		{"outcome without a record", stateNone, "", finish(a, stateDone), replyRecorded, stateDone, false},
		{"outcome of another attempt", stateStarted, "h", finish(b, stateDone), replyNotRecorded, stateNone, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			env := environment{now: now, hasEnded: func(executor) bool { return c.executorEnded }}
			var r *record
			if c.state != stateNone {
				r = &record{Attempt: attempt(a), State: c.state, BodyHash: []byte(c.hash)}
			}
			decide := decideFinish
			if c.r.kind == requestBegin {
				decide = decideBegin
			}
			v := decide(env, r, c.r, 0)
			require.Equal(t, c.reply, v.reply)
			require.Equal(t, c.after, v.after.GetState())
		})
	}
}

// TestKeys checks that the ledger refuses malformed keys and keys outside the retention,
// whose records may have been removed, and that two spellings of one key do not run
// twice.
func TestKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startLedger(t, newCluster(t.Context()))
		start := time.Now()
		at := func(d time.Duration) string { return testKey(start.Add(d), 1) }
		for _, c := range []struct {
			key  string
			kind Kind
		}{
			{at(0), ""},
			{at(-Retention + time.Minute), ""},
			{at(-Retention - time.Second), KindKeyOutsideRetention},
			{at(maxKeyLead - time.Second), ""},
			{at(maxKeyLead + time.Minute), KindKeyOutsideRetention},
			{"", KindInvalidKey},
			{"order-1", KindInvalidKey},
			{uuid.NewString(), KindInvalidKey},
		} {
			_, err := l.Begin(t.Context(), marigoldcroft.NewActionKey("t", "s", c.key), [32]byte{1})
			require.Equal(t, c.kind, marigoldcroft.FailureKind[Kind](err), "key %q", c.key)
		}
		grant, err := l.Begin(t.Context(), marigoldcroft.NewActionKey("t", "s", strings.ToUpper(at(0))), [32]byte{1})
		require.NoError(t, err)
		require.False(t, grant.Granted)
	})
}

// startLedger returns a running ledger that uses the store of c but is not one of its
// nodes.
func startLedger(t *testing.T, c *cluster) *Ledger {
	l := &Ledger{Store: c, Identity: marigoldcroft.NewIdentity("d", "r", "dc", "C", time.Now(), 1)}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go l.Run(ctx)
	return l
}

// TestSegments checks that records are neither lost nor changed when they are sealed,
// merged or read by a new owner, that they are removed after the retention, and that no
// segment objects are left behind.
func TestSegments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := newCluster(ctx)
		const actions = 400
		begin := func(l *Ledger, key string) marigoldcroft.ActionGrant {
			grant, err := l.Begin(ctx, marigoldcroft.NewActionKey("t", "s", key), sha256.Sum256([]byte(key)))
			require.NoError(t, err)
			return grant
		}
		// All keys are in one shard, so that it seals and merges segments.
		var keys []string
		for n := 0; len(keys) < actions; n++ {
			if key := testKey(time.Now(), n); Shard(marigoldcroft.NewActionKey("t", "s", key)) == 0 {
				keys = append(keys, key)
			}
		}
		body := []byte(strings.Repeat("x", 8<<10))
		first := c.nodes[1].ledger
		for i, key := range keys {
			// Some writes that seal a segment lose their answer; their segment must stay.
			if i%10 == 0 {
				c.puts = []string{"lost after", "lost after"}
			}
			grant := begin(first, key)
			require.True(t, grant.Granted)
			err := first.Finish(ctx, marigoldcroft.NewActionKey("t", "s", key), grant.AttemptID, marigoldcroft.ActionDone,
				marigoldcroft.ActionOutcome{Status: 200 + i, Body: body})
			require.NoError(t, err)
		}
		require.Greater(t, first.Counts().Seals, uint64(10))
		check := func(l *Ledger) {
			for i, key := range keys {
				grant := begin(l, key)
				require.Equal(t, marigoldcroft.ActionDone, grant.State)
				require.Equal(t, 200+i, grant.Outcome.Status)
			}
		}
		check(first)
		second := startLedger(t, c)
		check(second)
		time.Sleep(time.Minute)
		entries, err := c.List(ctx, "ledger/0/", "", 1000)
		require.NoError(t, err)
		state, err := c.Get(ctx, headKey(0))
		require.NoError(t, err)
		h, err := decodeHead(state.Value())
		require.NoError(t, err)
		require.Len(t, entries, 1+len(h.segments), "the head and the segments that it names")
		require.LessOrEqual(t, len(h.segments), 2*actions*len(body)/maxSegmentBytes+1)

		time.Sleep(Retention + time.Hour)
		require.True(t, begin(second, keyInShard(0)).Granted)
		time.Sleep(time.Minute)
		entries, err = c.List(ctx, "ledger/0/", "", 1000)
		require.NoError(t, err)
		require.Len(t, entries, 1, "segments are removed after the retention")
	})
}

// TestConflictAfterLostAnswer checks that a segment is kept if the answer to the write of
// its head was lost, the write is sent again and that copy fails on the version: the
// first copy took effect, so that the stored head lists the segment.
func TestConflictAfterLostAnswer(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	env := environment{now: now, hasEnded: func(executor) bool { return false }}
	full := newHead()
	for n := range 20 {
		attempt := &mcmessage.LedgerAttempt{Key: testKey(now, n), AttemptId: "a"}
		full.set(attemptRecordID(attempt), &record{Attempt: attempt, State: stateDone, Outcome: &mcmessage.LedgerOutcome{Body: make([]byte, 8<<10)}})
	}
	c := newCore(executor{instance: "A", incarnation: 1})
	require.True(t, c.submit(env, &request{attempt: &mcmessage.LedgerAttempt{Key: testKey(now, 99), AttemptId: "b"}, bodyHash: []byte{1}}).read)
	w := c.onHeadRead(env, headReadResult{head: full, version: "1"}).write
	require.NotNil(t, w.sealed)
	require.True(t, c.onWriteUnknown(env).read)
	require.Equal(t, w, c.onHeadRead(env, headReadResult{head: full, version: "1"}).write, "the same write is sent again")
	out := c.onWriteConflict(env)
	require.Empty(t, out.removeSegments)
	out = c.onHeadRead(env, headReadResult{head: w.next, version: "2", writeID: w.id})
	require.Equal(t, replyGranted, out.replies[0].kind)
}

func keyInShard(shard int) string {
	for n := 1 << 20; ; n++ {
		if key := testKey(time.Now(), n); Shard(marigoldcroft.NewActionKey("t", "s", key)) == shard {
			return key
		}
	}
}

// TestRestoredStore checks that a key does not run again after the store was restored to
// a state from before its record was written.
func TestRestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t.Context())
		l := startLedger(t, c)
		begin := func(key string) (marigoldcroft.ActionGrant, error) {
			return l.Begin(t.Context(), marigoldcroft.NewActionKey("t", "s", key), [32]byte{1})
		}
		_, err := begin(keyInShard(0))
		require.NoError(t, err)
		old := c.Snapshot()
		time.Sleep(time.Second)
		lost := keyInShard(0)
		grant, err := begin(lost)
		require.True(t, err == nil && grant.Granted)
		c.Restore(old)
		time.Sleep(2 * time.Second)
		_, err = begin(lost)
		_, _ = begin(keyInShard(0))
		if err == nil {
			// The cached head still answered. The next write has made the shard read the old
			// state.
			_, err = begin(lost)
		}
		require.True(t, IsKind(err, KindKeyOutsideRetention), "got %v", err)
		time.Sleep(time.Second)
		grant, err = begin(keyInShard(0))
		require.True(t, err == nil && grant.Granted, "new keys are accepted: %v", err)
	})
}

// Guards against an action that runs twice: the store came back from a copy without its record, and an
// instance that never saw the record takes over the shard.
func TestRestoredStoreAtAnotherOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t.Context())
		begin := func(l *Ledger, key string) (marigoldcroft.ActionGrant, error) {
			return l.Begin(t.Context(), marigoldcroft.NewActionKey("t", "s", key), [32]byte{1})
		}
		first := startLedger(t, c)
		_, err := begin(first, keyInShard(0))
		require.NoError(t, err)
		older := c.Snapshot()
		time.Sleep(time.Second)
		lost := keyInShard(0)
		grant, err := begin(first, lost)
		require.True(t, err == nil && grant.Granted)

		c.Restore(older)
		time.Sleep(2 * time.Second)
		next := startLedger(t, c)
		_, err = begin(next, lost)
		require.True(t, IsKind(err, KindKeyOutsideRetention), "got %v", err)
		time.Sleep(time.Second)
		grant, err = begin(next, keyInShard(0))
		require.True(t, err == nil && grant.Granted, "new keys are accepted: %v", err)
		_, err = begin(startLedger(t, c), lost)
		require.True(t, IsKind(err, KindKeyOutsideRetention), "the floor is recorded, got %v", err)
	})
}

// TestRelease checks that a planned stop gives up the shards and still serves local
// calls.
func TestRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t.Context())
		l := c.nodes[1].ledger
		key := keyInShard(0)
		grant, err := l.Begin(t.Context(), marigoldcroft.NewActionKey("t", "s", key), [32]byte{1})
		require.NoError(t, err)
		require.NoError(t, l.Release(t.Context()))
		object, err := c.Get(t.Context(), headKey(0))
		require.NoError(t, err)
		h, err := decodeHead(object.Value())
		require.NoError(t, err)
		require.Empty(t, h.owner.instance)
		require.Equal(t, uint64(1), l.Counts().Reads, "shards that were not used are not read")
		require.NoError(t, l.Finish(t.Context(), marigoldcroft.NewActionKey("t", "s", key), grant.AttemptID, marigoldcroft.ActionUnknown, marigoldcroft.ActionOutcome{}))
		for _, n := range c.nodes {
			n.cancel()
		}
	})
}
