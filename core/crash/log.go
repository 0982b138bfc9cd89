package crash

import (
	"slices"
	"sort"
	"time"

	"oleandervalve"
)

// Run is a run that a crashed executor had, or may have had.
type Run struct {
	Task oleandervalve.TaskName  `cbor:"1,keyasint"`
	Run  oleandervalve.RunNumber `cbor:"2,keyasint"`
	// Started means that the executor has confirmed or listed the run. Otherwise the start
	// order had no answer.
	Started bool `cbor:"3,keyasint,omitempty"`
	// MinAge and MaxAge are the shortest and the longest time that the run can have lasted.
	MinAge time.Duration `cbor:"4,keyasint,omitempty"`
	MaxAge time.Duration `cbor:"5,keyasint,omitempty"`
}

// Report lists the runs that an incarnation of an executor had when it was lost.
type Report struct {
	Executor oleandervalve.Incarnation `cbor:"1,keyasint"`
	// Runs is empty if the end was planned.
	Runs []Run `cbor:"2,keyasint,omitempty"`
	// Crashed means that the executor has certainly crashed. Otherwise it has given no
	// answer for as long as its lease lasted.
	Crashed bool `cbor:"3,keyasint,omitempty"`
}

// maxReports limits the reports that a Log keeps, and reportRetention for how long: a
// leader that has not been told by then has requeued the runs without the report.
const (
	maxReports      = 8
	reportRetention = 2 * time.Minute
)

// maxReportedRuns limits the runs of one report, and of all reports that a leader is told at a
// time, so that they fit into a message. The youngest runs are reported, as they are the most
// suspect.
const maxReportedRuns = 400

type runKey struct {
	task oleandervalve.TaskName
	run  oleandervalve.RunNumber
}

type runLog struct {
	orderedAt time.Time
	started   bool
}

type datedReport struct {
	Report
	at time.Time
}

// Log records the runs of one executor and reports those that it had when it crashed.
type Log struct {
	executor oleandervalve.Incarnation
	runs     map[runKey]runLog
	// answeredAt is the time of the last answer of the executor, and silentSince that of the
	// first call without an answer after it.
	answeredAt  time.Time
	silentSince time.Time
	reports     []datedReport
}

// NewLog returns an empty Log.
func NewLog() *Log { return &Log{runs: map[runKey]runLog{}} }

// Replaced records that the executor has a new incarnation. It returns the report of the
// one before, which has crashed unless its end was planned, or false if there was none.
func (l *Log) Replaced(now time.Time, next oleandervalve.Incarnation, planned bool) (Report, bool) {
	if l.executor == next {
		return Report{}, false
	}
	r := Report{Executor: l.executor}
	if !planned {
		r.Runs, r.Crashed = l.lostRuns(now), true
	}
	l.executor, l.runs, l.answeredAt, l.silentSince = next, map[runKey]runLog{}, now, time.Time{}
	if r.Executor.ID == "" {
		return r, false
	}
	l.keep(now, r)
	return r, true
}

// Crashed records that the executor has crashed and has no new incarnation yet. It returns
// the report of the crashed one, and the same report if it is called again.
func (l *Log) Crashed(now time.Time) Report {
	if l.executor.ID == "" && len(l.reports) > 0 {
		return l.reports[len(l.reports)-1].Report
	}
	r := Report{Executor: l.executor, Runs: l.lostRuns(now), Crashed: true}
	l.executor, l.runs = oleandervalve.Incarnation{}, map[runKey]runLog{}
	l.keep(now, r)
	return r
}

// keep adds a report to those that leaders are told.
func (l *Log) keep(now time.Time, r Report) {
	l.reports = append(l.reports, datedReport{r, now})
	if len(l.reports) > maxReports {
		l.reports = l.reports[1:]
	}
}

// Lost returns the report of the present incarnation, which gives no answers.
func (l *Log) Lost(now time.Time) Report { return Report{Executor: l.executor, Runs: l.lostRuns(now)} }

// lostRuns returns the youngest runs of the executor that count as lost, sorted by task and run.
func (l *Log) lostRuns(now time.Time) []Run {
	end := now
	if !l.silentSince.IsZero() {
		end = l.silentSince
	}
	out := make([]Run, 0, len(l.runs))
	for k, r := range l.runs {
		x := Run{Task: k.task, Run: k.run, Started: r.started, MaxAge: max(0, end.Sub(r.orderedAt))}
		if r.started {
			x.MinAge = max(0, l.answeredAt.Sub(r.orderedAt))
		}
		if x.MinAge < maxCountedAge {
			out = append(out, x)
		}
	}
	return youngest(out, maxReportedRuns)
}

