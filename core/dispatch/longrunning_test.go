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

// Guards against a long-running task that doesn't start again while smaller jobs of the same
// priority keep arriving, because they take all capacity that becomes free.
func TestFailedLongRunningTaskStartsAgainInAFlood(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 4)
	c.failureProbability = 0
	queue := work.Queue{Name: "q", Service: "press", Stretch: 100}
	c.submit("watch", queue, work.Spec{Steps: []work.Step{{Count: 4, LongRunning: true, Estimate: 400 * time.Millisecond, Demand: oleandervalve.Resources{CPU: 3000}}}})
	c.step()
	jobs := 0
	flood := func() {
		for range 4 {
			jobs++
			c.submit(oleandervalve.JobID(fmt.Sprintf("small%05d", jobs)), queue, work.Spec{Steps: []work.Step{{Count: 2, Estimate: time.Second, Demand: oleandervalve.Resources{CPU: 1000}}}})
		}
		c.step()
	}
	for range 100 {
		flood()
	}
	is.Equal(c.runningTasks("watch"), 4)
	for _, a := range c.agents {
		i := slices.IndexFunc(a.running, func(r fakeRun) bool { return r.key.task.Job == "watch" })
		if i < 0 {
			continue
		}
		k := a.running[i].key
		a.running = slices.Delete(a.running, i, i+1)
		c.reportEnd(a, k, oleandervalve.EndFailed)
		break
	}
	failedAt := c.now
	is.Equal(c.runningTasks("watch"), 3)
	for c.runningTasks("watch") < 4 && c.now.Sub(failedAt) < 30*time.Second {
		flood()
	}
	t.Logf("the task runs again after %s", c.now.Sub(failedAt))
	is.True(c.now.Sub(failedAt) <= 3*time.Second)
}
