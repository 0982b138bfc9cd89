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

// Scheduler makes the decisions on the tasks of one entry. It is not safe for
// concurrent use.
type Scheduler struct {
	config         Config
	fleet          *worker.Fleet
	model          *interference.Model
	sizes          *size.Model
	ledger         *quota.Ledger
	faultTracker   *quarantine.Tracker
	queue          *queue
	sampled        []*worker.Worker // workers with new samples since the last step
	hasNewSamples  map[*worker.Worker]bool
	parked         map[oleandervalve.JobID]Parked
	drains         map[oleandervalve.WorkerID]*drain
	draining       []oleandervalve.WorkerID             // draining workers, in order of the requests
	evacuated      map[oleandervalve.DataCentreID]bool  // evacuated data centres
	silent         map[oleandervalve.WorkerID]bool      // workers whose heartbeats are missing
	quarantined    []oleandervalve.WorkerID             // quarantined workers, the longest quarantined first
	migrating      map[oleandervalve.TaskID]bool        // evicted by a drain and not stopped yet
	migratingByJob map[oleandervalve.JobID]int          // number of migrating tasks by job
	evictedFor     map[oleandervalve.TaskID]*waitingJob // the job that each evicted task frees capacity for
	decisions      []Decision
}

// Parked says why and when a job was parked, that is, taken out of retries.
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
		ledger: quota.NewLedger(), faultTracker: quarantine.New(c.Quarantine), queue: newQueue(),
		hasNewSamples: map[*worker.Worker]bool{}, parked: map[oleandervalve.JobID]Parked{},
		drains: map[oleandervalve.WorkerID]*drain{}, migrating: map[oleandervalve.TaskID]bool{},
		migratingByJob: map[oleandervalve.JobID]int{}, silent: map[oleandervalve.WorkerID]bool{},
		evictedFor: map[oleandervalve.TaskID]*waitingJob{},
	}
}

// Fleet returns the state of the workers; callers must not change it.
func (s *Scheduler) Fleet() *worker.Fleet { return s.fleet }

// Model returns the interference model.
func (s *Scheduler) Model() *interference.Model { return s.model }

// Sizes returns the model of task sizes.
func (s *Scheduler) Sizes() *size.Model { return s.sizes }

// WaitingTasks returns the number of tasks in the queue.
func (s *Scheduler) WaitingTasks() int { return s.queue.taskCount }

// SetQuota sets the quota of a team.
func (s *Scheduler) SetQuota(t oleandervalve.TeamID, r oleandervalve.Resources) {
	s.ledger.SetQuota(t, r)
}

// SetUnassigned sets the capacity that belongs to no team and that all may borrow.
func (s *Scheduler) SetUnassigned(r oleandervalve.Resources) { s.ledger.SetUnassigned(r) }

// UpdateWorker adds a worker or updates a known one.
func (s *Scheduler) UpdateWorker(id oleandervalve.WorkerID, loc oleandervalve.Location, l labels.Set, capacity oleandervalve.Resources) {
	s.updateEvacuated(s.fleet.Update(id, loc, l, capacity))
	s.faultTracker.SetFleetSize(s.fleet.Len())
}

// Suspect stops placing tasks on a worker whose heartbeats are missing.
func (s *Scheduler) Suspect(id oleandervalve.WorkerID) {
	w := s.fleet.Worker(id)
	if w == nil {
		return
	}
	s.silent[id] = true
	if w.State == worker.Ready {
		s.fleet.SetState(id, worker.Suspect)
	}
}

// HeartbeatReceived makes a suspect worker available again; a worker that drains,
// is evacuated or quarantined stays so.
func (s *Scheduler) HeartbeatReceived(id oleandervalve.WorkerID) {
	delete(s.silent, id)
	if w := s.fleet.Worker(id); w != nil && w.State == worker.Suspect {
		s.fleet.SetState(id, s.reachableState(id))
	}
}

// reachableState returns the state of a worker whose heartbeats arrive.
func (s *Scheduler) reachableState(id oleandervalve.WorkerID) worker.State {
	switch {
	case s.drains[id] != nil:
		return worker.Draining
	case s.isEvacuated(id):
		return worker.Evacuated
	case s.faultTracker.WorkerStatus(id).Quarantined:
		return worker.Quarantined
	}
	return worker.Ready
}

