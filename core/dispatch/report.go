package dispatch

import (
	"slices"
	"sort"
	"time"

	"oleandervalve"
	"oleandervalve/core/contention"
	"oleandervalve/core/work"
)

// AgentConnected handles the state of an executor whose agent has connected. The agent no
// longer carries out Start and Stop actions of earlier sessions, so a run that it doesn't
// list is not running. Unless its list of ends is incomplete, such a run has never started;
// otherwise that is known once InventoryCompleted is called.
func (d *Dispatcher) AgentConnected(now time.Time, id oleandervalve.AgentID, status oleandervalve.ExecutorStatus, runs oleandervalve.PollResult) {
	a := d.agents[id]
	if a == nil {
		a = d.addAgent(id)
	}
	if old := a.status; old.Incarnation.ID != "" && old.Incarnation != status.Incarnation && old.State.IsUp() {
		d.recordRestart(now, a)
	}
	a.connected = true
	a.unheard, a.delayedStarts = false, nil
	a.reportsStarts, a.listsDelayedStarts = false, false
	a.grantedAt = now
	a.setStatus(now, status)
	d.evacuationSessionBegins(a)
	d.placementNeeded = true
	listed := map[runKey]bool{}
	for _, r := range runs.Running {
		k := runKey{r.Task, r.Run}
		listed[k] = true
		d.adopt(a, k)
	}
	for _, e := range runs.Ended {
		listed[runKey{e.Task, e.Run}] = true
	}
	for _, k := range a.sortedRuns() {
		r := a.runs[k]
		if !r.startSent {
			continue
		}
		r.unlisted = !listed[k] && runs.Incomplete && !r.ofEarlierExecutor(k, a)
		if !listed[k] && !r.unlisted {
			if r.unansweredUntil.After(now) {
				d.abortGangOf(r, k)
				continue
			}
			d.recordUnreported(now, a, k)
			d.releaseUnstarted(now, a, k, "notListed")
		}
	}
	a.shared = sharedPairs{}
	d.note("executorJoined", "", map[string]any{
		"agent": id, "executor": status.Incarnation.ID, "state": status.State,
		"running": len(runs.Running), "ended": len(runs.Ended), "held": len(a.runs), "complete": !runs.Incomplete,
	})
	for _, e := range runs.Ended {
		d.RunEnded(now, id, status.Incarnation, e)
	}
}

// ofEarlierExecutor reports whether a run is recorded as assigned to an earlier incarnation of
// the agent's executor.
func (r *run) ofEarlierExecutor(k runKey, a *agent) bool {
	if r.step == nil || r.step.job.rec.State.Terminal() {
		return false
	}
	_, t := r.step.job.task(k.task)
	return t.State == work.TaskAssigned && t.Run == k.run && r.step.job.rec.Executors[t.ExecutorIndex] != a.executorRef()
}

// InventoryCompleted handles the report that an agent has listed all runs of its executor that
// were running or had ended when it connected. The others have never started.
func (d *Dispatcher) InventoryCompleted(now time.Time, id oleandervalve.AgentID, incarnation oleandervalve.Incarnation) {
	a := d.agents[id]
	if a == nil || a.status.Incarnation != incarnation {
		return
	}
	for _, k := range a.sortedRuns() {
		r := a.runs[k]
		if r == nil || !r.unlisted {
			continue
		}
		r.unlisted = false
		if !r.unansweredUntil.After(now) {
			d.releaseUnstarted(now, a, k, "notListed")
		}
	}
}

