package dispatch

import (
	"fmt"
	"testing"
	"time"

	"oleandervalve"
	"oleandervalve/core/crash"
	"oleandervalve/core/work"
)

const (
	// restartCalm is the time after the last fault from which on long-running tasks must start
	// again in time, restartDelay that after the end of their last run, and maxRestartTime how
	// long they may take from then on.
	restartCalm    = 4 * time.Second
	restartDelay   = 6 * time.Second
	maxRestartTime = 3 * time.Second
)

// restarts plays long-running jobs on a loaded fleet.
type restarts struct {
	*cluster
	// tasks holds when each long-running task was last seen running.
	tasks map[oleandervalve.TaskName]time.Time
	// lost holds the agents that don't come back.
	lost  map[oleandervalve.AgentID]bool
	loads int
}

// newRestarts returns a cluster with ten long-running jobs of 24 tasks.
func newRestarts(t *testing.T, seed uint64, agents int) *restarts {
	r := &restarts{cluster: newCluster(t, seed, agents), tasks: map[oleandervalve.TaskName]time.Time{}, lost: map[oleandervalve.AgentID]bool{}}
	for n := range 10 {
		id := oleandervalve.JobID(fmt.Sprintf("watch%d", n))
		r.submit(id, work.Queue{Name: "watch", Service: "press", Priority: 2}, work.Spec{Steps: []work.Step{{Count: 24, LongRunning: true, MaxPerExecutor: 2, Demand: oleandervalve.Resources{CPU: 500}}}})
		for i := range 24 {
			r.tasks[oleandervalve.TaskName{Job: id, Index: i}] = r.now
		}
	}
	for range 10 {
		r.step(0, true)
	}
	return r
}

// step plays 50 ms with the given number of new jobs. applies means that the table applies a commit.
func (r *restarts) step(jobs int, applies bool) {
	for range jobs {
		r.loads++
		r.submit(oleandervalve.JobID(fmt.Sprintf("load%05d", r.loads)), work.Queue{Name: "q", Service: "press", MaxAttempts: 3, Stretch: 2}, work.Spec{Steps: []work.Step{{Count: 8, Estimate: time.Second, Demand: oleandervalve.Resources{CPU: 4000}}}})
	}
	r.advance(50 * time.Millisecond)
	r.advanceCommit(applies)
	for len(r.outbox) > 0 {
		r.deliverNextOrder()
	}
	for _, a := range r.agents {
		for _, x := range a.running {
			if _, ok := r.tasks[x.key.task]; ok {
				r.tasks[x.key.task] = r.now
			}
		}
	}
}

// disturb injects a random fault.
func (r *restarts) disturb() {
	a := r.agents[r.order[r.rng.IntN(len(r.order))]]
	if r.lost[a.id] {
		return
	}
	switch n := r.rng.IntN(20); {
	case n < 4:
		r.crash(a)
	case n < 7:
		a.crashes = crash.NewLog() // the agent has been lost with its executor
		a.crashes.Replaced(r.now, a.status.Incarnation, false)
		r.crash(a)
	case n < 11 && a.connected:
		a.connected = false
		r.dispatcher.AgentDisconnected(r.now, a.id)
	case n < 13 && len(r.lost) < len(r.order)/10:
		a.running, a.connected, r.lost[a.id] = nil, false, true
		r.dispatcher.AgentDisconnected(r.now, a.id)
	case n < 14:
		silences := r.dispatcher.Silences(r.now)
		r.startLeader()
		r.dispatcher.RestoreSilences(r.now, 0, 0, silences)
		for _, id := range r.order {
			if b := r.agents[id]; !r.lost[id] && r.rng.IntN(10) > 0 {
				r.connect(b)
			}
		}
	default:
		for i, x := range a.running {
			if _, ok := r.tasks[x.key.task]; ok {
				a.running[i].ends, a.running[i].fails = r.now, true
			}
		}
	}
}

// Guards against long-running tasks that don't start again for long after the faults are over,
// although there is room for them: after crashes, failed runs, lost agents and changes of leader on
// a loaded fleet.
func TestLongRunningTasksStartAgainAfterFaults(t *testing.T) {
	seeds := uint64(8)
	if testing.Short() {
		seeds = 1
	}
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			r := newRestarts(t, seed, 240)
			load := 2 + int(seed)%2
			for range 160 { // 8 s
				if r.rng.IntN(3) == 0 {
					r.disturb()
				}
				r.step(load, r.rng.IntN(20) > 0)
			}
			for _, id := range r.order {
				if a := r.agents[id]; !a.connected && !r.lost[id] {
					r.connect(a)
				}
			}
			calmSince := r.now
			var longest time.Duration
			for r.now.Sub(calmSince) < 14*time.Second {
				r.step(load, true)
				for n, runningAt := range r.tasks {
					idle := r.now.Sub(runningAt)
					longest = max(longest, idle)
					if r.now.Sub(calmSince) > restartCalm+maxRestartTime && idle > restartDelay+maxRestartTime {
						s, task := r.dispatcher.jobs[n.Job].task(n)
						t.Fatalf("%v has not run for %s, %s after the last fault: %+v, %+v", n, idle, r.now.Sub(calmSince), *task, s.history(n.Index))
					}
				}
			}
			t.Logf("utilisation %.2f, longest time without a run %s", r.dispatcher.utilisation("press", r.now), longest)
		})
	}
}
