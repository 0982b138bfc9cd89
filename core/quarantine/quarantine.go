package quarantine

import (
	"time"

	"oleandervalve"
)

// Config sets how much evidence is needed and how long the consequences last.
type Config struct {
	// Window is how long an outcome counts as evidence.
	Window time.Duration
	// Kinds is the number of kinds that must fail on a worker before it is at fault.
	Kinds int
	// Repeats is the number of failures in a row on a worker of kinds that
	// succeed elsewhere; it finds a faulty worker when few kinds are running.
	Repeats int
	// MaxShare is the largest share of workers quarantined at once.
	MaxShare float64
	// Cooldown is the time before the first probe; each failed probe doubles it.
	Cooldown time.Duration
	// MaxCooldown bounds the time between probes.
	MaxCooldown time.Duration
	// BackoffWorkers is the number of workers on which a job fails before it backs off.
	BackoffWorkers int
	// ParkWorkers is the number of workers on which a job fails before it is parked.
	ParkWorkers int
	// Backoff is the first waiting time of a job; it doubles with each failure.
	Backoff time.Duration
	// MaxBackoff bounds the waiting time of a job.
	MaxBackoff time.Duration
}

// DefaultConfig returns the settings that the measurements use.
func DefaultConfig() Config {
	return Config{
		Window: 10 * time.Minute, Kinds: 3, Repeats: 5, MaxShare: 0.10,
		Cooldown: 2 * time.Minute, MaxCooldown: time.Hour,
		BackoffWorkers: 3, ParkWorkers: 6, Backoff: 10 * time.Second, MaxBackoff: 10 * time.Minute,
	}
}

type failure struct {
	job  oleandervalve.JobID
	kind oleandervalve.KindName
	at   time.Time
}

type worker struct {
	failures    []failure // since the last success
	quarantined bool
	probing     bool
	probeAt     time.Time
	cooldown    time.Duration
}

type kind struct{ succeeded, failed float64 }

type job struct {
	failedOn map[oleandervalve.WorkerID]bool
	tries    int
	retryAt  time.Time
	parked   bool
}

// Tracker holds the outcomes of tasks by worker, kind and job.
type Tracker struct {
	config      Config
	workers     map[oleandervalve.WorkerID]*worker
	kinds       map[oleandervalve.KindName]*kind
	jobs        map[oleandervalve.JobID]*job
	quarantined int
	fleet       int
}

// New returns a tracker without outcomes.
func New(c Config) *Tracker {
	return &Tracker{
		config: c, workers: map[oleandervalve.WorkerID]*worker{},
		kinds: map[oleandervalve.KindName]*kind{}, jobs: map[oleandervalve.JobID]*job{},
	}
}

// SetFleet tells the number of workers that the share of quarantined workers refers to.
func (t *Tracker) SetFleet(n int) { t.fleet = n }

