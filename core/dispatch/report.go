package dispatch

import (
	"slices"
	"sort"
	"time"

	"oleandervalve"
	"oleandervalve/core/contention"
	"oleandervalve/core/work"
)

// Joined takes the state of an executor whose agent has connected. All orders
// of earlier sessions are void by now, so a run that is not listed doesn't run.
func (d *Dispatcher) Joined(now time.Time, id oleandervalve.AgentID, status oleandervalve.ExecutorStatus, h oleandervalve.Holding) {
	a := d.agents[id]
	if a == nil {
		a = d.addAgent(id)
	}
	if old := a.status; old.Incarnation.ID != "" && old.Incarnation != status.Incarnation && old.State == oleandervalve.ExecutorReady {
		a.crashes++
		a.health.crashed(now, a.crashes)
		d.note("executorRestarted", "", map[string]any{"agent": id, "crashes": a.crashes, "pauseMs": a.health.pause.Milliseconds()})
	}
	a.connected = true
	a.grantedAt = now
	a.status = status
	a.rack = rackOf(status.Labels)
	d.stale = true
	listed := map[runKey]bool{}
	for _, r := range h.Running {
		k := runKey{r.Task, r.Run}
		listed[k] = true
		d.adopt(a, k)
	}
	for _, e := range h.Ended {
		listed[runKey{e.Task, e.Run}] = true
	}
	for _, k := range a.sortedRuns() {
		r := a.runs[k]
		if !r.ordered {
			continue
		}
		if !listed[k] {
			d.unheld(now, a, k, "notListed")
		}
	}
	if len(d.light) > 0 {
		d.act(ShareContention{Agent: id, Light: d.light})
	}
	d.note("executorJoined", "", map[string]any{
		"agent": id, "executor": status.Incarnation.ID, "state": status.State,
		"running": len(h.Running), "ended": len(h.Ended), "held": len(a.runs),
	})
	for _, e := range h.Ended {
		d.Ended(now, id, status.Incarnation, e)
	}
}

// adopt matches a listed run with the records and stops it if it is not wanted.
func (d *Dispatcher) adopt(a *agent, k runKey) {
	j := d.jobs[k.task.Job]
	var s *step
	var t *work.TaskRecord
	if j != nil {
		s, t = j.task(k.task)
	}
	wanted := s != nil && !j.rec.State.Terminal() && t.State == work.TaskAssigned && t.Run == k.run &&
		j.rec.Places[t.Place] == a.place()
	if a.runs[k] == nil {
		r := &run{step: s, index: k.task.Index, ordered: true}
		if s != nil {
			r.size = s.spec.Reserved()
		}
		a.hold(k, r)
	}
	if !wanted {
		a.runs[k].stopping = true
		d.note("unwantedRun", k.task.Job, map[string]any{"task": k.task.String(), "run": k.run, "agent": a.id})
		d.act(Stop{Agent: a.id, Task: k.task, Run: k.run})
		return
	}
	d.act(Adopt{Agent: a.id, Task: k.task, Run: k.run, Traits: s.traits()})
}

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

// StatusChanged takes a new announcement of the same incarnation.
func (d *Dispatcher) StatusChanged(id oleandervalve.AgentID, status oleandervalve.ExecutorStatus) {
	a := d.agents[id]
	if a == nil || !a.connected || a.status.Incarnation != status.Incarnation {
		return
	}
	if a.status.State != status.State {
		d.note("executorState", "", map[string]any{"agent": id, "executor": status.Incarnation.ID, "state": status.State})
	}
	a.status = status
	d.stale = true
}

// Granted records that an agent may extend its executor's lease.
func (d *Dispatcher) Granted(now time.Time, id oleandervalve.AgentID) {
	if a := d.agents[id]; a != nil {
		a.grantedAt = now
	}
}

// Lost takes the loss of an agent's connection.
func (d *Dispatcher) Lost(now time.Time, id oleandervalve.AgentID) {
	if a := d.agents[id]; a != nil && a.connected {
		a.connected = false
		d.note("agentLost", "", map[string]any{"agent": id, "runs": len(a.runs), "grantAgeMs": now.Sub(a.grantedAt).Milliseconds()})
	}
}

// Gone takes the end of an executor: nothing runs there any more.
func (d *Dispatcher) Gone(now time.Time, id oleandervalve.AgentID, incarnation oleandervalve.Incarnation) {
	a := d.agents[id]
	if a == nil || a.status.Incarnation != incarnation {
		return
	}
	a.status.State = oleandervalve.ExecutorGone
	d.note("executorGone", "", map[string]any{"agent": id, "executor": incarnation.ID, "runs": len(a.runs)})
	d.loseRuns(now, a)
}

func (d *Dispatcher) loseRuns(now time.Time, a *agent) {
	for _, k := range a.sortedRuns() {
		if a.runs[k].ordered {
			d.unheld(now, a, k, "lost")
		}
	}
}

// unheld releases a run that does not run and lets its task wait again.
func (d *Dispatcher) unheld(now time.Time, a *agent, k runKey, reason string) {
	r := a.release(k)
	d.stale = true
	if r == nil || r.step == nil || r.step.job.rec.State.Terminal() {
		return
	}
	_, t := r.step.job.task(k.task)
	if t.State != work.TaskAssigned || t.Run != k.run {
		return
	}
	if r.step.spec.Gang {
		d.breakGang(r.step, k.run)
	}
	d.note("requeued", k.task.Job, map[string]any{"task": k.task.String(), "run": k.run, "agent": a.id, "reason": reason})
	d.requeue(now, r.step, r.index)
}

