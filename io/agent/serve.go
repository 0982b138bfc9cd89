package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"
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
		a.serve(ctx, l, s, address, m, body, deadline)
		l.remove(m.ID)
		a.release(l, m.ID)
	}()
}

func (a *Agent) release(l *link, id oleandervalve.RequestID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	before := a.ledger.Endpoints()
	a.ledger.Finish(now, l.entry, l.epoch, id)
	a.publishChange(before)
	a.grant(now)
}

// refuse answers a request that did not run; a frame that must not be answered is dropped.
func (a *Agent) refuse(l *link, id oleandervalve.RequestID, err error) {
	var drop *instance.DropError
	if errors.As(err, &drop) {
		a.scope.Tagged(map[string]string{"reason": string(drop.Reason)}).Counter("droppedRequests").Inc(1)
		return
	}
	m := &peer.Refused{ID: id, Reason: "refused", Remedy: err.Error()}
	var notRun *oleandervalve.NotRunError
	if errors.As(err, &notRun) {
		m.Reason, m.Remedy = notRun.Reason, notRun.Remedy
	}
	a.countRefusal(m.Reason)
	a.log.WithError(err).WithField("requestId", id).WithField("entry", l.entry).Debug("request was refused")
	_ = l.conn.Send(m)
}

func (a *Agent) begin(l *link, id oleandervalve.RequestID) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ledger.Begin(a.clock.Now(), l.entry, l.epoch, id)
}

// serve sends one request to its endpoint and the answer back to the entry.
func (a *Agent) serve(ctx context.Context, l *link, s *served, address string, m *peer.Request, body io.Reader, deadline time.Time) {
	if err := a.begin(l, m.ID); err != nil {
		a.refuse(l, m.ID, err)
		return
	}
	p, err := a.client.Do(ctx, address, oleandervalve.EndpointRequest{
		ID: m.ID, Method: m.Method, Path: m.Path, Header: m.Header, Body: body, Deadline: deadline,
	})
	if err != nil {
		a.reportFailure(l, m.ID, err)
		return
	}
	defer p.Body.Close()
	first, err := readStart(p.Body)
	switch {
	case errors.Is(err, io.EOF):
		a.countOutcome(oleandervalve.OutcomeAnswered)
		_ = l.conn.Send(&peer.Response{ID: m.ID, Status: p.Status, Header: answerHeader(p.Header), Whole: true, Inline: first})
	case err != nil:
		a.reportFailure(l, m.ID, err)
	default:
		if l.conn.Send(&peer.Response{ID: m.ID, Status: p.Status, Header: answerHeader(p.Header)}) == nil {
			if _, err = s.download.Copy(first, p.Body); err == nil {
				a.countOutcome(oleandervalve.OutcomeAnswered)
				return
			}
		}
		a.countOutcome(oleandervalve.OutcomeUnknown)
	}
}

// readStart reads the start of an answer; the error is io.EOF only if that is
// the whole answer. io.ReadFull can't be used: its io.ErrUnexpectedEOF is also
// what a cut body returns.
func readStart(r io.Reader) ([]byte, error) {
	b := make([]byte, inlineAnswer)
	n := 0
	for n < len(b) {
		k, err := r.Read(b[n:])
		n += k
		if err != nil {
			return b[:n], err
		}
	}
	return b, nil
}

func (a *Agent) reportFailure(l *link, id oleandervalve.RequestID, err error) {
	var notSent *oleandervalve.NotSentError
	if errors.As(err, &notSent) {
		a.refuse(l, id, &oleandervalve.NotRunError{Reason: "endpointUnreachable", Remedy: notSent.Error()})
		return
	}
	a.countOutcome(oleandervalve.OutcomeUnknown)
	a.log.WithError(err).WithField("requestId", id).WithField("entry", l.entry).Info("endpoint gave no whole answer")
	_ = l.conn.Send(&peer.Failed{ID: id, Reason: "endpointFailed", Remedy: "the endpoint gave no whole answer; check its log"})
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
