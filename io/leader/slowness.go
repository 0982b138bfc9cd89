package leader

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"oleandervalve"
)

const (
	// slowThreshold is the duration from which on a commit, a scheduling pass, or the time for
	// which the leader's lock is held is logged.
	slowThreshold = 300 * time.Millisecond
	// slowLogInterval is the minimum time between two such log lines of one kind.
	slowLogInterval = time.Second
)

// slowness measures what makes the leader's answers late.
type slowness struct {
	clock  oleandervalve.Clock
	log    *logrus.Entry
	passes map[string]tally.Histogram
	// held and waited are of the leader's lock.
	held, waited tally.Histogram
	// loggedAt holds, by kind, when something was last logged, in nanoseconds.
	loggedAt map[string]*atomic.Int64
}

func newSlowness(o Options) slowness {
	histogram := func(name, kind string) tally.Histogram {
		return o.Scope.Tagged(map[string]string{"kind": kind}).Histogram(name, durationBuckets)
	}
	return slowness{
		clock: o.Clock, log: o.Log,
		passes: map[string]tally.Histogram{"tick": histogram("pass_time", "tick"), "schedule": histogram("pass_time", "schedule")},
		held:   histogram("lock_time", "held"), waited: histogram("lock_time", "waited"),
		loggedAt: map[string]*atomic.Int64{"tick": {}, "schedule": {}, "lock": {}, "commit": {}},
	}
}

// due reports whether an event of a kind that took d is to be logged.
func (s slowness) due(kind string, now time.Time, d time.Duration) bool {
	if d < slowThreshold {
		return false
	}
	last := s.loggedAt[kind].Load()
	return now.UnixNano()-last >= int64(slowLogInterval) && s.loggedAt[kind].CompareAndSwap(last, now.UnixNano())
}

// passEnded records a pass of the dispatcher that began at the given time.
func (s slowness) passEnded(kind string, began time.Time) {
	now := s.clock.Now()
	took := now.Sub(began)
	s.passes[kind].RecordDuration(took)
	if s.due(kind, now, took) {
		s.log.WithFields(logrus.Fields{"kind": kind, "tookMs": took.Milliseconds()}).Warn("pass of the dispatcher is slow")
	}
}

// commitEnded logs a commit that was applied late.
func (s slowness) commitEnded(began time.Time, attempts int, t oleandervalve.Transaction) {
	now := s.clock.Now()
	took := now.Sub(began)
	if !s.due("commit", now, took) {
		return
	}
	size := 0
	for _, p := range t.Puts {
		size += len(p.Value)
	}
	s.log.WithFields(logrus.Fields{"tookMs": took.Milliseconds(), "attempts": attempts, "rows": len(t.Puts), "bytes": size}).Warn("commit is slow")
}

// lockReleased records a use of the leader's lock.
func (s slowness) lockReleased(waited, held time.Duration) {
	s.waited.RecordDuration(waited)
	s.held.RecordDuration(held)
	if s.due("lock", s.clock.Now(), max(waited, held)) {
		s.log.WithFields(logrus.Fields{"waitedMs": waited.Milliseconds(), "heldMs": held.Milliseconds()}).Warn("lock of the leader is slow")
	}
}

// timedMutex is a mutex that reports how long it was waited for and held.
type timedMutex struct {
	mu     sync.Mutex
	clock  oleandervalve.Clock
	report func(waited, held time.Duration)
	// waited and lockedAt are of the present holder.
	waited   time.Duration
	lockedAt time.Time
}

// Lock locks the mutex.
func (m *timedMutex) Lock() {
	if m.report == nil {
		m.mu.Lock()
		return
	}
	began := m.clock.Now()
	m.mu.Lock()
	m.lockedAt = m.clock.Now()
	m.waited = m.lockedAt.Sub(began)
}

// Unlock unlocks the mutex and reports its use.
func (m *timedMutex) Unlock() {
	if m.report == nil {
		m.mu.Unlock()
		return
	}
	waited, held := m.waited, m.clock.Now().Sub(m.lockedAt)
	m.mu.Unlock()
	m.report(waited, held)
}
