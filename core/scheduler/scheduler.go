package scheduler

import (
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"oleandervalve"
	"oleandervalve/core/interference"
	"oleandervalve/core/quarantine"
	"oleandervalve/core/quota"
	"oleandervalve/core/size"
	"oleandervalve/core/worker"
)

// Scheduler decides on the tasks of one entry. It is not safe for concurrent use.
type Scheduler struct {
	config  Config
	fleet   *worker.Fleet
	model   *interference.Model
	sizes   *size.Model
	ledger  *quota.Ledger
	faults  *quarantine.Tracker
	queue   *queue
	sampled []*worker.Worker // workers with new samples since the last step
	isNew   map[*worker.Worker]bool
	parked  map[oleandervalve.JobID]Parked
	moves   map[oleandervalve.WorkerID]*replacement
	leaving []oleandervalve.WorkerID      // workers to be replaced, in order of arrival
	probing []oleandervalve.WorkerID      // quarantined workers, in order of arrival
	moving  map[oleandervalve.TaskID]bool // evicted for a replacement and not stopped yet
	movedOf map[oleandervalve.JobID]int   // number of them by job
	roomFor map[oleandervalve.TaskID]*waiting
	out     []Decision
}

// Parked is the record of a job that is no longer retried.
type Parked struct {
	Reason  oleandervalve.Reason `json:"reason"`
	Workers int                  `json:"workers"`
	At      time.Time            `json:"at"`
}

// New returns a scheduler without workers, teams and jobs.
func New(c Config) *Scheduler {
	m := interference.NewModel(c.Interference)
	return &Scheduler{
		config: c, model: m, fleet: worker.NewFleet(c.Fleet, m), sizes: size.New(c.Size),
		ledger: quota.NewLedger(), faults: quarantine.New(c.Quarantine), queue: newQueue(),
		isNew: map[*worker.Worker]bool{}, parked: map[oleandervalve.JobID]Parked{},
		moves: map[oleandervalve.WorkerID]*replacement{}, moving: map[oleandervalve.TaskID]bool{},
		movedOf: map[oleandervalve.JobID]int{},
		roomFor: map[oleandervalve.TaskID]*waiting{},
	}
}

// Fleet returns the view of the workers; callers must not change it.
func (s *Scheduler) Fleet() *worker.Fleet { return s.fleet }

// Model returns what was learned of interference.
func (s *Scheduler) Model() *interference.Model { return s.model }

// Sizes returns what was learned of sizes.
func (s *Scheduler) Sizes() *size.Model { return s.sizes }

// Waiting returns the number of tasks in the queue.
func (s *Scheduler) Waiting() int { return s.queue.length }

// SetQuota sets the quota of a team.
func (s *Scheduler) SetQuota(t oleandervalve.TeamID, r oleandervalve.Resources) {
	s.ledger.SetQuota(t, r)
}

// SetUnassigned sets the capacity that is lent to all teams and belongs to none.
func (s *Scheduler) SetUnassigned(r oleandervalve.Resources) { s.ledger.SetUnassigned(r) }

// UpdateWorker adds a worker or changes a known one.
func (s *Scheduler) UpdateWorker(id oleandervalve.WorkerID, loc oleandervalve.Location, l labels.Set, capacity oleandervalve.Resources) {
	s.fleet.Update(id, loc, l, capacity)
	s.faults.SetFleetSize(s.fleet.Len())
}

// Suspect stops new work for a worker that is silent.
func (s *Scheduler) Suspect(id oleandervalve.WorkerID) {
	if w := s.fleet.Worker(id); w != nil && w.State == worker.Ready {
		s.fleet.SetState(id, worker.Suspect)
	}
}

// Heard ends the suspicion of a worker; a worker that drains or is
// quarantined stays so.
func (s *Scheduler) Heard(id oleandervalve.WorkerID) {
	if w := s.fleet.Worker(id); w != nil && w.State == worker.Suspect {
		s.fleet.SetState(id, s.stateOf(id))
	}
}

