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

// Reaction says what is done when a service is slow.
type Reaction string

const (
	// Measured throttles, then evicts by the learned interference.
	Measured Reaction = "measured"
	// EvictLatest evicts the newest batch task beside a slow service; it is the baseline.
	EvictLatest Reaction = "evictLatest"
	// NoReaction does nothing; it shows unthrottled colocation.
	NoReaction Reaction = "none"
)

// Config sets all policies of the scheduler.
type Config struct {
	Fleet        worker.Config
	Size         size.Config
	Interference interference.Config
	Response     interference.ResponseConfig
	Quarantine   quarantine.Config
	Guard        GuardConfig
	Replace      ReplaceConfig
	Queue        QueueConfig
	// FirstFit places by first fit with declared sizes; it is the baseline.
	FirstFit bool
	Reaction Reaction
	// ProbeTime is how long a task must run to prove that its worker can start tasks.
	ProbeTime time.Duration
}

// GuardConfig sets the memory guard.
type GuardConfig struct {
	// Limit is the share of a worker's memory above which the expected use triggers an eviction.
	Limit float64
	// Horizon is how far ahead the use is extrapolated; it covers an eviction with its checkpoint.
	Horizon time.Duration
	// Off disables the guard, for the baseline.
	Off bool
}

// ReplaceConfig bounds how fast work moves off workers that are to be replaced.
type ReplaceConfig struct {
	// PerWorker and Total bound the tasks moving at once.
	PerWorker, Total int
	// Final is the time before the deadline at which the rest moves even without a known destination.
	Final time.Duration
}

// QueueConfig sets retries of tasks that fit nowhere at the moment.
type QueueConfig struct {
	// Retry is the first waiting time of a job that found no room; it doubles up to MaxRetry.
	Retry, MaxRetry time.Duration
	// UrgentRetry is the waiting time of urgent work, well below its target of 1.2 s.
	UrgentRetry time.Duration
	// Tries bounds the unsuccessful attempts in one step, so that a queue full
	// of jobs that don't fit does not delay the next urgent task.
	Tries int
	// Efforts bounds the jobs for which all workers are compared in one step to make room.
	Efforts int
	// HoldAfter is how long a batch job waits before a worker is held for it.
	HoldAfter time.Duration
	// HoldFor bounds the time for which a worker is held.
	HoldFor time.Duration
	// HoldShare is the largest share of workers held at once.
	HoldShare float64
	// ReclaimAfter is how long a batch job waits before lent quota is reclaimed
	// for it; by then a hold has run out.
	ReclaimAfter time.Duration
	// ReclaimMargin is how far below its quota the claiming team and how far
	// above its quota the borrowing team must be.
	ReclaimMargin float64
}

// DefaultConfig returns the settings that the measurements use.
func DefaultConfig() Config {
	return Config{
		Fleet: worker.DefaultConfig(), Size: size.DefaultConfig(), Interference: interference.DefaultConfig(),
		Response: interference.DefaultResponseConfig(), Quarantine: quarantine.DefaultConfig(),
		Guard:   GuardConfig{Limit: 0.95, Horizon: 30 * time.Second},
		Replace: ReplaceConfig{PerWorker: 2, Total: 16, Final: time.Minute},
		Queue: QueueConfig{
			Retry: 250 * time.Millisecond, MaxRetry: 8 * time.Second, UrgentRetry: 100 * time.Millisecond, Tries: 8, Efforts: 1,
			HoldAfter: 20 * time.Second, HoldFor: 3 * time.Minute, HoldShare: 0.1, ReclaimAfter: 4 * time.Minute, ReclaimMargin: 0.1,
		},
		Reaction:  Measured,
		ProbeTime: time.Minute,
	}
}

// BaselineConfig returns the baseline: first fit with declared sizes, and a
// reactive eviction of the newest batch task beside a slow service, without
// memory guard and quarantine.
func BaselineConfig() Config {
	c := DefaultConfig()
	c.FirstFit, c.Reaction, c.Guard.Off = true, EvictLatest, true
	c.Quarantine.MaxShare, c.Fleet.StartCap = 0, math.MaxInt
	return c
}

// ActionKind says what a decision asks for.
type ActionKind string

const (
	// Place reserves the size at the worker's agent and starts the task there.
	Place ActionKind = "place"
	// Throttle sets the processor share of a task.
	Throttle ActionKind = "throttle"
	// Evict checkpoints and stops a task; Stopped must follow.
	Evict ActionKind = "evict"
	// Resize changes the reservation of a running task at the agent.
	Resize ActionKind = "resize"
	// Quarantine takes a worker out of service.
	Quarantine ActionKind = "quarantine"
	// Readmit returns a quarantined worker to service.
	Readmit ActionKind = "readmit"
	// Park stops retrying a job that fails wherever it runs.
	Park ActionKind = "park"
	// Infeasible reports a job that no worker can ever take as the workers are now.
	Infeasible ActionKind = "infeasible"
	// Vacated reports that a worker to be replaced has no tasks left.
	Vacated ActionKind = "vacated"
)

const (
	// ReasonService marks actions that relieve a slow service.
	ReasonService oleandervalve.Reason = "serviceSlow"
	// ReasonRestore marks throttled tasks that get their share back.
	ReasonRestore oleandervalve.Reason = "serviceRecovered"
	// ReasonMemory marks evictions by the memory guard.
	ReasonMemory oleandervalve.Reason = "memoryShort"
	// ReasonReclaim marks evictions of work that runs on a lent quota.
	ReasonReclaim oleandervalve.Reason = "quotaReclaimed"
	// ReasonUrgent marks evictions that make room for urgent work.
	ReasonUrgent oleandervalve.Reason = "urgentWork"
	// ReasonReplace marks moves off a worker that is to be replaced.
	ReasonReplace oleandervalve.Reason = "workerReplaced"
	// ReasonKinds marks a worker on which many kinds fail.
	ReasonKinds oleandervalve.Reason = "manyKindsFailOnWorker"
	// ReasonWorkers marks a job that fails on many workers.
	ReasonWorkers oleandervalve.Reason = "jobFailsOnManyWorkers"
)

// Decision is one thing to do, with the figures that led to it.
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
	// Claim says whether the task runs on its team's own quota.
	Claim quota.Claim `json:"claim,omitempty"`
	// Probe marks the task that tests a quarantined worker.
	Probe bool `json:"probe,omitempty"`
	// Slowdown is the measured service slowdown, or the expected one of a placed task.
	Slowdown float64 `json:"slowdown,omitempty"`
	// Count is the number of kinds or workers that a fault was seen on.
	Count int `json:"count,omitempty"`
	// Diagnosis explains an infeasible job.
	Diagnosis *worker.Diagnosis `json:"diagnosis,omitempty"`
}
