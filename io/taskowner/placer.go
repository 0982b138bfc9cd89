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
	// maxPlacementsPerStep limits the placements of one scheduler step.
	maxPlacementsPerStep = 256
	// placementTTL is the time after which a placement that the task's shard has not
	// used is taken back.
	placementTTL = 10 * time.Second
)

// stage is the state of a task in the scheduler.
type stage int

const (
	stageQueued stage = iota
	stagePlaced
	stageRunning
)

// placement is the state of one task of an owned shard in the scheduler.
type placement struct {
	stage           stage
	worker          oleandervalve.WorkerID
	size            oleandervalve.Resources
	placedAt        time.Time
	pendingEviction oleandervalve.Reason
}

// placer connects the shards, which request a worker for each waiting task, to the
// scheduler, which decides on all waiting tasks together.
type placer struct {
	scheduler *scheduler.Scheduler
	log       *logrus.Entry
	specs     map[oleandervalve.JobID]*worker.Spec
	tasks     map[oleandervalve.TaskID]*placement
	// foreignTasks holds the tasks of other entries on each worker.
	foreignTasks map[oleandervalve.WorkerID]map[oleandervalve.TaskID]bool
	blockReasons map[oleandervalve.JobID]oleandervalve.Reason
}

func newPlacer(c scheduler.Config, log *logrus.Entry) *placer {
	return &placer{
		scheduler: scheduler.New(c), log: log,
		specs:        map[oleandervalve.JobID]*worker.Spec{},
		tasks:        map[oleandervalve.TaskID]*placement{},
		foreignTasks: map[oleandervalve.WorkerID]map[oleandervalve.TaskID]bool{},
		blockReasons: map[oleandervalve.JobID]oleandervalve.Reason{},
	}
}

// Choose returns the worker for a waiting task, or the reason why it waits. It
// submits tasks that the scheduler does not know yet.
func (p *placer) Choose(now time.Time, r job.Record) job.Choice {
	id := r.Task()
	x := p.tasks[id]
	if x == nil {
		p.tasks[id] = &placement{}
		p.scheduler.Submit(now, p.schedulerTask(r))
		return job.Choice{Reason: "placementPending"}
	}
	switch x.stage {
	case stagePlaced:
		return job.Choice{Worker: x.worker, Size: x.size}
	case stageRunning:
		// The task is waiting again, but the placer has not seen the end of its run.
		p.scheduler.Stopped(id, 0, now)
		x.stage = stageQueued
	}
	if reason := p.blockReasons[r.Job]; reason != "" {
		return job.Choice{Reason: reason}
	}
	return job.Choice{Reason: "waitingForRoom"}
}

// Refused takes back a placement that the worker's agent refused.
func (p *placer) Refused(now time.Time, w oleandervalve.WorkerID, r job.Record, reason oleandervalve.Reason) {
	x := p.tasks[r.Task()]
	if x == nil || x.stage == stageQueued || x.worker != w {
		return
	}
	p.log.WithField("taskId", r.Task()).WithField("worker", w).WithField("reason", reason).Info("agent refused the task")
	p.scheduler.Refused(r.Task(), now)
	x.stage = stageQueued
}

// schedulerTask converts a record to a task of the scheduler. The tasks of a job
// share one spec.
func (p *placer) schedulerTask(r job.Record) worker.Task {
	spec := p.specs[r.Job]
	if spec == nil {
		spec = &worker.Spec{
			Job: r.Job, Kind: r.Spec.Kind, Team: r.Spec.Team, Declared: r.Spec.Size,
			LatencyCritical: r.Spec.LatencyCritical, Urgent: r.Spec.Urgent, Tasks: 1, Labels: labels.Set(r.Spec.Labels),
		}
		selectors := worker.Selectors{Where: r.Spec.Where, Beside: r.Spec.Beside, NotBeside: r.Spec.NotBeside}
		if err := spec.SetSelectors(selectors); err != nil {
			p.log.WithError(err).WithField("job", r.Job).Error("selector in the table can't be parsed; the job is placed without it")
		}
		p.specs[r.Job] = spec
	}
	return worker.Task{ID: r.Task(), Epoch: r.Epoch, Spec: spec, Evictions: r.Evictions}
}

// sync updates the scheduler to the state in a task's record that was written or
// read. It returns the scheduler's decisions.
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

