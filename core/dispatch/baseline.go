package dispatch

import (
	"sort"
	"time"

	"github.com/cockroachdb/errors"
)

// Order names an ordering of waiting work.
type Order string

const (
	// OrderDefault orders by priority, feasibility and least remaining work.
	OrderDefault Order = "product"
	// OrderFIFO is a baseline: jobs in the order of submission.
	OrderFIFO Order = "firstCome"
	// OrderEarliestDeadline is a baseline: the earliest objective first.
	OrderEarliestDeadline Order = "earliestDeadline"
	// OrderLeastWork is a baseline: the least remaining work first, without priorities.
	OrderLeastWork Order = "leastWork"
)

// Orders lists all orderings.
func Orders() []Order {
	return []Order{OrderDefault, OrderFIFO, OrderEarliestDeadline, OrderLeastWork}
}

// SetOrder sets the ordering of waiting work; experiments use it to compare baselines.
func (d *Dispatcher) SetOrder(o Order) error {
	var less func(a, b *step) bool
	switch o {
	case OrderDefault:
		d.sortSteps = d.defaultOrder
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
