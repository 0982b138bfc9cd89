package job

import (
	"sort"
	"time"

	"oleandervalve"
	"oleandervalve/core/table"
)

// queryEvery is the interval of questions about runs that no agent has reported.
const queryEvery = 10 * time.Second

// settle takes the next step of a task that is known from its record and from
// what its agent has reported. It decides from the present state only, so that
// a lost, repeated or delayed event changes nothing but the time.
func (s *Shard) settle(now time.Time, t *taskState) []Action {
	list := s.settleAsk(now, t)
	if t.commit != "" {
		return list
	}
	if t.report != nil && !s.current(t, *t.report) {
		list = append(list, obsolete(*t.report))
		t.report = nil
	}
	if !t.stored.State.Placed() || now.Before(t.retryAt) {
		return list
	}
	if c, p, err := s.transition(now, t); err != nil {
		return list // ruled out by the state, which a newer row will change
	} else if c != nil {
		return append(list, s.commit(t, c.Transaction, p))
	}
	return append(list, s.message(now, t)...)
}

// settleAsk gives up a reservation that no longer leads to an assignment.
func (s *Shard) settleAsk(now time.Time, t *taskState) []Action {
	a := t.ask
	if a == nil || t.commit != "" {
		return nil
	}
	r := t.stored
	if r.State == StateAssigned && r.Reservation == a.id {
		delete(s.asks, a.id)
		t.ask = nil
		return nil
	}
	if a.granted || !r.State.Waiting() || r.Epoch+1 != a.run.Epoch || s.cancelled(t) {
		return s.abandon(now, t, "")
	}
	if now.Sub(a.at) >= s.settings.AskTimeout {
		return s.abandon(now, t, ReasonNoAnswer)
	}
	return nil
}

// abandon releases a reservation that may have been granted.
func (s *Shard) abandon(now time.Time, t *taskState, why oleandervalve.Reason) []Action {
	a := *t.ask
	s.dropAsk(now, t, why)
	return []Action{Release{Worker: a.worker, Run: a.run, ID: a.id}}
}

func (s *Shard) dropAsk(now time.Time, t *taskState, why oleandervalve.Reason) {
	if why != "" {
		s.chooser.Refused(now, t.ask.worker, t.stored.Record, why)
	}
	delete(s.asks, t.ask.id)
	t.ask = nil
}

func (s *Shard) cancelled(t *taskState) bool {
	g := s.jobs[t.stored.Job]
	return g != nil && g.stored.Cancelled
}

// transition returns the change of a placed task's record that is due, if any.
func (s *Shard) transition(now time.Time, t *taskState) (*Change, table.Priority, error) {
	r, id := t.stored, s.newID()
	made := func(c Change, err error) (*Change, table.Priority, error) { return &c, table.Finishing, err }
	if m := t.report; m != nil && m.Status != StatusRunning {
		e := End{Run: m.Run, Started: m.Started, Checkpoint: m.Checkpoint, Reason: m.Reason}
		switch {
		case m.Status == StatusFinished:
			return made(r.Finish(id, e))
		case s.cancelled(t):
			return made(r.Cancel(id, e, s.jobs[r.Job].stored))
		case m.Status == StatusFailed:
			return made(r.Fail(now, id, e, s.settings.Backoff))
		case r.State == StateCheckpointing:
			return made(r.Evicted(id, e))
		}
		s.chooser.Refused(now, m.Worker, r.Record, m.Reason)
		return made(r.Requeue(id, e))
	}
	if t.isLost {
		// Nothing proves that the lost worker did not start the run.
		e := End{Run: r.Run(), Started: true, Reason: ReasonWorkerLost, Conditions: t.lost}
		if s.cancelled(t) {
			return made(r.Cancel(id, e, s.jobs[r.Job].stored))
		}
		return made(r.Requeue(id, e))
	}
	if t.report == nil || s.cancelled(t) {
		return nil, 0, nil
	}
	switch {
	case r.State == StateAssigned:
		c, err := r.Started(id, r.Run())
		return &c, table.Starting, err
	case r.State == StateRunning && t.evict != "":
		return made(r.BeginEviction(id, r.Run(), t.evict))
	}
	return nil, 0, nil
}

