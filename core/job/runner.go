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
	// PlatformRenewInterval is the interval of renewals. It leaves five further
	// attempts before a platform lease expires.
	PlatformRenewInterval = 5 * time.Second
	// ReservationTTL is how long an agent keeps a reservation that is not used for
	// a start. It leaves time to read back the result of a commit whose answer is
	// lost.
	ReservationTTL = 30 * time.Second
	// reportInterval is the interval at which unacknowledged reports are repeated.
	reportInterval = 2 * time.Second
	// statusInterval is the interval of status reads when no run waits for one.
	statusInterval = 5 * time.Second
	// urgentStatusInterval is the interval of status reads while a run waits for one.
	urgentStatusInterval = time.Second
	// callRetryInterval is the interval at which calls to stop, checkpoint or store
	// are repeated.
	callRetryInterval = 2 * time.Second
	// maxCheckpointCalls limits the calls for a checkpoint that the platform does not
	// deliver; after that the run is stopped without one.
	maxCheckpointCalls = 3
	// fenceRetention is how long ended runs and released reservations are retained, so
	// that late messages about them are refused. No message is delayed that long,
	// since messages are dropped when their connection closes.
	fenceRetention = time.Hour
)

// Reasons given by a Runner.
const (
	ReasonNotReady      oleandervalve.Reason = "agentNotReady"
	ReasonNoLease       oleandervalve.Reason = "leaseExpired"
	ReasonStaleEpoch    oleandervalve.Reason = "staleEpoch"
	ReasonTaskPresent   oleandervalve.Reason = "taskPresent"
	ReasonNoCapacity    oleandervalve.Reason = "noCapacity"
	ReasonNoReservation oleandervalve.Reason = "noReservation"
	ReasonStartRefused  oleandervalve.Reason = "startRefused"
	ReasonPlatform      oleandervalve.Reason = "platformStopped"
	ReasonDraining      oleandervalve.Reason = "draining"
)

// Ledger tracks the reserved resources of the worker.
type Ledger interface {
	// Reserve allocates resources to a run and returns true, unless they exceed the
	// free capacity.
	Reserve(r Run, size oleandervalve.Resources) bool
	// Adopt allocates resources to a run that is already running.
	Adopt(r Run, size oleandervalve.Resources)
	// Release frees the resources of a run; it is idempotent.
	Release(r Run)
}

// phase is the stage of a run at its agent.
type phase int

const (
	phaseReserved phase = iota
	phaseStarting
	phaseUncertain // the start call may have had an effect; the next status read shows whether it had
	phaseRunning
	phaseCheckpointing
	phaseStopping
	phaseConfirming // stopped; the next status read shows whether the run had finished before
	phaseStoring
	phaseEnded
)

// runState is the state of a run at its agent.
type runState struct {
	spec        oleandervalve.TaskSpec
	reservation oleandervalve.MutationID
	phase       phase
	// phaseSince is when the phase was entered; a status that was requested earlier
	// does not apply to it.
	phaseSince time.Time
	// calledAt is when the platform or the object store was last called in this phase.
	calledAt     time.Time
	callInFlight bool
	// calls is the number of calls made in this phase.
	calls int
	// started is false only if it is proven that the run never started.
	started bool
	// stopRequested is set once the run must end, and checkpointRequested if a
	// checkpoint is to be taken before.
	stopRequested       bool
	checkpointRequested bool
	checkpointTaken     bool
	// reason is why the run ends.
	reason       oleandervalve.Reason
	progress     float64
	report       Report
	reportedAt   time.Time
	acknowledged bool // an entry has recorded that the run is running
}

// Runner manages the runs of one worker and decides which platform calls to make.
type Runner struct {
	worker      oleandervalve.WorkerID
	incarnation Incarnation
	lease       *lease.WorkerLease
	ledger      Ledger
	// term is the lease term at the last check; another term means that the lease
	// has expired since.
	term uint64
	// ready means that the first platform status has been handled.
	ready bool
	runs  map[Run]*runState
	// fencedEpochs holds the highest epoch of each task that must not start again here.
	fencedEpochs map[oleandervalve.TaskID]fencedEpoch
	// releasedReservations holds reservations that were dropped and must not be
	// granted again.
	releasedReservations map[oleandervalve.MutationID]time.Time
	nextRenewal          time.Time
	lastStatusAt         time.Time
	statusInFlight       bool
	nextPurge            time.Time
	// statusUrgent means that a run waits for the platform's status.
	statusUrgent bool
	draining     bool
}

