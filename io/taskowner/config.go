package taskowner

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"oleandervalve"
	"oleandervalve/core/job"
	"oleandervalve/core/operator"
	"oleandervalve/core/worker"
)

// Policies is the configuration of jobs and workers that is in force.
type Policies interface {
	// JobDefaults returns what a job with the given labels gets where it declares nothing.
	JobDefaults(set map[string]string) operator.JobDefaultsSpec
	// Constraints returns the selectors that policies add for work with the given labels.
	Constraints(set map[string]string) (runOn, avoid []string)
	// WorkerLabels returns a worker's announced labels with the configured ones.
	WorkerLabels(announced map[string]string) map[string]string
}

// SetPolicies sets the configuration of jobs and workers; it is called before agents connect.
func (o *Owner) SetPolicies(p Policies) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.policies = p
}

// labelsOf returns the labels of a worker that are in force; the caller holds the lock.
func (o *Owner) labelsOf(announced map[string]string) labels.Set {
	if o.policies == nil {
		return labels.Set(announced)
	}
	return labels.Set(o.policies.WorkerLabels(announced))
}

// Relabel looks up the labels of all workers again.
func (o *Owner) Relabel() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, v := range o.workers {
		now := o.labelsOf(v.announced)
		if maps.Equal(v.labels, now) {
			continue
		}
		v.labels = now
		if v.capacity != (oleandervalve.Resources{}) {
			o.placer.scheduler.UpdateWorker(id, v.location, v.labels, v.capacity)
		}
	}
}

// complete adds to a job what the configuration says about its labels. A later
// change of the configuration does not change jobs that are accepted already.
func (o *Owner) complete(s JobSpec) (JobSpec, error) {
	o.mu.Lock()
	p := o.policies
	o.mu.Unlock()
	if p == nil {
		return s, nil
	}
	d := p.JobDefaults(s.Labels)
	if s.Size == (oleandervalve.Resources{}) {
		s.Size = d.Size
	}
	if s.Where == "" {
		s.Where = d.RunOn
	}
	runOn, avoid := p.Constraints(s.Labels)
	s.Where = strings.Join(appendNew(nonEmpty(s.Where), runOn...), ",")
	avoid = appendNew(nonEmpty(s.NotBeside), avoid...)
	if len(avoid) > 1 {
		// Joined selectors would avoid only the work that all of them select.
		return s, &oleandervalve.InvalidError{
			Field: "notBeside", Value: strings.Join(avoid, " and "),
			Remedy: "a job avoids the work of one selector; combine the selectors of the job and of the policies that select it",
		}
	}
	s.NotBeside = strings.Join(avoid, "")
	return s, nil
}

func nonEmpty(s string) []string {
	if s == "" {
		return nil
	}
	return []string{s}
}

func appendNew(list []string, more ...string) []string {
	for _, m := range more {
		known := false
		for _, x := range list {
			known = known || x == m
		}
		if !known {
			list = append(list, m)
		}
	}
	return list
}

