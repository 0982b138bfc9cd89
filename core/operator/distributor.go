package operator

import (
	"slices"
	"strings"
	"time"

	"oleandervalve"
)

const (
	// BudgetBytesPerSecond limits the rate of deltas to one agent. Heartbeats to
	// eight entries take about 1,760 B/s, so that even with a burst an agent stays
	// below its limit of 4 KB in any second.
	BudgetBytesPerSecond = 1000
	// budgetBurstBytes is large enough to send a typical change at once. A larger
	// part is sent when the whole burst is available; the budget then goes negative.
	budgetBurstBytes = 1200
	// resendTimeout is the time within which an agent must acknowledge a whole delta.
	resendTimeout = 3 * time.Second
	// maxLagging limits the number of agents listed in RolloutStatus.Lagging.
	maxLagging = 20
)

// OutgoingDelta is a delta that the entry has to send to an agent.
type OutgoingDelta struct {
	Agent oleandervalve.AgentID
	Delta Delta
}

// Distributor updates the agents connected to one entry to the entry's revision.
// It sends deltas only to agents that subscribe to this entry; otherwise each of
// eight entries would send them the same objects. It is not safe for concurrent use.
type Distributor struct {
	replica *Replica
	agents  map[oleandervalve.AgentID]*agentState
	// sortedAgents holds the states of all agents, sorted by agent id.
	sortedAgents []*agentState
	// lastRevision is the replica's revision at the last call to Next.
	lastRevision oleandervalve.Revision
}

// agentState is the distribution state of one connected agent.
type agentState struct {
	agent oleandervalve.AgentID
	view  View
	// subscribed means that the agent receives deltas from this entry.
	subscribed    bool
	ackedRevision oleandervalve.Revision
	// sendFull means that the next delta must be a snapshot.
	sendFull bool
	// awaitingFirstAck is true while an agent that has just started has not
	// acknowledged its first snapshot. Such an agent handles no requests, so the
	// snapshot is exempt from the budget.
	awaitingFirstAck bool
	unsentParts      []Delta
	// unacknowledged is true from the building of a delta until its acknowledgement.
	unacknowledged  bool
	ackDeadline     time.Time
	budgetBytes     float64
	budgetUpdatedAt time.Time
	// laggingSince is when the entry got a revision that the agent has not applied.
	laggingSince time.Time
}

// NewDistributor returns a distributor that sends the configuration of a replica.
func NewDistributor(r *Replica) *Distributor {
	return &Distributor{replica: r, agents: map[oleandervalve.AgentID]*agentState{}}
}

// AddAgent adds an agent that connected with the given view and revision.
func (d *Distributor) AddAgent(a oleandervalve.AgentID, v View, rev oleandervalve.Revision, now time.Time) {
	state := &agentState{agent: a, view: v, ackedRevision: rev, budgetBytes: budgetBurstBytes, budgetUpdatedAt: now, laggingSince: now}
	i, found := d.search(a)
	if found {
		d.sortedAgents[i] = state
	} else {
		d.sortedAgents = slices.Insert(d.sortedAgents, i, state)
	}
	d.agents[a] = state
}

// search returns the index of an agent in sortedAgents, or the one to insert it at.
func (d *Distributor) search(a oleandervalve.AgentID) (int, bool) {
	return slices.BinarySearchFunc(d.sortedAgents, a, func(r *agentState, a oleandervalve.AgentID) int {
		return strings.Compare(string(r.agent), string(a))
	})
}

// RemoveAgent removes a disconnected agent.
func (d *Distributor) RemoveAgent(a oleandervalve.AgentID) {
	if i, ok := d.search(a); ok {
		d.sortedAgents = slices.Delete(d.sortedAgents, i, i+1)
		delete(d.agents, a)
	}
}

// ObserveRevision handles the revision reported in an agent's heartbeat.
func (d *Distributor) ObserveRevision(a oleandervalve.AgentID, rev oleandervalve.Revision) {
	state := d.agents[a]
	if state == nil || rev <= state.ackedRevision {
		return
	}
	state.ackedRevision = rev
}

// HandleAck handles an agent's acknowledgement. An agent that reports a different
// digest at the entry's revision is sent a full delta.
func (d *Distributor) HandleAck(a oleandervalve.AgentID, ack Ack) {
	state := d.agents[a]
	if state == nil {
		return
	}
	d.ObserveRevision(a, ack.Revision)
	state.awaitingFirstAck = false
	if len(state.unsentParts) == 0 {
		state.unacknowledged = false
	}
	if state.subscribed && ack.Revision == d.replica.revision && ack.Digest != d.replica.viewDigest(state.view) {
		state.sendFull, state.unacknowledged, state.unsentParts = true, false, nil
	}
}

