package dispatch

import (
	"slices"
	"time"

	"oleandervalve"
	"oleandervalve/core/contention"
)

// fillRatio is the smallest share of its declared processors that a filling
// task is started with.
const fillRatio = 1.0

// spare estimates the processors that filling tasks can still use on an
// executor: serving tasks use the share of theirs that their load tells, and
// filling tasks that are paced down leave theirs to others.
func (d *Dispatcher) spare(a *agent, now time.Time) float64 {
	free := float64(a.status.Capacity.CPU - (a.reserved.CPU - a.serving))
	for f := range a.filling {
		free -= a.workingFill(f, now)
	}
	for _, r := range a.tenants {
		free -= d.contention.Load(now, r.step.job.id, r.step.spec.Image) * float64(r.step.spec.Demand.CPU)
	}
	return free
}

// fits reports whether one more task of a step may run on an executor.
func (d *Dispatcher) fits(s *step, a *agent, now time.Time) bool {
	return s.isPermitted(a, now) && d.hasRoom(s, a, now)
}

// hasRoom is fits without the permit.
func (d *Dispatcher) hasRoom(s *step, a *agent, now time.Time) bool {
	if !a.usable() || a.status.Service != s.job.rec.Queue.Service || !a.hasLabel(s.spec.Label) {
		return false
	}
	if s.spec.MaxPerExecutor > 0 && s.perExecutor[a.id] >= s.spec.MaxPerExecutor {
		return false
	}
	if !a.reserved.Add(s.spec.Reserved()).Fits(a.status.Capacity) {
		return false
	}
	return d.paused >= d.pauseLimit() || a.health.admits(now, len(a.runs)) && !a.isSlow(now)
}

// fillKey groups filling steps by what decides on which executors they work.
type fillKey struct {
	service oleandervalve.ServiceName
	label   string
	image   oleandervalve.KindName
}

// refusal is the smallest filling task that has found no executor in a pass.
type refusal struct {
	demand oleandervalve.Resources
	pace   float64
}

// isHopeless reports whether a smaller or more patient task of the same kind
// has found no executor in this pass, in which room only shrinks. It answers
// the flood, in which most of a pass would go to steps that don't fit.
func (d *Dispatcher) isHopeless(s *step, now time.Time) bool {
	if !s.spec.Fills || d.starves(s, now) {
		return false
	}
	r, ok := d.refusals[fillKey{s.job.rec.Queue.Service, s.spec.Label, s.spec.Image}]
	return ok && r.demand.Fits(s.spec.Demand) && r.pace <= d.leastPace(s, now)
}

// noteRefusal remembers that a task of a step has found no executor in this pass.
func (d *Dispatcher) noteRefusal(s *step, now time.Time) {
	if s.spec.Fills && s.spec.MaxPerExecutor == 0 && !s.needsPermits() && !d.starves(s, now) {
		d.refusals[fillKey{s.job.rec.Queue.Service, s.spec.Label, s.spec.Image}] = refusal{s.spec.Demand, d.leastPace(s, now)}
	}
}

// choose returns the executor for a task of a step, or nil.
func (d *Dispatcher) choose(s *step, index int, now time.Time) *agent {
	var best *agent
	var bestScore float64
	for _, a := range d.ordered {
		if !d.fits(s, a, now) {
			continue
		}
		var score float64
		switch {
		case s.spec.Fills:
			ok := false
			if score, ok = d.fillScore(s, a, now); !ok {
				continue
			}
		case s.spec.Target > 0:
			score = d.servingScore(s, a)
		default:
			score = a.free()
		}
		if s.spec.DataRack != "" && a.rack == s.spec.DataRack {
			score += rackBonus
		}
		if s.avoid[index] == a.id {
			score -= avoidPenalty
		}
		if best == nil || score > bestScore {
			best, bestScore = a, score
		}
	}
	return best
}

// free is the share of the processors that is not reserved.
func (a *agent) free() float64 {
	return float64(a.status.Capacity.CPU-a.reserved.CPU) / float64(max(1, a.status.Capacity.CPU))
}

// servingScore keeps as many executors as possible open to as many filling
// images as possible: serving tasks that the same images disturb gather on few
// executors. Tasks of one image gather before the disturbance is known.
func (d *Dispatcher) servingScore(s *step, a *agent) float64 {
	same := a.servingBy[s.spec.Image]
	others := a.serving - same
	closed := 0
	for f := range d.fillImages {
		if d.contention.Disturbs(contention.Pair{Fill: f, Serving: s.spec.Image}) && d.isOpen(a, f) {
			closed++
		}
	}
	return freeWeight*a.free() + float64(same-others)/float64(max(1, a.status.Capacity.CPU)) -
		closedWeight*float64(closed)/float64(max(1, len(d.fillImages)))
}

// isOpen reports whether a filling image disturbs none of the serving tasks of an executor.
func (d *Dispatcher) isOpen(a *agent, fill oleandervalve.KindName) bool {
	for _, r := range a.tenants {
		if d.contention.Disturbs(contention.Pair{Fill: fill, Serving: r.step.spec.Image}) {
			return false
		}
	}
	return true
}

// openness is the share of the filling images to which an executor is open.
func (d *Dispatcher) openness(a *agent) float64 {
	n := 0
	for f := range d.fillImages {
		if d.isOpen(a, f) {
			n++
		}
	}
	return float64(n) / float64(max(1, len(d.fillImages)))
}

