package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/contention"
	"oleandervalve/core/work"
)

// sharedWith returns the updates of pairs of images that are queued for an agent.
func sharedWith(d *Dispatcher, id oleandervalve.AgentID) []ShareContention {
	var out []ShareContention
	for _, x := range d.TakeActions() {
		if s, ok := x.(ShareContention); ok && s.Agent == id {
			out = append(out, s)
		}
	}
	return out
}

// Guards against an agent that is sent the pairs of images that its executor doesn't run:
// with hundreds of pairs and executors, that was the largest part of what the leader sent.
// Also guards against an agent without the pairs that it needs after it has reconnected.
func TestAgentsGetOnlyPairsOfTheirExecutor(t *testing.T) {
	is := is.New(t)
	c := newInterferenceCluster(t)
	watch := c.dispatcher.agents[c.order[1]]
	c.submit("fill", work.Queue{Name: "f", Service: "press", MaxAttempts: 3, Stretch: 2}, work.Spec{Steps: []work.Step{{Count: 1, BestEffort: true, Image: "press", Estimate: time.Second, Demand: oleandervalve.Resources{CPU: 2000}}}})
	is.Equal(len(watch.runs), 3) // two latency-critical tasks and the new one
	pair := contention.Pair{BestEffort: "press", LatencyCritical: "watch"}
	is.Equal(c.dispatcher.nonInterferingOn(watch), []contention.Pair{pair})
	is.True(len(c.dispatcher.contention.NonInterfering()) > 0)

	c.dispatcher.TakeActions()
	watch.shared = sharedPairs{}
	c.dispatcher.shareContention(c.now)
	is.Equal(sharedWith(c.dispatcher, watch.id), []ShareContention{{Agent: watch.id, NonInterfering: []contention.Pair{pair}}})
	c.now = c.now.Add(2 * shareInterval)
	c.dispatcher.shareContention(c.now)
	is.Equal(len(sharedWith(c.dispatcher, watch.id)), 0) // unchanged

	running := []oleandervalve.RunningTask{}
	for k := range watch.runs {
		running = append(running, oleandervalve.RunningTask{Task: k.task, Run: k.run})
	}
	c.dispatcher.AgentDisconnected(c.now, watch.id)
	c.dispatcher.AgentConnected(c.now, watch.id, watch.status, oleandervalve.PollResult{Running: running})
	c.dispatcher.TakeActions()
	c.dispatcher.shareContention(c.now)
	is.Equal(len(sharedWith(c.dispatcher, watch.id)), 1)

	other := c.dispatcher.agents[c.order[0]] // runs no best-effort task
	is.Equal(len(c.dispatcher.nonInterferingOn(other)), 0)
}
