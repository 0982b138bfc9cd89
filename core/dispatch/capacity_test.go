package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/work"
)

// Guards against starts on an executor that has a run of unknown size, which is being
// stopped: the run still takes room.
func TestNoStartBesideRunOfUnknownSize(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	a := c.agents[c.order[0]]
	unknown := runKey{oleandervalve.TaskName{Job: "unknown"}, 1}
	a.running = append(a.running, fakeRun{key: unknown, ends: c.now.Add(time.Hour)})
	c.specs["unknown"] = work.Spec{Steps: []work.Step{{Count: 1}}}
	c.connect(a)
	c.submit("j", work.Queue{Name: "q", Service: "press"}, work.Spec{Steps: []work.Step{{Count: 1, Demand: oleandervalve.Resources{CPU: 1000}}}})
	c.advanceCommit(true)
	c.advanceCommit(true)
	is.Equal(len(c.dispatcher.agents[a.id].runs), 1) // only the unknown one
	c.runUntilIdle()
}
