package dispatch

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// explainedWait is how long a task waits before the wait is explained.
	explainedWait = 2 * time.Second
	// explainInterval is the minimum time between two explanations of one wait.
	explainInterval = 2 * time.Second
	// explainScanInterval is the time between two searches for waits to explain.
	explainScanInterval = 500 * time.Millisecond
	// maxExplainedWaits limits the waits that one search examines, each of which takes a look at
	// all executors.
	maxExplainedWaits = 4
	// fullInterval is the minimum time between two explanations of waits for capacity. They are
	// usual under load, and one stands for all.
	fullInterval = 10 * time.Second
)

// exclusion is the first reason for which an executor gets no further task of a step.
type exclusion string

const (
	excludedDisconnected exclusion = "notConnected"
	excludedEvacuating   exclusion = "evacuating"
	excludedNotReady     exclusion = "notReady"
	excludedUnsized      exclusion = "unsizedRuns"
	excludedLabel        exclusion = "label"
	excludedSpread       exclusion = "spread"
	excludedCapacity     exclusion = "capacity"
	excludedHeld         exclusion = "held"
	excludedPaused       exclusion = "paused"
	excludedSlow         exclusion = "slow"
	excludedIsolation    exclusion = "isolation"
	excludedPermit       exclusion = "permit"
	excludedInterference exclusion = "interference"
	notExcluded          exclusion = "fits"
)

// exclude returns the first reason for which an executor of the step's service gets no further
// task of a step, and whether the task would fit by reserved capacity alone.
func (d *Dispatcher) exclude(s *step, need isolationNeed, a *agent, now time.Time) (first exclusion, hasCapacity bool) {
	hasCapacity = a.usable() && a.hasLabel(s.spec.Label) && a.reserved.Add(s.spec.Reserved()).Fits(a.status.Capacity)
	mayPause := d.pausesHold(s, now)
	switch {
	case !a.connected:
		return excludedDisconnected, false
	case a.evacuated:
		return excludedEvacuating, false
	case !a.usable():
		return excludedNotReady, false
	case !a.hasLabel(s.spec.Label):
		return excludedLabel, false
	case a.unsizedRuns > 0:
		return excludedUnsized, hasCapacity
	case s.spec.MaxPerExecutor > 0 && s.runsByAgent[a.id] >= s.spec.MaxPerExecutor:
		return excludedSpread, hasCapacity
	case !hasCapacity:
		return excludedCapacity, false
	case a.isHeldForOther(s, now):
		return excludedHeld, true
	case mayPause && !a.admits(now):
		return excludedPaused, true
	case mayPause && a.isSlow(now):
		return excludedSlow, true
	case !d.admitsIsolated(need, a, now):
		return excludedIsolation, true
	case !s.isPermitted(a, now):
		return excludedPermit, true
	}
	if s.spec.BestEffort {
		if _, ok := d.beScore(s, a, now); !ok {
			return excludedInterference, true
		}
	}
	return notExcluded, true
}

// explainWaits notes why long-running tasks, and jobs of which nothing runs, have been waiting
// for executors.
func (d *Dispatcher) explainWaits(now time.Time) {
	if now.Before(d.nextExplanation) {
		return
	}
	d.nextExplanation = now.Add(explainScanInterval)
	var waits []*step
	for s := range d.ready {
		if len(s.waiting) > 0 && now.Sub(s.readyAt) >= explainedWait && now.Sub(s.explainedAt) >= explainInterval && (s.spec.LongRunning || !s.job.running()) {
			waits = append(waits, s)
		}
	}
	slices.SortFunc(waits, func(a, b *step) int {
		return cmp.Or(a.explainedAt.Compare(b.explainedAt), a.readyAt.Compare(b.readyAt), strings.Compare(string(a.job.id), string(b.job.id)), cmp.Compare(a.firstTask, b.firstTask))
	})
	for _, s := range waits[:min(len(waits), maxExplainedWaits)] {
		s.explainedAt = now
		d.explainWait(now, s)
	}
	d.explainDelayedStarts(now)
}

// explainWait notes why the task of a step that has waited longest waits.
func (d *Dispatcher) explainWait(now time.Time, s *step) {
	index := slices.MinFunc(s.waiting, func(a, b int) int { return s.waitSince(a).Compare(s.waitSince(b)) })
	need := d.isolationNeed(s, index, now)
	counts := map[exclusion]int{}
	executors, byCapacity := 0, 0
	for _, a := range d.sortedAgents {
		if a.status.Service != s.job.rec.Queue.Service {
			continue
		}
		executors++
		first, hasCapacity := d.exclude(s, need, a, now)
		counts[first]++
		if hasCapacity {
			byCapacity++
		}
	}
	if byCapacity == 0 {
		if now.Before(d.nextFullExplanation) {
			return
		}
		d.nextFullExplanation = now.Add(fullInterval)
	}
	d.note("taskWaits", s.job.id, map[string]any{
		"overload": d.overload.overloaded[poolOf(s)],
		"task":     s.name(index).String(), "waitedMs": now.Sub(s.waitSince(index)).Milliseconds(), "stepWaitedMs": now.Sub(s.readyAt).Milliseconds(),
		"tasks": len(s.waiting), "longRunning": s.spec.LongRunning, "bestEffort": s.spec.BestEffort, "cpu": s.spec.Demand.CPU, "memory": s.spec.Demand.Memory, "need": need.String(),
		"executors": executors, "byCapacity": byCapacity, "excluded": counts, "isolating": d.isolatingExecutors, "maxIsolating": d.maxIsolating,
		"usedPercent": int(100 * d.utilisation(s.job.rec.Queue.Service, now)),
	})
}

// explainDelayedStarts notes which assigned runs of long-running tasks, and of jobs of which
// nothing has started, are not known to run.
func (d *Dispatcher) explainDelayedStarts(now time.Time) {
	explained := 0
	for _, a := range d.sortedAgents {
		for _, k := range a.sortedOldRuns(now) {
			r := a.runs[k]
			if explained >= maxExplainedWaits {
				return
			}
			if r.startSent && a.connected && !a.delayedStarts[k] || !r.step.spec.LongRunning && r.step.job.began {
				continue
			}
			r.explainedAt = now
			explained++
			d.note("startDelayed", k.task.Job, map[string]any{
				"task": k.task.String(), "run": k.run, "agent": a.id, "connected": a.connected, "ageMs": now.Sub(r.startedAt).Milliseconds(),
				"startSent": r.startSent, "delayed": a.delayedStarts[k], "longRunning": r.step.spec.LongRunning,
			})
		}
	}
}

// sortedOldRuns returns the sorted keys of the runs that may be explained now. It returns none
// if all runs of the executor are known to have started.
func (a *agent) sortedOldRuns(now time.Time) []runKey {
	if a.connected && len(a.delayedStarts) == 0 && !a.hasUnsentStart() {
		return nil
	}
	return slices.DeleteFunc(a.sortedRuns(), func(k runKey) bool {
		r := a.runs[k]
		return r.step == nil || r.stopping || now.Sub(r.startedAt) < explainedWait || now.Sub(r.explainedAt) < explainInterval
	})
}

// hasUnsentStart reports whether a run waits for its assignment to be durable.
func (a *agent) hasUnsentStart() bool {
	for _, r := range a.runs {
		if !r.startSent {
			return true
		}
	}
	return false
}
