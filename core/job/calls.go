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
	c := r.runs[run]
	if c == nil || c.phase != phaseStarting {
		return list
	}
	switch o {
	case CallNoEffect:
		c.reason = ReasonStartRefused
		return append(list, r.endRun(now, run, c, StatusStopped)...)
	case CallUnknown:
		c.started = true
		r.enterPhase(now, c, phaseUncertain)
	default:
		list = append(list, r.reportRunning(now, run, c))
	}
	return append(list, r.proceed(now, run, c)...)
}

// StopDone handles the result of a PlatformStop.
func (r *Runner) StopDone(now time.Time, run Run, o Outcome) []Action {
	list := r.checkLease(now)
	c := r.runs[run]
	if c == nil || c.phase != phaseStopping {
		return list
	}
	c.callInFlight = false
	if o == CallDone {
		r.ledger.Release(run)
		r.enterPhase(now, c, phaseConfirming)
	}
	return append(list, r.proceed(now, run, c)...)
}

// CheckpointDone handles the result of a PlatformCheckpoint.
func (r *Runner) CheckpointDone(now time.Time, run Run, o Outcome) []Action {
	list := r.checkLease(now)
	c := r.runs[run]
	if c == nil || c.phase != phaseCheckpointing {
		return list
	}
	c.callInFlight = false
	if o == CallDone {
		c.checkpointTaken = true
		r.enterPhase(now, c, phaseStopping)
	}
	return append(list, r.proceed(now, run, c)...)
}

// StoreDone handles the result of a StoreCheckpoint.
func (r *Runner) StoreDone(now time.Time, run Run, o Outcome) []Action {
	list := r.checkLease(now)
	c := r.runs[run]
	if c == nil || c.phase != phaseStoring {
		return list
	}
	c.callInFlight = false
	if o == CallDone {
		return append(list, r.endRun(now, run, c, StatusStopped)...)
	}
	return append(list, r.proceed(now, run, c)...)
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
		c := r.runs[run]
		switch {
		case c == nil && run.Epoch > r.fencedEpochs[run.Task].epoch:
			list = append(list, r.adopt(now, run, t)...)
		case c == nil && t.State == oleandervalve.PlatformRunning:
			// The end of this run has been acknowledged, so it must not run. A delayed
			// start call has reached the platform since.
			list = append(list, PlatformStop{Run: run})
		case c != nil && requestedAt.After(c.phaseSince):
			c.progress = max(c.progress, t.Progress)
			c.report.Progress = c.progress
			list = append(list, r.reconcilePlatformState(now, run, c, t.State, t.Reason)...)
		}
	}
	for _, run := range r.sortedRuns() {
		if c := r.runs[run]; !listed[run] && requestedAt.After(c.phaseSince) {
			list = append(list, r.reconcilePlatformState(now, run, c, oleandervalve.PlatformStopped, "")...)
		}
	}
	r.ready = true
	return list
}

func (r *Runner) adopt(now time.Time, run Run, t oleandervalve.PlatformTask) []Action {
	c := &runState{spec: t.Spec, started: true, progress: t.Progress}
	r.runs[run] = c
	r.fenceEpoch(now, run)
	if t.State == oleandervalve.PlatformRunning {
		r.ledger.Adopt(run, t.Spec.Size)
		return []Action{r.reportRunning(now, run, c)}
	}
	r.enterPhase(now, c, phaseRunning)
	return r.reconcilePlatformState(now, run, c, t.State, t.Reason)
}

