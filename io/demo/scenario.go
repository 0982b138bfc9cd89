package demo

import (
	"context"
	"fmt"
	"sort"
	"time"

	"oleandervalve"
	"oleandervalve/io/standin"
	"oleandervalve/io/taskowner"
)

const (
	phaseSteady   = "steady"
	phaseBaseline = "calm"
	phaseOverload = "flood"

	// overloadFactor is the rate of the overloading class relative to the capacity of its service.
	overloadFactor = 10
	// overloadSlots and overloadServiceTime keep the overload small enough for
	// one machine: 22 slots of 50 ms serve about 420 requests/s, so the overload is
	// about 4,200 requests/s.
	overloadSlots       = 2
	overloadServiceTime = 50 * time.Millisecond
	// serviceTimeSigma is the standard deviation of the logarithm of the service time.
	serviceTimeSigma = 0.3
	// baselineLoad is the load of a class relative to its floor before the overload.
	baselineLoad = 0.9
	// highLoadFactor multiplies the default rates, to about 1,400 requests/s.
	highLoadFactor = 4
	// plannedStopTimeout is the limit for one planned stop.
	plannedStopTimeout = 30 * time.Second
	// balancerDelay is how long an entry keeps running after the balancer has stopped
	// sending calls to it.
	balancerDelay = 300 * time.Millisecond
)

// scenario describes a run.
type scenario struct {
	phase string
	// deployments replaces the default deployments, if set.
	deployments func() []deployment
	jobs        func(d deployment, seed uint64, seconds int) []scheduledJob
	// events runs concurrently with the load, which continues until events returns.
	events func(ctx context.Context, r *run) error
	// unplanned scenarios terminate processes abruptly, so requests may be cut.
	unplanned bool
	// planned scenarios use planned stops only, so no outcome may be unknown.
	planned bool
}

// scheduledJob is a job with the time of its submission.
type scheduledJob struct {
	at  time.Duration
	job taskowner.JobSpec
}

// run is the state of a running demonstration.
type run struct {
	options Options
	system  *System
	load    *load
}

func scenarios() map[string]scenario {
	return map[string]scenario{
		"steady":          {phase: phaseSteady, jobs: evenlySpacedJobs(4, 6, time.Second)},
		"flood-low":       {phase: phaseBaseline, deployments: overloadFleet, events: overload("dispatch")},
		"flood-urgent":    {phase: phaseBaseline, deployments: overloadFleet, events: overload("pressing")},
		"noisy":           {phase: phaseSteady, jobs: noisyJobs, events: applyInterference},
		"store-outage":    {phase: "before", jobs: evenlySpacedJobs(8, 11, 2*time.Second), events: storeOutage},
		"worker-loss":     {phase: phaseSteady, jobs: evenlySpacedJobs(8, 22, 2*time.Second), deployments: highLoadFleet, events: workerLoss, unplanned: true},
		"rolling-restart": {phase: phaseSteady, jobs: evenlySpacedJobs(8, 11, 2*time.Second), deployments: highLoadFleet, events: rollingRestart, planned: true},
	}
}

// Scenarios returns the sorted names of the scenarios.
func Scenarios() []string {
	var out []string
	for n := range scenarios() {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

func (r *run) sleep(ctx context.Context, share float64) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(share * float64(r.options.Seconds) * float64(time.Second))):
	}
}

// evenlySpacedJobs returns jobs of each deployment's own kind at equal intervals.
func evenlySpacedJobs(jobs, tasks int, runTime time.Duration) func(deployment, uint64, int) []scheduledJob {
	return func(d deployment, seed uint64, seconds int) []scheduledJob {
		kind := oleandervalve.KindName("nesting")
		if d.service == "tapbook" {
			kind = "routeSheet"
		}
		var out []scheduledJob
		for i := range jobs {
			w := scheduledJob{at: time.Duration(i*seconds) * time.Second / time.Duration(jobs+2)}
			w.job = d.job(fmt.Sprintf("%s-%d-%d", kindSlug(kind), seed, i), kind, tasks, runTime)
			out = append(out, w)
		}
		return out
	}
}

func (d deployment) job(name string, kind oleandervalve.KindName, tasks int, runTime time.Duration) taskowner.JobSpec {
	return taskowner.JobSpec{
		Job: oleandervalve.JobID(d.name + "-" + name), Team: oleandervalve.TeamID(d.name), Kind: kind, Tasks: tasks,
		Size: oleandervalve.Resources{CPU: 1000, Memory: 512 * mib}, RunTime: runTime, Where: "site=" + d.name,
	}
}

// noisyJobs returns latency-critical tasks that run throughout the scenario, and
// three jobs of noisy batch tasks at intervals.
func noisyJobs(d deployment, seed uint64, seconds int) []scheduledJob {
	all := time.Duration(seconds) * time.Second
	service := d.job(fmt.Sprintf("service-%d", seed), oleandervalve.KindName(d.service), d.executors, all)
	service.LatencyCritical = true
	out := []scheduledJob{{job: service}}
	for i := range 3 {
		n := d.job(fmt.Sprintf("noisy-%d-%d", seed, i), "noisy", 2*d.executors, all/6)
		out = append(out, scheduledJob{at: all * time.Duration(1+i) / 5, job: n})
	}
	return out
}