// fillScore prefers executors with idle processors whose serving tasks are not
// disturbed; it refuses those where the task could work at a low pace only.
// Executors that are open to many images are left to those that need them.
func (d *Dispatcher) fillScore(s *step, a *agent, now time.Time) (float64, bool) {
	if a.pressure == nil {
		a.pressure = d.pressures(a, now)
		a.openness = d.openness(a)
		a.spare = d.spare(a, now)
	}
	spare := a.spare / float64(max(1, s.spec.Demand.CPU))
	pace, most := d.pace(s, a, now)
	if (spare < fillRatio || pace < d.leastPace(s, now)) && !d.starves(s, now) {
		return 0, false
	}
	return min(spare, enoughSpare) + spreadWeight*spare - pressureWeight*most + paceWeight*pace - openWeight*a.openness, true
}

// starves reports whether a job has waited with nothing running although much
// of the fleet is free, no more work comes, or it has waited for long. It then
// gets a task wherever there is room.
func (d *Dispatcher) starves(s *step, now time.Time) bool {
	waited := now.Sub(s.readyAt)
	if waited < starveAfter || s.job.running() {
		return false
	}
	return waited >= starveAnyway || now.Sub(d.submittedAt) >= quietAfter || d.inUse(s.job.rec.Queue.Service, now) < starveUse
}

// inUse estimates the share of the processors of a service's executors that
// work: serving tasks count with their load, as their declared use is twice that.
func (d *Dispatcher) inUse(service oleandervalve.ServiceName, now time.Time) float64 {
	if u, ok := d.working[service]; ok {
		return u
	}
	var idle, all float64
	for _, a := range d.ordered {
		if a.usable() && a.status.Service == service {
			idle += max(0, d.spare(a, now))
			all += float64(a.status.Capacity.CPU)
		}
	}
	d.working[service] = 1 - idle/max(1, all)
	return d.working[service]
}

// leastPace is the lowest predicted pace at which a task of the step is
// started: a task that is late for its caller waits for idle processors, and
// one that has waited for long takes what there is.
func (d *Dispatcher) leastPace(s *step, now time.Time) float64 {
	least := usefulPace
	if d.rank(s, now) > 1 {
		least = 1
	}
	return least - impatience*max(0, (now.Sub(s.readyAt)-patienceAfter).Seconds())
}

// pace predicts the pace, from 0 to 1, that keeps all serving tasks of an
// executor below the limit beside one more task, and the largest utilisation
// that the task adds at full pace. A task shares the pace that its image has
// there.
func (d *Dispatcher) pace(s *step, a *agent, now time.Time) (pace, most float64) {
	share := float64(s.spec.Demand.CPU) / float64(max(1, a.status.Capacity.CPU))
	pace = a.knownPace(s.spec.Image, now)
	for _, p := range a.pressure {
		pair := contention.Pair{Fill: s.spec.Image, Serving: p.image}
		if d.contention.Harmless(pair) {
			continue
		}
		added := d.contention.Weight(pair) * share
		most = max(most, added)
		if added > negligible {
			pace = min(pace, (tenantLimit-p.utilisation)/added)
		}
	}
	return max(0, pace), most
}

// pressure is the largest estimated utilisation of the serving tasks of an image.
type pressure struct {
	image       oleandervalve.KindName
	utilisation float64
}

func (d *Dispatcher) pressures(a *agent, now time.Time) []pressure {
	out := make([]pressure, 0, len(a.tenants))
	for _, r := range a.tenants {
		image := r.step.spec.Image
		u := d.contention.Load(now, r.step.job.id, image)
		for f := range a.filling {
			u += d.contention.Weight(contention.Pair{Fill: f, Serving: image}) * a.workingFill(f, now) / float64(max(1, a.status.Capacity.CPU))
		}
		i := slices.IndexFunc(out, func(p pressure) bool { return p.image == image })
		if i < 0 {
			out = append(out, pressure{image, u})
			continue
		}
		out[i].utilisation = max(out[i].utilisation, u)
	}
	return out
}

const (
	// tenantLimit is the estimated utilisation up to which filling tasks are
	// added beside a serving task; at 0.83 it reaches its target, and the
	// difference covers the change of its load while a task runs.
	tenantLimit = 0.66
	// usefulPace is the lowest predicted pace at which a task is started: waiting
	// for a quiet moment ends sooner than working at a low pace.
	usefulPace = 0.85
	// impatience lowers it per second of waiting beyond patienceAfter.
	impatience    = 0.1
	patienceAfter = 20 * time.Second
	// paceWeight weighs the predicted pace against idle processors.
	paceWeight = 2
	// starveAfter is how long a job may wait with nothing running while less than
	// starveUse of the fleet works; the users allow three seconds and a half.
	starveAfter = 1800 * time.Millisecond
	starveUse   = 0.65
	// starveAnyway is how long it may wait in any case.
	starveAnyway = 8 * time.Second
	// quietAfter is the time without a new job after which there is nothing to
	// keep executors open for.
	quietAfter = 2 * time.Second
	// negligible is an added utilisation that is not worth a refusal.
	negligible = 0.02
	// enoughSpare is the number of tasks with room beyond which more idle
	// processors don't matter.
	enoughSpare = 3
	// spreadWeight breaks ties between executors with enough idle processors.
	spreadWeight = 0.05
	// pressureWeight weighs added utilisation against idle processors.
	pressureWeight = 8
	// openWeight weighs the openness of an executor against idle processors.
	openWeight = 4
	// closedWeight weighs the images to which a serving task closes an executor.
	closedWeight = 2
	// freeWeight weighs free processors against the gathering of images.
	freeWeight = 0.3
)

const (
	// rackBonus puts the rack with the data before all but full executors.
	rackBonus = 10
	// avoidPenalty puts the executor of the last failure behind all others.
	avoidPenalty = 1000
)
