package dispatch

import (
	"maps"
	"slices"
	"time"

	"oleandervalve"
	"oleandervalve/core/crash"
	"oleandervalve/core/work"
)

const (
	// maxIsolatingShare limits the share of the usable executors that have an isolated run,
	// as these get no other starts meanwhile.
	maxIsolatingShare = 0.34
	// settleTime is how long no run may have started on an executor before an isolated run
	// starts there.
	settleTime = 100 * time.Millisecond
	// quietTime is how long an executor is kept free of other starts for a suspect task.
	quietTime = 3 * settleTime
	// isolationWait is how long tasks wait for isolations while much of the fleet is idle. The
	// requirements allow 3.5 seconds.
	isolationWait = 2500 * time.Millisecond
	// isolationGrace is how long after its isolation a run may be reported to have outlived
	// it before its executor counts as lost.
	isolationGrace = 300 * time.Millisecond
	// isolationTimeout is the time from the start of an isolated run after which its isolation
	// ends although the agent has reported nothing.
	isolationTimeout = 4 * time.Second
	// maxReportedIncarnations limits agent.reported.
	maxReportedIncarnations = 8
)

// ExecutorLost handles an agent's report of the runs that an incarnation of its executor
// had when it was lost. A task that crashes the executors that start it is given up. Reports
// may be repeated.
func (d *Dispatcher) ExecutorLost(now time.Time, id oleandervalve.AgentID, r crash.Report) {
	a := d.agents[id]
	if a == nil {
		a = d.addAgent(id)
		a.grantedAt = now
	}
	if !slices.Contains(a.reported, r.Executor) {
		a.reported = append(a.reported, r.Executor)
		a.reported = a.reported[max(0, len(a.reported)-maxReportedIncarnations):]
		if a.hadWorked(now, r) {
			a.crashes = 0
		}
	}
	incidents := r.Incidents(func(x crash.Run) crash.Isolation {
		held := a.runs[runKey{x.Task, x.Run}]
		switch {
		case held == nil:
			return crash.Isolation{}
		case held.isolated:
			return crash.Isolation{Duration: held.isolation, Grouped: held.grouped}
		}
		return crash.Isolation{Grouped: held.grouped}
	})
	for i, x := range r.Runs {
		incident, ok := incidents[i]
		if ok && d.recordIncident(now, a, x.Task, incident) {
			a.crashExplained = true
		}
	}
}

// hadWorked reports whether a long-running task had worked on an executor that has crashed, which counts
// as the successful end of another task. A report lists the runs that may have been young when the
// executor last answered, or the youngest if there are too many.
func (a *agent) hadWorked(now time.Time, r crash.Report) bool {
	if !r.Crashed || a.status.Incarnation != r.Executor {
		return false
	}
	for k, held := range a.runs {
		listed := slices.ContainsFunc(r.Runs, func(x crash.Run) bool { return x.Task == k.task && x.Run == k.run })
		if held.confirmed && !held.late && !listed && now.Sub(held.startedAt) >= longRunSuccess && held.step != nil && held.step.spec.LongRunning {
			return true
		}
	}
	return false
}

// recordIncident adds an incident to the history of a task and reports whether the task was
// given up.
func (d *Dispatcher) recordIncident(now time.Time, a *agent, n oleandervalve.TaskName, x crash.Incident) bool {
	j := d.jobs[n.Job]
	if j == nil || j.rec.State.Terminal() {
		return false
	}
	s, t := j.task(n)
	if t == nil || t.State == work.TaskDone || x.Run > t.Run {
		return false
	}
	h := s.history(n.Index)
	if !h.Add(x) {
		return false
	}
	s.setHistory(n.Index, h)
	d.markDirty(j)
	d.note("crashUnderTask", j.id, map[string]any{
		"task": n.String(), "run": x.Run, "agent": a.id, "crashed": x.Crashed, "young": x.Young, "isolated": x.Isolated,
		"maxAgeMs": x.MaxAge.Milliseconds(), "crashes": h.Crashes(), "incidents": len(h.Incidents),
	})
	if !h.GiveUp() {
		return false
	}
	d.note("taskGivenUp", j.id, map[string]any{"task": n.String(), "crashes": h.Crashes(), "incidents": len(h.Incidents)})
	d.endJob(now, j, work.Failed)
	return true
}

