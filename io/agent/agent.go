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
	tickInterval     = 250 * time.Millisecond
	defaultHeartbeat = time.Second
)

// Agent grants credits for the endpoints of its instance, forwards requests to
// them, and runs the tasks of its worker.
type Agent struct {
	id                oleandervalve.AgentID
	worker            oleandervalve.WorkerID
	labels            map[string]string
	location          oleandervalve.Location
	clock             oleandervalve.Clock
	uptime            oleandervalve.Uptime
	log               *logrus.Entry
	scope             tally.Scope
	endpointClient    oleandervalve.EndpointClient
	entryClient       *http.Client
	heartbeatInterval time.Duration
	stopping          atomic.Bool

	mu        sync.Mutex
	ledger    *instance.Ledger
	config    *configuration
	tasks     *taskState
	keys      *keyService
	links     map[oleandervalve.EntryID]*link
	addresses map[oleandervalve.EndpointID]string
	// published is the endpoint list last sent to the entries.
	published []instance.Endpoint

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// Option configures an agent.
type Option func(*Agent)

// WithClock replaces the system clock.
func WithClock(c oleandervalve.Clock) Option { return func(a *Agent) { a.clock = c } }

// WithUptime replaces the uptime of the system, which counts suspensions of the instance.
func WithUptime(u oleandervalve.Uptime) Option { return func(a *Agent) { a.uptime = u } }

// WithLog sets the logger.
func WithLog(l *logrus.Entry) Option { return func(a *Agent) { a.log = l } }

// WithScope sets the metrics scope.
func WithScope(s tally.Scope) Option { return func(a *Agent) { a.scope = s } }

// WithLocation sets the location of the agent's instance.
func WithLocation(l oleandervalve.Location) Option { return func(a *Agent) { a.location = l } }

// WithLabels sets the labels of the worker, which selectors match.
func WithLabels(l map[string]string) Option { return func(a *Agent) { a.labels = l } }

// WithWorker sets the worker that the agent manages.
func WithWorker(w oleandervalve.WorkerID) Option { return func(a *Agent) { a.worker = w } }

// WithEndpointClient replaces the HTTP client for requests to endpoints.
func WithEndpointClient(c oleandervalve.EndpointClient) Option {
	return func(a *Agent) { a.endpointClient = c }
}

// WithDialTLS sets the dial function for entries with https URLs.
func WithDialTLS(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(a *Agent) { a.entryClient = &http.Client{Transport: &http.Transport{DialTLSContext: dial}} }
}

// WithShares sets the class shares of a service that apply while the
// configuration does not contain the service.
func WithShares(s oleandervalve.ServiceName, list []credit.ClassShare) Option {
	return func(a *Agent) {
		a.config.fallback[s] = list
		a.ledger.Configure(s, list)
	}
}

// WithHeartbeat sets the interval between heartbeats to the entries.
func WithHeartbeat(d time.Duration) Option { return func(a *Agent) { a.heartbeatInterval = d } }

// New starts an agent that connects to the given entry URLs; Close stops it.
func New(id oleandervalve.AgentID, entries []string, options ...Option) *Agent {
	a := &Agent{
		id:                id,
		clock:             oleandervalve.SystemClock(),
		uptime:            oleandervalve.SystemUptime,
		log:               logrus.NewEntry(logrus.StandardLogger()),
		scope:             tally.NoopScope,
		endpointClient:    endpointhttp.NewClient(0),
		entryClient:       &http.Client{},
		heartbeatInterval: defaultHeartbeat,
		ledger:            instance.NewLedger(),
		config:            newConfiguration(id),
		links:             map[oleandervalve.EntryID]*link{},
		addresses:         map[oleandervalve.EndpointID]string{},
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	for _, o := range options {
		o(a)
	}
	a.initTasks()
	for _, url := range entries {
		a.goroutines.Add(1)
		go a.keepConnected(url)
	}
	a.goroutines.Add(1)
	go a.run()
	if a.keys != nil {
		a.goroutines.Add(1)
		go a.keys.run()
	}
	return a
}

func (a *Agent) run() {
	defer a.goroutines.Done()
	sequence := uint64(0)
	var lastHeartbeat time.Time
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-a.clock.After(tickInterval):
		}
		a.mu.Lock()
		now := a.clock.Now()
		a.ledger.Tick(now)
		a.publishEndpoints()
		a.sendCredits(now)
		a.tickTasks(now)
		a.tickConfig(now)
		if now.Sub(lastHeartbeat) >= a.heartbeatInterval {
			lastHeartbeat = now
			sequence++
			for _, l := range a.links {
				l.conn.TrySend(&peer.Heartbeat{Sequence: sequence, SentAfter: a.sinceStart(), Revision: a.config.replica.Revision(), Free: a.ledger.FreeResources()})
			}
		}
		a.mu.Unlock()
	}
}

// sinceStart returns the time since the agent started, including suspensions of the
// instance, or 0 without a platform.
func (a *Agent) sinceStart() time.Duration {
	if a.tasks == nil {
		return 0
	}
	return a.tasks.clock.Now().Sub(a.tasks.startedAt)
}

// sendCredits sends the credits that the ledger grants and revokes; the caller
// holds the lock.
func (a *Agent) sendCredits(now time.Time) {
	if !a.configReady() {
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

// Announce records the announcement of an endpoint.
func (a *Agent) Announce(n oleandervalve.Announcement) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	if err := a.ledger.Announce(now, n); err != nil {
		return err
	}
	a.addresses[n.Endpoint] = n.Address
	if a.publishEndpoints() {
		a.sendCredits(now)
	}
	return nil
}

// Leave marks an endpoint as leaving: it finishes its requests and gets no new ones.
func (a *Agent) Leave(id oleandervalve.EndpointID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.Leave(a.clock.Now(), id)
	a.publishEndpoints()
}

// publishEndpoints sends the endpoint list to the entries and returns true if
// the list has changed; the caller holds the lock.
func (a *Agent) publishEndpoints() bool {
	current := a.ledger.Endpoints()
	if sameEndpoints(a.published, current) {
		return false
	}
	a.published = current
	m := endpointsMessage(current)
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

// AnnounceHandler returns the HTTP handler for announcements of endpoints.
func (a *Agent) AnnounceHandler() http.Handler { return endpointhttp.Handler(a) }

// Drain stops new work, waits until everything in flight has ended and the key
// ranges are transferred, and reports whether that happened in time.
func (a *Agent) Drain(within time.Duration) bool {
	a.beginDrain(&peer.Drain{Reason: peer.ReasonPlannedStop, Within: within})
	deadline := a.clock.Now().Add(within)
	keysDrained := make(chan bool, 1)
	go func() { keysDrained <- a.drainKeys(within) }()
	for a.clock.Now().Before(deadline) {
		a.mu.Lock()
		idle := a.ledger.Idle() && a.tasksIdle()
		a.mu.Unlock()
		if idle {
			return <-keysDrained
		}
		a.clock.Sleep(10 * time.Millisecond)
	}
	return false
}

// Shutdown closes the agent after Drain. It flushes the send queues first, so
// that the entries receive every queued message.
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

// Close stops the agent and closes its connections at once.
func (a *Agent) Close() {
	a.cancel()
	a.mu.Lock()
	for _, l := range a.links {
		l.conn.Close()
	}
	a.mu.Unlock()
	a.goroutines.Wait()
}
