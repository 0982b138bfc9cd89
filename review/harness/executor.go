package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// listedEnds is how many ends an executor returns at a time.
	listedEnds = 500
	// maxHold is the longest lease of an executor.
	maxHold           = 10 * time.Second
	heartbeatInterval = 1500 * time.Millisecond
	checkpointTime    = time.Second
)

// taskSpec is the payload of a job: what the stand-in of an executor does with a task.
type taskSpec struct {
	// RunMs holds the time of a run by step; further steps take the last one.
	RunMs []int `json:"runMs"`
	CPU   int   `json:"cpu"`
	MemMb int   `json:"memMb"`
	Saves bool  `json:"saves,omitempty"`
}

// duration returns the time that a run of a task takes.
func (s taskSpec) duration(task string) time.Duration {
	fields := strings.Split(task, ".")
	n, err := strconv.Atoi(fields[len(fields)-2])
	if err != nil || len(s.RunMs) == 0 {
		return 0
	}
	return time.Duration(s.RunMs[min(n, len(s.RunMs)-1)]) * time.Millisecond
}

// execution is a run in progress.
type execution struct {
	run   *run
	spec  taskSpec
	timer *time.Timer
	// base is the work, in units of checkpointTime, that the checkpoint of the start held.
	base int64
}

// listedEnd is an end that has not been acknowledged.
type listedEnd struct {
	number uint64
	run    *run
	// lapsed means that the lease has lapsed since the end.
	lapsed bool
}

// executor is the stand-in of one executor, which a new incarnation follows after a crash.
type executor struct {
	name    string
	service string
	labels  []string
	cpu     int
	memMb   int
	address string
	// agent is the address for heartbeats.
	agent   string
	history *history

	mu         sync.Mutex
	id         string
	lives      int
	born       time.Time
	up         bool
	server     *http.Server
	running    map[string]*execution
	ended      []*listedEnd
	lastEnd    uint64
	highest    map[string]uint64
	token      uint64
	leaseEnd   time.Time
	leaseTimer *time.Timer
	changed    chan struct{}
	sequence   uint64
	// lateShare is the share of the orders that get no answer and are carried out late.
	lateShare float64
	beat      chan struct{}
}

// begin starts a new incarnation, which listens and announces itself.
func (x *executor) begin() error {
	l, err := net.Listen("tcp", x.address)
	for range 50 {
		if err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
		l, err = net.Listen("tcp", x.address)
	}
	if err != nil {
		return err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lives++
	x.id = fmt.Sprintf("i-%s-%d", x.name, x.lives)
	x.born, x.up, x.running, x.ended, x.lastEnd = time.Now(), true, map[string]*execution{}, nil, 0
	x.highest, x.token, x.leaseEnd, x.changed, x.sequence = map[string]uint64{}, 0, time.Time{}, make(chan struct{}), 0
	m := http.NewServeMux()
	m.HandleFunc("/run-start", x.order(x.start))
	m.HandleFunc("/run-stop", x.order(x.stop))
	m.HandleFunc("/pace", x.order(func(orderBody) (int, string) { return http.StatusOK, "" }))
	m.HandleFunc("/hold", x.hold)
	x.server = &http.Server{Handler: m, ReadHeaderTimeout: time.Minute}
	server := x.server
	go func() { _ = server.Serve(l) }() // returns when the server is closed
	x.history.record.add("event  executor %s is up as %s", x.name, x.id)
	x.beatNow()
	return nil
}

// crash ends the incarnation with all its runs, without a notice.
func (x *executor) crash() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.up = false
	_ = x.server.Close()
	n := len(x.running)
	for _, e := range x.running {
		e.timer.Stop()
		x.history.end(e.run, "gone")
	}
	x.running, x.ended = map[string]*execution{}, nil
	close(x.changed)
	x.changed = make(chan struct{})
	x.history.record.add("event  executor %s crashes with %d runs", x.id, n)
}

func (x *executor) beatNow() {
	select {
	case x.beat <- struct{}{}:
	default:
	}
}

