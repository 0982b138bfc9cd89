package job

import (
	"time"

	"oleandervalve"
	"oleandervalve/core/table"
)

// Action is something that a Shard or Runner asks its process to do.
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

// Reserved answers a Reserve; only the process that asked receives it.
type Reserved struct {
	Worker      oleandervalve.WorkerID   `cbor:"-"`
	Run         Run                      `cbor:"run"`
	ID          oleandervalve.MutationID `cbor:"id"`
	Incarnation Incarnation              `cbor:"incarnation"`
	Granted     bool                     `cbor:"granted"`
	Reason      oleandervalve.Reason     `cbor:"reason,omitempty"`
}

// Release gives up a reservation that has not been used for a start.
type Release struct {
	Worker oleandervalve.WorkerID   `cbor:"-"`
	Run    Run                      `cbor:"run"`
	ID     oleandervalve.MutationID `cbor:"id"`
}

// Commit asks for a transaction to be taken to its result, which the process
// passes to Resolved.
type Commit struct {
	Transaction oleandervalve.Transaction
	Priority    table.Priority
}

// Read asks for rows to be read and passed to Observe.
type Read struct{ Keys []oleandervalve.Key }

// Start asks an agent to start an assigned run under its reservation.
type Start struct {
	Worker      oleandervalve.WorkerID   `cbor:"-"`
	Spec        oleandervalve.TaskSpec   `cbor:"spec"`
	Incarnation Incarnation              `cbor:"incarnation"`
	ID          oleandervalve.MutationID `cbor:"id"`
}

// Stop asks an agent to stop a run and to confirm it.
type Stop struct {
	Worker oleandervalve.WorkerID `cbor:"-"`
	Run    Run                    `cbor:"run"`
	// Checkpoint asks for a checkpoint before the stop.
	Checkpoint bool                 `cbor:"checkpoint,omitempty"`
	Reason     oleandervalve.Reason `cbor:"reason,omitempty"`
}

// Throttle asks an agent to limit a run to a share of its processors, from 0 to 1.
type Throttle struct {
	Worker oleandervalve.WorkerID `cbor:"-"`
	Run    Run                    `cbor:"run"`
	Share  float64                `cbor:"share"`
}

// Query asks an agent what became of a run.
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
	// StatusStopped means that the run does not run and never will again.
	StatusStopped Status = "stopped"
)

// Report tells every connected entry what became of a run; the owner of the
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

// PlatformStart starts a run at the platform; the process drops the call if it
// could not be sent before NotAfter. The result goes to StartDone.
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

// PlatformStop stops a run at the platform; the result goes to StopDone.
type PlatformStop struct{ Run Run }

// PlatformCheckpoint reads the state of a run, which the process keeps until it
// is stored or the run is reported; the result goes to CheckpointDone.
type PlatformCheckpoint struct{ Run Run }

// StoreCheckpoint creates the object of the kept checkpoint; an object that
// exists already counts as stored. The result goes to StoreDone.
type StoreCheckpoint struct {
	Run  Run
	Name string
}

// PlatformStatus reads the platform's status of the worker; the result goes to
// Observed with the time of this action.
type PlatformStatus struct{ AskedAt time.Time }

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
