package dispatch

import (
	"slices"
	"time"

	"oleandervalve/core/contention"
)

const (
	// slowShare is the share of the median speed below which an executor counts as slow.
	// It is low because declared run times are off by half or more.
	slowShare = 0.22
	// singleSampleSlowShare replaces slowShare if only one job was measured on the executor.
	singleSampleSlowShare = 0.05
	// slowCooldown is how long a slow executor is paused. It is also the maximum age of the
	// speeds of the other executors from which the median is computed.
	slowCooldown = 2500 * time.Millisecond
	// slowRunMinAge is how long a run on a slow executor must have run before it is migrated.
	slowRunMinAge = 900 * time.Millisecond
	// minSpeedSamples is the number of other executors with recent samples needed for a
	// median speed.
	minSpeedSamples = 4
)

// recordSpeed records the measured speed of an executor and marks the executor slow if its
// speed is far below the median of the others.
func (d *Dispatcher) recordSpeed(now time.Time, a *agent, s contention.Sample) {
	if s.MeasuredJobs == 0 {
		return
	}
	a.speed, a.speedMeasuredAt = s.Speed, now
	var others []int
	for _, b := range d.sortedAgents {
		if b != a && now.Sub(b.speedMeasuredAt) < slowCooldown {
			others = append(others, b.speed)
		}
	}
	if len(others) < minSpeedSamples {
		return
	}
	slices.Sort(others)
	median := float64(others[len(others)/2])
	limit := singleSampleSlowShare * median
	if s.MeasuredJobs > 1 {
		limit = slowShare * median
	}
	if float64(s.Speed) >= limit {
		a.lowSpeedCount = 0
		return
	}
	a.lowSpeedCount++
	if a.lowSpeedCount < 2 && s.MeasuredJobs < 2 {
		return
	}
	if !a.isSlow(now) {
		d.note("executorSlow", "", map[string]any{"agent": a.id, "speed": s.Speed, "usual": int(median), "jobs": s.MeasuredJobs})
	}
	a.slowUntil = now.Add(slowCooldown)
}

// isSlow reports whether the executor is paused because of its low speed.
func (a *agent) isSlow(now time.Time) bool { return now.Before(a.slowUntil) }
