package entry

import (
	"context"
	"sync"
	"sync/atomic"

	"oleandervalve"
	"oleandervalve/core/endpoint"
	"oleandervalve/io/peer"
)

// link is the connection of one agent.
type link struct {
	agent  oleandervalve.AgentID
	worker oleandervalve.WorkerID
	epoch  oleandervalve.ConnectionEpoch
	conn   *peer.Conn
	// draining is set when the agent announces that it accepts no new work; drained is
	// closed then.
	draining atomic.Bool
	drained  chan struct{}

	mu    sync.Mutex
	calls map[oleandervalve.RequestID]*call
}

// call is one request that was sent over a link.
type call struct {
	// events receives the first message of the response: *peer.Response,
	// *peer.Refused, *peer.Failed, or nil if the agent disconnected.
	events    chan peer.Message
	cancelled chan *peer.Cancelled
	body      *peer.BodyReader
	upload    *peer.BodyWriter
}

func (e *Entry) serveLink(conn *peer.Conn, h peer.Hello) {
	l := &link{agent: h.Agent, worker: h.Worker, epoch: h.Epoch, conn: conn, drained: make(chan struct{}), calls: map[oleandervalve.RequestID]*call{}}
	log := e.log.WithField("agent", h.Agent).WithField("connectionEpoch", h.Epoch)
	config := e.currentConfiguration()
	if err := conn.Send(&peer.Welcome{Version: peer.ProtocolVersion, Entry: e.id, Revision: config.appliedRevision()}); err != nil {
		return
	}
	e.mu.Lock()
	if old := e.links[h.Agent]; old != nil {
		old.conn.Close()
	}
	e.links[h.Agent] = l
	if h.Worker != "" {
		e.workers[h.Worker] = l
	}
	e.directory.Connect(e.clock.Now(), h.Agent, h.Epoch, h.Location)
	e.countAgents()
	if config != nil {
		config.addAgent(h)
	}
	e.mu.Unlock()
	log.Info("agent connected")
	e.keys.markDirty()
	if e.owner != nil && h.Worker != "" {
		e.owner.AgentConnected(h.Worker, h.Location, h.Labels)
	}
	err := e.readLink(l)
	conn.Close()
	e.mu.Lock()
	e.directory.Disconnect(h.Agent, h.Epoch)
	if e.links[h.Agent] == l {
		delete(e.links, h.Agent)
		if config != nil {
			config.removeAgent(h.Agent)
		}
	}
	if e.workers[h.Worker] == l {
		delete(e.workers, h.Worker)
	}
	e.countAgents()
	e.mu.Unlock()
	l.failCalls()
	e.keys.markDirty()
	log.WithError(err).Info("agent disconnected")
}

func (e *Entry) readLink(l *link) error {
	for {
		m, err := l.conn.Receive(context.Background())
		if err != nil {
			return err
		}
		e.handle(l, m)
	}
}

