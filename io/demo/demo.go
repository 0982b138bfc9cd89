package demo

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"oleandervalve"
)

// batchTimeout is how long jobs may take to be submitted, and accepted tasks to
// finish after the load has ended.
const batchTimeout = 3 * time.Minute

// Options configure a demonstration.
type Options struct {
	Scenario string
	Policy   string
	Seconds  int
	Seed     uint64
	// Progress receives one line per second, if set.
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
	Phases   []phaseResult `json:"phases"`
	Batch    batchResult   `json:"batch"`
	// Violations counts broken invariants, as observed by callers and stand-ins.
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

// Run runs one scenario to completion.
func Run(o Options) (Report, error) {
	r := Report{Scenario: o.Scenario, Policy: o.Policy, Seed: o.Seed, Seconds: o.Seconds}
	c, ok := scenarios()[o.Scenario]
	if !ok {
		return r, &oleandervalve.InvalidError{Field: "scenario", Value: o.Scenario, Remedy: "use one of " + strings.Join(Scenarios(), ", ")}
	}
	var options []Option
	if c.deployments != nil {
		options = append(options, func(s *System) { s.deployments = c.deployments() })
	}
	s, err := Start(entriesInDemo, o.Seed, Policy(o.Policy), o.Log, options...)
	if err != nil {
		return r, err
	}
	defer s.Close()
	lb := newBalancer(s.EntryURLs())
	x := &run{options: o, system: s, load: newLoad(lb, c.phase)}
	b := newBatch(lb)
	x.startPhase(c.phase)
	if err = x.drive(c, b); err != nil {
		return r, err
	}
	waitCtx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	b.wait(waitCtx)
	r.Batch = b.result
	r.Batch.Platform = s.Platform.Counts()
	r.Classes = x.load.summary()
	r.Phases = x.load.phaseResults(s)
	r.Violations = x.load.violations(s, c)
	// A task is lost if it was accepted but has not finished, or if it is
	// reported as finished but did not finish on the platform.
	r.Violations.Lost += b.result.Other + max(0, b.result.Finished-r.Batch.Platform.Finished)
	return r, nil
}

// drive runs the load, the batch work and the events of a scenario.
func (r *run) drive(c scenario, b *batch) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	runCtx, cancelRun := context.WithTimeout(ctx, time.Duration(r.options.Seconds)*time.Second)
	defer cancelRun()
	var sources, jobs sync.WaitGroup
	for i, d := range r.system.deployments {
		for k, t := range d.traffic {
			sources.Add(1)
			go func() {
				defer sources.Done()
				r.load.run(ctx, d, t, t.rate, r.options.Seed*1000+uint64(i*100+k))
			}()
		}
		if c.jobs == nil {
			continue
		}
		for _, w := range c.jobs(d, r.options.Seed, r.options.Seconds) {
			jobs.Add(1)
			go func() {
				defer jobs.Done()
				time.Sleep(w.at)
				submitCtx, cancelSubmit := context.WithTimeout(context.Background(), batchTimeout)
				defer cancelSubmit()
				b.submit(submitCtx, w.job)
			}()
		}
	}
	events := make(chan error, 1)
	go func() {
		if c.events == nil {
			events <- nil
			return
		}
		events <- c.events(runCtx, r)
	}()
	r.load.progress(runCtx, r.options.Progress)
	err := <-events
	cancel()
	r.startPhase("end")
	sources.Wait()
	r.load.pending.Wait()
	jobs.Wait()
	return err
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

// violations compares the outcomes that callers received with what the stand-ins executed.
func (l *load) violations(s *System, c scenario) Violations {
	l.mu.Lock()
	defer l.mu.Unlock()
	var v Violations
	for _, q := range l.requests {
		runs := s.Executions.Runs(q.id)
		if !q.idempotent && runs > 1 {
			v.DoubleRuns++
		}
		if q.outcome == oleandervalve.OutcomeNotRun && runs > 0 {
			v.FalseNotRun++
		}
		if q.outcome == oleandervalve.OutcomeAnswered && runs == 0 {
			v.Lost++
		}
		if q.wrongResponse {
			v.WrongAnswers++
		}
		// A request was cut if its connection broke before its timeout. Where every
		// stop is planned, an unknown outcome before the timeout also counts as cut.
		unknown := q.outcome == oleandervalve.OutcomeUnknown && !q.timedOut
		if !c.unplanned && (q.truncated && !q.timedOut || c.planned && unknown) {
			v.CutRequests++
		}
	}
	_, v.OverCapacity = s.Executions.Totals()
	p := s.Platform.Counts()
	v.OverCapacity += p.OverCapacity
	v.DoubleRuns += p.DoubleRuns + p.DoubleResume
	return v
}
