package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
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

	"github.com/cockroachdb/errors"

	"oleandervalve"
	"oleandervalve/io/callerhttp"
	"oleandervalve/io/standin"
)

const (
	testTimeout       = 10 * time.Minute
	concurrentCallers = 12
	longBodyBytes     = 400_000
)

// cluster runs entries, agents and stand-ins as real processes on loopback.
type cluster struct {
	t         *testing.T
	ctx       context.Context
	dir       string
	processes map[string]*childProcess
	// executions is the number of executions by request ID, summed over all
	// endpoint stand-ins.
	executions map[string]int
}

type childProcess struct {
	args    []string
	metrics string
	command *exec.Cmd
	output  *strings.Builder
	ready   atomic.Bool
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// freeAddresses picks n distinct addresses. The subtest keeps all listeners open
// until the last address is picked.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var out []string
	t.Run("addresses", func(t *testing.T) {
		for range n {
			out = append(out, freeAddress(t))
		}
	})
	return out
}

func (f *cluster) addProcess(name, metrics, text string, args ...string) {
	file := filepath.Join(f.dir, name+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.processes[name] = &childProcess{args: append(args, "--settings", file), metrics: metrics}
}

func (f *cluster) start(name string) {
	f.t.Helper()
	p := f.processes[name]
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	defer log.Close()
	p.output = &strings.Builder{}
	p.command = exec.Command("oleandervalve", p.args...)
	p.command.Stdout, p.command.Stderr = p.output, log
	if err := p.command.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.waitFor(name+" to be ready", func() bool { return f.isReady(p) })
	p.ready.Store(true)
}

func (f *cluster) isReady(p *childProcess) bool {
	r, err := http.Get("http://" + p.metrics + "/readyz")
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// waitFor polls a condition until it holds. Only the timeout of the whole test
// interrupts it.
func (f *cluster) waitFor(what string, condition func() bool) {
	f.t.Helper()
	for !condition() {
		if f.ctx.Err() != nil {
			f.t.Fatalf("timed out waiting for %s; last log lines:\n%s", what, f.logTails())
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (f *cluster) logTails() string {
	var b strings.Builder
	files, _ := filepath.Glob(filepath.Join(f.dir, "*.log"))
	for _, name := range files {
		text, _ := os.ReadFile(name)
		b.WriteString(filepath.Base(name) + "\n" + string(text[max(0, len(text)-1000):]) + "\n")
	}
	return b.String()
}

// kill ends a process with SIGKILL.
func (f *cluster) kill(name string) {
	p := f.processes[name]
	p.ready.Store(false)
	_ = p.command.Process.Signal(syscall.SIGKILL)
	_ = p.command.Wait()
}

// stop ends a process with SIGTERM, a planned stop, and returns its output.
func (f *cluster) stop(name string) string {
	f.t.Helper()
	p := f.processes[name]
	_ = p.command.Process.Signal(syscall.SIGTERM)
	if err := p.command.Wait(); err != nil {
		f.t.Errorf("planned stop of %s: %v\n%s", name, err, f.logTails())
	}
	p.ready.Store(false)
	return p.output.String()
}

func (f *cluster) addCounts(text string) {
	f.t.Helper()
	var c standin.Counts
	if err := json.Unmarshal([]byte(text), &c); err != nil {
		f.t.Fatalf("counts of an endpoint stand-in: %v: %s", err, text)
	}
	for id, n := range c.Runs {
		f.executions[id] += n
	}
	f.t.Logf("endpoint stand-in: %d executions, %d beyond its slots", c.Total, c.OverSlot)
}

// injectFault sets the fault of the endpoint stand-in at an address.
func (f *cluster) injectFault(address string, x standin.EndpointFault) {
	f.t.Helper()
	b, err := json.Marshal(x)
	if err != nil {
		f.t.Fatal(err)
	}
	r, err := http.NewRequest(http.MethodPut, "http://"+address+standin.FaultPath, bytes.NewReader(b))
	if err != nil {
		f.t.Fatal(err)
	}
	p, err := http.DefaultClient.Do(r)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = p.Body.Close()
	if p.StatusCode != http.StatusNoContent {
		f.t.Fatalf("inject fault: status %s", p.Status)
	}
}

// sentRequest is a request and the outcome that its caller observed.
type sentRequest struct {
	id         string
	idempotent bool
	// plannedStopsOnly is set if no process was killed and no fault injected while
	// the request was in flight.
	plannedStopsOnly bool
	outcome          oleandervalve.Outcome
	detail           string
	wrongResponse    bool
}

// loadGenerator sends requests as callers do behind a load balancer that forwards
// only to entries that report ready.
type loadGenerator struct {
	entries  []*childProcess
	urls     []string
	client   *http.Client
	sequence atomic.Int64
	answered atomic.Int64

	mu       sync.Mutex
	requests []sentRequest
}

// runDuring keeps requests in flight until the action returns, then waits until
// each has its outcome.
func (x *loadGenerator) runDuring(f *cluster, planned bool, action func()) {
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Add(1)
	go func() {
		defer running.Done()
		for {
			for _, p := range x.entries {
				p.ready.Store(f.isReady(p))
			}
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	for i := range concurrentCallers {
		running.Add(1)
		go func() {
			defer running.Done()
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				default:
					x.send(n, planned)
				}
			}
		}()
	}
	x.waitForProgress(f)
	action()
	close(stop)
	running.Wait()
}

// waitForProgress waits until 150 more requests are answered.
func (x *loadGenerator) waitForProgress(f *cluster) {
	f.t.Helper()
	target := x.answered.Load() + 150
	f.waitFor("more answers", func() bool { return x.answered.Load() >= target })
}

func (x *loadGenerator) send(n int, planned bool) {
	url := ""
	for i := range x.entries {
		if k := (n + i) % len(x.entries); x.entries[k].ready.Load() {
			url = x.urls[k]
			break
		}
	}
	if url == "" {
		time.Sleep(5 * time.Millisecond)
		return
	}
	s := sentRequest{id: fmt.Sprintf("work-%d", x.sequence.Add(1)), plannedStopsOnly: planned, idempotent: n%3 != 0}
	method, path := http.MethodGet, "/call/formaro/a"
	if !s.idempotent {
		method = http.MethodPost
	}
	if n%3 == 2 {
		path = fmt.Sprintf("/call/formaro/a?size=%d", longBodyBytes)
	}
	r, err := http.NewRequest(method, url+path, strings.NewReader(""))
	if err != nil {
		panic(err)
	}
	r.Header.Set(standin.HeaderTestID, s.id)
	r.Header.Set(callerhttp.HeaderTimeout, "20000")
	x.sendAndRecord(&s, r, n%3 == 2)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.requests = append(x.requests, s)
	if s.outcome == oleandervalve.OutcomeAnswered {
		x.answered.Add(1)
	}
}

// sendAndRecord sends a request and records its outcome as the caller observes it.
func (x *loadGenerator) sendAndRecord(s *sentRequest, r *http.Request, long bool) {
	p, err := x.client.Do(r)
	if err != nil {
		var dial *net.OpError
		s.outcome, s.detail = oleandervalve.OutcomeUnknown, err.Error()
		if errors.As(err, &dial) && dial.Op == "dial" {
			s.outcome = oleandervalve.OutcomeNotRun
		}
		return
	}
	defer p.Body.Close()
	body, err := io.ReadAll(p.Body)
	s.outcome = oleandervalve.Outcome(p.Header.Get(callerhttp.HeaderOutcome))
	s.detail = p.Header.Get(callerhttp.HeaderReason)
	switch {
	case err != nil:
		s.outcome, s.detail = oleandervalve.OutcomeUnknown, "body: "+err.Error()
	case s.outcome != oleandervalve.OutcomeAnswered:
	case p.Header.Get(standin.HeaderTestID) != s.id:
		s.wrongResponse = true
	case long:
		s.wrongResponse = len(body) != longBodyBytes
	default:
		s.wrongResponse = !strings.HasPrefix(string(body), standin.ResponsePrefix(s.id)+" ")
	}
}

// Guards against planned stops that cut requests. Also guards against requests
// that get a wrong response, run twice though not idempotent, or are reported as
// not run though they ran, after an entry or agent crashes or an endpoint drops
// its response.
func TestProcessesKilledAndRestarted(t *testing.T) {
	if testing.Short() {
		t.Skip("starts nine processes")
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	f := &cluster{t: t, ctx: ctx, dir: t.TempDir(), processes: map[string]*childProcess{}, executions: map[string]int{}}
	defer func() {
		for name := range f.processes {
			if p := f.processes[name]; p.command != nil && p.command.ProcessState == nil {
				f.kill(name)
			}
		}
	}()
	a := freeAddresses(t, 2+2*3+3*2+3*2)
	x := &loadGenerator{client: &http.Client{Timeout: time.Minute, Transport: &http.Transport{DisableKeepAlives: true}}}
	f.addProcess("table", a[0], fmt.Sprintf("role: table\nid: table\nlisten: {service: '%s', metrics: '%s'}\n", a[1], a[0]), "standin", "table")
	entries, agents, endpoints := a[2:8], a[8:14], a[14:20]
	for i := range 2 {
		e := entries[3*i:]
		f.addProcess(fmt.Sprintf("entry-%d", i+1), e[2], fmt.Sprintf(
			"role: entry\nid: entry-%d\nlocation: {region: r, dataCentre: d%d}\nlisten: {callers: '%s', peers: '%s', metrics: '%s'}\ntable: {url: 'http://%s'}\nauthentication: headers\n",
			i+1, i, e[0], e[1], e[2], a[1]), "entry")
		x.urls = append(x.urls, "http://"+e[0])
		x.entries = append(x.entries, f.processes[fmt.Sprintf("entry-%d", i+1)])
	}
	for i := range 3 {
		g, p := agents[2*i:], endpoints[2*i:]
		f.addProcess(fmt.Sprintf("agent-%d", i+1), g[1], fmt.Sprintf(
			"role: agent\nid: agent-%d\nlocation: {region: r, dataCentre: d%d, rack: k%d}\nlisten: {announcements: '%s', metrics: '%s'}\nentries: ['http://%s', 'http://%s']\n",
			i+1, i, i, g[0], g[1], entries[1], entries[4]), "agent")
		f.addProcess(fmt.Sprintf("endpoint-%d", i+1), p[1], fmt.Sprintf(
			"role: endpoint\nid: executor-%d\nlisten: {service: '%s', metrics: '%s'}\nendpoint: {service: formaro, agent: 'http://%s', serviceTime: 10ms}\nsimulation: {seed: %d}\n",
			i+1, p[0], p[1], g[0], i+1), "standin", "endpoint")
	}
	f.start("table")
	// An entry is ready only with a connected agent and an agent only with a
	// connected entry, so all start before any is waited for.
	var starting sync.WaitGroup
	for _, name := range []string{"entry-1", "entry-2", "agent-1", "agent-2", "agent-3", "endpoint-1", "endpoint-2", "endpoint-3"} {
		starting.Add(1)
		go func() {
			defer starting.Done()
			f.start(name)
		}()
	}
	starting.Wait()

	x.runDuring(f, false, func() {
		f.kill("entry-1")
		x.waitForProgress(f)
		f.start("entry-1")
		x.waitForProgress(f)
		f.kill("agent-1")
		x.waitForProgress(f)
		f.start("agent-1")
		x.waitForProgress(f)
		f.injectFault(endpoints[2], standin.EndpointFault{DropResponse: true})
		x.waitForProgress(f)
		f.injectFault(endpoints[2], standin.EndpointFault{TruncateAfter: longBodyBytes / 2})
		x.waitForProgress(f)
		f.injectFault(endpoints[2], standin.EndpointFault{})
	})
	x.runDuring(f, true, func() {
		for _, name := range []string{"entry-2", "agent-2", "entry-1", "agent-3"} {
			f.stop(name)
			x.waitForProgress(f)
			f.start(name)
			x.waitForProgress(f)
		}
		f.addCounts(f.stop("endpoint-3"))
		x.waitForProgress(f)
	})
	for i, name := range []string{"endpoint-1", "endpoint-2"} {
		r, err := http.Get("http://" + endpoints[2*i] + standin.CountsPath)
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(r.Body)
		_ = r.Body.Close()
		f.addCounts(string(text))
		f.stop(name)
	}
	for _, name := range []string{"entry-1", "entry-2", "agent-1", "agent-2", "agent-3", "table"} {
		f.stop(name)
	}
	x.checkOutcomes(f)
}

func (x *loadGenerator) checkOutcomes(f *cluster) {
	outcomes := map[string]int{}
	for _, s := range x.requests {
		runs := f.executions[s.id]
		outcomes[fmt.Sprintf("planned=%t %s", s.plannedStopsOnly, s.outcome)]++
		switch {
		case s.wrongResponse:
			f.t.Errorf("%s: answered with another request's answer or an incomplete one", s.id)
		case s.outcome == oleandervalve.OutcomeAnswered && runs == 0:
			f.t.Errorf("%s: answered although no endpoint ran it", s.id)
		case !s.idempotent && runs > 1:
			f.t.Errorf("%s: not idempotent and run %d times", s.id, runs)
		case s.outcome == oleandervalve.OutcomeNotRun && runs > 0:
			f.t.Errorf("%s: reported as not run (%s) and run %d times", s.id, s.detail, runs)
		case s.plannedStopsOnly && s.outcome != oleandervalve.OutcomeAnswered && s.outcome != oleandervalve.OutcomeNotRun:
			f.t.Errorf("%s: cut by a planned stop (outcome %q, %s)", s.id, s.outcome, s.detail)
		}
	}
	f.t.Logf("%d requests: %v", len(x.requests), outcomes)
}
