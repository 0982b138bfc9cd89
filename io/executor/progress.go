package executor

import (
	"maps"
	"slices"
	"time"

	"oleandervalve"
	"oleandervalve/core/contention"
	"oleandervalve/core/progress"
)

// minUnthrottledLimit is the lowest speed limit, in percent, at which a best-effort run
// counts as unthrottled.
const minUnthrottledLimit = 90

// measureSpeed sets the speed in the sample to the median over the jobs that have
// unthrottled runs with an estimated run time on this executor, and adds the speed of each.
// The tasks of a job share the error of its estimate, so a job counts once, with its fastest
// task. s.mu must be held.
func (s *session) measureSpeed(now time.Time, result oleandervalve.PollResult, sample *contention.Sample) {
	measured := make(map[runKey]bool, len(result.Running))
	jobSpeeds := map[oleandervalve.JobID]progress.Speed{}
	for _, r := range result.Running {
		k := runKey{r.Task, r.Run}
		hints := s.hints[k]
		if hints.Estimate <= 0 || hints.BestEffort && s.controller(hints.Image).SpeedLimit() < minUnthrottledLimit {
			continue
		}
		measured[k] = true
		m := s.progress[k]
		if m == nil {
			s.progress[k] = progress.Begin(now, r.Percent)
			continue
		}
		if speed, ok := m.Observe(now, r.Percent, hints.Estimate); ok {
			if best, ok := jobSpeeds[k.task.Job]; !ok || speed.Percent+speed.Resolution > best.Percent+best.Resolution {
				jobSpeeds[k.task.Job] = speed
			}
		}
	}
	for k := range s.progress {
		if !measured[k] {
			delete(s.progress, k)
		}
	}
	if len(jobSpeeds) == 0 {
		return
	}
	var speeds []int
	for _, j := range slices.Sorted(maps.Keys(jobSpeeds)) {
		speed := jobSpeeds[j]
		speeds = append(speeds, speed.Percent)
		sample.JobSpeeds = append(sample.JobSpeeds, contention.JobSpeed{Job: j, Percent: speed.Percent, Resolution: speed.Resolution})
	}
	slices.Sort(speeds)
	sample.Speed, sample.MeasuredJobs = speeds[len(speeds)/2], len(speeds)
}
