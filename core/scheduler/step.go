package scheduler

import (
	"time"

	"oleandervalve"
	"oleandervalve/core/quota"
	"oleandervalve/core/worker"
)

// Blocked says what a waiting job waits for.
type Blocked string

const (
	// BlockedNot means that the job has not been tried since it was queued.
	BlockedNot Blocked = ""
	// BlockedRoom means that no worker can take the job now.
	BlockedRoom Blocked = "room"
	// BlockedQuota means that its team may not use more.
	BlockedQuota Blocked = "quota"
	// BlockedBackoff means that the job has failed on several workers and waits before its next attempt.
	BlockedBackoff Blocked = "backoff"
	// BlockedInfeasible means that no worker can ever take the job as the workers are now.
	BlockedInfeasible Blocked = "infeasible"
)

// Step returns the decisions for now, with at most limit placements. Reactions
// come first, since they need the newest samples, then moves and probes, then
// urgent work, then the backlog in fair order.
func (s *Scheduler) Step(now time.Time, limit int) []Decision {
	s.out = nil
	s.react(now)
	s.replace(now)
	s.probe(now)
	limit -= s.placeUrgent(now, limit)
	s.placeBacklog(now, limit)
	return s.out
}

// PlaceUrgent returns the decisions for urgent work only, for use as soon as
// urgent work arrives.
func (s *Scheduler) PlaceUrgent(now time.Time, limit int) []Decision {
	s.out = nil
	s.placeUrgent(now, limit)
	return s.out
}

func (s *Scheduler) placeUrgent(now time.Time, limit int) int {
	placed := 0
	for i := 0; i < len(s.queue.urgent) && placed < limit; {
		j := s.queue.urgent[i]
		if !j.eligible(now, s.fleet.Changes()) || !s.try(j, now) {
			i++
			continue
		}
		placed++
		// A job whose last task was placed has left the queue.
	}
	return placed
}

func (s *Scheduler) placeBacklog(now time.Time, limit int) {
	if limit <= 0 {
		return
	}
	tries, efforts := s.config.Queue.Tries, s.config.Queue.Efforts
	f := s.queue.fair(s.ledger, now, s.fleet.Changes())
	for limit > 0 {
		j := f.head()
		if j == nil {
			return
		}
		if s.try(j, now) {
			limit--
			f.settled()
			continue
		}
		if j.blocked == BlockedRoom && efforts > 0 && s.makeRoom(j, now) {
			efforts--
		}
		if tries--; tries <= 0 {
			return
		}
	}
}

// makeRoom tries to make room for a job that has waited long, and reports
// whether workers were compared for it.
func (s *Scheduler) makeRoom(j *waiting, now time.Time) bool {
	held := s.hold(j, now)
	return s.reclaim(j, now) || held
}

// estimate returns the size to reserve for a task.
func (s *Scheduler) estimate(sp *worker.Spec) oleandervalve.Resources {
	if s.config.FirstFit {
		return sp.Declared
	}
	return s.sizes.Estimate(sp.Kind, sp.Declared)
}

// try places the next task of a job. If that fails, the job waits for its next
// attempt and so never holds up others.
func (s *Scheduler) try(j *waiting, now time.Time) bool {
	t := j.tasks[0]
	size := s.estimate(t.Spec)
	claim := s.ledger.Claim(t.Team, size, !t.LatencyCritical)
	if claim == quota.Refused {
		s.postpone(j, BlockedQuota, now)
		return false
	}
	choose := s.fleet.Choose
	if s.config.FirstFit {
		choose = s.fleet.FirstFit
	}
	c, ok := choose(t, size, now)
	if !ok {
		if s.fleet.Infeasible(t, size) {
			s.reportInfeasible(j, t, size, now)
			return false
		}
		s.postpone(j, BlockedRoom, now)
		if j.urgent {
			s.reclaim(j, now)
		}
		return false
	}
	if _, err := s.fleet.Reserve(t, c.Worker.ID, size, now); err != nil {
		s.postpone(j, BlockedRoom, now)
		return false
	}
	s.queue.unhold(j)
	s.queue.pop(j)
	s.queue.team(t.Team).servedAt = now
	j.tries, j.blocked, j.infeasibleAt = 0, BlockedNot, 0
	s.ledger.Charge(t.Team, size, !t.LatencyCritical)
	s.out = append(s.out, Decision{
		Action: Place, Task: t.ID, Epoch: t.Epoch, Job: t.Job, Worker: c.Worker.ID,
		Size: size, Claim: claim, Slowdown: 1 + c.Slowdown,
	})
	return true
}

