package operator

import (
	"slices"
	"strings"
	"time"

	"oleandervalve"
)

const (
	// BudgetBytesPerSecond bounds the deltas sent to one agent. Heartbeats to
	// eight entries take about 1,760 B/s; with the burst, an agent stays under its
	// total of 4 KB in any second.
	BudgetBytesPerSecond = 1000
	// budgetBurst lets an ordinary change leave at once. A larger part is sent
	// when the whole burst is available, and leaves a debt.
	budgetBurst = 1200
	// resendAfter is how long an agent may take to acknowledge a whole delta.
	resendAfter = 3 * time.Second
	// maxBehind bounds the agents that a spread lists one by one.
	maxBehind = 20
)

// Send is one message that the entry has to send to an agent.
type Send struct {
	Agent oleandervalve.AgentID
	Delta Delta
}

// Distributor brings the agents of one entry to the entry's revision. Only
// agents that chose this entry as their source get deltas; otherwise each of
// eight entries would send them the same objects. It is not safe for concurrent use.
type Distributor struct {
	replica *Replica
	agents  map[oleandervalve.AgentID]*receiver
	// order holds the receivers in the order of their agents.
	order []*receiver
	// revision is the replica's revision at the last call of Next.
	revision oleandervalve.Revision
}

type receiver struct {
	agent      oleandervalve.AgentID
	view       View
	subscribed bool
	acked      oleandervalve.Revision
	full       bool
	// joining is true until the first acknowledgement. An agent that has just
	// started serves nothing, so its first snapshot is exempt from the budget.
	joining bool
	pending []Delta
	// outstanding is true from building a delta to its acknowledgement.
	outstanding bool
	deadline    time.Time
	budget      float64
	filledAt    time.Time
	behindSince time.Time
}

// NewDistributor returns a distributor of a replica's configuration.
func NewDistributor(r *Replica) *Distributor {
	return &Distributor{replica: r, agents: map[oleandervalve.AgentID]*receiver{}}
}

// Join adds an agent that connected with the given view and revision.
func (d *Distributor) Join(a oleandervalve.AgentID, v View, rev oleandervalve.Revision, now time.Time) {
	r := &receiver{agent: a, view: v, acked: rev, budget: budgetBurst, filledAt: now, behindSince: now}
	i, found := d.find(a)
	if found {
		d.order[i] = r
	} else {
		d.order = slices.Insert(d.order, i, r)
	}
	d.agents[a] = r
}

func (d *Distributor) find(a oleandervalve.AgentID) (int, bool) {
	return slices.BinarySearchFunc(d.order, a, func(r *receiver, a oleandervalve.AgentID) int {
		return strings.Compare(string(r.agent), string(a))
	})
}

// Leave removes an agent whose connection has ended.
func (d *Distributor) Leave(a oleandervalve.AgentID) {
	if i, ok := d.find(a); ok {
		d.order = slices.Delete(d.order, i, i+1)
		delete(d.agents, a)
	}
}

// Seen notes the revision in an agent's heartbeat.
func (d *Distributor) Seen(a oleandervalve.AgentID, rev oleandervalve.Revision) {
	r := d.agents[a]
	if r == nil || rev <= r.acked {
		return
	}
	r.acked = rev
}

// Acked notes an agent's acknowledgement. An agent with another digest at the
// entry's own revision gets everything again.
func (d *Distributor) Acked(a oleandervalve.AgentID, k Ack) {
	r := d.agents[a]
	if r == nil {
		return
	}
	d.Seen(a, k.Revision)
	r.joining = false
	if len(r.pending) == 0 {
		r.outstanding = false
	}
	if r.subscribed && k.Revision == d.replica.revision && k.Digest != d.replica.viewDigest(r.view) {
		r.full, r.outstanding, r.pending = true, false, nil
	}
}

// Resync starts, repeats or stops the sending of deltas to an agent.
func (d *Distributor) Resync(a oleandervalve.AgentID, q Resync) {
	r := d.agents[a]
	if r == nil {
		return
	}
	r.subscribed = !q.Stop
	r.acked, r.full = q.From, q.Full
	r.joining = r.joining || q.Full && q.From == 0
	r.pending, r.outstanding = nil, false
}

