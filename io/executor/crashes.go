package executor

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/crash"
	"oleandervalve/io/peer"
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
		if r, ok := l.Replaced(now, next, planned); ok && !planned {
			a.logCrash(r)
		}
	})
}

// logCrash logs that the executor has crashed and which runs it had.
func (a *Agent) logCrash(r crash.Report) {
	a.options.Scope.Counter("executor_crashes").Inc(1)
	a.options.Log.WithFields(logrus.Fields{"executor": r.Executor.ID, "runs": len(r.Runs)}).Warn("executor crashed")
	for _, x := range r.Runs {
		a.options.Log.WithFields(logrus.Fields{
			"executor": r.Executor.ID, "job": x.Task.Job, "task": x.Task.String(), "run": x.Run,
			"started": x.Started, "minAgeMs": x.MinAge.Milliseconds(), "maxAgeMs": x.MaxAge.Milliseconds(),
		}).Info("run lost in a crash")
	}
}

// refusalsOfEnded is the number of consecutive refused connections after which an executor
// counts as ended: no process listens at its address, so nothing runs on it any more.
const refusalsOfEnded = 3

// isNotListening reports whether a call failed because no process listens at the address.
func isNotListening(err error) bool {
	var unavailable *oleandervalve.UnavailableError
	return errors.As(err, &unavailable) && unavailable.NotListening
}

// executorEnded tells the leader that the executor of the session has ended, as no process
// listens at its address. The session goes on until the executor announces itself again.
// executorEnded reports false if the executor has a new incarnation already, or may have one
// that has received a start order.
func (s *session) executorEnded() bool {
	m, ok := s.recordEnd()
	if ok {
		s.report(m)
	}
	return ok
}

// recordEnd records that the executor has ended, and returns the report for the leader. It has
// crashed unless it was leaving as planned.
func (s *session) recordEnd() (*peer.ExecutorTerminated, bool) {
	a := s.agent
	s.mu.Lock()
	starting := s.startsInFlight > 0
	s.mu.Unlock()
	if starting {
		return nil, false
	}
	a.mu.Lock()
	replaced := a.status.Incarnation != s.status.Incarnation
	planned := a.leavesAsPlanned()
	known := a.ended
	a.ended = !replaced
	a.mu.Unlock()
	if replaced {
		return nil, false
	}
	m := s.terminated()
	if !planned {
		a.crashes.update(func(l *crash.Log, now time.Time) {
			m.Lost = l.Crashed(now)
			if !known {
				a.logCrash(m.Lost)
			}
		})
	}
	s.log().WithField("planned", planned).Info("executor has ended: nothing listens at its address")
	return m, true
}

// watchIsolation tells the leader when a run has outlived its isolation. It does nothing
// if the isolation is zero.
func (s *session) watchIsolation(ctx context.Context, k runKey, isolation time.Duration) {
	if isolation <= 0 {
		return
	}
	go func() {
		select {
		case <-ctx.Done():
			return
		case <-s.agent.options.Clock.After(isolation):
		}
		s.reportOutlived(ctx, k)
	}()
}

// reportOutlived tells the leader that a run has outlived its isolation, if the executor still has
// it. Runs that were isolated together are asked for by one poll. If there is no answer, the
// executor may have crashed, which the next poll finds.
func (s *session) reportOutlived(ctx context.Context, k runKey) {
	s.mu.Lock()
	s.dueIsolations = append(s.dueIsolations, k)
	first := len(s.dueIsolations) == 1
	s.mu.Unlock()
	if !first {
		return
	}
	select {
	case <-ctx.Done():
		return
	case <-s.agent.options.Clock.After(outlivedDelay):
	}
	call, cancel := context.WithTimeout(ctx, initialOrderTimeout)
	defer cancel()
	s.mu.Lock()
	due := s.dueIsolations
	s.dueIsolations = nil
	request := oleandervalve.PollRequest{Token: s.token}
	s.mu.Unlock()
	result, err := s.agent.options.Executor.Poll(call, s.status.Incarnation.ID, request)
	if err != nil {
		s.log().WithFields(logrus.Fields{"job": k.task.Job, "task": k.task.String(), "run": k.run, "runs": len(due)}).WithError(err).Info("executor gives no answer after the isolation of a run")
		return
	}
	if result.StartedAt != 0 && result.StartedAt != s.status.Incarnation.StartedAt {
		return
	}
	s.agent.crashes.update(func(l *crash.Log, now time.Time) { l.Answered(now, s.status.Incarnation, result) })
	running := make(map[runKey]bool, len(result.Running))
	for _, r := range result.Running {
		running[runKey{r.Task, r.Run}] = true
	}
	for _, k := range due {
		if running[k] {
			s.conn.TrySend(&peer.RunOutlived{Task: k.task, Run: k.run})
		}
	}
}

// outlivedDelay is how long runs whose isolation has ended are collected before the executor is
// asked for them.
const outlivedDelay = 10 * time.Millisecond
