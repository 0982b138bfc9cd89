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
	"oleandervalve/core/scheduler"
	"oleandervalve/io/operatorhttp"
	"oleandervalve/io/peer"
	"oleandervalve/io/taskowner"
)

const (
	// distributeInterval is how often deltas are sent. The agents' budgets refill
	// once a second; a shorter interval spreads the deltas over that second.
	distributeInterval = 200 * time.Millisecond
	// requiredRevisionWait is how long a starting entry waits for agents to report
	// their revision. Agents reconnect within five seconds at most, most of them at once.
	requiredRevisionWait = 3 * time.Second

	defaultAdminTeam = oleandervalve.TeamID("platform")
)

// Tasks is the operator's interface to the part of an entry that places tasks.
type Tasks interface {
	// SetPolicies sets the source of the configured policies of jobs and workers.
	SetPolicies(taskowner.Policies)
	// SetQuotas replaces the quotas of the teams.
	SetQuotas(map[oleandervalve.TeamID]oleandervalve.Resources)
	// RefreshWorkerLabels recomputes the labels of all workers from the current configuration.
	RefreshWorkerLabels()
	// SetEvacuations replaces the evacuated data centres and returns the number of
	// starts that it has withdrawn by data centre.
	SetEvacuations([]oleandervalve.DataCentreID) map[oleandervalve.DataCentreID]int
	// Evacuation returns what still runs in a data centre.
	Evacuation(oleandervalve.DataCentreID) scheduler.Evacuation
	// ExplainJob explains the states of a job's tasks.
	ExplainJob(ctx context.Context, j oleandervalve.JobID) (operator.Explanation, error)
	// ExplainWorker explains why a worker is assigned no work.
	ExplainWorker(w oleandervalve.WorkerID) (operator.Explanation, error)
	// ExplainEviction explains why a task was evicted.
	ExplainEviction(ctx context.Context, t oleandervalve.TaskID) (operator.Explanation, error)
	// Cancel cancels a job of a team; an empty team matches every team.
	Cancel(ctx context.Context, j oleandervalve.JobID, team oleandervalve.TeamID) error
}

// ConfigurationOptions holds the settings of the administration API and the configuration.
type ConfigurationOptions struct {
	// AdminTeam is the team whose operators may change every object.
	AdminTeam oleandervalve.TeamID
	// BootstrapTokenHash is the hash of the token that authorises the creation of the first tokens.
	BootstrapTokenHash string
	// RequiredRevisionWait, if positive, overrides how long a starting entry
	// waits for agents to report their revision.
	RequiredRevisionWait time.Duration
	// Tasks is nil if the entry places no tasks.
	Tasks Tasks
}

