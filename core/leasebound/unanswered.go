package leasebound

import (
	"maps"
	"time"

	"oleandervalve"
)

// CallDelay is how long after it was sent a start order that has had no answer may be carried out, by
// whichever incarnation the executor then has under its id.
const CallDelay = 2 * time.Second

// PollDelay is how long after a start order without an answer polls may still extend the lease.
const PollDelay = 300 * time.Millisecond

// UnansweredStart returns when a run has certainly ended whose start order was last sent at a time
// and had no answer: an incarnation that the order wasn't meant for grants it the longest lease, as
// the deadline is on the clock of an earlier one.
func (l Limits) UnansweredStart(sentAt time.Time) time.Time {
	return sentAt.Add(CallDelay + Elapsed(l.Granted))
}

// UnconfirmedAfter returns how long after an agent was last given a proof of leadership the runs have
// certainly ended that it has not confirmed, if it sends start orders only with a proof that is
// younger than maxProofAge.
func (l Limits) UnconfirmedAfter(maxProofAge time.Duration) time.Duration {
	return maxProofAge + PollDelay + CallDelay + Elapsed(l.Granted)
}

// Run identifies a run of a task.
type Run struct {
	Task   oleandervalve.TaskName
	Number oleandervalve.RunNumber
}

// Unanswered holds the start orders without an answer. It answers the load of executors that start
// again under their ids while orders are on their way to them: such a run may begin in an
// incarnation that nobody has met, so its task must not start elsewhere before its lease there has
// certainly ended.
type Unanswered struct {
	limits Limits
	sentAt map[Run]time.Time
	// extendedAt is when a call that may extend the lease was last sent.
	extendedAt time.Time
	// lastSentAt is when the last attempt at any start order was sent that had no answer.
	lastSentAt time.Time
	// beganAt is when the process began.
	beganAt time.Time
	// unknownSince is when the process began, if an earlier one may have sent start orders; else zero.
	unknownSince time.Time
}

// NewUnanswered returns an Unanswered of a process that begins at a time. firstStart means that no
// earlier process can have sent start orders.
func NewUnanswered(l Limits, now time.Time, firstStart bool) *Unanswered {
	u := &Unanswered{limits: l, sentAt: map[Run]time.Time{}, beganAt: now}
	if !firstStart {
		u.unknownSince = now
	}
	return u
}

// Sent records an attempt at a start order.
func (u *Unanswered) Sent(now time.Time, r Run) { u.sentAt[r] = now }

// NotAnswered records that an attempt that was sent at a time has had no answer.
func (u *Unanswered) NotAnswered(sentAt time.Time) {
	if sentAt.After(u.lastSentAt) {
		u.lastSentAt = sentAt
	}
}

// InTransit reports whether any attempt at a start order may still be carried out by an incarnation
// that has seen no newer token. Unlike Late, it covers the longest delays, attempts at runs that have
// been confirmed since, and those of an earlier process even if the system is said to start for the
// first time, as a process may be started again with the settings that it had.
func (u *Unanswered) InTransit(now time.Time) bool {
	last := u.beganAt
	if u.lastSentAt.After(last) {
		last = u.lastSentAt
	}
	for _, at := range u.sentAt {
		if at.After(last) {
			last = at
		}
	}
	return now.Before(last.Add(maxCallDelay))
}

// Extended records a call that may extend the lease of all runs.
func (u *Unanswered) Extended(now time.Time) { u.extendedAt = now }

// Answered records that the last attempt was answered by the executor or has not reached it, and all
// earlier ones too.
func (u *Unanswered) Answered(r Run) { delete(u.sentAt, r) }

// Settled records that the executor has answered the first poll of a session. Only start orders that are
// still late, and those of the runs in pending, go on counting as unanswered.
func (u *Unanswered) Settled(now time.Time, pending map[Run]bool) {
	maps.DeleteFunc(u.sentAt, func(r Run, at time.Time) bool { return !pending[r] && !now.Before(at.Add(CallDelay)) })
}

// Late returns for how long each start order without an answer may still be carried out, and for how
// long those may that an earlier process may have sent. The first poll of a session keeps the present
// incarnation from that, but not one that starts after it.
func (u *Unanswered) Late(now time.Time) (known map[Run]time.Duration, unknown time.Duration) {
	known = map[Run]time.Duration{}
	for r, at := range u.sentAt {
		if d := at.Add(CallDelay).Sub(now); d > 0 {
			known[r] = d
		}
	}
	if !u.unknownSince.IsZero() {
		unknown = max(0, u.unknownSince.Add(CallDelay).Sub(now))
	}
	return known, unknown
}

// IsLate reports whether a start order may still be carried out.
func (u *Unanswered) IsLate(now time.Time, r Run) bool {
	at, ok := u.sentAt[r]
	return ok && now.Before(at.Add(CallDelay))
}

// end returns when a run has certainly ended whose start order was last sent at a time.
func (u *Unanswered) end(sentAt time.Time) time.Time {
	if u.extendedAt.After(sentAt) {
		sentAt = u.extendedAt
	}
	return u.limits.UnansweredStart(sentAt)
}

// Remaining returns for how long each run may still go on whose order has had no answer, and for how
// long those may that an earlier process may have ordered. It drops what has certainly ended.
func (u *Unanswered) Remaining(now time.Time) (known map[Run]time.Duration, unknown time.Duration) {
	maps.DeleteFunc(u.sentAt, func(_ Run, at time.Time) bool { return !now.Before(u.end(at)) })
	known = make(map[Run]time.Duration, len(u.sentAt))
	for r, at := range u.sentAt {
		known[r] = u.end(at).Sub(now)
	}
	if !u.unknownSince.IsZero() {
		unknown = max(0, u.limits.UnansweredStart(u.unknownSince).Sub(now))
	}
	return known, unknown
}
