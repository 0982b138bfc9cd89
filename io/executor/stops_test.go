package executor

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/dispatch"
	"oleandervalve/io/peer"
)

// stoppableExecutor tells of each stop, and doesn't answer start orders in time.
type stoppableExecutor struct {
	fakeExecutor
	stopped chan oleandervalve.TaskName
}

func (x *stoppableExecutor) Start(ctx context.Context, _ oleandervalve.ExecutorID, _ oleandervalve.StartOrder) (oleandervalve.ExecutorTime, oleandervalve.StartRefusal, error) {
	<-ctx.Done()
	return 0, "", &oleandervalve.UnknownOutcomeError{Operation: "start"}
}

func (x *stoppableExecutor) Stop(_ context.Context, _ oleandervalve.ExecutorID, task oleandervalve.TaskName, _ oleandervalve.RunNumber, _ oleandervalve.FencingToken) error {
	x.stopped <- task
	return nil
}

// Guards against a task of a cancelled job that runs on for seconds because the order to stop it
// waits behind start orders without an answer.
func TestStopIsNotHeldUpByUnansweredStarts(t *testing.T) {
	is := is.New(t)
	x := &stoppableExecutor{stopped: make(chan oleandervalve.TaskName, 1)}
	a := newAgent(Options{ID: "a-1", Clock: oleandervalve.SystemClock(), Executor: x, MaxLease: 10 * time.Second, ProofLifetime: 7 * time.Second})
	is.NoErr(a.StatusAnnounced(statusWith(16, 1)))
	conns := make(chan *peer.Conn, 1)
	leadAgent(t, a, func(c *peer.Conn, m peer.Message) {
		if _, ok := m.(*peer.ExecutorInventory); ok {
			conns <- c
		}
	})
	conn := <-conns
	s := a.awaitSession()
	running := oleandervalve.TaskName{Job: "running"}
	const starts = 10 * maxParallelStarts
	for i := range starts {
		conn.TrySend(&peer.StartRun{Start: dispatch.Start{Executor: s.status.Incarnation, Task: oleandervalve.TaskName{Job: "silent", Index: i}, Run: 1}})
	}
	for len(s.startSlots) < maxParallelStarts {
		time.Sleep(time.Millisecond)
	}
	conn.TrySend(&peer.StopRun{Stop: dispatch.Stop{Task: running, Run: 1}})
	select {
	case task := <-x.stopped:
		is.Equal(task, running)
	case <-time.After(initialOrderTimeout):
		t.Fatal("the stop waits behind start orders")
	}
}
