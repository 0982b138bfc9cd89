package executor

import (
	"maps"
	"slices"
	"time"

	"oleandervalve"
	"oleandervalve/core/contention"
)

// speedMeasurementPeriod is the minimum time over which the speed of a run is measured.
const speedMeasurementPeriod = 350 * time.Millisecond

// runProgress is the progress of one run at the start of the current measurement, and
// the result of the previous one.
type runProgress struct {
	completedPercent int
	at               time.Time
	// speed is a percentage of the speed that follows from the job's estimate; -1 until
	// it has been measured.
	speed int
}

// minUnthrottledLimit is the lowest speed limit, in percent, at which a best-effort run
// counts as unthrottled.
const minUnthrottledLimit = 90

// measureSpeed sets the speed in the sample to the median over the jobs that have
// unthrottled runs with an estimated run time on this executor, and adds the speed of each.
// The tasks of a job share the error of its estimate, so a job counts once, with its fastest
// task. s.mu must be held.
func (s *session) measureSpeed(now time.Time, result oleandervalve.PollResult, sample *contention.Sample) {
	measured := make(map[runKey]bool, len(result.Running))
	jobSpeeds := map[oleandervalve.JobID]int{}
	for _, r := range result.Running {
		k := runKey{r.Task, r.Run}
		hints := s.hints[k]
		if hints.Estimate <= 0 || hints.BestEffort && s.controller(hints.Image).SpeedLimit() < minUnthrottledLimit {
			continue
		}
		measured[k] = true
		p := s.progress[k]
		if p == nil {
			s.progress[k] = &runProgress{completedPercent: r.Percent, at: now, speed: -1}
			continue
		}
		if d := now.Sub(p.at); d >= speedMeasurementPeriod {
			p.speed = int(float64(r.Percent-p.completedPercent) * hints.Estimate.Seconds() / d.Seconds())
			p.completedPercent, p.at = r.Percent, now
		}
		if p.speed >= 0 {
			jobSpeeds[k.task.Job] = max(jobSpeeds[k.task.Job], p.speed)
		}
	}
	for k := range s.progress {
		if !measured[k] {
			delete(s.progress, k)
		}
	}
	if len(jobSpeeds) > 0 {
		speeds := slices.Sorted(maps.Values(jobSpeeds))
		sample.Speed, sample.MeasuredJobs = speeds[len(speeds)/2], len(speeds)
		for _, j := range slices.Sorted(maps.Keys(jobSpeeds)) {
			sample.JobSpeeds = append(sample.JobSpeeds, contention.JobSpeed{Job: j, Percent: jobSpeeds[j]})
		}
	}
}
