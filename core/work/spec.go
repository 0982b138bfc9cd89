package work

import (
	"fmt"
	"strconv"
	"time"

	"oleandervalve"
)

const (
	// MaxPayload is the longest payload of a job in bytes, from the interface's definition.
	MaxPayload = 4000
	// MaxSteps bounds the steps of one job, so that one record fits a table row.
	MaxSteps = 64
	// MaxTasks bounds the tasks of one job, so that one record fits a table row.
	MaxTasks = 2000
)

// Step is a group of like tasks of a job.
type Step struct {
	Count    int                     `cbor:"1,keyasint"`
	Demand   oleandervalve.Resources `cbor:"2,keyasint"`
	Estimate time.Duration           `cbor:"3,keyasint,omitempty"`
	// After lists earlier steps, all of whose tasks must be done first.
	After         []int `cbor:"4,keyasint,omitempty"`
	Checkpointing bool  `cbor:"5,keyasint,omitempty"`
	// Gang means that the tasks work only while all of them run.
	Gang     bool `cbor:"6,keyasint,omitempty"`
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Label must be among the labels of the executor, if not empty.
	Label    string               `cbor:"8,keyasint,omitempty"`
	DataRack oleandervalve.RackID `cbor:"9,keyasint,omitempty"`
	// MaxPerExecutor limits the tasks of one occurrence on one executor; 0 means no limit.
	MaxPerExecutor int `cbor:"10,keyasint,omitempty"`
	// AllowCopies permits several runs of one task at a time.
	AllowCopies bool `cbor:"11,keyasint,omitempty"`
	// LongRunning tasks run until the job is cancelled and are restarted however they end.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// Image names what the tasks run; tasks of one image behave alike.
	Image oleandervalve.KindName `cbor:"13,keyasint,omitempty"`
	// Target is the tail latency below which a serving task must stay; 0 means none.
	Target time.Duration `cbor:"14,keyasint,omitempty"`
	// Fills means that the tasks use processors that others leave idle.
	Fills bool `cbor:"15,keyasint,omitempty"`
	// MayMiss is how many long-running tasks the system may interrupt at a time.
	MayMiss int `cbor:"16,keyasint,omitempty"`
}

// Reserved is what a task of the step takes from the capacity of its executor.
func (s Step) Reserved() oleandervalve.Resources {
	r := s.Demand
	if s.Fills {
		r.CPU = 0
	}
	return r
}

// Spec is a job as submitted.
type Spec struct {
	Payload string `cbor:"1,keyasint,omitempty"`
	Steps   []Step `cbor:"2,keyasint"`
	// Repeat is the number of occurrences; 0 means one without a due time.
	Repeat   int           `cbor:"3,keyasint,omitempty"`
	StartAt  time.Time     `cbor:"4,keyasint,omitempty"`
	Interval time.Duration `cbor:"5,keyasint,omitempty"`
}

// Occurrences returns how many times the steps run.
func (s Spec) Occurrences() int { return max(1, s.Repeat) }

// Due returns when an occurrence may start; zero means at once.
func (s Spec) Due(occurrence int) time.Time {
	if s.Repeat == 0 {
		return time.Time{}
	}
	return s.StartAt.Add(time.Duration(occurrence) * s.Interval)
}

// CriticalPath is the longest chain of estimated step durations.
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

// Validate returns an *oleandervalve.InvalidError for a job that can't be run as written.
func (s Spec) Validate() error {
	if len(s.Payload) > MaxPayload {
		return invalid("payload", strconv.Itoa(len(s.Payload))+" bytes", fmt.Sprintf("send at most %d bytes", MaxPayload))
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return invalid("steps", strconv.Itoa(len(s.Steps)), fmt.Sprintf("send 1 to %d steps", MaxSteps))
	}
	total := 0
	for i, st := range s.Steps {
		name := "steps[" + strconv.Itoa(i) + "]"
		if st.Count < 1 {
			return invalid(name+".count", strconv.Itoa(st.Count), "ask for at least one task")
		}
		total += st.Count
		if st.Demand.IsNegative() {
			return invalid(name+".demand", fmt.Sprint(st.Demand), "ask for amounts that are not negative")
		}
		if st.Estimate < 0 || st.Target < 0 || st.MaxPerExecutor < 0 || st.MayMiss < 0 {
			return invalid(name, "negative", "use values that are not negative")
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

// Queue is the policy of a queue as it was when a job was accepted.
type Queue struct {
	Name    QueueName                 `cbor:"1,keyasint"`
	Service oleandervalve.ServiceName `cbor:"2,keyasint"`
	// Priority of 0 goes first.
	Priority int `cbor:"3,keyasint,omitempty"`
	// MaxAttempts is how often a task may fail.
	MaxAttempts int `cbor:"4,keyasint,omitempty"`
	// Stretch is the wanted time to completion as a multiple of the critical path.
	Stretch float64 `cbor:"5,keyasint,omitempty"`
	// Slack is added to the wanted time to completion.
	Slack time.Duration `cbor:"6,keyasint,omitempty"`
	// Permits says whether tasks need a permit for their executor.
	Permits PermitPolicy `cbor:"7,keyasint,omitzero"`
}

// PermitPolicy is what a queue's permits cost; zero means that none are needed.
type PermitPolicy struct {
	_ struct{} `cbor:",toarray"`
	// Decide is the time of one question, and PerExecutor that of each executor in it.
	Decide      time.Duration
	PerExecutor time.Duration
	// Valid is how long a ticket holds.
	Valid time.Duration
}

// Required reports whether tasks need a permit.
func (p PermitPolicy) Required() bool { return p.Valid > 0 }

// Objective is the wanted time from submission to completion of a job.
func (q Queue) Objective(s Spec) time.Duration {
	return time.Duration(max(1, q.Stretch)*float64(s.CriticalPath())) + q.Slack
}

// Route sends requests of a host and path prefix to a queue.
type Route struct {
	Host   string
	Prefix string
	Queue  Queue
	// Timeout bounds the handling of one request.
	Timeout time.Duration
	// MaxBody is the longest request body in bytes; 0 means the default.
	MaxBody int64
}

// Configuration is one version of the operators' configuration.
type Configuration struct {
	Version oleandervalve.Revision
	Routes  []Route
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
