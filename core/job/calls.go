package job

import (
	"time"

	"oleandervalve"
)

// maxStoreCalls limits the attempts to store a checkpoint to about five minutes,
// with one attempt per callRetryInterval. After that the task resumes from its
// previous checkpoint.
const maxStoreCalls = 150

// Outcome is the result of a call to the platform or the object store.
type Outcome int

const (
	// CallDone means that the call succeeded.
	CallDone Outcome = iota
	// CallNoEffect means that the call provably had no effect.
	CallNoEffect
	// CallUnknown means that the call may have had an effect.
	CallUnknown
)

// StartDone handles the result of a PlatformStart.
func (r *Runner) StartDone(now time.Time, run Run, o Outcome) []Action {
	list := r.checkLease(now)
	st := r.runs[run]
	if st == nil || st.phase != phaseStarting {
		return list
	}
	switch o {
	case CallNoEffect:
		st.reason = ReasonStartRefused
		return append(list, r.endRun(now, run, st, StatusStopped)...)
	case CallUnknown:
		st.started = true
		r.enterPhase(now, st, phaseUncertain)
	default:
		list = append(list, r.reportRunning(now, run, st))
	}
	return append(list, r.proceed(now, run, st)...)
}

// StopDone handles the result of a PlatformStop.
func (r *Runner) StopDone(now time.Time, run Run, o Outcome) []Action {
	list := r.checkLease(now)
	st := r.runs[run]
	if st == nil || st.phase != phaseStopping {
		return list
	}
	st.callInFlight = false
	if o == CallDone {
		r.ledger.Release(run)
		r.enterPhase(now, st, phaseConfirming)
	}
	return append(list, r.proceed(now, run, st)...)
}

// CheckpointDone handles the result of a PlatformCheckpoint.
func (r *Runner) CheckpointDone(now time.Time, run Run, o Outcome) []Action {
	list := r.checkLease(now)
	st := r.runs[run]
	if st == nil || st.phase != phaseCheckpointing {
		return list
	}
	st.callInFlight = false
	if o == CallDone {
		st.checkpointTaken = true
		r.enterPhase(now, st, phaseStopping)
	}
	return append(list, r.proceed(now, run, st)...)
}

// StoreDone handles the result of a StoreCheckpoint.
func (r *Runner) StoreDone(now time.Time, run Run, o Outcome) []Action {
	list := r.checkLease(now)
	st := r.runs[run]
	if st == nil || st.phase != phaseStoring {
		return list
	}
	st.callInFlight = false
	if o == CallDone {
		return append(list, r.endRun(now, run, st, StatusStopped)...)
	}
	return append(list, r.proceed(now, run, st)...)
}

// ObserveFailed handles the failure of a PlatformStatus.
func (r *Runner) ObserveFailed(now time.Time) []Action {
	r.statusInFlight = false
	return r.checkLease(now)
}

// Observed handles the platform's status of the worker, requested at the given
// time. The first status after the start of the agent adopts the running tasks.
func (r *Runner) Observed(now, requestedAt time.Time, s oleandervalve.WorkerStatus) []Action {
	list := r.checkLease(now)
	r.statusInFlight = false
	listed := map[Run]bool{}
	for _, t := range s.Tasks {
		run := Run{Task: t.Spec.Task, Epoch: t.Spec.Epoch}
		listed[run] = true
		st := r.runs[run]
		switch {
		case st == nil && run.Epoch > r.fencedEpochs[run.Task].epoch:
			list = append(list, r.adopt(now, run, t)...)
		case st == nil && t.State == oleandervalve.PlatformRunning:
			// The end of this run has been acknowledged, so it must not run. A delayed
			// start call has reached the platform since.
			list = append(list, PlatformStop{Run: run})
		case st != nil && requestedAt.After(st.phaseSince):
			st.progress = max(st.progress, t.Progress)
			st.report.Progress = st.progress
			list = append(list, r.reconcilePlatformState(now, run, st, t.State, t.Reason)...)
		}
	}
	for _, run := range r.sortedRuns() {
		if st := r.runs[run]; !listed[run] && requestedAt.After(st.phaseSince) {
			list = append(list, r.reconcilePlatformState(now, run, st, oleandervalve.PlatformStopped, "")...)
		}
	}
	r.ready = true
	return list
}

// adopt records a run that the platform lists and that was started by an earlier
// process of the agent.
func (r *Runner) adopt(now time.Time, run Run, t oleandervalve.PlatformTask) []Action {
	st := &runState{spec: t.Spec, started: true, progress: t.Progress}
	r.runs[run] = st
	r.fenceEpoch(now, run)
	if t.State == oleandervalve.PlatformRunning {
		r.ledger.Adopt(run, t.Spec.Size)
		return []Action{r.reportRunning(now, run, st)}
	}
	r.enterPhase(now, st, phaseRunning)
	return r.reconcilePlatformState(now, run, st, t.State, t.Reason)
}

