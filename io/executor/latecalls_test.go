package executor

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/dispatch"
	"oleandervalve/core/leasebound"
	"oleandervalve/io/peer"
)

const testMaxLease = 10 * time.Second

// scriptedExecutor answers polls and starts as a test says.
type scriptedExecutor struct {
	fakeExecutor
	mu      sync.Mutex
	poll    func(oleandervalve.PollRequest) (oleandervalve.PollResult, error)
	onStart func(attempt int) (oleandervalve.ExecutorTime, oleandervalve.StartRefusal, error)
	starts  int
}

func (x *scriptedExecutor) Poll(ctx context.Context, _ oleandervalve.ExecutorID, p oleandervalve.PollRequest) (oleandervalve.PollResult, error) {
	select {
	case <-ctx.Done():
		return oleandervalve.PollResult{}, &oleandervalve.UnknownOutcomeError{Operation: "poll"}
	case <-time.After(5 * time.Millisecond):
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.poll(p)
}

func (x *scriptedExecutor) Start(context.Context, oleandervalve.ExecutorID, oleandervalve.StartOrder) (oleandervalve.ExecutorTime, oleandervalve.StartRefusal, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.starts++
	return x.onStart(x.starts)
}

func (x *scriptedExecutor) started() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.starts
}

func (x *scriptedExecutor) set(poll func(oleandervalve.PollRequest) (oleandervalve.PollResult, error)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.poll = poll
}

func answerPoll(oleandervalve.PollRequest) (oleandervalve.PollResult, error) {
	return oleandervalve.PollResult{Clock: oleandervalve.ExecutorTime(time.Hour)}, nil
}

func scriptedAgent(x *scriptedExecutor, firstStart bool) *Agent {
	return newAgent(Options{ID: "a-1", Clock: oleandervalve.SystemClock(), Executor: x, MaxLease: testMaxLease, ProofLifetime: 7 * time.Second, FirstStart: firstStart})
}

// Guards against a task that starts elsewhere while the next incarnation runs it, whose lease a poll
// of the earlier one has extended after the start.
func TestReportOfUnansweredStartCountsLaterPolls(t *testing.T) {
	is := is.New(t)
	unknown := &oleandervalve.UnknownOutcomeError{Operation: "call"}
	x := &scriptedExecutor{poll: answerPoll}
	x.onStart = func(int) (oleandervalve.ExecutorTime, oleandervalve.StartRefusal, error) { return 0, "", unknown }
	a := scriptedAgent(x, true)
	is.NoErr(a.StatusAnnounced(statusWith(16, 1)))
	losses := make(chan *peer.ExecutorTerminated, 10)
	leadAgent(t, a, func(c *peer.Conn, m peer.Message) {
		switch m := m.(type) {
		case *peer.ExecutorInventory:
			c.TrySend(startOf(m.Status.Incarnation, 0, dispatch.RunHints{Estimate: time.Second}))
		case *peer.ExecutorTerminated:
			losses <- m
		}
	})
	for x.started() == 0 {
		time.Sleep(time.Millisecond)
	}
	var lastPoll time.Time
	x.set(func(p oleandervalve.PollRequest) (oleandervalve.PollResult, error) {
		if p.LeaseUntil > 0 {
			lastPoll = time.Now()
		}
		return oleandervalve.PollResult{}, unknown
	})
	time.Sleep(1200 * time.Millisecond)
	x.set(func(oleandervalve.PollRequest) (oleandervalve.PollResult, error) {
		return oleandervalve.PollResult{}, &oleandervalve.UnavailableError{Service: "executor", NotListening: true}
	})
	m := <-losses
	now := time.Now()
	is.Equal(len(m.Unanswered), 1)
	x.mu.Lock()
	defer x.mu.Unlock()
	ends := lastPoll.Add(leasebound.CallDelay + testMaxLease)
	t.Logf("run may last until %s after the report, said to end after %s", ends.Sub(now), m.Unanswered[0].For)
	is.True(!now.Add(m.Unanswered[0].For).Before(ends))
}

// Guards against a task that starts elsewhere while an order of an earlier process of the agent is on its way
// to the next incarnation.
func TestNewProcessTellsOfOrdersOfTheEarlierOne(t *testing.T) {
	is := is.New(t)
	x := &scriptedExecutor{poll: answerPoll}
	a := scriptedAgent(x, false)
	is.NoErr(a.StatusAnnounced(statusWith(16, 1)))
	inventories := make(chan *peer.ExecutorInventory, 10)
	leadAgent(t, a, func(_ *peer.Conn, m peer.Message) {
		if m, ok := m.(*peer.ExecutorInventory); ok {
			inventories <- m
		}
	})
	is.True((<-inventories).UnknownFor > 0)
}

