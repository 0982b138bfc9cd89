package job

import (
	"sort"
	"time"

	"oleandervalve"
	"oleandervalve/core/table"
)

// queryInterval is the interval of queries for runs that no agent has reported.
const queryInterval = 10 * time.Second

// reconcile returns the next actions for a task. It decides only from the task's
// record and the latest report of its agent, so that a lost, repeated or delayed
// event can delay an action but not change the outcome.
func (s *Shard) reconcile(now time.Time, t *taskState) []Action {
	list := s.reconcileReservation(now, t)
	if t.commit != "" {
		return list
	}
	if t.report != nil && !s.isCurrent(t, *t.report) {
		list = append(list, answerObsolete(*t.report))
		t.report = nil
	}
	if !t.stored.State.Placed() || now.Before(t.retryAt) {
		return list
	}
	if c, p, err := s.transition(now, t); err != nil {
		return list // not permitted in this state; a newer row will replace it
	} else if c != nil {
		return append(list, s.commit(t, c.Transaction, p))
	}
	return append(list, s.message(now, t)...)
}

// reconcileReservation releases a reservation that can no longer lead to an
// assignment.
func (s *Shard) reconcileReservation(now time.Time, t *taskState) []Action {
	res := t.reservation
	if res == nil || t.commit != "" {
		return nil
	}
	r := t.stored
	if r.State == StateAssigned && r.Reservation == res.id {
		delete(s.pendingReservations, res.id)
		t.reservation = nil
		return nil
	}
	if res.granted || !r.State.Waiting() || r.Epoch+1 != res.run.Epoch || s.cancelled(t) {
		return s.releaseReservation(now, t, "")
	}
	if now.Sub(res.requestedAt) >= s.settings.ReservationTimeout {
		return s.releaseReservation(now, t, ReasonNoAnswer)
	}
	return nil
}

// releaseReservation discards the task's reservation and releases it at the agent,
// which may have granted it.
func (s *Shard) releaseReservation(now time.Time, t *taskState, reason oleandervalve.Reason) []Action {
	res := *t.reservation
	s.dropReservation(now, t, reason)
	return []Action{Release{Worker: res.worker, Run: res.run, ID: res.id}}
}

// dropReservation discards the task's reservation; a reason other than "" is
// reported to the chooser as a refusal.
func (s *Shard) dropReservation(now time.Time, t *taskState, reason oleandervalve.Reason) {
	if reason != "" {
		s.chooser.Refused(now, t.reservation.worker, t.stored.Record, reason)
	}
	delete(s.pendingReservations, t.reservation.id)
	t.reservation = nil
}

// cancelled reports whether the job of a task is known to be cancelled.
func (s *Shard) cancelled(t *taskState) bool {
	j := s.jobs[t.stored.Job]
	return j != nil && j.stored.Cancelled
}

// transition returns the next change of a placed task's record, or nil if none is
// needed now.
func (s *Shard) transition(now time.Time, t *taskState) (*Change, table.Priority, error) {
	r, id := t.stored, s.newID()
	finishing := func(c Change, err error) (*Change, table.Priority, error) { return &c, table.Finishing, err }
	if m := t.report; m != nil && m.Status != StatusRunning {
		e := End{Run: m.Run, Started: m.Started, Checkpoint: m.Checkpoint, Reason: m.Reason}
		switch {
		case m.Status == StatusFinished:
			return finishing(r.Finish(id, e))
		case s.cancelled(t):
			return finishing(r.Cancel(id, e, s.jobs[r.Job].stored))
		case m.Status == StatusFailed:
			return finishing(r.Fail(now, id, e, s.settings.Backoff))
		case r.State == StateCheckpointing:
			return finishing(r.Evicted(id, e))
		}
		s.chooser.Refused(now, m.Worker, r.Record, m.Reason)
		return finishing(r.Requeue(id, e))
	}
	if t.takeover {
		// The worker may have started the run without having reported it.
		e := End{Run: r.Run(), Started: true, Reason: ReasonWorkerLost, Conditions: t.takeoverConditions}
		if s.cancelled(t) {
			return finishing(r.Cancel(id, e, s.jobs[r.Job].stored))
		}
		return finishing(r.Lost(now, id, e, s.settings.Backoff))
	}
	if t.report == nil || s.cancelled(t) {
		return nil, 0, nil
	}
	switch {
	case r.State == StateAssigned:
		c, err := r.Started(id, r.Run())
		return &c, table.Starting, err
	case r.State == StateRunning && t.evictReason != "":
		return finishing(r.BeginEviction(id, r.Run(), t.evictReason))
	}
	return nil, 0, nil
}

