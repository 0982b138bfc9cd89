package leader

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"oleandervalve"
	"oleandervalve/core/dispatch"
	"oleandervalve/core/work"
	"oleandervalve/io/peer"
)

// fleetBed is a leader behind a thin link with a fleet.
type fleetBed struct {
	out, in *link
	table   *linkedTable
	leader  *Leader
	fleet   *fleet
	scope   tally.TestScope
	ended   chan error
}

// bedSpec returns the n-th job: most are short, some are wide and best-effort, few last.
func bedSpec(n int) (work.Queue, work.Spec) {
	payload := make([]byte, 2400)
	r := rand.New(rand.NewPCG(uint64(n), 1))
	for i := range payload {
		payload[i] = 'a' + byte(r.IntN(16))
	}
	mem := oleandervalve.Bytes(8 << 30)
	switch {
	case n%76 == 1:
		return work.Queue{Name: "watch", Service: "s", Stretch: 2, Slack: 2500 * time.Millisecond}, work.Spec{Payload: string(payload), Steps: []work.Step{{
			Count: 24, LongRunning: true, Image: oleandervalve.KindName(fmt.Sprintf("watch%d", n%5)), TargetLatency: 150 * time.Millisecond, Demand: oleandervalve.Resources{CPU: 6000, Memory: mem},
		}}}
	case n%9 < 2:
		st := work.Step{Count: 40, Estimate: 2700 * time.Millisecond, BestEffort: true, Image: oleandervalve.KindName(fmt.Sprintf("press%d", n%9)), Demand: oleandervalve.Resources{CPU: 7000, Memory: mem}}
		next := st
		next.After = []int{0}
		return work.Queue{Name: "press", Service: "s", Priority: 2, MaxAttempts: 3, Stretch: 2, Slack: time.Second}, work.Spec{Payload: string(payload), Steps: []work.Step{st, next}}
	}
	return work.Queue{Name: "heat", Service: "s", MaxAttempts: 3, Stretch: 1.5, Slack: 300 * time.Millisecond}, work.Spec{Payload: string(payload), Steps: []work.Step{{Count: 13, Estimate: time.Second, Demand: oleandervalve.Resources{CPU: 2800, Memory: mem}}}}
}

// bedDuration returns how long a task runs.
func bedDuration(t oleandervalve.TaskName) time.Duration {
	switch t.Job[0] {
	case 'w':
		return 0
	case 'p':
		return 2700 * time.Millisecond
	}
	return time.Second
}

// newFleetBed starts a leader and its fleet.
func newFleetBed(b testing.TB, agents int, rate float64, delay time.Duration) *fleetBed {
	bed := &fleetBed{out: &link{rate: rate}, in: &link{rate: rate}, scope: tally.NewTestScope("", nil)}
	bed.table = &linkedTable{fakeTable: newFakeTable(), in: bed.in, out: bed.out, delay: delay}
	bed.lead(b)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	meter := peer.NewMeter(bed.scope)
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, j, err := peer.AcceptDispatch(w, r, meter); err == nil {
			bed.leader.Serve(c, j)
		}
	})}
	go func() { _ = server.Serve(&linkedListener{l, bed.in, bed.out}) }()
	bed.fleet = newFleet(agents, l.Addr().String(), bedDuration)
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(func() { cancel(); _ = server.Close() })
	bed.fleet.run(ctx)
	return bed
}

// lead starts a term on the table.
func (bed *fleetBed) lead(b testing.TB) {
	o := testOptions(bed.table.fakeTable)
	o.Table = bed.table
	o.Scope = bed.scope
	o.CPUShare = 1
	rows, _ := bed.table.Get(context.Background(), Key)
	l, err := Acquire(context.Background(), o, rows[0], Row{Entry: "e-1", Address: "a:1", Process: "p"})
	if err != nil {
		b.Fatal(err)
	}
	bed.leader = l
	bed.ended = make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	go func() { bed.ended <- l.Run(ctx) }()
}

