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

// crashingExecutor runs everything until its polls fail with an error.
type crashingExecutor struct {
	fakeExecutor
	mu        sync.Mutex
	pollError error
	running   []oleandervalve.RunningTask
}

func (x *crashingExecutor) Poll(_ context.Context, _ oleandervalve.ExecutorID, _ oleandervalve.PollRequest) (oleandervalve.PollResult, error) {
	time.Sleep(5 * time.Millisecond)
	x.mu.Lock()
	defer x.mu.Unlock()
	return oleandervalve.PollResult{Clock: oleandervalve.ExecutorTime(time.Hour), Running: x.running}, x.pollError
}

func (x *crashingExecutor) run(o oleandervalve.StartOrder) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.running = append(x.running, oleandervalve.RunningTask{Task: o.Task, Run: o.Run})
	return nil
}

func (x *crashingExecutor) fail(err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.pollError = err
}

// Guards against tasks that wait until an executor that has ended is back or its lease has
// ended, although nothing listens at its address any more, against executors that count as
// ended because they give no answer or can't be reached, and against those that leave as
// planned and count as crashed.
func TestEndIsReportedWhenNothingListens(t *testing.T) {
	refused := &oleandervalve.UnavailableError{Service: "executor", NotListening: true}
	for _, c := range []struct {
		name  string
		err   error
		state oleandervalve.ExecutorState
		// ended and crashed are what the leader is told.
		ended, crashed bool
	}{
		{"nothing listens", refused, oleandervalve.ExecutorReady, true, true},
		{"left as planned", refused, oleandervalve.ExecutorDraining, true, false},
		{"no answer", &oleandervalve.UnknownOutcomeError{Operation: "poll"}, oleandervalve.ExecutorReady, false, false},
		{"not reachable", &oleandervalve.UnavailableError{Service: "executor"}, oleandervalve.ExecutorReady, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			x := &crashingExecutor{}
			x.start = x.run
			a := newAgent(Options{ID: "a-1", Clock: oleandervalve.SystemClock(), Executor: x, MaxLease: 10 * time.Second, ProofLifetime: 7 * time.Second})
			is.NoErr(a.StatusAnnounced(statusWith(16, 1)))
			task := oleandervalve.TaskName{Job: "j"}
			terminated, outlived := make(chan *peer.ExecutorTerminated, 10), make(chan bool, 1)
			leadAgent(t, a, func(conn *peer.Conn, m peer.Message) {
				switch m := m.(type) {
				case *peer.ExecutorInventory:
					conn.TrySend(&peer.StartRun{Start: dispatch.Start{Executor: m.Status.Incarnation, Task: task, Run: 1, Hints: dispatch.RunHints{CPU: 1000, Isolation: time.Millisecond}}})
				case *peer.RunOutlived:
					outlived <- true
				case *peer.ExecutorTerminated:
					terminated <- m
				}
			})
			<-outlived
			status := statusWith(16, 2)
			status.State = c.state
			is.NoErr(a.StatusAnnounced(status))
			x.fail(c.err)
			select {
			case m := <-terminated:
				is.True(c.ended)
				is.Equal(m.Lost.Crashed, c.crashed)
				if c.crashed {
					is.Equal(len(m.Lost.Runs), 1)
					is.Equal(m.Lost.Runs[0].Task, task)
					is.True(m.Lost.Runs[0].Started)
				}
			case <-time.After(2 * time.Second):
				is.True(!c.ended)
			}
		})
	}
}

// Guards against runs that stay isolated although they have outlived it, because they were isolated
// together with others.
func TestAllRunsOfGroupAreReportedToHaveOutlived(t *testing.T) {
	is := is.New(t)
	const runs = 25
	x := &crashingExecutor{}
	x.start = x.run
	a := newAgent(Options{ID: "a-1", Clock: oleandervalve.SystemClock(), Executor: x, MaxLease: 10 * time.Second, ProofLifetime: 7 * time.Second})
	is.NoErr(a.StatusAnnounced(statusWith(16, 1)))
	outlived := make(chan oleandervalve.TaskName, 2*runs)
	leadAgent(t, a, func(conn *peer.Conn, m peer.Message) {
		switch m := m.(type) {
		case *peer.ExecutorInventory:
			for i := range runs {
				conn.TrySend(&peer.StartRun{Start: dispatch.Start{Executor: m.Status.Incarnation, Task: oleandervalve.TaskName{Job: "j", Index: i}, Run: 1, Hints: dispatch.RunHints{CPU: 100, Isolation: 30 * time.Millisecond}}})
			}
		case *peer.RunOutlived:
			outlived <- m.Task
		}
	})
	reported := map[oleandervalve.TaskName]bool{}
	for len(reported) < runs {
		select {
		case n := <-outlived:
			is.True(!reported[n])
			reported[n] = true
		case <-time.After(10 * time.Second):
			t.Fatalf("%d of %d runs are reported", len(reported), runs)
		}
	}
}
