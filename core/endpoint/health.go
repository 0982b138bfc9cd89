package endpoint

import (
	"math"
	"sort"
	"time"

	"oleandervalve"
)

const (
	// failuresToEject is the number of consecutive failures that ejects an endpoint.
	failuresToEject = 5
	// slowFactor is how far above the median of its service's endpoints the
	// latency of an endpoint ejects it.
	slowFactor = 3
	// slowFloor is the latency below which no endpoint counts as slow, so that
	// noise between fast endpoints ejects none.
	slowFloor = 5 * time.Millisecond
	// minSamples is the number of answers before a latency is compared.
	minSamples = 20
	// latencyWeight is the weight of the latest answer in the mean latency.
	latencyWeight = 0.1
	// ejectBase is the time of the first ejection; it doubles up to ejectMax.
	ejectBase = 5 * time.Second
	ejectMax  = 5 * time.Minute
	// probesToReturn is the number of successful probes before full return.
	probesToReturn = 3
	// forgiveAfter is the time in service after which an earlier ejection no
	// longer lengthens the next one.
	forgiveAfter = 10 * time.Minute
)

type healthState int

const (
	healthy healthState = iota
	ejected
	probing
)

// health outlives the connection to the agent, so that a failing endpoint
// isn't trusted again because its agent connected anew.
type health struct {
	state     healthState
	failures  int
	latency   float64
	samples   int
	ejections int
	until     time.Time
	returned  time.Time
	succeeded int
	lastSeen  time.Time
}

// allows reports whether the endpoint may get a request with so many in flight already.
func (h *health) allows(now time.Time, inFlight int) bool {
	switch h.state {
	case ejected:
		return !now.Before(h.until) && inFlight == 0
	case probing:
		return inFlight == 0
	}
	return true
}

func (h *health) observe(now time.Time, ok bool, latency time.Duration) {
	h.lastSeen = now
	if !ok {
		h.failures++
		h.succeeded = 0
		return
	}
	h.failures = 0
	h.succeeded++
	v := latency.Seconds()
	if h.samples == 0 {
		h.latency = v
	}
	h.samples++
	h.latency += latencyWeight * (v - h.latency)
}

func (h *health) eject(now time.Time) {
	if h.ejections > 0 && h.state == healthy && now.Sub(h.returned) > forgiveAfter {
		h.ejections = 0
	}
	h.until = now.Add(time.Duration(math.Min(float64(ejectBase)*math.Pow(2, float64(h.ejections)), float64(ejectMax))))
	h.ejections++
	h.state, h.failures, h.succeeded, h.samples = ejected, 0, 0, 0
}

// judge ejects an endpoint or returns it to service after an answer.
func (d *Directory) judge(now time.Time, x *endpointView, h *health, ok bool) {
	switch {
	case h.state == probing && (!ok || d.slow(x.status.Service, h)):
		h.eject(now)
	case h.state == probing && h.succeeded >= probesToReturn:
		h.state, h.returned = healthy, now
	case h.state == healthy && (h.failures >= failuresToEject || (h.samples >= minSamples && d.slow(x.status.Service, h))):
		if d.mayEject(x.status.Service) {
			h.eject(now)
		}
	}
}

// slow compares an endpoint's latency with the median of its service's healthy endpoints.
func (d *Directory) slow(s oleandervalve.ServiceName, h *health) bool {
	if h.samples == 0 || h.latency < slowFloor.Seconds() {
		return false
	}
	d.scratch = d.scratch[:0]
	for _, x := range d.services[s] {
		if o := x.health; o != h && o.state == healthy && o.samples >= minSamples {
			d.scratch = append(d.scratch, o.latency)
		}
	}
	// With fewer than two others there is no telling which one is the outlier.
	if len(d.scratch) < 2 {
		return false
	}
	sort.Float64s(d.scratch)
	return h.latency > slowFactor*d.scratch[len(d.scratch)/2]
}

// mayEject keeps the ejected endpoints of a service to at most a third.
func (d *Directory) mayEject(s oleandervalve.ServiceName) bool {
	out := 0
	for _, x := range d.services[s] {
		if x.health.state != healthy {
			out++
		}
	}
	return (out+1)*3 <= len(d.services[s])
}

// Ejected lists the endpoints of a service that are ejected or being probed.
func (d *Directory) Ejected(s oleandervalve.ServiceName) []oleandervalve.EndpointID {
	var out []oleandervalve.EndpointID
	for _, x := range d.services[s] {
		if x.health.state != healthy {
			out = append(out, x.status.Endpoint)
		}
	}
	return out
}
