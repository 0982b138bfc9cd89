package worker

import (
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"oleandervalve"
)

// Spec holds what all tasks of a job have in common. The tasks share one Spec,
// which must not be changed.
type Spec struct {
	Job  oleandervalve.JobID
	Kind oleandervalve.KindName
	Team oleandervalve.TeamID
	// Declared is the size stated by the submitter, which may be very inaccurate.
	Declared oleandervalve.Resources
	// LatencyCritical distinguishes latency-critical from batch tasks;
	// latency-critical tasks are not evicted in favour of others.
	LatencyCritical bool
	// Urgent means that the tasks are placed ahead of the backlog.
	Urgent bool
	// Foreign means that another entry owns the tasks and decides when they move.
	Foreign bool
	// Tasks is the number of tasks of the job.
	Tasks  int
	Labels labels.Set
	// Where selects the workers on which the tasks may run; nil selects all.
	Where labels.Selector
	// Beside must select every other task on the worker; nil selects all.
	Beside labels.Selector
	// NotBeside must select no other task on the worker; nil selects none.
	NotBeside labels.Selector

	whereKey string
	match    matchIDs
}

// Selectors are the label selectors of a job in Kubernetes syntax; an empty one is no constraint.
type Selectors struct {
	Where     string
	Beside    string
	NotBeside string
}

// SetSelectors parses label selectors and sets them in the spec. If one can't be
// parsed, it returns an *oleandervalve.InvalidError that names its field.
func (s *Spec) SetSelectors(selectors Selectors) error {
	for _, p := range []struct {
		field, text string
		target      *labels.Selector
	}{{"where", selectors.Where, &s.Where}, {"beside", selectors.Beside, &s.Beside}, {"notBeside", selectors.NotBeside, &s.NotBeside}} {
		*p.target = nil
		if p.text == "" {
			continue
		}
		sel, err := labels.Parse(p.text)
		if err != nil {
			return &oleandervalve.InvalidError{Field: p.field, Value: p.text, Remedy: "use Kubernetes label selector syntax, such as disk=ssd,rack!=r1"}
		}
		*p.target = sel
	}
	s.whereKey = selectors.Where
	return nil
}

// Task is one task to place.
type Task struct {
	ID    oleandervalve.TaskID
	Epoch oleandervalve.Epoch
	*Spec
	// Evictions is the number of times that the task has been evicted.
	Evictions int
	// LastLocation is where the task's last attempt ran; nil for a first start.
	LastLocation *oleandervalve.Location
	// LastFailedWorker is the worker on which the task last failed; it is chosen
	// only if no other worker can take the task.
	LastFailedWorker oleandervalve.WorkerID
	// CheckpointedWork is the work that the last checkpoint contains.
	CheckpointedWork time.Duration
}

// Resident is a task with a reservation on a worker.
type Resident struct {
	Task
	Worker *Worker
	// Size is the reserved size.
	Size oleandervalve.Resources
	// Share is the share of its processor allowance to which the task is throttled;
	// 1 means unthrottled.
	Share float32
	// ShareChangedAt is the time of the last change of the share.
	ShareChangedAt time.Time
	// Running is false while the task has a reservation but has not started.
	Running bool
	// Stopping means that the task is being stopped; it occupies its size until the
	// stop is confirmed.
	Stopping bool
	// Probe marks a task that tests a quarantined worker.
	Probe bool
	// CheckpointedAt is the time of the last checkpoint or, without one, of the start.
	CheckpointedAt time.Time
	// Used is the newest usage sample and SampledAt the time at which it was taken.
	Used      oleandervalve.Resources
	SampledAt time.Time
	// MemoryGrowth is the smoothed growth of memory usage in bytes per second.
	MemoryGrowth float32
}

// WorkSinceCheckpoint returns the work that is lost if the task stops now.
func (r *Resident) WorkSinceCheckpoint(now time.Time) time.Duration {
	if !r.Running {
		return 0
	}
	return oleandervalve.Elapsed(now, r.CheckpointedAt)
}
