package taskowner

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"k8s.io/apimachinery/pkg/labels"

	"oleandervalve"
	"oleandervalve/core/job"
	"oleandervalve/core/lease"
	"oleandervalve/core/scheduler"
	"oleandervalve/core/table"
	"oleandervalve/io/peer"
)

const (
	tickInterval    = 50 * time.Millisecond
	scanInterval    = 2 * time.Second
	inboxInterval   = 250 * time.Millisecond
	suspectInterval = time.Second
	expiryInterval  = 5 * time.Second

	// shardTickPeriod is the number of ticks of the owner between two ticks of a
	// shard. Ticking a shard takes about 1.3 µs per task (BenchmarkShard); doing so
	// at every tick would take three quarters of a core for 28,000 tasks. No
	// action that a shard's tick repeats is due again in less than a second.
	shardTickPeriod = 4
)

// Sender sends messages to the agents of workers.
type Sender interface {
	// SendWorker sends a message and reports whether the worker's agent is connected.
	SendWorker(w oleandervalve.WorkerID, m peer.Message) bool
}

// workerInfo holds what the owner knows about a connected worker.
type workerInfo struct {
	location oleandervalve.Location
	// announced holds the labels that the agent sent when it connected, labels those
	// according to the current configuration.
	announced  map[string]string
	labels     labels.Set
	capacity   oleandervalve.Resources
	responsive bool
	// nextQueryAt is the time of the next query to the platform about a suspect
	// worker, and queryBackoff the time from the last query to that one.
	nextQueryAt  time.Time
	queryBackoff time.Duration
}

