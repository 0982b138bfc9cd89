package oleandervalve

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a proof of leadership whose age doesn't include the time for which the
// instance was suspended, which the monotonic clock does not count, and against one whose
// age follows the time of day, which may jump: the instants here have the same time of day
// for every case of uptime.
func TestElapsedCountsSuspension(t *testing.T) {
	start := time.Now()
	earlier := Instant{Time: start, Uptime: time.Hour}
	for _, c := range []struct {
		name              string
		monotonic, uptime time.Duration
		want              time.Duration
	}{
		{"running", time.Second, time.Second, time.Second},
		{"suspended", 0, 5 * time.Second, 5 * time.Second},
		{"suspended for a part of the time", 2 * time.Second, 7 * time.Second, 7 * time.Second},
		{"unknown uptime", time.Second, -time.Hour, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := Instant{Time: start.Add(c.monotonic), Uptime: time.Hour + c.uptime}
			is.Equal(now.Sub(earlier), c.want)
			is.True(now.After(earlier.Add(c.want - time.Millisecond)))
			is.True(!now.After(earlier.Add(c.want)))
		})
	}
}

// Guards against an uptime that stands still or is unknown on this system.
func TestSystemUptimeAdvances(t *testing.T) {
	is := is.New(t)
	first := SystemUptime()
	is.True(first > 0)
	for SystemUptime() == first {
		time.Sleep(time.Millisecond)
	}
	is.True(SystemUptime() > first)
}
