package dispatch

import (
	"time"

	"oleandervalve"
	"oleandervalve/core/contention"
	"oleandervalve/core/work"
)

// Token identifies a caller's request that is waiting for a reply.
type Token uint64

// Action is an instruction from a Dispatcher to the process that runs it.
type Action interface{ action() }

// Verdict is the outcome of a caller's request.
type Verdict int

const (
	// Accepted means that the effect of the request is durable.
	Accepted Verdict = iota
	// NotRun means that the job was not accepted and will never run.
	NotRun
	// Unknown means that the job may have been accepted.
	Unknown
	// JobNotFound means that no such job exists.
	JobNotFound
)

// Reply answers a caller's request.
type Reply struct {
	Token      Token
	Verdict    Verdict
	Reason     oleandervalve.Reason
	RetryAfter time.Duration
}

// Start orders an agent to start a run.
type Start struct {
	Agent      oleandervalve.AgentID     `cbor:"-"`
	Executor   oleandervalve.Incarnation `cbor:"1,keyasint"`
	Task       oleandervalve.TaskName    `cbor:"2,keyasint"`
	Run        oleandervalve.RunNumber   `cbor:"3,keyasint"`
	Payload    string                    `cbor:"4,keyasint,omitempty"`
	Checkpoint string                    `cbor:"5,keyasint,omitempty"`
	Hints      RunHints                  `cbor:"6,keyasint"`
	// PermitToken proves the placement permit; it is empty if the queue needs none.
	PermitToken string `cbor:"7,keyasint,omitempty"`
}

// RunHints are the properties of a run that an agent needs to manage interference between
// the runs of its executor.
type RunHints struct {
	BestEffort    bool                     `cbor:"1,keyasint,omitempty"`
	TargetLatency time.Duration            `cbor:"2,keyasint,omitempty"`
	Image         oleandervalve.KindName   `cbor:"3,keyasint,omitempty"`
	CPU           oleandervalve.Millicores `cbor:"4,keyasint,omitempty"`
	// SpeedLimit is the initial speed limit of a best-effort run, in percent; 100 means
	// unthrottled.
	SpeedLimit int `cbor:"5,keyasint,omitempty"`
	// Estimate is the declared run time; zero for a long-running task.
	Estimate time.Duration `cbor:"6,keyasint,omitempty"`
	// Isolation is the time that the run must last before the agent reports that it has
	// outlived its isolation; zero if it isn't isolated.
	Isolation time.Duration `cbor:"7,keyasint,omitempty"`
	// Memory and Accelerators are what the run reserves beside CPU.
	Memory       oleandervalve.Bytes        `cbor:"8,keyasint,omitempty"`
	Accelerators oleandervalve.Accelerators `cbor:"9,keyasint,omitempty"`
	LongRunning  bool                       `cbor:"10,keyasint,omitempty"`
}

// Reserved returns the resources that the run reserves on its executor.
func (h RunHints) Reserved() oleandervalve.Resources {
	r := oleandervalve.Resources{CPU: h.CPU, Memory: h.Memory, Accelerators: h.Accelerators}
	if h.BestEffort {
		r.CPU = 0
	}
	return r
}

// Adopt sends an agent the hints for a run that it reported when it connected.
type Adopt struct {
	Agent oleandervalve.AgentID   `cbor:"-"`
	Task  oleandervalve.TaskName  `cbor:"1,keyasint"`
	Run   oleandervalve.RunNumber `cbor:"2,keyasint"`
	Hints RunHints                `cbor:"3,keyasint"`
}

// Stop orders an agent to stop a run, or to refuse its start if it has not started.
type Stop struct {
	Agent oleandervalve.AgentID   `cbor:"-"`
	Task  oleandervalve.TaskName  `cbor:"1,keyasint"`
	Run   oleandervalve.RunNumber `cbor:"2,keyasint"`
}

// Acknowledge tells an agent that the end of a run is recorded durably, so that the agent
// may discard it.
type Acknowledge struct {
	Agent    oleandervalve.AgentID     `cbor:"-"`
	Executor oleandervalve.Incarnation `cbor:"1,keyasint"`
	Number   uint64                    `cbor:"2,keyasint"`
}

// ShareContention sends an agent the pairs of images on its executor that don't interfere
// with each other. It replaces what was sent before.
type ShareContention struct {
	Agent          oleandervalve.AgentID `cbor:"-"`
	NonInterfering []contention.Pair     `cbor:"1,keyasint"`
}

// Evacuation tells an agent whether the data centre of its executor is evacuated, so that no start
// may be sent there. It replaces what was sent before.
type Evacuation struct {
	Agent     oleandervalve.AgentID `cbor:"-"`
	Evacuated bool                  `cbor:"1,keyasint"`
}

// LogEvent is a decision to be logged.
type LogEvent struct {
	Event  string
	Job    oleandervalve.JobID
	Fields map[string]any
}

func (Reply) action()           {}
func (Start) action()           {}
func (Adopt) action()           {}
func (Stop) action()            {}
func (Acknowledge) action()     {}
func (LogEvent) action()        {}
func (ShareContention) action() {}
func (Evacuation) action()      {}

// NeverStarted reports a run that an agent has not started and will never start.
type NeverStarted struct {
	Task   oleandervalve.TaskName     `cbor:"1,keyasint"`
	Run    oleandervalve.RunNumber    `cbor:"2,keyasint"`
	Reason oleandervalve.StartRefusal `cbor:"3,keyasint"`
}

// Submission is a job submitted by a caller.
type Submission struct {
	Token Token
	Job   oleandervalve.JobID
	Queue work.Queue
	Spec  work.Spec
}
