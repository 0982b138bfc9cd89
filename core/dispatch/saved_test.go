package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/work"
)

// Guards against work that is done again after the loss of an executor or of
// the leader although the executor had saved it, and against checkpoints of
// other runs, of other executors or of tasks that keep none.
func TestTaskResumesFromTheLastCheckpoint(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 2)
	w.submit("job0", work.Queue{Name: "q", Service: "press", MaxAttempts: 3}, work.Spec{Steps: []work.Step{
		{Count: 1, Estimate: time.Minute, Checkpointing: true, Demand: oleandervalve.Resources{CPU: 16000}},
		{Count: 1, Estimate: time.Minute, Demand: oleandervalve.Resources{CPU: 16000}},
	}})
	w.commit(true)
	w.commit(true)
	j := w.d.jobs["job0"]
	task := func(step int) oleandervalve.TaskName { return oleandervalve.TaskName{Job: "job0", Step: step} }
	on := func(step int) oleandervalve.AgentID { return j.rec.Places[j.rec.Tasks[step].Place].Agent }
	w.d.Saved(w.now, on(0), []SavedRun{{Task: task(0), Run: 1, Checkpoint: "c1"}, {Task: task(1), Run: 1, Checkpoint: "x"}})
	w.d.Saved(w.now, on(1), []SavedRun{{Task: task(0), Run: 1, Checkpoint: "other executor"}})
	w.d.Saved(w.now, on(0), []SavedRun{{Task: task(0), Run: 2, Checkpoint: "other run"}, {Task: task(0), Run: 1, Checkpoint: "c2"}})
	is.Equal(j.rec.Tasks[0].Checkpoint, "c2")
	is.Equal(j.rec.Tasks[1].Checkpoint, "")
	is.True(w.d.Pending())

	// The record is durable without an end of the run; the next leader has it.
	w.commit(true)
	w.commit(true)
	is.Equal(w.rows["job0"].Record.Tasks[0].Checkpoint, "c2")
	lost := on(0)
	w.d.Saved(w.now.Add(time.Millisecond), lost, []SavedRun{{Task: task(0), Run: 1, Checkpoint: "c3"}})
	is.True(len(w.d.dirty) == 0) // not a commit for each checkpoint
	w.d.Gone(w.now, lost, w.agents[lost].status.Incarnation)
	is.Equal(j.rec.Tasks[0].Checkpoint, "c3")
	is.Equal(j.rec.Tasks[0].State, work.TaskWaiting)
}
