package executor

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/dispatch"
	"oleandervalve/io/peer"
)

// slowExecutor takes a while to get the first poll, and leaves all others unanswered.
type slowExecutor struct {
	fakeExecutor
	began time.Time
	polls atomic.Int64
	// leases are by how much the leases of start orders exceed the present time.
	leases chan time.Duration
}

const slowPoll = 300 * time.Millisecond

func (x *slowExecutor) clock() oleandervalve.ExecutorTime {
	return oleandervalve.ExecutorTime(time.Since(x.began))
}

func (x *slowExecutor) Poll(ctx context.Context, _ oleandervalve.ExecutorID, _ oleandervalve.PollRequest) (oleandervalve.PollResult, error) {
	if x.polls.Add(1) > 1 {
		<-ctx.Done()
		return oleandervalve.PollResult{}, &oleandervalve.UnknownOutcomeError{Operation: "poll"}
	}
	time.Sleep(slowPoll)
	return oleandervalve.PollResult{Clock: x.clock()}, nil
}

func (x *slowExecutor) Start(_ context.Context, _ oleandervalve.ExecutorID, o oleandervalve.StartOrder) (oleandervalve.ExecutorTime, oleandervalve.StartRefusal, error) {
	x.leases <- time.Duration(o.LeaseUntil - x.clock())
	return x.clock(), "", nil
}

// Guards against a run that outlives its lease, and starts a second time elsewhere, because the
// first poll of the session was on its way for long.
func TestSlowFirstPollDoesNotExtendLease(t *testing.T) {
	is := is.New(t)
	x := &slowExecutor{began: time.Now().Add(-time.Hour), leases: make(chan time.Duration, 1)}
	a := newAgent(Options{ID: "a-1", Clock: oleandervalve.SystemClock(), Executor: x, MaxLease: 10 * time.Second, ProofLifetime: 7 * time.Second})
	is.NoErr(a.StatusAnnounced(statusWith(16, 1)))
	leadAgent(t, a, func(c *peer.Conn, m peer.Message) {
		if m, ok := m.(*peer.ExecutorInventory); ok {
			c.TrySend(&peer.StartRun{Start: dispatch.Start{Executor: m.Status.Incarnation, Task: oleandervalve.TaskName{Job: "j"}, Run: 1}})
		}
	})
	select {
	case lease := <-x.leases:
		is.True(lease <= a.leaseDuration)
	case <-time.After(10 * time.Second):
		t.Fatal("the run is not started")
	}
}

// silentExecutor answers polls until it falls silent, and runs everything.
type silentExecutor struct {
	crashingExecutor
	silent atomic.Bool
}

func (x *silentExecutor) Poll(ctx context.Context, e oleandervalve.ExecutorID, p oleandervalve.PollRequest) (oleandervalve.PollResult, error) {
	if x.silent.Load() {
		<-ctx.Done()
		return oleandervalve.PollResult{}, &oleandervalve.UnknownOutcomeError{Operation: "poll"}
	}
	return x.crashingExecutor.Poll(ctx, e, p)
}

// awaitLossOfSilentExecutor waits until an agent reports that the runs of its executor have ended,
// which gives no more answers.
func awaitLossOfSilentExecutor(t *testing.T, maxLease time.Duration) {
	t.Helper()
	x := &silentExecutor{}
	x.start = x.run
	a := newAgent(Options{ID: "a-1", Clock: oleandervalve.SystemClock(), Executor: x, MaxLease: maxLease, ProofLifetime: 7 * time.Second})
	if err := a.StatusAnnounced(statusWith(16, 1)); err != nil {
		t.Fatal(err)
	}
	started, terminated := make(chan bool, 1), make(chan bool, 1)
	leadAgent(t, a, func(c *peer.Conn, m peer.Message) {
		switch m := m.(type) {
		case *peer.ExecutorInventory:
			c.TrySend(&peer.StartRun{Start: dispatch.Start{Executor: m.Status.Incarnation, Task: oleandervalve.TaskName{Job: "j"}, Run: 1, Hints: dispatch.RunHints{Isolation: time.Millisecond}}})
		case *peer.RunOutlived:
			started <- true
		case *peer.ExecutorTerminated:
			terminated <- true
		}
	})
	<-started
	x.silent.Store(true)
	select {
	case <-terminated:
	case <-time.After(20 * time.Second):
		t.Fatal("the leader is not told that the runs have ended")
	}
}

// Guards against a report of the end of a lease that is lost as the session ends with it.
func TestEndOfLeaseIsReportedBeforeTheSessionEnds(t *testing.T) {
	t.Parallel()
	awaitLossOfSilentExecutor(t, 500*time.Millisecond) // ends during the first unanswered poll
}

// Guards against tasks that are never started elsewhere, because polls extend the lease of an
// executor without end that gives no answer: its runs may have ended long ago.
func TestLeaseOfSilentExecutorEnds(t *testing.T) {
	t.Parallel()
	awaitLossOfSilentExecutor(t, 3*time.Second)
}
