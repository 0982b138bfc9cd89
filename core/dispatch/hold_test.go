package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/work"
)

// Guards against small tasks that wait without end beside free capacity, because their executor is
// held again and again for a long-running task that doesn't fit beside a task that doesn't end.
func TestHoldsOfAnExecutorEnd(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1) // 16 processors
	c.failureProbability = 0
	queue := work.Queue{Name: "q", Service: "press", Stretch: 2}
	job := func(id oleandervalve.JobID, cpu oleandervalve.Millicores, longRunning bool) {
		c.submit(id, queue, work.Spec{Steps: []work.Step{{Count: 1, LongRunning: longRunning, Estimate: time.Second, Demand: oleandervalve.Resources{CPU: cpu}}}})
	}
	d := c.dispatcher
	runs := func(id oleandervalve.JobID) bool {
		for k := range d.agents[c.order[0]].runs {
			if k.task.Job == id {
				return true
			}
		}
		return false
	}
	advance := func() {
		c.advanceCommit(true)
		c.advanceCommit(true)
		c.now = c.now.Add(100 * time.Millisecond)
		d.Tick(c.now)
		c.collect()
	}
	job("endless", 8000, false)
	for !runs("endless") {
		advance()
	}
	job("held", 10_000, true)
	for d.agents[c.order[0]].hold.step == nil {
		advance()
	}
	heldAt := c.now
	job("small", 500, false)
	for !runs("small") {
		is.True(c.now.Sub(heldAt) <= maxHoldSeries+time.Second) // the small task starts
		is.True(!runs("held"))
		advance()
	}
	// The executor is held again later.
	for d.agents[c.order[0]].hold.until.Before(c.now) {
		is.True(c.now.Sub(heldAt) <= maxHoldSeries+holdPause+time.Second)
		advance()
	}
}
