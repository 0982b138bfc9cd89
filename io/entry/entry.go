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
	"oleandervalve/io/peer"
)

const (
	// tickEvery bounds how late an expired request is noticed.
	tickEvery = 10 * time.Millisecond
)

// Entry is one entry process.
type Entry struct {
	id    oleandervalve.EntryID
	boot  string
	clock oleandervalve.Clock
	log   *logrus.Entry
	scope tally.Scope

	sequence atomic.Uint64

	mu        sync.Mutex
	services  map[oleandervalve.ServiceName]*service
	policies  map[oleandervalve.ServiceName][]caller.ClassPolicy
	location  oleandervalve.Location
	directory *endpoint.Directory
	waiting   map[oleandervalve.RequestID]chan acquired
	links     map[oleandervalve.AgentID]*link
	workers   map[oleandervalve.WorkerID]*link
	owner     TaskOwner
	draining  bool
	// configured and teamWeights come from the configuration in force.
	configured    map[oleandervalve.ServiceName]configured
	timeouts      atomic.Pointer[map[oleandervalve.ServiceName]configured]
	teamWeights   map[oleandervalve.TeamID]float64
	configuration *Configuration
	keys          *keys
	// ignoreKeys treats keyed calls like others.
	ignoreKeys bool
	byArrival  bool
	inFlight   sync.WaitGroup

	stop    chan struct{}
	stopped sync.WaitGroup
}

// service is what the entry keeps for one service.
type service struct {
	queue   *caller.Queue
	retries *caller.RetryBudget
	// retryRatio is the configured ratio of the retry budget; 0 means the standard.
	retryRatio float64
}

// acquired is a place for a request at an endpoint.
type acquired struct {
	link       *link
	assignment endpoint.Assignment
}

// Option changes an entry.
type Option func(*Entry)

// WithClock replaces the system clock.
func WithClock(c oleandervalve.Clock) Option { return func(e *Entry) { e.clock = c } }

// WithLog sets the log.
func WithLog(l *logrus.Entry) Option { return func(e *Entry) { e.log = l } }

// WithScope sets the metrics scope.
func WithScope(s tally.Scope) Option { return func(e *Entry) { e.scope = s } }

// WithLocation tells where the entry stands, so that it prefers its own data centre.
func WithLocation(l oleandervalve.Location) Option { return func(e *Entry) { e.location = l } }

// WithPolicy sets the class policies of a service.
func WithPolicy(s oleandervalve.ServiceName, list []caller.ClassPolicy) Option {
	return func(e *Entry) { e.policies[s] = list }
}

// WithArrivalOrder serves the requests of each service in one queue in the order
// of arrival, without classes, teams, callers and deadlines; it is the baseline of measurements.
func WithArrivalOrder() Option { return func(e *Entry) { e.byArrival = true } }

// TaskOwner takes what the agents of workers say about tasks.
type TaskOwner interface {
	// Connected tells that the agent of a worker has connected.
	Connected(w oleandervalve.WorkerID, l oleandervalve.Location, labels map[string]string)
	// Heartbeat records a sign of life.
	Heartbeat(w oleandervalve.WorkerID, m *peer.Heartbeat)
	// Handle takes a message about tasks.
	Handle(w oleandervalve.WorkerID, m peer.Message)
}

// SetTaskOwner makes the entry pass on messages about tasks; it is set before agents connect.
func (e *Entry) SetTaskOwner(o TaskOwner) { e.owner = o }

// SendWorker passes a message to the agent of a worker and reports whether it is connected.
func (e *Entry) SendWorker(w oleandervalve.WorkerID, m peer.Message) bool {
	e.mu.Lock()
	l := e.workers[w]
	e.mu.Unlock()
	return l != nil && l.conn.TrySend(m)
}

// New returns a running entry; Close ends it.
func New(id oleandervalve.EntryID, options ...Option) *Entry {
	b := make([]byte, 4)
	_, _ = rand.Read(b)
	e := &Entry{
		id: id, boot: hex.EncodeToString(b),
		clock:    oleandervalve.SystemClock(),
		log:      logrus.NewEntry(logrus.StandardLogger()),
		scope:    tally.NoopScope,
		services: map[oleandervalve.ServiceName]*service{},
		policies: map[oleandervalve.ServiceName][]caller.ClassPolicy{},
		waiting:  map[oleandervalve.RequestID]chan acquired{},
		links:    map[oleandervalve.AgentID]*link{},
		workers:  map[oleandervalve.WorkerID]*link{},
		stop:     make(chan struct{}),
	}
	for _, o := range options {
		o(e)
	}
	e.directory = endpoint.NewDirectory(endpoint.WithLocation(e.location))
	e.stopped.Add(1)
	go e.run()
	if e.keys != nil {
		e.keys.start()
	}
	return e
}

func (e *Entry) run() {
	defer e.stopped.Done()
	for {
		select {
		case <-e.stop:
			return
		case <-e.clock.After(tickEvery):
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
	e.giveBack(e.directory.Expire(now))
	for s := range e.services {
		e.pump(now, s)
	}
}

// expire ends the wait of a request whose deadline passed in the queue.
func (e *Entry) expire(id oleandervalve.RequestID) {
	if c := e.waiting[id]; c != nil {
		delete(e.waiting, id)
		close(c)
	}
}

// pump gives waiting requests their places while credits last, and tells the
// agents what still waits.
func (e *Entry) pump(now time.Time, name oleandervalve.ServiceName) {
	q := e.service(name).queue
	for {
		r, a, ok := e.directory.Next(now, name, q)
		if !ok {
			break
		}
		c := e.waiting[r.ID]
		delete(e.waiting, r.ID)
		c <- acquired{link: e.links[a.Agent], assignment: a}
	}
	e.giveBack(e.directory.TakeSurplus(name))
	e.sendDemand(now)
}

func (e *Entry) giveBack(list []endpoint.CreditReturn) {
	for _, r := range list {
		if l := e.links[r.Agent]; l != nil && l.epoch == r.Epoch {
			l.conn.TrySend(&peer.CreditReturn{Endpoint: r.Endpoint, Class: r.Class, Count: r.Count})
		}
	}
}

// sendDemand tells the agents what waits here, as far as it has changed.
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

// service returns what the entry keeps for a service; the caller holds the lock.
func (e *Entry) service(name oleandervalve.ServiceName) *service {
	s := e.services[name]
	if s == nil {
		s = &service{queue: caller.NewQueue()}
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
	return oleandervalve.RequestID(string(e.id) + "-" + e.boot + "-" + strconv.FormatUint(e.sequence.Add(1), 36))
}

// Drain refuses new calls and waits until those in flight are answered or the time is over.
func (e *Entry) Drain(within time.Duration) bool {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	done := make(chan struct{})
	go func() {
		e.inFlight.Wait()
		// A home that does not learn the outcome would answer retries as lost.
		for !e.keys.reported() {
			select {
			case <-e.stop:
				return
			case <-e.clock.After(keysTick):
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

// Close ends the entry and its connections.
func (e *Entry) Close() {
	close(e.stop)
	e.stopped.Wait()
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

// Slots counts the slots of a service's ready endpoints that this entry knows.
func (e *Entry) Slots(s oleandervalve.ServiceName) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.directory.Slots(s)
}
