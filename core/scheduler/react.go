package scheduler

import (
	"time"

	"oleandervalve"
	"oleandervalve/core/interference"
	"oleandervalve/core/size"
	"oleandervalve/core/worker"
)

// saturationUtilisation is the used fraction of a worker's processors above which
// the processor use of a task says little about its demand.
const saturationUtilisation = 0.95

// Sample records one delayed usage sample; the resulting decisions come with the
// next Step.
func (s *Scheduler) Sample(u oleandervalve.UsageSample, now time.Time) {
	r := s.fleet.Resident(u.Task)
	if r == nil || r.Epoch != u.Epoch || !u.At.After(r.SampledAt) {
		return
	}
	w := r.Worker
	if !r.SampledAt.IsZero() {
		// Averaging with the newest slope follows steady growth within a few samples
		// and does not mistake a single allocation for a leak.
		slope := float64(u.Used.Memory-r.Used.Memory) / u.At.Sub(r.SampledAt).Seconds()
		r.MemoryGrowth += (float32(slope) - r.MemoryGrowth) / 2
	}
	r.Used, r.SampledAt = u.Used, u.At
	if !s.hasNewSamples[w] {
		s.hasNewSamples[w] = true
		s.sampled = append(s.sampled, w)
	}
	throttled := r.Share < 1 || u.At.Before(r.ShareChangedAt)
	s.sizes.Observe(r.Kind, u.Used, size.Conditions{Throttled: throttled, Saturated: isSaturated(w)})
	if u.Slowdown <= 0 {
		return
	}
	// The slowdown of a throttled task is caused by the throttling, not by interference.
	if mix, level, ok := w.MixAt(u.At); ok && !throttled {
		s.model.Observe(s.model.Kind(r.Kind), mix, level, u.Slowdown)
	}
	if r.LatencyCritical {
		w.Response.Observe(s.config.Response, r.ID, u.At, u.Slowdown)
	}
}

// isSaturated reports whether the tasks of a worker use nearly all of its processors.
func isSaturated(w *worker.Worker) bool {
	var used oleandervalve.Millicores
	for _, r := range w.Residents {
		used += r.Used.CPU
	}
	return float64(used) >= saturationUtilisation*float64(w.Capacity.CPU)
}

// processSamples handles all workers with new samples: reservations first, then
// memory, then slow latency-critical tasks.
func (s *Scheduler) processSamples(now time.Time) {
	for _, w := range s.sampled {
		delete(s.hasNewSamples, w)
		if w.State == worker.Terminated {
			continue
		}
		if !s.config.FirstFit {
			s.resizeReservations(w)
		}
		if !s.config.MemoryGuard.Disabled && s.guardMemory(w, now) {
			continue
		}
		switch s.config.Mitigation {
		case ModelBased:
			s.mitigate(w, now)
		case EvictNewest:
			s.evictNewest(w, now)
		}
	}
	s.sampled = s.sampled[:0]
}

// resizeReservations adjusts the reservations of running tasks to the learned sizes.
func (s *Scheduler) resizeReservations(w *worker.Worker) {
	for _, r := range w.Residents {
		if r.SampledAt.IsZero() || r.Stopping {
			continue
		}
		want := s.sizes.Estimate(r.Kind, r.Declared)
		// A task that uses more memory than the estimate for its kind keeps what it uses.
		want.Memory = max(want.Memory, r.Used.Memory)
		if withinResizeTolerance(int64(want.CPU), int64(r.Size.CPU)) && withinResizeTolerance(int64(want.Memory), int64(r.Size.Memory)) {
			continue
		}
		old := r.Size
		if got := s.fleet.Resize(r.ID, want); got != old {
			s.ledger.Charge(r.Team, got.Sub(old), !r.LatencyCritical)
			s.decisions = append(s.decisions, Decision{Action: Resize, Task: r.ID, Epoch: r.Epoch, Job: r.Job, Worker: w.ID, Size: got})
		}
	}
}

// withinResizeTolerance reports whether two sizes differ by less than a fifth,
// which is too little to justify a message to the agent.
func withinResizeTolerance(a, b int64) bool { return 5*max(a-b, b-a) < max(a, b) }

