package overload

import (
	"cmp"
	"math"
	"slices"
	"time"

	"oleandervalve"
)

const (
	// queueFloor is the share of a pool's capacity up to which each queue with waiting work goes
	// first, and maxFloors limits the sum of these shares.
	queueFloor = 0.1
	maxFloors  = 0.5
	// largeFloor is the rate at which the largest tenth of a queue's jobs, by estimates, is served
	// relative to all of them. Half is guaranteed for the tenth that is really the largest.
	// With estimates that are off by half and more, 0.55 gave 0.4 of the rate of the class in a
	// burst of six, and 0.8 gave half.
	largeFloor = 0.8
	// minUsefulness is the usefulness below which a large job isn't promoted: it would take much
	// capacity and be late.
	minUsefulness = 0.5
	// rateTime is the time constant of the rates of outcomes and arrivals. It is a few objectives
	// of ordinary jobs, so that a burst is noticed while its jobs can be served in time.
	rateTime = 8 * time.Second
)

// Waiting is a step that waits, with the work of its job.
type Waiting struct {
	Work
	Job oleandervalve.JobID
	// Occurrence is the occurrence of the job to which the step belongs.
	Occurrence int
	Pool       Pool
	// Cores are the processors that the waiting tasks need, and Load their work in core-seconds.
	Cores, Load float64
	density     float64
	useful      float64
	head        bool
}

// Pool is a set of executors on which work competes. Best-effort work uses the processors that
// others leave idle, so that it forms a pool of its own.
type Pool struct {
	Service    oleandervalve.ServiceName
	BestEffort bool
}

// Capacity is what the executors of a pool offer and which queues use it, in cores.
type Capacity struct {
	Cores float64
	Use   map[Queue]float64
}

// rate is an exponentially decaying count.
type rate struct {
	sum float64
	at  time.Time
}

func (r *rate) value(now time.Time) float64 {
	if r.at.IsZero() || !now.After(r.at) {
		return r.sum
	}
	return r.sum * math.Exp(-now.Sub(r.at).Seconds()/rateTime.Seconds())
}

func (r *rate) add(now time.Time, x float64) {
	r.sum, r.at = r.value(now)+x, now
}

// undo takes back an addition that was made at the given time.
func (r *rate) undo(at time.Time, x float64) {
	r.sum = max(0, r.sum-x*math.Exp(-r.at.Sub(at).Seconds()/rateTime.Seconds()))
}

// flow counts the jobs of a queue whose outcome is known: those that were completed while they were
// of use, and all. The second element counts the large ones.
type flow struct {
	served, decided [2]rate
	// refused counts the submissions that were refused.
	refused [2]rate
	// promoted is the number of open large jobs that go first.
	promoted int
}

func (f *flow) count(now time.Time, large, served bool) {
	for i := range 2 {
		if i == 1 && !large {
			return
		}
		f.decided[i].add(now, 1)
		if served {
			f.served[i].add(now, 1)
		}
	}
}

// Outcome is what has become of a job.
type Outcome int

const (
	// Open means that the job has not ended.
	Open Outcome = iota
	// Completed means that it has been completed.
	Completed
	// Failed means that it has failed.
	Failed
	// Withdrawn means that its caller has cancelled it, or that it is not known any more.
	Withdrawn
)

// openJob is a job whose outcome is to be counted.
type openJob struct {
	queue Queue
	pool  Pool
	work  float64
	large bool
	// usefulUntil is when its caller has no use for it any more, and decided means that this was
	// counted.
	usefulUntil                  time.Time
	decided, promoted, completed bool
	// arrivedAt is when the job was counted as arriving, in a bucket of its pool, and countedAt when
	// its outcome was counted. They are zero if that was not done.
	arrivedAt, countedAt time.Time
	bucket               int
}

// Policy orders waiting work under overload and decides which jobs are refused.
type Policy struct {
	sizes *Sizes
	flows map[Queue]*flow
	jobs  map[oleandervalve.JobID]*openJob
	pools map[Pool]*pool
}