// Resync starts, restarts or stops sending deltas to an agent.
func (d *Distributor) Resync(a oleandervalve.AgentID, request Resync) {
	state := d.agents[a]
	if state == nil {
		return
	}
	state.subscribed = !request.Stop
	state.ackedRevision, state.sendFull = request.From, request.Full
	state.awaitingFirstAck = state.awaitingFirstAck || request.Full && request.From == 0
	state.unsentParts, state.unacknowledged = nil, false
}

// Next returns the deltas to send now, within each agent's budget. It must be
// called after each change of the replica and several times a second.
func (d *Distributor) Next(now time.Time) []OutgoingDelta {
	if !d.replica.loaded {
		return nil
	}
	advanced := d.replica.revision > d.lastRevision
	var out []OutgoingDelta
	for _, state := range d.sortedAgents {
		if advanced && state.ackedRevision >= d.lastRevision {
			state.laggingSince = now
		}
		out = d.appendDeltas(state, now, out)
	}
	d.lastRevision = d.replica.revision
	return out
}

// NextFor returns the deltas to send to one agent now. It must be called after
// each acknowledgement or resync of the agent.
func (d *Distributor) NextFor(a oleandervalve.AgentID, now time.Time) []OutgoingDelta {
	state := d.agents[a]
	if state == nil || !d.replica.loaded {
		return nil
	}
	return d.appendDeltas(state, now, nil)
}

// appendDeltas appends the deltas to send to one agent now.
func (d *Distributor) appendDeltas(state *agentState, now time.Time, out []OutgoingDelta) []OutgoingDelta {
	if !state.subscribed {
		return out
	}
	d.prepareDelta(state, now)
	if len(state.unsentParts) == 0 {
		return out
	}
	state.refill(now)
	for len(state.unsentParts) > 0 && (state.awaitingFirstAck || state.budgetBytes >= min(budgetBurstBytes, float64(state.unsentParts[0].Size()))) {
		p := state.unsentParts[0]
		state.unsentParts = state.unsentParts[1:]
		if !state.awaitingFirstAck {
			state.budgetBytes -= float64(p.Size())
		}
		out = append(out, OutgoingDelta{Agent: state.agent, Delta: p})
		state.ackDeadline = now.Add(resendTimeout)
	}
	return out
}

// prepareDelta builds the next delta once the previous one is acknowledged or its
// acknowledgement has timed out.
func (d *Distributor) prepareDelta(state *agentState, now time.Time) {
	if state.unacknowledged && (len(state.unsentParts) > 0 || now.Before(state.ackDeadline)) {
		return
	}
	state.unacknowledged = false
	if state.ackedRevision >= d.replica.revision && !state.sendFull {
		return
	}
	state.unsentParts = d.replica.Delta(state.view, state.ackedRevision, state.sendFull)
	state.sendFull, state.unacknowledged = false, true
	state.ackDeadline = now.Add(resendTimeout)
}

func (state *agentState) refill(now time.Time) {
	state.budgetBytes = min(budgetBurstBytes, state.budgetBytes+BudgetBytesPerSecond*oleandervalve.Elapsed(now, state.budgetUpdatedAt).Seconds())
	state.budgetUpdatedAt = now
}

// AgentRevision is the revision that a lagging agent has applied.
type AgentRevision struct {
	Agent    oleandervalve.AgentID  `json:"agent"`
	Revision oleandervalve.Revision `json:"revision"`
	// LagMS is the time in milliseconds for which the agent has been lagging.
	LagMS int64 `json:"behindMs"`
}

// RolloutStatus reports how far the entry's revision has been rolled out to its agents.
type RolloutStatus struct {
	Revision oleandervalve.Revision `json:"revision"`
	Agents   int                    `json:"agents"`
	Applied  int                    `json:"inForce"`
	Lowest   oleandervalve.Revision `json:"lowest"`
	// Lagging lists the agents with the lowest revisions, at most 20.
	Lagging []AgentRevision `json:"behind,omitempty"`
}

// RolloutStatus returns the status of the rollout of the entry's revision.
func (d *Distributor) RolloutStatus(now time.Time) RolloutStatus {
	s := RolloutStatus{Revision: d.replica.revision, Agents: len(d.sortedAgents), Lowest: d.replica.revision}
	for _, state := range d.sortedAgents {
		if state.ackedRevision >= s.Revision {
			s.Applied++
			continue
		}
		s.Lowest = min(s.Lowest, state.ackedRevision)
		s.Lagging = append(s.Lagging, AgentRevision{state.agent, state.ackedRevision, oleandervalve.Elapsed(now, state.laggingSince).Milliseconds()})
	}
	slices.SortFunc(s.Lagging, func(x, y AgentRevision) int {
		if x.Revision != y.Revision {
			return int(int64(x.Revision) - int64(y.Revision))
		}
		return strings.Compare(string(x.Agent), string(y.Agent))
	})
	s.Lagging = s.Lagging[:min(len(s.Lagging), maxLagging)]
	return s
}
