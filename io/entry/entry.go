package entry

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"oleandervalve"
	"oleandervalve/core/caller"
	"oleandervalve/core/endpoint"
	"oleandervalve/core/operator"
	"oleandervalve/io/peer"
)

const (
	// tickInterval bounds the delay until the expiry of a request is detected.
	tickInterval = 10 * time.Millisecond
)

// Entry is one entry process.
type Entry struct {
	id     oleandervalve.EntryID
	bootID string
	clock  oleandervalve.Clock
	log    *logrus.Entry
	scope  tally.Scope

	sequence atomic.Uint64

	mu        sync.Mutex
	services  map[oleandervalve.ServiceName]*serviceState
	policies  map[oleandervalve.ServiceName][]caller.ClassPolicy
	location  oleandervalve.Location
	directory *endpoint.Directory
	waiting   map[oleandervalve.RequestID]chan allocatedSlot
	links     map[oleandervalve.AgentID]*link
	workers   map[oleandervalve.WorkerID]*link
	owner     TaskOwner
	draining  bool
	// serviceConfigs and teamWeights come from the applied configuration.
	serviceConfigs map[oleandervalve.ServiceName]serviceConfig
	configSnapshot atomic.Pointer[map[oleandervalve.ServiceName]serviceConfig]
	teamWeights    map[oleandervalve.TeamID]float64
	// evacuations are those that are applied to the directory.
	evacuations   []operator.Evacuation
	configuration *Configuration
	keys          *keyService
	// ignoreKeys makes the entry treat calls with an idempotency key like calls without.
	ignoreKeys   bool
	arrivalOrder bool
	inFlight     sync.WaitGroup

	stop       chan struct{}
	goroutines sync.WaitGroup
}

// serviceState is the state of one service at the entry.
type serviceState struct {
	queue   *caller.Queue
	retries *caller.RetryBudget
	// retryRatio is the configured ratio of the retry budget; 0 means the default.
	retryRatio float64
	// bodies are the bodies that are read while their calls hold slots.
	bodies map[*callBody]bool
}

// allocatedSlot is an endpoint slot that is allocated to a request.
type allocatedSlot struct {
	link       *link
	assignment endpoint.Assignment
	// refused ends the wait without a slot.
	refused error
}

// Option configures an Entry.
type Option func(*Entry)

// WithClock sets the clock; the default is the system clock.
func WithClock(c oleandervalve.Clock) Option { return func(e *Entry) { e.clock = c } }

// WithLog sets the logger.
func WithLog(l *logrus.Entry) Option { return func(e *Entry) { e.log = l } }

// WithScope sets the metrics scope.
func WithScope(s tally.Scope) Option { return func(e *Entry) { e.scope = s } }

// WithLocation sets the location of the entry, so that it prefers endpoints in
// its own data centre.
func WithLocation(l oleandervalve.Location) Option { return func(e *Entry) { e.location = l } }

// WithPolicy sets the class policies of a service that is not configured in the table.
func WithPolicy(s oleandervalve.ServiceName, list []caller.ClassPolicy) Option {
	return func(e *Entry) { e.policies[s] = list }
}

// WithArrivalOrder serves the requests of each service from one queue in arrival
// order, regardless of classes, teams, callers and deadlines. It is the baseline
// for benchmarks.
func WithArrivalOrder() Option { return func(e *Entry) { e.arrivalOrder = true } }

// TaskOwner handles the messages of the workers' agents about tasks.
type TaskOwner interface {
	// AgentConnected is called when the agent of a worker has connected.
	AgentConnected(w oleandervalve.WorkerID, l oleandervalve.Location, labels map[string]string)
	// Heartbeat handles a heartbeat of a worker.
	Heartbeat(w oleandervalve.WorkerID, m *peer.Heartbeat)
	// Handle handles a message about tasks.
	Handle(w oleandervalve.WorkerID, m peer.Message)
}

// SetTaskOwner sets the receiver of messages about tasks. It must be called
// before agents connect.
func (e *Entry) SetTaskOwner(o TaskOwner) { e.owner = o }

// SendWorker queues a message for the agent of a worker. It returns false if the
// agent is not connected or its send queue is full.
func (e *Entry) SendWorker(w oleandervalve.WorkerID, m peer.Message) bool {
	e.mu.Lock()
	l := e.workers[w]
	e.mu.Unlock()
	return l != nil && l.conn.TrySend(m)
}