func (s *Scheduler) postpone(j *waiting, why Blocked, now time.Time) {
	wait := s.config.Queue.UrgentRetry
	if !j.urgent {
		wait = min(s.config.Queue.Retry<<min(j.tries, 16), s.config.Queue.MaxRetry)
	}
	j.tries++
	j.blocked, j.retryAt = why, now.Add(wait)
}

func (s *Scheduler) reportInfeasible(j *waiting, t worker.Task, size oleandervalve.Resources, now time.Time) {
	first := j.blocked != BlockedInfeasible
	j.blocked, j.infeasibleAt = BlockedInfeasible, s.fleet.Changes()+1
	if !first {
		return
	}
	d := s.fleet.Diagnose(t, size, now)
	s.out = append(s.out, Decision{Action: Infeasible, Job: t.Job, Task: t.ID, Size: size, Diagnosis: &d})
}

// reclaim evicts batch tasks of one worker so that a job within its quota
// fits there: only borrowed tasks for the backlog, any for urgent work. It
// chooses the worker where the least unsaved work is lost, and reports whether
// workers were compared.
func (s *Scheduler) reclaim(j *waiting, now time.Time) bool {
	if s.config.FirstFit {
		return false
	}
	t := j.tasks[0]
	size := s.estimate(t.Spec)
	if s.ledger.Claim(t.Team, size, !t.LatencyCritical) != quota.Owned {
		return false
	}
	if j.making > 0 || !j.urgent && !s.deprived(j, now) {
		return false
	}
	var best []*worker.Resident
	var least time.Duration
	var pick []*worker.Resident
	s.fleet.Workers(func(w *worker.Worker) bool {
		if c, _ := s.fleet.Check(w, t, size, now); c != worker.FreeCapacity {
			return true
		}
		var lost time.Duration
		pick, lost = s.sacrifice(w, j, size, pick[:0], now)
		if len(pick) > 0 && (best == nil || lost < least) {
			least = lost
			best = append(best[:0], pick...)
		}
		return true
	})
	reason := ReasonReclaim
	if j.urgent {
		reason = ReasonUrgent
	}
	for _, r := range best {
		s.evict(r, reason, 0)
		s.roomFor[r.ID] = j
		j.making++
	}
	return true
}

// hold keeps the next free capacity of one worker for a job that has waited
// long. Without it small tasks take each piece that gets free, and a large
// task starts only by evicting them.
func (s *Scheduler) hold(j *waiting, now time.Time) bool {
	if j.held != nil && now.After(j.heldUntil) {
		s.queue.unhold(j)
	}
	limit := int(s.config.Queue.HoldShare*float64(s.fleet.Len())) + 1
	if s.config.FirstFit || j.held != nil || s.queue.holds >= limit || now.Sub(s.waitingSince(j)) < s.config.Queue.HoldAfter {
		return false
	}
	t := j.tasks[0]
	size := s.estimate(t.Spec)
	var best *worker.Worker
	var least float64
	s.fleet.Workers(func(w *worker.Worker) bool {
		if c, _ := s.fleet.Check(w, t, size, now); c != worker.FreeCapacity || w.HeldFor != "" {
			return true
		}
		if short := shortage(size, w); best == nil || short < least {
			best, least = w, short
		}
		return true
	})
	if best != nil {
		best.HeldFor = t.Job
		j.held, j.heldUntil = best, now.Add(s.config.Queue.HoldFor)
		s.queue.holds++
	}
	return true
}

// shortage returns the largest missing part of the capacity of a worker over all dimensions.
func shortage(size oleandervalve.Resources, w *worker.Worker) float64 {
	missing := size.Sub(w.Free())
	return max(
		float64(missing.CPU)/float64(max(w.Capacity.CPU, 1)),
		float64(missing.Memory)/float64(max(w.Capacity.Memory, 1)),
		float64(missing.Accelerators)/float64(max(w.Capacity.Accelerators, 1)),
	)
}

// waitingSince returns the time since when the job waits and its team has not been served.
func (s *Scheduler) waitingSince(j *waiting) time.Time {
	if t := s.queue.team(j.spec.Team).servedAt; t.After(j.since) {
		return t
	}
	return j.since
}

