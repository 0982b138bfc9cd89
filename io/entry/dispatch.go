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
	maxAttempts  = 3
)

// errRetry marks an attempt that may be repeated.
var errRetry = errors.New("attempt may be repeated")

// Dispatch runs a call: it waits for a place, sends the request and passes the answer on.
func (e *Entry) Dispatch(ctx context.Context, c callerhttp.Call, w http.ResponseWriter) (err error) {
	started := e.clock.Now()
	whole := false
	// An answer that is cut while it is passed on leaves by a panic.
	defer func() { e.observe(err, whole, e.clock.Now().Sub(started)) }()
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
	e.inFlight.Add(1)
	e.mu.Unlock()
	defer e.inFlight.Done()
	if c.Class == "" {
		c.Class = defaultClass
	}
	arrived := e.clock.Now()
	deadline := arrived.Add(c.Timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	var err error
	for range maxAttempts {
		if err = e.attempt(ctx, c, arrived, deadline, w); !errors.Is(err, errRetry) {
			return err
		}
		if c.Rest != nil {
			break
		}
	}
	return unmark(err)
}

// unmark removes the retry mark from the last attempt's error.
func unmark(err error) error {
	var notRun *oleandervalve.NotRunError
	if errors.As(err, &notRun) {
		return notRun
	}
	var unknown *oleandervalve.UnknownOutcomeError
	if errors.As(err, &unknown) {
		return unknown
	}
	return err
}

func (e *Entry) attempt(ctx context.Context, c callerhttp.Call, arrived, deadline time.Time, w http.ResponseWriter) error {
	id := e.newRequestID()
	log := e.log.WithField("requestId", id).WithField("service", c.Service).WithField("class", c.Class)
	place, err := e.acquire(ctx, id, c, arrived, deadline)
	if err != nil {
		log.WithError(err).Debug("request was not sent")
		return err
	}
	started := e.clock.Now()
	x := place.link.open(id)
	defer place.link.close(id)
	answered := false
	defer func() { e.finish(place, c, started, answered) }()
	if err := e.send(place.link, x, id, place, c, deadline); err != nil {
		return e.lost(c, err)
	}
	select {
	case m := <-x.events:
		err = e.answer(x, id, c, m, w)
	case <-ctx.Done():
		err = e.withdraw(ctx, place.link, x, id, w)
	}
	answered = err == nil
	if !answered {
		log.WithError(err).WithField("agent", place.assignment.Agent).WithField("endpoint", place.assignment.Endpoint).Info("attempt was not answered")
	}
	return err
}

// acquire waits in the queue until the request has a place.
func (e *Entry) acquire(ctx context.Context, id oleandervalve.RequestID, c callerhttp.Call, arrived, deadline time.Time) (acquired, error) {
	ready := make(chan acquired, 1)
	e.mu.Lock()
	now := e.clock.Now()
	err := e.queue(c.Service).Push(now, caller.Request{
		ID: id, Class: c.Class, Team: c.Team, Caller: c.Caller, Arrived: arrived, Deadline: deadline,
	})
	if err == nil {
		e.waiting[id] = ready
		e.pump(now, c.Service)
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
		if a, ok := e.abandon(id, c.Service, ready); ok {
			e.mu.Lock()
			e.giveBack(a.assignment)
			e.mu.Unlock()
		}
	}
	return acquired{}, &oleandervalve.NotRunError{
		Reason: "deadlinePassed", Remedy: "no endpoint was free in time; retry later or with a longer timeout", RetryAfter: time.Second,
	}
}

// abandon withdraws a waiting request; it returns the place that crossed with the withdrawal.
func (e *Entry) abandon(id oleandervalve.RequestID, s oleandervalve.ServiceName, ready chan acquired) (acquired, bool) {
	e.mu.Lock()
	delete(e.waiting, id)
	e.queue(s).Remove(id)
	e.mu.Unlock()
	select {
	case a, ok := <-ready:
		return a, ok
	default:
		return acquired{}, false
	}
}

func (e *Entry) send(l *link, x *call, id oleandervalve.RequestID, place acquired, c callerhttp.Call, deadline time.Time) error {
	m := &peer.Request{
		ID: id, Service: c.Service, Endpoint: place.assignment.Endpoint, Class: c.Class, Team: c.Team, Caller: c.Caller,
		Remaining: deadline.Sub(e.clock.Now()), Idempotent: c.Idempotent,
		Method: c.Method, Path: c.Path, Header: c.Header,
	}
	if c.Rest == nil {
		m.Whole, m.Inline = true, c.Inline
		return l.conn.Send(m)
	}
	x.upload = peer.NewBodyWriter(l.conn, id)
	if err := l.conn.Send(m); err != nil {
		return err
	}
	go func() { _, _ = x.upload.Copy(c.Inline, c.Rest) }()
	return nil
}

// answer passes on the first message of an answer and what follows it.
func (e *Entry) answer(x *call, id oleandervalve.RequestID, c callerhttp.Call, m peer.Message, w http.ResponseWriter) error {
	switch m := m.(type) {
	case *peer.Response:
		e.pass(x, id, m, w)
		return nil
	case *peer.Refused:
		return errors.Mark(&oleandervalve.NotRunError{Reason: m.Reason, Remedy: m.Remedy, RetryAfter: time.Second}, errRetry)
	case *peer.Failed:
		return e.lost(c, errors.Newf("%s: %s", m.Reason, m.Remedy))
	}
	return e.lost(c, peer.ErrClosed)
}

// lost reports an attempt that may have run; only an idempotent request is tried again.
func (e *Entry) lost(c callerhttp.Call, cause error) error {
	err := error(&oleandervalve.UnknownOutcomeError{
		Operation: "request", Remedy: "ask the service whether it ran before sending it again", Cause: cause,
	})
	if c.Idempotent {
		return errors.Mark(err, errRetry)
	}
	return err
}

// pass writes an answer to the caller; a cut answer aborts the caller's connection.
func (e *Entry) pass(x *call, id oleandervalve.RequestID, m *peer.Response, w http.ResponseWriter) {
	h := w.Header()
	callerhttp.CopyHeader(h, m.Header)
	h.Set(callerhttp.HeaderOutcome, string(oleandervalve.OutcomeAnswered))
	h.Set("Oleandervalve-Request-Id", string(id))
	if m.Whole {
		h.Set("Content-Length", strconv.Itoa(len(m.Inline)))
		w.WriteHeader(m.Status)
		_, _ = w.Write(m.Inline)
		return
	}
	w.WriteHeader(m.Status)
	if _, err := io.Copy(w, io.MultiReader(bytes.NewReader(m.Inline), x.body)); err != nil {
		// The status is sent already, so only an aborted connection tells the
		// caller that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
}

// withdraw cancels a request whose deadline passed or whose caller went away.
func (e *Entry) withdraw(ctx context.Context, l *link, x *call, id oleandervalve.RequestID, w http.ResponseWriter) error {
	_ = l.conn.Send(&peer.Cancel{ID: id})
	select {
	case m := <-x.cancelled:
		if !m.Ran {
			return &oleandervalve.NotRunError{Reason: "deadlinePassed", Remedy: "the request was withdrawn before it ran; retry with a longer timeout"}
		}
	case m := <-x.events:
		if r, ok := m.(*peer.Response); ok {
			e.pass(x, id, r, w)
			return nil
		}
		if r, ok := m.(*peer.Refused); ok {
			return &oleandervalve.NotRunError{Reason: r.Reason, Remedy: r.Remedy}
		}
	case <-e.clock.After(cancelWait):
	}
	return &oleandervalve.UnknownOutcomeError{
		Operation: "request", Remedy: "ask the service whether it ran before sending it again", Cause: ctx.Err(),
	}
}

func (e *Entry) finish(place acquired, c callerhttp.Call, started time.Time, answered bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	e.directory.Result(now, place.assignment.Endpoint, answered, now.Sub(started))
	e.queue(c.Service).Finished(now, c.Class, now.Sub(started))
}
