package dispatch

import (
	"sort"
	"time"

	"oleandervalve"
	"oleandervalve/core/contention"
	"oleandervalve/core/work"
)

// Options are the limits of a Dispatcher.
type Options struct {
	// TakeoverAfter is how long after the last grant to a silent agent its
	// executor's lease has expired for certain.
	TakeoverAfter time.Duration
	// Retention is how long ended jobs are kept.
	Retention time.Duration
	// EarlyBy is how long before its due time an occurrence may start.
	EarlyBy time.Duration
	// MaxOpen bounds the jobs that have not ended; 0 means no bound.
	MaxOpen int
}

// Dispatcher is the decision maker of the leading entry.
type Dispatcher struct {
	options Options
	jobs    map[oleandervalve.JobID]*job
	agents  map[oleandervalve.AgentID]*agent
	// ordered holds the agents by id, for decisions that don't depend on map order.
	ordered []*agent
	// ready holds the steps whose waiting tasks may be placed, and timed those
	// that are not due yet.
	ready map[*step]bool
	timed []*step
	// dirty holds the jobs whose records wait for a commit.
	dirty   []*job
	actions []Action
	// contention holds what is learned of the disturbance of serving tasks.
	contention *contention.Model
	fillImages map[oleandervalve.KindName]bool
	light      []contention.Pair
	sharedAt   time.Time
	// working is the share of each service's processors that work, as estimated
	// in this pass.
	working map[oleandervalve.ServiceName]float64
	// refusals are the filling tasks that have found no executor in this pass.
	refusals map[fillKey]refusal
	// durations are learned by queue.
	durations map[work.QueueName]*durations
	// order sorts the waiting steps.
	order func([]*step, time.Time)
	// submittedAt is when the last new job came.
	submittedAt time.Time
	// expireAt is when expired jobs are looked for next.
	expireAt time.Time
	// open counts the jobs that have not ended.
	open int
	// paused counts the executors that get little or no new work.
	paused int
	// stale means that something has changed since the last placement.
	stale bool
	// sequence makes the records of different commits differ.
	sequence uint64
}

// New returns a dispatcher without jobs.
func New(o Options) *Dispatcher {
	d := &Dispatcher{options: o, working: map[oleandervalve.ServiceName]float64{}, refusals: map[fillKey]refusal{}, jobs: map[oleandervalve.JobID]*job{}, agents: map[oleandervalve.AgentID]*agent{}, ready: map[*step]bool{}, contention: contention.New(), durations: map[work.QueueName]*durations{}, fillImages: map[oleandervalve.KindName]bool{}}
	d.order = d.queueOrder
	return d
}

// Stored is a job as read from its two rows.
type Stored struct {
	Job         oleandervalve.JobID
	Spec        work.Spec
	SpecVersion oleandervalve.Version
	Record      work.Record
	Version     oleandervalve.Version
}

// Load takes over jobs that another leader kept. Agents that may still run
// their tasks are expected to connect within Options.TakeoverAfter.
func (d *Dispatcher) Load(now time.Time, stored []Stored) {
	sort.Slice(stored, func(i, j int) bool { return stored[i].Job < stored[j].Job })
	for _, s := range stored {
		j := newJob(s.Job, s.Spec, s.Record)
		j.version, j.specVersion, j.shown = s.Version, s.SpecVersion, s.Record.State
		d.jobs[j.id] = j
		if j.rec.State.Terminal() {
			j.retainUntil = now.Add(d.options.Retention)
		}
		d.noteImages(j)
		for _, st := range j.steps {
			d.loadStep(now, st)
		}
		if !j.rec.State.Terminal() {
			d.open++
			for _, st := range j.steps {
				d.activate(now, st)
			}
		}
		d.sequence = max(d.sequence, j.rec.Sequence)
	}
	d.stale = true
}

// noteImages records the images that fill.
func (d *Dispatcher) noteImages(j *job) {
	for _, s := range j.spec.Steps {
		if s.Fills {
			d.fillImages[s.Image] = true
		}
	}
}

