package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve/io/callerhttp"
	"oleandervalve/io/standin"
)

const (
	// overall only ends a test that hangs.
	overall = 2 * time.Minute
	callers = 12
	enough  = 300
)

// fleet is a system of separate processes.
type fleet struct {
	is        *is.I
	directory string
	ctx       context.Context
	ports     map[string]string
	taken     map[string]bool
	files     map[string]string
	running   map[string]*exec.Cmd
	client    *http.Client
}

// address returns the address of a listener, the same one after a restart. It
// lies below the ports that the system gives to outgoing connections, which
// could take the port of a process that restarts.
func (f *fleet) address(name string) string {
	for f.ports[name] == "" {
		a := fmt.Sprintf("127.0.0.1:%d", 12_000+rand.IntN(18_000))
		if f.taken[a] {
			continue
		}
		if l, err := net.Listen("tcp", a); err == nil {
			f.is.NoErr(l.Close())
			f.ports[name], f.taken[a] = a, true
		}
	}
	return f.ports[name]
}

func (f *fleet) start(role, id, settings string, standin ...string) {
	place := ""
	if role == "entry" || role == "agent" {
		place = "location:\n  region: kardos\n  dataCentre: kardos-1\n  rack: rack-1\n"
	}
	if f.files[id] == "" {
		text := fmt.Sprintf("role: %s\nid: %s\nlog:\n  level: error\n"+place+"listen:\n  metrics: %s\n%s", role, id, f.address(id+"/metrics"), settings)
		f.files[id] = filepath.Join(f.directory, id+".yaml")
		f.is.NoErr(os.WriteFile(f.files[id], []byte(text), 0o600))
	}
	c := exec.CommandContext(f.ctx, "oleandervalve", append(standin, role, "--settings", f.files[id])...)
	c.Stderr = os.Stderr
	f.is.NoErr(c.Start())
	f.running[id] = c
}

func (f *fleet) startEntry(id string) {
	f.start("entry", id, fmt.Sprintf("  callers: %s\n  peers: %s\ndrain:\n  timeout: 1m\n  notice: 1s\n", f.address(id), f.address(id+"/peers")))
}

func (f *fleet) startAgent(n string) {
	f.start("agent", "agent-"+n, fmt.Sprintf("  announcements: %s\nentries:\n  - http://%s\n  - http://%s\nworker:\n  id: worker-%s\ndrain:\n  timeout: 1m\n  notice: 0s\n",
		f.address("agent-"+n), f.address("entry-1/peers"), f.address("entry-2/peers"), n))
}

func newFleet(t *testing.T, ctx context.Context) *fleet {
	f := &fleet{
		is: is.New(t), directory: t.TempDir(), ctx: ctx, client: &http.Client{},
		ports: map[string]string{}, taken: map[string]bool{}, files: map[string]string{}, running: map[string]*exec.Cmd{},
	}
	for _, id := range []string{"table", "objects", "platform"} {
		rest := "  service: " + f.address(id) + "\n"
		if id == "platform" {
			rest += "worker:\n  cpu: 64000\n  memory: 250GiB\nsimulation:\n  workers: [worker-1, worker-2, worker-3]\n"
		}
		f.start(id, id, rest, "standin")
	}
	f.startEntry("entry-1")
	f.startEntry("entry-2")
	for _, n := range []string{"1", "2", "3"} {
		f.startAgent(n)
		f.start("endpoint", "executor-"+n, fmt.Sprintf("  service: %s\nendpoint:\n  service: formaro\n  agent: http://%s\n  slots: 4\n  connections: 32\n  serviceTime: 20ms\n",
			f.address("executor-"+n), f.address("agent-"+n)), "standin")
	}
	t.Cleanup(func() {
		for _, c := range f.running {
			_ = c.Process.Kill()
			_ = c.Wait()
		}
	})
	return f
}

// stop ends a process with a signal and reports how it ended.
func (f *fleet) stop(id string, s syscall.Signal) error {
	f.is.NoErr(f.running[id].Process.Signal(s))
	err := f.running[id].Wait()
	delete(f.running, id)
	return err
}

// get reads a small answer; errors give an empty one.
func (f *fleet) get(url string) (http.Header, string, int) {
	p, err := f.client.Get(url)
	if err != nil {
		return nil, "", 0
	}
	defer p.Body.Close()
	b, _ := io.ReadAll(p.Body)
	return p.Header, string(b), p.StatusCode
}

