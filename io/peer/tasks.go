package peer

import (
	"time"

	"oleandervalve"
	"oleandervalve/core/job"
)

// ReserveTask requests that an agent reserve resources for a run.
type ReserveTask struct{ job.Reserve }

// ReservedTask responds to a ReserveTask.
type ReservedTask struct{ job.Reserved }

// ReleaseTask releases a reservation that has not been used.
type ReleaseTask struct{ job.Release }

// StartTask requests that an agent start an assigned run.
type StartTask struct{ job.Start }

// StopTask requests that an agent stop a run and confirm the stop.
type StopTask struct{ job.Stop }

// QueryTask requests the state of a run from an agent.
type QueryTask struct{ job.Query }

// TaskReport notifies an entry of the state of a run.
type TaskReport struct{ job.Report }

// AcknowledgeTask notifies an agent that a report has been recorded or is obsolete.
type AcknowledgeTask struct{ job.Acknowledge }

// ThrottleTask limits a running task to a share of its processor allowance.
type ThrottleTask struct{ job.Throttle }

// ResizeTask changes the reservation of a running task when its actual size has
// been estimated.
type ResizeTask struct {
	Run  job.Run                 `cbor:"run"`
	Size oleandervalve.Resources `cbor:"size"`
}

// Usage sends usage samples of a worker's tasks, which may lag, to an entry.
type Usage struct {
	Samples []oleandervalve.UsageSample `cbor:"samples"`
}

// Resident is a task that occupies resources of a worker.
type Resident struct {
	Run             job.Run                 `cbor:"run"`
	Kind            oleandervalve.KindName  `cbor:"kind"`
	Team            oleandervalve.TeamID    `cbor:"team"`
	Size            oleandervalve.Resources `cbor:"size"`
	LatencyCritical bool                    `cbor:"latencyCritical,omitempty"`
}

// Residents notifies an entry of a worker's capacity and resident tasks.
type Residents struct {
	Capacity  oleandervalve.Resources `cbor:"capacity"`
	Residents []Resident              `cbor:"residents"`
}

// LeaseRenewed notifies an agent that a renewal of its worker's lease is committed.
type LeaseRenewed struct {
	// SentAfter is the value from the heartbeat that requested the renewal.
	SentAfter time.Duration `cbor:"sentAfterNs"`
}

const (
	typeReserveTask     Type = "reserveTask"
	typeReservedTask    Type = "reservedTask"
	typeReleaseTask     Type = "releaseTask"
	typeStartTask       Type = "startTask"
	typeStopTask        Type = "stopTask"
	typeQueryTask       Type = "queryTask"
	typeTaskReport      Type = "taskReport"
	typeAcknowledgeTask Type = "acknowledgeTask"
	typeThrottleTask    Type = "throttleTask"
	typeResizeTask      Type = "resizeTask"
	typeUsage           Type = "usage"
	typeResidents       Type = "residents"
	typeLeaseRenewed    Type = "leaseRenewed"
)

// Type returns "reserveTask".
func (*ReserveTask) Type() Type { return typeReserveTask }

// Type returns "reservedTask".
func (*ReservedTask) Type() Type { return typeReservedTask }

// Type returns "releaseTask".
func (*ReleaseTask) Type() Type { return typeReleaseTask }

// Type returns "startTask".
func (*StartTask) Type() Type { return typeStartTask }

// Type returns "stopTask".
func (*StopTask) Type() Type { return typeStopTask }

// Type returns "queryTask".
func (*QueryTask) Type() Type { return typeQueryTask }

// Type returns "taskReport".
func (*TaskReport) Type() Type { return typeTaskReport }

// Type returns "acknowledgeTask".
func (*AcknowledgeTask) Type() Type { return typeAcknowledgeTask }

// Type returns "throttleTask".
func (*ThrottleTask) Type() Type { return typeThrottleTask }

// Type returns "resizeTask".
func (*ResizeTask) Type() Type { return typeResizeTask }

// Type returns "usage".
func (*Usage) Type() Type { return typeUsage }

// Type returns "residents".
func (*Residents) Type() Type { return typeResidents }

// Type returns "leaseRenewed".
func (*LeaseRenewed) Type() Type { return typeLeaseRenewed }

// newTaskMessage returns an empty message of a type, or nil for an unknown type.
func newTaskMessage(t Type) Message {
	switch t {
	case typeReserveTask:
		return &ReserveTask{}
	case typeReservedTask:
		return &ReservedTask{}
	case typeReleaseTask:
		return &ReleaseTask{}
	case typeStartTask:
		return &StartTask{}
	case typeStopTask:
		return &StopTask{}
	case typeQueryTask:
		return &QueryTask{}
	case typeTaskReport:
		return &TaskReport{}
	case typeAcknowledgeTask:
		return &AcknowledgeTask{}
	case typeThrottleTask:
		return &ThrottleTask{}
	case typeResizeTask:
		return &ResizeTask{}
	case typeUsage:
		return &Usage{}
	case typeResidents:
		return &Residents{}
	case typeLeaseRenewed:
		return &LeaseRenewed{}
	}
	return nil
}
