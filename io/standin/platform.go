package standin

import (
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"oleandervalve"
	"oleandervalve/io/platformhttp"
)

// Behaviour is the actual behaviour of a kind of task, regardless of what its
// specification declares.
type Behaviour struct {
	// Size is the actual usage; zero means as declared.
	Size oleandervalve.Resources
	// Work is the actual run time; zero means as declared.
	Work time.Duration
	// Interference is the slowdown that a task of this kind adds to each co-located
	// task when it is not throttled.
	Interference float64
	// Fails makes every run fail.
	Fails bool
}

// PlatformConfig configures the stand-in of the worker platform.
type PlatformConfig struct {
	Workers   map[oleandervalve.WorkerID]oleandervalve.Resources
	Behaviour map[oleandervalve.KindName]Behaviour
	// UsageLag is the age of the newest usage sample.
	UsageLag time.Duration
	// Load returns the content of a checkpoint.
	Load func(name string) []byte
	Seed uint64
}

type platformTask struct {
	spec        oleandervalve.TaskSpec
	state       oleandervalve.PlatformTaskState
	progress    time.Duration
	share       float64
	leaseExpiry time.Time
	advancedAt  time.Time
	slowdown    float64
	failsFast   bool
}

// Platform is the stand-in of the worker platform. It starts every task that it
// is asked to start, even beyond a worker's capacity, and counts violations.
type Platform struct {
	// Faults are the faults injected into calls.
	Faults *Faults

	clock      oleandervalve.Clock
	config     PlatformConfig
	mu         sync.Mutex
	tasks      map[oleandervalve.WorkerID]map[oleandervalve.TaskID]*platformTask
	terminated map[oleandervalve.WorkerID]bool
	broken     map[oleandervalve.WorkerID]bool
	samples    map[oleandervalve.WorkerID][]oleandervalve.UsageSample
	counts     PlatformCounts
	resumes    map[string]int
	// stoppedEpochs holds the highest epoch of each task for which a stop was
	// requested; a start that arrives after its stop has no effect.
	stoppedEpochs map[oleandervalve.TaskID]oleandervalve.Epoch
}

// PlatformCounts counts the events and violations that the stand-in observed.
type PlatformCounts struct {
	Started      int `json:"started"`
	Finished     int `json:"finished"`
	Failed       int `json:"failed"`
	Stopped      int `json:"stopped"`
	DoubleRuns   int `json:"doubleRuns"`
	DoubleResume int `json:"doubleResume"`
	OverCapacity int `json:"overCapacity"`
	Throttles    int `json:"throttles"`
}

// NewPlatform returns a platform with the given workers.
func NewPlatform(clock oleandervalve.Clock, c PlatformConfig) *Platform {
	return &Platform{
		Faults: NewFaults(c.Seed), clock: clock, config: c,
		tasks:         map[oleandervalve.WorkerID]map[oleandervalve.TaskID]*platformTask{},
		terminated:    map[oleandervalve.WorkerID]bool{},
		broken:        map[oleandervalve.WorkerID]bool{},
		samples:       map[oleandervalve.WorkerID][]oleandervalve.UsageSample{},
		resumes:       map[string]int{},
		stoppedEpochs: map[oleandervalve.TaskID]oleandervalve.Epoch{},
	}
}

// Counts returns the counts so far.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advanceAll()
	return p.counts
}

// TerminateWorker terminates a worker and stops all its tasks.
func (p *Platform) TerminateWorker(w oleandervalve.WorkerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advanceAll()
	p.terminated[w] = true
	for _, t := range p.tasks[w] {
		p.endTask(t, oleandervalve.PlatformStopped)
	}
}

// Slowdown returns the factor by which the tasks of a worker slow down a
// co-located service.
func (p *Platform) Slowdown(w oleandervalve.WorkerID) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advanceAll()
	return p.slowdown(w, nil)
}

// SetBroken sets whether every task that starts on a worker fails immediately.
func (p *Platform) SetBroken(w oleandervalve.WorkerID, broken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken[w] = broken
}

