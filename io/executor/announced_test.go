package executor

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"oleandervalve"
	"oleandervalve/core/dispatch"
)

// lateAnnouncement is a call of the first life of an executor to its agent.
type lateAnnouncement struct {
	name string
	send func(*Agent)
}

// lateAnnouncements returns the calls of the first life to its agent, each of which may arrive late.
func lateAnnouncements() []lateAnnouncement {
	heartbeat := func(state oleandervalve.ExecutorState, sequence int) func(*Agent) {
		return func(a *Agent) {
			s := statusWith(16, sequence)
			s.State = state
			_ = a.StatusAnnounced(s) // may be refused
		}
	}
	deregistration := func(startedAt int64) func(*Agent) {
		return func(a *Agent) {
			a.ExecutorDeregistered(oleandervalve.Incarnation{ID: "x-1", StartedAt: startedAt})
		}
	}
	return []lateAnnouncement{
		{"ready", heartbeat(oleandervalve.ExecutorReady, 3)},
		{"draining", heartbeat(oleandervalve.ExecutorDraining, 4)},
		{"deregistered", deregistration(1)},
		{"deregistered without a start", deregistration(0)},
	}
}

// Guards against an executor that gets no work after a restart because of late calls to its agent.
func TestAnnouncementsReachNextLife(t *testing.T) {
	late := lateAnnouncements()
	orders := [][]lateAnnouncement{late, {late[3], late[2], late[1], late[0]}, append(append([]lateAnnouncement(nil), late...), late...)}
	for _, m := range late {
		orders = append(orders, []lateAnnouncement{m}, []lateAnnouncement{m, m})
	}
	var wg sync.WaitGroup
	for i, order := range orders {
		for _, when := range []delivery{deliverFirst, deliverUnannounced, deliverAfterJoin, deliverLate} {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for _, problem := range playAnnouncements(t, order, when) {
					t.Errorf("order %d, %s: %s", i, when, problem)
				}
			}()
		}
	}
	wg.Wait()
}

// playAnnouncements sends calls of the first life of an executor to its agent and returns what is
// wrong with the next life.
func playAnnouncements(t *testing.T, calls []lateAnnouncement, when delivery) []string {
	const longest = 6500 * time.Millisecond // starts in the next life wait for nothing
	x := newLivesExecutor(longest)
	a := newAgent(Options{ID: "a-1", Clock: oleandervalve.SystemClock(), Executor: x, MaxLease: longest, ProofLifetime: 7 * time.Second})
	second := statusWith(16, 1)
	second.Incarnation.StartedAt = 2
	if err := a.StatusAnnounced(statusWith(16, 1)); err != nil {
		return []string{err.Error()}
	}
	l := newLivesLeader()
	leadAgent(t, a, l.receive)
	awaitProvedSession(a)
	send := func() {
		for _, c := range calls {
			c.send(a)
		}
	}
	x.setSilent(true)
	x.restart(0)
	if when == deliverFirst {
		send()
	}
	x.setSilent(false)
	if when == deliverUnannounced {
		send()
	}
	if !within(5*time.Second, func() bool { return a.StatusAnnounced(second) == nil }) || !within(10*time.Second, l.hasJoinedNextLife) {
		return []string{"the leader does not learn of the next life"}
	}
	switch when {
	case deliverAfterJoin:
		send()
	case deliverLate:
		time.Sleep(2 * time.Second)
		send()
	}
	awaitProvedSession(a)
	var problems []string
	a.mu.Lock()
	if a.status.Incarnation != second.Incarnation || a.status.State != oleandervalve.ExecutorReady || !a.drainingSince.IsZero() || a.ended {
		problems = append(problems, fmt.Sprintf("the agent takes the executor for %+v", a.status))
	}
	a.mu.Unlock()
	l.start(lateTask, 1, dispatch.RunHints{})
	started := func() bool { x.mu.Lock(); defer x.mu.Unlock(); return x.running[runKey{lateTask, 1}] != nil }
	if !within(5*time.Second, started) {
		problems = append(problems, "the next life starts nothing")
	}
	return problems
}
