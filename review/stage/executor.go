package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// maxHold is the longest lease that an executor grants.
const maxHold = 10 * time.Second

// execution is a run in progress.
type execution struct {
	run     uint64
	timer   *time.Timer
	started time.Time
}

// endedRun is an end that has not been acknowledged.
type endedRun struct {
	number uint64
	task   string
	run    uint64
	how    string
}

// executor is a stand-in of an executor. It begins with life 1; each life has the same id.
type executor struct {
	id      string
	address string
	// path is the path to the agent's address.
	path   *link
	labels []string
	rec    *record
	// runTime returns how long a run of a task takes.
	runTime func(task string) time.Duration
	client  *http.Client

	mu sync.Mutex
	// refusedJob is a job whose starts are invalid for the executor, and refusedStarts their number.
	refusedJob    string
	refusedStarts int
	life          int
	up            bool
	state         string
	born          time.Time
	sequence      uint64
	fence         uint64
	running       map[string]*execution
	ended         []endedRun
	lastEnd       uint64
	highest       map[string]uint64
	leaseEnd      time.Time
	lease         *time.Timer
	changed       chan struct{}
	server        *http.Server
	stop          context.CancelFunc
	drained       chan struct{}
}

// begin begins a new life: the executor listens, knows nothing of before, and announces itself.
func (x *executor) begin() error {
	l, err := listen(x.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	x.mu.Lock()
	defer x.mu.Unlock()
	x.life++
	x.up, x.state, x.born, x.sequence, x.fence = true, "ready", time.Now(), 0, 0
	x.running, x.ended, x.lastEnd, x.highest = map[string]*execution{}, nil, 0, map[string]uint64{}
	x.leaseEnd, x.changed, x.stop, x.drained = time.Time{}, make(chan struct{}), cancel, make(chan struct{})
	x.server = &http.Server{Handler: x.handler(x.life), ReadHeaderTimeout: time.Minute}
	go func(s *http.Server) { _ = s.Serve(l) }(x.server) // returns when the server is closed
	go x.announce(ctx, x.life)
	x.rec.logf("%s life %d begins", x.id, x.life)
	return nil
}

// end ends the life: everything that runs terminates, and nothing listens any more.
func (x *executor) end(why string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.up {
		return
	}
	x.up = false
	x.stop()
	for task, e := range x.running {
		e.timer.Stop()
		x.rec.ended(x.id, task, e.run, "lost")
	}
	x.running = map[string]*execution{}
	if x.lease != nil {
		x.lease.Stop()
	}
	x.wake()
	_ = x.server.Close() // connections are closed anyway
	x.rec.logf("%s life %d ends: %s", x.id, x.life, why)
}

// count returns the number of runs in progress.
func (x *executor) count() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.running)
}

// refuse makes the executor refuse the starts of a job as invalid.
func (x *executor) refuse(job string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.refusedJob = job
}

// refusals returns how many starts the executor has refused as invalid.
func (x *executor) refusals() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.refusedStarts
}

// wake wakes the calls that wait for an end; the lock must be held.
func (x *executor) wake() {
	close(x.changed)
	x.changed = make(chan struct{})
}

