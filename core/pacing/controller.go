package pacing

import (
	"time"

	"oleandervalve"
)

const (
	// highLatencyShare and lowLatencyShare are the bounds of the band of tail
	// latencies, as shares of the target, in which the speed limit is kept.
	highLatencyShare = 0.92
	lowLatencyShare  = 0.72
	// backOffFactor multiplies the speed limit while a tail latency is above the band.
	backOffFactor = 0.6
	// recoveryStep is added to the speed limit, in percentage points, while all tail
	// latencies are below the band.
	recoveryStep = 10
	// measurementPeriod is the time over which executors measure tail latencies.
	measurementPeriod = 500 * time.Millisecond
	// minSpeedLimit is the lowest speed limit, in percent, above suspension.
	minSpeedLimit = 10
	// fallbackShare is the share of Limits.ViolationLimit for which a tail latency
	// may exceed its target before best-effort tasks that are considered
	// non-interfering are throttled as well.
	fallbackShare = 0.3
	// suspendShare is the share of Limits.ViolationLimit after which all best-effort
	// tasks are suspended. It leaves time for the tail latency to react, which takes
	// about a second.
	suspendShare = 0.6
	// severeViolation is the tail latency, as a share of the target, from which on
	// the speed limit is halved in addition to backOffFactor.
	severeViolation = 1.5
	// Unthrottled is the speed limit, in percent, at which tasks run at full speed.
	Unthrottled = 100
)

// TailLatency is the tail latency of one latency-critical task and its target.
type TailLatency struct {
	Image   oleandervalve.KindName
	Latency time.Duration
	Target  time.Duration
}

// Limits are the requirements for latency-critical tasks.
type Limits struct {
	// ViolationLimit is how long a latency-critical task may exceed its latency
	// target because of other tasks.
	ViolationLimit time.Duration
	// ThrottleDelay is the time until a change of the speed limit takes effect.
	ThrottleDelay time.Duration
}

func (l Limits) fallbackAfter() time.Duration { return scale(l.ViolationLimit, fallbackShare) }
func (l Limits) suspendAfter() time.Duration  { return scale(l.ViolationLimit, suspendShare) }

// settlingTime is the time until the effect of a changed speed limit can be measured.
func (l Limits) settlingTime() time.Duration { return l.ThrottleDelay + measurementPeriod }

func scale(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }

// Controller controls the speed limit of the best-effort tasks of one image on
// one executor. When these tasks drive latency-critical tasks over their latency
// targets, it lowers the limit by a factor and waits until the effect can be
// measured. It raises the limit again in steps.
type Controller struct {
	limits     Limits
	speedLimit int
	changedAt  time.Time
	// overTargetSince is the time since when at least one tail latency has exceeded
	// its target without interruption; zero if none does.
	overTargetSince time.Time
}

// New returns a controller whose tasks are unthrottled.
func New(l Limits) *Controller { return &Controller{limits: l, speedLimit: Unthrottled} }

// SpeedLimit returns the speed limit in percent.
func (c *Controller) SpeedLimit() int { return c.speedLimit }

// LowerTo lowers the speed limit to the one predicted for a task that starts. It
// never raises the limit.
func (c *Controller) LowerTo(now time.Time, percent int) {
	if percent < c.speedLimit {
		c.speedLimit, c.changedAt = max(percent, 0), now
	}
}

// Observe updates the speed limit from the tail latencies of the latency-critical
// tasks and returns it. Images for which nonInterfering returns true are taken
// into account only after a tail latency has exceeded its target for some time.
func (c *Controller) Observe(now time.Time, latencies []TailLatency, nonInterfering func(oleandervalve.KindName) bool) int {
	worstInterfering, worstOverall := 0.0, 0.0
	for _, t := range latencies {
		if t.Target <= 0 {
			continue
		}
		ratio := float64(t.Latency) / float64(t.Target)
		worstOverall = max(worstOverall, ratio)
		if !nonInterfering(t.Image) {
			worstInterfering = max(worstInterfering, ratio)
		}
	}
	if worstOverall <= 1 {
		c.overTargetSince = time.Time{}
	} else if c.overTargetSince.IsZero() {
		c.overTargetSince = now
	}
	if !c.overTargetSince.IsZero() && now.Sub(c.overTargetSince) >= c.limits.suspendAfter() && c.speedLimit > 0 {
		c.speedLimit, c.changedAt = 0, now
		return c.speedLimit
	}
	if !c.overTargetSince.IsZero() && now.Sub(c.overTargetSince) >= c.limits.fallbackAfter() {
		worstInterfering = max(worstInterfering, worstOverall, severeViolation)
	}
	if now.Sub(c.changedAt) < c.limits.settlingTime() {
		return c.speedLimit
	}
	next := c.speedLimit
	switch {
	case worstInterfering > highLatencyShare:
		next = int(float64(c.speedLimit) * backOffFactor)
		if worstInterfering >= severeViolation {
			next /= 2
		}
		if next < minSpeedLimit {
			next = 0
		}
	case worstInterfering < lowLatencyShare:
		next = min(Unthrottled, c.speedLimit+recoveryStep)
	}
	if next != c.speedLimit {
		c.speedLimit, c.changedAt = next, now
	}
	return c.speedLimit
}
