package scheduler

import (
	"time"

	"oleandervalve"
	"oleandervalve/core/quota"
	"oleandervalve/core/worker"
)

// BlockedReason says what a waiting job waits for.
type BlockedReason string

const (
	// NotBlocked means that no attempt has failed since the job was queued or placed a task.
	NotBlocked BlockedReason = ""
	// BlockedCapacity means that no worker can take the job now.
	BlockedCapacity BlockedReason = "room"
	// BlockedQuota means that neither the quota of the job's team nor borrowed quota
	// covers the job.
	BlockedQuota BlockedReason = "quota"
	// BlockedBackoff means that the job has failed on several workers and waits before its next attempt.
	BlockedBackoff BlockedReason = "backoff"
	// BlockedInfeasible means that no current worker can run the job, however much
	// capacity becomes free.
	BlockedInfeasible BlockedReason = "infeasible"
)

// Step returns the decisions for now, with at most limit placements from the queue.
// Decisions on usage samples come first, since they need the newest samples, then
// drains, evacuations and probes, then urgent work, then the backlog in fair order.
func (s *Scheduler) Step(now time.Time, limit int) []Decision {
	s.decisions = nil
	s.processSamples(now)
	s.drainWorkers(now)
	s.evacuateWorkers(now)
	s.updateProbes(now)
	limit -= s.placeUrgent(now, limit)
	s.placeBacklog(now, limit)
	return s.decisions
}

// PlaceUrgent returns the decisions for urgent work only; call it as soon as
// urgent work arrives.
func (s *Scheduler) PlaceUrgent(now time.Time, limit int) []Decision {
	s.decisions = nil
	s.placeUrgent(now, limit)
	return s.decisions
}

// placeUrgent places urgent tasks in order of arrival and returns how many.
func (s *Scheduler) placeUrgent(now time.Time, limit int) int {
	placed := 0
	for i := 0; i < len(s.queue.urgent) && placed < limit; {
		j := s.queue.urgent[i]
		if !j.eligible(now, s.fleet.Changes()) || !s.tryPlace(j, now) {
			i++
			continue
		}
		placed++
		// i stays: the job has more tasks, or it has left the queue and the next one moved up.
	}
	return placed
}

// placeBacklog places waiting tasks that are not urgent in fair order, with at most MaxAttempts failed
// attempts.
func (s *Scheduler) placeBacklog(now time.Time, limit int) {
	if limit <= 0 {
		return
	}
	attempts, scans := s.config.Queue.MaxAttempts, s.config.Queue.MaxReclaimScans
	f := s.queue.fairOrder(s.ledger, now, s.fleet.Changes())
	for limit > 0 {
		j := f.peek()
		if j == nil {
			return
		}
		if s.tryPlace(j, now) {
			limit--
			f.reorder()
			continue
		}
		if j.blocked == BlockedCapacity && scans > 0 && s.freeCapacityFor(j, now) {
			scans--
		}
		if attempts--; attempts <= 0 {
			return
		}
	}
}

// freeCapacityFor earmarks or reclaims capacity for a job that has waited long,
// and reports whether workers were scanned for it.
func (s *Scheduler) freeCapacityFor(j *waitingJob, now time.Time) bool {
	scanned := s.earmark(j, now)
	return s.reclaim(j, now) || scanned
}

// estimate returns the size to reserve for a task.
func (s *Scheduler) estimate(sp *worker.Spec) oleandervalve.Resources {
	if s.config.FirstFit {
		return sp.Declared
	}
	return s.sizes.Estimate(sp.Kind, sp.Declared)
}

// tryPlace places the next task of a job and reports whether it did. After a failure,
// the job waits for its next attempt and so never blocks others.
func (s *Scheduler) tryPlace(j *waitingJob, now time.Time) bool {
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
		s.postpone(j, BlockedCapacity, now)
		if j.urgent {
			s.reclaim(j, now)
		}
		return false
	}
	if _, err := s.fleet.Reserve(t, c.Worker.ID, size, now); err != nil {
		s.postpone(j, BlockedCapacity, now)
		return false
	}
	s.queue.dropEarmark(j)
	s.queue.pop(j)
	s.queue.team(t.Team).servedAt = now
	j.attempts, j.blocked, j.infeasibleAt = 0, NotBlocked, 0
	s.ledger.Charge(t.Team, size, !t.LatencyCritical)
	s.decisions = append(s.decisions, Decision{
		Action: Place, Task: t.ID, Epoch: t.Epoch, Job: t.Job, Worker: c.Worker.ID,
		Size: size, Claim: claim, Slowdown: 1 + c.Slowdown,
	})
	return true
}

