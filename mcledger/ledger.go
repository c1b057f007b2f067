package mcledger

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"marigoldcroft"
	"marigoldcroft/mcmessage"
)

const (
	// ForwardTimeout bounds a call forwarded to the owner of a shard. After a timeout,
	// this instance claims the shard itself.
	ForwardTimeout = time.Second
	// abandonTimeout bounds the time spent on recording as abandoned an attempt that was
	// not granted in time. Its key stays in flight until this succeeds or the incarnation
	// of the executor ends.
	abandonTimeout = 5 * time.Minute
	// maxConcurrentAbandons bounds the attempts that are being recorded as abandoned at
	// the same time.
	maxConcurrentAbandons = 1024
	finishBackoffBase     = 100 * time.Millisecond
	finishBackoffMax      = 5 * time.Second
)

type (
	// Peers provides information about other instances, which may be outdated or wrong:
	// it affects which instance serves a request, but safety does not depend on it.
	Peers interface {
		// Owner returns the name of the instance that should own the shard.
		Owner(shard int) string
		// Client returns a client of the instance's LedgerService.
		Client(instance string) (mcmessage.LedgerServiceClient, error)
		// HasEnded reports whether the incarnation of the instance has ended.
		HasEnded(instance string, incarnation uint64) bool
	}

	// Ledger is the at-most-once ledger at one instance. Its fields must be set before
	// Run is called, and its methods answer only while Run is active.
	Ledger struct {
		Store    marigoldcroft.ObjectStore
		Identity marigoldcroft.Identity
		// Peers is nil if this instance is the only one.
		Peers Peers
		Log   zerolog.Logger

		counts   counters
		lastCall atomic.Uint64
		initOnce sync.Once
		shards   [ShardCount]*shard
		// runCtx ends when Run returns.
		runCtx    context.Context
		cancelRun context.CancelFunc
		// abandonSlots holds one element for each attempt that is being recorded as
		// abandoned.
		abandonSlots chan struct{}
		draining     atomic.Bool
	}

	counters struct {
		begins, granted, forwarded, fallbacks, abandoned, notAbandoned     atomic.Uint64
		reads, writes, writeBytes, recorded, conflicts, seals, unavailable atomic.Uint64
	}

	// Counts holds the ledger's counters since its start.
	Counts struct {
		// Begins counts the calls of Begin, and Granted those that were granted.
		Begins, Granted uint64
		// Forwarded counts calls forwarded to another owner, and Fallbacks those of them
		// that were then served by this instance.
		Forwarded, Fallbacks uint64
		// Abandoned counts attempts that were not granted in time, and NotAbandoned those of
		// them that could not be recorded as abandoned.
		Abandoned, NotAbandoned uint64
		// Reads counts reads of heads, Writes writes of heads and segments, WriteBytes the
		// bytes written, Conflicts head writes whose version condition failed, and Seals
		// writes of segments.
		Reads, Writes, WriteBytes, Conflicts, Seals uint64
		// RecordedRequests counts the requests in successful head writes.
		RecordedRequests uint64
		// Unavailable counts calls of Begin that failed because the intent could not be
		// recorded.
		Unavailable uint64
	}
)

// init creates the state that Run and the methods share.
func (l *Ledger) init() {
	l.initOnce.Do(func() {
		l.runCtx, l.cancelRun = context.WithCancel(context.Background())
		l.abandonSlots = make(chan struct{}, maxConcurrentAbandons)
		for i := range l.shards {
			l.shards[i] = newShard(i, l)
		}
	})
}

// Run serves the shards until ctx ends. It is called once.
func (l *Ledger) Run(ctx context.Context) {
	l.init()
	var wg sync.WaitGroup
	for _, s := range l.shards {
		wg.Go(func() { s.run(ctx) })
		wg.Go(func() { s.removeSegments(ctx) })
	}
	wg.Wait()
	l.cancelRun()
}

