package job

import (
	"fmt"
	"time"

	"oleandervalve"
)

// Change is one transition of a task as a transaction, with the record that the
// task's row holds once the transaction is applied.
type Change struct {
	Transaction oleandervalve.Transaction
	After       Record
}

// StateError reports a transition that the state or epoch of a task does not
// permit.
type StateError struct {
	Task   oleandervalve.TaskID
	State  State
	Epoch  oleandervalve.Epoch
	Change string
}

func (e *StateError) Error() string {
	return fmt.Sprintf("task %q is %s at epoch %d and can't be changed to %s: read its row again and decide anew",
		string(e.Task), e.State, e.Epoch, e.Change)
}

// End describes the end of a run.
type End struct {
	Run Run
	// Started is false only if it is proven that the run never started.
	Started bool
	// Checkpoint names the checkpoint written by the run, if any.
	Checkpoint string
	Reason     oleandervalve.Reason
	// Conditions are checked with the transition. A takeover passes the condition
	// that the worker's lease has expired.
	Conditions []oleandervalve.Condition
}

// Backoff determines when a failed task is attempted again.
type Backoff struct {
	First time.Duration
	Max   time.Duration
	// MaxAttempts is the number of failures after which the task is parked.
	MaxAttempts int
}

// DefaultBackoff parks a task after waits of about five minutes in total:
// 5 + 10 + 20 + 40 + 80 + 160 s.
var DefaultBackoff = Backoff{First: 5 * time.Second, Max: 5 * time.Minute, MaxAttempts: 7}

// Delay returns the wait after the given number of failures, which is at least 1.
func (b Backoff) Delay(failures int) time.Duration {
	d := b.First
	for i := 1; i < failures && d < b.Max; i++ {
		d *= 2
	}
	return min(d, b.Max)
}

// Create returns the transaction that submits a job with its tasks.
func Create(id oleandervalve.MutationID, h Header, records []Record) oleandervalve.Transaction {
	h.Tasks = len(records)
	t := oleandervalve.Transaction{ID: id}
	put := func(k oleandervalve.Key, v any) {
		t.Conditions = append(t.Conditions, oleandervalve.Condition{Key: k})
		t.Puts = append(t.Puts, oleandervalve.Put{Key: k, Value: encode(v)})
	}
	put(RowKey(h.Job), h)
	for _, r := range records {
		r.Job, r.State, r.Epoch = h.Job, StateQueued, 0
		put(TaskKey(h.Job, r.Task()), r)
	}
	return t
}

// Cancel returns the transaction that marks a job as cancelled.
func (j StoredJob) Cancel(id oleandervalve.MutationID, by oleandervalve.EntryID, reason oleandervalve.Reason) oleandervalve.Transaction {
	n := j.Header
	n.Cancelled, n.By, n.Reason = true, by, reason
	k := RowKey(j.Job)
	return oleandervalve.Transaction{
		ID:         id,
		Conditions: []oleandervalve.Condition{{Key: k, Version: j.Version}},
		Puts:       []oleandervalve.Put{{Key: k, Value: encode(n)}},
	}
}

// Grant is an agent's reservation for a run.
type Grant struct {
	Worker      oleandervalve.WorkerID
	Incarnation Incarnation
	Reservation oleandervalve.MutationID
}

// Assign assigns a waiting task to a worker under the next epoch. It is
// conditional on the job's row, so no task is assigned after a cancellation.
func (s Stored) Assign(now time.Time, id oleandervalve.MutationID, g Grant, j StoredJob) (Change, error) {
	if !s.State.Waiting() || j.Cancelled || j.Job != s.Job || now.Before(s.NotBefore) {
		return Change{}, s.stateError(StateAssigned)
	}
	n := s.Record
	n.State, n.Epoch, n.Worker = StateAssigned, s.Epoch+1, g.Worker
	n.Incarnation, n.Reservation = g.Incarnation, g.Reservation
	n.NotBefore, n.Reason = time.Time{}, ""
	return s.changeTo(id, n, oleandervalve.Condition{Key: RowKey(j.Job), Version: j.Version}), nil
}

// Started records that the worker runs the task under the current epoch.
func (s Stored) Started(id oleandervalve.MutationID, r Run) (Change, error) {
	if s.State != StateAssigned || r != s.Run() {
		return Change{}, s.stateError(StateRunning)
	}
	n := s.Record
	n.State, n.MayHaveRun = StateRunning, true
	return s.changeTo(id, n), nil
}

// BeginEviction records the decision to evict, so that a later owner of the shard
// completes the eviction.
func (s Stored) BeginEviction(id oleandervalve.MutationID, r Run, reason oleandervalve.Reason) (Change, error) {
	if s.State != StateRunning || r != s.Run() {
		return Change{}, s.stateError(StateCheckpointing)
	}
	n := s.Record
	n.State, n.Reason = StateCheckpointing, reason
	return s.changeTo(id, n), nil
}

// Evicted records that an evicted run has stopped. It is the only transition that
// counts an eviction.
func (s Stored) Evicted(id oleandervalve.MutationID, e End) (Change, error) {
	if s.State != StateCheckpointing || e.Run != s.Run() {
		return Change{}, s.stateError(StateEvicted)
	}
	n := s.withoutWorker(e)
	n.State, n.Reason = StateEvicted, s.Reason
	n.Evictions++
	return s.changeTo(id, n), nil
}

