package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/work"
)

// Guards against repeating checkpointed work after the loss of an executor or of the
// leader, and against accepting checkpoints of other runs, other executors or tasks
// without checkpointing.
func TestTaskResumesFromTheLastCheckpoint(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 2)
	c.submit("job0", work.Queue{Name: "q", Service: "press", MaxAttempts: 3}, work.Spec{Steps: []work.Step{
		{Count: 1, Estimate: time.Minute, Checkpointing: true, Demand: oleandervalve.Resources{CPU: 16000}},
		{Count: 1, Estimate: time.Minute, Demand: oleandervalve.Resources{CPU: 16000}},
	}})
	c.advanceCommit(true)
	c.advanceCommit(true)
	j := c.dispatcher.jobs["job0"]
	task := func(step int) oleandervalve.TaskName { return oleandervalve.TaskName{Job: "job0", Step: step} }
	on := func(step int) oleandervalve.AgentID { return j.rec.Executors[j.rec.Tasks[step].ExecutorIndex].Agent }
	c.dispatcher.RunsCheckpointed(c.now, on(0), []RunCheckpoint{{Task: task(0), Run: 1, Checkpoint: "c1"}, {Task: task(1), Run: 1, Checkpoint: "x"}})
	c.dispatcher.RunsCheckpointed(c.now, on(1), []RunCheckpoint{{Task: task(0), Run: 1, Checkpoint: "other executor"}})
	c.dispatcher.RunsCheckpointed(c.now, on(0), []RunCheckpoint{{Task: task(0), Run: 2, Checkpoint: "other run"}, {Task: task(0), Run: 1, Checkpoint: "c2"}})
	is.Equal(j.rec.Tasks[0].Checkpoint, "c2")
	is.Equal(j.rec.Tasks[1].Checkpoint, "")
	is.True(c.dispatcher.Pending())

	// The checkpoint is stored while the run continues, so the next leader has it.
	c.advanceCommit(true)
	c.advanceCommit(true)
	is.Equal(c.rows["job0"].Record.Tasks[0].Checkpoint, "c2")
	lost := on(0)
	c.dispatcher.RunsCheckpointed(c.now.Add(time.Millisecond), lost, []RunCheckpoint{{Task: task(0), Run: 1, Checkpoint: "c3"}})
	is.True(len(c.dispatcher.dirtyJobs) == 0) // checkpoints are not committed one by one
	c.dispatcher.ExecutorTerminated(c.now, lost, c.agents[lost].status.Incarnation, false)
	is.Equal(j.rec.Tasks[0].Checkpoint, "c3")
	is.Equal(j.rec.Tasks[0].State, work.TaskWaiting)
}
