package taskowner

import (
	"time"

	"oleandervalve"
	"oleandervalve/core/job"
	"oleandervalve/core/lease"
	"oleandervalve/io/peer"
)

// AgentConnected handles a new connection of a worker's agent.
func (o *Owner) AgentConnected(w oleandervalve.WorkerID, l oleandervalve.Location, set map[string]string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	info := o.workers[w]
	if info == nil {
		info = &workerInfo{}
		o.workers[w] = info
	}
	info.location, info.announced, info.labels, info.responsive = l, set, o.effectiveLabels(set), true
	o.suspicion.HeartbeatReceived(now, w)
	o.placer.scheduler.HeartbeatReceived(w)
	// An agent that is still draining sends peer.Drain after it has connected.
	o.placer.scheduler.CancelDrain(w)
	for i, s := range o.ownedShards() {
		o.executeActions(i, s.WorkerConnected(now, w))
	}
}

// Heartbeat handles a heartbeat of a worker, which also requests a renewal of the
// worker's lease.
func (o *Owner) Heartbeat(w oleandervalve.WorkerID, m *peer.Heartbeat) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.suspicion.HeartbeatReceived(o.clock.Now(), w)
	if r := o.renewals[lease.WorkerLeaseShardOf(w)]; r != nil {
		r.Heartbeat(w, agentEpoch.Add(m.SentAfter))
	}
}

// Handle handles a message of a worker's agent about tasks.
func (o *Owner) Handle(w oleandervalve.WorkerID, m peer.Message) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	switch m := m.(type) {
	case *peer.Residents:
		o.residents(now, w, m)
	case *peer.Drain:
		o.drain(now, w, m)
	case *peer.ReservedTask:
		m.Worker = w
		i := job.ShardOf(job.Parent(m.Run.Task))
		o.refuseEvacuated(w, &m.Reserved)
		if s := o.shard(i); s != nil {
			o.executeActions(i, s.Reserved(now, m.Reserved))
		}
	case *peer.TaskReport:
		m.Worker = w
		o.report(now, m.Report)
	case *peer.Usage:
		for _, u := range m.Samples {
			o.placer.scheduler.Sample(u, now)
		}
	}
}

// reasonDraining is the reason of evictions before the planned stop of an agent.
const reasonDraining = oleandervalve.Reason("workerDraining")

// drain moves the tasks off a worker whose agent accepts no new tasks: a few at a
// time if an operator requested it, all at once if the agent is about to stop.
func (o *Owner) drain(now time.Time, w oleandervalve.WorkerID, m *peer.Drain) {
	o.placer.scheduler.DrainWorker(w, now.Add(m.Within))
	if m.Reason != peer.ReasonPlannedStop {
		return
	}
	for i, s := range o.ownedShards() {
		o.executeActions(i, s.EvictWorker(now, w, reasonDraining))
	}
}

func (o *Owner) report(now time.Time, r job.Report) {
	i := job.ShardOf(job.Parent(r.Run.Task))
	if s := o.shard(i); s != nil {
		o.executeActions(i, s.Reported(now, r))
	}
}

func (o *Owner) residents(now time.Time, w oleandervalve.WorkerID, m *peer.Residents) {
	info := o.workers[w]
	if info == nil {
		return
	}
	if info.capacity != m.Capacity {
		info.capacity = m.Capacity
		o.placer.scheduler.UpdateWorker(w, info.location, info.labels, m.Capacity)
		o.updateUnassigned()
		o.adoptOwned(now, w)
	}
	o.placer.residents(now, w, m, func(id oleandervalve.TaskID) bool {
		s := o.shards[job.ShardOf(job.Parent(id))]
		if s == nil {
			return false
		}
		_, ok := s.Task(id)
		return ok
	})
}

