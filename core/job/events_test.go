package job

import (
	"fmt"
	"time"

	"oleandervalve"
	"oleandervalve/core/lease"
)

// event is one possible next step of the simulation.
type event struct {
	name  string
	fault string // kind of fault, which the budget limits; empty if it is none
	run   func()
}

// events lists the possible next events in a fixed order.
func (cl *cluster) events() []event {
	var list []event
	add := func(fault string, do func(), format string, args ...any) {
		if fault == "" || cl.budget[fault] > 0 {
			list = append(list, event{fmt.Sprintf(format, args...), fault, do})
		}
	}
	for n, op := range cl.inFlight {
		remove := func() {
			cl.inFlight = append(append([]*operation{}, cl.inFlight[:n]...), cl.inFlight[n+1:]...)
		}
		add("", func() { remove(); cl.perform(op) }, "do %T %s", op.action, op.name)
		if isMessage(op.action) {
			add("repeat", func() { cl.perform(op) }, "repeat %T %s", op.action, op.name)
			add("drop", remove, "drop %T %s", op.action, op.name)
		}
		unknown := &oleandervalve.UnknownOutcomeError{Operation: "commit"}
		if m, ok := op.action.(Commit); ok && !op.abandoned {
			enqueueReadBack := func() {
				next := op.attempt.HandleCommit(oleandervalve.Committed{}, unknown)
				cl.enqueue(&operation{to: op.to, from: -1, action: readBack{next}, attempt: op.attempt})
			}
			add("lost", func() { remove(); _, _ = cl.commit(m.Transaction); enqueueReadBack() }, "lose answer to %T %s", op.action, op.name)
			add("lost", func() { op.abandoned = true; enqueueReadBack() }, "delay %T %s", op.action, op.name)
		}
		if m, ok := op.action.(PlatformStart); ok && op.incarnation == cl.agents[op.to].incarnation {
			run := Run{Task: m.Spec.Task, Epoch: m.Spec.Epoch}
			a := cl.agents[op.to]
			loseAnswer := func() { op.incarnation = 0; cl.fromAgent(a, a.runner.StartDone(cl.now, run, CallUnknown)) }
			add("lost", func() { remove(); op.incarnation = 0; cl.callPlatform(op); loseAnswer() }, "lose answer to %T %s", op.action, op.name)
			add("lost", loseAnswer, "delay %T %s", op.action, op.name)
		}
	}
	for i, s := range cl.shards {
		add("", func() { cl.fromShard(i)(s.Tick(cl.now), nil) }, "tick entry %d", i)
		add("rebuild", func() { cl.rebuild(i) }, "rebuild entry %d", i)
		for _, j := range cl.jobs {
			add("cancel", func() { cl.fromShard(i)(s.Cancel(j, "")) }, "cancel %s at entry %d", j, i)
		}
		for _, t := range s.placed() {
			if t.stored.State == StateRunning {
				add("evict", func() { cl.fromShard(i)(s.Evict(cl.now, t.stored.Task(), "test")) }, "evict %s at entry %d", t.stored.Task(), i)
			}
		}
		for _, a := range cl.agents {
			add("suspect", func() { cl.tryTakeover(i, a) }, "entry %d takes over from %s", i, a.name)
		}
	}
	for _, a := range cl.agents {
		if !cl.eager {
			add("", func() { cl.fromAgent(a, a.runner.Tick(cl.now)) }, "tick agent %s", a.name)
		}
		add("restart", func() { cl.startAgent(a) }, "restart agent %s", a.name)
		add("heartbeat", func() {
			cl.enqueue(&operation{to: workerIndex(a.name), from: workerIndex(a.name), toAgent: true, action: heartbeat{cl.now}})
		}, "heartbeat of %s", a.name)
		for _, t := range a.status().Tasks {
			p := a.tasks[Run{Task: t.Spec.Task, Epoch: t.Spec.Epoch}]
			if p.state == oleandervalve.PlatformRunning {
				add("end", func() { p.state = oleandervalve.PlatformFinished }, "finish %s", t.Spec.Task)
				add("end", func() { p.state = oleandervalve.PlatformFailed }, "fail %s", t.Spec.Task)
			}
		}
	}
	advanceBy := func(d time.Duration) func() {
		return func() {
			cl.advance(d)
			for _, a := range cl.agents {
				if cl.eager {
					cl.fromAgent(a, a.runner.Tick(cl.now))
				}
			}
		}
	}
	add("short", advanceBy(2*time.Second), "2 s pass")
	add("long", advanceBy(31*time.Second), "31 s pass")
	// The agents don't tick meanwhile, as if they were paused; otherwise they would drop
	// their reservations and stop their runs.
	add("expire", func() { cl.advance(lease.WorkerTTL + lease.Guard) }, "a lease passes")
	return list
}

// apply performs an event and checks the invariants.
func (cl *cluster) apply(e event) {
	if e.fault != "" {
		cl.budget[e.fault]--
	}
	e.run()
	cl.checkInvariants()
}

// tryTakeover lets an entry request the takeover of a worker's tasks; the table
// decides whether it is permitted.
func (cl *cluster) tryTakeover(i int, a *agent) {
	c, err := lease.TakeoverCondition(cl.row(oleandervalve.Key("workerLeases/"+a.name)), a.name, lease.WorkerTTL, lease.Guard)
	if cl.ignoresTableClock {
		c.UnwrittenFor = 0
	}
	cl.fromShard(i)(cl.shards[i].WorkerExpired(cl.now, a.name, c), err)
}

// runSecond advances the time by one second, ticks the given agents and entries
// and performs all operations in flight in order. Operations of other agents and
// entries are dropped.
func (cl *cluster) runSecond(agents, entries []int) {
	cl.advance(time.Second)
	for _, i := range agents {
		a := cl.agents[i]
		cl.renewLease(a)
		a.lease.Renew(cl.now, cl.now)
		cl.fromAgent(a, a.runner.Tick(cl.now))
	}
	for _, i := range entries {
		cl.fromShard(i)(cl.shards[i].Tick(cl.now), nil)
	}
	alive := func(list []int, n int) bool {
		for _, i := range list {
			if i == n {
				return true
			}
		}
		return false
	}
	for n := 0; len(cl.inFlight) > 0 && n < 10_000; n++ {
		op := cl.inFlight[0]
		cl.inFlight = cl.inFlight[1:]
		if op.toAgent && alive(agents, op.to) || !op.toAgent && alive(entries, op.to) {
			cl.perform(op)
		}
	}
	if len(cl.inFlight) > 0 {
		cl.recordViolation("messages never end, such as %s", cl.inFlight[0].name)
	}
	cl.checkInvariants()
}
