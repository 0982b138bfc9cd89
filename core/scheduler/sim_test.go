package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"k8s.io/apimachinery/pkg/labels"

	"oleandervalve"
	"oleandervalve/core/worker"
)

const (
	gib                = oleandervalve.Bytes(1) << 30
	tick               = 5 * time.Second
	sampleLag          = 30 * time.Second
	checkpointInterval = time.Minute
	memoryRampUp       = time.Minute // the memory of a task grows to its full size during this time
	restartTime        = 15 * time.Second
	warmUp             = 20 * time.Minute
	measuredPeriod     = 2 * time.Hour
	simWorkers         = 40
	lcKinds            = 6
	batchKinds         = 8
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type simKind struct {
	name            oleandervalve.KindName
	size, declared  oleandervalve.Resources
	latencyCritical bool
	work            time.Duration
}

type simTask struct {
	task         worker.Task
	kind         int
	worker       int
	startedAt    time.Time
	readyAt      time.Time
	stopAt       time.Time // zero if the task is not being stopped
	share        float64
	progress     time.Duration
	checkpointed time.Duration
	slowdown     float64
}

type simWorker struct {
	id     oleandervalve.WorkerID
	faulty bool
	tasks  []*simTask
}

// sim is a deterministic simulation of workers that start every task they are given.
// The slowdown of a task is the sum of its interference with each co-located kind,
// scaled by the processor load; usage samples describe the state of 30 s before.
type sim struct {
	r              *rand.Rand
	arrivals       *rand.Rand // a generator of its own, so that all policies get the same jobs
	now            time.Time
	kinds          []simKind
	interference   [][]float64
	workers        []*simWorker
	capacity       oleandervalve.Resources
	running        map[oleandervalve.TaskID]*simTask
	allTasks       map[oleandervalve.TaskID]*simTask
	delayedSamples []oleandervalve.UsageSample
	s              *Scheduler
	submitsBatch   bool
	lastJob        int

	latency                               *hdrhistogram.Histogram
	finished, evictions, oomKills, failed int
	finishedBy                            [lcKinds + batchKinds]int
	finishedWork, wastedWork              time.Duration
	throttles                             int
	reasons                               map[oleandervalve.Reason]int
	maxEvictions                          int
}

func newSim(c Config, seed uint64, submitsBatch, faulty bool) *sim {
	// One tick covers five seconds and so the attempts of many steps.
	c.Queue.MaxAttempts, c.Queue.MaxReclaimScans = 1000, 4
	r := rand.New(rand.NewPCG(seed, 1))
	m := &sim{
		r: r, arrivals: rand.New(rand.NewPCG(seed, 2)), now: epoch, s: New(c), submitsBatch: submitsBatch,
		capacity: oleandervalve.Resources{CPU: 16000, Memory: 64 * gib},
		running:  map[oleandervalve.TaskID]*simTask{}, allTasks: map[oleandervalve.TaskID]*simTask{},
		reasons: map[oleandervalve.Reason]int{},
		latency: hdrhistogram.New(1, 10_000_000, 3),
	}
	for i := range lcKinds + batchKinds {
		k := simKind{latencyCritical: i < lcKinds, name: oleandervalve.KindName(fmt.Sprintf("kind%02d", i))}
		k.size = oleandervalve.Resources{CPU: 1000, Memory: 3 * gib}
		k.declared = k.size
		if !k.latencyCritical {
			k.size = oleandervalve.Resources{CPU: oleandervalve.Millicores(500 + r.IntN(2500)), Memory: gib + oleandervalve.Bytes(r.Int64N(int64(7*gib)))}
			// Declared sizes are off by up to ten times in either direction.
			k.declared.CPU = min(oleandervalve.Millicores(float64(k.size.CPU)*math.Pow(10, 2*r.Float64()-1)), m.capacity.CPU/2)
			k.declared.Memory = min(oleandervalve.Bytes(float64(k.size.Memory)*math.Pow(10, 2*r.Float64()-1)), m.capacity.Memory/2)
			k.work = time.Duration(120+r.IntN(600)) * time.Second
		}
		m.kinds = append(m.kinds, k)
	}
	for range m.kinds {
		row := make([]float64, len(m.kinds))
		for a := lcKinds; a < len(row); a++ {
			row[a] = 0.01 * r.Float64()
			if r.Float64() < 0.15 {
				row[a] = 0.05 + 0.10*r.Float64()
			}
		}
		m.interference = append(m.interference, row)
	}
	for i := range simWorkers {
		w := &simWorker{id: oleandervalve.WorkerID(fmt.Sprintf("w%03d", i)), faulty: faulty && i%20 == 7}
		m.workers = append(m.workers, w)
		m.s.UpdateWorker(w.id, simLocation(i), labels.Set{}, m.capacity)
	}
	total := m.s.Fleet().Total()
	for i := range 10 {
		m.s.SetQuota(simTeam(i), oleandervalve.Resources{CPU: total.CPU / 10, Memory: total.Memory / 10})
	}
	for k := range lcKinds {
		m.deploy(k)
	}
	return m
}

// deploy starts a latency-critical job on half of the workers. All policies begin
// with the same placement of these jobs: first fit would otherwise pack them on a few
// workers without batch tasks, and nothing would be co-located.
func (m *sim) deploy(k int) {
	for i, w := range m.arrivals.Perm(simWorkers)[:simWorkers/2] {
		if i == 0 {
			m.submit(k, simWorkers/2)
		}
		t := m.allTasks[oleandervalve.TaskID(fmt.Sprintf("j%d/%d", m.lastJob, i))]
		if err := m.s.Adopt(t.task, m.workers[w].id, t.task.Declared, m.now); err != nil {
			panic(err)
		}
		t.worker, t.startedAt, t.readyAt, t.share = w, m.now, m.now, 1
		m.workers[w].tasks = append(m.workers[w].tasks, t)
		m.running[t.task.ID] = t
	}
}

func simLocation(i int) oleandervalve.Location {
	dc := i / 3 % 8
	return oleandervalve.Location{
		Region:     oleandervalve.RegionID(fmt.Sprint("r", dc/4)),
		DataCentre: oleandervalve.DataCentreID(fmt.Sprint("d", dc)),
		Rack:       oleandervalve.RackID(fmt.Sprint("k", i/3)),
	}
}

func simTeam(i int) oleandervalve.TeamID { return oleandervalve.TeamID(fmt.Sprintf("t%d", i)) }

// submit creates a job with n tasks of kind k, and submits the tasks unless they are
// latency-critical.
func (m *sim) submit(k, n int) {
	m.lastJob++
	spec := &worker.Spec{
		Job: oleandervalve.JobID(fmt.Sprintf("j%d", m.lastJob)), Kind: m.kinds[k].name, Team: simTeam(m.lastJob % 10),
		Declared: m.kinds[k].declared, LatencyCritical: m.kinds[k].latencyCritical, Urgent: m.kinds[k].latencyCritical, Tasks: n,
	}
	for i := range n {
		t := &simTask{kind: k, task: worker.Task{ID: oleandervalve.TaskID(fmt.Sprintf("%s/%d", spec.Job, i)), Epoch: 1, Spec: spec}}
		m.allTasks[t.task.ID] = t
		if !m.kinds[k].latencyCritical {
			m.s.Submit(m.now, t.task)
		}
	}
}

// demand returns the processor demand of a worker.
func (m *sim) demand(w *simWorker) float64 {
	var d float64
	for _, t := range w.tasks {
		d += float64(m.kinds[t.kind].size.CPU) * t.share
	}
	return d
}

// slowdowns sets the slowdown of each task of a worker from the tasks co-located with it
// and the processor load.
func (m *sim) slowdowns(w *simWorker) {
	load := m.demand(w) / float64(m.capacity.CPU)
	factor := 1.3
	for _, l := range []struct{ load, factor float64 }{{0.4, 0.3}, {0.6, 0.6}, {0.8, 1}} {
		if load < l.load {
			factor = l.factor
			break
		}
	}
	var effectiveCount [lcKinds + batchKinds]float64
	for _, t := range w.tasks {
		effectiveCount[t.kind] += t.share
	}
	for _, t := range w.tasks {
		t.slowdown = 1
		for k, n := range effectiveCount {
			if k == t.kind {
				n -= t.share
			}
			t.slowdown += n * m.interference[t.kind][k] * factor
		}
		t.slowdown *= max(1, load)
	}
}

// memory returns the memory use of a task, which grows during memoryRampUp.
func (t *simTask) memory(k simKind, now time.Time) oleandervalve.Bytes {
	return oleandervalve.Bytes(float64(k.size.Memory) * min(1, 0.2+0.8*now.Sub(t.startedAt).Seconds()/memoryRampUp.Seconds()))
}

// run advances the simulation to its end and returns it; the counters cover the
// time after the warm-up.
func (m *sim) run() *sim {
	for step := 0; m.now.Sub(epoch) < warmUp+measuredPeriod; step++ {
		if m.now.Sub(epoch) == warmUp {
			m.latency.Reset()
			m.finished, m.evictions, m.oomKills, m.failed, m.throttles, m.finishedWork, m.wastedWork = 0, 0, 0, 0, 0, 0, 0
			clear(m.reasons)
		}
		for m.submitsBatch && m.now.Sub(epoch) >= time.Minute && m.s.WaitingTasks() < 200 {
			m.submit(lcKinds+m.arrivals.IntN(batchKinds), 10)
		}
		for _, w := range m.workers {
			m.slowdowns(w)
			m.advance(w)
			if step%2 == 0 {
				m.measure(w)
			}
		}
		for len(m.delayedSamples) > 0 && m.now.Sub(m.delayedSamples[0].At) >= sampleLag {
			m.s.Sample(m.delayedSamples[0], m.now)
			m.delayedSamples = m.delayedSamples[1:]
		}
		m.apply(m.s.Step(m.now, 1000))
		m.now = m.now.Add(tick)
	}
	return m
}

// advance runs the tasks of a worker for one tick and ends those that fail, stop, finish
// or are killed.
func (m *sim) advance(w *simWorker) {
	var used oleandervalve.Bytes
	var largest *simTask
	for _, t := range slices.Clone(w.tasks) {
		k := m.kinds[t.kind]
		switch {
		case w.faulty && m.now.Sub(t.startedAt) >= 2*tick:
			m.removeTask(t, false)
			m.failed++
			m.apply(m.s.Failed(t.task.ID, m.now))
			continue
		case !t.stopAt.IsZero() && !m.now.Before(t.stopAt):
			m.removeTask(t, true)
			m.s.Stopped(t.task.ID, t.checkpointed, m.now)
			continue
		case k.latencyCritical:
			for range 4 {
				// Request times are log-normally distributed around the slowdown.
				_ = m.latency.RecordValue(int64(10000 * t.slowdown * math.Exp(0.2*m.r.NormFloat64())))
			}
		case !m.now.Before(t.readyAt):
			t.progress += time.Duration(float64(tick) * t.share / t.slowdown)
			if t.progress-t.checkpointed >= checkpointInterval {
				t.checkpointed = t.progress
				m.s.Checkpointed(t.task.ID, m.now)
			}
			if t.progress >= k.work {
				m.removeTask(t, true)
				m.finished++
				m.finishedBy[t.kind]++
				m.finishedWork += k.work
				m.apply(m.s.Finished(t.task.ID, m.now))
				delete(m.allTasks, t.task.ID)
				continue
			}
		}
		used += t.memory(k, m.now)
		if !k.latencyCritical && (largest == nil || t.memory(k, m.now) > largest.memory(m.kinds[largest.kind], m.now)) {
			largest = t
		}
	}
	if used > m.capacity.Memory && largest != nil {
		// The platform kills the largest task; it resumes from its last checkpoint.
		m.oomKills++
		m.removeTask(largest, true)
		m.s.Stopped(largest.task.ID, largest.checkpointed, m.now)
	}
}

func (m *sim) removeTask(t *simTask, losesWork bool) {
	w := m.workers[t.worker]
	w.tasks = slices.DeleteFunc(w.tasks, func(o *simTask) bool { return o == t })
	delete(m.running, t.task.ID)
	if losesWork && t.progress < m.kinds[t.kind].work {
		m.wastedWork += t.progress - t.checkpointed + restartTime
	}
	t.progress = t.checkpointed
}

// measure records a usage sample of each task of a worker.
func (m *sim) measure(w *simWorker) {
	overload := max(1, m.demand(w)/float64(m.capacity.CPU))
	for _, t := range w.tasks {
		k := m.kinds[t.kind]
		cpu := float64(k.size.CPU) * t.share / overload * (0.8 + 0.4*m.r.Float64())
		m.delayedSamples = append(m.delayedSamples, oleandervalve.UsageSample{
			Task: t.task.ID, Epoch: t.task.Epoch, At: m.now,
			Used:     oleandervalve.Resources{CPU: oleandervalve.Millicores(cpu), Memory: t.memory(k, m.now)},
			Slowdown: max(1, t.slowdown/t.share*(1+0.05*m.r.NormFloat64())),
		})
	}
}

// apply carries out decisions in place of the agents.
func (m *sim) apply(ds []Decision) {
	for _, d := range ds {
		t := m.allTasks[d.Task]
		switch d.Action {
		case Place:
			r := m.s.Fleet().Resident(d.Task)
			t.worker = slices.IndexFunc(m.workers, func(w *simWorker) bool { return w.id == d.Worker })
			t.startedAt, t.readyAt, t.stopAt, t.share = m.now, m.now, time.Time{}, 1
			if r.Evictions > 0 {
				t.readyAt = m.now.Add(restartTime)
			}
			m.maxEvictions = max(m.maxEvictions, r.Evictions)
			m.workers[t.worker].tasks = append(m.workers[t.worker].tasks, t)
			m.running[d.Task] = t
			m.s.Started(d.Task, m.now)
		case Evict:
			m.evictions++
			m.reasons[d.Reason]++
			t.stopAt = m.now.Add(2 * tick)
		case Throttle:
			m.throttles++
			t.share = d.Share
		}
	}
}
