package dispatch

import (
	"sort"
	"time"

	"oleandervalve/core/work"
)

// zeroValueFactor is the multiple of the objective after which the completion of a job has
// no value to its caller, as the callers' interface defines it.
const zeroValueFactor = 3

// rank returns the group of a waiting step, lowest first: 0 for steps that can still meet
// their objective, 1 for late ones, and 2 for those whose completion will have no value.
func (d *Dispatcher) rank(s *step, now time.Time) int {
	if !s.rankedAt.Equal(now) {
		s.rankedAt, s.cachedRank = now, d.computeRank(s, now)
	}
	return s.cachedRank
}

func (d *Dispatcher) computeRank(s *step, now time.Time) int {
	if s.spec.LongRunning {
		return 0
	}
	objective := d.objective(s.job)
	timeLeft := s.releaseTime().Add(objective).Sub(now)
	path := d.remainingCriticalPath(s)
	switch {
	case timeLeft >= path:
		return 0
	case timeLeft+(zeroValueFactor-1)*objective >= path:
		return 1
	}
	return 2
}

// objective returns the target time to completion of an occurrence of a job, based on
// expected instead of declared run times.
func (d *Dispatcher) objective(j *job) time.Duration {
	var longest time.Duration
	for i := range j.spec.Steps {
		if len(j.spec.Steps[i].After) == 0 {
			longest = max(longest, d.remainingCriticalPath(j.step(0, i)))
		}
	}
	return time.Duration(max(1, j.rec.Queue.Stretch)*float64(longest)) + j.rec.Queue.Slack
}

// remainingCriticalPath returns the expected time from the start of the step to the end of its job.
func (d *Dispatcher) remainingCriticalPath(s *step) time.Duration {
	var remaining [work.MaxSteps]time.Duration
	for i := len(s.job.spec.Steps) - 1; i >= s.index; i-- {
		var longest time.Duration
		for _, n := range s.job.dependents[i] {
			longest = max(longest, remaining[n])
		}
		remaining[i] = longest + d.estimate(s.job.step(s.occurrence, i))
	}
	return remaining[s.index]
}

// remainingWork returns the work of the job's occurrence that is not done yet, in
// millicore-nanoseconds.
func (d *Dispatcher) remainingWork(s *step) float64 {
	total := 0.0
	for i := range s.job.spec.Steps {
		t := s.job.step(s.occurrence, i)
		total += float64(t.spec.Count-t.done) * float64(t.spec.Demand.CPU) * float64(d.estimate(t))
	}
	return total
}

// defaultOrder sorts the waiting steps by priority, then by rank, then by least remaining
// work, so that as many jobs as possible meet their objectives. Long-running steps come first in
// their rank: they are few, and each task that waits is missed at once.
func (d *Dispatcher) defaultOrder(steps []*step, now time.Time) {
	type key struct {
		priority, rank int
		work           float64
	}
	keys := make(map[*step]key, len(steps))
	for _, s := range steps {
		k := key{priority: s.job.rec.Queue.Priority, rank: d.rank(s, now)}
		if !s.spec.LongRunning {
			k.work = d.remainingWork(s)
		}
		keys[s] = k
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
