package quarantine

import (
	"time"

	"oleandervalve"
)

// Config sets the failure thresholds, and how long quarantine and back-off last.
type Config struct {
	// Window is how long a failure counts against a worker.
	Window time.Duration
	// MinFailedKinds is the number of kinds that must fail on a worker before it is considered faulty.
	MinFailedKinds int
	// MinRepeatedFailures is the number of failures on a worker, without a success
	// between, of kinds that succeed elsewhere. It detects a faulty worker when few
	// kinds are running.
	MinRepeatedFailures int
	// MaxShare is the largest fraction of workers quarantined at once.
	MaxShare float64
	// Cooldown is the time before the first probe; each failed probe doubles it.
	Cooldown time.Duration
	// MaxCooldown bounds the time between probes.
	MaxCooldown time.Duration
	// BackoffWorkers is the number of workers on which a job must fail before it backs off.
	BackoffWorkers int
	// ParkWorkers is the number of workers on which a job must fail before it is parked.
	ParkWorkers int
	// Backoff is the first delay before a job is tried again; it doubles with each failure.
	Backoff time.Duration
	// MaxBackoff bounds that delay.
	MaxBackoff time.Duration
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		Window: 10 * time.Minute, MinFailedKinds: 3, MinRepeatedFailures: 5, MaxShare: 0.10,
		Cooldown: 2 * time.Minute, MaxCooldown: time.Hour,
		BackoffWorkers: 3, ParkWorkers: 6, Backoff: 10 * time.Second, MaxBackoff: 10 * time.Minute,
	}
}

// failure is one failed task on a worker.
type failure struct {
	job  oleandervalve.JobID
	kind oleandervalve.KindName
	at   time.Time
}

// worker is the failure history and the quarantine state of a worker.
type worker struct {
	failures    []failure // since the last success
	quarantined bool
	probing     bool
	probeAt     time.Time
	cooldown    time.Duration
}

// kind counts the successes and failures of a kind on all workers; older ones
// count less.
type kind struct{ succeeded, failed float64 }

// job is the failure history of a job. A success resets all of it except parked.
type job struct {
	failedOn map[oleandervalve.WorkerID]bool
	backoffs int
	retryAt  time.Time
	parked   bool
}

// Tracker records the outcomes of tasks by worker, kind and job.
type Tracker struct {
	config      Config
	workers     map[oleandervalve.WorkerID]*worker
	kinds       map[oleandervalve.KindName]*kind
	jobs        map[oleandervalve.JobID]*job
	quarantined int
	fleetSize   int
}

// New returns a tracker without outcomes.
func New(c Config) *Tracker {
	return &Tracker{
		config: c, workers: map[oleandervalve.WorkerID]*worker{},
		kinds: map[oleandervalve.KindName]*kind{}, jobs: map[oleandervalve.JobID]*job{},
	}
}

// SetFleetSize sets the number of workers that MaxShare refers to.
func (t *Tracker) SetFleetSize(n int) { t.fleetSize = n }

// Verdict holds the consequences of one failure.
type Verdict struct {
	// Quarantine means that the worker has just been quarantined.
	Quarantine bool
	// Park means that the job has just been parked.
	Park bool
	// RetryAt is the time before which no task of the job may start; zero means at once.
	RetryAt time.Time
	// Kinds is the number of kinds that failed on the worker since its last success,
	// not counting jobs that also fail on other workers.
	Kinds int
	// Workers is the number of workers on which the job failed since its last success.
	Workers int
}

func (t *Tracker) worker(id oleandervalve.WorkerID) *worker {
	w := t.workers[id]
	if w == nil {
		w = &worker{}
		t.workers[id] = w
	}
	return w
}

func (t *Tracker) job(id oleandervalve.JobID) *job {
	j := t.jobs[id]
	if j == nil {
		j = &job{}
		t.jobs[id] = j
	}
	return j
}

