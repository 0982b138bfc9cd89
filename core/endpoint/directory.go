package endpoint

import (
	"sort"
	"time"

	"oleandervalve"
)

const (
	// SuspectAfter is the time without a heartbeat after which an agent gets no new work.
	SuspectAfter = 3 * time.Second
	// healthRetention is how long the health of an endpoint is kept while no
	// connected agent lists it.
	healthRetention = 15 * time.Minute
	// scoreTolerance is the ratio of scores up to which two endpoints count as
	// equal.
	scoreTolerance = 1.1
)

// Status describes one endpoint of an agent.
type Status struct {
	Endpoint oleandervalve.EndpointID
	Service  oleandervalve.ServiceName
	Slots    int
	Leaving  bool
	Removed  bool
	Labels   map[string]string
}

// Assignment identifies the endpoint that a request is sent to, and the credit
// used for it.
type Assignment struct {
	Agent    oleandervalve.AgentID
	Epoch    oleandervalve.ConnectionEpoch
	Endpoint oleandervalve.EndpointID
	// Class is the class that the credit was granted for; empty means any.
	// Another class may use the credit only if no request of this class waits.
	Class   oleandervalve.ClassName
	expires time.Time
}

type agentView struct {
	id            oleandervalve.AgentID
	epoch         oleandervalve.ConnectionEpoch
	location      oleandervalve.Location
	lastHeartbeat time.Time
	draining      bool
	endpoints     map[oleandervalve.EndpointID]*endpointView
	// sortedEndpoints holds the endpoints sorted by id.
	sortedEndpoints []*endpointView
	// sentDemand is the demand last sent to the agent, nextDemand the one to
	// send next.
	sentDemand, nextDemand []ClassDemand
}

type heldCredit struct {
	class   oleandervalve.ClassName
	expires time.Time
}

type endpointView struct {
	status   Status
	agent    *agentView
	health   *health
	credits  []heldCredit
	inFlight int
	// lastUse is the sequence number of the last use, so that equal endpoints
	// take turns.
	lastUse uint64
}

func (ep *endpointView) dropExpired(now time.Time) (out []heldCredit) {
	keep := ep.credits[:0]
	for _, c := range ep.credits {
		if c.expires.After(now) {
			keep = append(keep, c)
		} else {
			out = append(out, c)
		}
	}
	ep.credits = keep
	return out
}

// Directory is an entry's view of the agents connected to it.
type Directory struct {
	location     oleandervalve.Location
	agents       map[oleandervalve.AgentID]*agentView
	sortedAgents []*agentView
	health       map[oleandervalve.EndpointID]*health
	// services holds the endpoints of each service that are neither leaving nor in
	// an evacuated data centre, sorted by id.
	services map[oleandervalve.ServiceName][]*endpointView
	// evacuated holds the evacuated data centres.
	evacuated   map[oleandervalve.DataCentreID]bool
	offsets     map[demandKey]*demandOffset
	useCount    uint64
	demandRound uint64

	latencyBuffer []float64
	agentBuffer   []*agentView
}

// Option configures a new directory.
type Option func(*Directory)

// WithLocation sets the location of the entry, so that it prefers endpoints in
// its own data centre.
func WithLocation(l oleandervalve.Location) Option {
	return func(d *Directory) { d.location = l }
}

// NewDirectory returns an empty directory.
func NewDirectory(options ...Option) *Directory {
	d := &Directory{
		agents:   map[oleandervalve.AgentID]*agentView{},
		health:   map[oleandervalve.EndpointID]*health{},
		services: map[oleandervalve.ServiceName][]*endpointView{},
		offsets:  map[demandKey]*demandOffset{},
	}
	for _, o := range options {
		o(d)
	}
	return d
}

// Connect records a new connection of an agent. An older connection is removed
// with its endpoints and credits.
func (d *Directory) Connect(now time.Time, a oleandervalve.AgentID, e oleandervalve.ConnectionEpoch, l oleandervalve.Location) {
	if d.agentAtEpoch(a, e) != nil {
		return
	}
	d.agents[a] = &agentView{
		id: a, epoch: e, location: l, lastHeartbeat: now,
		endpoints: map[oleandervalve.EndpointID]*endpointView{},
	}
	d.rebuild()
}

// Disconnect removes an agent's connection; a call for an older epoch is
// ignored.
func (d *Directory) Disconnect(a oleandervalve.AgentID, e oleandervalve.ConnectionEpoch) {
	if d.agentAtEpoch(a, e) != nil {
		delete(d.agents, a)
		d.rebuild()
	}
}

// agentAtEpoch returns an agent if its current connection has the epoch,
// otherwise nil.
func (d *Directory) agentAtEpoch(a oleandervalve.AgentID, e oleandervalve.ConnectionEpoch) *agentView {
	if agent := d.agents[a]; agent != nil && agent.epoch == e {
		return agent
	}
	return nil
}

