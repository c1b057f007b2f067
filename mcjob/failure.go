package mcjob

import (
	"github.com/cockroachdb/errors"

	"marigoldcroft"
	"marigoldcroft/mcstore"
)

// Kind is the kind of a job error.
type Kind string

// Error is the error type of the package. The mcstore kind of its cause says whether
// a job was recorded: unavailable, budget and too large exclude it.
type Error = marigoldcroft.Failure[Kind]

// The kinds of job errors.
const (
	// KindInvalid means that the submission can never be accepted as it is.
	KindInvalid Kind = "invalid submission"
	// KindRefused means that nothing was recorded; the submission may be repeated.
	KindRefused Kind = "not recorded"
	// KindUnknown means that the change may have been recorded. A submission with a key
	// may be repeated, which finds out.
	KindUnknown Kind = "outcome unknown"
	// KindKeyReused means that the key belongs to a job with another body or template.
	KindKeyReused Kind = "key reused with another body"
	// KindNotFound means that there is no such job, or that it was removed.
	KindNotFound Kind = "no such job"
	// KindEnded means that the job has ended, so that it cannot be cancelled.
	KindEnded Kind = "job has ended"
	// KindUnreadable means that a stored job has another format or is damaged.
	KindUnreadable Kind = "job cannot be read"
	// KindUnavailable means that the store did not serve a read.
	KindUnavailable Kind = "store unavailable"
)

// IsKind tells whether err is a job error of the kind.
func IsKind(err error, kind Kind) bool { return marigoldcroft.FailureKind[Kind](err) == kind }

// refusedFailure returns an error that says that nothing was recorded.
func refusedFailure(kind Kind, store mcstore.Kind, reason string) error {
	const operation = "submit job"
	return marigoldcroft.NewFailure(operation, kind, marigoldcroft.NewFailure(operation, store, errors.New(reason)))
}

// unknownOutcomeFailure hides the kind of the cause, which may say that the last store call had no
// effect although an earlier one may have had.
func unknownOutcomeFailure(operation string, cause error) error {
	return marigoldcroft.NewFailure(operation, KindUnknown,
		marigoldcroft.NewFailure(operation, mcstore.KindUnknown, errors.Newf("%v", cause)))
}

// readFailure returns the error for a read of a job that failed.
func readFailure(operation string, cause error) error {
	if mcstore.IsNotFound(cause) {
		return marigoldcroft.NewFailure(operation, KindNotFound, cause)
	}
	if IsKind(cause, KindUnreadable) {
		return cause
	}
	return marigoldcroft.NewFailure(operation, KindUnavailable, cause)
}