// reconcilePlatformState applies the platform's state of a run. The status must
// have been requested after the run entered its current phase.
func (r *Runner) reconcilePlatformState(now time.Time, run Run, st *runState, s oleandervalve.PlatformTaskState, why string) []Action {
	switch st.phase {
	case phaseUncertain, phaseRunning, phaseCheckpointing, phaseConfirming:
	default:
		return nil
	}
	switch s {
	case oleandervalve.PlatformFinished, oleandervalve.PlatformFailed:
		status := StatusFinished
		if s == oleandervalve.PlatformFailed {
			status, st.reason = StatusFailed, oleandervalve.Reason(why)
		}
		st.checkpointTaken = false // the checkpoint of a run that has ended is not needed
		return r.endRun(now, run, st, status)
	case oleandervalve.PlatformRunning:
		switch st.phase {
		case phaseUncertain:
			return append([]Action{r.reportRunning(now, run, st)}, r.proceed(now, run, st)...)
		case phaseConfirming:
			r.enterPhase(now, st, phaseStopping)
			return r.proceed(now, run, st)
		}
		return nil
	}
	if st.phase == phaseConfirming {
		if st.checkpointTaken {
			r.enterPhase(now, st, phaseStoring)
			return r.proceed(now, run, st)
		}
		return r.endRun(now, run, st, StatusStopped)
	}
	// The platform does not run the task. Stop it by name anyway, so that the
	// platform refuses a start call that is still in flight.
	st.stopRequested, st.checkpointRequested, st.checkpointTaken = true, false, false
	if st.reason == "" {
		st.reason = ReasonPlatform
	}
	r.enterPhase(now, st, phaseStopping)
	return r.proceed(now, run, st)
}

// reportRunning records that a run is running and returns the report of it.
func (r *Runner) reportRunning(now time.Time, run Run, st *runState) Action {
	st.started = true
	r.enterPhase(now, st, phaseRunning)
	st.report = Report{Worker: r.worker, Run: run, Status: StatusRunning, Started: true, Progress: st.progress}
	return r.sendReport(now, st)
}

// proceed advances a run that has to be stopped and returns its next call to the
// platform or the object store, unless a call is in flight or was made less than
// callRetryInterval ago.
func (r *Runner) proceed(now time.Time, run Run, st *runState) []Action {
	if st.stopRequested && (st.phase == phaseUncertain || st.phase == phaseRunning) {
		if st.checkpointRequested && st.phase == phaseRunning && r.lease.Valid(now) {
			r.enterPhase(now, st, phaseCheckpointing)
		} else {
			r.enterPhase(now, st, phaseStopping)
		}
	}
	if st.phase == phaseCheckpointing && (!st.checkpointRequested || !st.callInFlight && st.calls >= maxCheckpointCalls) {
		r.enterPhase(now, st, phaseStopping)
	}
	if st.phase == phaseStoring && st.calls >= maxStoreCalls && !st.callInFlight {
		st.checkpointTaken = false
		return r.endRun(now, run, st, StatusStopped)
	}
	if st.phase == phaseUncertain || st.phase == phaseConfirming {
		r.statusUrgent = true
	}
	if st.callInFlight || !st.calledAt.IsZero() && now.Before(st.calledAt.Add(callRetryInterval)) {
		return nil
	}
	var a Action
	switch st.phase {
	case phaseCheckpointing:
		a = PlatformCheckpoint{Run: run}
	case phaseStopping:
		a = PlatformStop{Run: run}
	case phaseStoring:
		a = StoreCheckpoint{Run: run, Name: run.CheckpointName()}
	default:
		return nil
	}
	st.callInFlight, st.calledAt = true, now
	st.calls++
	return []Action{a}
}

// Tick drops expired reservations, repeats calls and reports, renews the platform
// leases and reads the platform's status.
func (r *Runner) Tick(now time.Time) []Action {
	list := r.checkLease(now)
	r.purge(now)
	var running []oleandervalve.TaskID
	for _, run := range r.sortedRuns() {
		st := r.runs[run]
		if st.reservationExpired(now) {
			r.dropReservation(now, run, st)
			continue
		}
		if st.phase == phaseReserved {
			continue
		}
		list = append(list, r.proceed(now, run, st)...)
		switch st.phase {
		case phaseRunning, phaseCheckpointing:
			running = append(running, run.Task)
		}
		repeat := st.phase == phaseEnded || st.phase == phaseRunning && !st.acknowledged
		if repeat && now.Sub(st.reportedAt) >= reportInterval {
			list = append(list, r.sendReport(now, st))
		}
	}
	if r.lease.Valid(now) && len(running) > 0 && !now.Before(r.nextRenewal) {
		r.nextRenewal = now.Add(PlatformRenewInterval)
		list = append(list, PlatformRenew{Tasks: running, Lease: r.platformLease(now), NotAfter: r.lease.Deadline()})
	}
	interval := statusInterval
	if r.statusUrgent {
		interval = urgentStatusInterval
	}
	if !r.statusInFlight && now.Sub(r.lastStatusAt) >= interval {
		r.statusInFlight, r.lastStatusAt, r.statusUrgent = true, now, false
		list = append(list, PlatformStatus{RequestedAt: now})
	}
	return list
}

// purge discards fenced epochs and released reservations that are older than
// fenceRetention.
func (r *Runner) purge(now time.Time) {
	if now.Before(r.nextPurge) {
		return
	}
	r.nextPurge = now.Add(fenceRetention / 4)
	for t, m := range r.fencedEpochs {
		if now.Sub(m.at) < fenceRetention {
			continue
		}
		present := false
		for run := range r.runs {
			present = present || run.Task == t
		}
		if !present {
			delete(r.fencedEpochs, t)
		}
	}
	for id, at := range r.releasedReservations {
		if now.Sub(at) >= fenceRetention {
			delete(r.releasedReservations, id)
		}
	}
}
