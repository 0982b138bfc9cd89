package dispatch

import (
	"maps"
	"slices"
	"time"

	"oleandervalve"
	"oleandervalve/core/work"
)

// unknownDataCentreAfter is how long after the request of an evacuation it is logged that no executor
// of the data centre is known. Agents connect to a new leader within that time.
const unknownDataCentreAfter = 5 * time.Second

// evacuation is the state of an evacuation that is requested.
type evacuation struct {
	since time.Time
	// withdrawn counts the starts that were withdrawn.
	withdrawn int
	// unknownLogged means that it has been logged that no executor of the data centre is known.
	unknownLogged bool
}

// SetEvacuated sets the evacuated data centres. Their executors get no new run, whatever the reason.
// Assignments whose Start has not been sent are released when they are committed, and agents return
// the starts that they have not sent.
func (d *Dispatcher) SetEvacuated(now time.Time, dataCentres []oleandervalve.DataCentreID) {
	d.evacuationsEnabled = true
	for _, id := range slices.Sorted(maps.Keys(d.evacuations)) {
		if !slices.Contains(dataCentres, id) {
			d.endEvacuation(id)
		}
	}
	for _, id := range dataCentres {
		if d.evacuations[id] == nil {
			d.beginEvacuation(now, id)
		}
	}
}

func (d *Dispatcher) beginEvacuation(now time.Time, id oleandervalve.DataCentreID) {
	d.evacuations[id] = &evacuation{since: now}
	executors, runs, unsent := 0, 0, 0
	for _, a := range d.sortedAgents {
		if a.status.DataCentre != id {
			continue
		}
		executors++
		runs += len(a.runs)
		for _, r := range a.runs {
			if !r.startSent {
				unsent++
			}
		}
		d.updateEvacuated(a)
	}
	d.note("evacuationRequested", "", map[string]any{"dataCentre": id, "executors": executors, "runs": runs, "unsentStarts": unsent})
}

func (d *Dispatcher) endEvacuation(id oleandervalve.DataCentreID) {
	withdrawn := d.evacuations[id].withdrawn
	delete(d.evacuations, id)
	executors, runs := 0, 0
	for _, a := range d.sortedAgents {
		if a.status.DataCentre != id {
			continue
		}
		executors++
		runs += len(a.runs)
		d.updateEvacuated(a)
	}
	d.note("evacuationEnded", "", map[string]any{"dataCentre": id, "executors": executors, "runs": runs, "withdrawn": withdrawn})
}

// updateEvacuated updates whether the data centre of an executor is evacuated, and tells its agent if
// that has changed.
func (d *Dispatcher) updateEvacuated(a *agent) {
	evacuated := d.evacuations[a.status.DataCentre] != nil
	if a.evacuated == evacuated {
		return
	}
	a.evacuated = evacuated
	d.placementNeeded = true
	if evacuated {
		// What the executor is kept free for can't start there any more.
		a.hold, a.quietUntil = hold{}, time.Time{}
	}
	if a.connected {
		d.enqueueAction(Evacuation{Agent: a.id, Evacuated: evacuated})
	}
}

// evacuationSessionBegins tells an agent that has connected whether its data centre is evacuated.
func (d *Dispatcher) evacuationSessionBegins(a *agent) {
	if !d.evacuationsEnabled {
		return
	}
	a.evacuated = d.evacuations[a.status.DataCentre] != nil
	d.enqueueAction(Evacuation{Agent: a.id, Evacuated: a.evacuated})
}

// recordWithdrawn counts a start that was withdrawn because of an evacuation.
func (d *Dispatcher) recordWithdrawn(a *agent) {
	if e := d.evacuations[a.status.DataCentre]; e != nil {
		e.withdrawn++
	}
}

// logUnknownDataCentres logs the evacuations of data centres of which no executor is known: an
// operator may have misspelt the name.
func (d *Dispatcher) logUnknownDataCentres(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(d.evacuations)) {
		e := d.evacuations[id]
		if e.unknownLogged || now.Sub(e.since) < unknownDataCentreAfter {
			continue
		}
		e.unknownLogged = true
		if !slices.ContainsFunc(d.sortedAgents, func(a *agent) bool { return a.status.DataCentre == id }) {
			d.note("evacuationUnknown", "", map[string]any{"dataCentre": id})
		}
	}
}

// moveCheckInterval is the time between two searches for tasks to move out of evacuated data centres.
const moveCheckInterval = 500 * time.Millisecond

// moveOutOfEvacuated stops long-running tasks on executors of evacuated data centres that may start
// elsewhere, one at a time for each step. All other work there ends by itself: it takes seconds, and
// stopping it would discard it.
func (d *Dispatcher) moveOutOfEvacuated(now time.Time) {
	if len(d.evacuations) == 0 || now.Before(d.nextMoves) {
		return
	}
	d.nextMoves = now.Add(moveCheckInterval)
	seen := map[*step]bool{}
	for _, a := range d.sortedAgents {
		if !a.evacuated || !a.connected {
			continue
		}
		for _, k := range a.sortedRuns() {
			r := a.runs[k]
			if r.step == nil || seen[r.step] || !r.step.mayInterrupt() || !d.allRunFor(now, r.step, r) {
				continue
			}
			seen[r.step] = true
			d.moveRun(now, a, k)
		}
	}
}

// mayInterrupt reports whether one task of the step may be stopped to be started elsewhere.
func (s *step) mayInterrupt() bool {
	return s.spec.LongRunning && !s.spec.Gang && s.spec.MaxUnavailable > 0 && len(s.waiting) == 0 && !s.job.rec.State.Terminal()
}

// allRunFor reports whether a run is known to run, and all others of its step for MoveInterval.
func (d *Dispatcher) allRunFor(now time.Time, s *step, moved *run) bool {
	for i := range s.spec.Count {
		t := s.job.rec.Tasks[s.firstTask+i]
		if t.State != work.TaskAssigned {
			return false
		}
		a := d.agents[s.job.rec.Executors[t.ExecutorIndex].Agent]
		if a == nil || !a.connected {
			return false
		}
		r := a.runs[runKey{s.name(i), t.Run}]
		if r == nil || !r.startSent || !r.confirmed || r.stopping || r != moved && now.Sub(r.startedAt) < d.options.MoveInterval {
			return false
		}
	}
	return true
}

// moveRun stops a run if its task fits on an executor elsewhere, which is held for it.
func (d *Dispatcher) moveRun(now time.Time, a *agent, k runKey) {
	r := a.runs[k]
	b, _ := d.choose(r.step, r.index, now)
	if b == nil {
		d.requestPermits(now, r.step)
		return
	}
	if h, ok := b.hold.next(now, r.step); ok {
		b.hold = h
	}
	r.stopping = true
	d.note("evacuating", k.task.Job, map[string]any{"task": k.task.String(), "run": k.run, "agent": a.id, "dataCentre": a.status.DataCentre, "room": b.id})
	d.enqueueAction(Stop{Agent: a.id, Task: k.task, Run: k.run})
}

// Evacuations returns the number of evacuated data centres, and that of the runs that continue there.
func (d *Dispatcher) Evacuations() (dataCentres, runs int) {
	for _, a := range d.sortedAgents {
		if a.evacuated {
			runs += len(a.runs)
		}
	}
	return len(d.evacuations), runs
}
