package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"oleandervalve"
	"oleandervalve/core/instance"
	"oleandervalve/io/peer"
)

const (
	firstRedial = 100 * time.Millisecond
	lastRedial  = 5 * time.Second
)

// link is the connection to one entry.
type link struct {
	entry oleandervalve.EntryID
	epoch oleandervalve.ConnectionEpoch
	conn  *peer.Conn

	mu     sync.Mutex
	served map[oleandervalve.RequestID]*served
}

// connect keeps a connection to one entry until the agent closes.
func (a *Agent) connect(url string) {
	defer a.stopped.Done()
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = firstRedial, lastRedial
	for a.ctx.Err() == nil && !a.stopping.Load() {
		if a.serveEntry(url) {
			delay.Reset()
		}
		select {
		case <-a.ctx.Done():
		case <-a.clock.After(delay.NextBackOff()):
		}
	}
}

// serveEntry runs one connection and reports whether it was established.
func (a *Agent) serveEntry(url string) bool {
	epoch := oleandervalve.ConnectionEpoch(rand.Uint64())
	conn, welcome, err := peer.Dial(a.ctx, url, a.dialer, peer.Hello{
		Agent: a.id, Worker: a.worker, Location: a.location, Epoch: epoch, Labels: a.labels, Revision: a.Revision(),
	})
	if err != nil {
		if a.ctx.Err() == nil {
			a.log.WithError(err).WithField("url", url).Warn("entry could not be reached; retrying with backoff")
		}
		return false
	}
	l := &link{entry: welcome.Entry, epoch: epoch, conn: conn, served: map[oleandervalve.RequestID]*served{}}
	a.mu.Lock()
	a.connectConfig(a.clock.Now(), welcome)
	if old := a.links[l.entry]; old != nil {
		old.conn.Close()
	}
	a.links[l.entry] = l
	a.countEntries()
	now := a.clock.Now()
	a.ledger.Connect(now, l.entry, epoch)
	_ = conn.Send(endpointsMessage(a.ledger.Endpoints()))
	a.grant(now)
	a.connectTasks(now, l)
	a.repeatDrain(now, l)
	a.mu.Unlock()
	a.log.WithField("entry", l.entry).WithField("connectionEpoch", epoch).Info("connected to entry")
	err = a.readLink(l)
	conn.Close()
	a.mu.Lock()
	if a.links[l.entry] == l {
		delete(a.links, l.entry)
		a.disconnectConfig(l.entry)
	}
	a.countEntries()
	a.ledger.Disconnect(a.clock.Now(), l.entry, epoch)
	a.grant(a.clock.Now())
	a.mu.Unlock()
	l.abortAll()
	a.log.WithError(err).WithField("entry", l.entry).Info("disconnected from entry")
	return true
}

func (a *Agent) readLink(l *link) error {
	for {
		m, err := l.conn.Receive(a.ctx)
		if err != nil {
			return err
		}
		a.handle(l, m)
	}
}

func (a *Agent) handle(l *link, m peer.Message) {
	switch m := m.(type) {
	case *peer.Request:
		a.admit(l, m)
	case *peer.Demand:
		a.demand(l, m)
	case *peer.CreditReturn:
		a.mu.Lock()
		now := a.clock.Now()
		a.ledger.Return(now, l.entry, l.epoch, m.Endpoint, m.Class, m.Count)
		a.grant(now)
		a.mu.Unlock()
	case *peer.HeartbeatAck, *peer.ConfigDelta:
		a.handleConfig(l, m)
	case *peer.Drain:
		a.beginDrain(m)
	case *peer.Cancel:
		a.withdraw(l, m.ID)
	case *peer.Body:
		if s := l.find(m.ID); s != nil && s.body != nil {
			s.body.Push(m.Data)
		} else {
			a.dropped(m)
		}
	case *peer.End:
		if s := l.find(m.ID); s != nil && s.body != nil {
			s.body.Finish(m.Length, m.Failed)
		} else {
			a.dropped(m)
		}
	case *peer.Window:
		if s := l.find(m.ID); s != nil {
			s.download.Grant(m.Bytes)
		}
	default:
		if a.handleKeys(l, m) {
			return
		}
		a.mu.Lock()
		a.handleTask(l, m)
		a.mu.Unlock()
	}
}

func (a *Agent) demand(l *link, m *peer.Demand) {
	d := make([]instance.ClassDemand, 0, len(m.Classes))
	for _, c := range m.Classes {
		d = append(d, instance.ClassDemand(c))
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.ledger.Demand(now, l.entry, l.epoch, d)
	a.grant(now)
}

func (l *link) find(id oleandervalve.RequestID) *served {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.served[id]
}

func (l *link) add(id oleandervalve.RequestID, s *served) {
	l.mu.Lock()
	l.served[id] = s
	l.mu.Unlock()
}

func (l *link) remove(id oleandervalve.RequestID) {
	l.mu.Lock()
	delete(l.served, id)
	l.mu.Unlock()
}

// withdraw cancels a request and tells the entry whether it may have run. A
// request that runs keeps its slot until the endpoint has ended it, because the
// endpoint works on it either way.
func (a *Agent) withdraw(l *link, id oleandervalve.RequestID) {
	a.mu.Lock()
	now := a.clock.Now()
	ran := a.ledger.Cancel(now, l.entry, l.epoch, id)
	a.grant(now)
	a.mu.Unlock()
	_ = l.conn.Send(&peer.Cancelled{ID: id, Ran: ran})
}

// abortAll stops the transfers of a lost connection; requests that run go on to their end.
func (l *link) abortAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.served {
		s.download.Abort(peer.ErrClosed)
		if s.body != nil {
			s.body.Fail(peer.ErrBodyTruncated)
		}
	}
}

// overrun is how long an endpoint may work past a request's deadline before the
// agent gives the connection up and frees the slot.
const overrun = 30 * time.Second

// requestContext bounds a request by its remaining time and the permitted overrun.
func (a *Agent) requestContext(remaining time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), remaining+overrun)
}
