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
	overallLimit = 10 * time.Minute
	callers      = 12
	longBody     = 400_000
)

// fleet is a set of real processes on loopback.
type fleet struct {
	t     *testing.T
	ctx   context.Context
	dir   string
	procs map[string]*proc
	// counts sums up what endpoint stand-ins reported.
	counts map[string]int
}

type proc struct {
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

// freeAddresses picks distinct addresses and releases them together.
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

func (f *fleet) define(name, metrics, text string, args ...string) {
	file := filepath.Join(f.dir, name+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.procs[name] = &proc{args: append(args, "--settings", file), metrics: metrics}
}

func (f *fleet) start(name string) {
	f.t.Helper()
	p := f.procs[name]
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
	f.wait(name+" to be ready", func() bool { return f.isReady(p) })
	p.ready.Store(true)
}

func (f *fleet) isReady(p *proc) bool {
	r, err := http.Get("http://" + p.metrics + "/readyz")
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// wait polls a condition until it holds; only the limit of the whole test ends it.
func (f *fleet) wait(what string, holds func() bool) {
	f.t.Helper()
	for !holds() {
		if f.ctx.Err() != nil {
			f.t.Fatalf("gave up waiting for %s; last log lines:\n%s", what, f.lastLogs())
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (f *fleet) lastLogs() string {
	var b strings.Builder
	files, _ := filepath.Glob(filepath.Join(f.dir, "*.log"))
	for _, name := range files {
		text, _ := os.ReadFile(name)
		b.WriteString(filepath.Base(name) + "\n" + string(text[max(0, len(text)-1000):]) + "\n")
	}
	return b.String()
}

// kill ends a process without warning.
func (f *fleet) kill(name string) {
	p := f.procs[name]
	p.ready.Store(false)
	_ = p.command.Process.Signal(syscall.SIGKILL)
	_ = p.command.Wait()
}

// stop ends a process as planned and returns its output.
func (f *fleet) stop(name string) string {
	f.t.Helper()
	p := f.procs[name]
	_ = p.command.Process.Signal(syscall.SIGTERM)
	if err := p.command.Wait(); err != nil {
		f.t.Errorf("planned stop of %s: %v\n%s", name, err, f.lastLogs())
	}
	p.ready.Store(false)
	return p.output.String()
}

func (f *fleet) add(text string) {
	f.t.Helper()
	var c standin.Counts
	if err := json.Unmarshal([]byte(text), &c); err != nil {
		f.t.Fatalf("counts of an endpoint stand-in: %v: %s", err, text)
	}
	for id, n := range c.Runs {
		f.counts[id] += n
	}
	f.t.Logf("endpoint stand-in: %d executions, %d beyond its slots", c.Total, c.OverSlot)
}

// fault makes an endpoint stand-in misbehave.
func (f *fleet) fault(address string, x standin.EndpointFault) {
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
		f.t.Fatalf("setting a fault: %s", p.Status)
	}
}

// sent is one request and what its caller saw.
type sent struct {
	id         string
	idempotent bool
	// planned is set if only planned stops happened while the request was in flight.
	planned bool
	outcome oleandervalve.Outcome
	detail  string
	wrong   bool
}

// traffic sends requests as callers behind a load balancer do, which forwards
// to the entries that report ready.
type traffic struct {
	entries  []*proc
	urls     []string
	client   *http.Client
	sequence atomic.Int64
	answered atomic.Int64

	mu   sync.Mutex
	sent []sent
}

// during keeps requests in flight until the action returns and all are answered.
func (x *traffic) during(f *fleet, planned bool, action func()) {
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
	for i := range callers {
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
	x.progress(f)
	action()
	close(stop)
	running.Wait()
}

// progress waits until many more requests are answered.
func (x *traffic) progress(f *fleet) {
	f.t.Helper()
	target := x.answered.Load() + 150
	f.wait("more answers", func() bool { return x.answered.Load() >= target })
}

func (x *traffic) send(n int, planned bool) {
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
	s := sent{id: fmt.Sprintf("work-%d", x.sequence.Add(1)), planned: planned, idempotent: n%3 != 0}
	method, path := http.MethodGet, "/call/formaro/a"
	if !s.idempotent {
		method = http.MethodPost
	}
	if n%3 == 2 {
		path = fmt.Sprintf("/call/formaro/a?size=%d", longBody)
	}
	r, err := http.NewRequest(method, url+path, strings.NewReader(""))
	if err != nil {
		panic(err)
	}
	r.Header.Set(standin.HeaderTestID, s.id)
	r.Header.Set(callerhttp.HeaderTimeout, "20000")
	x.judge(&s, r, n%3 == 2)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sent = append(x.sent, s)
	if s.outcome == oleandervalve.OutcomeAnswered {
		x.answered.Add(1)
	}
}

// judge sends a request and records what the caller saw.
func (x *traffic) judge(s *sent, r *http.Request, long bool) {
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
		s.wrong = true
	case long:
		s.wrong = len(body) != longBody
	default:
		s.wrong = !strings.HasPrefix(string(body), standin.ResponsePrefix(s.id)+" ")
	}
}

// Guards against planned stops that cut requests, and against crashes of
// entries and agents and answers lost by an endpoint, after which a request is answered wrongly, a
// non-idempotent one runs twice, or one that ran is reported as not run.
func TestProcessesKilledAndRestarted(t *testing.T) {
	if testing.Short() {
		t.Skip("starts nine processes")
	}
	ctx, cancel := context.WithTimeout(context.Background(), overallLimit)
	defer cancel()
	f := &fleet{t: t, ctx: ctx, dir: t.TempDir(), procs: map[string]*proc{}, counts: map[string]int{}}
	defer func() {
		for name := range f.procs {
			if p := f.procs[name]; p.command != nil && p.command.ProcessState == nil {
				f.kill(name)
			}
		}
	}()
	a := freeAddresses(t, 2+2*3+3*2+3*2)
	x := &traffic{client: &http.Client{Timeout: time.Minute, Transport: &http.Transport{DisableKeepAlives: true}}}
	f.define("table", a[0], fmt.Sprintf("role: table\nid: table\nlisten: {service: '%s', metrics: '%s'}\n", a[1], a[0]), "standin", "table")
	entries, agents, endpoints := a[2:8], a[8:14], a[14:20]
	for i := range 2 {
		e := entries[3*i:]
		f.define(fmt.Sprintf("entry-%d", i+1), e[2], fmt.Sprintf(
			"role: entry\nid: entry-%d\nlocation: {region: r, dataCentre: d%d}\nlisten: {callers: '%s', peers: '%s', metrics: '%s'}\ntable: {url: 'http://%s'}\nauthentication: headers\n",
			i+1, i, e[0], e[1], e[2], a[1]), "entry")
		x.urls = append(x.urls, "http://"+e[0])
		x.entries = append(x.entries, f.procs[fmt.Sprintf("entry-%d", i+1)])
	}
	for i := range 3 {
		g, p := agents[2*i:], endpoints[2*i:]
		f.define(fmt.Sprintf("agent-%d", i+1), g[1], fmt.Sprintf(
			"role: agent\nid: agent-%d\nlocation: {region: r, dataCentre: d%d, rack: k%d}\nlisten: {announcements: '%s', metrics: '%s'}\nentries: ['http://%s', 'http://%s']\n",
			i+1, i, i, g[0], g[1], entries[1], entries[4]), "agent")
		f.define(fmt.Sprintf("endpoint-%d", i+1), p[1], fmt.Sprintf(
			"role: endpoint\nid: executor-%d\nlisten: {service: '%s', metrics: '%s'}\nendpoint: {service: formaro, agent: 'http://%s', serviceTime: 10ms}\nsimulation: {seed: %d}\n",
			i+1, p[0], p[1], g[0], i+1), "standin", "endpoint")
	}
	f.start("table")
	// An entry is ready only with an agent and an agent only with an entry,
	// hence agents start before the entries are waited for.
	var starting sync.WaitGroup
	for _, name := range []string{"entry-1", "entry-2", "agent-1", "agent-2", "agent-3", "endpoint-1", "endpoint-2", "endpoint-3"} {
		starting.Add(1)
		go func() {
			defer starting.Done()
			f.start(name)
		}()
	}
	starting.Wait()

	x.during(f, false, func() {
		f.kill("entry-1")
		x.progress(f)
		f.start("entry-1")
		x.progress(f)
		f.kill("agent-1")
		x.progress(f)
		f.start("agent-1")
		x.progress(f)
		f.fault(endpoints[2], standin.EndpointFault{DropResponse: true})
		x.progress(f)
		f.fault(endpoints[2], standin.EndpointFault{TruncateAfter: longBody / 2})
		x.progress(f)
		f.fault(endpoints[2], standin.EndpointFault{})
	})
	x.during(f, true, func() {
		for _, name := range []string{"entry-2", "agent-2", "entry-1", "agent-3"} {
			f.stop(name)
			x.progress(f)
			f.start(name)
			x.progress(f)
		}
		f.add(f.stop("endpoint-3"))
		x.progress(f)
	})
	for i, name := range []string{"endpoint-1", "endpoint-2"} {
		r, err := http.Get("http://" + endpoints[2*i] + standin.CountsPath)
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(r.Body)
		_ = r.Body.Close()
		f.add(string(text))
		f.stop(name)
	}
	for _, name := range []string{"entry-1", "entry-2", "agent-1", "agent-2", "agent-3", "table"} {
		f.stop(name)
	}
	x.verdict(f)
}

func (x *traffic) verdict(f *fleet) {
	tally := map[string]int{}
	for _, s := range x.sent {
		runs := f.counts[s.id]
		tally[fmt.Sprintf("planned=%t %s", s.planned, s.outcome)]++
		switch {
		case s.wrong:
			f.t.Errorf("%s: answered with another request's answer or an incomplete one", s.id)
		case s.outcome == oleandervalve.OutcomeAnswered && runs == 0:
			f.t.Errorf("%s: answered although no endpoint ran it", s.id)
		case !s.idempotent && runs > 1:
			f.t.Errorf("%s: not idempotent and run %d times", s.id, runs)
		case s.outcome == oleandervalve.OutcomeNotRun && runs > 0:
			f.t.Errorf("%s: reported as not run (%s) and run %d times", s.id, s.detail, runs)
		case s.planned && s.outcome != oleandervalve.OutcomeAnswered && s.outcome != oleandervalve.OutcomeNotRun:
			f.t.Errorf("%s: cut by a planned stop (outcome %q, %s)", s.id, s.outcome, s.detail)
		}
	}
	f.t.Logf("%d requests: %v", len(x.sent), tally)
}
