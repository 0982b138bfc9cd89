package dispatch

import (
	"time"

	"oleandervalve"
	"oleandervalve/core/contention"
	"oleandervalve/core/work"
)

// Token identifies a caller's request that waits for a reply.
type Token uint64

// Action is something that a Dispatcher asks its process to do.
type Action interface{ action() }

// Verdict is the answer to a caller's request.
type Verdict int

const (
	// Accepted means that the request has taken effect durably.
	Accepted Verdict = iota
	// NotRun means that the job was not accepted and never runs.
	NotRun
	// Unknown means that the job may have been accepted.
	Unknown
	// NoJob means that no such job exists.
	NoJob
)

// Reply answers a caller's request.
type Reply struct {
	Token      Token
	Verdict    Verdict
	Reason     oleandervalve.Reason
	RetryAfter time.Duration
}

// Start asks an agent to start a run.
type Start struct {
	Agent      oleandervalve.AgentID     `cbor:"-"`
	Executor   oleandervalve.Incarnation `cbor:"1,keyasint"`
	Task       oleandervalve.TaskName    `cbor:"2,keyasint"`
	Run        oleandervalve.RunNumber   `cbor:"3,keyasint"`
	Payload    string                    `cbor:"4,keyasint,omitempty"`
	Checkpoint string                    `cbor:"5,keyasint,omitempty"`
	Traits     Traits                    `cbor:"6,keyasint"`
	// Ticket is the placement permit; empty where none is needed.
	Ticket string `cbor:"7,keyasint,omitempty"`
}

// Traits are the properties of a run that matter to the agent beside it.
type Traits struct {
	Fills  bool                     `cbor:"1,keyasint,omitempty"`
	Target time.Duration            `cbor:"2,keyasint,omitempty"`
	Image  oleandervalve.KindName   `cbor:"3,keyasint,omitempty"`
	CPU    oleandervalve.Millicores `cbor:"4,keyasint,omitempty"`
	// Pace is the percentage at which a filling run may begin.
	Pace int `cbor:"5,keyasint,omitempty"`
	// Estimate is the declared run time; zero for a run without an end.
	Estimate time.Duration `cbor:"6,keyasint,omitempty"`
}

// Adopt tells an agent the traits of a run that it has listed.
type Adopt struct {
	Agent  oleandervalve.AgentID   `cbor:"-"`
	Task   oleandervalve.TaskName  `cbor:"1,keyasint"`
	Run    oleandervalve.RunNumber `cbor:"2,keyasint"`
	Traits Traits                  `cbor:"3,keyasint"`
}

// Stop asks an agent to stop a run and to prevent its start.
type Stop struct {
	Agent oleandervalve.AgentID   `cbor:"-"`
	Task  oleandervalve.TaskName  `cbor:"1,keyasint"`
	Run   oleandervalve.RunNumber `cbor:"2,keyasint"`
}

// Acknowledge tells an agent that an end is recorded and may be forgotten.
type Acknowledge struct {
	Agent    oleandervalve.AgentID     `cbor:"-"`
	Executor oleandervalve.Incarnation `cbor:"1,keyasint"`
	Number   uint64                    `cbor:"2,keyasint"`
}

// ShareContention tells an agent which pairs of images don't disturb.
type ShareContention struct {
	Agent oleandervalve.AgentID `cbor:"-"`
	Light []contention.Pair     `cbor:"1,keyasint"`
}

// Note is a decision for the log.
type Note struct {
	Event  string
	Job    oleandervalve.JobID
	Fields map[string]any
}

func (Reply) action()           {}
func (Start) action()           {}
func (Adopt) action()           {}
func (Stop) action()            {}
func (Acknowledge) action()     {}
func (Note) action()            {}
func (ShareContention) action() {}

// Void reports a run that an agent proved not to run and never to start.
type Void struct {
	Task   oleandervalve.TaskName     `cbor:"1,keyasint"`
	Run    oleandervalve.RunNumber    `cbor:"2,keyasint"`
	Reason oleandervalve.StartRefusal `cbor:"3,keyasint"`
}

// Submission is a job that a caller hands in.
type Submission struct {
	Token Token
	Job   oleandervalve.JobID
	Queue work.Queue
	Spec  work.Spec
}
