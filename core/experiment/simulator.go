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
	// tickInterval is the resolution of the simulated clock.
	tickInterval = 10 * time.Millisecond
	// commitTicks is the duration of a commit in ticks according to the requirements
	// on the table.
	commitTicks = 1
	// stopDelay is the time that an executor takes to stop a run.
	stopDelay = 200 * time.Millisecond
	// sampleInterval is the interval between the samples of an agent.
	sampleInterval = 700 * time.Millisecond
	// drainTime is how long the simulation continues after the last submission
	// while jobs are active.
	drainTime = 60 * time.Second
	// slowFactor is the factor by which run times increase on a slow executor.
	slowFactor = 4
	// failureDelay is the time after which a run on a failing executor fails.
	failureDelay = 100 * time.Millisecond
)

// run is a run on a simulated executor.
type run struct {
	agent     oleandervalve.AgentID
	task      oleandervalve.TaskName
	run       oleandervalve.RunNumber
	outcome   oleandervalve.RunEnd
	startedAt time.Time
	endsAt    time.Time
	cpu       oleandervalve.Millicores
	// bestEffort means that the run gets only the processors that others leave.
	bestEffort bool
	// speed is the share of its processors that the run gets since updatedAt, and remaining
	// its run time at full speed from then on.
	speed     float64
	updatedAt time.Time
	remaining time.Duration
	// position is the index in the heap.
	position int
	// finished means that the end has been reported or that the run has been
	// replaced by one that ends as stopped.
	finished bool
}

// runHeap is a heap of runs ordered by end time.
type runHeap []*run

func (r runHeap) Len() int           { return len(r) }
func (r runHeap) Less(i, j int) bool { return r[i].endsAt.Before(r[j].endsAt) }
func (r runHeap) Swap(i, j int) {
	r[i], r[j] = r[j], r[i]
	r[i].position, r[j].position = i, j
}

func (r *runHeap) Push(x any) {
	n := x.(*run)
	n.position = len(*r)
	*r = append(*r, n)
}

func (r *runHeap) Pop() any {
	old := *r
	x := old[len(old)-1]
	*r = old[:len(old)-1]
	return x
}

// job is a submitted job from the point of view of its caller.
type job struct {
	class       *Class
	submittedAt time.Time
	// objective is the time within which the job earns its full value.
	objective time.Duration
	// elapsed is the time from submission to the end; zero while the job is active.
	elapsed time.Duration
	// cancelAt is when the caller cancels the job; zero if never.
	cancelAt time.Time
	// actualDurations holds the run time of the tasks of each step.
	actualDurations []time.Duration
	failed          bool
	cancelled       bool
	// number is the position of the job in the order of submission.
	number int
	// work is the work of the job in core-seconds.
	work float64
	// submission is what the caller sends again at retryAt after a refusal.
	submission dispatch.Submission
	retryAt    time.Time
	attempts   int
	// refused means that the caller has given up, and lastRefusal is the last refusal that the
	// caller got; it has no reason after an acceptance.
	refused     bool
	lastRefusal dispatch.Reply
	// startedRefused means that a task has started although the last answer was a refusal.
	startedRefused bool
}

// simulator runs one load with one seed and one order.
type simulator struct {
	load       Load
	rng        *rand.Rand
	dispatcher *dispatch.Dispatcher
	now        time.Time
	startTime  time.Time
	jobs       map[oleandervalve.JobID]*job
	// jobIDs holds the keys of jobs in the order of submission.
	jobIDs  []oleandervalve.JobID
	running runHeap
	// runByName holds the runs that have not ended, by runName.
	runByName map[string]*run
	agents    []oleandervalve.AgentID
	// endNumbers holds the number of the last run end that each agent reported.
	endNumbers map[oleandervalve.AgentID]uint64
	// failing and slow hold the executors that are faulty while faultsActive.
	failing map[oleandervalve.AgentID]bool
	slow    map[oleandervalve.AgentID]bool
	// onAgent holds the runs of each executor that haven't ended, and latencyCritical the
	// processors that its long-running tasks reserve.
	onAgent         map[oleandervalve.AgentID][]*run
	latencyCritical map[oleandervalve.AgentID]oleandervalve.Millicores
	// serving holds the long-running jobs on each executor.
	serving map[oleandervalve.AgentID][]contention.LatencySample
	// active holds the jobs that are neither ended nor cancelled nor refused.
	active []oleandervalve.JobID
	// wastedCoreSeconds is the processor time of runs that were stopped or failed.
	wastedCoreSeconds float64
}

// incarnationOf returns the only incarnation of an agent's executor.
func incarnationOf(a oleandervalve.AgentID) oleandervalve.Incarnation {
	return oleandervalve.Incarnation{ID: oleandervalve.ExecutorID("x-" + a), StartedAt: 1}
}

