package dispatch

import (
	"time"

	"oleandervalve"
)

const (
	// pauseAfterFailedJobs is the number of different jobs that must fail in succession on
	// an executor before it is paused. Fewer failures are attributed to the jobs.
	pauseAfterFailedJobs = 3
	// minPause is the length of the first pause, which doubles with each further failure
	// up to maxPause.
	minPause = 2 * time.Second
	maxPause = 8 * time.Second
	// maxPausedShare limits the share of the executors of a pool that are paused at a time: if
	// more are, tasks are placed there without regard to pauses.
	maxPausedShare = 0.34
	// longRunSuccess is how long a long-running task must run on a probed executor to
	// count as a success; on an executor that fails everything, tasks fail sooner.
	longRunSuccess = 3 * time.Second
)

// health distinguishes executors on which every job fails from jobs that fail on every executor.
type health struct {
	failedJobs  map[oleandervalve.JobID]bool
	pause       time.Duration
	pausedUntil time.Time
	// probing means that the executor gets one run at a time until one succeeds.
	probing bool
}

// recordSuccess records a run that ended successfully.
func (h *health) recordSuccess() { *h = health{} }

// recordFailure records a failed run and reports whether the executor is paused.
func (h *health) recordFailure(j oleandervalve.JobID, now time.Time) bool {
	if h.failedJobs == nil {
		h.failedJobs = map[oleandervalve.JobID]bool{}
	}
	h.failedJobs[j] = true
	if !h.probing && len(h.failedJobs) < pauseAfterFailedJobs {
		return false
	}
	h.pause = min(max(minPause, 2*h.pause), maxPause)
	h.pausedUntil = now.Add(h.pause)
	h.probing = true
	return true
}

// recordCrash records that an executor ended without notice. An executor that crashes
// repeatedly is paused for longer each time.
func (h *health) recordCrash(now time.Time, crashes int) {
	if crashes < 2 {
		return
	}
	h.pause = min(minPause<<min(crashes-2, 4), maxPause)
	h.pausedUntil = now.Add(h.pause)
	h.probing = true
}

// admits reports whether an executor may get one more run, given the number of its runs that
// started after its pause and have not succeeded.
func (h *health) admits(now time.Time, probes int) bool {
	if !h.probing {
		return true
	}
	return !now.Before(h.pausedUntil) && probes == 0
}

// admits reports whether the executor may get one more run. Runs from before its pause don't
// count: long-running tasks may stay for good.
func (a *agent) admits(now time.Time) bool {
	if !a.health.probing {
		return true
	}
	probes := 0
	for _, r := range a.runs {
		if !r.startedAt.Before(a.health.pausedUntil) {
			probes++
		}
	}
	return a.health.admits(now, probes)
}

// recordLongRuns records the success of a probe that is a long-running task, which doesn't
// end by itself.
func (a *agent) recordLongRuns(now time.Time) {
	if !a.health.probing {
		return
	}
	for _, r := range a.runs {
		if r.step != nil && r.step.spec.LongRunning && r.startSent && !r.stopping &&
			!r.startedAt.Before(a.health.pausedUntil) && now.Sub(r.startedAt) >= longRunSuccess {
			a.health.recordSuccess()
			return
		}
	}
}
