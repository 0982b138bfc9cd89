package dispatch

import (
	"time"

	"oleandervalve"
)

const (
	// holdAfter is how long a long-running step waits for capacity before an executor is held
	// for it, and holdTime the longest time for which one is held.
	holdAfter = 500 * time.Millisecond
	holdTime  = 2 * time.Second
	// maxHoldSeries is the longest time for which an executor is held again and again, and
	// holdPause the time after that in which it isn't: tasks there may run for longer than
	// declared, and smaller ones must not wait for their end beside free capacity.
	maxHoldSeries = 6 * time.Second
	holdPause     = 2 * time.Second
	// maxHeldShare limits the share of the executors that are held.
	maxHeldShare = 0.05
)

// hold is an executor that is kept free of other starts until a task of a step fits on it.
type hold struct {
	step  *step
	until time.Time
	// since is when the executor was first held in the present series.
	since time.Time
}

// next returns a hold for a step that begins now, or false if the executor has been held for too long.
func (h hold) next(now time.Time, s *step) (hold, bool) {
	since := h.since
	if since.IsZero() || now.Sub(since) >= maxHoldSeries+holdPause {
		since = now
	}
	end := since.Add(maxHoldSeries)
	if !now.Before(end) {
		return hold{}, false
	}
	until := now.Add(holdTime)
	if until.After(end) {
		until = end
	}
	return hold{s, until, since}, true
}

// isHeldForOther reports whether an executor is held for another step.
func (a *agent) isHeldForOther(s *step, now time.Time) bool {
	return a.hold.step != nil && a.hold.step != s && now.Before(a.hold.until)
}

// holdExecutor holds an executor for a long-running task that fits on none, if it has waited for
// a while. In a flood, smaller tasks would otherwise take all capacity as soon as a part of what
// the task needs is free.
func (d *Dispatcher) holdExecutor(now time.Time, s *step) {
	if !s.spec.LongRunning || now.Sub(s.readyAt) < holdAfter {
		return
	}
	held, usable := 0, 0
	var best *agent
	var bestFree float64
	for _, a := range d.sortedAgents {
		if !a.usable() {
			continue
		}
		usable++
		if a.hold.step != nil && now.Before(a.hold.until) {
			if a.hold.step == s {
				return
			}
			held++
			continue
		}
		if _, ok := a.hold.next(now, s); !ok {
			continue
		}
		if !d.isEligible(s, a) || !a.admits(now) || a.isSlow(now) || !a.canFree(s.spec.Reserved()) {
			continue
		}
		if free := a.freeShareOf(s.spec.Reserved()); best == nil || free > bestFree {
			best, bestFree = a, free
		}
	}
	if best == nil || held >= max(1, int(maxHeldShare*float64(usable))) {
		return
	}
	best.hold, _ = best.hold.next(now, s)
	d.note("executorHeld", s.job.id, map[string]any{"agent": best.id, "step": s.index, "waitedMs": now.Sub(s.readyAt).Milliseconds()})
}

// canFree reports whether a task would fit on the executor beside its long-running tasks alone.
func (a *agent) canFree(size oleandervalve.Resources) bool {
	for _, r := range a.runs {
		if r.step != nil && r.step.spec.LongRunning {
			size = size.Add(r.size)
		}
	}
	return size.Fits(a.status.Capacity)
}

// freeShareOf returns the smallest share of what a task needs that is free on the executor.
func (a *agent) freeShareOf(size oleandervalve.Resources) float64 {
	free := a.status.Capacity.Sub(a.reserved)
	return min(float64(free.CPU)/float64(max(1, size.CPU)), float64(free.Memory)/float64(max(1, size.Memory)))
}
