package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"oleandervalve"
	"oleandervalve/core/callerkey"
	"oleandervalve/io/callerhttp"
)

// reasonKeysNotConfigured is the reason for refusing a call with an idempotency key at an
// entry without a key service, which can't guarantee at-most-once execution.
const reasonKeysNotConfigured = oleandervalve.Reason("keysNotConfigured")

// dispatchKeyed runs a call with an idempotency key: it requests permission from
// the owner of the key, and then executes the call or replays the recorded result
// of an earlier call.
func (e *Entry) dispatchKeyed(ctx context.Context, x *pendingCall) error {
	if e.keys == nil {
		return &oleandervalve.NotRunError{
			Reason: reasonKeysNotConfigured, Remedy: "configure the table for idempotency keys at entries and agents, or send the request without a key",
		}
	}
	digest, err := digestOf(&x.call)
	if err != nil {
		return err
	}
	scope := x.call.Caller
	if scope == "" {
		scope = oleandervalve.CallerID("team/" + string(x.call.Team))
	}
	id := x.request.ID
	a, err := callerkey.NewAttempt(e.clock.Now(), x.request.Deadline, callerkey.Begin{
		Entry: e.id, Request: id, Caller: scope, Service: x.call.Service, Key: x.call.Key, Digest: digest,
	}, e.keys.options.MaxAnswer)
	if err != nil {
		return err
	}
	decision := e.keys.startAttempt(a, id)
	defer e.keys.discardCall(id)
	select {
	case d := <-decision:
		if d.Result != nil {
			return replay(x, *d.Result)
		}
		return e.execute(ctx, x)
	case <-ctx.Done():
		// The attempt ends by itself at its deadline, so this case means that
		// the caller has disconnected.
		e.keys.withdraw(id, decision)
		return &oleandervalve.UnknownOutcomeError{Operation: "request", Remedy: "send the same key again", Cause: ctx.Err()}
	}
}

// digestOf reads the whole body and returns the digest by which the owner
// distinguishes different requests with the same key.
func digestOf(c *callerhttp.Call) (callerkey.Digest, error) {
	if c.Rest == nil {
		return callerkey.DigestOf(c.Method, c.Path, c.Inline), nil
	}
	rest, err := io.ReadAll(c.Rest)
	var unavailable *oleandervalve.UnavailableError
	if errors.As(err, &unavailable) {
		return callerkey.Digest{}, &oleandervalve.NotRunError{Reason: "clientLimit", Remedy: unavailable.Remedy, RetryAfter: unavailable.RetryAfter}
	}
	if err != nil {
		return callerkey.Digest{}, &oleandervalve.InvalidError{Field: "body", Value: "unreadable", Remedy: "send the whole body within the size limit"}
	}
	c.Rest, c.Stream, c.GiveUp = bytes.NewReader(rest), nil, nil
	return callerkey.DigestOf(c.Method, c.Path, append(bytes.Clone(c.Inline), rest...)), nil
}

// execute runs the call once and reports its outcome to the owner of the key. It
// continues after the caller has disconnected, so that a retry gets the response.
func (e *Entry) execute(ctx context.Context, x *pendingCall) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), x.request.Deadline.Sub(e.clock.Now()))
	defer cancel()
	recorder := &responseRecorder{target: x.w, maxBody: int(e.keys.options.MaxAnswer)}
	x.w = recorder
	out := callerkey.Execution{Outcome: oleandervalve.OutcomeUnknown}
	// Deferred, so that an execution that panics is reported too.
	defer func() { e.keys.reportExecution(x.request.ID, out) }()
	err := e.runWithRetries(ctx, x)
	var notRun *oleandervalve.NotRunError
	switch {
	case err == nil:
		out = callerkey.Execution{
			Outcome: oleandervalve.OutcomeAnswered, HTTPStatus: recorder.status, Header: recorder.header, Body: recorder.body, Kept: !recorder.tooLarge,
		}
	case errors.As(err, &notRun):
		out.Outcome = oleandervalve.OutcomeNotRun
	}
	return err
}

// replay answers a call with the recorded result of an earlier one.
func replay(x *pendingCall, r callerkey.Result) error {
	if r.Outcome != oleandervalve.OutcomeAnswered {
		return &callerhttp.KeyError{
			Outcome: r.Outcome, Reason: r.Reason, Remedy: r.Remedy, RetryAfter: r.RetryAfter, Status: r.ResponseStatus(),
		}
	}
	h := x.w.Header()
	callerhttp.CopyHeader(h, r.Header)
	h.Set(callerhttp.HeaderOutcome, string(oleandervalve.OutcomeAnswered))
	h.Set(callerhttp.HeaderReplayed, "true")
	h.Set(callerhttp.HeaderRequestID, string(x.request.ID))
	h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	x.w.WriteHeader(r.HTTPStatus)
	_, _ = x.w.Write(r.Body)
	return nil
}

// responseRecorder forwards a response and keeps a copy of it up to a maximum
// size. It records the whole response even if the caller has disconnected.
type responseRecorder struct {
	target   http.ResponseWriter
	maxBody  int
	status   int
	header   http.Header
	body     []byte
	tooLarge bool
}

// Header returns the response header.
func (r *responseRecorder) Header() http.Header { return r.target.Header() }

// WriteHeader forwards the status and records the header fields set by the endpoint.
func (r *responseRecorder) WriteHeader(status int) {
	r.status, r.header = status, http.Header{}
	callerhttp.CopyHeader(r.header, r.target.Header())
	r.target.WriteHeader(status)
}

// Write forwards a part of the body and records it while the body fits the limit.
func (r *responseRecorder) Write(p []byte) (int, error) {
	if r.tooLarge = r.tooLarge || len(r.body)+len(p) > r.maxBody; r.tooLarge {
		r.body = nil
	} else {
		r.body = append(r.body, p...)
	}
	_, _ = r.target.Write(p)
	return len(p), nil
}

// withCallDeadline returns a context with the deadline of a call. For a keyed call
// the deadline is one second later, because its attempt ends at the request's
// deadline and then reports the outcome to the caller.
func withCallDeadline(ctx context.Context, x *pendingCall, keyed bool) (context.Context, context.CancelFunc) {
	if keyed {
		return context.WithDeadline(ctx, x.request.Deadline.Add(time.Second))
	}
	return context.WithDeadline(ctx, x.request.Deadline)
}
