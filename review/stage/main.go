package main

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"oleandervalve/platform/emulator"
)

const (
	host = "stage.example"
	// urgent and batch are the prefixes of two queues, of priority 0 and 2.
	urgent      = "/heat/"
	batch       = "/press/"
	service     = "press"
	executorCPU = 8000
	// heartbeatInterval is the time between two heartbeats of an executor.
	heartbeatInterval = 1500 * time.Millisecond
)

// configuration is the operator's configuration.
const configuration = `{"version":1,"routes":[
{"name":"r-1","host":"stage.example","pathPrefix":"/heat/","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":250,"priority":0,"service":"press","maxAttempts":3,"stretch":1.5},
{"name":"r-2","host":"stage.example","pathPrefix":"/press/","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":1000,"priority":2,"service":"press","maxAttempts":2,"stretch":2}],
"services":[{"name":"press","healthPath":"/health","maxConnections":64,"protocol":"h1","tls":false,"admissionCheck":false,"spare":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// entries is the number of entries of a deployment.
const entries = 2

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// deployment is a small deployment: entries, and executors with an agent beside each.
type deployment struct {
	dir, binary string
	trouble     bool
	rec         *record
	table       *emulator.Table
	tableServer *http.Server
	tableAt     string
	entries     []*hosted
	fronts      []string
	agents      []*hosted
	executors   []*executor
	client      *http.Client
	// calls is the number of requests of callers.
	calls   atomic.Int64
	closers []func()
	// labels returns the labels of an executor; nil means one kind, one executor a rack.
	labels func(i int) []string
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	binary := flag.String("binary", "target/oleandervalve", "the project's program")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play := cases[*name]
	out, err := os.Create(*recordPath)
	if play == nil || err != nil {
		fmt.Fprintln(os.Stderr, "no such case, or no record:", *name, err)
		return exitNotRun
	}
	defer out.Close()
	dir, err := os.MkdirTemp("", "stage")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	d := &deployment{
		dir: dir, trouble: os.Getenv("TROUBLE") != "0", client: &http.Client{Timeout: 3 * time.Second},
		rec: &record{began: time.Now(), out: out, runs: map[string]map[string]uint64{}},
	}
	d.binary, _ = filepath.Abs(*binary)
	defer func() {
		d.close()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir) // a temporary folder
		}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	played := make(chan error, 1)
	go func() { played <- play(d) }()
	select {
	case err = <-played:
	case s := <-stopped:
		err = fmt.Errorf("stopped by %v", s)
	}
	if err != nil {
		d.rec.logf("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err, "logs in", dir)
		return exitNotRun
	}
	problems := d.rec.summary()
	for _, p := range problems {
		fmt.Println(p)
	}
	if len(problems) > 0 {
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}

// start starts the deployment and waits until an entry is ready and the agents know their executors.
func (d *deployment) start(executors int, runTime func(task string) time.Duration) error {
	a, err := freeAddresses(newIP(), 4*entries+3*executors+1)
	if err != nil {
		return err
	}
	d.table = emulator.NewTable(1)
	l, err := listen(a[len(a)-1])
	if err != nil {
		return err
	}
	d.tableAt = l.Addr().String()
	d.tableServer = &http.Server{Handler: d.table.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = d.tableServer.Serve(l) }() // returns when the server is closed
	d.table.Put("op", "", "config", []byte(configuration))
	var seeds []string
	for i := range entries {
		seeds = append(seeds, a[4*i+2])
	}
	for i := range entries {
		b := a[4*i:]
		h, err := startHosted(d.dir, d.binary, "hosted-entry", fmt.Sprintf("edge-%d", i+1), settingsOf(fmt.Sprintf("edge-%d", i+1), "edge", b[0], b[1], b[2], b[3], d.tableAt, "", seeds))
		if err != nil {
			return err
		}
		d.entries, d.fronts = append(d.entries, h), append(d.fronts, b[0])
	}
	for i := range executors {
		b := a[4*entries+3*i:]
		labels := []string{"a", fmt.Sprintf("r%d", i+1)}
		if d.labels != nil {
			labels = d.labels(i)
		}
		path, err := newLink(b[1])
		if err != nil {
			return err
		}
		d.closers = append(d.closers, func() { _ = path.listener.Close() })
		x := &executor{id: fmt.Sprintf("i-%04d", i+1), address: b[0], path: path, labels: labels, rec: d.rec, runTime: runTime, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
		h, err := startHosted(d.dir, d.binary, "hosted-agent", fmt.Sprintf("side-%d", i+1), settingsOf(fmt.Sprintf("side-%d", i+1), "side", "", "", b[1], b[2], d.tableAt, b[0], seeds))
		if err != nil {
			return err
		}
		d.agents, d.executors = append(d.agents, h), append(d.executors, x)
		if err := x.begin(); err != nil {
			return err
		}
	}
	for range 100 {
		if status, _ := d.call(http.MethodGet, urgent, nil); status == http.StatusOK {
			time.Sleep(3 * time.Second) // the agents join
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("no entry has become ready")
}

// close ends everything that was started.
func (d *deployment) close() {
	for _, h := range append(d.entries, d.agents...) {
		h.close()
	}
	for _, x := range d.executors {
		x.end("the case is over")
	}
	for _, f := range d.closers {
		f()
	}
	if d.tableServer != nil {
		_ = d.tableServer.Close() // nobody is left who calls it
	}
}

// call sends a request of a caller to the next entry, and returns the status and the body of the
// answer.
func (d *deployment) call(method, path string, body []byte) (int, string) {
	entry := int(d.calls.Add(1)) % len(d.fronts)
	request, err := http.NewRequest(method, "http://"+d.fronts[entry]+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = host
	request.Header.Set("X-Deadline-Ms", "3000")
	request.Header.Set("Content-Type", "application/json")
	response, err := d.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	b, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(b)
}
