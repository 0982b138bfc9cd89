package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"oleandervalve/platform/emulator"
)

const (
	entries  = 2
	machines = 8
	binary   = "target/oleandervalve"
	host     = "review.example"
	prefix   = "/lohu930/"
	service  = "huvo11a"
)

// settings are those of a small deployment.
const settings = `region=z
zones.z-1=z
zones.z-2=z
bootstrap=true
lossCounts=false
limits.cpuShare=1
limits.cores=1
limits.memoryMb=284
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=local
entry=vip
heartbeatMs=1500
contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing
faultTolerance.machines=2
faultTolerance.zones=0
faultTolerance.regions=0
bounds.seedLagS=3
bounds.addrReuseS=2
bounds.contactMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=6
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.maxStretchMs=5000
bounds.recoveryS=12
bounds.maxHoldMs=10000
bounds.stopMs=200
bounds.gangTimeoutMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.remoteFactor=1.5
bounds.checkpointS=1
bounds.restoreMs=100
bounds.noticeMs=4500
bounds.moveS=1.5
bounds.maintenanceS=2
bounds.enforceFencing=false
bounds.leaseMs=3000
bounds.thawMs=300
bounds.paceMs=100
bounds.harmMs=4000
orders=request
platform.form=table
platform.writesPerS=800
platform.readsPerS=2000
platform.txMs=5.0
platform.partitionWritesS=200
platform.rowBytes=65536
platform.across=false
platform.historyS=20
platform.blobBytes=8388608
platform.blobMs=25.0
platform.blobMbS=80.0
cloudApi.ratePerS=60.0
cloudApi.duties=
cloudApi.dutyPerS=60.0
`

const configuration = `{"version":3,"routes":[{"name":"r-1","host":"` + host + `","pathPrefix":"` + prefix + `","timeoutMs":3000,"targetLatencyMs":250,"priority":0,"service":"` + service + `","maxAttempts":3,"stretch":1.5}],"services":[{"name":"` + service + `","admissionCheck":false}],"limits":{"maxBodyBytes":262144}}`

// machine is an instance with an agent and an executor.
type machine struct {
	name, zone      string
	agent, executor *child
	control, app    string
	// gate is nil if the agent calls the executor directly.
	gate *gate
}

// child is a process that the case has started.
type child struct {
	name string
	args []string
	env  []string
	cmd  *exec.Cmd
	done chan struct{}
}

// deployment is a small deployment with its stand-ins.
type deployment struct {
	trouble bool
	folder  string
	started time.Time
	// bounds are settings that differ from those above, and zones the zones of the machines, in turn.
	bounds []string
	zones  []string
	// gated means that agents call their executors through gates.
	gated bool
	// ip is the loopback address of this run, so that other programs don't take its ports.
	ip       string
	platform *emulator.Table
	table    string
	fronts   []string
	ready    []string
	seeds    []string
	machines []*machine
	client   *http.Client

	mu       sync.Mutex
	file     *os.File
	children []*child
	events   []event
	changed  chan struct{}
}

func newDeployment(recordPath string, trouble bool) (*deployment, error) {
	f, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		ip:      net.IPv4(127, byte(1+rand.IntN(254)), byte(rand.IntN(256)), byte(1+rand.IntN(254))).String(),
		zones:   []string{"z-1"},
		trouble: trouble, folder: folder, started: time.Now(), file: f, changed: make(chan struct{}),
		client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	d.record("trouble: %v", trouble)
	return d, nil
}

// close ends all processes that the case has started.
func (d *deployment) close() {
	d.mu.Lock()
	children := append([]*child(nil), d.children...)
	d.mu.Unlock()
	for _, c := range children {
		c.kill()
	}
	_ = os.RemoveAll(d.folder)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.file.Close()
}

// record adds a line to record.txt.
func (d *deployment) record(format string, values ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = fmt.Fprintf(d.file, "%8.3f %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, values...))
}

// seconds returns the time of an event since the begin of the case.
func (d *deployment) seconds(ms int64) float64 {
	return float64(ms-d.started.UnixMilli()) / 1000
}

func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func freeAddresses(ip string, n int) ([]string, error) {
	var out []string
	for len(out) < n {
		a, err := freeAddress(ip)
		if err != nil {
			return nil, err
		}
		if !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out, nil
}

func portOf(address string) string {
	_, port, _ := net.SplitHostPort(address)
	return port
}

// start starts a process and reads the events that it prints.
func (d *deployment) start(c *child) error {
	cmd := exec.Command(c.args[0], c.args[1:]...) //nolint:gosec // programs of this repository
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, c.env...)
	logFile, err := os.Create(filepath.Join(d.folder, c.name+".log"))
	if err != nil {
		return err
	}
	cmd.Stderr = logFile
	var out io.ReadCloser
	if c.env == nil {
		if out, err = cmd.StdoutPipe(); err != nil {
			return err
		}
	} else {
		cmd.Stdout = logFile
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	c.cmd, c.done = cmd, make(chan struct{})
	d.mu.Lock()
	d.children = append(d.children, c)
	d.mu.Unlock()
	if out != nil {
		go d.readEvents(out)
	}
	go func(done chan struct{}) {
		_ = cmd.Wait()
		logFile.Close()
		close(done)
	}(c.done)
	return nil
}

func (d *deployment) readEvents(r io.Reader) {
	for lines := bufio.NewScanner(r); lines.Scan(); {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			continue
		}
		d.record("executor %s: %s %s run %d at %.3f", e.Executor, e.What, e.Task, e.Run, d.seconds(e.AtMs))
		d.mu.Lock()
		d.events = append(d.events, e)
		close(d.changed)
		d.changed = make(chan struct{})
		d.mu.Unlock()
	}
}

// kill ends a process with SIGKILL.
func (c *child) kill() {
	if c.cmd == nil {
		return
	}
	_ = c.cmd.Process.Signal(syscall.SIGKILL)
	<-c.done
}

// await waits until a function of the events is true. It reports false after the timeout.
func (d *deployment) await(timeout time.Duration, found func([]event) bool) bool {
	end := time.After(timeout)
	for {
		d.mu.Lock()
		ok, changed := found(d.events), d.changed
		d.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-changed:
		case <-end:
			return false
		}
	}
}

