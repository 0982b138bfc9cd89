package callerhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gorilla/mux"

	"oleandervalve"
)

const (
	// HeaderOutcome tells whether the request was answered, was not run, or has an unknown outcome.
	HeaderOutcome = "Oleandervalve-Outcome"
	// HeaderReason is a code for why a request was not answered.
	HeaderReason = "Oleandervalve-Reason"
	// HeaderRequestID is the request ID that appears in logs.
	HeaderRequestID = "Oleandervalve-Request-Id"
	// HeaderTimeout is the caller's timeout for the request in milliseconds.
	HeaderTimeout = "Oleandervalve-Timeout-Ms"
	// HeaderClass is the class of the request.
	HeaderClass = "Oleandervalve-Class"
	// HeaderIdempotent is true or false and overrides the default for the HTTP method.
	HeaderIdempotent = "Oleandervalve-Idempotent"
	// HeaderKey is the idempotency key of a request that the caller may repeat.
	HeaderKey = "Idempotency-Key"

	// HeaderReplayed is true on a recorded response to an earlier request with the same key.
	HeaderReplayed = "Oleandervalve-Replayed"

	// MaxInlineBody is the largest request body in bytes that is read completely
	// before the request is queued.
	MaxInlineBody = 16 << 10

	maxTimeout   = 10 * time.Minute
	maxPathBytes = 4 << 10
)

// Identity is an authenticated caller.
type Identity struct {
	Team   oleandervalve.TeamID
	Caller oleandervalve.CallerID
}

// Authenticator identifies the sender of a request.
type Authenticator interface {
	// Authenticate returns the identity of the caller, or *UnauthorizedError.
	Authenticate(r *http.Request) (Identity, error)
}

// UnauthorizedError is returned for a request without a valid token.
type UnauthorizedError struct{}

func (*UnauthorizedError) Error() string {
	return "token is missing or not valid: send a current token in the Authorization header"
}

// Call is one request of a caller.
type Call struct {
	Identity
	Service    oleandervalve.ServiceName
	Class      oleandervalve.ClassName
	Timeout    time.Duration
	Idempotent bool
	Key        string
	Method     string
	Path       string
	Header     http.Header
	// Inline holds the start of the body. Rest reads the remainder; it is nil if
	// Inline holds the whole body.
	Inline []byte
	Rest   io.Reader
	// Stream, if not nil, is called before Rest is read by a reader that doesn't keep what it
	// has read, so that this no longer counts as memory of the request.
	Stream func()
	// GiveUp, if not nil, makes reads of Rest fail.
	GiveUp func()
}

// Dispatcher runs calls.
type Dispatcher interface {
	// Dispatch writes the whole response to w, or returns an error before it has
	// written anything: *NotRunError, *UnknownOutcomeError or *InvalidError.
	Dispatch(ctx context.Context, c Call, w http.ResponseWriter) error
}

// Option configures the handler.
type Option func(*handler)

// MaxBody sets the largest request body in bytes; the default is 8 MiB.
func MaxBody(n int64) Option { return func(h *handler) { h.maxBody = n } }

// DefaultTimeout sets the timeout of requests that specify none; the default is 10 seconds.
func DefaultTimeout(d time.Duration) Option { return func(h *handler) { h.timeout = d } }

// ServiceTimeout sets a function that returns the timeout of a service's
// requests that specify none, or 0 for the default.
func ServiceTimeout(f func(oleandervalve.ServiceName) time.Duration) Option {
	return func(h *handler) { h.serviceTimeout = f }
}

type handler struct {
	dispatcher     Dispatcher
	auth           Authenticator
	maxBody        int64
	timeout        time.Duration
	serviceTimeout func(oleandervalve.ServiceName) time.Duration
}

// Handler serves /call/{service}/{path}.
func Handler(d Dispatcher, a Authenticator, options ...Option) http.Handler {
	h := &handler{dispatcher: d, auth: a, maxBody: 8 << 20, timeout: 10 * time.Second}
	for _, o := range options {
		o(h)
	}
	m := mux.NewRouter().UseEncodedPath().SkipClean(true)
	m.HandleFunc("/call/{service}", h.serve)
	m.PathPrefix("/call/{service}/").HandlerFunc(h.serve)
	return m
}

