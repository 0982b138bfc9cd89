package process

import (
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"oleandervalve"
	"oleandervalve/core/clientlimit"
)

const (
	// newConnectionGrace is the usual time for which a planned stop waits for the first request
	// of a connection.
	newConnectionGrace = 500 * time.Millisecond
	// lastAttemptTimeout is the timeout of the last read from a connection, and of the last
	// accept, in a planned stop. It returns what has arrived and was not read in time.
	lastAttemptTimeout = 5 * time.Millisecond
)

// connections is a listener that tracks its open connections. The Shutdown method of
// http.Server closes connections of which it has read a request, but has not begun to handle
// it; a slow process may be that far behind.
type connections struct {
	*net.TCPListener
	name  string
	guard *guard
	// limit is the maximum number of connections, and plain means that they are not encrypted.
	limit int
	plain bool
	// hasReadTimeout means that the server limits the time in which a whole request is read, so
	// that its body may pause.
	hasReadTimeout bool
	// grace is how long a planned stop waits for the first request of a connection.
	grace     time.Duration
	closeOnce sync.Once
	closed    chan struct{}

	draining atomic.Bool

	mu   sync.Mutex
	open map[*connection]bool
	// hijacked counts the open connections that are no longer the server's, and closing those in
	// open that are being closed at the limit.
	hijacked int
	closing  int
	// removed gets a value once one of closing is closed.
	removed chan struct{}
	// candidates and states are buffers that admit reuses.
	candidates []*connection
	states     []clientlimit.Connection
}

func newConnections(l *net.TCPListener, name string, g *guard) *connections {
	return &connections{
		TCPListener: l, name: name, guard: g, limit: g.connectionLimit(name),
		grace: newConnectionGrace, closed: make(chan struct{}), open: map[*connection]bool{}, removed: make(chan struct{}, 1),
	}
}

// Accept waits for the next connection that the limit admits. In a planned stop it closes the
// listener once no connection waits to be accepted.
func (l *connections) Accept() (net.Conn, error) {
	for {
		c, err := l.accept()
		if err != nil {
			return nil, err
		}
		if l.admit(c) {
			return c, nil
		}
		l.guard.refused(l.name, refusedConnections)
		c.writeRefusal()
		_ = c.Close() // nothing has been read from it
	}
}

func (l *connections) accept() (*connection, error) {
	accepted, err := l.AcceptTCP()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		_ = l.SetDeadline(time.Now().Add(lastAttemptTimeout)) // fails only if the listener is closed
		accepted, err = l.AcceptTCP()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		_ = l.Close() // the error below ends the server's loop
		return nil, net.ErrClosed
	}
	if err != nil {
		return nil, err
	}
	now := time.Now()
	c := &connection{TCPConn: accepted, listener: l, guard: l.guard, isNew: true, awaitsRequest: true, openedAt: now, changedAt: now}
	l.guard.add(c)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = true
	if l.draining.Load() {
		c.closeUnlessUsed(now)
	}
	return c, nil
}

// Close closes the listener. It may be called again.
func (l *connections) Close() (err error) {
	l.closeOnce.Do(func() {
		err = l.TCPListener.Close()
		close(l.closed)
	})
	return err
}

func (l *connections) openCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

func (l *connections) remove(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[c] && c.closing {
		l.closing--
		select {
		case l.removed <- struct{}{}:
		default:
		}
	}
	delete(l.open, c)
}

// hijack stops tracking a connection that is no longer the server's, but for the limit.
func (l *connections) hijack(c *connection) {
	l.remove(c)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hijacked++
}

// trackedConnection returns the connection below a connection of the server, or nil.
func trackedConnection(accepted net.Conn) *connection {
	if t, ok := accepted.(*tls.Conn); ok {
		accepted = t.NetConn()
	}
	c, _ := accepted.(*connection)
	return c
}

// stateChanged follows the state of a connection of the server.
func (l *connections) stateChanged(accepted net.Conn, s http.ConnState) {
	c := trackedConnection(accepted)
	if c == nil {
		return
	}
	switch s {
	case http.StateIdle:
		c.mu.Lock()
		c.isNew, c.awaitsRequest = false, true
		c.phase, c.received, c.headerCharge, c.stallAt, c.changedAt = phaseHeader, 0, 0, time.Time{}, time.Now()
		if c.closesAfterResponse.Load() {
			c.closeAt = c.changedAt // its request was served while it was chosen to be closed
		}
		c.mu.Unlock()
	case http.StateHijacked:
		l.hijack(c)
		c.guard.remove(c)
		c.mu.Lock()
		c.awaitsRequest = false
		c.phase, c.stallAt, c.writeDeadline = phaseHijacked, time.Time{}, time.Time{}
		c.applyReadDeadline()
		_ = c.TCPConn.SetWriteDeadline(time.Time{}) // fails only if the connection is closed
		c.mu.Unlock()
	}
}

