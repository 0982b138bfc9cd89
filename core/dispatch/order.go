package dispatch

import (
	"sort"
	"time"
)

// lateFactor is the multiple of the objective after which a job is no longer
// worth anything to its caller, from the interface's definition.
const lateFactor = 3

// rank groups waiting steps: those that can still meet their objective go
// first, then those that are late, then those that nobody waits for any more.
func (d *Dispatcher) rank(s *step, now time.Time) int {
	if !s.rankedAt.Equal(now) {
		s.rankedAt, s.ranked = now, d.findRank(s, now)
	}
	return s.ranked
}

func (d *Dispatcher) findRank(s *step, now time.Time) int {
	if s.spec.LongRunning {
		return 0
	}
	objective := d.objective(s.job)
	left := s.due().Add(objective).Sub(now)
	tail := d.tail(s)
	switch {
	case left >= tail:
		return 0
	case left+(lateFactor-1)*objective >= tail:
		return 1
	}
	return 2
}

// objective is the wanted time to completion of an occurrence of a job, by
// expected instead of declared run times.
func (d *Dispatcher) objective(j *job) time.Duration {
	var longest time.Duration
	for i := range j.spec.Steps {
		if len(j.spec.Steps[i].After) == 0 {
			longest = max(longest, d.tail(j.step(0, i)))
		}
	}
	return time.Duration(max(1, j.rec.Queue.Stretch)*float64(longest)) + j.rec.Queue.Slack
}

// tail is the expected time from the start of the step to the end of its job.
func (d *Dispatcher) tail(s *step) time.Duration {
	var longest time.Duration
	for i := s.index + 1; i < len(s.job.spec.Steps); i++ {
		n := s.job.step(s.occ, i)
		for _, a := range n.spec.After {
			if a == s.index {
				longest = max(longest, d.tail(n))
			}
		}
	}
	return longest + d.estimate(s)
}

// remaining is the work of the job's occurrence that has not been done, in
// core-nanoseconds.
func (d *Dispatcher) remaining(s *step) float64 {
	total := 0.0
	for i := range s.job.spec.Steps {
		t := s.job.step(s.occ, i)
		total += float64(t.spec.Count-t.done) * float64(t.spec.Demand.CPU) * float64(d.estimate(t))
	}
	return total
}

// queueOrder sorts the waiting steps for the load of a flood: by priority, then
// by rank, then the smallest remaining work first, so that as many jobs as
// possible meet their objectives.
func (d *Dispatcher) queueOrder(steps []*step, now time.Time) {
	type key struct {
		priority, rank int
		work           float64
	}
	keys := make(map[*step]key, len(steps))
	for _, s := range steps {
		keys[s] = key{s.job.rec.Queue.Priority, d.rank(s, now), d.remaining(s)}
	}
	sort.SliceStable(steps, func(i, j int) bool {
		a, b := keys[steps[i]], keys[steps[j]]
		if a.priority != b.priority {
			return a.priority < b.priority
		}
		if a.rank != b.rank {
			return a.rank < b.rank
		}
		return a.work < b.work
	})
}