// Guards against a task that starts elsewhere as soon as one attempt at its start was refused, while an
// earlier one is on its way to the next incarnation.
func TestRunIsNotVoidWhileAnAttemptIsOnItsWay(t *testing.T) {
	is := is.New(t)
	x := &scriptedExecutor{poll: answerPoll}
	var sentAt time.Time
	x.onStart = func(attempt int) (oleandervalve.ExecutorTime, oleandervalve.StartRefusal, error) {
		if attempt == 1 {
			sentAt = time.Now()
			return 0, "", &oleandervalve.UnknownOutcomeError{Operation: "start"}
		}
		return oleandervalve.ExecutorTime(time.Hour + time.Minute), oleandervalve.RefusedRoom, nil
	}
	a := scriptedAgent(x, true)
	is.NoErr(a.StatusAnnounced(statusWith(16, 1)))
	void := make(chan time.Time, 10)
	leadAgent(t, a, func(c *peer.Conn, m peer.Message) {
		switch m := m.(type) {
		case *peer.ExecutorInventory:
			c.TrySend(startOf(m.Status.Incarnation, 0, dispatch.RunHints{Estimate: time.Second}))
		case *peer.RunNeverStarted:
			void <- time.Now()
		}
	})
	at := <-void
	x.mu.Lock()
	defer x.mu.Unlock()
	t.Logf("void %s after the first attempt", at.Sub(sentAt))
	is.True(at.Sub(sentAt) >= leasebound.CallDelay)
}

// Guards against a start that counts as confirmed although the next incarnation has answered, whose clock is
// ahead of the last known one because the earlier incarnation was short.
func TestAnswerOfTheNextIncarnationAfterAShortOneIsNoConfirmation(t *testing.T) {
	is := is.New(t)
	const lastKnown = 500 * time.Millisecond
	x := &scriptedExecutor{poll: func(oleandervalve.PollRequest) (oleandervalve.PollResult, error) {
		return oleandervalve.PollResult{Clock: oleandervalve.ExecutorTime(lastKnown)}, nil
	}}
	x.onStart = func(int) (oleandervalve.ExecutorTime, oleandervalve.StartRefusal, error) {
		return oleandervalve.ExecutorTime(lastKnown + 100*time.Millisecond), "", nil
	}
	hold := &holdingExecutor{scriptedExecutor: x}
	a := newAgent(Options{ID: "a-1", Clock: oleandervalve.SystemClock(), Executor: hold, MaxLease: testMaxLease, ProofLifetime: 7 * time.Second, FirstStart: true})
	is.NoErr(a.StatusAnnounced(statusWith(16, 1)))
	inventories, conns := make(chan *peer.ExecutorInventory, 10), make(chan *peer.Conn, 10)
	confirmed := make(chan bool, 10)
	leadAgentWith(t, a, func(p *peer.Ping) bool {
		for range p.Started {
			confirmed <- true
		}
		return true
	}, func(c *peer.Conn, m peer.Message) {
		if m, ok := m.(*peer.ExecutorInventory); ok {
			inventories <- m
			conns <- c
		}
	})
	first, conn := <-inventories, <-conns
	a.awaitSession().awaitProof()
	time.Sleep(time.Second) // the executor's clock advances to 1.5 s, or it starts again
	conn.TrySend(startOf(first.Status.Incarnation, 0, dispatch.RunHints{LongRunning: false, Estimate: time.Second}))
	select {
	case <-confirmed:
		t.Fatal("an answer of another incarnation has confirmed the start")
	case <-inventories:
	case <-time.After(1500 * time.Millisecond):
		t.Fatal("the session goes on")
	}
}

// holdingExecutor doesn't answer long polls.
type holdingExecutor struct{ *scriptedExecutor }

func (x *holdingExecutor) Poll(ctx context.Context, e oleandervalve.ExecutorID, p oleandervalve.PollRequest) (oleandervalve.PollResult, error) {
	if p.Wait > initialPollWait {
		<-ctx.Done()
		return oleandervalve.PollResult{}, &oleandervalve.UnknownOutcomeError{Operation: "poll"}
	}
	return x.scriptedExecutor.Poll(ctx, e, p)
}

// Guards against a start that is confirmed although the executor has given no answer since the last attempt
// could be carried out: the next incarnation may have got that attempt.
func TestStartIsNotConfirmedWithoutAnAnswerSinceTheLastAttempt(t *testing.T) {
	is := is.New(t)
	unknown := &oleandervalve.UnknownOutcomeError{Operation: "call"}
	x := &scriptedExecutor{poll: answerPoll}
	x.onStart = func(attempt int) (oleandervalve.ExecutorTime, oleandervalve.StartRefusal, error) {
		if attempt == 1 {
			return 0, "", unknown
		}
		x.poll = func(oleandervalve.PollRequest) (oleandervalve.PollResult, error) {
			return oleandervalve.PollResult{}, unknown
		}
		return oleandervalve.ExecutorTime(time.Hour), "", nil
	}
	a := scriptedAgent(x, true)
	is.NoErr(a.StatusAnnounced(statusWith(16, 1)))
	confirmed := make(chan bool, 10)
	leadAgentWith(t, a, func(p *peer.Ping) bool {
		for range p.Started {
			confirmed <- true
		}
		return true
	}, func(c *peer.Conn, m peer.Message) {
		if m, ok := m.(*peer.ExecutorInventory); ok {
			c.TrySend(startOf(m.Status.Incarnation, 0, dispatch.RunHints{Estimate: time.Second}))
		}
	})
	select {
	case <-confirmed:
		t.Fatal("the start is confirmed")
	case <-time.After(2 * leasebound.CallDelay):
	}
}
