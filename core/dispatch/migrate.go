package dispatch

import (
	"time"

	"oleandervalve"
	"oleandervalve/core/contention"
)

const (
	// stallSpeedLimit is the speed limit, in percent, below which a best-effort task
	// counts as stalled.
	stallSpeedLimit = 25
	// stallAfter is how long the speed limit must be that low before a task is migrated.
	stallAfter = 1200 * time.Millisecond
	// stallAfterWithoutCheckpoint replaces stallAfter for tasks that lose their progress
	// when they are migrated.
	stallAfterWithoutCheckpoint = 2500 * time.Millisecond
	// maxMigrationsPerPass limits the tasks that are migrated in one pass.
	maxMigrationsPerPass = 4
)

// recordSpeedLimits records the reported speed limits of best-effort images and since when
// they have been below stallSpeedLimit.
func (a *agent) recordSpeedLimits(now time.Time, reports []contention.BestEffortUsage) {
	a.speedLimits, a.speedLimitsAt = make(map[oleandervalve.KindName]int, len(reports)), now
	for _, report := range reports {
		a.speedLimits[report.Image] = report.SpeedLimit
	}
	for image := range a.stalledSince {
		found := false
		for _, report := range reports {
			found = found || report.Image == image && report.SpeedLimit < stallSpeedLimit
		}
		if !found {
			delete(a.stalledSince, image)
		}
	}
	for _, report := range reports {
		if report.SpeedLimit < stallSpeedLimit && a.stalledSince[report.Image].IsZero() {
			a.stalledSince[report.Image] = now
		}
	}
}

// isStalled reports whether a run should be migrated because it makes too little progress:
// its executor is slow, or it has been throttled below stallSpeedLimit for too long.
func (a *agent) isStalled(r *run, now time.Time) bool {
	ran := now.Sub(r.startedAt)
	if a.isSlow(now) && ran >= slowRunMinAge {
		return true
	}
	if !r.step.spec.BestEffort {
		return false
	}
	minDuration := stallAfter
	if !r.step.spec.Checkpointing {
		minDuration = stallAfterWithoutCheckpoint
	}
	since, throttled := a.stalledSince[r.step.spec.Image]
	return throttled && now.Sub(since) >= minDuration && ran >= minDuration
}

// migrateStalledTasks stops stalled tasks for which another executor has capacity. They
// are placed again after their end.
func (d *Dispatcher) migrateStalledTasks(now time.Time) {
	migrations := 0
	for _, a := range d.sortedAgents {
		if len(a.stalledSince) == 0 && !a.isSlow(now) || !a.usable() {
			continue
		}
		for _, k := range a.sortedRuns() {
			r := a.runs[k]
			if migrations >= maxMigrationsPerPass {
				return
			}
			if r.step == nil || !r.startSent || r.stopping || r.step.spec.Gang || r.step.spec.LongRunning || !a.isStalled(r, now) {
				continue
			}
			r.step.setAvoidedAgent(r.index, a.id)
			b, _ := d.choose(r.step, r.index, now)
			if b == nil || b == a {
				continue
			}
			r.stopping = true
			migrations++
			d.note("moving", k.task.Job, map[string]any{"task": k.task.String(), "run": k.run, "agent": a.id, "ranMs": now.Sub(r.startedAt).Milliseconds(), "speed": a.speed, "room": b.id})
			d.enqueueAction(Stop{Agent: a.id, Task: k.task, Run: k.run})
		}
	}
}
