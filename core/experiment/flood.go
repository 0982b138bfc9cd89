package experiment

import (
	"time"

	"github.com/cockroachdb/errors"

	"oleandervalve/core/work"
)

// Flood names a load with too little capacity, or the calm that it is compared with.
type Flood string

const (
	// FloodNone is normal operation.
	FloodNone Flood = "calm"
	// FloodSmall is a burst of four times the small jobs with a fifth of the executors slow.
	FloodSmall Flood = "burst4"
	// FloodBatch is a burst of two and a half times the batch jobs with the same executors slow.
	FloodBatch Flood = "burstBatch"
	// FloodTwo is bursts of both classes, of which the larger share moves from one to the other.
	FloodTwo Flood = "twoClasses"
)

// Floods lists all floods.
func Floods() []Flood { return []Flood{FloodNone, FloodSmall, FloodBatch, FloodTwo} }

// Deployment names the size of a fleet and its usual load.
type Deployment string

const (
	// DeploymentA has 71 executors of 16 cores, most of which services reserve.
	DeploymentA Deployment = "A"
	// DeploymentB has 54 executors of 32 cores.
	DeploymentB Deployment = "B"
)

// Deployments lists all deployments.
func Deployments() []Deployment { return []Deployment{DeploymentA, DeploymentB} }

const (
	// floodFrom and floodUntil enclose the flood. Before it, the run times are learned.
	floodFrom  = 10 * time.Second
	floodUntil = 50 * time.Second
)

// FloodLoad returns the load of a flood on a deployment.
func FloodLoad(f Flood, d Deployment) (Load, error) {
	const service = "press"
	small := Class{
		Name: "small", Steps: 1.6, TasksPerStep: 10, CPU: 600, RunTime: 600 * time.Millisecond, Value: 0.34,
		Queue: work.Queue{Name: "small", Service: service, MaxAttempts: 3, Stretch: 1.5, Slack: 300 * time.Millisecond},
	}
	batch := Class{
		Name: "batch", Steps: 2, TasksPerStep: 20, BestEffort: true, Value: 4.74,
		Queue: work.Queue{Name: "batch", Service: service, Priority: 2, MaxAttempts: 2, Stretch: 2, Slack: time.Second},
	}
	services := Class{
		Name: "services", TasksPerStep: 14, LongRunning: true, Queue: work.Queue{Name: "services", Service: service},
	}
	l := Load{Length: 60 * time.Second, CancelledShare: 0.03, ValueByWork: true, MaxRetries: 4, CountFrom: floodFrom, CountUntil: floodUntil}
	switch d {
	case DeploymentA:
		l.Executors, l.Capacity = 71, 16000
		small.CPU, small.JobsPerSecond = 500, 14
		batch.CPU, batch.RunTime, batch.JobsPerSecond = 1800, 1700*time.Millisecond, 2
		services.JobsPerSecond, services.CPU = 14, 4500
	case DeploymentB:
		l.Executors, l.Capacity = 54, 32000
		small.CPU, small.JobsPerSecond = 600, 15
		batch.CPU, batch.RunTime, batch.JobsPerSecond = 3500, 2000*time.Millisecond, 2
		services.JobsPerSecond, services.CPU = 16, 5000
	default:
		return l, errors.Newf("deployment %q is not known: use one of %v", d, Deployments())
	}
	l.Classes = []Class{small, batch, services}
	const middle = (floodFrom + floodUntil) / 2
	switch f {
	case FloodNone:
		return l, nil
	case FloodSmall:
		l.Bursts = []Burst{{Class: "small", Factor: 4, From: floodFrom, Until: floodUntil}}
	case FloodBatch:
		l.Bursts = []Burst{{Class: "batch", Factor: 2.5, From: floodFrom, Until: floodUntil}}
	case FloodTwo:
		l.Bursts = []Burst{
			{Class: "small", Factor: 4, From: floodFrom, Until: middle},
			{Class: "small", Factor: 2, From: middle, Until: floodUntil},
			{Class: "batch", Factor: 1.5, From: floodFrom, Until: middle},
			{Class: "batch", Factor: 3, From: middle, Until: floodUntil},
		}
	default:
		return l, errors.Newf("flood %q is not known: use one of %v", f, Floods())
	}
	if f != FloodTwo {
		l.SlowShare, l.SlowFactor, l.SlowFrom, l.SlowUntil = 0.2, 5, floodFrom, floodUntil
	}
	return l, nil
}
