package taskowner

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
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
	tickEvery   = 50 * time.Millisecond
	scanEvery   = 2 * time.Second
	inboxEvery  = 250 * time.Millisecond
	suspectScan = time.Second
	expiryEvery = 5 * time.Second

	// shardTurns is the number of ticks in which every shard has its turn. A
	// turn takes about 1.3 µs for each task of the shard (BenchmarkShard), which
	// at every tick would be three quarters of a core for 28,000 tasks. Nothing
	// that a turn repeats is due in less than a second.
	shardTurns = 4
)

// Sender reaches the agents of workers.
type Sender interface {
	// SendWorker passes a message on and reports whether the worker's agent is connected.
	SendWorker(w oleandervalve.WorkerID, m peer.Message) bool
}

// workerView is what an entry knows of a connected worker.
type workerView struct {
	location oleandervalve.Location
	// announced holds the labels of the agent's greeting, labels those in force.
	announced map[string]string
	labels    labels.Set
	capacity  oleandervalve.Resources
	heard     bool
	// askAt is when the platform is asked next about a silent worker, and wait
	// the time from then to the question after it.
	askAt time.Time
	wait  time.Duration
}

// Owner runs the tasks of the shards that its entry owns.
type Owner struct {
	id       oleandervalve.EntryID
	prefix   string
	clock    oleandervalve.Clock
	log      *logrus.Entry
	scope    tally.Scope
	platform oleandervalve.Platform
	sender   Sender
	policies Policies
	store    *store
	config   scheduler.Config
	limits   table.Limits
	shared   bool

	mu        sync.Mutex
	session   *lease.Session
	owned     *lease.Shards
	leases    *lease.Shards
	shards    map[oleandervalve.ShardID]*job.Shard
	loading   map[oleandervalve.ShardID]bool
	renewals  map[oleandervalve.ShardID]*lease.RenewalWriter
	suspicion *lease.FailureDetector
	placer    *placer
	workers   map[oleandervalve.WorkerID]*workerView
	inbox     map[oleandervalve.Key]bool
	tableLag  time.Duration
	quotas    map[oleandervalve.TeamID]oleandervalve.Resources
	ticks     int
	// due holds the shards with a new placement, which have their turn at once.
	due map[oleandervalve.ShardID]bool

	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup
}

// Option changes an owner.
type Option func(*Owner)

// WithClock replaces the system clock.
func WithClock(c oleandervalve.Clock) Option { return func(o *Owner) { o.clock = c } }

// WithLog sets the log.
func WithLog(l *logrus.Entry) Option { return func(o *Owner) { o.log = l } }

// WithScope sets the metrics scope.
func WithScope(s tally.Scope) Option { return func(o *Owner) { o.scope = s } }

// WithScheduler sets the placement policy.
func WithScheduler(c scheduler.Config) Option { return func(o *Owner) { o.config = c } }

// WithLimits sets a fixed share of the table budget for this entry.
func WithLimits(l table.Limits) Option { return func(o *Owner) { o.limits, o.shared = l, false } }

// WithSharedLimits sets the table budget of all entries together, which the
// owner divides by the number of entries that live; table.DefaultLimits by default.
func WithSharedLimits(l table.Limits) Option {
	return func(o *Owner) { o.limits, o.shared = l, true }
}

// New returns a running owner; address is where agents reach the entry.
func New(id oleandervalve.EntryID, address string, t oleandervalve.Table, p oleandervalve.Platform, s Sender, options ...Option) *Owner {
	b := make([]byte, 6)
	_, _ = rand.Read(b)
	o := &Owner{
		id: id, prefix: string(id) + "-" + hex.EncodeToString(b),
		clock: oleandervalve.SystemClock(), log: logrus.NewEntry(logrus.StandardLogger()), scope: tally.NoopScope,
		platform: p, sender: s, config: scheduler.DefaultConfig(), limits: table.DefaultLimits, shared: true,
		shards:    map[oleandervalve.ShardID]*job.Shard{},
		loading:   map[oleandervalve.ShardID]bool{},
		renewals:  map[oleandervalve.ShardID]*lease.RenewalWriter{},
		suspicion: lease.NewFailureDetector(lease.SuspectAfter),
		workers:   map[oleandervalve.WorkerID]*workerView{},
		inbox:     map[oleandervalve.Key]bool{},
		due:       map[oleandervalve.ShardID]bool{},
	}
	for _, f := range options {
		f(o)
	}
	o.store = newStore(t, o.clock, o.limits)
	o.placer = newPlacer(o.config, o.log)
	o.session = lease.NewSession(lease.SessionRow{Entry: id, Session: o.prefix, Address: address}, lease.SessionTTL)
	o.owned = lease.NewShards(lease.TaskShards, job.Shards, o.session)
	o.leases = lease.NewShards(lease.WorkerLeaseShards, lease.WorkerLeaseShardCount, o.session)
	o.ctx, o.cancel = context.WithCancel(context.Background())
	o.loop(tickEvery, o.tick)
	o.loop(scanEvery, o.scan)
	o.loop(inboxEvery, o.readInbox)
	o.loop(suspectScan, o.checkSuspects)
	o.loop(expiryEvery, o.checkExpired)
	return o
}