// adopt matches a run that the agent listed with the records and stops the run if it is not wanted.
func (d *Dispatcher) adopt(a *agent, k runKey) {
	j := d.jobs[k.task.Job]
	var s *step
	var t *work.TaskRecord
	if j != nil {
		s, t = j.task(k.task)
	}
	wanted := s != nil && !j.rec.State.Terminal() && t.State == work.TaskAssigned && t.Run == k.run &&
		j.rec.Executors[t.ExecutorIndex] == a.executorRef()
	if a.runs[k] == nil {
		r := &run{step: s, index: k.task.Index, startSent: true, unsized: true}
		if j != nil {
			if known := j.step(k.task.Occurrence, k.task.Step); known != nil {
				r.size, r.unsized = known.spec.Reserved(), false
			}
		}
		a.allocate(k, r)
	}
	// An executor that has started again may have begun the run for an order to its earlier incarnation.
	a.runs[k].confirmed = wanted && a.status.State != oleandervalve.ExecutorRecovering && !a.runs[k].late
	a.runs[k].late, a.runs[k].unansweredUntil = false, time.Time{}
	if !wanted {
		a.runs[k].stopping = true
		d.note("unwantedRun", k.task.Job, map[string]any{"task": k.task.String(), "run": k.run, "agent": a.id})
		d.enqueueAction(Stop{Agent: a.id, Task: k.task, Run: k.run})
		return
	}
	j.began = true
	hints := s.hints()
	if r := a.runs[k]; r.isolated {
		hints.Isolation = r.isolation
	}
	d.enqueueAction(Adopt{Agent: a.id, Task: k.task, Run: k.run, Hints: hints})
	if a.runs[k].stopping {
		// The stop may have been lost with an earlier session.
		d.enqueueAction(Stop{Agent: a.id, Task: k.task, Run: k.run})
	}
}

// sortedRuns returns the keys of the runs sorted by task and run number, so that decisions
// don't depend on map order.
func (a *agent) sortedRuns() []runKey {
	out := make([]runKey, 0, len(a.runs))
	for k := range a.runs {
		out = append(out, k)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].task != out[j].task {
			return out[i].task.String() < out[j].task.String()
		}
		return out[i].run < out[j].run
	})
	return out
}

// StatusChanged handles a new status of the executor's current incarnation. It ignores
// statuses of other incarnations.
func (d *Dispatcher) StatusChanged(now time.Time, id oleandervalve.AgentID, status oleandervalve.ExecutorStatus) {
	a := d.agents[id]
	if a == nil || !a.connected || a.status.Incarnation != status.Incarnation {
		return
	}
	if a.status.State != status.State {
		d.note("executorState", "", map[string]any{"agent": id, "executor": status.Incarnation.ID, "state": status.State})
	}
	if a.status.Capacity != status.Capacity {
		d.note("executorCapacity", "", map[string]any{"agent": id, "executor": status.Incarnation.ID, "cpu": status.Capacity.CPU, "memory": status.Capacity.Memory, "reservedCpu": a.reserved.CPU, "reservedMemory": a.reserved.Memory})
	}
	a.setStatus(now, status)
	d.updateEvacuated(a)
	d.placementNeeded = true
}

// LeaseGranted records that an agent may extend its executor's lease.
func (d *Dispatcher) LeaseGranted(now time.Time, id oleandervalve.AgentID) {
	if a := d.agents[id]; a != nil {
		a.grantedAt = now
	}
}

// AgentDisconnected handles the loss of an agent's connection.
func (d *Dispatcher) AgentDisconnected(now time.Time, id oleandervalve.AgentID) {
	if a := d.agents[id]; a != nil && a.connected {
		a.connected = false
		if a.status.State != oleandervalve.ExecutorTerminated {
			// The times that the agent has reported hold while it is in touch with the executor.
			a.forgetUnanswered()
		}
		d.note("agentLost", "", map[string]any{"agent": id, "runs": len(a.runs), "grantAgeMs": now.Sub(a.grantedAt).Milliseconds()})
	}
}

// ExecutorOf returns the last incarnation of an agent's executor that is known.
func (d *Dispatcher) ExecutorOf(id oleandervalve.AgentID) (oleandervalve.Incarnation, bool) {
	a := d.agents[id]
	if a == nil || a.status.Incarnation.ID == "" {
		return oleandervalve.Incarnation{}, false
	}
	return a.status.Incarnation, true
}

// ExecutorTerminated handles the confirmed end of an executor, on which no run exists any more.
func (d *Dispatcher) ExecutorTerminated(now time.Time, id oleandervalve.AgentID, incarnation oleandervalve.Incarnation, crashed bool) {
	a := d.agents[id]
	if a == nil || a.status.Incarnation != incarnation {
		return
	}
	if crashed && a.status.State.IsUp() {
		d.recordRestart(now, a)
	}
	a.status.State = oleandervalve.ExecutorTerminated
	d.note("executorGone", "", map[string]any{"agent": id, "executor": incarnation.ID, "runs": len(a.runs)})
	d.releaseAllRuns(now, a)
}

