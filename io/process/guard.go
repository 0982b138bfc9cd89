package process

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"

	"oleandervalve"
	"oleandervalve/core/clientlimit"
)

const (
	// stallTimeout is the longest time for which a body is awaited without any byte, and
	// writeTimeout that for which a client may take nothing of its response.
	stallTimeout = 30 * time.Second
	writeTimeout = time.Minute
	// refusalRetry is the time after which a refused client may try again.
	refusalRetry = time.Second
	// refusalLogInterval is the shortest time between two log lines for refusals of one kind.
	refusalLogInterval = 10 * time.Second
)

// refusal is the reason for which a client is refused or its connection closed.
type refusal string

const (
	refusedMemory      refusal = "memory"
	refusedStalled     refusal = "stalled"
	refusedConnections refusal = "connections"
	refusedIdle        refusal = "idleConnection"
	refusedWrite       refusal = "responseNotRead"
	refusedStopping    refusal = "stopping"
)

// refusalKey is one kind of refusal at one listener.
type refusalKey struct {
	listener string
	reason   refusal
}

// refusalLog is the state of the log line for refusals of one kind.
type refusalLog struct {
	lastAt time.Time
	count  int
}

// guard enforces the limits of a process on its clients.
type guard struct {
	log   *logrus.Entry
	scope tally.Scope
	// stallTimeout and writeTimeout are the constants of that name but in tests.
	stallTimeout time.Duration
	writeTimeout time.Duration

	mu       sync.Mutex
	limits   clientlimit.Limits
	budget   *clientlimit.Budget
	open     map[clientlimit.RequestID]*connection
	lastID   clientlimit.RequestID
	refusals map[refusalKey]*refusalLog
}

func newGuard(log *logrus.Entry, scope tally.Scope) *guard {
	g := &guard{log: log, scope: scope, stallTimeout: stallTimeout, writeTimeout: writeTimeout, open: map[clientlimit.RequestID]*connection{}, refusals: map[refusalKey]*refusalLog{}}
	g.setLimits(clientlimit.DefaultMemory, 0)
	return g
}

// setLimits derives the limits from the memory of the instance and the number of descriptors
// that the process may open, which is at most that of the operating system; 0 means that one.
func (g *guard) setLimits(memory oleandervalve.Bytes, descriptors int) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < uint64(1<<31-1) {
		if n := int(limit.Cur); descriptors == 0 || n < descriptors {
			descriptors = n
		}
	}
	if descriptors == 0 {
		descriptors = clientlimit.DefaultDescriptors
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = clientlimit.LimitsFor(memory, descriptors)
	g.budget = clientlimit.NewBudget(g.limits.Budget)
}

// connectionLimit returns the limit of connections of a listener.
func (g *guard) connectionLimit(listener string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch listener {
	case "callers", "announcements":
		return g.limits.Connections
	case "peers":
		return g.limits.Peers
	}
	return g.limits.OtherConnections
}

func (g *guard) add(c *connection) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastID++
	c.id = g.lastID
	g.open[c.id] = c
}

func (g *guard) remove(c *connection) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.open, c.id)
	g.budget.End(c.id)
}

// reserve reserves bytes for the request of a connection and gives up the requests that have to
// release their share for it. It reports whether the request may go on.
func (g *guard) reserve(c *connection, n oleandervalve.Bytes) bool {
	g.mu.Lock()
	if g.open[c.id] == nil {
		g.mu.Unlock()
		return false
	}
	victims, ok := g.budget.Reserve(c.id, n, time.Now())
	given := make([]*connection, 0, len(victims))
	for _, id := range victims {
		if v := g.open[id]; v != nil {
			given = append(given, v)
		}
	}
	g.mu.Unlock()
	for _, v := range given {
		v.refuse(refusedMemory)
	}
	if !ok {
		c.refuse(refusedMemory)
	}
	return ok
}

// withBudget calls a function with the budget locked.
func (g *guard) withBudget(f func(*clientlimit.Budget)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.budget)
}

// refused counts a refusal, and logs those of its kind once in a while.
func (g *guard) refused(listener string, reason refusal) {
	g.scope.Tagged(map[string]string{"listener": listener, "reason": string(reason)}).Counter("client_refusals").Inc(1)
	g.mu.Lock()
	defer g.mu.Unlock()
	key := refusalKey{listener, reason}
	l := g.refusals[key]
	if l == nil {
		l = &refusalLog{}
		g.refusals[key] = l
	}
	l.count++
	now := time.Now()
	if now.Sub(l.lastAt) < refusalLogInterval {
		return
	}
	g.log.WithFields(logrus.Fields{
		"event": "clientsRefused", "listener": listener, "reason": reason, "count": l.count, "bytesInFlight": g.budget.Used(), "budgetBytes": g.limits.Budget,
	}).Warn("clients refused at a limit of the process")
	l.lastAt, l.count = now, 0
}

// refusalError returns the error of a read from a client that was refused. Its request has not
// been received as a whole.
func refusalError(reason refusal) error {
	e := &oleandervalve.UnavailableError{Service: "process", RetryAfter: refusalRetry, Remedy: "the memory for requests in flight is in use; send the request again"}
	switch reason {
	case refusedStalled:
		e.Remedy = "the body made no progress; send the request again without pauses"
	case refusedStopping:
		e.Remedy = "the process stops and has not received the request; send it again to another one"
	}
	return e
}
