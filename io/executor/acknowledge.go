package executor

import (
	"context"
	"slices"
	"time"

	"oleandervalve/core/dispatch"
)

// maxAcknowledgementDelay is how long acknowledgements wait for the answers to start orders.
const maxAcknowledgementDelay = 2 * time.Second

// acknowledgementInterval is the time from an acknowledgement to the next one while start orders are
// pending, which wait for its answer.
const acknowledgementInterval = 300 * time.Millisecond

// beginAcknowledgement returns the number up to which the next poll acknowledges ends, or 0. A start
// order and a later acknowledgement that have no answer may both be carried out by the executor's
// next incarnation, which counts its ends from 1: the end of the run would not be listed any more.
// So they are not sent at the same time, and nothing is acknowledged twice. s.mu must be held.
func (s *session) beginAcknowledgement(now time.Time) uint64 {
	if s.firstListedEnd == 0 || s.lastAcknowledgedEnd < s.firstListedEnd || s.unconfirmed || s.replaced {
		s.acknowledgementDueAt = time.Time{}
		s.resumeStarts()
		return 0
	}
	if s.acknowledgementDueAt.IsZero() {
		s.acknowledgementDueAt = now
	}
	overdue := now.Sub(s.acknowledgementDueAt) >= maxAcknowledgementDelay
	tooSoon := len(s.pendingStarts) > 0 && now.Sub(s.acknowledgedAt) < acknowledgementInterval
	if !overdue && (tooSoon || s.hasUnansweredStart()) {
		s.resumeStarts()
		return 0
	}
	if s.startsPaused == nil {
		s.startsPaused = make(chan struct{})
	}
	if !overdue && s.startsInFlight > 0 {
		return 0
	}
	s.acknowledgementDueAt = time.Time{}
	return s.lastAcknowledgedEnd
}

// hasUnansweredStart reports whether an attempt at a pending start order has had no answer, or one at
// another order may still be carried out. s.mu must be held.
func (s *session) hasUnansweredStart() bool {
	for _, st := range s.pendingStarts {
		if st.unanswered {
			return true
		}
	}
	late, _ := s.agent.unanswered.late(s.agent.options.Clock.Now())
	return slices.ContainsFunc(late, func(u dispatch.UnansweredStart) bool {
		return s.pendingStarts[runKey{u.Task, u.Run}] == nil
	})
}

// resumeStarts allows start orders after an acknowledgement. s.mu must be held.
func (s *session) resumeStarts() {
	if s.startsPaused != nil {
		close(s.startsPaused)
		s.startsPaused = nil
	}
}

// awaitAcknowledgement waits until start orders don't wait for an acknowledgement, the run has to end
// or ctx is done.
func (s *session) awaitAcknowledgement(ctx context.Context, st *pendingStart) {
	s.mu.Lock()
	paused := s.startsPaused
	s.mu.Unlock()
	if paused == nil {
		return
	}
	select {
	case <-paused:
	case <-st.stopped:
	case <-ctx.Done():
	}
}
