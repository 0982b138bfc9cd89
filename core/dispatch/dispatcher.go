package dispatch

import (
	"slices"
	"sort"
	"time"

	"oleandervalve"
	"oleandervalve/core/contention"
	"oleandervalve/core/work"
)

// Options are the limits of a Dispatcher.
type Options struct {
	// TakeoverAfter is how long after the last lease grant to a disconnected agent its
	// executor's lease has certainly expired.
	TakeoverAfter time.Duration
	// UnconfirmedAfter is how long after it runs have certainly ended that no agent has confirmed; 0
	// means TakeoverAfter.
	UnconfirmedAfter time.Duration
	// Retention is how long jobs are kept after their end.
	Retention time.Duration
	// EarlyStart is how long before its release time an occurrence may start.
	EarlyStart time.Duration
	// MoveInterval is how long all other tasks of a long-running step must have been running before a
	// task is moved out of an evacuated data centre.
	MoveInterval time.Duration
	// MaxActive limits the jobs that have not ended; 0 means no limit. Once it is reached queues share
	// another quarter of it.
	MaxActive int
	// MaxMemory limits the memory of all known jobs; 0 means no limit.
	MaxMemory oleandervalve.Bytes
	// MaxRow is the size of the largest row that the table accepts; 0 means 64 KiB.
	MaxRow oleandervalve.Bytes
}

// Dispatcher assigns tasks to executors on the leading entry.
type Dispatcher struct {
	options Options
	jobs    map[oleandervalve.JobID]*job
	agents  map[oleandervalve.AgentID]*agent
	// sortedAgents holds the agents sorted by ID so that decisions don't depend on map order.
	sortedAgents []*agent
	// ready holds the steps whose waiting tasks may be placed, and delayed those whose
	// start time has not been reached.
	ready   map[*step]bool
	delayed []*step
	// dirtyJobs holds the jobs whose changed records are to be committed.
	dirtyJobs []*job
	// rejectedJobs holds the changed jobs whose rows the table has rejected.
	rejectedJobs []*job
	actions      []Action
	// contention is the learned model of the interference with latency-critical tasks.
	contention *contention.Model
	// beImages holds the images of the best-effort steps of all jobs so far.
	beImages map[oleandervalve.KindName]bool
	// nonInterfering holds the pairs that were logged as not interfering at pairsLoggedAt.
	nonInterfering []contention.Pair
	pairsLoggedAt  time.Time
	// serviceUtilisation caches the estimated CPU utilisation of each service's executors
	// for the current scheduling pass.
	serviceUtilisation map[oleandervalve.ServiceName]float64
	// placementFailures holds, by group, the tasks for which the current pass has found no
	// executor, and searches is the number of searches for one in that pass.
	placementFailures map[placementGroup][]placementFailure
	searches          int
	// runTimeModels holds the learned run times by queue.
	runTimeModels map[work.QueueName]*runTimeModel
	// overload orders and limits the work that the fleet has too little capacity for.
	overload *overloadState
	// sortSteps sorts the waiting steps into the order of placement.
	sortSteps func([]*step, time.Time)
	// lastSubmissionAt is when the last new job was submitted.
	lastSubmissionAt time.Time
	// nextExpiryScan is when to search for expired jobs next.
	nextExpiryScan time.Time
	// activeJobs is the number of jobs that have not ended, and unsubmittedJobs that of
	// cancelled jobs without a submission.
	activeJobs      int
	unsubmittedJobs int
	// activeByQueue is the number of jobs that have not ended of each queue that has any.
	activeByQueue map[work.QueueName]int
	// jobMemory is the memory of all known jobs.
	jobMemory oleandervalve.Bytes
	// pauses caches the paused executors of each pool from one scheduling pass to the next.
	pauses map[pool]poolPauses
	// isolatingExecutors is the number of executors that get no other starts because of an
	// isolated run, in the current scheduling pass, and maxIsolating their limit.
	isolatingExecutors int
	maxIsolating       int
	// suspectsByCrash holds, for the step that is being placed, the number of suspect tasks that
	// may be isolated in groups.
	suspectsByCrash map[crashKey]int
	// placementNeeded means that something relevant to placement has changed since the
	// last scheduling pass.
	placementNeeded bool
	// nextExplanation is when waits are next explained, and nextFullExplanation when one for
	// capacity is.
	nextExplanation, nextFullExplanation time.Time
	// nextWaitingNote is when a number of waiting jobs may next be logged.
	nextWaitingNote time.Time
	// evacuations holds the requested evacuations, which are enabled if SetEvacuated was ever called.
	evacuations        map[oleandervalve.DataCentreID]*evacuation
	evacuationsEnabled bool
	// nextMoves is when tasks may next be moved out of evacuated data centres.
	nextMoves time.Time
	// sequence is the last Record.Sequence used, and committedSequence the last one committed.
	sequence, committedSequence uint64
}

