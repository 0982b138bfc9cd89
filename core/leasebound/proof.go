package leasebound

import (
	"time"

	"oleandervalve"
)

// Proof returns the time of a proof of leadership by a commit that was sent at a time, if the leader's
// row was first sent at rowSent. A proof counts at most for an interval after that, so that the age
// of the row tells the next leader that of the last proof.
func Proof(sent, rowSent oleandervalve.Instant, interval time.Duration) oleandervalve.Instant {
	if limit := rowSent.Add(interval); sent.After(limit) {
		return limit
	}
	return sent
}

// RowAge returns a lower bound of the age of a leader's row when the next leader has replaced it. It
// answers the load of leaders that are lost together with executors: the next leader doesn't have to
// wait for the whole lease from its takeover on. Both times are by the clock of the table; either is
// zero if it is unknown.
func RowAge(replacedAt, sentBy time.Time) time.Duration {
	if replacedAt.IsZero() || sentBy.IsZero() {
		return 0
	}
	return max(0, replacedAt.Sub(sentBy))
}