// Voided takes a run that the agent proved not to run.
func (d *Dispatcher) Voided(now time.Time, id oleandervalve.AgentID, v Void) {
	a := d.agents[id]
	k := runKey{v.Task, v.Run}
	if a == nil || a.runs[k] == nil {
		return
	}
	r := a.runs[k]
	if r.step != nil && (v.Reason == oleandervalve.RefusedBusy || v.Reason == oleandervalve.RefusedInvalid) {
		if a.health.hasFailed(k.task.Job, now) {
			d.paused++
		}
		r.step.setAvoid(r.index, id)
	}
	if r.step != nil && v.Reason == oleandervalve.RefusedTicket {
		r.step.dropPermit(a)
	}
	d.unheld(now, a, k, string(v.Reason))
}

func (s *step) setAvoid(index int, id oleandervalve.AgentID) {
	if s.avoid == nil {
		s.avoid = map[int]oleandervalve.AgentID{}
	}
	s.avoid[index] = id
}

// Ended takes the end of a run. The agent is told to forget it once the
// consequences are durable.
func (d *Dispatcher) Ended(now time.Time, id oleandervalve.AgentID, incarnation oleandervalve.Incarnation, e oleandervalve.EndedTask) {
	a := d.agents[id]
	if a == nil || a.status.Incarnation != incarnation {
		return
	}
	d.stale = true
	ack := Acknowledge{Agent: id, Executor: incarnation, Number: e.Number}
	ended := a.release(runKey{e.Task, e.Run})
	j := d.jobs[e.Task.Job]
	if j == nil {
		d.act(ack)
		return
	}
	s, t := j.task(e.Task)
	if t != nil && !j.rec.State.Terminal() && t.State == work.TaskWaiting && e.How == oleandervalve.EndDone && !s.spec.LongRunning {
		// An earlier run that counted as lost has succeeded.
		s.waiting = slices.DeleteFunc(s.waiting, func(i int) bool { return i == e.Task.Index })
		if len(s.waiting) == 0 {
			s.ready = false
			delete(d.ready, s)
		}
		d.note("lateSuccess", j.id, map[string]any{"task": e.Task.String(), "run": e.Run, "newest": t.Run, "agent": id})
		j.effects = append(j.effects, ack)
		d.touch(j)
		d.done(now, s, t)
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
	d.touch(j)
	switch {
	case e.How == oleandervalve.EndDone && !s.spec.LongRunning:
		a.health.succeeded()
		a.crashes = 0
		if ended != nil && !ended.resumed {
			d.learnDuration(j.rec.Queue.Name, s.spec.Estimate, now.Sub(ended.startAt))
		}
		d.done(now, s, t)
		return
	case e.How == oleandervalve.EndFailed:
		t.Failures++
		s.setAvoid(e.Task.Index, id)
		if a.health.hasFailed(j.id, now) {
			d.paused++
			d.note("executorPaused", j.id, map[string]any{"agent": id, "untilMs": a.health.pause.Milliseconds()})
		}
		failures := t.Failures
		if s.spec.Gang {
			failures = s.gangFailures()
		}
		if limit := j.rec.Queue.MaxAttempts; !s.spec.LongRunning && limit > 0 && failures >= limit {
			t.State = work.TaskWaiting
			d.note("attemptsExhausted", j.id, map[string]any{"task": e.Task.String(), "failures": failures})
			d.end(now, j, work.Failed)
			return
		}
	}
	d.note("runEnded", j.id, map[string]any{"task": e.Task.String(), "run": e.Run, "how": e.How, "agent": id})
	d.requeue(now, s, e.Task.Index)
}

// acknowledge releases an end whose consequences are, or will be, in the job's record.
func (d *Dispatcher) acknowledge(j *job, ack Acknowledge) {
	if j.queued || j.inFlight {
		j.effects = append(j.effects, ack)
		d.touch(j)
		return
	}
	d.act(ack)
}

func (d *Dispatcher) done(now time.Time, s *step, t *work.TaskRecord) {
	if s.spec.Gang {
		s.gangDone()
	} else {
		t.State = work.TaskDone
		s.done++
	}
	if s.done < s.spec.Count {
		return
	}
	if s.job.complete() {
		d.end(now, s.job, work.Completed)
		return
	}
	for _, n := range s.job.steps {
		d.activate(now, n)
	}
}

// shareEvery is the shortest time between two messages about contention to an agent.
const shareEvery = time.Second

// Sampled takes what an executor shows of the load of its tasks.
func (d *Dispatcher) Sampled(now time.Time, id oleandervalve.AgentID, s contention.Sample) {
	a := d.agents[id]
	if a == nil || !a.connected {
		return
	}
	d.noteSpeed(now, a, s)
	if len(s.Serving) == 0 {
		return
	}
	d.contention.Observe(now, id, a.status.Capacity.CPU, s)
	a.notePaces(now, s.Filling)
}

// shareContention tells the agents which pairs of images don't disturb, if that has changed.
func (d *Dispatcher) shareContention(now time.Time) {
	if now.Sub(d.sharedAt) < shareEvery {
		return
	}
	light := d.contention.Light()
	if slices.Equal(light, d.light) {
		return
	}
	d.light, d.sharedAt = light, now
	d.note("contentionLearned", "", map[string]any{"lightPairs": len(light), "weights": d.contention.Weights()})
	for _, a := range d.ordered {
		if a.connected {
			d.act(ShareContention{Agent: a.id, Light: light})
		}
	}
}