// play submits jobs at a rate for a time, and logs how old the proofs of leadership are at the
// agents, how long answers, first starts, commits and the lock take, and what is sent.
func (bed *fleetBed) play(b testing.TB, perSecond float64, d time.Duration) {
	var mu sync.Mutex
	var answers []time.Duration
	refused := map[string]int{}
	submitted := map[oleandervalve.JobID]time.Time{}
	var ages, locks []time.Duration
	stop := make(chan struct{})
	var w sync.WaitGroup
	w.Add(2)
	go func() {
		defer w.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			for _, a := range bed.fleet.agents {
				a.mu.Lock()
				if !a.proofAt.IsZero() {
					ages = append(ages, time.Since(a.proofAt))
				}
				a.mu.Unlock()
			}
		}
	}()
	go func() {
		defer w.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(3 * time.Millisecond):
			}
			t := time.Now()
			bed.leader.mu.Lock()
			bed.leader.mu.Unlock() //nolint:staticcheck // measures the wait for the lock
			locks = append(locks, time.Since(t))
		}
	}()
	begin := time.Now()
	for n := 0; time.Since(begin) < d; n++ {
		q, spec := bedSpec(n)
		job := oleandervalve.JobID(fmt.Sprintf("%c%06d", q.Name[0], n))
		at := time.Now()
		mu.Lock()
		submitted[job] = at
		mu.Unlock()
		bed.leader.Call(peer.JobCall{ID: 1, Kind: peer.CallSubmit, Job: job, Queue: q, Spec: spec}, func(r peer.JobReply) {
			go func() {
				mu.Lock()
				defer mu.Unlock()
				if r.Verdict != dispatch.Accepted {
					refused[fmt.Sprint(r.Verdict, r.Reason)]++
					delete(submitted, job)
					return
				}
				answers = append(answers, time.Since(at))
			}()
		})
		time.Sleep(time.Until(begin.Add(time.Duration(float64(n+1) / perSecond * float64(time.Second)))))
	}
	time.Sleep(time.Second)
	close(stop)
	w.Wait()
	mu.Lock()
	defer mu.Unlock()
	firsts := map[oleandervalve.JobID]time.Time{}
	bed.fleet.mu.Lock()
	for t, at := range bed.fleet.starts {
		if f, ok := firsts[t.Job]; !ok || at.Before(f) {
			firsts[t.Job] = at
		}
	}
	starts := len(bed.fleet.starts)
	bed.fleet.mu.Unlock()
	var waits []time.Duration
	unstarted := 0
	for j, at := range submitted {
		if f, ok := firsts[j]; ok {
			waits = append(waits, f.Sub(at))
		} else {
			unstarted++
		}
	}
	sessions := 0
	for _, a := range bed.fleet.agents {
		sessions += a.sessions
	}
	bed.table.statsMu.Lock()
	defer bed.table.statsMu.Unlock()
	largest, total := 0, 0
	for _, s := range bed.table.sizes {
		largest = max(largest, s)
		total += s
	}
	b.Logf("jobs %d starts %d refused %v unstarted %d sessions %d", len(submitted), starts, refused, unstarted, sessions)
	b.Logf("proof age %s", percentiles(ages))
	b.Logf("answer %s; first start %s", percentiles(answers), percentiles(waits))
	b.Logf("lock wait %s", percentiles(locks))
	b.Logf("commits %d failed %d, %s, largest %d total %d", len(bed.table.took), bed.table.failed, percentiles(bed.table.took), largest, total)
	select {
	case err := <-bed.ended:
		b.Logf("leadership ended: %v", err)
	default:
	}
	for k, c := range bed.scope.Snapshot().Counters() {
		if c.Value() > 100_000 {
			b.Logf("%s %d", k, c.Value())
		}
	}
	b.Logf("link out %d in %d bytes", bed.out.total(), bed.in.total())
}

