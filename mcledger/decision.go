package mcledger

import (
	"bytes"
	"time"

	"google.golang.org/protobuf/proto"

	"marigoldcroft/mcmessage"
)

type (
	requestKind int

	// request is one Begin, Finish or release in the core.
	request struct {
		call     uint64
		kind     requestKind
		attempt  *mcmessage.LedgerAttempt
		bodyHash []byte
		// state and outcome belong to Finish.
		state   mcmessage.LedgerState
		outcome *mcmessage.LedgerOutcome
		// coveredByRead is true when the read of the head under way began after the request
		// arrived, so that its result speaks for the request.
		coveredByRead bool
	}

	replyKind int

	// reply answers the call of a request.
	reply struct {
		call   uint64
		kind   replyKind
		record *record
	}

	// environment is what the core knows of the outside at one step.
	environment struct {
		now time.Time
		// gone tells whether an incarnation has ended. A wrong answer costs the record
		// of its attempt (it becomes unknown), never a second run.
		gone func(executor) bool
	}

	// decision is what the rules make of one request.
	decision struct {
		reply replyKind
		// before is the record that the reply shows; after replaces it if not nil.
		before, after *record
	}
)

const (
	requestBegin requestKind = iota
	requestFinish
	// requestRelease gives up the shard.
	requestRelease
)

const (
	// replyGranted lets the executor run the attempt.
	replyGranted replyKind = iota
	// replyExisting shows the record; the attempt was not granted.
	replyExisting
	replyBodyMismatch
	replyExpired
	// replyUnavailable: the attempt was not recorded by this core.
	replyUnavailable
	// replyUncertain: the attempt may have been recorded.
	replyUncertain
	// replyNotRun: not recorded, and a read of the ledger after the request arrived
	// shows that the key never ran and nothing is in flight.
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

// decideBegin decides a Begin on the record r of its key, nil if there is none.
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
		// The request was sent again, or its first copy took effect unseen.
		if r.GetState() == stateStarted && executorOf(r.GetAttempt()) == executorOf(req.attempt) {
			return decision{reply: replyGranted, before: r}
		}
		return decision{reply: replyExisting, before: r}
	case r.GetState() == stateAbandoned:
		return grant(req)
	case r.GetState() == stateStarted && env.gone(executorOf(r.GetAttempt())):
		return decision{reply: replyExisting, after: withState(r, stateUnknown, nil)}
	}
	return decision{reply: replyExisting, before: r}
}

func grant(req *request) decision {
	return decision{reply: replyGranted, after: &record{
		Attempt: req.attempt, BodyHash: req.bodyHash, State: stateStarted,
	}}
}

// decideFinish decides a Finish. A done record never changes; an unknown one can only
// become done, by who knows the outcome.
func decideFinish(env environment, r *record, req *request, floorMs int64) decision {
	keyMs := keyTimeMs(req.attempt.GetKey())
	switch {
	case keyMs < floorMs || env.now.Sub(time.UnixMilli(keyMs)) > Retention+removalMargin:
		// No Begin of the key is accepted any more, so the record has no use.
		return decision{reply: replyRecorded}
	case r == nil:
		// An abandoned attempt is recorded, so that a Begin of it that is still on its
		// way is not granted. An outcome without a record is kept for the same reason.
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
