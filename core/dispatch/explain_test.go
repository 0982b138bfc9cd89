package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/contention"
	"oleandervalve/core/work"
)

// notes lets the time pass in steps of a Tick and returns the noted events of a kind. No commit
// ends meanwhile.
func (c *cluster) notes(event string, d time.Duration) []LogEvent {
	var out []LogEvent
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(100 * time.Millisecond) {
		for _, a := range c.agents {
			c.dispatcher.LeaseGranted(c.now, a.id)
		}
		c.dispatcher.Tick(c.now)
		for _, x := range c.dispatcher.TakeActions() {
			if n, ok := x.(LogEvent); ok && n.Event == event {
				out = append(out, n)
			}
		}
	}
	return out
}

// Guards against a long-running task that waits beside idle executors without a trace of why.
func TestWaitsAreExplained(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 8)
	agent := func(n int) *agent { return c.dispatcher.agents[c.order[n]] }
	c.dispatcher.AgentDisconnected(c.now, c.order[0])
	c.setState(c.agents[c.order[1]], oleandervalve.ExecutorDraining)
	agent(2).status.Labels = []string{"b"}
	agent(3).reserved = agent(3).status.Capacity
	agent(4).health = health{probing: true, pausedUntil: c.now.Add(time.Hour)}
	agent(5).slowUntil = c.now.Add(time.Hour)
	agent(6).quietUntil = c.now.Add(time.Hour)
	agent(7).status.Service = "other"
	c.dispatcher.utilisation("press", c.now)
	c.submit("j", work.Queue{Name: "q", Service: "press"}, work.Spec{Steps: []work.Step{{Count: 3, LongRunning: true, Label: "a", Demand: oleandervalve.Resources{CPU: 1000}}}})
	is.Equal(len(c.notes("taskWaits", 1900*time.Millisecond)), 0)
	events := c.notes("taskWaits", 600*time.Millisecond)
	is.Equal(len(events), 1)
	is.Equal(events[0].Job, oleandervalve.JobID("j"))
	f := events[0].Fields
	is.Equal(f["task"], oleandervalve.TaskName{Job: "j"}.String())
	is.Equal(f["tasks"], 3)
	is.Equal(f["need"], "noIsolated")
	is.Equal(f["executors"], 7)
	is.Equal(f["byCapacity"], 3)
	is.Equal(f["excluded"], map[exclusion]int{
		excludedDisconnected: 1, excludedNotReady: 1, excludedLabel: 1, excludedCapacity: 1, excludedPaused: 1, excludedSlow: 1, excludedIsolation: 1,
	})
}

// Guards against a log that is filled by explanations while jobs wait for capacity, or by those
// for many steps.
func TestExplanationsAreLimited(t *testing.T) {
	for _, tt := range []struct {
		name    string
		full    bool
		permits work.PermitPolicy
		most    int
	}{
		{"no capacity", true, work.PermitPolicy{}, 2},
		{"no permits", false, work.PermitPolicy{Validity: time.Second}, 2 * maxExplainedWaits * 20},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 1, 2)
			for _, a := range c.dispatcher.agents {
				if tt.full {
					a.reserved = a.status.Capacity
				}
			}
			for n := range 200 {
				q := work.Queue{Name: "q", Service: "press", Permits: tt.permits}
				c.submit(oleandervalve.JobID(fmt.Sprint(n)), q, work.Spec{Steps: []work.Step{{Count: 1, LongRunning: true, Demand: oleandervalve.Resources{CPU: 5000}}}})
			}
			events := len(c.notes("taskWaits", 20*time.Second))
			is.True(events > 0)
			is.True(events <= tt.most)
		})
	}
}

// Guards against an assigned task that doesn't start without a trace of where its order is.
func TestDelayedStartsAreExplained(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	c.submit("j", work.Queue{Name: "q", Service: "press"}, work.Spec{Steps: []work.Step{{Count: 1, LongRunning: true, Demand: oleandervalve.Resources{CPU: 1000}}}})
	id := c.order[0]
	is.Equal(len(c.dispatcher.agents[id].runs), 1)
	events := c.notes("startDelayed", 2500*time.Millisecond)
	is.Equal(len(events), 1)
	is.Equal(events[0].Fields["startSent"], false)
	c.advanceCommit(true)
	c.advanceCommit(true)
	is.Equal(len(c.notes("startDelayed", 4*time.Second)), 0)
	k := runKey{oleandervalve.TaskName{Job: "j"}, 1}
	c.dispatcher.StartsDelayed(c.now, id, []DelayedStart{{Task: k.task, Run: k.run}})
	events = c.notes("startDelayed", 2100*time.Millisecond)
	is.Equal(len(events), 2)
	is.Equal(events[0].Fields["startSent"], true)
	is.Equal(events[0].Fields["delayed"], true)
	c.dispatcher.LoadSampled(c.now, id, contention.Sample{})
	c.dispatcher.StartsDelayed(c.now, id, nil)
	is.Equal(len(c.notes("startDelayed", 4*time.Second)), 0)
}
