package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/crash"
	"oleandervalve/core/work"
)

// newGroupCluster returns a cluster of six executors with a job of n tasks that all have started on
// the first one.
func newGroupCluster(t *testing.T, seed uint64, n int) (*cluster, *fakeAgent) {
	c := newCluster(t, seed, 6)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(strings.Join(c.events, "\n"))
		}
	})
	c.failureProbability = 0
	for _, id := range c.order[1:] {
		c.setState(c.agents[id], oleandervalve.ExecutorDraining)
	}
	c.submit("j", work.Queue{Name: "q", Service: "press", MaxAttempts: 3, Stretch: 2}, work.Spec{Steps: []work.Step{{Count: n, Estimate: time.Second, Demand: oleandervalve.Resources{CPU: 4}}}})
	c.step()
	a := c.agents[c.order[0]]
	if len(a.running) != n {
		t.Fatalf("%d tasks have started", len(a.running))
	}
	for _, id := range c.order[1:] {
		c.setState(c.agents[id], oleandervalve.ExecutorReady)
	}
	return c, a
}

// suspects returns the number of tasks of the job that are suspect and not done.
func (c *cluster) suspects() int {
	n := 0
	s := c.dispatcher.jobs["j"].step(0, 0)
	for i := range s.job.rec.Tasks {
		if s.job.rec.Tasks[i].State != work.TaskDone && s.history(i).Suspect() {
			n++
		}
	}
	return n
}

// Guards against a large job that takes a minute beside idle executors after one crash, because
// each of hundreds of suspect tasks is isolated from the others.
func TestManySuspectsOfOneCrashAreClearedTogether(t *testing.T) {
	for _, n := range []int{30, 400, 2000} {
		t.Run(fmt.Sprintf("%d tasks", n), func(t *testing.T) {
			is := is.New(t)
			c, a := newGroupCluster(t, 1, n)
			c.crash(a)
			suspects := c.suspects()
			is.Equal(suspects, min(n, 400))
			crashedAt := c.now
			for c.suspects() > 0 && c.now.Sub(crashedAt) < time.Minute {
				c.step()
			}
			t.Logf("%d suspects are cleared after %s", suspects, c.now.Sub(crashedAt))
			is.True(c.now.Sub(crashedAt) <= 3*time.Second)
			for range 200 {
				c.step()
			}
			state, _ := c.dispatcher.State("j")
			is.Equal(state, work.Completed)
		})
	}
}

// newTwiceLostCluster returns a cluster of six executors with a job of n tasks that have been lost
// twice on the first one: first with its agent, so that nothing is known of a crash, and then in a
// crash.
func newTwiceLostCluster(t *testing.T, seed uint64, n int) *cluster {
	c, a := newGroupCluster(t, seed, n)
	for _, id := range c.order[1:] {
		c.setState(c.agents[id], oleandervalve.ExecutorDraining)
	}
	a.crashes = crash.NewLog() // the new process of the agent knows nothing of the runs
	c.crash(a)
	c.step()
	if len(a.running) != n {
		t.Fatalf("%d tasks have started again", len(a.running))
	}
	c.crash(a)
	for _, id := range c.order[1:] {
		c.setState(c.agents[id], oleandervalve.ExecutorReady)
	}
	return c
}

// Guards against a large job that does not end beside idle executors, because each of hundreds of
// tasks is isolated alone that were lost with an executor and its agent before a crash.
func TestSuspectsLostWithAnAgentBeforeAreClearedTogether(t *testing.T) {
	is := is.New(t)
	c := newTwiceLostCluster(t, 1, 300)
	is.Equal(c.suspects(), 300)
	crashedAt := c.now
	for c.suspects() > 0 && c.now.Sub(crashedAt) < time.Minute {
		c.step()
	}
	t.Logf("the suspects are cleared after %s", c.now.Sub(crashedAt))
	is.True(c.now.Sub(crashedAt) <= 3*time.Second)
}