// SetQuotas replaces the quotas of the teams. Capacity beyond the sum of the quotas
// can be borrowed by all teams.
func (o *Owner) SetQuotas(quotas map[oleandervalve.TeamID]oleandervalve.Resources) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for t := range o.quotas {
		if _, ok := quotas[t]; !ok {
			o.placer.scheduler.SetQuota(t, oleandervalve.Resources{})
		}
	}
	for t, r := range quotas {
		o.placer.scheduler.SetQuota(t, r)
	}
	o.quotas = quotas
	o.updateUnassigned()
}

func (o *Owner) updateUnassigned() {
	unassigned := o.placer.scheduler.Fleet().Total()
	for _, r := range o.quotas {
		unassigned = unassigned.Sub(r)
	}
	unassigned.CPU, unassigned.Memory, unassigned.Accelerators = max(0, unassigned.CPU), max(0, unassigned.Memory), max(0, unassigned.Accelerators)
	o.placer.scheduler.SetUnassigned(unassigned)
}

// adoptOwned adds the owned tasks on a worker to the scheduler, which may not have
// known the worker when the records of the tasks were read.
func (o *Owner) adoptOwned(now time.Time, w oleandervalve.WorkerID) {
	for i, s := range o.ownedShards() {
		for _, t := range s.Placed(w) {
			o.syncRow(now, s, i, job.TaskKey(t.Job, t.Task()))
		}
	}
}

// maxQueryBackoff limits the time between two queries about a suspect worker. The
// backoff protects the platform: while a region of 350 workers is disconnected for
// minutes, eight entries that query each of them every second would send 2,800
// calls a second.
const maxQueryBackoff = 16 * time.Second

// suspectsToQuery returns the suspect workers to query the platform about now. The
// time between queries about the same worker doubles up to maxQueryBackoff.
func (o *Owner) suspectsToQuery(now time.Time) []oleandervalve.WorkerID {
	var list []oleandervalve.WorkerID
	for id, w := range o.workers {
		if !o.suspicion.IsSuspect(now, id) {
			w.nextQueryAt, w.queryBackoff = time.Time{}, 0
			continue
		}
		if now.Before(w.nextQueryAt) {
			continue
		}
		w.queryBackoff = min(max(2*w.queryBackoff, suspectInterval), maxQueryBackoff)
		w.nextQueryAt = now.Add(w.queryBackoff)
		list = append(list, id)
	}
	return list
}

// checkSuspects queries the platform about suspect workers.
func (o *Owner) checkSuspects() {
	o.mu.Lock()
	list := o.suspectsToQuery(o.clock.Now())
	o.mu.Unlock()
	for _, w := range list {
		s, err := o.platform.Status(o.ctx, w)
		if err != nil {
			continue
		}
		o.mu.Lock()
		o.applyPlatformStatus(o.clock.Now(), w, s)
		o.mu.Unlock()
	}
}

// applyPlatformStatus applies the platform's status of a suspect worker. A run that
// the platform lists as ended stays ended, because a repeated start of the same
// epoch has no effect. A run that it does not list may still be started, so nothing
// is concluded from its absence.
func (o *Owner) applyPlatformStatus(now time.Time, w oleandervalve.WorkerID, s oleandervalve.WorkerStatus) {
	if s.Terminated {
		for i, x := range o.ownedShards() {
			o.executeActions(i, x.WorkerTerminated(now, w))
		}
		for _, id := range o.placer.scheduler.WorkerTerminated(w, now) {
			if x := o.placer.tasks[id]; x != nil {
				x.stage = stageQueued
			}
		}
		delete(o.workers, w)
		delete(o.placer.foreignTasks, w)
		o.suspicion.Remove(w)
		o.log.WithField("worker", w).Warn("platform confirmed that the worker is gone")
		return
	}
	for _, t := range s.Tasks {
		r := job.Report{Worker: w, Run: job.Run{Task: t.Spec.Task, Epoch: t.Spec.Epoch}, Started: true}
		switch t.State {
		case oleandervalve.PlatformFinished:
			r.Status = job.StatusFinished
		case oleandervalve.PlatformFailed:
			r.Status, r.Reason = job.StatusFailed, oleandervalve.Reason(t.Reason)
		case oleandervalve.PlatformStopped:
			r.Status, r.Reason = job.StatusStopped, job.ReasonPlatform
		default:
			continue
		}
		o.report(now, r)
	}
}

