package scheduler

import (
	"time"

	"oleandervalve"
	"oleandervalve/core/quarantine"
	"oleandervalve/core/quota"
	"oleandervalve/core/size"
	"oleandervalve/core/worker"
)

// JobExplanation says why a job waits or that it is parked.
type JobExplanation struct {
	Job oleandervalve.JobID `json:"job"`
	// Tasks is the number of waiting tasks, 0 for a parked job.
	Tasks  int           `json:"tasks"`
	Urgent bool          `json:"urgent"`
	Waited time.Duration `json:"waitedNs"`
	// Blocked is the reason for the last failed attempt.
	Blocked BlockedReason `json:"blocked,omitempty"`
	// RetryAt is the earliest time of the next attempt.
	RetryAt  time.Time `json:"retryAt"`
	Attempts int       `json:"tries"`
	// JobsAhead is the number of jobs that come first: of the same team, or of all
	// teams if the job is urgent.
	JobsAhead int `json:"jobsAhead"`
	// TeamsAhead is the number of teams with waiting jobs and a smaller share, which
	// are served first.
	TeamsAhead int          `json:"teamsAhead"`
	Team       quota.Status `json:"team"`
	// Claim says which quota, if any, covers one more task of the job now.
	Claim quota.Claim `json:"claim"`
	// Diagnosis counts the workers that each constraint excludes.
	Diagnosis worker.Diagnosis `json:"diagnosis"`
	Size      size.Snapshot    `json:"size"`
	// Parked is set if the job is no longer retried.
	Parked *Parked `json:"parked,omitempty"`
}

// ExplainJob returns why a job waits; false if it neither waits nor is parked.
func (s *Scheduler) ExplainJob(id oleandervalve.JobID, now time.Time) (JobExplanation, bool) {
	if p, ok := s.parked[id]; ok {
		return JobExplanation{Job: id, Parked: &p}, true
	}
	j := s.queue.byJob[queueKey{id, true}]
	if j == nil {
		j = s.queue.byJob[queueKey{id, false}]
	}
	if j == nil {
		return JobExplanation{}, false
	}
	t := j.tasks[0]
	want := s.estimate(t.Spec)
	e := JobExplanation{
		Job: id, Tasks: len(j.tasks), Urgent: j.urgent, Waited: oleandervalve.Elapsed(now, j.queuedAt),
		Blocked: j.blocked, RetryAt: j.retryAt, Attempts: j.attempts,
		Team: s.ledger.TeamStatus(t.Team), Claim: s.ledger.Claim(t.Team, want, !t.LatencyCritical),
		Diagnosis: s.fleet.Diagnose(t, want, now), Size: s.sizes.KindSnapshot(t.Kind),
	}
	if j.urgent {
		for e.JobsAhead < len(s.queue.urgent) && s.queue.urgent[e.JobsAhead] != j {
			e.JobsAhead++
		}
		return e, true
	}
	own := s.queue.team(t.Team)
	for e.JobsAhead < len(own.jobs) && own.jobs[e.JobsAhead] != j {
		e.JobsAhead++
	}
	for _, q := range s.queue.teamsByID {
		if len(q.jobs) > 0 && s.ledger.Share(q.id) < e.Team.Share {
			e.TeamsAhead++
		}
	}
	return e, true
}

// WorkerExplanation says why a worker gets no work.
type WorkerExplanation struct {
	Worker   oleandervalve.WorkerID  `json:"worker"`
	State    worker.State            `json:"state"`
	Capacity oleandervalve.Resources `json:"capacity"`
	Free     oleandervalve.Resources `json:"free"`
	Tasks    int                     `json:"tasks"`
	// Throttled and Stopping count tasks below their full share and tasks being stopped.
	Throttled int `json:"throttled"`
	Stopping  int `json:"leaving"`
	// LatencyCriticalSlowdown is the measured slowdown of the worker's slowest
	// latency-critical task.
	LatencyCriticalSlowdown float64           `json:"serviceSlowdown"`
	Quarantine              quarantine.Status `json:"fault"`
	// DrainDeadline is the time by which the worker is to be empty, zero if it is
	// not draining.
	DrainDeadline time.Time `json:"replaced"`
	// Evacuated means that the worker's data centre is evacuated.
	Evacuated bool `json:"evacuated"`
	// WaitingJobs is the number of waiting jobs that were checked against the worker.
	WaitingJobs int `json:"waiting"`
	// FittingJobs is the number of those jobs that the worker could take now.
	FittingJobs int `json:"possible"`
	// Excluded counts the other jobs by the constraint that excludes this worker.
	Excluded []worker.Excluded `json:"excluded,omitempty"`
}

// ExplainWorker returns why a worker gets no work; false if it is unknown.
func (s *Scheduler) ExplainWorker(id oleandervalve.WorkerID, now time.Time) (WorkerExplanation, bool) {
	w := s.fleet.Worker(id)
	if w == nil {
		return WorkerExplanation{}, false
	}
	e := WorkerExplanation{
		Worker: id, State: w.State, Capacity: w.Capacity, Free: w.Free(), Tasks: len(w.Residents),
		LatencyCriticalSlowdown: w.Response.Slowdown(), Quarantine: s.faultTracker.WorkerStatus(id),
		Evacuated: s.isEvacuated(id),
	}
	if d := s.drains[id]; d != nil {
		e.DrainDeadline = d.deadline
	}
	for _, r := range w.Residents {
		if r.Share < 1 {
			e.Throttled++
		}
		if r.Stopping {
			e.Stopping++
		}
	}
	counts := map[worker.Constraint]int{}
	s.queue.forEachJob(func(j *waitingJob) bool {
		e.WaitingJobs++
		t := j.tasks[0]
		if c, ok := s.fleet.Check(w, t, s.estimate(t.Spec), now); ok {
			e.FittingJobs++
		} else {
			counts[c]++
		}
		return true
	})
	for _, c := range worker.Constraints() {
		if counts[c] > 0 {
			e.Excluded = append(e.Excluded, worker.Excluded{Constraint: c, Workers: counts[c]})
		}
	}
	return e, true
}
