package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"oleandervalve"
	"oleandervalve/core/work"
)

// Class describes the jobs of one class. Their properties are drawn from
// log-normal distributions around the given medians.
type Class struct {
	Name  string
	Queue work.Queue
	// JobsPerSecond is the mean arrival rate outside bursts.
	JobsPerSecond float64
	// Steps is the median number of steps of a job, and TasksPerStep the median
	// number of tasks of a step.
	Steps, TasksPerStep float64
	// CPU is the median processor demand of a task.
	CPU oleandervalve.Millicores
	// RunTime is the median run time of the tasks of a step.
	RunTime time.Duration
	// Value is what a job earns if it ends within its objective. A late job earns
	// LateValueShare of the value.
	Value float64
	// BestEffort and LongRunning are properties of all steps. Long-running jobs are submitted
	// at the start and earn nothing; JobsPerSecond is their number.
	BestEffort, LongRunning bool
}

// LateValueShare is the share of its value that a late job earns according to the
// requirements.
const LateValueShare = 0.15

// Load describes the jobs, executors and faults of one experiment.
type Load struct {
	Classes   []Class
	Executors int
	// Capacity is the processor capacity of one executor.
	Capacity oleandervalve.Millicores
	// Length is the time during which jobs arrive.
	Length time.Duration
	// BurstFactor multiplies the arrival rate of the last class between a quarter
	// and a half of Length.
	BurstFactor float64
	// SlowShare and FailingShare are the shares of the executors that, in the middle
	// half of Length, run at a quarter of the speed and that fail all runs.
	SlowShare, FailingShare float64
	// CancelledShare is the share of the jobs that are cancelled within two seconds.
	CancelledShare float64
	// Bursts multiply the arrival rates of classes for a time, beside BurstFactor.
	Bursts []Burst
	// SlowFrom and SlowUntil replace the middle half of Length as the time of slow and failing
	// executors if SlowUntil is set.
	SlowFrom, SlowUntil time.Duration
	// SlowFactor replaces slowFactor if it is set.
	SlowFactor float64
	// EstimateFactor multiplies all declared run times if it is set.
	EstimateFactor float64
	// ValueByWork means that the value of a job grows with its work.
	ValueByWork bool
	// MaxRetries is how often a refused caller submits its job again.
	MaxRetries int
	// CountFrom and CountUntil limit the results to the jobs that are submitted in between, if
	// CountUntil is set.
	CountFrom, CountUntil time.Duration
}

// Burst is a time in which the arrival rate of a class is multiplied.
type Burst struct {
	Class       string
	Factor      float64
	From, Until time.Duration
}

// estimateSigma is the standard deviation of the logarithm of the ratio of
// declared to actual run times. According to the requirements, declared times are
// off by half or more.
const estimateSigma = 0.7

// DefaultLoad returns a load as in the requirements: small urgent jobs and large
// batch jobs that together use most of the capacity.
func DefaultLoad() Load {
	const service = "press"
	return Load{
		Executors: 11, Capacity: 32000, Length: 30 * time.Second, BurstFactor: 2.5, CancelledShare: 0.05,
		Classes: []Class{
			{
				Name: "urgent", JobsPerSecond: 4, Steps: 1.6, TasksPerStep: 6, CPU: 960, RunTime: time.Second, Value: 0.34,
				Queue: work.Queue{Name: "urgent", Service: service, MaxAttempts: 3, Stretch: 1.5, Slack: 250 * time.Millisecond},
			},
			{
				Name: "batch", JobsPerSecond: 1.5, Steps: 2, TasksPerStep: 8, CPU: 7000, RunTime: 1700 * time.Millisecond, Value: 4.74,
				Queue: work.Queue{Name: "batch", Service: service, Priority: 2, MaxAttempts: 2, Stretch: 2, Slack: time.Second},
			},
		},
	}
}

// generateJob draws a job of the class and the actual run time of the tasks of
// each step.
func (c Class) generateJob(r *rand.Rand) (work.Spec, []time.Duration) {
	var s work.Spec
	var actualDurations []time.Duration
	for i := range max(1, int(math.Round(c.Steps*math.Exp(0.4*r.NormFloat64())))) {
		actual := time.Duration(float64(c.RunTime) * math.Exp(0.5*r.NormFloat64()))
		declared := time.Duration(float64(actual) * math.Exp(estimateSigma*r.NormFloat64()))
		st := work.Step{
			Count: max(1, int(math.Round(c.TasksPerStep*math.Exp(0.6*r.NormFloat64())))), Estimate: declared,
			Demand:     oleandervalve.Resources{CPU: oleandervalve.Millicores(float64(c.CPU) * math.Exp(0.3*r.NormFloat64()))},
			BestEffort: c.BestEffort, Image: oleandervalve.KindName(c.Name),
		}
		st.Demand.CPU = min(st.Demand.CPU, 4*c.CPU)
		if i > 0 {
			st.After = []int{i - 1}
		}
		s.Steps = append(s.Steps, st)
		actualDurations = append(actualDurations, actual)
	}
	return s, actualDurations
}