// loop calls f at an interval until the owner closes.
func (o *Owner) loop(every time.Duration, f func()) {
	o.work.Add(1)
	go func() {
		defer o.work.Done()
		for {
			f()
			select {
			case <-o.ctx.Done():
				return
			case <-o.clock.After(every):
			}
		}
	}()
}

// background runs f beside the loops.
func (o *Owner) background(f func()) {
	o.work.Add(1)
	go func() {
		defer o.work.Done()
		f()
	}()
}

// commit takes a transaction to its result and passes it on under the lock.
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

// tick does what is due in every part.
func (o *Owner) tick() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	o.tickLeases(now)
	o.tickRenewals(now)
	o.ticks++
	for i := range oleandervalve.ShardID(job.Shards) {
		o.tickShard(now, i, o.turn(i))
	}
	o.tickWorkers(now)
	o.decide(now, o.placer.scheduler.Step(now, placeLimit))
}

func (o *Owner) tickLeases(now time.Time) {
	if t, ok := o.session.Tick(now); ok {
		o.commit(t, table.Renewing, func(now time.Time, r table.Result) { o.session.HandleResult(now, t.ID, r) })
	}
	for _, s := range []*lease.Shards{o.owned, o.leases} {
		for _, t := range s.Tick(now) {
			o.commit(t, table.Renewing, func(_ time.Time, r table.Result) { s.HandleResult(t.ID, r) })
		}
	}
}

