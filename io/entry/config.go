package entry

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"oleandervalve"
	"oleandervalve/core/caller"
	"oleandervalve/core/operator"
	"oleandervalve/io/operatorhttp"
	"oleandervalve/io/peer"
	"oleandervalve/io/taskowner"
)

const (
	// distributeEvery spreads deltas over the second by which the agents' budgets refill.
	distributeEvery = 200 * time.Millisecond
	// peerReportWait is how long a starting entry waits for agents to report their
	// revision. They redial within five seconds at most, and most at once.
	peerReportWait = 3 * time.Second

	defaultAdminTeam = oleandervalve.TeamID("platform")
)

// Tasks is the part of an entry that places tasks, as far as operators control it.
type Tasks interface {
	// SetPolicies sets the configuration of jobs and workers.
	SetPolicies(taskowner.Policies)
	// SetQuotas replaces the quotas of the teams.
	SetQuotas(map[oleandervalve.TeamID]oleandervalve.Resources)
	// Relabel looks up the labels of all workers again.
	Relabel()
	// ExplainJob says why a job's tasks are in their states.
	ExplainJob(ctx context.Context, j oleandervalve.JobID) (operator.Explanation, error)
	// ExplainWorker says why a worker gets no work.
	ExplainWorker(w oleandervalve.WorkerID) (operator.Explanation, error)
	// ExplainEviction says why a task was evicted.
	ExplainEviction(ctx context.Context, t oleandervalve.TaskID) (operator.Explanation, error)
	// Cancel cancels a job of a team; an empty team cancels any.
	Cancel(ctx context.Context, j oleandervalve.JobID, team oleandervalve.TeamID) error
}

// ConfigurationOptions holds what the settings say about operators.
type ConfigurationOptions struct {
	// AdminTeam is the team whose operators change everything.
	AdminTeam oleandervalve.TeamID
	// BootstrapTokenHash is the hash of the token that makes the first tokens.
	BootstrapTokenHash string
	// PeerReportWait replaces the time to wait for the revisions of agents if it is positive.
	PeerReportWait time.Duration
	// Tasks is nil if the entry places no tasks.
	Tasks Tasks
}

// Configuration keeps the configuration of an entry in force and brings it to the agents.
type Configuration struct {
	entry   *Entry
	watcher *operatorhttp.Watcher
	store   *operatorhttp.Store
	api     *operatorhttp.API
	table   oleandervalve.Table
	tasks   Tasks
	admin   oleandervalve.TeamID
	wait    time.Duration
	// distributor is used inside watcher.WithReplica, because it reads the replica.
	distributor *operator.Distributor
	revision    atomic.Uint64
	ready       atomic.Bool
	// hadTeams is set once quotas came from the configuration.
	hadTeams bool
	refusals refusals

	cancel context.CancelFunc
	work   sync.WaitGroup
}

// configured is what an entry has in force for one service.
type configured struct {
	policies     []caller.ClassPolicy
	timeout      time.Duration
	defaultClass oleandervalve.ClassName
	retryRatio   float64
}

// NewConfiguration connects an entry to the configuration in a table; it is
// called before agents connect. An error is *oleandervalve.InvalidError.
func NewConfiguration(e *Entry, t oleandervalve.Table, o ConfigurationOptions) (*Configuration, error) {
	if o.AdminTeam == "" {
		o.AdminTeam = defaultAdminTeam
	}
	c := &Configuration{
		entry: e, table: t, tasks: o.Tasks, admin: o.AdminTeam, wait: peerReportWait,
		watcher:  operatorhttp.NewWatcher(t, e.clock, e.log),
		store:    operatorhttp.NewStore(t, e.clock, e.log, o.AdminTeam),
		refusals: newRefusals(),
	}
	if o.PeerReportWait > 0 {
		c.wait = o.PeerReportWait
	}
	auth, err := operatorhttp.NewAuthenticator(c.watcher, o.BootstrapTokenHash, o.AdminTeam)
	if err != nil {
		return nil, err
	}
	c.watcher.WithReplica(func(r *operator.Replica) { c.distributor = operator.NewDistributor(r) })
	c.api = operatorhttp.New(operatorhttp.Options{
		Store: c.store, Watcher: c.watcher, Auth: auth, Clock: e.clock, Log: e.log, Status: c, Explain: c, Actions: c,
	})
	if c.tasks != nil {
		c.tasks.SetPolicies(c)
	}
	e.mu.Lock()
	e.configuration = c
	e.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.start(ctx)
	return c, nil
}

