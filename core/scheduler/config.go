package scheduler

import (
	"math"
	"time"

	"oleandervalve"
	"oleandervalve/core/interference"
	"oleandervalve/core/quarantine"
	"oleandervalve/core/quota"
	"oleandervalve/core/size"
	"oleandervalve/core/worker"
)

// Mitigation selects what the scheduler does when a latency-critical task is slow.
type Mitigation string

const (
	// ModelBased throttles batch tasks, then evicts them, by their learned interference.
	ModelBased Mitigation = "measured"
	// EvictNewest evicts the newest batch task co-located with a slow
	// latency-critical task; it is the baseline.
	EvictNewest Mitigation = "evictLatest"
	// NoMitigation does nothing; it shows the effect of unthrottled co-location.
	NoMitigation Mitigation = "none"
)

// Config holds the settings of all policies of the scheduler.
type Config struct {
	Fleet        worker.Config
	Size         size.Config
	Interference interference.Config
	Response     interference.ResponseConfig
	Quarantine   quarantine.Config
	MemoryGuard  MemoryGuardConfig
	Drain        DrainConfig
	Queue        QueueConfig
	// FirstFit places tasks by first fit with declared sizes; it is the baseline.
	FirstFit   bool
	Mitigation Mitigation
	// ProbeDuration is how long a probe task must run before its quarantined worker
	// is readmitted.
	ProbeDuration time.Duration
}

// MemoryGuardConfig configures the memory guard, which evicts batch tasks before
// a worker runs out of memory.
type MemoryGuardConfig struct {
	// Limit is the fraction of a worker's memory above which the predicted use
	// triggers an eviction.
	Limit float64
	// Horizon is how far ahead memory use is extrapolated; it covers an eviction
	// including its checkpoint.
	Horizon time.Duration
	// Disabled turns the guard off, as in the baseline.
	Disabled bool
}

// DrainConfig limits the migration of tasks off draining workers.
type DrainConfig struct {
	// MaxPerWorker and MaxTotal limit the tasks that are migrated at once.
	MaxPerWorker, MaxTotal int
	// ForcePeriod is the time before the deadline in which the remaining tasks are
	// evicted even if no other worker can take them.
	ForcePeriod time.Duration
}

// QueueConfig configures when tasks that can't be placed are tried again, and
// when capacity is earmarked or reclaimed for them.
type QueueConfig struct {
	// RetryDelay is the delay after the first failed placement of a job. It doubles
	// with each further failure, up to MaxRetryDelay.
	RetryDelay, MaxRetryDelay time.Duration
	// UrgentRetryDelay is the delay for urgent work, well below its target of 1.2 s.
	UrgentRetryDelay time.Duration
	// MaxAttempts limits the failed placements in one step, so that a queue full of
	// jobs that don't fit does not delay the next urgent task.
	MaxAttempts int
	// MaxReclaimScans limits the jobs for which all workers are scanned in one step
	// to earmark or reclaim capacity.
	MaxReclaimScans int
	// EarmarkAfter is how long a batch job waits before a worker is earmarked for it.
	EarmarkAfter time.Duration
	// EarmarkTimeout is how long a worker stays earmarked for a job.
	EarmarkTimeout time.Duration
	// MaxEarmarkedShare is the largest fraction of workers earmarked at once.
	MaxEarmarkedShare float64
	// ReclaimAfter is how long a batch job waits before lent quota is reclaimed for
	// it; by then its earmark has expired.
	ReclaimAfter time.Duration
	// ReclaimMargin is how far the team of the waiting job must be below its quota,
	// and the borrowing team above its own, as a fraction of the quota.
	ReclaimMargin float64
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		Fleet: worker.DefaultConfig(), Size: size.DefaultConfig(), Interference: interference.DefaultConfig(),
		Response: interference.DefaultResponseConfig(), Quarantine: quarantine.DefaultConfig(),
		MemoryGuard: MemoryGuardConfig{Limit: 0.95, Horizon: 30 * time.Second},
		Drain:       DrainConfig{MaxPerWorker: 2, MaxTotal: 16, ForcePeriod: time.Minute},
		Queue: QueueConfig{
			RetryDelay: 250 * time.Millisecond, MaxRetryDelay: 8 * time.Second, UrgentRetryDelay: 100 * time.Millisecond, MaxAttempts: 8, MaxReclaimScans: 1,
			EarmarkAfter: 20 * time.Second, EarmarkTimeout: 3 * time.Minute, MaxEarmarkedShare: 0.1, ReclaimAfter: 4 * time.Minute, ReclaimMargin: 0.1,
		},
		Mitigation:    ModelBased,
		ProbeDuration: time.Minute,
	}
}

