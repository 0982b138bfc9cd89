package taskowner

import (
	"time"

	"oleandervalve"
	"oleandervalve/core/job"
	"oleandervalve/core/lease"
	"oleandervalve/io/peer"
)

// Connected tells that the agent of a worker has connected.
func (o *Owner) Connected(w oleandervalve.WorkerID, l oleandervalve.Location, set map[string]string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	v := o.workers[w]
	if v == nil {
		v = &workerView{}
		o.workers[w] = v
	}
	v.location, v.announced, v.labels, v.heard = l, set, o.labelsOf(set), true
	o.suspicion.HeartbeatReceived(now, w)
	// An agent that still drains says so after it connects.
	o.placer.scheduler.CancelDrain(w)
	for i, s := range o.shards {
		o.run(i, s.WorkerConnected(now, w))
	}
}

// Heartbeat records a sign of life, which also asks for a renewal of the worker's lease.
func (o *Owner) Heartbeat(w oleandervalve.WorkerID, m *peer.Heartbeat) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.suspicion.HeartbeatReceived(o.clock.Now(), w)
	if r := o.renewals[lease.WorkerLeaseShardOf(w)]; r != nil {
		r.Heartbeat(w, agentEpoch.Add(m.SentAfter))
	}
}

// Handle takes a message of a worker's agent about tasks.
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
		if s := o.shards[i]; s != nil {
			o.run(i, s.Reserved(now, m.Reserved))
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

// reasonDraining marks tasks that leave a worker because its agent stops as planned.
const reasonDraining = oleandervalve.Reason("workerDraining")

// drain moves the tasks off a worker whose agent takes no new work: a few at a
// time when an operator asked for it, all at once when the agent is about to stop.
func (o *Owner) drain(now time.Time, w oleandervalve.WorkerID, m *peer.Drain) {
	o.placer.scheduler.DrainWorker(w, now.Add(m.Within))
	if m.Reason != peer.ReasonPlannedStop {
		return
	}
	for i, s := range o.shards {
		o.run(i, s.EvictWorker(now, w, reasonDraining))
	}
}

func (o *Owner) report(now time.Time, r job.Report) {
	i := job.ShardOf(job.Parent(r.Run.Task))
	if s := o.shards[i]; s != nil {
		o.run(i, s.Reported(now, r))
	}
}

func (o *Owner) residents(now time.Time, w oleandervalve.WorkerID, m *peer.Residents) {
	v := o.workers[w]
	if v == nil {
		return
	}
	if v.capacity != m.Capacity {
		v.capacity = m.Capacity
		o.placer.scheduler.UpdateWorker(w, v.location, v.labels, m.Capacity)
		o.lendUnassigned()
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

// SetQuotas replaces the quotas of the teams; capacity beyond them is lent to all.
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
	o.lendUnassigned()
}

func (o *Owner) lendUnassigned() {
	rest := o.placer.scheduler.Fleet().Total()
	for _, r := range o.quotas {
		rest = rest.Sub(r)
	}
	rest.CPU, rest.Memory, rest.Accelerators = max(0, rest.CPU), max(0, rest.Memory), max(0, rest.Accelerators)
	o.placer.scheduler.SetUnassigned(rest)
}

// adoptOwned tells the scheduler of owned tasks on a worker that it had not known.
func (o *Owner) adoptOwned(now time.Time, w oleandervalve.WorkerID) {
	for i, s := range o.shards {
		for _, t := range s.Placed(w) {
			o.syncKey(now, s, i, job.TaskKey(t.Job, t.Task()))
		}
	}
}

// askAtMost is the longest time between two questions about a silent worker:
// when a region of 350 workers is cut off for minutes, eight entries that ask
// about each of them every second would send the platform 2,800 calls a second.
const askAtMost = 16 * time.Second

// dueSuspects returns the silent workers that the platform is asked about now;
// the wait between questions about the same worker doubles.
func (o *Owner) dueSuspects(now time.Time) []oleandervalve.WorkerID {
	var list []oleandervalve.WorkerID
	for id, w := range o.workers {
		if !o.suspicion.IsSuspect(now, id) {
			w.askAt, w.wait = time.Time{}, 0
			continue
		}
		if now.Before(w.askAt) {
			continue
		}
		w.wait = min(max(2*w.wait, suspectScan), askAtMost)
		w.askAt = now.Add(w.wait)
		list = append(list, id)
	}
	return list
}

// checkSuspects asks the platform about silent workers.
func (o *Owner) checkSuspects() {
	o.mu.Lock()
	list := o.dueSuspects(o.clock.Now())
	o.mu.Unlock()
	for _, w := range list {
		s, err := o.platform.Status(o.ctx, w)
		if err != nil {
			continue
		}
		o.mu.Lock()
		o.confirmed(o.clock.Now(), w, s)
		o.mu.Unlock()
	}
}

// confirmed uses what the platform says of a silent worker. A run that the
// platform lists as ended is over for good, because a repeated start of the
// same epoch has no effect; a run that it does not list may still be started.
func (o *Owner) confirmed(now time.Time, w oleandervalve.WorkerID, s oleandervalve.WorkerStatus) {
	if s.Gone {
		for i, x := range o.shards {
			o.run(i, x.WorkerTerminated(now, w))
		}
		for _, id := range o.placer.scheduler.WorkerTerminated(w, now) {
			if x := o.placer.tasks[id]; x != nil {
				x.stage = stageQueued
			}
		}
		delete(o.workers, w)
		delete(o.placer.foreign, w)
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

// checkExpired takes tasks over from workers whose lease has expired by the table's clock.
func (o *Owner) checkExpired() {
	o.mu.Lock()
	now := o.clock.Now()
	byShard := map[oleandervalve.ShardID][]oleandervalve.WorkerID{}
	for w := range o.placedWorkers() {
		if o.suspicion.IsSuspect(now, w) {
			byShard[lease.WorkerLeaseShardOf(w)] = append(byShard[lease.WorkerLeaseShardOf(w)], w)
		}
	}
	tableNow := now.Add(o.tableLag)
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
			if isIn(w, expired) {
				o.lost(w, rows[0])
			}
		}
		o.mu.Unlock()
	}
}

func isIn(w oleandervalve.WorkerID, list []oleandervalve.WorkerID) bool {
	for _, x := range list {
		if x == w {
			return true
		}
	}
	return false
}

func (o *Owner) lost(w oleandervalve.WorkerID, row oleandervalve.Row) {
	c, err := lease.TakeoverCondition(row, w, lease.WorkerTTL, lease.Guard)
	if err != nil {
		return
	}
	now := o.clock.Now()
	o.log.WithField("worker", w).Warn("worker's lease has expired; its tasks are placed again")
	for i, s := range o.shards {
		o.run(i, s.WorkerExpired(now, w, c))
	}
}

// placedWorkers returns the workers that the owned tasks are bound to.
func (o *Owner) placedWorkers() map[oleandervalve.WorkerID]bool {
	out := map[oleandervalve.WorkerID]bool{}
	for _, s := range o.shards {
		for _, t := range s.Placed("") {
			out[t.Worker] = true
		}
	}
	return out
}

// scan reads which entries live and which shards they own.
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
	o.tableLag = entries.At.Sub(o.clock.Now())
	if o.shared {
		o.store.setLimits(o.limits.Share(liveEntries(entries)))
	}
	own := oleandervalve.Row{Key: lease.SessionKey(o.id)}
	for _, r := range entries.Rows {
		if r.Key == own.Key {
			own = r
		}
	}
	o.session.Observe(own)
	o.owned.Observe(owned, entries)
	o.leases.Observe(leases, entries)
}

// liveEntries counts the entries whose session had not expired when their rows were read.
func liveEntries(p oleandervalve.Page) int {
	n := 0
	for _, r := range p.Rows {
		if p.At.Sub(r.WrittenAt) < lease.SessionTTL {
			n++
		}
	}
	return n
}
