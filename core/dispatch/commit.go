package dispatch

import (
	"slices"
	"time"

	"oleandervalve"
	"oleandervalve/core/work"
)

const (
	// maxBatchOperations limits the conditions, writes and deletions of a commit. The
	// table accepts 100 per call, and the update of the leader's own row needs two.
	maxBatchOperations = 95
	// maxBatchBytes limits the total size of the values of a commit; the table accepts a
	// megabyte per call.
	maxBatchBytes = 500_000
	// unavailableRetryAfter is the retry delay sent to callers after the table refused a write.
	unavailableRetryAfter = time.Second
)

// Batch is a transaction that stores changed jobs.
type Batch struct {
	Transaction oleandervalve.Transaction
	changes     []jobChange
}

// jobChange is the part of a Batch that belongs to one job.
type jobChange struct {
	job               *job
	state             work.State
	storedUnsubmitted bool
	expired           bool
	wroteSpec         bool
	submitters        []Token
	cancellers        []Token
	effects           []Action
}

// maxOperationsPerJob is the maximum number of operations per job: a condition and two
// writes or deletions.
const maxOperationsPerJob = 3

func (b *Batch) operationCount() int {
	return len(b.Transaction.Conditions) + len(b.Transaction.Puts) + len(b.Transaction.Deletes)
}

// Empty reports whether the batch changes no job.
func (b *Batch) Empty() bool { return len(b.changes) == 0 }

// Pending reports whether there are changes to commit or tasks to place.
func (d *Dispatcher) Pending() bool { return len(d.dirtyJobs) > 0 || d.placementNeeded }

// Batch returns the next commit, or nil if nothing has changed. It takes as many changed
// jobs as fit into one commit, the most urgent ones first. Only one batch may be in flight at a time.
func (d *Dispatcher) Batch() *Batch {
	if len(d.dirtyJobs) == 0 {
		return nil
	}
	slices.SortStableFunc(d.dirtyJobs, compareUrgency)
	b := &Batch{}
	size, n := 0, 0
	for _, j := range d.dirtyJobs {
		if b.operationCount()+maxOperationsPerJob > maxBatchOperations || size > maxBatchBytes || n > 0 && (j.alone || d.dirtyJobs[0].alone) {
			break
		}
		n++
		c := jobChange{job: j, state: j.rec.State, storedUnsubmitted: j.rec.Unsubmitted, expired: j.expired, submitters: j.submitters, cancellers: j.cancellers, effects: j.effects}
		key := work.RecordKey(j.id)
		b.Transaction.Conditions = append(b.Transaction.Conditions, oleandervalve.Condition{Key: key, Version: j.version})
		if j.expired {
			b.Transaction.Deletes = append(b.Transaction.Deletes, key)
		} else {
			d.sequence++
			j.rec.Sequence = d.sequence
			j.rec.Unconfirmed = d.unconfirmedTasks(j)
			value, left := j.rec.Compact().EncodeWithin(int(d.options.MaxRow))
			if len(left) != j.leftOut {
				j.leftOut = len(left)
				d.note("recordReduced", j.id, map[string]any{"bytes": len(value), "leftOut": left, "tasks": len(j.rec.Tasks)})
			}
			b.Transaction.Puts = append(b.Transaction.Puts, oleandervalve.Put{Key: key, Value: value})
			size += len(value)
		}
		switch {
		case (j.expired || j.rec.State == work.Completed) && j.specVersion > 0:
			// No task of the job will run again, so its specification is not needed.
			b.Transaction.Deletes = append(b.Transaction.Deletes, work.SpecKey(j.id))
		case j.specVersion == 0 && j.version == 0:
			spec := work.Encode(j.spec)
			b.Transaction.Puts = append(b.Transaction.Puts, oleandervalve.Put{Key: work.SpecKey(j.id), Value: spec})
			c.wroteSpec = true
			size += len(spec)
		}
		j.submitters, j.cancellers, j.effects, j.dirty = nil, nil, nil, false
		j.inFlight = true
		b.changes = append(b.changes, c)
	}
	d.dirtyJobs = append([]*job(nil), d.dirtyJobs[n:]...)
	return b
}