// adopt records in the scheduler that a task occupies the worker in its record.
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
		// Another owner has placed the task, so it must leave the scheduler's queue.
		p.withdraw(r.Job)
	}
	if f := p.scheduler.Fleet().Resident(id); x == nil && f != nil && f.Foreign {
		// The shard was taken over from the entry that placed the task.
		p.scheduler.RemoveTask(id, now)
	}
	if err := p.scheduler.Adopt(p.schedulerTask(r), r.Worker, r.Spec.Size, now); err != nil {
		return // the worker has not connected yet; adoptOwned repeats this after its residents message
	}
	p.scheduler.Started(id, now)
	p.tasks[id] = &placement{stage: stageRunning, worker: r.Worker, size: r.Spec.Size, placedAt: now}
}

// withdraw removes the waiting tasks of a job from the scheduler. Those that still
// wait are submitted again by the next Choose.
func (p *placer) withdraw(j oleandervalve.JobID) {
	p.scheduler.Cancel(j)
	for id, x := range p.tasks {
		if x.stage == stageQueued && job.Parent(id) == j {
			delete(p.tasks, id)
		}
	}
}

// residents updates the tasks of other entries on a worker from a message of its
// agent.
func (p *placer) residents(now time.Time, w oleandervalve.WorkerID, m *peer.Residents, owned func(oleandervalve.TaskID) bool) {
	present := map[oleandervalve.TaskID]bool{}
	for _, r := range m.Residents {
		id := r.Run.Task
		if owned(id) || p.tasks[id] != nil {
			continue
		}
		present[id] = true
		if p.scheduler.Fleet().Resident(id) != nil {
			continue
		}
		t := worker.Task{ID: id, Epoch: r.Run.Epoch, Spec: &worker.Spec{
			Job: job.Parent(id), Kind: r.Kind, Team: r.Team, Declared: r.Size, LatencyCritical: r.LatencyCritical, Tasks: 1, Foreign: true,
		}}
		if p.scheduler.Adopt(t, w, r.Size, now) == nil {
			p.scheduler.Started(id, now)
		}
	}
	for id := range p.foreignTasks[w] {
		if !present[id] && p.tasks[id] == nil {
			p.scheduler.RemoveTask(id, now)
		}
	}
	p.foreignTasks[w] = present
}

// recordDecisions records placements and block reasons, and returns the decisions
// that must be sent to agents.
func (p *placer) recordDecisions(now time.Time, list []scheduler.Decision) []scheduler.Decision {
	var out []scheduler.Decision
	for _, d := range list {
		log := p.log.WithField("action", d.Action).WithField("reason", d.Reason)
		switch d.Action {
		case scheduler.Place:
			if x := p.tasks[d.Task]; x != nil {
				x.stage, x.worker, x.size, x.placedAt = stagePlaced, d.Worker, d.Size, now
			} else {
				p.scheduler.RemoveTask(d.Task, now)
			}
			delete(p.blockReasons, d.Job)
		case scheduler.Resize:
			out = append(out, d)
		case scheduler.Throttle, scheduler.Evict:
			out = append(out, d)
			if d.Reason == scheduler.ReasonEvacuating {
				log.WithField("taskId", d.Task).WithField("worker", d.Worker).Info("task moves out of an evacuated data centre")
				continue
			}
			log.WithField("taskId", d.Task).WithField("slowdown", d.Slowdown).Info("task is held back for others")
		case scheduler.Infeasible:
			p.blockReasons[d.Job] = "infeasible"
			if d.Diagnosis != nil {
				p.blockReasons[d.Job] = oleandervalve.Reason("infeasible:" + string(d.Diagnosis.Main))
			}
			log.WithField("job", d.Job).Warn("job fits on no worker")
		case scheduler.Park:
			p.blockReasons[d.Job] = d.Reason
			log.WithField("job", d.Job).WithField("workers", d.Count).Warn("job fails on many workers and is parked")
		case scheduler.Quarantine, scheduler.Readmit, scheduler.Drained:
			log.WithField("worker", d.Worker).Warn("worker changed its standing")
		}
	}
	return out
}

// expirePlacements takes back placements that their shard has not used in time.
func (p *placer) expirePlacements(now time.Time, waiting func(oleandervalve.TaskID) bool) {
	for id, x := range p.tasks {
		if x.stage != stagePlaced || now.Sub(x.placedAt) < placementTTL || !waiting(id) {
			continue
		}
		p.scheduler.Refused(id, now)
		x.stage = stageQueued
	}
}

// dropShard removes the tasks of a shard that is no longer owned. Running tasks
// return as foreign tasks with the residents messages of the agents.
func (p *placer) dropShard(s oleandervalve.ShardID, now time.Time) {
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
