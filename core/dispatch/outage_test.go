package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/work"
)

// checkAssignments fails the test if a task is recorded as assigned and no run of it is
// known, because nothing would ever end that assignment.
func (c *cluster) checkAssignments() {
	for id, j := range c.dispatcher.jobs {
		if j.rec.State.Terminal() {
			continue
		}
		for _, s := range j.steps {
			for i := range s.spec.Count {
				t := j.rec.Tasks[s.firstTask+i]
				if t.State != work.TaskAssigned {
					continue
				}
				a := c.dispatcher.agents[j.rec.Executors[t.ExecutorIndex].Agent]
				if a == nil || a.runs[runKey{s.name(i), t.Run}] == nil {
					c.t.Fatalf("%v: %v is assigned as run %d and no agent has the run (job %s)", c.now, s.name(i), t.Run, id)
				}
			}
		}
	}
}

// Guards against tasks that stay assigned with nothing running after an agent was lost
// while their assignment waited for the table: their job never ended.
func TestTasksOfAgentLostDuringOutageStart(t *testing.T) {
	tests := []struct {
		name        string
		longRunning bool
		gang        bool
		// batched means that the commit of the assignment is in flight during the outage.
		batched bool
		// returns means that the agent connects again before the table is back.
		returns bool
		// terminated means that the end of the executor is reported during the outage.
		terminated bool
		// refused means that the table refuses the first commit after the outage.
		refused bool
	}{
		{name: "agent stays away", batched: true},
		{name: "agent stays away, commit not sent"},
		{name: "agent stays away, commit refused", batched: true, refused: true},
		{name: "agent returns", batched: true, returns: true},
		{name: "agent returns, commit not sent", returns: true},
		{name: "long-running, agent stays away", batched: true, longRunning: true},
		{name: "long-running, agent returns", batched: true, longRunning: true, returns: true},
		{name: "gang, agent stays away", batched: true, gang: true},
		{name: "gang, agent returns", batched: true, gang: true, returns: true},
		{name: "executor terminated", batched: true, terminated: true},
		{name: "executor terminated, agent returns", batched: true, terminated: true, returns: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 1, 3)
			lost := c.agents[c.order[0]]
			queue := work.Queue{Name: "q", Service: "press"}
			demand := oleandervalve.Resources{CPU: 3000}
			spec := work.Spec{Steps: []work.Step{{Count: 1, Demand: demand}, {Count: 9, After: []int{0}, LongRunning: tt.longRunning, Gang: tt.gang, Demand: demand}}}
			c.submit("j", queue, spec)
			// The tasks of the second step are assigned when that of the first one ends.
			for !c.succeeded[oleandervalve.TaskName{Job: "j"}] {
				c.advanceCommit(true)
				c.deliverNextOrder()
				c.advance(10 * time.Millisecond)
			}
			if tt.batched {
				c.batch = c.dispatcher.Batch()
				is.True(c.batch != nil)
			}
			if tt.terminated {
				c.dispatcher.ExecutorTerminated(c.now, lost.id, lost.status.Incarnation, true)
			}
			lost.connected = false
			c.dispatcher.AgentDisconnected(c.now, lost.id)
			for range 2 * int(testTakeoverAfter/time.Second) {
				c.advance(500 * time.Millisecond)
			}
			c.advance(time.Second)
			if tt.returns {
				lost.status.Incarnation.StartedAt++
				c.connect(lost)
			}
			if tt.batched {
				c.advanceCommit(!tt.refused)
			}
			c.checkAssignments()
			for range 20 {
				c.advanceCommit(true)
				for len(c.outbox) > 0 {
					c.deliverNextOrder()
				}
				c.advance(10 * time.Millisecond)
			}
			c.checkAssignments()
			started := 0
			for _, a := range c.agents {
				started += len(a.running) + int(a.number)
			}
			is.True(started > spec.Steps[1].Count) // all tasks have started
			if !tt.longRunning {
				c.runUntilIdle()
			}
		})
	}
}

// runRandomOutages runs a random sequence of submissions and of losses of agents beside
// outages of the table that are longer than the time after which an agent is given up.
func (c *cluster) runRandomOutages(steps int) {
	queue := work.Queue{Name: "q", Service: "press", MaxAttempts: 3, Stretch: 2}
	jobs := 0
	outageUntil := c.now
	for range steps {
		a := c.agents[c.order[c.rng.IntN(len(c.order))]]
		switch n := c.rng.IntN(100); {
		case n < 10:
			jobs++
			c.submit(oleandervalve.JobID(fmt.Sprintf("job%04d", jobs)), queue, c.randomSpec())
		case n < 13 && jobs > 0:
			c.cancel(oleandervalve.JobID(fmt.Sprintf("job%04d", 1+c.rng.IntN(jobs))))
		case n < 16:
			outageUntil = c.now.Add(time.Duration(c.rng.IntN(12)) * time.Second)
		case n < 20:
			if a.connected {
				a.connected = false
				c.dispatcher.AgentDisconnected(c.now, a.id)
			}
		case n < 23:
			if !a.connected {
				c.connect(a)
			}
		case n < 24:
			c.crash(a)
		case n < 25:
			if c.batch != nil && c.rng.IntN(2) == 0 {
				c.store(c.batch)
			}
			c.startLeader()
		case n < 50:
			if c.now.After(outageUntil) {
				c.advanceCommit(c.rng.IntN(10) > 0)
			} else if c.batch == nil {
				c.batch = c.dispatcher.Batch()
			}
		case n < 70:
			c.deliverNextOrder()
		default:
			c.advance(time.Duration(10+c.rng.IntN(900)) * time.Millisecond)
		}
		c.checkAssignments()
	}
}

// Guards against tasks that are assigned without a run after outages of the table during
// which agents are lost and return, and against the other faults of
// TestRandomInterleavingsKeepInvariants in that case.
func TestRandomOutagesKeepInvariants(t *testing.T) {
	seeds := uint64(200)
	if testing.Short() {
		seeds = 40
	}
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			c := newCluster(t, seed, 5)
			if seed%2 == 1 {
				c.maxListedEnds = 2
			}
			defer func() {
				if t.Failed() {
					t.Log(strings.Join(c.events, "\n"))
				}
			}()
			c.runRandomOutages(600)
			c.runUntilIdle()
		})
	}
}
