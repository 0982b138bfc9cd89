package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/work"
)

// Guards against an executor that gets no work for good after a series of failures, because
// long-running tasks from before stay on it: tasks that could only run there waited although
// it had capacity. Also guards against a probe that is a long-running task, which never ends,
// and against more than one probe at a time.
func TestPausedExecutorWithLongRunningTasksGetsWorkAgain(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 6)
	c.failureProbability = 0
	queue := work.Queue{Name: "s", Service: "press"}
	longRunning := func(id oleandervalve.JobID) {
		c.submit(id, queue, work.Spec{Steps: []work.Step{{Count: 1, LongRunning: true, Demand: oleandervalve.Resources{CPU: 3000}}}})
	}
	d := c.dispatcher
	a := d.agents[c.order[0]]
	for _, other := range c.order[1:] {
		d.agents[other].status.State = oleandervalve.ExecutorDraining
	}
	// advance lets time pass without the end of any run.
	advance := func(duration time.Duration) {
		for end := c.now.Add(duration); c.now.Before(end); {
			c.advanceCommit(true)
			c.advanceCommit(true)
			for len(c.outbox) > 0 {
				c.deliverNextOrder()
			}
			c.now = c.now.Add(100 * time.Millisecond)
			d.Tick(c.now)
			c.collect()
		}
	}
	longRunning("before")
	advance(time.Second)
	is.Equal(len(a.runs), 1)
	for n := range pauseAfterFailedJobs {
		a.health.recordFailure(oleandervalve.JobID(fmt.Sprint("failed", n)), c.now)
	}
	is.True(a.health.probing)
	longRunning("probe")
	longRunning("next")
	advance(minPause / 2)
	is.Equal(len(a.runs), 1) // paused
	advance(minPause)
	is.Equal(len(a.runs), 2) // one probe beside the earlier task
	is.True(a.health.probing)
	advance(longRunSuccess + time.Second)
	is.True(!a.health.probing)
	is.Equal(len(a.runs), 3)
}