func (d *Dispatcher) loadStep(now time.Time, st *step) {
	for i := range st.spec.Count {
		if st.base+i >= len(st.job.rec.Tasks) {
			return
		}
		t := &st.job.rec.Tasks[st.base+i]
		switch t.State {
		case work.TaskDone:
			st.done++
		case work.TaskWaiting:
			st.waiting = append(st.waiting, i)
		case work.TaskAssigned:
			p := st.job.rec.Places[t.Place]
			a := d.agents[p.Agent]
			if a == nil {
				a = d.addAgent(p.Agent)
				a.status.Incarnation = p.Executor
				a.grantedAt = now
			}
			// A place that differs from the agent's newest known one is an earlier
			// life of the executor; it is resolved when the agent connects.
			a.hold(runKey{st.name(i), t.Run}, &run{step: st, index: i, size: st.spec.Reserved(), ordered: true, resumed: true, startAt: now})
		}
	}
}

func (d *Dispatcher) addAgent(id oleandervalve.AgentID) *agent {
	a := newAgent(id)
	d.agents[id] = a
	n := sort.Search(len(d.ordered), func(i int) bool { return d.ordered[i].id >= id })
	d.ordered = append(d.ordered, nil)
	copy(d.ordered[n+1:], d.ordered[n:])
	d.ordered[n] = a
	return a
}

func (d *Dispatcher) removeAgent(a *agent) {
	delete(d.agents, a.id)
	d.contention.Forget(a.id)
	for i, b := range d.ordered {
		if a == b {
			d.ordered = append(d.ordered[:i:i], d.ordered[i+1:]...)
			return
		}
	}
}

// Submit takes a job. The reply follows when the job is durable; a repeated
// submission joins the first.
func (d *Dispatcher) Submit(now time.Time, s Submission) {
	if j := d.jobs[s.Job]; j != nil {
		if j.version > 0 {
			d.act(Reply{Token: s.Token, Verdict: Accepted})
			return
		}
		j.submitters = append(j.submitters, s.Token)
		return
	}
	if d.options.MaxOpen > 0 && d.open >= d.options.MaxOpen {
		d.act(Reply{Token: s.Token, Verdict: NotRun, Reason: "backlog", RetryAfter: backlogRetry})
		d.note("refused", s.Job, map[string]any{"reason": "backlog", "open": d.open})
		return
	}
	d.open++
	d.submittedAt = now
	j := newJob(s.Job, s.Spec, work.Record{Queue: s.Queue, AcceptedAt: now})
	for _, st := range j.steps {
		for i := range st.spec.Count {
			st.waiting = append(st.waiting, i)
		}
	}
	j.submitters = []Token{s.Token}
	d.jobs[j.id] = j
	d.noteImages(j)
	d.touch(j)
	for _, st := range j.steps {
		d.activate(now, st)
	}
	d.note("submitted", j.id, map[string]any{"queue": s.Queue.Name, "objectiveMs": j.objective.Milliseconds(), "waitingSteps": len(d.ready)})
}

// backlogRetry is when a caller may come back after a refusal for the backlog.
const backlogRetry = 2 * time.Second

// Cancel ends a job; the reply follows when that is durable.
func (d *Dispatcher) Cancel(now time.Time, id oleandervalve.JobID, t Token) {
	j := d.jobs[id]
	switch {
	case j == nil:
		d.act(Reply{Token: t, Verdict: NoJob})
	case j.shown.Terminal() && j.version > 0:
		d.act(Reply{Token: t, Verdict: Accepted})
	default:
		j.cancellers = append(j.cancellers, t)
		if !j.rec.State.Terminal() {
			d.end(now, j, work.Cancelled)
		} else {
			d.touch(j)
		}
	}
}

// State returns the state of a job that is stored.
func (d *Dispatcher) State(id oleandervalve.JobID) (work.State, bool) {
	j := d.jobs[id]
	if j == nil || j.version == 0 {
		return 0, false
	}
	return j.shown, true
}

// Waiting counts the stored jobs of a queue that have not begun.
func (d *Dispatcher) Waiting(q work.QueueName) int {
	n := 0
	for _, j := range d.jobs {
		if j.rec.Queue.Name == q && j.version > 0 && j.shown == work.Pending {
			n++
		}
	}
	return n
}

