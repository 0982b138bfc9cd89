package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/work"
)

const testUnconfirmedAfter = 14 * time.Second

// confirmCluster returns a cluster with the longer time for runs that are not confirmed.
func confirmCluster(t *testing.T, agents int) *cluster {
	c := newCluster(t, 1, agents)
	c.dispatcher.options.UnconfirmedAfter = testUnconfirmedAfter
	c.failureProbability = 0
	return c
}

// startTasks submits a job with a task for each agent and delivers the start orders, and returns the
// run of the first agent.
func (c *cluster) startTasks(longRunning bool) (*agent, runKey) {
	c.t.Helper()
	count := len(c.agents)
	c.submit("j", work.Queue{Name: "q", Service: "press"}, work.Spec{Steps: []work.Step{{
		Count: count, Demand: oleandervalve.Resources{CPU: 9000}, LongRunning: longRunning, Estimate: time.Minute,
	}}})
	c.advanceCommit(true)
	c.advanceCommit(true)
	for len(c.outbox) > 0 {
		c.deliverNextOrder()
	}
	a := c.dispatcher.agents[c.order[0]]
	for k := range a.runs {
		return a, k
	}
	c.t.Fatal("the agent has no run")
	return nil, runKey{}
}

// startsElsewhere returns after how long the task of a run counts as not running on its executor any
// more, in steps of a tenth of a second.
func (c *cluster) startsElsewhere(a *agent, k runKey) time.Duration {
	began := c.now
	for c.now.Sub(began) < time.Minute {
		if d := c.dispatcher.agents[a.id]; d == nil || d.runs[k] == nil {
			return c.now.Sub(began)
		}
		c.now = c.now.Add(100 * time.Millisecond)
		c.dispatcher.Tick(c.now)
	}
	return time.Minute
}

// Guards against tasks that start elsewhere while an incarnation of the lost executor that nobody has
// met runs them, and against confirmed ones that wait for as long.
func TestUnconfirmedRunsOfSilentAgentAreKeptLonger(t *testing.T) {
	for _, tt := range []struct {
		name        string
		longRunning bool
		// act is what happens before the agent falls silent.
		act  func(c *cluster, a *agent, k runKey)
		want time.Duration
	}{
		{"not confirmed", false, func(*cluster, *agent, runKey) {}, testUnconfirmedAfter},
		{"confirmed", false, func(c *cluster, a *agent, k runKey) {
			c.dispatcher.RunsStarted(c.now, a.id, []StartedRun{{k.task, k.run}})
		}, testTakeoverAfter},
		{"listed", false, func(c *cluster, a *agent, k runKey) {
			c.dispatcher.AgentConnected(c.now, a.id, a.status, oleandervalve.PollResult{Running: []oleandervalve.RunningTask{{Task: k.task, Run: k.run}}})
		}, testTakeoverAfter},
		{"listed by an executor that has started again", false, func(c *cluster, a *agent, k runKey) {
			s := a.status
			s.State, s.Incarnation.StartedAt = oleandervalve.ExecutorRecovering, 2
			c.dispatcher.AgentConnected(c.now, a.id, s, oleandervalve.PollResult{Running: []oleandervalve.RunningTask{{Task: k.task, Run: k.run}}})
		}, testUnconfirmedAfter},
		{"listed by an executor whose agent has started again", false, func(c *cluster, a *agent, k runKey) {
			c.dispatcher.StartsUnanswered(c.now, a.id, nil, 2*time.Second)
			c.dispatcher.AgentConnected(c.now, a.id, a.status, oleandervalve.PollResult{Running: []oleandervalve.RunningTask{{Task: k.task, Run: k.run}}})
		}, testTakeoverAfter},
		{"listed, with an attempt under way", false, func(c *cluster, a *agent, k runKey) {
			c.dispatcher.StartsUnanswered(c.now, a.id, []UnansweredStart{{k.task, k.run, time.Second}}, 0)
			c.dispatcher.AgentConnected(c.now, a.id, a.status, oleandervalve.PollResult{Running: []oleandervalve.RunningTask{{Task: k.task, Run: k.run}}})
		}, testUnconfirmedAfter},
		{"long-running, not confirmed", true, func(c *cluster, a *agent, _ runKey) {
			c.dispatcher.LeaseGranted(c.now, a.id)
		}, testUnconfirmedAfter},
		{"long-running, no answer to the agent since the order", true, func(c *cluster, a *agent, k runKey) {
			c.dispatcher.RunsStarted(c.now, a.id, nil)
			a.runs[k].startedAt = c.now.Add(time.Millisecond)
		}, testTakeoverAfter},
		{"long-running, the same with an agent of an earlier release", true, func(c *cluster, a *agent, k runKey) {
			a.runs[k].startedAt = c.now.Add(time.Millisecond)
		}, testUnconfirmedAfter},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := confirmCluster(t, 2)
			a, k := c.startTasks(tt.longRunning)
			c.dispatcher.LeaseGranted(c.now, a.id)
			tt.act(c, a, k)
			c.dispatcher.AgentDisconnected(c.now, a.id)
			got := c.startsElsewhere(a, k)
			is.True(got > tt.want && got <= tt.want+200*time.Millisecond)
			is.Equal(c.dispatcher.agents[a.id], nil) // the agent is forgotten with its last run
		})
	}
}