// allEvents returns the events so far.
func (d *deployment) allEvents() []event {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]event(nil), d.events...)
}

// startAll starts the platform, entries, agents and executors, and waits until the entries are ready.
func (d *deployment) startAll() error {
	l, err := net.Listen("tcp", d.ip+":0")
	if err != nil {
		return err
	}
	d.platform = emulator.NewTable(1)
	d.platform.Put("op", "", "config", []byte(configuration))
	d.table = l.Addr().String()
	go func() { _ = http.Serve(l, d.platform.Handler()) }() //nolint:gosec // a stand-in on a loopback address
	addresses, err := freeAddresses(d.ip, 4*entries+4*machines)
	if err != nil {
		return err
	}
	next := func() string {
		a := addresses[0]
		addresses = addresses[1:]
		return a
	}
	type entryAddresses struct{ front, ready, control, metrics string }
	var all []entryAddresses
	for range entries {
		a := entryAddresses{next(), next(), next(), next()}
		all = append(all, a)
		d.seeds = append(d.seeds, a.control)
		d.fronts, d.ready = append(d.fronts, a.front), append(d.ready, a.ready)
	}
	for i, a := range all {
		name := fmt.Sprintf("edge-%d", i+1)
		lines := "serves=edge,control_plane\nlisten.front=" + a.front + "\nlisten.readyAddr=" + a.ready
		if _, err := d.startHosted("hosted-entry", name, "edge", d.zones[0], a.control, a.metrics, lines); err != nil {
			return err
		}
	}
	for i := range machines {
		m := &machine{name: fmt.Sprintf("side-%d", i+1), zone: d.zones[i%len(d.zones)], control: next(), app: next()}
		app := m.app
		if d.gated {
			app = next()
			m.gate = newGate(app, m.app)
			if err := m.gate.open(); err != nil {
				return err
			}
		}
		c, err := d.startHosted("hosted-agent", m.name, "side", m.zone, m.control, next(), "serves=side\napp="+app)
		if err != nil {
			return err
		}
		m.agent = c
		m.executor = &child{name: m.name + "-executor", args: []string{
			os.Args[0], "executor", "--id", "i-" + m.name, "--service", service, "--listen", m.app, "--agent", m.control, "--zone", m.zone,
		}}
		if err := d.start(m.executor); err != nil {
			return err
		}
		d.machines = append(d.machines, m)
	}
	return d.awaitReady()
}

// startHosted starts a program with the command of the deploy file.
func (d *deployment) startHosted(command, name, class, zone, control, metrics, lines string) (*child, error) {
	text := settings + strings.Join(d.bounds, "\n") + "\n" + strings.Join([]string{
		"nodeName=" + name, "role=" + strings.TrimPrefix(command, "hosted-"), "machineClass=" + class, "ip=" + d.ip, "zone=" + zone, "listen.controlAddr=" + control,
		"portRange=" + portOf(metrics) + "," + portOf(metrics), "seeds=" + strings.Join(d.seeds[:min(3, len(d.seeds))], ","), "platform.address=" + d.table, lines,
	}, "\n") + "\n"
	path := filepath.Join(d.folder, name+".conf")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	c := &child{name: name, args: []string{binary, command}, env: []string{"OLEANDERVALVE_BOOT=" + path}}
	return c, d.start(c)
}

// awaitReady waits until all entries are ready, and then for the first heartbeats.
func (d *deployment) awaitReady() error {
	end := time.Now().Add(20 * time.Second)
	for _, a := range d.ready {
		for {
			r, err := d.client.Get("http://" + a + "/ready")
			if err == nil {
				r.Body.Close()
				if r.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return errors.New("the entries are not ready after 20 s")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(5 * time.Second) // longer than contactMs
	d.record("entries are ready")
	return nil
}

// call sends a request to an entry and records the answer.
func (d *deployment) call(entry int, method, name, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+d.fronts[entry]+prefix+name, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", "3000")
	r, err := d.client.Do(request)
	if err != nil {
		d.record("client: %s %s: no answer: %v", method, name, err)
		return 0, ""
	}
	defer r.Body.Close()
	b, _ := io.ReadAll(r.Body)
	d.record("client: %s %s %s -> %d %s", method, name, body, r.StatusCode, strings.TrimSpace(string(b)))
	return r.StatusCode, string(b)
}

// submit hands a job in, with up to four retries.
func (d *deployment) submit(id, body string) error {
	for i := range 5 {
		status, _ := d.call(i%len(d.fronts), http.MethodPost, id, body)
		if status >= 200 && status < 300 {
			return nil
		}
		time.Sleep(time.Second)
	}
	return errors.New("the job was not accepted")
}

// machineOf returns the machine of an executor.
func (d *deployment) machineOf(executor string) *machine {
	for _, m := range d.machines {
		if "i-"+m.name == executor {
			return m
		}
	}
	return nil
}