// Configuration watches the configuration in the table, applies it to an entry
// and distributes it to the agents.
type Configuration struct {
	entry        *Entry
	watcher      *operatorhttp.Watcher
	store        *operatorhttp.Store
	api          *operatorhttp.API
	table        oleandervalve.Table
	tasks        Tasks
	adminTeam    oleandervalve.TeamID
	revisionWait time.Duration
	// distributor must only be used inside watcher.WithReplica, because it reads the replica.
	distributor *operator.Distributor
	revision    atomic.Uint64
	ready       atomic.Bool
	// quotasConfigured is set once the configuration has held quotas; from then
	// on an empty set is applied too, to remove them.
	quotasConfigured bool
	refusals         refusals

	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// serviceConfig is the applied configuration of one service.
type serviceConfig struct {
	policies     []caller.ClassPolicy
	timeout      time.Duration
	defaultClass oleandervalve.ClassName
	retryRatio   float64
}

// NewConfiguration connects an entry to the configuration in a table. It must be
// called before agents connect. Errors are *oleandervalve.InvalidError.
func NewConfiguration(e *Entry, t oleandervalve.Table, o ConfigurationOptions) (*Configuration, error) {
	if o.AdminTeam == "" {
		o.AdminTeam = defaultAdminTeam
	}
	c := &Configuration{
		entry: e, table: t, tasks: o.Tasks, adminTeam: o.AdminTeam, revisionWait: requiredRevisionWait,
		watcher:  operatorhttp.NewWatcher(t, e.clock, e.log),
		store:    operatorhttp.NewStore(t, e.clock, e.log, o.AdminTeam),
		refusals: newRefusals(),
	}
	if o.RequiredRevisionWait > 0 {
		c.revisionWait = o.RequiredRevisionWait
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
	c.goroutines.Add(2)
	go func() {
		defer c.goroutines.Done()
		// The watcher stops waiting for the agents' revisions at its first read
		// of the head row, so it starts after agents had time to report them.
		select {
		case <-ctx.Done():
			return
		case <-c.entry.clock.After(c.revisionWait):
		}
		c.watcher.Run(ctx)
	}()
	go func() {
		defer c.goroutines.Done()
		for {
			select {
			case <-ctx.Done():
				return
			case <-c.watcher.Changed():
				c.apply()
			case <-c.entry.clock.After(distributeInterval):
			}
			c.distribute()
		}
	}()
}

// Close stops reading the configuration; the applied configuration stays in effect.
func (c *Configuration) Close() {
	c.cancel()
	c.goroutines.Wait()
}

// Handler serves the administration API under /v1.
func (c *Configuration) Handler() http.Handler {
	m := mux.NewRouter()
	c.api.Register(m)
	return m
}

// NotReadyReason describes what the entry waits for before it serves calls, or
// returns "" if it is ready.
func (c *Configuration) NotReadyReason() string {
	if c.ready.Load() {
		return ""
	}
	return "the table has to answer with a configuration that is not older than that of the agents"
}

// Revision returns the revision of the applied configuration.
func (c *Configuration) Revision() oleandervalve.Revision {
	return oleandervalve.Revision(c.revision.Load())
}

// appliedRevision returns the applied revision, or 0 for a nil configuration.
func (c *Configuration) appliedRevision() oleandervalve.Revision {
	if c == nil {
		return 0
	}
	return c.Revision()
}

// Status returns the state of the entry and the rollout status of the
// configuration among the agents.
func (c *Configuration) Status(context.Context) (operatorhttp.EntryStatus, error) {
	s := operatorhttp.EntryStatus{Entry: c.entry.id, Ready: c.ready.Load(), AgeMS: c.watcher.Age().Milliseconds()}
	c.watcher.WithReplica(func(r *operator.Replica) {
		s.Revision, s.Rollout = r.Revision(), c.distributor.RolloutStatus(c.entry.clock.Now())
	})
	s.Evacuations = c.evacuationStatus()
	return s, nil
}

// distribute sends pending deltas to the agents, and marks the entry ready once
// the replica is.
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
	c.measureEvacuations()
}

func (c *Configuration) send(list []operator.OutgoingDelta) {
	c.entry.mu.Lock()
	defer c.entry.mu.Unlock()
	for _, s := range list {
		if l := c.entry.links[s.Agent]; l != nil {
			// A delta that doesn't fit in the send queue is sent again when its
			// acknowledgement is overdue.
			l.conn.TrySend(&peer.ConfigDelta{Delta: s.Delta})
		}
	}
}

// addAgent adds an agent that has completed the handshake.
func (c *Configuration) addAgent(h peer.Hello) {
	c.watcher.WithReplica(func(r *operator.Replica) {
		r.RecordPeerRevision(string(h.Agent), h.Revision)
		c.distributor.AddAgent(h.Agent, operator.View{WorkerLabels: h.Labels}, h.Revision, c.entry.clock.Now())
	})
}

func (c *Configuration) removeAgent(a oleandervalve.AgentID) {
	c.watcher.WithReplica(func(*operator.Replica) { c.distributor.RemoveAgent(a) })
}

// handle handles a message of an agent about the configuration.
func (c *Configuration) handle(l *link, m peer.Message) {
	if !c.entry.isCurrent(l) {
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

// apply applies the replica's configuration to the entry.
func (c *Configuration) apply() {
	services := map[oleandervalve.ServiceName]serviceConfig{}
	weights := map[oleandervalve.TeamID]float64{}
	quotas := map[oleandervalve.TeamID]oleandervalve.Resources{}
	var evacuations []operator.Evacuation
	var revision oleandervalve.Revision
	ready := false
	c.watcher.WithReplica(func(r *operator.Replica) {
		revision, ready = r.Revision(), r.Ready()
		for _, o := range r.List(operator.KindService) {
			if x, ok := newServiceConfig(r, o); ok {
				services[oleandervalve.ServiceName(o.Name)] = x
			}
		}
		for _, o := range r.List(operator.KindTeam) {
			id := oleandervalve.TeamID(o.Name)
			if s, ok := r.Team(id); ok {
				weights[id], quotas[id] = s.Weight, s.Quota
			}
		}
		evacuations = r.Evacuations()
	})
	if !ready {
		return
	}
	c.entry.configure(services, weights)
	c.applyEvacuations(evacuations)
	c.revision.Store(uint64(revision))
	if c.tasks != nil {
		if c.quotasConfigured || len(quotas) > 0 {
			c.quotasConfigured = true
			c.tasks.SetQuotas(quotas)
		}
		c.tasks.RefreshWorkerLabels()
	}
	c.entry.log.WithField("revision", revision).Info("configuration applied")
}

func newServiceConfig(r *operator.Replica, o operator.Object) (serviceConfig, bool) {
	name := oleandervalve.ServiceName(o.Name)
	s, ok := r.Service(name)
	if !ok {
		return serviceConfig{}, false
	}
	x := serviceConfig{timeout: s.DefaultDeadline(), defaultClass: s.DefaultClass, retryRatio: r.RetryRatio(o.Labels)}
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

// configure applies the configuration of services and teams.
func (e *Entry) configure(services map[oleandervalve.ServiceName]serviceConfig, weights map[oleandervalve.TeamID]float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.serviceConfigs
	e.serviceConfigs, e.teamWeights = services, weights
	e.configSnapshot.Store(&services)
	for name, s := range e.services {
		s.queue.ConfigureTeams(weights)
		if x, old := services[name], before[name]; !slices.Equal(x.policies, old.policies) || x.retryRatio != old.retryRatio {
			e.configureService(name, s)
		}
	}
}

// configureService applies the policies of one service. A service that is not
// configured gets the policies given to New. The caller holds the lock.
func (e *Entry) configureService(name oleandervalve.ServiceName, s *serviceState) {
	policies := e.policies[name]
	x, ok := e.serviceConfigs[name]
	if ok {
		policies = x.policies
	}
	s.queue.Configure(policies)
	if s.retries == nil || s.retryRatio != x.retryRatio {
		s.retries, s.retryRatio = caller.NewRetryBudget(x.retryRatio), x.retryRatio
	}
}

// DefaultTimeout returns the configured timeout of a service's calls that specify none, or 0.
func (e *Entry) DefaultTimeout(s oleandervalve.ServiceName) time.Duration {
	// This runs on every call, so it takes no lock. The map is never modified in place.
	if m := e.configSnapshot.Load(); m != nil {
		return (*m)[s].timeout
	}
	return 0
}

// Policies returns the applied class policies of a service.
func (e *Entry) Policies(s oleandervalve.ServiceName) []caller.ClassPolicy {
	e.mu.Lock()
	defer e.mu.Unlock()
	if x, ok := e.serviceConfigs[s]; ok {
		return slices.Clone(x.policies)
	}
	return slices.Clone(e.policies[s])
}

// classOf returns the default class of a service's calls; the caller holds the lock.
func (e *Entry) classOf(s oleandervalve.ServiceName) oleandervalve.ClassName {
	if c := e.serviceConfigs[s].defaultClass; c != "" {
		return c
	}
	return defaultClass
}

// isCurrent reports whether a link is the latest connection of its agent.
func (e *Entry) isCurrent(l *link) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.links[l.agent] == l
}

// currentConfiguration returns the configuration connected to the entry, or nil.
func (e *Entry) currentConfiguration() *Configuration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.configuration
}