// New returns a Policy that knows no jobs.
func New() *Policy {
	return &Policy{sizes: NewSizes(), flows: map[Queue]*flow{}, jobs: map[oleandervalve.JobID]*openJob{}, pools: map[Pool]*pool{}}
}

func (p *Policy) flow(q Queue) *flow {
	f := p.flows[q]
	if f == nil {
		f = &flow{}
		p.flows[q] = f
	}
	return f
}

// Knows reports whether a job has arrived and not ended.
func (p *Policy) Knows(id oleandervalve.JobID) bool { return p.jobs[id] != nil }

// Adopt records a job that was accepted earlier, by this leader or another. The work of a job without
// an end isn't counted, nor the outcome of a scheduled one.
func (p *Policy) Adopt(now time.Time, id oleandervalve.JobID, k Pool, w Work) {
	if j := p.jobs[id]; j != nil {
		p.demote(j)
	}
	j := &openJob{queue: w.Queue, pool: k, work: w.Total, decided: w.LongRunning || w.Scheduled}
	if !w.LongRunning {
		p.sizes.Add(w.Queue, w.Total)
		j.large = p.sizes.Large(w.Queue, w.Total)
		j.usefulUntil = now.Add(w.TimeLeft + (ZeroValueFactor-1)*w.Objective)
	}
	p.jobs[id] = j
}

// Arrived records a new job, which counts for the rate of arrivals.
func (p *Policy) Arrived(now time.Time, id oleandervalve.JobID, k Pool, w Work) {
	p.Adopt(now, id, k, w)
	if x := p.pools[k]; x != nil && !w.LongRunning {
		own := bucketOf(p.sizes.Density(w))
		x.waiting[own] += w.Total
		x.arrivals[own].add(now, w.Total)
		p.jobs[id].arrivedAt, p.jobs[id].bucket = now, own
	}
}

// Discard takes back what was recorded of a job that has not been stored.
func (p *Policy) Discard(id oleandervalve.JobID) {
	j := p.jobs[id]
	if j == nil {
		return
	}
	delete(p.jobs, id)
	p.demote(j)
	if x := p.pools[j.pool]; x != nil && !j.arrivedAt.IsZero() {
		x.arrivals[j.bucket].undo(j.arrivedAt, j.work)
		// The next assessment corrects the work that an earlier one has counted.
		if !j.arrivedAt.Before(x.assessedAt) {
			x.waiting[j.bucket] = max(0, x.waiting[j.bucket]-j.work)
		}
	}
	if j.countedAt.IsZero() {
		return
	}
	f := p.flow(j.queue)
	f.decided[0].undo(j.countedAt, 1) // as useless: it can't have been completed
	if j.large {
		f.decided[1].undo(j.countedAt, 1)
	}
}

// demote ends the promotion of a large job.
func (p *Policy) demote(j *openJob) {
	if j.promoted {
		j.promoted = false
		p.flow(j.queue).promoted--
	}
}

// Update counts the jobs that have ended or have become useless since the last call, and forgets
// those that have ended. The callback returns the outcome of a job and when it ended.
func (p *Policy) Update(now time.Time, outcome func(oleandervalve.JobID) (Outcome, time.Time)) {
	var ended []oleandervalve.JobID
	for id, j := range p.jobs {
		o, at := outcome(id)
		if o == Open {
			at = now
		} else {
			ended = append(ended, id)
		}
		useless := at.After(j.usefulUntil)
		if !j.decided && (useless || o == Completed || o == Failed) {
			j.decided, j.countedAt = true, now
			p.flow(j.queue).count(now, j.large, o == Completed && !useless)
		}
		if j.decided || o != Open {
			p.demote(j)
		}
		j.completed = o == Completed
	}
	slices.Sort(ended) // so that sums of the same jobs don't differ
	for _, id := range ended {
		j := p.jobs[id]
		if x := p.pools[j.pool]; x != nil && j.completed {
			x.drained.add(now, j.work)
		}
		delete(p.jobs, id)
	}
}

