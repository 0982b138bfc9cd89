package dispatch

import (
	"time"

	"oleandervalve"
	"oleandervalve/core/work"
)

// runKey identifies one run of a task.
type runKey struct {
	task oleandervalve.TaskName
	run  oleandervalve.RunNumber
}

// run is a run of a task that occupies capacity on an executor until its end is known.
type run struct {
	// step is nil if the job of the run is unknown.
	step *step
	// index is the index of the task in its step.
	index int
	// size is the capacity that the run reserves. unsized means that it is unknown because
	// the specification of the job is.
	size    oleandervalve.Resources
	unsized bool
	// startSent means that the Start action has been queued for TakeActions, by this
	// dispatcher or that of a previous leader.
	startSent bool
	// delayed means that the agent has ever listed the start as delayed. presumedStarted means
	// that its last list lacks the start although it would name a delayed one.
	delayed, presumedStarted bool
	// unlisted means that the agent has listed the run neither as running nor as ended, and
	// that its list of ends is incomplete.
	unlisted bool
	// confirmed means that the executor has answered all attempts at the start order, or has listed the
	// run, so that its lease can't outlast what the agent has requested.
	confirmed bool
	// late means that the agent knows of an attempt at the start order that has had no answer and may still
	// be carried out.
	late bool
	// unansweredUntil is when the run has certainly ended or can't begin any more according to the agent,
	// which has reported that the start order has had no answer from an earlier incarnation.
	unansweredUntil time.Time
	// sequence is that of the job's record with which the run was first stored.
	sequence uint64
	// stopping means that the run has to end: a Start that has not been sent is dropped,
	// and otherwise a Stop is sent.
	stopping bool
	// isolated means that no other run is started on the executor, so that a crash can be
	// attributed to the run. isolation is how long that lasts from the start of the run.
	isolated  bool
	isolation time.Duration
	// grouped means that the run was isolated together with others.
	grouped bool
	// resumed means that the run started from a checkpoint.
	resumed   bool
	startedAt time.Time
	// explainedAt is when it was last noted that the run is not known to have started.
	explainedAt time.Time
}

// agent is the dispatcher's state of an agent and of the executor that it controls.
type agent struct {
	id        oleandervalve.AgentID
	connected bool
	status    oleandervalve.ExecutorStatus
	rack      oleandervalve.RackID
	// grantedAt is when the agent was last allowed to extend its executor's lease.
	grantedAt time.Time
	runs      map[runKey]*run
	// unheard means that the agent has not connected to this leader, which knows it only from
	// the records of an earlier one.
	unheard bool
	// reportsStarts means that the agent reports the runs that have started, and
	// listsDelayedStarts that it lists those whose starts are delayed; agents of earlier releases
	// don't. Both hold for a session.
	reportsStarts, listsDelayedStarts bool
	// delayedStarts holds the runs that the agent has last listed as delayed.
	delayedStarts map[runKey]bool
	reserved      oleandervalve.Resources
	// unsizedRuns is the number of runs of unknown size.
	unsizedRuns int
	// lcCPU is the CPU demand of long-running runs that are not best-effort, and
	// lcCPUByImage is that demand by image.
	lcCPU        oleandervalve.Millicores
	lcCPUByImage map[oleandervalve.KindName]oleandervalve.Millicores
	// beCPUByImage is the CPU demand of best-effort runs by image.
	beCPUByImage map[oleandervalve.KindName]oleandervalve.Millicores
	// speed is the last measured speed of the executor's jobs, in percent of the declared one.
	speed           int
	speedMeasuredAt time.Time
	// lowSpeedCount is the number of consecutive low speed samples.
	lowSpeedCount int
	slowUntil     time.Time
	// crashes is the number of consecutive incarnations that ended without notice.
	crashes int
	// speedLimits are the last reported speed limits of best-effort images, in percent.
	speedLimits   map[oleandervalve.KindName]int
	speedLimitsAt time.Time
	// stalledSince is since when the speed limit of a best-effort image has been below
	// stallSpeedLimit.
	stalledSince map[oleandervalve.KindName]time.Time
	// lcRuns are the latency-critical runs.
	lcRuns map[runKey]*run
	// lcUtilisation caches the estimated utilisation of lcRuns by image for the current
	// scheduling pass; nil means outdated.
	lcUtilisation []imageUtilisation
	// compatibility and usableCPU are computed together with lcUtilisation.
	compatibility float64
	usableCPU     float64
	health        health
	shared        sharedPairs
	// isolatedRuns is the number of isolated runs.
	isolatedRuns int
	// group is the last group of runs that were isolated together.
	group isolationGroup
	// quietUntil is until when no other run is started on the executor, so that a suspect
	// task finds it settled.
	quietUntil time.Time
	// evacuated means that the data centre of the executor is evacuated.
	evacuated bool
	// coldUntil is until when the executor is slow after its start, according to its announcement.
	coldUntil time.Time
	// hold keeps the executor free for a long-running task.
	hold hold
	// crashExplained means that a task was given up for the last crash of the executor.
	crashExplained bool
	// reported holds the last incarnations of the executor of which the agent has reported
	// which runs were lost.
	reported []oleandervalve.Incarnation
}

