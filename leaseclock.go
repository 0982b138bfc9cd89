package oleandervalve

import "time"

// LeaseClock tells the time by which the holder of a lease measures its own lease. It advances
// while the instance is suspended, unlike the monotonic clock, and does not follow jumps of the
// time of day.
type LeaseClock struct {
	clock   Clock
	uptime  Uptime
	started Instant
}

// NewLeaseClock returns a lease clock that starts at the present time of c. Parameter u may be
// nil if instances are never suspended.
func NewLeaseClock(c Clock, u Uptime) *LeaseClock {
	return &LeaseClock{clock: c, uptime: u, started: ReadInstant(c, u)}
}

// Now returns the time. It may only be compared with other times of the same lease clock.
func (l *LeaseClock) Now() time.Time {
	return l.started.Time.Add(ReadInstant(l.clock, l.uptime).Sub(l.started))
}
