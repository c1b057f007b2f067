package mcledger

import (
	"bytes"
	"time"

	"google.golang.org/protobuf/proto"

	"marigoldcroft/mcmessage"
)

type (
	requestKind int

	// request is a Begin, Finish or release submitted to the core.
	request struct {
		call     uint64
		kind     requestKind
		attempt  *mcmessage.LedgerAttempt
		bodyHash []byte
		// state and outcome are set for Finish only.
		state   mcmessage.LedgerState
		outcome *mcmessage.LedgerOutcome
		// coveredByRead is true once a read of the head started after the request arrived.
		// The result of that read is recent enough to answer the request.
		coveredByRead bool
	}

	replyKind int

	// reply is the answer to the request with the same call number.
	reply struct {
		call   uint64
		kind   replyKind
		record *record
	}

	// environment holds the external inputs of one step of the core.
	environment struct {
		now time.Time
		// hasEnded reports whether an incarnation has ended. If it wrongly returns true, the
		// record of a started attempt becomes unknown, but the action never runs twice.
		hasEnded func(executor) bool
	}

	// decision is the result of applying the protocol rules to one request.
	decision struct {
		reply replyKind
		// before is the existing record of the key. If after is not nil, it replaces before
		// in the head and in the reply.
		before, after *record
	}
)

const (
	requestBegin requestKind = iota
	requestFinish
	// requestRelease gives up ownership of the shard.
	requestRelease
)

const (
	// replyGranted permits the executor to run the attempt.
	replyGranted replyKind = iota
	// replyExisting carries the existing record; the attempt was not granted.
	replyExisting
	replyBodyMismatch
	replyExpired
	// replyUnavailable means that this core did not record the attempt.
	replyUnavailable
	// replyUncertain means that the attempt may have been recorded.
	replyUncertain
	// replyNotRun means that the attempt was not recorded, and that a read of the ledger
	// after the request arrived shows that the action never ran and that no attempt is in
	// flight.
	replyNotRun
	replyRecorded
	replyNotRecorded
)

const (
	stateNone      = mcmessage.LedgerState_LEDGER_STATE_NONE
	stateStarted   = mcmessage.LedgerState_LEDGER_STATE_STARTED
	stateDone      = mcmessage.LedgerState_LEDGER_STATE_DONE
	stateUnknown   = mcmessage.LedgerState_LEDGER_STATE_UNKNOWN
	stateAbandoned = mcmessage.LedgerState_LEDGER_STATE_ABANDONED
)

// decideBegin decides a Begin. r is the record of its key, or nil if there is none.
func decideBegin(env environment, r *record, req *request, floorMs int64) decision {
	keyMs := keyTimeMs(req.attempt.GetKey())
	switch {
	case keyMs < floorMs || !keyTimeAccepted(keyMs, env.now):
		return decision{reply: replyExpired}
	case r == nil:
		return grant(req)
	case len(r.GetBodyHash()) > 0 && !bytes.Equal(r.GetBodyHash(), req.bodyHash):
		return decision{reply: replyBodyMismatch, before: r}
	case r.GetAttempt().GetAttemptId() == req.attempt.GetAttemptId():
		// The request was sent again, or it was recorded before although the reply to it
		// was lost.
		if r.GetState() == stateStarted && executorOf(r.GetAttempt()) == executorOf(req.attempt) {
			return decision{reply: replyGranted, before: r}
		}
		return decision{reply: replyExisting, before: r}
	case r.GetState() == stateAbandoned:
		return grant(req)
	case r.GetState() == stateStarted && env.hasEnded(executorOf(r.GetAttempt())):
		return decision{reply: replyExisting, after: withState(r, stateUnknown, nil)}
	}
	return decision{reply: replyExisting, before: r}
}

func grant(req *request) decision {
	return decision{reply: replyGranted, after: &record{
		Attempt: req.attempt, BodyHash: req.bodyHash, State: stateStarted,
	}}
}

// decideFinish decides a Finish. r is the record of its key, or nil if there is none.
// A done record never changes. An unknown record can only become done, reported by an
// instance that has learned the outcome.
func decideFinish(env environment, r *record, req *request, floorMs int64) decision {
	keyMs := keyTimeMs(req.attempt.GetKey())
	switch {
	case keyMs < floorMs || env.now.Sub(time.UnixMilli(keyMs)) > Retention+removalMargin:
		// Begin no longer accepts the key, so that a record of it has no use.
		return decision{reply: replyRecorded}
	case r == nil:
		// Record the abandoned attempt or the outcome even without a recorded Begin, so
		// that a delayed Begin of the same attempt is not granted.
		return decision{reply: replyRecorded, after: &record{
			Attempt: req.attempt, State: req.state, Outcome: req.outcome,
		}}
	case r.GetAttempt().GetAttemptId() != req.attempt.GetAttemptId():
		if req.state == stateAbandoned {
			return decision{reply: replyRecorded, before: r}
		}
		return decision{reply: replyNotRecorded, before: r}
	case r.GetState() == req.state:
		return decision{reply: replyRecorded, before: r}
	case r.GetState() == stateStarted && executorOf(r.GetAttempt()) == executorOf(req.attempt),
		r.GetState() == stateUnknown && req.state == stateDone:
		return decision{reply: replyRecorded, after: withState(r, req.state, req.outcome)}
	}
	return decision{reply: replyNotRecorded, before: r}
}

func withState(r *record, state mcmessage.LedgerState, outcome *mcmessage.LedgerOutcome) *record {
	next := proto.CloneOf(r)
	next.State, next.Outcome = state, outcome
	return next
}
