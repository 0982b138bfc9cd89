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

// Policies gives access to the current configuration of jobs and workers.
type Policies interface {
	// JobDefaults returns the defaults for fields that a job with the given labels
	// does not set.
	JobDefaults(set map[string]string) operator.JobDefaultsSpec
	// Constraints returns the selectors that policies add to jobs with the given labels.
	Constraints(set map[string]string) (runOn, avoid []string)
	// WorkerLabels merges the configured labels into those that a worker announces.
	WorkerLabels(announced map[string]string) map[string]string
}

// SetPolicies sets the source of the configuration of jobs and workers. It must be
// called before agents connect. No task is placed until the first SetEvacuations.
func (o *Owner) SetPolicies(p Policies) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.policies, o.awaitsConfiguration = p, true
}

// effectiveLabels returns the labels of a worker according to the current
// configuration. The caller holds the lock.
func (o *Owner) effectiveLabels(announced map[string]string) labels.Set {
	if o.policies == nil {
		return labels.Set(announced)
	}
	return labels.Set(o.policies.WorkerLabels(announced))
}

// RefreshWorkerLabels recomputes the labels of all workers after a change of the configuration.
func (o *Owner) RefreshWorkerLabels() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, info := range o.workers {
		updated := o.effectiveLabels(info.announced)
		if maps.Equal(info.labels, updated) {
			continue
		}
		info.labels = updated
		if info.capacity != (oleandervalve.Resources{}) {
			o.placer.scheduler.UpdateWorker(id, info.location, info.labels, info.capacity)
		}
	}
}

// applyPolicies adds the configured defaults and constraints for its labels to a
// job. Later changes of the configuration do not affect accepted jobs.
func (o *Owner) applyPolicies(s JobSpec) (JobSpec, error) {
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
	s.Where = strings.Join(appendMissing(nonEmpty(s.Where), runOn...), ",")
	avoid = appendMissing(nonEmpty(s.NotBeside), avoid...)
	if len(avoid) > 1 {
		// A conjunction of the selectors would avoid only tasks that match all of them.
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

func appendMissing(list []string, more ...string) []string {
	for _, m := range more {
		present := false
		for _, x := range list {
			present = present || x == m
		}
		if !present {
			list = append(list, m)
		}
	}
	return list
}

// ExplainJob explains the states of a job's tasks. It returns
// *oleandervalve.NotFoundError if the job does not exist.
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
	if o.shard(job.ShardOf(j)) == nil {
		e.Details = append(e.Details, "another entry places the job; ask that entry for more")
		return e, nil
	}
	now := o.clock.Now()
	detail, ok := o.placer.scheduler.ExplainJob(j, now)
	if !ok {
		return e, nil
	}
	if detail.Parked != nil {
		e.Answer = fmt.Sprintf("parked: %+v", *detail.Parked)
		return e, nil
	}
	e.Details = append(e.Details,
		fmt.Sprintf("waited %s in %d tries; last failed attempt: %s", detail.Waited.Round(time.Second), detail.Attempts, orNone(string(detail.Blocked))),
		fmt.Sprintf("%d jobs of the team and %d teams come first", detail.JobsAhead, detail.TeamsAhead),
		fmt.Sprintf("team %s uses %+v of its quota %+v; a further task is %s", detail.Team.Team, detail.Team.Used, detail.Team.Quota, detail.Claim))
	e.Details = append(e.Details, describeExclusions(detail.Diagnosis.Excluded)...)
	return e, nil
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

func describeExclusions(list []worker.Excluded) []string {
	var out []string
	for _, x := range list {
		out = append(out, fmt.Sprintf("constraint %s excludes %d", x.Constraint, x.Workers))
		if x.Constraint == worker.Evacuating {
			out = append(out, fmt.Sprintf("%d workers are in evacuated data centres; status lists the evacuations", x.Workers))
		}
	}
	return out
}

// ExplainWorker explains whether and why a worker gets no tasks. It returns
// *oleandervalve.NotFoundError if the worker is not known.
func (o *Owner) ExplainWorker(w oleandervalve.WorkerID) (operator.Explanation, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	detail, ok := o.placer.scheduler.ExplainWorker(w, now)
	if !ok {
		return operator.Explanation{}, &oleandervalve.NotFoundError{
			Kind: "worker", Name: string(w), Remedy: "check the worker's id and that its agent is connected to this entry",
		}
	}
	e := operator.Explanation{Subject: "worker " + string(w)}
	info := o.workers[w]
	switch {
	case !detail.DrainDeadline.IsZero():
		e.Answer = "gets no work: it is drained until " + detail.DrainDeadline.UTC().Format(time.RFC3339)
	case detail.Evacuated && info != nil:
		r := operator.Ref{Kind: operator.KindEvacuation, Name: string(info.location.DataCentre)}
		e.Answer = fmt.Sprintf("gets no new tasks: data centre %s is evacuated", r.Name)
		e.Objects = append(e.Objects, r.String())
	case info != nil && !info.responsive:
		e.Answer = "gets no work: its agent is silent"
	case detail.WaitingJobs == 0:
		e.Answer = "no job of this entry waits"
	case detail.FittingJobs > 0:
		e.Answer = fmt.Sprintf("could take %d of %d waiting jobs", detail.FittingJobs, detail.WaitingJobs)
	default:
		e.Answer = fmt.Sprintf("gets no work: none of %d waiting jobs may run on it", detail.WaitingJobs)
	}
	e.Details = append(e.Details,
		fmt.Sprintf("state %s, %d tasks, free %+v of %+v", detail.State, detail.Tasks, detail.Free, detail.Capacity),
		fmt.Sprintf("standing: %+v", detail.Quarantine))
	for _, x := range detail.Excluded {
		e.Details = append(e.Details, fmt.Sprintf("constraint %s excludes the worker for %d jobs", x.Constraint, x.Workers))
	}
	return e, nil
}

// ExplainEviction explains why a task was evicted. It returns
// *oleandervalve.NotFoundError if the task does not exist.
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
			e.Answer = fmt.Sprintf("evicted %d times; the record gives the reason %s", t.Evictions, orNone(string(t.Reason)))
		}
		e.Details = []string{fmt.Sprintf("the task is %s on worker %s at epoch %d", t.State, orNone(t.Worker), t.Epoch)}
		return e, nil
	}
	return operator.Explanation{}, &oleandervalve.NotFoundError{Kind: "task", Name: string(id), Remedy: "name a task as <job>/<number>"}
}