func (h *handler) serve(w http.ResponseWriter, r *http.Request) {
	identity, err := h.auth.Authenticate(r)
	if err != nil {
		WriteError(w, err)
		return
	}
	c, err := h.parse(w, r, identity)
	if err != nil {
		WriteError(w, err)
		return
	}
	if err := h.dispatcher.Dispatch(r.Context(), c, w); err != nil {
		WriteError(w, err)
	}
}

func (h *handler) parse(w http.ResponseWriter, r *http.Request, identity Identity) (Call, error) {
	service := mux.Vars(r)["service"]
	c := Call{
		Identity: identity,
		Service:  oleandervalve.ServiceName(service),
		Class:    oleandervalve.ClassName(r.Header.Get(HeaderClass)),
		Timeout:  h.timeout,
		Key:      r.Header.Get(HeaderKey),
		Method:   r.Method,
		Path:     strings.TrimPrefix(r.URL.RequestURI(), "/call/"+service),
		Header:   forwardedHeader(r.Header),
	}
	if h.serviceTimeout != nil {
		if d := h.serviceTimeout(c.Service); d > 0 {
			c.Timeout = min(d, maxTimeout)
		}
	}
	if !strings.HasPrefix(c.Path, "/") {
		c.Path = "/" + c.Path
	}
	if len(c.Path) > maxPathBytes {
		return c, invalidError("path", strconv.Itoa(len(c.Path))+" bytes", "use at most 4096 bytes")
	}
	if err := c.parseTimeout(r.Header.Get(HeaderTimeout)); err != nil {
		return c, err
	}
	if err := c.parseIdempotent(r.Header.Get(HeaderIdempotent)); err != nil {
		return c, err
	}
	if r.ContentLength > h.maxBody {
		return c, invalidError("body", strconv.FormatInt(r.ContentLength, 10)+" bytes", "send at most "+strconv.FormatInt(h.maxBody, 10)+" bytes")
	}
	if b, ok := r.Body.(interface{ Stream() }); ok {
		c.Stream = b.Stream
	}
	if b, ok := r.Body.(interface{ GiveUp() }); ok {
		c.GiveUp = b.GiveUp
	}
	return c, c.readBody(http.MaxBytesReader(w, r.Body, h.maxBody))
}

func (c *Call) parseTimeout(s string) error {
	if s == "" {
		return nil
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n <= 0 || n > maxTimeout.Milliseconds() {
		return invalidError(HeaderTimeout, s, "use whole milliseconds from 1 to 600000")
	}
	c.Timeout = time.Duration(n) * time.Millisecond
	return nil
}

func (c *Call) parseIdempotent(s string) error {
	switch strings.ToLower(s) {
	case "":
		switch c.Method {
		case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
			c.Idempotent = true
		}
	case "true":
		c.Idempotent = true
	case "false":
	default:
		return invalidError(HeaderIdempotent, s, "use true or false")
	}
	return nil
}

// inlineBuffers pools buffers for the start of request bodies.
var inlineBuffers = sync.Pool{New: func() any { b := make([]byte, MaxInlineBody+1); return &b }}

// readBody reads a small body completely, because the server detects that the
// caller disconnects only once the body has been read.
func (c *Call) readBody(r io.Reader) error {
	p := inlineBuffers.Get().(*[]byte)
	defer inlineBuffers.Put(p)
	var n int
	var err error
	// io.ReadFull returns io.ErrUnexpectedEOF both for a short body and for a truncated one.
	for n < len(*p) && err == nil {
		var k int
		k, err = r.Read((*p)[n:])
		n += k
	}
	c.Inline = bytes.Clone((*p)[:n])
	var unavailable *oleandervalve.UnavailableError
	switch {
	case n > MaxInlineBody:
		c.Rest = r
	case errors.Is(err, io.EOF):
	case errors.As(err, &unavailable):
		return &oleandervalve.NotRunError{Reason: "clientLimit", Remedy: unavailable.Remedy, RetryAfter: unavailable.RetryAfter}
	default:
		return invalidError("body", "unreadable", "send the whole body within the size limit")
	}
	return nil
}

func invalidError(field, value, remedy string) error {
	return &oleandervalve.InvalidError{Field: field, Value: value, Remedy: remedy}
}

// forwardedHeader returns the request headers that are forwarded to the endpoint.
func forwardedHeader(h http.Header) http.Header {
	out := http.Header{}
	for name, values := range h {
		if !isHopByHop(name) {
			out[name] = values
		}
	}
	return out
}

// CopyHeader copies the headers of an endpoint's response that are forwarded to the caller.
func CopyHeader(to, from http.Header) {
	for name, values := range from {
		if !isHopByHop(name) {
			to[name] = values
		}
	}
}

// isHopByHop reports whether a header is not forwarded: it applies to a single
// connection, or the entry handles or sets it itself.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Authorization",
		HeaderTimeout, HeaderClass, HeaderIdempotent, HeaderOutcome, HeaderReason:
		return true
	}
	return strings.HasPrefix(name, "Oleandervalve-")
}