// Requeue returns to the queue a task whose run ended for a reason outside the
// task. This end counts neither as an eviction nor as a failure.
func (s Stored) Requeue(id oleandervalve.MutationID, e End) (Change, error) {
	if !s.State.Placed() || e.Run != s.Run() {
		return Change{}, s.stateError(StateQueued)
	}
	n := s.withoutWorker(e)
	n.State, n.Reason = StateQueued, e.Reason
	return s.changeTo(id, n, e.Conditions...), nil
}

const (
	// lossWindow is the longest time between two losses of workers that are counted
	// together. Tasks that run for long lose workers to ordinary failures.
	lossWindow = time.Hour
	// maxLostWorkers is the number of workers after whose loss a task is parked, as it may
	// be the one that crashes them.
	maxLostWorkers = 4
)

// Lost returns to the queue a task whose worker was lost. From the second loss on, the next
// attempt waits; a task that has lost maxLostWorkers is parked.
func (s Stored) Lost(now time.Time, id oleandervalve.MutationID, e End, b Backoff) (Change, error) {
	if !s.State.Placed() || e.Run != s.Run() {
		return Change{}, s.stateError(StateQueued)
	}
	n := s.withoutWorker(e)
	n.State, n.Reason = StateQueued, e.Reason
	if now.Sub(n.LastLossAt) > lossWindow {
		n.LostWorkers = 0
	}
	n.LostWorkers++
	n.LastLossAt = now.Round(0)
	switch {
	case n.LostWorkers >= maxLostWorkers:
		n.State, n.Reason = StateParked, ReasonWorkersLost
	case n.LostWorkers > 1:
		n.NotBefore = now.Add(b.Delay(n.LostWorkers - 1)).Round(0)
	}
	return s.changeTo(id, n, e.Conditions...), nil
}

// Finish records the success of a run.
func (s Stored) Finish(id oleandervalve.MutationID, e End) (Change, error) {
	if !s.State.Placed() || e.Run != s.Run() {
		return Change{}, s.stateError(StateFinished)
	}
	n := s.withoutWorker(e)
	n.State, n.MayHaveRun, n.Reason = StateFinished, true, ""
	return s.changeTo(id, n), nil
}

// Fail records the failure of a run and sets the time of the next attempt or parks
// the task.
func (s Stored) Fail(now time.Time, id oleandervalve.MutationID, e End, b Backoff) (Change, error) {
	if !s.State.Placed() || e.Run != s.Run() {
		return Change{}, s.stateError(StateFailed)
	}
	n := s.withoutWorker(e)
	n.State, n.MayHaveRun, n.Reason = StateFailed, true, e.Reason
	n.Attempts++
	n.NotBefore = now.Add(b.Delay(n.Attempts)).Round(0)
	if n.Attempts >= b.MaxAttempts {
		n.State, n.NotBefore = StateParked, time.Time{}
	}
	return s.changeTo(id, n), nil
}

// Cancel records that a placed task of a cancelled job no longer runs on its
// worker. Waiting tasks need no write: the cancellation in the job's row applies
// to them.
func (s Stored) Cancel(id oleandervalve.MutationID, e End, j StoredJob) (Change, error) {
	if !s.State.Placed() || e.Run != s.Run() || !j.Cancelled || j.Job != s.Job {
		return Change{}, s.stateError(StateCancelled)
	}
	n := s.withoutWorker(e)
	n.State, n.Reason = StateCancelled, j.Reason
	return s.changeTo(id, n, e.Conditions...), nil
}

// Park removes a waiting task from the queue and records the reason, such as the
// constraint that makes it infeasible.
func (s Stored) Park(id oleandervalve.MutationID, reason oleandervalve.Reason) (Change, error) {
	if !s.State.Waiting() {
		return Change{}, s.stateError(StateParked)
	}
	n := s.Record
	n.State, n.Reason, n.NotBefore = StateParked, reason, time.Time{}
	return s.changeTo(id, n), nil
}

// Unpark returns a parked task to the queue and resets its count of failures.
func (s Stored) Unpark(id oleandervalve.MutationID) (Change, error) {
	if s.State != StateParked {
		return Change{}, s.stateError(StateQueued)
	}
	n := s.Record
	n.State, n.Reason, n.Attempts = StateQueued, "", 0
	n.LostWorkers, n.LastLossAt = 0, time.Time{}
	return s.changeTo(id, n), nil
}

// withoutWorker returns the record without its worker, after the end of the run.
func (s Stored) withoutWorker(e End) Record {
	n := s.Record
	n.Worker, n.Incarnation, n.Reservation = "", 0, ""
	n.MayHaveRun = n.MayHaveRun || e.Started
	if e.Checkpoint != "" {
		n.Checkpoint = e.Checkpoint
	}
	return n
}

// changeTo returns the change of the task's record to n, conditional on the version
// of its row.
func (s Stored) changeTo(id oleandervalve.MutationID, n Record, extra ...oleandervalve.Condition) Change {
	k := TaskKey(s.Job, s.Task())
	return Change{
		Transaction: oleandervalve.Transaction{
			ID:         id,
			Conditions: append([]oleandervalve.Condition{{Key: k, Version: s.Version}}, extra...),
			Puts:       []oleandervalve.Put{{Key: k, Value: encode(n)}},
		},
		After: n,
	}
}

func (s Stored) stateError(to State) error {
	return &StateError{Task: s.Task(), State: s.State, Epoch: s.Epoch, Change: string(to)}
}
