package dispatch

import (
	"time"

	"oleandervalve"
	"oleandervalve/core/work"
)

const (
	// batchEntries bounds the conditions, writes and deletions of one commit; the
	// table takes a hundred in a call, and the leader's own row takes two.
	batchEntries = 95
	// batchBytes bounds the values of one commit, below the table's megabyte a call.
	batchBytes = 500_000
	// unavailableRetry is when a caller may come back after the table refused a write.
	unavailableRetry = time.Second
)

// Batch is one commit of changed jobs.
type Batch struct {
	Transaction oleandervalve.Transaction
	entries     []entry
}

type entry struct {
	job        *job
	state      work.State
	expired    bool
	wroteSpec  bool
	submitters []Token
	cancellers []Token
	effects    []Action
}

// entriesPerJob is the most that one job takes: a condition and two writes.
const entriesPerJob = 3

func (b *Batch) entriesUsed() int {
	return len(b.Transaction.Conditions) + len(b.Transaction.Puts) + len(b.Transaction.Deletes)
}

// Pending reports whether changes wait for a commit, or work for placement.
func (d *Dispatcher) Pending() bool { return len(d.dirty) > 0 || d.stale }

// Batch takes the waiting changes, or as many as one commit may hold. Only one
// batch is on its way at a time.
func (d *Dispatcher) Batch() *Batch {
	if len(d.dirty) == 0 {
		return nil
	}
	b := &Batch{}
	size, n := 0, 0
	for _, j := range d.dirty {
		if b.entriesUsed()+entriesPerJob > batchEntries || size > batchBytes {
			break
		}
		n++
		e := entry{job: j, state: j.rec.State, expired: j.expired, submitters: j.submitters, cancellers: j.cancellers, effects: j.effects}
		key := work.RecordKey(j.id)
		b.Transaction.Conditions = append(b.Transaction.Conditions, oleandervalve.Condition{Key: key, Version: j.version})
		if j.expired {
			b.Transaction.Deletes = append(b.Transaction.Deletes, key)
		} else {
			d.sequence++
			j.rec.Sequence = d.sequence
			value := work.Encode(j.rec)
			b.Transaction.Puts = append(b.Transaction.Puts, oleandervalve.Put{Key: key, Value: value})
			size += len(value)
		}
		switch {
		case (j.expired || j.rec.State == work.Completed) && j.specVersion > 0:
			// Nothing of the job runs again.
			b.Transaction.Deletes = append(b.Transaction.Deletes, work.SpecKey(j.id))
		case j.specVersion == 0 && j.version == 0:
			spec := work.Encode(j.spec)
			b.Transaction.Puts = append(b.Transaction.Puts, oleandervalve.Put{Key: work.SpecKey(j.id), Value: spec})
			e.wroteSpec = true
			size += len(spec)
		}
		j.submitters, j.cancellers, j.effects, j.queued = nil, nil, nil, false
		j.inFlight = true
		b.entries = append(b.entries, e)
	}
	d.dirty = append([]*job(nil), d.dirty[n:]...)
	return b
}

// Applied takes the success of a commit and emits what waited for it.
func (d *Dispatcher) Applied(now time.Time, b *Batch, version oleandervalve.Version) {
	for _, e := range b.entries {
		e.job.version, e.job.shown, e.job.inFlight = version, e.state, false
		if e.expired {
			delete(d.jobs, e.job.id)
		}
		switch {
		case e.wroteSpec:
			e.job.specVersion = version
		case e.state == work.Completed:
			e.job.specVersion = 0
		}
		for _, t := range append(e.submitters, e.cancellers...) {
			d.act(Reply{Token: t, Verdict: Accepted})
		}
		for _, x := range e.effects {
			d.emit(now, x)
		}
	}
}

// emit carries out an effect of a durable change, unless it has become obsolete.
func (d *Dispatcher) emit(now time.Time, x Action) {
	if stop, ok := x.(Stop); ok {
		if a := d.agents[stop.Agent]; a == nil || a.runs[runKey{stop.Task, stop.Run}] == nil {
			return
		}
	}
	s, ok := x.(Start)
	if !ok {
		d.act(x)
		return
	}
	a := d.agents[s.Agent]
	k := runKey{s.Task, s.Run}
	if a == nil || a.runs[k] == nil {
		return
	}
	r := a.runs[k]
	if r.stopping || !a.usable() || a.status.Incarnation != s.Executor {
		d.unheld(now, a, k, "executorChanged")
		return
	}
	r.ordered = true
	r.startAt = now
	d.act(s)
}

// Refused takes a commit that the table has not applied and never will: new
// jobs are refused to their callers, all other changes wait for the next commit.
func (d *Dispatcher) Refused(now time.Time, b *Batch) {
	for _, e := range b.entries {
		j := e.job
		j.inFlight = false
		if j.version == 0 {
			d.forget(j)
			for _, t := range append(e.submitters, j.submitters...) {
				d.act(Reply{Token: t, Verdict: NotRun, Reason: "tableUnavailable", RetryAfter: unavailableRetry})
			}
			for _, t := range append(e.cancellers, j.cancellers...) {
				d.act(Reply{Token: t, Verdict: NoJob})
			}
			d.note("refused", j.id, map[string]any{"reason": "tableUnavailable"})
			continue
		}
		j.effects = append(e.effects, j.effects...)
		j.cancellers = append(e.cancellers, j.cancellers...)
		d.touch(j)
	}
}

// forget drops a job that was never stored; none of its start orders was given.
func (d *Dispatcher) forget(j *job) {
	delete(d.jobs, j.id)
	if !j.rec.State.Terminal() {
		d.open--
	}
	j.rec.State = work.Cancelled
	for _, s := range j.steps {
		delete(d.ready, s)
	}
	for _, a := range d.ordered {
		for k, r := range a.runs {
			if r.step != nil && r.step.job == j {
				a.release(k)
			}
		}
	}
	for i, q := range d.dirty {
		if q == j {
			d.dirty = append(d.dirty[:i:i], d.dirty[i+1:]...)
			break
		}
	}
	d.stale = true
}