// message returns the message to send now to the agent of a placed task, if any.
func (s *Shard) message(now time.Time, t *taskState) []Action {
	r, interval := t.stored, s.settings.ResendInterval
	var a Action
	switch {
	case s.cancelled(t):
		a = Stop{Worker: r.Worker, Run: r.Run(), Reason: s.jobs[r.Job].stored.Reason}
	case r.State == StateCheckpointing:
		a = Stop{Worker: r.Worker, Run: r.Run(), Checkpoint: true, Reason: r.Reason}
	case r.State == StateAssigned && t.report == nil:
		a = Start{Worker: r.Worker, Spec: r.StartSpec(), Incarnation: r.Incarnation, ID: r.Reservation}
	case t.report == nil:
		a, interval = Query{Worker: r.Worker, Run: r.Run()}, queryInterval
	default:
		return nil
	}
	if !t.sentAt.IsZero() && now.Sub(t.sentAt) < interval {
		return nil
	}
	t.sentAt = now
	return []Action{a}
}

// Tick repeats unanswered messages, releases reservations that have timed out and
// places waiting tasks.
func (s *Shard) Tick(now time.Time) []Action {
	var list []Action
	for _, t := range s.placed() {
		list = append(list, s.reconcile(now, t)...)
	}
	return append(list, s.place(now)...)
}

// place requests reservations for waiting tasks. Half of the decisions of a Tick
// are made from the head of the queue, so that urgent tasks are considered at
// once. The other half continue where the last Tick ended, so that blocked tasks
// at the head don't starve the others.
func (s *Shard) place(now time.Time) []Action {
	s.updateWaiting()
	var list []Action
	var missing []oleandervalve.Key
	n := len(s.waiting)
	head := min(n, s.settings.MaxDecisionsPerTick/2)
	for i := range head {
		list = append(list, s.placeOne(now, s.waiting[i], &missing)...)
	}
	if rest := n - head; rest > 0 {
		for range min(rest, s.settings.MaxDecisionsPerTick-head) {
			s.cursor = (s.cursor + 1) % rest
			list = append(list, s.placeOne(now, s.waiting[head+s.cursor], &missing)...)
		}
	}
	if len(missing) > 0 {
		list = append(list, Read{Keys: missing})
	}
	return list
}

// placeOne requests a reservation for a waiting task if the chooser finds a worker,
// and parks the task if it is infeasible. If the job's row is unknown, it adds the
// row's key to missing instead.
func (s *Shard) placeOne(now time.Time, t *taskState, missing *[]oleandervalve.Key) []Action {
	list := s.reconcileReservation(now, t)
	r := t.stored
	if t.reservation != nil || t.commit != "" || now.Before(t.retryAt) || now.Before(r.NotBefore) || s.cancelled(t) {
		return list
	}
	if j := s.ensureJob(r.Job); j.stored.Version == 0 {
		if j.rowRequestedAt.IsZero() || now.Sub(j.rowRequestedAt) >= s.settings.ResendInterval {
			j.rowRequestedAt = now
			*missing = append(*missing, RowKey(r.Job))
		}
		return list
	}
	if len(s.pendingReservations) >= s.settings.MaxReservationsInFlight {
		return list
	}
	c := s.chooser.Choose(now, r.Record)
	t.waitReason = c.Reason
	switch {
	case c.Worker != "":
		t.reservation = &reservationState{id: s.newID(), run: Run{Task: r.Task(), Epoch: r.Epoch + 1}, worker: c.Worker, requestedAt: now}
		s.pendingReservations[t.reservation.id] = t
		size := c.Size
		if size == (oleandervalve.Resources{}) {
			size = r.Spec.Size
		}
		return append(list, Reserve{Worker: c.Worker, Run: t.reservation.run, ID: t.reservation.id, Size: size})
	case c.Infeasible:
		if p, err := r.Park(s.newID(), c.Reason); err == nil {
			return append(list, s.commit(t, p.Transaction, table.Configuring))
		}
	}
	return list
}

// updateWaiting removes the tasks that no longer wait and sorts the others by
// priority, then by time of submission.
func (s *Shard) updateWaiting() {
	kept := s.waiting[:0]
	for _, t := range s.waiting {
		t.queued = t.stored.State.Waiting()
		if t.queued {
			kept = append(kept, t)
		}
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
	if s.sorted {
		return
	}
	s.sorted = true
	sort.Slice(kept, func(i, j int) bool {
		a, b := kept[i].stored, kept[j].stored
		if a.Priority != b.Priority {
			return a.Priority > b.Priority
		}
		if !a.SubmittedAt.Equal(b.SubmittedAt) {
			return a.SubmittedAt.Before(b.SubmittedAt)
		}
		return a.Task() < b.Task()
	})
}
