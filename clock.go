package oleandervalve

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Clock provides the current time and timers. Tests use a fake clock.
type Clock = clockwork.Clock

// Timer sends the time on its channel once, when it expires.
type Timer = clockwork.Timer

// SystemClock returns the clock of the operating system.
func SystemClock() Clock { return clockwork.NewRealClock() }

// Elapsed returns the time from earlier to now, or 0 if earlier is after now.
func Elapsed(now, earlier time.Time) time.Duration {
	return max(0, now.Sub(earlier))
}
