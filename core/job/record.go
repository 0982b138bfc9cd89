package job

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleandervalve"
)

// State is the state of a task in the table.
type State string

const (
	// StateQueued means that the task waits for a worker.
	StateQueued State = "queued"
	// StateAssigned means that the task is assigned to a worker under an epoch and may
	// have been started.
	StateAssigned State = "assigned"
	// StateRunning means that the worker has reported the task as running.
	StateRunning State = "running"
	// StateCheckpointing means that the task is being evicted from its worker.
	StateCheckpointing State = "checkpointing"
	// StateEvicted means that the task has been stopped and waits to resume.
	StateEvicted State = "evicted"
	// StateFailed means that a run failed and the task waits for its next attempt.
	StateFailed State = "failed"
	// StateParked means that the task is not attempted again until an operator
	// unparks it.
	StateParked State = "parked"
	// StateFinished means that the task ended with success.
	StateFinished State = "finished"
	// StateCancelled means that the task has been cancelled and runs nowhere.
	StateCancelled State = "cancelled"
)

// Placed reports whether a worker may be running a task in this state.
func (s State) Placed() bool {
	return s == StateAssigned || s == StateRunning || s == StateCheckpointing
}

// Waiting reports whether a task in this state can be assigned to a worker.
func (s State) Waiting() bool {
	return s == StateQueued || s == StateEvicted || s == StateFailed
}

// Terminal reports whether the state is final.
func (s State) Terminal() bool { return s == StateFinished || s == StateCancelled }

// Run identifies one assignment of a task to a worker.
type Run struct {
	Task  oleandervalve.TaskID `json:"task" cbor:"task"`
	Epoch oleandervalve.Epoch  `json:"epoch" cbor:"epoch"`
}

// CheckpointName returns the object name of the checkpoint of a run.
func (r Run) CheckpointName() string { return fmt.Sprintf("checkpoints/%s/%d", r.Task, r.Epoch) }

// Incarnation identifies an agent process; each restart of the agent has a new one.
type Incarnation uint64

// Record is the value of a task's row. The ID of the last mutation is kept by the
// row itself.
type Record struct {
	Job oleandervalve.JobID `json:"job"`
	// Spec is the specification as submitted; StartSpec fills in the epoch and the
	// checkpoint.
	Spec     oleandervalve.TaskSpec `json:"spec"`
	Priority int                    `json:"priority,omitempty"`
	// SubmittedAt is the time of submission by the clock of the submitting entry.
	SubmittedAt time.Time              `json:"submittedAt"`
	State       State                  `json:"state"`
	Epoch       oleandervalve.Epoch    `json:"epoch"`
	Worker      oleandervalve.WorkerID `json:"worker,omitempty"`
	// Incarnation and Reservation identify the agent's grant under which the epoch
	// may start.
	Incarnation Incarnation              `json:"incarnation,omitempty"`
	Reservation oleandervalve.MutationID `json:"reservation,omitempty"`
	// Checkpoint names the object that the next run resumes from.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Attempts counts the failures since submission or the last Unpark.
	Attempts  int `json:"attempts,omitempty"`
	Evictions int `json:"evictions,omitempty"`
	// LostWorkers counts the workers that were lost under the task, each within lossWindow
	// of the one before. LastLossAt is the time of the last, by the clock of the entry that
	// owned the shard.
	LostWorkers int       `json:"lostWorkers,omitempty"`
	LastLossAt  time.Time `json:"lastLossAt,omitzero"`
	// NotBefore is the earliest time of the next attempt.
	NotBefore time.Time            `json:"notBefore,omitzero"`
	Reason    oleandervalve.Reason `json:"reason,omitempty"`
	// MayHaveRun is false only if no run of the task has ever started.
	MayHaveRun bool `json:"mayHaveRun,omitempty"`
}

// Task returns the ID of the task.
func (r Record) Task() oleandervalve.TaskID { return r.Spec.Task }

// Run returns the newest run of the task.
func (r Record) Run() Run { return Run{Task: r.Spec.Task, Epoch: r.Epoch} }

