package lease

import (
	"time"

	"oleandervalve"
)

const (
	// WorkerTTL is how long an agent may run tasks after its last renewal. It is
	// longer than a ten-minute outage of the table, so that tasks survive one.
	WorkerTTL = 11 * time.Minute
	// Guard is the extra time after a worker's lease before its tasks may be taken
	// over. It covers platform calls in flight at the deadline and clock drift.
	Guard = 30 * time.Second
	// SuspectAfter is the time without a heartbeat after which a worker gets no
	// new work.
	SuspectAfter = 3 * time.Second
)

// WorkerLease is the lease of a worker as its agent tracks it.
type WorkerLease struct {
	ttl      time.Duration
	deadline time.Time
	held     bool
	term     uint64
}

// NewWorkerLease returns a worker lease with the given duration that is not held yet.
func NewWorkerLease(ttl time.Duration) *WorkerLease { return &WorkerLease{ttl: ttl} }

// Renew extends the lease to its duration after sentAt, the time at which the
// agent sent the heartbeat. It must be called only after the entry has reported
// that the renewal is committed. Both times must be of the agent's oleandervalve.LeaseClock.
func (w *WorkerLease) Renew(now, sentAt time.Time) {
	// An expiry while the process was paused must be detected before the lease is
	// extended, because the tasks may have been taken over since.
	w.expire(now)
	d := sentAt.Add(w.ttl)
	if sentAt.After(now) || !now.Before(d) {
		return
	}
	if !w.held || d.After(w.deadline) {
		w.held, w.deadline = true, d
	}
}

// Valid reports whether the lease is held at time now. Callers must check it
// again before each side effect and after anything that may have paused the
// process.
func (w *WorkerLease) Valid(now time.Time) bool {
	w.expire(now)
	return w.held
}

// Deadline returns the time at which the lease expires, or the zero time if it
// is not held.
func (w *WorkerLease) Deadline() time.Time {
	if !w.held {
		return time.Time{}
	}
	return w.deadline
}

// Term returns how often the lease has expired so far. Tasks started in an
// earlier term must be stopped, even if the lease is held again.
func (w *WorkerLease) Term(now time.Time) uint64 {
	w.expire(now)
	return w.term
}

// expire ends the lease if its deadline has passed.
func (w *WorkerLease) expire(now time.Time) {
	if w.held && !now.Before(w.deadline) {
		w.held = false
		w.term++
	}
}

// FailureDetector tracks at an entry which workers have missed their heartbeats.
// A suspect worker gets no new work. Its tasks stay assigned to it until it is
// confirmed to have stopped or its lease has expired.
type FailureDetector struct {
	timeout       time.Duration
	lastHeartbeat map[oleandervalve.WorkerID]time.Time
}

// NewFailureDetector returns a detector that has not received any heartbeat.
func NewFailureDetector(timeout time.Duration) *FailureDetector {
	return &FailureDetector{timeout: timeout, lastHeartbeat: map[oleandervalve.WorkerID]time.Time{}}
}

// HeartbeatReceived records a heartbeat.
func (d *FailureDetector) HeartbeatReceived(now time.Time, w oleandervalve.WorkerID) {
	d.lastHeartbeat[w] = now
}

// IsSuspect reports whether no heartbeat of the worker has been received within
// the timeout.
func (d *FailureDetector) IsSuspect(now time.Time, w oleandervalve.WorkerID) bool {
	at, ok := d.lastHeartbeat[w]
	return !ok || oleandervalve.Elapsed(now, at) >= d.timeout
}

// Remove discards the state of a worker that is confirmed to be terminated.
func (d *FailureDetector) Remove(w oleandervalve.WorkerID) { delete(d.lastHeartbeat, w) }
