package dispatch

import (
	"cmp"
	"slices"
	"time"

	"oleandervalve"
	"oleandervalve/core/overload"
	"oleandervalve/core/work"
)

// assessInterval is the time between two assessments of the capacity and of the waiting work. It
// is short compared with the objectives of callers, which are more than half a second.
const assessInterval = 100 * time.Millisecond

// overloadState is what the dispatcher keeps to order and to limit work under overload.
type overloadState struct {
	policy *overload.Policy
	// capacity is that of each pool at assessedAt.
	capacity   map[overload.Pool]overload.Capacity
	assessedAt time.Time
	// overloaded holds the pools in which a queue has more waiting work than is drained within its
	// objectives, and active means that there are any.
	overloaded map[overload.Pool]bool
	active     bool
}

func newOverloadState() *overloadState { return &overloadState{policy: overload.New()} }

const (
	millicoresPerCore = 1000
	// coreSecond is the work of one core-second in millicore-nanoseconds.
	coreSecond = millicoresPerCore * float64(time.Second)
)

func poolOf(s *step) overload.Pool {
	return overload.Pool{Service: s.job.rec.Queue.Service, BestEffort: s.spec.BestEffort}
}

// startsOnce reports whether a job has one occurrence, which starts at its submission.
func (j *job) startsOnce() bool {
	return j.spec.Occurrences() == 1 && !j.spec.ReleaseTime(0).After(j.rec.AcceptedAt)
}

// jobWork describes a job to the policy.
func (d *Dispatcher) jobWork(j *job) overload.Work {
	q := j.rec.Queue
	w := overload.Work{Queue: overload.Queue(q.Name), Priority: q.Priority, Objective: d.objective(j)}
	for i := range j.spec.Steps {
		s := j.step(0, i)
		if s.spec.LongRunning {
			w.LongRunning = true
			return w
		}
		w.Total += float64(s.spec.Count) * float64(s.spec.Demand.CPU) * float64(d.estimate(s)) / coreSecond
		if len(s.spec.After) == 0 {
			w.Path = max(w.Path, d.remainingCriticalPath(s))
		}
	}
	w.Remaining, w.TimeLeft = w.Total, w.Objective
	return w
}

// waitingStep describes a waiting step to the policy.
func (d *Dispatcher) waitingStep(s *step, now time.Time) overload.Waiting {
	q := s.job.rec.Queue
	w := overload.Waiting{Job: s.job.id, Occurrence: s.occurrence, Pool: poolOf(s), Work: overload.Work{Queue: overload.Queue(q.Name), Priority: q.Priority, LongRunning: s.spec.LongRunning, Scheduled: !s.job.startsOnce()}}
	w.Cores = float64(len(s.waiting)) * float64(s.spec.Demand.CPU) / millicoresPerCore
	if w.LongRunning {
		return w
	}
	for i := range s.job.spec.Steps {
		t := s.job.step(s.occurrence, i)
		each := float64(t.spec.Demand.CPU) * float64(d.estimate(t)) / coreSecond
		w.Total += float64(t.spec.Count) * each
		w.Remaining += float64(t.spec.Count-t.done) * each
	}
	w.Load = w.Cores * d.estimate(s).Seconds()
	w.Objective, w.Path = d.objective(s.job), d.remainingCriticalPath(s)
	w.TimeLeft = s.releaseTime().Add(w.Objective).Sub(now)
	return w
}

// overloadOrder sorts the waiting steps: those of overloaded pools by the policy, and all others in
// the default order.
func (d *Dispatcher) overloadOrder(steps []*step, now time.Time) {
	o := d.overload
	waiting := make([]overload.Waiting, len(steps))
	for i, s := range steps {
		waiting[i] = d.waitingStep(s, now)
		if !o.policy.Knows(s.job.id) {
			o.policy.Adopt(now, s.job.id, waiting[i].Pool, waiting[i].Work)
		}
	}
	if now.Sub(o.assessedAt) >= assessInterval {
		d.assess(now, waiting)
	}
	o.overloaded = overload.Overloaded(waiting, o.capacity)
	o.active = len(o.overloaded) > 0
	if !o.active {
		d.defaultOrder(steps, now)
		return
	}
	var order []*overload.Waiting
	index := map[*overload.Waiting]*step{}
	for i := range waiting {
		if o.overloaded[waiting[i].Pool] {
			order = append(order, &waiting[i])
			index[&waiting[i]] = steps[i]
		}
	}
	o.policy.Order(now, order, o.capacity)
	// The steps of overloaded pools exchange places among themselves, so that the order of the
	// other pools stays the default one.
	d.defaultOrder(steps, now)
	n := 0
	for i, s := range steps {
		if o.overloaded[poolOf(s)] {
			steps[i] = index[order[n]]
			n++
		}
	}
}

// outcome returns what has become of a job and when it ended.
func (d *Dispatcher) outcome(id oleandervalve.JobID) (overload.Outcome, time.Time) {
	j := d.jobs[id]
	switch {
	case j == nil:
		return overload.Withdrawn, time.Time{}
	case !j.rec.State.Terminal():
		return overload.Open, time.Time{}
	case j.rec.State == work.Completed:
		return overload.Completed, j.rec.EndedAt
	case j.rec.State == work.Cancelled:
		return overload.Withdrawn, j.rec.EndedAt
	}
	return overload.Failed, j.rec.EndedAt
}

