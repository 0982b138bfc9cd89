package endpoint

import (
	"math/bits"
	"sort"
	"time"

	"oleandervalve"
	"oleandervalve/core/credit"
)

// demandFanout is the number of agents that each waiting request is reported
// to. A higher number finds a free slot sooner, but each credit granted beyond
// the first is unused and leaves its slot idle for a round trip.
const demandFanout = 3

// CreditReturn returns unused credits to an agent.
type CreditReturn struct {
	Agent    oleandervalve.AgentID
	Epoch    oleandervalve.ConnectionEpoch
	Endpoint oleandervalve.EndpointID
	// Class is the class that the credits were granted for; empty means any.
	Class oleandervalve.ClassName
	Count int
}

// ClassDemand counts the waiting requests of one class for a service.
type ClassDemand = credit.Demand

// AgentDemand is the complete demand reported to an agent; it replaces the
// previous one.
type AgentDemand struct {
	Agent   oleandervalve.AgentID
	Epoch   oleandervalve.ConnectionEpoch
	Classes []ClassDemand
}

type demandKey struct {
	service oleandervalve.ServiceName
	class   oleandervalve.ClassName
}

// demandOffset holds the index of the first agent that a class's demand is
// distributed to, and the last round of DemandUpdates in which requests of the
// class waited.
type demandOffset struct {
	firstAgent int
	lastRound  uint64
}