// fencedEpoch is an epoch that must not start again and the time of its last fencing.
type fencedEpoch struct {
	epoch oleandervalve.Epoch
	at    time.Time
}

// NewRunner returns the runner of a newly started agent. It grants no reservation
// until the first platform status shows what is running on the worker.
func NewRunner(w oleandervalve.WorkerID, i Incarnation, l *lease.WorkerLease, resources Ledger) *Runner {
	return &Runner{
		worker: w, incarnation: i, lease: l, ledger: resources,
		runs: map[Run]*runState{}, fencedEpochs: map[oleandervalve.TaskID]fencedEpoch{},
		releasedReservations: map[oleandervalve.MutationID]time.Time{}, statusUrgent: true,
	}
}

// Reserve handles an entry's request for resources.
func (r *Runner) Reserve(now time.Time, m Reserve) []Action {
	list := r.checkLease(now)
	a := Reserved{Worker: r.worker, Run: m.Run, ID: m.ID, Incarnation: r.incarnation}
	a.Reason = r.reserve(now, m)
	a.Granted = a.Reason == ""
	return append(list, a)
}

// reserve allocates the requested resources. It returns "" if they are reserved, and
// otherwise the reason for the refusal.
func (r *Runner) reserve(now time.Time, m Reserve) oleandervalve.Reason {
	if !r.ready {
		return ReasonNotReady
	}
	if !r.lease.Valid(now) {
		return ReasonNoLease
	}
	if r.draining {
		return ReasonDraining
	}
	if st := r.runs[m.Run]; st != nil && st.phase == phaseReserved && st.reservation == m.ID {
		return "" // a repeated request
	}
	if _, ok := r.releasedReservations[m.ID]; ok || m.Run.Epoch <= r.fencedEpochs[m.Run.Task].epoch {
		return ReasonStaleEpoch
	}
	for other, st := range r.runs {
		if other.Task == m.Run.Task && st.phase != phaseEnded {
			return ReasonTaskPresent
		}
	}
	if !r.ledger.Reserve(m.Run, m.Size) {
		return ReasonNoCapacity
	}
	r.runs[m.Run] = &runState{reservation: m.ID, phase: phaseReserved, phaseSince: now}
	return ""
}

// Release drops a reservation, unless it has already been used for a start.
func (r *Runner) Release(now time.Time, m Release) []Action {
	list := r.checkLease(now)
	r.releasedReservations[m.ID] = now
	if st := r.runs[m.Run]; st != nil && st.phase == phaseReserved && st.reservation == m.ID {
		r.ledger.Release(m.Run)
		delete(r.runs, m.Run)
	}
	return list
}

// Start starts a run if its reservation is still held, and otherwise reports the
// state of the run.
func (r *Runner) Start(now time.Time, m Start) []Action {
	list := r.checkLease(now)
	run := Run{Task: m.Spec.Task, Epoch: m.Spec.Epoch}
	if st := r.runs[run]; st != nil && st.reservationExpired(now) {
		r.dropReservation(now, run, st)
	}
	st := r.runs[run]
	switch {
	case !r.ready:
		return list // the entry repeats the request until the agent is ready
	case st != nil && st.phase == phaseReserved && st.reservation == m.ID && m.Incarnation == r.incarnation:
		return append(list, r.start(now, run, st, m.Spec)...)
	case st != nil && st.phase == phaseReserved && m.Incarnation == r.incarnation:
		// The reservation belongs to another attempt to assign this epoch. That
		// attempt can't have been committed, because this one was, so its resources
		// can be freed.
		r.dropReservation(now, run, st)
		fallthrough
	case st == nil && m.Incarnation == r.incarnation && run.Epoch > r.fencedEpochs[run.Task].epoch:
		// This process granted the reservation and dropped it unused, so the run has
		// never started. Fencing the epoch keeps it from starting later.
		st = &runState{spec: m.Spec, reason: ReasonNoReservation}
		r.runs[run] = st
		r.fenceEpoch(now, run)
		return append(list, r.endRun(now, run, st, StatusStopped)...)
	}
	return append(list, r.query(now, run)...)
}

