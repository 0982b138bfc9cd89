package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

// pinned crashes one executor again and again, silently, under a job that lasts and has two tasks on each executor.
// A crash counts with the first of its two tasks that has a run again: until then there is room for both.
func pinned(d *deployment) (bool, error) {
	const (
		crashes = 4
		id      = "36f85c0e7a21d94b"
		silence = 3 * time.Second
		calm    = 13 * time.Second
	)
	if err := d.startAll(); err != nil {
		return false, err
	}
	job := fmt.Sprintf(`{"spec":"lasts","steps":[{"count":%d,"cpu":4000,"memMb":4000,"estimateMs":1000,"longRunning":true,"image":"im-1","antiAffinity":2}]}`, 2*machines)
	if err := d.submit(id, job); err != nil {
		return false, err
	}
	if !d.await(10*time.Second, func(e []event) bool { return len(e) >= 2*machines }) {
		return false, errors.New("the tasks have not begun")
	}
	m := d.machines[0]
	var lost []string
	for _, e := range d.allEvents() {
		if e.Executor == "i-"+m.name {
			lost = append(lost, e.Task)
		}
	}
	longest := time.Duration(0)
	for n := 1; n <= crashes; n++ {
		time.Sleep(calm)
		if !d.trouble {
			time.Sleep(silence)
			d.record("no crash %d; tasks that have begun: %d", n, len(d.allEvents()))
			if len(d.allEvents()) != 2*machines {
				return true, nil
			}
			continue
		}
		for _, task := range lost {
			if x, ok := d.awaitBegin(time.Second, task, n); !ok || x.Executor != "i-"+m.name {
				return false, fmt.Errorf("task %s has not begun again on its executor", task)
			}
		}
		at := time.Now()
		_ = m.executor.cmd.Process.Signal(syscall.SIGSTOP)
		d.record("executor i-%s has crashed silently under tasks %v (crash %d)", m.name, lost, n)
		time.Sleep(silence)
		m.executor.kill()
		m.executor = &child{name: fmt.Sprintf("%s-%d", m.name, n), args: m.executor.args}
		if err := d.start(m.executor); err != nil {
			return false, err
		}
		d.record("executor i-%s has started again", m.name)
		first := time.Hour
		for _, task := range lost {
			x, ok := d.awaitBegin(14*time.Second, task, n+1)
			gap := time.UnixMilli(x.AtMs).Sub(at)
			if !ok {
				gap = time.Since(at)
			}
			d.record("task %s has had no run for %.3f s after crash %d", task, gap.Seconds(), n)
			first = min(first, gap)
		}
		d.record("the first of them has had no run for %.3f s; the executor was up and idle for %.3f s of them; at most %.0f s are allowed", first.Seconds(), (first - silence).Seconds(), limit.Seconds())
		longest = max(longest, first)
	}
	return longest > limit, nil
}
