package taskowner

import (
	"time"

	"github.com/sirupsen/logrus"
	"k8s.io/apimachinery/pkg/labels"

	"oleandervalve"
	"oleandervalve/core/job"
	"oleandervalve/core/scheduler"
	"oleandervalve/core/worker"
	"oleandervalve/io/peer"
)

const (
	// placeLimit bounds the placements of one step.
	placeLimit = 256
	// placedFor is how long a decision waits to be used by the task's shard.
	placedFor = 10 * time.Second
)

// stage is how far a task has come in the scheduler's view.
type stage int

const (
	stageQueued stage = iota
	stagePlaced
	stageRunning
)

// placement is the scheduler's view of one task of an owned shard.
type placement struct {
	stage  stage
	worker oleandervalve.WorkerID
	size   oleandervalve.Resources
	at     time.Time
	evict  oleandervalve.Reason
}

// placer connects the shards, which ask where a task should run, to the
// scheduler, which decides on all waiting tasks together.
type placer struct {
	scheduler *scheduler.Scheduler
	log       *logrus.Entry
	specs     map[oleandervalve.JobID]*worker.Spec
	tasks     map[oleandervalve.TaskID]*placement
	// foreign holds the tasks of other entries by worker.
	foreign map[oleandervalve.WorkerID]map[oleandervalve.TaskID]bool
	blocked map[oleandervalve.JobID]oleandervalve.Reason
}

func newPlacer(c scheduler.Config, log *logrus.Entry) *placer {
	return &placer{
		scheduler: scheduler.New(c), log: log,
		specs:   map[oleandervalve.JobID]*worker.Spec{},
		tasks:   map[oleandervalve.TaskID]*placement{},
		foreign: map[oleandervalve.WorkerID]map[oleandervalve.TaskID]bool{},
		blocked: map[oleandervalve.JobID]oleandervalve.Reason{},
	}
}

// Choose answers a shard that asks for the place of a waiting task.
func (p *placer) Choose(now time.Time, r job.Record) job.Choice {
	id := r.Task()
	x := p.tasks[id]
	if x == nil {
		p.tasks[id] = &placement{}
		p.scheduler.Submit(now, p.task(r))
		return job.Choice{Reason: "placementPending"}
	}
	switch x.stage {
	case stagePlaced:
		return job.Choice{Worker: x.worker, Size: x.size}
	case stageRunning:
		// The record waits again before the end of its run was seen here.
		p.scheduler.Stopped(id, 0, now)
		x.stage = stageQueued
	}
	if why := p.blocked[r.Job]; why != "" {
		return job.Choice{Reason: why}
	}
	return job.Choice{Reason: "waitingForRoom"}
}

// Refused takes back a decision that the worker's agent did not accept.
func (p *placer) Refused(now time.Time, w oleandervalve.WorkerID, r job.Record, why oleandervalve.Reason) {
	x := p.tasks[r.Task()]
	if x == nil || x.stage == stageQueued || x.worker != w {
		return
	}
	p.log.WithField("taskId", r.Task()).WithField("worker", w).WithField("reason", why).Info("agent refused the task")
	p.scheduler.Refused(r.Task(), now)
	x.stage = stageQueued
}

// task describes a record to the scheduler; tasks of a job share one spec.
func (p *placer) task(r job.Record) worker.Task {
	sp := p.specs[r.Job]
	if sp == nil {
		sp = &worker.Spec{
			Job: r.Job, Kind: r.Spec.Kind, Team: r.Spec.Team, Declared: r.Spec.Size,
			LatencyCritical: r.Spec.LatencyCritical, Urgent: r.Spec.Urgent, Tasks: 1, Labels: labels.Set(r.Spec.Labels),
		}
		s := worker.Selectors{Where: r.Spec.Where, Beside: r.Spec.Beside, NotBeside: r.Spec.NotBeside}
		if err := sp.SetSelectors(s); err != nil {
			p.log.WithError(err).WithField("job", r.Job).Error("selector in the table can't be parsed; the job is placed without it")
		}
		p.specs[r.Job] = sp
	}
	return worker.Task{ID: r.Task(), Epoch: r.Epoch, Spec: sp, Evictions: r.Evictions}
}

// sync brings the scheduler's view in line with a record that was written or read.
func (p *placer) sync(now time.Time, r job.Record) []scheduler.Decision {
	id := r.Task()
	x := p.tasks[id]
	switch r.State {
	case job.StateAssigned, job.StateRunning, job.StateCheckpointing:
		p.adopt(now, r, x)
	case job.StateFinished:
		if x != nil && x.stage == stageQueued {
			p.withdraw(r.Job)
		}
		if x != nil {
			delete(p.tasks, id)
			return p.scheduler.Finished(id, now)
		}
	case job.StateFailed, job.StateParked:
		if x != nil && x.stage != stageQueued {
			x.stage = stageQueued
			d := p.scheduler.Failed(id, now)
			if r.State == job.StateParked {
				p.withdraw(r.Job)
			}
			return d
		}
	case job.StateEvicted, job.StateQueued:
		if x != nil && x.stage == stageRunning {
			p.scheduler.Stopped(id, 0, now)
			x.stage = stageQueued
		}
	case job.StateCancelled:
		if x != nil {
			p.scheduler.Stopped(id, 0, now)
			p.withdraw(r.Job)
			delete(p.tasks, id)
		}
	}
	return nil
}

