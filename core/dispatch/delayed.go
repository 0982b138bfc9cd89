package dispatch

import (
	"time"

	"oleandervalve"
	"oleandervalve/core/work"
)

// DelayedStart is a run whose start order has been at its agent for a while and that is not known
// to have started.
type DelayedStart struct {
	Task oleandervalve.TaskName  `cbor:"1,keyasint"`
	Run  oleandervalve.RunNumber `cbor:"2,keyasint"`
}

// StartsDelayed replaces the delayed starts of an agent by those that it has just listed. The
// lists answer the load of executors that leave most orders without an answer while jobs arrive
// in bursts: start orders wait at the agents for seconds, and their jobs are waiting jobs.
func (d *Dispatcher) StartsDelayed(now time.Time, id oleandervalve.AgentID, starts []DelayedStart) {
	a := d.agents[id]
	if a == nil || !a.connected {
		return
	}
	a.listsDelayedStarts = true
	a.delayedStarts = make(map[runKey]bool, len(starts))
	for _, s := range starts {
		a.delayedStarts[runKey{s.Task, s.Run}] = true
	}
	for k, r := range a.runs {
		if !r.startSent || r.stopping {
			continue // a start that is being stopped is in no list
		}
		delayed := a.delayedStarts[k]
		r.presumedStarted = !delayed && (r.delayed || now.Sub(r.startedAt) >= listDelay)
		r.delayed = r.delayed || delayed
	}
}

// Waiting returns the number of stored jobs of a queue of which no task has started, as far as
// that is known. known is false if the number may be over twice as high: until its agents have
// connected, a new leader doesn't know which of the runs that it has loaded have started.
func (d *Dispatcher) Waiting(now time.Time, q work.QueueName) (count int, known bool) {
	pending := 0
	var running [begun + 1]int
	for _, j := range d.jobs {
		if j.rec.Queue.Name != q || j.version == 0 {
			continue
		}
		switch j.committedState {
		case work.Pending:
			pending++
		case work.Running:
			running[d.beginning(j)]++
		}
	}
	count, unknown := pending+running[notBegun]+running[unconfirmed], running[maybeBegun]
	if unsure := unknown + running[unconfirmed]; unsure > 0 && !now.Before(d.nextWaitingNote) {
		d.nextWaitingNote = now.Add(waitingNoteInterval)
		d.note("waitingCounted", "", map[string]any{
			"queue": q, "pending": pending, "notStarted": running[notBegun], "unconfirmed": running[unconfirmed], "unknown": unknown, "started": running[begun],
		})
	}
	return count, unknown <= count
}

// waitingNoteInterval is the minimum time between two log lines about numbers of waiting jobs.
const waitingNoteInterval = time.Second

// beginning tells whether a job has begun.
type beginning int

const (
	notBegun beginning = iota
	// unconfirmed means that the agent has not told yet whether the run has started.
	unconfirmed
	// maybeBegun means that the run may have started before the agent connected.
	maybeBegun
	begun
)

// beginning tells whether a task of a job has started. An assigned task counts as started only once
// its agent has told so.
func (d *Dispatcher) beginning(j *job) beginning {
	if j.began {
		return begun
	}
	latest := notBegun
	for _, s := range j.steps {
		for i := range s.spec.Count {
			if s.firstTask+i >= len(j.rec.Tasks) {
				return latest
			}
			t := &j.rec.Tasks[s.firstTask+i]
			if t.State == work.TaskDone || t.Failures > 0 || t.Checkpoint != "" {
				return begun
			}
			if t.State == work.TaskAssigned {
				latest = max(latest, d.runBeginning(j.rec.Executors[t.ExecutorIndex].Agent, runKey{s.name(i), t.Run}))
			}
			if latest == begun {
				return begun
			}
		}
	}
	return latest
}

// listDelay is how long after the leader has sent a start an agent's list may lack it although
// it is delayed.
const listDelay = 1500 * time.Millisecond

// runBeginning tells whether a run that is assigned to an agent has started.
func (d *Dispatcher) runBeginning(id oleandervalve.AgentID, k runKey) beginning {
	a := d.agents[id]
	if a == nil || a.runs[k] == nil {
		return unconfirmed
	}
	r := a.runs[k]
	switch {
	case r.confirmed:
		return begun
	case !r.startSent || a.delayedStarts[k]:
		return notBegun
	case a.unheard || r.unlisted || !r.unansweredUntil.IsZero():
		return maybeBegun
	case a.reportsStarts:
		return unconfirmed
	case r.presumedStarted:
		return begun
	case !a.listsDelayedStarts && a.grantedAt.Sub(r.startedAt) >= listDelay:
		return begun // agents of an earlier release send pings without lists
	}
	return unconfirmed
}