// ErrorBody is the JSON body of the response to a request that was not answered.
type ErrorBody struct {
	Outcome oleandervalve.Outcome `json:"outcome"`
	Reason  oleandervalve.Reason  `json:"reason"`
	Message string                `json:"message"`
}

// WriteError writes an error response with the outcome, the reason and a message
// that includes the remedy.
func WriteError(w http.ResponseWriter, err error) {
	body := ErrorBody{Outcome: oleandervalve.OutcomeUnknown, Reason: "internal", Message: err.Error()}
	status := http.StatusBadGateway
	var keyError *KeyError
	var notRun *oleandervalve.NotRunError
	var unknown *oleandervalve.UnknownOutcomeError
	var invalidInput *oleandervalve.InvalidError
	var unauthorized *UnauthorizedError
	switch {
	case errors.As(err, &keyError):
		body.Outcome, body.Reason, status = keyError.Outcome, keyError.Reason, keyError.Status
		setRetryAfter(w, keyError.RetryAfter)
	case errors.As(err, &notRun):
		body.Outcome, body.Reason, status = oleandervalve.OutcomeNotRun, notRun.Reason, notRunStatus(notRun.Reason)
		setRetryAfter(w, notRun.RetryAfter)
	case errors.As(err, &invalidInput):
		body.Outcome, body.Reason, status = oleandervalve.OutcomeNotRun, "invalidRequest", http.StatusBadRequest
	case errors.As(err, &unauthorized):
		body.Outcome, body.Reason, status = oleandervalve.OutcomeNotRun, "unauthorized", http.StatusUnauthorized
	case errors.As(err, &unknown):
		body.Reason = oleandervalve.Reason(unknown.Operation)
		if errors.Is(unknown.Cause, context.DeadlineExceeded) {
			status = http.StatusGatewayTimeout
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderOutcome, string(body.Outcome))
	w.Header().Set(HeaderReason, string(body.Reason))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func notRunStatus(r oleandervalve.Reason) int {
	switch r {
	case "queueFull", "teamQueueFull", "callerQueueFull", "deadlineTooShort":
		return http.StatusTooManyRequests
	case "keyInvalid", "keyAhead":
		return http.StatusBadRequest
	case "forbidden":
		return http.StatusForbidden
	}
	return http.StatusServiceUnavailable
}

const (
	// HeaderTeam is the team of the caller; only used in development mode.
	HeaderTeam = "Oleandervalve-Team"
	// HeaderCaller is the caller. With token authentication it selects one of the
	// team's callers; in development mode it is trusted.
	HeaderCaller = "Oleandervalve-Caller"
)

// TrustedHeaders takes the team and the caller from request headers without
// authentication; use it only in development mode.
type TrustedHeaders struct{}

// Authenticate returns the identity given in the headers.
func (TrustedHeaders) Authenticate(r *http.Request) (Identity, error) {
	return Identity{
		Team:   oleandervalve.TeamID(r.Header.Get(HeaderTeam)),
		Caller: oleandervalve.CallerID(r.Header.Get(HeaderCaller)),
	}, nil
}
