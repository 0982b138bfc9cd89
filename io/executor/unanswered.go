package executor

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"oleandervalve"
	"oleandervalve/core/dispatch"
	"oleandervalve/core/leasebound"
	"oleandervalve/io/peer"
)

// unansweredStarts is a leasebound.Unanswered that several goroutines and sessions share.
type unansweredStarts struct {
	mu    sync.Mutex
	clock oleandervalve.Clock
	log   *leasebound.Unanswered
}

func newUnansweredStarts(l leasebound.Limits, c oleandervalve.Clock, firstStart bool) *unansweredStarts {
	return &unansweredStarts{clock: c, log: leasebound.NewUnanswered(l, c.Now(), firstStart)}
}

// sent records an attempt that was sent at a time.
func (u *unansweredStarts) sent(at time.Time, k runKey) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.log.Sent(at, leasebound.Run{Task: k.task, Number: k.run})
}

// notAnswered records that an attempt that was sent at a time has had no answer.
func (u *unansweredStarts) notAnswered(sentAt time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.log.NotAnswered(sentAt)
}

// inTransit reports whether an attempt at any start order may still be carried out by an incarnation
// that has seen no newer token.
func (u *unansweredStarts) inTransit() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.log.InTransit(u.clock.Now())
}

// answered records that no attempt is on its way any more.
func (u *unansweredStarts) answered(k runKey) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.log.Answered(leasebound.Run{Task: k.task, Number: k.run})
}

// ofLost returns what the leader is told of a lost executor.
func (u *unansweredStarts) ofLost() (starts []dispatch.UnansweredStart, unknownFor time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	known, unknownFor := u.log.Remaining(u.clock.Now())
	return sortedStarts(known), unknownFor
}

// late returns what the leader is told of an executor that has answered the first poll of a session.
func (u *unansweredStarts) late(now time.Time) (starts []dispatch.UnansweredStart, unknownFor time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	known, unknownFor := u.log.Late(now)
	return sortedStarts(known), unknownFor
}

// settled records that the executor has answered the first poll of a session, and that the starts in
// pending are still to be confirmed.
func (u *unansweredStarts) settled(now time.Time, pending map[leasebound.Run]bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.log.Settled(now, pending)
}

// isLate reports whether an attempt may still be carried out.
func (u *unansweredStarts) isLate(k runKey) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.log.IsLate(u.clock.Now(), leasebound.Run{Task: k.task, Number: k.run})
}

// extended records a call that may extend the lease.
func (u *unansweredStarts) extended(at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.log.Extended(at)
}

func sortedStarts(runs map[leasebound.Run]time.Duration) []dispatch.UnansweredStart {
	var out []dispatch.UnansweredStart
	for r, d := range runs {
		out = append(out, dispatch.UnansweredStart{Task: r.Task, Run: r.Number, For: d})
	}
	slices.SortFunc(out, func(a, b dispatch.UnansweredStart) int {
		if c := strings.Compare(a.Task.String(), b.Task.String()); c != 0 {
			return c
		}
		return cmp.Compare(a.Run, b.Run)
	})
	return out
}

// startConfirmation is a start that counts as confirmed once the executor has answered a question that was
// sent at a time or later; at once if that is zero.
type startConfirmation struct {
	key  runKey
	from time.Time
}

// startAnswered records that the executor has carried out a start order. unansweredAt is when the
// last attempt was sent that had no answer; zero if there is none.
func (s *session) startAnswered(k runKey, unansweredAt time.Time, longRunning bool) {
	var from time.Time
	if !unansweredAt.IsZero() {
		from = unansweredAt.Add(leasebound.CallDelay)
	}
	s.mu.Lock()
	s.confirmations = append(s.confirmations, startConfirmation{k, from})
	s.mu.Unlock()
	if longRunning && from.IsZero() {
		// Until the leader knows of it, the loss of the machine keeps the task waiting for the longest lease.
		select {
		case s.confirmPing <- struct{}{}:
		default:
		}
	}
}

