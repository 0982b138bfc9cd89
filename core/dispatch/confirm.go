package dispatch

import (
	"slices"
	"sort"
	"time"

	"oleandervalve"
	"oleandervalve/core/work"
)

// StartedRun is a run whose start order the executor has answered, with no attempt at it still on
// its way.
type StartedRun struct {
	Task oleandervalve.TaskName  `cbor:"1,keyasint"`
	Run  oleandervalve.RunNumber `cbor:"2,keyasint"`
}

// UnansweredStart is a run whose start order has had no answer from an incarnation of an executor that
// has ended, so that a later one may begin it.
type UnansweredStart struct {
	Task oleandervalve.TaskName  `cbor:"1,keyasint"`
	Run  oleandervalve.RunNumber `cbor:"2,keyasint"`
	// For is how long the run may still go on, or begin if the executor has been met again.
	For time.Duration `cbor:"3,keyasint"`
}

// Confirmations tells the next leader which starts are confirmed.
type Confirmations struct {
	// Through is a sequence number: all runs in records with it or a lower one are confirmed, except
	// those in Unconfirmed.
	Through     uint64       `cbor:"1,keyasint,omitempty"`
	Unconfirmed []StartedRun `cbor:"2,keyasint,omitempty"`
}

const (
	// namedAfter is the age from which on unconfirmed starts are named one by one.
	namedAfter = 1500 * time.Millisecond
	// maxNamed limits their number, for the size of the leader's row.
	maxNamed = 64
)

// RunsStarted records that starts are confirmed, which an agent that does so at all does for each
// start. It answers the load of executors that start again under their ids and are cut off: only runs
// that are not confirmed may have begun in an incarnation that nobody has met.
func (d *Dispatcher) RunsStarted(_ time.Time, id oleandervalve.AgentID, runs []StartedRun) {
	a := d.agents[id]
	if a == nil || !a.connected || a.status.State == oleandervalve.ExecutorTerminated {
		return
	}
	a.reportsStarts = true
	for _, s := range runs {
		r := a.runs[runKey{s.Task, s.Run}]
		if r == nil || !r.startSent {
			continue
		}
		r.confirmed = true
		if r.step != nil {
			r.step.job.began = true
		}
	}
}

// StartsUnanswered replaces what an agent has reported of the starts without an answer. unknownFor
// concerns all runs that are not confirmed: it is for how long those may go on, or begin, that an
// earlier process of the agent has ordered.
func (d *Dispatcher) StartsUnanswered(now time.Time, id oleandervalve.AgentID, starts []UnansweredStart, unknownFor time.Duration) {
	a := d.agents[id]
	if a == nil {
		return
	}
	a.forgetUnanswered()
	for _, r := range a.runs {
		if unknownFor > 0 && r.startSent && !r.confirmed {
			r.unansweredUntil = now.Add(unknownFor)
		}
	}
	for _, s := range starts {
		if r := a.runs[runKey{s.Task, s.Run}]; r != nil {
			r.confirmed, r.late, r.unansweredUntil = false, true, now.Add(s.For)
			d.note("startUnanswered", s.Task.Job, map[string]any{"task": s.Task.String(), "run": s.Run, "agent": id, "forMs": s.For.Milliseconds()})
		}
	}
}

func (a *agent) forgetUnanswered() {
	for _, r := range a.runs {
		r.late, r.unansweredUntil = false, time.Time{}
	}
}

// hasUnansweredStart reports whether the agent has reported a start without an answer.
func (a *agent) hasUnansweredStart() bool {
	for _, r := range a.runs {
		if !r.unansweredUntil.IsZero() {
			return true
		}
	}
	return false
}

// endsBy returns when a run has certainly ended if its agent stays silent.
func (d *Dispatcher) endsBy(a *agent, r *run) time.Time {
	leaseEnd := a.grantedAt.Add(d.options.TakeoverAfter)
	switch {
	case !r.startSent || r.confirmed:
		return leaseEnd
	case !r.unansweredUntil.IsZero():
		return r.unansweredUntil
	case r.step != nil && r.step.spec.LongRunning && a.reportsStarts && r.startedAt.After(a.grantedAt):
		// An agent of this release starts long-running tasks only after the answer to a ping that it has
		// sent since the order, and there was none.
		return leaseEnd
	}
	return a.grantedAt.Add(max(d.options.TakeoverAfter, d.options.UnconfirmedAfter))
}

