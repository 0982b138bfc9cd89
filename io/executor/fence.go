package executor

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"oleandervalve"
	"oleandervalve/core/fencing"
)

// fence keeps start orders that are in transit out of incarnations that nobody polls yet. The mutex of
// the agent protects it.
type fence struct {
	tokens fencing.Tokens
	// poller is the session that polls the executor, or nil.
	poller *session
	// earlier is the executor of an earlier process of the agent, which the leader has named, without
	// an id if none is known. It is asked until an executor has announced itself.
	earlier oleandervalve.Incarnation
	// fenced is the last incarnation that has answered a question or the first poll of a session.
	fenced oleandervalve.Incarnation
	// wake tells fenceLoop that it may have to ask.
	wake chan struct{}
}

func newFence() fence { return fence{wake: make(chan struct{}, 1)} }

// suspend records that a session polls the executor and may send start orders.
func (f *fence) suspend(s *session) {
	f.poller = s
	f.tokens.Ordering(s.token)
}

// begin makes fenceLoop ask the executor unless a session polls it.
func (f *fence) begin() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// endPolling records that a session doesn't poll the executor any more.
func (a *Agent) endPolling(s *session) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fence.poller == s {
		a.fence.poller = nil
		a.fence.begin()
	}
}

// fenceQuestion returns which executor to ask and the token, and whether it has to be asked: while start
// orders may be in transit and no session polls it.
func (a *Agent) fenceQuestion() (oleandervalve.Incarnation, oleandervalve.FencingToken, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	known, token := a.fence.earlier, a.fence.tokens.Fence()
	if a.statusKnown {
		known = a.status.Incarnation
	}
	return known, token, token > 0 && known.ID != "" && a.fence.poller == nil && a.unanswered.inTransit()
}

// fenceLoop asks the executor, while that is needed, with a token that is newer than those of the start
// orders in transit, until ctx is done. An incarnation that has answered doesn't carry them out.
func (a *Agent) fenceLoop(ctx context.Context) {
	outcome := fencing.NotAsked
	for ctx.Err() == nil {
		q := fencing.Next(outcome)
		if q.Delay > 0 {
			select {
			case <-ctx.Done():
				return
			case <-a.options.Clock.After(q.Delay):
			}
		}
		if known, token, needed := a.fenceQuestion(); needed {
			outcome = a.askWithFence(ctx, known, token, q.Wait)
			continue
		}
		outcome = fencing.NotAsked
		select {
		case <-ctx.Done():
		case <-a.fence.wake:
		}
	}
}

// askWithFence asks the executor with a token that fences off all start orders so far. The executor
// may keep the question open for the given time.
func (a *Agent) askWithFence(ctx context.Context, known oleandervalve.Incarnation, token oleandervalve.FencingToken, wait time.Duration) fencing.Outcome {
	call, cancel := context.WithTimeout(ctx, wait+identifyTimeout)
	defer cancel()
	result, err := a.options.Executor.Poll(call, known.ID, oleandervalve.PollRequest{Token: token, Wait: wait})
	var replaced *oleandervalve.WrongIncarnationError
	switch {
	case errors.As(err, &replaced):
		return fencing.AnsweredAtOnce
	case err != nil:
		return fencing.NoAnswer
	}
	if result.StartedAt != 0 {
		present := oleandervalve.Incarnation{ID: known.ID, StartedAt: result.StartedAt}
		a.mu.Lock()
		a.recordFenced(present, time.Duration(result.Clock))
		unmet := a.sessionIncarnation.ID != "" && a.sessionIncarnation != present
		a.mu.Unlock()
		if result.StartedAt != known.StartedAt {
			a.recordPolledStart(result.StartedAt)
		}
		if unmet && len(result.Running) > 0 {
			a.stopLateRuns(ctx, present, result.Running, token)
			return fencing.AnsweredAtOnce
		}
	}
	if len(result.Ended) > 0 || result.Unreadable > 0 {
		return fencing.AnsweredAtOnce
	}
	return fencing.Answered
}

// stopLateRuns stops the runs of an incarnation that no session has met: start orders to an earlier
// one have begun them before the first question. A run whose stop isn't confirmed is stopped after the
// next question, or by the leader.
func (a *Agent) stopLateRuns(ctx context.Context, present oleandervalve.Incarnation, runs []oleandervalve.RunningTask, token oleandervalve.FencingToken) {
	for _, r := range runs {
		call, cancel := context.WithTimeout(ctx, initialOrderTimeout)
		err := a.options.Executor.Stop(call, present.ID, r.Task, r.Run, token)
		cancel()
		a.options.Log.WithFields(logrus.Fields{
			"executor": present.ID, "born": present.StartedAt, "job": r.Task.Job, "task": r.Task.String(), "run": r.Run, "confirmed": err == nil,
		}).Warn("run of a late start order is stopped")
	}
}

// unfencedBuckets cover the time from the start of an executor to the first announcement.
var unfencedBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
}

// recordFenced records that an incarnation of the executor has seen a token that is newer than those
// of all start orders to earlier ones. Before that, for the time that it has been up, it would have
// carried them out. a.mu must be held.
func (a *Agent) recordFenced(present oleandervalve.Incarnation, uptime time.Duration) {
	if a.fence.fenced == present {
		return
	}
	a.fence.fenced = present
	inTransit := a.unanswered.inTransit()
	if inTransit {
		a.options.Scope.Histogram("executor_unfenced", unfencedBuckets).RecordDuration(uptime)
	}
	a.options.Log.WithFields(logrus.Fields{
		"executor": present.ID, "born": present.StartedAt, "uptimeMs": uptime.Milliseconds(), "startsInTransit": inTransit,
	}).Info("executor has fenced off earlier start orders")
}

// awaitRetry waits before a failed poll is repeated. Meanwhile it asks the executor again and again
// if start orders may be in transit: the session ends once a later incarnation answers, and the next
// question fences them off.
func (s *session) awaitRetry(ctx context.Context) {
	clock := s.agent.options.Clock
	retryAt := clock.Now().Add(retryDelay)
	for s.agent.unanswered.inTransit() && ctx.Err() == nil && clock.Now().Before(retryAt) {
		call, cancel := context.WithTimeout(ctx, retryAt.Sub(clock.Now()))
		_ = s.identify(call) // only the end of the session matters, or the next poll
		cancel()
		s.waitUntil(ctx, clock.Now().Add(fencing.Next(fencing.NoAnswer).Delay))
	}
	s.waitUntil(ctx, retryAt)
}
