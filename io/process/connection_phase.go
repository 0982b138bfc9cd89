package process

import (
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"oleandervalve"
	"oleandervalve/core/clientlimit"
)

// connectionPhase is what a connection is used for.
type connectionPhase int

const (
	// phaseHeader means that the connection awaits a request or that its header is being read.
	phaseHeader connectionPhase = iota
	// phaseBody means that the body of a request has not been read as a whole.
	phaseBody
	// phaseServing means that a request has been read as a whole.
	phaseServing
	// phaseEnding means that the handler has returned before all of the body was read; the
	// server reads the rest.
	phaseEnding
	phaseHijacked
)

// writePieceBytes is the part of a response that a client has to take within writeTimeout.
const writePieceBytes = 64 << 10

// state returns what the decision at the limit of connections needs.
func (c *connection) state() clientlimit.Connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := clientlimit.Connection{Phase: clientlimit.Serving, ChangedAt: c.changedAt, OpenedAt: c.openedAt, Received: c.received}
	switch {
	case c.awaitsRequest && !c.isNew:
		s.Phase = clientlimit.Idle
	case c.phase == phaseHeader || c.phase == phaseBody || c.phase == phaseEnding:
		s.Phase = clientlimit.Receiving
	}
	return s
}

// bytesRead counts bytes of the client. While the header is read they count against the budget
// with the memory that a header takes once it is parsed. It reports false if the client is refused.
func (c *connection) bytesRead(n int) bool {
	c.mu.Lock()
	c.received += oleandervalve.Bytes(n)
	c.changedAt = time.Now()
	if c.phase == phaseEnding {
		c.limitStall()
	}
	if c.phase != phaseHeader {
		c.mu.Unlock()
		return true
	}
	charge := clientlimit.HeaderCharge(c.received, c.isNew && !c.listener.plain)
	change := charge - c.headerCharge
	c.headerCharge = charge
	c.mu.Unlock()
	if change == 0 {
		return true
	}
	c.guard.withBudget(func(b *clientlimit.Budget) { b.Received(c.id, oleandervalve.Bytes(n), time.Now()) })
	return c.guard.reserve(c, change)
}

// beginRequest replaces what the bytes of the header count for by the memory that it takes. It
// reports false if the request is refused.
func (c *connection) beginRequest(r *http.Request) bool {
	c.mu.Lock()
	charge := c.headerCharge
	c.headerCharge, c.phase = 0, phaseBody
	c.mu.Unlock()
	memory := headerMemory(r.Header)
	c.guard.withBudget(func(b *clientlimit.Budget) {
		b.Release(c.id, charge)
		if r.ContentLength > 0 {
			b.Declare(c.id, oleandervalve.Bytes(r.ContentLength), time.Now())
		}
	})
	if memory > 0 && !c.guard.reserve(c, memory) {
		return false
	}
	complete := r.Body == nil || r.Body == http.NoBody
	c.bodyRead(0, 0, complete)
	return true
}

// endRequest releases what the request holds, and limits the time for which the server reads the
// rest of the body.
func (c *connection) endRequest() {
	c.guard.withBudget(func(b *clientlimit.Budget) { b.End(c.id) })
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseBody {
		c.phase = phaseEnding
		c.limitStall()
	}
}

// awaitBody limits the time until the next byte of a body.
func (c *connection) awaitBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limitStall()
}

// limitStall limits the time until the next byte, unless the server limits that of the whole
// request. The lock must be held.
func (c *connection) limitStall() {
	if c.listener.hasReadTimeout {
		return
	}
	c.stallAt = time.Now().Add(c.guard.stallTimeout)
	c.applyReadDeadline()
}