// compareUrgency orders changed jobs for the next commit: those without a submission and
// deletions come last, so that a flood of cancellations of unknown jobs, or the end of their
// retention, doesn't hold up submissions and ends.
func compareUrgency(a, b *job) int {
	rank := func(j *job) int {
		if j.expired || j.rec.Unsubmitted {
			return 1
		}
		return 0
	}
	return rank(a) - rank(b)
}

// CommitApplied handles a successful commit: it replies to callers and applies the effects
// that depended on the commit.
func (d *Dispatcher) CommitApplied(now time.Time, b *Batch, version oleandervalve.Version) {
	for _, c := range b.changes {
		d.committedSequence = max(d.committedSequence, c.job.rec.Sequence)
		c.job.version, c.job.committedState, c.job.storedUnsubmitted, c.job.inFlight, c.job.alone = version, c.state, c.storedUnsubmitted, false, false
		if c.expired {
			d.forget(c.job)
		}
		switch {
		case c.wroteSpec:
			c.job.specVersion = version
		case c.state == work.Completed:
			c.job.specVersion = 0
		}
		submitters := c.submitters
		if !c.storedUnsubmitted {
			// Submissions that were repeated during the commit need no other one.
			submitters = slices.Concat(submitters, c.job.submitters)
			c.job.submitters = nil
		}
		for _, t := range submitters {
			d.enqueueAction(Reply{Token: t, Verdict: Accepted})
		}
		for _, t := range c.cancellers {
			d.enqueueAction(Reply{Token: t, Verdict: c.job.cancelVerdict()})
		}
		for _, x := range c.effects {
			d.applyEffect(now, x)
		}
	}
}

// applyEffect applies an effect of a committed change unless the effect is obsolete.
func (d *Dispatcher) applyEffect(now time.Time, x Action) {
	if stop, ok := x.(Stop); ok {
		if a := d.agents[stop.Agent]; a == nil || a.runs[runKey{stop.Task, stop.Run}] == nil {
			return
		}
	}
	s, ok := x.(Start)
	if !ok {
		d.enqueueAction(x)
		return
	}
	a := d.agents[s.Agent]
	k := runKey{s.Task, s.Run}
	if a == nil || a.runs[k] == nil {
		// The run was released during the commit, and its task requeued.
		return
	}
	r := a.runs[k]
	if a.evacuated && !r.stopping && a.connected {
		d.recordWithdrawn(a)
		d.releaseUnstarted(now, a, k, string(oleandervalve.RefusedEvacuating))
		return
	}
	if r.stopping || !a.usable() || a.status.Incarnation != s.Executor {
		d.releaseUnstarted(now, a, k, "executorChanged")
		return
	}
	if !a.reserved.Fits(a.status.Capacity) {
		d.releaseUnstarted(now, a, k, "capacity")
		return
	}
	r.startSent, r.startedAt, r.sequence = true, now, r.step.job.rec.Sequence
	d.shareContentionWith(now, a)
	d.enqueueAction(s)
}

// CommitRefused handles a commit that the table has not applied and will never apply. New
// jobs are refused to their callers; all other changes are retried with the next commit.
func (d *Dispatcher) CommitRefused(now time.Time, b *Batch) {
	for _, c := range b.changes {
		c.job.inFlight = false
		if c.job.version == 0 {
			d.refuseJob(c, reasonTableUnavailable)
			continue
		}
		d.restoreChange(c)
	}
}

// CommitRejected handles a commit that the table will never accept, because of a row or of its
// size. Its jobs are committed one by one; a job that is rejected alone is refused to its
// caller if it is new, and otherwise tried again after a while, so that it holds up no other.
func (d *Dispatcher) CommitRejected(now time.Time, b *Batch) {
	for _, c := range b.changes {
		j := c.job
		j.inFlight = false
		rejectedAlone := len(b.changes) == 1
		if rejectedAlone {
			d.note("rejected", j.id, map[string]any{"bytes": b.valueBytes(), "tasks": len(j.rec.Tasks), "stored": j.version > 0})
		}
		if rejectedAlone && j.version == 0 {
			d.refuseJob(c, reasonRowRejected)
			continue
		}
		j.alone = true
		d.restoreChange(c)
		if rejectedAlone {
			j.retryAt = now.Add(rejectedRetryDelay)
			d.dirtyJobs = slices.DeleteFunc(d.dirtyJobs, func(x *job) bool { return x == j })
			d.rejectedJobs = append(d.rejectedJobs, j)
		}
	}
}