// reconcilePlatformState applies the platform's state of a run. The status must
// have been requested after the run entered its current phase.
func (r *Runner) reconcilePlatformState(now time.Time, run Run, c *runState, s oleandervalve.PlatformTaskState, why string) []Action {
	switch c.phase {
	case phaseUncertain, phaseRunning, phaseCheckpointing, phaseConfirming:
	default:
		return nil
	}
	switch s {
	case oleandervalve.PlatformFinished, oleandervalve.PlatformFailed:
		status := StatusFinished
		if s == oleandervalve.PlatformFailed {
			status, c.reason = StatusFailed, oleandervalve.Reason(why)
		}
		c.checkpointTaken = false // the checkpoint of a run that has ended is not needed
		return r.endRun(now, run, c, status)
	case oleandervalve.PlatformRunning:
		switch c.phase {
		case phaseUncertain:
			return append([]Action{r.reportRunning(now, run, c)}, r.proceed(now, run, c)...)
		case phaseConfirming:
			r.enterPhase(now, c, phaseStopping)
			return r.proceed(now, run, c)
		}
		return nil
	}
	if c.phase == phaseConfirming {
		if c.checkpointTaken {
			r.enterPhase(now, c, phaseStoring)
			return r.proceed(now, run, c)
		}
		return r.endRun(now, run, c, StatusStopped)
	}
	// The platform does not run the task. Stop it by name anyway, so that the
	// platform refuses a start call that is still in flight.
	c.stopRequested, c.checkpointRequested, c.checkpointTaken = true, false, false
	if c.reason == "" {
		c.reason = ReasonPlatform
	}
	r.enterPhase(now, c, phaseStopping)
	return r.proceed(now, run, c)
}

func (r *Runner) reportRunning(now time.Time, run Run, c *runState) Action {
	c.started = true
	r.enterPhase(now, c, phaseRunning)
	c.report = Report{Worker: r.worker, Run: run, Status: StatusRunning, Started: true, Progress: c.progress}
	return r.sendReport(now, c)
}

// proceed advances a run that has to be stopped and returns its next call to the
// platform or the object store, unless a call is in flight or was made less than
// callRetryInterval ago.
func (r *Runner) proceed(now time.Time, run Run, c *runState) []Action {
	if c.stopRequested && (c.phase == phaseUncertain || c.phase == phaseRunning) {
		if c.checkpointRequested && c.phase == phaseRunning && r.lease.Valid(now) {
			r.enterPhase(now, c, phaseCheckpointing)
		} else {
			r.enterPhase(now, c, phaseStopping)
		}
	}
	if c.phase == phaseCheckpointing && (!c.checkpointRequested || !c.callInFlight && c.calls >= maxCheckpointCalls) {
		r.enterPhase(now, c, phaseStopping)
	}
	if c.phase == phaseStoring && c.calls >= maxStoreCalls && !c.callInFlight {
		c.checkpointTaken = false
		return r.endRun(now, run, c, StatusStopped)
	}
	if c.phase == phaseUncertain || c.phase == phaseConfirming {
		r.statusUrgent = true
	}
	if c.callInFlight || !c.calledAt.IsZero() && now.Before(c.calledAt.Add(callRetryInterval)) {
		return nil
	}
	var a Action
	switch c.phase {
	case phaseCheckpointing:
		a = PlatformCheckpoint{Run: run}
	case phaseStopping:
		a = PlatformStop{Run: run}
	case phaseStoring:
		a = StoreCheckpoint{Run: run, Name: run.CheckpointName()}
	default:
		return nil
	}
	c.callInFlight, c.calledAt = true, now
	c.calls++
	return []Action{a}
}

// Tick drops expired reservations, repeats calls and reports, renews the platform
// leases and reads the platform's status.
func (r *Runner) Tick(now time.Time) []Action {
	list := r.checkLease(now)
	r.purge(now)
	var running []oleandervalve.TaskID
	for _, run := range r.sortedRuns() {
		c := r.runs[run]
		if c.phase == phaseReserved {
			if now.Sub(c.phaseSince) >= ReservationTTL {
				r.dropReservation(now, run, c)
			}
			continue
		}
		list = append(list, r.proceed(now, run, c)...)
		switch c.phase {
		case phaseRunning, phaseCheckpointing:
			running = append(running, run.Task)
		}
		repeat := c.phase == phaseEnded || c.phase == phaseRunning && !c.acknowledged
		if repeat && now.Sub(c.reportedAt) >= reportInterval {
			list = append(list, r.sendReport(now, c))
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