func (c *Configuration) start(ctx context.Context) {
	c.work.Add(2)
	go func() {
		defer c.work.Done()
		// The watcher ends the wait for reports with its first read of the
		// head row, so it starts after agents had time to report.
		select {
		case <-ctx.Done():
			return
		case <-c.entry.clock.After(c.wait):
		}
		c.watcher.Run(ctx)
	}()
	go func() {
		defer c.work.Done()
		for {
			select {
			case <-ctx.Done():
				return
			case <-c.watcher.Changed():
				c.apply()
			case <-c.entry.clock.After(distributeEvery):
			}
			c.distribute()
		}
	}()
}

// Close stops reading the configuration; what is in force stays.
func (c *Configuration) Close() {
	c.cancel()
	c.work.Wait()
}

// Handler serves the administration API under /v1.
func (c *Configuration) Handler() http.Handler {
	m := mux.NewRouter()
	c.api.Register(m)
	return m
}

// WaitsFor says what the entry needs before it serves, or "".
func (c *Configuration) WaitsFor() string {
	if c.ready.Load() {
		return ""
	}
	return "the table has to answer with a configuration that is not older than that of the agents"
}

// Revision returns the revision of the configuration in force.
func (c *Configuration) Revision() oleandervalve.Revision {
	return oleandervalve.Revision(c.revision.Load())
}

// activeRevision returns the revision in force, 0 without a configuration.
func (c *Configuration) activeRevision() oleandervalve.Revision {
	if c == nil {
		return 0
	}
	return c.Revision()
}

// Status returns how far the configuration has spread among the agents.
func (c *Configuration) Status(context.Context) (operatorhttp.EntryStatus, error) {
	s := operatorhttp.EntryStatus{Entry: c.entry.id, Ready: c.ready.Load()}
	c.watcher.WithReplica(func(r *operator.Replica) {
		s.Revision, s.Rollout = r.Revision(), c.distributor.RolloutStatus(c.entry.clock.Now())
	})
	return s, nil
}

// distribute sends what is due to the agents.
func (c *Configuration) distribute() {
	var list []operator.OutgoingDelta
	ready := false
	c.watcher.WithReplica(func(r *operator.Replica) {
		ready = r.Ready()
		if ready {
			list = c.distributor.Next(c.entry.clock.Now())
		}
	})
	if ready && !c.ready.Load() {
		c.apply()
		c.ready.Store(true)
	}
	c.send(list)
}

func (c *Configuration) send(list []operator.OutgoingDelta) {
	c.entry.mu.Lock()
	defer c.entry.mu.Unlock()
	for _, s := range list {
		if l := c.entry.links[s.Agent]; l != nil {
			// A delta that finds no room is sent again when its acknowledgement is overdue.
			l.conn.TrySend(&peer.ConfigDelta{Delta: s.Delta})
		}
	}
}

// connect adds an agent that has greeted the entry.
func (c *Configuration) connect(h peer.Hello) {
	c.watcher.WithReplica(func(r *operator.Replica) {
		r.RecordPeerRevision(string(h.Agent), h.Revision)
		c.distributor.AddAgent(h.Agent, operator.View{WorkerLabels: h.Labels}, h.Revision, c.entry.clock.Now())
	})
}

func (c *Configuration) disconnect(a oleandervalve.AgentID) {
	c.watcher.WithReplica(func(*operator.Replica) { c.distributor.RemoveAgent(a) })
}

// handle takes a message of an agent about the configuration.
func (c *Configuration) handle(l *link, m peer.Message) {
	if !c.entry.current(l) {
		return // A newer connection of the agent has replaced this one.
	}
	var list []operator.OutgoingDelta
	c.watcher.WithReplica(func(r *operator.Replica) {
		now := c.entry.clock.Now()
		switch m := m.(type) {
		case *peer.Heartbeat:
			r.RecordPeerRevision(string(l.agent), m.Revision)
			c.distributor.ObserveRevision(l.agent, m.Revision)
			return
		case *peer.ConfigAck:
			c.distributor.HandleAck(l.agent, m.Ack)
		case *peer.ConfigResync:
			c.distributor.Resync(l.agent, m.Resync)
		}
		if r.Ready() {
			list = c.distributor.NextFor(l.agent, now)
		}
	})
	c.send(list)
}

