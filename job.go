package marigoldcroft

import (
	"context"
	"time"
)

// JobState is the state of a durable job.
type JobState string

// The states of a job. The last four are final.
const (
	JobAccepted  JobState = "accepted"
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobFailed    JobState = "failed"
	JobExpired   JobState = "expired"
	JobCancelled JobState = "cancelled"
)

// Final reports whether the state is final: the job does not change any more.
func (s JobState) Final() bool {
	return s == JobDone || s == JobFailed || s == JobExpired || s == JobCancelled
}

// JobStatus is the status of a job as reported to callers.
type JobStatus struct {
	ID       string    `json:"id"`
	Team     string    `json:"team"`
	Template string    `json:"template"`
	State    JobState  `json:"state"`
	Created  time.Time `json:"created"`
	Deadline time.Time `json:"deadline"`
	Answer   string    `json:"answer,omitempty"`
	Error    string    `json:"error,omitempty"`
	// Epoch increases each time an instance claims the job to run it.
	Epoch uint64 `json:"epoch"`
}

// JobSubmission is a caller's request for a new job.
type JobSubmission struct {
	Team             string
	Template         string
	TemplateRevision uint64
	Deadline         time.Time
	// Key is the caller's idempotency key, or "". Submissions with the same key return the
	// same job.
	Key string
	// Body is the body of the caller's request.
	Body []byte
}

// JobCommand submits and cancels durable jobs.
type JobCommand interface {
	// Submit returns once the job is recorded durably in the store.
	Submit(ctx context.Context, submission JobSubmission) (JobStatus, error)
	Cancel(ctx context.Context, id string) error
}

// JobQuery reads the status of durable jobs.
type JobQuery interface {
	Job(ctx context.Context, id string) (JobStatus, error)
}

// JobRunner runs a job and returns its complete answer. If the process that runs a job dies,
// RunJob is called again at this or another instance.
type JobRunner interface {
	RunJob(ctx context.Context, status JobStatus, body []byte) (answer string, err error)
}