// StartSpec returns the specification for starting the current epoch.
func (r Record) StartSpec() oleandervalve.TaskSpec {
	s := r.Spec
	s.Epoch, s.Checkpoint = r.Epoch, r.Checkpoint
	return s
}

// Header is the value of a job's row. Cancelled applies to all tasks of the job.
type Header struct {
	Job       oleandervalve.JobID   `json:"job"`
	Team      oleandervalve.TeamID  `json:"team"`
	Tasks     int                   `json:"tasks"`
	Cancelled bool                  `json:"cancelled,omitempty"`
	Reason    oleandervalve.Reason  `json:"reason,omitempty"`
	By        oleandervalve.EntryID `json:"by,omitempty"`
}

// Stored is a task's record as read from or written to its row.
type Stored struct {
	Record
	Version    oleandervalve.Version
	MutationID oleandervalve.MutationID
}

// StoredJob is a job's row as read from or written to the table.
type StoredJob struct {
	Header
	Version    oleandervalve.Version
	MutationID oleandervalve.MutationID
}

// Shards is the number of task shards.
const Shards = 16

// ShardOf returns the shard of a job. All tasks of a job belong to this shard, so
// that the job's row and its tasks have one owner.
func ShardOf(j oleandervalve.JobID) oleandervalve.ShardID {
	return oleandervalve.ShardID(xxhash.Sum64String(string(j)) % Shards)
}

// TaskPrefix returns the key prefix of the tasks of a shard.
func TaskPrefix(s oleandervalve.ShardID) oleandervalve.Key {
	return oleandervalve.Key(fmt.Sprintf("tasks/%02d/", s))
}

// TaskKey returns the row key of a task.
func TaskKey(j oleandervalve.JobID, t oleandervalve.TaskID) oleandervalve.Key {
	return TaskPrefix(ShardOf(j)) + oleandervalve.Key(t)
}

// RowKey returns the row key of a job.
func RowKey(j oleandervalve.JobID) oleandervalve.Key { return "jobs/" + oleandervalve.Key(j) }

// Parent returns the job part of a task ID of the form "<job>/<index>".
func Parent(t oleandervalve.TaskID) oleandervalve.JobID {
	s := string(t)
	if i := strings.LastIndexByte(s, '/'); i >= 0 {
		s = s[:i]
	}
	return oleandervalve.JobID(s)
}

// ParseTask decodes a task's row.
func ParseTask(row oleandervalve.Row) (Stored, error) {
	s := Stored{Version: row.Version, MutationID: row.MutationID}
	if err := json.Unmarshal(row.Value, &s.Record); err != nil {
		return Stored{}, &oleandervalve.InvalidError{
			Field: "row " + string(row.Key), Value: string(row.Value),
			Remedy: "restore the row from an object written by this version: " + err.Error(),
		}
	}
	return s, nil
}

// ParseJob decodes a job's row.
func ParseJob(row oleandervalve.Row) (StoredJob, error) {
	j := StoredJob{Version: row.Version, MutationID: row.MutationID}
	if err := json.Unmarshal(row.Value, &j.Header); err != nil {
		return StoredJob{}, &oleandervalve.InvalidError{
			Field: "row " + string(row.Key), Value: string(row.Value),
			Remedy: "restore the row from an object written by this version: " + err.Error(),
		}
	}
	return j, nil
}

// encode marshals a value made only of types that can't fail to marshal.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// View is the state of a task, taking into account whether its job is cancelled.
type View struct {
	State State `json:"state"`
	// NotRun is true if the task is cancelled and provably never started.
	NotRun bool                 `json:"notRun,omitempty"`
	Reason oleandervalve.Reason `json:"reason,omitempty"`
}

// ViewOf combines a task's record with its job's row. The job's row must have
// been read before the task's: no task is assigned once the cancellation is
// committed, so a task that is still waiting in a later read never starts again.
func ViewOf(r Record, h Header) View {
	v := View{State: r.State, Reason: r.Reason}
	if h.Cancelled && (r.State.Waiting() || r.State == StateParked) {
		v.State, v.Reason = StateCancelled, h.Reason
	}
	v.NotRun = v.State == StateCancelled && !r.MayHaveRun
	return v
}
