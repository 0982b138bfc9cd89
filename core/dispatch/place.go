package dispatch

import (
	"slices"
	"time"

	"oleandervalve"
	"oleandervalve/core/contention"
)

// minUsableCPUShare is the smallest share of its CPU demand that a best-effort task must
// find usable to be started.
const minUsableCPUShare = 1.0

// usableCPU estimates the CPU that further best-effort tasks can use on an executor.
// Latency-critical tasks count with their estimated load and best-effort tasks with what
// their speed limit allows.
func (d *Dispatcher) usableCPU(a *agent, now time.Time) float64 {
	free := float64(a.status.Capacity.CPU - (a.reserved.CPU - a.lcCPU))
	for image := range a.beCPUByImage {
		free -= a.effectiveBECPU(image, now)
	}
	for _, r := range a.lcRuns {
		free -= d.contention.Load(now, r.step.job.id, r.step.spec.Image) * float64(r.step.spec.Demand.CPU)
	}
	return free
}

// fits reports whether one more task of a step may run on an executor.
func (d *Dispatcher) fits(s *step, a *agent, now time.Time) bool {
	return s.isPermitted(a, now) && d.fitsWithoutPermit(s, a, now)
}

// fitsWithoutPermit reports whether one more task of a step may run on an executor, apart
// from permits.
func (d *Dispatcher) fitsWithoutPermit(s *step, a *agent, now time.Time) bool {
	if !d.isEligible(s, a) || a.isHeldForOther(s, now) || !a.reserved.Add(s.spec.Reserved()).Fits(a.status.Capacity) {
		return false
	}
	return a.admits(now) && !a.isSlow(now) || !d.pausesHold(s, now)
}

// isEligible reports whether tasks of a step may run on an executor, whatever its free capacity.
func (d *Dispatcher) isEligible(s *step, a *agent) bool {
	if !a.usable() || a.unsizedRuns > 0 || a.status.Service != s.job.rec.Queue.Service || !a.hasLabel(s.spec.Label) {
		return false
	}
	return s.spec.MaxPerExecutor == 0 || s.runsByAgent[a.id] < s.spec.MaxPerExecutor
}

// placementGroup is the key of steps that are eligible for the same executors. Only best-effort
// steps differ by image.
type placementGroup struct {
	service    oleandervalve.ServiceName
	label      string
	bestEffort bool
	image      oleandervalve.KindName
}

func groupOf(s *step) placementGroup {
	g := placementGroup{service: s.job.rec.Queue.Service, label: s.spec.Label, bestEffort: s.spec.BestEffort}
	if s.spec.BestEffort {
		g.image = s.spec.Image
	}
	return g
}

// placementFailure is the demand and, of a best-effort task, the required speed of a task for
// which the current pass has found no executor.
type placementFailure struct {
	demand   oleandervalve.Resources
	minSpeed float64
}

// covers reports whether a task that f stands for is at least as easy to place as one of g.
func (f placementFailure) covers(g placementFailure) bool {
	return f.demand.Fits(g.demand) && f.minSpeed <= g.minSpeed
}

// maxPlacementFailures limits the failures that are kept for each group.
const maxPlacementFailures = 8

// placementFailureOf returns the failure to record, or to look for, if a task of a step finds no
// executor. It returns false if the step may use executors that others of its group may not.
func (d *Dispatcher) placementFailureOf(s *step, now time.Time) (placementFailure, bool) {
	f := placementFailure{demand: s.spec.Demand}
	if s.spec.BestEffort {
		f.minSpeed = d.requiredSpeed(s, now)
		return f, !d.isStarved(s, now)
	}
	if s.spec.LongRunning {
		return f, false // a search tells whether only isolations hold it up
	}
	waiting := s.waiting
	if len(s.job.rec.Crashes) == 0 && len(s.suspectSince) == 0 {
		waiting = waiting[:min(len(waiting), 1)] // the tasks don't differ
	}
	for _, i := range waiting {
		if d.isolationNeed(s, i, now) != needsNoIsolated {
			return f, false
		}
	}
	return f, true
}

