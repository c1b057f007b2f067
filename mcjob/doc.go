// Package mcjob keeps durable jobs in the object store and runs them. A job is
// accepted when its object is written, and every accepted job ends in one final state,
// whichever instances die meanwhile. A job runs at least once, not at most once.
// docs/jobs.md describes the protocol, its bounds and what it does not promise.
package mcjob
