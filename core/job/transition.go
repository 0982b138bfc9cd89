package job

import (
	"fmt"
	"time"

	"oleandervalve"
)

// Change is one transition of a task or job as a transaction, with the row
// contents that hold if it is applied.
type Change struct {
	Transaction oleandervalve.Transaction
	After       Record
}

// StateError reports a transition that the state or epoch of a task rules out.
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

// End describes how a run left its worker.
type End struct {
	Run Run
	// Started is false only if it is proven that the run never started.
	Started bool
	// Checkpoint names the checkpoint written by the run, if any.
	Checkpoint string
	Reason     oleandervalve.Reason
	// Conditions are checked with the transition; the takeover from a lost
	// worker passes the expiry of the worker's lease here.
	Conditions []oleandervalve.Condition
}

// Backoff decides when a failed task is attempted again.
type Backoff struct {
	First time.Duration
	Max   time.Duration
	// Attempts is the number of failures after which the task is parked.
	Attempts int
}

// DefaultBackoff gives up after about five minutes: 5 + 10 + 20 + 40 + 80 + 160 s.
var DefaultBackoff = Backoff{First: 5 * time.Second, Max: 5 * time.Minute, Attempts: 7}

// Delay returns the wait after the given number of failures, counted from 1.
func (b Backoff) Delay(failures int) time.Duration {
	d := b.First
	for i := 1; i < failures && d < b.Max; i++ {
		d *= 2
	}
	return min(d, b.Max)
}

// Create returns the transaction that submits a job with its tasks.
func Create(id oleandervalve.MutationID, g Group, records []Record) oleandervalve.Transaction {
	g.Tasks = len(records)
	t := oleandervalve.Transaction{ID: id}
	put := func(k oleandervalve.Key, v any) {
		t.Conditions = append(t.Conditions, oleandervalve.Condition{Key: k})
		t.Puts = append(t.Puts, oleandervalve.Put{Key: k, Value: encode(v)})
	}
	put(GroupKey(g.Job), g)
	for _, r := range records {
		r.Job, r.State, r.Epoch = g.Job, StateQueued, 0
		put(TaskKey(g.Job, r.Task()), r)
	}
	return t
}

// Cancel returns the transaction that marks a job as cancelled.
func (g StoredGroup) Cancel(id oleandervalve.MutationID, by oleandervalve.EntryID, why oleandervalve.Reason) oleandervalve.Transaction {
	n := g.Group
	n.Cancelled, n.By, n.Reason = true, by, why
	k := GroupKey(g.Job)
	return oleandervalve.Transaction{
		ID:         id,
		Conditions: []oleandervalve.Condition{{Key: k, Version: g.Version}},
		Puts:       []oleandervalve.Put{{Key: k, Value: encode(n)}},
	}
}

// Grant is an agent's reservation for a run.
type Grant struct {
	Worker      oleandervalve.WorkerID
	Incarnation Incarnation
	Reservation oleandervalve.MutationID
}

// Assign binds a waiting task to a worker under the next epoch. It is
// conditional on the job's row, so no task is assigned after a cancellation.
func (s Stored) Assign(now time.Time, id oleandervalve.MutationID, g Grant, j StoredGroup) (Change, error) {
	if !s.State.Waiting() || j.Cancelled || j.Job != s.Job || now.Before(s.NotBefore) {
		return Change{}, s.refuse(StateAssigned)
	}
	n := s.Record
	n.State, n.Epoch, n.Worker = StateAssigned, s.Epoch+1, g.Worker
	n.Incarnation, n.Reservation = g.Incarnation, g.Reservation
	n.NotBefore, n.Reason = time.Time{}, ""
	return s.change(id, n, oleandervalve.Condition{Key: GroupKey(j.Job), Version: j.Version}), nil
}

// Started records that the worker runs the current epoch.
func (s Stored) Started(id oleandervalve.MutationID, r Run) (Change, error) {
	if s.State != StateAssigned || r != s.Run() {
		return Change{}, s.refuse(StateRunning)
	}
	n := s.Record
	n.State, n.MayHaveRun = StateRunning, true
	return s.change(id, n), nil
}

// BeginEviction records the decision to evict, so that a later owner carries it out.
func (s Stored) BeginEviction(id oleandervalve.MutationID, r Run, why oleandervalve.Reason) (Change, error) {
	if s.State != StateRunning || r != s.Run() {
		return Change{}, s.refuse(StateCheckpointing)
	}
	n := s.Record
	n.State, n.Reason = StateCheckpointing, why
	return s.change(id, n), nil
}