// Owner runs the tasks of the shards that its entry owns.
type Owner struct {
	id        oleandervalve.EntryID
	sessionID string
	clock     oleandervalve.Clock
	uptime    oleandervalve.Uptime
	// leaseClock measures the session, on which the ownership of all shards depends.
	leaseClock      *oleandervalve.LeaseClock
	log             *logrus.Entry
	scope           tally.Scope
	platform        oleandervalve.Platform
	sender          Sender
	policies        Policies
	store           *store
	schedulerConfig scheduler.Config
	limits          table.Limits
	sharedLimits    bool

	mu               sync.Mutex
	session          *lease.Session
	taskShards       *lease.Shards
	renewalShards    *lease.Shards
	shards           map[oleandervalve.ShardID]*job.Shard
	loading          map[oleandervalve.ShardID]bool
	renewals         map[oleandervalve.ShardID]*lease.RenewalWriter
	suspicion        *lease.FailureDetector
	placer           *placer
	workers          map[oleandervalve.WorkerID]*workerInfo
	claimedInbox     map[oleandervalve.Key]bool
	tableClockOffset time.Duration
	quotas           map[oleandervalve.TeamID]oleandervalve.Resources
	ticks            int
	// awaitsConfiguration is set while the entry has not applied a configuration yet.
	// It places no task until then, because the data centre may be evacuated.
	awaitsConfiguration bool
	// tickNext holds the shards with a new placement, which are ticked at the next
	// tick of the owner.
	tickNext map[oleandervalve.ShardID]bool

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// Option configures an owner.
type Option func(*Owner)

// WithClock replaces the system clock.
func WithClock(c oleandervalve.Clock) Option { return func(o *Owner) { o.clock = c } }

// WithUptime replaces the uptime of the system, which counts suspensions of the instance.
func WithUptime(u oleandervalve.Uptime) Option { return func(o *Owner) { o.uptime = u } }

// WithLog sets the log.
func WithLog(l *logrus.Entry) Option { return func(o *Owner) { o.log = l } }

// WithScope sets the metrics scope.
func WithScope(s tally.Scope) Option { return func(o *Owner) { o.scope = s } }

// WithScheduler sets the placement policy.
func WithScheduler(c scheduler.Config) Option { return func(o *Owner) { o.schedulerConfig = c } }

// WithLimits sets a fixed share of the table budget for this entry.
func WithLimits(l table.Limits) Option { return func(o *Owner) { o.limits, o.sharedLimits = l, false } }

// WithSharedLimits sets the table budget of all entries together, which the owner
// divides by the number of live entries. The default is table.DefaultLimits.
func WithSharedLimits(l table.Limits) Option {
	return func(o *Owner) { o.limits, o.sharedLimits = l, true }
}

// New starts an owner; address is where agents reach the entry.
func New(id oleandervalve.EntryID, address string, t oleandervalve.Table, p oleandervalve.Platform, s Sender, options ...Option) *Owner {
	b := make([]byte, 6)
	_, _ = rand.Read(b)
	o := &Owner{
		id: id, sessionID: string(id) + "-" + hex.EncodeToString(b),
		clock: oleandervalve.SystemClock(), uptime: oleandervalve.SystemUptime, log: logrus.NewEntry(logrus.StandardLogger()), scope: tally.NoopScope,
		platform: p, sender: s, schedulerConfig: scheduler.DefaultConfig(), limits: table.DefaultLimits, sharedLimits: true,
		shards:       map[oleandervalve.ShardID]*job.Shard{},
		loading:      map[oleandervalve.ShardID]bool{},
		renewals:     map[oleandervalve.ShardID]*lease.RenewalWriter{},
		suspicion:    lease.NewFailureDetector(lease.SuspectAfter),
		workers:      map[oleandervalve.WorkerID]*workerInfo{},
		claimedInbox: map[oleandervalve.Key]bool{},
		tickNext:     map[oleandervalve.ShardID]bool{},
	}
	for _, f := range options {
		f(o)
	}
	o.leaseClock = oleandervalve.NewLeaseClock(o.clock, o.uptime)
	o.store = newStore(t, o.clock, o.limits)
	o.placer = newPlacer(o.schedulerConfig, o.log)
	o.session = lease.NewSession(lease.SessionRow{Entry: id, Session: o.sessionID, Address: address}, lease.SessionTTL)
	o.taskShards = lease.NewShards(lease.TaskShards, job.Shards, o.session)
	o.renewalShards = lease.NewShards(lease.WorkerLeaseShards, lease.WorkerLeaseShardCount, o.session)
	o.ctx, o.cancel = context.WithCancel(context.Background())
	o.startLoop(tickInterval, o.tick)
	o.startLoop(scanInterval, o.scan)
	o.startLoop(inboxInterval, o.readInbox)
	o.startLoop(suspectInterval, o.checkSuspects)
	o.startLoop(expiryInterval, o.checkExpired)
	return o
}

// startLoop calls f at an interval, in its own goroutine, until the owner is closed.
func (o *Owner) startLoop(interval time.Duration, f func()) {
	o.goroutines.Add(1)
	go func() {
		defer o.goroutines.Done()
		for {
			f()
			select {
			case <-o.ctx.Done():
				return
			case <-o.clock.After(interval):
			}
		}
	}()
}

// background runs f in its own goroutine, which Close waits for.
func (o *Owner) background(f func()) {
	o.goroutines.Add(1)
	go func() {
		defer o.goroutines.Done()
		f()
	}()
}

// commit resolves a transaction in the background and calls done with its result
// while it holds the lock. It does not call done if the owner is closed first.
func (o *Owner) commit(t oleandervalve.Transaction, p table.Priority, done func(now time.Time, r table.Result)) {
	o.background(func() {
		r, ok := o.store.resolve(o.ctx, t, p)
		if !ok {
			return
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		done(o.clock.Now(), r)
	})
}

// tick runs the timers of the leases, shards, workers and scheduler.
func (o *Owner) tick() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	o.tickLeases(o.leaseClock.Now())
	o.tickRenewals(now)
	o.ticks++
	for i := range oleandervalve.ShardID(job.Shards) {
		o.tickShard(now, i, o.isTickDue(i))
	}
	o.tickWorkers(now)
	limit := maxPlacementsPerStep
	if o.awaitsConfiguration {
		limit = 0
	}
	o.applyDecisions(now, o.placer.scheduler.Step(now, limit))
}

func (o *Owner) tickLeases(now time.Time) {
	if t, ok := o.session.Tick(now); ok {
		o.commit(t, table.Renewing, func(_ time.Time, r table.Result) { o.session.HandleResult(o.leaseClock.Now(), t.ID, r) })
	}
	for _, s := range []*lease.Shards{o.taskShards, o.renewalShards} {
		for _, t := range s.Tick(now) {
			o.commit(t, table.Renewing, func(_ time.Time, r table.Result) { s.HandleResult(t.ID, r) })
		}
	}
}

func (o *Owner) tickRenewals(now time.Time) {
	for i := range oleandervalve.ShardID(lease.WorkerLeaseShardCount) {
		r := o.renewals[i]
		switch held := o.renewalShards.Held(o.leaseClock.Now(), i); {
		case held && r == nil:
			r = lease.NewRenewalWriter(i, o.sessionID)
			o.renewals[i] = r
			o.background(func() { o.loadRenewals(i, r) })
		case !held && r != nil:
			delete(o.renewals, i)
		case held:
			if t, ok := r.Tick(now); ok {
				o.commit(t, table.Renewing, func(now time.Time, x table.Result) { o.sendRenewals(r.HandleResult(now, t.ID, x)) })
			}
		}
	}
}

func (o *Owner) loadRenewals(i oleandervalve.ShardID, r *lease.RenewalWriter) {
	rows := o.store.get(o.ctx, []oleandervalve.Key{lease.WorkerLeaseKey(i)})
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(rows) == 1 {
		r.Observe(rows[0])
	}
}

// agentEpoch is the time that represents the start of an agent, so that the
// agent's durations since its start can be handled as times.
var agentEpoch = time.Unix(0, 0)

func (o *Owner) sendRenewals(list []lease.RenewalAck) {
	for _, x := range list {
		o.sender.SendWorker(x.Worker, &peer.LeaseRenewed{SentAfter: x.SentAt.Sub(agentEpoch)})
	}
}

// isTickDue reports whether a shard is ticked at this tick of the owner, and removes
// it from tickNext.
func (o *Owner) isTickDue(i oleandervalve.ShardID) bool {
	due := o.tickNext[i] || int(i)%shardTickPeriod == o.ticks%shardTickPeriod
	delete(o.tickNext, i)
	return due
}

// holds reports whether the entry owns a shard of tasks now.
func (o *Owner) holds(i oleandervalve.ShardID) bool {
	return o.taskShards.Held(o.leaseClock.Now(), i)
}

// shard returns the shard if the entry owns it now, or nil. What a shard says is used only
// after this check: the entry may have been suspended, and another one owns the shard since.
func (o *Owner) shard(i oleandervalve.ShardID) *job.Shard {
	s := o.shards[i]
	if s == nil || o.holds(i) {
		return s
	}
	delete(o.shards, i)
	o.placer.dropShard(i, o.clock.Now())
	o.log.WithField("shard", i).Info("shard of tasks is no longer owned")
	return nil
}

// ownedShards returns all shards that the entry owns now.
func (o *Owner) ownedShards() map[oleandervalve.ShardID]*job.Shard {
	out := make(map[oleandervalve.ShardID]*job.Shard, len(o.shards))
	for i := range o.shards {
		if s := o.shard(i); s != nil {
			out[i] = s
		}
	}
	return out
}

func (o *Owner) tickShard(now time.Time, i oleandervalve.ShardID, due bool) {
	s := o.shard(i)
	switch held := o.holds(i); {
	case held && s == nil && !o.loading[i]:
		o.loading[i] = true
		fence := o.taskShards.Fence(i)
		o.background(func() { o.loadShard(i, fence) })
	case held && s != nil && due:
		o.executeActions(i, s.Tick(now))
	}
}

// loadShard builds a shard from its rows in the table. The fence is that of the lease under
// which the load began: rows read before the shard was lost lack what its owners in between
// have accepted, and the next tick loads the shard again.
func (o *Owner) loadShard(i oleandervalve.ShardID, fence []oleandervalve.Condition) {
	page, err := o.store.scan(o.ctx, job.TaskPrefix(i))
	var jobRows []oleandervalve.Row
	if err == nil {
		jobRows = o.store.get(o.ctx, jobRowKeys(page.Rows))
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.loading, i)
	now := o.clock.Now()
	if err != nil || !o.holds(i) || !slices.Equal(fence, o.taskShards.Fence(i)) {
		return
	}
	s := job.NewShard(i, o.id, o.sessionID, o.placer, job.DefaultSettings)
	o.shards[i] = s
	rows := append(jobRows, page.Rows...)
	actions, err := s.Observe(now, rows...)
	if err != nil {
		o.log.WithError(err).WithField("shard", i).Error("some rows of the shard can't be read")
	}
	for _, r := range page.Rows {
		if t, ok := s.Task(taskIDOf(i, r.Key)); ok {
			o.applyDecisions(now, o.placer.sync(now, t.Record))
		}
	}
	o.log.WithField("shard", i).WithField("rows", len(rows)).Info("shard of tasks is owned")
	o.executeActions(i, actions)
}

func taskIDOf(i oleandervalve.ShardID, k oleandervalve.Key) oleandervalve.TaskID {
	return oleandervalve.TaskID(strings.TrimPrefix(string(k), string(job.TaskPrefix(i))))
}

func jobRowKeys(rows []oleandervalve.Row) []oleandervalve.Key {
	var out []oleandervalve.Key
	seen := map[oleandervalve.JobID]bool{}
	for _, r := range rows {
		t, err := job.ParseTask(r)
		if err != nil || seen[t.Job] {
			continue
		}
		seen[t.Job] = true
		out = append(out, job.RowKey(t.Job))
	}
	return out
}

func (o *Owner) tickWorkers(now time.Time) {
	for id, w := range o.workers {
		suspect := o.suspicion.IsSuspect(now, id)
		if suspect == w.responsive {
			w.responsive = !suspect
			if suspect {
				o.placer.scheduler.Suspect(id)
				o.log.WithField("worker", id).Warn("worker is silent and gets no new work")
			} else {
				o.placer.scheduler.HeartbeatReceived(id)
			}
		}
	}
	o.placer.expirePlacements(now, o.waits)
}

// applyDecisions executes decisions of the scheduler.
func (o *Owner) applyDecisions(now time.Time, list []scheduler.Decision) {
	for _, d := range list {
		if d.Action == scheduler.Place {
			o.tickNext[job.ShardOf(job.Parent(d.Task))] = true
		}
	}
	for _, d := range o.placer.recordDecisions(now, list) {
		i := job.ShardOf(job.Parent(d.Task))
		s := o.shard(i)
		if s == nil {
			continue // the owner of the task gets the same measurements and decides itself
		}
		if d.Action == scheduler.Resize {
			if t, ok := s.Task(d.Task); ok {
				o.sender.SendWorker(t.Worker, &peer.ResizeTask{Run: t.Run(), Size: d.Size})
			}
			continue
		}
		if d.Action == scheduler.Throttle {
			if actions, err := s.Throttle(d.Task, d.Share); err == nil {
				o.executeActions(i, actions)
			}
			continue
		}
		if actions, err := s.Evict(now, d.Task, d.Reason); err == nil {
			o.executeActions(i, actions)
		} else if x := o.placer.tasks[d.Task]; x != nil {
			x.pendingEviction = d.Reason
		}
	}
}

// executeActions executes the actions that a shard has returned.
func (o *Owner) executeActions(i oleandervalve.ShardID, list []job.Action) {
	for _, a := range list {
		switch a := a.(type) {
		case job.Commit:
			o.commit(a.Transaction, a.Priority, func(now time.Time, r table.Result) { o.commitResolved(now, i, a.Transaction, r) })
		case job.Read:
			o.background(func() { o.observe(i, o.store.get(o.ctx, a.Keys)) })
		case job.Reserve:
			o.sender.SendWorker(a.Worker, &peer.ReserveTask{Reserve: a})
		case job.Release:
			o.sender.SendWorker(a.Worker, &peer.ReleaseTask{Release: a})
		case job.Start:
			o.sender.SendWorker(a.Worker, &peer.StartTask{Start: a})
		case job.Stop:
			o.sender.SendWorker(a.Worker, &peer.StopTask{Stop: a})
		case job.Query:
			o.sender.SendWorker(a.Worker, &peer.QueryTask{Query: a})
		case job.Throttle:
			o.sender.SendWorker(a.Worker, &peer.ThrottleTask{Throttle: a})
		case job.Acknowledge:
			o.sender.SendWorker(a.Worker, &peer.AcknowledgeTask{Acknowledge: a})
		default:
			o.log.WithField("action", fmt.Sprintf("%T", a)).Error("shard returned an action of an unknown type")
		}
	}
}

// commitResolved passes the result of a commit to its shard and to the placer.
func (o *Owner) commitResolved(now time.Time, i oleandervalve.ShardID, t oleandervalve.Transaction, r table.Result) {
	s := o.shard(i)
	if s == nil {
		return
	}
	actions, err := s.HandleResult(now, t.ID, r)
	if err != nil {
		o.log.WithError(err).WithField("shard", i).Error("rows of a transaction can't be read")
	}
	for _, p := range t.Puts {
		o.syncRow(now, s, i, p.Key)
	}
	o.executeActions(i, actions)
}

// syncRow updates the placer from the shard's current record for a row's key: the
// state of a task, or the cancellation of a job.
func (o *Owner) syncRow(now time.Time, s *job.Shard, i oleandervalve.ShardID, k oleandervalve.Key) {
	if !strings.HasPrefix(string(k), string(job.TaskPrefix(i))) {
		j := oleandervalve.JobID(strings.TrimPrefix(string(k), "jobs/"))
		if g, ok := s.Job(j); ok && g.Cancelled {
			o.placer.withdraw(j)
		}
		return
	}
	t, ok := s.Task(taskIDOf(i, k))
	if !ok {
		return
	}
	o.applyDecisions(now, o.placer.sync(now, t.Record))
	x := o.placer.tasks[t.Task()]
	if t.State != job.StateRunning || x == nil || x.pendingEviction == "" {
		return
	}
	reason := x.pendingEviction
	x.pendingEviction = ""
	if actions, err := s.Evict(now, t.Task(), reason); err == nil {
		o.executeActions(i, actions)
	}
}

// observe passes rows that were read to their shard and to the placer.
func (o *Owner) observe(i oleandervalve.ShardID, rows []oleandervalve.Row) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.shard(i)
	if s == nil {
		return
	}
	now := o.clock.Now()
	actions, err := s.Observe(now, rows...)
	if err != nil {
		o.log.WithError(err).WithField("shard", i).Error("rows can't be read")
	}
	for _, r := range rows {
		o.syncRow(now, s, i, r.Key)
	}
	o.executeActions(i, actions)
}

// Release ends the session, so that other entries can take over the shards at once.
func (o *Owner) Release() {
	o.mu.Lock()
	t, ok := o.session.Release(o.leaseClock.Now())
	o.mu.Unlock()
	if ok {
		_, _ = o.store.resolve(o.ctx, t, table.Finishing)
	}
}

// Close stops the owner and waits for its goroutines.
func (o *Owner) Close() {
	o.cancel()
	o.goroutines.Wait()
}