// announce sends heartbeats until the life ends.
func (x *executor) announce(ctx context.Context, life int) {
	acknowledged := false
	for ctx.Err() == nil {
		x.mu.Lock()
		if x.life != life || !x.up {
			x.mu.Unlock()
			return
		}
		x.sequence++
		state := x.state
		body, _ := json.Marshal(map[string]any{
			"service": service, "address": x.address, "zone": "z", "version": "v1", "slots": 8, "state": state, "coldRemainingMs": 0,
			"capacity": map[string]int{"cpu": executorCPU, "memMb": 64000, "gpu": 0}, "labels": x.labels,
			"clockMs": time.Since(x.born).Milliseconds(), "sequence": x.sequence, "born": x.born.UnixMilli(),
		}) // plain values can always be encoded
		drained := x.drained
		x.mu.Unlock()
		status, err := x.post(ctx, "/Instances.Heartbeat/"+x.id, body)
		if err == nil && status/100 == 2 && state == "draining" && !acknowledged {
			acknowledged = true
			close(drained)
		}
		pause := heartbeatInterval
		if err != nil || status/100 != 2 {
			pause = 300 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// post sends a call to the agent, as the executor's announcements do.
func (x *executor) post(ctx context.Context, path string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+x.path.address()+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := x.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // the answer is not used
	return response.StatusCode, nil
}

// drain announces that the executor leaves, and waits for the acknowledgement and then as long as
// the executor serves on.
func (x *executor) drain(serve time.Duration) {
	x.mu.Lock()
	x.state = "draining"
	drained := x.drained
	x.mu.Unlock()
	x.rec.logf("%s life %d drains", x.id, x.life)
	select {
	case <-drained:
	case <-time.After(4 * time.Second):
		x.rec.logf("%s has no acknowledgement", x.id)
	}
	time.Sleep(serve)
}

// order is the body of all calls to an executor.
type order struct {
	Task       string `json:"task"`
	Run        uint64 `json:"runId"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Token      uint64 `json:"fencingToken"`
	LastSeen   uint64 `json:"lastSeen"`
	WaitMs     int64  `json:"waitMs"`
}

// handler returns the handler of the calls to one life.
func (x *executor) handler(life int) http.Handler {
	m := http.NewServeMux()
	handle := func(path string, apply func(order) (int, string)) {
		m.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			o, ok := x.decode(w, r)
			if !ok {
				return
			}
			x.mu.Lock()
			if x.life != life || !x.up {
				x.mu.Unlock()
				panic(http.ErrAbortHandler)
			}
			status, reason := apply(o)
			answer := map[string]any{"clockMs": x.clock(), "born": x.born.UnixMilli()}
			x.mu.Unlock()
			if reason != "" {
				answer["reason"] = reason
			}
			writeJSON(w, status, answer)
		})
	}
	handle("/run-start", x.start)
	handle("/run-stop", x.stopRun)
	handle("/pace", func(o order) (int, string) { return x.checkFence(o) })
	m.HandleFunc("POST /hold", func(w http.ResponseWriter, r *http.Request) { x.hold(w, r, life) })
	return m
}

func (x *executor) decode(w http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if id := r.Header.Get("X-Target-Instance"); id != "" && id != x.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return o, false
	}
	return o, true
}

func (x *executor) clock() int64 { return time.Since(x.born).Milliseconds() }

// checkFence keeps the highest fencing token and refuses lower ones; the lock must be held.
func (x *executor) checkFence(o order) (int, string) {
	if o.Token < x.fence {
		return http.StatusConflict, "fence"
	}
	x.fence = o.Token
	return http.StatusOK, ""
}

func (x *executor) start(o order) (int, string) {
	if status, reason := x.checkFence(o); reason != "" {
		return status, reason
	}
	x.extend(o.DeadlineMs)
	switch e := x.running[o.Task]; {
	case e != nil && e.run == o.Run:
		return http.StatusOK, ""
	case e != nil || o.Run <= x.highest[o.Task]:
		return http.StatusConflict, "old"
	case o.DeadlineMs <= x.clock():
		return http.StatusConflict, "late"
	}
	if job, _, _ := strings.Cut(o.Task, "."); job == x.refusedJob {
		x.refusedStarts++
		return http.StatusBadRequest, ""
	}
	life := x.life
	e := &execution{run: o.Run, started: time.Now()}
	x.running[o.Task] = e
	x.rec.started(x.id, o.Task, o.Run)
	e.timer = time.AfterFunc(x.runTime(o.Task), func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if x.life == life && x.up && x.running[o.Task] == e {
			x.endRun(o.Task, "done")
		}
	})
	return http.StatusOK, ""
}

func (x *executor) stopRun(o order) (int, string) {
	if status, reason := x.checkFence(o); reason != "" {
		return status, reason
	}
	x.highest[o.Task] = max(x.highest[o.Task], o.Run)
	if e := x.running[o.Task]; e != nil && e.run <= o.Run {
		x.endRun(o.Task, "stopped")
	}
	return http.StatusOK, ""
}

// endRun lists the end of a run; the lock must be held.
func (x *executor) endRun(task, how string) {
	e := x.running[task]
	e.timer.Stop()
	delete(x.running, task)
	x.lastEnd++
	x.highest[task] = max(x.highest[task], e.run)
	x.ended = append(x.ended, endedRun{x.lastEnd, task, e.run, how})
	x.rec.ended(x.id, task, e.run, how)
	x.wake()
}

// extend extends the lease, which never gets shorter; the lock must be held.
func (x *executor) extend(deadlineMs int64) {
	at := x.born.Add(time.Duration(deadlineMs) * time.Millisecond)
	if limit := time.Now().Add(maxHold); at.After(limit) {
		at = limit
	}
	if deadlineMs == 0 || !at.After(x.leaseEnd) {
		return
	}
	x.leaseEnd = at
	if x.lease != nil {
		x.lease.Stop()
	}
	life := x.life
	x.lease = time.AfterFunc(time.Until(at), func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if x.life != life || !x.up || time.Now().Before(x.leaseEnd) {
			return
		}
		for task := range x.running {
			x.endRun(task, "lapsed")
		}
	})
}

func (x *executor) hold(w http.ResponseWriter, r *http.Request, life int) {
	o, ok := x.decode(w, r)
	if !ok {
		return
	}
	x.mu.Lock()
	if x.life != life || !x.up {
		x.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if status, reason := x.checkFence(o); reason != "" {
		answer := map[string]any{"clockMs": x.clock(), "born": x.born.UnixMilli(), "reason": reason}
		x.mu.Unlock()
		writeJSON(w, status, answer)
		return
	}
	x.extend(o.DeadlineMs)
	for len(x.ended) > 0 && x.ended[0].number <= o.LastSeen {
		x.rec.logf("%s end %d of %s run %d is taken note of", x.id, x.ended[0].number, x.ended[0].task, x.ended[0].run)
		x.ended = x.ended[1:]
	}
	changed, listed := x.changed, len(x.ended)
	x.mu.Unlock()
	if listed == 0 && o.WaitMs > 0 {
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		}
	}
	x.mu.Lock()
	if x.life != life || !x.up {
		x.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	for task, e := range x.running {
		running = append(running, []any{task, e.run, "", min(99, int(100*time.Since(e.started)/x.runTime(task))), 100})
	}
	for _, e := range x.ended[:min(len(x.ended), 500)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	answer := map[string]any{"clockMs": x.clock(), "born": x.born.UnixMilli(), "running": running, "ended": ended}
	x.mu.Unlock()
	writeJSON(w, http.StatusOK, answer)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}

// listen listens at an address that an earlier life may have left just now.
func listen(address string) (net.Listener, error) {
	for end := time.Now().Add(3 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		l, err := net.Listen("tcp", address)
		if err == nil || time.Now().After(end) {
			return l, err
		}
	}
}

// record is the record of what was sent, answered and run. It checks that no task runs twice.
type record struct {
	mu       sync.Mutex
	began    time.Time
	out      io.Writer
	runs     map[string]map[string]uint64
	lastEnds map[string]time.Time
	problems []string
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *record) write(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...)) // the record is best effort
}

func (r *record) problem(format string, args ...any) {
	p := fmt.Sprintf(format, args...)
	r.problems = append(r.problems, p)
	r.write("BROKEN %s", p)
}

// started records a start, and a run of the same task that goes on elsewhere.
func (r *record) started(executor, task string, run uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("%s starts %s run %d", executor, task, run)
	for other, n := range r.runs[task] {
		r.problem("TWICE: %s run %d starts on %s while run %d is at work on %s", task, run, executor, n, other)
	}
	if r.runs[task] == nil {
		r.runs[task] = map[string]uint64{}
	}
	r.runs[task][executor] = run
}

// begun reports whether a task of a job has ever started.
func (r *record) begun(job string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task := range r.runs {
		if strings.HasPrefix(task, job) {
			return true
		}
	}
	return false
}

// fail records a broken rule.
func (r *record) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problem(format, args...)
}

// lastRunning returns when a task of a job last ran; the zero time means never.
func (r *record) lastRunning(job string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	var last time.Time
	for task := range r.runs {
		if at := r.lastRun(task); strings.HasPrefix(task, job) && at.After(last) {
			last = at
		}
	}
	return last
}

// lastRunOf returns when a task last ran.
func (r *record) lastRunOf(task string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastRun(task)
}

// lastRun returns when a task last ran; the lock must be held.
func (r *record) lastRun(task string) time.Time {
	if len(r.runs[task]) > 0 {
		return time.Now()
	}
	return r.lastEnds[task]
}

func (r *record) ended(executor, task string, run uint64, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("%s ends %s run %d: %s", executor, task, run, how)
	delete(r.runs[task], executor)
	if r.lastEnds == nil {
		r.lastEnds = map[string]time.Time{}
	}
	r.lastEnds[task] = time.Now()
}

// summary returns the rules that were broken.
func (r *record) summary() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.problems...)
}