// New returns a Dispatcher without jobs or agents.
func New(o Options) *Dispatcher {
	if o.MaxRow == 0 {
		o.MaxRow = defaultMaxRow
	}
	d := &Dispatcher{options: o, serviceUtilisation: map[oleandervalve.ServiceName]float64{}, placementFailures: map[placementGroup][]placementFailure{}, pauses: map[pool]poolPauses{}, jobs: map[oleandervalve.JobID]*job{}, activeByQueue: map[work.QueueName]int{}, agents: map[oleandervalve.AgentID]*agent{}, ready: map[*step]bool{}, contention: contention.New(), runTimeModels: map[work.QueueName]*runTimeModel{}, beImages: map[oleandervalve.KindName]bool{}, evacuations: map[oleandervalve.DataCentreID]*evacuation{}, overload: newOverloadState()}
	d.sortSteps = d.overloadOrder
	return d
}

// defaultMaxRow is the size of the largest row that tables accept.
const defaultMaxRow oleandervalve.Bytes = 64 << 10

// StoredJob is a job as read from its record row and its specification row.
type StoredJob struct {
	Job         oleandervalve.JobID
	Spec        work.Spec
	SpecVersion oleandervalve.Version
	Record      work.Record
	Version     oleandervalve.Version
}

// Load restores the jobs stored by a previous leader. Agents that may still run their
// tasks must connect within Options.TakeoverAfter, or the tasks are requeued.
func (d *Dispatcher) Load(now time.Time, stored []StoredJob) {
	sort.Slice(stored, func(i, j int) bool { return stored[i].Job < stored[j].Job })
	for _, s := range stored {
		j := newJob(s.Job, s.Spec, s.Record)
		j.version, j.specVersion, j.committedState, j.storedUnsubmitted = s.Version, s.SpecVersion, s.Record.State, s.Record.Unsubmitted
		if j.rec.Unsubmitted {
			d.unsubmittedJobs++
		}
		d.jobs[j.id] = j
		d.countMemory(j)
		if j.rec.State.Terminal() {
			j.retainUntil = now.Add(d.options.Retention)
		}
		if end := j.rec.EndedAt.Add(d.options.Retention); j.rec.Unsubmitted && end.Before(j.retainUntil) {
			// Their number is limited, so changes of leader must not prolong their retention.
			j.retainUntil = end
		}
		d.recordBestEffortImages(j)
		for _, st := range j.steps {
			d.loadStep(now, st)
		}
		if !j.rec.State.Terminal() {
			d.countActive(j, 1)
			for _, st := range j.steps {
				d.activate(now, st)
			}
		}
		d.sequence = max(d.sequence, j.rec.Sequence)
	}
	d.committedSequence = d.sequence
	d.placementNeeded = true
}

// recordBestEffortImages records the images of a job's best-effort steps.
func (d *Dispatcher) recordBestEffortImages(j *job) {
	for _, s := range j.spec.Steps {
		if s.BestEffort {
			d.beImages[s.Image] = true
		}
	}
}

// loadStep restores the state of a step from the records of its tasks.
func (d *Dispatcher) loadStep(now time.Time, st *step) {
	for i := range st.spec.Count {
		if st.firstTask+i >= len(st.job.rec.Tasks) {
			return
		}
		t := &st.job.rec.Tasks[st.firstTask+i]
		switch t.State {
		case work.TaskDone:
			st.done++
		case work.TaskWaiting:
			st.waiting = append(st.waiting, i)
		case work.TaskAssigned:
			ref := st.job.rec.Executors[t.ExecutorIndex]
			a := d.agents[ref.Agent]
			if a == nil {
				a = d.addAgent(ref.Agent)
				a.status.Incarnation = ref.Executor
				a.grantedAt = now
				a.unheard = true
			}
			// If the reference differs from the agent's newest known one, it names an
			// earlier incarnation of the executor, which is resolved when the agent
			// connects.
			r := &run{step: st, index: i, size: st.spec.Reserved(), startSent: true, resumed: true, startedAt: now, sequence: st.job.rec.Sequence}
			r.confirmed = !slices.Contains(st.job.rec.Unconfirmed, st.firstTask+i)
			if h := st.history(i); h.Suspect() && t.Run > h.OutlivedBy {
				r.isolated, r.isolation = true, h.Isolation()
				if a.isolatedRuns > 0 {
					a.addToGroup(r)
				} else {
					a.group = isolationGroup{first: r}
				}
			}
			a.allocate(runKey{st.name(i), t.Run}, r)
		}
	}
}

