package oleandervalve

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Announcement is what an endpoint tells the agent beside it every second.
type Announcement struct {
	Endpoint EndpointID  `json:"endpoint" cbor:"endpoint"`
	Service  ServiceName `json:"service" cbor:"service"`
	// Address is the endpoint's IP address and port.
	Address     string            `json:"address" cbor:"address"`
	Slots       int               `json:"slots" cbor:"slots"`
	Connections int               `json:"connections" cbor:"connections"`
	Labels      map[string]string `json:"labels,omitempty" cbor:"labels,omitempty"`
}

// EndpointRequest is one request as sent to an endpoint.
type EndpointRequest struct {
	ID       RequestID
	Method   string
	Path     string
	Header   http.Header
	Body     io.Reader
	Deadline time.Time
}

// EndpointResponse is an endpoint's answer; the caller of Do closes Body.
type EndpointResponse struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the announced length of the body in bytes, or -1.
	Length int64
}

// NotSentError reports a request that never left for the endpoint.
type NotSentError struct {
	Address string
	Cause   error
}

func (e *NotSentError) Error() string {
	return "request was not sent to endpoint " + e.Address + ": check that the endpoint listens on its announced address"
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// EndpointClient sends requests to endpoints.
type EndpointClient interface {
	// Do sends one request once; *NotSentError if it provably was not sent.
	Do(ctx context.Context, address string, r EndpointRequest) (EndpointResponse, error)
}