// checkExpired places the tasks of workers again whose lease has expired by the
// table's clock.
func (o *Owner) checkExpired() {
	o.mu.Lock()
	now := o.clock.Now()
	byShard := map[oleandervalve.ShardID][]oleandervalve.WorkerID{}
	for w := range o.placedWorkers() {
		if o.suspicion.IsSuspect(now, w) {
			byShard[lease.WorkerLeaseShardOf(w)] = append(byShard[lease.WorkerLeaseShardOf(w)], w)
		}
	}
	tableNow := now.Add(o.tableClockOffset)
	o.mu.Unlock()
	for shard, workers := range byShard {
		rows, err := o.store.tryGet(o.ctx, []oleandervalve.Key{lease.WorkerLeaseKey(shard)})
		if err != nil {
			return
		}
		expired, err := lease.ExpiredWorkers(rows[0], tableNow, lease.WorkerTTL, lease.Guard)
		if err != nil {
			o.log.WithError(err).Error("row of worker leases can't be read")
			continue
		}
		o.mu.Lock()
		for _, w := range workers {
			if contains(w, expired) {
				o.leaseExpired(w, rows[0])
			}
		}
		o.mu.Unlock()
	}
}

func contains(w oleandervalve.WorkerID, list []oleandervalve.WorkerID) bool {
	for _, x := range list {
		if x == w {
			return true
		}
	}
	return false
}

func (o *Owner) leaseExpired(w oleandervalve.WorkerID, row oleandervalve.Row) {
	c, err := lease.TakeoverCondition(row, w, lease.WorkerTTL, lease.Guard)
	if err != nil {
		return
	}
	now := o.clock.Now()
	o.log.WithField("worker", w).Warn("worker's lease has expired; its tasks are placed again")
	for i, s := range o.ownedShards() {
		o.executeActions(i, s.WorkerExpired(now, w, c))
	}
}

// placedWorkers returns the workers on which the owned tasks are placed.
func (o *Owner) placedWorkers() map[oleandervalve.WorkerID]bool {
	out := map[oleandervalve.WorkerID]bool{}
	for _, s := range o.shards {
		for _, t := range s.Placed("") {
			out[t.Worker] = true
		}
	}
	return out
}

// scan reads the sessions of the entries and the leases of the shards.
func (o *Owner) scan() {
	owned, err := o.store.scan(o.ctx, lease.ShardPrefix(lease.TaskShards))
	if err != nil {
		return
	}
	leases, err := o.store.scan(o.ctx, lease.ShardPrefix(lease.WorkerLeaseShards))
	if err != nil {
		return
	}
	entries, err := o.store.scan(o.ctx, lease.SessionPrefix)
	if err != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tableClockOffset = entries.At.Sub(o.clock.Now())
	if o.sharedLimits {
		o.store.setLimits(o.limits.Share(liveEntries(entries)))
	}
	ownSession := oleandervalve.Row{Key: lease.SessionKey(o.id)}
	for _, r := range entries.Rows {
		if r.Key == ownSession.Key {
			ownSession = r
		}
	}
	o.session.Observe(ownSession)
	o.taskShards.Observe(owned, entries)
	o.renewalShards.Observe(leases, entries)
}

// liveEntries returns the number of entries whose session had not expired when the
// page was read.
func liveEntries(p oleandervalve.Page) int {
	n := 0
	for _, r := range p.Rows {
		if p.At.Sub(r.WrittenAt) < lease.SessionTTL {
			n++
		}
	}
	return n
}