// guardMemory evicts a batch task before the worker runs out of memory, and
// reports whether it did. Throttling would not help, as it frees no memory.
func (s *Scheduler) guardMemory(w *worker.Worker, now time.Time) bool {
	if w.MemoryGuardActedAt.Add(s.config.Response.Cooldown).After(now) {
		return false
	}
	var expected float64
	for _, r := range w.Residents {
		if r.Stopping {
			continue
		}
		expected += s.expectedMemory(r, now)
	}
	excess := expected - s.config.MemoryGuard.Limit*float64(w.Capacity.Memory)
	if excess <= 0 {
		return false
	}
	var victim *worker.Resident
	for _, r := range w.Residents {
		if r.LatencyCritical || r.Stopping {
			continue
		}
		if victim == nil || s.isBetterVictim(r, victim, excess, now) {
			victim = r
		}
	}
	if victim == nil {
		return false
	}
	w.MemoryGuardActedAt = now
	w.Response.StartCooldown(now)
	s.evict(victim, ReasonMemoryPressure, 0)
	return true
}

// expectedMemory extrapolates the memory use of a task to the end of the horizon of the
// memory guard.
func (s *Scheduler) expectedMemory(r *worker.Resident, now time.Time) float64 {
	if r.SampledAt.IsZero() {
		return float64(r.Size.Memory)
	}
	ahead := now.Sub(r.SampledAt) + s.config.MemoryGuard.Horizon
	expected := float64(r.Used.Memory) + max(0, float64(r.MemoryGrowth))*ahead.Seconds()
	if size := float64(r.Size.Memory); float64(r.Used.Memory) < 0.9*size {
		// A starting task grows fast and stops at the size of its kind.
		return min(expected, size)
	}
	return expected
}

// isBetterVictim reports whether evicting a is better than evicting b. It prefers
// a task whose memory alone covers the excess, then one with evictions left in its
// budget, then the one with the least work since its last checkpoint. If neither covers
// the excess, it prefers the one with more memory.
func (s *Scheduler) isBetterVictim(a, b *worker.Resident, excess float64, now time.Time) bool {
	ea, eb := s.expectedMemory(a, now), s.expectedMemory(b, now)
	if (ea >= excess) != (eb >= excess) {
		return ea >= excess
	}
	if ea < excess {
		return ea > eb
	}
	budget := s.config.Response.EvictionBudget
	if (a.Evictions < budget) != (b.Evictions < budget) {
		return a.Evictions < budget
	}
	return a.WorkSinceCheckpoint(now) < b.WorkSinceCheckpoint(now)
}

// mitigate throttles, evicts or unthrottles a batch task of a worker by the learned
// interference, depending on the slowdown of its latency-critical tasks.
func (s *Scheduler) mitigate(w *worker.Worker, now time.Time) {
	if w.Response.InCooldown(s.config.Response, now) {
		return
	}
	residents := make([]interference.Resident, 0, len(w.Residents))
	for _, r := range w.Residents {
		residents = append(residents, interference.Resident{
			Task: r.ID, Kind: s.model.Kind(r.Kind), LatencyCritical: r.LatencyCritical, Share: float64(r.Share),
			WorkSinceCheckpoint: r.WorkSinceCheckpoint(now), Evictions: r.Evictions, Exempt: r.Stopping || r.Probe || !r.Running,
		})
	}
	a, ok := w.Response.Decide(s.config.Response, s.model, residents, w.Mix(), interference.LevelOf(w.Load()), now)
	if !ok {
		return
	}
	r := s.fleet.Resident(a.Task)
	if a.Kind == interference.Evict {
		s.evict(r, ReasonLatencyCriticalSlow, a.Slowdown)
		return
	}
	reason := ReasonLatencyCriticalSlow
	if a.Share > float64(r.Share) {
		reason = ReasonLatencyCriticalRecovered
	}
	s.fleet.SetCPUShare(r.ID, a.Share, now)
	s.decisions = append(s.decisions, Decision{
		Action: Throttle, Task: r.ID, Epoch: r.Epoch, Job: r.Job, Worker: w.ID, Reason: reason, Share: a.Share, Slowdown: a.Slowdown,
	})
}

// evictNewest is the baseline: it evicts the newest batch task co-located with a
// slow latency-critical task, and waits for the cooldown before the next eviction.
func (s *Scheduler) evictNewest(w *worker.Worker, now time.Time) {
	c := s.config.Response
	if w.Response.InCooldown(c, now) || w.Response.Slowdown() <= c.High {
		return
	}
	for i := len(w.Residents) - 1; i >= 0; i-- {
		if r := w.Residents[i]; !r.LatencyCritical && !r.Stopping {
			slow := w.Response.Slowdown()
			w.Response.StartCooldown(now)
			s.evict(r, ReasonLatencyCriticalSlow, slow)
			return
		}
	}
}
