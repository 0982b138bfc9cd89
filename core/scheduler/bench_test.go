package scheduler

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"k8s.io/apimachinery/pkg/labels"

	"oleandervalve"
	"oleandervalve/core/worker"
)

// benchScheduler is a scheduler under load that grows with the number of workers: at
// 700 workers 1,400 accelerators, 3,600 latency-critical and 4,400 batch tasks,
// 290 teams and 5,000 queued jobs.
type benchScheduler struct {
	s                                         *Scheduler
	r                                         *rand.Rand
	now                                       time.Time
	running                                   []oleandervalve.TaskID
	lastJob                                   int
	bytesPerWorker, bytesPerTask, bytesPerJob float64
}

func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func newBenchScheduler(b *testing.B, workers int) *benchScheduler {
	l := &benchScheduler{s: New(DefaultConfig()), r: rand.New(rand.NewPCG(1, 1)), now: epoch}
	base := heapBytes()
	for i := range workers {
		capacity := oleandervalve.Resources{CPU: 32000, Memory: 128 * gib, Accelerators: oleandervalve.Accelerators(i % 2 * 4)}
		l.s.UpdateWorker(oleandervalve.WorkerID(fmt.Sprint("w", i)), simLocation(i), labels.Set{
			"disk": []string{"ssd", "hdd"}[i%3/2], "generation": fmt.Sprint("g", i%5),
		}, capacity)
	}
	l.bytesPerWorker = (heapBytes() - base) / float64(workers)
	total := l.s.fleet.Total()
	teams := oleandervalve.Resources{CPU: total.CPU / 290, Memory: total.Memory / 290, Accelerators: total.Accelerators / 290}
	for i := range 290 {
		l.s.SetQuota(l.team(i), teams)
	}
	l.s.SetUnassigned(total)
	base = heapBytes()
	tasks := workers * 8000 / 700
	for i := range tasks {
		l.submit(1, i < tasks*45/100, false)
	}
	for range 600 {
		l.step()
		if l.s.WaitingTasks() == 0 {
			break
		}
		l.now = l.now.Add(10 * time.Second)
	}
	if len(l.running) < tasks*99/100 {
		b.Fatalf("only %d of %d tasks are running", len(l.running), tasks)
	}
	l.bytesPerTask = (heapBytes() - base) / float64(tasks)
	l.sample()
	base = heapBytes()
	for range workers * 5000 / 700 {
		l.submit(4, false, false)
	}
	l.bytesPerJob = (heapBytes() - base) / float64(workers*5000/700)
	// In normal operation the queued jobs have been tried before: run 30 s of steps.
	for range 2000 {
		l.now = l.now.Add(15 * time.Millisecond)
		l.step()
	}
	return l
}

func (l *benchScheduler) team(i int) oleandervalve.TeamID {
	return oleandervalve.TeamID(fmt.Sprintf("t%03d", i%290))
}

func (l *benchScheduler) submit(n int, latencyCritical, urgent bool) {
	l.lastJob++
	spec := worker.Spec{
		Job: oleandervalve.JobID(fmt.Sprint("j", l.lastJob)), Kind: oleandervalve.KindName(fmt.Sprint("k", l.r.IntN(100))),
		Team: l.team(l.r.IntN(290)), LatencyCritical: latencyCritical, Urgent: urgent, Tasks: n,
		Declared: oleandervalve.Resources{CPU: oleandervalve.Millicores(250 + l.r.IntN(4000)), Memory: oleandervalve.Bytes(1+l.r.IntN(10)) * gib},
		Labels:   labels.Set{"app": fmt.Sprint("a", l.r.IntN(20))},
	}
	if latencyCritical {
		spec.Kind = "s" + spec.Kind
		spec.Declared = oleandervalve.Resources{CPU: 500, Memory: 2 * gib}
	}
	q := worker.Selectors{}
	switch l.r.IntN(10) {
	case 0:
		q.Where = "disk=ssd"
	case 1:
		q.Where = fmt.Sprintf("generation in (g%d,g%d)", l.r.IntN(5), l.r.IntN(5))
	case 2:
		q.NotBeside = "app=a1"
	case 3:
		if !latencyCritical {
			spec.Declared.Accelerators = 1
		}
	}
	if err := spec.SetSelectors(q); err != nil {
		panic(err)
	}
	for i := range n {
		l.s.Submit(l.now, worker.Task{ID: oleandervalve.TaskID(fmt.Sprintf("%s/%d", spec.Job, i)), Epoch: 1, Spec: &spec})
	}
}

// step runs one step and applies its decisions immediately.
func (l *benchScheduler) step() {
	for _, d := range l.s.Step(l.now, 1000) {
		l.apply(d)
	}
}

func (l *benchScheduler) apply(d Decision) {
	switch d.Action {
	case Place:
		l.s.Started(d.Task, l.now)
		l.running = append(l.running, d.Task)
	case Evict:
		l.s.Stopped(d.Task, 0, l.now)
		for i, id := range l.running {
			if id == d.Task {
				l.remove(i)
				break
			}
		}
	}
}

func (l *benchScheduler) remove(i int) {
	l.running[i] = l.running[len(l.running)-1]
	l.running = l.running[:len(l.running)-1]
}

