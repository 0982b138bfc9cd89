package scheduler

import (
	"time"

	"oleandervalve"
	"oleandervalve/core/worker"
)

type replacement struct {
	deadline time.Time
	vacated  bool
}

// Replace starts moving work off a worker that ends at the deadline.
func (s *Scheduler) Replace(id oleandervalve.WorkerID, deadline time.Time) {
	w := s.fleet.Worker(id)
	if w == nil || s.moves[id] != nil {
		return
	}
	s.moves[id] = &replacement{deadline: deadline}
	s.leaving = append(s.leaving, id)
	if w.State == worker.Ready || w.State == worker.Quarantined {
		s.fleet.SetState(id, worker.Draining)
	}
}

// KeepWorker withdraws a replacement.
func (s *Scheduler) KeepWorker(id oleandervalve.WorkerID) {
	s.forgetMove(id)
	if w := s.fleet.Worker(id); w != nil && w.State == worker.Draining {
		s.fleet.SetState(id, s.stateOf(id))
	}
}

func (s *Scheduler) forgetMove(id oleandervalve.WorkerID) {
	delete(s.moves, id)
	s.leaving = without(s.leaving, id)
}

// replace moves tasks off the workers to be replaced, a few at a time and at
// most one task of a service at once, so that no service loses its replicas together.
func (s *Scheduler) replace(now time.Time) {
	for _, id := range s.leaving {
		w, m := s.fleet.Worker(id), s.moves[id]
		if w == nil || m.vacated {
			continue
		}
		if len(w.Residents) == 0 {
			m.vacated = true
			s.out = append(s.out, Decision{Action: Vacated, Worker: id, Reason: ReasonReplace})
			continue
		}
		final := !now.Before(m.deadline.Add(-s.config.Replace.Final))
		here := 0
		for _, r := range w.Residents {
			if r.Leaving {
				here++
			}
		}
		for _, r := range w.Residents {
			if r.Leaving || !r.Running {
				continue
			}
			if !final && (here >= s.config.Replace.PerWorker || len(s.moving) >= s.config.Replace.Total || !s.mayMove(r, now)) {
				continue
			}
			here++
			s.moving[r.ID] = true
			s.movedOf[r.Job]++
			s.evict(r, ReasonReplace, 0)
		}
	}
}

// mayMove reports whether another worker can take the task now and no other
// task of the same service is on the move.
func (s *Scheduler) mayMove(r *worker.Resident, now time.Time) bool {
	if r.LatencyCritical && (s.movedOf[r.Job] > 0 || s.queue.byJob[queueKey{r.Job, true}] != nil) {
		return false
	}
	_, ok := s.fleet.ChooseOther(r.Task, s.estimate(r.Spec), r.Worker, now)
	return ok
}