// Counts returns the ledger's counters since its start.
func (l *Ledger) Counts() Counts {
	c := &l.counts
	return Counts{
		Begins: c.begins.Load(), Granted: c.granted.Load(),
		Forwarded: c.forwarded.Load(), Fallbacks: c.fallbacks.Load(),
		Abandoned: c.abandoned.Load(), NotAbandoned: c.notAbandoned.Load(),
		Reads: c.reads.Load(), Writes: c.writes.Load(), WriteBytes: c.writeBytes.Load(),
		Conflicts: c.conflicts.Load(), Seals: c.seals.Load(), RecordedRequests: c.recorded.Load(),
		Unavailable: c.unavailable.Load(),
	}
}

// Begin records the intent to run the action. The caller may run the action only if the
// attempt is granted; otherwise the result describes the recorded attempt. Errors are of
// this package's kinds.
func (l *Ledger) Begin(ctx context.Context, key marigoldcroft.ActionKey, bodyHash [32]byte) (marigoldcroft.ActionGrant, error) {
	l.init()
	l.counts.begins.Add(1)
	key, err := normalizeKey(key)
	if err != nil {
		return marigoldcroft.ActionGrant{}, err
	}
	attempt := l.newAttempt(key, uuid.NewString())
	answer, mayBeRecorded := l.begin(ctx, key, attempt, bodyHash[:])
	granted := answer.kind == replyGranted && ctx.Err() == nil
	if !granted && (mayBeRecorded || answer.kind == replyGranted) {
		l.abandon(ctx, key, attempt.GetAttemptId())
	}
	if granted {
		l.counts.granted.Add(1)
		return marigoldcroft.ActionGrant{Granted: true, AttemptID: attempt.GetAttemptId(), State: marigoldcroft.ActionStarted}, nil
	}
	return l.notGranted(ctx, answer)
}

func (l *Ledger) notGranted(ctx context.Context, answer reply) (marigoldcroft.ActionGrant, error) {
	switch answer.kind {
	case replyExisting:
		return marigoldcroft.ActionGrant{
			AttemptID: answer.record.GetAttempt().GetAttemptId(),
			State:     actionStates[answer.record.GetState()],
			Outcome:   outcomeFromProto(answer.record.GetOutcome()),
		}, nil
	case replyBodyMismatch:
		return marigoldcroft.ActionGrant{}, marigoldcroft.NewFailure("begin", KindKeyReused, nil)
	case replyExpired:
		return marigoldcroft.ActionGrant{}, marigoldcroft.NewFailure("begin", KindKeyOutsideRetention,
			errors.Newf("keys are accepted from %s old to %s in the future", Retention, maxKeyLead))
	case replyNotRun:
		l.counts.unavailable.Add(1)
		return marigoldcroft.ActionGrant{}, marigoldcroft.NewFailure("begin", KindNotRun, nil)
	}
	l.counts.unavailable.Add(1)
	return marigoldcroft.ActionGrant{}, marigoldcroft.NewFailure("begin", KindUnavailable, ctx.Err())
}

func (l *Ledger) newAttempt(key marigoldcroft.ActionKey, id string) *mcmessage.LedgerAttempt {
	return &mcmessage.LedgerAttempt{
		Team: key.Team(), Service: key.Service(), Key: key.Key(), AttemptId: id,
		Executor: l.Identity.Instance(), ExecutorIncarnation: l.Identity.Incarnation(),
	}
}

// begin forwards the attempt to the shard's owner. If the owner does not answer or
// cannot record the attempt, this instance claims the shard with the same attempt id, so
// that a record that the owner made meanwhile counts as the grant. The second result is
// true if the attempt may have been recorded or may still be recorded.
func (l *Ledger) begin(ctx context.Context, key marigoldcroft.ActionKey, attempt *mcmessage.LedgerAttempt, bodyHash []byte) (reply, bool) {
	mayBeRecorded := false
	if client := l.ownerClient(Shard(key)); client != nil {
		answer, err := l.forwardBegin(ctx, client, attempt, bodyHash)
		if err == nil && answer.kind != replyUnavailable && answer.kind != replyUncertain {
			return answer, false
		}
		mayBeRecorded = err != nil || answer.kind == replyUncertain
		l.counts.fallbacks.Add(1)
	}
	answer, mayBeRecordedHere := l.submitLocal(ctx, Shard(key), &request{kind: requestBegin, attempt: attempt, bodyHash: bodyHash})
	return answer, mayBeRecorded || mayBeRecordedHere
}

