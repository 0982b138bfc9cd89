package executor

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/dispatch"
	"oleandervalve/io/peer"
)

// rebornExecutor starts again under its id between two polls.
type rebornExecutor struct {
	oleandervalve.ExecutorClient
	mu        sync.Mutex
	startedAt int64
	bornAt    time.Time
	// uptime is that at bornAt.
	uptime time.Duration
	// restarting means that the executor starts again as soon as a poll is answered, and
	// restarted is closed then.
	restarting bool
	restarted  chan struct{}
	running    []oleandervalve.RunningTask
	ended      []oleandervalve.EndedTask
	stopped    chan int64
}

func newRebornExecutor() *rebornExecutor {
	return &rebornExecutor{startedAt: 1, bornAt: time.Now(), uptime: 480 * time.Second, restarted: make(chan struct{}), stopped: make(chan int64, 10)}
}

func (x *rebornExecutor) clock() oleandervalve.ExecutorTime {
	return oleandervalve.ExecutorTime(x.uptime + time.Since(x.bornAt))
}

func (x *rebornExecutor) restartAfterPoll() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.restarting = true
}

func (x *rebornExecutor) Poll(ctx context.Context, _ oleandervalve.ExecutorID, p oleandervalve.PollRequest) (oleandervalve.PollResult, error) {
	x.mu.Lock()
	wait := p.Wait
	if x.startedAt == 1 {
		wait = min(wait, 20*time.Millisecond)
	}
	x.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	result := oleandervalve.PollResult{Clock: x.clock(), StartedAt: x.startedAt, Running: append([]oleandervalve.RunningTask(nil), x.running...), Ended: append([]oleandervalve.EndedTask(nil), x.ended...)}
	if x.restarting {
		x.restarting, x.startedAt, x.bornAt, x.uptime, x.running, x.ended = false, 2, time.Now(), 0, nil, nil
		close(x.restarted)
	}
	return result, nil
}

func (x *rebornExecutor) Identify(context.Context, oleandervalve.ExecutorID, oleandervalve.FencingToken) (oleandervalve.ExecutorTime, int64, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.clock(), x.startedAt, nil
}

func (x *rebornExecutor) Start(_ context.Context, _ oleandervalve.ExecutorID, o oleandervalve.StartOrder) (oleandervalve.ExecutorTime, oleandervalve.StartRefusal, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.running = append(x.running, oleandervalve.RunningTask{Task: o.Task, Run: o.Run})
	return x.clock(), "", nil
}

func (x *rebornExecutor) Stop(_ context.Context, _ oleandervalve.ExecutorID, t oleandervalve.TaskName, r oleandervalve.RunNumber, _ oleandervalve.FencingToken) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	for i, running := range x.running {
		if running.Task == t && running.Run == r {
			x.running = append(x.running[:i:i], x.running[i+1:]...)
			x.ended = append(x.ended, oleandervalve.EndedTask{Number: uint64(len(x.ended) + 1), Task: t, Run: r, How: oleandervalve.EndStopped})
		}
	}
	x.stopped <- x.startedAt
	return nil
}

// Guards against a run that is reported as lost in the crash of an incarnation although the next
// one has started it, and against such a run that goes on unknown to the leader, with a longer
// lease than it was granted.
func TestStartAnsweredByNextIncarnation(t *testing.T) {
	is := is.New(t)
	x := newRebornExecutor()
	a := newAgent(Options{ID: "a-1", Clock: oleandervalve.SystemClock(), Executor: x, MaxLease: 10 * time.Second, ProofLifetime: 7 * time.Second})
	is.NoErr(a.StatusAnnounced(statusWith(16, 1)))
	task := oleandervalve.TaskName{Job: "j"}
	inventories, conns := make(chan *peer.ExecutorInventory, 10), make(chan *peer.Conn, 10)
	leadAgent(t, a, func(c *peer.Conn, m peer.Message) {
		if m, ok := m.(*peer.ExecutorInventory); ok {
			inventories <- m
			conns <- c
		}
	})
	first, conn := <-inventories, <-conns
	s := a.awaitSession()
	for s.proof().IsZero() {
		time.Sleep(time.Millisecond)
	}
	x.restartAfterPoll()
	<-x.restarted
	time.Sleep(20 * time.Millisecond) // the poll of the new incarnation waits for an end
	conn.TrySend(&peer.StartRun{Start: dispatch.Start{Executor: first.Status.Incarnation, Task: task, Run: 1, Hints: dispatch.RunHints{CPU: 1000}}})
	select {
	case startedAt := <-x.stopped:
		is.Equal(startedAt, int64(2))
	case <-time.After(5 * time.Second):
		t.Error("the run goes on in the incarnation that it was not ordered of")
	}
	ordered := time.Now()
	next := statusWith(16, 1)
	next.Incarnation.StartedAt = 2
	is.NoErr(a.StatusAnnounced(next))
	second := <-inventories
	is.Equal(second.Status.Incarnation, next.Incarnation)
	is.Equal(len(second.Running)+len(second.Ended), 1)
	is.Equal(len(second.Lost), 1)
	is.True(second.Lost[0].Crashed)
	is.Equal(len(second.Lost[0].Runs), 0) // the run is not lost
	s = a.awaitSession()
	s.mu.Lock()
	defer s.mu.Unlock()
	is.True(s.leaseBound.End.Sub(ordered) > 10*time.Second) // the order's deadline was on the clock of the first incarnation
}

