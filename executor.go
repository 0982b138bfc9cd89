package oleandervalve

import (
	"context"
	"strconv"
	"strings"
	"time"
)

// ExecutorID identifies an executor. A restarted executor may use the same id again.
type ExecutorID string

// Incarnation identifies an executor between two of its restarts.
type Incarnation struct {
	ID ExecutorID `cbor:"1,keyasint" json:"id"`
	// StartedAt is the start time of the executor in milliseconds since 1970.
	StartedAt int64 `cbor:"2,keyasint" json:"born"`
}

// RunNumber counts the runs of one task, from 1.
type RunNumber uint64

// FencingToken numbers the sessions that control an executor. Each new session has a
// higher token, and executors reject orders with a token lower than the last one seen.
type FencingToken uint64

// ExecutorTime is a time on the executor's monotonic clock.
type ExecutorTime time.Duration

// TaskName identifies one task of a step of a job.
type TaskName struct {
	Job        JobID `cbor:"1,keyasint"`
	Occurrence int   `cbor:"2,keyasint,omitempty"`
	Step       int   `cbor:"3,keyasint,omitempty"`
	Index      int   `cbor:"4,keyasint,omitempty"`
}

// String returns the name as <job>.<occurrence>.<step>.<index>.
func (t TaskName) String() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskName parses a task name in the form that TaskName.String returns.
func ParseTaskName(s string) (TaskName, error) {
	invalid := &InvalidError{Field: "task", Value: s, Remedy: "use the form <job>.<occurrence>.<step>.<index>"}
	fields := strings.Split(s, ".")
	if len(fields) != 4 || fields[0] == "" {
		return TaskName{}, invalid
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(fields[i+1])
		if err != nil || v < 0 {
			return TaskName{}, invalid
		}
		n[i] = v
	}
	return TaskName{Job: JobID(fields[0]), Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}

// StartOrder instructs an executor to start one run of a task.
type StartOrder struct {
	Task    TaskName
	Run     RunNumber
	Payload string
	// LeaseUntil is when the lease of the run expires. The executor then ends the
	// run, unless the lease was extended.
	LeaseUntil ExecutorTime
	Token      FencingToken
	// Checkpoint is the checkpoint to resume from; empty to start from the beginning.
	Checkpoint string
	// PermitToken is the token of the placement permit; empty if none is required.
	PermitToken string
}

// StartRefusal is the reason why an executor did not start a run.
type StartRefusal string

const (
	// RefusedFence means that the executor has seen a higher fencing token.
	RefusedFence StartRefusal = "fence"
	// RefusedOld means that this run or a later run of the task has already ended
	// or been stopped on the executor.
	RefusedOld StartRefusal = "old"
	// RefusedLate means that the lease had expired when the order arrived.
	RefusedLate StartRefusal = "late"
	// RefusedRoom means that the executor has too little free capacity for the task.
	RefusedRoom StartRefusal = "room"
	// RefusedPermit means that the placement permit is missing or has expired.
	RefusedPermit StartRefusal = "ticket"
	// RefusedBusy means that the executor is unhealthy and has not handled the order.
	RefusedBusy StartRefusal = "busy"
	// RefusedDraining means that the executor is draining before it shuts down.
	RefusedDraining StartRefusal = "draining"
	// RefusedEvacuating means that the data centre of the executor is evacuated.
	RefusedEvacuating StartRefusal = "evacuating"
	// RefusedInvalid means that the executor could not parse the order.
	RefusedInvalid StartRefusal = "invalid"
)

// RunEnd is the cause of the end of a run.
type RunEnd string

const (
	// EndDone means that the run succeeded.
	EndDone RunEnd = "done"
	// EndFailed means that the task or its executor failed.
	EndFailed RunEnd = "failed"
	// EndStopped means that the run was stopped by an order.
	EndStopped RunEnd = "stopped"
	// EndLeaseExpired means that the lease of the run expired.
	EndLeaseExpired RunEnd = "lapsed"
	// EndBroken means that the run was ended because another member of its gang ended.
	EndBroken RunEnd = "broken"
	// EndAlone means that the other members of the gang did not start in time.
	EndAlone RunEnd = "alone"
)

// RunningTask is a run in an executor's list of running runs.
type RunningTask struct {
	Task       TaskName  `cbor:"1,keyasint"`
	Run        RunNumber `cbor:"2,keyasint"`
	Checkpoint string    `cbor:"3,keyasint,omitempty"`
	// Percent is the completed share of the task's work, from 0 to 100.
	Percent int `cbor:"4,keyasint,omitempty"`
	// Load is measured over the last half second. For a latency-critical task it is
	// the tail latency in milliseconds, for any other task the CPU use in millicores.
	Load int64 `cbor:"5,keyasint,omitempty"`
}

// EndedTask is an ended run. The executor lists it until its end is acknowledged.
type EndedTask struct {
	// Number counts the ended runs of an executor incarnation, from 1.
	Number     uint64    `cbor:"1,keyasint"`
	Task       TaskName  `cbor:"2,keyasint"`
	Run        RunNumber `cbor:"3,keyasint"`
	How        RunEnd    `cbor:"4,keyasint"`
	Checkpoint string    `cbor:"5,keyasint,omitempty"`
}

// PollRequest extends the leases of all runs of an executor and requests the lists of
// its running and ended runs.
type PollRequest struct {
	Token FencingToken
	// AcknowledgedEnd is the EndedTask.Number up to which all ends are stored durably.
	AcknowledgedEnd uint64
	// LeaseUntil is the new expiry of the leases; 0 leaves them unchanged.
	LeaseUntil ExecutorTime
	// Wait is how long the executor may delay its response until another run ends.
	Wait time.Duration
}

// PollResult is an executor's report of its running and ended runs.
type PollResult struct {
	Clock     ExecutorTime
	StartedAt int64
	Running   []RunningTask
	Ended     []EndedTask
	// Incomplete means that runs may be missing from the lists. Further ends are listed once
	// those in Ended are acknowledged.
	Incomplete bool
	// Unreadable is the number of list entries that could not be read and were left out.
	Unreadable int
}

// ExecutorClient sends orders to executors. It returns *WrongIncarnationError,
// *UnavailableError if the order had no effect, and *UnknownOutcomeError if the order
// may have taken effect or may still do so.
type ExecutorClient interface {
	// Start starts a run and returns the executor's time. An empty refusal means that
	// the run has started.
	Start(ctx context.Context, e ExecutorID, o StartOrder) (ExecutorTime, StartRefusal, error)
	// Stop stops a run. A start order for the run that arrives later is refused.
	Stop(ctx context.Context, e ExecutorID, t TaskName, r RunNumber, f FencingToken) error
	// Poll extends the leases of all runs and returns the running and ended runs.
	Poll(ctx context.Context, e ExecutorID, p PollRequest) (PollResult, error)
	// Identify returns the time and the start of the executor, or *WrongIncarnationError if
	// another one has answered. The start is 0 if the executor doesn't name it, as it may do if
	// it has seen a higher token.
	Identify(ctx context.Context, e ExecutorID, f FencingToken) (ExecutorTime, int64, error)
	// SetSpeedLimit limits the speed of a run to a percentage of its full speed; 100 means
	// unthrottled.
	SetSpeedLimit(ctx context.Context, e ExecutorID, t TaskName, r RunNumber, percent int, f FencingToken) error
}

// WrongIncarnationError reports that the addressed executor has been replaced by a
// later incarnation.
type WrongIncarnationError struct{ ID ExecutorID }

func (e *WrongIncarnationError) Error() string {
	return "executor " + string(e.ID) + " has been replaced: wait for the next announcement and address that one"
}

// ExecutorState is the lifecycle state of an executor.
type ExecutorState string

const (
	// ExecutorReady means that the executor accepts new runs.
	ExecutorReady ExecutorState = "ready"
	// ExecutorRecovering means that the executor has started again under its id, and accepts new
	// runs once no call to its earlier incarnation can prolong their leases.
	ExecutorRecovering ExecutorState = "recovering"
	// ExecutorDraining means that the executor accepts no new runs and will shut down.
	ExecutorDraining ExecutorState = "draining"
	// ExecutorTerminated means that the executor has terminated.
	ExecutorTerminated ExecutorState = "gone"
)

// IsUp reports whether an executor in the state is expected to go on, so that its end is a crash.
func (s ExecutorState) IsUp() bool { return s == ExecutorReady || s == ExecutorRecovering }

// ExecutorStatus is the status that an executor announces.
type ExecutorStatus struct {
	Incarnation Incarnation   `cbor:"1,keyasint"`
	Service     ServiceName   `cbor:"2,keyasint"`
	DataCentre  DataCentreID  `cbor:"3,keyasint"`
	State       ExecutorState `cbor:"4,keyasint"`
	Capacity    Resources     `cbor:"5,keyasint"`
	Labels      []string      `cbor:"6,keyasint"`
	Remaining   time.Duration `cbor:"7,keyasint,omitempty"`
	Sequence    uint64        `cbor:"8,keyasint"`
	// Cold is for how long the executor is still slow after its start.
	Cold time.Duration `cbor:"9,keyasint,omitempty"`
}
