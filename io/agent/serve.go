package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"oleandervalve"
	"oleandervalve/core/instance"
	"oleandervalve/io/peer"
)

// maxInlineBody is the size in bytes up to which a response body may be sent in
// one message with its header.
const maxInlineBody = 16 << 10

// activeRequest holds the body transfers of an admitted request. body is nil if
// the request message contains the whole body.
type activeRequest struct {
	body     *peer.BodyReader
	download *peer.BodyWriter
}

func (a *Agent) admit(l *link, m *peer.Request) {
	now := a.clock.Now()
	deadline := now.Add(m.Remaining)
	a.mu.Lock()
	err := a.ledger.Admit(now, instance.Admission{
		ID: m.ID, Entry: l.entry, Epoch: l.epoch, Endpoint: m.Endpoint, Class: m.Class, Deadline: deadline,
	})
	if err == nil {
		// The request executes directly after its admission, so that no
		// cancellation can come in between.
		err = a.ledger.Begin(now, l.entry, l.epoch, m.ID)
	}
	address := a.addresses[m.Endpoint]
	a.mu.Unlock()
	if err != nil {
		a.sendRefusal(l, m.ID, err)
		return
	}
	active := &activeRequest{download: peer.NewBodyWriter(l.conn, m.ID)}
	ctx, cancel := a.requestContext(m.Remaining)
	var body io.Reader = bytes.NewReader(m.Inline)
	if !m.Whole {
		active.body = peer.NewBodyReader(func(n int64) { l.conn.TrySend(&peer.Window{ID: m.ID, Bytes: n}) })
		body = active.body
	}
	l.add(m.ID, active)
	go func() {
		defer cancel()
		response := a.serve(ctx, l, active, address, m, body, deadline)
		l.remove(m.ID)
		a.finishRequest(l, m.ID, response)
	}()
}

// finishRequest frees the slot of a request, and sends the response, unless it
// is nil, together with the credits for the free slot.
func (a *Agent) finishRequest(l *link, id oleandervalve.RequestID, response peer.Message) {
	a.mu.Lock()
	now := a.clock.Now()
	a.ledger.Finish(now, l.entry, l.epoch, id)
	sent := response == nil || l.conn.TrySend(response)
	a.sendCredits(now)
	a.mu.Unlock()
	if !sent {
		_ = l.conn.Send(response)
	}
}

// sendRefusal responds to a request that did not run, unless the error forbids
// a response.
func (a *Agent) sendRefusal(l *link, id oleandervalve.RequestID, err error) {
	var drop *instance.DropError
	if errors.As(err, &drop) {
		a.scope.Tagged(map[string]string{"reason": string(drop.Reason)}).Counter("droppedRequests").Inc(1)
		return
	}
	_ = l.conn.Send(a.refusedMessage(id, err))
}

// refusedMessage counts a request that did not run and returns the response.
func (a *Agent) refusedMessage(id oleandervalve.RequestID, err error) *peer.Refused {
	m := &peer.Refused{ID: id, Reason: "refused", Remedy: err.Error()}
	var notRun *oleandervalve.NotRunError
	if errors.As(err, &notRun) {
		m.Reason, m.Remedy = notRun.Reason, notRun.Remedy
	}
	a.countRefusal(m.Reason)
	a.log.WithError(err).WithField("requestId", id).Debug("request was refused")
	return m
}

// serve sends one request to its endpoint. It returns a response that fits in
// one message; it sends a longer one to the entry itself and returns nil.
func (a *Agent) serve(ctx context.Context, l *link, active *activeRequest, address string, m *peer.Request, body io.Reader, deadline time.Time) peer.Message {
	resp, err := a.endpointClient.Do(ctx, address, oleandervalve.EndpointRequest{
		ID: m.ID, Method: m.Method, Path: m.Path, Header: m.Header, Body: body, Deadline: deadline,
	})
	if err != nil {
		return a.failedMessage(m.ID, err)
	}
	defer resp.Body.Close()
	prefix, err := readPrefix(resp.Body)
	switch {
	case errors.Is(err, io.EOF):
		a.countOutcome(oleandervalve.OutcomeAnswered)
		return &peer.Response{ID: m.ID, Status: resp.Status, Header: responseHeader(resp.Header), Whole: true, Inline: prefix}
	case err != nil:
		return a.failedMessage(m.ID, err)
	}
	if l.conn.Send(&peer.Response{ID: m.ID, Status: resp.Status, Header: responseHeader(resp.Header)}) == nil {
		if _, err = active.download.Copy(prefix, resp.Body); err == nil {
			a.countOutcome(oleandervalve.OutcomeAnswered)
			return nil
		}
	}
	a.countOutcome(oleandervalve.OutcomeUnknown)
	return nil
}

// prefixBuffers pools the buffers of readPrefix. Most response bodies are far
// smaller than a buffer, which would otherwise become garbage after each one.
var prefixBuffers = sync.Pool{New: func() any { b := make([]byte, maxInlineBody); return &b }}

// readPrefix reads up to maxInlineBody bytes. The error is io.EOF only if they
// are the whole body. io.ReadFull can't tell, because it returns
// io.ErrUnexpectedEOF both for a short body and for a truncated one.
func readPrefix(r io.Reader) ([]byte, error) {
	pooled := prefixBuffers.Get().(*[]byte)
	defer prefixBuffers.Put(pooled)
	b := *pooled
	n := 0
	for n < len(b) {
		k, err := r.Read(b[n:])
		n += k
		if err != nil {
			return bytes.Clone(b[:n]), err
		}
	}
	return bytes.Clone(b), nil
}

// failedMessage returns the response to a request without a complete response
// from its endpoint.
func (a *Agent) failedMessage(id oleandervalve.RequestID, err error) peer.Message {
	var notSent *oleandervalve.NotSentError
	if errors.As(err, &notSent) {
		return a.refusedMessage(id, &oleandervalve.NotRunError{Reason: "endpointUnreachable", Remedy: notSent.Error()})
	}
	a.countOutcome(oleandervalve.OutcomeUnknown)
	a.log.WithError(err).WithField("requestId", id).Info("endpoint gave no whole answer")
	return &peer.Failed{ID: id, Reason: "endpointFailed", Remedy: "the endpoint gave no whole answer; check its log"}
}

func responseHeader(h http.Header) http.Header {
	out := http.Header{}
	for name, values := range h {
		if name != "Connection" && name != "Transfer-Encoding" && name != "Content-Length" {
			out[name] = values
		}
	}
	return out
}
