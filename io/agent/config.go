package agent

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"oleandervalve"
	"oleandervalve/core/credit"
	"oleandervalve/core/operator"
	"oleandervalve/io/peer"
)

// configuration is the agent's part in the configuration; the agent's lock guards it.
type configuration struct {
	subscriber *operator.Subscriber
	replica    *operator.Replica
	// fallback holds the shares of services that are not configured.
	fallback map[oleandervalve.ServiceName][]credit.ClassShare
	applied  map[oleandervalve.ServiceName][]credit.ClassShare
	// welcomed holds the revisions with which the connected entries accepted the agent.
	welcomed map[oleandervalve.EntryID]oleandervalve.Revision
	// ready is set once the agent has been level with its entries; it stays set.
	ready bool
	// drain is the last request to take no new work, which ends at drainUntil.
	drain      *peer.Drain
	drainUntil time.Time
}

func newConfiguration(id oleandervalve.AgentID) *configuration {
	return &configuration{
		subscriber: operator.NewSubscriber(id), replica: operator.NewReplica(),
		fallback: map[oleandervalve.ServiceName][]credit.ClassShare{},
		applied:  map[oleandervalve.ServiceName][]credit.ClassShare{},
		welcomed: map[oleandervalve.EntryID]oleandervalve.Revision{},
	}
}

// Revision returns the revision of the configuration in force.
func (a *Agent) Revision() oleandervalve.Revision {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.config.replica.Revision()
}

// Shares returns the class shares in force for a service.
func (a *Agent) Shares(s oleandervalve.ServiceName) []credit.ClassShare {
	a.mu.Lock()
	defer a.mu.Unlock()
	if list, ok := a.config.applied[s]; ok {
		return slices.Clone(list)
	}
	return slices.Clone(a.config.fallback[s])
}

// connectConfig notes an entry that accepted a connection; the caller holds the lock.
func (a *Agent) connectConfig(now time.Time, w peer.Welcome) {
	a.config.subscriber.AddEntry(w.Entry, w.Revision, now)
	a.config.welcomed[w.Entry] = w.Revision
}

// repeatDrain tells a new connection of a draining agent; the caller holds the lock.
func (a *Agent) repeatDrain(now time.Time, l *link) {
	if d := a.config.drain; d != nil {
		l.conn.TrySend(&peer.Drain{Reason: d.Reason, Within: max(0, a.config.drainUntil.Sub(now))})
	}
}

func (a *Agent) disconnectConfig(e oleandervalve.EntryID) {
	a.config.subscriber.RemoveEntry(e)
	delete(a.config.welcomed, e)
}

// serving reports whether the configuration is not older than that of the
// connected entries was when they accepted the agent; the caller holds the lock.
func (a *Agent) serving() bool {
	c := a.config
	if c.ready || len(c.welcomed) == 0 {
		return c.ready
	}
	for _, rev := range c.welcomed {
		if rev > c.replica.Revision() {
			return false
		}
	}
	c.ready = true
	return true
}

// WaitsFor says what the agent needs before it serves, or "".
func (a *Agent) WaitsFor() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case len(a.links) == 0:
		return "an entry has to accept the connection"
	case !a.serving():
		return "an entry has to send the configuration in force"
	}
	return ""
}

// tickConfig subscribes to the entry that sends deltas; the caller holds the lock.
func (a *Agent) tickConfig(now time.Time) {
	start, stop := a.config.subscriber.SelectSource(now)
	if l := a.links[stop]; l != nil {
		l.conn.TrySend(&peer.ConfigResync{Resync: operator.Resync{Stop: true}})
	}
	if l := a.links[start]; l != nil {
		rev := a.config.replica.Revision()
		l.conn.TrySend(&peer.ConfigResync{Resync: operator.Resync{From: rev, Full: rev == 0}})
	}
}

// handleConfig takes a message about the configuration.
func (a *Agent) handleConfig(l *link, m peer.Message) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.links[l.entry] != l {
		a.dropped(m) // A newer connection to the same entry has replaced this one.
		return
	}
	switch m := m.(type) {
	case *peer.HeartbeatAck:
		a.config.subscriber.ObserveEntryRevision(l.entry, m.Revision, a.clock.Now())
	case *peer.ConfigDelta:
		a.applyDelta(l, m.Delta)
	}
}

func (a *Agent) applyDelta(l *link, d operator.Delta) {
	changed, err := a.config.replica.Apply(d)
	var gap *operator.GapError
	if errors.As(err, &gap) {
		a.log.WithError(err).WithField("entry", l.entry).Warn("configuration has a gap; asking for a resync")
		l.conn.TrySend(&peer.ConfigResync{Resync: gap.Resync()})
		return
	}
	if changed {
		a.applyShares()
		a.log.WithField("revision", a.config.replica.Revision()).Info("configuration is in force")
	}
	l.conn.TrySend(&peer.ConfigAck{Ack: a.config.replica.Ack()})
}

// applyShares passes changed class shares on to the ledger.
func (a *Agent) applyShares() {
	c := a.config
	next := map[oleandervalve.ServiceName][]credit.ClassShare{}
	for _, o := range c.replica.List(operator.KindService) {
		s := oleandervalve.ServiceName(o.Name)
		var list []credit.ClassShare
		for _, r := range c.replica.Classes(s) {
			list = append(list, credit.ClassShare{Class: r.Name, Weight: r.Weight, Floor: r.Floor})
		}
		next[s] = list
		if !slices.Equal(list, c.applied[s]) {
			a.ledger.Configure(s, list)
		}
	}
	for s := range c.applied {
		if _, ok := next[s]; !ok {
			a.ledger.Configure(s, c.fallback[s])
		}
	}
	c.applied = next
	a.grant(a.clock.Now())
}

// beginDrain stops new work and tells every entry, whoever asked for it.
func (a *Agent) beginDrain(m *peer.Drain) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.ledger.Drain(now)
	a.config.drain, a.config.drainUntil = m, now.Add(m.Within)
	a.drainTasks()
	a.broadcast(m)
	a.grant(now)
	a.publishChange()
}
