package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"oleandervalve"
	"oleandervalve/core/work"
)

// Class is one kind of job in a load.
type Class struct {
	Name  string
	Queue work.Queue
	// PerSecond is the mean rate of jobs outside bursts.
	PerSecond float64
	// Steps and Width are the mean numbers of steps and of tasks in each.
	Steps, Width float64
	CPU          oleandervalve.Millicores
	RunTime      time.Duration
	// Worth is what a job in time earns; a late one earns LateShare of it.
	Worth float64
}

// LateShare is the share of its worth that a late job earns, from the users' price list.
const LateShare = 0.15

// Load describes one experiment.
type Load struct {
	Classes   []Class
	Executors int
	// Capacity is the processors of one executor.
	Capacity oleandervalve.Millicores
	Length   time.Duration
	// Burst multiplies the rate of the last class between a quarter and a half of Length.
	Burst float64
	// Slow and Failing are the shares of the executors that work at a quarter of
	// the speed, and that fail all runs, in the middle half of Length.
	Slow, Failing float64
	// Cancelled is the share of the jobs that are cancelled within two seconds.
	Cancelled float64
}

// estimateError is the spread of the logarithm of declared run times, from the
// users' sheets: declared times are off by half or more.
const estimateError = 0.7

// Default is a load of the kind on the users' sheets: small urgent jobs and
// large batch jobs that together take most of the fleet.
func Default() Load {
	const service = "press"
	return Load{
		Executors: 11, Capacity: 32000, Length: 30 * time.Second, Burst: 2.5, Cancelled: 0.05,
		Classes: []Class{
			{
				Name: "urgent", PerSecond: 4, Steps: 1.6, Width: 6, CPU: 960, RunTime: time.Second, Worth: 0.34,
				Queue: work.Queue{Name: "urgent", Service: service, MaxAttempts: 3, Stretch: 1.5, Slack: 250 * time.Millisecond},
			},
			{
				Name: "batch", PerSecond: 1.5, Steps: 2, Width: 8, CPU: 7000, RunTime: 1700 * time.Millisecond, Worth: 4.74,
				Queue: work.Queue{Name: "batch", Service: service, Priority: 2, MaxAttempts: 2, Stretch: 2, Slack: time.Second},
			},
		},
	}
}

// spec draws a job of a class and the true run time of its tasks.
func (c Class) spec(r *rand.Rand) (work.Spec, []time.Duration) {
	var s work.Spec
	var truth []time.Duration
	for i := range max(1, int(math.Round(c.Steps*math.Exp(0.4*r.NormFloat64())))) {
		run := time.Duration(float64(c.RunTime) * math.Exp(0.5*r.NormFloat64()))
		declared := time.Duration(float64(run) * math.Exp(estimateError*r.NormFloat64()))
		st := work.Step{
			Count: max(1, int(math.Round(c.Width*math.Exp(0.6*r.NormFloat64())))), Estimate: declared,
			Demand: oleandervalve.Resources{CPU: oleandervalve.Millicores(float64(c.CPU) * math.Exp(0.3*r.NormFloat64()))},
		}
		st.Demand.CPU = min(st.Demand.CPU, 4*c.CPU)
		if i > 0 {
			st.After = []int{i - 1}
		}
		s.Steps = append(s.Steps, st)
		truth = append(truth, run)
	}
	return s, truth
}
