package endpoint

import (
	"math/bits"
	"sort"
	"time"

	"oleandervalve"
	"oleandervalve/core/credit"
)

// demandSpread is the number of agents that are told of each waiting request:
// more find a free slot sooner, but each slot beyond the first is granted in
// vain and idle for a round trip.
const demandSpread = 3

// CreditReturn gives credits back to an agent.
type CreditReturn struct {
	Agent    oleandervalve.AgentID
	Epoch    oleandervalve.ConnectionEpoch
	Endpoint oleandervalve.EndpointID
	// Class is the class that the credits were granted for; empty means any.
	Class oleandervalve.ClassName
	Count int
}

// ClassDemand counts the requests of one class that wait for a service.
type ClassDemand = credit.Demand

// AgentDemand is the whole demand that an agent is told; it replaces the earlier one.
type AgentDemand struct {
	Agent   oleandervalve.AgentID
	Epoch   oleandervalve.ConnectionEpoch
	Classes []ClassDemand
}

type demandKey struct {
	service oleandervalve.ServiceName
	class   oleandervalve.ClassName
}

// demandOffset tells which agent hears first of a class's demand, and in which
// round of Demands the class waited last.
type demandOffset struct {
	start int
	round uint64
}

// returns groups credits of one endpoint by class, in the order of their names.
// The agent takes a return of credits for a class as the end of the demand for it.
func (x *endpointView) returns(list []heldCredit) []CreditReturn {
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
			Agent: x.agent.id, Epoch: x.agent.epoch, Endpoint: x.status.Endpoint, Class: c.class, Count: 1,
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Class < out[j].Class })
	for _, r := range out {
		x.agent.forget(x.status.Service, r.Class)
	}
	return out
}

// Revoke gives back up to count unused credits of an endpoint, those for any
// class first; the answer has at least one element, with count 0 if none is left.
func (d *Directory) Revoke(now time.Time, a oleandervalve.AgentID, e oleandervalve.ConnectionEpoch,
	id oleandervalve.EndpointID, count int,
) []CreditReturn {
	none := []CreditReturn{{Agent: a, Epoch: e, Endpoint: id}}
	v := d.current(a, e)
	if v == nil || v.endpoints[id] == nil {
		return none
	}
	x := v.endpoints[id]
	sort.SliceStable(x.credits, func(i, j int) bool { return x.credits[i].class == "" && x.credits[j].class != "" })
	n := min(max(0, count), len(x.credits))
	if n == 0 {
		return none
	}
	out := x.returns(x.credits[:n])
	x.credits = append(x.credits[:0], x.credits[n:]...)
	return out
}

// Expire drops credits past their validity and returns them, so that the agent
// need not wait for its safety margin.
func (d *Directory) Expire(now time.Time) []CreditReturn {
	var out []CreditReturn
	for _, v := range d.order {
		for _, x := range v.list {
			out = append(out, x.returns(x.dropExpired(now))...)
		}
	}
	for id, h := range d.health {
		if now.Sub(h.lastSeen) > rememberHealth && !d.known(id) {
			delete(d.health, id)
		}
	}
	return out
}

func (d *Directory) known(id oleandervalve.EndpointID) bool {
	for _, v := range d.order {
		if v.endpoints[id] != nil {
			return true
		}
	}
	return false
}

// Surplus drops and returns the credits for a service that were granted for a
// class. It is called after each dispatch, when nothing waits or no usable
// credit is left: these credits are of no use here, while other entries may
// need them.
// Credits for any class stay, so that the next request needs no round trip.
func (d *Directory) Surplus(service oleandervalve.ServiceName) []CreditReturn {
	var out []CreditReturn
	for _, x := range d.services[service] {
		if !x.hasClassCredit() {
			continue
		}
		var give []heldCredit
		keep := x.credits[:0]
		for _, c := range x.credits {
			if c.class == "" {
				keep = append(keep, c)
			} else {
				give = append(give, c)
			}
		}
		x.credits = keep
		out = append(out, x.returns(give)...)
	}
	return out
}

// hasClassCredit reports whether any credit was granted for a class. Most of
// the time none was, and then nothing has to be rebuilt.
func (x *endpointView) hasClassCredit() bool {
	for i := range x.credits {
		if x.credits[i].class != "" {
			return true
		}
	}
	return false
}

// forget notes that the agent has no demand for a class any more, so that
// Demands tells it anew if requests wait.
func (v *agentView) forget(s oleandervalve.ServiceName, c oleandervalve.ClassName) {
	for i, t := range v.told {
		if t.Service == s && t.Class == c {
			v.told = append(v.told[:i:i], v.told[i+1:]...)
			return
		}
	}
}

// Demands splits what waits over the agents and returns the demand of those
// for which it changed. Each waiting request is told to demandSpread agents,
// and no agent is told of more than twice its slots, so that a long queue
// doesn't cause a message for every change of its length.
func (d *Directory) Demands(now time.Time, list []ClassDemand) []AgentDemand {
	d.round++
	for _, v := range d.order {
		v.next = v.next[:0]
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
		if o.round != d.round-1 {
			// Nothing waited before: begin with other agents this time.
			o.start += demandSpread
		}
		o.round = d.round
		d.spread(now, c, o.start)
	}
	var out []AgentDemand
	for _, v := range d.order {
		if equalDemand(v.told, v.next) {
			continue
		}
		v.told = append(v.told[:0], v.next...)
		out = append(out, AgentDemand{Agent: v.id, Epoch: v.epoch, Classes: append([]ClassDemand(nil), v.told...)})
	}
	return out
}

// spread adds the demand of one class to what the agents are told next.
func (d *Directory) spread(now time.Time, c ClassDemand, start int) {
	agents := d.reachable(now, c.Service)
	if len(agents) == 0 {
		return
	}
	total := c.Waiting * min(demandSpread, len(agents))
	for i := range agents {
		v := agents[(start+i)%len(agents)]
		n := total / len(agents)
		if i < total%len(agents) {
			n++
		}
		if n = min(n, 2*v.slots(c.Service)); n > 0 {
			v.next = append(v.next, ClassDemand{Service: c.Service, Class: c.Class, Waiting: n, Teams: coarse(c.Teams)})
		}
	}
}

// coarse rounds a count down to a power of two, so that small changes cause no message.
func coarse(n int) int {
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

// reachable lists the agents that may get requests of a service, by id.
func (d *Directory) reachable(now time.Time, s oleandervalve.ServiceName) []*agentView {
	d.agentScratch = d.agentScratch[:0]
	for _, v := range d.order {
		if v.draining || now.Sub(v.lastHeard) >= SuspectAfter {
			continue
		}
		for _, x := range v.list {
			if x.status.Service == s && !x.status.Leaving && x.health.allows(now, x.inFlight) {
				d.agentScratch = append(d.agentScratch, v)
				break
			}
		}
	}
	return d.agentScratch
}

func (v *agentView) slots(s oleandervalve.ServiceName) int {
	n := 0
	for _, x := range v.list {
		if x.status.Service == s && !x.status.Leaving {
			n += x.status.Slots
		}
	}
	return n
}
