package executor

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/io/peer"
)

// restartedExecutor names its start when it is asked who it is.
type restartedExecutor struct {
	crashingExecutor
	startedAt atomic.Int64
}

func (x *restartedExecutor) Identify(context.Context, oleandervalve.ExecutorID, oleandervalve.FencingToken) (oleandervalve.ExecutorTime, int64, error) {
	return oleandervalve.ExecutorTime(time.Hour), x.startedAt.Load(), nil
}

// Guards against tasks of an executor that ended while its agent had no session: they would wait
// until its lease has certainly ended.
func TestEndOfExecutorIsReportedToNextLeader(t *testing.T) {
	for _, tt := range []struct {
		name         string
		state        oleandervalve.ExecutorState
		deregistered bool
		crashed      bool
	}{
		{"crashed", oleandervalve.ExecutorReady, false, true},
		{"left as planned", oleandervalve.ExecutorDraining, false, false},
		{"deregistered", oleandervalve.ExecutorDraining, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			x := &restartedExecutor{}
			x.startedAt.Store(1)
			a := newAgent(Options{ID: "a-1", Clock: oleandervalve.SystemClock(), Executor: x, MaxLease: 10 * time.Second, ProofLifetime: 7 * time.Second})
			status := statusWith(16, 1)
			is.NoErr(a.StatusAnnounced(status))
			status.State, status.Sequence = tt.state, 2
			is.NoErr(a.StatusAnnounced(status))
			if tt.deregistered {
				a.ExecutorDeregistered(status.Incarnation)
			}
			x.fail(&oleandervalve.UnavailableError{Service: "executor", NotListening: true})
			inventory, terminated := make(chan *peer.ExecutorInventory, 10), make(chan *peer.ExecutorTerminated, 10)
			leadAgent(t, a, func(_ *peer.Conn, m peer.Message) {
				switch m := m.(type) {
				case *peer.ExecutorInventory:
					inventory <- m
				case *peer.ExecutorTerminated:
					terminated <- m
				}
			})
			select {
			case m := <-inventory:
				is.Equal(len(m.Running)+len(m.Ended), 0)
			case <-time.After(10 * time.Second):
				t.Fatal("the agent has not joined the leader")
			}
			m := <-terminated
			is.Equal(m.Incarnation, status.Incarnation)
			is.Equal(m.Lost.Crashed, tt.crashed)
			// The next life of the executor gets a session.
			x.fail(nil)
			status.Incarnation.StartedAt++
			x.startedAt.Store(status.Incarnation.StartedAt)
			status.State, status.Sequence = oleandervalve.ExecutorReady, 1
			is.NoErr(a.StatusAnnounced(status))
			is.Equal((<-inventory).Status.Incarnation, status.Incarnation)
		})
	}
}

// Guards against a crash that each new session reports as that of another executor, so that
// leaders don't learn which runs were lost and forget earlier crashes.
func TestCrashIsReportedOnceToEachLeader(t *testing.T) {
	is := is.New(t)
	x := &restartedExecutor{}
	x.startedAt.Store(1)
	a := newAgent(Options{ID: "a-1", Clock: oleandervalve.SystemClock(), Executor: x, MaxLease: 10 * time.Second, ProofLifetime: 7 * time.Second})
	status := statusWith(16, 1)
	is.NoErr(a.StatusAnnounced(status))
	x.fail(&oleandervalve.UnavailableError{Service: "executor", NotListening: true})
	inventory, terminated := make(chan *peer.ExecutorInventory, 10), make(chan *peer.ExecutorTerminated, 10)
	leadAgent(t, a, func(c *peer.Conn, m peer.Message) {
		switch m := m.(type) {
		case *peer.ExecutorInventory:
			inventory <- m
		case *peer.ExecutorTerminated:
			terminated <- m
			c.Close() // the next leader
		}
	})
	for range 3 {
		is.Equal(len((<-inventory).Lost), 1) // before the leader forgets the runs
		is.Equal((<-terminated).Lost.Executor, status.Incarnation)
	}
}

// Guards against tasks that run twice because a deregistration is taken for the end of the
// executor: it may be of an earlier incarnation with the same id, and an executor whose
// deregistration isn't acknowledged runs on for seconds.
func TestDeregistrationIsNoEnd(t *testing.T) {
	for _, tt := range []struct {
		name         string
		state        oleandervalve.ExecutorState
		deregistered oleandervalve.Incarnation
		crashed      bool
	}{
		{"of an earlier incarnation", oleandervalve.ExecutorReady, oleandervalve.Incarnation{ID: "x-1", StartedAt: 5}, true},
		{"that names no start", oleandervalve.ExecutorReady, oleandervalve.Incarnation{ID: "x-1"}, false},
		{"of a draining executor that runs on", oleandervalve.ExecutorDraining, oleandervalve.Incarnation{ID: "x-1", StartedAt: 1}, false},
		{"of another executor", oleandervalve.ExecutorReady, oleandervalve.Incarnation{ID: "x-2"}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			x := &restartedExecutor{}
			x.startedAt.Store(1)
			a := newAgent(Options{ID: "a-1", Clock: oleandervalve.SystemClock(), Executor: x, MaxLease: 10 * time.Second, ProofLifetime: 7 * time.Second})
			status := statusWith(16, 1)
			status.State = tt.state
			is.NoErr(a.StatusAnnounced(status))
			inventories, terminated := make(chan bool, 10), make(chan *peer.ExecutorTerminated, 10)
			leadAgent(t, a, func(_ *peer.Conn, m peer.Message) {
				switch m := m.(type) {
				case *peer.ExecutorInventory:
					inventories <- true
				case *peer.ExecutorTerminated:
					terminated <- m
				}
			})
			<-inventories
			a.awaitSession().awaitProof()
			a.ExecutorDeregistered(tt.deregistered)
			select {
			case <-terminated:
				t.Fatal("the executor is reported as ended although it answers")
			case <-time.After(300 * time.Millisecond):
			}
			// Once nothing listens any more, the executor has ended.
			x.fail(&oleandervalve.UnavailableError{Service: "executor", NotListening: true})
			select {
			case m := <-terminated:
				is.Equal(m.Incarnation, status.Incarnation)
				is.Equal(m.Lost.Crashed, tt.crashed)
			case <-time.After(5 * time.Second):
				t.Fatal("the end of the executor is not reported")
			}
		})
	}
}