// ExplainJob says why a job's tasks are in their states, or *oleandervalve.NotFoundError.
func (o *Owner) ExplainJob(ctx context.Context, j oleandervalve.JobID) (operator.Explanation, error) {
	s, err := o.Status(ctx, j, "")
	if err != nil {
		return operator.Explanation{}, err
	}
	e := operator.Explanation{Subject: "job " + string(j)}
	counts := map[job.State]int{}
	waiting := 0
	for _, t := range s.Tasks {
		counts[t.State]++
		if t.State.Waiting() {
			waiting++
		}
		if t.Reason != "" {
			e.Details = append(e.Details, fmt.Sprintf("task %s is %s: %s", t.Task, t.State, t.Reason))
		}
	}
	switch {
	case s.Cancelled:
		e.Answer = "cancelled"
	case waiting == 0:
		e.Answer = fmt.Sprintf("no task waits; tasks by state: %v", counts)
	default:
		e.Answer = fmt.Sprintf("%d of %d tasks wait", waiting, len(s.Tasks))
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.shards[job.ShardOf(j)] == nil {
		e.Details = append(e.Details, "another entry places the job; ask that entry for more")
		return e, nil
	}
	now := o.clock.Now()
	why, ok := o.placer.scheduler.ExplainJob(j, now)
	if !ok {
		return e, nil
	}
	if why.Parked != nil {
		e.Answer = fmt.Sprintf("parked: %+v", *why.Parked)
		return e, nil
	}
	e.Details = append(e.Details,
		fmt.Sprintf("waited %s in %d tries; last failed attempt: %s", why.Waited.Round(time.Second), why.Attempts, text(string(why.Blocked))),
		fmt.Sprintf("%d jobs of the team and %d teams come first", why.JobsAhead, why.TeamsAhead),
		fmt.Sprintf("team %s uses %+v of its quota %+v; a further task is %s", why.Team.Team, why.Team.Used, why.Team.Quota, why.Claim))
	e.Details = append(e.Details, excluded(why.Diagnosis.Excluded)...)
	return e, nil
}

func text(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

func excluded(list []worker.Excluded) []string {
	var out []string
	for _, x := range list {
		out = append(out, fmt.Sprintf("constraint %s excludes %d", x.Constraint, x.Workers))
	}
	return out
}

// ExplainWorker says why a worker gets no work, or *oleandervalve.NotFoundError.
func (o *Owner) ExplainWorker(w oleandervalve.WorkerID) (operator.Explanation, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	why, ok := o.placer.scheduler.ExplainWorker(w, now)
	if !ok {
		return operator.Explanation{}, &oleandervalve.NotFoundError{
			Kind: "worker", Name: string(w), Remedy: "check the worker's id and that its agent is connected to this entry",
		}
	}
	e := operator.Explanation{Subject: "worker " + string(w)}
	v := o.workers[w]
	switch {
	case !why.DrainDeadline.IsZero():
		e.Answer = "gets no work: it is drained until " + why.DrainDeadline.UTC().Format(time.RFC3339)
	case v != nil && !v.heard:
		e.Answer = "gets no work: its agent is silent"
	case why.WaitingJobs == 0:
		e.Answer = "no job of this entry waits"
	case why.FittingJobs > 0:
		e.Answer = fmt.Sprintf("could take %d of %d waiting jobs", why.FittingJobs, why.WaitingJobs)
	default:
		e.Answer = fmt.Sprintf("gets no work: none of %d waiting jobs may run on it", why.WaitingJobs)
	}
	e.Details = append(e.Details,
		fmt.Sprintf("state %s, %d tasks, free %+v of %+v", why.State, why.Tasks, why.Free, why.Capacity),
		fmt.Sprintf("standing: %+v", why.Quarantine))
	for _, x := range why.Excluded {
		e.Details = append(e.Details, fmt.Sprintf("constraint %s excludes the worker for %d jobs", x.Constraint, x.Workers))
	}
	return e, nil
}

// ExplainEviction says why a task was evicted, or *oleandervalve.NotFoundError.
func (o *Owner) ExplainEviction(ctx context.Context, id oleandervalve.TaskID) (operator.Explanation, error) {
	s, err := o.Status(ctx, job.Parent(id), "")
	if err != nil {
		return operator.Explanation{}, err
	}
	for _, t := range s.Tasks {
		if t.Task != id {
			continue
		}
		e := operator.Explanation{Subject: "eviction of task " + string(id), Answer: "the task was not evicted"}
		if t.Evictions > 0 {
			e.Answer = fmt.Sprintf("evicted %d times; the record gives the reason %s", t.Evictions, text(string(t.Reason)))
		}
		e.Details = []string{fmt.Sprintf("the task is %s on worker %s at epoch %d", t.State, text(t.Worker), t.Epoch)}
		return e, nil
	}
	return operator.Explanation{}, &oleandervalve.NotFoundError{Kind: "task", Name: string(id), Remedy: "name a task as <job>/<number>"}
}
