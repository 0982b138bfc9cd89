package main

import (
	"errors"
	"strings"
	"time"
)

// lateStart holds one start of a task on its way for seven seconds. Its repetition is carried out and the task is
// done. Meanwhile the executor crashes and starts again under its id.
func lateStart(d *deployment) (bool, error) {
	const (
		id       = "85c0e7a21d94b36f"
		task     = id + ".0.0.0"
		downtime = 2 * time.Second
		delay    = 7 * time.Second
	)
	d.gated = true
	if err := d.startAll(); err != nil {
		return false, err
	}
	held := make(chan heldCall, len(d.machines))
	if d.trouble {
		d.holdStarts(held)
	}
	if err := d.submit(id, `{"spec":"ms=800","steps":[{"count":1,"cpu":1000,"memMb":256,"estimateMs":800}]}`); err != nil {
		return false, err
	}
	var late heldCall
	if d.trouble {
		select {
		case late = <-held:
		case <-time.After(10 * time.Second):
			return false, errors.New("no start was sent")
		}
		d.record("the first start is held on its way: %s", late.body)
		d.holdStarts(nil)
	}
	x, ok := d.awaitBegin(10*time.Second, task, 1)
	if !ok {
		return false, errors.New("the task has not begun")
	}
	if !d.await(10*time.Second, func(events []event) bool { return count(events, task, "seen") > 0 }) {
		return false, errors.New("the end of the task has not been taken note of")
	}
	time.Sleep(500 * time.Millisecond)
	d.call(0, "GET", id, "")
	if d.trouble {
		if err := d.deliverLate(d.machineOf(x.Executor), late, downtime, delay); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second)
	d.call(0, "GET", id, "")
	starts := count(d.allEvents(), task, "begun")
	d.record("task %s: starts %d, ends done %d, of which the first was taken note of", task, starts, count(d.allEvents(), task, "done"))
	return starts > 1, nil
}

// holdStarts sets where the next start of each machine is held.
func (d *deployment) holdStarts(held chan heldCall) {
	for _, m := range d.machines {
		m.gate.mu.Lock()
		m.gate.held = held
		m.gate.mu.Unlock()
	}
}

// deliverLate crashes an executor and starts it again under its id. A call that was sent to it before arrives
// after the given delay.
func (d *deployment) deliverLate(m *machine, late heldCall, downtime, delay time.Duration) error {
	time.Sleep(time.Until(late.at.Add(4500 * time.Millisecond)))
	m.gate.close()
	m.executor.kill()
	d.record("executor i-%s has crashed", m.name)
	time.Sleep(downtime)
	m.executor = &child{name: m.executor.name + "-again", args: append(append([]string{}, m.executor.args...), "--first-beat", "1200ms")}
	if err := d.start(m.executor); err != nil {
		return err
	}
	for began := time.Now(); time.Since(began) < time.Second; time.Sleep(5 * time.Millisecond) {
		if _, _, err := m.gate.deliver(heldCall{path: "/none"}); err == nil {
			break
		}
	}
	if err := m.gate.open(); err != nil {
		return err
	}
	d.record("executor i-%s has started again under its id", m.name)
	time.Sleep(time.Until(late.at.Add(delay)))
	status, answer, err := m.gate.deliver(late)
	d.record("the first start arrives %.1f s after it was sent: %d %s %v", time.Since(late.at).Seconds(), status, strings.TrimSpace(string(answer)), err)
	return nil
}

// count counts the events of one kind of a task.
func count(events []event, task, what string) int {
	n := 0
	for _, e := range events {
		if e.Task == task && e.What == what {
			n++
		}
	}
	return n
}
