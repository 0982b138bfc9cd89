package dispatch

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/crash"
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

// Guards against leaders that end one after the other because an executor lists a run with an
// odd name or number of a job that is stored.
func TestOddRunsInInventory(t *testing.T) {
	names := []oleandervalve.TaskName{
		{Job: "j", Occurrence: math.MaxInt, Step: 0},
		{Job: "j", Occurrence: math.MaxInt/2 + 1, Step: 1},
		{Job: "j", Step: math.MaxInt},
		{Job: "j", Index: math.MaxInt},
		{Job: "j", Occurrence: -1},
		{Job: "j", Step: -1},
		{Job: "j", Index: -1},
		{Job: "unknown"},
		{},
	}
	for _, n := range names {
		t.Run(n.String(), func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 1, 1)
			a := c.agents[c.order[0]]
			step := work.Step{Count: 2, Demand: oleandervalve.Resources{CPU: 1000}}
			c.submit("j", work.Queue{Name: "q", Service: "press"}, work.Spec{Steps: []work.Step{step, step}})
			for range 2 {
				c.advanceCommit(true)
			}
			run := oleandervalve.RunNumber(math.MaxUint64)
			c.dispatcher.AgentConnected(c.now, a.id, a.status, oleandervalve.PollResult{Running: []oleandervalve.RunningTask{{Task: n, Run: run}}})
			c.dispatcher.RunEnded(c.now, a.id, a.status.Incarnation, oleandervalve.EndedTask{Number: math.MaxUint64, Task: n, Run: run, How: "odd"})
			c.dispatcher.RunNeverStarted(c.now, a.id, NeverStarted{Task: n, Run: run, Reason: "odd"})
			c.dispatcher.RunOutlived(a.id, n, run)
			c.dispatcher.ExecutorLost(c.now, a.id, crash.Report{Executor: a.status.Incarnation, Crashed: true, Runs: []crash.Run{{Task: n, Run: run, Started: true}}})
			c.dispatcher.RunsCheckpointed(c.now, a.id, []RunCheckpoint{{Task: n, Run: run, Checkpoint: "c"}})
			c.collect()
			c.connect(a)
			c.runUntilIdle()
			state, _ := c.dispatcher.State("j")
			is.Equal(state, work.Completed)
		})
	}
}
