package job

import (
	"time"

	"oleandervalve"
	"oleandervalve/core/table"
)

// Action is a side effect that a Shard or Runner requests from its process.
type Action interface{ action() }

// Message is an action that is sent to the agent of one worker.
type Message interface {
	Action
	// To returns the worker of the agent.
	To() oleandervalve.WorkerID
}

// Reserve asks an agent to reserve resources for a run.
type Reserve struct {
	Worker oleandervalve.WorkerID   `cbor:"-"`
	Run    Run                      `cbor:"run"`
	ID     oleandervalve.MutationID `cbor:"id"`
	Size   oleandervalve.Resources  `cbor:"size"`
}

// Reserved answers a Reserve. It is sent only to the process that requested the
// reservation.
type Reserved struct {
	Worker      oleandervalve.WorkerID   `cbor:"-"`
	Run         Run                      `cbor:"run"`
	ID          oleandervalve.MutationID `cbor:"id"`
	Incarnation Incarnation              `cbor:"incarnation"`
	Granted     bool                     `cbor:"granted"`
	Reason      oleandervalve.Reason     `cbor:"reason,omitempty"`
}

// Release cancels a reservation that has not been used for a start.
type Release struct {
	Worker oleandervalve.WorkerID   `cbor:"-"`
	Run    Run                      `cbor:"run"`
	ID     oleandervalve.MutationID `cbor:"id"`
}

// Commit requests a transaction. The process retries it until the outcome is
// known and passes the result to Shard.HandleResult.
type Commit struct {
	Transaction oleandervalve.Transaction
	Priority    table.Priority
}

// Read requests rows, which the process passes to Shard.Observe.
type Read struct{ Keys []oleandervalve.Key }

// Start asks an agent to start an assigned run under its reservation.
type Start struct {
	Worker      oleandervalve.WorkerID   `cbor:"-"`
	Spec        oleandervalve.TaskSpec   `cbor:"spec"`
	Incarnation Incarnation              `cbor:"incarnation"`
	ID          oleandervalve.MutationID `cbor:"id"`
}

// Stop asks an agent to stop a run and to report once it has stopped.
type Stop struct {
	Worker oleandervalve.WorkerID `cbor:"-"`
	Run    Run                    `cbor:"run"`
	// Checkpoint requests a checkpoint before the stop.
	Checkpoint bool                 `cbor:"checkpoint,omitempty"`
	Reason     oleandervalve.Reason `cbor:"reason,omitempty"`
}

// Throttle asks an agent to limit a run to a share of its processors, from 0 to 1.
type Throttle struct {
	Worker oleandervalve.WorkerID `cbor:"-"`
	Run    Run                    `cbor:"run"`
	Share  float64                `cbor:"share"`
}

// Query asks an agent for the state of a run.
type Query struct {
	Worker oleandervalve.WorkerID `cbor:"-"`
	Run    Run                    `cbor:"run"`
}

// Status is the state of a run at its agent.
type Status string

const (
	// StatusRunning means that the run has started and not ended.
	StatusRunning Status = "running"
	// StatusFinished means that the run ended with success.
	StatusFinished Status = "finished"
	// StatusFailed means that the run ended with an error.
	StatusFailed Status = "failed"
	// StatusStopped means that the run is not running and never will again.
	StatusStopped Status = "stopped"
)

// Report sends the state of a run to every connected entry; the owner of the
// task's shard acknowledges it.
type Report struct {
	Worker oleandervalve.WorkerID `cbor:"worker"`
	Run    Run                    `cbor:"run"`
	Status Status                 `cbor:"status"`
	// Started is false only if it is proven that the run never started.
	Started bool `cbor:"started"`
	// Progress is the platform's last known progress of the run, from 0 to 1.
	Progress   float64              `cbor:"progress,omitempty"`
	Checkpoint string               `cbor:"checkpoint,omitempty"`
	Reason     oleandervalve.Reason `cbor:"reason,omitempty"`
}

// Acknowledge tells an agent that a report has been recorded or is obsolete.
type Acknowledge struct {
	Worker oleandervalve.WorkerID `cbor:"-"`
	Run    Run                    `cbor:"run"`
	Status Status                 `cbor:"status"`
}

// PlatformStart starts a run at the platform; the process drops the call if
// Runner.StartPermitted no longer permits it when it is sent. The result is passed to
// Runner.StartDone.
type PlatformStart struct {
	Spec     oleandervalve.TaskSpec
	Lease    time.Duration
	NotAfter time.Time
}

// PlatformRenew extends the platform leases of all running tasks in one call;
// the process drops the call if it could not be sent before NotAfter.
type PlatformRenew struct {
	Tasks    []oleandervalve.TaskID
	Lease    time.Duration
	NotAfter time.Time
}

// PlatformThrottle limits a run at the platform; the process drops the call if
// it could not be sent before NotAfter. Its result is not needed.
type PlatformThrottle struct {
	Run      Run
	Share    float64
	NotAfter time.Time
}

// PlatformStop stops a run at the platform; the result is passed to
// Runner.StopDone.
type PlatformStop struct{ Run Run }

// PlatformCheckpoint reads a checkpoint of a run. The process keeps it until it
// is stored or the run is reported. The result is passed to
// Runner.CheckpointDone.
type PlatformCheckpoint struct{ Run Run }

// StoreCheckpoint writes the checkpoint that PlatformCheckpoint has read to the
// object store; an object that already exists counts as stored. The result is
// passed to Runner.StoreDone.
type StoreCheckpoint struct {
	Run  Run
	Name string
}

// PlatformStatus reads the platform's status of the worker. The result is passed
// to Runner.Observed together with RequestedAt.
type PlatformStatus struct{ RequestedAt time.Time }

func (Reserve) action()            {}
func (Reserved) action()           {}
func (Release) action()            {}
func (Commit) action()             {}
func (Read) action()               {}
func (Start) action()              {}
func (Stop) action()               {}
func (Query) action()              {}
func (Throttle) action()           {}
func (PlatformThrottle) action()   {}
func (Report) action()             {}
func (Acknowledge) action()        {}
func (PlatformStart) action()      {}
func (PlatformRenew) action()      {}
func (PlatformStop) action()       {}
func (PlatformCheckpoint) action() {}
func (StoreCheckpoint) action()    {}
func (PlatformStatus) action()     {}

// To returns the worker of the agent.
func (m Reserve) To() oleandervalve.WorkerID { return m.Worker }

// To returns the worker of the agent.
func (m Release) To() oleandervalve.WorkerID { return m.Worker }

// To returns the worker of the agent.
func (m Start) To() oleandervalve.WorkerID { return m.Worker }

// To returns the worker of the agent.
func (m Stop) To() oleandervalve.WorkerID { return m.Worker }

// To returns the worker of the agent.
func (m Query) To() oleandervalve.WorkerID { return m.Worker }

// To returns the worker of the agent.
func (m Acknowledge) To() oleandervalve.WorkerID { return m.Worker }

// To returns the worker of the agent.
func (m Throttle) To() oleandervalve.WorkerID { return m.Worker }
