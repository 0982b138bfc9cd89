package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// machinePower loses a machine, with agent and executor, just after a task that lasts has begun there.
func machinePower(d *deployment) (bool, error) {
	const (
		tasks = 6
		id    = "5c0e7a21d94b36f8"
		after = 50 * time.Millisecond
	)
	if err := d.startAll(); err != nil {
		return false, err
	}
	job := fmt.Sprintf(`{"spec":"lasts","steps":[{"count":%d,"cpu":4000,"memMb":4000,"estimateMs":1000,"longRunning":true,"image":"im-1"}]}`, tasks)
	if err := d.submit(id, job); err != nil {
		return false, err
	}
	var first event
	if !d.await(10*time.Second, func(events []event) bool {
		if len(events) > 0 {
			first = events[0]
		}
		return len(events) > 0
	}) {
		return false, errors.New("no task has begun")
	}
	lost, lostAt := "", time.Now()
	if d.trouble {
		time.Sleep(after)
		m := d.machineOf(first.Executor)
		_ = m.agent.cmd.Process.Kill()
		m.executor.kill()
		lost, lostAt = first.Executor, time.Now()
		d.record("%s loses power for good: its agent and its executor are killed", m.name)
	}
	for time.Since(lostAt) < 18*time.Second {
		time.Sleep(2 * time.Second)
		d.call(0, http.MethodGet, id, "")
	}
	isBroken := false
	for i := range tasks {
		isBroken = d.checkLasting(fmt.Sprintf("%s.0.0.%d", id, i), lost, lostAt) || isBroken
	}
	d.call(0, http.MethodDelete, id, "")
	time.Sleep(500 * time.Millisecond)
	return isBroken, nil
}
