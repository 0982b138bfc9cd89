package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/work"
)

// flooded is a cluster with a job of four long-running tasks whose executors are full of tasks of
// smaller jobs, which keep arriving.
type flooded struct {
	*cluster
	jobs int
}

func newFlooded(t *testing.T) *flooded {
	t.Helper()
	c := &flooded{cluster: newCluster(t, 1, 4)}
	c.failureProbability = 0
	c.submit("watch", c.queue(), work.Spec{Steps: []work.Step{{Count: 4, LongRunning: true, Estimate: 400 * time.Millisecond, Demand: oleandervalve.Resources{CPU: 3000}}}})
	c.step()
	for range 100 {
		c.stepWithJobs()
	}
	if c.runningLongTasks() != 4 {
		t.Fatal("not all long-running tasks run")
	}
	return c
}

func (c *flooded) queue() work.Queue {
	return work.Queue{Name: "q", Service: "press", Stretch: 100}
}

func (c *flooded) stepWithJobs() {
	for range 4 {
		c.jobs++
		c.submit(oleandervalve.JobID(fmt.Sprintf("small%05d", c.jobs)), c.queue(), work.Spec{Steps: []work.Step{{Count: 2, Estimate: time.Second, Demand: oleandervalve.Resources{CPU: 1000}}}})
	}
	c.step()
}

// failOne ends a run of the long-running job as failed, and returns its executor.
func (c *flooded) failOne() *fakeAgent {
	for _, id := range c.order {
		a := c.agents[id]
		i := slices.IndexFunc(a.running, func(r fakeRun) bool { return r.key.task.Job == "watch" })
		if i < 0 {
			continue
		}
		k := a.running[i].key
		a.running = slices.Delete(a.running, i, i+1)
		c.reportEnd(a, k, oleandervalve.EndFailed)
		return a
	}
	c.t.Fatal("no long-running task runs")
	return nil
}

// timeToRun returns how long it takes until all long-running tasks run, up to 30 s.
func (c *flooded) timeToRun() time.Duration {
	began := c.now
	for c.runningLongTasks() < 4 && c.now.Sub(began) < 30*time.Second {
		c.stepWithJobs()
	}
	c.t.Logf("all long-running tasks run after %s", c.now.Sub(began))
	return c.now.Sub(began)
}

// Guards against a long-running task that doesn't start again while smaller jobs of the same
// priority keep arriving, because they take all capacity that becomes free.
func TestFailedLongRunningTaskStartsAgainInAFlood(t *testing.T) {
	c := newFlooded(t)
	c.failOne()
	is.New(t).True(c.timeToRun() <= 3*time.Second)
}

// Guards against a long-running task that doesn't start elsewhere in a flood, because smaller tasks
// take capacity as soon as a part of what it needs is free on an executor.
func TestLongRunningTaskOfLeavingExecutorStartsAgainInAFlood(t *testing.T) {
	c := newFlooded(t)
	c.setState(c.failOne(), oleandervalve.ExecutorDraining)
	is.New(t).True(c.timeToRun() <= 3*time.Second)
}
