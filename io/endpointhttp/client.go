package endpointhttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"oleandervalve"
)

const (
	// HeaderRequestID carries the request id to the endpoint.
	HeaderRequestID = "Oleandervalve-Request-Id"
	// HeaderDeadline carries the remaining time in milliseconds.
	HeaderDeadline = "Oleandervalve-Deadline-Ms"

	dialTimeout = time.Second
	// An idle connection is closed before a typical server would close it, so
	// that a request rarely meets a connection that is being closed.
	idleTimeout = 4 * time.Second
	maxIdle     = 256
)

// Client sends requests to endpoints over HTTP/1.1.
type Client struct {
	transport *http.Transport
}

// NewClient returns a client that opens at most the given number of connections
// per endpoint; zero sets no limit, because the ledger limits requests anyway.
func NewClient(connections int) *Client {
	idle := connections
	if idle == 0 {
		// The transport's own default of 2 would dial anew for most requests under load.
		idle = maxIdle
	}
	d := net.Dialer{Timeout: dialTimeout}
	return &Client{transport: &http.Transport{
		DialContext:         d.DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: idle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		ForceAttemptHTTP2:   false,
	}}
}

// singleUseBody hides from the transport that a body could be sent again. The
// transport repeats a request on its own when the body is absent or rewindable
// and the method or an Idempotency-Key header suggests that this is safe, but
// only the scheduler knows whether a request may run twice.
type singleUseBody struct {
	io.Reader
}

func (singleUseBody) Close() error { return nil }

// Do sends one request once. *oleandervalve.NotSentError proves that it was not
// sent; *oleandervalve.UnknownOutcomeError means that it may have run.
func (c *Client) Do(ctx context.Context, address string, r oleandervalve.EndpointRequest) (oleandervalve.EndpointResponse, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	body := r.Body
	if body == nil {
		body = eof{}
	}
	q, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, singleUseBody{body})
	if err != nil {
		return oleandervalve.EndpointResponse{}, &oleandervalve.NotSentError{Address: address, Cause: err}
	}
	for name, values := range r.Header {
		q.Header[name] = values
	}
	q.ContentLength = lengthOf(r.Body)
	q.Header.Set(HeaderRequestID, string(r.ID))
	q.Header.Set(HeaderDeadline, strconv.FormatInt(time.Until(r.Deadline).Milliseconds(), 10))
	p, err := c.transport.RoundTrip(q) //nolint:bodyclose // the caller of Do closes it
	if err != nil {
		if !connected.Load() {
			return oleandervalve.EndpointResponse{}, &oleandervalve.NotSentError{Address: address, Cause: err}
		}
		return oleandervalve.EndpointResponse{}, unknown(err)
	}
	if endsWithConnection(p) {
		_ = p.Body.Close()
		return oleandervalve.EndpointResponse{}, unknown(errors.New("answer has neither a length nor an end marker"))
	}
	return oleandervalve.EndpointResponse{Status: p.StatusCode, Header: p.Header, Body: p.Body, Length: p.ContentLength}, nil
}

// endsWithConnection reports an answer whose end is the end of the connection:
// a cut one could not be told from a whole one.
func endsWithConnection(p *http.Response) bool {
	return p.ContentLength < 0 && len(p.TransferEncoding) == 0 && p.Body != http.NoBody && p.Request.Method != http.MethodHead
}

func unknown(cause error) error {
	return &oleandervalve.UnknownOutcomeError{
		Operation: "request to endpoint", Remedy: "ask the service whether it ran before sending it again", Cause: cause,
	}
}

// Close ends idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// sized is a reader that knows its length in bytes.
type sized interface{ Len() int }

func lengthOf(r io.Reader) int64 {
	if s, ok := r.(sized); ok && s.Len() > 0 {
		return int64(s.Len())
	}
	// Zero with a body that is not nil means that the length is unknown.
	return 0
}

type eof struct{}

func (eof) Read([]byte) (int, error) { return 0, io.EOF }