// assess determines the capacity of all pools and records the waiting work with the policy.
func (d *Dispatcher) assess(now time.Time, waiting []overload.Waiting) {
	o := d.overload
	o.assessedAt = now
	o.policy.Update(now, d.outcome)
	o.capacity = map[overload.Pool]overload.Capacity{}
	for _, a := range d.sortedAgents {
		if !a.usable() {
			continue
		}
		d.addCapacity(now, a)
	}
	o.policy.Assess(now, waiting, o.capacity)
}

// addCapacity adds an executor to the capacity of its pools.
func (d *Dispatcher) addCapacity(now time.Time, a *agent) {
	reserving := overload.Pool{Service: a.status.Service}
	bestEffort := overload.Pool{Service: a.status.Service, BestEffort: true}
	add := func(k overload.Pool, cores float64) overload.Capacity {
		c := d.overload.capacity[k]
		if c.Use == nil {
			c.Use = map[overload.Queue]float64{}
		}
		c.Cores += cores
		d.overload.capacity[k] = c
		return c
	}
	use := add(reserving, float64(a.status.Capacity.CPU-a.lcCPU)/millicoresPerCore).Use
	beUse := add(bestEffort, max(0, d.usableCPU(a, now))/millicoresPerCore).Use
	// Whole millicores add up to the same sum in any order of the runs.
	used, beUsed := map[overload.Queue]oleandervalve.Millicores{}, map[overload.Queue]oleandervalve.Millicores{}
	var inUse oleandervalve.Millicores
	for _, r := range a.runs {
		if r.step == nil || r.step.spec.LongRunning {
			continue
		}
		cpu := r.step.spec.Demand.CPU
		q := overload.Queue(r.step.job.rec.Queue.Name)
		if r.step.spec.BestEffort {
			cpu = oleandervalve.Millicores(float64(cpu) * a.reportedSpeed(r.step.spec.Image, now))
			beUsed[q] += cpu
			inUse += cpu
		} else {
			used[q] += cpu
		}
	}
	for q, cpu := range used {
		use[q] += float64(cpu) / millicoresPerCore
	}
	for q, cpu := range beUsed {
		beUse[q] += float64(cpu) / millicoresPerCore
	}
	add(bestEffort, float64(inUse)/millicoresPerCore)
}

// densityOrder is a baseline of overloadOrder without floors.
func (d *Dispatcher) densityOrder(steps []*step, now time.Time) {
	keys := make(map[*step]float64, len(steps))
	for _, s := range steps {
		keys[s] = d.overload.policy.Density(d.waitingStep(s, now).Work)
	}
	slices.SortStableFunc(steps, func(a, b *step) int { return cmp.Compare(keys[b], keys[a]) })
}

// reasonOverload is the reason of refusals of jobs that can't be of use to their callers.
const reasonOverload oleandervalve.Reason = "overload"

// isExempt reports whether a new job is never refused: one whose wait says nothing about its pool as a
// whole, because it needs a label or belongs to two pools, and one that can start at once.
func (d *Dispatcher) isExempt(j *job, now time.Time) bool {
	first := j.steps[0]
	for i := range j.spec.Steps {
		if s := j.step(0, i); s.spec.Label != "" || poolOf(s) != poolOf(first) {
			return true
		}
	}
	return slices.ContainsFunc(d.sortedAgents, func(a *agent) bool {
		if first.spec.BestEffort && d.usableCPU(a, now) < minUsableCPUShare*float64(first.spec.Demand.CPU) {
			return false
		}
		return d.fitsWithoutPermit(first, a, now)
	})
}

// admit decides whether a new job is accepted, and records it if so. Nothing is refused before run
// times of its queue are known, nor a job that starts later or repeats: the load may be over by then.
// Some other jobs are exempt, too (isExempt).
func (d *Dispatcher) admit(now time.Time, j *job, t Token) bool {
	if !j.startsOnce() {
		return true // recorded by overloadOrder when a step waits
	}
	q, o := j.rec.Queue, d.overload
	w := d.jobWork(j)
	k := poolOf(j.steps[0])
	m := d.runTimeModels[q.Name]
	known := o.overloaded[k] && m != nil && m.N >= minRuns && now.Sub(o.assessedAt) < maxAssessmentAge
	if known && !d.isExempt(j, now) {
		if x := o.policy.Admit(now, k, w); x.Refused {
			d.enqueueAction(Reply{Token: t, Verdict: NotRun, Reason: reasonOverload, RetryAfter: x.RetryAfter})
			d.note("refused", j.id, map[string]any{
				"reason": reasonOverload, "queue": q.Name, "waitMs": x.Wait.Milliseconds(), "objectiveMs": w.Objective.Milliseconds(),
				"cores": int(x.Cores), "coreSeconds": int(w.Total), "retryAfterMs": x.RetryAfter.Milliseconds(), "open": d.activeJobs,
			})
			return false
		}
	}
	o.policy.Arrived(now, j.id, k, w)
	return true
}

// maxAssessmentAge is the age up to which an assessment is used for decisions. While work waits,
// the dispatcher assesses it at least at each Tick.
const maxAssessmentAge = time.Second
