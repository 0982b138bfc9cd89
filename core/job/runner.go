package job

import (
	"sort"
	"time"

	"oleandervalve"
	"oleandervalve/core/lease"
)

const (
	// PlatformLease is how long a task runs at the platform without renewal.
	PlatformLease = 30 * time.Second
	// PlatformRenewEvery leaves five further tries before a platform lease lapses.
	PlatformRenewEvery = 5 * time.Second
	// ReservationLife is how long a reservation waits for its start. It covers a
	// commit whose answer is lost and read back.
	ReservationLife = 30 * time.Second
	// reportEvery is the interval of reports that are not acknowledged.
	reportEvery = 2 * time.Second
	// statusEvery is the interval of status reads when nothing waits for one.
	statusEvery = 5 * time.Second
	// statusSoon is the interval of status reads while a run waits for one.
	statusSoon = time.Second
	// stopEvery is the interval of repeated calls to stop, checkpoint or store.
	stopEvery = 2 * time.Second
	// checkpointTries bounds the wait for a checkpoint that the platform does not give.
	checkpointTries = 3
	// remember is how long ended runs and reservations are refused by name. No
	// message is delayed that long, since it ends with its connection.
	remember = time.Hour
)

// Reasons given by a Runner.
const (
	ReasonNotReady     oleandervalve.Reason = "agentNotReady"
	ReasonNoLease      oleandervalve.Reason = "leaseExpired"
	ReasonStaleEpoch   oleandervalve.Reason = "staleEpoch"
	ReasonTaskPresent  oleandervalve.Reason = "taskPresent"
	ReasonNoCapacity   oleandervalve.Reason = "noCapacity"
	ReasonNoGrant      oleandervalve.Reason = "noReservation"
	ReasonStartRefused oleandervalve.Reason = "startRefused"
	ReasonPlatform     oleandervalve.Reason = "platformStopped"
	ReasonDraining     oleandervalve.Reason = "draining"
)

// Ledger holds the reserved resources of the worker.
type Ledger interface {
	// Reserve takes resources for a run unless they exceed the free capacity.
	Reserve(r Run, size oleandervalve.Resources) bool
	// Adopt takes resources for a run that is running already.
	Adopt(r Run, size oleandervalve.Resources)
	// Release returns the resources of a run; it may be called again.
	Release(r Run)
}

// phase is the progress of a run at its agent.
type phase int

const (
	phaseReserved phase = iota
	phaseStarting
	phaseUncertain // the answer to the start was lost; the next status decides
	phaseRunning
	phaseCheckpointing
	phaseStopping
	phaseConfirming // stopped; the next status tells whether it had finished before
	phaseStoring
	phaseEnded
)

type activity struct {
	spec        oleandervalve.TaskSpec
	reservation oleandervalve.MutationID
	phase       phase
	// since is when the phase was entered; older status answers say nothing of it.
	since time.Time
	// calledAt is when the platform or store was last called for this phase.
	calledAt time.Time
	calling  bool
	tries    int
	started  bool
	// stop is set once the run must end.
	stop       bool
	checkpoint bool
	kept       bool
	reason     oleandervalve.Reason
	progress   float64
	report     Report
	reportedAt time.Time
	known      bool // the running state has been acknowledged
}

// Runner decides for one worker which platform calls to make.
type Runner struct {
	worker      oleandervalve.WorkerID
	incarnation Incarnation
	lease       *lease.Worker
	ledger      Ledger
	term        uint64
	adopted     bool
	runs        map[Run]*activity
	// ended holds the highest epoch of each task that must not start again here.
	ended map[oleandervalve.TaskID]mark
	// spent holds reservations that were given up.
	spent    map[oleandervalve.MutationID]time.Time
	renewAt  time.Time
	statusAt time.Time
	asked    bool
	purgeAt  time.Time
	urgent   bool
	draining bool
}

type mark struct {
	epoch oleandervalve.Epoch
	at    time.Time
}

// NewRunner returns the runner of a newly started agent. It grants nothing
// until the platform's status has told what runs on the worker.
func NewRunner(w oleandervalve.WorkerID, i Incarnation, l *lease.Worker, g Ledger) *Runner {
	return &Runner{
		worker: w, incarnation: i, lease: l, ledger: g,
		runs: map[Run]*activity{}, ended: map[oleandervalve.TaskID]mark{},
		spent: map[oleandervalve.MutationID]time.Time{}, urgent: true,
	}
}

