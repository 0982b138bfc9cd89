package oleandervalve

import (
	"context"
	"time"
)

// TaskSpec is what the platform needs to start a task.
type TaskSpec struct {
	Task TaskID `json:"task" cbor:"task"`
	// Epoch is the fencing token of this assignment.
	Epoch Epoch     `json:"epoch" cbor:"epoch"`
	Kind  KindName  `json:"kind" cbor:"kind"`
	Team  TeamID    `json:"team" cbor:"team"`
	Size  Resources `json:"size" cbor:"size"`
	// LatencyCritical tells services apart from batch tasks.
	LatencyCritical bool `json:"latencyCritical,omitempty" cbor:"latencyCritical,omitempty"`
	// Urgent work is placed ahead of the backlog.
	Urgent bool `json:"urgent,omitempty" cbor:"urgent,omitempty"`
	// Labels describe the task to the selectors of others.
	Labels map[string]string `json:"labels,omitempty" cbor:"labels,omitempty"`
	// Where selects the workers on which the task may run.
	Where string `json:"where,omitempty" cbor:"where,omitempty"`
	// Beside must select every other task on the worker, and NotBeside none.
	Beside    string `json:"beside,omitempty" cbor:"beside,omitempty"`
	NotBeside string `json:"notBeside,omitempty" cbor:"notBeside,omitempty"`
	// Checkpoint names the object to resume from; empty for a fresh start.
	Checkpoint string `json:"checkpoint,omitempty" cbor:"checkpoint,omitempty"`
	// Work is the declared run time; zero runs until stopped.
	Work time.Duration `json:"workNs,omitempty" cbor:"workNs,omitempty"`
}

// PlatformTaskState is the state of a task at the platform.
type PlatformTaskState string

const (
	// PlatformRunning means that the task runs at the worker.
	PlatformRunning PlatformTaskState = "running"
	// PlatformFinished means that the task ended by itself with success.
	PlatformFinished PlatformTaskState = "finished"
	// PlatformFailed means that the task ended by itself with an error.
	PlatformFailed PlatformTaskState = "failed"
	// PlatformStopped means that the task was stopped or its lease lapsed.
	PlatformStopped PlatformTaskState = "stopped"
)

// PlatformTask is the platform's view of one started task.
type PlatformTask struct {
	Spec     TaskSpec          `json:"spec"`
	State    PlatformTaskState `json:"state"`
	Progress float64           `json:"progress"`
	Reason   string            `json:"reason,omitempty"`
}

// WorkerStatus is the platform's view of a worker and what was started on it.
type WorkerStatus struct {
	Worker WorkerID `json:"worker"`
	// Gone means that the platform has confirmed that the worker ended and runs nothing.
	Gone     bool           `json:"gone,omitempty"`
	Capacity Resources      `json:"capacity"`
	Tasks    []PlatformTask `json:"tasks"`
}

// UsageSample is a lagging measurement of one task.
type UsageSample struct {
	Task  TaskID `json:"task" cbor:"task"`
	Epoch Epoch  `json:"epoch" cbor:"epoch"`
	// At is the time that the sample describes.
	At   time.Time `json:"at" cbor:"at"`
	Used Resources `json:"used" cbor:"used"`
	// Slowdown is the task's run time relative to running alone; 1 is undisturbed.
	Slowdown float64 `json:"slowdown" cbor:"slowdown"`
}

// Platform starts and observes tasks on the workers.
type Platform interface {
	// Start runs a task under a lease; starting the same task and epoch again has no effect.
	Start(ctx context.Context, w WorkerID, spec TaskSpec, lease time.Duration) error
	// Renew extends the leases of the tasks on a worker.
	Renew(ctx context.Context, w WorkerID, tasks []TaskID, lease time.Duration) error
	// Stop ends a task and returns when it has stopped; a later Start of the
	// task at this or a lower epoch has no effect.
	Stop(ctx context.Context, w WorkerID, t TaskID, e Epoch) error
	// Checkpoint returns the state of a running task.
	Checkpoint(ctx context.Context, w WorkerID, t TaskID, e Epoch) ([]byte, error)
	// Throttle limits a task to a share of its processor allowance, from 0 to 1.
	Throttle(ctx context.Context, w WorkerID, t TaskID, share float64) error
	// Status returns what the platform knows of a worker.
	Status(ctx context.Context, w WorkerID) (WorkerStatus, error)
	// Usage returns samples newer than the given time.
	Usage(ctx context.Context, w WorkerID, since time.Time) ([]UsageSample, error)
}
