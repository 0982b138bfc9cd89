package agent

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"oleandervalve"
	"oleandervalve/core/credit"
	"oleandervalve/core/instance"
	"oleandervalve/io/endpointhttp"
	"oleandervalve/io/peer"
)

const (
	tickEvery        = 250 * time.Millisecond
	defaultHeartbeat = time.Second
)

// Agent is one agent process.
type Agent struct {
	id        oleandervalve.AgentID
	worker    oleandervalve.WorkerID
	labels    map[string]string
	location  oleandervalve.Location
	clock     oleandervalve.Clock
	log       *logrus.Entry
	scope     tally.Scope
	client    oleandervalve.EndpointClient
	dialer    *http.Client
	beatEvery time.Duration
	stopping  atomic.Bool

	mu        sync.Mutex
	ledger    *instance.Ledger
	config    *configuration
	tasks     *tasks
	keys      *keys
	links     map[oleandervalve.EntryID]*link
	addresses map[oleandervalve.EndpointID]string
	// published is the endpoint list that the entries were told last.
	published []instance.Endpoint

	ctx     context.Context
	cancel  context.CancelFunc
	stopped sync.WaitGroup
}

// Option changes an agent.
type Option func(*Agent)

// WithClock replaces the system clock.
func WithClock(c oleandervalve.Clock) Option { return func(a *Agent) { a.clock = c } }

// WithLog sets the log.
func WithLog(l *logrus.Entry) Option { return func(a *Agent) { a.log = l } }

// WithScope sets the metrics scope.
func WithScope(s tally.Scope) Option { return func(a *Agent) { a.scope = s } }

// WithLocation sets where the agent's instance stands.
func WithLocation(l oleandervalve.Location) Option { return func(a *Agent) { a.location = l } }

// WithLabels sets the labels of the worker, which selectors refer to.
func WithLabels(l map[string]string) Option { return func(a *Agent) { a.labels = l } }

// WithWorker names the worker that the agent looks after.
func WithWorker(w oleandervalve.WorkerID) Option { return func(a *Agent) { a.worker = w } }

// WithEndpointClient replaces the HTTP client that reaches endpoints.
func WithEndpointClient(c oleandervalve.EndpointClient) Option {
	return func(a *Agent) { a.client = c }
}

// WithDialTLS sets the function that connects to entries with https URLs.
func WithDialTLS(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(a *Agent) { a.dialer = &http.Client{Transport: &http.Transport{DialTLSContext: dial}} }
}

// WithShares sets the shares of the classes of a service until the service is configured.
func WithShares(s oleandervalve.ServiceName, list []credit.ClassShare) Option {
	return func(a *Agent) {
		a.config.fallback[s] = list
		a.ledger.Configure(s, list)
	}
}

// WithHeartbeat sets the time between heartbeats to the entries.
func WithHeartbeat(d time.Duration) Option { return func(a *Agent) { a.beatEvery = d } }

// New returns a running agent that connects to the given entry URLs; Close ends it.
func New(id oleandervalve.AgentID, entries []string, options ...Option) *Agent {
	a := &Agent{
		id:        id,
		clock:     oleandervalve.SystemClock(),
		log:       logrus.NewEntry(logrus.StandardLogger()),
		scope:     tally.NoopScope,
		client:    endpointhttp.NewClient(0),
		dialer:    &http.Client{},
		beatEvery: defaultHeartbeat,
		ledger:    instance.NewLedger(),
		config:    newConfiguration(id),
		links:     map[oleandervalve.EntryID]*link{},
		addresses: map[oleandervalve.EndpointID]string{},
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	for _, o := range options {
		o(a)
	}
	a.startTasks()
	for _, url := range entries {
		a.stopped.Add(1)
		go a.connect(url)
	}
	a.stopped.Add(1)
	go a.run()
	if a.keys != nil {
		a.stopped.Add(1)
		go a.keys.run()
	}
	return a
}

func (a *Agent) run() {
	defer a.stopped.Done()
	sequence := uint64(0)
	var beat time.Time
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-a.clock.After(tickEvery):
		}
		a.mu.Lock()
		now := a.clock.Now()
		a.ledger.Tick(now)
		a.publishChange()
		a.grant(now)
		a.tickTasks(now)
		a.tickConfig(now)
		if now.Sub(beat) >= a.beatEvery {
			beat = now
			sequence++
			for _, l := range a.links {
				l.conn.TrySend(&peer.Heartbeat{Sequence: sequence, SentAfter: a.sinceBoot(now), Revision: a.config.replica.Revision(), Free: a.ledger.FreeResources()})
			}
		}
		a.mu.Unlock()
	}
}

