package measure

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oleandervalve"
	"oleandervalve/core/table"
	"oleandervalve/io/agent"
	"oleandervalve/io/callerhttp"
	"oleandervalve/io/entry"
	"oleandervalve/io/objecthttp"
	"oleandervalve/io/peer"
	"oleandervalve/io/platformhttp"
	"oleandervalve/io/standin"
	"oleandervalve/io/tablehttp"
	"oleandervalve/io/taskowner"
)

const (
	envEntries = "OLEANDERVALVE_MEASURE_ENTRIES"
	envAgent   = "OLEANDERVALVE_MEASURE_AGENT"

	// residentTasks is the worker's share of the design size, 8,000 tasks over 700
	// workers, rounded up.
	residentTasks = 12
	// startInterval is the time between task starts on one worker at the peak of
	// 69 starts/s over 700 workers.
	startInterval = 10 * time.Second
	// requestsPerSecond is the share of one of 11 executors in the 200 requests/s of
	// the demonstration load of a deployment.
	requestsPerSecond = 18

	// urgentStartInterval keeps the urgent starts below the start limit of a worker.
	urgentStartInterval = 600 * time.Millisecond

	warmUpTime      = 20 * time.Second
	measurementTime = 30 * time.Second
)

// peerURLs are the URLs that the peer process prints when it is ready.
type peerURLs struct {
	Entries  []string
	Platform string
	Objects  string
}

// peerCounts are the operations that the peer process has counted.
type peerCounts struct {
	Table         operations
	PlatformBytes int64
	Started       int
}

// runPeers runs the entries, stand-ins and load generators of the agent benchmark
// until standard input ends. It reads one command per line: a number submits that
// many resident tasks, other commands start a load or request the counts.
func runPeers(entries int) {
	clock := oleandervalve.SystemClock()
	objects := standin.NewObjects(1)
	platform := standin.NewPlatform(clock, standin.PlatformConfig{
		Workers:   map[oleandervalve.WorkerID]oleandervalve.Resources{"worker-1": {CPU: 64000, Memory: 250 * gib}},
		Behaviour: map[oleandervalve.KindName]standin.Behaviour{"routeSheet": {Interference: 0.02}},
		UsageLag:  2 * time.Second, Load: objects.Load, Seed: 1,
	})
	var out peerURLs
	var platformBytes atomic.Int64
	out.Platform, out.Objects = serveCountingBytes(platform.Handler(), &platformBytes), serve(objects.Handler())
	tableCounter := &countingTable{Table: tablehttp.NewClient(serve(standin.NewTable(clock, 1).Handler()), 2*time.Second)}
	var owners []*taskowner.Owner
	for i := range entries {
		id := oleandervalve.EntryID(fmt.Sprint("entry-", i))
		e := entry.New(id, entry.WithLog(silentLog()))
		o := taskowner.New(id, string(id), tableCounter, platformhttp.NewClient(out.Platform, 2*time.Second), e,
			taskowner.WithLog(silentLog()), taskowner.WithLimits(table.DefaultLimits.Share(entries)))
		e.SetTaskOwner(o)
		owners = append(owners, o)
		m := http.NewServeMux()
		m.Handle(peer.Path, e.PeerHandler())
		m.Handle("/call/", callerhttp.Handler(e, callerhttp.TrustedHeaders{}))
		out.Entries = append(out.Entries, serve(m))
	}
	_, err := standin.StartEndpoint(standin.EndpointConfig{
		Announcement: oleandervalve.Announcement{Endpoint: "executor-1", Service: "formaro", Slots: 8, Connections: 64},
		AgentURL:     os.Getenv(envAgent), ServiceTime: 20 * time.Millisecond, Sigma: 0.3, Seed: 1, Executions: standin.NewExecutionLog(),
	})
	must(err)
	must(json.NewEncoder(os.Stdout).Encode(out))
	in := bufio.NewScanner(os.Stdin)
	for in.Scan() {
		if n, err := strconv.Atoi(in.Text()); err == nil {
			submit(owners[0], "resident", n, 0)
			continue
		}
		switch in.Text() {
		case "starts":
			go startTasks(owners)
		case "requests":
			go sendRequests(out.Entries)
		case "urgent":
			must(json.NewEncoder(os.Stdout).Encode(startUrgent(owners, platform)))
		case "table":
			must(json.NewEncoder(os.Stdout).Encode(peerCounts{tableCounter.operations(), platformBytes.Load(), platform.Counts().Started}))
		}
	}
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func serve(h http.Handler) string {
	s, err := standin.Serve("127.0.0.1:0", h)
	must(err)
	return s.URL
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	n *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.n}, err
}