// adopt records that a task occupies the worker that its record names.
func (p *placer) adopt(now time.Time, r job.Record, x *placement) {
	id := r.Task()
	defer p.scheduler.SetEpoch(id, r.Epoch)
	if x != nil && x.stage != stageQueued && x.worker == r.Worker {
		if r.State == job.StateRunning && x.stage == stagePlaced {
			p.scheduler.Started(id, now)
			x.stage = stageRunning
		}
		return
	}
	if x != nil && x.stage == stageQueued {
		// Another owner has placed the task; the copy in the queue is obsolete.
		p.withdraw(r.Job)
	}
	if err := p.scheduler.Adopt(p.task(r), r.Worker, r.Spec.Size, now); err != nil {
		return // the worker has not connected yet; its residents message repeats this
	}
	p.scheduler.Started(id, now)
	p.tasks[id] = &placement{stage: stageRunning, worker: r.Worker, size: r.Spec.Size, at: now}
}

// withdraw drops the waiting tasks of a job from the scheduler; those that
// still wait are submitted again when their shard asks for a place.
func (p *placer) withdraw(j oleandervalve.JobID) {
	p.scheduler.Cancel(j)
	for id, x := range p.tasks {
		if x.stage == stageQueued && job.Parent(id) == j {
			delete(p.tasks, id)
		}
	}
}

// residents brings the tasks of other entries on a worker up to date.
func (p *placer) residents(now time.Time, w oleandervalve.WorkerID, m *peer.Residents, owned func(oleandervalve.TaskID) bool) {
	seen := map[oleandervalve.TaskID]bool{}
	for _, r := range m.Residents {
		id := r.Run.Task
		if owned(id) || p.tasks[id] != nil {
			continue
		}
		seen[id] = true
		if p.scheduler.Fleet().Resident(id) != nil {
			continue
		}
		t := worker.Task{ID: id, Epoch: r.Run.Epoch, Spec: &worker.Spec{
			Job: job.Parent(id), Kind: r.Kind, Team: r.Team, Declared: r.Size, LatencyCritical: r.LatencyCritical, Tasks: 1,
		}}
		if p.scheduler.Adopt(t, w, r.Size, now) == nil {
			p.scheduler.Started(id, now)
		}
	}
	for id := range p.foreign[w] {
		if !seen[id] && p.tasks[id] == nil {
			p.scheduler.RemoveTask(id, now)
		}
	}
	p.foreign[w] = seen
}

// decided records placements and returns the decisions that agents must hear of.
func (p *placer) decided(now time.Time, list []scheduler.Decision) []scheduler.Decision {
	var out []scheduler.Decision
	for _, d := range list {
		log := p.log.WithField("action", d.Action).WithField("reason", d.Reason)
		switch d.Action {
		case scheduler.Place:
			if x := p.tasks[d.Task]; x != nil {
				x.stage, x.worker, x.size, x.at = stagePlaced, d.Worker, d.Size, now
			} else {
				p.scheduler.RemoveTask(d.Task, now)
			}
			delete(p.blocked, d.Job)
		case scheduler.Resize:
			out = append(out, d)
		case scheduler.Throttle, scheduler.Evict:
			out = append(out, d)
			log.WithField("taskId", d.Task).WithField("slowdown", d.Slowdown).Info("task is held back for others")
		case scheduler.Infeasible:
			p.blocked[d.Job] = "infeasible"
			if d.Diagnosis != nil {
				p.blocked[d.Job] = oleandervalve.Reason("infeasible:" + string(d.Diagnosis.Main))
			}
			log.WithField("job", d.Job).Warn("job fits on no worker")
		case scheduler.Park:
			p.blocked[d.Job] = d.Reason
			log.WithField("job", d.Job).WithField("workers", d.Count).Warn("job fails on many workers and is parked")
		case scheduler.Quarantine, scheduler.Readmit, scheduler.Drained:
			log.WithField("worker", d.Worker).Warn("worker changed its standing")
		}
	}
	return out
}

// expire gives up placements that their shard has not used.
func (p *placer) expire(now time.Time, waiting func(oleandervalve.TaskID) bool) {
	for id, x := range p.tasks {
		if x.stage != stagePlaced || now.Sub(x.at) < placedFor || !waiting(id) {
			continue
		}
		p.scheduler.Refused(id, now)
		x.stage = stageQueued
	}
}

// drop forgets the tasks of a shard that is owned no longer; the residents
// messages of the agents bring back those that run.
func (p *placer) drop(s oleandervalve.ShardID, now time.Time) {
	for id, x := range p.tasks {
		if job.ShardOf(job.Parent(id)) != s {
			continue
		}
		if x.stage == stageQueued {
			p.scheduler.Cancel(job.Parent(id))
		} else {
			p.scheduler.RemoveTask(id, now)
		}
		delete(p.tasks, id)
	}
}