// Evicted records that an evicted run has stopped; only this counts an eviction.
func (s Stored) Evicted(id oleandervalve.MutationID, e End) (Change, error) {
	if s.State != StateCheckpointing || e.Run != s.Run() {
		return Change{}, s.refuse(StateEvicted)
	}
	n := s.leave(e)
	n.State, n.Reason = StateEvicted, s.Reason
	n.Evictions++
	return s.change(id, n), nil
}

// Requeue returns a task to the queue whose run ended through no fault of its
// own. It is not an eviction and not a failure.
func (s Stored) Requeue(id oleandervalve.MutationID, e End) (Change, error) {
	if !s.State.Placed() || e.Run != s.Run() {
		return Change{}, s.refuse(StateQueued)
	}
	n := s.leave(e)
	n.State, n.Reason = StateQueued, e.Reason
	return s.change(id, n, e.Conditions...), nil
}

// Finish records the success of a run.
func (s Stored) Finish(id oleandervalve.MutationID, e End) (Change, error) {
	if !s.State.Placed() || e.Run != s.Run() {
		return Change{}, s.refuse(StateFinished)
	}
	n := s.leave(e)
	n.State, n.MayHaveRun, n.Reason = StateFinished, true, ""
	return s.change(id, n), nil
}

// Fail records the failure of a run and sets the next attempt or parks the task.
func (s Stored) Fail(now time.Time, id oleandervalve.MutationID, e End, b Backoff) (Change, error) {
	if !s.State.Placed() || e.Run != s.Run() {
		return Change{}, s.refuse(StateFailed)
	}
	n := s.leave(e)
	n.State, n.MayHaveRun, n.Reason = StateFailed, true, e.Reason
	n.Attempts++
	n.NotBefore = now.Add(b.Delay(n.Attempts)).Round(0)
	if n.Attempts >= b.Attempts {
		n.State, n.NotBefore = StateParked, time.Time{}
	}
	return s.change(id, n), nil
}

// Cancel records that a placed task of a cancelled job has left its worker.
// Tasks that wait need no write: the job's mark covers them.
func (s Stored) Cancel(id oleandervalve.MutationID, e End, j StoredGroup) (Change, error) {
	if !s.State.Placed() || e.Run != s.Run() || !j.Cancelled || j.Job != s.Job {
		return Change{}, s.refuse(StateCancelled)
	}
	n := s.leave(e)
	n.State, n.Reason = StateCancelled, j.Reason
	return s.change(id, n, e.Conditions...), nil
}

// Park takes a waiting task out of the queue with the reason, such as the
// constraint that makes it infeasible.
func (s Stored) Park(id oleandervalve.MutationID, why oleandervalve.Reason) (Change, error) {
	if !s.State.Waiting() {
		return Change{}, s.refuse(StateParked)
	}
	n := s.Record
	n.State, n.Reason, n.NotBefore = StateParked, why, time.Time{}
	return s.change(id, n), nil
}

// Unpark returns a parked task to the queue and forgives its failures.
func (s Stored) Unpark(id oleandervalve.MutationID) (Change, error) {
	if s.State != StateParked {
		return Change{}, s.refuse(StateQueued)
	}
	n := s.Record
	n.State, n.Reason, n.Attempts = StateQueued, "", 0
	return s.change(id, n), nil
}

// leave returns the record without its worker, after the end of the run.
func (s Stored) leave(e End) Record {
	n := s.Record
	n.Worker, n.Incarnation, n.Reservation = "", 0, ""
	n.MayHaveRun = n.MayHaveRun || e.Started
	if e.Checkpoint != "" {
		n.Checkpoint = e.Checkpoint
	}
	return n
}

func (s Stored) change(id oleandervalve.MutationID, n Record, also ...oleandervalve.Condition) Change {
	k := TaskKey(s.Job, s.Task())
	return Change{
		Transaction: oleandervalve.Transaction{
			ID:         id,
			Conditions: append([]oleandervalve.Condition{{Key: k, Version: s.Version}}, also...),
			Puts:       []oleandervalve.Put{{Key: k, Value: encode(n)}},
		},
		After: n,
	}
}

func (s Stored) refuse(to State) error {
	return &StateError{Task: s.Task(), State: s.State, Epoch: s.Epoch, Change: string(to)}
}
