package overload

import (
	"math"
	"time"

	"oleandervalve"
)

const (
	// errorFactor is the factor by which the estimates of a job and of the work ahead of it may be
	// too high without the job being refused. The rate of arrivals isn't divided by it, as
	// nothing was refused then in a burst of eight.
	errorFactor = 2
	// maxMissedShare is the share of the accepted jobs of a queue up to which misses don't lead to
	// refusals. Single misses are usual with lost or slow executors. A tenth of the jobs may fail
	// late without having been refused; half of that leaves room for the delay until misses are known.
	maxMissedShare = 0.05
	// minDecided is the number of recent outcomes from which on that share counts.
	minDecided = 5
	// measureAfter is how long a pool must have been overloaded until the measured drain is that of
	// the full pool: by then nine tenths of the measurement are from this time.
	measureAfter = 2 * rateTime
	// densityBuckets is the number of buckets of the histograms of work by density, each a factor of
	// the 16th root of 2 wide: only the fixed share of the value makes small jobs of a queue denser
	// than large ones, so that most differ by less than 2. minDensity is the lower bound of the
	// first one.
	densityBuckets = 320
	minDensity     = 1.0 / (1 << 10)
	// minRetryAfter is the shortest retry delay on the wire, which is in whole seconds.
	minRetryAfter = time.Second
)

// pool is the work of a pool by density.
type pool struct {
	cores float64
	use   map[Queue]float64
	// waiting is the work that waited at the last assessment and that was accepted since.
	waiting [densityBuckets]float64
	// arrivals is the work that was accepted lately.
	arrivals [densityBuckets]rate
	// drained is the work of the jobs that were completed lately. It is in the same estimates as
	// the other work, so that a common error of these has no effect.
	drained rate
	// overloaded and overloadedSince tell since when some queue has had too much waiting work.
	overloaded      bool
	overloadedSince time.Time
	assessedAt      time.Time
	// queues holds the queues with waiting work.
	queues map[Queue]bool
}

func bucketOf(density float64) int {
	if density <= minDensity {
		return 0
	}
	return min(densityBuckets-1, int(16*math.Log2(density/minDensity)))
}

// Assess records the waiting work and the capacity at the current time.
func (p *Policy) Assess(now time.Time, waiting []Waiting, capacity map[Pool]Capacity) {
	overloaded := Overloaded(waiting, capacity)
	for k, x := range p.pools {
		if _, ok := capacity[k]; !ok {
			x.cores = 0
		}
	}
	for k, c := range capacity {
		x := p.pools[k]
		if x == nil {
			x = &pool{}
			p.pools[k] = x
		}
		if overloaded[k] && !x.overloaded {
			x.overloadedSince = now
		}
		x.overloaded, x.assessedAt = overloaded[k], now
		x.cores, x.use, x.waiting, x.queues = c.Cores, c.Use, [densityBuckets]float64{}, map[Queue]bool{}
	}
	type occurrence struct {
		job oleandervalve.JobID
		n   int
	}
	counted := make(map[occurrence]bool, len(waiting))
	for i := range waiting {
		w := &waiting[i]
		x := p.pools[w.Pool]
		if x == nil || w.LongRunning {
			continue
		}
		x.queues[w.Queue] = true
		// Each waiting step has the remaining work of the whole occurrence.
		o := occurrence{w.Job, w.Occurrence}
		if counted[o] {
			continue
		}
		counted[o] = true
		x.waiting[bucketOf(p.sizes.Density(w.Work))] += w.Remaining
	}
}

// Decision is the decision on a submission.
type Decision struct {
	Refused    bool
	RetryAfter time.Duration
	// Wait is the expected time until the job has its turn, a day if no end is in sight, and Cores
	// the capacity of the pool.
	Wait  time.Duration
	Cores float64
}

// maxWait stands for waits without an expected end.
const maxWait = 24 * time.Hour

// Admit decides whether a job is refused. It is refused only while more than maxMissedShare of the
// accepted jobs of its queue are of no use, and only if denser work takes all that the pool drains for
// longer than the caller has a use for the job, even if the job and the work ahead need half of the
// expected work and time. Neither a queue nor its large jobs are refused below their floors.
func (p *Policy) Admit(now time.Time, k Pool, w Work) Decision {
	x := p.pools[k]
	if x == nil || x.cores <= 0 || w.LongRunning || w.Total <= 0 {
		return Decision{}
	}
	w.Remaining, w.TimeLeft = w.Total, w.Objective
	large := p.sizes.Large(w.Queue, w.Total)
	drain := x.drain(now)
	d := Decision{Wait: x.wait(now, p.sizes.Density(w), drain), Cores: x.cores}
	best := w
	best.Total, best.Remaining, best.Path = w.Total/errorFactor, w.Total/errorFactor, w.Path/errorFactor
	possible := x.wait(now, p.sizes.Density(best), drain)/errorFactor+best.Path <= ZeroValueFactor*w.Objective
	if possible || p.missedShare(now, w.Queue) <= maxMissedShare || p.belowFloor(now, x, w, large) {
		return d
	}
	d.Refused = true
	f := p.flow(w.Queue)
	f.refused[0].add(now, 1)
	if large {
		f.refused[1].add(now, 1)
	}
	// A retry at the end of the time in which the caller has a use for the job comes too late, so
	// that the delay is limited to its objective.
	d.RetryAfter = min(d.Wait, w.Objective)
	d.RetryAfter = max(minRetryAfter, (d.RetryAfter + time.Second - 1).Truncate(time.Second))
	return d
}

// drain returns how much work the pool drains in a second. While work waits it is measured, as slow
// executors and capacity that is left over in small pieces let it be less than the capacity. A
// measurement below 1/errorFactor of the capacity is due to something that has stopped all work, such
// as an outage of the table, and says nothing about the time after it.
func (x *pool) drain(now time.Time) float64 {
	measured := x.drained.value(now) / rateTime.Seconds()
	if !x.overloaded || now.Sub(x.overloadedSince) < measureAfter {
		return max(x.cores, measured)
	}
	return max(x.cores/errorFactor, measured)
}

// wait returns the time until work of a density has its turn, if denser work goes on arriving as it
// did lately.
func (x *pool) wait(now time.Time, density, drain float64) time.Duration {
	ahead, arriving := 0.0, 0.0
	for i := bucketOf(density) + 1; i < densityBuckets; i++ {
		ahead += x.waiting[i]
		arriving += x.arrivals[i].value(now) / rateTime.Seconds()
	}
	switch {
	case ahead <= 0:
		return 0
	case arriving >= drain:
		return maxWait
	}
	return time.Duration(min(maxWait.Seconds(), ahead/(drain-arriving)) * float64(time.Second))
}

// missedShare returns the share of the accepted jobs of a queue with a known outcome that were of no
// use to their callers.
func (p *Policy) missedShare(now time.Time, q Queue) float64 {
	f := p.flows[q]
	if f == nil || f.decided[0].value(now) < minDecided {
		return 0
	}
	return 1 - f.served[0].value(now)/f.decided[0].value(now)
}

// belowFloor reports whether a job's queue, or the large jobs of it, get less than their floor.
func (p *Policy) belowFloor(now time.Time, x *pool, w Work, large bool) bool {
	if x.use[w.Queue] < x.cores*min(queueFloor, maxFloors/float64(max(1, len(x.queues)))) && !x.queues[w.Queue] {
		return true
	}
	return large && p.largeBehind(now, w.Queue)
}