func serveCountingBytes(h http.Handler, n *atomic.Int64) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(countingListener{l, n}) }()
	return "http://" + l.Addr().String()
}

func submit(o *taskowner.Owner, name string, tasks int, work time.Duration) {
	must(o.Submit(context.Background(), taskowner.JobSpec{
		Job: oleandervalve.JobID(name), Team: "riviere", Kind: "routeSheet", Tasks: tasks, Size: taskSize(), RunTime: work,
	}))
}

func startTasks(owners []*taskowner.Owner) {
	for i := 0; ; i++ {
		time.Sleep(startInterval)
		submit(owners[i%len(owners)], fmt.Sprint("batch-", i), 1, startInterval/2)
	}
}

// startUrgent submits urgent tasks one after the other and returns the sorted times
// from submission to start on the platform.
func startUrgent(owners []*taskowner.Owner, p *standin.Platform) []time.Duration {
	var out []time.Duration
	for i := range 40 {
		// The scheduler starts at most 20 tasks on a worker in 10 s, so that a
		// worker that fails every task can't drain the queue. This benchmark has
		// only one worker and must stay below that limit.
		time.Sleep(urgentStartInterval)
		before, submittedAt := p.Counts().Started, time.Now()
		must(owners[i%len(owners)].Submit(context.Background(), taskowner.JobSpec{
			Job: oleandervalve.JobID(fmt.Sprint("urgent-", i)), Team: "riviere", Kind: "routeSheet", Tasks: 1,
			Size: taskSize(), RunTime: time.Second, Urgent: true,
		}))
		for p.Counts().Started == before {
			time.Sleep(time.Millisecond)
		}
		out = append(out, time.Since(submittedAt))
	}
	slices.Sort(out)
	return out
}

func sendRequests(entries []string) {
	for i := 0; ; i++ {
		time.Sleep(time.Second / requestsPerSecond)
		go func() {
			r, err := http.Get(entries[i%len(entries)] + "/call/formaro/instructions")
			if err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				r.Body.Close()
			}
		}()
	}
}

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err
}

// trafficCounter counts the bytes exchanged with each address that is dialled.
type trafficCounter struct {
	mu    sync.Mutex
	bytes map[string]*atomic.Int64
}

func (t *trafficCounter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	t.mu.Lock()
	n := t.bytes[address]
	if n == nil {
		n = &atomic.Int64{}
		t.bytes[address] = n
	}
	t.mu.Unlock()
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	return countingConn{c, n}, err
}

func (t *trafficCounter) sum(urls ...string) (total int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range urls {
		if n := t.bytes[strings.TrimPrefix(u, "http://")]; n != nil {
			total += n.Load()
		}
	}
	return total
}

// BenchmarkAgent reports the CPU time, memory and network traffic of one agent
// with 12 resident tasks and an endpoint in three modes: idle, with its share of
// the peak rate of task starts, or with both these starts and a normal load of
// requests.
func BenchmarkAgent(b *testing.B) {
	for _, n := range []int{1, 4, 8} {
		for _, mode := range []string{"rest", "starts", "requests"} {
			b.Run(fmt.Sprintf("%s/entries=%d", mode, n), func(b *testing.B) {
				for b.Loop() {
					measureAgent(b, n, residentTasks, mode)
				}
			})
		}
	}
}

// benchmarkSetup is an agent in this process with its peers in a child process.
type benchmarkSetup struct {
	traffic   *trafficCounter
	peers     peerURLs
	responses *json.Decoder
	in        io.Writer
}

func (r *benchmarkSetup) sendLine(line string) { _, _ = fmt.Fprintln(r.in, line) }

func (r *benchmarkSetup) request(b *testing.B, line string, into any) {
	r.sendLine(line)
	if err := r.responses.Decode(into); err != nil {
		b.Fatal(err)
	}
}