// rejectedRetryDelay is the delay before a job whose row was rejected is committed again.
const rejectedRetryDelay = 5 * time.Second

// retryRejectedJobs returns rejected jobs to the next commit once their delay has passed.
func (d *Dispatcher) retryRejectedJobs(now time.Time) {
	d.rejectedJobs = slices.DeleteFunc(d.rejectedJobs, func(j *job) bool {
		if j.retryAt.After(now) {
			return false
		}
		d.dirtyJobs = append(d.dirtyJobs, j)
		return true
	})
}

// valueBytes returns the total size of the values of the batch.
func (b *Batch) valueBytes() int {
	n := 0
	for _, p := range b.Transaction.Puts {
		n += len(p.Value)
	}
	return n
}

// refuseJob discards a job that was never stored and tells its callers.
func (d *Dispatcher) refuseJob(c jobChange, reason oleandervalve.Reason) {
	j := c.job
	submitters, cancellers := slices.Concat(c.submitters, j.submitters), slices.Concat(c.cancellers, j.cancellers)
	d.discardJob(j)
	// Another leader may have accepted the job, so cancellations are refused too.
	for _, t := range slices.Concat(submitters, cancellers) {
		d.enqueueAction(Reply{Token: t, Verdict: NotRun, Reason: reason, RetryAfter: unavailableRetryAfter})
	}
	d.note("refused", j.id, map[string]any{"reason": reason, "queue": j.rec.Queue.Name})
}

// restoreChange returns a change that was not applied to its job, for the next commit.
func (d *Dispatcher) restoreChange(c jobChange) {
	j := c.job
	j.effects = append(c.effects, j.effects...)
	j.submitters = append(c.submitters, j.submitters...)
	j.cancellers = append(c.cancellers, j.cancellers...)
	d.markDirty(j)
}

// RefuseUnsent refuses the new jobs that no commit has carried yet, for a time in which the
// outcome of the commit in flight stays unknown: they have certainly not been stored, and
// their callers would otherwise wait for that outcome.
func (d *Dispatcher) RefuseUnsent(retryAfter time.Duration) {
	for _, j := range slices.Clone(d.dirtyJobs) {
		if j.version > 0 || j.inFlight {
			continue
		}
		submitters, cancellers := j.submitters, j.cancellers
		d.discardJob(j)
		for _, t := range slices.Concat(submitters, cancellers) {
			d.enqueueAction(Reply{Token: t, Verdict: NotRun, Reason: reasonTableUnavailable, RetryAfter: retryAfter})
		}
		d.note("refused", j.id, map[string]any{"reason": reasonTableUnavailable, "queue": j.rec.Queue.Name, "retryAfterMs": retryAfter.Milliseconds()})
	}
}

const (
	// reasonTableUnavailable is the reason of refusals while the table can't be written to.
	reasonTableUnavailable oleandervalve.Reason = "tableUnavailable"
	// reasonRowRejected is the reason of the refusal of a job whose rows the table rejects.
	reasonRowRejected oleandervalve.Reason = "rowRejected"
	// reasonExpiring is the reason of refusals while the record of an ended job is being deleted.
	reasonExpiring oleandervalve.Reason = "expiring"
)

// discardJob removes a job that was never stored. No Start of the job has been sent.
func (d *Dispatcher) discardJob(j *job) {
	d.forget(j)
	d.overload.policy.Discard(j.id)
	if !j.rec.State.Terminal() {
		d.countActive(j, -1)
	}
	j.rec.State = work.Cancelled
	for _, s := range j.steps {
		delete(d.ready, s)
	}
	for _, a := range d.sortedAgents {
		for k, r := range a.runs {
			if r.step != nil && r.step.job == j {
				a.release(k)
			}
		}
	}
	for i, other := range d.dirtyJobs {
		if other == j {
			d.dirtyJobs = append(d.dirtyJobs[:i:i], d.dirtyJobs[i+1:]...)
			break
		}
	}
	d.placementNeeded = true
}
