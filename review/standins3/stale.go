package main

import (
	"bytes"
	"errors"
	"fmt"
	"syscall"
	"time"
)

// staleStart loses the answer to one start and freezes the leading entry for a while. Long after both, the
// executor is lost for good.
func staleStart(d *deployment) (bool, error) {
	const (
		tasks  = 6
		id     = "c0e7a2136f85d94b"
		freeze = 4 * time.Second
		calm   = 12 * time.Second
	)
	if err := d.startAll(); err != nil {
		return false, err
	}
	leading := d.leader()
	if leading == nil {
		return false, errors.New("no entry leads")
	}
	m := d.machines[0]
	if d.trouble {
		r, err := d.client.Post("http://"+m.app+"/lose-answers", "application/json", nil)
		if err != nil {
			return false, err
		}
		r.Body.Close()
	}
	job := fmt.Sprintf(`{"spec":"lasts","steps":[{"count":%d,"cpu":4000,"memMb":4000,"estimateMs":1000,"longRunning":true,"image":"im-1","antiAffinity":1}]}`, tasks)
	if err := d.submit(id, job); err != nil {
		return false, err
	}
	var lost event
	if !d.await(10*time.Second, func(events []event) bool {
		for _, e := range events {
			if e.What == "begun" && e.Executor == "i-"+m.name {
				lost = e
				return true
			}
		}
		return false
	}) {
		return false, errors.New("no task has begun on " + m.name)
	}
	time.Sleep(200 * time.Millisecond)
	if d.trouble {
		d.record("the leading entry %s is frozen for %v", leading.name, freeze)
		_ = leading.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(freeze)
		_ = leading.cmd.Process.Signal(syscall.SIGCONT)
		d.record("the entry is awake again")
	}
	time.Sleep(calm)
	d.call(0, "GET", id, "")
	// Also without the trouble before it: this loss alone is borne.
	m.executor.kill()
	lostAt := time.Now()
	d.record("executor %s is lost for good, %.1f s after it began run %d of task %s", lost.Executor, lostAt.Sub(time.UnixMilli(lost.AtMs)).Seconds(), lost.Run, lost.Task)
	time.Sleep(16 * time.Second)
	isBroken := d.checkLasting(lost.Task, lost.Executor, lostAt)
	d.call(0, "DELETE", id, "")
	time.Sleep(500 * time.Millisecond)
	return isBroken, nil
}

// leader returns the entry that the platform's store names as the leading one.
func (d *deployment) leader() *child {
	row := d.platform.Value("leader", "main", "leader")
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.children {
		if bytes.Contains(row, []byte(c.name)) {
			return c
		}
	}
	return nil
}