// ownerClient returns a client of the shard's owner, or nil if the owner is this
// instance, is not known or cannot be dialled.
func (l *Ledger) ownerClient(shard int) mcmessage.LedgerServiceClient {
	if l.Peers == nil {
		return nil
	}
	name := l.Peers.Owner(shard)
	if name == "" || name == l.Identity.Instance() {
		return nil
	}
	client, err := l.Peers.Client(name)
	if err != nil {
		l.Log.Warn().Int("shard", shard).Str("owner", name).Err(err).Msg("ledgerOwnerUnreachable")
		return nil
	}
	l.counts.forwarded.Add(1)
	return client
}

func (l *Ledger) forwardBegin(ctx context.Context, client mcmessage.LedgerServiceClient, attempt *mcmessage.LedgerAttempt, bodyHash []byte) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, ForwardTimeout)
	defer cancel()
	answer, err := client.Begin(ctx, &mcmessage.LedgerBeginRequest{
		Deployment: l.Identity.Deployment(), Attempt: attempt, BodyHash: bodyHash,
	})
	if err != nil {
		return reply{}, err
	}
	return replyFromProto(answer), nil
}

// submitLocal submits a request to this instance's core of the shard. The second result
// is true if the request may have been recorded, or may still be, although the reply
// does not say so.
func (l *Ledger) submitLocal(ctx context.Context, number int, r *request) (reply, bool) {
	s := l.shards[number]
	r.call = l.lastCall.Add(1)
	answer := make(chan reply, 1)
	if !s.inbox.TryPut(command{request: r, answer: answer}) {
		return reply{kind: replyUnavailable}, false
	}
	select {
	case got := <-answer:
		return got, got.kind == replyUncertain
	case <-ctx.Done():
		return reply{kind: replyUnavailable}, !l.cancel(s, r.call)
	case <-l.runCtx.Done():
		return reply{kind: replyUncertain}, true
	}
}

// cancel drops a call and reports whether it certainly left no record.
func (l *Ledger) cancel(s *shard, call uint64) bool {
	noRecord := make(chan bool, 1)
	if !s.inbox.TryPut(command{cancel: call, noRecord: noRecord}) {
		return false
	}
	select {
	case ok := <-noRecord:
		return ok
	case <-l.runCtx.Done():
		return false
	}
}

// abandon records in the background that the attempt will never run.
func (l *Ledger) abandon(ctx context.Context, key marigoldcroft.ActionKey, attemptID string) {
	l.counts.abandoned.Add(1)
	select {
	case l.abandonSlots <- struct{}{}:
	default:
		l.abandonFailed(key, errors.Newf("%d attempts are already being recorded as abandoned", maxConcurrentAbandons))
		return
	}
	go func() {
		defer func() { <-l.abandonSlots }()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), abandonTimeout)
		defer cancel()
		stop := context.AfterFunc(l.runCtx, cancel)
		defer stop()
		err := l.finishWithRetry(ctx, key, attemptID, marigoldcroft.ActionAbandoned, marigoldcroft.ActionOutcome{})
		if err != nil {
			l.abandonFailed(key, err)
		}
	}()
}

func (l *Ledger) abandonFailed(key marigoldcroft.ActionKey, err error) {
	l.counts.notAbandoned.Add(1)
	l.Log.Error().Str("team", key.Team()).Str("service", key.Service()).Str("key", key.Key()).Err(err).Msg("ledgerNotAbandoned")
}

// finishWithRetry calls Finish again while the ledger is unavailable and ctx has not
// ended.
func (l *Ledger) finishWithRetry(ctx context.Context, key marigoldcroft.ActionKey, attemptID string, state marigoldcroft.ActionState, outcome marigoldcroft.ActionOutcome) error {
	for attempt := 0; ; attempt++ {
		err := l.Finish(ctx, key, attemptID, state, outcome)
		if err == nil || !IsKind(err, KindUnavailable) {
			return err
		}
		if !waitBackoff(ctx, attempt) {
			return err
		}
	}
}

