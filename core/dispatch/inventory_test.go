package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/work"
)

// Guards against tasks that are done twice because their ends were not among the first that
// an executor lists when its agent connects.
func TestTasksWithUnlistedEndsAreNotRepeated(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 2)
	c.maxListedEnds = 3
	c.failureProbability = 0
	a := c.agents[c.order[0]]
	c.submit("j", work.Queue{Name: "q", Service: "press"}, work.Spec{Steps: []work.Step{{Count: 20, Demand: oleandervalve.Resources{CPU: 1000}}}})
	c.advanceCommit(true)
	c.advanceCommit(true)
	for len(c.outbox) > 0 {
		c.deliverNextOrder()
	}
	runs := len(a.running)
	is.True(runs > c.maxListedEnds)
	a.connected = false
	c.dispatcher.AgentDisconnected(c.now, a.id)
	c.advance(2 * time.Second)
	is.Equal(len(a.ended), runs)
	c.connect(a)
	is.Equal(len(c.dispatcher.agents[a.id].runs), runs-c.maxListedEnds) // the others are not listed yet
	c.runUntilIdle()
	state, _ := c.dispatcher.State("j")
	is.Equal(state, work.Completed)
}

// Guards against runs that are never released although they have never started, because the
// list of ends was incomplete when their agent connected.
func TestRunsThatNeverStartedAreReleasedAfterAllEnds(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	c.maxListedEnds = 3
	c.failureProbability = 0
	a := c.agents[c.order[0]]
	c.submit("j", work.Queue{Name: "q", Service: "press"}, work.Spec{Steps: []work.Step{{Count: 10, Demand: oleandervalve.Resources{CPU: 1000}}}})
	c.advanceCommit(true)
	c.advanceCommit(true)
	for range 7 {
		c.deliverNextOrder()
	}
	is.Equal(len(a.running), 7)
	a.connected = false
	c.dispatcher.AgentDisconnected(c.now, a.id)
	c.advance(2 * time.Second)
	c.connect(a) // three of the starts are lost with the earlier session
	c.runUntilIdle()
	state, _ := c.dispatcher.State("j")
	is.Equal(state, work.Completed)
	is.Equal(a.number, uint64(10))
}