// New starts an entry; Close stops it.
func New(id oleandervalve.EntryID, options ...Option) *Entry {
	b := make([]byte, 4)
	_, _ = rand.Read(b)
	e := &Entry{
		id: id, bootID: hex.EncodeToString(b),
		clock:    oleandervalve.SystemClock(),
		log:      logrus.NewEntry(logrus.StandardLogger()),
		scope:    tally.NoopScope,
		services: map[oleandervalve.ServiceName]*serviceState{},
		policies: map[oleandervalve.ServiceName][]caller.ClassPolicy{},
		waiting:  map[oleandervalve.RequestID]chan allocatedSlot{},
		links:    map[oleandervalve.AgentID]*link{},
		workers:  map[oleandervalve.WorkerID]*link{},
		stop:     make(chan struct{}),
	}
	for _, o := range options {
		o(e)
	}
	e.directory = endpoint.NewDirectory(endpoint.WithLocation(e.location))
	e.goroutines.Add(1)
	go e.run()
	if e.keys != nil {
		e.keys.start()
	}
	return e
}

func (e *Entry) run() {
	defer e.goroutines.Done()
	for {
		select {
		case <-e.stop:
			return
		case <-e.clock.After(tickInterval):
			e.tick()
		}
	}
}

func (e *Entry) tick() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	for _, s := range e.services {
		for _, r := range s.queue.Expire(now) {
			e.expire(r.ID)
		}
	}
	e.returnCredits(e.directory.Expire(now))
	for name, s := range e.services {
		e.refuseEvacuated(name, s)
		e.assignQueued(now, name)
		if s.queue.Len() > 0 {
			e.giveUpStalledBody(now, name)
		}
	}
}

// expire stops the wait of a request whose deadline passed in the queue.
func (e *Entry) expire(id oleandervalve.RequestID) {
	if c := e.waiting[id]; c != nil {
		delete(e.waiting, id)
		close(c)
	}
}

// assignQueued allocates slots to queued requests while credits last, returns
// surplus credits and sends the remaining demand to the agents.
func (e *Entry) assignQueued(now time.Time, name oleandervalve.ServiceName) {
	q := e.service(name).queue
	for {
		r, a, ok := e.directory.Next(now, name, q)
		if !ok {
			break
		}
		c := e.waiting[r.ID]
		delete(e.waiting, r.ID)
		c <- allocatedSlot{link: e.links[a.Agent], assignment: a}
	}
	e.returnCredits(e.directory.TakeSurplus(name))
	e.sendDemand(now)
}

func (e *Entry) returnCredits(list []endpoint.CreditReturn) {
	for _, r := range list {
		if l := e.links[r.Agent]; l != nil && l.epoch == r.Epoch {
			l.conn.TrySend(&peer.CreditReturn{Endpoint: r.Endpoint, Class: r.Class, Count: r.Count})
		}
	}
}

// sendDemand sends the demand of queued requests to the agents if it has changed.
func (e *Entry) sendDemand(now time.Time) {
	var list []endpoint.ClassDemand
	for name, s := range e.services {
		list = append(list, s.queue.Demand(name)...)
	}
	for _, d := range e.directory.DemandUpdates(now, list) {
		l := e.links[d.Agent]
		if l == nil || l.epoch != d.Epoch {
			continue
		}
		m := &peer.Demand{}
		for _, c := range d.Classes {
			m.Classes = append(m.Classes, peer.ClassDemand(c))
		}
		l.conn.TrySend(m)
	}
}

// service returns the state of a service and creates it if necessary; the caller
// holds the lock.
func (e *Entry) service(name oleandervalve.ServiceName) *serviceState {
	s := e.services[name]
	if s == nil {
		s = &serviceState{queue: caller.NewQueue(), bodies: map[*callBody]bool{}}
		s.queue.ConfigureTeams(e.teamWeights)
		e.configureService(name, s)
		e.services[name] = s
	}
	return s
}

// queue returns the queue of a service.
func (e *Entry) queue(name oleandervalve.ServiceName) *caller.Queue {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.service(name).queue
}

func (e *Entry) newRequestID() oleandervalve.RequestID {
	return oleandervalve.RequestID(string(e.id) + "-" + e.bootID + "-" + strconv.FormatUint(e.sequence.Add(1), 36))
}

// Drain refuses new calls and waits until the calls in flight have completed or
// the timeout expires. It reports whether all calls completed.
func (e *Entry) Drain(within time.Duration) bool {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	done := make(chan struct{})
	go func() {
		e.inFlight.Wait()
		// If the owner of a key never receives the outcome, it answers retries
		// with an indeterminate outcome.
		for !e.keys.allReported() {
			select {
			case <-e.stop:
				return
			case <-e.clock.After(attemptTickInterval):
			}
		}
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-e.clock.After(within):
		return false
	}
}

// Close stops the entry and closes its connections.
func (e *Entry) Close() {
	close(e.stop)
	e.goroutines.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.links {
		l.conn.Close()
	}
}

// PeerHandler accepts the connections of agents.
func (e *Entry) PeerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, hello, err := peer.Accept(w, r)
		if err != nil {
			e.log.WithError(err).Warn("agent connection refused")
			return
		}
		e.serveLink(conn, hello)
	})
}

// Slots returns the number of slots of a service's ready endpoints known to this entry.
func (e *Entry) Slots(s oleandervalve.ServiceName) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.directory.Slots(s)
}
