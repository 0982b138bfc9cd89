package startorder

import (
	"time"

	"oleandervalve"
)

// Limits bound how long after a change start orders from before it may be sent.
type Limits struct {
	// MaxProofAge is the age from which on a proof doesn't allow starts. A later leader may have
	// acknowledged a cancellation since the proof, operators may have requested an evacuation, and the
	// present leader may have sent a stop that has not arrived.
	MaxProofAge time.Duration
	// DrainGrace is how long orders are sent after the executor has begun to drain.
	DrainGrace time.Duration
}

const (
	// AttemptTimeout is the longest timeout of an attempt at an order, until which it may reach the
	// executor.
	AttemptTimeout = 1200 * time.Millisecond
	// minProofAge is the least age of proofs that allow starts, whatever the delays are.
	minProofAge = 500 * time.Millisecond
)

// Delays are how long after what operators and callers have requested, and what the table has
// acknowledged, tasks may still start.
type Delays struct {
	// Cancel is that for tasks of a cancelled job.
	Cancel time.Duration
	// Evacuation is that for tasks in an evacuated data centre; zero if there are no evacuations.
	Evacuation time.Duration
}

// MaxProofAge returns Limits.MaxProofAge, given the time for which a proof of leadership allows leases.
func (d Delays) MaxProofAge(proofLifetime time.Duration) time.Duration {
	delay := d.Cancel
	if d.Evacuation > 0 {
		delay = min(delay, d.Evacuation)
	}
	return min(max(delay-AttemptTimeout, minProofAge), proofLifetime)
}

// Circumstances are what the agent knows of an order, its executor and its leader.
type Circumstances struct {
	// Stopped means that the leader has stopped the run.
	Stopped bool
	// Ended means that the executor has ended.
	Ended bool
	// Evacuating means that the data centre of the executor is evacuated.
	Evacuating bool
	// DrainingSince is when the executor began to drain; zero if it isn't draining.
	DrainingSince time.Time
	// Reserved is what the known runs reserve, that of the order included.
	Reserved oleandervalve.Resources
	Capacity oleandervalve.Resources
	// Unconfirmed means that a poll has failed since the executor last named its incarnation, so
	// that another one may answer now.
	Unconfirmed bool
	// ReadyAt is the time of the oldest proof that allows starts after the executor has started again:
	// calls to its earlier incarnation may have extended its lease beyond what leaders count on;
	// zero if none may have.
	ReadyAt time.Time
	// ProofAt is the latest time at which the leader is known to have led, by a commit that only
	// the leader can make, and to have known all evacuations; zero if there is none.
	ProofAt oleandervalve.Instant
	// LeaseProofAt is the latest time at which the leader is known to have led. It is compared with
	// ReadyAt, which only concerns leases.
	LeaseProofAt oleandervalve.Instant
	// ContactSince is the time since which the leader and the executor must have answered, for a
	// long-running task; zero for others. It answers the loss of machines while such tasks are placed:
	// a start that can't be under way needs no wait for the longest lease before the task starts
	// elsewhere.
	ContactSince time.Time
	// LeaderAsked and ExecutorAsked are when the latest answered questions to them were sent.
	LeaderAsked, ExecutorAsked time.Time
}

// Verdict says what to do with an order.
type Verdict int

const (
	// Send means that the order may be sent.
	Send Verdict = iota
	// AwaitProof means that the order must wait for a newer proof of leadership.
	AwaitProof
	// AwaitExecutor means that the order must wait until the executor has named its incarnation.
	AwaitExecutor
	// AwaitLease means that the order must wait until no lease of the executor can outlast what
	// leaders count on.
	AwaitLease
	// AwaitContact means that the leader or the executor has to answer first.
	AwaitContact
	// Abandon means that the order must not be sent any more.
	Abandon
)

// Decide returns what to do with an order now, and why if it is abandoned.
func Decide(now oleandervalve.Instant, l Limits, c Circumstances) (Verdict, oleandervalve.StartRefusal) {
	switch {
	case c.Stopped || c.Ended:
		return Abandon, oleandervalve.RefusedOld
	case c.Evacuating:
		return Abandon, oleandervalve.RefusedEvacuating
	case !c.DrainingSince.IsZero() && now.Time.Sub(c.DrainingSince) > l.DrainGrace:
		return Abandon, oleandervalve.RefusedDraining
	case !c.Reserved.Fits(c.Capacity):
		return Abandon, oleandervalve.RefusedRoom
	case c.Unconfirmed:
		return AwaitExecutor, ""
	case now.Time.Before(c.ReadyAt):
		return AwaitLease, ""
	case c.LeaseProofAt.Time.Before(c.ReadyAt):
		return AwaitProof, ""
	case c.ProofAt.IsZero() || now.Sub(c.ProofAt) >= l.MaxProofAge:
		return AwaitProof, ""
	case c.LeaderAsked.Before(c.ContactSince) || c.ExecutorAsked.Before(c.ContactSince):
		return AwaitContact, ""
	}
	return Send, ""
}
