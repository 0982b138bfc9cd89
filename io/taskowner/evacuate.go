package taskowner

import (
	"time"

	"oleandervalve"
	"oleandervalve/core/job"
	"oleandervalve/core/scheduler"
)

// reasonEvacuating is the reason of reservations that are not used because the data
// centre of the worker is evacuated.
const reasonEvacuating = scheduler.ReasonEvacuating

// SetEvacuations replaces the set of evacuated data centres. It takes back the
// placements there whose tasks still wait, and returns their number by data centre.
// A task whose assignment has been sent to the table counts as started.
func (o *Owner) SetEvacuations(list []oleandervalve.DataCentreID) map[oleandervalve.DataCentreID]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.awaitsConfiguration = false
	o.placer.scheduler.SetEvacuations(list)
	return o.placer.withdrawEvacuated(o.clock.Now(), func(id oleandervalve.TaskID) bool {
		return o.waits(id) && !o.shards[job.ShardOf(job.Parent(id))].Committing(id)
	})
}

// Evacuation returns what still runs in a data centre.
func (o *Owner) Evacuation(dc oleandervalve.DataCentreID) scheduler.Evacuation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.placer.scheduler.Evacuation(dc)
}

// waits reports whether a task of an owned shard is in a waiting state. The caller
// holds the lock.
func (o *Owner) waits(id oleandervalve.TaskID) bool {
	s := o.shards[job.ShardOf(job.Parent(id))]
	if s == nil {
		return false
	}
	t, ok := s.Task(id)
	return ok && t.State.Waiting()
}

// refuseEvacuated turns a reservation on a worker of an evacuated data centre into a
// refusal and releases it at the agent. The reservation may have been requested
// before the evacuation.
func (o *Owner) refuseEvacuated(w oleandervalve.WorkerID, m *job.Reserved) {
	info := o.workers[w]
	if !m.Granted || info == nil || !o.placer.scheduler.IsEvacuated(info.location.DataCentre) {
		return
	}
	o.executeActions(job.ShardOf(job.Parent(m.Run.Task)), []job.Action{job.Release{Worker: w, Run: m.Run, ID: m.ID}})
	m.Granted, m.Reason = false, reasonEvacuating
}

// withdrawEvacuated takes back the placements in evacuated data centres whose tasks
// still wait, and returns their number by data centre.
func (p *placer) withdrawEvacuated(now time.Time, waiting func(oleandervalve.TaskID) bool) map[oleandervalve.DataCentreID]int {
	out := map[oleandervalve.DataCentreID]int{}
	for id, x := range p.tasks {
		if x.stage != stagePlaced || !waiting(id) {
			continue
		}
		w := p.scheduler.Fleet().Worker(x.worker)
		if w == nil || !p.scheduler.IsEvacuated(w.Location.DataCentre) {
			continue
		}
		out[w.Location.DataCentre]++
		p.scheduler.Refused(id, now)
		x.stage = stageQueued
	}
	return out
}
