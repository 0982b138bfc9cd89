package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/caller"
	"oleandervalve/io/callerhttp"
	"oleandervalve/io/peer"
)

const (
	defaultClass = oleandervalve.ClassName("default")
	// maxAttempts limits the attempts of one call, even if its deadline would allow more.
	maxAttempts = 5
	// cancelTimeout is how long an entry waits for an agent to report whether a
	// cancelled request ran.
	cancelTimeout = 500 * time.Millisecond

	reasonUnreachable = oleandervalve.Reason("endpointUnreachable")
)

// errResponseTruncated ends a call whose response was truncated after its status was sent.
var errResponseTruncated = errors.New("response was truncated after its status was sent")

// attemptResult is the result of one attempt of a call.
type attemptResult int

const (
	// attemptAnswered means that the caller has the complete response.
	attemptAnswered attemptResult = iota
	// attemptNotRun means that the request provably did not run.
	attemptNotRun
	// attemptIndeterminate means that the request may have run, but no complete
	// response arrived.
	attemptIndeterminate
)

// pendingCall is one call in flight at the entry.
type pendingCall struct {
	call    callerhttp.Call
	request caller.Request
	w       http.ResponseWriter
	// body is the rest of the request's body, once it is read; nil if the start of it was the
	// whole one.
	body     *callBody
	attempts int
	// lostExecutions is the number of attempts that may have run without a whole answer.
	lostExecutions int
	// serverError is set if the response had a 5xx status.
	serverError bool
}

// canRepeat reports whether another attempt is possible: the whole body is
// buffered and attempts are left.
func (x *pendingCall) canRepeat() bool { return x.call.Rest == nil && x.attempts < maxAttempts }

// Dispatch runs a call: it waits for a free slot, sends the request to an
// endpoint and forwards the response.
func (e *Entry) Dispatch(ctx context.Context, c callerhttp.Call, w http.ResponseWriter) (err error) {
	started := e.clock.Now()
	complete := false
	// A response that is truncated while it is forwarded panics with
	// http.ErrAbortHandler, so these run deferred.
	defer func() {
		e.observe(err, complete, e.clock.Now().Sub(started))
		e.recordRefusal(c.Service, c.Class, err)
	}()
	err = e.dispatch(ctx, c, w)
	complete = true
	return err
}

func (e *Entry) dispatch(ctx context.Context, c callerhttp.Call, w http.ResponseWriter) error {
	e.mu.Lock()
	if e.draining {
		e.mu.Unlock()
		return &oleandervalve.NotRunError{Reason: "draining", Remedy: "send the request again; another entry takes it", RetryAfter: time.Second}
	}
	if e.configuration != nil && e.configuration.NotReadyReason() != "" {
		e.mu.Unlock()
		return &oleandervalve.NotRunError{Reason: "notReady", Remedy: "send the request again; another entry takes it", RetryAfter: time.Second}
	}
	e.inFlight.Add(1)
	if c.Class == "" {
		c.Class = e.classOf(c.Service)
	}
	e.mu.Unlock()
	defer e.inFlight.Done()
	if e.arrivalOrder {
		c.Class, c.Team, c.Caller = defaultClass, "", ""
	}
	now := e.clock.Now()
	x := &pendingCall{call: c, w: w, request: caller.Request{
		ID: e.newRequestID(), Class: c.Class, Team: c.Team, Caller: c.Caller, Arrived: now, Deadline: now.Add(c.Timeout), ByArrival: e.arrivalOrder,
	}}
	keyed := c.Key != "" && !e.ignoreKeys
	ctx, cancel := withCallDeadline(ctx, x, keyed)
	defer cancel()
	run := e.runWithRetries
	if keyed {
		run = e.dispatchKeyed
	}
	err := run(ctx, x)
	if errors.Is(err, errResponseTruncated) {
		// The status is already sent, so only an aborted connection shows the
		// caller that the response is incomplete.
		panic(http.ErrAbortHandler)
	}
	return err
}

// runWithRetries makes attempts until the outcome of the call is final.
func (e *Entry) runWithRetries(ctx context.Context, x *pendingCall) error {
	enqueue := e.queue(x.call.Service).Push
	for {
		slot, err := e.acquire(ctx, x, enqueue)
		if err != nil {
			return x.finalError(err)
		}
		x.attempts++
		started := e.clock.Now()
		result, err := e.attempt(ctx, x, slot)
		next := e.finishAttempt(ctx, x, slot, result, err, started)
		switch next {
		case attemptNotRun:
			enqueue = e.queue(x.call.Service).Requeue
		case attemptIndeterminate:
			enqueue = e.queue(x.call.Service).Push
		default:
			return x.finalError(err)
		}
	}
}

