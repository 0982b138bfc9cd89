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
	// demandEvery bounds how often demand is repeated to agents.
	demandEvery = 20 * time.Millisecond
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
	queues    map[oleandervalve.ServiceName]*caller.Queue
	directory *endpoint.Directory
	waiting   map[oleandervalve.RequestID]chan acquired
	links     map[oleandervalve.AgentID]*link
	workers   map[oleandervalve.WorkerID]*link
	owner     TaskOwner
	demandDue time.Time
	draining  bool
	inFlight  sync.WaitGroup

	stop    chan struct{}
	stopped sync.WaitGroup
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
		clock:     oleandervalve.SystemClock(),
		log:       logrus.NewEntry(logrus.StandardLogger()),
		scope:     tally.NoopScope,
		queues:    map[oleandervalve.ServiceName]*caller.Queue{},
		directory: endpoint.NewDirectory(),
		waiting:   map[oleandervalve.RequestID]chan acquired{},
		links:     map[oleandervalve.AgentID]*link{},
		workers:   map[oleandervalve.WorkerID]*link{},
		stop:      make(chan struct{}),
	}
	for _, o := range options {
		o(e)
	}
	e.stopped.Add(1)
	go e.run()
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
	for _, q := range e.queues {
		for _, r := range q.Expire(now) {
			e.expire(r.ID)
		}
	}
	for _, r := range e.directory.Expire(now) {
		if l := e.links[r.Agent]; l != nil && l.epoch == r.Epoch {
			l.conn.TrySend(&peer.CreditReturn{Endpoint: r.Endpoint, Count: r.Count})
		}
	}
	for s := range e.queues {
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

// pump gives waiting requests their places while credits last.
func (e *Entry) pump(now time.Time, s oleandervalve.ServiceName) {
	q := e.queues[s]
	if q == nil {
		return
	}
	for q.Len() > 0 {
		a, ok := e.directory.Take(now, s)
		if !ok {
			break
		}
		r, ok := q.Pop(now, a.Class)
		if !ok {
			r, ok = q.Pop(now, "")
		}
		if !ok {
			e.giveBack(a)
			break
		}
		c := e.waiting[r.ID]
		delete(e.waiting, r.ID)
		c <- acquired{link: e.links[a.Agent], assignment: a}
	}
	if q.Len() > 0 {
		e.sendDemand(now)
	}
}

func (e *Entry) giveBack(a endpoint.Assignment) {
	if l := e.links[a.Agent]; l != nil {
		l.conn.TrySend(&peer.CreditReturn{Endpoint: a.Endpoint, Count: 1})
	}
}

// sendDemand tells every agent what waits here.
func (e *Entry) sendDemand(now time.Time) {
	if now.Before(e.demandDue) {
		return
	}
	e.demandDue = now.Add(demandEvery)
	d := &peer.Demand{}
	for s, q := range e.queues {
		for _, w := range q.Waiting() {
			d.Classes = append(d.Classes, peer.ClassDemand{Service: s, Class: w.Class, Waiting: w.Waiting})
		}
	}
	for _, l := range e.links {
		l.conn.TrySend(d)
	}
}

func (e *Entry) queue(s oleandervalve.ServiceName) *caller.Queue {
	q := e.queues[s]
	if q == nil {
		q = caller.NewQueue()
		e.queues[s] = q
	}
	return q
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
