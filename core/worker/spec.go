package worker

import (
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"oleandervalve"
)

// Spec is what all tasks of a job have in common; tasks share one Spec, which must not change.
type Spec struct {
	Job  oleandervalve.JobID
	Kind oleandervalve.KindName
	Team oleandervalve.TeamID
	// Declared is the size stated by the submitter, which may be far off.
	Declared oleandervalve.Resources
	// LatencyCritical tells services from batch tasks; services are not evicted for others.
	LatencyCritical bool
	// Urgent work is placed ahead of the backlog.
	Urgent bool
	// Tasks is the number of tasks of the job.
	Tasks  int
	Labels labels.Set
	// Where selects the workers on which the tasks may run; nil selects all.
	Where labels.Selector
	// Beside must select every other task on the worker; nil selects all.
	Beside labels.Selector
	// NotBeside must select no other task on the worker; nil selects none.
	NotBeside labels.Selector

	where string
	match matchIDs
}

// Selectors are the label selectors of a job in Kubernetes syntax; an empty one does not constrain.
type Selectors struct {
	Where     string
	Beside    string
	NotBeside string
}

// Select sets the selectors of the spec; *oleandervalve.InvalidError names the selector that can't be parsed.
func (s *Spec) Select(q Selectors) error {
	for _, p := range []struct {
		field, text string
		to          *labels.Selector
	}{{"where", q.Where, &s.Where}, {"beside", q.Beside, &s.Beside}, {"notBeside", q.NotBeside, &s.NotBeside}} {
		*p.to = nil
		if p.text == "" {
			continue
		}
		sel, err := labels.Parse(p.text)
		if err != nil {
			return &oleandervalve.InvalidError{Field: p.field, Value: p.text, Remedy: "use Kubernetes label selector syntax, such as disk=ssd,rack!=r1"}
		}
		*p.to = sel
	}
	s.where = q.Where
	return nil
}

// Task is one task to place.
type Task struct {
	ID    oleandervalve.TaskID
	Epoch oleandervalve.Epoch
	*Spec
	// Evictions counts how often the task has been evicted.
	Evictions int
	// From is where the task's last attempt ran; nil for a first start.
	From *oleandervalve.Location
	// Avoid is the worker on which the task failed last; it is chosen only if
	// there is no other.
	Avoid oleandervalve.WorkerID
	// Progress is the work saved in the last checkpoint.
	Progress time.Duration
}

// Resident is a task with a reservation on a worker.
type Resident struct {
	Task
	Worker *Worker
	// Size is what the placement reserves for the task.
	Size oleandervalve.Resources
	// Share is the part of its processor allowance that the task may use.
	Share float32
	// SharedAt is the time of the last change of the share.
	SharedAt time.Time
	// Running tells running tasks from mere reservations.
	Running bool
	// Leaving means that the task is being stopped; it occupies its size until that is confirmed.
	Leaving bool
	// Probe marks the task that tests a quarantined worker.
	Probe bool
	// SavedAt is the start or the last checkpoint, after which work is unsaved.
	SavedAt time.Time
	// Used is the newest usage sample and SampledAt the time that it describes.
	Used      oleandervalve.Resources
	SampledAt time.Time
	// Growth is the smoothed growth of memory in bytes per second.
	Growth float32
}

// Unsaved returns the work that is lost if the task stops now.
func (r *Resident) Unsaved(now time.Time) time.Duration {
	if !r.Running {
		return 0
	}
	return oleandervalve.Elapsed(now, r.SavedAt)
}