// Guards against a run that the next incarnation has started, and that counts as ended before the
// lease that it has got has ended, if the executor is cut off before the run is stopped.
func TestLeaseOfRunThatNextIncarnationStarted(t *testing.T) {
	is := is.New(t)
	s := newSession(clockwork.NewFakeClock())
	s.agent.options.MaxLease, s.agent.leaseDuration = 10*time.Second, 6*time.Second
	s.agent.crashes = newCrashLog(s.agent.options.Clock)
	ctx, cancel := context.WithCancelCause(context.Background())
	s.cancel = cancel
	cancel(nil) // the stop is never confirmed
	s.leaseBound = s.leaseBound.Extend(s.agent.options.Clock.Now(), s.agent.leaseDuration)
	s.endAsReplaced(ctx, runKey{oleandervalve.TaskName{Job: "j"}, 1}, "")
	is.True(s.leaseBound.End.Sub(s.agent.options.Clock.Now()) > s.agent.options.MaxLease)
	is.True(s.replaced) // polls extend the lease no further
}

func (s *session) proof() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proofAt.Time
}

// Guards against start orders to an executor that may have started again since it last named its
// incarnation: they would reach an incarnation that the leader doesn't know.
func TestNoStartBeforeExecutorNamesItsIncarnation(t *testing.T) {
	is := is.New(t)
	x := &crashingExecutor{}
	started := make(chan oleandervalve.TaskName, 10)
	x.start = func(o oleandervalve.StartOrder) error {
		started <- o.Task
		return nil
	}
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
	x.fail(&oleandervalve.UnknownOutcomeError{Operation: "poll"})
	for !s.isUnconfirmed() {
		time.Sleep(time.Millisecond)
	}
	conn.TrySend(&peer.StartRun{Start: dispatch.Start{Executor: s.status.Incarnation, Task: oleandervalve.TaskName{Job: "j"}, Run: 1, Hints: dispatch.RunHints{CPU: 1000}}})
	select {
	case <-started:
		t.Fatal("the start order is sent although the executor may have been replaced")
	case <-time.After(400 * time.Millisecond):
	}
	x.fail(nil)
	select {
	case <-started:
	case <-time.After(5 * time.Second):
		t.Fatal("the start order is not sent")
	}
}

func (s *session) isUnconfirmed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unconfirmed
}

// Guards against a task that is started elsewhere because its executor is reported as ended while
// a start order for it is in flight, which the next incarnation may carry out.
func TestEndIsNotReportedWhileStartIsInFlight(t *testing.T) {
	is := is.New(t)
	x := &crashingExecutor{}
	starting, answer := make(chan bool, 1), make(chan bool)
	x.start = func(oleandervalve.StartOrder) error {
		starting <- true
		<-answer
		return nil
	}
	a := newAgent(Options{ID: "a-1", Clock: oleandervalve.SystemClock(), Executor: x, MaxLease: 10 * time.Second, ProofLifetime: 7 * time.Second})
	is.NoErr(a.StatusAnnounced(statusWith(16, 1)))
	terminated := make(chan *peer.ExecutorTerminated, 10)
	leadAgent(t, a, func(c *peer.Conn, m peer.Message) {
		switch m := m.(type) {
		case *peer.ExecutorInventory:
			c.TrySend(&peer.StartRun{Start: dispatch.Start{Executor: m.Status.Incarnation, Task: oleandervalve.TaskName{Job: "j"}, Run: 1, Hints: dispatch.RunHints{CPU: 1000}}})
		case *peer.ExecutorTerminated:
			terminated <- m
		}
	})
	<-starting
	x.fail(&oleandervalve.UnavailableError{Service: "executor", NotListening: true})
	select {
	case <-terminated:
		t.Fatal("the executor is reported as ended")
	case <-time.After(700 * time.Millisecond):
	}
	close(answer)
	select {
	case m := <-terminated:
		is.Equal(len(m.Lost.Runs), 1)
	case <-time.After(5 * time.Second):
		t.Fatal("the end is not reported")
	}
}
