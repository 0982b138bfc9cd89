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
	// HeaderOutcome says whether the request was answered, not run, or has an unknown outcome.
	HeaderOutcome = "Oleandervalve-Outcome"
	// HeaderReason names why a request was not answered.
	HeaderReason = "Oleandervalve-Reason"
	// HeaderRequestID carries the request id that logs show.
	HeaderRequestID = "Oleandervalve-Request-Id"
	// HeaderTimeout is the time in milliseconds within which the caller wants its answer.
	HeaderTimeout = "Oleandervalve-Timeout-Ms"
	// HeaderClass names the class of the request.
	HeaderClass = "Oleandervalve-Class"
	// HeaderIdempotent is true or false and overrides what the method suggests.
	HeaderIdempotent = "Oleandervalve-Idempotent"
	// HeaderKey is the idempotency key of a request that the caller may repeat.
	HeaderKey = "Idempotency-Key"

	// HeaderReplayed is true on the kept answer of an earlier request with the same key.
	HeaderReplayed = "Oleandervalve-Replayed"

	// InlineBody is the largest request body in bytes that is read before the request is queued.
	InlineBody = 16 << 10

	maxTimeout = 10 * time.Minute
	maxPath    = 4 << 10
)

// Identity is an authenticated caller.
type Identity struct {
	Team   oleandervalve.TeamID
	Caller oleandervalve.CallerID
}

// Authenticator tells who sent a request.
type Authenticator interface {
	// Authenticate returns the caller, or *UnauthorizedError.
	Authenticate(r *http.Request) (Identity, error)
}

// UnauthorizedError refuses a request without a valid token.
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
	// Inline holds the first bytes of the body; Rest the others, or nil if Inline is all.
	Inline []byte
	Rest   io.Reader
}

// Dispatcher runs calls.
type Dispatcher interface {
	// Dispatch writes the whole answer to w or returns an error before it
	// wrote anything: *NotRunError, *UnknownOutcomeError, *InvalidError.
	Dispatch(ctx context.Context, c Call, w http.ResponseWriter) error
}

// Option changes the handler.
type Option func(*handler)

// MaxBody limits the size of a request body in bytes.
func MaxBody(n int64) Option { return func(h *handler) { h.maxBody = n } }

// DefaultTimeout sets the timeout of requests that name none.
func DefaultTimeout(d time.Duration) Option { return func(h *handler) { h.timeout = d } }

// ServiceTimeout sets a function that returns the timeout of a service's
// requests that name none, or 0 for the default.
func ServiceTimeout(f func(oleandervalve.ServiceName) time.Duration) Option {
	return func(h *handler) { h.timeoutOf = f }
}

type handler struct {
	dispatcher Dispatcher
	auth       Authenticator
	maxBody    int64
	timeout    time.Duration
	timeoutOf  func(oleandervalve.ServiceName) time.Duration
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
	who, err := h.auth.Authenticate(r)
	if err != nil {
		WriteError(w, err)
		return
	}
	c, err := h.parse(w, r, who)
	if err != nil {
		WriteError(w, err)
		return
	}
	if err := h.dispatcher.Dispatch(r.Context(), c, w); err != nil {
		WriteError(w, err)
	}
}

func (h *handler) parse(w http.ResponseWriter, r *http.Request, who Identity) (Call, error) {
	service := mux.Vars(r)["service"]
	c := Call{
		Identity: who,
		Service:  oleandervalve.ServiceName(service),
		Class:    oleandervalve.ClassName(r.Header.Get(HeaderClass)),
		Timeout:  h.timeout,
		Key:      r.Header.Get(HeaderKey),
		Method:   r.Method,
		Path:     strings.TrimPrefix(r.URL.RequestURI(), "/call/"+service),
		Header:   forwarded(r.Header),
	}
	if h.timeoutOf != nil {
		if d := h.timeoutOf(c.Service); d > 0 {
			c.Timeout = min(d, maxTimeout)
		}
	}
	if !strings.HasPrefix(c.Path, "/") {
		c.Path = "/" + c.Path
	}
	if len(c.Path) > maxPath {
		return c, invalid("path", strconv.Itoa(len(c.Path))+" bytes", "use at most 4096 bytes")
	}
	if err := c.parseTimeout(r.Header.Get(HeaderTimeout)); err != nil {
		return c, err
	}
	if err := c.parseIdempotent(r.Header.Get(HeaderIdempotent)); err != nil {
		return c, err
	}
	if r.ContentLength > h.maxBody {
		return c, invalid("body", strconv.FormatInt(r.ContentLength, 10)+" bytes", "send at most "+strconv.FormatInt(h.maxBody, 10)+" bytes")
	}
	return c, c.readBody(http.MaxBytesReader(w, r.Body, h.maxBody))
}