// Finish records the final state of an attempt and its outcome. It may be repeated
// after an error of KindUnavailable.
func (l *Ledger) Finish(ctx context.Context, key marigoldcroft.ActionKey, attemptID string, state marigoldcroft.ActionState, outcome marigoldcroft.ActionOutcome) error {
	l.init()
	key, err := normalizeKey(key)
	if err != nil {
		return err
	}
	stored, ok := finishStates[state]
	if !ok {
		return marigoldcroft.NewFailure("finish", KindStateMismatch, errors.Newf("state %q does not end an attempt", state))
	}
	attempt := l.newAttempt(key, attemptID)
	var message *mcmessage.LedgerOutcome
	if state == marigoldcroft.ActionDone {
		message = outcomeToProto(outcome)
	}
	answer := l.finish(ctx, Shard(key), attempt, stored, message)
	switch answer.kind {
	case replyRecorded:
		return nil
	case replyNotRecorded:
		return marigoldcroft.NewFailure("finish", KindStateMismatch,
			errors.Newf("state %s is recorded for the key", strconv.Quote(string(actionStates[answer.record.GetState()]))))
	}
	return marigoldcroft.NewFailure("finish", KindUnavailable, ctx.Err())
}

func (l *Ledger) finish(ctx context.Context, shard int, attempt *mcmessage.LedgerAttempt, state mcmessage.LedgerState, outcome *mcmessage.LedgerOutcome) reply {
	if client := l.ownerClient(shard); client != nil {
		forwardCtx, cancel := context.WithTimeout(ctx, ForwardTimeout)
		answer, err := client.Finish(forwardCtx, &mcmessage.LedgerFinishRequest{
			Deployment: l.Identity.Deployment(), Attempt: attempt, State: state, Outcome: outcome,
		})
		cancel()
		if err == nil && answer.GetRecorded() {
			return reply{kind: replyRecorded}
		}
		if err == nil {
			return reply{kind: replyNotRecorded, record: &record{State: answer.GetState()}}
		}
		l.counts.fallbacks.Add(1)
	}
	answer, _ := l.submitLocal(ctx, shard, &request{kind: requestFinish, attempt: attempt, state: state, outcome: outcome})
	return answer
}

// Release prepares a planned stop: it waits for the attempts that are being recorded as
// abandoned and then gives up all shards that this instance owns. Once it is called,
// calls forwarded by peers are refused. Local calls are still served and claim their
// shard again.
func (l *Ledger) Release(ctx context.Context) error {
	l.init()
	l.draining.Store(true)
	if err := l.waitForAbandons(ctx); err != nil {
		return err
	}
	failed := make([]bool, ShardCount)
	var wg sync.WaitGroup
	for i := range l.shards {
		wg.Go(func() {
			answer, _ := l.submitLocal(ctx, i, &request{kind: requestRelease})
			failed[i] = answer.kind != replyRecorded
		})
	}
	wg.Wait()
	count := 0
	for _, f := range failed {
		if f {
			count++
		}
	}
	if count > 0 {
		return marigoldcroft.NewFailure("release", KindUnavailable, errors.Newf("%d shards were not released", count))
	}
	return nil
}

// waitForAbandons waits until no attempt is being recorded as abandoned, by acquiring
// all abandonSlots.
func (l *Ledger) waitForAbandons(ctx context.Context) error {
	for taken := range maxConcurrentAbandons {
		select {
		case l.abandonSlots <- struct{}{}:
		case <-ctx.Done():
			l.releaseAbandonSlots(taken)
			return marigoldcroft.NewFailure("release", KindUnavailable, ctx.Err())
		}
	}
	l.releaseAbandonSlots(maxConcurrentAbandons)
	return nil
}

func (l *Ledger) releaseAbandonSlots(n int) {
	for range n {
		<-l.abandonSlots
	}
}

// hasEnded reports whether the incarnation has ended, which is certain for earlier
// incarnations of this instance.
func (l *Ledger) hasEnded(e executor) bool {
	if e.instance == l.Identity.Instance() {
		return e.incarnation < l.Identity.Incarnation()
	}
	return l.Peers != nil && l.Peers.HasEnded(e.instance, e.incarnation)
}

var _ marigoldcroft.Ledger = (*Ledger)(nil)
