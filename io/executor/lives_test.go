package executor

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"oleandervalve"
	"oleandervalve/core/dispatch"
	"oleandervalve/io/peer"
)

// silenceTrigger is the call at which the first life falls silent.
type silenceTrigger string

const (
	// silentAtStart is the start order of a run, and silentAtAcknowledgement a poll that
	// acknowledges an end.
	silentAtStart           silenceTrigger = "start"
	silentAtAcknowledgement silenceTrigger = "acknowledgement"
	// silentAtUnansweredStart is a poll that acknowledges an end while a start order has had no
	// answer for a while.
	silentAtUnansweredStart silenceTrigger = "acknowledgement beside an unanswered start"
)

// delivery says when the next life carries out the calls that had no answer.
type delivery string

const (
	// deliverFirst is before any other call.
	deliverFirst delivery = "first"
	// deliverUnannounced is beside the polls of the former session, before the next life announces
	// itself.
	deliverUnannounced delivery = "unannounced"
	// deliverAfterJoin is in the next session, and deliverLate seconds later.
	deliverAfterJoin delivery = "after the next session has begun"
	deliverLate      delivery = "seconds late"
)

// livesCase is one way in which calls to one life of an executor reach the next one.
type livesCase struct {
	trigger silenceTrigger
	when    delivery
	// calls are delivered in this order.
	calls []callKind
	// quick means that the run of the late start order succeeds at once.
	quick bool
}

func (c livesCase) name() string {
	var calls []string
	for _, k := range c.calls {
		calls = append(calls, string(k))
	}
	return fmt.Sprintf("silent at %s, %s, %s, quick %t", c.trigger, c.when, strings.Join(calls, " "), c.quick)
}

// livesCases returns all ways of delivery.
func livesCases() []livesCase {
	orders := [][]callKind{
		nil,
		{callStart},
		{callStop},
		{callPoll},
		{callPace},
		{callIdentify},
		{callStart, callStop, callPace, callPoll, callIdentify},
		{callIdentify, callPoll, callPace, callStop, callStart},
		{callStart, callStart},
		{callPoll, callPoll},
		{callStop, callStop},
		{callStart, callStop, callPace, callPoll, callIdentify, callStart, callStop, callPace, callPoll, callIdentify},
		{callStart, callPoll},
		{callPoll, callStart},
		{callStop, callStart},
		{callStart, callStop},
		{callStart, callPace},
		{callStart, callPoll, callStop},
		{callStart, callStop, callPoll},
		{callStop, callPoll, callStart},
		{callPoll, callStart, callStop},
		{callStart, callIdentify, callPoll},
		{callPoll, callStart, callPoll},
	}
	var out []livesCase
	for _, trigger := range []silenceTrigger{silentAtStart, silentAtAcknowledgement, silentAtUnansweredStart} {
		for _, when := range []delivery{deliverFirst, deliverUnannounced, deliverAfterJoin, deliverLate} {
			for i, calls := range orders {
				for _, quick := range []bool{false, true} {
					if when == deliverLate && len(calls) < 5 || testing.Short() && (i+len(out))%5 != 0 {
						continue
					}
					out = append(out, livesCase{trigger: trigger, when: when, calls: calls, quick: quick})
				}
			}
		}
	}
	return out
}

// Guards against runs that start twice, go on unknown, are slowed down or refused after a restart.
func TestCallsReachNextLife(t *testing.T) {
	slots := make(chan struct{}, 48)
	var wg sync.WaitGroup
	var crossed atomic.Int64
	cases := livesCases()
	for _, c := range cases {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			problems, begun, err := playLives(t, c)
			for attempt := 1; err != nil && attempt < 5; attempt++ {
				problems, begun, err = playLives(t, c)
			}
			if err != nil {
				t.Errorf("%s: %v", c.name(), err)
			}
			for _, problem := range problems {
				t.Errorf("%s: %s", c.name(), problem)
			}
			if begun {
				crossed.Add(1)
			}
		}()
	}
	wg.Wait()
	t.Logf("%d cases, in %d of them a run of the former life has begun in the next one", len(cases), crossed.Load())
	if crossed.Load() == 0 {
		t.Error("no run of the former life has begun in the next one")
	}
}

