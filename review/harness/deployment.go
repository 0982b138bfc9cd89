package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"oleandervalve/platform/emulator"
)

const (
	host    = "boards.example"
	prefix  = "/jobs/"
	service = "press"
	// submitAttempts is how often a caller tries to hand in a job.
	submitAttempts = 5
)

// shape is the size of a deployment: the entries, and the executors by kind.
type shape struct {
	entries   int
	executors []string
	cpu       int
	memMb     int
}

// step is a step of a job as callers send it.
type step map[string]any

// job is a job that a caller has handed in.
type job struct {
	id    string
	spec  taskSpec
	steps []step
	// accepted means that a caller got a 2xx.
	accepted bool
}

// deployment is a running system with its stand-ins.
type deployment struct {
	record    *record
	history   *history
	directory string
	store     *store
	entries   []*program
	agents    []*program
	executors []*executor
	cancel    context.CancelFunc
	client    *http.Client
	// release ends the watch for an interruption of the harness.
	release func() bool

	mu   sync.Mutex
	jobs []*job
}

// start starts a deployment and waits until all executors are known to the leader for some
// time and an entry serves callers.
func start(r *record, s shape) (*deployment, error) {
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &deployment{record: r, history: newHistory(r), directory: directory, cancel: cancel, client: &http.Client{Timeout: 3 * time.Second}}
	d.release = context.AfterFunc(r.interrupted, func() {
		d.close()
		os.Exit(exitCannotRun)
	})
	if err := d.launch(ctx, s); err != nil {
		d.close()
		return nil, err
	}
	for range 100 {
		if status, _ := d.call(ctx, 0, http.MethodGet, "", nil); status == http.StatusOK {
			time.Sleep(3 * time.Second)
			return d, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	d.close()
	return nil, errors.New("no entry serves callers")
}

func (d *deployment) launch(ctx context.Context, s shape) error {
	table := emulator.NewTable(1)
	table.Put("op", "", "config", emulator.RouteConfig(1, host, prefix, service))
	d.store = newStore(table, d.record)
	p := ports{}
	extra := map[string]string{}
	for i := range s.entries {
		g, err := d.newProgram(ctx, "entry", "edge", fmt.Sprintf("edge-pest-a-%d", i+1), p, extra)
		if err != nil {
			return err
		}
		d.entries = append(d.entries, g)
	}
	seeds := make([]string, 0, len(d.entries))
	for _, g := range d.entries {
		seeds = append(seeds, g.control)
	}
	extra["seeds"] = strings.Join(seeds, ",")
	for _, g := range d.entries {
		f, err := os.OpenFile(g.settings, os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		_, err = f.WriteString("serves=edge,control_plane\nseeds=" + extra["seeds"] + "\n")
		f.Close()
		if err != nil {
			return err
		}
		go g.run()
	}
	for i, kind := range s.executors {
		address, err := p.free()
		if err != nil {
			return err
		}
		extra["app"], extra["serves"] = address, "side"
		g, err := d.newProgram(ctx, "agent", "side", fmt.Sprintf("side-pest-a-%d", i+1), p, extra)
		if err != nil {
			return err
		}
		x := &executor{
			name: strconv.Itoa(i + 1), service: service, labels: []string{kind, fmt.Sprintf("r1-%d", i/3+1)}, cpu: s.cpu, memMb: s.memMb,
			address: address, agent: g.control, history: d.history, beat: make(chan struct{}, 1),
		}
		if err := x.begin(); err != nil {
			return err
		}
		d.agents, d.executors = append(d.agents, g), append(d.executors, x)
		go g.run()
		go x.announce(ctx)
	}
	return nil
}

// newProgram prepares a process with a path of its own to the store.
func (d *deployment) newProgram(ctx context.Context, role, class, name string, p ports, extra map[string]string) (*program, error) {
	address, err := d.store.path(ctx, name)
	if err != nil {
		return nil, err
	}
	extra["platform.address"] = address
	return newProgram(d.directory, role, class, name, d.record, p, extra)
}

// close ends all processes and stand-ins.
func (d *deployment) close() {
	d.release()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for _, g := range append(append([]*program(nil), d.entries...), d.agents...) {
		g.close(ctx)
	}
	d.cancel()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.directory)
	}
}

// call sends a caller's request to an entry. It returns 0 if there is no answer.
func (d *deployment) call(ctx context.Context, entry int, method, id string, body []byte) (int, []byte) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+d.entries[entry%len(d.entries)].front+prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = host
	request.Header.Set("X-Deadline-Ms", "3000")
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := d.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// ready returns the status of an entry's readiness check.
func (d *deployment) ready(entry int) int {
	response, err := d.client.Get("http://" + d.entries[entry].ready + "/ready")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// submit hands in a job, first at the first entry, with retries at other entries.
func (d *deployment) submit(j *job) bool { return d.submitTo(j, 0) }

// submitTo hands in a job, first at the given entry, with retries at other entries.
func (d *deployment) submitTo(j *job, first int) bool {
	spec, err := json.Marshal(j.spec)
	if err != nil {
		return false
	}
	body, err := json.Marshal(map[string]any{"spec": string(spec), "steps": j.steps})
	if err != nil {
		return false
	}
	for attempt := range submitAttempts {
		entry := (first + attempt) % len(d.entries)
		status, answer := d.call(context.Background(), entry, http.MethodPost, j.id, body)
		d.record.add("sent   POST %s to %s: %d %s", j.id, d.entries[entry].name, status, bytes.TrimSpace(answer))
		if status == http.StatusOK {
			j.accepted = true
			d.mu.Lock()
			d.jobs = append(d.jobs, j)
			d.mu.Unlock()
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// state asks for the state of a job; "" if there is no answer and "unknown" after a 410.
func (d *deployment) state(j *job) string {
	for attempt := range 3 {
		status, body := d.call(context.Background(), attempt, http.MethodGet, j.id, nil)
		var answer struct {
			State string `json:"state"`
		}
		switch {
		case status == http.StatusOK && json.Unmarshal(body, &answer) == nil:
			d.record.add("sent   GET %s to %s: %s", j.id, d.entries[attempt].name, answer.State)
			return answer.State
		case status == http.StatusGone:
			d.record.add("sent   GET %s to %s: 410", j.id, d.entries[attempt].name)
			return "unknown"
		}
		d.record.add("sent   GET %s to %s: %d", j.id, d.entries[attempt].name, status)
		time.Sleep(300 * time.Millisecond)
	}
	return ""
}

// awaitCompletion waits until all jobs are shown as completed, or for a time.
func (d *deployment) awaitCompletion(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		left := 0
		for _, j := range d.jobs {
			if d.state(j) != "completed" {
				left++
			}
		}
		if left == 0 {
			return true
		}
	}
	return false
}

// integer returns an integer field of a step.
func (s step) integer(name string) int {
	n, _ := s[name].(int)
	return n
}

// turnHasCome reports whether a task that has not ended as done may run, and returns the step.
func (j *job) turnHasCome(done map[string]bool) (step, bool) {
	complete := make([]bool, len(j.steps))
	for i, s := range j.steps {
		n := 0
		for k := range s.integer("count") {
			if done[fmt.Sprintf("%s.0.%d.%d", j.id, i, k)] {
				n++
			}
		}
		complete[i] = n == s.integer("count")
	}
	for i, s := range j.steps {
		ready := !complete[i]
		after, _ := s["after"].([]int)
		for _, a := range after {
			ready = ready && complete[a]
		}
		if ready {
			return s, true
		}
	}
	return nil, false
}

// hasCapacityTwice reports whether a task of a step fits twice over beside what runs, and
// whether under half of the service's capacity is in use.
func (d *deployment) hasCapacityTwice(s step) bool {
	var all, used int
	fits := false
	for _, x := range d.executors {
		if !x.isUp() {
			continue
		}
		cpu, memMb := x.inUse()
		all += x.cpu
		used += cpu
		label, _ := s["requirements"].(string)
		if (label == "" || label == x.labels[0]) && x.cpu-cpu >= 2*s.integer("cpu") && x.memMb-memMb >= 2*s.integer("memMb") {
			fits = true
		}
	}
	return fits && 2*used < all
}

// lost watches the jobs for a time and returns the breaks of the rule LOST at the end of a
// day: a job that isn't known or gets no answer, is shown as failed or cancelled without
// cause, or has nothing running for 3 s though a task's turn has come and there is capacity.
func (d *deployment) lost(watch time.Duration) []string {
	var out []string
	for _, j := range d.jobs {
		switch state := d.state(j); state {
		case "", "unknown", "failed", "cancelled":
			out = append(out, fmt.Sprintf("job %s: state %q", j.id, state))
		}
	}
	idleSince := map[string]time.Duration{}
	broken := map[string]bool{}
	for end := time.Now().Add(watch); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, j := range d.jobs {
			running, done := d.history.progress(j.id)
			s, turn := j.turnHasCome(done)
			now := d.record.now()
			if running > 0 || !turn || !d.hasCapacityTwice(s) {
				delete(idleSince, j.id)
				continue
			}
			since, ok := idleSince[j.id]
			if !ok {
				idleSince[j.id] = now
				continue
			}
			if now-since > 3*time.Second && !broken[j.id] {
				broken[j.id] = true
				out = append(out, fmt.Sprintf("job %s: nothing of it has run from %.3f to %.3f, though a task's turn has come and there is capacity twice over", j.id, since.Seconds(), now.Seconds()))
			}
		}
	}
	return out
}
