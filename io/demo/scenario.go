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
	phaseSteady = "steady"
	phaseCalm   = "calm"
	phaseFlood  = "flood"

	// floodFactor is the rate of the flooding class relative to the capacity of its service.
	floodFactor = 10
	// floodSlots and floodService keep a flood small enough for one machine:
	// 22 slots of 50 ms serve about 420 requests/s, so the flood has 4,200.
	floodSlots   = 2
	floodService = 50 * time.Millisecond
	// sigma is the spread of the logarithm of the service time.
	sigma = 0.3
	// calmLoad is the load of a class relative to its floor before the flood.
	calmLoad = 0.9
	// busyFactor raises the ordinary rates to about 1,400 requests/s.
	busyFactor = 4
	// planWithin bounds one planned stop.
	planWithin = 30 * time.Second
	// noticeTime is how long an entry goes on after the balancer has left it.
	noticeTime = 300 * time.Millisecond
)

// scenario is what happens during a run.
type scenario struct {
	phase string
	// deployments changes the fleets, if set.
	deployments func() []deployment
	waves       func(d deployment, seed uint64, seconds int) []wave
	// events runs beside the load; the load goes on until it returns.
	events func(ctx context.Context, r *run) error
	// unplanned scenarios lose processes without warning, so requests may be cut.
	unplanned bool
	// planned scenarios stop processes as planned, so no outcome may be unknown.
	planned bool
}

// wave is a job with the time of its submission.
type wave struct {
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
		"steady":          {phase: phaseSteady, waves: ordinary(4, 6, time.Second)},
		"flood-low":       {phase: phaseCalm, deployments: floodFleet, events: flood("dispatch")},
		"flood-urgent":    {phase: phaseCalm, deployments: floodFleet, events: flood("pressing")},
		"noisy":           {phase: phaseSteady, waves: noise, events: interfere},
		"store-outage":    {phase: "before", waves: ordinary(8, 11, 2*time.Second), events: storeOutage},
		"worker-loss":     {phase: phaseSteady, waves: ordinary(8, 22, 2*time.Second), deployments: busyFleet, events: workerLoss, unplanned: true},
		"rolling-restart": {phase: phaseSteady, waves: ordinary(8, 11, 2*time.Second), deployments: busyFleet, events: rollingRestart, planned: true},
	}
}

// Scenarios returns the names of the scenarios in order.
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

// ordinary submits jobs of each deployment's own kind at equal intervals.
func ordinary(jobs, tasks int, runTime time.Duration) func(deployment, uint64, int) []wave {
	return func(d deployment, seed uint64, seconds int) []wave {
		kind := oleandervalve.KindName("nesting")
		if d.service == "tapbook" {
			kind = "routeSheet"
		}
		var out []wave
		for i := range jobs {
			w := wave{at: time.Duration(i*seconds) * time.Second / time.Duration(jobs+2)}
			w.job = d.job(fmt.Sprintf("%s-%d-%d", lower(kind), seed, i), kind, tasks, runTime)
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

// noise submits latency-critical tasks that run throughout, and three waves of
// noisy batch tasks.
func noise(d deployment, seed uint64, seconds int) []wave {
	all := time.Duration(seconds) * time.Second
	service := d.job(fmt.Sprintf("service-%d", seed), oleandervalve.KindName(d.service), d.executors, all)
	service.LatencyCritical = true
	out := []wave{{job: service}}
	for i := range 3 {
		n := d.job(fmt.Sprintf("noisy-%d-%d", seed, i), "noisy", 2*d.executors, all/6)
		out = append(out, wave{at: all * time.Duration(1+i) / 5, job: n})
	}
	return out
}

// interfere makes the endpoints as slow as the tasks beside them make a service.
func interfere(ctx context.Context, r *run) error {
	// Latency-critical tasks run only on their team's own quota.
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

// floodFleet is the first deployment with fewer and longer slots, each class at
// a fixed share of its floor.
func floodFleet() []deployment {
	d := deployments()[0]
	d.slots, d.serviceTime = floodSlots, floodService
	for i := range d.traffic {
		d.traffic[i].rate = calmLoad * d.traffic[i].floor * d.capacity()
	}
	return []deployment{d}
}

// busyFleet has enough load that several requests are in flight on every
// instance that stops.
func busyFleet() []deployment {
	list := deployments()
	for _, d := range list {
		for i := range d.traffic {
			d.traffic[i].rate *= busyFactor
		}
	}
	return list
}

// capacity is the rate in requests a second that the service can carry.
func (d deployment) capacity() float64 {
	mean := d.serviceTime.Seconds() * (1 + sigma*sigma/2)
	return float64(d.executors*d.slots) / mean
}

// flood raises one class to ten times the capacity in the second half of the run.
func flood(class oleandervalve.ClassName) func(context.Context, *run) error {
	return func(ctx context.Context, r *run) error {
		r.sleep(ctx, 0.5)
		r.enter(phaseFlood)
		d := r.system.deployments[0]
		for _, t := range d.traffic {
			if t.class == class {
				r.load.run(ctx, d, t, floodFactor*d.capacity(), r.options.Seed*1000+500)
			}
		}
		return nil
	}
}

func (r *run) enter(phase string) {
	r.load.enter(phase, time.Now(), r.system.Books.Busy())
}

// storeOutage takes the table away, then makes it slow, then loses the answers
// of commits that took effect.
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
		r.enter(s.phase)
		r.system.Table.Faults.Set(s.faults...)
	}
	r.sleep(ctx, 0.2)
	r.enter("after")
	r.system.Table.Faults.Set()
	return nil
}

// workerLoss ends a worker with its agent and endpoint, and then a whole rack.
func workerLoss(ctx context.Context, r *run) error {
	r.sleep(ctx, 0.3)
	r.enter("worker lost")
	r.system.lose(0)
	r.sleep(ctx, 0.3)
	r.enter("rack lost")
	first := r.system.deployments[0].executors
	for i := range 3 {
		r.system.lose(first + i)
	}
	return nil
}

// lose ends the i-th instance without warning.
func (s *System) lose(i int) {
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
	r.enter("entries")
	for i := range r.system.entries {
		r.load.balancer.use(i, false)
		time.Sleep(noticeTime)
		if err := r.system.restartEntry(i); err != nil {
			return err
		}
		r.load.balancer.use(i, true)
	}
	r.enter("agents")
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
	ctx, cancel := context.WithTimeout(context.Background(), planWithin)
	defer cancel()
	if !old.entry.Drain(planWithin) || old.server.Shutdown(ctx) != nil {
		return stopFailed("entry")
	}
	old.owner.Leave()
	old.owner.Close()
	old.entry.Close()
	if err := s.addEntry(i, old.server.Address()); err != nil {
		return err
	}
	return s.waitReady(planWithin)
}

func (s *System) restartAgent(d deployment, k, i int) error {
	old := s.agents[i]
	if !old.agent.Drain(planWithin) {
		return stopFailed("agent")
	}
	old.agent.Shutdown()
	old.server.Close()
	a, err := s.startAgent(d, k, old.server.Address())
	if err != nil {
		return err
	}
	s.agents[i] = a
	return s.waitReady(planWithin)
}

func stopFailed(what string) error {
	return &oleandervalve.UnavailableError{Service: what, Remedy: "its planned stop did not end in time; run with --verbose and look for requests in flight"}
}
