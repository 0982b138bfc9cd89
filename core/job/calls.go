package job

import (
	"time"

	"oleandervalve"
)

// storeTries bounds the wait for the object store, about five minutes; after it
// the task resumes from its earlier checkpoint.
const storeTries = 150

// Outcome says what became of a call to the platform.
type Outcome int

const (
	// CallDone means that the call succeeded.
	CallDone Outcome = iota
	// CallNoEffect means that the call provably had no effect.
	CallNoEffect
	// CallUnknown means that the call may have had an effect.
	CallUnknown
)

// StartDone takes the result of a PlatformStart.
func (r *Runner) StartDone(now time.Time, run Run, o Outcome) []Action {
	list := r.check(now)
	c := r.runs[run]
	if c == nil || c.phase != phaseStarting {
		return list
	}
	switch o {
	case CallNoEffect:
		c.reason = ReasonStartRefused
		return append(list, r.end(now, run, c, StatusStopped)...)
	case CallUnknown:
		c.started = true
		r.enter(now, c, phaseUncertain)
	default:
		list = append(list, r.running(now, run, c))
	}
	return append(list, r.proceed(now, run, c)...)
}

// StopDone takes the result of a PlatformStop.
func (r *Runner) StopDone(now time.Time, run Run, o Outcome) []Action {
	list := r.check(now)
	c := r.runs[run]
	if c == nil || c.phase != phaseStopping {
		return list
	}
	c.calling = false
	if o == CallDone {
		r.ledger.Release(run)
		r.enter(now, c, phaseConfirming)
	}
	return append(list, r.proceed(now, run, c)...)
}

// CheckpointDone takes the result of a PlatformCheckpoint.
func (r *Runner) CheckpointDone(now time.Time, run Run, o Outcome) []Action {
	list := r.check(now)
	c := r.runs[run]
	if c == nil || c.phase != phaseCheckpointing {
		return list
	}
	c.calling = false
	if o == CallDone {
		c.kept = true
		r.enter(now, c, phaseStopping)
	}
	return append(list, r.proceed(now, run, c)...)
}

// StoreDone takes the result of a StoreCheckpoint.
func (r *Runner) StoreDone(now time.Time, run Run, o Outcome) []Action {
	list := r.check(now)
	c := r.runs[run]
	if c == nil || c.phase != phaseStoring {
		return list
	}
	c.calling = false
	if o == CallDone {
		return append(list, r.end(now, run, c, StatusStopped)...)
	}
	return append(list, r.proceed(now, run, c)...)
}

// ObserveFailed takes the failure of a PlatformStatus.
func (r *Runner) ObserveFailed(now time.Time) []Action {
	r.asked = false
	return r.check(now)
}

// Observed takes the platform's status of the worker, asked for at the given
// time. The first one after the start of the agent adopts what runs.
func (r *Runner) Observed(now, askedAt time.Time, s oleandervalve.WorkerStatus) []Action {
	list := r.check(now)
	r.asked = false
	listed := map[Run]bool{}
	for _, t := range s.Tasks {
		run := Run{Task: t.Spec.Task, Epoch: t.Spec.Epoch}
		listed[run] = true
		c := r.runs[run]
		switch {
		case c == nil && run.Epoch > r.ended[run.Task].epoch:
			list = append(list, r.adopt(now, run, t)...)
		case c == nil && t.State == oleandervalve.PlatformRunning:
			// Its end has been acknowledged, so it must not run: a start that was
			// delayed on its way to the platform.
			list = append(list, PlatformStop{Run: run})
		case c != nil && askedAt.After(c.since):
			c.progress = max(c.progress, t.Progress)
			c.report.Progress = c.progress
			list = append(list, r.compare(now, run, c, t.State, t.Reason)...)
		}
	}
	for _, run := range r.order() {
		if c := r.runs[run]; !listed[run] && askedAt.After(c.since) {
			list = append(list, r.compare(now, run, c, oleandervalve.PlatformStopped, "")...)
		}
	}
	r.adopted = true
	return list
}

func (r *Runner) adopt(now time.Time, run Run, t oleandervalve.PlatformTask) []Action {
	c := &activity{spec: t.Spec, started: true, progress: t.Progress}
	r.runs[run] = c
	r.mark(now, run)
	if t.State == oleandervalve.PlatformRunning {
		r.ledger.Adopt(run, t.Spec.Size)
		return []Action{r.running(now, run, c)}
	}
	r.enter(now, c, phaseRunning)
	return r.compare(now, run, c, t.State, t.Reason)
}