// Reserve decides on an entry's request for resources.
func (r *Runner) Reserve(now time.Time, m Reserve) []Action {
	list := r.check(now)
	a := Reserved{Worker: r.worker, Run: m.Run, ID: m.ID, Incarnation: r.incarnation}
	a.Reason = r.reserve(now, m)
	a.Granted = a.Reason == ""
	return append(list, a)
}

func (r *Runner) reserve(now time.Time, m Reserve) oleandervalve.Reason {
	if !r.adopted {
		return ReasonNotReady
	}
	if !r.lease.Valid(now) {
		return ReasonNoLease
	}
	if r.draining {
		return ReasonDraining
	}
	if c := r.runs[m.Run]; c != nil && c.phase == phaseReserved && c.reservation == m.ID {
		return "" // a repeated request
	}
	if _, ok := r.spent[m.ID]; ok || m.Run.Epoch <= r.ended[m.Run.Task].epoch {
		return ReasonStaleEpoch
	}
	for o, c := range r.runs {
		if o.Task == m.Run.Task && c.phase != phaseEnded {
			return ReasonTaskPresent
		}
	}
	if !r.ledger.Reserve(m.Run, m.Size) {
		return ReasonNoCapacity
	}
	r.runs[m.Run] = &activity{reservation: m.ID, phase: phaseReserved, since: now}
	return ""
}

// Release gives up a reservation; one that has been used is left alone.
func (r *Runner) Release(now time.Time, m Release) []Action {
	list := r.check(now)
	r.spent[m.ID] = now
	if c := r.runs[m.Run]; c != nil && c.phase == phaseReserved && c.reservation == m.ID {
		r.ledger.Release(m.Run)
		delete(r.runs, m.Run)
	}
	return list
}

// Start starts a run whose reservation is held, and otherwise reports what
// became of it.
func (r *Runner) Start(now time.Time, m Start) []Action {
	list := r.check(now)
	run := Run{Task: m.Spec.Task, Epoch: m.Spec.Epoch}
	c := r.runs[run]
	switch {
	case !r.adopted:
		return list // asked again once the agent knows what runs
	case c != nil && c.phase == phaseReserved && c.reservation == m.ID && m.Incarnation == r.incarnation:
		return append(list, r.start(now, run, c, m.Spec)...)
	case c != nil && c.phase == phaseReserved && m.Incarnation == r.incarnation:
		// The reservation is of another attempt that can't have been committed, as
		// this one was; the resources are free for others.
		r.drop(now, run, c)
		fallthrough
	case c == nil && m.Incarnation == r.incarnation && run.Epoch > r.ended[run.Task].epoch:
		// This process granted the reservation and has given it up unused, so the
		// run has never started and the mark keeps it from starting later.
		c = &activity{spec: m.Spec, reason: ReasonNoGrant}
		r.runs[run] = c
		r.mark(now, run)
		return append(list, r.end(now, run, c, StatusStopped)...)
	}
	return append(list, r.query(now, run)...)
}

func (r *Runner) start(now time.Time, run Run, c *activity, spec oleandervalve.TaskSpec) []Action {
	c.spec = spec
	r.mark(now, run)
	if !r.lease.Valid(now) {
		c.reason = ReasonNoLease
		return r.end(now, run, c, StatusStopped)
	}
	r.enter(now, c, phaseStarting)
	c.calling = true
	return []Action{PlatformStart{Spec: spec, Lease: r.platformLease(now), NotAfter: r.lease.Deadline()}}
}

// platformLease returns the length of a platform lease that ends no later than
// the worker's lease, so that nothing runs past the time when others may take over.
func (r *Runner) platformLease(now time.Time) time.Duration {
	return min(PlatformLease, r.lease.Deadline().Sub(now))
}

// Stop ends a run, with a checkpoint if asked, and reports it when confirmed.
func (r *Runner) Stop(now time.Time, m Stop) []Action {
	list := r.check(now)
	c := r.runs[m.Run]
	if c == nil || !r.adopted {
		return append(list, r.query(now, m.Run)...)
	}
	if c.phase == phaseEnded {
		return append(list, r.send(now, c))
	}
	if c.phase == phaseReserved {
		r.mark(now, m.Run)
		c.reason = m.Reason
		return append(list, r.end(now, m.Run, c, StatusStopped)...)
	}
	if !c.stop {
		c.reason = m.Reason
	}
	c.stop = true
	if m.Checkpoint && c.phase < phaseCheckpointing {
		c.checkpoint = true
	}
	return append(list, r.proceed(now, m.Run, c)...)
}

// Query reports what became of a run. A run that this process does not know is
// stopped at the platform first, so that the report holds for good.
func (r *Runner) Query(now time.Time, m Query) []Action {
	return append(r.check(now), r.query(now, m.Run)...)
}