func newAgent(id oleandervalve.AgentID) *agent {
	return &agent{id: id, runs: map[runKey]*run{}, lcCPUByImage: map[oleandervalve.KindName]oleandervalve.Millicores{}, beCPUByImage: map[oleandervalve.KindName]oleandervalve.Millicores{}, lcRuns: map[runKey]*run{}, stalledSince: map[oleandervalve.KindName]time.Time{}}
}

// speedLimitMaxAge is how long the last reported speed limits of an executor are used.
// Agents report them every 0.7 seconds.
const speedLimitMaxAge = 2 * time.Second

// effectiveBECPU returns the CPU that the tasks of a best-effort image can use at their
// current speed limit.
func (a *agent) effectiveBECPU(image oleandervalve.KindName, now time.Time) float64 {
	return float64(a.beCPUByImage[image]) * a.reportedSpeed(image, now)
}

// reportedSpeed returns the last reported speed limit of a best-effort image as a share
// from 0 to 1, or 1 if there is no recent report.
func (a *agent) reportedSpeed(image oleandervalve.KindName, now time.Time) float64 {
	if limit, ok := a.speedLimits[image]; ok && now.Sub(a.speedLimitsAt) < speedLimitMaxAge {
		return float64(limit) / 100
	}
	return 1
}

func (a *agent) executorRef() work.ExecutorRef {
	return work.ExecutorRef{Agent: a.id, Executor: a.status.Incarnation}
}

// usable reports whether new runs may be placed on the executor.
func (a *agent) usable() bool {
	return a.connected && a.status.State == oleandervalve.ExecutorReady && !a.evacuated
}

// setStatus sets the status of the executor.
func (a *agent) setStatus(now time.Time, s oleandervalve.ExecutorStatus) {
	a.status, a.rack, a.coldUntil = s, rackOf(s.Labels), time.Time{}
	if s.Cold > 0 {
		a.coldUntil = now.Add(s.Cold)
	}
}

// isCold reports whether the executor is still slow after its start.
func (a *agent) isCold(now time.Time) bool { return now.Before(a.coldUntil) }

// allocate reserves capacity for a run.
func (a *agent) allocate(k runKey, r *run) {
	a.runs[k] = r
	a.adjustUsage(r, 1)
	if r.step != nil && r.step.spec.TargetLatency > 0 {
		a.lcRuns[k] = r
	}
	if r.isolated {
		a.isolatedRuns++
	}
	if r.unsized {
		a.unsizedRuns++
	}
}

// release frees the capacity of a run and returns the run, or nil if there is none.
func (a *agent) release(k runKey) *run {
	r := a.runs[k]
	if r == nil {
		return nil
	}
	delete(a.runs, k)
	delete(a.lcRuns, k)
	a.adjustUsage(r, -1)
	a.endIsolation(r)
	if r.unsized {
		a.unsizedRuns--
	}
	return r
}

// adjustUsage adds a run to the sums of the executor and of the run's step, or subtracts
// it if sign is -1.
func (a *agent) adjustUsage(r *run, sign int) {
	if sign > 0 {
		a.reserved = a.reserved.Add(r.size)
	} else {
		a.reserved = a.reserved.Sub(r.size)
	}
	a.lcUtilisation = nil
	if r.step == nil {
		return
	}
	cpu := r.step.spec.Demand.CPU * oleandervalve.Millicores(sign)
	switch {
	case r.step.spec.BestEffort:
		a.beCPUByImage[r.step.spec.Image] += cpu
		if a.beCPUByImage[r.step.spec.Image] == 0 {
			delete(a.beCPUByImage, r.step.spec.Image)
		}
	case r.step.spec.LongRunning:
		a.lcCPU += cpu
		a.lcCPUByImage[r.step.spec.Image] += cpu
	}
	if r.step.runsByAgent == nil {
		r.step.runsByAgent = map[oleandervalve.AgentID]int{}
	}
	r.step.runsByAgent[a.id] += sign
}

// rackOf returns the rack of an executor from its labels, which are its kind followed by its rack.
func rackOf(labels []string) oleandervalve.RackID {
	if len(labels) > 1 {
		return oleandervalve.RackID(labels[1])
	}
	return ""
}

// hasLabel reports whether the executor has a label. The empty label matches every executor.
func (a *agent) hasLabel(want string) bool {
	if want == "" {
		return true
	}
	for _, l := range a.status.Labels {
		if l == want {
			return true
		}
	}
	return false
}
