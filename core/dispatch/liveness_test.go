package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/crash"
	"oleandervalve/core/work"
)

// Guards against long-running tasks that wait as long as it takes to isolate hundreds of suspect
// tasks, because much of the fleet is in use although there is room for them.
func TestLongRunningTasksAreNotHeldUpByIsolationsUnderLoad(t *testing.T) {
	for _, tc := range []struct {
		name    string
		suspect bool
		// executors is the number of executors that have the label of the long-running tasks.
		executors int
		// beside means that jobs whose tasks need less, and find no executor, come first.
		beside bool
	}{{"suspect", true, 6, false}, {"innocent", false, 1, false}, {"innocent, beside smaller tasks", false, 1, true}} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 1, 6)
			c.failureProbability = 0
			lasting := func(n int, cpu oleandervalve.Millicores) work.Step {
				return work.Step{Count: n, LongRunning: true, Demand: oleandervalve.Resources{CPU: cpu}}
			}
			c.submit("base", work.Queue{Name: "q", Service: "press"}, work.Spec{Steps: []work.Step{{Count: 6, MaxPerExecutor: 1, Demand: oleandervalve.Resources{CPU: 11200}}}})
			c.step()
			for i, id := range c.order {
				a := c.agents[id]
				is.Equal(len(a.running), 1)
				a.running[0].ends = c.now.Add(time.Hour)
				if i < tc.executors {
					a.status.Labels = []string{"a", "r", "own"}
				}
				c.setState(a, oleandervalve.ExecutorDraining)
			}
			many := work.Step{Count: 200, Demand: oleandervalve.Resources{CPU: 10}, Label: "own"}
			c.submitSuspect("suspects", many)
			s := c.dispatcher.jobs["suspects"].step(0, 0)
			for i := range many.Count { // lost again in isolation, so that they are isolated alone
				s.setHistory(i, crash.History{Incidents: []crash.Incident{{Run: 1, Young: true}, {Run: 2, Young: true}}})
				s.job.rec.Tasks[i].Run = 2
			}
			own := lasting(4, 500)
			own.Label = "own"
			if tc.suspect {
				c.submitSuspect("watch", own)
				c.dispatcher.jobs["watch"].rec.Queue.Priority = 1
			} else {
				c.submit("watch", work.Queue{Name: "watch", Service: "press", Priority: 1}, work.Spec{Steps: []work.Step{own}})
			}
			for _, id := range c.order {
				c.setState(c.agents[id], oleandervalve.ExecutorReady)
			}
			readyAt := c.now
			for n := 0; c.runningLongTasks() < own.Count && c.now.Sub(readyAt) < time.Minute; n++ {
				if tc.beside {
					c.submit(oleandervalve.JobID(fmt.Sprintf("small%d", n)), work.Queue{Name: "q", Service: "press"}, work.Spec{Steps: []work.Step{{Count: 1, Label: "own", Demand: oleandervalve.Resources{CPU: 5}}}})
				}
				c.step()
			}
			t.Logf("utilisation %.2f, %d tasks run after %s", c.dispatcher.utilisation("press", c.now), c.runningLongTasks(), c.now.Sub(readyAt))
			is.True(c.now.Sub(readyAt) <= 3*time.Second)
		})
	}
}

// runningLongTasks returns the number of runs of the long-running job "watch" on executors.
func (c *cluster) runningLongTasks() int {
	n := 0
	for _, a := range c.agents {
		for _, r := range a.running {
			if r.key.task.Job == "watch" {
				n++
			}
		}
	}
	return n
}
