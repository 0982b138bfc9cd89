package leader

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/dispatch"
	"oleandervalve/core/handover"
	"oleandervalve/io/peer"
)

const (
	// HeartbeatTimeout is how long a connection between an agent and the leader may
	// carry no message before it counts as disconnected. Agents send a ping every
	// 0.7 s. The leader uses this timeout for connections from other entries too.
	HeartbeatTimeout = 2 * time.Second
	// EntryHeartbeatTimeout is the timeout after which another entry considers the
	// leader disconnected. Entries send a ping every 0.5 s. The timeout is shorter
	// than that for agents because callers wait until a failed leader is detected.
	EntryHeartbeatTimeout = 1300 * time.Millisecond
)

// session is one connection from an agent.
type session struct {
	conn  *peer.Conn
	token oleandervalve.FencingToken
	// parts are the parts of the agent's inventory that have arrived before the rest of it.
	parts []*peer.InventoryPart
	// payloads mirrors the agent's cache of payloads; nil if it has none.
	payloads *peer.PayloadCache
	// waiting holds the messages that have arrived before the jobs were loaded.
	waiting []peer.Message
	// handlesEvacuation means that the agent knows the message with which it is told of evacuations.
	handlesEvacuation bool
	// countedBytes is what observeOutflow has counted.
	countedBytes int64
}

// follower is one connection from another entry, with what the entry reported.
type follower struct {
	handover.Entry
	id      oleandervalve.EntryID
	address string
	conn    *peer.Conn
	// tableAge and readAge were the times since its last successful call to the table, and read of
	// the leader's row, at heartbeatAt.
	tableAge, readAge time.Duration
	heartbeatAt       time.Time
	// countedBytes is what observeOutflow has counted.
	countedBytes int64
}

// sessionsPerTerm is the size of each term's range of fencing tokens, so that the
// tokens of a later term are always larger.
const sessionsPerTerm = 1_000_000

func redirectTo(leader string) *peer.Redirect { return &peer.Redirect{Leader: leader} }
func takeOverRequest(leader string) *peer.Redirect {
	return &peer.Redirect{Leader: leader, TakeOver: true}
}

func adoptRun(s dispatch.Adopt) peer.Message { return &peer.AdoptRun{Adopt: s} }
func stopRun(s dispatch.Stop) peer.Message   { return &peer.StopRun{Stop: s} }
func acknowledgeEnd(s dispatch.Acknowledge) peer.Message {
	return &peer.AcknowledgeEnd{Acknowledge: s}
}

// send queues a message for an agent. If the queue is full because the agent doesn't
// read, send closes the connection and the agent starts a new session. The lock must
// be held.
func (l *Leader) send(id oleandervalve.AgentID, m peer.Message) {
	s := l.agents[id]
	if s == nil {
		return
	}
	if !s.conn.TrySend(m) {
		s.conn.Close()
	}
}

// sendStart queues a start order for an agent. The payload is left out or compressed if the
// agent supports that, because the payloads make up most of what the leader sends.
func (l *Leader) sendStart(s dispatch.Start) {
	m := &peer.StartRun{Start: s}
	if a := l.agents[s.Agent]; a != nil && a.payloads != nil {
		a.payloads.Shorten(m, func() []byte { return l.compressedPayload(s) })
	}
	l.send(s.Agent, m)
}

// maxCompressedPayloads limits the compressed payloads that the leader keeps.
const maxCompressedPayloads = 512

// compressedPayload returns the compressed payload of a job, which is computed once for the
// starts of many tasks. The lock must be held.
func (l *Leader) compressedPayload(s dispatch.Start) []byte {
	if z, ok := l.compressed[s.Task.Job]; ok {
		return z
	}
	if len(l.compressed) >= maxCompressedPayloads {
		clear(l.compressed)
	}
	z := peer.CompressPayload(s.Payload)
	l.compressed[s.Task.Job] = z
	return z
}

// Serve handles the connection of an agent or entry that has joined, until the
// connection ends.
func (l *Leader) Serve(c *peer.Conn, j peer.Join) {
	defer c.Close()
	if j.Agent != "" {
		l.serveAgent(c, j)
		return
	}
	if l.awaitReady(j.Entry) {
		l.serveEntry(c, j)
	}
}

// awaitReady waits until the jobs are loaded. It returns false if the entry has connected again
// since: it has given this connection up.
func (l *Leader) awaitReady(id oleandervalve.EntryID) bool {
	l.mu.Lock()
	l.joins[id]++
	n := l.joins[id]
	l.mu.Unlock()
	<-l.ready
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.joins[id] == n
}