// Verdict is what follows from one failure.
type Verdict struct {
	// Quarantine means that the worker has just been quarantined.
	Quarantine bool
	// Park means that the job has just been parked.
	Park bool
	// RetryAt is the time before which no task of the job may start; zero means at once.
	RetryAt time.Time
	// Kinds is the number of kinds that failed on the worker without a success between.
	Kinds int
	// Workers is the number of workers on which the job failed without a success.
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

// Succeeded records that a task finished; it reports whether a probed worker returns to service.
func (t *Tracker) Succeeded(id oleandervalve.WorkerID, k oleandervalve.KindName, j oleandervalve.JobID) bool {
	t.kind(k).succeeded++
	if e := t.jobs[j]; e != nil {
		e.failedOn, e.tries, e.retryAt = nil, 0, time.Time{}
	}
	w := t.workers[id]
	if w == nil {
		return false
	}
	w.failures = nil
	if !w.quarantined || !w.probing {
		return false
	}
	t.release(w)
	w.cooldown = 0
	return true
}

func (t *Tracker) release(w *worker) {
	w.quarantined, w.probing = false, false
	t.quarantined--
}

// Failed records that a task failed on a worker and returns what follows.
func (t *Tracker) Failed(id oleandervalve.WorkerID, k oleandervalve.KindName, j oleandervalve.JobID, now time.Time) Verdict {
	w := t.worker(id)
	kd := t.kind(k)
	// One worker counts once per kind: one that fails the same kind every few
	// seconds otherwise made the kind look broken, and was never quarantined.
	if !w.failedKind(k) {
		kd.failed++
	}
	if w.quarantined {
		if w.probing {
			w.probing = false
			w.cooldown = min(w.cooldown*2, t.config.MaxCooldown)
			w.probeAt = now.Add(w.cooldown)
		}
		// The worker is known to be at fault; the job is not charged.
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
	v.Kinds, v.Quarantine = t.suspect(w)
	if v.Quarantine && float64(t.quarantined+1) > t.config.MaxShare*float64(max(t.fleet, 10)) {
		// Above the cap the cause is more likely common to the fleet (an image,
		// a network) than to its workers, and removing them would only add to it.
		v.Quarantine = false
	}
	if v.Quarantine {
		t.quarantine(id, w, now)
	} else {
		t.judge(e, &v, now)
	}
	v.Workers = len(e.failedOn)
	return v
}

func (w *worker) failedKind(k oleandervalve.KindName) bool {
	for _, f := range w.failures {
		if f.kind == k {
			return true
		}
	}
	return false
}

// suspect counts the kinds that failed on the worker since its last success,
// without those that fail everywhere, and says whether it is at fault.
func (t *Tracker) suspect(w *worker) (int, bool) {
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
	return len(seen), len(seen) >= t.config.Kinds || repeats >= t.config.Repeats
}

func (t *Tracker) quarantine(id oleandervalve.WorkerID, w *worker, now time.Time) {
	t.quarantined++
	w.quarantined = true
	w.cooldown = max(w.cooldown, t.config.Cooldown)
	w.probeAt = now.Add(w.cooldown)
	// The failures were the worker's; the jobs that met it are cleared.
	for _, f := range w.failures {
		if e := t.jobs[f.job]; e != nil {
			delete(e.failedOn, id)
			if len(e.failedOn) < t.config.BackoffWorkers {
				e.tries, e.retryAt = 0, time.Time{}
			}
		}
	}
	w.failures = nil
}

func (t *Tracker) judge(e *job, v *Verdict, now time.Time) {
	n := len(e.failedOn)
	if n < t.config.BackoffWorkers {
		return
	}
	if n >= t.config.ParkWorkers && !e.parked {
		e.parked, v.Park = true, true
		return
	}
	wait := t.config.Backoff << min(e.tries, 16)
	e.tries++
	e.retryAt = now.Add(min(wait, t.config.MaxBackoff))
	v.RetryAt = e.retryAt
}

// ProbeDue reports whether a quarantined worker may get one probe task.
func (t *Tracker) ProbeDue(id oleandervalve.WorkerID, now time.Time) bool {
	w := t.workers[id]
	return w != nil && w.quarantined && !w.probing && !now.Before(w.probeAt)
}

// Probe records that the worker has been given its probe task.
func (t *Tracker) Probe(id oleandervalve.WorkerID) { t.worker(id).probing = true }

// ProbeLost records that the probe task ended without an outcome of its own.
func (t *Tracker) ProbeLost(id oleandervalve.WorkerID, now time.Time) {
	if w := t.workers[id]; w != nil && w.probing {
		w.probing = false
		w.probeAt = now.Add(w.cooldown)
	}
}

// Proven reports whether nothing has failed on the worker since its last success.
func (t *Tracker) Proven(id oleandervalve.WorkerID) bool {
	w := t.workers[id]
	return w == nil || len(w.failures) == 0
}

// Forget drops a worker that is gone.
func (t *Tracker) Forget(id oleandervalve.WorkerID) {
	if w := t.workers[id]; w != nil && w.quarantined {
		t.release(w)
	}
	delete(t.workers, id)
}

// ForgetJob drops a job that has ended.
func (t *Tracker) ForgetJob(id oleandervalve.JobID) { delete(t.jobs, id) }

// Parked reports whether a job has been parked, and on how many workers it failed.
func (t *Tracker) Parked(id oleandervalve.JobID) (bool, int) {
	e := t.jobs[id]
	if e == nil {
		return false, 0
	}
	return e.parked, len(e.failedOn)
}

// Unpark lets a parked job be tried again.
func (t *Tracker) Unpark(id oleandervalve.JobID) { delete(t.jobs, id) }

// Standing is the explanation of a worker's record.
type Standing struct {
	Quarantined bool      `json:"quarantined"`
	Probing     bool      `json:"probing"`
	ProbeAt     time.Time `json:"probeAt"`
	// Failures counts the failures in the window since the last success.
	Failures int `json:"failures"`
}

// Explain returns the record of a worker.
func (t *Tracker) Explain(id oleandervalve.WorkerID) Standing {
	w := t.workers[id]
	if w == nil {
		return Standing{}
	}
	return Standing{Quarantined: w.quarantined, Probing: w.probing, ProbeAt: w.probeAt, Failures: len(w.failures)}
}