// largeBehind reports whether the large jobs of a queue are served at less than largeFloor times
// the rate of the queue, if those that go first already count as served.
func (p *Policy) largeBehind(now time.Time, q Queue) bool {
	f := p.flows[q]
	if f == nil {
		return false
	}
	all, promoted := f.decided[0].value(now)+f.refused[0].value(now), float64(f.promoted)
	large := f.decided[1].value(now) + f.refused[1].value(now) + promoted
	if all < 1 || large < 1 {
		return false
	}
	return (f.served[1].value(now)+promoted)/large < largeFloor*f.served[0].value(now)/all
}

// Overloaded returns the pools in which a queue has more waiting work than the capacity drains within
// the objectives of this work. A pool without executors isn't among them: nothing can be ordered
// or estimated there.
func Overloaded(waiting []Waiting, capacity map[Pool]Capacity) map[Pool]bool {
	type sum struct{ load, wanted float64 }
	type key struct {
		pool  Pool
		queue Queue
	}
	sums := map[key]*sum{}
	for i := range waiting {
		w := &waiting[i]
		if w.LongRunning {
			continue
		}
		k := key{w.Pool, w.Queue}
		s := sums[k]
		if s == nil {
			s = &sum{}
			sums[k] = s
		}
		s.load += w.Load
		s.wanted += w.Load * w.Objective.Seconds()
	}
	out := map[Pool]bool{}
	for k, s := range sums {
		if cores := capacity[k.pool].Cores; cores > 0 && s.load > 0 && s.load > cores*s.wanted/s.load {
			out[k.pool] = true
		}
	}
	return out
}

// Density returns the expected value of work by core-second.
func (p *Policy) Density(w Work) float64 { return p.sizes.Density(w) }

// Order sorts waiting steps by falling density of value, after those that queues and large jobs
// need for their floors. Long-running steps go before all others, as each task that waits is missed.
func (p *Policy) Order(now time.Time, waiting []*Waiting, capacity map[Pool]Capacity) {
	for _, w := range waiting {
		w.head, w.useful = false, 1
		if w.LongRunning {
			w.density = p.sizes.Density(w.Work)
			continue
		}
		w.useful = usefulness(w.Work)
		w.density = p.sizes.valueDensity(w.Work) * w.useful
	}
	slices.SortStableFunc(waiting, func(a, b *Waiting) int { return cmp.Compare(b.density, a.density) })
	p.promoteLarge(now, waiting)
	promoteQueues(waiting, capacity)
	slices.SortStableFunc(waiting, func(a, b *Waiting) int { return cmp.Compare(a.group(), b.group()) })
}

// group returns the group of a step in the order, lowest first.
func (w *Waiting) group() int {
	switch {
	case w.LongRunning:
		return 0
	case w.head:
		return 1
	}
	return 2
}

// promoteLarge moves large jobs to the head while those of their queue are served at less than their
// guaranteed rate. A job that has been promoted stays there while it is useful, as its first tasks
// would otherwise have run in vain.
func (p *Policy) promoteLarge(now time.Time, waiting []*Waiting) {
	for _, w := range waiting {
		j := p.jobs[w.Job]
		if j == nil || !j.large || j.decided {
			continue
		}
		if !j.promoted && w.useful >= minUsefulness && p.largeBehind(now, w.Queue) {
			j.promoted = true
			p.flow(w.Queue).promoted++
		}
		w.head = j.promoted
	}
}

// promoteQueues moves the densest work of each queue to the head that uses less than its floor.
func promoteQueues(waiting []*Waiting, capacity map[Pool]Capacity) {
	queues := map[Pool]map[Queue]float64{}
	for _, w := range waiting {
		if w.LongRunning {
			continue
		}
		if queues[w.Pool] == nil {
			queues[w.Pool] = map[Queue]float64{}
		}
		queues[w.Pool][w.Queue] = capacity[w.Pool].Use[w.Queue]
	}
	for _, w := range waiting {
		if w.LongRunning {
			continue
		}
		use := queues[w.Pool]
		if use[w.Queue] < capacity[w.Pool].Cores*min(queueFloor, maxFloors/float64(len(use))) {
			w.head = true
			use[w.Queue] += w.Cores
		}
	}
}