// BaselineConfig returns the configuration of the baseline for comparisons: first fit
// with declared sizes, eviction of the newest batch task co-located with a slow
// latency-critical task, and neither memory guard nor quarantine.
func BaselineConfig() Config {
	c := DefaultConfig()
	c.FirstFit, c.Mitigation, c.MemoryGuard.Disabled = true, EvictNewest, true
	c.Quarantine.MaxShare, c.Fleet.StartCap = 0, math.MaxInt
	return c
}

// ActionKind is the action that a Decision requests or the change that it reports.
type ActionKind string

const (
	// Place reserves the size at the worker's agent and starts the task there.
	Place ActionKind = "place"
	// Throttle sets the processor share of a task.
	Throttle ActionKind = "throttle"
	// Evict checkpoints and stops a task; the caller reports the end with Scheduler.Stopped.
	Evict ActionKind = "evict"
	// Resize changes the reservation of a running task at the agent.
	Resize ActionKind = "resize"
	// Quarantine reports that a worker gets no work except probes.
	Quarantine ActionKind = "quarantine"
	// Readmit reports that a quarantined worker gets work again.
	Readmit ActionKind = "readmit"
	// Park reports that a job that fails on many workers is no longer retried.
	Park ActionKind = "park"
	// Infeasible reports a job that no current worker can run, however much capacity
	// becomes free.
	Infeasible ActionKind = "infeasible"
	// Drained reports that a draining worker has no tasks left.
	Drained ActionKind = "vacated"
)

const (
	// ReasonLatencyCriticalSlow marks the throttling and eviction of tasks that slow
	// a latency-critical task.
	ReasonLatencyCriticalSlow oleandervalve.Reason = "serviceSlow"
	// ReasonLatencyCriticalRecovered marks throttled tasks whose share is raised again.
	ReasonLatencyCriticalRecovered oleandervalve.Reason = "serviceRecovered"
	// ReasonMemoryPressure marks evictions by the memory guard.
	ReasonMemoryPressure oleandervalve.Reason = "memoryShort"
	// ReasonQuotaReclaimed marks evictions of tasks that run on lent quota.
	ReasonQuotaReclaimed oleandervalve.Reason = "quotaReclaimed"
	// ReasonUrgentWork marks evictions that free capacity for urgent work.
	ReasonUrgentWork oleandervalve.Reason = "urgentWork"
	// ReasonDrain marks migrations off a draining worker.
	ReasonDrain oleandervalve.Reason = "workerReplaced"
	// ReasonEvacuating marks migrations of latency-critical tasks out of an evacuated
	// data centre.
	ReasonEvacuating oleandervalve.Reason = "evacuating"
	// ReasonFaultyWorker marks a worker on which tasks of many kinds fail.
	ReasonFaultyWorker oleandervalve.Reason = "manyKindsFailOnWorker"
	// ReasonFaultyJob marks a job that fails on many workers.
	ReasonFaultyJob oleandervalve.Reason = "jobFailsOnManyWorkers"
)

// Decision is one action for the caller to carry out, with the figures behind it.
type Decision struct {
	Action ActionKind             `json:"action"`
	Task   oleandervalve.TaskID   `json:"task,omitempty"`
	Epoch  oleandervalve.Epoch    `json:"epoch,omitempty"`
	Job    oleandervalve.JobID    `json:"job,omitempty"`
	Worker oleandervalve.WorkerID `json:"worker,omitempty"`
	Reason oleandervalve.Reason   `json:"reason,omitempty"`
	// Size is the size to reserve.
	Size oleandervalve.Resources `json:"size,omitempty"`
	// Share is the processor share of a throttled task.
	Share float64 `json:"share,omitempty"`
	// Claim says whether the task runs on its team's own quota or on borrowed quota.
	Claim quota.Claim `json:"claim,omitempty"`
	// Probe marks the task that tests a quarantined worker.
	Probe bool `json:"probe,omitempty"`
	// Slowdown is the measured slowdown of the latency-critical task, or the
	// predicted one of a placed task.
	Slowdown float64 `json:"slowdown,omitempty"`
	// Count is the number of kinds that failed on the worker, or of workers on which
	// the job failed.
	Count int `json:"count,omitempty"`
	// Diagnosis explains an infeasible job.
	Diagnosis *worker.Diagnosis `json:"diagnosis,omitempty"`
}
