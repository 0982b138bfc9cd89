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
	"oleandervalve/core/caller"
	"oleandervalve/io/callerhttp"
	"oleandervalve/io/peer"
)

const (
	defaultClass = oleandervalve.ClassName("default")
	// maxAttempts bounds the attempts of one call, whatever its deadline allows.
	maxAttempts = 5
	// cancelWait is how long an entry waits to hear whether a withdrawn request ran.
	cancelWait = 500 * time.Millisecond

	reasonUnreachable = oleandervalve.Reason("endpointUnreachable")
)

// errAnswerCut ends a call whose answer broke off after its status was sent.
var errAnswerCut = errors.New("answer was cut off after its start")

// attemptResult says what became of one attempt of a call.
type attemptResult int

const (
	// attemptAnswered means that the caller has its answer.
	attemptAnswered attemptResult = iota
	// attemptNotRun means that the attempt provably did not run.
	attemptNotRun
	// attemptLost means that the attempt may have run and has no whole answer.
	attemptLost
)

// exchange is one call on its way through the entry.
type exchange struct {
	call     callerhttp.Call
	request  caller.Request
	w        http.ResponseWriter
	attempts int
	// failed is set once an answer with a server error was passed on.
	failed bool
}

// repeatable reports whether the whole body is still at hand.
func (x *exchange) repeatable() bool { return x.call.Rest == nil && x.attempts < maxAttempts }

// Dispatch runs a call: it waits for a place, sends the request and passes the answer on.
func (e *Entry) Dispatch(ctx context.Context, c callerhttp.Call, w http.ResponseWriter) (err error) {
	started := e.clock.Now()
	whole := false
	// An answer that is cut while it is passed on leaves by a panic.
	defer func() {
		e.observe(err, whole, e.clock.Now().Sub(started))
		e.noteRefusal(c.Service, c.Class, err)
	}()
	err = e.dispatch(ctx, c, w)
	whole = true
	return err
}

func (e *Entry) dispatch(ctx context.Context, c callerhttp.Call, w http.ResponseWriter) error {
	e.mu.Lock()
	if e.draining {
		e.mu.Unlock()
		return &oleandervalve.NotRunError{Reason: "draining", Remedy: "send the request again; another entry takes it", RetryAfter: time.Second}
	}
	if e.configuration != nil && e.configuration.WaitsFor() != "" {
		e.mu.Unlock()
		return &oleandervalve.NotRunError{Reason: "notReady", Remedy: "send the request again; another entry takes it", RetryAfter: time.Second}
	}
	e.inFlight.Add(1)
	if c.Class == "" {
		c.Class = e.classOf(c.Service)
	}
	e.mu.Unlock()
	defer e.inFlight.Done()
	if e.byArrival {
		c.Class, c.Team, c.Caller = defaultClass, "", ""
	}
	now := e.clock.Now()
	x := &exchange{call: c, w: w, request: caller.Request{
		ID: e.newRequestID(), Class: c.Class, Team: c.Team, Caller: c.Caller, Arrived: now, Deadline: now.Add(c.Timeout), ByArrival: e.byArrival,
	}}
	keyed := c.Key != "" && !e.ignoreKeys
	ctx, cancel := keyedDeadline(ctx, x, keyed)
	defer cancel()
	run := e.exchange
	if keyed {
		run = e.keyed
	}
	err := run(ctx, x)
	if errors.Is(err, errAnswerCut) {
		// The status is sent already, so only an aborted connection tells the
		// caller that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
	return err
}

// exchange makes attempts until the call has its outcome.
func (e *Entry) exchange(ctx context.Context, x *exchange) error {
	enter := e.queue(x.call.Service).Push
	for {
		place, err := e.acquire(ctx, x, enter)
		if err != nil {
			return err
		}
		x.attempts++
		started := e.clock.Now()
		result, err := e.attempt(ctx, x, place)
		again := e.settle(ctx, x, place, result, err, started)
		switch again {
		case attemptNotRun:
			enter = e.queue(x.call.Service).Requeue
		case attemptLost:
			enter = e.queue(x.call.Service).Push
		default:
			return err
		}
	}
}

// settle accounts for an attempt and says how the call goes on: attemptAnswered
// ends it, attemptNotRun puts it back in its turn, attemptLost queues it anew.
func (e *Entry) settle(ctx context.Context, x *exchange, place acquired, result attemptResult, err error, started time.Time) attemptResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	s := e.service(x.call.Service)
	switch result {
	case attemptNotRun:
		return e.settleNotRun(ctx, x, place, err, now.Sub(started))
	case attemptLost:
		e.directory.RecordResult(now, place.assignment, false, now.Sub(started))
		s.queue.Finished(now, x.call.Class, now.Sub(started))
		if x.call.Idempotent && x.repeatable() && ctx.Err() == nil && !errors.Is(err, errAnswerCut) && s.retries.Take() {
			return attemptLost
		}
	case attemptAnswered:
		e.directory.RecordResult(now, place.assignment, !x.failed, now.Sub(started))
		s.queue.Finished(now, x.call.Class, now.Sub(started))
		s.retries.Succeeded()
	}
	return attemptAnswered
}

