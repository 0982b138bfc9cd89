package dispatch

import (
	"slices"
	"time"

	"oleandervalve"
	"oleandervalve/core/crash"
	"oleandervalve/core/work"
)

// job is the in-memory state of a submitted job.
type job struct {
	id   oleandervalve.JobID
	spec work.Spec
	rec  work.Record
	// version and specVersion are the versions of the job's rows; 0 means not stored yet.
	version     oleandervalve.Version
	specVersion oleandervalve.Version
	steps       []*step
	// dependents holds, by the index of a step, the indexes of the steps that depend on it.
	dependents [][]int
	// dirty means that the job is in Dispatcher.dirtyJobs.
	dirty bool
	// inFlight means that a commit with the job is in flight.
	inFlight bool
	// alone means that the table has rejected a commit with the job, so that it is committed
	// without others, and retryAt when the next attempt is due if it was rejected alone.
	alone   bool
	retryAt time.Time
	// committedState is the durable state, which is the one reported to callers.
	committedState work.State
	// storedUnsubmitted means that the durable record is that of a job without a submission, which
	// is not shown to callers.
	storedUnsubmitted bool
	// objective is the target time to completion, based on declared run times.
	objective time.Duration

	// submitters and cancellers hold the requests that get a reply once the current state
	// is durable.
	submitters []Token
	cancellers []Token
	// effects are applied once the current state is durable.
	effects []Action
	// leftOut is the number of kinds of data that the stored record lacks because of its size.
	leftOut int
	// began means that a task has certainly started.
	began bool
	// retainUntil is when the record of an ended job may be deleted.
	retainUntil time.Time
	// checkpointsCommittedAt is when the record was last queued for a commit only because
	// of new checkpoints.
	checkpointsCommittedAt time.Time
	// speeds holds the last measured speeds of the job's tasks by agent.
	speeds map[oleandervalve.AgentID]jobSpeed
	// expired means that the rows of an ended job are to be deleted.
	expired bool
	// memory is what the job counts for in Dispatcher.jobMemory.
	memory oleandervalve.Bytes
}

// step is one occurrence of a step of a job.
type step struct {
	job        *job
	occurrence int
	index      int
	spec       *work.Step
	// firstTask is the index of the step's first task in the record.
	firstTask int
	// waiting holds the indexes of the tasks without a run.
	waiting []int
	// done is the number of tasks that have succeeded.
	done int
	// runsByAgent counts the step's runs by agent.
	runsByAgent map[oleandervalve.AgentID]int
	// ready means that the step is in Dispatcher.ready or Dispatcher.delayed.
	ready bool
	// notBefore is the earliest time at which tasks of the step may be placed.
	notBefore time.Time
	// readyAt is when the step last became ready for placement.
	readyAt time.Time
	// explainedAt is when it was last looked into why a task of the step waits.
	explainedAt time.Time
	// cachedRank is the rank of the step, computed at rankedAt.
	cachedRank int
	rankedAt   time.Time
	permits    permits
	// avoidedAgents holds, by task index, the agent on which the task last failed or stalled.
	avoidedAgents map[int]oleandervalve.AgentID
	// refused holds, by task index, the successive refusals of its starts.
	refused map[int]refusals
	// suspectSince holds, by task index, since when a suspect task waits.
	suspectSince map[int]time.Time
	// heldUpSince holds, by the index of a suspect task or innocentTasks, since when tasks of a
	// long-running step could start but for isolations.
	heldUpSince map[int]time.Time
}

func newJob(id oleandervalve.JobID, spec work.Spec, rec work.Record) *job {
	j := &job{id: id, spec: spec, rec: rec}
	if j.rec.Tasks == nil && !rec.State.Terminal() {
		j.rec.Tasks = make([]work.TaskRecord, spec.TaskCount())
	}
	j.objective = rec.Queue.Objective(spec)
	j.dependents = make([][]int, len(spec.Steps))
	for i, s := range spec.Steps {
		for _, a := range s.After {
			if !slices.Contains(j.dependents[a], i) {
				j.dependents[a] = append(j.dependents[a], i)
			}
		}
	}
	base := 0
	for o := range spec.Occurrences() {
		for i := range spec.Steps {
			s := &step{job: j, occurrence: o, index: i, spec: &spec.Steps[i], firstTask: base}
			base += s.spec.Count
			j.steps = append(j.steps, s)
		}
	}
	return j
}

// step returns an occurrence of a step, or nil if the job has no such step.
func (j *job) step(occurrence, index int) *step {
	if occurrence < 0 || occurrence >= j.spec.Occurrences() || index < 0 || index >= len(j.spec.Steps) {
		return nil
	}
	return j.steps[occurrence*len(j.spec.Steps)+index]
}

// task returns the step and the record of a task, or nil if the job has no such task.
func (j *job) task(n oleandervalve.TaskName) (*step, *work.TaskRecord) {
	s := j.step(n.Occurrence, n.Step)
	if s == nil || n.Index < 0 || n.Index >= s.spec.Count || s.firstTask+n.Index >= len(j.rec.Tasks) {
		return nil, nil
	}
	return s, &j.rec.Tasks[s.firstTask+n.Index]
}

func (s *step) name(index int) oleandervalve.TaskName {
	return oleandervalve.TaskName{Job: s.job.id, Occurrence: s.occurrence, Step: s.index, Index: index}
}

// dependenciesDone reports whether all tasks of the steps that this one depends on are done.
func (s *step) dependenciesDone() bool {
	for _, a := range s.spec.After {
		b := s.job.step(s.occurrence, a)
		if b.done < b.spec.Count {
			return false
		}
	}
	return true
}

// history returns what is known of the crashes under a task.
func (s *step) history(index int) crash.History { return s.job.rec.Crashes[s.firstTask+index] }

// setHistory replaces what is known of the crashes under a task.
func (s *step) setHistory(index int, h crash.History) {
	if s.job.rec.Crashes == nil {
		s.job.rec.Crashes = map[int]crash.History{}
	}
	s.job.rec.Crashes[s.firstTask+index] = h
}

// releaseTime returns the time from which the objective of the step's occurrence is measured.
func (s *step) releaseTime() time.Time {
	from := s.job.rec.AcceptedAt
	if d := s.job.spec.ReleaseTime(s.occurrence); d.After(from) {
		from = d
	}
	return from
}

func (s *step) hints() RunHints {
	h := RunHints{
		BestEffort: s.spec.BestEffort, TargetLatency: s.spec.TargetLatency, Image: s.spec.Image,
		CPU: s.spec.Demand.CPU, Memory: s.spec.Demand.Memory, Accelerators: s.spec.Demand.Accelerators, LongRunning: s.spec.LongRunning,
	}
	if !s.spec.LongRunning {
		h.Estimate = s.spec.Estimate
	}
	return h
}

// executorIndex returns the index of an executor in the record and adds the executor if needed.
func (j *job) executorIndex(ref work.ExecutorRef) int {
	for i, known := range j.rec.Executors {
		if known == ref {
			return i
		}
	}
	j.rec.Executors = append(j.rec.Executors, ref)
	return len(j.rec.Executors) - 1
}

// running reports whether any task of the job is assigned to an executor.
func (j *job) running() bool {
	for _, t := range j.rec.Tasks {
		if t.State == work.TaskAssigned {
			return true
		}
	}
	return false
}

func (j *job) complete() bool {
	for _, s := range j.steps {
		if s.done < s.spec.Count {
			return false
		}
	}
	return true
}
