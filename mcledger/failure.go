package mcledger

import "marigoldcroft"

// Kind is the kind of a ledger error.
type Kind string

// Error is the error type of the package.
type Error = marigoldcroft.Failure[Kind]

// The kinds of ledger errors. After any of them the attempt must not be run.
const (
	// KindBadKey means that the idempotency key is not a UUID of version 7 or that a
	// part of the key is too long. No ledger ever accepted it.
	KindBadKey Kind = "malformed key"
	// KindKeyAge means that the key is older than the retention or too far in the
	// future: the ledger cannot tell whether it ran.
	KindKeyAge Kind = "key outside the retention"
	// KindReused means that the key was used with another body.
	KindReused Kind = "key reused with another body"
	// KindNotRun means that the intent could not be recorded, and that the ledger was
	// read and shows that the key never ran and nothing is in flight for it.
	KindNotRun Kind = "not recorded, never ran"
	// KindUnavailable means that the intent could not be recorded; whether the key ran
	// before is not known.
	KindUnavailable Kind = "ledger unavailable"
	// KindNotRecorded means that Finish found another state recorded.
	KindNotRecorded Kind = "another state is recorded"
)

// IsKind tells whether err is a ledger error of the kind.
func IsKind(err error, kind Kind) bool { return marigoldcroft.FailureKind[Kind](err) == kind }