// stateOf returns the state of a worker that is heard.
func (s *Scheduler) stateOf(id oleandervalve.WorkerID) worker.State {
	switch {
	case s.moves[id] != nil:
		return worker.Draining
	case s.faults.WorkerStatus(id).Quarantined:
		return worker.Quarantined
	}
	return worker.Ready
}

// Gone drops a worker that is confirmed to have ended and queues its tasks again.
func (s *Scheduler) Gone(id oleandervalve.WorkerID, now time.Time) []oleandervalve.TaskID {
	w := s.fleet.Worker(id)
	if w == nil {
		return nil
	}
	var lost []oleandervalve.TaskID
	for _, r := range s.fleet.Remove(id) {
		lost = append(lost, r.ID)
		s.left(r)
		t := r.Task
		t.From = &w.Location
		s.requeue(t, now)
	}
	s.faults.RemoveWorker(id)
	s.faults.SetFleetSize(s.fleet.Len())
	s.forgetMove(id)
	s.probing = without(s.probing, id)
	return lost
}

// Submit queues tasks of a job. Tasks of a parked job wait until Unpark.
func (s *Scheduler) Submit(now time.Time, tasks ...worker.Task) {
	for _, t := range tasks {
		s.queue.add(t, t.Urgent, false, now)
	}
}

// Cancel removes the waiting tasks of a job and returns how many there were.
func (s *Scheduler) Cancel(j oleandervalve.JobID) int {
	n := 0
	for _, urgent := range []bool{true, false} {
		if e := s.queue.byJob[queueKey{j, urgent}]; e != nil {
			n += len(e.tasks)
			s.queue.drop(e)
		}
	}
	delete(s.parked, j)
	s.faults.RemoveJob(j)
	return n
}

// Unpark lets a parked job be tried again; its tasks must be submitted again.
func (s *Scheduler) Unpark(j oleandervalve.JobID) {
	delete(s.parked, j)
	s.faults.Unpark(j)
}

// Adopt records a task that already runs on a worker, as after the restart of an entry.
func (s *Scheduler) Adopt(t worker.Task, w oleandervalve.WorkerID, reserved oleandervalve.Resources, now time.Time) error {
	r, err := s.fleet.Adopt(t, w, reserved, now)
	if err != nil {
		return err
	}
	s.ledger.Charge(t.Team, r.Size, !t.LatencyCritical)
	return nil
}

// Forget drops a task that another entry owns and that has left its worker.
func (s *Scheduler) Forget(t oleandervalve.TaskID, now time.Time) { s.release(t, now) }

// SetEpoch records the epoch under which a placed task runs; samples of other
// epochs are ignored.
func (s *Scheduler) SetEpoch(t oleandervalve.TaskID, e oleandervalve.Epoch) {
	if r := s.fleet.Resident(t); r != nil {
		r.Epoch = e
	}
}

// Started records that a placed task runs.
func (s *Scheduler) Started(t oleandervalve.TaskID, now time.Time) { s.fleet.Start(t, now) }

// Saved records that the work of a running task up to now is in a checkpoint.
func (s *Scheduler) Saved(t oleandervalve.TaskID, now time.Time) {
	if r := s.fleet.Resident(t); r != nil {
		r.SavedAt = now
	}
}

// Refused records that the agent did not accept a placed task; it is queued
// again and takes the same worker only if there is no other.
func (s *Scheduler) Refused(t oleandervalve.TaskID, now time.Time) {
	if r := s.release(t, now); r != nil {
		s.probeLost(r, now)
		task := r.Task
		task.Avoid = r.Worker.ID
		s.requeue(task, now)
	}
}

// Finished records that a task ended with success.
func (s *Scheduler) Finished(t oleandervalve.TaskID, now time.Time) []Decision {
	r := s.release(t, now)
	if r == nil {
		return nil
	}
	s.out = nil
	s.proven(r.Worker, r)
	return s.out
}

// Stopped records that an evicted task has stopped; it is queued again.
func (s *Scheduler) Stopped(t oleandervalve.TaskID, saved time.Duration, now time.Time) {
	r := s.release(t, now)
	if r == nil {
		return
	}
	s.probeLost(r, now)
	task := r.Task
	task.Evictions++
	task.Progress = saved
	loc := r.Worker.Location
	task.From = &loc
	s.requeue(task, now)
}

