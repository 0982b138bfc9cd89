package endpoint

import (
	"sort"
	"time"

	"oleandervalve"
)

// SuspectAfter is the time without a heartbeat after which an agent gets no new work.
const SuspectAfter = 3 * time.Second

// Status describes one endpoint of an agent.
type Status struct {
	Endpoint oleandervalve.EndpointID
	Service  oleandervalve.ServiceName
	Slots    int
	Leaving  bool
	Gone     bool
	Labels   map[string]string
}

// Assignment names the endpoint that a request goes to.
type Assignment struct {
	Agent    oleandervalve.AgentID
	Epoch    oleandervalve.ConnectionEpoch
	Endpoint oleandervalve.EndpointID
	Class    oleandervalve.ClassName
}

// CreditReturn gives credits back to an agent.
type CreditReturn struct {
	Agent    oleandervalve.AgentID
	Epoch    oleandervalve.ConnectionEpoch
	Endpoint oleandervalve.EndpointID
	Count    int
}

type agentView struct {
	epoch     oleandervalve.ConnectionEpoch
	lastHeard time.Time
	endpoints map[oleandervalve.EndpointID]*endpointView
}

type credit struct {
	class   oleandervalve.ClassName
	expires time.Time
}

type endpointView struct {
	status  Status
	agent   oleandervalve.AgentID
	credits []credit
}

// Directory is an entry's view of the agents connected to it.
type Directory struct {
	agents map[oleandervalve.AgentID]*agentView
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{agents: map[oleandervalve.AgentID]*agentView{}}
}

// Connect records a new connection of an agent; it replaces an older one.
func (d *Directory) Connect(now time.Time, a oleandervalve.AgentID, e oleandervalve.ConnectionEpoch, _ oleandervalve.Location) {
	d.agents[a] = &agentView{epoch: e, lastHeard: now, endpoints: map[oleandervalve.EndpointID]*endpointView{}}
}

// Disconnect forgets a connection; an older epoch than the current one is ignored.
func (d *Directory) Disconnect(a oleandervalve.AgentID, e oleandervalve.ConnectionEpoch) {
	if v := d.current(a, e); v != nil {
		delete(d.agents, a)
	}
}

func (d *Directory) current(a oleandervalve.AgentID, e oleandervalve.ConnectionEpoch) *agentView {
	if v := d.agents[a]; v != nil && v.epoch == e {
		return v
	}
	return nil
}

// Heartbeat records a sign of life.
func (d *Directory) Heartbeat(now time.Time, a oleandervalve.AgentID, e oleandervalve.ConnectionEpoch) {
	if v := d.current(a, e); v != nil {
		v.lastHeard = now
	}
}

// Update records an agent's endpoints; a full list replaces the earlier one.
func (d *Directory) Update(_ time.Time, a oleandervalve.AgentID, e oleandervalve.ConnectionEpoch, full bool, list []Status) {
	v := d.current(a, e)
	if v == nil {
		return
	}
	listed := map[oleandervalve.EndpointID]bool{}
	for _, s := range list {
		listed[s.Endpoint] = true
		if s.Gone {
			delete(v.endpoints, s.Endpoint)
			continue
		}
		x := v.endpoints[s.Endpoint]
		if x == nil {
			x = &endpointView{agent: a}
			v.endpoints[s.Endpoint] = x
		}
		x.status = s
		if s.Leaving {
			x.credits = nil
		}
	}
	if !full {
		return
	}
	for id := range v.endpoints {
		if !listed[id] {
			delete(v.endpoints, id)
		}
	}
}

// Credit adds credits granted by an agent.
func (d *Directory) Credit(now time.Time, a oleandervalve.AgentID, e oleandervalve.ConnectionEpoch,
	id oleandervalve.EndpointID, class oleandervalve.ClassName, count int, validFor time.Duration,
) {
	v := d.current(a, e)
	if v == nil || v.endpoints[id] == nil || v.endpoints[id].status.Leaving {
		return
	}
	x := v.endpoints[id]
	for range count {
		x.credits = append(x.credits, credit{class: class, expires: now.Add(validFor)})
	}
}

// Take uses one credit for a service and returns where the request goes.
func (d *Directory) Take(now time.Time, service oleandervalve.ServiceName) (Assignment, bool) {
	var best *endpointView
	for _, x := range d.usable(now, service) {
		if best == nil || len(x.credits) > len(best.credits) {
			best = x
		}
	}
	if best == nil {
		return Assignment{}, false
	}
	c := best.credits[0]
	best.credits = best.credits[1:]
	return Assignment{
		Agent: best.agent, Epoch: d.agents[best.agent].epoch,
		Endpoint: best.status.Endpoint, Class: c.class,
	}, true
}

// usable lists the endpoints of a service with unexpired credits, in a fixed order.
func (d *Directory) usable(now time.Time, service oleandervalve.ServiceName) []*endpointView {
	var out []*endpointView
	for _, v := range d.agents {
		if now.Sub(v.lastHeard) >= SuspectAfter {
			continue
		}
		for _, x := range v.endpoints {
			for len(x.credits) > 0 && !x.credits[0].expires.After(now) {
				x.credits = x.credits[1:]
			}
			if x.status.Service == service && !x.status.Leaving && len(x.credits) > 0 {
				out = append(out, x)
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].status.Endpoint < out[j].status.Endpoint })
	return out
}

// Available counts the unexpired credits for a service.
func (d *Directory) Available(now time.Time, service oleandervalve.ServiceName) int {
	n := 0
	for _, x := range d.usable(now, service) {
		n += len(x.credits)
	}
	return n
}

// Slots counts the slots of a service's ready endpoints.
func (d *Directory) Slots(service oleandervalve.ServiceName) int {
	n := 0
	for _, v := range d.agents {
		for _, x := range v.endpoints {
			if x.status.Service == service && !x.status.Leaving {
				n += x.status.Slots
			}
		}
	}
	return n
}

// Result records the end of a request at an endpoint.
func (d *Directory) Result(_ time.Time, _ oleandervalve.EndpointID, _ bool, _ time.Duration) {}

// Expire drops credits past their validity and returns those to give back.
func (d *Directory) Expire(_ time.Time) []CreditReturn { return nil }
