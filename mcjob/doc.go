// Package mcjob stores durable jobs in the object store and runs them. A job is
// accepted once its object is written, and every accepted job reaches exactly one final
// state, even if instances die meanwhile. A job runs at least once, not at most once.
// docs/jobs.md describes the protocol, its bounds and what it does not guarantee.
package mcjob