// The tasks of playLives: late is the one whose start order has no answer, and lasting one that runs in
// the first life.
var (
	lateTask    = oleandervalve.TaskName{Job: "late"}
	lastingTask = oleandervalve.TaskName{Job: "lasting"}
)

// playLives plays a case and returns what is wrong, and whether the run of the late start order has begun
// in the next life. The error means that the first life was not played, as its session has ended early.
func playLives(t *testing.T, c livesCase) (problems []string, begun bool, err error) {
	const longest = 6500 * time.Millisecond // starts in the next life wait for nothing
	x := newLivesExecutor(longest)
	x.quick["quick"], x.quick[lateTask.Job] = true, c.quick
	x.mute(callPace, true)
	a := newAgent(Options{ID: "a-1", Clock: oleandervalve.SystemClock(), Executor: x, MaxLease: longest, ProofLifetime: 7 * time.Second})
	first, second := statusWith(16, 1), statusWith(16, 1)
	second.Incarnation.StartedAt = 2
	if err := a.StatusAnnounced(first); err != nil {
		return nil, false, err
	}
	l := newLivesLeader()
	leadAgent(t, a, l.receive)
	awaitProvedSession(a)

	// The first life has run tasks, and has an end that the leader has not acknowledged.
	for i := range 3 {
		l.start(oleandervalve.TaskName{Job: "quick", Index: i}, 1, dispatch.RunHints{})
	}
	l.start(lastingTask, 1, dispatch.RunHints{BestEffort: true, Image: "fill", SpeedLimit: 50})
	settled := func() bool {
		x.mu.Lock()
		defer x.mu.Unlock()
		return len(x.forgotten) == 3 && len(x.running) == 1
	}
	if !within(10*time.Second, settled) || !within(10*time.Second, func() bool { return x.heldKinds()[callPace] }) {
		return nil, false, errors.New("the first life has not run its tasks")
	}
	l.setHoldAcknowledgements(true)
	l.start(oleandervalve.TaskName{Job: "quick", Index: 3}, 1, dispatch.RunHints{})
	within(10*time.Second, func() bool { l.mu.Lock(); defer l.mu.Unlock(); return len(l.unacknowledged) > 0 })
	fallSilent(x, l, c.trigger)
	l.send(&peer.StopRun{Stop: dispatch.Stop{Task: lastingTask, Run: 1}})
	within(time.Second, func() bool { return x.heldKinds()[callStop] })
	_ = a.StatusAnnounced(second) // is not followed, as there is no answer
	within(time.Second, func() bool { return x.heldKinds()[callIdentify] })

	l.mu.Lock()
	sessions := l.sessions[1]
	l.mu.Unlock()
	if sessions != 1 {
		return nil, false, errors.Newf("the first life has had %d sessions", sessions)
	}

	// The next life.
	x.restart(0)
	deliver := func() {
		for _, k := range c.calls {
			x.deliver(k)
		}
	}
	join := func() bool {
		within(5*time.Second, func() bool { return a.StatusAnnounced(second) == nil })
		return within(10*time.Second, l.hasJoinedNextLife)
	}
	switch c.when {
	case deliverFirst:
		deliver()
		x.setSilent(false)
	case deliverUnannounced:
		var polls atomic.Int64
		x.mu.Lock()
		x.onCall = func(k callKind, _ oleandervalve.PollRequest) {
			if k == callPoll {
				polls.Add(1)
			}
		}
		x.mu.Unlock()
		deliver()
		x.setSilent(false)
		within(3*time.Second, func() bool { return polls.Load() > 0 })
		deliver()
	case deliverAfterJoin, deliverLate:
		x.setSilent(false)
	}
	x.mute(callPace, false)
	x.mute(callStart, false)
	if !join() {
		return []string{"the leader does not learn of the next life"}, false, nil
	}
	switch c.when {
	case deliverAfterJoin:
		deliver()
	case deliverLate:
		time.Sleep(2 * time.Second)
		deliver()
	}
	x.mu.Lock()
	begun = x.begun[runKey{lateTask, 1}]
	x.mu.Unlock()
	return checkLives(a, x, l), begun, nil
}