// compare applies the platform's state of a run, read after the run entered its phase.
func (r *Runner) compare(now time.Time, run Run, c *activity, s oleandervalve.PlatformTaskState, why string) []Action {
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
		c.kept = false // a checkpoint of a run that has ended is of no use
		return r.end(now, run, c, status)
	case oleandervalve.PlatformRunning:
		switch c.phase {
		case phaseUncertain:
			return append([]Action{r.running(now, run, c)}, r.proceed(now, run, c)...)
		case phaseConfirming:
			r.enter(now, c, phaseStopping)
			return r.proceed(now, run, c)
		}
		return nil
	}
	if c.phase == phaseConfirming {
		if c.kept {
			r.enter(now, c, phaseStoring)
			return r.proceed(now, run, c)
		}
		return r.end(now, run, c, StatusStopped)
	}
	// The platform does not run it. It is stopped by name all the same, so that a
	// start still on its way is refused.
	c.stop, c.checkpoint, c.kept = true, false, false
	if c.reason == "" {
		c.reason = ReasonPlatform
	}
	r.enter(now, c, phaseStopping)
	return r.proceed(now, run, c)
}

func (r *Runner) running(now time.Time, run Run, c *activity) Action {
	c.started = true
	r.enter(now, c, phaseRunning)
	c.report = Report{Worker: r.worker, Run: run, Status: StatusRunning, Started: true, Progress: c.progress}
	return r.send(now, c)
}

// proceed takes the next step of a run that waits for nothing else.
func (r *Runner) proceed(now time.Time, run Run, c *activity) []Action {
	if c.stop && (c.phase == phaseUncertain || c.phase == phaseRunning) {
		if c.checkpoint && c.phase == phaseRunning && r.lease.Valid(now) {
			r.enter(now, c, phaseCheckpointing)
		} else {
			r.enter(now, c, phaseStopping)
		}
	}
	if c.phase == phaseCheckpointing && (!c.checkpoint || !c.calling && c.tries >= checkpointTries) {
		r.enter(now, c, phaseStopping)
	}
	if c.phase == phaseStoring && c.tries >= storeTries && !c.calling {
		c.kept = false
		return r.end(now, run, c, StatusStopped)
	}
	if c.phase == phaseUncertain || c.phase == phaseConfirming {
		r.urgent = true
	}
	if c.calling || !c.calledAt.IsZero() && now.Before(c.calledAt.Add(stopEvery)) {
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
	c.calling, c.calledAt = true, now
	c.tries++
	return []Action{a}
}

// Tick does what is due: it drops unused reservations, repeats calls and
// reports, renews the platform leases and reads the platform's status.
func (r *Runner) Tick(now time.Time) []Action {
	list := r.check(now)
	r.purge(now)
	var running []oleandervalve.TaskID
	for _, run := range r.order() {
		c := r.runs[run]
		if c.phase == phaseReserved {
			if now.Sub(c.since) >= ReservationLife {
				r.drop(now, run, c)
			}
			continue
		}
		list = append(list, r.proceed(now, run, c)...)
		switch c.phase {
		case phaseRunning, phaseCheckpointing:
			running = append(running, run.Task)
		}
		repeat := c.phase == phaseEnded || c.phase == phaseRunning && !c.known
		if repeat && now.Sub(c.reportedAt) >= reportEvery {
			list = append(list, r.send(now, c))
		}
	}
	if r.lease.Valid(now) && len(running) > 0 && !now.Before(r.renewAt) {
		r.renewAt = now.Add(PlatformRenewEvery)
		list = append(list, PlatformRenew{Tasks: running, Lease: r.platformLease(now), NotAfter: r.lease.Deadline()})
	}
	every := statusEvery
	if r.urgent {
		every = statusSoon
	}
	if !r.asked && now.Sub(r.statusAt) >= every {
		r.asked, r.statusAt, r.urgent = true, now, false
		list = append(list, PlatformStatus{AskedAt: now})
	}
	return list
}

// purge forgets ended epochs and spent reservations after their time.
func (r *Runner) purge(now time.Time) {
	if now.Before(r.purgeAt) {
		return
	}
	r.purgeAt = now.Add(remember / 4)
	for t, m := range r.ended {
		if now.Sub(m.at) < remember {
			continue
		}
		present := false
		for run := range r.runs {
			present = present || run.Task == t
		}
		if !present {
			delete(r.ended, t)
		}
	}
	for id, at := range r.spent {
		if now.Sub(at) >= remember {
			delete(r.spent, id)
		}
	}
}