// Next returns the messages to send now, within each agent's budget. Call it
// after each change of the replica and several times a second.
func (d *Distributor) Next(now time.Time) []Send {
	if !d.replica.loaded {
		return nil
	}
	moved := d.replica.revision > d.revision
	var out []Send
	for _, r := range d.order {
		if moved && r.acked >= d.revision {
			r.behindSince = now
		}
		out = d.send(r, now, out)
	}
	d.revision = d.replica.revision
	return out
}

// NextFor returns the messages to send now to one agent; call it after the
// agent's acknowledgement or resync.
func (d *Distributor) NextFor(a oleandervalve.AgentID, now time.Time) []Send {
	r := d.agents[a]
	if r == nil || !d.replica.loaded {
		return nil
	}
	return d.send(r, now, nil)
}

func (d *Distributor) send(r *receiver, now time.Time, out []Send) []Send {
	if !r.subscribed {
		return out
	}
	d.plan(r, now)
	if len(r.pending) == 0 {
		return out
	}
	r.refill(now)
	for len(r.pending) > 0 && (r.joining || r.budget >= min(budgetBurst, float64(r.pending[0].Size()))) {
		p := r.pending[0]
		r.pending = r.pending[1:]
		if !r.joining {
			r.budget -= float64(p.Size())
		}
		out = append(out, Send{Agent: r.agent, Delta: p})
		r.deadline = now.Add(resendAfter)
	}
	return out
}

// plan builds the next delta once the earlier one is acknowledged or overdue.
func (d *Distributor) plan(r *receiver, now time.Time) {
	if r.outstanding && (len(r.pending) > 0 || now.Before(r.deadline)) {
		return
	}
	r.outstanding = false
	if r.acked >= d.replica.revision && !r.full {
		return
	}
	r.pending = d.replica.Delta(r.view, r.acked, r.full)
	r.full, r.outstanding = false, true
	r.deadline = now.Add(resendAfter)
}

func (r *receiver) refill(now time.Time) {
	r.budget = min(budgetBurst, r.budget+BudgetBytesPerSecond*oleandervalve.Elapsed(now, r.filledAt).Seconds())
	r.filledAt = now
}

// AgentRevision is the revision that one agent has in force.
type AgentRevision struct {
	Agent    oleandervalve.AgentID  `json:"agent"`
	Revision oleandervalve.Revision `json:"revision"`
	// BehindMS is how long the agent has been behind, in milliseconds.
	BehindMS int64 `json:"behindMs"`
}

// Spread says how far the configuration has spread among the agents of an entry.
type Spread struct {
	Revision oleandervalve.Revision `json:"revision"`
	Agents   int                    `json:"agents"`
	InForce  int                    `json:"inForce"`
	Lowest   oleandervalve.Revision `json:"lowest"`
	// Behind lists the agents that are furthest behind, at most twenty.
	Behind []AgentRevision `json:"behind,omitempty"`
}

// Spread returns how many agents have the entry's revision in force.
func (d *Distributor) Spread(now time.Time) Spread {
	s := Spread{Revision: d.replica.revision, Agents: len(d.order), Lowest: d.replica.revision}
	for _, r := range d.order {
		if r.acked >= s.Revision {
			s.InForce++
			continue
		}
		s.Lowest = min(s.Lowest, r.acked)
		s.Behind = append(s.Behind, AgentRevision{r.agent, r.acked, oleandervalve.Elapsed(now, r.behindSince).Milliseconds()})
	}
	slices.SortFunc(s.Behind, func(x, y AgentRevision) int {
		if x.Revision != y.Revision {
			return int(int64(x.Revision) - int64(y.Revision))
		}
		return strings.Compare(string(x.Agent), string(y.Agent))
	})
	s.Behind = s.Behind[:min(len(s.Behind), maxBehind)]
	return s
}
