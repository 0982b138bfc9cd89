package executor

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/dispatch"
	"oleandervalve/io/peer"
)

// drainTolerance is how long after the announcement of a drain the executor
// still starts what was ordered before it; the bound on such starts is longer.
const drainTolerance = 500 * time.Millisecond

// leaseUntil returns the end of the lease that may be asked for now, on the
// executor's clock, or zero if none may; the lock is held.
func (s *session) leaseUntil(now time.Time) oleandervalve.ExecutorTime {
	left := min(s.agent.lease, s.agent.options.ProofLifetime-now.Sub(s.proofAt))
	if left <= 0 || s.proofAt.IsZero() {
		return 0
	}
	s.leaseEnd = maxTime(s.leaseEnd, now.Add(s.slow(left)))
	return s.clock + oleandervalve.ExecutorTime(now.Sub(s.clockAt)+left)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// acquire waits for one of the places for orders on their way.
func (s *session) acquire(ctx context.Context) bool {
	select {
	case s.orders <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *session) start(ctx context.Context, o dispatch.Start) {
	k := runKey{o.Task, o.Run}
	if o.Executor != s.status.Incarnation {
		s.void(k, oleandervalve.RefusedOld)
		return
	}
	st := &starting{done: make(chan struct{})}
	s.mu.Lock()
	s.starting[k] = st
	s.traits[k] = o.Hints
	s.mu.Unlock()
	go s.runStart(ctx, k, st, o)
}

// runStart repeats a start order until its outcome is known.
func (s *session) runStart(ctx context.Context, k runKey, st *starting, o dispatch.Start) {
	defer func() {
		s.mu.Lock()
		delete(s.starting, k)
		s.mu.Unlock()
		close(st.done)
	}()
	// unanswered means that an earlier attempt may still take effect.
	unanswered := false
	timeout := firstOrderTimeout
	for ctx.Err() == nil {
		reason, stop := s.mayStart(st)
		if stop {
			if unanswered {
				s.confirmStop(ctx, k)
			} else {
				s.void(k, reason)
			}
			return
		}
		if !s.acquire(ctx) {
			return
		}
		s.mu.Lock()
		until := s.leaseUntil(s.agent.options.Clock.Now())
		s.mu.Unlock()
		call, cancel := context.WithTimeout(ctx, timeout)
		refusal := oleandervalve.StartRefusal("")
		err := error(&oleandervalve.UnavailableError{Service: "leading entry", Remedy: "wait for a proof of leadership"})
		if until > 0 {
			_, refusal, err = s.agent.options.Executor.Start(call, s.status.Incarnation.ID, oleandervalve.StartOrder{
				Task: o.Task, Run: o.Run, Payload: o.Payload, LeaseUntil: until, Token: s.token, Checkpoint: o.Checkpoint, Ticket: o.PermitToken,
			})
		}
		cancel()
		<-s.orders
		if err == nil && refusal == "" {
			s.mu.Lock()
			s.running[k] = true
			orders := s.beginPace(k)
			s.mu.Unlock()
			s.poke()
			for _, o := range orders {
				s.sendPace(ctx, o)
			}
			return
		}
		if err == nil {
			s.log().WithFields(logrus.Fields{"job": o.Task.Job, "task": o.Task.String(), "run": o.Run, "reason": refusal, "unanswered": unanswered}).Warn("executor refused a start")
			if refusal == oleandervalve.RefusedFence {
				s.end("a newer session gives orders to the executor")
				return
			}
			if unanswered {
				s.confirmStop(ctx, k)
			} else {
				s.void(k, refusal)
			}
			return
		}
		if s.wrong(err) {
			return
		}
		var unavailable *oleandervalve.UnavailableError
		if !errors.As(err, &unavailable) {
			unanswered = true
			timeout = min(2*timeout, longestOrderTimeout)
		}
		s.agent.pause(ctx)
	}
}

// wrong ends the session if the executor is no longer the one addressed.
func (s *session) wrong(err error) bool {
	var wrong *oleandervalve.WrongIncarnationError
	if errors.As(err, &wrong) {
		s.end(err.Error())
		return true
	}
	return false
}

// mayStart reports why a start order must be given up, if it must.
func (s *session) mayStart(st *starting) (oleandervalve.StartRefusal, bool) {
	a := s.agent
	a.mu.Lock()
	draining := !a.drainingSince.IsZero() && a.options.Clock.Since(a.drainingSince) > drainTolerance
	a.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case st.stopped:
		return oleandervalve.RefusedOld, true
	case draining:
		return oleandervalve.RefusedDraining, true
	}
	return "", false
}

// stop ends a run, or prevents its start.
func (s *session) stop(ctx context.Context, o dispatch.Stop) {
	k := runKey{o.Task, o.Run}
	s.mu.Lock()
	st := s.starting[k]
	if st != nil {
		st.stopped = true
	}
	s.mu.Unlock()
	go func() {
		if st != nil {
			select {
			case <-st.done:
			case <-ctx.Done():
				return
			}
		}
		s.confirmStop(ctx, k)
	}()
}

// confirmStop repeats a stop order until the executor confirms it. A later
// list shows whether the run was there.
func (s *session) confirmStop(ctx context.Context, k runKey) {
	timeout := firstOrderTimeout
	for ctx.Err() == nil {
		if !s.acquire(ctx) {
			return
		}
		call, cancel := context.WithTimeout(ctx, timeout)
		err := s.agent.options.Executor.Stop(call, s.status.Incarnation.ID, k.task, k.run, s.token)
		cancel()
		<-s.orders
		if err == nil {
			s.mu.Lock()
			if !s.ended[k] {
				s.stopped[k] = s.agent.options.Clock.Now()
			}
			s.mu.Unlock()
			s.poke()
			return
		}
		if s.wrong(err) {
			return
		}
		s.log().WithFields(logrus.Fields{"job": k.task.Job, "task": k.task.String(), "run": k.run}).WithError(err).Warn("stop is not confirmed; repeating it")
		timeout = min(2*timeout, longestOrderTimeout)
		s.agent.pause(ctx)
	}
}

// void reports a run that never starts.
func (s *session) void(k runKey, reason oleandervalve.StartRefusal) {
	s.mu.Lock()
	delete(s.traits, k)
	s.mu.Unlock()
	s.log().WithFields(logrus.Fields{"job": k.task.Job, "task": k.task.String(), "run": k.run, "reason": reason}).Info("run is void")
	s.conn.TrySend(&peer.RunNeverStarted{NeverStarted: dispatch.NeverStarted{Task: k.task, Run: k.run, Reason: reason}})
}

// poke makes the hold loop look at the executor soon.
func (s *session) poke() {
	select {
	case s.wakeHold <- struct{}{}:
	default:
	}
}