// settle waits until each entry has an answer from each executor.
func (f *fleet) settle() {
	for _, id := range []string{"entry-1", "entry-2"} {
		for seen := map[string]bool{}; len(seen) < 3; {
			f.is.NoErr(f.ctx.Err()) // an entry does not reach all executors
			if h, _, status := f.get("http://" + f.address(id) + "/call/formaro/probe"); status == http.StatusOK {
				seen[h.Get("X-Served-By")] = true
			} else {
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
}

// heard is what a caller heard of one request.
type heard struct {
	id, outcome string
	post, wrong bool
}

// traffic keeps callers busy with entries whose readiness check succeeds.
type traffic struct {
	fleet    *fleet
	ready    [2]atomic.Bool
	answered atomic.Int64
	stop     chan struct{}
	done     sync.WaitGroup
	mu       sync.Mutex
	all      []heard
}

func (f *fleet) traffic(stage string) *traffic {
	t := &traffic{fleet: f, stop: make(chan struct{})}
	var checks [2]string
	var entries [2]string
	for i := range entries {
		id := fmt.Sprintf("entry-%d", i+1)
		entries[i], checks[i] = f.address(id), "http://"+f.address(id+"/metrics")+"/readyz"
		t.ready[i].Store(true)
	}
	t.every(20*time.Millisecond, func(int) {
		for i := range checks {
			_, _, status := f.get(checks[i])
			t.ready[i].Store(status == http.StatusOK)
		}
	})
	for c := range callers {
		t.every(0, func(n int) {
			i := (c + n) % 2
			if !t.ready[i].Load() {
				i = 1 - i
			}
			t.call(entries[i], heard{id: fmt.Sprintf("%s-%d-%d", stage, c, n), post: n%3 > 0})
		})
	}
	return t
}

func (t *traffic) every(pause time.Duration, f func(n int)) {
	t.done.Add(1)
	go func() {
		defer t.done.Done()
		for n := 0; ; n++ {
			select {
			case <-t.stop:
				return
			case <-time.After(pause):
				f(n)
			}
		}
	}()
}

func (t *traffic) call(entry string, h heard) {
	method := http.MethodGet
	if h.post {
		method = http.MethodPost
	}
	q, _ := http.NewRequest(method, "http://"+entry+"/call/formaro/boards", strings.NewReader(h.id))
	q.Header.Set(standin.HeaderTestID, h.id)
	q.Header.Set(callerhttp.HeaderTimeout, "60000")
	h.outcome = "unknown"
	if p, err := t.fleet.client.Do(q); err == nil {
		b, err := io.ReadAll(p.Body)
		p.Body.Close()
		if err == nil {
			h.outcome = p.Header.Get(callerhttp.HeaderOutcome)
			h.wrong = h.outcome == "answered" && !strings.HasPrefix(string(b), standin.Answer(h.id)+" ")
		}
	}
	if h.outcome == "answered" {
		t.answered.Add(1)
	}
	t.mu.Lock()
	t.all = append(t.all, h)
	t.mu.Unlock()
}

// more waits for further answers.
func (t *traffic) more() {
	for until := t.answered.Load() + enough; t.answered.Load() < until; time.Sleep(10 * time.Millisecond) {
		t.fleet.is.NoErr(t.fleet.ctx.Err()) // callers get no answers
	}
}

// end stops the callers and compares what they heard with what ran.
func (t *traffic) end(planned bool) {
	close(t.stop)
	t.done.Wait()
	is := t.fleet.is
	runs := map[string]int{}
	for _, n := range []string{"1", "2", "3"} {
		_, body, _ := t.fleet.get("http://" + t.fleet.address("executor-"+n) + standin.CountsPath)
		var c standin.Counts
		is.NoErr(json.Unmarshal([]byte(body), &c))
		is.Equal(c.OverSlot, 0) // an executor had more requests than slots
		for id, k := range c.Runs {
			runs[id] += k
		}
	}
	for _, h := range t.all {
		is.True(!h.wrong)                                   // answer of another request
		is.True(!h.post || runs[h.id] <= 1)                 // non-idempotent request ran twice
		is.True(h.outcome != "notRun" || runs[h.id] == 0)   // told "not run", but ran
		is.True(h.outcome != "answered" || runs[h.id] >= 1) // answered, but never ran
		is.True(!planned || h.outcome != "unknown")         // cut by a planned stop
	}
}

// Guards against requests that run twice, get another's answer or are called
// "not run" although they ran, when an entry and an agent are killed, and
// against planned stops that cut a request or don't end.
func TestProcessesStopAndRestart(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), overall)
	defer cancel()
	f := newFleet(t, ctx)
	f.settle()

	loss := f.traffic("loss")
	loss.more()
	_ = f.stop("entry-2", syscall.SIGKILL)
	loss.more()
	_ = f.stop("agent-3", syscall.SIGKILL)
	loss.more()
	loss.end(false)

	f.startEntry("entry-2")
	f.startAgent("3")
	f.settle()
	stops := f.traffic("stops")
	stops.more()
	for _, id := range []string{"entry-1", "agent-1", "agent-2", "entry-2"} {
		f.is.NoErr(f.stop(id, syscall.SIGTERM)) // planned stop did not end in order
		stops.more()
		if n, ok := strings.CutPrefix(id, "agent-"); ok {
			f.startAgent(n)
		} else {
			f.startEntry(id)
		}
		f.settle()
		stops.more()
	}
	stops.end(true)
}