// postpone records why an attempt to place a job failed and sets the time of the next.
func (s *Scheduler) postpone(j *waitingJob, reason BlockedReason, now time.Time) {
	wait := s.config.Queue.UrgentRetryDelay
	if !j.urgent {
		wait = min(s.config.Queue.RetryDelay<<min(j.attempts, 16), s.config.Queue.MaxRetryDelay)
	}
	j.attempts++
	j.blocked, j.retryAt = reason, now.Add(wait)
}

// reportInfeasible keeps a job from being tried until the fleet changes. It adds a
// decision only if the last attempt did not find the job infeasible.
func (s *Scheduler) reportInfeasible(j *waitingJob, t worker.Task, size oleandervalve.Resources, now time.Time) {
	first := j.blocked != BlockedInfeasible
	j.blocked, j.infeasibleAt = BlockedInfeasible, s.fleet.Changes()+1
	if !first {
		return
	}
	d := s.fleet.Diagnose(t, size, now)
	s.decisions = append(s.decisions, Decision{Action: Infeasible, Job: t.Job, Task: t.ID, Size: size, Diagnosis: &d})
}

// reclaim evicts batch tasks of one worker so that a job within its team's quota
// fits there: any batch tasks for urgent work, otherwise only those on borrowed
// quota. It chooses the worker where the least work since the last checkpoints is
// lost, and reports whether workers were scanned.
func (s *Scheduler) reclaim(j *waitingJob, now time.Time) bool {
	if s.config.FirstFit {
		return false
	}
	t := j.tasks[0]
	size := s.estimate(t.Spec)
	if s.ledger.Claim(t.Team, size, !t.LatencyCritical) != quota.Owned {
		return false
	}
	if j.pendingEvictions > 0 || !j.urgent && !s.isUnderserved(j, now) {
		return false
	}
	var best []*worker.Resident
	var minLostWork time.Duration
	var victims []*worker.Resident
	s.fleet.Workers(func(w *worker.Worker) bool {
		if c, _ := s.fleet.Check(w, t, size, now); c != worker.FreeCapacity {
			return true
		}
		var lostWork time.Duration
		victims, lostWork = s.selectVictims(w, j, size, victims[:0], now)
		if len(victims) > 0 && (best == nil || lostWork < minLostWork) {
			minLostWork = lostWork
			best = append(best[:0], victims...)
		}
		return true
	})
	reason := ReasonQuotaReclaimed
	if j.urgent {
		reason = ReasonUrgentWork
	}
	for _, r := range best {
		s.evict(r, reason, 0)
		s.evictedFor[r.ID] = j
		j.pendingEvictions++
	}
	return true
}

// earmark reserves the next free capacity of one worker for a job that has waited
// long, and reports whether workers were scanned. Without earmarks, small tasks take
// each piece of capacity that becomes free, and a large task starts only by evicting
// them.
func (s *Scheduler) earmark(j *waitingJob, now time.Time) bool {
	if j.earmarked != nil && now.After(j.earmarkedUntil) {
		s.queue.dropEarmark(j)
	}
	limit := int(s.config.Queue.MaxEarmarkedShare*float64(s.fleet.Len())) + 1
	if s.config.FirstFit || j.earmarked != nil || s.queue.earmarks >= limit || now.Sub(s.waitingSince(j)) < s.config.Queue.EarmarkAfter {
		return false
	}
	t := j.tasks[0]
	size := s.estimate(t.Spec)
	var best *worker.Worker
	var minShortage float64
	s.fleet.Workers(func(w *worker.Worker) bool {
		if c, _ := s.fleet.Check(w, t, size, now); c != worker.FreeCapacity || w.EarmarkedFor != "" {
			return true
		}
		if missing := shortage(size, w); best == nil || missing < minShortage {
			best, minShortage = w, missing
		}
		return true
	})
	if best != nil {
		best.EarmarkedFor = t.Job
		j.earmarked, j.earmarkedUntil = best, now.Add(s.config.Queue.EarmarkTimeout)
		s.queue.earmarks++
	}
	return true
}

// shortage returns the largest missing amount of any resource, as a fraction of
// the worker's capacity.
func shortage(size oleandervalve.Resources, w *worker.Worker) float64 {
	missing := size.Sub(w.Free())
	return max(
		float64(missing.CPU)/float64(max(w.Capacity.CPU, 1)),
		float64(missing.Memory)/float64(max(w.Capacity.Memory, 1)),
		float64(missing.Accelerators)/float64(max(w.Capacity.Accelerators, 1)),
	)
}

// waitingSince returns the time since when the job has waited without a placement of
// any task of its team.
func (s *Scheduler) waitingSince(j *waitingJob) time.Time {
	if t := s.queue.team(j.spec.Team).servedAt; t.After(j.queuedAt) {
		return t
	}
	return j.queuedAt
}

