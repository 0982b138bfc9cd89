package oleandervalve

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Announcement is the status that an endpoint sends to its co-located agent every second.
type Announcement struct {
	Endpoint EndpointID  `json:"endpoint" cbor:"endpoint"`
	Service  ServiceName `json:"service" cbor:"service"`
	// Address is the endpoint's IP address and port.
	Address     string            `json:"address" cbor:"address"`
	Slots       int               `json:"slots" cbor:"slots"`
	Connections int               `json:"connections" cbor:"connections"`
	Labels      map[string]string `json:"labels,omitempty" cbor:"labels,omitempty"`
}

// EndpointRequest is a caller's request as it is sent to an endpoint.
type EndpointRequest struct {
	ID       RequestID
	Method   string
	Path     string
	Header   http.Header
	Body     io.Reader
	Deadline time.Time
}

// EndpointResponse is an endpoint's response. The caller of Do must close Body.
type EndpointResponse struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the declared length of the body in bytes, or -1 if it is unknown.
	Length int64
}

// NotSentError reports that no part of a request was sent to the endpoint, so that
// it can safely be sent again.
type NotSentError struct {
	Address string
	Cause   error
}

func (e *NotSentError) Error() string {
	return "request was not sent to endpoint " + e.Address + ": check that the endpoint listens on its announced address"
}

// Unwrap returns the underlying error.
func (e *NotSentError) Unwrap() error { return e.Cause }

// EndpointClient sends requests to endpoints.
type EndpointClient interface {
	// Do sends a request without retries. It returns *NotSentError if the request
	// was certainly not sent.
	Do(ctx context.Context, address string, r EndpointRequest) (EndpointResponse, error)
}
