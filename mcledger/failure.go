package mcledger

import "marigoldcroft"

// Kind classifies a ledger error.
type Kind string

// Error is the error type of the package.
type Error = marigoldcroft.Failure[Kind]

// The kinds of ledger errors. After any of them the attempt must not run.
const (
	// KindInvalidKey means that the idempotency key is not a UUID of version 7 or that a
	// part of the key is too long. No instance ever accepts such a key.
	KindInvalidKey Kind = "malformed key"
	// KindKeyOutsideRetention means that the key is older than Retention or too far in the
	// future, so that the ledger cannot tell whether its action ran.
	KindKeyOutsideRetention Kind = "key outside the retention"
	// KindKeyReused means that the key was used before with another request body.
	KindKeyReused Kind = "key reused with another body"
	// KindNotRun means that the intent could not be recorded, but that a read of the
	// ledger shows that the action never ran and that no attempt is in flight.
	KindNotRun Kind = "not recorded, never ran"
	// KindUnavailable means that the intent or the outcome could not be recorded. After
	// Begin, it is not known whether the action ran before.
	KindUnavailable Kind = "ledger unavailable"
	// KindStateMismatch means that Finish did not record the state, because the key's record
	// holds another one or because the state does not end an attempt.
	KindStateMismatch Kind = "another state is recorded"
)

// IsKind reports whether err is a ledger error of the given kind.
func IsKind(err error, kind Kind) bool { return marigoldcroft.FailureKind[Kind](err) == kind }
