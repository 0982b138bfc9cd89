package executor

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/crash"
	"oleandervalve/core/dispatch"
	"oleandervalve/core/startorder"
	"oleandervalve/io/peer"
)

// drainStartGrace is how long the agent still sends start orders after a drain has been
// announced. The platform allows such starts for longer.
const drainStartGrace = 500 * time.Millisecond

// newStartLimits returns the limits of start orders. An attempt at an order may reach the
// executor until its timeout.
func newStartLimits(o Options) startorder.Limits {
	delays := startorder.Delays{Cancel: o.CancelDelay, Evacuation: o.EvacuationDelay}
	return startorder.Limits{MaxProofAge: delays.MaxProofAge(o.ProofLifetime), DrainGrace: drainStartGrace}
}

// loggedOrderAge is the age from which on a start order is logged when it is sent.
const loggedOrderAge = time.Second

// leaseUntil returns the end, on the executor's clock, of the lease that may be
// requested now, or zero if the proof of leadership is missing or too old. It updates
// leaseBound. s.mu must be held.
func (s *session) leaseUntil(now oleandervalve.Instant) oleandervalve.ExecutorTime {
	remaining := min(s.agent.leaseDuration, s.agent.options.ProofLifetime-now.Sub(s.proofAt))
	if remaining <= 0 || s.proofAt.IsZero() {
		return 0
	}
	s.leaseBound = s.leaseBound.Extend(now.Time, remaining)
	s.agent.unanswered.extended(now.Time)
	return s.clock + oleandervalve.ExecutorTime(now.Time.Sub(s.clockAt)+remaining)
}

