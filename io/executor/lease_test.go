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
	x := &slowExecutor{began: time.Now(), leases: make(chan time.Duration, 1)}
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