func (c *Call) parseTimeout(s string) error {
	if s == "" {
		return nil
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n <= 0 || n > maxTimeout.Milliseconds() {
		return invalid(HeaderTimeout, s, "use whole milliseconds from 1 to 600000")
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
		return invalid(HeaderIdempotent, s, "use true or false")
	}
	return nil
}

// inlineBuffers holds buffers for the start of request bodies.
var inlineBuffers = sync.Pool{New: func() any { b := make([]byte, InlineBody+1); return &b }}

// readBody reads a small body whole, so that the server notices when the caller goes away.
func (c *Call) readBody(r io.Reader) error {
	p := inlineBuffers.Get().(*[]byte)
	defer inlineBuffers.Put(p)
	n, err := io.ReadFull(r, *p)
	c.Inline = bytes.Clone((*p)[:n])
	switch {
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return nil
	case err != nil:
		return invalid("body", "unreadable", "send the whole body within the size limit")
	}
	c.Rest = r
	return nil
}

func invalid(field, value, remedy string) error {
	return &oleandervalve.InvalidError{Field: field, Value: value, Remedy: remedy}
}

// forwarded copies the headers that belong to the endpoint and not to this hop.
func forwarded(h http.Header) http.Header {
	out := http.Header{}
	for name, values := range h {
		if !hopByHop(name) {
			out[name] = values
		}
	}
	return out
}

// CopyHeader copies an endpoint's answer headers that belong to the caller.
func CopyHeader(to, from http.Header) {
	for name, values := range from {
		if !hopByHop(name) {
			to[name] = values
		}
	}
}

func hopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Authorization",
		HeaderTimeout, HeaderClass, HeaderIdempotent, HeaderOutcome, HeaderReason:
		return true
	}
	return strings.HasPrefix(name, "Oleandervalve-")
}

// ErrorBody is the JSON body of a request that was not answered.
type ErrorBody struct {
	Outcome oleandervalve.Outcome `json:"outcome"`
	Reason  oleandervalve.Reason  `json:"reason"`
	Message string                `json:"message"`
}

// WriteError answers a request with its outcome, a reason and a remedy.
func WriteError(w http.ResponseWriter, err error) {
	body := ErrorBody{Outcome: oleandervalve.OutcomeUnknown, Reason: "internal", Message: err.Error()}
	status := http.StatusBadGateway
	var key *KeyError
	var notRun *oleandervalve.NotRunError
	var unknown *oleandervalve.UnknownOutcomeError
	var invalidInput *oleandervalve.InvalidError
	var unauthorized *UnauthorizedError
	switch {
	case errors.As(err, &key):
		body.Outcome, body.Reason, status = key.Outcome, key.Reason, key.Status
		retryAfter(w, key.RetryAfter)
	case errors.As(err, &notRun):
		body.Outcome, body.Reason, status = oleandervalve.OutcomeNotRun, notRun.Reason, notRunStatus(notRun.Reason)
		retryAfter(w, notRun.RetryAfter)
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
	// HeaderTeam names the team in the development mode.
	HeaderTeam = "Oleandervalve-Team"
	// HeaderCaller names the caller in the development mode.
	HeaderCaller = "Oleandervalve-Caller"
)

// TrustedHeaders takes team and caller from request headers; only for the development mode.
type TrustedHeaders struct{}

// Authenticate returns the caller that the headers name.
func (TrustedHeaders) Authenticate(r *http.Request) (Identity, error) {
	return Identity{
		Team:   oleandervalve.TeamID(r.Header.Get(HeaderTeam)),
		Caller: oleandervalve.CallerID(r.Header.Get(HeaderCaller)),
	}, nil
}
