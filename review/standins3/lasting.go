package main

import (
	"time"
)

// limit is how long a task that lasts may have no run: 3 s, from 6 s after its last run.
const limit = 9 * time.Second

// checkLasting reports whether a task that lasts has had no run for too long after its executor was lost.
func (d *deployment) checkLasting(task, lost string, lostAt time.Time) bool {
	began, next := false, time.Time{}
	elsewhere := false
	for _, e := range d.allEvents() {
		if e.Task != task || e.What != "begun" {
			continue
		}
		if e.Executor == lost {
			began = true
			continue
		}
		elsewhere = true
		if at := time.UnixMilli(e.AtMs); next.IsZero() && began {
			next = at
		}
	}
	if !began {
		d.record("task %s: has a run on a sound executor: %v", task, elsewhere)
		return !elsewhere
	}
	if next.IsZero() {
		d.record("task %s: ran on %s, and has had no run since, for %.1f s", task, lost, time.Since(lostAt).Seconds())
		return true
	}
	gap := next.Sub(lostAt)
	d.record("task %s: ran on %s; its next run began %.3f s after the loss, on an executor that was idle all the while; at most %.0f s are allowed", task, lost, gap.Seconds(), limit.Seconds())
	return gap > limit
}
