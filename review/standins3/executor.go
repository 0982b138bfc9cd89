package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// order is the body of a call to an executor; each call uses some of the fields.
type order struct {
	Task       string `json:"task"`
	Run        uint64 `json:"runId"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Token      uint64 `json:"fencingToken"`
	LastSeen   uint64 `json:"lastSeen"`
	WaitMs     int64  `json:"waitMs"`
}

// event is a line that an executor prints for each run that begins or ends.
type event struct {
	Executor string `json:"executor"`
	What     string `json:"what"`
	Task     string `json:"task"`
	Run      uint64 `json:"run"`
	AtMs     int64  `json:"atMs"`
}

type activeRun struct {
	run   uint64
	since time.Time
	timer *time.Timer
}

// endedRun is a run whose end has not been taken note of.
type endedRun struct {
	number uint64
	task   string
	run    uint64
	how    string
}

// executorStandIn is one life of an executor.
type executorStandIn struct {
	id, service, agent, zone string
	cpu, memory              int64
	maxHold                  time.Duration
	// firstBeat is the time until the first heartbeat.
	firstBeat time.Duration
	born      time.Time

	mu       sync.Mutex
	token    uint64
	running  map[string]*activeRun
	highest  map[string]uint64
	ended    []endedRun
	lastEnd  uint64
	leaseEnd time.Time
	lease    *time.Timer
	changed  chan struct{}
	sequence uint64
	// lostAnswers is the number of starts to come that are carried out, and whose answers are lost.
	lostAnswers int
}

func executorMain(args []string) error {
	f := flag.NewFlagSet("executor", flag.ContinueOnError)
	x := &executorStandIn{running: map[string]*activeRun{}, highest: map[string]uint64{}, changed: make(chan struct{}), born: time.Now()}
	listen := f.String("listen", "", "address of the executor")
	f.StringVar(&x.id, "id", "", "id")
	f.StringVar(&x.service, "service", "", "service")
	f.StringVar(&x.agent, "agent", "", "address of the agent")
	f.StringVar(&x.zone, "zone", "z-1", "zone")
	f.Int64Var(&x.cpu, "cpu", 64000, "capacity in thousandths of a core")
	f.Int64Var(&x.memory, "mem", 256000, "capacity in MB")
	f.DurationVar(&x.maxHold, "max-hold", 10*time.Second, "longest lease")
	f.DurationVar(&x.firstBeat, "first-beat", 0, "time until the first heartbeat")
	if err := f.Parse(args); err != nil {
		return err
	}
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		return err
	}
	go x.beat()
	m := http.NewServeMux()
	m.HandleFunc("POST /run-start", x.handle(x.start))
	m.HandleFunc("POST /run-stop", x.handle(x.stop))
	m.HandleFunc("POST /pace", x.handle(func(order) (int, string) { return http.StatusOK, "" }))
	m.HandleFunc("POST /hold", x.hold)
	m.HandleFunc("POST /lose-answers", x.loseAnswers)
	return http.Serve(l, m) //nolint:gosec // a stand-in on a loopback address
}

// clockMs is the executor's clock.
func (x *executorStandIn) clockMs() int64 { return time.Since(x.born).Milliseconds() }

// beat sends a heartbeat to the agent each 1.5 s, and each 0.2 s until the first one is acknowledged.
func (x *executorStandIn) beat() {
	client := &http.Client{Timeout: time.Second}
	time.Sleep(x.firstBeat)
	for {
		x.mu.Lock()
		x.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": x.service, "address": x.agent, "zone": x.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
			"capacity": map[string]int64{"cpu": x.cpu, "memMb": x.memory, "gpu": 0}, "labels": []string{"a", "r1"},
			"clockMs": x.clockMs(), "sequence": x.sequence, "born": x.born.UnixMilli(),
		})
		x.mu.Unlock()
		wait := 200 * time.Millisecond
		if r, err := client.Post("http://"+x.agent+"/Instances.Heartbeat/"+x.id, "application/json", bytes.NewReader(body)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				wait = 1500 * time.Millisecond
			}
		}
		time.Sleep(wait)
	}
}

// decode reads a call. It reports false if it has answered it.
func (x *executorStandIn) decode(w http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if r.Header.Get("X-Target-Instance") != x.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	return o, true
}

func (x *executorStandIn) handle(apply func(order) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		o, ok := x.decode(w, r)
		if !ok {
			return
		}
		x.mu.Lock()
		status, reason := x.fenced(o.Token)
		if status == 0 {
			status, reason = apply(o)
		}
		isStart := r.URL.Path == "/run-start" && status == http.StatusOK
		isLost := isStart && x.lostAnswers > 0
		if isLost {
			x.lostAnswers--
			x.print("answer lost for", o.Task, o.Run)
		}
		x.mu.Unlock()
		if isLost {
			<-r.Context().Done()
			return
		}
		answer := map[string]any{"clockMs": x.clockMs()}
		if reason != "" {
			answer["reason"] = reason
		}
		writeAnswer(w, status, answer)
	}
}

func writeAnswer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}

// fenced returns the refusal of a call with an old token, or 0.
func (x *executorStandIn) fenced(token uint64) (int, string) {
	if token < x.token {
		return http.StatusConflict, "fence"
	}
	x.token = token
	return 0, ""
}

func (x *executorStandIn) start(o order) (int, string) {
	if o.DeadlineMs > 0 && o.DeadlineMs <= x.clockMs() {
		return http.StatusConflict, "late"
	}
	x.extend(o.DeadlineMs)
	if a := x.running[o.Task]; a != nil && a.run == o.Run {
		return http.StatusOK, ""
	}
	if o.Run <= x.highest[o.Task] {
		return http.StatusConflict, "old"
	}
	x.highest[o.Task] = o.Run
	a := &activeRun{run: o.Run, since: time.Now()}
	x.running[o.Task] = a
	x.print("begun", o.Task, o.Run)
	if ms, ok := strings.CutPrefix(o.Spec, "ms="); ok {
		n, err := strconv.Atoi(ms)
		if err != nil {
			return http.StatusBadRequest, ""
		}
		a.timer = time.AfterFunc(time.Duration(n)*time.Millisecond, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			if x.running[o.Task] == a {
				x.end(o.Task, "done")
			}
		})
	}
	return http.StatusOK, ""
}

func (x *executorStandIn) stop(o order) (int, string) {
	if a := x.running[o.Task]; a != nil && a.run == o.Run {
		x.end(o.Task, "stopped")
	}
	x.highest[o.Task] = max(x.highest[o.Task], o.Run)
	return http.StatusOK, ""
}

// end ends the run of a task.
func (x *executorStandIn) end(task, how string) {
	a := x.running[task]
	delete(x.running, task)
	if a.timer != nil {
		a.timer.Stop()
	}
	x.lastEnd++
	x.ended = append(x.ended, endedRun{x.lastEnd, task, a.run, how})
	x.print(how, task, a.run)
	close(x.changed)
	x.changed = make(chan struct{})
}

// extend extends the lease of all runs up to a time on the executor's clock.
func (x *executorStandIn) extend(deadlineMs int64) {
	d := min(time.Duration(deadlineMs-x.clockMs())*time.Millisecond, x.maxHold)
	until := time.Now().Add(d)
	if deadlineMs == 0 || !until.After(x.leaseEnd) {
		return
	}
	x.leaseEnd = until
	if x.lease != nil {
		x.lease.Stop()
	}
	x.lease = time.AfterFunc(d, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if time.Now().Before(x.leaseEnd) {
			return
		}
		for task := range x.running {
			x.end(task, "lapsed")
		}
	})
}

func (x *executorStandIn) hold(w http.ResponseWriter, r *http.Request) {
	o, ok := x.decode(w, r)
	if !ok {
		return
	}
	x.mu.Lock()
	if status, reason := x.fenced(o.Token); status != 0 {
		x.mu.Unlock()
		writeAnswer(w, status, map[string]any{"clockMs": x.clockMs(), "reason": reason, "born": x.born.UnixMilli()})
		return
	}
	x.extend(o.DeadlineMs)
	for len(x.ended) > 0 && x.ended[0].number <= o.LastSeen {
		x.print("seen", x.ended[0].task, x.ended[0].run)
		x.ended = x.ended[1:]
	}
	if len(x.ended) == 0 && o.WaitMs > 0 {
		changed := x.changed
		x.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
		x.mu.Lock()
	}
	running := [][5]any{}
	for task, a := range x.running {
		percent := int64(100) // a task that lasts is at work
		if a.timer != nil {
			percent = min(99, time.Since(a.since).Milliseconds()/100)
		}
		running = append(running, [5]any{task, a.run, "", percent, 0})
	}
	ended := [][5]any{}
	for _, e := range x.ended[:min(500, len(x.ended))] {
		ended = append(ended, [5]any{e.number, e.task, e.run, e.how, ""})
	}
	x.mu.Unlock()
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) }) //nolint:forcetypeassert // the task
	writeAnswer(w, http.StatusOK, map[string]any{"clockMs": x.clockMs(), "born": x.born.UnixMilli(), "running": running, "ended": ended})
}

func (x *executorStandIn) print(what, task string, run uint64) {
	line, _ := json.Marshal(event{x.id, what, task, run, time.Now().UnixMilli()})
	_, _ = fmt.Fprintln(os.Stdout, string(line)) // fails only if the case has ended
}

// loseAnswers makes the answer to the next start be lost.
func (x *executorStandIn) loseAnswers(w http.ResponseWriter, _ *http.Request) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lostAnswers = 1
	w.WriteHeader(http.StatusOK)
}
