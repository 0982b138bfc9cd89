package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/work"
)

// Guards against starting tasks on executors that the queue's policy doesn't allow,
// against starts with expired or refused permits, and against requesting permits again for
// executors that were denied.
func TestTasksStartOnlyWithPermits(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 3)
	c.permits = work.PermitPolicy{DecisionTime: 50 * time.Millisecond, TimePerExecutor: 10 * time.Millisecond, Validity: 3 * time.Second}
	queue := work.Queue{Name: "q", Service: "press", MaxAttempts: 3, Permits: c.permits}
	c.submit("job0", queue, work.Spec{Steps: []work.Step{{Count: 5, Estimate: time.Second, Demand: oleandervalve.Resources{CPU: 8000}}}})
	is.Equal(len(c.dispatcher.jobs["job0"].steps[0].waiting), 5) // nothing is placed without an answer
	is.Equal(len(c.permitRequests), 1)
	r := c.permitRequests[0]
	is.Equal(len(r.Executors), 3)
	is.Equal(r.Timeout, 80*time.Millisecond)

	c.permitRequests = nil
	allowed, denied, other := r.Executors[0], r.Executors[1], r.Executors[2]
	c.dispatcher.PermitsReceived(c.now, r, nil) // no answer
	c.advance(permitRetryDelay)
	c.dispatcher.Tick(c.now)
	c.collect()
	is.Equal(len(c.permitRequests), 1)
	c.permitRequests = nil
	c.dispatcher.PermitsReceived(c.now, r, &oleandervalve.PermitGrant{Validity: 3 * time.Second, Permits: []oleandervalve.Permit{{Executor: allowed, Token: "t1"}, {Executor: other, Token: "t2"}}})
	c.dispatcher.Schedule(c.now)
	batch := c.dispatcher.Batch()
	starts := map[oleandervalve.ExecutorID][]Start{}
	c.dispatcher.CommitApplied(c.now, batch, 1)
	for _, x := range c.dispatcher.TakeActions() {
		if s, ok := x.(Start); ok {
			starts[s.Executor.ID] = append(starts[s.Executor.ID], s)
		}
	}
	is.Equal(len(starts[allowed]), 2)
	is.Equal(starts[allowed][0].PermitToken, "t1")
	is.Equal(len(starts[other]), 2)
	is.Equal(len(starts[denied]), 0)

	// A refused permit is requested again; the denied executor is not.
	refused := starts[allowed][0]
	c.dispatcher.RunNeverStarted(c.now, refused.Agent, NeverStarted{Task: refused.Task, Run: refused.Run, Reason: oleandervalve.RefusedPermit})
	c.collect()
	is.Equal(len(c.permitRequests), 1)
	is.Equal(c.permitRequests[0].Executors, []oleandervalve.ExecutorID{allowed})

	// An expired permit starts nothing.
	c.dispatcher.PermitsReceived(c.now, c.permitRequests[0], &oleandervalve.PermitGrant{Validity: permitMargin / 2, Permits: []oleandervalve.Permit{{Executor: allowed, Token: "t3"}}})
	c.permitRequests = nil
	c.collect()
	is.Equal(len(c.permitRequests), 1)
}