// start starts a run under its reservation, unless the lease has expired.
func (r *Runner) start(now time.Time, run Run, st *runState, spec oleandervalve.TaskSpec) []Action {
	st.spec = spec
	r.fenceEpoch(now, run)
	if !r.lease.Valid(now) {
		st.reason = ReasonNoLease
		return r.endRun(now, run, st, StatusStopped)
	}
	notAfter := st.phaseSince.Add(ReservationTTL)
	if d := r.lease.Deadline(); d.Before(notAfter) {
		notAfter = d
	}
	r.enterPhase(now, st, phaseStarting)
	st.callInFlight = true
	return []Action{PlatformStart{Spec: spec, Lease: r.platformLease(now), NotAfter: notAfter}}
}

// StartPermitted reports whether a start call may still be sent. The process checks it
// right before it sends the call, which may have been delayed.
func (r *Runner) StartPermitted(now time.Time, c PlatformStart) bool {
	st := r.runs[Run{Task: c.Spec.Task, Epoch: c.Spec.Epoch}]
	return st != nil && st.phase == phaseStarting && !st.stopRequested && now.Before(c.NotAfter)
}

// platformLease returns the length of a platform lease that ends no later than
// the worker's lease, so that no task is still running when it may be taken over.
func (r *Runner) platformLease(now time.Time) time.Duration {
	return min(PlatformLease, r.lease.Deadline().Sub(now))
}

// Stop stops a run, with a checkpoint if requested, and reports it once the
// platform has confirmed the stop.
func (r *Runner) Stop(now time.Time, m Stop) []Action {
	list := r.checkLease(now)
	st := r.runs[m.Run]
	if st == nil || !r.ready {
		return append(list, r.query(now, m.Run)...)
	}
	if st.phase == phaseEnded {
		return append(list, r.sendReport(now, st))
	}
	if st.phase == phaseReserved {
		r.fenceEpoch(now, m.Run)
		st.reason = m.Reason
		return append(list, r.endRun(now, m.Run, st, StatusStopped)...)
	}
	if !st.stopRequested {
		st.reason = m.Reason
	}
	st.stopRequested = true
	if m.Checkpoint && st.phase < phaseCheckpointing {
		st.checkpointRequested = true
	}
	return append(list, r.proceed(now, m.Run, st)...)
}

// Query reports the state of a run. A run that is unknown to this process is
// first stopped at the platform, so that the reported state is final.
func (r *Runner) Query(now time.Time, m Query) []Action {
	return append(r.checkLease(now), r.query(now, m.Run)...)
}

// query returns the report of a run or, if the run is unknown to this process, the call
// that stops it. It returns nothing while the run is changing.
func (r *Runner) query(now time.Time, run Run) []Action {
	if !r.ready {
		return nil
	}
	st := r.runs[run]
	switch {
	case st == nil && run.Epoch <= r.fencedEpochs[run.Task].epoch:
		// The end of the run has been acknowledged, so the task's row has the details.
		return []Action{Report{Worker: r.worker, Run: run, Status: StatusStopped, Started: true}}
	case st == nil:
		st = &runState{spec: oleandervalve.TaskSpec{Task: run.Task, Epoch: run.Epoch}, started: true, stopRequested: true, reason: ReasonPlatform}
		r.runs[run] = st
		r.fenceEpoch(now, run)
		r.enterPhase(now, st, phaseRunning)
		return r.proceed(now, run, st)
	case st.phase == phaseRunning || st.phase == phaseEnded:
		return []Action{r.sendReport(now, st)}
	}
	return nil // the run is changing and will be reported
}

