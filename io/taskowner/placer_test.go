package taskowner

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/job"
	"oleandervalve/core/scheduler"
)

// Guards against measurements that are ignored because the scheduler has the epoch
// at which a task was submitted instead of that of its run.
func TestPlacerLearnsFromTheEpochThatRuns(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	p := newPlacer(scheduler.DefaultConfig(), logrus.NewEntry(logrus.New()))
	capacity := oleandervalve.Resources{CPU: 16_000, Memory: 1 << 34}
	p.scheduler.UpdateWorker("w", oleandervalve.Location{}, nil, capacity)
	p.scheduler.SetUnassigned(capacity)
	r := job.Record{Job: "j", State: job.StateQueued, Spec: oleandervalve.TaskSpec{
		Task: "j/0", Kind: "k", Team: "t", Size: oleandervalve.Resources{CPU: 8000, Memory: 1 << 33},
	}}
	is.Equal(p.Choose(now, r).Worker, oleandervalve.WorkerID("")) // submitted, but no decision yet
	p.recordDecisions(now, p.scheduler.Step(now, maxPlacementsPerStep))
	is.Equal(p.Choose(now, r).Worker, oleandervalve.WorkerID("w"))
	r.State, r.Epoch, r.Worker = job.StateAssigned, 1, "w"
	p.sync(now, r)
	r.State = job.StateRunning
	p.sync(now, r)
	used := oleandervalve.Resources{CPU: 800, Memory: 1 << 30}
	p.scheduler.Sample(oleandervalve.UsageSample{Task: "j/0", Epoch: 1, At: now.Add(time.Second), Used: used, Slowdown: 1}, now.Add(2*time.Second))
	is.Equal(p.scheduler.Sizes().KindSnapshot("k").Samples, uint64(1))
	r.State = job.StateEvicted
	p.sync(now, r)
	is.Equal(p.tasks["j/0"].stage, stageQueued)
	r.State = job.StateFinished
	p.sync(now, r)
	is.True(p.tasks["j/0"] == nil)
	is.Equal(p.scheduler.WaitingTasks(), 0) // a finished task leaves the queue
}
