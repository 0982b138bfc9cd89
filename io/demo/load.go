package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"oleandervalve"
	"oleandervalve/io/callerhttp"
	"oleandervalve/io/standin"
)

// request is one unit of work and the outcome that its caller received.
type request struct {
	id            string
	idempotent    bool
	outcome       oleandervalve.Outcome
	wrongResponse bool
	truncated     bool
	// timedOut means that the caller's timeout had passed when the outcome arrived.
	timedOut bool
}

// classResult summarizes one kind of traffic in one phase.
type classResult struct {
	Phase    string                    `json:"phase"`
	Service  oleandervalve.ServiceName `json:"service"`
	Class    oleandervalve.ClassName   `json:"class"`
	Sent     int                       `json:"sent"`
	Answered int                       `json:"answered"`
	NotRun   int                       `json:"notRun"`
	Unknown  int                       `json:"unknown"`
	P50      float64                   `json:"p50Ms"`
	P99      float64                   `json:"p99Ms"`
	P999     float64                   `json:"p999Ms"`

	histogram *hdrhistogram.Histogram
}

// load generates open-loop traffic against the entries and records the outcomes.
type load struct {
	client   *http.Client
	balancer *balancer
	phase    string
	phases   []phaseStart

	mu       sync.Mutex
	requests []*request
	results  map[string]*classResult
	order    []string
	pending  sync.WaitGroup
}

func newLoad(b *balancer, phase string) *load {
	return &load{
		balancer: b, phase: phase, results: map[string]*classResult{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, MaxIdleConns: 4096}},
	}
}

// run sends one kind of traffic with exponentially distributed intervals until the
// context ends.
func (l *load) run(ctx context.Context, d deployment, t traffic, rate float64, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 3))
	key := string(d.service) + "/" + string(t.class)
	sendAt := time.Now()
	for i := 0; ; i++ {
		sendAt = sendAt.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(sendAt)):
		}
		q := &request{id: fmt.Sprintf("%s-%d-%d", key, seed, i), idempotent: t.method == http.MethodGet}
		team := random.IntN(t.teams)
		result := l.result(d, t)
		l.pending.Add(1)
		go func() {
			defer l.pending.Done()
			l.send(d, t, q, result, team)
		}()
	}
}

// result returns the summary of one kind of traffic in the current phase.
func (l *load) result(d deployment, t traffic) *classResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := l.phase + "/" + string(d.service) + "/" + string(t.class)
	r := l.results[key]
	if r == nil {
		r = &classResult{Phase: l.phase, Service: d.service, Class: t.class, histogram: hdrhistogram.New(1, 600_000_000, 3)}
		l.results[key] = r
		l.order = append(l.order, key)
	}
	return r
}

func (l *load) send(d deployment, t traffic, q *request, result *classResult, team int) {
	started := time.Now()
	q.outcome = l.attempts(d, t, q, team)
	elapsed := time.Since(started)
	q.timedOut = elapsed >= t.timeout
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, q)
	result.Sent++
	switch q.outcome {
	case oleandervalve.OutcomeAnswered:
		result.Answered++
		_ = result.histogram.RecordValue(elapsed.Microseconds())
	case oleandervalve.OutcomeNotRun:
		result.NotRun++
	default:
		result.Unknown++
	}
}

// attempts sends a request. If the outcome of a keyed request is unknown, it is
// retried once through the next entry.
func (l *load) attempts(d deployment, t traffic, q *request, team int) oleandervalve.Outcome {
	key := ""
	if t.keyed {
		key = fmt.Sprintf("%d-%016x", time.Now().UnixMilli(), rand.Uint64())
	}
	out := l.call(d, t, q, team, key)
	if t.keyed && out == oleandervalve.OutcomeUnknown {
		q.truncated = false
		out = l.call(d, t, q, team, key)
	}
	return out
}

func (l *load) call(d deployment, t traffic, q *request, team int, key string) oleandervalve.Outcome {
	url := l.balancer.pick() + "/call/" + string(d.service) + t.path
	ctx, cancel := context.WithTimeout(context.Background(), t.timeout+5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, t.method, url, nil)
	if err != nil {
		return oleandervalve.OutcomeUnknown
	}
	r.Header.Set(callerhttp.HeaderClass, string(t.class))
	r.Header.Set(callerhttp.HeaderTeam, fmt.Sprintf("%s-%s-%d", d.name, t.class, team))
	r.Header.Set(callerhttp.HeaderTimeout, fmt.Sprint(t.timeout.Milliseconds()))
	r.Header.Set(standin.HeaderTestID, q.id)
	if key != "" {
		r.Header.Set(callerhttp.HeaderKey, key)
	}
	p, err := l.client.Do(r)
	if err != nil {
		q.truncated = true
		return oleandervalve.OutcomeUnknown
	}
	defer p.Body.Close()
	body, err := io.ReadAll(p.Body)
	outcome := oleandervalve.Outcome(p.Header.Get(callerhttp.HeaderOutcome))
	switch {
	case err != nil:
		q.truncated = true
		return oleandervalve.OutcomeUnknown
	case outcome == oleandervalve.OutcomeAnswered:
		q.wrongResponse = !strings.HasPrefix(string(body), standin.ResponsePrefix(q.id)+" ")
	case outcome != oleandervalve.OutcomeNotRun:
		return oleandervalve.OutcomeUnknown
	}
	return outcome
}
