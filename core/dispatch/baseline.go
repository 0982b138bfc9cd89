package dispatch

import (
	"sort"
	"time"

	"github.com/cockroachdb/errors"
)

// Order names a way to order waiting work.
type Order string

const (
	// OrderProduct is the product's own: priority, feasibility, least remaining work.
	OrderProduct Order = "product"
	// OrderFirstCome is a baseline: the order of submission.
	OrderFirstCome Order = "firstCome"
	// OrderDeadline is a baseline: the earliest objective first.
	OrderDeadline Order = "earliestDeadline"
	// OrderLeastWork is a baseline: the least remaining work first, without priorities.
	OrderLeastWork Order = "leastWork"
)

// Orders lists all orders.
func Orders() []Order {
	return []Order{OrderProduct, OrderFirstCome, OrderDeadline, OrderLeastWork}
}

// SetOrder replaces the order of waiting work, for experiments.
func (d *Dispatcher) SetOrder(o Order) error {
	var less func(a, b *step) bool
	switch o {
	case OrderProduct:
		d.order = d.queueOrder
		return nil
	case OrderFirstCome:
		less = func(a, b *step) bool { return a.job.rec.AcceptedAt.Before(b.job.rec.AcceptedAt) }
	case OrderDeadline:
		less = func(a, b *step) bool {
			return a.due().Add(d.objective(a.job)).Before(b.due().Add(d.objective(b.job)))
		}
	case OrderLeastWork:
		less = func(a, b *step) bool { return d.remaining(a) < d.remaining(b) }
	default:
		return errors.Newf("order %q is not known: use one of %v", o, Orders())
	}
	d.order = func(steps []*step, _ time.Time) {
		sort.SliceStable(steps, func(i, j int) bool { return less(steps[i], steps[j]) })
	}
	return nil
}
