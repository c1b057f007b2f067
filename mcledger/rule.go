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
		// readAfter is true when the read of the head under way began after the request
		// arrived, so that its result speaks for the request.
		readAfter bool
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

	// verdict is what the rules make of one request.
	verdict struct {
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
	// replyState shows the record; the attempt was not granted.
	replyState
	replyMismatch
	replyExpired
	// replyUnavailable: the attempt was not recorded by this core.
	replyUnavailable
	// replyOpen: the attempt may have been recorded.
	replyOpen
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

// judgeBegin decides a Begin on the record r of its key, nil if there is none.
func judgeBegin(env environment, r *record, req *request, floorMs int64) verdict {
	keyMs := keyTimeMs(req.attempt.GetKey())
	switch {
	case keyMs < floorMs || !keyAgeAllowed(keyMs, env.now):
		return verdict{reply: replyExpired}
	case r == nil:
		return grant(req)
	case len(r.GetBodyHash()) > 0 && !bytes.Equal(r.GetBodyHash(), req.bodyHash):
		return verdict{reply: replyMismatch, before: r}
	case r.GetAttempt().GetAttemptId() == req.attempt.GetAttemptId():
		// The request was sent again, or its first copy took effect unseen.
		if r.GetState() == stateStarted && executorOf(r.GetAttempt()) == executorOf(req.attempt) {
			return verdict{reply: replyGranted, before: r}
		}
		return verdict{reply: replyState, before: r}
	case r.GetState() == stateAbandoned:
		return grant(req)
	case r.GetState() == stateStarted && env.gone(executorOf(r.GetAttempt())):
		return verdict{reply: replyState, after: withState(r, stateUnknown, nil)}
	}
	return verdict{reply: replyState, before: r}
}

func grant(req *request) verdict {
	return verdict{reply: replyGranted, after: &record{
		Attempt: req.attempt, BodyHash: req.bodyHash, State: stateStarted,
	}}
}

// judgeFinish decides a Finish. A done record never changes; an unknown one can only
// become done, by who knows the outcome.
func judgeFinish(env environment, r *record, req *request, floorMs int64) verdict {
	keyMs := keyTimeMs(req.attempt.GetKey())
	switch {
	case keyMs < floorMs || env.now.Sub(time.UnixMilli(keyMs)) > Retention+removalMargin:
		// No Begin of the key is accepted any more, so the record has no use.
		return verdict{reply: replyRecorded}
	case r == nil:
		// An abandoned attempt is recorded, so that a Begin of it that is still on its
		// way is not granted. An outcome without a record is kept for the same reason.
		return verdict{reply: replyRecorded, after: &record{
			Attempt: req.attempt, State: req.state, Outcome: req.outcome,
		}}
	case r.GetAttempt().GetAttemptId() != req.attempt.GetAttemptId():
		if req.state == stateAbandoned {
			return verdict{reply: replyRecorded, before: r}
		}
		return verdict{reply: replyNotRecorded, before: r}
	case r.GetState() == req.state:
		return verdict{reply: replyRecorded, before: r}
	case r.GetState() == stateStarted && executorOf(r.GetAttempt()) == executorOf(req.attempt),
		r.GetState() == stateUnknown && req.state == stateDone:
		return verdict{reply: replyRecorded, after: withState(r, req.state, req.outcome)}
	}
	return verdict{reply: replyNotRecorded, before: r}
}

func withState(r *record, state mcmessage.LedgerState, outcome *mcmessage.LedgerOutcome) *record {
	next := proto.CloneOf(r)
	next.State, next.Outcome = state, outcome
	return next
}
