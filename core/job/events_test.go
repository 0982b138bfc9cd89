package job

import (
	"fmt"
	"time"

	"oleandervalve"
	"oleandervalve/core/lease"
)

// event is one thing that may happen next.
type event struct {
	name  string
	fault string // kind of fault that its budget limits, or empty
	do    func()
}

// events lists what may happen next, in a fixed order.
func (w *world) events() []event {
	var list []event
	add := func(fault string, do func(), format string, args ...any) {
		if fault == "" || w.budget[fault] > 0 {
			list = append(list, event{fmt.Sprintf(format, args...), fault, do})
		}
	}
	for n, t := range w.items {
		take := func() {
			w.items = append(append([]*item{}, w.items[:n]...), w.items[n+1:]...)
		}
		add("", func() { take(); w.perform(t) }, "do %T %s", t.act, t.name)
		if isMessage(t.act) {
			add("repeat", func() { w.perform(t) }, "repeat %T %s", t.act, t.name)
			add("drop", take, "drop %T %s", t.act, t.name)
		}
		unknown := &oleandervalve.UnknownOutcomeError{Operation: "commit"}
		if m, ok := t.act.(Commit); ok && !t.ghost {
			back := func() {
				next := t.attempt.Answered(oleandervalve.Committed{}, unknown)
				w.add(&item{to: t.to, from: -1, act: readBack{next}, attempt: t.attempt})
			}
			add("lost", func() { take(); _, _ = w.commit(m.Transaction); back() }, "lose answer to %T %s", t.act, t.name)
			add("lost", func() { t.ghost = true; back() }, "delay %T %s", t.act, t.name)
		}
		if m, ok := t.act.(PlatformStart); ok && t.life == w.agents[t.to].life {
			run := Run{Task: m.Spec.Task, Epoch: m.Spec.Epoch}
			a := w.agents[t.to]
			lose := func() { t.life = 0; w.fromAgent(a, a.runner.StartDone(w.now, run, CallUnknown)) }
			add("lost", func() { take(); t.life = 0; w.call(t); lose() }, "lose answer to %T %s", t.act, t.name)
			add("lost", lose, "delay %T %s", t.act, t.name)
		}
	}
	for i, s := range w.shards {
		add("", func() { w.fromShard(i)(s.Tick(w.now), nil) }, "tick entry %d", i)
		add("rebuild", func() { w.rebuild(i) }, "rebuild entry %d", i)
		for _, j := range w.jobs {
			add("cancel", func() { w.fromShard(i)(s.Cancel(j, "")) }, "cancel %s at entry %d", j, i)
		}
		for _, t := range s.placed() {
			if t.stored.State == StateRunning {
				add("evict", func() { w.fromShard(i)(s.Evict(w.now, t.stored.Task(), "test")) }, "evict %s at entry %d", t.stored.Task(), i)
			}
		}
		for _, a := range w.agents {
			add("suspect", func() { w.loseWorker(i, a) }, "entry %d takes over from %s", i, a.name)
		}
	}
	for _, a := range w.agents {
		if !w.eager {
			add("", func() { w.fromAgent(a, a.runner.Tick(w.now)) }, "tick agent %s", a.name)
		}
		add("restart", func() { w.boot(a) }, "restart agent %s", a.name)
		add("heartbeat", func() {
			w.add(&item{to: index(a.name), from: index(a.name), toAgent: true, act: heartbeat{w.now}})
		}, "heartbeat of %s", a.name)
		for _, t := range a.status().Tasks {
			p := a.tasks[Run{Task: t.Spec.Task, Epoch: t.Spec.Epoch}]
			if p.state == oleandervalve.PlatformRunning {
				add("end", func() { p.state = oleandervalve.PlatformFinished }, "finish %s", t.Spec.Task)
				add("end", func() { p.state = oleandervalve.PlatformFailed }, "fail %s", t.Spec.Task)
			}
		}
	}
	pass := func(d time.Duration) func() {
		return func() {
			w.advance(d)
			for _, a := range w.agents {
				if w.eager {
					w.fromAgent(a, a.runner.Tick(w.now))
				}
			}
		}
	}
	add("short", pass(2*time.Second), "2 s pass")
	add("long", pass(31*time.Second), "31 s pass")
	// The agents are paused for so long, or they would drop what has expired.
	add("expire", func() { w.advance(lease.WorkerLease + lease.Guard) }, "a lease passes")
	return list
}

// happen carries out an event.
func (w *world) happen(e event) {
	if e.fault != "" {
		w.budget[e.fault]--
	}
	e.do()
	w.check()
}

// loseWorker lets an entry try to take over; the table decides whether it may.
func (w *world) loseWorker(i int, a *agent) {
	c, err := lease.Expired(w.row(oleandervalve.Key("workerLeases/"+a.name)), a.name, lease.WorkerLease, lease.Guard)
	if w.trusting {
		c.UnwrittenFor = 0
	}
	w.fromShard(i)(w.shards[i].WorkerLost(w.now, a.name, c), err)
}

// pass performs everything under way in order and lets one second pass, with
// the given agents and entries alive.
func (w *world) pass(agents, entries []int) {
	w.advance(time.Second)
	for _, i := range agents {
		a := w.agents[i]
		w.renew(a)
		a.lease.Renew(w.now, w.now)
		w.fromAgent(a, a.runner.Tick(w.now))
	}
	for _, i := range entries {
		w.fromShard(i)(w.shards[i].Tick(w.now), nil)
	}
	alive := func(list []int, n int) bool {
		for _, i := range list {
			if i == n {
				return true
			}
		}
		return false
	}
	for n := 0; len(w.items) > 0 && n < 10_000; n++ {
		t := w.items[0]
		w.items = w.items[1:]
		if t.toAgent && alive(agents, t.to) || !t.toAgent && alive(entries, t.to) {
			w.perform(t)
		}
	}
	if len(w.items) > 0 {
		w.fail("messages never end, such as %s", w.items[0].name)
	}
	w.check()
}
