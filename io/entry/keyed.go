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

// reasonNoKeys refuses a keyed call at an entry that can't keep its guarantee.
const reasonNoKeys = oleandervalve.Reason("keysNotConfigured")

// keyed runs a call with an idempotency key: it asks the home of the key, and
// then executes the call or answers with what is known of an earlier one.
func (e *Entry) keyed(ctx context.Context, x *exchange) error {
	if e.keys == nil {
		return &oleandervalve.NotRunError{
			Reason: reasonNoKeys, Remedy: "configure the table for idempotency keys at entries and agents, or send the request without a key",
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
	decision := e.keys.add(a, id)
	defer e.keys.forget(id)
	select {
	case d := <-decision:
		if d.Result != nil {
			return replay(x, *d.Result)
		}
		return e.execute(ctx, x)
	case <-ctx.Done():
		// The attempt ends itself at its deadline; only a caller that has gone ends here.
		e.keys.withdraw(id, decision)
		return &oleandervalve.UnknownOutcomeError{Operation: "request", Remedy: "send the same key again", Cause: ctx.Err()}
	}
}

// digestOf reads the whole body, by which the home tells requests with one key apart.
func digestOf(c *callerhttp.Call) (callerkey.Digest, error) {
	if c.Rest == nil {
		return callerkey.DigestOf(c.Method, c.Path, c.Inline), nil
	}
	rest, err := io.ReadAll(c.Rest)
	if err != nil {
		return callerkey.Digest{}, &oleandervalve.InvalidError{Field: "body", Value: "unreadable", Remedy: "send the whole body within the size limit"}
	}
	c.Rest = bytes.NewReader(rest)
	return callerkey.DigestOf(c.Method, c.Path, append(bytes.Clone(c.Inline), rest...)), nil
}

// execute runs the call once and reports its outcome to the home. It goes on
// when the caller has gone, so that a retry gets the answer.
func (e *Entry) execute(ctx context.Context, x *exchange) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), x.request.Deadline.Sub(e.clock.Now()))
	defer cancel()
	k := &keeper{to: x.w, max: int(e.keys.options.MaxAnswer)}
	x.w = k
	out := callerkey.Execution{Outcome: oleandervalve.OutcomeUnknown}
	// An execution that leaves by a panic is reported, too.
	defer func() { e.keys.executed(x.request.ID, out) }()
	err := e.exchange(ctx, x)
	var notRun *oleandervalve.NotRunError
	switch {
	case err == nil:
		out = callerkey.Execution{
			Outcome: oleandervalve.OutcomeAnswered, HTTPStatus: k.status, Header: k.header, Body: k.body, Kept: !k.over,
		}
	case errors.As(err, &notRun):
		out.Outcome = oleandervalve.OutcomeNotRun
	}
	return err
}

// replay answers a call that was not executed.
func replay(x *exchange, r callerkey.Result) error {
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

// keeper passes an answer on and keeps a copy of it up to a size. It takes the
// whole answer even if the caller has gone.
type keeper struct {
	to     http.ResponseWriter
	max    int
	status int
	header http.Header
	body   []byte
	over   bool
}

// Header returns the header of the answer.
func (k *keeper) Header() http.Header { return k.to.Header() }

// WriteHeader passes the status on and keeps the endpoint's part of the header.
func (k *keeper) WriteHeader(status int) {
	k.status, k.header = status, http.Header{}
	callerhttp.CopyHeader(k.header, k.to.Header())
	k.to.WriteHeader(status)
}

// Write passes a part of the body on and keeps it while it fits.
func (k *keeper) Write(p []byte) (int, error) {
	if k.over = k.over || len(k.body)+len(p) > k.max; k.over {
		k.body = nil
	} else {
		k.body = append(k.body, p...)
	}
	_, _ = k.to.Write(p)
	return len(p), nil
}

// keyedDeadline is the deadline of a call: a keyed one ends by its attempt,
// which tells the caller the outcome at that time.
func keyedDeadline(ctx context.Context, x *exchange, keyed bool) (context.Context, context.CancelFunc) {
	if keyed {
		return context.WithDeadline(ctx, x.request.Deadline.Add(time.Second))
	}
	return context.WithDeadline(ctx, x.request.Deadline)
}