func (o *Owner) tickRenewals(now time.Time) {
	for i := range oleandervalve.ShardID(lease.WorkerLeaseShardCount) {
		r := o.renewals[i]
		switch held := o.leases.Held(now, i); {
		case held && r == nil:
			r = lease.NewRenewalWriter(i, o.prefix)
			o.renewals[i] = r
			o.background(func() { o.loadRenewals(i, r) })
		case !held && r != nil:
			delete(o.renewals, i)
		case held:
			if t, ok := r.Tick(now); ok {
				o.commit(t, table.Renewing, func(now time.Time, x table.Result) { o.renewed(r.HandleResult(now, t.ID, x)) })
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

// agentEpoch stands for the start of an agent where its relative times are
// handled as times.
var agentEpoch = time.Unix(0, 0)

func (o *Owner) renewed(list []lease.RenewalAck) {
	for _, x := range list {
		o.sender.SendWorker(x.Worker, &peer.LeaseRenewed{SentAfter: x.SentAt.Sub(agentEpoch)})
	}
}

// turn reports whether a shard has its turn at this tick.
func (o *Owner) turn(i oleandervalve.ShardID) bool {
	due := o.due[i] || int(i)%shardTurns == o.ticks%shardTurns
	delete(o.due, i)
	return due
}

func (o *Owner) tickShard(now time.Time, i oleandervalve.ShardID, turn bool) {
	s := o.shards[i]
	switch held := o.owned.Held(now, i); {
	case held && s == nil && !o.loading[i]:
		o.loading[i] = true
		o.background(func() { o.load(i) })
	case !held && s != nil:
		delete(o.shards, i)
		o.placer.drop(i, now)
		o.log.WithField("shard", i).Info("shard of tasks is owned no longer")
	case held && s != nil && turn:
		o.run(i, s.Tick(now))
	}
}

// load rebuilds a shard from the table.
func (o *Owner) load(i oleandervalve.ShardID) {
	page, err := o.store.scan(o.ctx, job.TaskPrefix(i))
	var groups []oleandervalve.Row
	if err == nil {
		groups = o.store.get(o.ctx, groupKeys(page.Rows))
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.loading, i)
	now := o.clock.Now()
	if err != nil || !o.owned.Held(now, i) {
		return
	}
	s := job.NewShard(i, o.id, o.prefix, o.placer, job.DefaultSettings)
	o.shards[i] = s
	rows := append(groups, page.Rows...)
	actions, err := s.Observe(now, rows...)
	if err != nil {
		o.log.WithError(err).WithField("shard", i).Error("some rows of the shard can't be read")
	}
	for _, r := range page.Rows {
		if t, ok := s.Task(taskOf(i, r.Key)); ok {
			o.decide(now, o.placer.sync(now, t.Record))
		}
	}
	o.log.WithField("shard", i).WithField("rows", len(rows)).Info("shard of tasks is owned")
	o.run(i, actions)
}

func taskOf(i oleandervalve.ShardID, k oleandervalve.Key) oleandervalve.TaskID {
	return oleandervalve.TaskID(strings.TrimPrefix(string(k), string(job.TaskPrefix(i))))
}

func groupKeys(rows []oleandervalve.Row) []oleandervalve.Key {
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
		if suspect == w.heard {
			w.heard = !suspect
			if suspect {
				o.placer.scheduler.Suspect(id)
				o.log.WithField("worker", id).Warn("worker is silent and gets no new work")
			} else {
				o.placer.scheduler.HeartbeatReceived(id)
			}
		}
	}
	o.placer.expire(now, func(id oleandervalve.TaskID) bool {
		s := o.shards[job.ShardOf(job.Parent(id))]
		if s == nil {
			return false
		}
		t, ok := s.Task(id)
		return ok && t.State.Waiting()
	})
}

// decide carries out decisions of the scheduler.
func (o *Owner) decide(now time.Time, list []scheduler.Decision) {
	for _, d := range list {
		if d.Action == scheduler.Place {
			o.due[job.ShardOf(job.Parent(d.Task))] = true
		}
	}
	for _, d := range o.placer.decided(now, list) {
		i := job.ShardOf(job.Parent(d.Task))
		s := o.shards[i]
		if s == nil {
			continue // the owner of the task sees the same measurements
		}
		if d.Action == scheduler.Resize {
			if t, ok := s.Task(d.Task); ok {
				o.sender.SendWorker(t.Worker, &peer.ResizeTask{Run: t.Run(), Size: d.Size})
			}
			continue
		}
		if d.Action == scheduler.Throttle {
			if actions, err := s.Throttle(d.Task, d.Share); err == nil {
				o.run(i, actions)
			}
			continue
		}
		if actions, err := s.Evict(now, d.Task, d.Reason); err == nil {
			o.run(i, actions)
		} else if x := o.placer.tasks[d.Task]; x != nil {
			x.evict = d.Reason
		}
	}
}

// run carries out the actions of a shard.
func (o *Owner) run(i oleandervalve.ShardID, list []job.Action) {
	for _, a := range list {
		switch a := a.(type) {
		case job.Commit:
			o.commit(a.Transaction, a.Priority, func(now time.Time, r table.Result) { o.resolved(now, i, a.Transaction, r) })
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
			o.log.WithField("action", fmt.Sprintf("%T", a)).Error("shard asked for an action that entries don't have")
		}
	}
}

// resolved passes the result of a commit to its shard and to the scheduler.
func (o *Owner) resolved(now time.Time, i oleandervalve.ShardID, t oleandervalve.Transaction, r table.Result) {
	s := o.shards[i]
	if s == nil {
		return
	}
	actions, err := s.Resolved(now, t.ID, r)
	if err != nil {
		o.log.WithError(err).WithField("shard", i).Error("rows of a transaction can't be read")
	}
	for _, p := range t.Puts {
		o.syncKey(now, s, i, p.Key)
	}
	o.run(i, actions)
}

// syncKey passes the newest record of a task on to the scheduler.
func (o *Owner) syncKey(now time.Time, s *job.Shard, i oleandervalve.ShardID, k oleandervalve.Key) {
	if !strings.HasPrefix(string(k), string(job.TaskPrefix(i))) {
		j := oleandervalve.JobID(strings.TrimPrefix(string(k), "jobs/"))
		if g, ok := s.Job(j); ok && g.Cancelled {
			o.placer.withdraw(j)
		}
		return
	}
	t, ok := s.Task(taskOf(i, k))
	if !ok {
		return
	}
	o.decide(now, o.placer.sync(now, t.Record))
	x := o.placer.tasks[t.Task()]
	if t.State != job.StateRunning || x == nil || x.evict == "" {
		return
	}
	why := x.evict
	x.evict = ""
	if actions, err := s.Evict(now, t.Task(), why); err == nil {
		o.run(i, actions)
	}
}

// observe passes rows that were read to a shard.
func (o *Owner) observe(i oleandervalve.ShardID, rows []oleandervalve.Row) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.shards[i]
	if s == nil {
		return
	}
	now := o.clock.Now()
	actions, err := s.Observe(now, rows...)
	if err != nil {
		o.log.WithError(err).WithField("shard", i).Error("rows can't be read")
	}
	for _, r := range rows {
		o.syncKey(now, s, i, r.Key)
	}
	o.run(i, actions)
}

// Leave ends the session, so that other entries take over the shards at once.
func (o *Owner) Leave() {
	o.mu.Lock()
	t, ok := o.session.Release(o.clock.Now())
	o.mu.Unlock()
	if ok {
		_, _ = o.store.resolve(o.ctx, t, table.Finishing)
	}
}

// Close stops the owner.
func (o *Owner) Close() {
	o.cancel()
	o.work.Wait()
}
