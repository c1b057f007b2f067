package marigoldcroft

import (
	"context"
	"time"
)

// JobState is the state of a durable job.
type JobState string

// The states of a job; the last four are final.
const (
	JobAccepted  JobState = "accepted"
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobFailed    JobState = "failed"
	JobExpired   JobState = "expired"
	JobCancelled JobState = "cancelled"
)

// Final tells whether a job in the state never changes again.
func (s JobState) Final() bool {
	return s == JobDone || s == JobFailed || s == JobExpired || s == JobCancelled
}

// JobStatus is what a caller learns of its job.
type JobStatus struct {
	ID       string    `json:"id"`
	Team     string    `json:"team"`
	Template string    `json:"template"`
	State    JobState  `json:"state"`
	Created  time.Time `json:"created"`
	Deadline time.Time `json:"deadline"`
	Answer   string    `json:"answer,omitempty"`
	Error    string    `json:"error,omitempty"`
	// Epoch counts the claims of the job.
	Epoch uint64 `json:"epoch"`
}

// JobSubmission is a job that a caller asks for.
type JobSubmission struct {
	Team             string
	Template         string
	TemplateRevision uint64
	Deadline         time.Time
	// Key is the caller's idempotency key, or "". The same key gives the same job.
	Key string
	// Body is the request in the callers' form.
	Body []byte
}

// JobCommand changes durable jobs.
type JobCommand interface {
	// Submit returns after the job is recorded in the store.
	Submit(ctx context.Context, submission JobSubmission) (JobStatus, error)
	Cancel(ctx context.Context, id string) error
}

// JobQuery reads durable jobs.
type JobQuery interface {
	Job(ctx context.Context, id string) (JobStatus, error)
}

// JobRunner runs the body of a job to its whole answer. It is called again, at this
// or another instance, when the process that ran it is gone.
type JobRunner interface {
	RunJob(ctx context.Context, status JobStatus, body []byte) (answer string, err error)
}
