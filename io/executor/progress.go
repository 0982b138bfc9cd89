package executor

import (
	"maps"
	"slices"
	"time"

	"oleandervalve"
	"oleandervalve/core/contention"
)

// progressWindow is the time over which the speed of a run is measured.
const progressWindow = 350 * time.Millisecond

// progress follows how far one run has come.
type progress struct {
	percent int
	at      time.Time
	// speed is in percent of the declared speed; -1 until it is measured.
	speed int
}

// fullSpeedPace is the speed limit, in percent, from which on a best-effort run
// counts as unthrottled.
const fullSpeedPace = 90

// measureSpeed puts the median speed of the jobs that run here and end by
// themselves into the sample; the lock is held. Throttled runs don't count. Tasks
// of one job share the error of its declared run time, so a job counts once, with
// its fastest task.
func (s *session) measureSpeed(now time.Time, h oleandervalve.Holding, sample *contention.Sample) {
	seen := make(map[runKey]bool, len(h.Running))
	jobs := map[oleandervalve.JobID]int{}
	for _, r := range h.Running {
		k := runKey{r.Task, r.Run}
		t := s.traits[k]
		if t.Estimate <= 0 || t.BestEffort && s.pacer(t.Image).SpeedLimit() < fullSpeedPace {
			continue
		}
		seen[k] = true
		p := s.progress[k]
		if p == nil {
			s.progress[k] = &progress{percent: r.Percent, at: now, speed: -1}
			continue
		}
		if d := now.Sub(p.at); d >= progressWindow {
			p.speed = int(float64(r.Percent-p.percent) * t.Estimate.Seconds() / d.Seconds())
			p.percent, p.at = r.Percent, now
		}
		if p.speed >= 0 {
			jobs[k.task.Job] = max(jobs[k.task.Job], p.speed)
		}
	}
	for k := range s.progress {
		if !seen[k] {
			delete(s.progress, k)
		}
	}
	if len(jobs) > 0 {
		speeds := slices.Sorted(maps.Values(jobs))
		sample.Speed, sample.MeasuredJobs = speeds[len(speeds)/2], len(speeds)
	}
}