// recordUnreported records the loss of a run that is not on the executor any more. Without
// a report of the agent, which may have been lost too, it is unknown whether the run had
// started and whether its executor crashed.
func (d *Dispatcher) recordUnreported(now time.Time, a *agent, k runKey) {
	s := a.runs[k].step
	if s == nil || s.job.rec.State.Terminal() {
		return
	}
	_, t := s.job.task(k.task)
	if t.State != work.TaskAssigned || t.Run != k.run {
		return
	}
	ref := s.job.rec.Executors[t.ExecutorIndex]
	if ref == a.executorRef() || slices.Contains(a.reported, ref.Executor) {
		return
	}
	d.recordIncident(now, a, k.task, crash.Incident{Run: k.run})
}

// recordRestart records that an executor ended without notice. It does not count against
// the executor if a task was given up for it.
func (d *Dispatcher) recordRestart(now time.Time, a *agent) {
	if a.crashExplained {
		a.crashExplained = false
		return
	}
	a.crashes++
	a.health.recordCrash(now, a.crashes)
	d.note("executorRestarted", "", map[string]any{"agent": a.id, "crashes": a.crashes, "pauseMs": a.health.pause.Milliseconds()})
}

// RunOutlived handles the report that a run has lasted longer than its isolation.
func (d *Dispatcher) RunOutlived(id oleandervalve.AgentID, n oleandervalve.TaskName, run oleandervalve.RunNumber) {
	a := d.agents[id]
	if a == nil || a.runs[runKey{n, run}] == nil {
		return
	}
	r := a.runs[runKey{n, run}]
	a.endIsolation(r)
	d.placementNeeded = true
	if r.step == nil || r.step.job.rec.State.Terminal() {
		return
	}
	h := r.step.history(r.index)
	h.Outlived(run)
	r.step.setHistory(r.index, h)
	d.note("isolationOutlived", n.Job, map[string]any{"task": n.String(), "run": run, "agent": id})
}

// isolate isolates a new run if its task is suspect.
func (d *Dispatcher) isolate(now time.Time, a *agent, r *run, lostIn crashKey, hints *RunHints) {
	h := r.step.history(r.index)
	if !h.Suspect() {
		return
	}
	r.isolated, r.isolation = true, h.Isolation()
	hints.Isolation = r.isolation
	if a.isolatedRuns > 0 {
		a.addToGroup(r)
		return
	}
	a.group = isolationGroup{step: r.step, crash: lostIn, at: now, size: 1, first: r}
	if !a.isQuiet(now) {
		d.isolatingExecutors++
	}
	a.quietUntil = time.Time{}
}

// endIsolation allows further starts beside a run.
func (a *agent) endIsolation(r *run) {
	if r.isolated {
		r.isolated = false
		a.isolatedRuns--
	}
}

// endOldIsolations ends the isolation of runs after isolationTimeout.
func (d *Dispatcher) endOldIsolations(now time.Time, a *agent) {
	if a.isolatedRuns == 0 {
		return
	}
	for _, r := range a.runs {
		if r.isolated && r.startSent && now.Sub(r.startedAt) > isolationTimeout {
			a.endIsolation(r)
			d.placementNeeded = true
		}
	}
}

// countIsolations updates the number of executors that get no other starts and its limit.
// An executor whose isolated run is overdue has probably crashed, and is not counted.
func (d *Dispatcher) countIsolations(now time.Time) {
	d.isolatingExecutors = 0
	usable := 0
	for _, a := range d.sortedAgents {
		if a.usable() {
			usable++
		}
		if a.isQuiet(now) || a.isolatedRuns > 0 && a.isIsolating(now) {
			d.isolatingExecutors++
		}
	}
	d.maxIsolating = max(1, int(maxIsolatingShare*float64(usable)))
}

// isIsolating reports whether an isolated run is not overdue.
func (a *agent) isIsolating(now time.Time) bool {
	for _, r := range a.runs {
		if r.isolated && (!r.startSent || now.Sub(r.startedAt) <= r.isolation+isolationGrace) {
			return true
		}
	}
	return false
}

// isolationNeed is what a task needs of an executor as far as isolation goes.
type isolationNeed int