// deprived reports whether a job is worth evicting others for. Near the quota,
// or soon after its team was last served, the ordinary turnover settles the
// difference: evicting for each task then exchanged work between teams without
// end (about 600 evictions in two hours on 40 workers).
func (s *Scheduler) deprived(j *waiting, now time.Time) bool {
	c := s.config.Queue
	if j.spec.LatencyCritical {
		return true
	}
	return now.Sub(s.waitingSince(j)) >= c.ReclaimAfter && s.ledger.Share(j.spec.Team) < 1-c.ReclaimMargin
}

// lent reports whether a task runs on a loan that is worth reclaiming.
func (s *Scheduler) lent(r *worker.Resident, size oleandervalve.Resources) bool {
	return s.ledger.Borrows(r.Team, size) && s.ledger.Share(r.Team) > 1+s.config.Queue.ReclaimMargin
}

// sacrifice picks the tasks of a worker that have to go for the size to fit,
// those with the least unsaved work first; none if that is not enough.
func (s *Scheduler) sacrifice(w *worker.Worker, j *waiting, size oleandervalve.Resources, pick []*worker.Resident, now time.Time) ([]*worker.Resident, time.Duration) {
	free := w.Free()
	var lost time.Duration
	for !size.Fits(free) {
		var next *worker.Resident
		for _, r := range w.Residents {
			if !s.evictable(r) || !j.urgent && !s.lent(r, size) || contains(pick, r) || !helps(r.Size, size, free) {
				continue
			}
			if next == nil || r.Unsaved(now) < next.Unsaved(now) {
				next = r
			}
		}
		if next == nil {
			return nil, 0
		}
		pick = append(pick, next)
		free = free.Add(next.Size)
		// Each eviction costs a restart besides the lost work.
		lost += next.Unsaved(now) + 10*time.Second
	}
	return pick, lost
}

// helps reports whether freeing r adds to a dimension that is short.
func helps(r, size, free oleandervalve.Resources) bool {
	return size.CPU > free.CPU && r.CPU > 0 || size.Memory > free.Memory && r.Memory > 0 ||
		size.Accelerators > free.Accelerators && r.Accelerators > 0
}

func contains(rs []*worker.Resident, r *worker.Resident) bool {
	for _, o := range rs {
		if o == r {
			return true
		}
	}
	return false
}

// evictable reports whether a task may be evicted for others, within its budget.
func (s *Scheduler) evictable(r *worker.Resident) bool {
	return !r.LatencyCritical && !r.Leaving && !r.Probe && r.Evictions < s.config.Response.EvictionBudget
}

func (s *Scheduler) evict(r *worker.Resident, why oleandervalve.Reason, slowdown float64) {
	r.Leaving = true
	s.out = append(s.out, Decision{
		Action: Evict, Task: r.ID, Epoch: r.Epoch, Job: r.Job, Worker: r.Worker.ID, Reason: why, Slowdown: slowdown,
	})
}

// probe gives each quarantined worker that is due one batch task, and readmits
// workers whose probe has run long enough.
func (s *Scheduler) probe(now time.Time) {
	// Readmitting changes the list.
	for _, id := range append([]oleandervalve.WorkerID(nil), s.probing...) {
		w := s.fleet.Worker(id)
		if w == nil || w.State != worker.Quarantined {
			continue
		}
		for _, r := range w.Residents {
			if r.Probe && r.Running && now.Sub(r.SavedAt) >= s.config.ProbeTime {
				s.proven(w, r)
				r.Probe = false
				break
			}
		}
		if s.faults.ProbeDue(id, now) {
			s.startProbe(w, now)
		}
	}
}

func (s *Scheduler) startProbe(w *worker.Worker, now time.Time) {
	s.queue.jobs(func(j *waiting) bool {
		if j.urgent || j.spec.LatencyCritical || !j.eligible(now, s.fleet.Changes()) {
			return true
		}
		t := j.tasks[0]
		size := s.estimate(t.Spec)
		claim := s.ledger.Claim(t.Team, size, true)
		if claim == quota.Refused || !s.fleet.Allows(w, t, size) {
			return true
		}
		r, err := s.fleet.Reserve(t, w.ID, size, now)
		if err != nil {
			return true
		}
		s.queue.pop(j)
		r.Probe = true
		s.faults.ProbeStarted(w.ID)
		s.ledger.Charge(t.Team, size, !t.LatencyCritical)
		s.out = append(s.out, Decision{Action: Place, Task: t.ID, Epoch: t.Epoch, Job: t.Job, Worker: w.ID, Size: size, Claim: claim, Probe: true})
		return false
	})
}