// releaseAllRuns releases the runs of an executor that no longer runs anything, except those that
// its next incarnation may begin. A Start that waits for its commit is not sent any more once its
// run has been released.
func (d *Dispatcher) releaseAllRuns(now time.Time, a *agent) {
	for _, k := range a.sortedRuns() {
		r := a.runs[k]
		if r.unansweredUntil.After(now) {
			d.abortGangOf(r, k)
			continue
		}
		d.releaseUnstarted(now, a, k, "lost")
	}
}

// releaseUnstarted releases a run that is certain not to be running and requeues its task.
func (d *Dispatcher) releaseUnstarted(now time.Time, a *agent, k runKey, reason string) {
	r := a.release(k)
	d.placementNeeded = true
	if r == nil || r.step == nil || r.step.job.rec.State.Terminal() {
		return
	}
	_, t := r.step.job.task(k.task)
	if t.State != work.TaskAssigned || t.Run != k.run {
		return
	}
	if r.step.spec.Gang {
		d.abortGang(r.step, k.run)
	}
	d.note("requeued", k.task.Job, map[string]any{"task": k.task.String(), "run": k.run, "agent": a.id, "reason": reason, "confirmed": r.confirmed})
	d.requeue(now, r.step, r.index)
}

// RunNeverStarted handles the report that a run has not started and will never start.
func (d *Dispatcher) RunNeverStarted(now time.Time, id oleandervalve.AgentID, n NeverStarted) {
	a := d.agents[id]
	k := runKey{n.Task, n.Run}
	if a == nil || a.runs[k] == nil {
		return
	}
	r := a.runs[k]
	if r.step != nil && (n.Reason == oleandervalve.RefusedBusy || n.Reason == oleandervalve.RefusedInvalid) {
		a.health.recordFailure(k.task.Job, now)
		r.step.setAvoidedAgent(r.index, id)
	}
	if n.Reason == oleandervalve.RefusedEvacuating {
		d.recordWithdrawn(a)
	}
	if r.step != nil && n.Reason == oleandervalve.RefusedPermit {
		r.step.dropPermit(a)
	}
	if r.step != nil {
		if pause := r.step.recordRefusal(now, r.index, n.Reason); pause > 0 {
			d.note("startsPaused", k.task.Job, map[string]any{"task": k.task.String(), "run": k.run, "agent": id, "reason": n.Reason, "pauseMs": pause.Milliseconds()})
		}
	}
	d.releaseUnstarted(now, a, k, string(n.Reason))
}

func (s *step) setAvoidedAgent(index int, id oleandervalve.AgentID) {
	if s.avoidedAgents == nil {
		s.avoidedAgents = map[int]oleandervalve.AgentID{}
	}
	s.avoidedAgents[index] = id
}

