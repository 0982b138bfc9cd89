package scheduler

import (
	"time"

	"oleandervalve"
	"oleandervalve/core/quarantine"
	"oleandervalve/core/quota"
	"oleandervalve/core/size"
	"oleandervalve/core/worker"
)

// WhyWaiting explains why a job waits.
type WhyWaiting struct {
	Job oleandervalve.JobID `json:"job"`
	// Tasks is the number of waiting tasks; 0 means that none waits.
	Tasks  int           `json:"tasks"`
	Urgent bool          `json:"urgent"`
	Waited time.Duration `json:"waitedNs"`
	// Blocked is the reason for the last failed attempt.
	Blocked Blocked `json:"blocked,omitempty"`
	// RetryAt is the time of the next attempt.
	RetryAt time.Time `json:"retryAt"`
	Tries   int       `json:"tries"`
	// JobsAhead is the number of jobs of the same team that come first.
	JobsAhead int `json:"jobsAhead"`
	// TeamsAhead is the number of teams with waiting jobs and a smaller share.
	TeamsAhead int          `json:"teamsAhead"`
	Team       quota.Status `json:"team"`
	// Claim says whether the team could use the size now.
	Claim quota.Claim `json:"claim"`
	// Diagnosis counts the workers that each constraint excludes.
	Diagnosis worker.Diagnosis `json:"diagnosis"`
	Size      size.Snapshot    `json:"size"`
	// Parked is set if the job is no longer retried.
	Parked *Parked `json:"parked,omitempty"`
}

// ExplainJob says why a job waits; false if it neither waits nor is parked.
func (s *Scheduler) ExplainJob(id oleandervalve.JobID, now time.Time) (WhyWaiting, bool) {
	if p, ok := s.parked[id]; ok {
		return WhyWaiting{Job: id, Parked: &p}, true
	}
	j := s.queue.byJob[queueKey{id, true}]
	if j == nil {
		j = s.queue.byJob[queueKey{id, false}]
	}
	if j == nil {
		return WhyWaiting{}, false
	}
	t := j.tasks[0]
	want := s.estimate(t.Spec)
	e := WhyWaiting{
		Job: id, Tasks: len(j.tasks), Urgent: j.urgent, Waited: oleandervalve.Elapsed(now, j.since),
		Blocked: j.blocked, RetryAt: j.retryAt, Tries: j.tries,
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
	for _, q := range s.queue.order {
		if len(q.jobs) > 0 && s.ledger.Share(q.id) < e.Team.Share {
			e.TeamsAhead++
		}
	}
	return e, true
}

// WhyIdle explains why a worker gets no work.
type WhyIdle struct {
	Worker   oleandervalve.WorkerID  `json:"worker"`
	State    worker.State            `json:"state"`
	Capacity oleandervalve.Resources `json:"capacity"`
	Free     oleandervalve.Resources `json:"free"`
	Tasks    int                     `json:"tasks"`
	// Throttled and Leaving count tasks below their full share and tasks being stopped.
	Throttled int `json:"throttled"`
	Leaving   int `json:"leaving"`
	// ServiceSlowdown is the measured slowdown of its slowest service.
	ServiceSlowdown float64           `json:"serviceSlowdown"`
	Fault           quarantine.Status `json:"fault"`
	// Replaced is the time at which the worker is to be replaced, zero if it is not.
	Replaced time.Time `json:"replaced"`
	// Waiting is the number of waiting jobs that were compared with the worker.
	Waiting int `json:"waiting"`
	// Possible is the number of them that the worker could take now.
	Possible int `json:"possible"`
	// Excluded counts the others by the constraint that excludes this worker.
	Excluded []worker.Excluded `json:"excluded,omitempty"`
}

// ExplainWorker says why a worker gets no work; false if it is unknown.
func (s *Scheduler) ExplainWorker(id oleandervalve.WorkerID, now time.Time) (WhyIdle, bool) {
	w := s.fleet.Worker(id)
	if w == nil {
		return WhyIdle{}, false
	}
	e := WhyIdle{
		Worker: id, State: w.State, Capacity: w.Capacity, Free: w.Free(), Tasks: len(w.Residents),
		ServiceSlowdown: w.Response.Slowdown(), Fault: s.faults.WorkerStatus(id),
	}
	if m := s.moves[id]; m != nil {
		e.Replaced = m.deadline
	}
	for _, r := range w.Residents {
		if r.Share < 1 {
			e.Throttled++
		}
		if r.Leaving {
			e.Leaving++
		}
	}
	counts := map[worker.Constraint]int{}
	s.queue.jobs(func(j *waiting) bool {
		e.Waiting++
		t := j.tasks[0]
		if c, ok := s.fleet.Check(w, t, s.estimate(t.Spec), now); ok {
			e.Possible++
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
