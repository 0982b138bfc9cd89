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

// Permit allows the tasks of one step to start on one life of an executor.
type Permit struct {
	Executor ExecutorID
	Ticket   string
}

// PermitGrant is the answer to a question for permits; executors that were
// asked for and are not named may never run the step.
type PermitGrant struct {
	Permits []Permit
	// Valid is how long the tickets hold from the time of the answer.
	Valid time.Duration
}

// PermitService decides which executors may run a step. Errors are
// *UnavailableError; a question has no effect and may be repeated.
type PermitService interface {
	// Ask asks which of the executors may run a step.
	Ask(ctx context.Context, s StepName, executors []ExecutorID) (PermitGrant, error)
}
