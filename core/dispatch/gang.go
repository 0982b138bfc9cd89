package dispatch

import (
	"time"

	"oleandervalve"
	"oleandervalve/core/work"
)

// placeGang places all tasks of a gang at once, in a single rack if that is requested and
// possible. It reports whether the gang was placed.
func (d *Dispatcher) placeGang(now time.Time, s *step) bool {
	if len(s.waiting) < s.spec.Count || s.isGangPaused(now) {
		return false
	}
	plan := d.planGangInRack(s, now, true)
	if plan == nil && now.Sub(s.readyAt) >= isolationWait {
		plan = d.planGangInRack(s, now, false)
	}
	if plan == nil {
		return false
	}
	// All members of a gang run share the run number and the checkpoint.
	var lastRun oleandervalve.RunNumber
	checkpoint := ""
	for i := range s.spec.Count {
		t := &s.job.rec.Tasks[s.firstTask+i]
		if t.Run >= lastRun && t.Checkpoint != "" {
			checkpoint = t.Checkpoint
		}
		lastRun = max(lastRun, t.Run)
	}
	for i, a := range plan {
		t := &s.job.rec.Tasks[s.firstTask+i]
		t.Run, t.Checkpoint = lastRun, checkpoint
		d.assign(now, s, i, a)
	}
	s.waiting = nil
	return true
}

// planGangInRack finds an executor for each task of a gang, in a single rack if that is
// requested and possible. It returns nil if the gang doesn't fit.
func (d *Dispatcher) planGangInRack(s *step, now time.Time, isolate bool) []*agent {
	if s.spec.SameRack {
		for _, rack := range d.racks(s) {
			if plan := d.planGang(s, now, rack, isolate); plan != nil {
				return plan
			}
		}
	}
	return d.planGang(s, now, "", isolate)
}

// racks lists the racks of usable executors, starting with the rack that holds the data.
func (d *Dispatcher) racks(s *step) []oleandervalve.RackID {
	var out []oleandervalve.RackID
	seen := map[oleandervalve.RackID]bool{"": true}
	if s.spec.DataRack != "" {
		out = append(out, s.spec.DataRack)
		seen[s.spec.DataRack] = true
	}
	for _, a := range d.sortedAgents {
		if a.usable() && !seen[a.rack] {
			seen[a.rack] = true
			out = append(out, a.rack)
		}
	}
	return out
}

// planGang finds an executor in a rack for each task of a gang, or in any rack if rack is
// empty. Suspect members share an executor with no other member if isolate is set. It
// returns nil if the gang doesn't fit.
func (d *Dispatcher) planGang(s *step, now time.Time, rack oleandervalve.RackID, isolate bool) []*agent {
	size := s.spec.Reserved()
	added := map[*agent]int{}
	// isolated holds the executors with a suspect member, which get no other.
	isolated := map[*agent]bool{}
	plan := make([]*agent, 0, s.spec.Count)
	for i := range s.spec.Count {
		need := needsNoIsolated
		if isolate {
			need = d.isolationNeed(s, i, now)
		}
		suspect := need == needsIsolation
		var best *agent
		var mostCPU oleandervalve.Millicores
		for _, a := range d.sortedAgents {
			if rack != "" && a.rack != rack || !d.fits(s, a, now) {
				continue
			}
			if isolated[a] || suspect && added[a] > 0 || !d.admitsIsolated(need, a, now) {
				continue
			}
			if s.spec.MaxPerExecutor > 0 && s.runsByAgent[a.id]+added[a] >= s.spec.MaxPerExecutor {
				continue
			}
			free := a.status.Capacity.Sub(a.reserved)
			for range added[a] + 1 {
				free = free.Sub(size)
			}
			if free.IsNegative() {
				continue
			}
			if best == nil || best.isCold(now) && !a.isCold(now) || best.isCold(now) == a.isCold(now) && free.CPU > mostCPU {
				best, mostCPU = a, free.CPU
			}
		}
		if best == nil {
			return nil
		}
		added[best]++
		isolated[best] = suspect
		plan = append(plan, best)
	}
	return plan
}

// abortGang stops the other members of a gang run of which one member is not running.
func (d *Dispatcher) abortGang(s *step, run oleandervalve.RunNumber) {
	for _, a := range d.sortedAgents {
		for _, k := range a.sortedRuns() {
			if r := a.runs[k]; r.step == s && k.run == run && !r.stopping {
				r.stopping = true
				if r.startSent {
					d.enqueueAction(Stop{Agent: a.id, Task: k.task, Run: k.run})
				}
			}
		}
	}
}

// markGangDone marks all members of a gang done. The agent reports a single end for the whole gang.
func (s *step) markGangDone() {
	for i := range s.spec.Count {
		if t := &s.job.rec.Tasks[s.firstTask+i]; t.State != work.TaskDone {
			t.State = work.TaskDone
			s.done++
		}
	}
	s.waiting = nil
}

// gangFailures returns the total number of failures of all members.
func (s *step) gangFailures() int {
	n := 0
	for i := range s.spec.Count {
		n += s.job.rec.Tasks[s.firstTask+i].Failures
	}
	return n
}