// announce sends heartbeats until the context ends.
func (x *executor) announce(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for {
		x.mu.Lock()
		x.sequence++
		up, id := x.up, x.id
		body, err := json.Marshal(map[string]any{
			"service": x.service, "address": x.address, "zone": "pest-a", "version": "v1", "slots": 8, "state": "ready",
			"coldRemainingMs": 0, "sequence": x.sequence, "born": x.born.UnixMilli(), "labels": x.labels,
			"clockMs": time.Since(x.born).Milliseconds(), "capacity": map[string]int{"cpu": x.cpu, "memMb": x.memMb, "gpu": 0},
		})
		x.mu.Unlock()
		if err == nil && up {
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+x.agent+"/Instances.Heartbeat/"+id, bytes.NewReader(body))
			if err == nil {
				request.Header.Set("Content-Type", "application/json")
				if response, err := client.Do(request); err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					response.Body.Close()
				}
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-x.beat:
		case <-time.After(heartbeatInterval):
		}
	}
}

// orderBody holds the fields of all orders.
type orderBody struct {
	Task       string `json:"task"`
	Run        uint64 `json:"runId"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Token      uint64 `json:"fencingToken"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   uint64 `json:"lastSeen"`
	WaitMs     int    `json:"waitMs"`
	// late means that the order is carried out late.
	late bool
}

// decode reads an order, or answers it if it can't be carried out.
func (x *executor) decode(w http.ResponseWriter, r *http.Request) (orderBody, bool) {
	var o orderBody
	x.mu.Lock()
	id := x.id
	x.mu.Unlock()
	if r.Header.Get("X-Target-Instance") != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return o, false
	}
	return o, true
}

// order returns the handler of an order that apply carries out under the lock.
func (x *executor) order(apply func(orderBody) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		o, ok := x.decode(w, r)
		if !ok {
			return
		}
		x.mu.Lock()
		if !x.up {
			x.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if x.lateShare > 0 && rand.Float64() < x.lateShare {
			x.carryOutLate(o, apply)
			x.mu.Unlock()
			<-r.Context().Done()
			return
		}
		status, reason := x.carryOut(o, apply)
		answer := map[string]any{"clockMs": x.clockMs(), "born": x.born.UnixMilli()}
		if reason != "" {
			answer["reason"] = reason
		}
		x.mu.Unlock()
		respond(w, status, answer)
	}
}

// carryOut carries out an order unless it has a lower token than one before. The lock must be
// held.
func (x *executor) carryOut(o orderBody, apply func(orderBody) (int, string)) (int, string) {
	if o.Token < x.token {
		return http.StatusConflict, "fence"
	}
	x.token = o.Token
	return apply(o)
}

// carryOutLate carries out an order 2 to 12 s later. The lock must be held.
func (x *executor) carryOutLate(o orderBody, apply func(orderBody) (int, string)) {
	id := x.id
	time.AfterFunc(2*time.Second+time.Duration(rand.Int64N(int64(10*time.Second))), func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if x.up && x.id == id {
			o.late = true
			x.carryOut(o, apply)
		}
	})
}

// setLateShare sets the share of the orders that are carried out late.
func (x *executor) setLateShare(share float64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lateShare = share
	x.history.record.add("event  share of the orders to %s that are carried out late: %g", x.id, share)
}

func respond(w http.ResponseWriter, status int, answer map[string]any) {
	body, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body) // fails only if the caller has gone
}

// clockMs is the executor's clock. The lock must be held.
func (x *executor) clockMs() int64 { return time.Since(x.born).Milliseconds() }

// start carries out the order to start a run. The lock must be held.
func (x *executor) start(o orderBody) (int, string) {
	x.extendLease(o.DeadlineMs)
	if e := x.running[o.Task]; e != nil && e.run.number == o.Run {
		return http.StatusOK, ""
	}
	if x.running[o.Task] != nil || o.Run <= x.highest[o.Task] {
		return http.StatusConflict, "old"
	}
	if o.DeadlineMs <= x.clockMs() {
		return http.StatusConflict, "late"
	}
	var s taskSpec
	if err := json.Unmarshal([]byte(o.Spec), &s); err != nil {
		return http.StatusBadRequest, err.Error()
	}
	e := &execution{run: x.history.start(o.Task, o.Run, x.id, o.late), spec: s}
	if o.Checkpoint != "" {
		e.base, _ = strconv.ParseInt(o.Checkpoint, 16, 64)
	}
	x.running[o.Task] = e
	left := s.duration(o.Task) - time.Duration(e.base)*checkpointTime
	e.timer = time.AfterFunc(max(left, 10*time.Millisecond), func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if x.running[o.Task] == e {
			x.end(o.Task, "done")
		}
	})
	return http.StatusOK, ""
}

