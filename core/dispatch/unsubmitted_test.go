package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/work"
)

// verdict returns the verdict on a request, which must have been answered.
func (c *cluster) verdict(t Token) Verdict {
	c.t.Helper()
	r, ok := c.replies[t]
	if !ok {
		c.t.Fatalf("request %d has no reply", t)
	}
	return r.Verdict
}

// commitAll commits all changes.
func (c *cluster) commitAll() {
	for c.batch != nil || len(c.dispatcher.dirtyJobs) > 0 {
		c.advanceCommit(true)
	}
}

// Guards against a flood of cancellations of unknown jobs that fills the table and the memory, or
// keeps known jobs from being cancelled.
func TestCancellationsOfUnknownJobsAreLimited(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	c.submit("known", work.Queue{Name: "q", Service: "press"}, work.Spec{Steps: []work.Step{{Count: 1, Estimate: time.Second}}})
	c.commitAll()
	for n := range maxUnsubmittedJobs + 5 {
		c.cancel(oleandervalve.JobID(fmt.Sprint("unknown", n)))
	}
	c.cancel("known")
	c.commitAll()
	counts := map[Verdict]int{}
	for token := range c.cancels {
		counts[c.verdict(token)]++
	}
	is.Equal(counts, map[Verdict]int{JobNotFound: maxUnsubmittedJobs, NotRun: 5, Accepted: 1})
	is.True(c.replies[c.token-1].RetryAfter > 0)
	c.startLeader()
	c.cancel("other")
	is.Equal(c.verdict(c.token), NotRun)
	is.Equal(c.dispatcher.unsubmittedJobs, maxUnsubmittedJobs)
}

// Guards against submissions that wait behind a flood of cancellations of unknown jobs.
func TestCancellationsOfUnknownJobsHoldUpNoSubmission(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	for n := range maxUnsubmittedJobs {
		c.cancel(oleandervalve.JobID(fmt.Sprintf("job%04d", n)))
	}
	c.submit("a", work.Queue{Name: "q", Service: "press"}, work.Spec{Steps: []work.Step{{Count: 1, Estimate: time.Second}}})
	submission := c.token
	c.advanceCommit(true) // sends the commit
	c.advanceCommit(true)
	is.Equal(c.verdict(submission), Accepted)
}

// Guards against cancelled unknown jobs that are kept for ever because leaders change.
func TestRetentionOfCancelledUnknownJobOutlivesLeader(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	c.cancel("a")
	c.commitAll()
	c.advance(40 * time.Minute)
	c.startLeader()
	c.advance(40 * time.Minute)
	c.commitAll()
	is.True(!c.dispatcher.HasJob("a"))
}

// Guards against records of cancelled unknown jobs that are never deleted, and against a
// cancellation that is acknowledged, or a submission that is accepted, as they are deleted.
func TestCancelledUnknownJobIsDeletedAfterRetention(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	c.cancel("a")
	c.commitAll()
	is.Equal(c.verdict(c.token), JobNotFound)
	c.advance(50 * time.Minute)
	c.cancel("a") // begins the retention anew
	is.Equal(c.verdict(c.token), JobNotFound)
	c.advance(50 * time.Minute)
	is.True(c.dispatcher.HasJob("a"))
	is.Equal(len(c.dispatcher.dirtyJobs), 0)
	c.advance(11 * time.Minute)
	is.Equal(len(c.dispatcher.dirtyJobs), 1)
	c.advanceCommit(true)
	is.Equal(c.batch.Transaction.Deletes, []oleandervalve.Key{work.RecordKey("a"), work.SpecKey("a")})
	c.cancel("a")
	is.Equal(c.verdict(c.token), NotRun)
	spec := work.Spec{Steps: []work.Step{{Count: 1, Estimate: time.Second}}}
	c.submit("a", work.Queue{Name: "q", Service: "press"}, spec)
	is.Equal(c.verdict(c.token), NotRun)
	c.advanceCommit(true)
	is.True(!c.dispatcher.HasJob("a"))
	is.Equal(c.dispatcher.unsubmittedJobs, 0)
}

// Guards against a submission that is accepted, and a cancellation that is acknowledged, while the
// record of an ended job with the same id is being deleted: nothing of either is stored then.
func TestRequestsWhileEndedJobIsDeleted(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	queue, spec := work.Queue{Name: "q", Service: "press"}, work.Spec{Steps: []work.Step{{Count: 1, Estimate: time.Second}}}
	c.submit("a", queue, spec)
	c.runUntilIdle()
	c.advance(2 * time.Hour)
	is.Equal(len(c.dispatcher.dirtyJobs), 1)
	for _, inFlight := range []bool{false, true} {
		if inFlight {
			c.advanceCommit(true)
		}
		c.submit("a", queue, spec)
		is.Equal(c.verdict(c.token), NotRun)
		c.cancel("a")
		is.Equal(c.verdict(c.token), NotRun)
	}
	c.advanceCommit(true)
	is.True(!c.dispatcher.HasJob("a"))
}

// Guards against a job that stays cancelled because of a cancellation that was refused.
func TestRefusedCancellationOfUnknownJobLeavesNoTrace(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	c.cancel("a")
	c.advanceCommit(true)
	c.advanceCommit(false)
	is.Equal(c.verdict(c.token), NotRun)
	is.True(!c.dispatcher.HasJob("a"))
	is.Equal(c.dispatcher.unsubmittedJobs, 0)
	is.Equal(len(c.rows), 0)
}

// Guards against rows of cancelled unknown jobs that entries of an earlier release can't read, so
// that a submission under the same id ends the term of a leader of that release.
func TestEarlierReleasesReadCancelledUnknownJob(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	c.cancel("a")
	c.commitAll()
	s := c.rows["a"]
	is.NoErr(s.Spec.Validate())
	is.NoErr(s.Record.Validate(s.Spec))
	is.Equal(s.Record.State, work.Cancelled)
}