// knownUnplaceable reports whether a task of the same group that needs no more resources and
// accepts as low a speed has found no executor in this pass, during which free capacity
// only shrinks. Without this check, most of a pass under overload would be spent on steps
// that don't fit.
func (d *Dispatcher) knownUnplaceable(s *step, now time.Time) bool {
	failures := d.placementFailures[groupOf(s)]
	if len(failures) == 0 {
		return false
	}
	f, ok := d.placementFailureOf(s, now)
	return ok && slices.ContainsFunc(failures, func(g placementFailure) bool { return g.covers(f) })
}

// recordPlacementFailure records that a task of a step has found no executor in this pass.
func (d *Dispatcher) recordPlacementFailure(s *step, now time.Time) {
	if s.spec.MaxPerExecutor > 0 || s.needsPermits() {
		return
	}
	f, ok := d.placementFailureOf(s, now)
	if !ok {
		return
	}
	g := groupOf(s)
	failures := slices.DeleteFunc(d.placementFailures[g], f.covers)
	if len(failures) == maxPlacementFailures {
		failures = slices.Delete(failures, 0, 1)
	}
	d.placementFailures[g] = append(failures, f)
}

// choose returns the best executor for a task of a step, or nil if none fits. If the task
// is suspect or long-running, the second result is the best of the executors that it fits on
// but for isolations.
func (d *Dispatcher) choose(s *step, index int, now time.Time) (best, unsettled *agent) {
	d.searches++
	reserving := s.spec.TargetLatency > 0 && d.mustReserve(s)
	var bestScore, unsettledScore float64
	need := d.isolationNeed(s, index, now)
	for _, a := range d.sortedAgents {
		admitted := d.admitsIsolated(need, a, now) || need == needsIsolation && d.joinsGroup(s, index, a, now)
		if !admitted && need != needsIsolation && !s.spec.LongRunning || !d.fits(s, a, now) {
			continue
		}
		var score float64
		switch {
		case s.spec.BestEffort:
			ok := false
			if score, ok = d.beScore(s, a, now); !ok {
				continue
			}
		case s.spec.TargetLatency > 0:
			score = d.lcScore(s, a)
			if reserving && a.lcCPU == 0 {
				score -= reservePenalty
			}
		default:
			score = a.freeCPUShare()
		}
		if s.spec.DataRack != "" && a.rack == s.spec.DataRack {
			score += rackBonus
		}
		if s.avoidedAgents[index] == a.id {
			score -= avoidPenalty
		}
		if a.isCold(now) {
			score -= coldPenalty
		}
		switch {
		case admitted && (best == nil || score > bestScore):
			best, bestScore = a, score
		case !admitted && (unsettled == nil || score > unsettledScore):
			unsettled, unsettledScore = a, score
		}
	}
	return best, unsettled
}

// freeCPUShare returns the share of the executor's CPU that is not reserved.
func (a *agent) freeCPUShare() float64 {
	return float64(a.status.Capacity.CPU-a.reserved.CPU) / float64(max(1, a.status.Capacity.CPU))
}

// lcScore keeps as many executors as possible compatible with as many best-effort images
// as possible: latency-critical tasks that suffer interference from the same images are
// packed onto few executors. Tasks of the same image are also packed together. Until the
// interference is known, only this and the free processors count.
func (d *Dispatcher) lcScore(s *step, a *agent) float64 {
	same := a.lcCPUByImage[s.spec.Image]
	others := a.lcCPU - same
	excluded := 0
	for image := range d.beImages {
		if d.contention.Interferes(contention.Pair{BestEffort: image, LatencyCritical: s.spec.Image}) && d.isCompatible(a, image) {
			excluded++
		}
	}
	return freeCPUWeight*a.freeCPUShare() + float64(same-others)/float64(max(1, a.status.Capacity.CPU)) -
		incompatibilityWeight*float64(excluded)/float64(max(1, len(d.beImages)))
}

// mustReserve reports whether the eligible executors without latency-critical tasks are so few that
// another such task should be placed elsewhere if it fits there. The load that it handles is
// best-effort images that interfere with most latency-critical ones: they are throttled on every
// executor that has such tasks.
func (d *Dispatcher) mustReserve(s *step) bool {
	unused, all := 0, 0
	for _, a := range d.sortedAgents {
		if !d.isEligible(s, a) {
			continue
		}
		all++
		if a.lcCPU == 0 {
			unused++
		}
	}
	return all <= maxReservingFleet && unused <= int(maxReservedShare*float64(all))
}

