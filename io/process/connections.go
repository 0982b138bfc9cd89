package process

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// newConnectionGrace is the usual time for which a planned stop waits for the first request
	// of a connection.
	newConnectionGrace = 500 * time.Millisecond
	// acceptGrace is the longest time for which a planned stop accepts the connections that
	// wait for it.
	acceptGrace = 100 * time.Millisecond
	// lastAttemptTimeout is the timeout of the last read from a connection, and of the last
	// accept, in a planned stop. It returns what has arrived and was not read in time.
	lastAttemptTimeout = 5 * time.Millisecond
	// drainPollInterval is the interval at which a planned stop looks for open connections.
	drainPollInterval = 5 * time.Millisecond
)

// connections is a listener that tracks its open connections. The Shutdown method of
// http.Server closes connections of which it has read a request, but has not begun to handle
// it; a slow process may be that far behind.
type connections struct {
	*net.TCPListener
	// grace is how long a planned stop waits for the first request of a connection.
	grace     time.Duration
	closeOnce sync.Once
	closed    chan struct{}

	mu       sync.Mutex
	open     map[*connection]bool
	draining bool
}

func newConnections(l *net.TCPListener) *connections {
	return &connections{TCPListener: l, grace: newConnectionGrace, closed: make(chan struct{}), open: map[*connection]bool{}}
}

// Accept waits for the next connection. In a planned stop it closes the listener once no
// connection waits to be accepted.
func (l *connections) Accept() (net.Conn, error) {
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
	c := &connection{TCPConn: accepted, listener: l, isNew: true, awaitsRequest: true}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = true
	if l.draining {
		c.closeUnlessUsed(time.Now())
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

// drain closes the listener and waits until all requests that have arrived are answered and
// their connections closed, or the context ends.
func (l *connections) drain(ctx context.Context) {
	now := time.Now()
	l.mu.Lock()
	l.draining = true
	for c := range l.open {
		c.closeUnlessUsed(now)
	}
	l.mu.Unlock()
	_ = l.SetDeadline(now) // fails only if the listener is closed
	select {
	case <-l.closed:
	case <-time.After(acceptGrace):
		_ = l.Close() // a client that keeps connecting must not hold up the stop
	}
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for l.openCount() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (l *connections) openCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

func (l *connections) remove(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// stateChanged follows the state of a connection of the server.
func (l *connections) stateChanged(accepted net.Conn, s http.ConnState) {
	if t, ok := accepted.(*tls.Conn); ok {
		accepted = t.NetConn()
	}
	c, ok := accepted.(*connection)
	if !ok {
		return
	}
	switch s {
	case http.StateIdle:
		c.mu.Lock()
		c.isNew, c.awaitsRequest = false, true
		c.mu.Unlock()
	case http.StateHijacked:
		l.remove(c)
		c.mu.Lock()
		c.awaitsRequest = false
		c.mu.Unlock()
	}
}

// connection is a connection of a listener. While it awaits a request in a planned stop, its
// reads end at closeAt.
type connection struct {
	*net.TCPConn
	listener *connections

	mu sync.Mutex
	// isNew means that the connection has had no request yet, and awaitsRequest that nothing
	// has been read since it was opened or since the last answer.
	isNew         bool
	awaitsRequest bool
	// readDeadline is the deadline that the server has set.
	readDeadline time.Time
	closeAt      time.Time
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

// SetDeadline sets the deadline of reads and writes.
func (c *connection) SetDeadline(d time.Time) error {
	if err := c.SetWriteDeadline(d); err != nil {
		return err
	}
	return c.SetReadDeadline(d)
}

// Read reads from the connection.
func (c *connection) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extendForLastRead() {
		n, err = c.TCPConn.Read(b)
	}
	if n > 0 {
		c.requestBegun()
	}
	return n, err
}

// extendForLastRead permits one more read if the last one ended because of a planned stop.
func (c *connection) extendForLastRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.awaitsRequest || c.closeAt.IsZero() || c.closeAt.After(now) {
		return false
	}
	return c.TCPConn.SetReadDeadline(now.Add(lastAttemptTimeout)) == nil
}

// requestBegun records that a part of a request has been read.
func (c *connection) requestBegun() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitsRequest {
		c.awaitsRequest = false
		c.applyReadDeadline()
	}
}

// Close closes the connection.
func (c *connection) Close() error {
	c.listener.remove(c)
	return c.TCPConn.Close()
}
