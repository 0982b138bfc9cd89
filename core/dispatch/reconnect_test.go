package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/work"
)

// Guards against runs that go on after the cancellation of their job, because an earlier stop
// of the run was lost with a session and counted as sent.
func TestLostStopIsRepeatedWhenAgentConnects(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 2)
	c.submit("j", work.Queue{Name: "q", Service: "press"}, work.Spec{Steps: []work.Step{{Count: 1, Estimate: time.Hour, Demand: oleandervalve.Resources{CPU: 1000}}}})
	c.advanceCommit(true)
	c.advanceCommit(true)
	c.deliverNextOrder()
	a := c.agents[c.order[0]]
	if len(a.running) == 0 {
		a = c.agents[c.order[1]]
	}
	is.Equal(len(a.running), 1)
	a.running[0].ends = c.now.Add(time.Hour)
	// The executor is slow, so its run is moved.
	c.dispatcher.agents[a.id].slowUntil = c.now.Add(time.Hour)
	c.advance(2 * slowRunMinAge)
	is.Equal(len(c.outbox), 1)
	is.Equal(c.outbox[0], Action(Stop{Agent: a.id, Task: oleandervalve.TaskName{Job: "j"}, Run: 1}))
	a.connected = false
	c.dispatcher.AgentDisconnected(c.now, a.id)
	c.connect(a)
	c.cancel("j")
	c.advanceCommit(true)
	c.advanceCommit(true)
	for len(c.outbox) > 0 {
		c.deliverNextOrder()
	}
	is.Equal(len(a.running), 0)
}

// Guards against a task whose success is discarded, because it is reported after the task was
// assigned again: the task would be done twice.
func TestSuccessOfEarlierRunEndsLaterOne(t *testing.T) {
	for _, tt := range []struct {
		name string
		// started means that the later run has started; otherwise its start waits for a commit.
		started bool
	}{{"later run has started", true}, {"later run is not committed", false}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 1, 2)
			c.failureProbability = 0
			lost, other := c.agents[c.order[0]], c.agents[c.order[1]]
			other.connected = false
			c.dispatcher.AgentDisconnected(c.now, other.id)
			c.submit("j", work.Queue{Name: "q", Service: "press"}, work.Spec{Steps: []work.Step{{Count: 1, Demand: oleandervalve.Resources{CPU: 1000}}}})
			c.advanceCommit(true)
			c.advanceCommit(true)
			c.deliverNextOrder()
			is.Equal(len(lost.running), 1)
			c.connect(other)
			lost.connected = false
			c.dispatcher.AgentDisconnected(c.now, lost.id)
			c.advance(2 * time.Second)
			is.Equal(lost.ended[0].How, oleandervalve.EndDone)
			c.advance(testTakeoverAfter)
			c.advanceCommit(true)
			if tt.started {
				c.advanceCommit(true)
				c.deliverNextOrder()
				is.Equal(len(other.running), 1)
				other.running[0].ends = c.now.Add(time.Hour)
			}
			c.connect(lost)
			for range 4 {
				c.advanceCommit(true)
				for len(c.outbox) > 0 {
					c.deliverNextOrder()
				}
			}
			state, _ := c.dispatcher.State("j")
			is.Equal(state, work.Completed)
			is.Equal(len(other.running), 0)
			is.Equal(len(c.dispatcher.agents[other.id].runs), 0)
		})
	}
}

// Guards against a task that is started again while it runs in an incarnation that its start order
// was not meant for, and against a job that ends as failed or waits because of that.
func TestRunOfNextIncarnationIsStoppedBeforeItsTaskStartsAgain(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 2)
	c.failureProbability = 0
	c.submit("j", work.Queue{Name: "q", Service: "press"}, work.Spec{Steps: []work.Step{{Count: 1, Demand: oleandervalve.Resources{CPU: 9000}}}})
	c.advanceCommit(true)
	c.advanceCommit(true)
	k := runKey{oleandervalve.TaskName{Job: "j"}, 1}
	a := c.agents[agentOf(c.outbox[0])]
	c.deliverNextOrder()
	c.dispatcher.AgentDisconnected(c.now, a.id)
	a.connected = false
	c.crash(a)
	a.running = []fakeRun{{key: k, ends: c.now.Add(time.Hour), size: oleandervalve.Resources{CPU: 9000}}}
	a.crashes.Answered(c.now, a.status.Incarnation, oleandervalve.PollResult{Running: []oleandervalve.RunningTask{{Task: k.task, Run: k.run}}})
	c.connect(a)
	is.Equal(c.outbox, []Action{Stop{Agent: a.id, Task: k.task, Run: k.run}})
	is.Equal(len(c.dispatcher.jobs["j"].rec.Crashes), 0)
	stop := c.outbox
	c.outbox = nil
	// The stop is under way: the run counts with its size, and its task waits.
	for range 20 {
		c.advance(50 * time.Millisecond)
		c.advanceCommit(true)
		is.Equal(len(c.outbox), 0)
	}
	is.Equal(c.dispatcher.agents[a.id].reserved.CPU, oleandervalve.Millicores(9000))
	c.outbox = stop
	for range 60 {
		c.step()
	}
	state, _ := c.dispatcher.State("j")
	is.Equal(state, work.Completed)
}
