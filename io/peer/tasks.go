package peer

import (
	"time"

	"oleandervalve"
	"oleandervalve/core/job"
)

// ReserveTask asks an agent to reserve resources for a run.
type ReserveTask struct{ job.Reserve }

// ReservedTask answers a ReserveTask.
type ReservedTask struct{ job.Reserved }

// ReleaseTask gives up a reservation that has not been used.
type ReleaseTask struct{ job.Release }

// StartTask asks an agent to start an assigned run.
type StartTask struct{ job.Start }

// StopTask asks an agent to stop a run and to confirm it.
type StopTask struct{ job.Stop }

// QueryTask asks an agent what became of a run.
type QueryTask struct{ job.Query }

// TaskReport tells an entry what became of a run.
type TaskReport struct{ job.Report }

// AcknowledgeTask tells an agent that a report has been recorded or is obsolete.
type AcknowledgeTask struct{ job.Acknowledge }

// ThrottleTask limits a running task to a share of its processor allowance.
type ThrottleTask struct{ job.Throttle }

// ResizeTask changes what a running task reserves, as its true size is learned.
type ResizeTask struct {
	Run  job.Run                 `cbor:"run"`
	Size oleandervalve.Resources `cbor:"size"`
}

// Usage passes lagging measurements of a worker's tasks on to an entry.
type Usage struct {
	Samples []oleandervalve.UsageSample `cbor:"samples"`
}

// Resident is one task that occupies resources of a worker.
type Resident struct {
	Run             job.Run                 `cbor:"run"`
	Kind            oleandervalve.KindName  `cbor:"kind"`
	Team            oleandervalve.TeamID    `cbor:"team"`
	Size            oleandervalve.Resources `cbor:"size"`
	LatencyCritical bool                    `cbor:"latencyCritical,omitempty"`
}

// Residents tells an entry what a worker can hold and what it holds.
type Residents struct {
	Capacity  oleandervalve.Resources `cbor:"capacity"`
	Residents []Resident              `cbor:"residents"`
}

// LeaseRenewed tells an agent that a renewal of its worker's lease is committed.
type LeaseRenewed struct {
	// SentAfter echoes the heartbeat that asked for the renewal.
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
