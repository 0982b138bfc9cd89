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
