package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	largeCPU   = 64_000
	largeMemMb = 256_000
	// finish is how long after the end of the traffic the jobs are asked for.
	finish = 14 * time.Second
	// idleWatch is how long the jobs are watched after that.
	idleWatch = 5 * time.Second
)

var errNotAccepted = errors.New("a job was not accepted")

// ordinary returns the kinds of n executors of the usual kind, and of further ones.
func ordinary(n int, more ...string) []string {
	return append(slices.Repeat([]string{"a"}, n), more...)
}

// manyEnds kills the agent of one executor while more runs end there than the executor lists
// at a time. Rule: TWICE.
func manyEnds(r *record, trouble bool) ([]string, error) {
	d, err := start(r, shape{entries: 3, executors: ordinary(4), cpu: largeCPU, memMb: largeMemMb})
	if err != nil {
		return nil, err
	}
	defer d.close()
	for i := range 3 {
		j := &job{
			id: fmt.Sprintf("%016x", 0xa10+i), spec: taskSpec{RunMs: []int{3000}, CPU: 100, MemMb: 100},
			steps: []step{{"count": 800, "cpu": 100, "memMb": 100, "estimateMs": 3000}},
		}
		if !d.submit(j) {
			return nil, errNotAccepted
		}
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(1200 * time.Millisecond)
	if trouble {
		d.agents[0].kill(2500 * time.Millisecond)
	}
	d.awaitCompletion(30 * time.Second)
	return d.history.twice(), nil
}

// largeRecord crashes an executor with many young runs of one large job, so that the record
// of the job outgrows a row of the store. Rule: LOST.
func largeRecord(r *record, trouble bool) ([]string, error) {
	d, err := start(r, shape{entries: 3, executors: ordinary(12, "b", "b"), cpu: largeCPU, memMb: largeMemMb})
	if err != nil {
		return nil, err
	}
	defer d.close()
	long := func(after ...int) step {
		return step{"count": 900, "cpu": 40, "memMb": 100, "estimateMs": 10_000, "checkpointing": true, "requirements": "b", "after": after}
	}
	j := &job{
		id: "00000000000000b0", spec: taskSpec{RunMs: []int{300, 10_000}, CPU: 40, MemMb: 100, Saves: true},
		steps: []step{{"count": 1, "cpu": 40, "memMb": 100, "estimateMs": 300}, long(), long(0)},
	}
	if !d.submit(j) {
		return nil, errNotAccepted
	}
	time.Sleep(4200 * time.Millisecond)
	if trouble {
		if err := d.crash(2*time.Second, 12, 13); err != nil {
			return nil, err
		}
	}
	time.Sleep(finish)
	breaks := d.lost(idleWatch)
	// What callers of other jobs are told does not count here, but belongs to the record.
	d.submit(&job{id: "00000000000000b1", spec: taskSpec{RunMs: []int{100}, CPU: 100, MemMb: 100}, steps: []step{{"count": 1, "cpu": 100, "memMb": 100, "estimateMs": 100}}})
	return breaks, nil
}

// crash crashes executors, which are down for a time.
func (d *deployment) crash(down time.Duration, executors ...int) error {
	for _, i := range executors {
		d.executors[i].crash()
	}
	time.Sleep(down)
	for _, i := range executors {
		if err := d.executors[i].begin(); err != nil {
			return err
		}
	}
	return nil
}

// largeReport crashes an executor with more young runs than fit into one message of its agent
// to the leader. Rule: LOST.
func largeReport(r *record, trouble bool) ([]string, error) {
	d, err := start(r, shape{entries: 3, executors: ordinary(6, "b"), cpu: largeCPU, memMb: largeMemMb})
	if err != nil {
		return nil, err
	}
	defer d.close()
	for i := range 3 {
		j := &job{
			id: fmt.Sprintf("%016x", 0xc00+i), spec: taskSpec{RunMs: []int{6000}, CPU: 30, MemMb: 100},
			steps: []step{{"count": 620, "cpu": 30, "memMb": 100, "estimateMs": 6000, "requirements": "b"}},
		}
		if !d.submit(j) {
			return nil, errNotAccepted
		}
		time.Sleep(400 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		if err := d.crash(2*time.Second, 6); err != nil {
			return nil, err
		}
	}
	time.Sleep(finish)
	return d.lost(idleWatch), nil
}

// staleLeader cuts the leader off from the store while no other entry is connected to it, and
// cancels, through it, a job that the next leader has accepted. Rule: UNASKED.
func staleLeader(r *record, trouble bool) ([]string, error) {
	d, err := start(r, shape{entries: 2, executors: ordinary(4), cpu: largeCPU, memMb: largeMemMb})
	if err != nil {
		return nil, err
	}
	defer d.close()
	leader, other := 0, 1
	if d.store.lastCommitter() == d.entries[1].name {
		leader, other = 1, 0
	}
	r.add("event  %s leads", d.entries[leader].name)
	if trouble {
		d.store.setCut(d.entries[leader].name, true)
		d.entries[other].kill(2 * time.Second)
	}
	healAt := time.Now().Add(cutTime)
	time.Sleep(3 * time.Second)
	j := &job{
		id: "00000000000000d0", spec: taskSpec{RunMs: []int{1500}, CPU: 1000, MemMb: 1000},
		steps: []step{
			{"count": 6, "cpu": 1000, "memMb": 1000, "estimateMs": 1500},
			{"count": 6, "cpu": 1000, "memMb": 1000, "estimateMs": 1500, "after": []int{0}},
			{"count": 6, "cpu": 1000, "memMb": 1000, "estimateMs": 1500, "after": []int{1}},
		},
	}
	if !d.submitTo(j, other) {
		return nil, errNotAccepted
	}
	d.record.add("sent   GET /ready to %s: %d", d.entries[leader].name, d.ready(leader))
	status, _ := d.call(context.Background(), leader, http.MethodDelete, j.id, nil)
	acknowledgedAt := r.now()
	r.add("sent   DELETE %s to %s: %d", j.id, d.entries[leader].name, status)
	if trouble {
		time.Sleep(time.Until(healAt))
		d.store.setCut(d.entries[leader].name, false)
	}
	if status != http.StatusOK && status != http.StatusGone {
		return nil, fmt.Errorf("the cancellation is not acknowledged: status %d", status)
	}
	time.Sleep(12 * time.Second)
	d.state(j)
	return d.history.startsAfter(j.id, acknowledgedAt+cancelTime), nil
}

const (
	// cutTime is how long the leader is cut off from the store.
	cutTime = 5500 * time.Millisecond
	// cancelTime is how long after the acknowledgement of a cancellation tasks may start.
	cancelTime = 3 * time.Second
)

// queuedStarts cancels jobs while the executors leave a share of the orders unanswered, so
// that start orders wait in their agents. Rule: UNASKED.
func queuedStarts(r *record, trouble bool) ([]string, error) {
	d, err := start(r, shape{entries: 3, executors: ordinary(7), cpu: largeCPU, memMb: largeMemMb})
	if err != nil {
		return nil, err
	}
	defer d.close()
	setLateShare := func(share float64) {
		for _, x := range d.executors {
			x.setLateShare(share)
		}
	}
	if trouble {
		setLateShare(lateShare)
	}
	healAt := time.Now().Add(lateTime)
	for i := range 18 {
		j := &job{
			id: fmt.Sprintf("%016x", 0xe00+i), spec: taskSpec{RunMs: []int{4000}, CPU: 600, MemMb: 1000},
			steps: []step{{"count": 36, "cpu": 600, "memMb": 1000, "estimateMs": 4000}},
		}
		if !d.submit(j) {
			return nil, errNotAccepted
		}
	}
	acknowledged := map[string]time.Duration{}
	for _, j := range d.jobs {
		status, _ := d.call(context.Background(), 1, http.MethodDelete, j.id, nil)
		acknowledged[j.id] = r.now()
		r.add("sent   DELETE %s to %s: %d", j.id, d.entries[1].name, status)
		if status != http.StatusOK {
			return nil, fmt.Errorf("the cancellation is not acknowledged: status %d", status)
		}
	}
	time.Sleep(time.Until(healAt))
	if trouble {
		setLateShare(0)
	}
	time.Sleep(6 * time.Second)
	var out []string
	for id, at := range acknowledged {
		out = append(out, d.history.startsAfter(id, at+cancelTime)...)
	}
	return out, nil
}

const (
	// lateShare is the share of the orders that get no answer, and lateTime for how long.
	lateShare = 0.5
	lateTime  = 5500 * time.Millisecond
)

// lostMachine loses a machine while the store is busy, so that tasks have been assigned to its
// executor without a commit. Rule: LOST.
func lostMachine(r *record, trouble bool) ([]string, error) {
	d, err := start(r, shape{entries: 3, executors: ordinary(7), cpu: largeCPU, memMb: largeMemMb})
	if err != nil {
		return nil, err
	}
	defer d.close()
	for i := range 6 {
		j := &job{
			id: fmt.Sprintf("%016x", 0xf00+i), spec: taskSpec{RunMs: []int{400}, CPU: 1000, MemMb: 1900},
			steps: []step{
				{"count": 14, "cpu": 1000, "memMb": 1900, "estimateMs": 400},
				{"count": 14, "cpu": 1000, "memMb": 1900, "estimateMs": 400, "after": []int{0}},
			},
		}
		if !d.submit(j) {
			return nil, errNotAccepted
		}
	}
	if trouble {
		d.store.setBusy(true)
		time.Sleep(lossDelay)
		d.agents[0].remove()
		d.executors[0].crash()
		time.Sleep(busyTime - lossDelay)
		d.store.setBusy(false)
	}
	time.Sleep(finish)
	return d.lost(idleWatch), nil
}

const (
	// busyTime is how long the store is busy, and lossDelay the time until the machine is lost.
	busyTime  = 9 * time.Second
	lossDelay = 900 * time.Millisecond
)