// Throttle limits a run to a share of its processors. The request may safely be
// repeated or delayed, as the share is absolute and applies only to that run.
func (r *Runner) Throttle(now time.Time, m Throttle) []Action {
	list := r.checkLease(now)
	st := r.runs[m.Run]
	if st == nil || st.phase != phaseRunning || !r.lease.Valid(now) {
		return list
	}
	share := min(1, max(0, m.Share))
	return append(list, PlatformThrottle{Run: m.Run, Share: share, NotAfter: r.lease.Deadline()})
}

// Drain makes the runner refuse new reservations, in preparation for a planned
// stop. The shard owners evict the running tasks; the agent may exit once Idle
// returns true.
func (r *Runner) Drain() { r.draining = true }

// Idle reports whether the runner is ready and no run is reserved, running or
// waiting for an acknowledgement.
func (r *Runner) Idle() bool { return r.ready && len(r.runs) == 0 }

// Acknowledge handles an entry's confirmation that it has recorded a report,
// which is then no longer repeated.
func (r *Runner) Acknowledge(now time.Time, m Acknowledge) []Action {
	list := r.checkLease(now)
	st := r.runs[m.Run]
	switch {
	case st == nil:
	case st.phase == phaseEnded && st.report.Status == m.Status:
		r.fenceEpoch(now, m.Run)
		delete(r.runs, m.Run)
	case st.phase == phaseRunning && m.Status == StatusRunning:
		st.acknowledged = true
	}
	return list
}

// Reports returns the state of all runs for a newly connected entry.
func (r *Runner) Reports(now time.Time) []Action {
	var list []Action
	for _, run := range r.sortedRuns() {
		if st := r.runs[run]; st.phase == phaseRunning || st.phase == phaseEnded {
			list = append(list, r.sendReport(now, st))
		}
	}
	return list
}

// checkLease drops the reservations and stops the runs of an expired lease. The
// tasks may be running on other workers by now, even if the lease has been renewed
// since.
func (r *Runner) checkLease(now time.Time) []Action {
	t := r.lease.Term(now)
	if t == r.term {
		return nil
	}
	r.term = t
	var list []Action
	for _, run := range r.sortedRuns() {
		st := r.runs[run]
		switch {
		case st.phase == phaseReserved:
			r.dropReservation(now, run, st)
		case st.phase < phaseStopping:
			st.stopRequested, st.checkpointRequested, st.reason = true, false, ReasonNoLease
			list = append(list, r.proceed(now, run, st)...)
		}
	}
	return list
}

// reservationExpired reports whether the run is reserved and can no longer be started.
func (st *runState) reservationExpired(now time.Time) bool {
	return st.phase == phaseReserved && now.Sub(st.phaseSince) >= ReservationTTL
}

// dropReservation drops an unused reservation.
func (r *Runner) dropReservation(now time.Time, run Run, st *runState) {
	r.releasedReservations[st.reservation] = now
	r.ledger.Release(run)
	delete(r.runs, run)
}

// fenceEpoch keeps this and all earlier epochs of the task from being started.
func (r *Runner) fenceEpoch(now time.Time, run Run) {
	r.fencedEpochs[run.Task] = fencedEpoch{epoch: max(run.Epoch, r.fencedEpochs[run.Task].epoch), at: now}
}

// enterPhase moves a run to a phase and resets the state of the calls of the last one.
func (r *Runner) enterPhase(now time.Time, st *runState, p phase) {
	st.phase, st.phaseSince, st.calledAt, st.callInFlight, st.calls = p, now, time.Time{}, false, 0
}

// endRun releases the resources of a run and reports its final status.
func (r *Runner) endRun(now time.Time, run Run, st *runState, s Status) []Action {
	r.ledger.Release(run)
	r.enterPhase(now, st, phaseEnded)
	st.report = Report{Worker: r.worker, Run: run, Status: s, Started: st.started, Progress: st.progress, Reason: st.reason}
	if st.checkpointTaken {
		st.report.Checkpoint = run.CheckpointName()
	}
	return []Action{r.sendReport(now, st)}
}

func (r *Runner) sendReport(now time.Time, st *runState) Action {
	st.reportedAt = now
	return st.report
}

// sortedRuns returns the runs sorted by task and epoch.
func (r *Runner) sortedRuns() []Run {
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
