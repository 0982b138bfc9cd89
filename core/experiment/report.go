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

// lateFactor is the multiple of the objective after which a job earns nothing,
// from the users' price list.
const lateFactor = 3

// ClassResult is what the callers of one class got.
type ClassResult struct {
	Class string `json:"class"`
	Jobs  int    `json:"jobs"`
	// InTime, Late and Lost split the jobs that were not cancelled.
	InTime int `json:"inTime"`
	Late   int `json:"late"`
	Lost   int `json:"lost"`
	// P50 and P99 are times to the end in milliseconds.
	P50 int64 `json:"p50Ms"`
	P99 int64 `json:"p99Ms"`
}

// Result is one order on one seed.
type Result struct {
	Order   dispatch.Order `json:"order"`
	Seed    uint64         `json:"seed"`
	Classes []ClassResult  `json:"classes"`
	// Worth is the share of the worth of all jobs that was earned.
	Worth float64 `json:"worth"`
	// Wasted is the core-seconds of runs that were stopped or failed.
	Wasted float64 `json:"wastedCoreSeconds"`
}

// Run plays a load with each order on each seed.
func Run(l Load, orders []dispatch.Order, seeds []uint64) ([]Result, error) {
	var out []Result
	for _, o := range orders {
		for _, seed := range seeds {
			p, err := newPlayer(l, o, seed)
			if err != nil {
				return nil, err
			}
			p.play()
			out = append(out, p.result(o, seed))
		}
	}
	return out, nil
}

// longestTime bounds the histogram of times to the end.
const longestTime = 10 * time.Minute

func (p *player) result(o dispatch.Order, seed uint64) Result {
	r := Result{Order: o, Seed: seed, Wasted: p.wasted}
	owed, earned := 0.0, 0.0
	for i := range p.load.Classes {
		c := &p.load.Classes[i]
		x := ClassResult{Class: c.Name}
		times := hdrhistogram.New(1, longestTime.Milliseconds(), 3)
		for _, id := range p.order {
			j := p.jobs[id]
			if j.class != c || j.gone {
				continue
			}
			x.Jobs++
			owed += c.Worth
			if j.took > 0 {
				_ = times.RecordValue(min(j.took, longestTime).Milliseconds()) // within the bounds
			}
			switch {
			case j.took == 0 || j.failed || j.took > lateFactor*j.fair:
				x.Lost++
			case j.took > j.fair:
				x.Late++
				earned += LateShare * c.Worth
			default:
				x.InTime++
				earned += c.Worth
			}
		}
		x.P50, x.P99 = times.ValueAtQuantile(50), times.ValueAtQuantile(99)
		r.Classes = append(r.Classes, x)
	}
	if owed > 0 {
		r.Worth = earned / owed
	}
	return r
}

// WriteTable writes the mean, least and most worth of each order, and the sums by class.
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
		least, most, sum, wasted := rs[0].Worth, rs[0].Worth, 0.0, 0.0
		for _, r := range rs {
			least, most = min(least, r.Worth), max(most, r.Worth)
			sum += r.Worth
			wasted += r.Wasted
		}
		n := float64(len(rs))
		for i := range rs[0].Classes {
			var x ClassResult
			for _, r := range rs {
				c := r.Classes[i]
				x.Jobs, x.InTime, x.Late, x.Lost = x.Jobs+c.Jobs, x.InTime+c.InTime, x.Late+c.Late, x.Lost+c.Lost
				x.P99 = max(x.P99, c.P99)
			}
			fmt.Fprintf(&b, "%s\t%.3f\t%.3f\t%.3f\t%.0f\t%s\t%d\t%d\t%d\t%d\t%d\n", o, sum/n, least, most, wasted/n, rs[0].Classes[i].Class, x.Jobs, x.InTime, x.Late, x.Lost, x.P99)
		}
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	if _, err := io.WriteString(t, b.String()); err != nil {
		return errors.Wrap(err, "write the table")
	}
	return errors.Wrap(t.Flush(), "write the table")
}