// startSetup starts an agent in this process and n entries in a child process; stop
// ends both.
func startSetup(b *testing.B, n int) (r *benchmarkSetup, stop func()) {
	r = &benchmarkSetup{traffic: &trafficCounter{bytes: map[string]*atomic.Int64{}}}
	http.DefaultTransport.(*http.Transport).DialContext = r.traffic.dial
	var a atomic.Pointer[agent.Agent]
	server, err := standin.Serve("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if x := a.Load(); x != nil {
			x.AnnounceHandler().ServeHTTP(w, q)
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	if err != nil {
		b.Fatal(err)
	}
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), envEntries+"="+strconv.Itoa(n), envAgent+"="+server.URL)
	child.Stderr = os.Stderr
	in, _ := child.StdinPipe()
	out, _ := child.StdoutPipe()
	if err := child.Start(); err != nil {
		b.Fatal(err)
	}
	r.in, r.responses = in, json.NewDecoder(out)
	if err := r.responses.Decode(&r.peers); err != nil {
		b.Fatal(err)
	}
	var urls []string
	for _, u := range r.peers.Entries {
		urls = append(urls, u+peer.Path)
	}
	x := agent.New("agent-1", urls, agent.WithLog(silentLog()), agent.WithWorker("worker-1"),
		agent.WithLocation(oleandervalve.Location{Region: "r1", DataCentre: "d1", Rack: "k1"}),
		agent.WithPlatform(platformhttp.NewClient(r.peers.Platform, 2*time.Second), objecthttp.NewClient(r.peers.Objects, 2*time.Second)))
	a.Store(x)
	return r, func() {
		x.Close()
		_ = in.Close()
		_ = child.Wait()
		server.Close()
	}
}

// BenchmarkUrgentStart reports the time from the submission of an urgent task
// to its start on the platform, with one worker and several entries.
func BenchmarkUrgentStart(b *testing.B) {
	for _, n := range []int{1, 4, 8} {
		b.Run(fmt.Sprint("entries=", n), func(b *testing.B) {
			for b.Loop() {
				r, stop := startSetup(b, n)
				r.sendLine(strconv.Itoa(residentTasks))
				time.Sleep(warmUpTime)
				var times []time.Duration
				r.request(b, "urgent", &times)
				stop()
				b.ReportMetric(float64(times[len(times)/2].Milliseconds()), "median-ms")
				b.ReportMetric(float64(times[len(times)-1].Milliseconds()), "max-ms")
			}
		})
	}
}

// BenchmarkAgentTasks reports the metrics of BenchmarkAgent for an idle agent
// connected to eight entries, with several numbers of resident tasks.
func BenchmarkAgentTasks(b *testing.B) {
	for _, n := range []int{4, 12, 40} {
		b.Run(fmt.Sprint("tasks=", n), func(b *testing.B) {
			for b.Loop() {
				measureAgent(b, 8, n, "rest")
			}
		})
	}
}

func measureAgent(b *testing.B, n, tasks int, mode string) {
	r, stop := startSetup(b, n)
	defer stop()
	r.sendLine(strconv.Itoa(tasks))
	if mode != "rest" {
		r.sendLine("starts")
	}
	if mode == "requests" {
		r.sendLine("requests")
	}
	var before, after peerCounts
	for before.Started < tasks {
		time.Sleep(warmUpTime)
		r.request(b, "table", &before)
	}
	cpu, entries := cpuTime(), r.traffic.sum(r.peers.Entries...)
	time.Sleep(measurementTime)
	s := measurementTime.Seconds()
	b.ReportMetric((cpuTime()-cpu).Seconds()/s*100, "%core")
	b.ReportMetric(float64(r.traffic.sum(r.peers.Entries...)-entries)/s, "entries-B/s")
	r.request(b, "table", &after)
	b.ReportMetric(float64(after.PlatformBytes-before.PlatformBytes)/s, "platform-B/s")
	b.ReportMetric(residentBytes()/(1<<20), "resident-MiB")
	b.ReportMetric(heapAndStackBytes()/(1<<20), "heap-MiB")
	b.ReportMetric(float64(after.Started-before.Started), "starts")
	d := after.Table.sub(before.Table)
	b.ReportMetric(float64(d.RowsWritten)/s, "rows-written/s")
	b.ReportMetric(float64(d.ReadCalls)/s, "read-calls/s")
}