// rebuild updates the sorted lists of agents and of the endpoints of each
// service.
func (d *Directory) rebuild() {
	d.sortedAgents = d.sortedAgents[:0]
	for _, agent := range d.agents {
		d.sortedAgents = append(d.sortedAgents, agent)
	}
	sort.Slice(d.sortedAgents, func(i, j int) bool { return d.sortedAgents[i].id < d.sortedAgents[j].id })
	d.services = map[oleandervalve.ServiceName][]*endpointView{}
	for _, agent := range d.sortedAgents {
		if d.evacuated[agent.location.DataCentre] {
			continue
		}
		for _, ep := range agent.sortedEndpoints {
			if !ep.status.Leaving {
				d.services[ep.status.Service] = append(d.services[ep.status.Service], ep)
			}
		}
	}
	for _, list := range d.services {
		sort.SliceStable(list, func(i, j int) bool { return list[i].status.Endpoint < list[j].status.Endpoint })
	}
}

// sortEndpoints updates the sorted list of an agent's endpoints.
func (agent *agentView) sortEndpoints() {
	agent.sortedEndpoints = agent.sortedEndpoints[:0]
	for _, ep := range agent.endpoints {
		agent.sortedEndpoints = append(agent.sortedEndpoints, ep)
	}
	sort.Slice(agent.sortedEndpoints, func(i, j int) bool {
		return agent.sortedEndpoints[i].status.Endpoint < agent.sortedEndpoints[j].status.Endpoint
	})
}

// Heartbeat records a heartbeat from an agent.
func (d *Directory) Heartbeat(now time.Time, a oleandervalve.AgentID, e oleandervalve.ConnectionEpoch) {
	if agent := d.agentAtEpoch(a, e); agent != nil {
		agent.lastHeartbeat = now
	}
}

// SetDraining records that an agent accepts no new work, which invalidates its
// credits.
func (d *Directory) SetDraining(a oleandervalve.AgentID, e oleandervalve.ConnectionEpoch) {
	agent := d.agentAtEpoch(a, e)
	if agent == nil {
		return
	}
	agent.draining = true
	for _, ep := range agent.endpoints {
		ep.status.Leaving, ep.credits = true, nil
	}
	d.rebuild()
}

// Update records the status of an agent's endpoints; a full list replaces the
// previous one.
func (d *Directory) Update(now time.Time, a oleandervalve.AgentID, e oleandervalve.ConnectionEpoch, full bool, list []Status) {
	agent := d.agentAtEpoch(a, e)
	if agent == nil {
		return
	}
	listed := map[oleandervalve.EndpointID]bool{}
	for _, s := range list {
		listed[s.Endpoint] = true
		if s.Removed {
			delete(agent.endpoints, s.Endpoint)
			continue
		}
		s.Leaving = s.Leaving || agent.draining
		ep := agent.endpoints[s.Endpoint]
		if ep == nil {
			ep = &endpointView{agent: agent, health: d.healthOf(now, s.Endpoint)}
			agent.endpoints[s.Endpoint] = ep
		}
		ep.status = s
		if s.Leaving {
			ep.credits = nil
		}
	}
	for id := range agent.endpoints {
		if full && !listed[id] {
			delete(agent.endpoints, id)
		}
	}
	agent.sortEndpoints()
	d.rebuild()
}

func (d *Directory) healthOf(now time.Time, id oleandervalve.EndpointID) *health {
	h := d.health[id]
	if h == nil {
		h = &health{}
		d.health[id] = h
	}
	h.lastSeen = now
	return h
}

// AddCredits adds credits granted by an agent. A count of 0 renews the
// unexpired credits held for the endpoint instead. Credits for an endpoint that
// the agent has not listed are returned, so that the agent grants them again
// later.
func (d *Directory) AddCredits(now time.Time, a oleandervalve.AgentID, e oleandervalve.ConnectionEpoch,
	id oleandervalve.EndpointID, class oleandervalve.ClassName, count int, validFor time.Duration,
) []CreditReturn {
	agent := d.agentAtEpoch(a, e)
	if agent == nil {
		return nil
	}
	ep := agent.endpoints[id]
	switch {
	case ep == nil && count > 0:
		return []CreditReturn{{Agent: a, Epoch: e, Endpoint: id, Class: class, Count: count}}
	case ep == nil || ep.status.Leaving:
		return nil
	}
	for range count {
		ep.credits = append(ep.credits, heldCredit{class: class, expires: now.Add(validFor)})
	}
	for i := range ep.credits {
		if c := &ep.credits[i]; count == 0 && c.expires.After(now) {
			c.expires = now.Add(validFor)
		}
	}
	return nil
}