// WorkerTerminated removes a worker that is confirmed to have terminated, queues
// its tasks again and returns their IDs.
func (s *Scheduler) WorkerTerminated(id oleandervalve.WorkerID, now time.Time) []oleandervalve.TaskID {
	w := s.fleet.Worker(id)
	if w == nil {
		return nil
	}
	var requeued []oleandervalve.TaskID
	for _, r := range s.fleet.Remove(id) {
		requeued = append(requeued, r.ID)
		s.releaseAccounting(r)
		t := r.Task
		t.LastLocation = &w.Location
		s.requeue(t, now)
	}
	s.faultTracker.RemoveWorker(id)
	s.faultTracker.SetFleetSize(s.fleet.Len())
	s.removeDrain(id)
	delete(s.silent, id)
	s.quarantined = removeWorkerID(s.quarantined, id)
	return requeued
}

// Submit queues tasks of a job. It doesn't check whether the job is parked.
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
			s.queue.removeJob(e)
		}
	}
	delete(s.parked, j)
	s.faultTracker.RemoveJob(j)
	return n
}

// Unpark lets a parked job be tried again; its tasks must be submitted again.
func (s *Scheduler) Unpark(j oleandervalve.JobID) {
	delete(s.parked, j)
	s.faultTracker.Unpark(j)
}

// Adopt records a task that already runs on a worker, as after a restart of the entry.
func (s *Scheduler) Adopt(t worker.Task, w oleandervalve.WorkerID, reserved oleandervalve.Resources, now time.Time) error {
	r, err := s.fleet.Adopt(t, w, reserved, now)
	if err != nil {
		return err
	}
	s.ledger.Charge(t.Team, r.Size, !t.LatencyCritical)
	return nil
}

// RemoveTask discards a task that another entry owns and that has left its worker.
func (s *Scheduler) RemoveTask(t oleandervalve.TaskID, now time.Time) { s.release(t, now) }

// SetEpoch records the epoch under which a placed task runs; samples of other
// epochs are ignored.
func (s *Scheduler) SetEpoch(t oleandervalve.TaskID, e oleandervalve.Epoch) {
	if r := s.fleet.Resident(t); r != nil {
		r.Epoch = e
	}
}

// Started records that a placed task runs.
func (s *Scheduler) Started(t oleandervalve.TaskID, now time.Time) { s.fleet.Start(t, now) }

// Checkpointed records that a checkpoint holds the work of a running task up to now.
func (s *Scheduler) Checkpointed(t oleandervalve.TaskID, now time.Time) {
	if r := s.fleet.Resident(t); r != nil {
		r.CheckpointedAt = now
	}
}

// Refused records that the agent did not accept a placed task. The task is queued
// again and returns to the same worker only if there is no other.
func (s *Scheduler) Refused(t oleandervalve.TaskID, now time.Time) {
	if r := s.release(t, now); r != nil {
		s.abortProbe(r, now)
		task := r.Task
		task.LastFailedWorker = r.Worker.ID
		s.requeue(task, now)
	}
}

// Finished records that a task succeeded, and returns the decisions that follow
// for its worker.
func (s *Scheduler) Finished(t oleandervalve.TaskID, now time.Time) []Decision {
	r := s.release(t, now)
	if r == nil {
		return nil
	}
	s.decisions = nil
	s.recordSuccess(r.Worker, r)
	return s.decisions
}

// Stopped records that an evicted task has stopped, with the work that its last
// checkpoint holds. The task is queued again.
func (s *Scheduler) Stopped(t oleandervalve.TaskID, checkpointed time.Duration, now time.Time) {
	r := s.release(t, now)
	if r == nil {
		return
	}
	s.abortProbe(r, now)
	task := r.Task
	task.Evictions++
	task.CheckpointedWork = checkpointed
	loc := r.Worker.Location
	task.LastLocation = &loc
	s.requeue(task, now)
}