func (d *Dispatcher) addAgent(id oleandervalve.AgentID) *agent {
	a := newAgent(id)
	d.agents[id] = a
	n := sort.Search(len(d.sortedAgents), func(i int) bool { return d.sortedAgents[i].id >= id })
	d.sortedAgents = append(d.sortedAgents, nil)
	copy(d.sortedAgents[n+1:], d.sortedAgents[n:])
	d.sortedAgents[n] = a
	return a
}

// removeAgent forgets an agent that has no runs.
func (d *Dispatcher) removeAgent(a *agent) {
	delete(d.agents, a.id)
	d.contention.RemoveExecutor(a.id)
	for i, b := range d.sortedAgents {
		if a == b {
			d.sortedAgents = append(d.sortedAgents[:i:i], d.sortedAgents[i+1:]...)
			return
		}
	}
}

// Submit handles the submission of a job. The reply is sent once the job is durable. A
// repeated submission gets the same reply as the first.
func (d *Dispatcher) Submit(now time.Time, s Submission) {
	if j := d.jobs[s.Job]; j != nil {
		if j.expired {
			d.enqueueAction(Reply{Token: s.Token, Verdict: NotRun, Reason: reasonExpiring, RetryAfter: unavailableRetryAfter})
			return
		}
		if j.rec.Unsubmitted {
			d.submitCancelled(now, j, s)
			return
		}
		if j.version > 0 && !j.storedUnsubmitted {
			d.enqueueAction(Reply{Token: s.Token, Verdict: Accepted})
			return
		}
		j.submitters = append(j.submitters, s.Token)
		return
	}
	if d.activeFull(s.Queue.Name) || d.memoryFull(s.Spec) {
		d.enqueueAction(Reply{Token: s.Token, Verdict: NotRun, Reason: "backlog", RetryAfter: backlogRetryAfter})
		d.note("refused", s.Job, map[string]any{"reason": "backlog", "queue": s.Queue.Name, "open": d.activeJobs, "memoryBytes": int64(d.jobMemory)})
		return
	}
	j := newJob(s.Job, s.Spec, work.Record{Queue: s.Queue, AcceptedAt: now})
	if !d.admit(now, j, s.Token) {
		return
	}
	d.countActive(j, 1)
	d.lastSubmissionAt = now
	for _, st := range j.steps {
		for i := range st.spec.Count {
			st.waiting = append(st.waiting, i)
		}
	}
	j.submitters = []Token{s.Token}
	d.jobs[j.id] = j
	d.countMemory(j)
	d.recordBestEffortImages(j)
	d.markDirty(j)
	for _, st := range j.steps {
		d.activate(now, st)
	}
	d.note("submitted", j.id, map[string]any{"queue": s.Queue.Name, "objectiveMs": j.objective.Milliseconds(), "waitingSteps": len(d.ready)})
}

// backlogRetryAfter is the retry delay sent to callers that are refused because of the backlog.
const backlogRetryAfter = 2 * time.Second

// Cancel cancels a job. The reply is sent once the cancellation is durable.
func (d *Dispatcher) Cancel(now time.Time, id oleandervalve.JobID, t Token) {
	j := d.jobs[id]
	switch {
	case j == nil:
		d.cancelUnsubmitted(now, id, t)
	case j.expired:
		d.enqueueAction(Reply{Token: t, Verdict: NotRun, Reason: reasonExpiring, RetryAfter: unavailableRetryAfter})
	case j.committedState.Terminal() && j.version > 0:
		if j.rec.Unsubmitted {
			j.retainUntil = now.Add(d.options.Retention)
		}
		d.enqueueAction(Reply{Token: t, Verdict: j.cancelVerdict()})
	default:
		j.cancellers = append(j.cancellers, t)
		if !j.rec.State.Terminal() {
			d.endJob(now, j, work.Cancelled)
		} else {
			d.markDirty(j)
		}
	}
}

// State returns the committed state of a job, or false if the job is not stored.
func (d *Dispatcher) State(id oleandervalve.JobID) (work.State, bool) {
	j := d.jobs[id]
	if j == nil || j.version == 0 || j.storedUnsubmitted {
		return 0, false
	}
	return j.committedState, true
}

// TakeActions returns the queued actions and clears the queue.
func (d *Dispatcher) TakeActions() []Action {
	out := d.actions
	d.actions = nil
	return out
}

