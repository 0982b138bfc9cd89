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

// configuration is the agent's copy of the configuration and its state of
// readiness and drain; the agent's lock guards it.
type configuration struct {
	subscriber *operator.Subscriber
	replica    *operator.Replica
	// fallback holds the class shares of services that are not configured.
	fallback map[oleandervalve.ServiceName][]credit.ClassShare
	applied  map[oleandervalve.ServiceName][]credit.ClassShare
	// entryRevisions holds the revision of each connected entry at the time it
	// accepted the agent.
	entryRevisions map[oleandervalve.EntryID]oleandervalve.Revision
	// ready is set once the configuration has reached entryRevisions; it is never reset.
	ready bool
	// drain is the last Drain message, or nil; its time ends at drainUntil.
	drain      *peer.Drain
	drainUntil time.Time
}

func newConfiguration(id oleandervalve.AgentID) *configuration {
	return &configuration{
		subscriber: operator.NewSubscriber(id), replica: operator.NewReplica(),
		fallback:       map[oleandervalve.ServiceName][]credit.ClassShare{},
		applied:        map[oleandervalve.ServiceName][]credit.ClassShare{},
		entryRevisions: map[oleandervalve.EntryID]oleandervalve.Revision{},
	}
}

// Revision returns the revision of the applied configuration.
func (a *Agent) Revision() oleandervalve.Revision {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.config.replica.Revision()
}

// Shares returns the class shares that apply to a service.
func (a *Agent) Shares(s oleandervalve.ServiceName) []credit.ClassShare {
	a.mu.Lock()
	defer a.mu.Unlock()
	if list, ok := a.config.applied[s]; ok {
		return slices.Clone(list)
	}
	return slices.Clone(a.config.fallback[s])
}

// addConfigSource records an entry that accepted the connection as a possible
// source of configuration; the caller holds the lock.
func (a *Agent) addConfigSource(now time.Time, w peer.Welcome) {
	a.config.subscriber.AddEntry(w.Entry, w.Revision, now)
	a.config.entryRevisions[w.Entry] = w.Revision
}

// sendDrain notifies a new connection if the agent is draining; the caller
// holds the lock.
func (a *Agent) sendDrain(now time.Time, l *link) {
	if d := a.config.drain; d != nil {
		l.conn.TrySend(&peer.Drain{Reason: d.Reason, Within: max(0, a.config.drainUntil.Sub(now))})
	}
}

func (a *Agent) removeConfigSource(e oleandervalve.EntryID) {
	a.config.subscriber.RemoveEntry(e)
	delete(a.config.entryRevisions, e)
}

// configReady reports whether the configuration is at least as new as that of
// each connected entry was when the entry accepted the agent; the caller holds
// the lock.
func (a *Agent) configReady() bool {
	c := a.config
	if c.ready || len(c.entryRevisions) == 0 {
		return c.ready
	}
	for _, rev := range c.entryRevisions {
		if rev > c.replica.Revision() {
			return false
		}
	}
	c.ready = true
	return true
}

// NotReadyReason returns what the agent needs before it is ready, or "".
func (a *Agent) NotReadyReason() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case len(a.links) == 0:
		return "an entry has to accept the connection"
	case !a.configReady():
		return "an entry has to send the configuration in force"
	}
	return ""
}

// tickConfig subscribes to the selected entry for configuration deltas, and
// unsubscribes from the previous one; the caller holds the lock.
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

// handleConfig handles a message about the configuration.
func (a *Agent) handleConfig(l *link, m peer.Message) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.links[l.entry] != l {
		a.countDropped(m) // This connection has been replaced by a newer one to the same entry.
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
		a.log.WithError(err).WithField("entry", l.entry).Warn("configuration delta has a gap; requesting a resync")
		l.conn.TrySend(&peer.ConfigResync{Resync: gap.Resync()})
		return
	}
	if changed {
		a.applyShares()
		a.log.WithField("revision", a.config.replica.Revision()).Info("configuration applied")
	}
	l.conn.TrySend(&peer.ConfigAck{Ack: a.config.replica.Ack()})
}

// applyShares configures the ledger with the class shares that have changed.
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
	a.sendCredits(a.clock.Now())
}

// beginDrain stops new work and sends the Drain message to every entry, whether
// this process or an entry requested the drain.
func (a *Agent) beginDrain(m *peer.Drain) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.ledger.Drain(now)
	a.config.drain, a.config.drainUntil = m, now.Add(m.Within)
	a.drainTasks()
	a.broadcast(m)
	a.sendCredits(now)
	a.publishEndpoints()
}
