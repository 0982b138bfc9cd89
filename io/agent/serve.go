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

// inlineAnswer is the largest answer in bytes that is sent in one message.
const inlineAnswer = 16 << 10

// served is one admitted request.
type served struct {
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
		// Nothing delays the request between admission and execution here, so a
		// withdrawal can't come in between.
		err = a.ledger.Begin(now, l.entry, l.epoch, m.ID)
	}
	address := a.addresses[m.Endpoint]
	a.mu.Unlock()
	if err != nil {
		a.refuse(l, m.ID, err)
		return
	}
	s := &served{download: peer.NewBodyWriter(l.conn, m.ID)}
	ctx, cancel := a.requestContext(m.Remaining)
	var body io.Reader = bytes.NewReader(m.Inline)
	if !m.Whole {
		s.body = peer.NewBodyReader(func(n int64) { l.conn.TrySend(&peer.Window{ID: m.ID, Bytes: n}) })
		body = s.body
	}
	l.add(m.ID, s)
	go func() {
		defer cancel()
		answer := a.serve(ctx, l, s, address, m, body, deadline)
		l.remove(m.ID)
		a.release(l, m.ID, answer)
	}()
}

// release frees the slot of a request and sends its answer, if it is one
// message, together with the credits that the free slot gives.
func (a *Agent) release(l *link, id oleandervalve.RequestID, answer peer.Message) {
	a.mu.Lock()
	now := a.clock.Now()
	a.ledger.Finish(now, l.entry, l.epoch, id)
	sent := answer == nil || l.conn.TrySend(answer)
	a.grant(now)
	a.mu.Unlock()
	if !sent {
		_ = l.conn.Send(answer)
	}
}

// refuse answers a request that did not run; a frame that must not be answered is dropped.
func (a *Agent) refuse(l *link, id oleandervalve.RequestID, err error) {
	var drop *instance.DropError
	if errors.As(err, &drop) {
		a.scope.Tagged(map[string]string{"reason": string(drop.Reason)}).Counter("droppedRequests").Inc(1)
		return
	}
	_ = l.conn.Send(a.refusal(id, err))
}

// refusal returns the message that a request did not run.
func (a *Agent) refusal(id oleandervalve.RequestID, err error) *peer.Refused {
	m := &peer.Refused{ID: id, Reason: "refused", Remedy: err.Error()}
	var notRun *oleandervalve.NotRunError
	if errors.As(err, &notRun) {
		m.Reason, m.Remedy = notRun.Reason, notRun.Remedy
	}
	a.countRefusal(m.Reason)
	a.log.WithError(err).WithField("requestId", id).Debug("request was refused")
	return m
}

// serve sends one request to its endpoint. It returns an answer that is one
// message, and sends a longer one to the entry itself.
func (a *Agent) serve(ctx context.Context, l *link, s *served, address string, m *peer.Request, body io.Reader, deadline time.Time) peer.Message {
	p, err := a.client.Do(ctx, address, oleandervalve.EndpointRequest{
		ID: m.ID, Method: m.Method, Path: m.Path, Header: m.Header, Body: body, Deadline: deadline,
	})
	if err != nil {
		return a.failure(m.ID, err)
	}
	defer p.Body.Close()
	first, err := readStart(p.Body)
	switch {
	case errors.Is(err, io.EOF):
		a.countOutcome(oleandervalve.OutcomeAnswered)
		return &peer.Response{ID: m.ID, Status: p.Status, Header: answerHeader(p.Header), Whole: true, Inline: first}
	case err != nil:
		return a.failure(m.ID, err)
	}
	if l.conn.Send(&peer.Response{ID: m.ID, Status: p.Status, Header: answerHeader(p.Header)}) == nil {
		if _, err = s.download.Copy(first, p.Body); err == nil {
			a.countOutcome(oleandervalve.OutcomeAnswered)
			return nil
		}
	}
	a.countOutcome(oleandervalve.OutcomeUnknown)
	return nil
}

// startBuffers holds buffers for the start of answers; most answers are far
// smaller than a buffer, which would be garbage after each of them.
var startBuffers = sync.Pool{New: func() any { b := make([]byte, inlineAnswer); return &b }}

// readStart reads the start of an answer; the error is io.EOF only if that is
// the whole answer. io.ReadFull can't be used: its io.ErrUnexpectedEOF is also
// what a cut body returns.
func readStart(r io.Reader) ([]byte, error) {
	p := startBuffers.Get().(*[]byte)
	defer startBuffers.Put(p)
	b := *p
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

// failure returns the message for a request without a whole answer.
func (a *Agent) failure(id oleandervalve.RequestID, err error) peer.Message {
	var notSent *oleandervalve.NotSentError
	if errors.As(err, &notSent) {
		return a.refusal(id, &oleandervalve.NotRunError{Reason: "endpointUnreachable", Remedy: notSent.Error()})
	}
	a.countOutcome(oleandervalve.OutcomeUnknown)
	a.log.WithError(err).WithField("requestId", id).Info("endpoint gave no whole answer")
	return &peer.Failed{ID: id, Reason: "endpointFailed", Remedy: "the endpoint gave no whole answer; check its log"}
}

func answerHeader(h http.Header) http.Header {
	out := http.Header{}
	for name, values := range h {
		if name != "Connection" && name != "Transfer-Encoding" && name != "Content-Length" {
			out[name] = values
		}
	}
	return out
}
