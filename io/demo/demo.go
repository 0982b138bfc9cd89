package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/sirupsen/logrus"

	"oleandervalve"
)

// batchWithin is how long tasks that were accepted may take beyond the run.
const batchWithin = 20 * time.Second

// Options choose what a demonstration does.
type Options struct {
	Scenario string
	Policy   string
	Seconds  int
	Seed     uint64
	// Progress receives a line a second, if set.
	Progress io.Writer
	Log      *logrus.Entry
}

// Report is the result of a demonstration.
type Report struct {
	Scenario string        `json:"scenario"`
	Policy   string        `json:"policy"`
	Seed     uint64        `json:"seed"`
	Seconds  int           `json:"seconds"`
	Classes  []classResult `json:"classes"`
	Batch    batchResult   `json:"batch"`
	// Violations counts what must never happen, as seen by callers and stand-ins.
	Violations Violations `json:"violations"`
}

// Violations counts broken invariants.
type Violations struct {
	DoubleRuns   int `json:"doubleRuns"`
	OverCapacity int `json:"overCapacity"`
	Lost         int `json:"lost"`
	WrongAnswers int `json:"wrongAnswers"`
	FalseNotRun  int `json:"falseNotRun"`
	CutRequests  int `json:"cutRequests"`
}

// Total is the sum of all violations.
func (v Violations) Total() int {
	return v.DoubleRuns + v.OverCapacity + v.Lost + v.WrongAnswers + v.FalseNotRun + v.CutRequests
}

// Run drives one scenario to its end.
func Run(o Options) (Report, error) {
	r := Report{Scenario: o.Scenario, Policy: o.Policy, Seed: o.Seed, Seconds: o.Seconds}
	s, err := Start(entriesInDemo, o.Seed, Policy(o.Policy), o.Log)
	if err != nil {
		return r, err
	}
	defer s.Close()
	l := newLoad(s.EntryURLs())
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(o.Seconds)*time.Second)
	defer cancel()
	var sources sync.WaitGroup
	for i, d := range deployments() {
		for k, t := range d.traffic {
			sources.Add(1)
			go func() {
				defer sources.Done()
				l.run(ctx, d, t, t.rate, o.Seed*1000+uint64(i*100+k))
			}()
		}
	}
	b := newBatch(s.EntryURLs())
	for i, d := range deployments() {
		for k, j := range d.jobsFor(o.Seed, 4, 6) {
			b.submit(i+k, j)
		}
	}
	l.progress(ctx, o.Progress)
	sources.Wait()
	l.pending.Wait()
	last, stop := context.WithTimeout(context.Background(), batchWithin)
	defer stop()
	b.wait(last)
	r.Batch = b.result
	r.Batch.Platform = s.Platform.Counts()
	r.Classes = l.summary()
	r.Violations = l.violations(s)
	return r, nil
}

func (l *load) progress(ctx context.Context, w io.Writer) {
	for second := 1; ; second++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
		}
		if w == nil {
			continue
		}
		l.mu.Lock()
		n := len(l.requests)
		l.mu.Unlock()
		_, _ = fmt.Fprintf(w, "%3d s: %d requests ended\n", second, n)
	}
}

func (l *load) summary() []classResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []classResult
	for _, k := range l.order {
		c := *l.results[k]
		c.P50 = float64(c.histogram.ValueAtQuantile(50)) / 1000
		c.P99 = float64(c.histogram.ValueAtQuantile(99)) / 1000
		c.P999 = float64(c.histogram.ValueAtQuantile(99.9)) / 1000
		out = append(out, c)
	}
	return out
}

// violations compares what callers heard with what the stand-ins executed.
func (l *load) violations(s *System) Violations {
	l.mu.Lock()
	defer l.mu.Unlock()
	var v Violations
	for _, q := range l.requests {
		runs := s.Books.Runs(q.id)
		if !q.idempotent && runs > 1 {
			v.DoubleRuns++
		}
		if q.outcome == oleandervalve.OutcomeNotRun && runs > 0 {
			v.FalseNotRun++
		}
		if q.outcome == oleandervalve.OutcomeAnswered && runs == 0 {
			v.Lost++
		}
		if q.wrong {
			v.WrongAnswers++
		}
		if q.cut {
			v.CutRequests++
		}
	}
	_, v.OverCapacity = s.Books.Totals()
	p := s.Platform.Counts()
	v.OverCapacity += p.OverCapacity
	v.DoubleRuns += p.DoubleRuns + p.DoubleResume
	return v
}

// WriteJSON writes the report as one JSON object.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteTable writes the report for people.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "scenario %s, policy %s, seed %d, %d s\n\n", r.Scenario, r.Policy, r.Seed, r.Seconds)
	_, _ = fmt.Fprintln(t, "service\tclass\tsent\tanswered\tnot run\tunknown\tp50 ms\tp99 ms\tp99.9 ms")
	for _, c := range r.Classes {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\n",
			c.Service, c.Class, c.Sent, c.Answered, c.NotRun, c.Unknown, c.P50, c.P99, c.P999)
	}
	b := r.Batch
	_, _ = fmt.Fprintf(t, "\nbatch tasks: submitted %d, finished %d, unfinished %d, refused %d; starts %d, evictions %d, throttles %d\n",
		b.Submitted, b.Finished, b.Other, b.Refused, b.Platform.Started, b.Evictions, b.Platform.Throttles)
	for reason, n := range b.Waiting {
		_, _ = fmt.Fprintf(t, "  unfinished: %s: %d\n", reason, n)
	}
	v := r.Violations
	_, _ = fmt.Fprintf(t, "\nviolations: double runs %d, over capacity %d, lost %d, wrong answers %d, false not run %d, cut requests %d\n",
		v.DoubleRuns, v.OverCapacity, v.Lost, v.WrongAnswers, v.FalseNotRun, v.CutRequests)
	return t.Flush()
}
