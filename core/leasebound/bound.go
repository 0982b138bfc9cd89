package leasebound

import (
	"time"

	"oleandervalve"
)

// Limits are the longest leases of an executor.
type Limits struct {
	// Requested is the longest lease that the agent requests, and Granted the longest one that the
	// executor grants, whatever the deadline of the call is.
	Requested, Granted time.Duration
}

// Bound tells until when leases of an executor may last, on the agent's clock.
type Bound struct {
	// End is when all leases that calls so far may have extended have certainly ended.
	End time.Time
	// Foreign is when those have certainly ended that were granted for calls to an earlier
	// incarnation; zero if there are none.
	Foreign time.Time
}

// Meeting is the first answer of an executor to a call of a new session, which fences off the calls of
// earlier ones.
type Meeting struct {
	// Earlier is the incarnation that the agent's last session was with, without an id if there was
	// none, and Known the bound at the end of that session.
	Earlier oleandervalve.Incarnation
	Known   Bound
	// FirstStart means that the whole system starts for the first time.
	FirstStart bool
	// Present is the incarnation that has answered, and Uptime the time on its clock.
	Present oleandervalve.Incarnation
	Uptime  time.Duration
	// SentAt is when the call was sent, and AnsweredAt when the answer arrived.
	SentAt, AnsweredAt time.Time
}

// maxCallDelay is the longest time after which an executor may carry out a call that had no answer.
const maxCallDelay = 15 * time.Second

// maxElapsedPercent is an upper bound of the real time, in percent of that on the clock of an executor,
// which may be 2% slow.
const maxElapsedPercent = 103

// Elapsed returns an upper bound of the real time that passes while an executor's clock advances by d.
func Elapsed(d time.Duration) time.Duration { return d * maxElapsedPercent / 100 }

// Meet returns the bound at the beginning of a session.
func (l Limits) Meet(m Meeting) Bound {
	switch {
	case m.Earlier == m.Present:
		return m.Known
	case m.crossed():
		end := m.AnsweredAt.Add(Elapsed(l.Granted))
		return Bound{End: end, Foreign: end}
	}
	// Calls to an executor of another id are refused, and those of an earlier process of the agent
	// had deadlines on the clock of this incarnation.
	return Bound{End: m.SentAt.Add(Elapsed(l.Requested))}
}

// crossed reports whether calls to an earlier incarnation may have reached the present one. An agent
// that has just started doesn't know whether there was one.
func (m Meeting) crossed() bool {
	if m.Earlier.ID == "" {
		return !m.FirstStart && m.Uptime < maxCallDelay
	}
	return m.Earlier.ID == m.Present.ID
}

// Extend returns the bound after a call at a time that may be granted a lease of the given length.
func (b Bound) Extend(now time.Time, lease time.Duration) Bound {
	if end := now.Add(Elapsed(lease)); end.After(b.End) {
		b.End = end
	}
	return b
}

// ReadyAt returns the time from which on a proof of leadership allows new runs: leaders count a lease
// as ended when the proof's lifetime has passed, so no lease may outlast that.
func (b Bound) ReadyAt(proofLifetime time.Duration) time.Time {
	if b.Foreign.IsZero() {
		return time.Time{}
	}
	return b.Foreign.Add(-proofLifetime)
}
