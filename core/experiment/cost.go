package experiment

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"oleandervalve/core/dispatch"
)

const (
	// fixedValue and maxRelativeValue describe how the value of a job grows with its work: the
	// fixed part, and the rest relative to the mean work of its class, up to a limit.
	fixedValue       = 0.3
	maxRelativeValue = 4
	// largestShare is the share of the jobs of a class, by work, that count as its largest.
	largestShare = 0.1
)

// ClassCost is what the jobs of one class cost their callers.
type ClassCost struct {
	Class string `json:"class"`
	Jobs  int    `json:"jobs"`
	// Earned is the share of the value of the class that was earned.
	Earned float64 `json:"earned"`
	// FailedLate is the share of the jobs that earned nothing without having been refused, Late the
	// share completed after the objective, and Refused the share that was refused and earned nothing.
	FailedLate float64 `json:"failedLate"`
	Late       float64 `json:"late"`
	Refused    float64 `json:"refused"`
	// Served is the share of the jobs that earned something, and LargestServed that of the
	// largest tenth.
	Served        float64 `json:"served"`
	LargestServed float64 `json:"largestServed"`
}

// Cost is the cost of one order with one seed.
type Cost struct {
	Order   dispatch.Order `json:"order"`
	Seed    uint64         `json:"seed"`
	Earned  float64        `json:"earned"`
	Classes []ClassCost    `json:"classes"`
}

// RunCost simulates a load with each order and each seed and returns the costs to callers.
func RunCost(l Load, orders []dispatch.Order, seeds []uint64) ([]Cost, error) {
	var out []Cost
	err := simulate(l, orders, seeds, func(s *simulator, o dispatch.Order, seed uint64) { out = append(out, s.cost(o, seed)) })
	return out, err
}

func (s *simulator) cost(o dispatch.Order, seed uint64) Cost {
	out := Cost{Order: o, Seed: seed}
	total, earned := 0.0, 0.0
	for i := range s.load.Classes {
		c := &s.load.Classes[i]
		if c.LongRunning {
			continue
		}
		x, value, got := s.classCost(c)
		total += value
		earned += got
		out.Classes = append(out.Classes, x)
	}
	out.Earned = earned / max(1, total)
	return out
}

// counted returns the jobs of a class that count, by increasing work.
func (s *simulator) counted(c *Class) []*job {
	var jobs []*job
	for _, id := range s.jobIDs {
		j := s.jobs[id]
		at := j.submittedAt.Sub(s.startTime)
		if j.class == c && !j.cancelled && (s.load.CountUntil == 0 || at >= s.load.CountFrom && at < s.load.CountUntil) {
			jobs = append(jobs, j)
		}
	}
	slices.SortStableFunc(jobs, func(a, b *job) int { return cmp.Compare(a.work, b.work) })
	return jobs
}

func (s *simulator) classCost(c *Class) (x ClassCost, value, earned float64) {
	jobs := s.counted(c)
	sum := 0.0
	for _, j := range jobs {
		sum += j.work
	}
	largestFrom := len(jobs) - int(largestShare*float64(len(jobs)))
	served, largest := 0, 0
	for i, j := range jobs {
		v := c.Value
		if s.load.ValueByWork {
			v *= min(maxRelativeValue, fixedValue+(1-fixedValue)*j.work*float64(len(jobs))/sum)
		}
		value += v
		got := 0.0
		switch {
		case j.attempts > 0 && (j.elapsed == 0 || j.failed || j.elapsed > zeroValueFactor*j.objective):
			x.Refused++
		case j.elapsed == 0 || j.failed || j.elapsed > zeroValueFactor*j.objective:
			x.FailedLate++
		case j.elapsed > j.objective:
			x.Late++
			got = LateValueShare * v
		default:
			got = v
		}
		earned += got
		if got > 0 {
			served++
			if i >= largestFrom {
				largest++
			}
		}
	}
	n := max(1, float64(len(jobs)))
	x.Class, x.Jobs, x.Earned = c.Name, len(jobs), earned/max(1e-9, value)
	x.FailedLate, x.Late, x.Refused = x.FailedLate/n, x.Late/n, x.Refused/n
	x.Served, x.LargestServed = float64(served)/n, float64(largest)/max(1, float64(len(jobs)-largestFrom))
	return x, value, earned
}

// WriteCostTable writes one row for each order and class with the means over the seeds, beside
// the lowest earned share of a class with any seed.
func WriteCostTable(w io.Writer, costs []Cost) error {
	var b strings.Builder
	b.WriteString("order\tearned\tworst class\tclass\tjobs\tearned\tlate\tfailed late\trefused\tserved\tlargest tenth\n")
	var orders []dispatch.Order
	byOrder := map[dispatch.Order][]Cost{}
	for _, c := range costs {
		if !slices.Contains(orders, c.Order) {
			orders = append(orders, c.Order)
		}
		byOrder[c.Order] = append(byOrder[c.Order], c)
	}
	for _, o := range orders {
		cs := byOrder[o]
		n := float64(len(cs))
		earned, worst := 0.0, 1.0
		for _, c := range cs {
			earned += c.Earned / n
			for _, x := range c.Classes {
				worst = min(worst, x.Earned)
			}
		}
		for i := range cs[0].Classes {
			var m ClassCost
			for _, c := range cs {
				x := c.Classes[i]
				m.Jobs += x.Jobs
				m.Earned += x.Earned / n
				m.Late += x.Late / n
				m.FailedLate += x.FailedLate / n
				m.Refused += x.Refused / n
				m.Served += x.Served / n
				m.LargestServed += x.LargestServed / n
			}
			fmt.Fprintf(&b, "%s\t%.3f\t%.3f\t%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\n", o, earned, worst, cs[0].Classes[i].Class, m.Jobs, m.Earned, m.Late, m.FailedLate, m.Refused, m.Served, m.LargestServed)
		}
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	if _, err := io.WriteString(t, b.String()); err != nil {
		return errors.Wrap(err, "write the table")
	}
	return errors.Wrap(t.Flush(), "write the table")
}
