package work

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"oleandervalve"
)

const (
	// MaxPayload is the maximum length of a job's payload in bytes, as the callers'
	// interface defines it.
	MaxPayload = 4000
	// MaxSteps limits the steps of a job so that its record fits into a table row.
	MaxSteps = 64
	// MaxTasks limits the tasks of a job so that its record fits into a table row.
	MaxTasks = 2000
	// MaxName is the maximum length of a label, rack or image in bytes.
	MaxName = 200
	// MaxDependencies limits the entries of Step.After of all steps of a job.
	MaxDependencies = 4096
	// maxDuration limits the times of a step, and the time from the first occurrence of a
	// job to the last, so that sums of them don't overflow.
	maxDuration = 20 * 365 * 24 * time.Hour
	// maxStartYear is the last year in which an occurrence may start.
	maxStartYear = 9999
)

// maxDemand limits the resources of a task, so that sums over the runs of an executor don't
// overflow. No executor has as much.
var maxDemand = oleandervalve.Resources{CPU: 1e9, Memory: 1 << 50, Accelerators: 1 << 16}

// Step is a group of identical tasks of a job.
type Step struct {
	Count    int                     `cbor:"1,keyasint"`
	Demand   oleandervalve.Resources `cbor:"2,keyasint"`
	Estimate time.Duration           `cbor:"3,keyasint,omitempty"`
	// After lists the indexes of earlier steps that must be complete before this step starts.
	After         []int `cbor:"4,keyasint,omitempty"`
	Checkpointing bool  `cbor:"5,keyasint,omitempty"`
	// Gang means that the tasks make progress only while all of them run.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack asks for all tasks of a gang on executors of one rack, if possible.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Label, if not empty, must be among the labels of the executor.
	Label string `cbor:"8,keyasint,omitempty"`
	// DataRack is the rack that holds the data of the tasks. Its executors are preferred.
	DataRack oleandervalve.RackID `cbor:"9,keyasint,omitempty"`
	// MaxPerExecutor limits the tasks of one occurrence of the step on an executor; 0 means no limit.
	MaxPerExecutor int `cbor:"10,keyasint,omitempty"`
	// AllowCopies means that the caller accepts concurrent runs of one task. It has no
	// effect at present.
	AllowCopies bool `cbor:"11,keyasint,omitempty"`
	// LongRunning tasks run until the job is cancelled and are restarted whenever they end.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// Image names the program that the tasks run. Tasks with the same image are expected
	// to have the same load profile.
	Image oleandervalve.KindName `cbor:"13,keyasint,omitempty"`
	// TargetLatency is the tail latency that a latency-critical task must stay below; 0
	// means that the task is not latency-critical.
	TargetLatency time.Duration `cbor:"14,keyasint,omitempty"`
	// BestEffort tasks reserve no CPU: they use processors that other tasks leave idle.
	BestEffort bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is how many long-running tasks the system may interrupt at a time.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// Reserved returns the resources that a task of the step reserves on its executor.
func (s Step) Reserved() oleandervalve.Resources {
	r := s.Demand
	if s.BestEffort {
		r.CPU = 0
	}
	return r
}

// Spec is a job as submitted.
type Spec struct {
	Payload string `cbor:"1,keyasint,omitempty"`
	Steps   []Step `cbor:"2,keyasint"`
	// Repeat is the number of occurrences; 0 means a single one without a release time.
	Repeat int `cbor:"3,keyasint,omitempty"`
	// StartAt is the release time of the first occurrence, and Interval the time between
	// the release times of two occurrences.
	StartAt  time.Time     `cbor:"4,keyasint,omitempty"`
	Interval time.Duration `cbor:"5,keyasint,omitempty"`
}

// Occurrences returns the number of occurrences, which is at least 1.
func (s Spec) Occurrences() int { return max(1, s.Repeat) }

// TaskCount returns the number of tasks of all occurrences.
func (s Spec) TaskCount() int {
	n := 0
	for _, st := range s.Steps {
		n += st.Count
	}
	return n * s.Occurrences()
}

// ReleaseTime returns the earliest start of an occurrence; the zero time means immediately.
func (s Spec) ReleaseTime(occurrence int) time.Time {
	if s.Repeat == 0 {
		return time.Time{}
	}
	return s.StartAt.Add(time.Duration(occurrence) * s.Interval)
}

// CriticalPath returns the length of the longest dependency chain of estimated step durations.
func (s Spec) CriticalPath() time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(s.Steps))
	for i, st := range s.Steps {
		for _, a := range st.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += st.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Validate returns an *oleandervalve.InvalidError if the job can't run as specified.
func (s Spec) Validate() error {
	if len(s.Payload) > MaxPayload {
		return invalid("payload", strconv.Itoa(len(s.Payload))+" bytes", fmt.Sprintf("send at most %d bytes", MaxPayload))
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return invalid("steps", strconv.Itoa(len(s.Steps)), fmt.Sprintf("send 1 to %d steps", MaxSteps))
	}
	total, dependencies := 0, 0
	for i, st := range s.Steps {
		name := "steps[" + strconv.Itoa(i) + "]"
		if st.Count < 1 {
			return invalid(name+".count", strconv.Itoa(st.Count), "ask for at least one task")
		}
		if st.Count > MaxTasks {
			return invalid(name+".count", strconv.Itoa(st.Count), fmt.Sprintf("split the job into jobs of at most %d tasks", MaxTasks))
		}
		total += st.Count
		if st.Demand.IsNegative() {
			return invalid(name+".demand", fmt.Sprint(st.Demand), "ask for amounts that are not negative")
		}
		if !st.Demand.Fits(maxDemand) {
			return invalid(name+".demand", fmt.Sprint(st.Demand), "ask for what an executor can have")
		}
		if st.Estimate > maxDuration/MaxSteps || st.TargetLatency > maxDuration {
			return invalid(name, fmt.Sprint(max(st.Estimate, st.TargetLatency)), fmt.Sprintf("use times of at most %s", maxDuration/MaxSteps))
		}
		if st.Estimate < 0 || st.TargetLatency < 0 || st.MaxPerExecutor < 0 || st.MaxUnavailable < 0 {
			return invalid(name, "negative", "use values that are not negative")
		}
		for _, n := range []string{st.Label, string(st.DataRack), string(st.Image)} {
			if len(n) > MaxName {
				return invalid(name, strconv.Itoa(len(n))+" bytes", fmt.Sprintf("use labels, racks and images of at most %d bytes", MaxName))
			}
		}
		dependencies += len(st.After)
		if dependencies > MaxDependencies {
			return invalid(name+".after", strconv.Itoa(dependencies)+" entries", fmt.Sprintf("send at most %d entries in all steps", MaxDependencies))
		}
		for _, a := range st.After {
			if a < 0 || a >= i {
				return invalid(name+".after", strconv.Itoa(a), "name earlier steps only")
			}
		}
	}
	if s.Repeat < 0 || s.Interval < 0 {
		return invalid("repeat", strconv.Itoa(s.Repeat), "use values that are not negative")
	}
	if s.Repeat > MaxTasks || s.Repeat > 0 && s.Interval > maxDuration/time.Duration(s.Repeat) || s.Repeat > 0 && s.StartAt.Year() > maxStartYear {
		return invalid("repeat", fmt.Sprintf("%d times, each %s from %s", s.Repeat, s.Interval, s.StartAt.Format(time.RFC3339)), "ask for fewer occurrences or a shorter time")
	}
	if total*s.Occurrences() > MaxTasks {
		return invalid("steps", strconv.Itoa(total*s.Occurrences())+" tasks", fmt.Sprintf("split the job into jobs of at most %d tasks", MaxTasks))
	}
	return nil
}

func invalid(field, value, remedy string) error {
	return &oleandervalve.InvalidError{Field: field, Value: value, Remedy: remedy}
}

// QueueName names a queue of jobs.
type QueueName string

// Queue is the name and policy of a queue. A record holds the policy as of the job's
// acceptance.
type Queue struct {
	Name    QueueName                 `cbor:"1,keyasint"`
	Service oleandervalve.ServiceName `cbor:"2,keyasint"`
	// Priority is the rank of the queue's jobs; 0 is the highest.
	Priority int `cbor:"3,keyasint,omitempty"`
	// MaxAttempts is the number of failures after which a task fails its job; 0 means no limit.
	MaxAttempts int `cbor:"4,keyasint,omitempty"`
	// Stretch is the target time to completion as a multiple of the critical path.
	Stretch float64 `cbor:"5,keyasint,omitempty"`
	// Slack is a constant that is added to the target time to completion.
	Slack time.Duration `cbor:"6,keyasint,omitempty"`
	// Permits configures the placement permits that tasks need, if any.
	Permits PermitPolicy `cbor:"7,keyasint,omitzero"`
}

// PermitPolicy describes the permit service of a queue. The zero value means that tasks
// need no permits.
type PermitPolicy struct {
	_ struct{} `cbor:",toarray"`
	// DecisionTime is the fixed time per request, to which TimePerExecutor is added for
	// each executor in it.
	DecisionTime    time.Duration
	TimePerExecutor time.Duration
	// Validity is how long a permit is valid.
	Validity time.Duration
}

// Required reports whether tasks need a permit.
func (p PermitPolicy) Required() bool { return p.Validity > 0 }

// Objective returns the target time from submission to completion of a job.
func (q Queue) Objective(s Spec) time.Duration {
	return time.Duration(max(1, q.Stretch)*float64(s.CriticalPath())) + q.Slack
}

// Route assigns requests with a host and path prefix to a queue.
type Route struct {
	Host   string
	Prefix string
	Queue  Queue
	// Timeout limits how long one request is handled.
	Timeout time.Duration
	// MaxBody is the maximum length of a request body in bytes; 0 means the default.
	MaxBody int64
}

// Configuration is one version of the operators' configuration.
type Configuration struct {
	Version oleandervalve.Revision
	Routes  []Route
}

// Services returns the services of all routes.
func (c Configuration) Services() []oleandervalve.ServiceName {
	var out []oleandervalve.ServiceName
	for _, r := range c.Routes {
		if !slices.Contains(out, r.Queue.Service) {
			out = append(out, r.Queue.Service)
		}
	}
	return out
}

// Match returns the route with the longest prefix for a host and path.
func (c Configuration) Match(host, path string) (Route, bool) {
	best := -1
	for i, r := range c.Routes {
		if r.Host == host && len(path) >= len(r.Prefix) && path[:len(r.Prefix)] == r.Prefix &&
			(best < 0 || len(r.Prefix) > len(c.Routes[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return c.Routes[best], true
}