// receive reads the next message. It fails if none arrives within HeartbeatTimeout.
func receive(c *peer.Conn) (peer.Message, error) {
	ctx, cancel := context.WithTimeout(context.Background(), HeartbeatTimeout)
	defer cancel()
	return c.Receive(ctx)
}

// serveAgent handles the connection of an agent. A new connection replaces an
// earlier one of the same agent. An agent is admitted while the jobs are still loaded, so that
// it gets proofs of leadership and doesn't connect again and again; its messages wait.
func (l *Leader) serveAgent(c *peer.Conn, j peer.Join) {
	id := j.Agent
	l.mu.Lock()
	if l.stopped {
		l.mu.Unlock()
		return
	}
	l.sessionCount++
	s := &session{conn: c, token: oleandervalve.FencingToken(l.row.Term*sessionsPerTerm + l.sessionCount), handlesEvacuation: j.HandlesEvacuation}
	if j.CachesPayloads {
		s.payloads = peer.NewPayloadCache()
	}
	if old := l.agents[id]; old != nil {
		old.conn.Close()
		l.dispatcher.AgentDisconnected(l.options.Clock.Now(), id)
	}
	l.agents[id] = s
	loaded := l.loaded
	admit := &peer.Admit{Token: s.token}
	if x, ok := l.dispatcher.ExecutorOf(id); ok {
		admit.Executor = &x
	}
	l.mu.Unlock()
	admit.Services = l.options.services()
	if loaded {
		// Before that, no other entry is connected, and the agent knows some from earlier.
		admit.Entries = l.entries()
	}
	c.TrySend(admit)
	for {
		m, err := receive(c)
		if err != nil {
			l.options.Log.WithFields(logrus.Fields{"agent": id, "token": s.token}).WithError(err).Info("agent's connection ended")
			break
		}
		l.handleAgentMessage(id, s, m)
	}
	l.agentSessionEnded(id, s)
}

// agentSessionEnded handles the end of an agent's connection, unless a newer one has replaced it.
func (l *Leader) agentSessionEnded(id oleandervalve.AgentID, s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.agents[id] != s {
		return
	}
	delete(l.agents, id)
	if l.stopped || !l.loaded {
		return
	}
	l.dispatcher.AgentDisconnected(l.options.Clock.Now(), id)
	l.executeActions(l.dispatcher.TakeActions())
}

// handleAgentMessage handles one message from an agent, unless a newer session of the
// agent has begun.
func (l *Leader) handleAgentMessage(id oleandervalve.AgentID, s *session, m peer.Message) {
	if p, ok := m.(*peer.Ping); ok {
		l.answerPing(id, s, p)
		return
	}
	if l.deferMessage(id, s, m) {
		return
	}
	l.withDispatcher(func(d *dispatch.Dispatcher, now time.Time) {
		if l.agents[id] == s {
			l.applyAgentMessage(d, now, id, s, m)
		}
	})
}

// answerPing answers a ping of an agent and applies what it reports.
func (l *Leader) answerPing(id oleandervalve.AgentID, s *session, p *peer.Ping) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped || l.agents[id] != s {
		return
	}
	now := l.options.Clock.Now()
	s.conn.TrySend(&peer.Pong{Sequence: p.Sequence, ProofAge: l.proofAge(id), StartProofAge: l.startProofAge(id)})
	if !l.loaded {
		l.grantedWhileLoading[id] = now
		s.waiting = append(s.waiting, p)
		return
	}
	l.applyPing(now, id, p)
}

// applyPing applies what an agent reports with a ping. The lock must be held.
func (l *Leader) applyPing(now time.Time, id oleandervalve.AgentID, p *peer.Ping) {
	l.dispatcher.LeaseGranted(now, id)
	l.agentHeard(id)
	if p.ConfirmsStarts {
		l.dispatcher.RunsStarted(now, id, p.Started)
	}
	l.dispatcher.LoadSampled(now, id, p.Sample)
	l.dispatcher.RunsCheckpointed(now, id, p.Checkpoints)
	if p.ListsDelayedStarts {
		l.dispatcher.StartsDelayed(now, id, p.DelayedStarts)
	}
}

// deferMessage keeps a message until the jobs are loaded. It returns false if they are.
func (l *Leader) deferMessage(id oleandervalve.AgentID, s *session, m peer.Message) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.loaded {
		return false
	}
	if l.agents[id] == s {
		s.waiting = append(s.waiting, m)
	}
	return true
}