// finalError returns the error of the whole call, given that of its last attempt. That the
// last attempt did not run says nothing of the ones before.
func (x *pendingCall) finalError(last error) error {
	var notRun *oleandervalve.NotRunError
	if x.lostExecutions == 0 || !errors.As(last, &notRun) {
		return last
	}
	// The cause must not be found as a NotRunError in the error of the call.
	_, err := unknownOutcome(errors.Newf("no whole answer, and the repetition did not run: %s", last.Error()))
	return err
}

// finishAttempt records the result of an attempt and returns the next step:
// attemptAnswered ends the call, attemptNotRun requeues it at its former
// position, attemptIndeterminate queues it as a new request.
func (e *Entry) finishAttempt(ctx context.Context, x *pendingCall, slot allocatedSlot, result attemptResult, err error, started time.Time) attemptResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	s := e.service(x.call.Service)
	delete(s.bodies, x.body)
	switch result {
	case attemptNotRun:
		return e.finishNotRun(ctx, x, slot, err, now.Sub(started))
	case attemptIndeterminate:
		if x.body != nil && x.body.hasFailed() {
			e.directory.RecordRefusal(slot.assignment) // the endpoint can't answer without the whole body
		} else {
			e.directory.RecordResult(now, slot.assignment, false, now.Sub(started))
		}
		s.queue.Finished(now, x.call.Class, now.Sub(started))
		x.lostExecutions++
		if x.lostExecutions >= caller.MaxLostExecutions {
			e.log.WithFields(logrus.Fields{"requestId": x.request.ID, "service": x.call.Service, "executions": x.lostExecutions}).Warn("request is not sent to another endpoint: none that executed it gave a whole answer")
			return attemptAnswered
		}
		if x.call.Idempotent && x.canRepeat() && ctx.Err() == nil && !errors.Is(err, errResponseTruncated) && s.retries.Take() {
			return attemptIndeterminate
		}
	case attemptAnswered:
		e.directory.RecordResult(now, slot.assignment, !x.serverError, now.Sub(started))
		s.queue.Finished(now, x.call.Class, now.Sub(started))
		s.retries.Succeeded()
	}
	return attemptAnswered
}

func (e *Entry) finishNotRun(ctx context.Context, x *pendingCall, slot allocatedSlot, err error, duration time.Duration) attemptResult {
	now := e.clock.Now()
	s := e.service(x.call.Service)
	var notRun *oleandervalve.NotRunError
	if errors.As(err, &notRun) && notRun.Reason == reasonUnreachable {
		e.directory.RecordResult(now, slot.assignment, false, duration)
	} else {
		e.directory.RecordRefusal(slot.assignment)
	}
	if x.canRepeat() && ctx.Err() == nil && now.Before(x.request.Deadline) {
		return attemptNotRun
	}
	s.queue.Abandoned(now, x.call.Class)
	return attemptAnswered
}

// attempt sends the request once and forwards its response.
func (e *Entry) attempt(ctx context.Context, x *pendingCall, slot allocatedSlot) (attemptResult, error) {
	id := oleandervalve.RequestID(string(x.request.ID) + "." + strconv.Itoa(x.attempts))
	l := slot.link
	c := l.openCall(id)
	defer l.closeCall(id)
	if err := e.send(l, c, id, slot, x); err != nil {
		return unknownOutcome(err)
	}
	select {
	case m := <-c.events:
		return e.handleResponse(c, x, m)
	case <-ctx.Done():
		return e.cancelAttempt(ctx, l, c, id, x)
	}
}

// acquire queues the request and waits until a slot is allocated to it.
func (e *Entry) acquire(ctx context.Context, x *pendingCall, enqueue func(time.Time, caller.Request) error) (allocatedSlot, error) {
	ready := make(chan allocatedSlot, 1)
	id := x.request.ID
	e.mu.Lock()
	now := e.clock.Now()
	err := enqueue(now, x.request)
	if err == nil {
		e.waiting[id] = ready
		e.assignQueued(now, x.call.Service)
	}
	if err != nil || e.waiting[id] != nil {
		e.giveUpStalledBody(now, x.call.Service)
	}
	e.mu.Unlock()
	if err != nil {
		return allocatedSlot{}, err
	}
	select {
	case a, ok := <-ready:
		if ok {
			return a, a.refused
		}
	case <-ctx.Done():
		e.abandonWait(x, ready)
	}
	return allocatedSlot{}, &oleandervalve.NotRunError{
		Reason: "deadlinePassed", Remedy: "no endpoint was free in time; retry later or with a longer timeout", RetryAfter: time.Second,
	}
}