// finish ends a random batch task.
func (l *benchScheduler) finish() {
	for range 1000 {
		i := l.r.IntN(len(l.running))
		if r := l.s.fleet.Resident(l.running[i]); !r.LatencyCritical {
			l.s.Finished(r.ID, l.now)
			l.remove(i)
			return
		}
	}
}

// sample delivers one usage sample of every running task.
func (l *benchScheduler) sample() {
	for _, id := range l.running {
		l.sampleTask(id)
	}
}

func (l *benchScheduler) sampleTask(id oleandervalve.TaskID) {
	r := l.s.fleet.Resident(id)
	l.s.Sample(oleandervalve.UsageSample{
		Task: id, Epoch: 1, At: l.now.Add(-30 * time.Second), Slowdown: 1 + 0.2*l.r.Float64(),
		Used: oleandervalve.Resources{CPU: r.Declared.CPU * 8 / 10, Memory: r.Declared.Memory * 8 / 10},
	}, l.now)
}

var fleetSizes = []int{70, 700, 2800}

// BenchmarkDecision finishes and places one batch task per operation, at ten times
// the peak rate of starts (690/s at 700 workers), with the usage samples of that time.
func BenchmarkDecision(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint("workers=", n), func(b *testing.B) {
			l := newBenchScheduler(b, n)
			perSecond := 690 * float64(n) / 700
			h := hdrhistogram.New(1, int64(10*time.Second), 3)
			var busy time.Duration
			placed, next := 0, 0
			b.ResetTimer()
			for b.Loop() {
				l.now = l.now.Add(time.Duration(float64(time.Second) / perSecond))
				l.finish()
				if l.s.WaitingTasks() < n*5000/700*4 {
					l.submit(1, false, false)
				}
				start := time.Now()
				// 8,000 tasks are sampled every 10 s: about one sample per decision.
				next = (next + 1) % len(l.running)
				l.sampleTask(l.running[next])
				ds := l.s.Step(l.now, 4)
				took := time.Since(start)
				busy += took
				_ = h.RecordValue(int64(took))
				for _, d := range ds {
					if d.Action == Place {
						placed++
					}
					l.apply(d)
				}
			}
			b.ReportMetric(float64(h.ValueAtQuantile(50))/1e3, "p50-µs")
			b.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, "p99-µs")
			b.ReportMetric(float64(placed)/busy.Seconds(), "placed/s")
			b.ReportMetric(float64(placed)/float64(b.N), "placed/op")
			b.ReportMetric(l.bytesPerWorker, "B/worker")
			b.ReportMetric(l.bytesPerTask, "B/task")
			b.ReportMetric(l.bytesPerJob, "B/queuedJob")
		})
	}
}

// BenchmarkUrgent places one urgent task while the queue is full.
func BenchmarkUrgent(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint("workers=", n), func(b *testing.B) {
			l := newBenchScheduler(b, n)
			h := hdrhistogram.New(1, int64(10*time.Second), 3)
			waited := hdrhistogram.New(1, int64(time.Hour), 3)
			b.ResetTimer()
			for b.Loop() {
				l.now = l.now.Add(time.Second)
				l.finish()
				l.submit(1, false, true)
				since := l.now
				for {
					start := time.Now()
					ds := l.s.PlaceUrgent(l.now, 1)
					_ = h.RecordValue(int64(time.Since(start)))
					for _, d := range ds {
						l.apply(d)
					}
					if len(l.s.queue.urgent) == 0 {
						break
					}
					l.now = l.now.Add(100 * time.Millisecond)
				}
				_ = waited.RecordValue(max(1, int64(l.now.Sub(since))))
			}
			b.ReportMetric(float64(h.ValueAtQuantile(50))/1e3, "p50-µs")
			b.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, "p99-µs")
			b.ReportMetric(float64(waited.ValueAtQuantile(99))/1e6, "waited-p99-ms")
			b.ReportMetric(float64(waited.Max())/1e6, "waited-max-ms")
		})
	}
}

// BenchmarkFirstFit compares one placement by first fit, which is the baseline, with
// one by score on the same fleet.
func BenchmarkFirstFit(b *testing.B) {
	for _, n := range fleetSizes {
		l := newBenchScheduler(b, n)
		t := tasksOf("x", 1, worker.Spec{Declared: oleandervalve.Resources{CPU: 1000, Memory: gib}})[0]
		b.Run(fmt.Sprint("policy=firstFit/workers=", n), func(b *testing.B) {
			for b.Loop() {
				l.s.fleet.FirstFit(t, t.Declared, l.now)
			}
		})
		b.Run(fmt.Sprint("policy=scored/workers=", n), func(b *testing.B) {
			for b.Loop() {
				l.s.fleet.Choose(t, t.Declared, l.now)
			}
		})
	}
}

// BenchmarkExplain explains a waiting job and a worker.
func BenchmarkExplain(b *testing.B) {
	l := newBenchScheduler(b, 700)
	l.step()
	var job oleandervalve.JobID
	l.s.queue.forEachJob(func(j *waitingJob) bool {
		job = j.spec.Job
		return false
	})
	for b.Loop() {
		l.s.ExplainJob(job, l.now)
		l.s.ExplainWorker("w1", l.now)
	}
}
