package executor

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/dispatch"
	"oleandervalve/io/peer"
)

// recordingExecutor records what it is told, and loses the answer to each third start order.
type recordingExecutor struct {
	fakeExecutor
	mu sync.Mutex
	// running tells whether the last order for a run was to start it.
	running map[oleandervalve.TaskName]bool
	starts  int
}

func (x *recordingExecutor) Start(_ context.Context, _ oleandervalve.ExecutorID, o oleandervalve.StartOrder) (oleandervalve.ExecutorTime, oleandervalve.StartRefusal, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.running[o.Task] = true
	if x.starts++; x.starts%3 == 0 {
		return 0, "", &oleandervalve.UnknownOutcomeError{Operation: "start"}
	}
	return 0, "", nil
}

func (x *recordingExecutor) Stop(_ context.Context, _ oleandervalve.ExecutorID, task oleandervalve.TaskName, _ oleandervalve.RunNumber, _ oleandervalve.FencingToken) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.running[task] = false
	return nil
}

// Guards against a run that goes on because its stop arrived together with its start.
func TestStopRightAfterStart(t *testing.T) {
	is := is.New(t)
	x := &recordingExecutor{running: map[oleandervalve.TaskName]bool{}}
	a := newAgent(Options{ID: "a-1", Clock: oleandervalve.SystemClock(), Executor: x, MaxLease: 10 * time.Second, ProofLifetime: 7 * time.Second})
	is.NoErr(a.StatusAnnounced(statusWith(16, 1)))
	conns := make(chan *peer.Conn, 1)
	const runs = 300
	voids := make(chan dispatch.NeverStarted, runs)
	leadAgent(t, a, func(c *peer.Conn, m peer.Message) {
		switch m := m.(type) {
		case *peer.ExecutorInventory:
			conns <- c
		case *peer.RunNeverStarted:
			voids <- m.NeverStarted
		}
	})
	conn := <-conns
	s := a.awaitSession()
	s.awaitProof()
	for i := range runs {
		task := oleandervalve.TaskName{Job: "j", Index: i}
		conn.TrySend(&peer.StartRun{Start: dispatch.Start{Executor: s.status.Incarnation, Task: task, Run: 1}})
		conn.TrySend(&peer.StopRun{Stop: dispatch.Stop{Task: task, Run: 1}})
	}
	for range runs {
		select {
		case n := <-voids:
			is.Equal(n.Reason, oleandervalve.RefusedOld)
		case <-time.After(10 * time.Second):
			t.Fatal("the leader is not told that a stopped run doesn't run")
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for task, running := range x.running {
		if running {
			t.Errorf("%v runs on", task)
		}
	}
}
