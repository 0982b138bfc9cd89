package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/work"
)

// Guards against tasks on executors that the queue's policy does not allow,
// against starts with tickets that have expired or were refused, and against
// questions about executors that were denied.
func TestTasksStartOnlyWithPermits(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 3)
	w.permits = work.PermitPolicy{Decide: 50 * time.Millisecond, PerExecutor: 10 * time.Millisecond, Valid: 3 * time.Second}
	queue := work.Queue{Name: "q", Service: "press", MaxAttempts: 3, Permits: w.permits}
	w.submit("job0", queue, work.Spec{Steps: []work.Step{{Count: 5, Estimate: time.Second, Demand: oleandervalve.Resources{CPU: 8000}}}})
	is.Equal(len(w.d.jobs["job0"].steps[0].waiting), 5) // nothing without an answer
	is.Equal(len(w.questions), 1)
	q := w.questions[0]
	is.Equal(len(q.Executors), 3)
	is.Equal(q.Timeout, 80*time.Millisecond)

	w.questions = nil
	allowed, denied, other := q.Executors[0], q.Executors[1], q.Executors[2]
	w.d.Permitted(w.now, q, nil) // no answer
	w.advance(permitRetry)
	w.d.Tick(w.now)
	w.collect()
	is.Equal(len(w.questions), 1)
	w.questions = nil
	w.d.Permitted(w.now, q, &oleandervalve.PermitGrant{Valid: 3 * time.Second, Permits: []oleandervalve.Permit{{Executor: allowed, Ticket: "t1"}, {Executor: other, Ticket: "t2"}}})
	w.d.Schedule(w.now)
	batch := w.d.Batch()
	starts := map[oleandervalve.ExecutorID][]Start{}
	w.d.Applied(w.now, batch, 1)
	for _, x := range w.d.Next() {
		if s, ok := x.(Start); ok {
			starts[s.Executor.ID] = append(starts[s.Executor.ID], s)
		}
	}
	is.Equal(len(starts[allowed]), 2)
	is.Equal(starts[allowed][0].Ticket, "t1")
	is.Equal(len(starts[other]), 2)
	is.Equal(len(starts[denied]), 0)

	// A refused ticket is asked for again; the denied executor is not.
	refused := starts[allowed][0]
	w.d.Voided(w.now, refused.Agent, Void{Task: refused.Task, Run: refused.Run, Reason: oleandervalve.RefusedTicket})
	w.collect()
	is.Equal(len(w.questions), 1)
	is.Equal(w.questions[0].Executors, []oleandervalve.ExecutorID{allowed})

	// An expired ticket starts nothing.
	w.d.Permitted(w.now, w.questions[0], &oleandervalve.PermitGrant{Valid: permitMargin / 2, Permits: []oleandervalve.Permit{{Executor: allowed, Ticket: "t3"}}})
	w.questions = nil
	w.collect()
	is.Equal(len(w.questions), 1)
}