// fallSilent makes an executor fall silent while start orders and acknowledgements are on their way.
func fallSilent(x *livesExecutor, l *livesLeader, trigger silenceTrigger) {
	silentAt := func(kind callKind) {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.onCall = func(k callKind, p oleandervalve.PollRequest) {
			x.silent = x.silent || k == kind && (kind != callPoll || p.AcknowledgedEnd > 3)
		}
	}
	isSilent := func() bool { x.mu.Lock(); defer x.mu.Unlock(); return x.silent }
	start := func() { l.start(lateTask, 1, dispatch.RunHints{}) }
	switch trigger {
	case silentAtStart:
		silentAt(callStart)
		start()
		within(5*time.Second, isSilent)
		l.setHoldAcknowledgements(false)
	case silentAtAcknowledgement:
		silentAt(callPoll)
		l.setHoldAcknowledgements(false)
		within(5*time.Second, isSilent)
		start()
	case silentAtUnansweredStart:
		x.mute(callStart, true)
		start()
		within(5*time.Second, func() bool { return x.heldKinds()[callStart] })
		silentAt(callPoll)
		l.setHoldAcknowledgements(false)
		within(time.Second, isSilent)
		x.setSilent(true)
	}
	// Without a poll that fails, the agent doesn't doubt the executor.
	within(time.Second, func() bool { return x.heldKinds()[callPoll] && x.heldKinds()[callStart] })
}

// checkLives checks the next life once its session has begun.
func checkLives(a *Agent, x *livesExecutor, l *livesLeader) []string {
	var problems []string
	ended := func() bool { x.mu.Lock(); defer x.mu.Unlock(); return len(x.running) == 0 && len(x.ended) == 0 }
	s := a.awaitSession()
	s.mu.Lock()
	bound := s.leaseBound.End
	s.mu.Unlock()
	x.mu.Lock()
	if x.leaseEnd.After(bound) {
		problems = append(problems, fmt.Sprintf("the lease ends %v after the agent's bound", x.leaseEnd.Sub(bound)))
	}
	x.mu.Unlock()
	if !within(5*time.Second, ended) {
		problems = append(problems, "runs of the former session go on")
	}
	x.mu.Lock()
	l.mu.Lock()
	for k := range x.begun {
		how, ok := l.reported[2][k]
		switch {
		case !ok:
			problems = append(problems, fmt.Sprintf("the leader has not been told of %v", k))
		case how == "":
			problems = append(problems, fmt.Sprintf("the leader has not been told of the end of %v", k))
		}
		if l.neverStarted[k] || l.lost[k] {
			problems = append(problems, fmt.Sprintf("%v has begun and is reported as lost (%t) or as never started (%t)", k, l.lost[k], l.neverStarted[k]))
		}
	}
	if l.terminated[2] {
		problems = append(problems, "the next life is reported as ended")
	}
	l.mu.Unlock()
	x.mu.Unlock()
	// Later runs of the same tasks start, at full speed.
	awaitProvedSession(a)
	x.mu.Lock()
	x.quick[lateTask.Job] = false
	x.mu.Unlock()
	for _, k := range []runKey{{lateTask, 2}, {lastingTask, 2}} {
		l.start(k.task, k.run, dispatch.RunHints{})
		started := func() bool {
			x.mu.Lock()
			defer x.mu.Unlock()
			return x.running[k] != nil && x.running[k].pace == 100
		}
		if !within(5*time.Second, started) {
			problems = append(problems, fmt.Sprintf("%v doesn't run at full speed", k))
		}
	}
	return problems
}
