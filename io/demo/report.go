package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"
)

// phaseStart records the start of a phase and the total service time until then.
type phaseStart struct {
	phase string
	at    time.Time
	busy  time.Duration
}

// phaseResult summarizes one phase of a run.
type phaseResult struct {
	Phase   string  `json:"phase"`
	Seconds float64 `json:"seconds"`
	// InUse is the fraction of the slots' time that was spent on requests.
	InUse float64 `json:"capacityInUse"`
}

// startPhase starts a phase of the run; requests sent from now on count towards it.
func (l *load) startPhase(phase string, now time.Time, busy time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.phase = phase
	l.phases = append(l.phases, phaseStart{phase: phase, at: now, busy: busy})
}

func (l *load) phaseResults(s *System) []phaseResult {
	slots := 0
	for _, d := range s.deployments {
		slots += d.executors * d.slots
	}
	var out []phaseResult
	for i, p := range l.phases[:len(l.phases)-1] {
		next := l.phases[i+1]
		took := next.at.Sub(p.at).Seconds()
		out = append(out, phaseResult{
			Phase: p.phase, Seconds: took, InUse: (next.busy - p.busy).Seconds() / (took * float64(slots)),
		})
	}
	return out
}

// retainedShare returns the answered fraction of the sent requests of a class
// during the overload, relative to that fraction in the baseline phase.
func (r Report) retainedShare(c classResult) (share float64, ok bool) {
	if c.Phase != phaseOverload || c.Sent == 0 {
		return 0, false
	}
	for _, x := range r.Classes {
		if x.Phase == phaseBaseline && x.Service == c.Service && x.Class == c.Class && x.Answered > 0 {
			return float64(c.Answered) / float64(c.Sent) * float64(x.Sent) / float64(x.Answered), true
		}
	}
	return 0, false
}

// WriteJSON writes the report as one JSON object.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteTable writes the report as human-readable tables.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "scenario %s, policy %s, seed %d, %d s\n\n", r.Scenario, r.Policy, r.Seed, r.Seconds)
	_, _ = fmt.Fprintln(t, "phase\tservice\tclass\tsent\tanswered\tnot run\tunknown\tp50 ms\tp99 ms\tp99.9 ms\tkept")
	for _, c := range r.Classes {
		kept := "-"
		if share, ok := r.retainedShare(c); ok {
			kept = fmt.Sprintf("%.2f", share)
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%s\n",
			c.Phase, c.Service, c.Class, c.Sent, c.Answered, c.NotRun, c.Unknown, c.P50, c.P99, c.P999, kept)
	}
	_, _ = fmt.Fprintln(t)
	for _, p := range r.Phases {
		_, _ = fmt.Fprintf(t, "%s: %.1f s, capacity in use %.2f\n", p.Phase, p.Seconds, p.InUse)
	}
	b := r.Batch
	_, _ = fmt.Fprintf(t, "\nbatch tasks: submitted %d, finished %d, unfinished %d, refused %d; starts %d, stopped %d, evictions %d, throttles %d\n",
		b.Submitted, b.Finished, b.Other, b.Refused, b.Platform.Started, b.Platform.Stopped, b.Evictions, b.Platform.Throttles)
	reasons := make([]string, 0, len(b.Waiting))
	for reason := range b.Waiting {
		reasons = append(reasons, reason)
	}
	sort.Strings(reasons)
	for _, reason := range reasons {
		_, _ = fmt.Fprintf(t, "  unfinished: %s: %d\n", reason, b.Waiting[reason])
	}
	v := r.Violations
	_, _ = fmt.Fprintf(t, "\nviolations: double runs %d, over capacity %d, lost %d, wrong answers %d, false not run %d, cut requests %d\n",
		v.DoubleRuns, v.OverCapacity, v.Lost, v.WrongAnswers, v.FalseNotRun, v.CutRequests)
	return t.Flush()
}
