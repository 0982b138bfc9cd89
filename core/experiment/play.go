package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"oleandervalve"
	"oleandervalve/core/contention"
	"oleandervalve/core/dispatch"
)

const (
	// tick is the resolution of the fake clock.
	tick = 10 * time.Millisecond
	// commitTicks is how many ticks a commit takes, as at the users' table.
	commitTicks = 1
	// stopTime is how long an executor takes to stop a run.
	stopTime = 200 * time.Millisecond
	// sampleEvery is the period of the samples of an agent.
	sampleEvery = 700 * time.Millisecond
	// afterwards is how long jobs are followed after the last one came.
	afterwards = 60 * time.Second
	// slowFactor is how much longer runs take on a slow executor.
	slowFactor = 4
	// failTime is how long a run takes to fail on a failing executor.
	failTime = 100 * time.Millisecond
)

// run is a run on an executor of the experiment.
type run struct {
	agent oleandervalve.AgentID
	task  oleandervalve.TaskName
	run   oleandervalve.RunNumber
	how   oleandervalve.RunEnd
	began time.Time
	ends  time.Time
	cpu   oleandervalve.Millicores
	done  bool
}

// runs is a heap by end.
type runs []*run

func (r runs) Len() int           { return len(r) }
func (r runs) Less(i, j int) bool { return r[i].ends.Before(r[j].ends) }
func (r runs) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *runs) Push(x any)        { *r = append(*r, x.(*run)) }
func (r *runs) Pop() any {
	old := *r
	x := old[len(old)-1]
	*r = old[:len(old)-1]
	return x
}

// caller is a job as its caller sees it.
type caller struct {
	class  *Class
	sent   time.Time
	fair   time.Duration
	took   time.Duration
	cancel time.Time
	truth  []time.Duration
	failed bool
	gone   bool
}

// player plays one seed with one order.
type player struct {
	load    Load
	random  *rand.Rand
	d       *dispatch.Dispatcher
	now     time.Time
	begin   time.Time
	jobs    map[oleandervalve.JobID]*caller
	order   []oleandervalve.JobID
	running runs
	byRun   map[string]*run
	agents  []oleandervalve.AgentID
	numbers map[oleandervalve.AgentID]uint64
	faulty  map[oleandervalve.AgentID]bool
	slow    map[oleandervalve.AgentID]bool
	wasted  float64
}

func executorOf(a oleandervalve.AgentID) oleandervalve.Incarnation {
	return oleandervalve.Incarnation{ID: oleandervalve.ExecutorID("x-" + a), Born: 1}
}

func newPlayer(l Load, order dispatch.Order, seed uint64) (*player, error) {
	begin := time.Unix(1000, 0)
	p := &player{
		load: l, random: rand.New(rand.NewPCG(seed, 17)), now: begin, begin: begin,
		d:    dispatch.New(dispatch.Options{TakeoverAfter: time.Hour, Retention: time.Hour}),
		jobs: map[oleandervalve.JobID]*caller{}, byRun: map[string]*run{}, numbers: map[oleandervalve.AgentID]uint64{},
		faulty: map[oleandervalve.AgentID]bool{}, slow: map[oleandervalve.AgentID]bool{},
	}
	if err := p.d.SetOrder(order); err != nil {
		return nil, err
	}
	for i := range l.Executors {
		id := oleandervalve.AgentID(fmt.Sprintf("agent-%03d", i))
		p.agents = append(p.agents, id)
		p.slow[id] = float64(i) < l.Slow*float64(l.Executors)
		p.faulty[id] = !p.slow[id] && float64(i) < (l.Slow+l.Failing)*float64(l.Executors)
		p.d.AgentConnected(p.now, id, oleandervalve.ExecutorStatus{
			Incarnation: executorOf(id), Service: l.Classes[0].Queue.Service, State: oleandervalve.ExecutorReady,
			Capacity: oleandervalve.Resources{CPU: l.Capacity, Memory: 1 << 40},
		}, oleandervalve.Holding{})
	}
	return p, nil
}

// play runs until all jobs have ended or are given up.
func (p *player) play() {
	arrivals := rand.New(rand.NewPCG(p.random.Uint64(), 3))
	var batch *dispatch.Batch
	for n := 0; p.now.Sub(p.begin) < p.load.Length+afterwards; n++ {
		if p.now.Sub(p.begin) < p.load.Length {
			p.arrive(arrivals)
		} else if p.open() == 0 {
			return
		}
		p.endRuns()
		if n%10 == 0 {
			p.d.Tick(p.now)
		}
		if n%int(sampleEvery/tick) == 0 {
			p.sample()
		}
		p.d.Schedule(p.now)
		if batch != nil && n%(commitTicks+1) == 0 {
			p.d.CommitApplied(p.now, batch, oleandervalve.Version(n+1))
			batch = nil
		}
		if batch == nil {
			batch = p.d.Batch()
		}
		p.carryOut()
		p.follow()
		p.now = p.now.Add(tick)
	}
}