// RunEnded handles the end of a run. It is acknowledged to the agent once its consequences
// are durable.
func (d *Dispatcher) RunEnded(now time.Time, id oleandervalve.AgentID, incarnation oleandervalve.Incarnation, e oleandervalve.EndedTask) {
	a := d.agents[id]
	if a == nil || a.status.Incarnation != incarnation {
		return
	}
	d.placementNeeded = true
	ack := Acknowledge{Agent: id, Executor: incarnation, Number: e.Number}
	ended := a.release(runKey{e.Task, e.Run})
	j := d.jobs[e.Task.Job]
	if j == nil {
		d.enqueueAction(ack)
		return
	}
	s, t := j.task(e.Task)
	j.began = j.began || t != nil
	if t != nil {
		s.forgetRefusals(e.Task.Index)
	}
	if t != nil && !j.rec.State.Terminal() && d.withdraw(s, t, e) {
		d.note("lateSuccess", j.id, map[string]any{"task": e.Task.String(), "run": e.Run, "newest": t.Run, "agent": id})
		j.effects = append(j.effects, ack)
		d.markDirty(j)
		d.taskDone(now, s, t)
		return
	}
	if t == nil || j.rec.State.Terminal() || t.State != work.TaskAssigned || t.Run != e.Run {
		d.acknowledge(j, ack)
		return
	}
	if s.spec.Checkpointing && e.Checkpoint != "" {
		t.Checkpoint = e.Checkpoint
	}
	j.effects = append(j.effects, ack)
	d.markDirty(j)
	switch {
	case e.How == oleandervalve.EndDone && !s.spec.LongRunning:
		a.health.recordSuccess()
		a.crashes = 0
		if ended != nil && !ended.resumed {
			d.learnRunTime(j.rec.Queue.Name, s.spec.Estimate, now.Sub(ended.startedAt))
		}
		d.taskDone(now, s, t)
		return
	case e.How == oleandervalve.EndFailed:
		t.Failures++
		s.setAvoidedAgent(e.Task.Index, id)
		if a.health.recordFailure(j.id, now) {
			d.note("executorPaused", j.id, map[string]any{"agent": id, "untilMs": a.health.pause.Milliseconds()})
		}
		failures := t.Failures
		if s.spec.Gang {
			failures = s.gangFailures()
		}
		if limit := j.rec.Queue.MaxAttempts; !s.spec.LongRunning && limit > 0 && failures >= limit {
			t.State = work.TaskWaiting
			d.note("attemptsExhausted", j.id, map[string]any{"task": e.Task.String(), "failures": failures})
			d.endJob(now, j, work.Failed)
			return
		}
	}
	d.note("runEnded", j.id, map[string]any{"task": e.Task.String(), "run": e.Run, "how": e.How, "agent": id})
	d.requeue(now, s, e.Task.Index)
}

// withdraw takes a task back that was requeued because a run of it was considered ended, if
// that run has succeeded. It reports false if the task was not requeued since that run.
func (d *Dispatcher) withdraw(s *step, t *work.TaskRecord, e oleandervalve.EndedTask) bool {
	if e.How != oleandervalve.EndDone || s.spec.LongRunning {
		return false
	}
	switch {
	case t.State == work.TaskWaiting:
		s.waiting = slices.DeleteFunc(s.waiting, func(i int) bool { return i == e.Task.Index })
		if len(s.waiting) == 0 {
			s.ready = false
			delete(d.ready, s)
		}
		return true
	case t.State == work.TaskAssigned && t.Run > e.Run && !s.spec.Gang:
		d.cancelRun(s.job.rec.Executors[t.ExecutorIndex].Agent, runKey{e.Task, t.Run})
		return true
	}
	return false
}

// cancelRun ends a run that is not needed any more: it drops a Start that has not been sent,
// and otherwise sends a Stop.
func (d *Dispatcher) cancelRun(id oleandervalve.AgentID, k runKey) {
	a := d.agents[id]
	if a == nil || a.runs[k] == nil || a.runs[k].stopping {
		return
	}
	if !a.runs[k].startSent {
		a.release(k)
		return
	}
	a.runs[k].stopping = true
	d.enqueueAction(Stop{Agent: id, Task: k.task, Run: k.run})
}

// acknowledge sends an acknowledgement once the consequences in the job's record are durable.
func (d *Dispatcher) acknowledge(j *job, ack Acknowledge) {
	if j.dirty || j.inFlight {
		j.effects = append(j.effects, ack)
		d.markDirty(j)
		return
	}
	d.enqueueAction(ack)
}

// taskDone records the success of a task, or of all members of a gang, and continues with
// the steps that depend on it.
func (d *Dispatcher) taskDone(now time.Time, s *step, t *work.TaskRecord) {
	if s.spec.Gang {
		s.markGangDone()
	} else {
		t.State = work.TaskDone
		s.done++
	}
	if s.done < s.spec.Count {
		return
	}
	if s.job.complete() {
		d.endJob(now, s.job, work.Completed)
		return
	}
	for _, n := range s.job.steps {
		d.activate(now, n)
	}
}

// LoadSampled handles a load sample of an executor.
func (d *Dispatcher) LoadSampled(now time.Time, id oleandervalve.AgentID, s contention.Sample) {
	a := d.agents[id]
	if a == nil || !a.connected {
		return
	}
	d.recordSpeed(now, a, s)
	if len(s.LatencyCritical) == 0 {
		return
	}
	d.contention.Observe(now, id, a.status.Capacity.CPU, s)
	a.recordSpeedLimits(now, s.BestEffort)
}
