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
	Token    string
}

// PermitGrant is the response to a permit request. Requested executors that are not
// in Permits may never run the step.
type PermitGrant struct {
	Permits []Permit
	// Validity is how long the permits are valid, counted from the response.
	Validity time.Duration
}

// PermitService decides which executors may run a step. Its errors are
// *UnavailableError. Requests are read-only and can be repeated.
type PermitService interface {
	// RequestPermits requests permits to run a step on the given executors.
	RequestPermits(ctx context.Context, s StepName, executors []ExecutorID) (PermitGrant, error)
}