// applyDeferred applies the messages that have arrived before the jobs were loaded. The lock
// must be held.
func (l *Leader) applyDeferred(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(l.agents)) {
		s := l.agents[id]
		for _, m := range s.waiting {
			if p, ok := m.(*peer.Ping); ok {
				l.applyPing(now, id, p)
				continue
			}
			l.applyAgentMessage(l.dispatcher, now, id, s, m)
		}
		s.waiting = nil
	}
	l.executeActions(l.dispatcher.TakeActions())
}

// applyAgentMessage applies a message of an agent's current session. The lock must be held.
func (l *Leader) applyAgentMessage(d *dispatch.Dispatcher, now time.Time, id oleandervalve.AgentID, s *session, m peer.Message) {
	switch m := m.(type) {
	case *peer.InventoryPart:
		s.parts = append(s.parts, m)
	case *peer.ExecutorInventory:
		m.Append(s.parts...)
		s.parts = nil
		l.agentConnected(now, id, m)
	case *peer.ExecutorChange:
		d.StatusChanged(now, id, m.Status)
	case *peer.ExecutorTerminated:
		if m.Lost.Executor == m.Incarnation {
			d.ExecutorLost(now, id, m.Lost)
		}
		d.StartsUnanswered(now, id, m.Unanswered, m.UnknownFor)
		d.ExecutorTerminated(now, id, m.Incarnation, m.Lost.Crashed)
	case *peer.RunsEnded:
		for _, e := range m.Ends {
			d.RunEnded(now, id, m.Incarnation, e)
		}
		if m.Complete {
			d.InventoryCompleted(now, id, m.Incarnation)
		}
	case *peer.RunOutlived:
		d.RunOutlived(id, m.Task, m.Run)
	case *peer.RunNeverStarted:
		d.RunNeverStarted(now, id, m.NeverStarted)
	default:
		l.options.Log.WithFields(logrus.Fields{"agent": id, "type": m.Type()}).Warn("unexpected message ignored")
	}
}

// agentConnected handles the inventory of an agent. The lock must be held.
func (l *Leader) agentConnected(now time.Time, id oleandervalve.AgentID, m *peer.ExecutorInventory) {
	for _, r := range m.Lost {
		l.dispatcher.ExecutorLost(now, id, r)
	}
	l.dispatcher.StartsUnanswered(now, id, m.Unanswered, m.UnknownFor)
	l.dispatcher.AgentConnected(now, id, m.Status, oleandervalve.PollResult{Running: m.Running, Ended: m.Ended, Incomplete: m.Incomplete})
	l.agentHeard(id)
}

// agentHeard makes the row that names an agent as silent be written without it. The lock must be held.
func (l *Leader) agentHeard(id oleandervalve.AgentID) {
	if l.silences.heard(id) {
		l.requestCommit()
	}
}

// entries returns the addresses of this entry and the connected ones.
func (l *Leader) entries() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []string{l.row.Address}
	for _, f := range l.followers {
		out = append(out, f.address)
	}
	return out
}

// serveEntry handles the connection of another entry, which forwards callers'
// requests.
func (l *Leader) serveEntry(c *peer.Conn, j peer.Join) {
	f := &follower{Entry: handover.Entry{CPUShare: j.CPUShare, Link: j.Link}, id: j.Entry, address: j.Address, conn: c, tableAge: time.Hour, readAge: time.Hour, heartbeatAt: l.options.Clock.Now()}
	l.mu.Lock()
	if l.stopped {
		l.mu.Unlock()
		return
	}
	if old := l.followers[j.Entry]; old != nil {
		old.conn.Close()
	}
	l.followers[j.Entry] = f
	l.mu.Unlock()
	c.TrySend(&peer.Admit{Entries: l.entries()})
	for {
		m, err := receive(c)
		if err != nil {
			l.options.Log.WithField("entry", j.Entry).WithError(err).Info("entry's connection ended")
			break
		}
		switch m := m.(type) {
		case *peer.Ping:
			l.mu.Lock()
			now := l.options.Clock.Now()
			f.tableAge, f.readAge, f.heartbeatAt = m.TableAge, m.ReadAge, now
			if f.readAge == 0 {
				f.readAge = m.TableAge // of an earlier release
			}
			age := l.options.now().Sub(l.lastProofAt)
			l.mu.Unlock()
			c.TrySend(&peer.Pong{Sequence: m.Sequence, ProofAge: age, Revision: l.options.Revision()})
		case *peer.JobCall:
			l.Call(*m, func(r peer.JobReply) { c.TrySend(&r) })
		default:
			l.options.Log.WithFields(logrus.Fields{"entry": j.Entry, "type": m.Type()}).Warn("unexpected message ignored")
		}
	}
	l.mu.Lock()
	if l.followers[j.Entry] == f {
		delete(l.followers, j.Entry)
	}
	l.mu.Unlock()
}
