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
	// maxPausedShare limits the share of the executors that are paused at a time: if more
	// are, tasks are placed without regard to pauses.
	maxPausedShare = 0.34
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

// admits reports whether an executor with the given number of runs may get one more.
func (h *health) admits(now time.Time, runs int) bool {
	if !h.probing {
		return true
	}
	return !now.Before(h.pausedUntil) && runs == 0
}
