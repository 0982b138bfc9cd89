package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// run is one run of a task as its executor has seen it.
type run struct {
	task     string
	number   uint64
	executor string
	// late means that the executor has carried out the order late.
	late      bool
	startedAt time.Duration
	// endedAt is zero while the run goes on.
	endedAt time.Duration
	// how is the cause of the end; "gone" if the run vanished with its executor.
	how string
	// notedAt is when lastSeen reached the end, without a lapse of the lease in between;
	// zero if it has not.
	notedAt time.Duration
}

// history holds the runs of all executors.
type history struct {
	record *record
	mu     sync.Mutex
	runs   map[string][]*run
}

func newHistory(r *record) *history { return &history{record: r, runs: map[string][]*run{}} }

func (h *history) start(task string, number uint64, executor string, late bool) *run {
	h.mu.Lock()
	defer h.mu.Unlock()
	x := &run{task: task, number: number, executor: executor, late: late, startedAt: h.record.now()}
	h.runs[task] = append(h.runs[task], x)
	h.record.add("run    %s run %d starts on %s, late order: %t", task, number, executor, late)
	return x
}

func (h *history) end(x *run, how string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	x.endedAt, x.how = h.record.now(), how
	h.record.add("run    %s run %d ends on %s: %s", x.task, x.number, x.executor, how)
}

func (h *history) note(x *run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	x.notedAt = h.record.now()
	h.record.add("noted  %s run %d on %s: %s", x.task, x.number, x.executor, x.how)
}

// progress returns the number of tasks of a job that are running and the names of those that
// have ended as done.
func (h *history) progress(job string) (running int, done map[string]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	done = map[string]bool{}
	for task, runs := range h.runs {
		if !strings.HasPrefix(task, job+".") {
			continue
		}
		for _, x := range runs {
			if x.endedAt == 0 {
				running++
			}
			if x.how == "done" {
				done[task] = true
			}
		}
	}
	return running, done
}

// twice returns the breaks of the rule TWICE for tasks that don't allow duplicates: two runs
// at the same time, or a start after a run has ended as done, if that end was noted.
func (h *history) twice() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for task, runs := range h.runs {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				switch {
				case a.endedAt == 0 || b.startedAt < a.endedAt:
					out = append(out, fmt.Sprintf("%s: run %d starts on %s at %.3f while run %d is on %s", task, b.number, b.executor, b.startedAt.Seconds(), a.number, a.executor))
				case a.how == "done" && a.notedAt > 0:
					out = append(out, fmt.Sprintf("%s: run %d starts on %s at %.3f; run %d ended as done on %s at %.3f, noted at %.3f",
						task, b.number, b.executor, b.startedAt.Seconds(), a.number, a.executor, a.endedAt.Seconds(), a.notedAt.Seconds()))
				}
			}
		}
	}
	return out
}

// startsAfter returns the starts of a job's tasks later than a time, apart from those on
// orders that the executor has carried out late.
func (h *history) startsAfter(job string, at time.Duration) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for task, runs := range h.runs {
		for _, x := range runs {
			if strings.HasPrefix(task, job+".") && x.startedAt > at && !x.late {
				out = append(out, fmt.Sprintf("%s: run %d starts on %s at %.3f; no task of its job may start later than %.3f", task, x.number, x.executor, x.startedAt.Seconds(), at.Seconds()))
			}
		}
	}
	return out
}
