package endpoint

import (
	"sort"
	"time"

	"oleandervalve"
)

const (
	// SuspectAfter is the time without a heartbeat after which an agent gets no new work.
	SuspectAfter = 3 * time.Second
	// rememberHealth is how long the health of an endpoint without a connection is kept.
	rememberHealth = 15 * time.Minute
	// equalScore is the ratio of scores within which two endpoints count as equal.
	equalScore = 1.1
)

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
	// Class is the class that the credit was granted for; empty means any. It
	// is lent to another class only when that class no longer waits.
	Class   oleandervalve.ClassName
	expires time.Time
}

type agentView struct {
	id        oleandervalve.AgentID
	epoch     oleandervalve.ConnectionEpoch
	location  oleandervalve.Location
	lastHeard time.Time
	draining  bool
	endpoints map[oleandervalve.EndpointID]*endpointView
	// list holds the endpoints by id.
	list []*endpointView
	// told is the demand that the agent was last told, next what it will be told.
	told, next []ClassDemand
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
	// used is the sequence number of the last use, for turns between equals.
	used uint64
}

func (x *endpointView) dropExpired(now time.Time) (out []heldCredit) {
	keep := x.credits[:0]
	for _, c := range x.credits {
		if c.expires.After(now) {
			keep = append(keep, c)
		} else {
			out = append(out, c)
		}
	}
	x.credits = keep
	return out
}

// Directory is an entry's view of the agents connected to it.
type Directory struct {
	location oleandervalve.Location
	agents   map[oleandervalve.AgentID]*agentView
	order    []*agentView
	health   map[oleandervalve.EndpointID]*health
	// services lists the endpoints of each service by id, without leaving ones.
	services map[oleandervalve.ServiceName][]*endpointView
	offsets  map[demandKey]*demandOffset
	uses     uint64
	round    uint64

	scratch      []float64
	agentScratch []*agentView
}

// Option changes a new directory.
type Option func(*Directory)

// WithLocation tells where the entry stands, so that it prefers its own data centre.
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

// Connect records a new connection of an agent; it replaces an older one with
// its endpoints and credits.
func (d *Directory) Connect(now time.Time, a oleandervalve.AgentID, e oleandervalve.ConnectionEpoch, l oleandervalve.Location) {
	if d.current(a, e) != nil {
		return
	}
	d.agents[a] = &agentView{
		id: a, epoch: e, location: l, lastHeard: now,
		endpoints: map[oleandervalve.EndpointID]*endpointView{},
	}
	d.rebuild()
}

// Disconnect forgets a connection; an older epoch than the current one is ignored.
func (d *Directory) Disconnect(a oleandervalve.AgentID, e oleandervalve.ConnectionEpoch) {
	if d.current(a, e) != nil {
		delete(d.agents, a)
		d.rebuild()
	}
}

func (d *Directory) current(a oleandervalve.AgentID, e oleandervalve.ConnectionEpoch) *agentView {
	if v := d.agents[a]; v != nil && v.epoch == e {
		return v
	}
	return nil
}

// rebuild sorts the agents and the endpoints of each service.
func (d *Directory) rebuild() {
	d.order = d.order[:0]
	for _, v := range d.agents {
		d.order = append(d.order, v)
	}
	sort.Slice(d.order, func(i, j int) bool { return d.order[i].id < d.order[j].id })
	d.services = map[oleandervalve.ServiceName][]*endpointView{}
	for _, v := range d.order {
		for _, x := range v.list {
			if !x.status.Leaving {
				d.services[x.status.Service] = append(d.services[x.status.Service], x)
			}
		}
	}
	for _, list := range d.services {
		sort.SliceStable(list, func(i, j int) bool { return list[i].status.Endpoint < list[j].status.Endpoint })
	}
}

// sort lists an agent's endpoints by id.
func (v *agentView) sort() {
	v.list = v.list[:0]
	for _, x := range v.endpoints {
		v.list = append(v.list, x)
	}
	sort.Slice(v.list, func(i, j int) bool { return v.list[i].status.Endpoint < v.list[j].status.Endpoint })
}

// Heartbeat records a sign of life.
func (d *Directory) Heartbeat(now time.Time, a oleandervalve.AgentID, e oleandervalve.ConnectionEpoch) {
	if v := d.current(a, e); v != nil {
		v.lastHeard = now
	}
}

// Draining records that an agent takes no new work; its credits are void.
func (d *Directory) Draining(a oleandervalve.AgentID, e oleandervalve.ConnectionEpoch) {
	v := d.current(a, e)
	if v == nil {
		return
	}
	v.draining = true
	for _, x := range v.endpoints {
		x.status.Leaving, x.credits = true, nil
	}
	d.rebuild()
}

// Update records an agent's endpoints; a full list replaces the earlier one.
func (d *Directory) Update(now time.Time, a oleandervalve.AgentID, e oleandervalve.ConnectionEpoch, full bool, list []Status) {
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
		s.Leaving = s.Leaving || v.draining
		x := v.endpoints[s.Endpoint]
		if x == nil {
			x = &endpointView{agent: v, health: d.healthOf(now, s.Endpoint)}
			v.endpoints[s.Endpoint] = x
		}
		x.status = s
		if s.Leaving {
			x.credits = nil
		}
	}
	for id := range v.endpoints {
		if full && !listed[id] {
			delete(v.endpoints, id)
		}
	}
	v.sort()
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

