package oleandervalve

import (
	"context"
	"time"
)

// StepName identifies one step of one occurrence of a job.
type StepName struct {
	Job        JobID
	Occurrence int
	Step       int
}

// Permit allows the tasks of one step to start on one incarnation of an executor.
type Permit struct {
	Executor ExecutorID
	Ticket   string
}

// PermitGrant is the response to a permit request. Requested executors that are not
// in Permits may never run the step.
type PermitGrant struct {
	Permits []Permit
	// Valid is how long the permits are valid, counted from the response.
	Valid time.Duration
}

// PermitService decides which executors may run a step. Its errors are
// *UnavailableError. Requests are read-only and can be repeated.
type PermitService interface {
	// Ask requests permits to run a step on the given executors.
	Ask(ctx context.Context, s StepName, executors []ExecutorID) (PermitGrant, error)
}