func (e *Entry) settleNotRun(ctx context.Context, x *exchange, place acquired, err error, took time.Duration) attemptResult {
	now := e.clock.Now()
	s := e.service(x.call.Service)
	var notRun *oleandervalve.NotRunError
	if errors.As(err, &notRun) && notRun.Reason == reasonUnreachable {
		e.directory.RecordResult(now, place.assignment, false, took)
	} else {
		e.directory.RecordRefusal(place.assignment)
	}
	if x.repeatable() && ctx.Err() == nil && now.Before(x.request.Deadline) {
		return attemptNotRun
	}
	s.queue.Abandoned(now, x.call.Class)
	return attemptAnswered
}

// attempt sends the request once and passes its answer on.
func (e *Entry) attempt(ctx context.Context, x *exchange, place acquired) (attemptResult, error) {
	id := oleandervalve.RequestID(string(x.request.ID) + "." + strconv.Itoa(x.attempts))
	l := place.link
	c := l.open(id)
	defer l.close(id)
	if err := e.send(l, c, id, place, x); err != nil {
		return lost(err)
	}
	select {
	case m := <-c.events:
		return e.answer(c, x, m)
	case <-ctx.Done():
		return e.withdraw(ctx, l, c, id, x)
	}
}

// acquire waits in the queue until the request has a place.
func (e *Entry) acquire(ctx context.Context, x *exchange, enter func(time.Time, caller.Request) error) (acquired, error) {
	ready := make(chan acquired, 1)
	id := x.request.ID
	e.mu.Lock()
	now := e.clock.Now()
	err := enter(now, x.request)
	if err == nil {
		e.waiting[id] = ready
		e.pump(now, x.call.Service)
	}
	e.mu.Unlock()
	if err != nil {
		return acquired{}, err
	}
	select {
	case a, ok := <-ready:
		if ok {
			return a, nil
		}
	case <-ctx.Done():
		e.abandon(x, ready)
	}
	return acquired{}, &oleandervalve.NotRunError{
		Reason: "deadlinePassed", Remedy: "no endpoint was free in time; retry later or with a longer timeout", RetryAfter: time.Second,
	}
}

// abandon withdraws a waiting request and puts back a place that crossed with the withdrawal.
func (e *Entry) abandon(x *exchange, ready chan acquired) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	delete(e.waiting, x.request.ID)
	s := e.service(x.call.Service)
	s.queue.Remove(x.request.ID)
	select {
	case a, ok := <-ready:
		if ok {
			s.queue.Abandoned(now, x.call.Class)
			e.directory.Restore(now, a.assignment)
			e.pump(now, x.call.Service)
		}
	default:
	}
}

func (e *Entry) send(l *link, c *call, id oleandervalve.RequestID, place acquired, x *exchange) error {
	q := x.call
	m := &peer.Request{
		ID: id, Service: q.Service, Endpoint: place.assignment.Endpoint, Class: q.Class, Team: q.Team, Caller: q.Caller,
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
	upload := c.upload
	go func() { _, _ = upload.Copy(q.Inline, q.Rest) }()
	return nil
}

// answer passes on the first message of an answer and what follows it.
func (e *Entry) answer(c *call, x *exchange, m peer.Message) (attemptResult, error) {
	switch m := m.(type) {
	case *peer.Response:
		return e.pass(c, x, m)
	case *peer.Refused:
		return attemptNotRun, &oleandervalve.NotRunError{Reason: m.Reason, Remedy: m.Remedy, RetryAfter: time.Second}
	case *peer.Failed:
		return lost(errors.Newf("%s: %s", m.Reason, m.Remedy))
	}
	return lost(peer.ErrClosed)
}

// lost reports an attempt that may have run.
func lost(cause error) (attemptResult, error) {
	return attemptLost, &oleandervalve.UnknownOutcomeError{
		Operation: "request", Remedy: "ask the service whether it ran before sending it again", Cause: cause,
	}
}

// pass writes an answer to the caller.
func (e *Entry) pass(c *call, x *exchange, m *peer.Response) (attemptResult, error) {
	h := x.w.Header()
	callerhttp.CopyHeader(h, m.Header)
	h.Set(callerhttp.HeaderOutcome, string(oleandervalve.OutcomeAnswered))
	h.Set(callerhttp.HeaderRequestID, string(x.request.ID))
	x.failed = m.Status >= http.StatusInternalServerError
	if m.Whole {
		h.Set("Content-Length", strconv.Itoa(len(m.Inline)))
		x.w.WriteHeader(m.Status)
		_, _ = x.w.Write(m.Inline)
		return attemptAnswered, nil
	}
	x.w.WriteHeader(m.Status)
	if _, err := io.Copy(x.w, io.MultiReader(bytes.NewReader(m.Inline), c.body)); err != nil {
		return attemptLost, errAnswerCut
	}
	return attemptAnswered, nil
}

// withdraw cancels a request whose deadline passed or whose caller went away.
func (e *Entry) withdraw(ctx context.Context, l *link, c *call, id oleandervalve.RequestID, x *exchange) (attemptResult, error) {
	_ = l.conn.Send(&peer.Cancel{ID: id})
	select {
	case m := <-c.cancelled:
		if !m.Ran {
			return attemptNotRun, &oleandervalve.NotRunError{
				Reason: "deadlinePassed", Remedy: "the request was withdrawn before it ran; retry with a longer timeout",
			}
		}
	case m := <-c.events:
		return e.answer(c, x, m)
	case <-e.clock.After(cancelWait):
	}
	return lost(ctx.Err())
}