// connection is a connection of a listener. While it awaits a request in a planned stop, its
// reads end at closeAt.
type connection struct {
	*net.TCPConn
	listener *connections
	guard    *guard
	id       clientlimit.RequestID
	openedAt time.Time
	// closing is guarded by the lock of the listener.
	closing bool
	// closesAfterResponse means that a request that arrives while an idle connection is being
	// closed is answered, and is the last one.
	closesAfterResponse atomic.Bool

	mu sync.Mutex
	// phase is what the connection is used for, and refusal is set once its client is refused.
	phase   connectionPhase
	refusal refusal
	// received counts the bytes of the request, and headerCharge is what they count for while the
	// header is read. changedAt is the time of the last byte or response.
	received     oleandervalve.Bytes
	headerCharge oleandervalve.Bytes
	changedAt    time.Time
	// stallAt is the time at which a read without progress ends; zero means never.
	stallAt       time.Time
	writeDeadline time.Time
	// restarted means that a planned stop has ended the write in progress.
	restarted bool
	isClosed  bool
	// isNew means that the connection has had no request yet, and awaitsRequest that nothing
	// has been read since it was opened or since the last answer.
	isNew         bool
	awaitsRequest bool
	// readDeadline is the deadline that the server has set.
	readDeadline time.Time
	closeAt      time.Time
	// reading means that the process waits for bytes of the client, and givenUp that a planned
	// stop refuses the request unless bytes have arrived by now.
	reading bool
	givenUp bool
}

// closeUnlessUsed makes reads end soon, unless a request has begun.
func (c *connection) closeUnlessUsed(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeAt = now
	if c.isNew {
		c.closeAt = now.Add(c.listener.grace)
	}
	c.applyReadDeadline()
}

// applyReadDeadline sets the deadline in force. The lock must be held.
func (c *connection) applyReadDeadline() {
	d := c.readDeadline
	if c.awaitsRequest && !c.closeAt.IsZero() && (d.IsZero() || c.closeAt.Before(d)) {
		d = c.closeAt
	}
	if !c.stallAt.IsZero() && (d.IsZero() || c.stallAt.Before(d)) {
		d = c.stallAt
	}
	if c.refusal != "" || c.givenUp {
		d = time.Unix(1, 0) // reads end at once
	}
	_ = c.TCPConn.SetReadDeadline(d) // fails only if the connection is closed
}

// SetReadDeadline sets the deadline of reads.
func (c *connection) SetReadDeadline(d time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = d
	c.applyReadDeadline()
	return nil
}

// SetWriteDeadline sets the deadline of writes.
func (c *connection) SetWriteDeadline(d time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = d
	return c.TCPConn.SetWriteDeadline(d)
}

// SetDeadline sets the deadline of reads and writes.
func (c *connection) SetDeadline(d time.Time) error {
	if err := c.SetWriteDeadline(d); err != nil {
		return err
	}
	return c.SetReadDeadline(d)
}

// Read reads from the connection.
func (c *connection) Read(b []byte) (int, error) {
	c.setReading(true)
	defer c.setReading(false)
	n, err := c.TCPConn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extendForLastRead() {
		n, err = c.TCPConn.Read(b)
	}
	if n > 0 {
		c.requestBegun()
		if !c.bytesRead(n) {
			return 0, os.ErrDeadlineExceeded // the server closes the connection
		}
	}
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isGivenUp() {
		c.refuse(refusedStopping)
	}
	return n, err
}

func (c *connection) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = reading
}

func (c *connection) isGivenUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.givenUp
}

// extendForLastRead permits one more read if the last one ended because of a planned stop.
func (c *connection) extendForLastRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	unused := c.awaitsRequest && !c.closeAt.IsZero() && !c.closeAt.After(now)
	if c.refusal != "" || !unused && !c.givenUp {
		return false
	}
	return c.TCPConn.SetReadDeadline(now.Add(lastAttemptTimeout)) == nil
}

// requestBegun records that a part of a request has been read.
func (c *connection) requestBegun() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitsRequest || c.givenUp {
		c.awaitsRequest, c.givenUp = false, false
		c.applyReadDeadline()
	}
}

// Close closes the connection.
func (c *connection) Close() error {
	c.mu.Lock()
	first, hijacked := !c.isClosed, c.phase == phaseHijacked
	c.isClosed = true
	c.mu.Unlock()
	if first && hijacked {
		c.listener.mu.Lock()
		c.listener.hijacked--
		c.listener.mu.Unlock()
	}
	c.listener.remove(c)
	c.guard.remove(c)
	return c.TCPConn.Close()
}
