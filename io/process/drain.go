package process

import (
	"context"
	"time"

	"oleandervalve/core/clientlimit"
)

const (
	// acceptGrace is the longest time for which a planned stop accepts the connections that
	// wait for it.
	acceptGrace = 100 * time.Millisecond
	// drainPollInterval is the interval at which a planned stop looks for open connections.
	drainPollInterval = 5 * time.Millisecond
)

// drain closes the listener and waits until all requests that have arrived are answered and
// their connections closed, or the context ends. It refuses requests that make no progress while
// they are received, and closes connections whose clients don't read their responses.
// The context has a deadline.
func (l *connections) drain(ctx context.Context) {
	now := time.Now()
	end, _ := ctx.Deadline()
	l.mu.Lock()
	l.draining.Store(true)
	for c := range l.open {
		c.closeUnlessUsed(now)
		c.restartWrite()
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
		case now = <-t.C:
		}
		for _, c := range l.openConnections() {
			if s := c.state(); s.Phase == clientlimit.Receiving {
				c.stopReceiving(clientlimit.ActionAtStop(s, now, end))
			}
		}
	}
}

func (l *connections) openConnections() []*connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*connection, 0, len(l.open))
	for c := range l.open {
		out = append(out, c)
	}
	return out
}

// stopReceiving carries out what a planned stop does with the request that is being received.
func (c *connection) stopReceiving(a clientlimit.StopAction) {
	c.mu.Lock()
	begun := !c.awaitsRequest
	if begun && a == clientlimit.ReadOnce && c.reading && !c.givenUp {
		c.givenUp = true
		c.applyReadDeadline()
	}
	c.mu.Unlock()
	if begun && a == clientlimit.Refuse {
		c.refuse(refusedStopping)
	}
}

// restartWrite ends the write in progress, so that what is left of it gets the limit of a planned
// stop.
func (c *connection) restartWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseHijacked {
		return
	}
	c.restarted = true
	_ = c.TCPConn.SetWriteDeadline(time.Unix(1, 0)) // fails only if the connection is closed
}

// endRestart reports whether restartWrite has been called since the last write.
func (c *connection) endRestart() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	restarted := c.restarted
	c.restarted = false
	return restarted
}