// kind returns the counts of a kind. It halves them when they reach 256, so that
// recent outcomes count more.
func (t *Tracker) kind(k oleandervalve.KindName) *kind {
	e := t.kinds[k]
	if e == nil {
		e = &kind{}
		t.kinds[k] = e
	}
	if e.succeeded+e.failed >= 256 {
		e.succeeded /= 2
		e.failed /= 2
	}
	return e
}

// Succeeded records that a task finished successfully, and reports whether its
// worker leaves quarantine.
func (t *Tracker) Succeeded(id oleandervalve.WorkerID, k oleandervalve.KindName, j oleandervalve.JobID) bool {
	t.kind(k).succeeded++
	if e := t.jobs[j]; e != nil {
		e.failedOn, e.backoffs, e.retryAt = nil, 0, time.Time{}
	}
	w := t.workers[id]
	if w == nil {
		return false
	}
	w.failures = nil
	if !w.quarantined || !w.probing {
		return false
	}
	t.endQuarantine(w)
	w.cooldown = 0
	return true
}

func (t *Tracker) endQuarantine(w *worker) {
	w.quarantined, w.probing = false, false
	t.quarantined--
}

// Failed records that a task failed on a worker and returns the consequences.
func (t *Tracker) Failed(id oleandervalve.WorkerID, k oleandervalve.KindName, j oleandervalve.JobID, now time.Time) Verdict {
	w := t.worker(id)
	kd := t.kind(k)
	// Count each kind once per worker. A worker that fails the same kind every few
	// seconds otherwise makes the kind look broken and is never quarantined.
	if !w.failedKind(k) {
		kd.failed++
	}
	if w.quarantined {
		if w.probing {
			w.probing = false
			w.cooldown = min(w.cooldown*2, t.config.MaxCooldown)
			w.probeAt = now.Add(w.cooldown)
		}
		// The worker is already known to be faulty, so the failure doesn't count against the job.
		return Verdict{}
	}
	w.failures = append(w.failures, failure{j, k, now})
	for len(w.failures) > 0 && (now.Sub(w.failures[0].at) > t.config.Window || len(w.failures) > 16) {
		w.failures = w.failures[1:]
	}
	e := t.job(j)
	if e.failedOn == nil {
		e.failedOn = map[oleandervalve.WorkerID]bool{}
	}
	e.failedOn[id] = true

	v := Verdict{}
	v.Kinds, v.Quarantine = t.evaluateWorker(w)
	if v.Quarantine && float64(t.quarantined+1) > t.config.MaxShare*float64(max(t.fleetSize, 10)) {
		// Above the limit the cause is more likely common to the fleet (an image, a
		// network) than to single workers, and removing workers would add to the problem.
		v.Quarantine = false
	}
	if v.Quarantine {
		t.quarantine(id, w, now)
	} else {
		t.applyFailurePolicy(e, &v, now)
	}
	v.Workers = len(e.failedOn)
	return v
}

// failedKind reports whether a task of a kind has failed on the worker since its
// last success.
func (w *worker) failedKind(k oleandervalve.KindName) bool {
	for _, f := range w.failures {
		if f.kind == k {
			return true
		}
	}
	return false
}

// evaluateWorker counts the kinds that failed on the worker since its last
// success, ignoring jobs that also fail on other workers, and reports whether the
// worker is faulty.
func (t *Tracker) evaluateWorker(w *worker) (int, bool) {
	var seen []oleandervalve.KindName
	repeats := 0
	for _, f := range w.failures {
		k := t.kinds[f.kind]
		if e := t.jobs[f.job]; e != nil && (e.parked || len(e.failedOn) >= t.config.BackoffWorkers) {
			// This job fails on other workers as well.
			continue
		}
		if k.succeeded > k.failed {
			repeats++
		}
		known := false
		for _, s := range seen {
			known = known || s == f.kind
		}
		if !known {
			seen = append(seen, f.kind)
		}
	}
	return len(seen), len(seen) >= t.config.MinFailedKinds || repeats >= t.config.MinRepeatedFailures
}