// isCompatible reports whether a best-effort image interferes with none of the
// latency-critical runs of an executor.
func (d *Dispatcher) isCompatible(a *agent, image oleandervalve.KindName) bool {
	for _, r := range a.lcRuns {
		if d.contention.Interferes(contention.Pair{BestEffort: image, LatencyCritical: r.step.spec.Image}) {
			return false
		}
	}
	return true
}

// compatibility returns the share of the best-effort images that are compatible with an executor.
func (d *Dispatcher) compatibility(a *agent) float64 {
	n := 0
	for image := range d.beImages {
		if d.isCompatible(a, image) {
			n++
		}
	}
	return float64(n) / float64(max(1, len(d.beImages)))
}

// beScore scores an executor for a best-effort task. It prefers idle processors and little
// interference, rejects executors on which the task would be throttled too much, and keeps
// executors that are compatible with many images free for the images that need them.
func (d *Dispatcher) beScore(s *step, a *agent, now time.Time) (float64, bool) {
	if a.lcUtilisation == nil {
		a.lcUtilisation = d.lcUtilisations(a, now)
		a.compatibility = d.compatibility(a)
		a.usableCPU = d.usableCPU(a, now)
	}
	fitting := a.usableCPU / float64(max(1, s.spec.Demand.CPU))
	speed, added := d.predictSpeed(s, a, now)
	if (fitting < minUsableCPUShare || speed < d.requiredSpeed(s, now)) && !d.isStarved(s, now) {
		return 0, false
	}
	return min(fitting, maxScoredTasks) + tieBreakWeight*fitting - lcUtilisationWeight*added + speedWeight*speed - compatibilityWeight*a.compatibility, true
}

// isStarved reports whether a job has waited too long without a running task: while much
// of the fleet is idle, while no new jobs arrive, or for longer than starvationLimit. A
// starved job may place a task wherever there is capacity.
func (d *Dispatcher) isStarved(s *step, now time.Time) bool {
	waited := now.Sub(s.readyAt)
	if waited < starvationAfter || s.job.running() {
		return false
	}
	return waited >= starvationLimit || now.Sub(d.lastSubmissionAt) >= arrivalIdleAfter || d.utilisation(s.job.rec.Queue.Service, now) < starvationMaxUtilisation
}

// utilisation estimates the CPU utilisation of a service's executors. Latency-critical
// tasks count with their load, because their declared demand is twice their use.
func (d *Dispatcher) utilisation(service oleandervalve.ServiceName, now time.Time) float64 {
	if u, ok := d.serviceUtilisation[service]; ok {
		return u
	}
	var idle, all float64
	for _, a := range d.sortedAgents {
		if a.usable() && a.status.Service == service {
			idle += max(0, d.usableCPU(a, now))
			all += float64(a.status.Capacity.CPU)
		}
	}
	d.serviceUtilisation[service] = 1 - idle/max(1, all)
	return d.serviceUtilisation[service]
}

// requiredSpeed returns the lowest predicted speed at which a task of the step is started.
// A step of rank 2, whose completion comes too late to have a value for its caller, is
// started only where it isn't throttled. The requirement decreases with the waiting time.
func (d *Dispatcher) requiredSpeed(s *step, now time.Time) float64 {
	required := minUsefulSpeed
	if d.rank(s, now) > 1 {
		required = 1
	}
	return required - agingRate*max(0, (now.Sub(s.readyAt)-agingAfter).Seconds())
}

// predictSpeed predicts the speed, from 0 to 1, at which one more task keeps all
// latency-critical tasks of an executor below lcUtilisationLimit. It also returns the
// largest utilisation that the task adds when unthrottled. The task is subject to the
// current speed limit of its image on the executor.
func (d *Dispatcher) predictSpeed(s *step, a *agent, now time.Time) (speed, maxAdded float64) {
	share := float64(s.spec.Demand.CPU) / float64(max(1, a.status.Capacity.CPU))
	speed = a.reportedSpeed(s.spec.Image, now)
	for _, p := range a.lcUtilisation {
		pair := contention.Pair{BestEffort: s.spec.Image, LatencyCritical: p.image}
		if d.contention.IsNegligible(pair) {
			continue
		}
		added := d.contention.Coefficient(pair) * share
		maxAdded = max(maxAdded, added)
		if added > negligibleUtilisation {
			speed = min(speed, (lcUtilisationLimit-p.utilisation)/added)
		}
	}
	return max(0, speed), maxAdded
}