// apply puts the replica's configuration in force at the entry.
func (c *Configuration) apply() {
	services := map[oleandervalve.ServiceName]configured{}
	weights := map[oleandervalve.TeamID]float64{}
	quotas := map[oleandervalve.TeamID]oleandervalve.Resources{}
	var revision oleandervalve.Revision
	ready := false
	c.watcher.WithReplica(func(r *operator.Replica) {
		revision, ready = r.Revision(), r.Ready()
		for _, o := range r.List(operator.KindService) {
			if x, ok := serviceOf(r, o); ok {
				services[oleandervalve.ServiceName(o.Name)] = x
			}
		}
		for _, o := range r.List(operator.KindTeam) {
			id := oleandervalve.TeamID(o.Name)
			if s, ok := r.Team(id); ok {
				weights[id], quotas[id] = s.Weight, s.Quota
			}
		}
	})
	if !ready {
		return
	}
	c.entry.configure(services, weights)
	c.revision.Store(uint64(revision))
	if c.tasks != nil {
		if c.hadTeams || len(quotas) > 0 {
			c.hadTeams = true
			c.tasks.SetQuotas(quotas)
		}
		c.tasks.Relabel()
	}
	c.entry.log.WithField("revision", revision).Info("configuration is in force")
}

func serviceOf(r *operator.Replica, o operator.Object) (configured, bool) {
	name := oleandervalve.ServiceName(o.Name)
	s, ok := r.Service(name)
	if !ok {
		return configured{}, false
	}
	x := configured{timeout: s.DefaultDeadline(), defaultClass: s.DefaultClass, retryRatio: r.RetryRatio(o.Labels)}
	if x.defaultClass == "" {
		x.defaultClass = s.Classes[0]
	}
	for _, rule := range r.Classes(name) {
		x.policies = append(x.policies, caller.ClassPolicy{
			Class: rule.Name, Weight: rule.Weight, Floor: rule.Floor, MaxQueued: rule.QueueLimit,
		})
	}
	return x, true
}

// configure puts the configuration of services and teams in force.
func (e *Entry) configure(services map[oleandervalve.ServiceName]configured, weights map[oleandervalve.TeamID]float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.configured
	e.configured, e.teamWeights = services, weights
	e.timeouts.Store(&services)
	for name, s := range e.services {
		s.queue.ConfigureTeams(weights)
		if x, old := services[name], before[name]; !slices.Equal(x.policies, old.policies) || x.retryRatio != old.retryRatio {
			e.configureService(name, s)
		}
	}
}

// configureService sets the policies of one service, which are those of the
// constructor for a service that is not configured; the caller holds the lock.
func (e *Entry) configureService(name oleandervalve.ServiceName, s *service) {
	policies := e.policies[name]
	x, ok := e.configured[name]
	if ok {
		policies = x.policies
	}
	s.queue.Configure(policies)
	if s.retries == nil || s.retryRatio != x.retryRatio {
		s.retries, s.retryRatio = caller.NewRetryBudget(x.retryRatio), x.retryRatio
	}
}

// DefaultTimeout returns the configured timeout of a service's calls that name none, or 0.
func (e *Entry) DefaultTimeout(s oleandervalve.ServiceName) time.Duration {
	// Each call asks, so it takes no lock; the map is never changed in place.
	if m := e.timeouts.Load(); m != nil {
		return (*m)[s].timeout
	}
	return 0
}

// Policies returns the class policies in force for a service.
func (e *Entry) Policies(s oleandervalve.ServiceName) []caller.ClassPolicy {
	e.mu.Lock()
	defer e.mu.Unlock()
	if x, ok := e.configured[s]; ok {
		return slices.Clone(x.policies)
	}
	return slices.Clone(e.policies[s])
}

// classOf returns the class of a call that names none; the caller holds the lock.
func (e *Entry) classOf(s oleandervalve.ServiceName) oleandervalve.ClassName {
	if c := e.configured[s].defaultClass; c != "" {
		return c
	}
	return defaultClass
}

// current reports whether a link is the newest of its agent.
func (e *Entry) current(l *link) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.links[l.agent] == l
}

// settings returns the configuration of the entry, or nil.
func (e *Entry) settings() *Configuration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.configuration
}