// applyInterference slows down each endpoint by the factor that the tasks on its
// worker cause.
func applyInterference(ctx context.Context, r *run) error {
	// Latency-critical tasks run only within their team's own quota.
	quotas := map[oleandervalve.TeamID]oleandervalve.Resources{}
	for _, d := range r.system.deployments {
		n := d.executors
		quotas[oleandervalve.TeamID(d.name)] = oleandervalve.Resources{
			CPU: 1000 * oleandervalve.Millicores(n), Memory: 512 * mib * oleandervalve.Bytes(n),
		}
	}
	for _, e := range r.system.entries {
		e.owner.SetQuotas(quotas)
	}
	for ctx.Err() == nil {
		i := 0
		for _, d := range r.system.deployments {
			for k := range d.executors {
				r.system.Endpoints[i].SetFault(standin.EndpointFault{Slow: r.system.Platform.Slowdown(workerID(d, k))})
				i++
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
	return nil
}

// overloadFleet returns the first deployment with fewer slots and longer service
// times, and the rate of each class set to baselineLoad of its floor.
func overloadFleet() []deployment {
	d := deployments()[0]
	d.slots, d.serviceTime = overloadSlots, overloadServiceTime
	for i := range d.traffic {
		d.traffic[i].rate = baselineLoad * d.traffic[i].floor * d.capacity()
	}
	return []deployment{d}
}

// highLoadFleet returns the default deployments with enough load that several
// requests are in flight on every instance when it stops.
func highLoadFleet() []deployment {
	list := deployments()
	for _, d := range list {
		for i := range d.traffic {
			d.traffic[i].rate *= highLoadFactor
		}
	}
	return list
}

// capacity returns the maximum rate of the service in requests per second.
func (d deployment) capacity() float64 {
	mean := d.serviceTime.Seconds() * (1 + serviceTimeSigma*serviceTimeSigma/2)
	return float64(d.executors*d.slots) / mean
}

// overload sends one class at overloadFactor times the capacity in the second half of the run.
func overload(class oleandervalve.ClassName) func(context.Context, *run) error {
	return func(ctx context.Context, r *run) error {
		r.sleep(ctx, 0.5)
		r.startPhase(phaseOverload)
		d := r.system.deployments[0]
		for _, t := range d.traffic {
			if t.class == class {
				r.load.run(ctx, d, t, overloadFactor*d.capacity(), r.options.Seed*1000+500)
			}
		}
		return nil
	}
}

func (r *run) startPhase(phase string) {
	r.load.startPhase(phase, time.Now(), r.system.Executions.Busy())
}

// storeOutage makes the table unavailable, then slow, and then drops the
// responses of commits that took effect.
func storeOutage(ctx context.Context, r *run) error {
	steps := []struct {
		phase  string
		faults []standin.Fault
	}{
		{"down", []standin.Fault{{Down: true}}},
		{"slow", []standin.Fault{{Delay: 700 * time.Millisecond}}},
		{"answers lost", []standin.Fault{{Operation: "commit", DropResponse: true, Share: 0.4}}},
	}
	for _, s := range steps {
		r.sleep(ctx, 0.2)
		r.startPhase(s.phase)
		r.system.Table.Faults.Set(s.faults...)
	}
	r.sleep(ctx, 0.2)
	r.startPhase("after")
	r.system.Table.Faults.Set()
	return nil
}

// workerLoss terminates a worker with its agent and endpoint, and then a whole rack.
func workerLoss(ctx context.Context, r *run) error {
	r.sleep(ctx, 0.3)
	r.startPhase("worker lost")
	r.system.terminateInstance(0)
	r.sleep(ctx, 0.3)
	r.startPhase("rack lost")
	first := r.system.deployments[0].executors
	for i := range 3 {
		r.system.terminateInstance(first + i)
	}
	return nil
}

// terminateInstance abruptly terminates the i-th worker with its agent and endpoint.
func (s *System) terminateInstance(i int) {
	k, d := i, 0
	for k >= s.deployments[d].executors {
		k -= s.deployments[d].executors
		d++
	}
	s.Platform.TerminateWorker(workerID(s.deployments[d], k))
	s.Endpoints[i].Close()
	s.agents[i].agent.Close()
	s.agents[i].server.Close()
}

// rollingRestart restarts every entry and then every agent, one after another.
func rollingRestart(ctx context.Context, r *run) error {
	r.sleep(ctx, 0.1)
	r.startPhase("entries")
	for i := range r.system.entries {
		r.load.balancer.setReady(i, false)
		time.Sleep(balancerDelay)
		if err := r.system.restartEntry(i); err != nil {
			return err
		}
		r.load.balancer.setReady(i, true)
	}
	r.startPhase("agents")
	i := 0
	for _, d := range r.system.deployments {
		for k := range d.executors {
			if err := r.system.restartAgent(d, k, i); err != nil {
				return err
			}
			i++
		}
	}
	return nil
}

func (s *System) restartEntry(i int) error {
	old := s.entries[i]
	ctx, cancel := context.WithTimeout(context.Background(), plannedStopTimeout)
	defer cancel()
	if !old.entry.Drain(plannedStopTimeout) || old.server.Shutdown(ctx) != nil {
		return stopFailed("entry")
	}
	old.owner.Release()
	old.owner.Close()
	old.entry.Close()
	if err := s.addEntry(i, old.server.Address()); err != nil {
		return err
	}
	return s.waitReady(plannedStopTimeout)
}

func (s *System) restartAgent(d deployment, k, i int) error {
	old := s.agents[i]
	if !old.agent.Drain(plannedStopTimeout) {
		return stopFailed("agent")
	}
	old.agent.Shutdown()
	old.server.Close()
	a, err := s.startAgent(d, k, old.server.Address())
	if err != nil {
		return err
	}
	s.agents[i] = a
	return s.waitReady(plannedStopTimeout)
}

func stopFailed(what string) error {
	return &oleandervalve.UnavailableError{Service: what, Remedy: "its planned stop did not end in time; run with --verbose and look for requests in flight"}
}
