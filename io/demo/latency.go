package demo

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/io/agent"
	"oleandervalve/io/callerhttp"
	"oleandervalve/io/entry"
	"oleandervalve/io/peer"
	"oleandervalve/io/standin"
)

const (
	latencyService   = oleandervalve.ServiceName("latency")
	latencyEndpoints = 8
	latencySlots     = 128
	latencyRounds    = 4
)

// LatencyOptions configure a latency measurement.
type LatencyOptions struct {
	Callers []int
	// Requests is the number of requests per path (direct or through entry and
	// agent) and per number of callers.
	Requests int
	// Service is the service time of the endpoints; zero means an immediate response.
	Service time.Duration
	Log     *logrus.Entry
}

// LatencyRow compares direct calls with calls through entry and agent for one
// number of callers.
type LatencyRow struct {
	Callers   int     `json:"callers"`
	DirectP50 float64 `json:"directP50Us"`
	DirectP99 float64 `json:"directP99Us"`
	P50       float64 `json:"p50Us"`
	P99       float64 `json:"p99Us"`
	RatioP50  float64 `json:"ratioP50"`
	RatioP99  float64 `json:"ratioP99"`
	Rate      float64 `json:"requestsPerSecond"`
	// PerCore is the number of requests per second that one core of entry and
	// agent handles, computed from the CPU time in excess of direct calls.
	PerCore float64 `json:"requestsPerSecondPerCore"`
	Failed  int     `json:"failed"`
}

// MeasureLatency calls endpoints directly and through entry and agent in alternating rounds.
func MeasureLatency(o LatencyOptions) ([]LatencyRow, error) {
	e := entry.New("entry-0", entry.WithLog(o.Log))
	defer e.Close()
	m := http.NewServeMux()
	m.Handle(peer.Path, e.PeerHandler())
	m.Handle("/call/", callerhttp.Handler(e, callerhttp.TrustedHeaders{}))
	server, err := standin.Serve("127.0.0.1:0", m)
	if err != nil {
		return nil, err
	}
	defer server.Close()
	var direct []string
	for i := range latencyEndpoints {
		a := agent.New(oleandervalve.AgentID(fmt.Sprintf("agent-%d", i)), []string{server.URL + peer.Path}, agent.WithLog(o.Log))
		defer a.Close()
		announce, err := standin.Serve("127.0.0.1:0", a.AnnounceHandler())
		if err != nil {
			return nil, err
		}
		defer announce.Close()
		x, err := standin.StartEndpoint(standin.EndpointConfig{
			Announcement: oleandervalve.Announcement{
				Endpoint: oleandervalve.EndpointID(fmt.Sprintf("endpoint-%d", i)), Service: latencyService,
				Slots: latencySlots, Connections: latencySlots,
			},
			AgentURL: announce.URL, ServiceTime: o.Service, Seed: uint64(i),
		})
		if err != nil {
			return nil, err
		}
		defer x.Close()
		direct = append(direct, "http://"+x.Address()+"/ping")
	}
	for e.Slots(latencyService) < latencyEndpoints*latencySlots {
		time.Sleep(10 * time.Millisecond)
	}
	viaEntry := []string{server.URL + "/call/" + string(latencyService) + "/ping"}
	var rows []LatencyRow
	for _, n := range o.Callers {
		rows = append(rows, compareLatency(n, o.Requests, direct, viaEntry))
	}
	return rows, nil
}

func compareLatency(callers, requests int, direct, through []string) LatencyRow {
	d, t := newSample(), newSample()
	for range latencyRounds {
		d.drive(callers, requests/latencyRounds, direct)
		t.drive(callers, requests/latencyRounds, through)
	}
	row := LatencyRow{
		Callers:   callers,
		DirectP50: float64(d.histogram.ValueAtQuantile(50)), DirectP99: float64(d.histogram.ValueAtQuantile(99)),
		P50: float64(t.histogram.ValueAtQuantile(50)), P99: float64(t.histogram.ValueAtQuantile(99)),
		Rate: float64(t.histogram.TotalCount()) / t.elapsed.Seconds(), Failed: d.failed + t.failed,
	}
	row.RatioP50, row.RatioP99 = row.P50/row.DirectP50, row.P99/row.DirectP99
	added := t.cpu.Seconds()/float64(t.histogram.TotalCount()) - d.cpu.Seconds()/float64(d.histogram.TotalCount())
	if added > 0 {
		row.PerCore = 1 / added
	}
	return row
}

// sample collects the latencies and the CPU time of one path.
type sample struct {
	client       *http.Client
	mu           sync.Mutex
	histogram    *hdrhistogram.Histogram
	elapsed, cpu time.Duration
	failed       int
}

func newSample() *sample {
	return &sample{
		histogram: hdrhistogram.New(1, 60_000_000, 3),
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, MaxIdleConns: 8192}},
	}
}

func (s *sample) drive(callers, requests int, urls []string) {
	started, cpu := time.Now(), processorTime()
	var wait sync.WaitGroup
	for i := range callers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			h := hdrhistogram.New(1, 60_000_000, 3)
			failed := 0
			for k := range requests / callers {
				begun := time.Now()
				if !s.get(urls[(i+k)%len(urls)]) {
					failed++
				}
				_ = h.RecordValue(time.Since(begun).Microseconds())
			}
			s.mu.Lock()
			s.histogram.Merge(h)
			s.failed += failed
			s.mu.Unlock()
		}()
	}
	wait.Wait()
	s.elapsed += time.Since(started)
	s.cpu += processorTime() - cpu
}

func (s *sample) get(url string) bool {
	p, err := s.client.Get(url)
	if err != nil {
		return false
	}
	defer p.Body.Close()
	_, err = io.Copy(io.Discard, p.Body)
	return err == nil && p.StatusCode == http.StatusOK
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// WriteLatency writes the comparison as a table.
func WriteLatency(w io.Writer, rows []LatencyRow) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "callers\tdirect p50 us\tdirect p99 us\tp50 us\tp99 us\tratio p50\tratio p99\trequests/s\trequests/s/core\tfailed")
	for _, r := range rows {
		_, _ = fmt.Fprintf(t, "%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%.2f\t%.0f\t%.0f\t%d\n",
			r.Callers, r.DirectP50, r.DirectP99, r.P50, r.P99, r.RatioP50, r.RatioP99, r.Rate, r.PerCore, r.Failed)
	}
	return t.Flush()
}