// end ends a run and lists its end. The lock must be held.
func (x *executor) end(task, how string) {
	e := x.running[task]
	e.timer.Stop()
	delete(x.running, task)
	x.lastEnd++
	x.highest[task] = max(x.highest[task], e.run.number)
	x.ended = append(x.ended, &listedEnd{number: x.lastEnd, run: e.run})
	x.history.end(e.run, how)
	close(x.changed)
	x.changed = make(chan struct{})
}

// stop carries out the order to stop a run. The lock must be held.
func (x *executor) stop(o orderBody) (int, string) {
	x.highest[o.Task] = max(x.highest[o.Task], o.Run)
	if e := x.running[o.Task]; e != nil && e.run.number <= o.Run {
		x.end(o.Task, "stopped")
	}
	return http.StatusOK, ""
}

// extendLease extends the lease, which all runs end with. The lock must be held.
func (x *executor) extendLease(deadlineMs int64) {
	at := x.born.Add(time.Duration(deadlineMs) * time.Millisecond)
	if longest := time.Now().Add(maxHold); at.After(longest) {
		at = longest
	}
	if deadlineMs == 0 || !at.After(x.leaseEnd) {
		return
	}
	x.leaseEnd = at
	if x.leaseTimer != nil {
		x.leaseTimer.Stop()
	}
	id := x.id
	x.leaseTimer = time.AfterFunc(time.Until(at), func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if !x.up || x.id != id || time.Now().Before(x.leaseEnd) {
			return
		}
		x.history.record.add("event  lease of %s lapses", x.id)
		for _, e := range x.ended {
			e.lapsed = true
		}
		for task := range x.running {
			x.end(task, "lapsed")
		}
	})
}

// hold extends the lease, forgets the ends up to lastSeen and returns both lists.
func (x *executor) hold(w http.ResponseWriter, r *http.Request) {
	o, ok := x.decode(w, r)
	if !ok {
		return
	}
	x.mu.Lock()
	if !x.up {
		x.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if o.Token < x.token {
		clock, born := x.clockMs(), x.born.UnixMilli()
		x.mu.Unlock()
		respond(w, http.StatusConflict, map[string]any{"clockMs": clock, "born": born, "reason": "fence"})
		return
	}
	x.token = o.Token
	x.extendLease(o.DeadlineMs)
	for len(x.ended) > 0 && x.ended[0].number <= o.LastSeen {
		if !x.ended[0].lapsed {
			x.history.note(x.ended[0].run)
		}
		x.ended = x.ended[1:]
	}
	changed, listed, id := x.changed, len(x.ended), x.id
	x.mu.Unlock()
	if listed == 0 && o.WaitMs > 0 {
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		}
	}
	x.mu.Lock()
	if !x.up || x.id != id {
		x.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	for task, e := range x.running {
		running = append(running, []any{task, e.run.number, e.checkpoint(x.history.record.now()), e.percent(x.history.record.now()), e.spec.CPU})
	}
	for _, e := range x.ended[:min(len(x.ended), listedEnds)] {
		ended = append(ended, []any{e.number, e.run.task, e.run.number, e.run.how, ""})
	}
	answer := map[string]any{"clockMs": x.clockMs(), "born": x.born.UnixMilli(), "running": running, "ended": ended}
	x.mu.Unlock()
	respond(w, http.StatusOK, answer)
}

// checkpoint returns the newest checkpoint of a run, or "".
func (e *execution) checkpoint(now time.Duration) string {
	n := e.base + int64((now-e.run.startedAt)/checkpointTime)
	if !e.spec.Saves || n == 0 {
		return ""
	}
	return fmt.Sprintf("%016x", n)
}

// percent returns the progress of a run.
func (e *execution) percent(now time.Duration) int {
	worked := now - e.run.startedAt + time.Duration(e.base)*checkpointTime
	return min(99, int(100*worked/max(time.Millisecond, e.spec.duration(e.run.task))))
}

// inUse returns the capacity that the runs take, in thousandths of a core.
func (x *executor) inUse() (cpu, memMb int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, e := range x.running {
		cpu += e.spec.CPU
		memMb += e.spec.MemMb
	}
	return cpu, memMb
}

// isUp reports whether the executor works.
func (x *executor) isUp() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.up
}
