package dispatch

import (
	"time"

	"oleandervalve"
)

const (
	// minRefusalPause is the first pause of a task whose starts are refused. It doubles with each
	// further refusal up to maxRefusalPause, which is shorter than callers accept that a job waits
	// beside free capacity: a refusal may be that of one executor, or end by itself.
	minRefusalPause = 500 * time.Millisecond
	maxRefusalPause = 2 * time.Second
	// unpausedRefusals is the number of successive refusals after which a task is still placed at
	// once, on another executor. Starts that are invalid are paused after the first: they would be
	// refused there too.
	unpausedRefusals = 1
)

// refusals are the successive refusals of the starts of one task. They answer the load of a job
// that no executor can start: without pauses its tasks are placed again with each commit and take
// the capacity of their executors from all jobs that are placed after them.
type refusals struct {
	count       int
	pausedUntil time.Time
}

// refusalPause returns the pause after a number of successive refusals, the last of which has the
// given reason.
func refusalPause(count int, reason oleandervalve.StartRefusal) time.Duration {
	if reason != oleandervalve.RefusedInvalid {
		count -= unpausedRefusals
	}
	if count <= 0 {
		return 0
	}
	pause := minRefusalPause
	for range count - 1 {
		if pause = 2 * pause; pause >= maxRefusalPause {
			return maxRefusalPause
		}
	}
	return pause
}

// recordRefusal records that a start of a task was refused, and pauses the task.
func (s *step) recordRefusal(now time.Time, index int, reason oleandervalve.StartRefusal) time.Duration {
	if reason == oleandervalve.RefusedDraining || reason == oleandervalve.RefusedEvacuating {
		return 0 // the executor gets no further start
	}
	if s.refused == nil {
		s.refused = map[int]refusals{}
	}
	r := s.refused[index]
	r.count++
	pause := refusalPause(r.count, reason)
	r.pausedUntil = now.Add(pause)
	s.refused[index] = r
	return pause
}

// forgetRefusals records that a run of a task has started.
func (s *step) forgetRefusals(index int) { delete(s.refused, index) }

// isPaused reports whether a task waits because its starts were refused.
func (s *step) isPaused(index int, now time.Time) bool {
	r, ok := s.refused[index]
	return ok && now.Before(r.pausedUntil)
}

// isGangPaused reports whether a member of a gang waits because its starts were refused.
func (s *step) isGangPaused(now time.Time) bool {
	for i := range s.refused {
		if s.isPaused(i, now) {
			return true
		}
	}
	return false
}
