package scheduler

import (
	"time"

	"oleandervalve"
	"oleandervalve/core/worker"
)

// drain is the state of a draining worker. Once drained is set, the worker's last task
// has left it and the Drained decision has been made.
type drain struct {
	deadline time.Time
	drained  bool
}

// DrainWorker starts migrating tasks off a worker that stops at the deadline.
func (s *Scheduler) DrainWorker(id oleandervalve.WorkerID, deadline time.Time) {
	w := s.fleet.Worker(id)
	if w == nil || s.drains[id] != nil {
		return
	}
	s.drains[id] = &drain{deadline: deadline}
	s.draining = append(s.draining, id)
	if w.State == worker.Ready || w.State == worker.Quarantined || w.State == worker.Evacuated {
		s.fleet.SetState(id, worker.Draining)
	}
}

// CancelDrain ends the drain of a worker, which becomes ready again unless it is
// evacuated or quarantined.
func (s *Scheduler) CancelDrain(id oleandervalve.WorkerID) {
	s.removeDrain(id)
	if w := s.fleet.Worker(id); w != nil && w.State == worker.Draining {
		s.fleet.SetState(id, s.reachableState(id))
	}
}

func (s *Scheduler) removeDrain(id oleandervalve.WorkerID) {
	delete(s.drains, id)
	s.draining = removeWorkerID(s.draining, id)
}

// drainWorkers migrates tasks off the draining workers. It migrates a few tasks at
// a time, and latency-critical tasks of a job one by one, so that a job never
// loses several replicas together. Within ForcePeriod of the deadline these limits
// don't apply.
func (s *Scheduler) drainWorkers(now time.Time) {
	for _, id := range s.draining {
		w, d := s.fleet.Worker(id), s.drains[id]
		if w == nil || d.drained {
			continue
		}
		if len(w.Residents) == 0 {
			d.drained = true
			s.decisions = append(s.decisions, Decision{Action: Drained, Worker: id, Reason: ReasonDrain})
			continue
		}
		forced := !now.Before(d.deadline.Add(-s.config.Drain.ForcePeriod))
		stopping := 0
		for _, r := range w.Residents {
			if r.Stopping {
				stopping++
			}
		}
		for _, r := range w.Residents {
			if r.Stopping || !r.Running {
				continue
			}
			if !forced && (stopping >= s.config.Drain.MaxPerWorker || len(s.migrating) >= s.config.Drain.MaxTotal || !s.canMigrate(r, now)) {
				continue
			}
			stopping++
			s.migrate(r, ReasonDrain)
		}
	}
}

// migrate evicts a task so that it starts on another worker.
func (s *Scheduler) migrate(r *worker.Resident, reason oleandervalve.Reason) {
	s.migrating[r.ID] = true
	s.migratingByJob[r.Job]++
	s.evict(r, reason, 0)
}

// canMigrate reports whether another worker can take the task now and, if it is
// latency-critical, no other task of its job is being migrated or waits as urgent.
func (s *Scheduler) canMigrate(r *worker.Resident, now time.Time) bool {
	if r.LatencyCritical && (s.migratingByJob[r.Job] > 0 || s.queue.byJob[queueKey{r.Job, true}] != nil) {
		return false
	}
	_, ok := s.fleet.ChooseExcluding(r.Task, s.estimate(r.Spec), r.Worker, now)
	return ok
}
