package experiment

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"oleandervalve/core/dispatch"
)

// zeroValueFactor is the multiple of its objective after which a job earns
// nothing according to the requirements.
const zeroValueFactor = 3

// ClassResult holds the results of the jobs of one class.
type ClassResult struct {
	Class string `json:"class"`
	// Jobs is the number of jobs that were not cancelled.
	Jobs int `json:"jobs"`
	// InTime counts the jobs that earned their full value, Late those that earned a
	// part, and Lost those that earned nothing: they failed, didn't end or ended
	// after zeroValueFactor times their objective.
	InTime int `json:"inTime"`
	Late   int `json:"late"`
	Lost   int `json:"lost"`
	// P50 and P99 are percentiles of the time from submission to the end in
	// milliseconds.
	P50 int64 `json:"p50Ms"`
	P99 int64 `json:"p99Ms"`
}

// Result is the result of one order with one seed.
type Result struct {
	Order   dispatch.Order `json:"order"`
	Seed    uint64         `json:"seed"`
	Classes []ClassResult  `json:"classes"`
	// EarnedShare is the share of the value of all jobs that was earned.
	EarnedShare float64 `json:"worth"`
	// WastedCoreSeconds is the processor time of runs that were stopped or failed.
	WastedCoreSeconds float64 `json:"wastedCoreSeconds"`
}

// Run simulates a load with each order and each seed.
func Run(l Load, orders []dispatch.Order, seeds []uint64) ([]Result, error) {
	var out []Result
	err := simulate(l, orders, seeds, func(s *simulator, o dispatch.Order, seed uint64) { out = append(out, s.result(o, seed)) })
	return out, err
}

// simulate simulates a load with each order and each seed and calls a function after each simulation.
func simulate(l Load, orders []dispatch.Order, seeds []uint64, ended func(*simulator, dispatch.Order, uint64)) error {
	for _, o := range orders {
		for _, seed := range seeds {
			s, err := newSimulator(l, o, seed)
			if err != nil {
				return err
			}
			s.run()
			ended(s, o, seed)
		}
	}
	return nil
}

// maxRecordedTime is the upper bound of the histogram of times from submission to
// the end.
const maxRecordedTime = 10 * time.Minute

func (s *simulator) result(o dispatch.Order, seed uint64) Result {
	r := Result{Order: o, Seed: seed, WastedCoreSeconds: s.wastedCoreSeconds}
	totalValue, earned := 0.0, 0.0
	for i := range s.load.Classes {
		c := &s.load.Classes[i]
		x := ClassResult{Class: c.Name}
		times := hdrhistogram.New(1, maxRecordedTime.Milliseconds(), 3)
		for _, id := range s.jobIDs {
			j := s.jobs[id]
			if j.class != c || j.cancelled {
				continue
			}
			x.Jobs++
			totalValue += c.Value
			if j.elapsed > 0 {
				_ = times.RecordValue(min(j.elapsed, maxRecordedTime).Milliseconds()) // within the bounds
			}
			switch {
			case j.elapsed == 0 || j.failed || j.elapsed > zeroValueFactor*j.objective:
				x.Lost++
			case j.elapsed > j.objective:
				x.Late++
				earned += LateValueShare * c.Value
			default:
				x.InTime++
				earned += c.Value
			}
		}
		x.P50, x.P99 = times.ValueAtQuantile(50), times.ValueAtQuantile(99)
		r.Classes = append(r.Classes, x)
	}
	if totalValue > 0 {
		r.EarnedShare = earned / totalValue
	}
	return r
}

// WriteTable writes one row for each order and class. The earned share of an order
// is given as the mean, the minimum and the maximum over the seeds, and the wasted
// processor time as the mean. Job counts are summed over the seeds, and the 99th
// percentile is the highest of all seeds.
func WriteTable(w io.Writer, results []Result) error {
	var b strings.Builder
	b.WriteString("order\tworth\tfrom\tto\twasted core-s\tclass\tjobs\tin time\tlate\tlost\tp99 ms\n")
	var orders []dispatch.Order
	byOrder := map[dispatch.Order][]Result{}
	for _, r := range results {
		if !slices.Contains(orders, r.Order) {
			orders = append(orders, r.Order)
		}
		byOrder[r.Order] = append(byOrder[r.Order], r)
	}
	for _, o := range orders {
		rs := byOrder[o]
		lowest, highest, sum, wasted := rs[0].EarnedShare, rs[0].EarnedShare, 0.0, 0.0
		for _, r := range rs {
			lowest, highest = min(lowest, r.EarnedShare), max(highest, r.EarnedShare)
			sum += r.EarnedShare
			wasted += r.WastedCoreSeconds
		}
		n := float64(len(rs))
		for i := range rs[0].Classes {
			var x ClassResult
			for _, r := range rs {
				c := r.Classes[i]
				x.Jobs, x.InTime, x.Late, x.Lost = x.Jobs+c.Jobs, x.InTime+c.InTime, x.Late+c.Late, x.Lost+c.Lost
				x.P99 = max(x.P99, c.P99)
			}
			fmt.Fprintf(&b, "%s\t%.3f\t%.3f\t%.3f\t%.0f\t%s\t%d\t%d\t%d\t%d\t%d\n", o, sum/n, lowest, highest, wasted/n, rs[0].Classes[i].Class, x.Jobs, x.InTime, x.Late, x.Lost, x.P99)
		}
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	if _, err := io.WriteString(t, b.String()); err != nil {
		return errors.Wrap(err, "write the table")
	}
	return errors.Wrap(t.Flush(), "write the table")
}