// acquireStartSlot waits until fewer than maxParallelStarts start orders are in flight. It returns
// false if the run has to end or ctx is done first.
func (s *session) acquireStartSlot(ctx context.Context, st *pendingStart, o dispatch.Start) bool {
	select {
	case s.startSlots <- struct{}{}:
		return true
	default:
	}
	logged := s.agent.options.Clock.NewTimer(max(0, loggedWithholding-s.agent.options.now().Sub(st.receivedAt)))
	defer logged.Stop()
	for {
		select {
		case s.startSlots <- struct{}{}:
			return true
		case <-logged.Chan():
			s.logWithheld(o, st, withheldBySlots)
		case <-st.stopped:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// acquireStopSlot waits until fewer than maxParallelStops stop orders are in flight. It
// returns false if ctx is done first.
func (s *session) acquireStopSlot(ctx context.Context) bool {
	select {
	case s.stopSlots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *session) startRun(ctx context.Context, o dispatch.Start) {
	k := runKey{o.Task, o.Run}
	if o.Executor != s.status.Incarnation {
		s.reportNeverStarted(k, oleandervalve.RefusedOld)
		return
	}
	st := &pendingStart{receivedAt: s.agent.options.now(), done: make(chan struct{}), stopped: make(chan struct{})}
	if o.Hints.LongRunning {
		st.contactSince = st.receivedAt.Time
	}
	s.mu.Lock()
	s.pendingStarts[k] = st
	s.hints[k] = o.Hints
	s.mu.Unlock()
	go s.sendStart(ctx, k, st, o)
}

// sendStart sends a start order and repeats it until its outcome is known.
func (s *session) sendStart(ctx context.Context, k runKey, st *pendingStart, o dispatch.Start) {
	defer func() {
		s.mu.Lock()
		delete(s.pendingStarts, k)
		s.mu.Unlock()
		close(st.done)
	}()
	// unanswered means that an earlier attempt had no answer and may still take effect, and
	// unansweredAt is when the last of these was sent.
	unanswered, unansweredAt := false, time.Time{}
	timeout := initialOrderTimeout
	waited := false
	for ctx.Err() == nil {
		verdict, reason := s.decideStart(st)
		switch verdict {
		case startorder.Abandon:
			if unanswered {
				s.sendStop(ctx, k)
			} else {
				st.void = true
				s.reportNeverStarted(k, reason)
			}
			return
		case startorder.AwaitProof:
			s.logWithheld(o, st, withheldByProof)
			if !waited {
				waited = true
				s.logWaitingStart(o, unanswered)
			}
			s.waitForProof(ctx, st)
			continue
		case startorder.AwaitExecutor:
			s.logWithheld(o, st, withheldByExecutor)
			s.agent.waitRetryDelay(ctx)
			continue
		case startorder.AwaitLease:
			s.logWithheld(o, st, withheldByLease)
			s.agent.waitRetryDelay(ctx)
			continue
		case startorder.AwaitContact:
			s.logWithheld(o, st, withheldByContact)
			s.makeContact(ctx, st)
			continue
		}
		if !s.acquireStartSlot(ctx, st, o) {
			continue
		}
		attempt, ok := s.beginStart(k, st)
		if !ok {
			<-s.startSlots
			s.awaitAcknowledgement(ctx, st)
			continue
		}
		s.logLateStart(o, st.receivedAt, unanswered)
		call, cancel := context.WithTimeout(ctx, timeout)
		s.agent.crashes.update(func(l *crash.Log, now time.Time) { l.StartOrdered(now, s.status.Incarnation, o.Task, o.Run) })
		clock, refusal, err := s.agent.options.Executor.Start(call, s.status.Incarnation.ID, oleandervalve.StartOrder{
			Task: o.Task, Run: o.Run, Payload: o.Payload, LeaseUntil: attempt.leaseUntil, Token: s.token, Checkpoint: o.Checkpoint, PermitToken: o.PermitToken,
		})
		replaced := err == nil && clock > 0 && clock < attempt.clock
		s.startReturned(st, err, replaced)
		cancel()
		<-s.startSlots
		if replaced {
			s.endAsReplaced(ctx, k, refusal)
			return
		}
		unansweredAt = s.attemptReturned(k, attempt.sentAt, unansweredAt, mayBeCarriedOut(err))
		if err == nil && refusal == "" {
			s.agent.crashes.update(func(l *crash.Log, now time.Time) { l.StartConfirmed(now, s.status.Incarnation, o.Task, o.Run) })
			s.mu.Lock()
			s.running[k] = true
			orders := s.initialSpeedLimit(k)
			s.mu.Unlock()
			s.startAnswered(k, unansweredAt, o.Hints.LongRunning)
			s.pollSoon()
			s.watchIsolation(ctx, k, o.Hints.Isolation)
			for _, o := range orders {
				s.sendSpeedLimit(ctx, o)
			}
			return
		}
		if err == nil {
			s.log().WithFields(logrus.Fields{"job": o.Task.Job, "task": o.Task.String(), "run": o.Run, "reason": refusal, "unanswered": unanswered}).Warn("executor refused a start")
			if refusal == oleandervalve.RefusedFence {
				s.end("a newer session has taken over the executor")
				return
			}
			if unanswered {
				s.sendStop(ctx, k)
			} else {
				st.void = true
				s.reportNeverStarted(k, refusal)
			}
			return
		}
		if s.endIfReplaced(err) {
			return
		}
		if mayBeCarriedOut(err) {
			unanswered = true
			if o.Hints.LongRunning {
				st.contactSince = s.agent.options.Clock.Now()
			}
			timeout = min(2*timeout, maxOrderTimeout)
		}
		if !unanswered {
			// The order has not reached the executor.
			s.agent.crashes.update(func(l *crash.Log, _ time.Time) { l.Forget(s.status.Incarnation, o.Task, o.Run) })
		}
		s.agent.waitRetryDelay(ctx)
	}
}

// mayBeCarriedOut reports whether an attempt at an order that has returned an error may still take
// effect.
func mayBeCarriedOut(err error) bool {
	var unavailable *oleandervalve.UnavailableError
	var replaced *oleandervalve.WrongIncarnationError
	return err != nil && !errors.As(err, &unavailable) && !errors.As(err, &replaced)
}

// startReturned records that an attempt at a start order has had an answer or failed. Parameter
// replaced means that another incarnation of the executor has answered.
func (s *session) startReturned(st *pendingStart, err error, replaced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st.unanswered = st.unanswered || mayBeCarriedOut(err)
	s.replaced = s.replaced || replaced
	if s.startsInFlight--; s.startsInFlight == 0 && s.startsPaused != nil {
		s.pollSoon()
	}
}

func (s *session) setUnconfirmed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unconfirmed = true
}

// endAsReplaced ends the session because another incarnation of the executor has answered a
// start order: its clock is behind that of the session's one. If that incarnation has started
// the run, it is stopped there, as its lease may last longer than the order was meant to grant.
func (s *session) endAsReplaced(ctx context.Context, k runKey, refusal oleandervalve.StartRefusal) {
	s.mu.Lock()
	s.unconfirmed, s.replaced = true, true
	s.leaseBound = s.leaseBound.Extend(s.agent.options.Clock.Now(), s.agent.options.MaxLease)
	s.mu.Unlock()
	s.log().WithFields(logrus.Fields{"job": k.task.Job, "task": k.task.String(), "run": k.run, "reason": refusal}).Warn("start order was answered by another incarnation of the executor")
	if refusal == "" {
		s.agent.crashes.update(func(l *crash.Log, _ time.Time) { l.StartedLater(s.status.Incarnation, k.task, k.run) })
		s.sendStop(ctx, k)
	}
	s.end("executor has a new incarnation")
}

// endIfReplaced ends the session and returns true if err reports that the executor has
// another incarnation than the session.
func (s *session) endIfReplaced(err error) bool {
	var replaced *oleandervalve.WrongIncarnationError
	if errors.As(err, &replaced) {
		s.end(err.Error())
		return true
	}
	return false
}

// decideStart decides whether a start order may be sent now. The executor may start whatever it
// is told, so that is decided before each attempt.
func (s *session) decideStart(st *pendingStart) (startorder.Verdict, oleandervalve.StartRefusal) {
	c := s.agent.circumstances()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decideStartWith(s.agent.options.now(), c, st)
}

// circumstances returns what the agent knows of its executor.
func (a *Agent) circumstances() startorder.Circumstances {
	a.mu.Lock()
	defer a.mu.Unlock()
	return startorder.Circumstances{Ended: a.ended, DrainingSince: a.drainingSince, Capacity: a.status.Capacity}
}

// decideStartWith decides with what the session knows beside c. s.mu must be held.
func (s *session) decideStartWith(now oleandervalve.Instant, c startorder.Circumstances, st *pendingStart) (startorder.Verdict, oleandervalve.StartRefusal) {
	c.Stopped, c.Reserved, c.ProofAt, c.Unconfirmed = st.isStopped(), s.reserved(), s.startProofAt, s.unconfirmed
	c.Evacuating, c.LeaseProofAt = s.evacuating, s.proofAt
	c.ReadyAt = s.leaseBound.ReadyAt(s.agent.options.ProofLifetime)
	c.ContactSince, c.LeaderAsked, c.ExecutorAsked = st.contactSince, s.leaderAskedAt, s.executorAskedAt
	s.recordProofAge(now)
	return startorder.Decide(now, s.agent.startLimits, c)
}

const (
	// minElapsedPercent is a lower bound of the time on the clock of an executor, which may be 2% slow,
	// in percent of the real time.
	minElapsedPercent = 95
	// clockRounding is more than executors round their times by.
	clockRounding = 5 * time.Millisecond
)

// startAttempt is an attempt at a start order.
type startAttempt struct {
	// leaseUntil is the end of the lease to request, and clock a lower bound of the present time,
	// both on the executor's clock.
	leaseUntil, clock oleandervalve.ExecutorTime
	sentAt            time.Time
}

// beginStart decides again once the order has a slot, as the circumstances may have changed. If
// the order may be sent, it is in flight until startReturned is called.
func (s *session) beginStart(k runKey, st *pendingStart) (startAttempt, bool) {
	c := s.agent.circumstances()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.agent.options.now()
	if verdict, _ := s.decideStartWith(now, c, st); verdict != startorder.Send || s.startsPaused != nil {
		return startAttempt{}, false
	}
	s.startsInFlight++
	s.agent.unanswered.sent(now.Time, k)
	clock := s.clock + oleandervalve.ExecutorTime(max(0, now.Time.Sub(s.clockAt)*minElapsedPercent/100-clockRounding))
	return startAttempt{leaseUntil: s.leaseUntil(now), clock: clock, sentAt: now.Time}, true
}

// waitForProof asks the leader for a newer proof of leadership, and waits until there is one,
// the run has to end, or the order has to be decided again.
func (s *session) waitForProof(ctx context.Context, st *pendingStart) {
	s.mu.Lock()
	renewed := s.proofRenewed
	s.mu.Unlock()
	s.pingSoon()
	select {
	case <-renewed:
	case <-st.stopped:
	case <-ctx.Done():
	case <-s.agent.options.Clock.After(retryDelay):
	}
}

func (s *session) logWaitingStart(o dispatch.Start, unanswered bool) {
	s.mu.Lock()
	proofAt := s.startProofAt
	s.mu.Unlock()
	if proofAt.IsZero() {
		return
	}
	s.log().WithFields(logrus.Fields{
		"job": o.Task.Job, "task": o.Task.String(), "run": o.Run, "proofAgeMs": s.agent.options.now().Sub(proofAt).Milliseconds(), "unanswered": unanswered,
	}).Info("start order waits for a proof of leadership")
}

// logLateStart logs an order that is sent long after it was received at receivedAt.
func (s *session) logLateStart(o dispatch.Start, receivedAt oleandervalve.Instant, unanswered bool) {
	now := s.agent.options.now()
	waited := now.Sub(receivedAt)
	if waited < loggedOrderAge {
		return
	}
	s.mu.Lock()
	proofAge := now.Sub(s.startProofAt)
	s.mu.Unlock()
	s.log().WithFields(logrus.Fields{
		"job": o.Task.Job, "task": o.Task.String(), "run": o.Run, "waitedMs": waited.Milliseconds(), "proofAgeMs": proofAge.Milliseconds(), "unanswered": unanswered,
	}).Info("start order is sent late")
}

// reserved returns what the known runs reserve, those that are being started or stopped
// included. s.mu must be held.
func (s *session) reserved() oleandervalve.Resources {
	var sum oleandervalve.Resources
	for _, h := range s.hints {
		sum = sum.Add(h.Reserved())
	}
	return sum
}

// stopRun stops a run or prevents its start.
func (s *session) stopRun(ctx context.Context, o dispatch.Stop) {
	k := runKey{o.Task, o.Run}
	s.mu.Lock()
	st := s.pendingStarts[k]
	if st != nil {
		st.stop()
	}
	s.mu.Unlock()
	go func() {
		if st != nil {
			select {
			case <-st.done:
				if st.void {
					return
				}
			case <-ctx.Done():
				return
			}
		}
		s.sendStop(ctx, k)
	}()
}

// sendStop sends a stop order and repeats it until the executor confirms it. The
// confirmation doesn't say whether the run had started; a later poll shows that.
func (s *session) sendStop(ctx context.Context, k runKey) {
	timeout := initialOrderTimeout
	for ctx.Err() == nil {
		if !s.acquireStopSlot(ctx) {
			return
		}
		call, cancel := context.WithTimeout(ctx, timeout)
		err := s.agent.options.Executor.Stop(call, s.status.Incarnation.ID, k.task, k.run, s.token)
		cancel()
		<-s.stopSlots
		if err == nil {
			s.mu.Lock()
			if !s.listedEnds[k] {
				s.confirmedStops[k] = s.agent.options.Clock.Now()
			}
			s.mu.Unlock()
			s.pollSoon()
			return
		}
		if s.endIfReplaced(err) {
			return
		}
		s.log().WithFields(logrus.Fields{"job": k.task.Job, "task": k.task.String(), "run": k.run}).WithError(err).Warn("stop not confirmed; retrying")
		timeout = min(2*timeout, maxOrderTimeout)
		s.agent.waitRetryDelay(ctx)
	}
}

// reportNeverStarted reports to the leader a run that has not started and never will.
func (s *session) reportNeverStarted(k runKey, reason oleandervalve.StartRefusal) {
	s.mu.Lock()
	delete(s.hints, k)
	s.mu.Unlock()
	s.agent.crashes.update(func(l *crash.Log, _ time.Time) { l.Forget(s.status.Incarnation, k.task, k.run) })
	s.log().WithFields(logrus.Fields{"job": k.task.Job, "task": k.task.String(), "run": k.run, "reason": reason}).Info("run is void")
	s.report(&peer.RunNeverStarted{NeverStarted: dispatch.NeverStarted{Task: k.task, Run: k.run, Reason: reason}})
}

// pollSoon ends the delay before the next poll of the executor.
func (s *session) pollSoon() {
	select {
	case s.wakePoll <- struct{}{}:
	default:
	}
}
