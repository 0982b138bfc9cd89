package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/work"
)

// refuseStarts refuses the starts of a job that are to be delivered, and returns their number.
func (c *cluster) refuseStarts(id oleandervalve.JobID, reason oleandervalve.StartRefusal) int {
	var refused []Start
	c.outbox = slices.DeleteFunc(c.outbox, func(x Action) bool {
		s, ok := x.(Start)
		if ok && s.Task.Job == id {
			refused = append(refused, s)
			return true
		}
		return false
	})
	for _, s := range refused {
		c.dispatcher.RunNeverStarted(c.now, s.Agent, NeverStarted{Task: s.Task, Run: s.Run, Reason: reason})
		c.collect()
	}
	return len(refused)
}

// Guards against a job whose starts are refused and whose tasks are placed again at once and
// without end: they take all capacity of their executors from jobs that are placed after them, and
// the time of the leader.
func TestRefusedStartsArePaused(t *testing.T) {
	for _, reason := range []oleandervalve.StartRefusal{oleandervalve.RefusedInvalid, oleandervalve.RefusedRoom, oleandervalve.RefusedBusy, oleandervalve.RefusedOld, oleandervalve.RefusedLate, "other"} {
		for _, gang := range []bool{false, true} {
			name := string(reason)
			if gang {
				name += ", gang"
			}
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, 1, 3)
				c.failureProbability = 0
				const tasks, seconds = 24, 10
				large := oleandervalve.Resources{CPU: 1900, Memory: 1 << 30}
				c.submit("bad", work.Queue{Name: "urgent", Service: "press", Stretch: 2}, work.Spec{Steps: []work.Step{{Count: tasks, Estimate: time.Second, Demand: large, Gang: gang}}})
				starts := 0
				var goodAt time.Time
				for i := range 1000 * seconds {
					if i == 1000 {
						c.submit("good", work.Queue{Name: "later", Service: "press", Priority: 2, Stretch: 2}, work.Spec{Steps: []work.Step{{Count: 2, Estimate: time.Second, Demand: large}}})
					}
					c.advanceCommit(true)
					starts += c.refuseStarts("bad", reason)
					for len(c.outbox) > 0 {
						if s, ok := c.outbox[0].(Start); ok && s.Task.Job == "good" && goodAt.IsZero() {
							goodAt = c.now
						}
						c.deliverNextOrder()
					}
					c.now = c.now.Add(time.Millisecond)
					if i%100 == 0 {
						c.dispatcher.Tick(c.now)
						c.collect()
					}
				}
				is.True(starts >= tasks*2)        // the tasks are tried again
				is.True(starts < 2*tasks*seconds) // but not without pause
				is.True(!goodAt.IsZero())         // the other job starts
				is.True(goodAt.Before(c.now.Add(-8 * time.Second)))
			})
		}
	}
}

// Guards against a task that stays paused although its last start was not refused, and against one
// that waits for longer than callers accept beside free capacity.
func TestRefusalPauseEnds(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := &step{}
	is.Equal(s.recordRefusal(now, 0, oleandervalve.RefusedRoom), time.Duration(0)) // at once, elsewhere
	for range 100 {
		is.True(s.recordRefusal(now, 0, oleandervalve.RefusedRoom) <= maxRefusalPause)
	}
	is.True(s.isPaused(0, now.Add(maxRefusalPause-1)))
	is.True(!s.isPaused(0, now.Add(maxRefusalPause)))
	is.True(!s.isPaused(1, now))
	s.forgetRefusals(0)
	is.True(!s.isPaused(0, now))
	is.Equal(s.recordRefusal(now, 0, oleandervalve.RefusedInvalid), minRefusalPause)
	is.Equal(s.recordRefusal(now, 1, oleandervalve.RefusedDraining), time.Duration(0))
	is.True(!s.isPaused(1, now))
}
