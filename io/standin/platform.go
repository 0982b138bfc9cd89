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

// Behaviour is what a kind of task really does, whatever it declares.
type Behaviour struct {
	// Size is the true usage; zero means as declared.
	Size oleandervalve.Resources
	// Work is the true run time; zero means as declared.
	Work time.Duration
	// Pressure is how much the kind slows its neighbours down at full load.
	Pressure float64
	// Fails makes every run fail.
	Fails bool
}

// PlatformConfig describes the stand-in of the worker platform.
type PlatformConfig struct {
	Workers   map[oleandervalve.WorkerID]oleandervalve.Resources
	Behaviour map[oleandervalve.KindName]Behaviour
	// UsageLag is the age of the newest usage sample.
	UsageLag time.Duration
	// Load returns a checkpoint's body.
	Load func(name string) []byte
	Seed uint64
}

type platformTask struct {
	spec      oleandervalve.TaskSpec
	state     oleandervalve.PlatformTaskState
	progress  time.Duration
	throttle  float64
	lease     time.Time
	advanced  time.Time
	slowdown  float64
	failsFast bool
}

// Platform is the stand-in of the worker platform. It starts whatever it is
// told to, whether it fits or not, and counts what should not have happened.
type Platform struct {
	// Faults makes calls misbehave.
	Faults *Faults

	clock   oleandervalve.Clock
	config  PlatformConfig
	mu      sync.Mutex
	tasks   map[oleandervalve.WorkerID]map[oleandervalve.TaskID]*platformTask
	gone    map[oleandervalve.WorkerID]bool
	broken  map[oleandervalve.WorkerID]bool
	samples map[oleandervalve.WorkerID][]oleandervalve.UsageSample
	counts  PlatformCounts
	resumed map[string]int
	// stopped holds the highest epoch of each task that was told to stop; a
	// start that arrives later than its stop has no effect.
	stopped map[oleandervalve.TaskID]oleandervalve.Epoch
}

// PlatformCounts is what the stand-in observed.
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
		tasks:   map[oleandervalve.WorkerID]map[oleandervalve.TaskID]*platformTask{},
		gone:    map[oleandervalve.WorkerID]bool{},
		broken:  map[oleandervalve.WorkerID]bool{},
		samples: map[oleandervalve.WorkerID][]oleandervalve.UsageSample{},
		resumed: map[string]int{},
		stopped: map[oleandervalve.TaskID]oleandervalve.Epoch{},
	}
}

// Counts returns what was observed so far.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advanceAll()
	return p.counts
}

// Lose ends a worker and everything on it.
func (p *Platform) Lose(w oleandervalve.WorkerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advanceAll()
	p.gone[w] = true
	for _, t := range p.tasks[w] {
		p.end(t, oleandervalve.PlatformStopped)
	}
}

// Slowdown returns how much the tasks of a worker hold back a service beside them.
func (p *Platform) Slowdown(w oleandervalve.WorkerID) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advanceAll()
	return p.slowdown(w, nil)
}

// Break makes every task that starts on a worker fail at once, or repairs it.
func (p *Platform) Break(w oleandervalve.WorkerID, broken bool) {
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
		p.Faults.faulty(w, r, v["operation"], func() (int, any) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.advanceAll()
			return p.call(oleandervalve.WorkerID(v["worker"]), v["operation"], q)
		})
	}).Methods(http.MethodPost)
	return m
}