// BenchmarkLargeFleet measures a leader at several loads. Its figures are in the log (-v).
func BenchmarkLargeFleet(b *testing.B) {
	for _, c := range []struct {
		name     string
		agents   int
		mbit     float64
		jobs     float64
		duration time.Duration
	}{
		{"large usual", 240, 20, 20, 12 * time.Second},
		{"large heavy", 240, 20, 60, 12 * time.Second},
		{"large flood", 240, 20, 150, 12 * time.Second},
		{"twin usual", 15, 2, 1.5, 12 * time.Second},
		{"twin flood", 15, 2, 15, 12 * time.Second},
	} {
		b.Run(c.name, func(b *testing.B) {
			bed := newFleetBed(b, c.agents, c.mbit*1e6/8, 4*time.Millisecond)
			time.Sleep(time.Second)
			bed.play(b, c.jobs, c.duration)
		})
	}
}

// BenchmarkTakeover measures how long a new leader of a loaded fleet takes to get its agents and
// send the first start.
func BenchmarkTakeover(b *testing.B) {
	for _, c := range []struct {
		name   string
		agents int
		mbit   float64
		jobs   float64
		delay  time.Duration
	}{
		{"large usual", 240, 20, 20, 4 * time.Millisecond},
		{"large flood", 240, 20, 150, 4 * time.Millisecond},
		{"large slow table", 240, 20, 20, 250 * time.Millisecond},
		{"twin flood", 15, 2, 30, 4 * time.Millisecond},
	} {
		b.Run(c.name, func(b *testing.B) {
			bed := newFleetBed(b, c.agents, c.mbit*1e6/8, c.delay)
			time.Sleep(time.Second)
			bed.play(b, c.jobs, 6*time.Second)
			sent, received := bed.out.total(), bed.in.total()
			before := bed.scope.Snapshot().Counters()
			sessions := map[*simulatedAgent]int{}
			for _, a := range bed.fleet.agents {
				a.mu.Lock()
				sessions[a] = a.sessions
				a.mu.Unlock()
			}
			bed.leader.cancel()
			if err := <-bed.ended; err != nil {
				b.Logf("first term ended: %v", err)
			}
			time.Sleep(1500 * time.Millisecond)
			began := time.Now()
			bed.lead(b)
			acquired := time.Since(began)
			<-bed.leader.Ready()
			ready := time.Since(began)
			joined := func() int {
				n := 0
				bed.leader.mu.Lock()
				defer bed.leader.mu.Unlock()
				for _, s := range bed.leader.agents {
					if s.conn != nil {
						n++
					}
				}
				return n
			}
			for joined() < c.agents {
				time.Sleep(5 * time.Millisecond)
			}
			all := time.Since(began)
			q, spec := bedSpec(3)
			answered := make(chan struct{})
			bed.leader.Call(peer.JobCall{ID: 1, Kind: peer.CallSubmit, Job: "h-last", Queue: q, Spec: spec}, func(r peer.JobReply) { close(answered) })
			<-answered
			for {
				bed.fleet.mu.Lock()
				n := 0
				for t := range bed.fleet.starts {
					if t.Job == "h-last" {
						n++
					}
				}
				bed.fleet.mu.Unlock()
				if n == 13 {
					break
				}
				if time.Since(began) > 20*time.Second {
					b.Logf("started %d", n)
					break
				}
				time.Sleep(5 * time.Millisecond)
			}
			started := time.Since(began)
			time.Sleep(time.Second)
			more := 0
			for a, n := range sessions {
				a.mu.Lock()
				more += a.sessions - n
				a.mu.Unlock()
			}
			rows := len(bed.table.rows)
			b.Logf("rows %d: acquired %v ready %v all joined %v started %v, sessions for %d agents: %d; out %d in %d", rows, acquired, ready, all, started, c.agents, more, bed.out.total()-sent, bed.in.total()-received)
			for k, x := range bed.scope.Snapshot().Counters() {
				n := x.Value()
				if y := before[k]; y != nil {
					n -= y.Value()
				}
				if n > 20_000 {
					b.Logf("%s %d", k, n)
				}
			}
		})
	}
}