// Take uses one credit for a service and returns the endpoint for the request,
// or false if no credit is usable.
func (d *Directory) Take(now time.Time, service oleandervalve.ServiceName) (Assignment, bool) {
	lowest := 0.0
	found := false
	for _, ep := range d.services[service] {
		if s := ep.score(); d.usable(now, ep) && (!found || s < lowest) {
			lowest, found = s, true
		}
	}
	if !found {
		return Assignment{}, false
	}
	var best *endpointView
	for _, ep := range d.services[service] {
		if ep.score() <= lowest*scoreTolerance && d.usable(now, ep) && (best == nil || d.isPreferred(ep, best)) {
			best = ep
		}
	}
	c := best.credits[0]
	best.credits = append(best.credits[:0], best.credits[1:]...)
	best.inFlight++
	d.useCount++
	best.lastUse = d.useCount
	if best.health.state == ejected {
		best.health.state = probing
	}
	return Assignment{
		Agent: best.agent.id, Epoch: best.agent.epoch,
		Endpoint: best.status.Endpoint, Class: c.class, expires: c.expires,
	}, true
}

// usable reports whether an endpoint has an unexpired credit and may get work.
// It swaps an unexpired credit to the front of the list, from which Take
// removes it.
func (d *Directory) usable(now time.Time, ep *endpointView) bool {
	if len(ep.credits) == 0 || ep.status.Leaving || now.Sub(ep.agent.lastHeartbeat) >= SuspectAfter || !ep.health.allows(now, ep.inFlight) {
		return false
	}
	if !ep.credits[0].expires.After(now) {
		// Expired credits stay in the list until Expire returns them to the agent.
		for i, c := range ep.credits {
			if c.expires.After(now) {
				ep.credits[0], ep.credits[i] = c, ep.credits[0]
				return true
			}
		}
		return false
	}
	return true
}

// score is the expected cost of one more request: the measured latency,
// increased by each request of this entry that is in flight to the endpoint.
func (ep *endpointView) score() float64 {
	latency := minSlowLatency.Seconds()
	if ep.health.samples > 0 {
		latency = max(ep.health.latency, 0.0001)
	}
	return latency * (1 + float64(ep.inFlight)/float64(max(1, ep.status.Slots)))
}

// isPreferred compares endpoints of about equal score. It prefers those in the
// entry's own data centre, then those with more credits, then the one used
// least recently.
func (d *Directory) isPreferred(a, b *endpointView) bool {
	if aNear, bNear := a.agent.location.DataCentre == d.location.DataCentre, b.agent.location.DataCentre == d.location.DataCentre; aNear != bNear {
		return aNear
	}
	if len(a.credits) != len(b.credits) {
		return len(a.credits) > len(b.credits)
	}
	return a.lastUse < b.lastUse
}

func (d *Directory) find(a Assignment) *endpointView {
	if agent := d.agentAtEpoch(a.Agent, a.Epoch); agent != nil {
		return agent.endpoints[a.Endpoint]
	}
	return nil
}

// Restore puts back a credit that was taken but not used.
func (d *Directory) Restore(now time.Time, a Assignment) {
	ep := d.find(a)
	if ep == nil {
		return
	}
	ep.inFlight = max(0, ep.inFlight-1)
	if ep.health.state == probing && ep.health.successes == 0 && ep.inFlight == 0 {
		ep.health.state = ejected
	}
	if !ep.status.Leaving && a.expires.After(now) {
		ep.credits = append(ep.credits, heldCredit{class: a.Class, expires: a.expires})
	}
}

// RecordRefusal records that the agent refused a request or confirmed that it
// was withdrawn before it ran. This doesn't affect the endpoint's health.
func (d *Directory) RecordRefusal(a Assignment) {
	if ep := d.find(a); ep != nil {
		ep.inFlight = max(0, ep.inFlight-1)
	}
}

// RecordResult records the result of a request that was sent to an endpoint.
func (d *Directory) RecordResult(now time.Time, a Assignment, ok bool, latency time.Duration) {
	ep := d.find(a)
	if ep == nil {
		return
	}
	ep.inFlight = max(0, ep.inFlight-1)
	ep.health.observe(now, ok, latency)
	d.updateEjection(now, ep, ep.health, ok)
}

// AvailableCredits counts the unexpired credits for a service that may be used
// now. An endpoint that is ejected or probed counts as one, because it gets one
// request at a time.
func (d *Directory) AvailableCredits(now time.Time, service oleandervalve.ServiceName) int {
	n := 0
	for _, ep := range d.services[service] {
		if !d.usable(now, ep) {
			continue
		}
		if ep.health.state != healthy {
			n++
			continue
		}
		for _, c := range ep.credits {
			if c.expires.After(now) {
				n++
			}
		}
	}
	return n
}

// Slots counts the slots of a service's ready endpoints.
func (d *Directory) Slots(service oleandervalve.ServiceName) int {
	n := 0
	for _, ep := range d.services[service] {
		n += ep.status.Slots
	}
	return n
}
