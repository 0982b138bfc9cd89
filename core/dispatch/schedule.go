package dispatch

import (
	"slices"
	"sort"
	"time"

	"oleandervalve"
	"oleandervalve/core/work"
)

// Schedule places waiting tasks on executors if anything relevant has changed.
func (d *Dispatcher) Schedule(now time.Time) {
	if !d.placementNeeded {
		return
	}
	d.placementNeeded = false
	clear(d.serviceUtilisation)
	clear(d.placementFailures)
	clear(d.pauses)
	d.searches = 0
	d.countIsolations(now)
	steps := make([]*step, 0, len(d.ready))
	for s := range d.ready {
		steps = append(steps, s)
	}
	sort.Slice(steps, func(i, j int) bool {
		a, b := steps[i], steps[j]
		if a.job.id != b.job.id {
			return a.job.id < b.job.id
		}
		return a.firstTask < b.firstTask
	})
	d.sortSteps(steps, now)
	for _, s := range steps {
		d.placeStep(now, s)
	}
}

// placeStep places the waiting tasks of a step as far as executors are found for them.
func (d *Dispatcher) placeStep(now time.Time, s *step) {
	placed := 0
	if s.spec.Gang {
		if d.placeGang(now, s) {
			placed = s.spec.Count
		}
	} else {
		placed = d.placeTasks(now, s)
	}
	if len(s.waiting) == 0 {
		s.ready = false
		delete(d.ready, s)
	} else {
		d.requestPermits(now, s)
	}
	if placed > 0 {
		if s.job.rec.State == work.Pending {
			s.job.rec.State = work.Running
		}
		d.markDirty(s.job)
		d.note("assigned", s.job.id, map[string]any{"agents": s.agentsWithRuns(), "step": s.index, "tasks": placed, "left": len(s.waiting), "ageMs": now.Sub(s.job.rec.AcceptedAt).Milliseconds()})
	}
}

// maxLoggedAgents limits the agents that are listed in a log line.
const maxLoggedAgents = 6

// agentsWithRuns returns the agents with runs of the step, limited to maxLoggedAgents.
func (s *step) agentsWithRuns() []oleandervalve.AgentID {
	var out []oleandervalve.AgentID
	for id, n := range s.runsByAgent {
		if n > 0 {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out[:min(len(out), maxLoggedAgents)]
}

// placeTasks places the waiting tasks one by one until no executor is found for one. It
// returns the number of tasks placed.
func (d *Dispatcher) placeTasks(now time.Time, s *step) int {
	if d.knownUnplaceable(s, now) {
		return 0
	}
	placed := 0
	d.suspectsByCrash = s.countSuspects()
	var left []int
	for n, i := range s.waiting {
		if s.isPaused(i, now) {
			left = append(left, i)
			continue
		}
		a, unsettled := d.choose(s, i, now)
		if s.spec.LongRunning && a == nil {
			s.recordHeldUp(now, i, unsettled != nil)
			if unsettled == nil {
				d.holdExecutor(now, s)
			}
		}
		if a != nil {
			d.assign(now, s, i, a)
			placed++
			continue
		}
		if !s.history(i).Suspect() {
			d.recordPlacementFailure(s, now)
			left = append(left, s.waiting[n:]...)
			break
		}
		if unsettled != nil {
			d.quiesce(now, s, i, unsettled)
		}
		left = append(left, i)
	}
	s.waiting = left
	s.forgetHeldUp(left)
	return placed
}

// assign assigns a task to an executor. The Start is sent once the assignment is durable.
func (d *Dispatcher) assign(now time.Time, s *step, index int, a *agent) {
	t := &s.job.rec.Tasks[s.firstTask+index]
	lostIn := s.crashOf(index)
	t.State = work.TaskAssigned
	t.Run++
	t.ExecutorIndex = s.job.executorIndex(a.executorRef())
	k := runKey{s.name(index), t.Run}
	hints := s.hints()
	if s.spec.BestEffort {
		speed, _ := d.predictSpeed(s, a, now)
		hints.SpeedLimit = int(100 * speed)
	}
	r := &run{step: s, index: index, size: s.spec.Reserved(), resumed: t.Checkpoint != "", startedAt: now}
	d.isolate(now, a, r, lostIn, &hints)
	if a.hold.step == s {
		a.hold = hold{}
	}
	a.allocate(k, r)
	s.job.effects = append(s.job.effects, Start{
		Agent: a.id, Executor: a.status.Incarnation, Task: k.task, Run: k.run,
		Payload: s.job.spec.Payload, Checkpoint: t.Checkpoint, PermitToken: s.permitToken(a), Hints: hints,
	})
}

// requeue returns a task without a run to the waiting tasks of its step.
func (d *Dispatcher) requeue(now time.Time, s *step, index int) {
	t := &s.job.rec.Tasks[s.firstTask+index]
	t.State = work.TaskWaiting
	s.waiting = append(s.waiting, index)
	s.recordSuspect(now, index)
	d.markDirty(s.job)
	d.activate(now, s)
	d.placementNeeded = true
}
