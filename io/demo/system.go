package demo

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"oleandervalve"
	"oleandervalve/core/keyrange"
	"oleandervalve/core/table"
	"oleandervalve/io/agent"
	"oleandervalve/io/callerhttp"
	"oleandervalve/io/entry"
	"oleandervalve/io/jobhttp"
	"oleandervalve/io/objecthttp"
	"oleandervalve/io/peer"
	"oleandervalve/io/platformhttp"
	"oleandervalve/io/standin"
	"oleandervalve/io/tablehttp"
	"oleandervalve/io/taskowner"
)

const (
	tableTimeout  = 2 * time.Second
	readyTimeout  = time.Minute
	entriesInDemo = 2
)

// System is a running system of entries and agents with the stand-ins it uses.
type System struct {
	Table      *standin.Table
	Objects    *standin.Objects
	Platform   *standin.Platform
	Executions *standin.ExecutionLog
	Endpoints  []*standin.Endpoint
	entries    []*runningEntry
	agents     []*runningAgent
	servers    []*standin.Server
	log        *logrus.Entry
	scope      tally.Scope
	seed       uint64
	policy     Policy
	// operators is nil if the system has no administration API.
	operators *entry.ConfigurationOptions
	// deployments are the services that run, with their endpoints.
	deployments []deployment

	table    oleandervalve.Table
	objects  oleandervalve.ObjectStore
	platform oleandervalve.Platform
}

// Option configures a system.
type Option func(*System)

// WithScope sets the metrics scope of the entries and agents.
func WithScope(t tally.Scope) Option { return func(s *System) { s.scope = t } }

// WithOperators makes the entries read their configuration from the table and
// serve the administration API. tokenHash is the hash of the first operator token.
func WithOperators(tokenHash string) Option {
	return func(s *System) {
		// No agent runs before the entries, so there is no report to wait for.
		s.operators = &entry.ConfigurationOptions{BootstrapTokenHash: tokenHash, RequiredRevisionWait: time.Millisecond}
	}
}

type runningEntry struct {
	config *entry.Configuration
	entry  *entry.Entry
	owner  *taskowner.Owner
	server *standin.Server
}

type runningAgent struct {
	agent  *agent.Agent
	server *standin.Server
}

// Start starts a system with the given number of entries and waits until it is ready.
func Start(entries int, seed uint64, policy Policy, log *logrus.Entry, options ...Option) (*System, error) {
	clock := oleandervalve.SystemClock()
	s := &System{
		Table: standin.NewTable(clock, seed), Objects: standin.NewObjects(seed),
		Executions: standin.NewExecutionLog(), log: log, seed: seed, policy: policy,
		scope: tally.NoopScope, deployments: deployments(),
	}
	for _, o := range options {
		o(s)
	}
	workers := map[oleandervalve.WorkerID]oleandervalve.Resources{}
	for _, d := range s.deployments {
		for i := range d.executors {
			workers[workerID(d, i)] = d.worker
		}
	}
	s.Platform = standin.NewPlatform(clock, standin.PlatformConfig{
		Workers: workers, Behaviour: behaviours(), UsageLag: 2 * time.Second, Load: s.Objects.Load, Seed: seed,
	})
	for _, h := range []http.Handler{s.Table.Handler(), s.Objects.Handler(), s.Platform.Handler()} {
		server, err := standin.Serve("127.0.0.1:0", h)
		if err != nil {
			s.Close()
			return nil, err
		}
		s.servers = append(s.servers, server)
	}
	s.table = tablehttp.NewClient(s.servers[0].URL, tableTimeout)
	s.objects = objecthttp.NewClient(s.servers[1].URL, tableTimeout)
	s.platform = platformhttp.NewClient(s.servers[2].URL, tableTimeout)
	for i := range entries {
		if err := s.addEntry(i, "127.0.0.1:0"); err != nil {
			s.Close()
			return nil, err
		}
	}
	for _, d := range s.deployments {
		for i := range d.executors {
			if err := s.addExecutor(d, i); err != nil {
				s.Close()
				return nil, err
			}
		}
	}
	return s, s.waitReady(readyTimeout)
}

func workerID(d deployment, i int) oleandervalve.WorkerID {
	return oleandervalve.WorkerID(fmt.Sprintf("%s-worker-%d", d.name, i))
}

func (s *System) addEntry(i int, address string) error {
	id := oleandervalve.EntryID(fmt.Sprintf("entry-%d", i))
	log := s.log.WithField("entry", id)
	options := []entry.Option{
		entry.WithLog(log), entry.WithScope(s.scope.Tagged(map[string]string{"entry": string(id)})),
		entry.WithKeys(s.table, entry.DefaultKeyOptions()),
	}
	for _, d := range s.deployments {
		options = append(options, entry.WithPolicy(d.service, s.policy.classes(d)))
	}
	if s.policy == PolicyBaseline {
		options = append(options, entry.WithArrivalOrder())
	}
	e := entry.New(id, options...)
	owner := taskowner.New(id, string(id), s.table, s.platform, e, taskowner.WithLog(log),
		taskowner.WithScheduler(s.policy.scheduler()), taskowner.WithLimits(table.DefaultLimits.Share(entriesInDemo)))
	e.SetTaskOwner(owner)
	m := http.NewServeMux()
	m.Handle(peer.Path, e.PeerHandler())
	m.Handle("/call/", callerhttp.Handler(e, callerhttp.TrustedHeaders{}, callerhttp.ServiceTimeout(e.DefaultTimeout)))
	m.Handle("/v1/jobs", jobhttp.Handler(owner, callerhttp.TrustedHeaders{}))
	m.Handle("/v1/jobs/", jobhttp.Handler(owner, callerhttp.TrustedHeaders{}))
	var config *entry.Configuration
	if s.operators != nil {
		o := *s.operators
		o.Tasks = owner
		var err error
		if config, err = entry.NewConfiguration(e, s.table, o); err != nil {
			owner.Close()
			e.Close()
			return err
		}
		m.Handle("/v1/", config.Handler())
	}
	server, err := standin.Serve(address, m)
	if err != nil {
		if config != nil {
			config.Close()
		}
		owner.Close()
		e.Close()
		return err
	}
	r := &runningEntry{entry: e, owner: owner, server: server, config: config}
	if i < len(s.entries) {
		s.entries[i] = r
	} else {
		s.entries = append(s.entries, r)
	}
	return nil
}