// Next returns and clears the actions.
func (d *Dispatcher) Next() []Action {
	out := d.actions
	d.actions = nil
	return out
}

func (d *Dispatcher) act(a Action) { d.actions = append(d.actions, a) }

func (d *Dispatcher) note(event string, j oleandervalve.JobID, fields map[string]any) {
	d.act(Note{Event: event, Job: j, Fields: fields})
}

// touch queues the job's record for the next commit.
func (d *Dispatcher) touch(j *job) {
	if !j.queued {
		j.queued = true
		d.dirty = append(d.dirty, j)
	}
}

// activate makes a step ready for placement if nothing holds it back.
func (d *Dispatcher) activate(now time.Time, s *step) {
	if s.ready || len(s.waiting) == 0 || s.job.rec.State.Terminal() || !s.unblocked() {
		return
	}
	if due := s.job.spec.Due(s.occ).Add(-d.options.EarlyBy); due.After(now) {
		s.notBefore = due
	}
	if s.notBefore.After(now) {
		d.timed = append(d.timed, s)
		s.ready = true
		return
	}
	s.ready = true
	s.readyAt = now
	d.ready[s] = true
	d.stale = true
}

// end moves a job to a final state and stops what runs of it.
func (d *Dispatcher) end(now time.Time, j *job, s work.State) {
	d.open--
	j.rec.State = s
	j.rec.EndedAt = now
	j.retainUntil = now.Add(d.options.Retention)
	for _, st := range j.steps {
		delete(d.ready, st)
	}
	d.contention.Ended(j.id)
	if s == work.Completed {
		j.rec.Tasks, j.rec.Places = nil, nil
	} else {
		for _, a := range d.ordered {
			for k, r := range a.runs {
				if r.step != nil && r.step.job == j && !r.stopping {
					r.stopping = true
					j.effects = append(j.effects, Stop{Agent: a.id, Task: k.task, Run: k.run})
				}
			}
		}
	}
	d.note("ended", j.id, map[string]any{"state": s.String(), "ageMs": now.Sub(j.rec.AcceptedAt).Milliseconds(), "objectiveMs": j.objective.Milliseconds()})
	d.touch(j)
}

func (d *Dispatcher) pauseLimit() int { return int(pausedShare*float64(len(d.agents))) + 1 }

// Tick handles what is due by time: silent agents, due occurrences, probes and retention.
func (d *Dispatcher) Tick(now time.Time) {
	d.paused = 0
	for _, a := range append([]*agent(nil), d.ordered...) {
		if a.health.probing || a.isSlow(now) {
			d.paused++
			d.stale = true
		}
		if !a.connected && now.Sub(a.grantedAt) > d.options.TakeoverAfter {
			d.note("executorLost", "", map[string]any{"agent": a.id, "runs": len(a.runs), "silentMs": now.Sub(a.grantedAt).Milliseconds()})
			d.loseRuns(now, a)
			d.removeAgent(a)
		}
	}
	kept := d.timed[:0]
	for _, s := range d.timed {
		if s.notBefore.After(now) {
			kept = append(kept, s)
			continue
		}
		s.ready = false
		d.activate(now, s)
	}
	d.timed = kept
	d.expire(now)
	d.shareContention(now)
	d.relocate(now)
	d.stale = d.stale || len(d.ready) > 0
	for _, a := range d.ordered {
		a.pressure = nil
	}
	d.Schedule(now)
}

// expire deletes the rows of jobs that ended long ago.
func (d *Dispatcher) expire(now time.Time) {
	if now.Before(d.expireAt) {
		return
	}
	d.expireAt = now.Add(expireEvery)
	for _, j := range d.jobs {
		if j.rec.State.Terminal() && !j.queued && !j.inFlight && now.After(j.retainUntil) {
			j.expired = true
			d.touch(j)
		}
	}
}

// expireEvery is the period of the search for expired jobs.
const expireEvery = 5 * time.Second

// Knows reports whether a job has been submitted, stored or not.
func (d *Dispatcher) Knows(id oleandervalve.JobID) bool { return d.jobs[id] != nil }
