package crash

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
)

var (
	start  = time.Unix(1000, 0)
	first  = oleandervalve.Incarnation{ID: "i-1", StartedAt: 1}
	second = oleandervalve.Incarnation{ID: "i-2", StartedAt: 2}
)

func at(d time.Duration) time.Time { return start.Add(d) }

func name(index int) oleandervalve.TaskName { return oleandervalve.TaskName{Job: "j", Index: index} }

// Guards against crashes after which nobody knows which runs the executor had, which of
// them had begun, and how old they were.
func TestReportTellsWhatIsKnownOfEachRun(t *testing.T) {
	is := is.New(t)
	l := NewLog()
	_, ok := l.Replaced(start, first, false)
	is.True(!ok) // nothing came before the first incarnation
	l.Answered(start, first, oleandervalve.PollResult{Running: []oleandervalve.RunningTask{{Task: name(0), Run: 1}, {Task: name(1), Run: 1}}})
	l.StartOrdered(at(2*time.Second), first, name(2), 3)
	l.StartConfirmed(at(2010*time.Millisecond), first, name(2), 3)
	l.StartOrdered(at(2*time.Second), first, name(3), 1)
	l.StartOrdered(at(2*time.Second), first, name(4), 1)
	l.Forget(first, name(4), 1)
	l.Answered(at(2020*time.Millisecond), first, oleandervalve.PollResult{Ended: []oleandervalve.EndedTask{{Number: 1, Task: name(1), Run: 1}}})
	l.Silent(at(2100*time.Millisecond), first)
	l.Silent(at(3*time.Second), first)
	r, ok := l.Replaced(at(5*time.Second), second, false)
	is.True(ok)
	is.Equal(r, Report{Executor: first, Crashed: true, Runs: []Run{
		{Task: name(0), Run: 1, Started: true, MinAge: 2020 * time.Millisecond, MaxAge: 2100 * time.Millisecond},
		{Task: name(2), Run: 3, Started: true, MinAge: 20 * time.Millisecond, MaxAge: 100 * time.Millisecond},
		{Task: name(3), Run: 1, MaxAge: 100 * time.Millisecond},
	}})
	is.Equal(l.Reports(at(6*time.Second)), []Report{r})
	is.Equal(len(l.Reports(at(6*time.Second+reportRetention))), 0)
}

// Guards against late answers of an earlier incarnation that are taken for the present one,
// and against the end of an executor that left as planned being taken for a crash.
func TestReportsNameTheIncarnation(t *testing.T) {
	is := is.New(t)
	l := NewLog()
	l.Replaced(start, first, false)
	l.Replaced(start, second, false)
	l.StartOrdered(start, first, name(0), 1)
	l.Answered(start, first, oleandervalve.PollResult{Running: []oleandervalve.RunningTask{{Task: name(0), Run: 1}}})
	l.StartOrdered(start, second, name(1), 1)
	r, ok := l.Replaced(at(time.Second), oleandervalve.Incarnation{ID: "i-3", StartedAt: 3}, true)
	is.True(ok)
	is.Equal(r, Report{Executor: second})
}

// Guards against a list of reports that grows for as long as no leader is connected.
func TestReportsAreLimited(t *testing.T) {
	is := is.New(t)
	l := NewLog()
	for n := range 3 * maxReports {
		l.Replaced(start, oleandervalve.Incarnation{ID: "i", StartedAt: int64(n)}, false)
	}
	reports := l.Reports(start)
	is.Equal(len(reports), maxReports)
	is.Equal(reports[maxReports-1].Executor.StartedAt, int64(3*maxReports-2))
}

// Guards against a run that counts as lost with an incarnation although the next one has it: its
// start order had reached that one.
func TestRunOfNextIncarnationIsNotLost(t *testing.T) {
	for _, ended := range []bool{false, true} {
		is := is.New(t)
		l := NewLog()
		l.Replaced(start, first, false)
		for n := range 3 {
			l.StartOrdered(at(time.Duration(n)*time.Millisecond), first, name(n), 1)
		}
		l.StartConfirmed(at(5*time.Millisecond), first, name(0), 1)
		l.StartedLater(first, name(1), 1)
		r, _ := l.Replaced(at(time.Second), second, false)
		is.Equal(len(r.Runs), 3)
		is.Equal(r.Runs[1], Run{Task: name(1), Run: 1, Started: true, MinAge: 4 * time.Millisecond, MaxAge: 999 * time.Millisecond})
		lists := oleandervalve.PollResult{Running: []oleandervalve.RunningTask{{Task: name(1), Run: 1}}}
		if ended {
			lists = oleandervalve.PollResult{Ended: []oleandervalve.EndedTask{{Number: 1, Task: name(1), Run: 1}}}
		}
		l.Answered(at(2*time.Second), second, lists)
		reports := l.Reports(at(2 * time.Second))
		is.Equal(len(reports), 1)
		is.Equal(reports[0].Runs, []Run{r.Runs[0], r.Runs[2]})
	}
}
