package dispatch

import (
	"slices"
	"sort"
	"time"

	"oleandervalve"
	"oleandervalve/core/work"
)

// Schedule places waiting tasks on executors, if anything has changed.
func (d *Dispatcher) Schedule(now time.Time) {
	if !d.stale {
		return
	}
	d.stale = false
	clear(d.working)
	clear(d.refusals)
	steps := make([]*step, 0, len(d.ready))
	for s := range d.ready {
		steps = append(steps, s)
	}
	sort.Slice(steps, func(i, j int) bool {
		a, b := steps[i], steps[j]
		if a.job.id != b.job.id {
			return a.job.id < b.job.id
		}
		return a.base < b.base
	})
	d.order(steps, now)
	for _, s := range steps {
		d.placeStep(now, s)
	}
}

func (d *Dispatcher) placeStep(now time.Time, s *step) {
	placed := 0
	if s.spec.Gang {
		if d.placeGang(now, s) {
			placed = s.spec.Count
		}
	} else {
		placed = d.placeTasks(now, s)
	}
	if len(s.waiting) == 0 {
		s.ready = false
		delete(d.ready, s)
	} else {
		d.askPermits(now, s)
	}
	if placed > 0 {
		if s.job.rec.State == work.Pending {
			s.job.rec.State = work.Running
		}
		d.touch(s.job)
		d.note("assigned", s.job.id, map[string]any{"agents": s.places(), "step": s.index, "tasks": placed, "left": len(s.waiting), "ageMs": now.Sub(s.job.rec.AcceptedAt).Milliseconds()})
	}
}

// notedPlaces bounds the agents that one log line names.
const notedPlaces = 6

// places names the agents on which tasks of the step run, as many as a log line holds.
func (s *step) places() []oleandervalve.AgentID {
	var out []oleandervalve.AgentID
	for id, n := range s.perExecutor {
		if n > 0 {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out[:min(len(out), notedPlaces)]
}

// placeTasks places tasks one by one until one finds no executor.
func (d *Dispatcher) placeTasks(now time.Time, s *step) int {
	if d.isHopeless(s, now) {
		return 0
	}
	for n, i := range s.waiting {
		a := d.choose(s, i, now)
		if a == nil {
			d.noteRefusal(s, now)
			s.waiting = append([]int(nil), s.waiting[n:]...)
			return n
		}
		d.assign(now, s, i, a)
	}
	n := len(s.waiting)
	s.waiting = nil
	return n
}

func (d *Dispatcher) assign(now time.Time, s *step, index int, a *agent) {
	t := &s.job.rec.Tasks[s.base+index]
	t.State = work.TaskAssigned
	t.Run++
	t.Place = s.job.place(a.place())
	k := runKey{s.name(index), t.Run}
	traits := s.traits()
	if s.spec.Fills {
		pace, _ := d.pace(s, a, now)
		traits.Pace = int(100 * pace)
	}
	a.hold(k, &run{step: s, index: index, size: s.spec.Reserved(), resumed: t.Checkpoint != "", startAt: now})
	s.job.effects = append(s.job.effects, Start{
		Agent: a.id, Executor: a.status.Incarnation, Task: k.task, Run: k.run,
		Payload: s.job.spec.Payload, Checkpoint: t.Checkpoint, Ticket: s.ticket(a), Traits: traits,
	})
}

// requeue makes a task wait for its next run.
func (d *Dispatcher) requeue(now time.Time, s *step, index int) {
	t := &s.job.rec.Tasks[s.base+index]
	t.State = work.TaskWaiting
	s.waiting = append(s.waiting, index)
	d.touch(s.job)
	d.activate(now, s)
	d.stale = true
}
