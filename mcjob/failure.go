// Package mcjob keeps durable jobs in the object store and runs those that this
// instance has claimed.
package mcjob

import "marigoldcroft"

// Kind is the kind of a job error.
type Kind string

// Error is the error type of the package.
type Error = marigoldcroft.Failure[Kind]

// The kinds of job errors.
const (
	KindNotFound Kind = "not found"
	KindInvalid  Kind = "invalid job"
	// KindBudget means that the jobs' share of the store's writes is used up; the
	// job was not accepted and will not run.
	KindBudget Kind = "write budget used up"
	// KindKeyReused means that the idempotency key belongs to a job with another body.
	KindKeyReused Kind = "key reused"
	// KindFinal means that the job has ended and cannot be cancelled.
	KindFinal Kind = "job has ended"
	// KindUnavailable means that the store did not accept the change.
	KindUnavailable Kind = "unavailable"
	// KindUnknown means that the change may have been accepted. A submission with a
	// key can be repeated.
	KindUnknown Kind = "unknown outcome"
	KindCorrupt Kind = "malformed stored job"
)

// IsNotFound tells whether err says that the job does not exist.
func IsNotFound(err error) bool { return marigoldcroft.FailureKind[Kind](err) == KindNotFound }

// IsBudget tells whether err refuses a job because of the write budget.
func IsBudget(err error) bool { return marigoldcroft.FailureKind[Kind](err) == KindBudget }
