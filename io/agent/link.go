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
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 5 * time.Second
)

// link is the connection to one entry.
type link struct {
	entry oleandervalve.EntryID
	epoch oleandervalve.ConnectionEpoch
	conn  *peer.Conn

	mu       sync.Mutex
	requests map[oleandervalve.RequestID]*activeRequest
}

// keepConnected connects to one entry, and reconnects with backoff, until the
// agent stops.
func (a *Agent) keepConnected(url string) {
	defer a.goroutines.Done()
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = minRedialDelay, maxRedialDelay
	for a.ctx.Err() == nil && !a.stopping.Load() {
		if a.runConnection(url) {
			delay.Reset()
		}
		select {
		case <-a.ctx.Done():
		case <-a.clock.After(delay.NextBackOff()):
		}
	}
}

// runConnection connects to an entry, handles messages until the connection
// ends, and reports whether the connection was established.
func (a *Agent) runConnection(url string) bool {
	epoch := oleandervalve.ConnectionEpoch(rand.Uint64())
	conn, welcome, err := peer.Dial(a.ctx, url, a.entryClient, peer.Hello{
		Agent: a.id, Worker: a.worker, Location: a.location, Epoch: epoch, Labels: a.labels, Revision: a.Revision(),
	})
	if err != nil {
		if a.ctx.Err() == nil {
			a.log.WithError(err).WithField("url", url).Warn("entry could not be reached; retrying with backoff")
		}
		return false
	}
	l := &link{entry: welcome.Entry, epoch: epoch, conn: conn, requests: map[oleandervalve.RequestID]*activeRequest{}}
	a.mu.Lock()
	a.addConfigSource(a.clock.Now(), welcome)
	if old := a.links[l.entry]; old != nil {
		old.conn.Close()
	}
	a.links[l.entry] = l
	a.updateEntriesGauge()
	now := a.clock.Now()
	a.ledger.Connect(now, l.entry, epoch)
	_ = conn.Send(endpointsMessage(a.ledger.Endpoints()))
	a.sendCredits(now)
	a.sendTaskState(l)
	a.sendDrain(now, l)
	a.mu.Unlock()
	a.log.WithField("entry", l.entry).WithField("connectionEpoch", epoch).Info("connected to entry")
	err = a.receiveMessages(l)
	conn.Close()
	a.mu.Lock()
	if a.links[l.entry] == l {
		delete(a.links, l.entry)
		a.removeConfigSource(l.entry)
	}
	a.updateEntriesGauge()
	a.ledger.Disconnect(a.clock.Now(), l.entry, epoch)
	a.sendCredits(a.clock.Now())
	a.mu.Unlock()
	l.abortBodies()
	a.log.WithError(err).WithField("entry", l.entry).Info("disconnected from entry")
	return true
}

func (a *Agent) receiveMessages(l *link) error {
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
		a.handleDemand(l, m)
	case *peer.CreditReturn:
		a.mu.Lock()
		now := a.clock.Now()
		a.ledger.Return(now, l.entry, l.epoch, m.Endpoint, m.Class, m.Count)
		a.sendCredits(now)
		a.mu.Unlock()
	case *peer.HeartbeatAck, *peer.ConfigDelta:
		a.handleConfig(l, m)
	case *peer.Drain:
		a.beginDrain(m)
	case *peer.Cancel:
		a.cancelRequest(l, m.ID)
	case *peer.Body:
		if active := l.find(m.ID); active != nil && active.body != nil {
			active.body.Push(m.Data)
		} else {
			a.countDropped(m)
		}
	case *peer.End:
		if active := l.find(m.ID); active != nil && active.body != nil {
			active.body.Finish(m.Length, m.Failed)
		} else {
			a.countDropped(m)
		}
	case *peer.Window:
		if active := l.find(m.ID); active != nil {
			active.download.Grant(m.Bytes)
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

func (a *Agent) handleDemand(l *link, m *peer.Demand) {
	demand := make([]instance.ClassDemand, 0, len(m.Classes))
	for _, c := range m.Classes {
		demand = append(demand, instance.ClassDemand(c))
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.ledger.Demand(now, l.entry, l.epoch, demand)
	a.sendCredits(now)
}

func (l *link) find(id oleandervalve.RequestID) *activeRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests[id]
}

func (l *link) add(id oleandervalve.RequestID, active *activeRequest) {
	l.mu.Lock()
	l.requests[id] = active
	l.mu.Unlock()
}

func (l *link) remove(id oleandervalve.RequestID) {
	l.mu.Lock()
	delete(l.requests, id)
	l.mu.Unlock()
}

// cancelRequest cancels a request and notifies the entry whether the request may
// have run. A running request keeps its slot until the endpoint finishes it,
// because the endpoint continues the work in any case.
func (a *Agent) cancelRequest(l *link, id oleandervalve.RequestID) {
	a.mu.Lock()
	now := a.clock.Now()
	ran := a.ledger.Cancel(now, l.entry, l.epoch, id)
	a.sendCredits(now)
	a.mu.Unlock()
	_ = l.conn.Send(&peer.Cancelled{ID: id, Ran: ran})
}

// abortBodies fails the body transfers of a closed connection. Requests that are
// running continue to their end.
func (l *link) abortBodies() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, active := range l.requests {
		active.download.Abort(peer.ErrClosed)
		if active.body != nil {
			active.body.Fail(peer.ErrBodyTruncated)
		}
	}
}

// maxOverrun is how long an endpoint may continue after a request's deadline
// before the agent cancels the call and frees the slot.
const maxOverrun = 30 * time.Second

// requestContext returns a context that ends maxOverrun after the deadline.
func (a *Agent) requestContext(remaining time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), remaining+maxOverrun)
}