// isUnderserved reports whether tasks of other teams may be evicted for a job. Near the
// quota, or soon after a placement of its team, tasks that finish close the gap. If
// tasks were evicted for each waiting task, teams would evict each other's tasks without
// end (about 600 evictions in two simulated hours on 40 workers).
func (s *Scheduler) isUnderserved(j *waitingJob, now time.Time) bool {
	c := s.config.Queue
	if j.spec.LatencyCritical {
		return true
	}
	return now.Sub(s.waitingSince(j)) >= c.ReclaimAfter && s.ledger.Share(j.spec.Team) < 1-c.ReclaimMargin
}

// isReclaimable reports whether a task runs on borrowed quota and its team exceeds
// its quota by more than the margin.
func (s *Scheduler) isReclaimable(r *worker.Resident, size oleandervalve.Resources) bool {
	return s.ledger.Borrows(r.Team, size) && s.ledger.Share(r.Team) > 1+s.config.Queue.ReclaimMargin
}

// selectVictims selects the tasks of a worker to evict so that the size fits, those
// with the least work since their last checkpoint first; none if that is not enough.
func (s *Scheduler) selectVictims(w *worker.Worker, j *waitingJob, size oleandervalve.Resources, victims []*worker.Resident, now time.Time) ([]*worker.Resident, time.Duration) {
	free := w.Free()
	var lostWork time.Duration
	for !size.Fits(free) {
		var next *worker.Resident
		for _, r := range w.Residents {
			if !s.isEvictable(r) || !j.urgent && !s.isReclaimable(r, size) || contains(victims, r) || !reducesShortage(r.Size, size, free) {
				continue
			}
			if next == nil || r.WorkSinceCheckpoint(now) < next.WorkSinceCheckpoint(now) {
				next = r
			}
		}
		if next == nil {
			return nil, 0
		}
		victims = append(victims, next)
		free = free.Add(next.Size)
		// Each eviction also costs a restart, counted as 10 s.
		lostWork += next.WorkSinceCheckpoint(now) + 10*time.Second
	}
	return victims, lostWork
}

// reducesShortage reports whether freeing r adds to a resource that size lacks.
func reducesShortage(r, size, free oleandervalve.Resources) bool {
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

// isEvictable reports whether a task may be evicted for others, within its eviction
// budget.
func (s *Scheduler) isEvictable(r *worker.Resident) bool {
	return !r.LatencyCritical && !r.Stopping && !r.Probe && r.Evictions < s.config.Response.EvictionBudget
}

// evict marks a task as being stopped and adds the decision to evict it.
func (s *Scheduler) evict(r *worker.Resident, reason oleandervalve.Reason, slowdown float64) {
	r.Stopping = true
	s.decisions = append(s.decisions, Decision{
		Action: Evict, Task: r.ID, Epoch: r.Epoch, Job: r.Job, Worker: r.Worker.ID, Reason: reason, Slowdown: slowdown,
	})
}

// updateProbes readmits quarantined workers whose probe has run long enough, and
// starts a batch task as the probe on each one whose next probe is due.
func (s *Scheduler) updateProbes(now time.Time) {
	// Iterates over a copy, because readmitting changes the list.
	for _, id := range append([]oleandervalve.WorkerID(nil), s.quarantined...) {
		w := s.fleet.Worker(id)
		if w == nil || w.State != worker.Quarantined {
			continue
		}
		for _, r := range w.Residents {
			if r.Probe && r.Running && now.Sub(r.CheckpointedAt) >= s.config.ProbeDuration {
				s.recordSuccess(w, r)
				r.Probe = false
				break
			}
		}
		if s.faultTracker.ProbeDue(id, now) {
			s.startProbe(w, now)
		}
	}
}

// startProbe places the first suitable waiting batch task on a quarantined worker.
func (s *Scheduler) startProbe(w *worker.Worker, now time.Time) {
	s.queue.forEachJob(func(j *waitingJob) bool {
		if j.urgent || j.spec.LatencyCritical || !j.eligible(now, s.fleet.Changes()) {
			return true
		}
		t := j.tasks[0]
		size := s.estimate(t.Spec)
		claim := s.ledger.Claim(t.Team, size, true)
		if claim == quota.Refused || !s.fleet.AllowsProbe(w, t, size) {
			return true
		}
		r, err := s.fleet.Reserve(t, w.ID, size, now)
		if err != nil {
			return true
		}
		s.queue.pop(j)
		r.Probe = true
		s.faultTracker.ProbeStarted(w.ID)
		s.ledger.Charge(t.Team, size, !t.LatencyCritical)
		s.decisions = append(s.decisions, Decision{Action: Place, Task: t.ID, Epoch: t.Epoch, Job: t.Job, Worker: w.ID, Size: size, Claim: claim, Probe: true})
		return false
	})
}