// quarantine puts a worker into quarantine and withdraws its failures from the jobs.
func (t *Tracker) quarantine(id oleandervalve.WorkerID, w *worker, now time.Time) {
	t.quarantined++
	w.quarantined = true
	w.cooldown = max(w.cooldown, t.config.Cooldown)
	w.probeAt = now.Add(w.cooldown)
	// The worker caused these failures, so they no longer count against the jobs.
	for _, f := range w.failures {
		if e := t.jobs[f.job]; e != nil {
			delete(e.failedOn, id)
			if len(e.failedOn) < t.config.BackoffWorkers {
				e.backoffs, e.retryAt = 0, time.Time{}
			}
		}
	}
	w.failures = nil
}

// applyFailurePolicy backs off or parks a job that has failed on several workers.
func (t *Tracker) applyFailurePolicy(e *job, v *Verdict, now time.Time) {
	n := len(e.failedOn)
	if n < t.config.BackoffWorkers {
		return
	}
	if n >= t.config.ParkWorkers && !e.parked {
		e.parked, v.Park = true, true
		return
	}
	wait := t.config.Backoff << min(e.backoffs, 16)
	e.backoffs++
	e.retryAt = now.Add(min(wait, t.config.MaxBackoff))
	v.RetryAt = e.retryAt
}

// ProbeDue reports whether a probe task may be started on a quarantined worker.
func (t *Tracker) ProbeDue(id oleandervalve.WorkerID, now time.Time) bool {
	w := t.workers[id]
	return w != nil && w.quarantined && !w.probing && !now.Before(w.probeAt)
}

// ProbeStarted records that a probe task was placed on the worker.
func (t *Tracker) ProbeStarted(id oleandervalve.WorkerID) { t.worker(id).probing = true }

// ProbeAborted records that the probe task ended with neither success nor failure.
func (t *Tracker) ProbeAborted(id oleandervalve.WorkerID, now time.Time) {
	if w := t.workers[id]; w != nil && w.probing {
		w.probing = false
		w.probeAt = now.Add(w.cooldown)
	}
}

// Healthy reports whether no task has failed on the worker since its last success.
func (t *Tracker) Healthy(id oleandervalve.WorkerID) bool {
	w := t.workers[id]
	return w == nil || len(w.failures) == 0
}

// RemoveWorker discards a worker that has terminated.
func (t *Tracker) RemoveWorker(id oleandervalve.WorkerID) {
	if w := t.workers[id]; w != nil && w.quarantined {
		t.endQuarantine(w)
	}
	delete(t.workers, id)
}

// RemoveJob discards a job that has ended.
func (t *Tracker) RemoveJob(id oleandervalve.JobID) { delete(t.jobs, id) }

// Parked reports whether a job is parked, and on how many workers it has failed.
func (t *Tracker) Parked(id oleandervalve.JobID) (bool, int) {
	e := t.jobs[id]
	if e == nil {
		return false, 0
	}
	return e.parked, len(e.failedOn)
}

// Unpark lets a parked job be tried again.
func (t *Tracker) Unpark(id oleandervalve.JobID) { delete(t.jobs, id) }

// Status describes whether a worker is quarantined and when it is probed.
type Status struct {
	Quarantined bool      `json:"quarantined"`
	Probing     bool      `json:"probing"`
	ProbeAt     time.Time `json:"probeAt"`
	// Failures is the number of retained failures since the last success. Failures
	// older than Config.Window are discarded at the next failure.
	Failures int `json:"failures"`
}

// WorkerStatus returns the quarantine status of a worker.
func (t *Tracker) WorkerStatus(id oleandervalve.WorkerID) Status {
	w := t.workers[id]
	if w == nil {
		return Status{}
	}
	return Status{Quarantined: w.quarantined, Probing: w.probing, ProbeAt: w.probeAt, Failures: len(w.failures)}
}
