package oleandervalve

import (
	"context"
	"time"
)

// TaskSpec describes a task to be started by the platform.
type TaskSpec struct {
	Task TaskID `json:"task" cbor:"task"`
	// Epoch is the fencing token of this assignment.
	Epoch Epoch     `json:"epoch" cbor:"epoch"`
	Kind  KindName  `json:"kind" cbor:"kind"`
	Team  TeamID    `json:"team" cbor:"team"`
	Size  Resources `json:"size" cbor:"size"`
	// LatencyCritical marks a latency-critical task; all others are batch tasks.
	LatencyCritical bool `json:"latencyCritical,omitempty" cbor:"latencyCritical,omitempty"`
	// Urgent means that the task is placed before the waiting tasks that are not urgent.
	Urgent bool `json:"urgent,omitempty" cbor:"urgent,omitempty"`
	// Labels are matched by the Beside and NotBeside selectors of other tasks.
	Labels map[string]string `json:"labels,omitempty" cbor:"labels,omitempty"`
	// Where selects the workers on which the task may run.
	Where string `json:"where,omitempty" cbor:"where,omitempty"`
	// Beside selects the tasks with which this one may share a worker, NotBeside
	// those with which it must not: every other task on the worker must match
	// Beside, and none may match NotBeside.
	Beside    string `json:"beside,omitempty" cbor:"beside,omitempty"`
	NotBeside string `json:"notBeside,omitempty" cbor:"notBeside,omitempty"`
	// Checkpoint names the object to resume from; empty to start from the beginning.
	Checkpoint string `json:"checkpoint,omitempty" cbor:"checkpoint,omitempty"`
	// Work is the declared run time. A task with 0 runs until it is stopped.
	Work time.Duration `json:"workNs,omitempty" cbor:"workNs,omitempty"`
}

// PlatformTaskState is the state of a task as reported by the platform.
type PlatformTaskState string

const (
	// PlatformRunning means that the task is running on the worker.
	PlatformRunning PlatformTaskState = "running"
	// PlatformFinished means that the task exited successfully.
	PlatformFinished PlatformTaskState = "finished"
	// PlatformFailed means that the task exited with an error.
	PlatformFailed PlatformTaskState = "failed"
	// PlatformStopped means that the task was stopped or its lease expired.
	PlatformStopped PlatformTaskState = "stopped"
)

// PlatformTask is the platform's report of a started task.
type PlatformTask struct {
	Spec     TaskSpec          `json:"spec"`
	State    PlatformTaskState `json:"state"`
	Progress float64           `json:"progress"`
	Reason   string            `json:"reason,omitempty"`
}

// WorkerStatus is the platform's report of a worker and the tasks started on it.
type WorkerStatus struct {
	Worker WorkerID `json:"worker"`
	// Terminated means that the platform confirms that the worker has terminated and
	// runs no tasks.
	Terminated bool           `json:"gone,omitempty"`
	Capacity   Resources      `json:"capacity"`
	Tasks      []PlatformTask `json:"tasks"`
}

// UsageSample is a measurement of one task, reported with a delay.
type UsageSample struct {
	Task  TaskID `json:"task" cbor:"task"`
	Epoch Epoch  `json:"epoch" cbor:"epoch"`
	// At is the time of the measurement.
	At   time.Time `json:"at" cbor:"at"`
	Used Resources `json:"used" cbor:"used"`
	// Slowdown is the task's run time relative to running alone; 1 means no
	// interference.
	Slowdown float64 `json:"slowdown" cbor:"slowdown"`
}

// Platform starts, stops and monitors tasks on workers.
type Platform interface {
	// Start starts a task with a lease. Starting the same task and epoch again has no effect.
	Start(ctx context.Context, w WorkerID, spec TaskSpec, lease time.Duration) error
	// Renew extends the leases of the tasks on a worker.
	Renew(ctx context.Context, w WorkerID, tasks []TaskID, lease time.Duration) error
	// Stop stops a task and waits until it has stopped. A later Start of the task
	// with this or a lower epoch has no effect.
	Stop(ctx context.Context, w WorkerID, t TaskID, e Epoch) error
	// Checkpoint returns a snapshot of the state of a running task.
	Checkpoint(ctx context.Context, w WorkerID, t TaskID, e Epoch) ([]byte, error)
	// Throttle limits a task to a fraction of its CPU allocation, from 0 to 1.
	Throttle(ctx context.Context, w WorkerID, t TaskID, share float64) error
	// Status returns the status of a worker and its tasks.
	Status(ctx context.Context, w WorkerID) (WorkerStatus, error)
	// Usage returns the worker's usage samples that are newer than since.
	Usage(ctx context.Context, w WorkerID, since time.Time) ([]UsageSample, error)
}