// groupReturns groups credits of one endpoint by class, sorted by class name.
// An agent treats the return of credits for a class as the end of the demand
// for that class, so groupReturns also removes the class from the demand sent
// to the agent.
func (ep *endpointView) groupReturns(list []heldCredit) []CreditReturn {
	var out []CreditReturn
next:
	for _, c := range list {
		for i := range out {
			if out[i].Class == c.class {
				out[i].Count++
				continue next
			}
		}
		out = append(out, CreditReturn{
			Agent: ep.agent.id, Epoch: ep.agent.epoch, Endpoint: ep.status.Endpoint, Class: c.class, Count: 1,
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Class < out[j].Class })
	for _, r := range out {
		ep.agent.removeSentDemand(ep.status.Service, r.Class)
	}
	return out
}

// Revoke returns up to count unused credits of an endpoint, those for any class
// first. The result has at least one element, whose count is 0 if no credit is
// left.
func (d *Directory) Revoke(now time.Time, a oleandervalve.AgentID, e oleandervalve.ConnectionEpoch,
	id oleandervalve.EndpointID, count int,
) []CreditReturn {
	none := []CreditReturn{{Agent: a, Epoch: e, Endpoint: id}}
	agent := d.agentAtEpoch(a, e)
	if agent == nil || agent.endpoints[id] == nil {
		return none
	}
	ep := agent.endpoints[id]
	sort.SliceStable(ep.credits, func(i, j int) bool { return ep.credits[i].class == "" && ep.credits[j].class != "" })
	n := min(max(0, count), len(ep.credits))
	if n == 0 {
		return none
	}
	out := ep.groupReturns(ep.credits[:n])
	ep.credits = append(ep.credits[:0], ep.credits[n:]...)
	return out
}

// Expire drops expired credits and returns them, so that the agent need not
// wait for its safety margin. It also discards old health records of endpoints
// that no connected agent lists.
func (d *Directory) Expire(now time.Time) []CreditReturn {
	var out []CreditReturn
	for _, agent := range d.sortedAgents {
		for _, ep := range agent.sortedEndpoints {
			out = append(out, ep.groupReturns(ep.dropExpired(now))...)
		}
	}
	for id, h := range d.health {
		if now.Sub(h.lastSeen) > healthRetention && !d.isListed(id) {
			delete(d.health, id)
		}
	}
	return out
}

func (d *Directory) isListed(id oleandervalve.EndpointID) bool {
	for _, agent := range d.sortedAgents {
		if agent.endpoints[id] != nil {
			return true
		}
	}
	return false
}

// TakeSurplus removes and returns the credits for a service that were granted
// for a class. It is called after each dispatch, when no request waits or no
// usable credit is left: this entry can't use these credits, while other
// entries may need them.
//
// Credits for any class are kept, so that the next request needs no round trip.
func (d *Directory) TakeSurplus(service oleandervalve.ServiceName) []CreditReturn {
	var out []CreditReturn
	for _, ep := range d.services[service] {
		if !ep.hasClassCredit() {
			continue
		}
		var surplus []heldCredit
		keep := ep.credits[:0]
		for _, c := range ep.credits {
			if c.class == "" {
				keep = append(keep, c)
			} else {
				surplus = append(surplus, c)
			}
		}
		ep.credits = keep
		out = append(out, ep.groupReturns(surplus)...)
	}
	return out
}

// hasClassCredit reports whether any held credit is granted for a class.
// Usually none is, and the list of credits need not be rebuilt.
func (ep *endpointView) hasClassCredit() bool {
	for i := range ep.credits {
		if ep.credits[i].class != "" {
			return true
		}
	}
	return false
}

// removeSentDemand records that the agent has no demand for a class any more,
// so that DemandUpdates reports the demand again if requests wait.
func (agent *agentView) removeSentDemand(s oleandervalve.ServiceName, c oleandervalve.ClassName) {
	for i, t := range agent.sentDemand {
		if t.Service == s && t.Class == c {
			agent.sentDemand = append(agent.sentDemand[:i:i], agent.sentDemand[i+1:]...)
			return
		}
	}
}

// DemandUpdates distributes the waiting requests over the agents and returns
// the demand of those agents for which it changed. Each waiting request is
// reported to demandFanout agents, and no agent gets a demand of more than
// twice its slots, so that a long queue doesn't cause a message for every
// change of its length.
func (d *Directory) DemandUpdates(now time.Time, list []ClassDemand) []AgentDemand {
	d.demandRound++
	for _, agent := range d.sortedAgents {
		agent.nextDemand = agent.nextDemand[:0]
	}
	for _, c := range list {
		if c.Waiting <= 0 {
			continue
		}
		k := demandKey{c.Service, c.Class}
		o := d.offsets[k]
		if o == nil {
			o = &demandOffset{}
			d.offsets[k] = o
		}
		if o.lastRound != d.demandRound-1 {
			// No request of the class waited in the last round: start with
			// other agents this time.
			o.firstAgent += demandFanout
		}
		o.lastRound = d.demandRound
		d.distributeDemand(now, c, o.firstAgent)
	}
	var out []AgentDemand
	for _, agent := range d.sortedAgents {
		if equalDemand(agent.sentDemand, agent.nextDemand) {
			continue
		}
		agent.sentDemand = append(agent.sentDemand[:0], agent.nextDemand...)
		out = append(out, AgentDemand{Agent: agent.id, Epoch: agent.epoch, Classes: append([]ClassDemand(nil), agent.sentDemand...)})
	}
	return out
}

// distributeDemand adds the demand of one class to nextDemand of the agents.
func (d *Directory) distributeDemand(now time.Time, c ClassDemand, start int) {
	agents := d.reachable(now, c.Service)
	if len(agents) == 0 {
		return
	}
	total := c.Waiting * min(demandFanout, len(agents))
	for i := range agents {
		agent := agents[(start+i)%len(agents)]
		n := total / len(agents)
		if i < total%len(agents) {
			n++
		}
		if n = min(n, 2*agent.slots(c.Service)); n > 0 {
			agent.nextDemand = append(agent.nextDemand, ClassDemand{Service: c.Service, Class: c.Class, Waiting: n, Teams: roundToPowerOfTwo(c.Teams)})
		}
	}
}

// roundToPowerOfTwo rounds a count down to a power of two, so that small changes cause no message.
func roundToPowerOfTwo(n int) int {
	if n <= 1 {
		return 1
	}
	return 1 << (bits.Len(uint(n)) - 1)
}

func equalDemand(a, b []ClassDemand) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// reachable lists the agents that may get requests for a service, sorted by id.
func (d *Directory) reachable(now time.Time, s oleandervalve.ServiceName) []*agentView {
	d.agentBuffer = d.agentBuffer[:0]
	for _, agent := range d.sortedAgents {
		if agent.draining || d.evacuated[agent.location.DataCentre] || now.Sub(agent.lastHeartbeat) >= SuspectAfter {
			continue
		}
		for _, ep := range agent.sortedEndpoints {
			if ep.status.Service == s && !ep.status.Leaving && ep.health.allows(now, ep.inFlight) {
				d.agentBuffer = append(d.agentBuffer, agent)
				break
			}
		}
	}
	return d.agentBuffer
}

func (agent *agentView) slots(s oleandervalve.ServiceName) int {
	n := 0
	for _, ep := range agent.sortedEndpoints {
		if ep.status.Service == s && !ep.status.Leaving {
			n += ep.status.Slots
		}
	}
	return n
}
