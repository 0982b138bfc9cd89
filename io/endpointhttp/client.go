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
	// HeaderRequestID is the request ID.
	HeaderRequestID = "Oleandervalve-Request-Id"
	// HeaderDeadline is the time in milliseconds that remains until the deadline.
	HeaderDeadline = "Oleandervalve-Deadline-Ms"

	dialTimeout = time.Second
	// idleTimeout is shorter than the keep-alive timeout of a typical server, so
	// that a request is rarely sent on a connection that the server is closing.
	idleTimeout  = 4 * time.Second
	maxIdleConns = 256
)

// Client sends requests to endpoints over HTTP/1.1.
type Client struct {
	transport *http.Transport
}

// NewClient returns a client that opens at most maxConns connections per
// endpoint. Zero means no limit; this is safe because the agent's slot accounting
// (instance.Ledger) already limits concurrent requests.
func NewClient(maxConns int) *Client {
	maxIdlePerHost := maxConns
	if maxIdlePerHost == 0 {
		// With the transport's default of 2, most requests under load would
		// need a new connection.
		maxIdlePerHost = maxIdleConns
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	return &Client{transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		ForceAttemptHTTP2:   false,
	}}
}

// singleUseBody prevents the transport from retrying a request. The transport
// retries by itself if the body is absent or rewindable and the method or an
// Idempotency-Key header suggests that this is safe, but only the scheduler
// knows whether a request may run twice.
type singleUseBody struct {
	io.Reader
}

func (singleUseBody) Close() error { return nil }

// Do sends a request once. *oleandervalve.NotSentError means that it was
// certainly not sent; *oleandervalve.UnknownOutcomeError means that it may have run.
func (c *Client) Do(ctx context.Context, address string, r oleandervalve.EndpointRequest) (oleandervalve.EndpointResponse, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	body := r.Body
	if body == nil {
		body = emptyBody{}
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, singleUseBody{body})
	if err != nil {
		return oleandervalve.EndpointResponse{}, &oleandervalve.NotSentError{Address: address, Cause: err}
	}
	for name, values := range r.Header {
		req.Header[name] = values
	}
	req.ContentLength = contentLength(r.Body)
	req.Header.Set(HeaderRequestID, string(r.ID))
	req.Header.Set(HeaderDeadline, strconv.FormatInt(time.Until(r.Deadline).Milliseconds(), 10))
	resp, err := c.transport.RoundTrip(req) //nolint:bodyclose // the caller of Do closes the body
	if err != nil {
		if !connected.Load() {
			return oleandervalve.EndpointResponse{}, &oleandervalve.NotSentError{Address: address, Cause: err}
		}
		return oleandervalve.EndpointResponse{}, unknownOutcome(err)
	}
	if isDelimitedByClose(resp) {
		_ = resp.Body.Close()
		return oleandervalve.EndpointResponse{}, unknownOutcome(errors.New("response has neither a Content-Length nor a chunked encoding"))
	}
	return oleandervalve.EndpointResponse{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body, Length: resp.ContentLength}, nil
}

// isDelimitedByClose reports whether only the end of the connection marks the end
// of a response, so that a truncated one is indistinguishable from a complete one.
func isDelimitedByClose(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody && resp.Request.Method != http.MethodHead
}

func unknownOutcome(cause error) error {
	return &oleandervalve.UnknownOutcomeError{
		Operation: "request to endpoint", Remedy: "ask the service whether it ran before sending it again", Cause: cause,
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// lenReader is implemented by readers that know their remaining length in bytes.
type lenReader interface{ Len() int }

// contentLength returns the length of a body, or 0 if it is unknown.
func contentLength(r io.Reader) int64 {
	if s, ok := r.(lenReader); ok && s.Len() > 0 {
		return int64(s.Len())
	}
	// To net/http, 0 with a non-nil body means that the length is unknown.
	return 0
}

// emptyBody is a body without any bytes.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
