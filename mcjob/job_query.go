package mcjob

import (
	"context"

	"marigoldcroft"
)

// Job returns the status of the job, from whichever instance accepted it.
func (j *Jobs) Job(ctx context.Context, id string) (marigoldcroft.JobStatus, error) {
	j.init()
	job, err := j.read(ctx, id)
	return job.JobStatus, err
}

// Held returns the number of jobs that this instance has claimed.
func (j *Jobs) Held() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.held)
}