func (e *Entry) handle(l *link, m peer.Message) {
	switch m := m.(type) {
	case *peer.Heartbeat:
		e.mu.Lock()
		e.directory.Heartbeat(e.clock.Now(), l.agent, l.epoch)
		e.mu.Unlock()
		config := e.currentConfiguration()
		if config != nil {
			config.handle(l, m)
		}
		l.conn.TrySend(&peer.HeartbeatAck{Sequence: m.Sequence, Revision: config.appliedRevision()})
		if e.owner != nil && l.worker != "" {
			e.owner.Heartbeat(l.worker, m)
		}
	case *peer.Endpoints:
		e.updateEndpoints(l, m)
	case *peer.Credit:
		e.handleCredit(l, m)
	case *peer.CreditRevoke:
		e.handleRevoke(l, m)
	case *peer.ConfigAck, *peer.ConfigResync:
		if c := e.currentConfiguration(); c != nil {
			c.handle(l, m)
		}
	case *peer.Drain:
		if !l.draining.Swap(true) {
			close(l.drained)
		}
		e.mu.Lock()
		e.directory.SetDraining(l.agent, l.epoch)
		e.mu.Unlock()
		if e.owner != nil && l.worker != "" {
			e.owner.Handle(l.worker, m)
		}
	case *peer.Response:
		e.deliver(l, m.ID, m)
	case *peer.Refused:
		e.deliver(l, m.ID, m)
	case *peer.Failed:
		e.deliver(l, m.ID, m)
	case *peer.Cancelled:
		if c := l.call(m.ID); c != nil {
			select {
			case c.cancelled <- m:
			default:
			}
		} else {
			e.countDropped(m)
		}
	case *peer.Body:
		if c := l.call(m.ID); c != nil {
			c.body.Push(m.Data)
		} else {
			e.countDropped(m)
		}
	case *peer.End:
		if c := l.call(m.ID); c != nil {
			c.body.Finish(m.Length, m.Failed)
		} else {
			e.countDropped(m)
		}
	case *peer.Window:
		if c := l.call(m.ID); c != nil {
			c.upload.Grant(m.Bytes)
		}
	case *peer.Residents, *peer.ReservedTask, *peer.TaskReport, *peer.Usage:
		if e.owner != nil && l.worker != "" {
			e.owner.Handle(l.worker, m)
		}
	default:
		e.keys.handle(l, m)
	}
}

func (e *Entry) updateEndpoints(l *link, m *peer.Endpoints) {
	list := make([]endpoint.Status, 0, len(m.Endpoints))
	for _, s := range m.Endpoints {
		list = append(list, endpoint.Status{
			Endpoint: s.Endpoint, Service: s.Service, Slots: s.Slots,
			Leaving: s.State == peer.EndpointLeaving, Removed: s.State == peer.EndpointGone, Labels: s.Labels,
		})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	e.directory.Update(now, l.agent, l.epoch, m.Full, list)
	for _, s := range list {
		e.service(s.Service).queue.SetCapacity(e.directory.Slots(s.Service))
	}
}

func (e *Entry) handleCredit(l *link, m *peer.Credit) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	e.returnCredits(e.directory.AddCredits(now, l.agent, l.epoch, m.Endpoint, m.Class, m.Count, m.ValidFor))
	for name, s := range e.services {
		if s.queue.Len() > 0 {
			e.assignQueued(now, name)
		}
	}
}

func (e *Entry) handleRevoke(l *link, m *peer.CreditRevoke) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.returnCredits(e.directory.Revoke(e.clock.Now(), l.agent, l.epoch, m.Endpoint, m.Count))
}

func (l *link) openCall(id oleandervalve.RequestID) *call {
	c := &call{events: make(chan peer.Message, 1), cancelled: make(chan *peer.Cancelled, 1)}
	c.upload = peer.NewBodyWriter(l.conn, id)
	c.body = peer.NewBodyReader(func(n int64) { l.conn.TrySend(&peer.Window{ID: id, Bytes: n}) })
	l.mu.Lock()
	l.calls[id] = c
	l.mu.Unlock()
	return c
}

func (l *link) call(id oleandervalve.RequestID) *call {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls[id]
}

func (l *link) closeCall(id oleandervalve.RequestID) {
	l.mu.Lock()
	c := l.calls[id]
	delete(l.calls, id)
	l.mu.Unlock()
	if c != nil {
		c.upload.Abort(peer.ErrClosed)
		c.body.Fail(peer.ErrBodyTruncated)
	}
}

// deliver passes the first message of a response to the waiting call. A message
// for a request that no longer waits is dropped.
func (e *Entry) deliver(l *link, id oleandervalve.RequestID, m peer.Message) {
	c := l.call(id)
	if c == nil {
		e.countDropped(m)
		return
	}
	select {
	case c.events <- m:
	default:
		e.countDropped(m)
	}
}

// failCalls fails every call of a link that has disconnected.
func (l *link) failCalls() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.calls {
		select {
		case c.events <- nil:
		default:
		}
		c.body.Fail(peer.ErrBodyTruncated)
		c.upload.Abort(peer.ErrClosed)
	}
}