// Guards against tasks that start elsewhere at once, or too late, after an agent has reported the loss
// of its executor.
func TestUnansweredStartsOfLostExecutor(t *testing.T) {
	const rest = 5 * time.Second
	for _, tt := range []struct {
		name string
		act  func(c *cluster, a *agent, starts []UnansweredStart)
		want time.Duration
	}{
		{"all starts answered", func(c *cluster, a *agent, _ []UnansweredStart) {
			c.dispatcher.StartsUnanswered(c.now, a.id, nil, 0)
			c.dispatcher.ExecutorTerminated(c.now, a.id, a.status.Incarnation, true)
		}, 0},
		{"a start has no answer", func(c *cluster, a *agent, starts []UnansweredStart) {
			c.dispatcher.StartsUnanswered(c.now, a.id, starts, 0)
			c.dispatcher.ExecutorTerminated(c.now, a.id, a.status.Incarnation, true)
		}, rest},
		{"a new process knows no starts", func(c *cluster, a *agent, _ []UnansweredStart) {
			c.dispatcher.StartsUnanswered(c.now, a.id, nil, rest)
			c.dispatcher.ExecutorTerminated(c.now, a.id, a.status.Incarnation, true)
		}, rest},
		{"the agent falls silent after the report", func(c *cluster, a *agent, starts []UnansweredStart) {
			c.dispatcher.StartsUnanswered(c.now, a.id, starts, 0)
			c.dispatcher.ExecutorTerminated(c.now, a.id, a.status.Incarnation, true)
			c.dispatcher.AgentDisconnected(c.now, a.id)
		}, testTakeoverAfter},
		{"the next incarnation doesn't list it", func(c *cluster, a *agent, _ []UnansweredStart) {
			s := a.status
			s.Incarnation.StartedAt++
			c.dispatcher.StartsUnanswered(c.now, a.id, nil, 0)
			c.dispatcher.AgentConnected(c.now, a.id, s, oleandervalve.PollResult{})
		}, 0},
		{"an incarnation after the next may get it", func(c *cluster, a *agent, starts []UnansweredStart) {
			s := a.status
			s.Incarnation.StartedAt++
			c.dispatcher.StartsUnanswered(c.now, a.id, starts, 0)
			c.dispatcher.AgentConnected(c.now, a.id, s, oleandervalve.PollResult{})
		}, rest},
		{"and the agent falls silent", func(c *cluster, a *agent, starts []UnansweredStart) {
			s := a.status
			s.Incarnation.StartedAt++
			c.dispatcher.StartsUnanswered(c.now, a.id, starts, 0)
			c.dispatcher.AgentConnected(c.now, a.id, s, oleandervalve.PollResult{})
			c.dispatcher.AgentDisconnected(c.now, a.id)
		}, testUnconfirmedAfter},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := confirmCluster(t, 2)
			a, k := c.startTasks(false)
			c.dispatcher.LeaseGranted(c.now, a.id)
			tt.act(c, a, []UnansweredStart{{k.task, k.run, rest}})
			got := c.startsElsewhere(a, k)
			is.True(got >= tt.want && got <= tt.want+200*time.Millisecond)
		})
	}
}

// Guards against a next leader that takes a start for confirmed that isn't, or the other way round.
func TestConfirmationsReachTheNextLeader(t *testing.T) {
	const agents = 3
	for _, tt := range []struct {
		name string
		act  func(c *cluster)
		// age is that of the starts when the leader's row is written.
		age  time.Duration
		want bool
	}{
		{"young", func(*cluster) {}, 100 * time.Millisecond, false},
		{"old", func(*cluster) {}, 2 * time.Second, false},
		{"confirmed", (*cluster).confirmAll, 100 * time.Millisecond, true},
		{"confirmed, record written since the row", func(c *cluster) {
			c.confirmAll()
			for _, j := range c.dispatcher.jobs {
				c.dispatcher.markDirty(j)
			}
			c.advanceCommit(true)
			c.advanceCommit(true)
		}, 100 * time.Millisecond, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := confirmCluster(t, agents)
			c.startTasks(false)
			before := c.dispatcher.Confirmations(c.now)
			tt.act(c)
			c.now = c.now.Add(tt.age)
			stored := c.dispatcher.Confirmations(c.now)
			if tt.want {
				is.True(stored.Through > before.Through)
			}
			c.startLeader()
			c.dispatcher.RestoreConfirmations(stored)
			for _, a := range c.dispatcher.sortedAgents {
				for _, r := range a.runs {
					is.Equal(r.confirmed, tt.want)
				}
			}
			c.startLeader()
			c.dispatcher.RestoreConfirmations(before) // the row is older than the records
			for _, a := range c.dispatcher.sortedAgents {
				for _, r := range a.runs {
					is.Equal(r.confirmed, tt.name == "confirmed, record written since the row")
				}
			}
		})
	}
}

// confirmAll confirms all runs.
func (c *cluster) confirmAll() {
	for _, a := range c.dispatcher.sortedAgents {
		for k := range a.runs {
			c.dispatcher.RunsStarted(c.now, a.id, []StartedRun{{k.task, k.run}})
		}
	}
}

// Guards against a leader's row that grows with the number of starts without an answer.
func TestNumberOfNamedStartsIsLimited(t *testing.T) {
	is := is.New(t)
	c := confirmCluster(t, 10)
	c.submit("j", work.Queue{Name: "q", Service: "press"}, work.Spec{Steps: []work.Step{{Count: 100, Demand: oleandervalve.Resources{CPU: 100}, Estimate: time.Minute}}})
	c.advanceCommit(true)
	c.advanceCommit(true)
	c.now = c.now.Add(2 * namedAfter)
	stored := c.dispatcher.Confirmations(c.now)
	is.Equal(len(stored.Unconfirmed), maxNamed)
	c.startLeader()
	c.dispatcher.RestoreConfirmations(stored)
	unconfirmed := 0
	for _, a := range c.dispatcher.sortedAgents {
		for _, r := range a.runs {
			if !r.confirmed {
				unconfirmed++
			}
		}
	}
	is.Equal(unconfirmed, 100)
}