func (d *Dispatcher) enqueueAction(a Action) { d.actions = append(d.actions, a) }

// note queues an event to be logged.
func (d *Dispatcher) note(event string, j oleandervalve.JobID, fields map[string]any) {
	d.enqueueAction(LogEvent{Event: event, Job: j, Fields: fields})
}

// markDirty queues the job's record for the next commit.
func (d *Dispatcher) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		d.dirtyJobs = append(d.dirtyJobs, j)
	}
}

// activate makes a step ready for placement if its dependencies are done and its start
// time has been reached. If only the start time has not been reached, the step becomes
// delayed and Tick activates it later.
func (d *Dispatcher) activate(now time.Time, s *step) {
	if s.ready || len(s.waiting) == 0 || s.job.rec.State.Terminal() || !s.dependenciesDone() {
		return
	}
	if release := s.job.spec.ReleaseTime(s.occurrence).Add(-d.options.EarlyStart); release.After(now) {
		s.notBefore = release
	}
	if s.notBefore.After(now) {
		d.delayed = append(d.delayed, s)
		s.ready = true
		return
	}
	s.ready = true
	s.readyAt = now
	d.ready[s] = true
	d.placementNeeded = true
}

// endJob moves a job to a final state and stops its runs.
func (d *Dispatcher) endJob(now time.Time, j *job, s work.State) {
	d.countActive(j, -1)
	j.rec.State = s
	j.rec.EndedAt = now
	d.countMemory(j)
	j.retainUntil = now.Add(d.options.Retention)
	for _, st := range j.steps {
		delete(d.ready, st)
	}
	d.contention.RemoveJob(j.id)
	if s == work.Completed {
		j.rec.Tasks, j.rec.Executors, j.rec.Crashes = nil, nil, nil
	} else {
		for _, a := range d.sortedAgents {
			for k, r := range a.runs {
				if r.step != nil && r.step.job == j && !r.stopping {
					r.stopping = true
					j.effects = append(j.effects, Stop{Agent: a.id, Task: k.task, Run: k.run})
				}
			}
		}
	}
	d.note("ended", j.id, map[string]any{"state": s.String(), "ageMs": now.Sub(j.rec.AcceptedAt).Milliseconds(), "objectiveMs": j.objective.Milliseconds()})
	d.markDirty(j)
}

// Tick performs the periodic work: expired leases of disconnected agents, delayed steps,
// paused executors, deletion of expired jobs, migration and scheduling.
func (d *Dispatcher) Tick(now time.Time) {
	for _, a := range append([]*agent(nil), d.sortedAgents...) {
		a.recordLongRuns(now)
		d.endOldIsolations(now, a)
		if a.health.probing || a.isSlow(now) {
			d.placementNeeded = true
		}
		d.releaseEndedRuns(now, a)
	}
	stillDelayed := d.delayed[:0]
	for _, s := range d.delayed {
		if s.notBefore.After(now) {
			stillDelayed = append(stillDelayed, s)
			continue
		}
		s.ready = false
		d.activate(now, s)
	}
	d.delayed = stillDelayed
	d.retryRejectedJobs(now)
	d.deleteExpiredJobs(now)
	d.shareContention(now)
	d.logContention(now)
	d.migrateStalledTasks(now)
	d.moveOutOfEvacuated(now)
	d.logUnknownDataCentres(now)
	d.placementNeeded = d.placementNeeded || len(d.ready) > 0
	for _, a := range d.sortedAgents {
		a.lcUtilisation = nil
	}
	d.Schedule(now)
	d.explainWaits(now)
}

// deleteExpiredJobs marks the jobs whose retention has passed for deletion.
func (d *Dispatcher) deleteExpiredJobs(now time.Time) {
	if now.Before(d.nextExpiryScan) {
		return
	}
	d.nextExpiryScan = now.Add(expiryScanInterval)
	for _, j := range d.jobs {
		if j.rec.State.Terminal() && !j.dirty && !j.inFlight && now.After(j.retainUntil) {
			j.expired = true
			d.markDirty(j)
		}
	}
}

// expiryScanInterval is the interval between searches for expired jobs.
const expiryScanInterval = 5 * time.Second

// HasJob reports whether a job is known, whether stored or not.
func (d *Dispatcher) HasJob(id oleandervalve.JobID) bool { return d.jobs[id] != nil }

// IsStored reports whether a job has a record in the table.
func (d *Dispatcher) IsStored(id oleandervalve.JobID) bool {
	j := d.jobs[id]
	return j != nil && j.version > 0
}
