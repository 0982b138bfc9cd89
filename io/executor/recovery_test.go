package executor

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/dispatch"
	"oleandervalve/io/peer"
)

// Guards against tasks that run twice because the leader counts the lease of an executor as ended
// that has started again under its id: a poll of its earlier incarnation, with a deadline on an older
// clock, has extended it. Starts must wait until it can't outlast a proof of leadership, and the
// sessions after the first must know of it too.
func TestStartsWaitForLeaseOfEarlierIncarnation(t *testing.T) {
	is := is.New(t)
	const (
		maxLease = 8 * time.Second
		lifetime = 7 * time.Second
	)
	x := newRebornExecutor()
	a := newAgent(Options{ID: "a-1", Clock: oleandervalve.SystemClock(), Executor: x, MaxLease: maxLease, ProofLifetime: lifetime})
	is.NoErr(a.StatusAnnounced(statusWith(16, 1)))
	inventories, conns, changes := make(chan *peer.ExecutorInventory, 10), make(chan *peer.Conn, 10), make(chan oleandervalve.ExecutorStatus, 10)
	leadAgent(t, a, func(c *peer.Conn, m peer.Message) {
		switch m := m.(type) {
		case *peer.ExecutorInventory:
			inventories <- m
			conns <- c
		case *peer.ExecutorChange:
			changes <- m.Status
		}
	})
	first := <-inventories
	is.Equal(first.Status.State, oleandervalve.ExecutorReady)
	<-conns
	a.awaitSession().awaitProof()
	x.restartAfterPoll()
	<-x.restarted
	restarted := time.Now()
	next := statusWith(16, 1)
	next.Incarnation.StartedAt = 2
	is.NoErr(a.StatusAnnounced(next))
	second := <-inventories
	is.Equal(second.Status.Incarnation, next.Incarnation)
	is.Equal(second.Status.State, oleandervalve.ExecutorRecovering)
	// The leader is replaced meanwhile.
	s := a.awaitSession()
	bound := s.bound()
	(<-conns).Close()
	third, conn := <-inventories, <-conns
	is.Equal(third.Status.State, oleandervalve.ExecutorRecovering)
	for a.awaitSession() == s {
		time.Sleep(time.Millisecond)
	}
	is.True(!a.awaitSession().bound().Before(bound))
	conn.TrySend(&peer.StartRun{Start: dispatch.Start{Executor: next.Incarnation, Task: oleandervalve.TaskName{Job: "j"}, Run: 1, Hints: dispatch.RunHints{CPU: 1000}}})
	for x.runs() == 0 {
		if time.Since(restarted) > 10*time.Second {
			t.Fatal("the run is not started")
		}
		time.Sleep(time.Millisecond)
	}
	// A lease granted for a call that arrived at the restart lasts until then.
	granted := restarted.Add(maxLease)
	is.True(!time.Now().Add(lifetime).Before(granted))
	select {
	case s := <-changes:
		is.Equal(s.State, oleandervalve.ExecutorReady)
	case <-time.After(5 * time.Second):
		t.Fatal("the leader is not told that the executor gets starts again")
	}
}

// bound returns when the leases of the executor have certainly ended.
func (s *session) bound() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaseBound.End
}

// runs returns the number of runs in progress.
func (x *rebornExecutor) runs() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.running)
}
