package process

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"oleandervalve"
	"oleandervalve/core/clientlimit"
)

const (
	// maxReadBytes limits what is reserved at a time for a read from a body.
	maxReadBytes = 16 << 10
	// fieldBytes and valueBytes are the memory of a field of a parsed header and of each of its
	// values, beside their text.
	fieldBytes = 128
	valueBytes = 16
	// freeHeaderMemory is what the parsed header of an ordinary request takes at most.
	freeHeaderMemory = 4 << 10
)

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

func withConnection(ctx context.Context, accepted net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, trackedConnection(accepted))
}

// guarded returns a handler that counts the memory of requests against the budget.
func guarded(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connectionKey{}).(*connection)
		if !ok || c == nil {
			h.ServeHTTP(w, r)
			return
		}
		if !c.beginRequest(r) {
			refuseRequest(w)
			return
		}
		defer c.endRequest()
		if c.closesAfterResponse.Load() && r.Header.Get("Upgrade") == "" {
			w.Header().Set("Connection", "close")
		}
		if r.Body != nil && r.Body != http.NoBody {
			r.Body = &countedBody{ReadCloser: r.Body, connection: c, response: w}
		}
		h.ServeHTTP(w, r)
	})
}

// refuseRequest answers a request whose header exhausts the budget.
func refuseRequest(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", "1")
	http.Error(w, refusalError(refusedMemory).Error(), http.StatusServiceUnavailable)
}

// headerMemory returns the memory that a parsed header takes beyond what is free.
func headerMemory(h http.Header) oleandervalve.Bytes {
	n := oleandervalve.Bytes(0)
	for name, values := range h {
		n += oleandervalve.Bytes(len(name) + fieldBytes)
		for _, v := range values {
			n += oleandervalve.Bytes(len(v) + valueBytes)
		}
	}
	return max(0, n-freeHeaderMemory)
}

// countedBody is the body of a request. What is read from it counts against the budget until
// the end of the request.
type countedBody struct {
	io.ReadCloser
	connection *connection
	response   http.ResponseWriter
	// held is what counts, and streamed means that each read ends the use of what was read before.
	held     oleandervalve.Bytes
	streamed bool
	err      error
}

// Stream ends the counting of what has been read, except by the last read, and of the size that
// the client has announced.
func (b *countedBody) Stream() {
	b.streamed = true
	b.connection.guard.withBudget(func(u *clientlimit.Budget) { u.Declare(b.connection.id, 0, time.Now()) })
}

// GiveUp makes reads fail because the client makes no progress, unless the whole body has been
// read.
func (b *countedBody) GiveUp() { b.connection.refuse(refusedStalled) }

// reserved returns the part of n bytes that counts.
func reserved(n oleandervalve.Bytes) oleandervalve.Bytes {
	return max(0, n-clientlimit.FreeBodyBytes)
}

// Read reads from the body. If the request is refused it returns an error that says that the
// request has not been received, and the connection is closed after the response.
func (b *countedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	p = p[:min(len(p), maxReadBytes)]
	c, before := b.connection, b.held
	if b.streamed {
		b.held = 0
	}
	b.held += oleandervalve.Bytes(len(p))
	change := reserved(b.held) - reserved(before)
	if change < 0 {
		c.guard.withBudget(func(u *clientlimit.Budget) { u.Release(c.id, -change) })
		change = 0
	}
	if !c.guard.reserve(c, change) {
		return 0, b.refused()
	}
	c.awaitBody()
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) && (c.refusalReason() != "" || errors.Is(err, os.ErrDeadlineExceeded) && c.stalled()) {
		return 0, b.refused()
	}
	unused := reserved(b.held) - reserved(b.held-oleandervalve.Bytes(len(p)-n))
	b.held -= oleandervalve.Bytes(len(p) - n)
	c.bodyRead(n, unused, errors.Is(err, io.EOF))
	if err != nil {
		b.err = err
	}
	return n, err
}

// refused makes the connection close after the response and returns the error of the read. It
// isn't called while the response of a streamed body may have begun, whose header is sent.
func (b *countedBody) refused() error {
	b.err = refusalError(b.connection.refusalReason())
	if !b.streamed {
		b.response.Header().Set("Connection", "close")
	}
	return b.err
}
