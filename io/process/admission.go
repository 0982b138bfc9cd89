package process

import (
	"time"

	"oleandervalve/core/clientlimit"
)

const (
	// closingTimeout is the longest time for which a new connection at the limit waits for one that
	// is being closed. It takes as long as the goroutine of that connection takes to run.
	closingTimeout = 50 * time.Millisecond
	// closingShare is the share of the limit, one part in so many, that connections which are
	// being closed may take beyond it.
	// It is at least minClosing connections.
	closingShare = 4
	minClosing   = 8
)

// admit makes room for a new connection at the limit. It reports false if no other connection
// can be closed for it.
func (l *connections) admit(accepted *connection) bool {
	l.mu.Lock()
	if !l.awaitClosing() {
		l.mu.Unlock()
		return false
	}
	if l.total()-l.closing <= l.limit {
		l.mu.Unlock()
		return true
	}
	now := time.Now()
	l.candidates, l.states = l.candidates[:0], l.states[:0]
	for c := range l.open {
		if c != accepted && !c.closing {
			l.candidates, l.states = append(l.candidates, c), append(l.states, c.state())
		}
	}
	i, ok := clientlimit.ConnectionToClose(l.states, now)
	if !ok {
		l.mu.Unlock()
		return false
	}
	victim, idle := l.candidates[i], l.states[i].Phase == clientlimit.Idle
	clear(l.candidates) // closed connections are not held
	victim.closing = true
	victim.closesAfterResponse.Store(true)
	l.closing++
	l.mu.Unlock()
	if idle {
		l.guard.refused(l.name, refusedIdle)
		victim.closeUnlessUsed(now)
		return true
	}
	victim.refuse(refusedConnections)
	return true
}

func (l *connections) total() int { return len(l.open) + l.hijacked }

// awaitClosing waits until the connections that are being closed at the limit leave room for one
// more. It reports false if they don't, at once if all of them are being served. The lock must be
// held.
func (l *connections) awaitClosing() bool {
	timeout := time.NewTimer(closingTimeout)
	defer timeout.Stop()
	for l.total()-l.limit > max(minClosing, l.limit/closingShare) {
		if !l.closesSoon() {
			return false
		}
		l.mu.Unlock()
		expired := false
		select {
		case <-l.removed:
		case <-timeout.C:
			expired = true
		}
		l.mu.Lock()
		if expired {
			return false
		}
	}
	return true
}

// closesSoon reports whether a connection is being closed at the limit without a request that is
// being served. The lock must be held.
func (l *connections) closesSoon() bool {
	for c := range l.open {
		if c.closing && c.state().Phase != clientlimit.Serving {
			return true
		}
	}
	return false
}