func (p *Platform) call(w oleandervalve.WorkerID, operation string, q platformhttp.Request) (int, any) {
	if _, known := p.config.Workers[w]; !known {
		return http.StatusNotFound, platformhttp.Response{}
	}
	if p.gone[w] && operation != "status" {
		return http.StatusGone, platformhttp.Response{}
	}
	switch operation {
	case "start":
		if q.Spec.Epoch <= p.stopped[q.Spec.Task] {
			return http.StatusGone, platformhttp.Response{}
		}
		p.start(w, q)
		return http.StatusOK, platformhttp.Response{}
	case "renew":
		for _, id := range q.Tasks {
			if t := p.tasks[w][id]; t != nil && t.state == oleandervalve.PlatformRunning {
				t.lease = p.clock.Now().Add(q.Lease)
			}
		}
		return http.StatusOK, platformhttp.Response{}
	case "status":
		return http.StatusOK, platformhttp.Response{Status: p.status(w)}
	case "usage":
		return http.StatusOK, platformhttp.Response{Samples: p.usage(w, q.Since)}
	}
	if operation == "stop" {
		p.stopped[q.Task] = max(q.Epoch, p.stopped[q.Task])
	}
	t := p.tasks[w][q.Task]
	if t == nil || t.spec.Epoch != q.Epoch && operation != "throttle" {
		return http.StatusNotFound, platformhttp.Response{}
	}
	switch operation {
	case "stop":
		p.end(t, oleandervalve.PlatformStopped)
	case "checkpoint":
		return http.StatusOK, platformhttp.Response{Checkpoint: []byte(strconv.FormatInt(int64(t.progress), 10))}
	case "throttle":
		t.throttle = q.Share
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
		spec: q.Spec, state: oleandervalve.PlatformRunning, throttle: 1, slowdown: 1,
		lease: now.Add(q.Lease), advanced: now, failsFast: p.broken[w],
	}
	if q.Spec.Checkpoint != "" {
		if p.resumed[q.Spec.Checkpoint]++; p.resumed[q.Spec.Checkpoint] > 1 {
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

func (p *Platform) end(t *platformTask, s oleandervalve.PlatformTaskState) {
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
		if t.lease.Before(until) {
			until = t.lease
		}
		t.slowdown = p.slowdown(w, t)
		t.progress += time.Duration(float64(oleandervalve.Elapsed(until, t.advanced)) * t.throttle / t.slowdown)
		t.advanced = now
		b := p.config.Behaviour[t.spec.Kind]
		work := t.spec.Work
		if b.Work > 0 {
			work = b.Work
		}
		switch {
		case t.failsFast || b.Fails:
			p.end(t, oleandervalve.PlatformFailed)
		case work > 0 && t.progress >= work:
			p.end(t, oleandervalve.PlatformFinished)
		case !t.lease.After(now):
			p.end(t, oleandervalve.PlatformStopped)
		}
	}
}

// slowdown is how much a task is held back by its neighbours.
func (p *Platform) slowdown(w oleandervalve.WorkerID, t *platformTask) float64 {
	s := 1.0
	var used oleandervalve.Millicores
	for _, x := range p.tasks[w] {
		if x.state != oleandervalve.PlatformRunning {
			continue
		}
		used += oleandervalve.Millicores(float64(p.used(x).CPU) * x.throttle)
		if x != t {
			s += p.config.Behaviour[x.spec.Kind].Pressure * x.throttle
		}
	}
	if c := p.config.Workers[w].CPU; c > 0 && used > c {
		s *= float64(used) / float64(c)
	}
	return s
}

func (p *Platform) used(t *platformTask) oleandervalve.Resources {
	if b := p.config.Behaviour[t.spec.Kind]; b.Size != (oleandervalve.Resources{}) {
		return b.Size
	}
	return t.spec.Size
}

func (p *Platform) status(w oleandervalve.WorkerID) oleandervalve.WorkerStatus {
	s := oleandervalve.WorkerStatus{Worker: w, Terminated: p.gone[w], Capacity: p.config.Workers[w]}
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

// usage adds a sample per running task and returns those old enough to be visible.
func (p *Platform) usage(w oleandervalve.WorkerID, since time.Time) []oleandervalve.UsageSample {
	now := p.clock.Now()
	for id, t := range p.tasks[w] {
		if t.state == oleandervalve.PlatformRunning {
			p.samples[w] = append(p.samples[w], oleandervalve.UsageSample{
				Task: id, Epoch: t.spec.Epoch, At: now, Used: p.used(t), Slowdown: p.slowdown(w, t),
			})
		}
	}
	var visible, keep []oleandervalve.UsageSample
	for _, s := range p.samples[w] {
		old := now.Sub(s.At)
		if old >= p.config.UsageLag && s.At.After(since) {
			visible = append(visible, s)
		}
		if old < p.config.UsageLag+time.Minute {
			keep = append(keep, s)
		}
	}
	p.samples[w] = keep
	return visible
}