// Credit adds credits granted by an agent; a count of 0 renews the unexpired
// credits held for the endpoint. Credits for an endpoint that the agent has not
// listed are returned, so that the agent grants them again later.
func (d *Directory) Credit(now time.Time, a oleandervalve.AgentID, e oleandervalve.ConnectionEpoch,
	id oleandervalve.EndpointID, class oleandervalve.ClassName, count int, validFor time.Duration,
) []CreditReturn {
	v := d.current(a, e)
	if v == nil {
		return nil
	}
	x := v.endpoints[id]
	switch {
	case x == nil && count > 0:
		return []CreditReturn{{Agent: a, Epoch: e, Endpoint: id, Class: class, Count: count}}
	case x == nil || x.status.Leaving:
		return nil
	}
	for range count {
		x.credits = append(x.credits, heldCredit{class: class, expires: now.Add(validFor)})
	}
	for i := range x.credits {
		if c := &x.credits[i]; count == 0 && c.expires.After(now) {
			c.expires = now.Add(validFor)
		}
	}
	return nil
}

// Take uses one credit for a service and returns where the request goes.
func (d *Directory) Take(now time.Time, service oleandervalve.ServiceName) (Assignment, bool) {
	lowest := 0.0
	found := false
	for _, x := range d.services[service] {
		if s := x.score(); d.usable(now, x) && (!found || s < lowest) {
			lowest, found = s, true
		}
	}
	if !found {
		return Assignment{}, false
	}
	var best *endpointView
	for _, x := range d.services[service] {
		if x.score() <= lowest*equalScore && d.usable(now, x) && (best == nil || d.preferred(x, best)) {
			best = x
		}
	}
	c := best.credits[0]
	best.credits = append(best.credits[:0], best.credits[1:]...)
	best.inFlight++
	d.uses++
	best.used = d.uses
	if best.health.state == ejected {
		best.health.state = probing
	}
	return Assignment{
		Agent: best.agent.id, Epoch: best.agent.epoch,
		Endpoint: best.status.Endpoint, Class: c.class, expires: c.expires,
	}, true
}

// usable reports whether an endpoint has an unexpired credit and may get work.
func (d *Directory) usable(now time.Time, x *endpointView) bool {
	if len(x.credits) == 0 || x.status.Leaving || now.Sub(x.agent.lastHeard) >= SuspectAfter || !x.health.allows(now, x.inFlight) {
		return false
	}
	if !x.credits[0].expires.After(now) {
		// Expire returns the credits; here they only must not be used.
		for i, c := range x.credits {
			if c.expires.After(now) {
				x.credits[0], x.credits[i] = c, x.credits[0]
				return true
			}
		}
		return false
	}
	return true
}

// score is the expected cost of one more request: the measured latency, more
// for each of the entry's own requests in flight there.
func (x *endpointView) score() float64 {
	latency := slowFloor.Seconds()
	if x.health.samples > 0 {
		latency = max(x.health.latency, 0.0001)
	}
	return latency * (1 + float64(x.inFlight)/float64(max(1, x.status.Slots)))
}

func (d *Directory) preferred(x, o *endpointView) bool {
	if near, other := x.agent.location.DataCentre == d.location.DataCentre, o.agent.location.DataCentre == d.location.DataCentre; near != other {
		return near
	}
	if len(x.credits) != len(o.credits) {
		return len(x.credits) > len(o.credits)
	}
	return x.used < o.used
}

func (d *Directory) find(a Assignment) *endpointView {
	if v := d.current(a.Agent, a.Epoch); v != nil {
		return v.endpoints[a.Endpoint]
	}
	return nil
}

// Restore puts back a credit that was taken and not used.
func (d *Directory) Restore(now time.Time, a Assignment) {
	x := d.find(a)
	if x == nil {
		return
	}
	x.inFlight = max(0, x.inFlight-1)
	if x.health.state == probing && x.health.succeeded == 0 && x.inFlight == 0 {
		x.health.state = ejected
	}
	if !x.status.Leaving && a.expires.After(now) {
		x.credits = append(x.credits, heldCredit{class: a.Class, expires: a.expires})
	}
}

// Refused records that the agent refused a request or confirmed its withdrawal
// before it ran, which says nothing about the endpoint's health.
func (d *Directory) Refused(a Assignment) {
	if x := d.find(a); x != nil {
		x.inFlight = max(0, x.inFlight-1)
	}
}

// Result records the end of a request at an endpoint.
func (d *Directory) Result(now time.Time, a Assignment, ok bool, latency time.Duration) {
	x := d.find(a)
	if x == nil {
		return
	}
	x.inFlight = max(0, x.inFlight-1)
	x.health.observe(now, ok, latency)
	d.judge(now, x, x.health, ok)
}

// Available counts the unexpired credits for a service that may be used now.
func (d *Directory) Available(now time.Time, service oleandervalve.ServiceName) int {
	n := 0
	for _, x := range d.services[service] {
		if !d.usable(now, x) {
			continue
		}
		if x.health.state != healthy {
			n++
			continue
		}
		for _, c := range x.credits {
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
	for _, x := range d.services[service] {
		n += x.status.Slots
	}
	return n
}
