package executor

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/crash"
)

// crashLog is a crash.Log that several goroutines and sessions share.
type crashLog struct {
	mu    sync.Mutex
	clock oleandervalve.Clock
	log   *crash.Log
}

// newCrashLog returns an empty crashLog.
func newCrashLog(c oleandervalve.Clock) *crashLog { return &crashLog{clock: c, log: crash.NewLog()} }

// update calls change with the log, under the lock, and the present time.
func (c *crashLog) update(change func(l *crash.Log, now time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c.log, c.clock.Now())
}

// reports returns the reports for the leader.
func (c *crashLog) reports() []crash.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.log.Reports(c.clock.Now())
}

// executorReplaced records that the executor has a new incarnation, and logs which runs the
// one before had if it crashed.
func (a *Agent) executorReplaced(next oleandervalve.Incarnation, planned bool) {
	a.crashes.update(func(l *crash.Log, now time.Time) {
		r, ok := l.Replaced(now, next, planned)
		if !ok || planned {
			return
		}
		a.options.Scope.Counter("executor_crashes").Inc(1)
		a.options.Log.WithFields(logrus.Fields{"executor": r.Executor.ID, "next": next.ID, "runs": len(r.Runs)}).Warn("executor crashed")
		for _, x := range r.Runs {
			a.options.Log.WithFields(logrus.Fields{
				"executor": r.Executor.ID, "job": x.Task.Job, "task": x.Task.String(), "run": x.Run,
				"started": x.Started, "minAgeMs": x.MinAge.Milliseconds(), "maxAgeMs": x.MaxAge.Milliseconds(),
			}).Info("run lost in a crash")
		}
	})
}