func (s *System) addExecutor(d deployment, i int) error {
	a, err := s.startAgent(d, i, "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.agents = append(s.agents, a)
	x, err := s.startEndpoint(d, i, a)
	if err != nil {
		return err
	}
	s.Endpoints = append(s.Endpoints, x)
	return nil
}

func (s *System) startAgent(d deployment, i int, address string) (*runningAgent, error) {
	var urls []string
	for _, e := range s.entries {
		urls = append(urls, e.server.URL+peer.Path)
	}
	id := oleandervalve.AgentID(fmt.Sprintf("%s-agent-%d", d.name, i))
	a := agent.New(id, urls, agent.WithLog(s.log.WithField("agent", id)),
		agent.WithScope(s.scope.Tagged(map[string]string{"agent": string(id)})),
		agent.WithLocation(d.location(i)), agent.WithWorker(workerID(d, i)),
		agent.WithLabels(map[string]string{"site": d.name, "dataCentre": string(d.location(i).DataCentre)}),
		agent.WithPlatform(s.platform, s.objects), agent.WithUsageInterval(time.Second),
		agent.WithShares(d.service, s.policy.shares(d)), agent.WithKeys(s.table, agent.DefaultKeyOptions()))
	server, err := standin.Serve(address, a.AnnounceHandler())
	if err != nil {
		a.Close()
		return nil, err
	}
	return &runningAgent{agent: a, server: server}, nil
}

func (s *System) startEndpoint(d deployment, i int, a *runningAgent) (*standin.Endpoint, error) {
	return standin.StartEndpoint(standin.EndpointConfig{
		Announcement: oleandervalve.Announcement{
			Endpoint: oleandervalve.EndpointID(fmt.Sprintf("%s-executor-%d", d.name, i)),
			Service:  d.service, Slots: d.slots, Connections: d.connections,
		},
		AgentURL: a.server.URL, ServiceTime: d.serviceTime, Sigma: serviceTimeSigma, Seed: s.seed + uint64(i), Executions: s.Executions,
	})
}

// waitReady waits until every entry has the slots of all endpoints and every range
// of idempotency keys has an owner.
func (s *System) waitReady(within time.Duration) error {
	end := time.Now().Add(within)
	for time.Now().Before(end) {
		ranges := 0
		for _, a := range s.agents {
			ranges += a.agent.KeyRanges()
		}
		ready := ranges == keyrange.Count
		for _, e := range s.entries {
			ready = ready && (e.config == nil || e.config.NotReadyReason() == "")
			ready = ready && e.entry.AllKeyRangesOwned()
			for _, d := range s.deployments {
				ready = ready && e.entry.Slots(d.service) == d.executors*d.slots
			}
		}
		if ready {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return &oleandervalve.UnavailableError{Service: "demonstration system", Remedy: "run with --verbose and look for errors in the log"}
}

// EntryURLs returns the base URLs of the entries.
func (s *System) EntryURLs() []string {
	var out []string
	for _, e := range s.entries {
		out = append(out, e.server.URL)
	}
	return out
}

// NamedURL is the base URL of one server of the system.
type NamedURL struct {
	Name string
	URL  string
}

// URLs lists the base URLs of the entries and of the platform's stand-ins.
func (s *System) URLs() []NamedURL {
	var out []NamedURL
	for i, u := range s.EntryURLs() {
		out = append(out, NamedURL{fmt.Sprintf("entry-%d", i), u})
	}
	for i, name := range []string{"table", "objects", "platform"} {
		out = append(out, NamedURL{name, s.servers[i].URL})
	}
	return out
}

// Drain rejects new calls at every entry and waits until the calls in flight have
// been answered. It returns false if that takes longer than the limit.
func (s *System) Drain(within time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	end := time.Now().Add(within)
	completed := true
	for _, e := range s.entries {
		completed = e.entry.Drain(time.Until(end)) && completed
		// The last bytes of a response may still be in flight to the caller.
		completed = e.server.Shutdown(ctx) == nil && completed
	}
	return completed
}

// Close stops all parts of the system immediately.
func (s *System) Close() {
	for _, x := range s.Endpoints {
		x.Close()
	}
	for _, a := range s.agents {
		a.agent.Close()
		a.server.Close()
	}
	for _, e := range s.entries {
		e.server.Close()
		if e.config != nil {
			e.config.Close()
		}
		e.owner.Close()
		e.entry.Close()
	}
	for _, x := range s.servers {
		x.Close()
	}
}