// Failed records that a task ended with an error, and returns the decisions that
// follow for its worker and its job.
func (s *Scheduler) Failed(t oleandervalve.TaskID, now time.Time) []Decision {
	r := s.release(t, now)
	if r == nil {
		return nil
	}
	s.decisions = nil
	verdict := s.faultTracker.Failed(r.Worker.ID, r.Kind, r.Job, now)
	if !s.config.FirstFit && r.Worker.State == worker.Ready {
		// Start one task at a time until a task succeeds on this worker.
		r.Worker.StartCap = 1
	}
	if verdict.Quarantine {
		s.quarantined = append(s.quarantined, r.Worker.ID)
		if r.Worker.State == worker.Ready {
			s.fleet.SetState(r.Worker.ID, worker.Quarantined)
		}
		s.decisions = append(s.decisions, Decision{Action: Quarantine, Worker: r.Worker.ID, Reason: ReasonFaultyWorker, Count: verdict.Kinds})
	}
	if verdict.Park {
		s.parked[r.Job] = Parked{Reason: ReasonFaultyJob, Workers: verdict.Workers, At: now}
		for _, urgent := range []bool{true, false} {
			if e := s.queue.byJob[queueKey{r.Job, urgent}]; e != nil {
				s.queue.removeJob(e)
			}
		}
		s.decisions = append(s.decisions, Decision{Action: Park, Job: r.Job, Task: t, Reason: ReasonFaultyJob, Count: verdict.Workers})
	}
	if _, parked := s.parked[r.Job]; !parked {
		task := r.Task
		task.LastFailedWorker = r.Worker.ID
		j := s.requeue(task, now)
		if verdict.RetryAt.After(j.retryAt) {
			j.retryAt, j.blocked = verdict.RetryAt, BlockedBackoff
		}
	}
	return s.decisions
}

// recordSuccess records that a task succeeded on a worker, and readmits the worker
// if the task was its probe.
func (s *Scheduler) recordSuccess(w *worker.Worker, r *worker.Resident) {
	if s.faultTracker.Succeeded(w.ID, r.Kind, r.Job) {
		s.quarantined = removeWorkerID(s.quarantined, w.ID)
		// A readmitted worker starts one task at a time until the next success.
		w.StartCap = 1
		if w.State == worker.Quarantined {
			s.fleet.SetState(w.ID, s.reachableState(w.ID))
		}
		s.decisions = append(s.decisions, Decision{Action: Readmit, Worker: w.ID, Task: r.ID})
		return
	}
	w.StartCap = 0
}

// abortProbe records that a probe ended without an outcome, if the task is a probe.
func (s *Scheduler) abortProbe(r *worker.Resident, now time.Time) {
	if r.Probe {
		s.faultTracker.ProbeAborted(r.Worker.ID, now)
	}
}

// release removes a task from its worker and releases its quota. It returns nil if the
// task is on no worker.
func (s *Scheduler) release(t oleandervalve.TaskID, now time.Time) *worker.Resident {
	r := s.fleet.Release(t, now)
	if r != nil {
		s.releaseAccounting(r)
	}
	return r
}

// releaseAccounting releases the quota of a task that no longer occupies its worker.
// Jobs that wait for the capacity of the worker or of the task may be tried again at
// once.
func (s *Scheduler) releaseAccounting(r *worker.Resident) {
	s.ledger.Release(r.Team, r.Size, !r.LatencyCritical)
	if s.migrating[r.ID] {
		delete(s.migrating, r.ID)
		if s.migratingByJob[r.Job]--; s.migratingByJob[r.Job] == 0 {
			delete(s.migratingByJob, r.Job)
		}
	}
	if job := r.Worker.EarmarkedFor; job != "" {
		if j := s.queue.byJob[queueKey{job, false}]; j != nil && j.blocked == BlockedCapacity {
			j.retryAt = time.Time{}
		}
	}
	if j := s.evictedFor[r.ID]; j != nil {
		delete(s.evictedFor, r.ID)
		j.pendingEvictions--
		j.retryAt = time.Time{}
	}
}

// requeue returns a task to the queue, ahead of the other tasks of its job.
func (s *Scheduler) requeue(t worker.Task, now time.Time) *waitingJob {
	// A latency-critical task without a worker serves no requests, so it returns as
	// urgent work.
	return s.queue.add(t, t.Urgent || t.LatencyCritical, true, now)
}

func removeWorkerID(ids []oleandervalve.WorkerID, id oleandervalve.WorkerID) []oleandervalve.WorkerID {
	for i := range ids {
		if ids[i] == id {
			return append(ids[:i], ids[i+1:]...)
		}
	}
	return ids
}
