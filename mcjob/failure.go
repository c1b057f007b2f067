package mcjob

import (
	"github.com/cockroachdb/errors"

	"marigoldcroft"
	"marigoldcroft/mcstore"
)

// Kind classifies job errors.
type Kind string

// Error is the error type of the package. Its cause carries an mcstore kind:
// unavailable, budget and too large mean that the job was not recorded.
type Error = marigoldcroft.Failure[Kind]

// The kinds of job errors.
const (
	// KindInvalid means that the submission cannot be accepted without a change.
	KindInvalid Kind = "invalid submission"
	// KindRefused means that nothing was recorded; the submission may be retried.
	KindRefused Kind = "not recorded"
	// KindUnknown means that the change may or may not have been recorded. Retrying a
	// submission with a key is safe and determines the outcome.
	KindUnknown Kind = "outcome unknown"
	// KindKeyReused means that the key belongs to a job with another body or template.
	KindKeyReused Kind = "key reused with another body"
	// KindNotFound means that the job does not exist or was removed after its
	// retention.
	KindNotFound Kind = "no such job"
	// KindEnded means that the job cannot be cancelled because it is in another final
	// state.
	KindEnded Kind = "job has ended"
	// KindUnreadable means that a stored job is damaged or has an unsupported format.
	KindUnreadable Kind = "job cannot be read"
	// KindUnavailable means that the store could not be read.
	KindUnavailable Kind = "store unavailable"
)

// IsKind reports whether err is a job error of the given kind.
func IsKind(err error, kind Kind) bool { return marigoldcroft.FailureKind[Kind](err) == kind }

// refusedFailure returns an error for a submission of which nothing was recorded, with
// the store kind as its cause.
func refusedFailure(kind Kind, store mcstore.Kind, reason string) error {
	const operation = "submit job"
	return marigoldcroft.NewFailure(operation, kind, marigoldcroft.NewFailure(operation, store, errors.New(reason)))
}

// unknownOutcomeFailure replaces the store kind of the cause by mcstore.KindOutcomeUnknown.
// The original kind may say that the last store call had no effect, although an earlier
// one may have had.
func unknownOutcomeFailure(operation string, cause error) error {
	return marigoldcroft.NewFailure(operation, KindUnknown,
		marigoldcroft.NewFailure(operation, mcstore.KindOutcomeUnknown, errors.Newf("%v", cause)))
}

// readFailure maps the error of a failed read to a job error.
func readFailure(operation string, cause error) error {
	if mcstore.IsNotFound(cause) {
		return marigoldcroft.NewFailure(operation, KindNotFound, cause)
	}
	if IsKind(cause, KindUnreadable) {
		return cause
	}
	return marigoldcroft.NewFailure(operation, KindUnavailable, cause)
}
