package dispatch

import (
	"time"

	"oleandervalve"
	"oleandervalve/core/work"
)

// job is an accepted or submitted job in memory.
type job struct {
	id   oleandervalve.JobID
	spec work.Spec
	rec  work.Record
	// version and specVersion are those of the rows; 0 means not stored yet.
	version     oleandervalve.Version
	specVersion oleandervalve.Version
	steps       []*step
	queued      bool
	// inFlight means that a commit with the job is on its way.
	inFlight bool
	// shown is the state that is durable, which callers are told.
	shown     work.State
	objective time.Duration

	submitters []Token
	cancellers []Token
	// effects are carried out once the present state is durable.
	effects []Action
	// retainUntil is when the record of the ended job may go.
	retainUntil time.Time
	// savedAt is when the record was last written for its checkpoints alone.
	savedAt time.Time
	// expired means that the rows of the ended job are to be deleted.
	expired bool
}

// step is one occurrence of a step of a job.
type step struct {
	job   *job
	occ   int
	index int
	spec  *work.Step
	// base is the index of the step's first task in the record.
	base    int
	waiting []int
	done    int
	// perExecutor counts the held runs of the step on each agent's executor.
	perExecutor map[oleandervalve.AgentID]int
	ready       bool
	notBefore   time.Time
	// readyAt is when the step last became ready for placement.
	readyAt time.Time
	// ranked is the rank of the step as of rankedAt.
	ranked   int
	rankedAt time.Time
	permits  permits
	// avoid names for a task the agent where it failed last.
	avoid map[int]oleandervalve.AgentID
}

func newJob(id oleandervalve.JobID, spec work.Spec, rec work.Record) *job {
	j := &job{id: id, spec: spec, rec: rec}
	per := 0
	for _, s := range spec.Steps {
		per += s.Count
	}
	if j.rec.Tasks == nil && !rec.State.Terminal() {
		j.rec.Tasks = make([]work.TaskRecord, per*spec.Occurrences())
	}
	j.objective = rec.Queue.Objective(spec)
	base := 0
	for o := range spec.Occurrences() {
		for i := range spec.Steps {
			s := &step{job: j, occ: o, index: i, spec: &spec.Steps[i], base: base}
			base += s.spec.Count
			j.steps = append(j.steps, s)
		}
	}
	return j
}

func (j *job) step(occ, index int) *step {
	n := occ*len(j.spec.Steps) + index
	if occ < 0 || index < 0 || index >= len(j.spec.Steps) || n >= len(j.steps) {
		return nil
	}
	return j.steps[n]
}

// task returns the record of a task, or nil for a name that the job doesn't have.
func (j *job) task(n oleandervalve.TaskName) (*step, *work.TaskRecord) {
	s := j.step(n.Occurrence, n.Step)
	if s == nil || n.Index < 0 || n.Index >= s.spec.Count || s.base+n.Index >= len(j.rec.Tasks) {
		return nil, nil
	}
	return s, &j.rec.Tasks[s.base+n.Index]
}

func (s *step) name(index int) oleandervalve.TaskName {
	return oleandervalve.TaskName{Job: s.job.id, Occurrence: s.occ, Step: s.index, Index: index}
}

// unblocked reports whether all tasks of the steps before are done.
func (s *step) unblocked() bool {
	for _, a := range s.spec.After {
		b := s.job.step(s.occ, a)
		if b.done < b.spec.Count {
			return false
		}
	}
	return true
}

// due is the time from which the objective of the step's occurrence counts.
func (s *step) due() time.Time {
	from := s.job.rec.AcceptedAt
	if d := s.job.spec.Due(s.occ); d.After(from) {
		from = d
	}
	return from
}

func (s *step) traits() Traits {
	t := Traits{Fills: s.spec.Fills, Target: s.spec.Target, Image: s.spec.Image, CPU: s.spec.Demand.CPU}
	if !s.spec.LongRunning {
		t.Estimate = s.spec.Estimate
	}
	return t
}

// place returns the index of a place in the record, adding it if needed.
func (j *job) place(p work.Place) int {
	for i, q := range j.rec.Places {
		if q == p {
			return i
		}
	}
	j.rec.Places = append(j.rec.Places, p)
	return len(j.rec.Places) - 1
}

// running reports whether a task of the job is assigned to an executor.
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
