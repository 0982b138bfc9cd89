package work

import (
	"context"

	"oleandervalve"
)

// Service handles callers' requests about jobs. It returns *oleandervalve.NotRunError if a
// submission was not accepted and will never run, *oleandervalve.UnknownOutcomeError if it
// is unknown whether the request took effect, and *oleandervalve.NotFoundError if the job
// or queue doesn't exist.
type Service interface {
	// Route returns the queue for a host and path. It returns
	// *oleandervalve.UnavailableError if no configuration has been loaded and
	// *oleandervalve.NotFoundError if no queue matches.
	Route(host, path string) (Route, error)
	// Submit accepts a job and returns once it is stored durably.
	Submit(ctx context.Context, q Queue, j oleandervalve.JobID, s Spec) error
	// Status returns the state of a job.
	Status(ctx context.Context, j oleandervalve.JobID) (State, error)
	// Cancel cancels a job.
	Cancel(ctx context.Context, j oleandervalve.JobID) error
	// Waiting returns the number of jobs of a queue of which no task has started yet.
	Waiting(ctx context.Context, q QueueName) (int, error)
	// NotReadyReason returns what the process is still waiting for, or "" if it is ready.
	NotReadyReason() string
}
