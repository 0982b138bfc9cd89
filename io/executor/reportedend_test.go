package executor

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/dispatch"
)

// Guards against a task that starts elsewhere while its start order may still reach the next life.
func TestReportedEndCountsRunOfNextLife(t *testing.T) {
	is := is.New(t)
	x := newLivesExecutor(10 * time.Second)
	a := newAgent(Options{ID: "a-1", Clock: oleandervalve.SystemClock(), Executor: x, MaxLease: 10 * time.Second, ProofLifetime: 7 * time.Second, FirstStart: true})
	is.NoErr(a.StatusAnnounced(statusWith(16, 1)))
	l := newLivesLeader()
	leadAgent(t, a, l.receive)
	awaitProvedSession(a)
	x.mute(callStart, true)
	l.start(lateTask, 1, dispatch.RunHints{})
	unanswered := func() bool { x.mu.Lock(); defer x.mu.Unlock(); return len(x.held) > 1 } // the first attempt has timed out
	is.True(within(5*time.Second, unanswered))
	x.stopListening()
	ended := func() bool { l.mu.Lock(); defer l.mu.Unlock(); return l.terminated[1] }
	if !within(2*time.Second, ended) {
		return // the end is withheld
	}
	x.restart(0)
	x.deliver(callStart)
	x.mu.Lock()
	defer x.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	is.True(x.begun[runKey{lateTask, 1}])
	is.True(!l.endsBy[runKey{lateTask, 1}].Before(x.leaseEnd)) // the leader waits for the end of the lease
}
