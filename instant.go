package oleandervalve

import (
	"time"

	"golang.org/x/sys/unix"
)

// Uptime returns the time since the instance was booted, including the time for which it was
// suspended. Jumps of the time of day don't change it.
type Uptime func() time.Duration

// SystemUptime returns the uptime according to the operating system, or 0 if that is
// unknown.
func SystemUptime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// Instant is one reading of the clocks of an instance. Ages of leases and of proofs are
// differences of instants: the monotonic clock stands still while the instance is
// suspended, and the time of day may jump.
type Instant struct {
	Time   time.Time
	Uptime time.Duration
}

// ReadInstant reads the clocks. Parameter u may be nil if instances are never suspended.
func ReadInstant(c Clock, u Uptime) Instant {
	i := Instant{Time: c.Now()}
	if u != nil {
		i.Uptime = u()
	}
	return i
}

// IsZero reports whether the instant has not been set.
func (i Instant) IsZero() bool { return i.Time.IsZero() }

// Sub returns the time since an earlier instant, including suspensions.
func (i Instant) Sub(earlier Instant) time.Duration {
	return max(i.Time.Sub(earlier.Time), i.Uptime-earlier.Uptime)
}

// Add returns the instant a duration later.
func (i Instant) Add(d time.Duration) Instant {
	return Instant{Time: i.Time.Add(d), Uptime: i.Uptime + d}
}

// After reports whether the instant is later than another one.
func (i Instant) After(other Instant) bool { return i.Sub(other) > 0 }