func (a *Agent) sinceBoot(now time.Time) time.Duration {
	if a.tasks == nil {
		return 0
	}
	return now.Sub(a.tasks.boot)
}

// grant sends the credits that the ledger gives out; the caller holds the lock.
func (a *Agent) grant(now time.Time) {
	if !a.serving() {
		return
	}
	for _, g := range a.ledger.Grants(now) {
		l := a.links[g.Entry]
		if l == nil || l.epoch != g.Epoch {
			continue
		}
		l.conn.TrySend(&peer.Credit{Endpoint: g.Endpoint, Class: g.Class, Count: g.Count, ValidFor: g.ValidFor})
	}
	for _, r := range a.ledger.Revokes(now) {
		l := a.links[r.Entry]
		if l != nil && l.epoch == r.Epoch {
			l.conn.TrySend(&peer.CreditRevoke{Endpoint: r.Endpoint, Count: r.Count})
		}
	}
}

// Announce records an endpoint's announcement.
func (a *Agent) Announce(n oleandervalve.Announcement) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	if err := a.ledger.Announce(now, n); err != nil {
		return err
	}
	a.addresses[n.Endpoint] = n.Address
	if a.publishChange() {
		a.grant(now)
	}
	return nil
}

// Leave marks an endpoint as leaving.
func (a *Agent) Leave(id oleandervalve.EndpointID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.Leave(a.clock.Now(), id)
	a.publishChange()
}

// publishChange sends the endpoint list to the entries if it has changed; the
// caller holds the lock.
func (a *Agent) publishChange() bool {
	after := a.ledger.Endpoints()
	if sameEndpoints(a.published, after) {
		return false
	}
	a.published = after
	m := endpointsMessage(after)
	for _, l := range a.links {
		l.conn.TrySend(m)
	}
	return true
}

func sameEndpoints(x, y []instance.Endpoint) bool {
	if len(x) != len(y) {
		return false
	}
	for i := range x {
		if x[i].Endpoint != y[i].Endpoint || x[i].Leaving != y[i].Leaving || x[i].Slots != y[i].Slots || x[i].Service != y[i].Service {
			return false
		}
	}
	return true
}

func endpointsMessage(list []instance.Endpoint) *peer.Endpoints {
	m := &peer.Endpoints{Full: true}
	for _, x := range list {
		s := peer.EndpointStatus{Endpoint: x.Endpoint, Service: x.Service, Slots: x.Slots, State: peer.EndpointReady, Labels: x.Labels}
		if x.Leaving {
			s.State = peer.EndpointLeaving
		}
		m.Endpoints = append(m.Endpoints, s)
	}
	return m
}

// AnnounceHandler serves the announcement API of endpoints.
func (a *Agent) AnnounceHandler() http.Handler { return endpointhttp.Handler(a) }

// Drain stops new work and waits until the requests in flight end or the time is over.
func (a *Agent) Drain(within time.Duration) bool {
	a.beginDrain(&peer.Drain{Reason: peer.ReasonPlannedStop, Within: within})
	end := a.clock.Now().Add(within)
	keys := make(chan bool, 1)
	go func() { keys <- a.drainKeys(within) }()
	for a.clock.Now().Before(end) {
		a.mu.Lock()
		idle := a.ledger.Idle() && a.tasksIdle()
		a.mu.Unlock()
		if idle {
			return <-keys
		}
		a.clock.Sleep(10 * time.Millisecond)
	}
	return false
}

// Shutdown ends the agent after Drain; everything sent to entries reaches them.
func (a *Agent) Shutdown() {
	a.stopping.Store(true)
	a.mu.Lock()
	var closing sync.WaitGroup
	for _, l := range a.links {
		closing.Add(1)
		go func() {
			defer closing.Done()
			l.conn.Shutdown()
		}()
	}
	a.mu.Unlock()
	closing.Wait()
	a.Close()
}

// Close ends the agent and its connections.
func (a *Agent) Close() {
	a.cancel()
	a.mu.Lock()
	for _, l := range a.links {
		l.conn.Close()
	}
	a.mu.Unlock()
	a.stopped.Wait()
}