// confirmLater confirms runs that the executor has listed once no attempt at their starts can be carried
// out any more, and no call to an earlier incarnation can prolong their leases beyond what leaders
// count on. The leader takes all other listed runs for confirmed.
func (s *session) confirmLater(now time.Time, late []dispatch.UnansweredStart, unknownFor time.Duration) {
	lateFor := make(map[runKey]time.Duration, len(late))
	for _, u := range late {
		lateFor[runKey{u.Task, u.Run}] = u.For
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	recovering := s.leaseBound.ReadyAt(s.agent.options.ProofLifetime).Sub(now)
	pending := map[leasebound.Run]bool{}
	for k := range s.running {
		if wait := max(lateFor[k], unknownFor, recovering); wait > 0 {
			s.confirmations = append(s.confirmations, startConfirmation{k, now.Add(wait)})
			pending[leasebound.Run{Task: k.task, Number: k.run}] = true
		}
	}
	s.agent.unanswered.settled(now, pending)
}

// maxConfirmationBytes limits the confirmed starts in one ping.
const maxConfirmationBytes = peer.MaxFrame / 8

// takeConfirmed returns the starts to confirm with a ping. s.mu must be held.
func (s *session) takeConfirmed() []dispatch.StartedRun {
	var out []dispatch.StartedRun
	kept, size := s.confirmations[:0], 0
	for _, c := range s.confirmations {
		n := runBytes + len(c.key.task.Job)
		if s.executorAskedAt.Before(c.from) || size+n > maxConfirmationBytes {
			kept = append(kept, c)
			continue
		}
		size += n
		s.agent.unanswered.answered(c.key)
		out = append(out, dispatch.StartedRun{Task: c.key.task, Run: c.key.run})
	}
	s.confirmations = kept
	return out
}

// attemptReturned records the outcome of an attempt at a start order. reached means that it may
// still be carried out. It returns when the last attempt was sent of which that is true.
func (s *session) attemptReturned(k runKey, sentAt, unansweredAt time.Time, reached bool) time.Time {
	switch {
	case reached:
		s.agent.unanswered.notAnswered(sentAt)
		s.mu.Lock()
		s.unansweredAt = sentAt
		s.mu.Unlock()
		return sentAt
	case unansweredAt.IsZero():
		s.agent.unanswered.answered(k)
	default:
		s.agent.unanswered.sent(unansweredAt, k)
	}
	return unansweredAt
}

// pingSoon ends the delay before the next ping.
func (s *session) pingSoon() {
	select {
	case s.wakePing <- struct{}{}:
	default:
	}
}

// makeContact asks the leader and the executor, and waits until the leader has answered, the run
// has to end, or the order has to be decided again.
func (s *session) makeContact(ctx context.Context, st *pendingStart) {
	s.mu.Lock()
	leaderAnswered := s.leaderAnswered
	executorAsked := s.executorAskedAt
	leaderAsked := s.leaderAskedAt
	s.mu.Unlock()
	if executorAsked.Before(st.contactSince) {
		s.askExecutor(ctx)
	}
	if !leaderAsked.Before(st.contactSince) {
		return
	}
	s.pingSoon()
	select {
	case <-leaderAnswered:
	case <-st.stopped:
	case <-ctx.Done():
	case <-s.agent.options.Clock.After(retryDelay):
	}
}

// askExecutor asks the executor which incarnation it is, and waits if it gives no answer.
func (s *session) askExecutor(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	sentAt := s.agent.options.Clock.Now()
	if err := s.identify(call); err != nil {
		s.agent.waitRetryDelay(call)
		return
	}
	s.mu.Lock()
	s.executorAskedAt = sentAt
	s.mu.Unlock()
}

// identify asks the executor which incarnation it is. If that is a later one, the session ends. The
// error is that of the call or tells that the session has ended.
func (s *session) identify(ctx context.Context) error {
	_, startedAt, err := s.agent.options.Executor.Identify(ctx, s.status.Incarnation.ID, s.token)
	if err != nil {
		return err
	}
	if startedAt != 0 && startedAt != s.status.Incarnation.StartedAt {
		s.agent.recordPolledStart(startedAt)
		s.end("executor has a new incarnation")
		return &oleandervalve.WrongIncarnationError{ID: s.status.Incarnation.ID}
	}
	return nil
}

// terminated returns a report of the lost executor.
func (s *session) terminated() *peer.ExecutorTerminated {
	m := &peer.ExecutorTerminated{Incarnation: s.status.Incarnation}
	m.Unanswered, m.UnknownFor = s.agent.unanswered.ofLost()
	return m
}