// Guards against a task that crashes executors and is not found among tasks that were lost with an
// agent before, or is started more often than the platform allows.
func TestCrashingTaskIsFoundAmongSuspectsLostWithAnAgentBefore(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			is := is.New(t)
			c := newTwiceLostCluster(t, seed, 300)
			guilty := oleandervalve.TaskName{Job: "j", Index: c.rng.IntN(300)}
			c.crashing[guilty], c.crashesUnder[guilty] = 10*time.Millisecond, 2
			begin := c.now
			state, _ := c.dispatcher.State("j")
			for !state.Terminal() && c.now.Sub(begin) < time.Minute {
				c.step()
				state, _ = c.dispatcher.State("j")
			}
			is.Equal(state, work.Failed)
			is.True(c.crashesUnder[guilty] <= 4)
		})
	}
}

// Guards against a task that crashes executors and is not found among the tasks that are isolated
// together with it, or is started more often than the platform allows.
func TestCrashingTaskIsFoundAmongManySuspects(t *testing.T) {
	seeds := uint64(10)
	if testing.Short() {
		seeds = 2
	}
	for _, k := range []struct {
		after         time.Duration
		leaderChanges bool
	}{{10 * time.Millisecond, false}, {150 * time.Millisecond, false}, {10 * time.Millisecond, true}, {150 * time.Millisecond, true}} {
		for seed := range seeds {
			t.Run(fmt.Sprintf("after %s, leader changes=%t, seed %d", k.after, k.leaderChanges, seed), func(t *testing.T) {
				is := is.New(t)
				c, a := newGroupCluster(t, seed, 400)
				guilty := c.rng.IntN(400)
				name := oleandervalve.TaskName{Job: "j", Index: guilty}
				c.crashing[name] = k.after
				for i := range a.running {
					if a.running[i].key.task == name {
						a.running[i].crashes, a.running[i].ends = true, c.now.Add(k.after)
					}
				}
				begin := c.now
				for c.now.Sub(begin) < time.Minute {
					if state, _ := c.dispatcher.State("j"); state.Terminal() {
						break
					}
					c.step()
					if k.leaderChanges && c.rng.IntN(20) == 0 {
						c.startLeader()
						for _, id := range c.order {
							if a := c.agents[id]; a.downUntil.IsZero() {
								c.connect(a)
							}
						}
					}
				}
				state, _ := c.dispatcher.State("j")
				is.Equal(state, work.Failed)
				t.Logf("found after %s and %d crashes", c.now.Sub(begin), c.crashesUnder[name])
				is.True(c.crashesUnder[name] <= 4)
				if !k.leaderChanges {
					is.True(c.crashesUnder[name] <= 3)
					is.True(c.now.Sub(begin) <= 15*time.Second)
				}
			})
		}
	}
}

// Guards against innocent tasks that are given up because they were isolated together with a task
// that crashes executors, also if a new leader does not know of that.
func TestCrashUnderGroupGivesNobodyUp(t *testing.T) {
	for _, leaderChanges := range []bool{false, true} {
		t.Run(fmt.Sprintf("leader changes=%t", leaderChanges), func(t *testing.T) {
			is := is.New(t)
			c, a := newGroupCluster(t, 1, 100)
			c.crash(a)
			var group *fakeAgent
			for range 40 {
				c.step()
				for _, id := range c.order {
					if n := c.dispatcher.agents[id].isolatedRuns; n > 1 && n == len(c.agents[id].running) {
						group = c.agents[id]
					}
				}
				if group != nil {
					break
				}
			}
			is.True(group != nil)
			// The starts were a while apart.
			for i, r := range group.running {
				group.crashes.Forget(group.status.Incarnation, r.key.task, r.key.run)
				group.crashes.StartOrdered(c.now.Add(time.Duration(i-len(group.running))*30*time.Millisecond), group.status.Incarnation, r.key.task, r.key.run)
				group.crashes.StartConfirmed(c.now, group.status.Incarnation, r.key.task, r.key.run)
			}
			if leaderChanges {
				c.startLeader()
				for _, id := range c.order {
					c.connect(c.agents[id])
				}
			}
			c.crash(group)
			state, _ := c.dispatcher.State("j")
			is.True(!state.Terminal())
			for i := range 100 {
				for _, x := range c.dispatcher.jobs["j"].step(0, 0).history(i).Incidents {
					is.True(!x.Isolated)
				}
			}
			for range 600 {
				c.step()
			}
			state, _ = c.dispatcher.State("j")
			is.Equal(state, work.Completed)
		})
	}
}
