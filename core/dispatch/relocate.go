package dispatch

import (
	"time"

	"oleandervalve"
	"oleandervalve/core/contention"
)

const (
	// slowPace is the pace, in percent, below which filling tasks hardly advance.
	slowPace = 25
	// slowFor is how long a low pace must last before tasks are moved.
	slowFor = 1200 * time.Millisecond
	// slowWithoutCheckpoint is the same for tasks that lose their progress.
	slowWithoutCheckpoint = 2500 * time.Millisecond
	// movesPerPass bounds the tasks that are moved at a time.
	movesPerPass = 4
)

// notePaces records the paces of the filling images, and since when they have been low.
func (a *agent) notePaces(now time.Time, fills []contention.Filling) {
	a.paces, a.pacedAt = make(map[oleandervalve.KindName]int, len(fills)), now
	for _, f := range fills {
		a.paces[f.Image] = f.Pace
	}
	for image := range a.slowSince {
		found := false
		for _, f := range fills {
			found = found || f.Image == image && f.Pace < slowPace
		}
		if !found {
			delete(a.slowSince, image)
		}
	}
	for _, f := range fills {
		if f.Pace < slowPace && a.slowSince[f.Image].IsZero() {
			a.slowSince[f.Image] = now
		}
	}
}

// hardlyAdvances reports whether a run has been slow for long: it fills beside
// pressed serving tasks, or its executor is slow.
func (a *agent) hardlyAdvances(r *run, now time.Time) bool {
	ran := now.Sub(r.startAt)
	if a.isSlow(now) && ran >= slowRunAfter {
		return true
	}
	if !r.step.spec.Fills {
		return false
	}
	least := slowFor
	if !r.step.spec.Checkpointing {
		least = slowWithoutCheckpoint
	}
	since, slow := a.slowSince[r.step.spec.Image]
	return slow && now.Sub(since) >= least && ran >= least
}

// relocate stops tasks that hardly advance, if another executor has room for them.
func (d *Dispatcher) relocate(now time.Time) {
	moves := 0
	for _, a := range d.ordered {
		if len(a.slowSince) == 0 && !a.isSlow(now) || !a.usable() {
			continue
		}
		for _, k := range a.sortedRuns() {
			r := a.runs[k]
			if moves >= movesPerPass {
				return
			}
			if r.step == nil || !r.ordered || r.stopping || r.step.spec.Gang || r.step.spec.LongRunning || !a.hardlyAdvances(r, now) {
				continue
			}
			r.step.setAvoid(r.index, a.id)
			b := d.choose(r.step, r.index, now)
			if b == nil || b == a {
				continue
			}
			r.stopping = true
			moves++
			d.note("moving", k.task.Job, map[string]any{"task": k.task.String(), "run": k.run, "agent": a.id, "ranMs": now.Sub(r.startAt).Milliseconds(), "speed": a.speed, "room": b.id})
			d.act(Stop{Agent: a.id, Task: k.task, Run: k.run})
		}
	}
}