// imageUtilisation is the largest estimated utilisation among the latency-critical tasks
// of an image.
type imageUtilisation struct {
	image       oleandervalve.KindName
	utilisation float64
}

// lcUtilisations estimates the utilisation of the latency-critical tasks of an executor by
// image, including the interference of its best-effort tasks.
func (d *Dispatcher) lcUtilisations(a *agent, now time.Time) []imageUtilisation {
	out := make([]imageUtilisation, 0, len(a.lcRuns))
	for _, r := range a.lcRuns {
		image := r.step.spec.Image
		u := d.contention.Load(now, r.step.job.id, image)
		for beImage := range a.beCPUByImage {
			u += d.contention.Coefficient(contention.Pair{BestEffort: beImage, LatencyCritical: image}) * a.effectiveBECPU(beImage, now) / float64(max(1, a.status.Capacity.CPU))
		}
		i := slices.IndexFunc(out, func(p imageUtilisation) bool { return p.image == image })
		if i < 0 {
			out = append(out, imageUtilisation{image, u})
			continue
		}
		out[i].utilisation = max(out[i].utilisation, u)
	}
	return out
}

const (
	// lcUtilisationLimit is the estimated utilisation up to which best-effort tasks are
	// co-located with a latency-critical task. The task reaches its target latency at
	// 0.83; the difference covers changes of its load while a best-effort task runs.
	lcUtilisationLimit = 0.66
	// minUsefulSpeed is the lowest predicted speed at which a task is started: waiting for
	// a less loaded executor takes less time than running at a lower speed.
	minUsefulSpeed = 0.85
	// agingRate lowers the required speed per second of waiting beyond agingAfter.
	agingRate  = 0.1
	agingAfter = 20 * time.Second
	// speedWeight weighs the predicted speed against idle processors.
	speedWeight = 2
	// starvationAfter is how long a job may wait without a running task while the
	// utilisation is below starvationMaxUtilisation. The requirements allow 3.5 seconds.
	starvationAfter          = 1800 * time.Millisecond
	starvationMaxUtilisation = 0.65
	// starvationLimit is how long a job may wait without a running task at any utilisation.
	starvationLimit = 8 * time.Second
	// arrivalIdleAfter is the time without a new job after which no executors need to be
	// kept free for other images.
	arrivalIdleAfter = 2 * time.Second
	// negligibleUtilisation is an added utilisation too small to limit the speed of a task.
	negligibleUtilisation = 0.02
	// maxScoredTasks is the number of further tasks with usable CPU above which more
	// usable CPU counts only by tieBreakWeight.
	maxScoredTasks = 3
	// tieBreakWeight breaks ties between executors with CPU for more than maxScoredTasks.
	tieBreakWeight = 0.05
	// lcUtilisationWeight weighs the added utilisation against idle processors.
	lcUtilisationWeight = 8
	// compatibilityWeight weighs the compatibility of an executor against idle processors.
	compatibilityWeight = 4
	// incompatibilityWeight weighs the share of best-effort images that a latency-critical
	// task makes incompatible with an executor.
	incompatibilityWeight = 2
	// freeCPUWeight weighs free processors against packing by image.
	freeCPUWeight = 0.3
	// reservePenalty ranks the last executors without latency-critical tasks below all others.
	reservePenalty = 3
	// maxReservedShare limits the share of these executors, and maxReservingFleet the size of a fleet that
	// reserves any. Larger fleets have enough executors that are compatible with each image. There, three
	// reserved of 54 gave callers nothing, and a task stayed over its target latency for 4.5 s.
	maxReservedShare  = 0.3
	maxReservingFleet = 16
)

const (
	// rackBonus ranks executors in the rack with the data above all others.
	rackBonus = 10
	// coldPenalty ranks executors that are still slow after their start below those that are not.
	coldPenalty = 100
	// avoidPenalty ranks the executor that the task should avoid below all others.
	avoidPenalty = 1000
)
