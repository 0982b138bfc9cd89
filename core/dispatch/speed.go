package dispatch

import (
	"slices"
	"time"

	"oleandervalve"
	"oleandervalve/core/contention"
)

const (
	// slowShare is the share of the usual speed below which an executor counts as slow.
	// It is low because declared run times are off by half or more.
	slowShare = 0.22
	// singleSampleSlowShare replaces slowShare if only one job was measured on the executor,
	// and no other executor runs tasks of it.
	singleSampleSlowShare = 0.05
	// slowCooldown is how long a slow executor is paused. It is also the maximum age of the
	// speeds of the other executors with which it is compared.
	slowCooldown = 2500 * time.Millisecond
	// slowRunMinAge is how long a run on a slow executor must have run before it is migrated.
	slowRunMinAge = 900 * time.Millisecond
	// minSpeedSamples is the number of other executors with recent samples needed for a
	// median speed.
	minSpeedSamples = 4
)

// jobSpeed is the last measured speed of a job's tasks on one executor.
type jobSpeed struct {
	percent int
	at      time.Time
}

// recordSpeed records the measured speeds of an executor and marks the executor slow if they
// are far below those of the others.
func (d *Dispatcher) recordSpeed(now time.Time, a *agent, s contention.Sample) {
	if s.MeasuredJobs == 0 || a.isCold(now) {
		// A cold executor is slow for a time that is known, and ranks behind others meanwhile.
		return
	}
	a.speed, a.speedMeasuredAt = s.Speed, now
	share, limit, known := d.relativeSpeed(now, a, s)
	if !known {
		return
	}
	if share >= limit {
		a.lowSpeedCount = 0
		return
	}
	a.lowSpeedCount++
	if a.lowSpeedCount < 2 && s.MeasuredJobs < 2 {
		return
	}
	if !a.isSlow(now) {
		d.note("executorSlow", "", map[string]any{"agent": a.id, "speed": s.Speed, "usual": int(float64(s.Speed) / max(share, 0.01)), "jobs": s.MeasuredJobs})
	}
	a.slowUntil = now.Add(slowCooldown)
}

// relativeSpeed returns the speed of an executor as a share of the usual one, and the share
// below which it counts as slow. The tasks of each job are compared with the tasks of the
// same job elsewhere, as their run times may be declared wrong by any factor. Without such
// tasks, the speed is compared with the median of the other executors.
func (d *Dispatcher) relativeSpeed(now time.Time, a *agent, s contention.Sample) (share, limit float64, known bool) {
	var shares []float64
	for _, m := range s.JobSpeeds {
		j := d.jobs[m.Job]
		if j == nil {
			continue
		}
		if j.speeds == nil {
			j.speeds = map[oleandervalve.AgentID]jobSpeed{}
		}
		j.speeds[a.id] = jobSpeed{m.Percent, now}
		if usual, ok := j.usualSpeed(now, a.id); ok {
			shares = append(shares, float64(m.Percent+m.Resolution)/max(1, usual))
		}
	}
	if len(shares) > 0 {
		slices.Sort(shares)
		return shares[len(shares)/2], slowShare, true
	}
	var others []int
	for _, b := range d.sortedAgents {
		if b != a && now.Sub(b.speedMeasuredAt) < slowCooldown {
			others = append(others, b.speed)
		}
	}
	if len(others) < minSpeedSamples {
		return 0, 0, false
	}
	slices.Sort(others)
	limit = singleSampleSlowShare
	if s.MeasuredJobs > 1 {
		limit = slowShare
	}
	return float64(s.Speed) / max(1, float64(others[len(others)/2])), limit, true
}

// usualSpeed returns the median speed of a job's tasks on other executors than the given
// one, or false if there is none.
func (j *job) usualSpeed(now time.Time, except oleandervalve.AgentID) (float64, bool) {
	var others []int
	for id, s := range j.speeds {
		if id != except && now.Sub(s.at) < slowCooldown {
			others = append(others, s.percent)
		}
	}
	if len(others) == 0 {
		return 0, false
	}
	slices.Sort(others)
	return float64(others[len(others)/2]), true
}

// isSlow reports whether the executor is paused because of its low speed.
func (a *agent) isSlow(now time.Time) bool { return now.Before(a.slowUntil) }