// youngest returns the n youngest runs, sorted by task and run.
func youngest(runs []Run, n int) []Run {
	before := func(a, b Run) bool {
		if a.Task != b.Task {
			return a.Task.String() < b.Task.String()
		}
		return a.Run < b.Run
	}
	if len(runs) > n {
		sort.Slice(runs, func(i, j int) bool {
			if runs[i].MaxAge != runs[j].MaxAge {
				return runs[i].MaxAge < runs[j].MaxAge
			}
			return before(runs[i], runs[j])
		})
		runs = runs[:n]
	}
	sort.Slice(runs, func(i, j int) bool { return before(runs[i], runs[j]) })
	return runs
}

// Reports returns the reports that are not too old to be of use to a leader. If they have too
// many runs, those of the older ones are left out.
func (l *Log) Reports(now time.Time) []Report {
	var out []Report
	left := maxReportedRuns
	for _, r := range slices.Backward(l.reports) {
		if now.Sub(r.at) < reportRetention {
			report := r.Report
			report.Runs = youngest(slices.Clone(report.Runs), left)
			left -= len(report.Runs)
			out = append(out, report)
		}
	}
	slices.Reverse(out)
	return out
}

// StartOrdered records an order to start a run, before it is sent.
func (l *Log) StartOrdered(now time.Time, x oleandervalve.Incarnation, t oleandervalve.TaskName, n oleandervalve.RunNumber) {
	if x != l.executor {
		return
	}
	if _, ok := l.runs[runKey{t, n}]; !ok {
		l.runs[runKey{t, n}] = runLog{orderedAt: now}
	}
}

// StartConfirmed records that the executor has started a run.
func (l *Log) StartConfirmed(now time.Time, x oleandervalve.Incarnation, t oleandervalve.TaskName, n oleandervalve.RunNumber) {
	r, ok := l.runs[runKey{t, n}]
	if x != l.executor || !ok {
		return
	}
	l.answeredAt, l.silentSince = now, time.Time{}
	r.started = true
	l.runs[runKey{t, n}] = r
}

// StartedLater records that a run was started by a later incarnation than the one that its order
// was meant for.
func (l *Log) StartedLater(x oleandervalve.Incarnation, t oleandervalve.TaskName, n oleandervalve.RunNumber) {
	if r, ok := l.runs[runKey{t, n}]; ok && x == l.executor {
		r.started = true
		l.runs[runKey{t, n}] = r
	}
}

// Forget records that a run has ended or never started.
func (l *Log) Forget(x oleandervalve.Incarnation, t oleandervalve.TaskName, n oleandervalve.RunNumber) {
	if x == l.executor {
		delete(l.runs, runKey{t, n})
	}
}

// Answered records the lists of runs in an answer of the executor to a poll. A run that the
// executor lists was not lost with an earlier incarnation, even if it was ordered of that one.
func (l *Log) Answered(now time.Time, x oleandervalve.Incarnation, lists oleandervalve.PollResult) {
	if x != l.executor {
		return
	}
	l.answeredAt, l.silentSince = now, time.Time{}
	for _, t := range lists.Running {
		k := runKey{t.Task, t.Run}
		r, ok := l.runs[k]
		if !ok {
			r.orderedAt = now
		}
		r.started = true
		l.runs[k] = r
	}
	for _, e := range lists.Ended {
		l.Forget(x, e.Task, e.Run)
	}
	l.withdraw(lists)
}

// withdraw removes the listed runs from the reports.
func (l *Log) withdraw(lists oleandervalve.PollResult) {
	if len(l.reports) == 0 {
		return
	}
	listed := make(map[runKey]bool, len(lists.Running)+len(lists.Ended))
	for _, t := range lists.Running {
		listed[runKey{t.Task, t.Run}] = true
	}
	for _, e := range lists.Ended {
		listed[runKey{e.Task, e.Run}] = true
	}
	isListed := func(x Run) bool { return listed[runKey{x.Task, x.Run}] }
	for i, r := range l.reports {
		if slices.ContainsFunc(r.Runs, isListed) {
			l.reports[i].Runs = slices.DeleteFunc(slices.Clone(r.Runs), isListed)
		}
	}
}

// Silent records that a call to the executor had no answer.
func (l *Log) Silent(now time.Time, x oleandervalve.Incarnation) {
	if x == l.executor && l.silentSince.IsZero() {
		l.silentSince = now
	}
}