func newSimulator(l Load, order dispatch.Order, seed uint64) (*simulator, error) {
	startTime := time.Unix(1000, 0)
	s := &simulator{
		load: l, rng: rand.New(rand.NewPCG(seed, 17)), now: startTime, startTime: startTime,
		dispatcher: dispatch.New(dispatch.Options{TakeoverAfter: time.Hour, Retention: time.Hour}),
		jobs:       map[oleandervalve.JobID]*job{}, runByName: map[string]*run{}, endNumbers: map[oleandervalve.AgentID]uint64{},
		failing: map[oleandervalve.AgentID]bool{}, slow: map[oleandervalve.AgentID]bool{},
		onAgent: map[oleandervalve.AgentID][]*run{}, latencyCritical: map[oleandervalve.AgentID]oleandervalve.Millicores{},
		serving: map[oleandervalve.AgentID][]contention.LatencySample{},
	}
	if err := s.dispatcher.SetOrder(order); err != nil {
		return nil, err
	}
	for i := range l.Executors {
		id := oleandervalve.AgentID(fmt.Sprintf("agent-%03d", i))
		s.agents = append(s.agents, id)
		s.slow[id] = float64(i) < l.SlowShare*float64(l.Executors)
		s.failing[id] = !s.slow[id] && float64(i) < (l.SlowShare+l.FailingShare)*float64(l.Executors)
		s.dispatcher.AgentConnected(s.now, id, oleandervalve.ExecutorStatus{
			Incarnation: incarnationOf(id), Service: l.Classes[0].Queue.Service, State: oleandervalve.ExecutorReady,
			Capacity: oleandervalve.Resources{CPU: l.Capacity, Memory: 1 << 40},
		}, oleandervalve.PollResult{})
	}
	return s, nil
}

// run simulates the load until no job is active or drainTime has passed since the
// last submission.
func (s *simulator) run() {
	arrivals := rand.New(rand.NewPCG(s.rng.Uint64(), 3))
	var batch *dispatch.Batch
	s.submitLongRunning(arrivals)
	for n := 0; s.now.Sub(s.startTime) < s.load.Length+drainTime; n++ {
		if s.now.Sub(s.startTime) < s.load.Length {
			s.submitJobs(arrivals)
		} else if len(s.active) == 0 {
			return
		}
		s.reportRunEnds()
		if n%10 == 0 {
			s.dispatcher.Tick(s.now)
		}
		if n%int(sampleInterval/tickInterval) == 0 {
			s.reportSpeeds()
		}
		s.dispatcher.Schedule(s.now)
		if batch != nil && n%(commitTicks+1) == 0 {
			s.dispatcher.CommitApplied(s.now, batch, oleandervalve.Version(n+1))
			batch = nil
		}
		if batch == nil {
			batch = s.dispatcher.Batch()
		}
		s.executeActions()
		s.pollJobs()
		s.now = s.now.Add(tickInterval)
	}
}

// submitJobs draws the jobs that arrive in one tick and submits them.
func (s *simulator) submitJobs(r *rand.Rand) {
	for i := range s.load.Classes {
		c := &s.load.Classes[i]
		rate := c.JobsPerSecond
		at := s.now.Sub(s.startTime)
		if i == len(s.load.Classes)-1 && s.load.BurstFactor > 0 && at > s.load.Length/4 && at < s.load.Length/2 {
			rate *= s.load.BurstFactor
		}
		for _, b := range s.load.Bursts {
			if b.Class == c.Name && at >= b.From && at < b.Until {
				rate *= b.Factor
			}
		}
		if c.LongRunning || r.Float64() >= rate*tickInterval.Seconds() {
			continue
		}
		s.submitJob(r, c)
	}
}

// submitJob draws a job of a class and submits it.
func (s *simulator) submitJob(r *rand.Rand, c *Class) {
	spec, actualDurations := c.generateJob(r)
	if f := s.load.EstimateFactor; f > 0 {
		for i := range spec.Steps {
			spec.Steps[i].Estimate = time.Duration(float64(spec.Steps[i].Estimate) * f)
		}
	}
	id := oleandervalve.JobID(fmt.Sprintf("%s-%05d", c.Name, len(s.jobIDs)))
	var criticalPath time.Duration
	work := 0.0
	for i, d := range actualDurations {
		criticalPath += d
		work += float64(spec.Steps[i].Count) * d.Seconds() * float64(spec.Steps[i].Demand.CPU) / 1000
	}
	j := &job{class: c, submittedAt: s.now, actualDurations: actualDurations, objective: time.Duration(c.Queue.Stretch*float64(criticalPath)) + c.Queue.Slack, work: work, number: len(s.jobIDs)}
	if r.Float64() < s.load.CancelledShare {
		j.cancelAt = s.now.Add(time.Duration(r.Int64N(int64(2 * time.Second))))
	}
	s.jobs[id] = j
	s.jobIDs = append(s.jobIDs, id)
	s.active = append(s.active, id)
	j.submission = dispatch.Submission{Token: dispatch.Token(len(s.jobIDs)), Job: id, Queue: c.Queue, Spec: spec}
	s.dispatcher.Submit(s.now, j.submission)
}

