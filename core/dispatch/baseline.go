package dispatch

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"oleandervalve/core/work"
)

// Order names an ordering of waiting work.
type Order string

const (
	// OrderDefault orders by priority, feasibility and least remaining work, and under overload by
	// what a delay costs callers.
	OrderDefault Order = "product"
	// OrderFIFO is a baseline: jobs in the order of submission.
	OrderFIFO Order = "firstCome"
	// OrderEarliestDeadline is a baseline: the earliest objective first.
	OrderEarliestDeadline Order = "earliestDeadline"
	// OrderLeastWork is a baseline: the least remaining work first, without priorities.
	OrderLeastWork Order = "leastWork"
	// OrderStrictPriority is the order in normal operation, also under overload.
	OrderStrictPriority Order = "strictPriority"
	// OrderWeightedFair is a baseline: the queue that uses least of the processors relative to
	// the weight of its priority first, then first come, first served.
	OrderWeightedFair Order = "weightedFair"
	// OrderLeastSlack is a baseline: the least time to spare until the objective first.
	OrderLeastSlack Order = "leastSlack"
	// OrderValueDensity is a baseline: the most expected value by remaining work first, without
	// floors.
	OrderValueDensity Order = "valueDensity"
)

// Orders lists all orderings.
func Orders() []Order {
	return []Order{OrderDefault, OrderFIFO, OrderEarliestDeadline, OrderLeastWork, OrderStrictPriority, OrderWeightedFair, OrderLeastSlack, OrderValueDensity}
}

// SetOrder sets the ordering of waiting work; experiments use it to compare baselines.
func (d *Dispatcher) SetOrder(o Order) error {
	var less func(a, b *step) bool
	switch o {
	case OrderDefault:
		d.sortSteps = d.overloadOrder
		return nil
	case OrderStrictPriority:
		d.sortSteps = d.defaultOrder
		return nil
	case OrderWeightedFair:
		d.sortSteps = d.weightedFairOrder
		return nil
	case OrderValueDensity:
		d.sortSteps = d.densityOrder
		return nil
	case OrderLeastSlack:
		d.sortSteps = d.leastSlackOrder
		return nil
	case OrderFIFO:
		less = func(a, b *step) bool { return a.job.rec.AcceptedAt.Before(b.job.rec.AcceptedAt) }
	case OrderEarliestDeadline:
		less = func(a, b *step) bool {
			return a.releaseTime().Add(d.objective(a.job)).Before(b.releaseTime().Add(d.objective(b.job)))
		}
	case OrderLeastWork:
		less = func(a, b *step) bool { return d.remainingWork(a) < d.remainingWork(b) }
	default:
		return errors.Newf("order %q is not known: use one of %v", o, Orders())
	}
	d.sortSteps = func(steps []*step, _ time.Time) {
		sort.SliceStable(steps, func(i, j int) bool { return less(steps[i], steps[j]) })
	}
	return nil
}

// leastSlackOrder sorts by the time to spare until the objective.
func (d *Dispatcher) leastSlackOrder(steps []*step, now time.Time) {
	slack := make(map[*step]time.Duration, len(steps))
	for _, s := range steps {
		if !s.spec.LongRunning {
			slack[s] = s.releaseTime().Add(d.objective(s.job)).Sub(now) - d.remainingCriticalPath(s)
		}
	}
	sort.SliceStable(steps, func(i, j int) bool { return slack[steps[i]] < slack[steps[j]] })
}

// weightedFairOrder fills the queues progressively, in the order of submission, so that their use
// of the processors relative to their weight stays equal.
func (d *Dispatcher) weightedFairOrder(steps []*step, _ time.Time) {
	use := map[work.QueueName]float64{}
	for _, a := range d.sortedAgents {
		for _, r := range a.runs {
			if r.step != nil && !r.step.spec.LongRunning {
				use[r.step.job.rec.Queue.Name] += float64(r.step.spec.Demand.CPU)
			}
		}
	}
	byQueue := map[work.QueueName][]*step{}
	var queues []work.QueueName
	for _, s := range steps {
		q := s.job.rec.Queue.Name
		if byQueue[q] == nil {
			queues = append(queues, q)
		}
		byQueue[q] = append(byQueue[q], s)
	}
	slices.Sort(queues)
	for _, q := range queues {
		slices.SortStableFunc(byQueue[q], func(a, b *step) int { return a.job.rec.AcceptedAt.Compare(b.job.rec.AcceptedAt) })
	}
	for i := range steps {
		var next work.QueueName
		least := math.Inf(1)
		for _, q := range queues {
			if len(byQueue[q]) == 0 {
				continue
			}
			weight := math.Pow(2, -float64(byQueue[q][0].job.rec.Queue.Priority))
			if share := use[q] / weight; share < least {
				next, least = q, share
			}
		}
		s := byQueue[next][0]
		byQueue[next] = byQueue[next][1:]
		use[next] += float64(len(s.waiting)) * float64(s.spec.Demand.CPU)
		steps[i] = s
	}
}
