package pacing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
)

// observeInterval is the interval between calls of Observe in these tests.
const observeInterval = 300 * time.Millisecond

// limits are the requirements that these tests use.
var limits = Limits{ViolationLimit: 4 * time.Second, ThrottleDelay: 100 * time.Millisecond}

func never(oleandervalve.KindName) bool  { return false }
func always(oleandervalve.KindName) bool { return true }

// observeFor passes one tail latency to the controller for the duration d and
// returns the time at the end.
func observeFor(c *Controller, from time.Time, d, latency time.Duration, nonInterfering func(oleandervalve.KindName) bool) time.Time {
	for end := from.Add(d); from.Before(end); from = from.Add(observeInterval) {
		c.Observe(from, []TailLatency{{Image: "board", Latency: latency, Target: 100 * time.Millisecond}}, nonInterfering)
	}
	return from
}

// Guards against best-effort tasks that still run when a latency-critical task has
// exceeded its target for three of the four seconds that are allowed.
func TestControllerSuspendsInTime(t *testing.T) {
	for _, c := range []struct {
		name           string
		latency        time.Duration
		nonInterfering func(oleandervalve.KindName) bool
	}{
		{"just over target, known to interfere", 101 * time.Millisecond, never},
		{"far over target, known to interfere", 900 * time.Millisecond, never},
		{"just over target, considered non-interfering", 101 * time.Millisecond, always},
		{"far over target, considered non-interfering", 900 * time.Millisecond, always},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			controller := New(limits)
			observeFor(controller, time.Unix(100, 0), 3*time.Second, c.latency, c.nonInterfering)
			is.Equal(controller.SpeedLimit(), 0)
		})
	}
}

// Guards against throttling non-interfering best-effort tasks when a latency is
// close to its target.
func TestControllerIgnoresNonInterferingTasksBelowTarget(t *testing.T) {
	is := is.New(t)
	controller := New(limits)
	observeFor(controller, time.Unix(100, 0), 5*time.Second, 98*time.Millisecond, always)
	is.Equal(controller.SpeedLimit(), Unthrottled)
}

// Guards against a speed limit that never recovers, and against one that changes
// while the latency is within the band.
func TestControllerRecoversInSteps(t *testing.T) {
	is := is.New(t)
	controller := New(limits)
	now := observeFor(controller, time.Unix(100, 0), 3*time.Second, 900*time.Millisecond, never)
	is.Equal(controller.SpeedLimit(), 0)
	now = observeFor(controller, now, 2*time.Second, 50*time.Millisecond, never)
	recovered := controller.SpeedLimit()
	is.True(recovered > 0 && recovered < Unthrottled)
	now = observeFor(controller, now, 3*time.Second, 80*time.Millisecond, never)
	is.Equal(controller.SpeedLimit(), recovered)
	observeFor(controller, now, 10*time.Second, 50*time.Millisecond, never)
	is.Equal(controller.SpeedLimit(), Unthrottled)
}

// Guards against a second change before the effect of the first can be measured.
func TestControllerWaitsForSettlingTime(t *testing.T) {
	is := is.New(t)
	controller := New(limits)
	now := time.Unix(100, 0)
	overTarget := []TailLatency{{Image: "board", Latency: 110 * time.Millisecond, Target: 100 * time.Millisecond}}
	first := controller.Observe(now, overTarget, never)
	is.True(first < Unthrottled)
	is.Equal(controller.Observe(now.Add(limits.settlingTime()/2), overTarget, never), first)
}

// Guards against a new task that starts unthrottled although a lower speed limit
// was predicted.
func TestControllerStartsAtPredictedLimit(t *testing.T) {
	is := is.New(t)
	controller := New(limits)
	controller.LowerTo(time.Unix(100, 0), 60)
	is.Equal(controller.SpeedLimit(), 60)
	controller.LowerTo(time.Unix(101, 0), 100) // a higher prediction doesn't raise the limit
	is.Equal(controller.SpeedLimit(), 60)
}

// Guards against ignoring the configured ViolationLimit: with half the limit,
// best-effort tasks must be suspended in half the time.
func TestControllerFollowsViolationLimit(t *testing.T) {
	for _, limit := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second} {
		is := is.New(t)
		controller := New(Limits{ViolationLimit: limit, ThrottleDelay: 100 * time.Millisecond})
		from := observeFor(controller, time.Unix(100, 0), limit/4, 101*time.Millisecond, always)
		is.Equal(controller.SpeedLimit(), Unthrottled)
		observeFor(controller, from, limit/2, 101*time.Millisecond, always)
		is.Equal(controller.SpeedLimit(), 0)
	}
}