// abandonWait removes a waiting request from the queue and releases a slot that
// was allocated to it at the same moment.
func (e *Entry) abandonWait(x *pendingCall, ready chan allocatedSlot) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	delete(e.waiting, x.request.ID)
	s := e.service(x.call.Service)
	s.queue.Remove(x.request.ID)
	select {
	case a, ok := <-ready:
		if ok && a.refused == nil {
			s.queue.Abandoned(now, x.call.Class)
			e.directory.Restore(now, a.assignment)
			e.assignQueued(now, x.call.Service)
		}
	default:
	}
}

func (e *Entry) send(l *link, c *call, id oleandervalve.RequestID, slot allocatedSlot, x *pendingCall) error {
	q := x.call
	m := &peer.Request{
		ID: id, Service: q.Service, Endpoint: slot.assignment.Endpoint, Class: q.Class, Team: q.Team, Caller: q.Caller,
		Remaining: x.request.Deadline.Sub(e.clock.Now()), Idempotent: q.Idempotent,
		Method: q.Method, Path: q.Path, Header: q.Header,
	}
	if q.Rest == nil {
		m.Whole, m.Inline = true, q.Inline
		return l.conn.Send(m)
	}
	if err := l.conn.Send(m); err != nil {
		return err
	}
	if q.Stream != nil {
		q.Stream()
	}
	upload := c.upload
	rest := e.streamBody(x)
	go func() { _, _ = upload.Copy(q.Inline, rest) }()
	return nil
}

// handleResponse handles the first message of a response and forwards the rest.
func (e *Entry) handleResponse(c *call, x *pendingCall, m peer.Message) (attemptResult, error) {
	switch m := m.(type) {
	case *peer.Response:
		return e.forwardResponse(c, x, m)
	case *peer.Refused:
		return attemptNotRun, &oleandervalve.NotRunError{Reason: m.Reason, Remedy: m.Remedy, RetryAfter: time.Second}
	case *peer.Failed:
		return unknownOutcome(errors.Newf("%s: %s", m.Reason, m.Remedy))
	}
	return unknownOutcome(peer.ErrClosed)
}

// unknownOutcome returns the result of an attempt that may have run.
func unknownOutcome(cause error) (attemptResult, error) {
	return attemptIndeterminate, &oleandervalve.UnknownOutcomeError{
		Operation: "request", Remedy: "ask the service whether it ran before sending it again", Cause: cause,
	}
}

// forwardResponse writes a response to the caller.
func (e *Entry) forwardResponse(c *call, x *pendingCall, m *peer.Response) (attemptResult, error) {
	h := x.w.Header()
	callerhttp.CopyHeader(h, m.Header)
	h.Set(callerhttp.HeaderOutcome, string(oleandervalve.OutcomeAnswered))
	h.Set(callerhttp.HeaderRequestID, string(x.request.ID))
	x.serverError = m.Status >= http.StatusInternalServerError
	if m.Whole {
		h.Set("Content-Length", strconv.Itoa(len(m.Inline)))
		x.w.WriteHeader(m.Status)
		_, _ = x.w.Write(m.Inline)
		return attemptAnswered, nil
	}
	x.w.WriteHeader(m.Status)
	if _, err := io.Copy(x.w, io.MultiReader(bytes.NewReader(m.Inline), c.body)); err != nil {
		return attemptIndeterminate, errResponseTruncated
	}
	return attemptAnswered, nil
}

// cancelAttempt cancels a request whose deadline passed or whose caller disconnected.
func (e *Entry) cancelAttempt(ctx context.Context, l *link, c *call, id oleandervalve.RequestID, x *pendingCall) (attemptResult, error) {
	_ = l.conn.Send(&peer.Cancel{ID: id})
	select {
	case m := <-c.cancelled:
		if !m.Ran {
			return attemptNotRun, &oleandervalve.NotRunError{
				Reason: "deadlinePassed", Remedy: "the request was withdrawn before it ran; retry with a longer timeout",
			}
		}
	case m := <-c.events:
		return e.handleResponse(c, x, m)
	case <-e.clock.After(cancelTimeout):
	}
	return unknownOutcome(ctx.Err())
}