// faultsActive reports whether the slow and failing executors are faulty at the
// current time.
func (s *simulator) faultsActive() bool {
	at := s.now.Sub(s.startTime)
	if s.load.SlowUntil > 0 {
		return at >= s.load.SlowFrom && at < s.load.SlowUntil
	}
	return at > s.load.Length/4 && at < 3*s.load.Length/4
}

// slowFactor returns the factor by which run times increase on a slow executor.
func (l Load) slowFactor() float64 {
	if l.SlowFactor > 0 {
		return l.SlowFactor
	}
	return slowFactor
}

// runName returns the key of a run in simulator.runByName.
func runName(t oleandervalve.TaskName, n oleandervalve.RunNumber) string {
	return fmt.Sprintf("%s/%d", t, n)
}

// executeActions carries out the dispatcher's actions in place of the agents and
// executors.
func (s *simulator) executeActions() {
	for _, a := range s.dispatcher.TakeActions() {
		switch a := a.(type) {
		case dispatch.Reply:
			s.handleReply(a)
		case dispatch.Start:
			if a.Hints.LongRunning {
				s.startLongRunning(a)
				continue
			}
			s.jobs[a.Task.Job].startedRefused = s.jobs[a.Task.Job].startedRefused || s.jobs[a.Task.Job].lastRefusal.Reason != ""
			runTime := s.jobs[a.Task.Job].actualDurations[a.Task.Step]
			outcome := oleandervalve.EndDone
			switch {
			case s.failing[a.Agent] && s.faultsActive():
				runTime, outcome = failureDelay, oleandervalve.EndFailed
			case s.slow[a.Agent] && s.faultsActive():
				runTime = time.Duration(float64(runTime) * s.load.slowFactor())
			}
			r := &run{agent: a.Agent, task: a.Task, run: a.Run, outcome: outcome, startedAt: s.now, endsAt: s.now.Add(runTime), cpu: a.Hints.CPU, bestEffort: a.Hints.BestEffort, speed: 1, updatedAt: s.now, remaining: runTime}
			s.runByName[runName(a.Task, a.Run)] = r
			heap.Push(&s.running, r)
			s.addRun(r)
		case dispatch.Stop:
			if r := s.runByName[runName(a.Task, a.Run)]; r != nil && !r.finished {
				r.finished = true
				s.wastedCoreSeconds += s.now.Sub(r.startedAt).Seconds() * float64(r.cpu) / 1000
				s.removeRun(r)
				stopped := *r
				stopped.finished, stopped.outcome, stopped.endsAt = false, oleandervalve.EndStopped, s.now.Add(stopDelay)
				heap.Push(&s.running, &stopped)
			}
		}
	}
}

// reportRunEnds reports the runs that have ended to the dispatcher.
func (s *simulator) reportRunEnds() {
	for len(s.running) > 0 && !s.running[0].endsAt.After(s.now) {
		r := heap.Pop(&s.running).(*run)
		if r.finished {
			continue
		}
		r.finished = true
		delete(s.runByName, runName(r.task, r.run))
		s.removeRun(r)
		if r.outcome == oleandervalve.EndFailed {
			s.wastedCoreSeconds += r.endsAt.Sub(r.startedAt).Seconds() * float64(r.cpu) / 1000
		}
		s.endNumbers[r.agent]++
		s.dispatcher.RunEnded(s.now, r.agent, incarnationOf(r.agent), oleandervalve.EndedTask{Number: s.endNumbers[r.agent], Task: r.task, Run: r.run, How: r.outcome})
	}
}

// reportSpeeds reports the speed of each executor to the dispatcher.
func (s *simulator) reportSpeeds() {
	for _, id := range s.agents {
		sample := contention.Sample{Speed: 100, MeasuredJobs: 2}
		if s.slow[id] && s.faultsActive() {
			sample.Speed = int(100 / s.load.slowFactor())
		}
		s.addUsage(id, &sample)
		s.dispatcher.LoadSampled(s.now, id, sample)
	}
}

// pollJobs cancels the jobs that their callers cancel now, submits refused ones again and
// records which jobs have ended.
func (s *simulator) pollJobs() {
	still := s.active[:0]
	for _, id := range s.active {
		j := s.jobs[id]
		if !j.cancelAt.IsZero() && !j.cancelAt.After(s.now) {
			j.cancelled = true
			s.dispatcher.Cancel(s.now, id, dispatch.Token(1_000_000+j.number))
			continue
		}
		if st, ok := s.dispatcher.State(id); ok && st.Terminal() {
			j.elapsed, j.failed = s.now.Sub(j.submittedAt), st.String() == "failed"
			continue
		}
		if !j.retryAt.IsZero() && !j.retryAt.After(s.now) {
			j.retryAt = time.Time{}
			s.dispatcher.Submit(s.now, j.submission)
		}
		if !j.refused {
			still = append(still, id)
		}
	}
	s.active = still
}