// Failed records that a task ended with an error and returns what follows for
// its worker and its job.
func (s *Scheduler) Failed(t oleandervalve.TaskID, now time.Time) []Decision {
	r := s.release(t, now)
	if r == nil {
		return nil
	}
	s.out = nil
	v := s.faults.Failed(r.Worker.ID, r.Kind, r.Job, now)
	if !s.config.FirstFit && r.Worker.State == worker.Ready {
		// One start at a time until something succeeds here.
		r.Worker.StartCap = 1
	}
	if v.Quarantine {
		s.probing = append(s.probing, r.Worker.ID)
		if r.Worker.State == worker.Ready {
			s.fleet.SetState(r.Worker.ID, worker.Quarantined)
		}
		s.out = append(s.out, Decision{Action: Quarantine, Worker: r.Worker.ID, Reason: ReasonKinds, Count: v.Kinds})
	}
	if v.Park {
		s.parked[r.Job] = Parked{Reason: ReasonWorkers, Workers: v.Workers, At: now}
		for _, urgent := range []bool{true, false} {
			if e := s.queue.byJob[queueKey{r.Job, urgent}]; e != nil {
				s.queue.drop(e)
			}
		}
		s.out = append(s.out, Decision{Action: Park, Job: r.Job, Task: t, Reason: ReasonWorkers, Count: v.Workers})
	}
	if _, parked := s.parked[r.Job]; !parked {
		task := r.Task
		task.Avoid = r.Worker.ID
		j := s.requeue(task, now)
		if v.RetryAt.After(j.retryAt) {
			j.retryAt, j.blocked = v.RetryAt, BlockedBackoff
		}
	}
	return s.out
}

// proven records a success on a worker.
func (s *Scheduler) proven(w *worker.Worker, r *worker.Resident) {
	if s.faults.Succeeded(w.ID, r.Kind, r.Job) {
		s.probing = without(s.probing, w.ID)
		// It starts one task at a time until the next success.
		w.StartCap = 1
		if w.State == worker.Quarantined {
			s.fleet.SetState(w.ID, s.stateOf(w.ID))
		}
		s.out = append(s.out, Decision{Action: Readmit, Worker: w.ID, Task: r.ID})
		return
	}
	w.StartCap = 0
}

func (s *Scheduler) probeLost(r *worker.Resident, now time.Time) {
	if r.Probe {
		s.faults.ProbeAborted(r.Worker.ID, now)
	}
}

func (s *Scheduler) release(t oleandervalve.TaskID, now time.Time) *worker.Resident {
	r := s.fleet.Release(t, now)
	if r != nil {
		s.left(r)
	}
	return r
}

// left settles the accounts of a task that no longer occupies its worker.
func (s *Scheduler) left(r *worker.Resident) {
	s.ledger.Release(r.Team, r.Size, !r.LatencyCritical)
	if s.moving[r.ID] {
		delete(s.moving, r.ID)
		if s.movedOf[r.Job]--; s.movedOf[r.Job] == 0 {
			delete(s.movedOf, r.Job)
		}
	}
	if h := r.Worker.HeldFor; h != "" {
		if j := s.queue.byJob[queueKey{h, false}]; j != nil && j.blocked == BlockedRoom {
			j.retryAt = time.Time{}
		}
	}
	if j := s.roomFor[r.ID]; j != nil {
		delete(s.roomFor, r.ID)
		j.making--
		j.retryAt = time.Time{}
	}
}

func (s *Scheduler) requeue(t worker.Task, now time.Time) *waiting {
	// A service that has lost its place serves nobody, so it returns as urgent work.
	return s.queue.add(t, t.Urgent || t.LatencyCritical, true, now)
}

func without(ids []oleandervalve.WorkerID, id oleandervalve.WorkerID) []oleandervalve.WorkerID {
	for i := range ids {
		if ids[i] == id {
			return append(ids[:i], ids[i+1:]...)
		}
	}
	return ids
}