// Handler serves the platform over HTTP.
func (p *Platform) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/faults", p.Faults.serveFaults).Methods(http.MethodPut)
	m.HandleFunc("/v1/workers/{worker}/{operation}", func(w http.ResponseWriter, r *http.Request) {
		var q platformhttp.Request
		if !decode(w, r, &q) {
			return
		}
		v := mux.Vars(r)
		p.Faults.serveWithFault(w, r, v["operation"], func() (int, any) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.advanceAll()
			return p.handle(oleandervalve.WorkerID(v["worker"]), v["operation"], q)
		})
	}).Methods(http.MethodPost)
	return m
}

func (p *Platform) handle(w oleandervalve.WorkerID, operation string, q platformhttp.Request) (int, any) {
	if _, known := p.config.Workers[w]; !known {
		return http.StatusNotFound, platformhttp.Response{}
	}
	if p.terminated[w] && operation != "status" {
		return http.StatusGone, platformhttp.Response{}
	}
	switch operation {
	case "start":
		if q.Spec.Epoch <= p.stoppedEpochs[q.Spec.Task] {
			return http.StatusGone, platformhttp.Response{}
		}
		p.start(w, q)
		return http.StatusOK, platformhttp.Response{}
	case "renew":
		for _, id := range q.Tasks {
			if t := p.tasks[w][id]; t != nil && t.state == oleandervalve.PlatformRunning {
				t.leaseExpiry = p.clock.Now().Add(q.Lease)
			}
		}
		return http.StatusOK, platformhttp.Response{}
	case "status":
		return http.StatusOK, platformhttp.Response{Status: p.status(w)}
	case "usage":
		return http.StatusOK, platformhttp.Response{Samples: p.usage(w, q.Since)}
	}
	if operation == "stop" {
		p.stoppedEpochs[q.Task] = max(q.Epoch, p.stoppedEpochs[q.Task])
	}
	t := p.tasks[w][q.Task]
	if t == nil || t.spec.Epoch != q.Epoch && operation != "throttle" {
		return http.StatusNotFound, platformhttp.Response{}
	}
	switch operation {
	case "stop":
		p.endTask(t, oleandervalve.PlatformStopped)
	case "checkpoint":
		return http.StatusOK, platformhttp.Response{Checkpoint: []byte(strconv.FormatInt(int64(t.progress), 10))}
	case "throttle":
		t.share = q.Share
		p.counts.Throttles++
	}
	return http.StatusOK, platformhttp.Response{}
}

func (p *Platform) start(w oleandervalve.WorkerID, q platformhttp.Request) {
	if old := p.tasks[w][q.Spec.Task]; old != nil && old.spec.Epoch == q.Spec.Epoch {
		return
	}
	for _, tasks := range p.tasks {
		if t := tasks[q.Spec.Task]; t != nil && t.state == oleandervalve.PlatformRunning {
			p.counts.DoubleRuns++
		}
	}
	now := p.clock.Now()
	t := &platformTask{
		spec: q.Spec, state: oleandervalve.PlatformRunning, share: 1, slowdown: 1,
		leaseExpiry: now.Add(q.Lease), advancedAt: now, failsFast: p.broken[w],
	}
	if q.Spec.Checkpoint != "" {
		if p.resumes[q.Spec.Checkpoint]++; p.resumes[q.Spec.Checkpoint] > 1 {
			p.counts.DoubleResume++
		}
		if p.config.Load != nil {
			n, _ := strconv.ParseInt(string(p.config.Load(q.Spec.Checkpoint)), 10, 64)
			t.progress = time.Duration(n)
		}
	}
	if p.tasks[w] == nil {
		p.tasks[w] = map[oleandervalve.TaskID]*platformTask{}
	}
	p.tasks[w][q.Spec.Task] = t
	p.counts.Started++
	var sum oleandervalve.Resources
	for _, x := range p.tasks[w] {
		if x.state == oleandervalve.PlatformRunning {
			sum = sum.Add(x.spec.Size)
		}
	}
	if !sum.Fits(p.config.Workers[w]) {
		p.counts.OverCapacity++
	}
}

func (p *Platform) endTask(t *platformTask, s oleandervalve.PlatformTaskState) {
	if t.state != oleandervalve.PlatformRunning {
		return
	}
	t.state = s
	switch s {
	case oleandervalve.PlatformFinished:
		p.counts.Finished++
	case oleandervalve.PlatformFailed:
		p.counts.Failed++
	case oleandervalve.PlatformStopped:
		p.counts.Stopped++
	}
}