// message returns the message to the agent of a placed task that is due, if any.
func (s *Shard) message(now time.Time, t *taskState) []Action {
	r, every := t.stored, s.settings.Resend
	var a Action
	switch {
	case s.cancelled(t):
		a = Stop{Worker: r.Worker, Run: r.Run(), Reason: s.jobs[r.Job].stored.Reason}
	case r.State == StateCheckpointing:
		a = Stop{Worker: r.Worker, Run: r.Run(), Checkpoint: true, Reason: r.Reason}
	case r.State == StateAssigned && t.report == nil:
		a = Start{Worker: r.Worker, Spec: r.StartSpec(), Incarnation: r.Incarnation, ID: r.Reservation}
	case t.report == nil:
		a, every = Query{Worker: r.Worker, Run: r.Run()}, queryEvery
	default:
		return nil
	}
	if !t.sentAt.IsZero() && now.Sub(t.sentAt) < every {
		return nil
	}
	t.sentAt = now
	return []Action{a}
}

// Tick does what is due: it repeats messages, gives up reservations that are
// not answered and places waiting tasks.
func (s *Shard) Tick(now time.Time) []Action {
	var list []Action
	for _, t := range s.placed() {
		list = append(list, s.settle(now, t)...)
	}
	return append(list, s.place(now)...)
}

// place asks for reservations for the waiting tasks. Half of the decisions of a
// Tick start at the head of the queue and half go on where the last Tick ended,
// so that urgent tasks are seen at once and blocked ones hide no others.
func (s *Shard) place(now time.Time) []Action {
	s.sort()
	var list []Action
	var missing []oleandervalve.Key
	n := len(s.waiting)
	head := min(n, s.settings.Choices/2)
	for i := range head {
		list = append(list, s.placeOne(now, s.waiting[i], &missing)...)
	}
	if rest := n - head; rest > 0 {
		for range min(rest, s.settings.Choices-head) {
			s.cursor = (s.cursor + 1) % rest
			list = append(list, s.placeOne(now, s.waiting[head+s.cursor], &missing)...)
		}
	}
	if len(missing) > 0 {
		list = append(list, Read{Keys: missing})
	}
	return list
}

func (s *Shard) placeOne(now time.Time, t *taskState, missing *[]oleandervalve.Key) []Action {
	list := s.settleAsk(now, t)
	r := t.stored
	if t.ask != nil || t.commit != "" || now.Before(t.retryAt) || now.Before(r.NotBefore) || s.cancelled(t) {
		return list
	}
	if g := s.job(r.Job); g.stored.Version == 0 {
		if g.askAt.IsZero() || now.Sub(g.askAt) >= s.settings.Resend {
			g.askAt = now
			*missing = append(*missing, GroupKey(r.Job))
		}
		return list
	}
	if len(s.asks) >= s.settings.Asks {
		return list
	}
	c := s.chooser.Choose(now, r.Record)
	t.why = c.Reason
	switch {
	case c.Worker != "":
		t.ask = &askState{id: s.newID(), run: Run{Task: r.Task(), Epoch: r.Epoch + 1}, worker: c.Worker, at: now}
		s.asks[t.ask.id] = t
		size := c.Size
		if size == (oleandervalve.Resources{}) {
			size = r.Spec.Size
		}
		return append(list, Reserve{Worker: c.Worker, Run: t.ask.run, ID: t.ask.id, Size: size})
	case c.Infeasible:
		if p, err := r.Park(s.newID(), c.Reason); err == nil {
			return append(list, s.commit(t, p.Transaction, table.Configuring))
		}
	}
	return list
}

// sort drops the tasks that no longer wait and orders the others by priority,
// then by submission.
func (s *Shard) sort() {
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