const (
	// needsNone means that the task has waited for too long to be held up further.
	needsNone isolationNeed = iota
	// needsNoIsolated means that no isolated run may be on the executor or expected there.
	needsNoIsolated
	// needsIsolation means that the task is suspect and its run must be isolated: no innocent
	// task is to share its fate, and the next crash is to tell them apart.
	needsIsolation
)

func (n isolationNeed) String() string {
	return []string{"none", "noIsolated", "isolation"}[n]
}

// isolationNeed returns what a task needs. Isolation does not hold up a job that has nothing
// running for long while much of the fleet is idle; under load, waiting is due to the load. It
// never holds up a long-running task for long that could start but for isolations.
func (d *Dispatcher) isolationNeed(s *step, index int, now time.Time) isolationNeed {
	need := needsNoIsolated
	if s.history(index).Suspect() {
		need = needsIsolation
	}
	if now.Sub(s.waitSince(index)) >= isolationWait && (s.spec.LongRunning || !s.job.running()) &&
		d.utilisation(s.job.rec.Queue.Service, now) < starvationMaxUtilisation {
		return needsNone
	}
	if since, ok := s.heldUpSince[s.heldUpKey(index)]; ok && now.Sub(since) >= isolationWait {
		return needsNone
	}
	return need
}

// innocentTasks is the key of the tasks in step.heldUpSince that are not suspect.
const innocentTasks = -1

// heldUpKey returns the key of a task in step.heldUpSince.
func (s *step) heldUpKey(index int) int {
	if s.history(index).Suspect() {
		return index
	}
	return innocentTasks
}

// recordHeldUp records whether a waiting task could start but for isolations.
func (s *step) recordHeldUp(now time.Time, index int, heldUp bool) {
	k := s.heldUpKey(index)
	if !heldUp {
		delete(s.heldUpSince, k)
		return
	}
	if s.heldUpSince == nil {
		s.heldUpSince = map[int]time.Time{}
	}
	if _, ok := s.heldUpSince[k]; !ok {
		s.heldUpSince[k] = now
	}
}

// forgetHeldUp forgets the tasks that don't wait any more.
func (s *step) forgetHeldUp(waiting []int) {
	if len(s.heldUpSince) == 0 {
		return
	}
	kept := make(map[int]bool, len(waiting))
	for _, i := range waiting {
		kept[s.heldUpKey(i)] = true
	}
	maps.DeleteFunc(s.heldUpSince, func(k int, _ time.Time) bool { return !kept[k] })
}

// admitsIsolated reports whether a task may run on an executor as far as isolation goes.
func (d *Dispatcher) admitsIsolated(need isolationNeed, a *agent, now time.Time) bool {
	switch need {
	case needsNone:
		return true
	case needsNoIsolated:
		return !a.isQuiet(now) && a.isolatedRuns == 0
	}
	return (a.isQuiet(now) || d.isolatingExecutors < d.maxIsolating) && a.isolatedRuns == 0 && a.isSettled(now)
}

// recordSuspect records since when a task waits if it is suspect.
func (s *step) recordSuspect(now time.Time, index int) {
	if !s.history(index).Suspect() {
		return
	}
	if s.suspectSince == nil {
		s.suspectSince = map[int]time.Time{}
	}
	s.suspectSince[index] = now
}

// waitSince returns since when a task waits.
func (s *step) waitSince(index int) time.Time {
	if since, ok := s.suspectSince[index]; ok {
		return since
	}
	return s.readyAt
}

// isQuiet reports whether the executor is kept free of other starts.
func (a *agent) isQuiet(now time.Time) bool { return now.Before(a.quietUntil) }

// isSettled reports whether no run has started lately or is about to.
func (a *agent) isSettled(now time.Time) bool {
	for _, r := range a.runs {
		if !r.startSent || now.Sub(r.startedAt) < settleTime {
			return false
		}
	}
	return true
}

// quiesce keeps an executor free of other starts for a suspect task that could run there
// once it is settled.
func (d *Dispatcher) quiesce(now time.Time, s *step, index int, a *agent) {
	if a.isQuiet(now) || d.isolatingExecutors >= d.maxIsolating {
		return
	}
	a.quietUntil = now.Add(quietTime)
	d.isolatingExecutors++
	d.note("quiesced", s.job.id, map[string]any{"task": s.name(index).String(), "agent": a.id})
}