func (p *Platform) advanceAll() {
	now := p.clock.Now()
	for w, tasks := range p.tasks {
		p.advanceWorker(w, tasks, now)
	}
}

func (p *Platform) advanceWorker(w oleandervalve.WorkerID, tasks map[oleandervalve.TaskID]*platformTask, now time.Time) {
	for _, t := range tasks {
		if t.state != oleandervalve.PlatformRunning {
			continue
		}
		until := now
		if t.leaseExpiry.Before(until) {
			until = t.leaseExpiry
		}
		t.slowdown = p.slowdown(w, t)
		t.progress += time.Duration(float64(oleandervalve.Elapsed(until, t.advancedAt)) * t.share / t.slowdown)
		t.advancedAt = now
		b := p.config.Behaviour[t.spec.Kind]
		work := t.spec.Work
		if b.Work > 0 {
			work = b.Work
		}
		switch {
		case t.failsFast || b.Fails:
			p.endTask(t, oleandervalve.PlatformFailed)
		case work > 0 && t.progress >= work:
			p.endTask(t, oleandervalve.PlatformFinished)
		case !t.leaseExpiry.After(now):
			p.endTask(t, oleandervalve.PlatformStopped)
		}
	}
}

// slowdown returns the factor by which a task is slowed down by co-located tasks
// and by CPU overcommitment.
func (p *Platform) slowdown(w oleandervalve.WorkerID, t *platformTask) float64 {
	s := 1.0
	var used oleandervalve.Millicores
	for _, x := range p.tasks[w] {
		if x.state != oleandervalve.PlatformRunning {
			continue
		}
		used += oleandervalve.Millicores(float64(p.actualUsage(x).CPU) * x.share)
		if x != t {
			s += p.config.Behaviour[x.spec.Kind].Interference * x.share
		}
	}
	if c := p.config.Workers[w].CPU; c > 0 && used > c {
		s *= float64(used) / float64(c)
	}
	return s
}

func (p *Platform) actualUsage(t *platformTask) oleandervalve.Resources {
	if b := p.config.Behaviour[t.spec.Kind]; b.Size != (oleandervalve.Resources{}) {
		return b.Size
	}
	return t.spec.Size
}

func (p *Platform) status(w oleandervalve.WorkerID) oleandervalve.WorkerStatus {
	s := oleandervalve.WorkerStatus{Worker: w, Terminated: p.terminated[w], Capacity: p.config.Workers[w]}
	for _, t := range p.tasks[w] {
		reason := ""
		if t.state == oleandervalve.PlatformFailed {
			reason = "task exited with an error"
		}
		progress := 0.0
		if t.spec.Work > 0 {
			progress = min(1, float64(t.progress)/float64(t.spec.Work))
		}
		s.Tasks = append(s.Tasks, oleandervalve.PlatformTask{Spec: t.spec, State: t.state, Progress: progress, Reason: reason})
	}
	sort.Slice(s.Tasks, func(i, j int) bool { return s.Tasks[i].Spec.Task < s.Tasks[j].Spec.Task })
	return s
}

// usage adds a sample per running task and returns the samples that are at least
// UsageLag old.
func (p *Platform) usage(w oleandervalve.WorkerID, since time.Time) []oleandervalve.UsageSample {
	now := p.clock.Now()
	for id, t := range p.tasks[w] {
		if t.state == oleandervalve.PlatformRunning {
			p.samples[w] = append(p.samples[w], oleandervalve.UsageSample{
				Task: id, Epoch: t.spec.Epoch, At: now, Used: p.actualUsage(t), Slowdown: p.slowdown(w, t),
			})
		}
	}
	var visible, keep []oleandervalve.UsageSample
	for _, s := range p.samples[w] {
		age := now.Sub(s.At)
		if age >= p.config.UsageLag && s.At.After(since) {
			visible = append(visible, s)
		}
		if age < p.config.UsageLag+time.Minute {
			keep = append(keep, s)
		}
	}
	p.samples[w] = keep
	return visible
}
