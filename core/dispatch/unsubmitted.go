package dispatch

import (
	"time"

	"oleandervalve"
	"oleandervalve/core/work"
)

// maxUnsubmittedJobs limits the records of cancelled jobs without a submission, which anyone can
// create by cancelling unknown jobs.
const maxUnsubmittedJobs = 1000

// reasonUnsubmitted is the reason of the refusal of a cancellation because of that limit.
const reasonUnsubmitted oleandervalve.Reason = "tooManyUnknownJobs"

// unsubmittedSpec is stored with the record of a job without a submission. Earlier releases
// take such a job for a cancelled one, whose specification they need.
var unsubmittedSpec = work.Spec{Steps: []work.Step{{Count: 1}}}

// cancelUnsubmitted handles the cancellation of an unknown job. Its submission may still be on
// the way, so the cancellation is stored before it is acknowledged. The commit also proves that no
// other leader has accepted the job.
func (d *Dispatcher) cancelUnsubmitted(now time.Time, id oleandervalve.JobID, t Token) {
	if d.unsubmittedJobs >= maxUnsubmittedJobs {
		d.enqueueAction(Reply{Token: t, Verdict: NotRun, Reason: reasonUnsubmitted, RetryAfter: backlogRetryAfter})
		d.note("cancellationRefused", id, map[string]any{"reason": reasonUnsubmitted, "jobs": d.unsubmittedJobs})
		return
	}
	j := newJob(id, unsubmittedSpec, work.Record{State: work.Cancelled, AcceptedAt: now, EndedAt: now, Unsubmitted: true})
	j.retainUntil = now.Add(d.options.Retention)
	j.cancellers = []Token{t}
	d.jobs[id] = j
	d.countMemory(j)
	d.unsubmittedJobs++
	d.markDirty(j)
	d.note("cancelledUnsubmitted", id, map[string]any{"jobs": d.unsubmittedJobs})
}

// submitCancelled handles the first submission of a job that has been cancelled. The job is
// accepted and shown as cancelled, as if the submission had arrived first.
func (d *Dispatcher) submitCancelled(now time.Time, j *job, s Submission) {
	j.rec.Unsubmitted, j.rec.Queue = false, s.Queue
	d.unsubmittedJobs--
	j.retainUntil = now.Add(d.options.Retention)
	j.submitters = append(j.submitters, s.Token)
	d.markDirty(j)
	d.note("submittedAfterCancellation", j.id, map[string]any{"queue": s.Queue.Name})
}

// cancelVerdict returns the verdict for a cancellation that is durable.
func (j *job) cancelVerdict() Verdict {
	if j.storedUnsubmitted {
		return JobNotFound
	}
	return Accepted
}

// forget removes a job without a row from memory.
func (d *Dispatcher) forget(j *job) {
	delete(d.jobs, j.id)
	d.jobMemory -= j.memory
	if j.rec.Unsubmitted {
		d.unsubmittedJobs--
	}
}