func (r *Runner) query(now time.Time, run Run) []Action {
	if !r.adopted {
		return nil
	}
	c := r.runs[run]
	switch {
	case c == nil && run.Epoch <= r.ended[run.Task].epoch:
		// Its end has been acknowledged: the row of the task tells the rest.
		return []Action{Report{Worker: r.worker, Run: run, Status: StatusStopped, Started: true}}
	case c == nil:
		c = &activity{spec: oleandervalve.TaskSpec{Task: run.Task, Epoch: run.Epoch}, started: true, stop: true, reason: ReasonPlatform}
		r.runs[run] = c
		r.mark(now, run)
		r.enter(now, c, phaseRunning)
		return r.proceed(now, run, c)
	case c.phase == phaseRunning || c.phase == phaseEnded:
		return []Action{r.send(now, c)}
	}
	return nil // the run is changing and will be reported
}

// Throttle limits a run to a share of its processors. A repeated or delayed
// request does no harm, as the share is absolute and names the run.
func (r *Runner) Throttle(now time.Time, m Throttle) []Action {
	list := r.check(now)
	c := r.runs[m.Run]
	if c == nil || c.phase != phaseRunning || !r.lease.Valid(now) {
		return list
	}
	share := min(1, max(0, m.Share))
	return append(list, PlatformThrottle{Run: m.Run, Share: share, NotAfter: r.lease.Deadline()})
}

// Drain refuses new reservations from now on, before a planned stop. The owners
// of the shards evict what runs; Idle tells when the agent may exit.
func (r *Runner) Drain() { r.draining = true }

// Idle reports whether nothing runs, is reserved or waits for an acknowledgement.
func (r *Runner) Idle() bool { return r.adopted && len(r.runs) == 0 }

// Acknowledge forgets a report that an entry has recorded.
func (r *Runner) Acknowledge(now time.Time, m Acknowledge) []Action {
	list := r.check(now)
	c := r.runs[m.Run]
	switch {
	case c == nil:
	case c.phase == phaseEnded && c.report.Status == m.Status:
		r.mark(now, m.Run)
		delete(r.runs, m.Run)
	case c.phase == phaseRunning && m.Status == StatusRunning:
		c.known = true
	}
	return list
}

// Reports returns the state of all runs for a newly connected entry.
func (r *Runner) Reports(now time.Time) []Action {
	var list []Action
	for _, run := range r.order() {
		if c := r.runs[run]; c.phase == phaseRunning || c.phase == phaseEnded {
			list = append(list, r.send(now, c))
		}
	}
	return list
}

// check stops everything that was granted or started under a lapsed lease. The
// tasks may be running elsewhere by now, even if the lease is held again.
func (r *Runner) check(now time.Time) []Action {
	t := r.lease.Term(now)
	if t == r.term {
		return nil
	}
	r.term = t
	var list []Action
	for _, run := range r.order() {
		c := r.runs[run]
		switch {
		case c.phase == phaseReserved:
			r.drop(now, run, c)
		case c.phase < phaseStopping:
			c.stop, c.checkpoint, c.reason = true, false, ReasonNoLease
			list = append(list, r.proceed(now, run, c)...)
		}
	}
	return list
}

// drop gives up an unused reservation.
func (r *Runner) drop(now time.Time, run Run, c *activity) {
	r.spent[c.reservation] = now
	r.ledger.Release(run)
	delete(r.runs, run)
}

func (r *Runner) mark(now time.Time, run Run) {
	r.ended[run.Task] = mark{epoch: max(run.Epoch, r.ended[run.Task].epoch), at: now}
}

func (r *Runner) enter(now time.Time, c *activity, p phase) {
	c.phase, c.since, c.calledAt, c.calling, c.tries = p, now, time.Time{}, false, 0
}

func (r *Runner) end(now time.Time, run Run, c *activity, s Status) []Action {
	r.ledger.Release(run)
	r.enter(now, c, phaseEnded)
	c.report = Report{Worker: r.worker, Run: run, Status: s, Started: c.started, Progress: c.progress, Reason: c.reason}
	if c.kept {
		c.report.Checkpoint = run.CheckpointName()
	}
	return []Action{r.send(now, c)}
}

func (r *Runner) send(now time.Time, c *activity) Action {
	c.reportedAt = now
	return c.report
}

// order returns the runs in a fixed order.
func (r *Runner) order() []Run {
	list := make([]Run, 0, len(r.runs))
	for run := range r.runs {
		list = append(list, run)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Task != list[j].Task {
			return list[i].Task < list[j].Task
		}
		return list[i].Epoch < list[j].Epoch
	})
	return list
}