// arrive draws the jobs of one tick.
func (p *player) arrive(r *rand.Rand) {
	for i := range p.load.Classes {
		c := &p.load.Classes[i]
		rate := c.PerSecond
		at := p.now.Sub(p.begin)
		if i == len(p.load.Classes)-1 && p.load.Burst > 0 && at > p.load.Length/4 && at < p.load.Length/2 {
			rate *= p.load.Burst
		}
		if r.Float64() >= rate*tick.Seconds() {
			continue
		}
		spec, truth := c.spec(r)
		id := oleandervalve.JobID(fmt.Sprintf("%s-%05d", c.Name, len(p.order)))
		var chain time.Duration
		for _, d := range truth {
			chain += d
		}
		j := &caller{class: c, sent: p.now, truth: truth, fair: time.Duration(c.Queue.Stretch*float64(chain)) + c.Queue.Slack}
		if r.Float64() < p.load.Cancelled {
			j.cancel = p.now.Add(time.Duration(r.Int64N(int64(2 * time.Second))))
		}
		p.jobs[id] = j
		p.order = append(p.order, id)
		p.d.Submit(p.now, dispatch.Submission{Token: dispatch.Token(len(p.order)), Job: id, Queue: c.Queue, Spec: spec})
	}
}

// troubled reports whether the faults of the load are in force.
func (p *player) troubled() bool {
	at := p.now.Sub(p.begin)
	return at > p.load.Length/4 && at < 3*p.load.Length/4
}

func runName(t oleandervalve.TaskName, n oleandervalve.RunNumber) string {
	return fmt.Sprintf("%s/%d", t, n)
}

// carryOut plays the agents and executors.
func (p *player) carryOut() {
	for _, a := range p.d.TakeActions() {
		switch a := a.(type) {
		case dispatch.Start:
			took := p.jobs[a.Task.Job].truth[a.Task.Step]
			how := oleandervalve.EndDone
			switch {
			case p.faulty[a.Agent] && p.troubled():
				took, how = failTime, oleandervalve.EndFailed
			case p.slow[a.Agent] && p.troubled():
				took *= slowFactor
			}
			r := &run{agent: a.Agent, task: a.Task, run: a.Run, how: how, began: p.now, ends: p.now.Add(took), cpu: a.Hints.CPU}
			p.byRun[runName(a.Task, a.Run)] = r
			heap.Push(&p.running, r)
		case dispatch.Stop:
			if r := p.byRun[runName(a.Task, a.Run)]; r != nil && !r.done {
				r.done = true
				p.wasted += p.now.Sub(r.began).Seconds() * float64(r.cpu) / 1000
				stopped := *r
				stopped.done, stopped.how, stopped.ends = false, oleandervalve.EndStopped, p.now.Add(stopTime)
				heap.Push(&p.running, &stopped)
			}
		}
	}
}

func (p *player) endRuns() {
	for len(p.running) > 0 && !p.running[0].ends.After(p.now) {
		r := heap.Pop(&p.running).(*run)
		if r.done {
			continue
		}
		r.done = true
		delete(p.byRun, runName(r.task, r.run))
		if r.how == oleandervalve.EndFailed {
			p.wasted += r.ends.Sub(r.began).Seconds() * float64(r.cpu) / 1000
		}
		p.numbers[r.agent]++
		p.d.RunEnded(p.now, r.agent, executorOf(r.agent), oleandervalve.EndedTask{Number: p.numbers[r.agent], Task: r.task, Run: r.run, How: r.how})
	}
}

// sample tells the speeds of the executors, as agents measure them.
func (p *player) sample() {
	for _, id := range p.agents {
		s := contention.Sample{Speed: 100, MeasuredJobs: 2}
		if p.slow[id] && p.troubled() {
			s.Speed = 100 / slowFactor
		}
		p.d.LoadSampled(p.now, id, s)
	}
}

// follow looks at the state of all open jobs, as their callers do.
func (p *player) follow() {
	for i, id := range p.order {
		j := p.jobs[id]
		if j.took > 0 || j.gone {
			continue
		}
		if !j.cancel.IsZero() && !j.cancel.After(p.now) {
			j.gone = true
			p.d.Cancel(p.now, id, dispatch.Token(1_000_000+i))
			continue
		}
		if st, ok := p.d.State(id); ok && st.Terminal() {
			j.took, j.failed = p.now.Sub(j.sent), st.String() == "failed"
		}
	}
}

func (p *player) open() int {
	n := 0
	for _, j := range p.jobs {
		if j.took == 0 && !j.gone {
			n++
		}
	}
	return n
}
