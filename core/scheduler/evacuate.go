package scheduler

import (
	"time"

	"oleandervalve"
	"oleandervalve/core/worker"
)

// SetEvacuations replaces the set of evacuated data centres. Their workers get no
// new tasks; those of other data centres are available at once. The caller takes
// back placements that have not been used with Refused.
func (s *Scheduler) SetEvacuations(list []oleandervalve.DataCentreID) {
	s.evacuated = map[oleandervalve.DataCentreID]bool{}
	for _, dc := range list {
		s.evacuated[dc] = true
	}
	available := false
	s.fleet.Workers(func(w *worker.Worker) bool {
		available = s.updateEvacuated(w) || available
		return true
	})
	if !available {
		return
	}
	// Without this, a job waits up to MaxRetryDelay before it is tried on the workers
	// that have become available.
	s.queue.forEachJob(func(j *waitingJob) bool {
		if j.blocked == BlockedCapacity {
			j.retryAt = time.Time{}
		}
		return true
	})
}

// IsEvacuated reports whether a data centre is evacuated.
func (s *Scheduler) IsEvacuated(dc oleandervalve.DataCentreID) bool { return s.evacuated[dc] }

// isEvacuated reports whether the data centre of a worker is evacuated.
func (s *Scheduler) isEvacuated(id oleandervalve.WorkerID) bool {
	w := s.fleet.Worker(id)
	return w != nil && s.evacuated[w.Location.DataCentre]
}

// updateEvacuated updates the state of a worker after a change of its location or of
// the evacuated data centres, and reports whether its evacuation has ended. A
// draining worker goes on draining, as it has a deadline.
func (s *Scheduler) updateEvacuated(w *worker.Worker) bool {
	evacuated := s.evacuated[w.Location.DataCentre]
	switch {
	case evacuated && (w.State == worker.Ready || w.State == worker.Suspect || w.State == worker.Quarantined):
		s.fleet.SetState(w.ID, worker.Evacuated)
		if j := s.queue.byJob[queueKey{w.EarmarkedFor, false}]; j != nil && j.earmarked == w {
			s.queue.dropEarmark(j)
		}
	case !evacuated && w.State == worker.Evacuated:
		state := s.reachableState(w.ID)
		if state == worker.Ready && s.silent[w.ID] {
			state = worker.Suspect
		}
		s.fleet.SetState(w.ID, state)
		return true
	}
	return false
}

// evacuateWorkers migrates latency-critical tasks out of the evacuated data centres,
// one at a time for each job and within the limits of drains. Batch tasks end by
// themselves, because stopping them discards work. There is no deadline: a task that
// no other worker can take stays.
func (s *Scheduler) evacuateWorkers(now time.Time) {
	if len(s.evacuated) == 0 {
		return
	}
	starting := s.startingJobs()
	s.fleet.Workers(func(w *worker.Worker) bool {
		// The stop of a task on a silent worker can't be confirmed.
		if w.State != worker.Evacuated || s.silent[w.ID] {
			return true
		}
		stopping := 0
		for _, r := range w.Residents {
			if r.Stopping {
				stopping++
			}
		}
		for _, r := range w.Residents {
			if stopping >= s.config.Drain.MaxPerWorker || len(s.migrating) >= s.config.Drain.MaxTotal {
				break
			}
			// Two entries that each counted the other's tasks as migrating could wait
			// for each other without end, so the owner alone moves a task.
			if !r.LatencyCritical || r.Foreign || r.Stopping || !r.Running || starting[r.Job] || !s.canMigrate(r, now) {
				continue
			}
			stopping++
			s.migrate(r, ReasonEvacuating)
		}
		return true
	})
}

// startingJobs returns the jobs with a latency-critical task that is placed but does
// not run yet. Such a job has one task fewer that serves requests.
func (s *Scheduler) startingJobs() map[oleandervalve.JobID]bool {
	out := map[oleandervalve.JobID]bool{}
	s.fleet.Workers(func(w *worker.Worker) bool {
		for _, r := range w.Residents {
			if r.LatencyCritical && !r.Running {
				out[r.Job] = true
			}
		}
		return true
	})
	return out
}

// Evacuation describes what still runs in an evacuated data centre.
type Evacuation struct {
	DataCentre oleandervalve.DataCentreID
	// Workers is the number of known workers of the data centre.
	Workers int
	// Tasks is the number of tasks with a reservation on them, and LatencyCritical
	// the number of latency-critical tasks among them.
	Tasks, LatencyCritical int
}

// Evacuation returns what still runs in a data centre.
func (s *Scheduler) Evacuation(dc oleandervalve.DataCentreID) Evacuation {
	e := Evacuation{DataCentre: dc}
	s.fleet.Workers(func(w *worker.Worker) bool {
		if w.Location.DataCentre != dc {
			return true
		}
		e.Workers++
		e.Tasks += len(w.Residents)
		for _, r := range w.Residents {
			if r.LatencyCritical {
				e.LatencyCritical++
			}
		}
		return true
	})
	return e
}