// abortGangOf stops the other members of the gang of a run that is lost, whether it has begun or not.
func (d *Dispatcher) abortGangOf(r *run, k runKey) {
	if r.step != nil && r.step.spec.Gang && !r.stopping && !r.step.job.rec.State.Terminal() {
		d.abortGang(r.step, k.run)
	}
}

// releaseEndedRuns releases the runs that have certainly ended of an executor that is lost or whose
// agent is silent, and forgets a silent agent without runs.
func (d *Dispatcher) releaseEndedRuns(now time.Time, a *agent) {
	silence := now.Sub(a.grantedAt)
	if a.connected && !a.hasUnansweredStart() || !a.connected && silence <= d.options.TakeoverAfter {
		return
	}
	released, kept := 0, 0
	for _, k := range a.sortedRuns() {
		r := a.runs[k]
		if a.connected && (r.unansweredUntil.IsZero() || r.unlisted) {
			continue
		}
		if end := d.endsBy(a, r); !now.After(end) {
			kept++
			d.abortGangOf(r, k)
			continue
		}
		released++
		d.releaseUnstarted(now, a, k, "lost")
	}
	if a.connected {
		return
	}
	if released > 0 || kept == 0 {
		d.note("executorLost", "", map[string]any{"agent": a.id, "runs": released, "unconfirmed": kept, "silentMs": silence.Milliseconds()})
	}
	if kept == 0 {
		d.removeAgent(a)
	}
}

// unconfirmedTasks returns the indexes of the assigned tasks of a job whose starts are not confirmed.
func (d *Dispatcher) unconfirmedTasks(j *job) []int {
	if j.rec.State.Terminal() {
		return nil
	}
	var out []int
	for _, s := range j.steps {
		for i := range s.spec.Count {
			n := s.firstTask + i
			if n >= len(j.rec.Tasks) {
				return out
			}
			t := &j.rec.Tasks[n]
			if t.State != work.TaskAssigned {
				continue
			}
			a := d.agents[j.rec.Executors[t.ExecutorIndex].Agent]
			if a == nil {
				continue
			}
			if r := a.runs[runKey{s.name(i), t.Run}]; r != nil && !r.confirmed {
				out = append(out, n)
			}
		}
	}
	return out
}

// Confirmations returns what the next leader has to know of starts. Young ones are not named, as they
// are soon confirmed.
func (d *Dispatcher) Confirmations(now time.Time) Confirmations {
	var unconfirmed []runKey
	sequences := map[runKey]uint64{}
	through := d.committedSequence
	for _, a := range d.sortedAgents {
		for k, r := range a.runs {
			switch {
			case !r.startSent || r.confirmed || r.sequence == 0 || r.step == nil || r.step.job.rec.State.Terminal():
			case !a.unheard && now.Sub(r.startedAt) < namedAfter:
				through = min(through, r.sequence-1)
			default:
				unconfirmed = append(unconfirmed, k)
				sequences[k] = r.sequence
			}
		}
	}
	sort.Slice(unconfirmed, func(i, j int) bool {
		a, b := unconfirmed[i], unconfirmed[j]
		if sequences[a] != sequences[b] {
			return sequences[a] < sequences[b]
		}
		return a.task.String() < b.task.String()
	})
	c := Confirmations{Through: through}
	for i, k := range unconfirmed {
		if i == maxNamed || sequences[k] > through {
			c.Through = min(c.Through, sequences[k]-1)
			break
		}
		c.Unconfirmed = append(c.Unconfirmed, StartedRun{Task: k.task, Run: k.run})
	}
	return c
}

// RestoreConfirmations takes over what the previous leader has stored of starts, after Load and
// before any agent connects.
func (d *Dispatcher) RestoreConfirmations(c Confirmations) {
	// The record with the highest number may have been deleted.
	d.sequence = max(d.sequence, c.Through)
	d.committedSequence = d.sequence
	for _, a := range d.sortedAgents {
		for k, r := range a.runs {
			if r.sequence <= c.Through {
				r.confirmed = !slices.Contains(c.Unconfirmed, StartedRun{Task: k.task, Run: k.run})
			}
		}
	}
}
