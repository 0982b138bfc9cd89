package oleandervalve

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Clock tells the time and makes timers; tests pass a fake one.
type Clock = clockwork.Clock

// Timer fires once on its channel.
type Timer = clockwork.Timer

// SystemClock returns the clock of the operating system.
func SystemClock() Clock { return clockwork.NewRealClock() }

// Elapsed returns how long ago the earlier time was, never negative.
func Elapsed(now, earlier time.Time) time.Duration {
	return max(0, now.Sub(earlier))
}
