package crash

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
)

// Guards against reports that are too large for a message, after which the agent can't join any
// leader, and against the loss of the youngest runs, one of which has crashed the executor.
func TestReportsAreBounded(t *testing.T) {
	is := is.New(t)
	l := NewLog()
	now := time.Unix(1000, 0)
	const crashes, runs = 5, 2000
	for n := range crashes {
		x := oleandervalve.Incarnation{ID: "i-1", StartedAt: int64(n + 1)}
		l.Replaced(now, x, false)
		for i := range runs {
			now = now.Add(time.Millisecond)
			task := oleandervalve.TaskName{Job: "5c0e7a21d94b36f8", Index: i}
			l.StartOrdered(now, x, task, 1)
			l.StartConfirmed(now, x, task, 1)
		}
		is.True(len(l.Lost(now).Runs) <= maxReportedRuns)
	}
	r := l.Crashed(now)
	is.Equal(len(r.Runs), maxReportedRuns)
	is.Equal(r.Runs[len(r.Runs)-1].Task.Index, runs-1) // the youngest run
	total := 0
	reports := l.Reports(now)
	for _, r := range reports {
		total += len(r.Runs)
	}
	is.True(total <= maxReportedRuns)
	is.Equal(len(reports), crashes) // each crash is known, if not each run
	is.Equal(reports[len(reports)-1], r)
}