// bodyRead counts bytes of a body and returns a part of the reservation that was not used.
func (c *connection) bodyRead(n int, unused oleandervalve.Bytes, complete bool) {
	now := time.Now()
	c.mu.Lock()
	c.stallAt = time.Time{}
	if complete && c.phase == phaseBody {
		c.phase = phaseServing
	}
	c.applyReadDeadline()
	c.mu.Unlock()
	c.guard.withBudget(func(b *clientlimit.Budget) {
		b.Release(c.id, unused)
		b.Received(c.id, oleandervalve.Bytes(n), now)
		if complete {
			b.Complete(c.id)
		}
	})
}

// stalled reports whether the deadline for progress has passed, and refuses the client if so.
func (c *connection) stalled() bool {
	c.mu.Lock()
	passed := !c.stallAt.IsZero() && !time.Now().Before(c.stallAt)
	c.mu.Unlock()
	if passed {
		c.refuse(refusedStalled)
	}
	return passed
}

// refuse makes all reads from the client fail, unless its request has been read as a whole.
func (c *connection) refuse(reason refusal) {
	c.mu.Lock()
	if c.refusal != "" || c.phase == phaseServing || c.phase == phaseHijacked || c.isClosed {
		c.mu.Unlock()
		return
	}
	c.refusal = reason
	inHeader := c.phase == phaseHeader
	c.applyReadDeadline()
	c.mu.Unlock()
	c.guard.refused(c.listener.name, reason)
	if inHeader {
		c.writeRefusal()
	}
}

func (c *connection) refusalReason() refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusal
}

// refusalResponse is the response to a request whose header has not been read.
const refusalResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// writeRefusal answers a request whose header has not been read, if the connection is not
// encrypted and has room for the response.
func (c *connection) writeRefusal() {
	if !c.listener.plain {
		return
	}
	_ = c.TCPConn.SetWriteDeadline(time.Now().Add(lastAttemptTimeout))
	_, _ = c.TCPConn.Write([]byte(refusalResponse)) // a client that takes nothing gets no response
}

// Write writes a part of a response. It fails if the client takes nothing for writeTimeout, or
// for clientlimit.StallTime in a planned stop.
func (c *connection) Write(b []byte) (n int, err error) {
	for len(b) > 0 && err == nil {
		var written int
		written, err = c.writePiece(b)
		n, b = n+written, b[written:]
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.guard.refused(c.listener.name, refusedWrite)
	}
	return n, err
}

// writePiece writes the first bytes. It fails with a deadline error only if the client has taken
// none.
func (c *connection) writePiece(b []byte) (int, error) {
	if !c.limitWrite() {
		return c.TCPConn.Write(b)
	}
	b = b[:min(len(b), writePieceBytes)]
	n, err := c.TCPConn.Write(b)
	if c.endRestart() && c.mayWriteAfter(err) {
		return n, nil
	}
	if n == 0 && c.mayWriteAfter(err) {
		// A process that was suspended has not seen what the client took meanwhile.
		_ = c.TCPConn.SetWriteDeadline(time.Now().Add(lastAttemptTimeout)) // fails only if the connection is closed
		n, err = c.TCPConn.Write(b)
	}
	if n > 0 && c.mayWriteAfter(err) {
		err = nil
	}
	return n, err
}

// mayWriteAfter reports whether an error is that of the deadline that limitWrite has set, and the
// one of the server has not passed.
func (c *connection) mayWriteAfter(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return errors.Is(err, os.ErrDeadlineExceeded) && c.phase != phaseHijacked && (c.writeDeadline.IsZero() || time.Now().Before(c.writeDeadline))
}

// limitWrite sets the deadline of the next write. It reports false for a hijacked connection,
// whose owner sets the deadlines.
func (c *connection) limitWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseHijacked {
		return false
	}
	timeout := c.guard.writeTimeout
	if c.listener.draining.Load() {
		timeout = min(timeout, clientlimit.StallTime)
	}
	d := time.Now().Add(timeout)
	if !c.writeDeadline.IsZero() && c.writeDeadline.Before(d) {
		d = c.writeDeadline
	}
	_ = c.TCPConn.SetWriteDeadline(d) // fails only if the connection is closed
	return true
}
