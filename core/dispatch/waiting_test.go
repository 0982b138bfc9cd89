package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/work"
)

// Guards against jobs that are left out of the number of waiting jobs for good, because a task of
// them was assigned and has never started, and against jobs that have begun and are counted.
func TestJobWhoseStartWasRefusedIsWaiting(t *testing.T) {
	for _, tt := range []struct {
		name string
		// lose undoes the only assignment of the job.
		lose func(c *cluster, a *fakeAgent, k runKey)
		want int
	}{
		{"start refused", func(c *cluster, a *fakeAgent, k runKey) {
			c.dispatcher.RunNeverStarted(c.now, a.id, NeverStarted{Task: k.task, Run: k.run, Reason: oleandervalve.RefusedRoom})
		}, 1},
		{"start lost with its session", func(c *cluster, a *fakeAgent, _ runKey) { c.connect(a) }, 1},
		{"run has failed", func(c *cluster, a *fakeAgent, k runKey) {
			c.dispatcher.RunEnded(c.now, a.id, a.status.Incarnation, oleandervalve.EndedTask{Number: 1, Task: k.task, Run: k.run, How: oleandervalve.EndFailed})
		}, 0},
		{"run was stopped", func(c *cluster, a *fakeAgent, k runKey) {
			c.dispatcher.RunEnded(c.now, a.id, a.status.Incarnation, oleandervalve.EndedTask{Number: 1, Task: k.task, Run: k.run, How: oleandervalve.EndStopped})
		}, 0},
		{"run is listed", func(c *cluster, a *fakeAgent, k runKey) {
			a.running = append(a.running, fakeRun{key: k, ends: c.now.Add(time.Hour)})
			c.connect(a)
			c.dispatcher.ExecutorTerminated(c.now, a.id, a.status.Incarnation, true)
		}, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 1, 1)
			a := c.agents[c.order[0]]
			c.submit("j", work.Queue{Name: "q", Service: "press", MaxAttempts: 3}, work.Spec{Steps: []work.Step{{Count: 1, Demand: oleandervalve.Resources{CPU: 1000}}}})
			c.advanceCommit(true)
			c.advanceCommit(true)
			is.Equal(c.dispatcher.Waiting("q"), 0)
			k := runKey{oleandervalve.TaskName{Job: "j"}, 1}
			is.True(c.dispatcher.agents[a.id].runs[k] != nil)
			// The task finds no other executor.
			a.status.State = oleandervalve.ExecutorDraining
			c.dispatcher.StatusChanged(a.id, a.status)
			tt.lose(c, a, k)
			for range 4 {
				c.advanceCommit(true)
			}
			is.Equal(c.dispatcher.Waiting("q"), tt.want)
			is.Equal(c.dispatcher.Waiting("other"), 0)
		})
	}
}
