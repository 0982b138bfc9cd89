package lease

import (
	"time"

	"oleandervalve"
)

const (
	// WorkerLease is how long an agent may run tasks after its last renewal. It
	// is longer than a ten-minute outage of the table, so tasks survive one.
	WorkerLease = 11 * time.Minute
	// Guard is added to the lease before others take over. It covers calls to
	// the platform that were under way at the deadline and drift of clock rates.
	Guard = 30 * time.Second
	// SuspectAfter is the silence after which a worker gets no new work.
	SuspectAfter = 3 * time.Second
)

// Worker is the lease of a worker as its agent sees it.
type Worker struct {
	length   time.Duration
	deadline time.Time
	held     bool
	term     uint64
}

// NewWorker returns a lease of the given length that is not held yet.
func NewWorker(length time.Duration) *Worker { return &Worker{length: length} }

// Renew extends the lease to its length after the given heartbeat was sent,
// once the entry has reported that the renewal is committed. The times must
// carry the monotonic clock reading.
func (w *Worker) Renew(now, sentAt time.Time) {
	// A lapse during a pause must be noticed before the lease is extended: the
	// tasks may have been taken over in between.
	w.check(now)
	d := sentAt.Add(w.length)
	if sentAt.After(now) || !now.Before(d) {
		return
	}
	if !w.held || d.After(w.deadline) {
		w.held, w.deadline = true, d
	}
}

// Valid reports whether the lease is held; call it again after anything that
// may have paused the process and before each side effect.
func (w *Worker) Valid(now time.Time) bool {
	w.check(now)
	return w.held
}

// Deadline returns the time from which the lease is no longer valid, or the zero time.
func (w *Worker) Deadline() time.Time {
	if !w.held {
		return time.Time{}
	}
	return w.deadline
}

// Term counts the lapses of the lease so far. Whatever was started under an
// earlier term must be stopped, even if the lease is held again.
func (w *Worker) Term(now time.Time) uint64 {
	w.check(now)
	return w.term
}

func (w *Worker) check(now time.Time) {
	if w.held && !now.Before(w.deadline) {
		w.held = false
		w.term++
	}
}

// Suspicion tells which workers have been silent, at an entry. A suspect worker
// gets no new work; its tasks stay until it is confirmed stopped or expired.
type Suspicion struct {
	after time.Duration
	heard map[oleandervalve.WorkerID]time.Time
}

// NewSuspicion returns a view in which no worker has been heard of.
func NewSuspicion(after time.Duration) *Suspicion {
	return &Suspicion{after: after, heard: map[oleandervalve.WorkerID]time.Time{}}
}

// Heard records a heartbeat.
func (s *Suspicion) Heard(now time.Time, w oleandervalve.WorkerID) { s.heard[w] = now }

// Suspect reports whether a worker has not been heard of for the set time, or never.
func (s *Suspicion) Suspect(now time.Time, w oleandervalve.WorkerID) bool {
	at, ok := s.heard[w]
	return !ok || oleandervalve.Elapsed(now, at) >= s.after
}

// Forget drops a worker that is confirmed to be gone.
func (s *Suspicion) Forget(w oleandervalve.WorkerID) { delete(s.heard, w) }
