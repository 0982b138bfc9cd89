package endpoint

import (
	"math"
	"sort"
	"time"

	"oleandervalve"
)

const (
	// failuresToEject is the number of consecutive failures after which an
	// endpoint is ejected.
	failuresToEject = 5
	// slowLatencyRatio is the ratio of an endpoint's latency to the median of
	// its service's endpoints above which it is ejected.
	slowLatencyRatio = 3
	// minSlowLatency is the latency below which no endpoint counts as slow, so
	// that noise among fast endpoints doesn't eject any.
	minSlowLatency = 5 * time.Millisecond
	// minSamples is the number of answers needed before a latency is compared.
	minSamples = 20
	// latencySmoothing is the weight of the latest answer in the moving average
	// of the latency.
	latencySmoothing = 0.1
	// baseEjectionTime is the duration of the first ejection. It doubles with
	// each further ejection, up to maxEjectionTime.
	baseEjectionTime = 5 * time.Second
	maxEjectionTime  = 5 * time.Minute
	// probesToRecover is the number of consecutive successful probes after
	// which an endpoint is healthy again.
	probesToRecover = 3
	// ejectionResetAfter is how long an endpoint must be healthy until its
	// earlier ejections no longer lengthen the next one.
	ejectionResetAfter = 10 * time.Minute
)

type healthState int

const (
	healthy healthState = iota
	ejected
	probing
)

// health holds the results of requests to an endpoint. It outlives the
// connection to the agent, so that a reconnection of the agent doesn't make a
// failing endpoint healthy.
type health struct {
	state        healthState
	failures     int
	latency      float64
	samples      int
	ejections    int
	ejectedUntil time.Time
	recoveredAt  time.Time
	successes    int
	lastSeen     time.Time
}

// allows reports whether an endpoint with inFlight unfinished requests may get
// another one.
func (h *health) allows(now time.Time, inFlight int) bool {
	switch h.state {
	case ejected:
		return !now.Before(h.ejectedUntil) && inFlight == 0
	case probing:
		return inFlight == 0
	}
	return true
}

func (h *health) observe(now time.Time, ok bool, latency time.Duration) {
	h.lastSeen = now
	if !ok {
		h.failures++
		h.successes = 0
		return
	}
	h.failures = 0
	h.successes++
	v := latency.Seconds()
	if h.samples == 0 {
		h.latency = v
	}
	h.samples++
	h.latency += latencySmoothing * (v - h.latency)
}

func (h *health) eject(now time.Time) {
	if h.ejections > 0 && h.state == healthy && now.Sub(h.recoveredAt) > ejectionResetAfter {
		h.ejections = 0
	}
	h.ejectedUntil = now.Add(time.Duration(math.Min(float64(baseEjectionTime)*math.Pow(2, float64(h.ejections)), float64(maxEjectionTime))))
	h.ejections++
	h.state, h.failures, h.successes, h.samples = ejected, 0, 0, 0
}

// updateEjection ejects an endpoint or makes it healthy again after the result
// of a request.
func (d *Directory) updateEjection(now time.Time, ep *endpointView, h *health, ok bool) {
	switch {
	case h.state == probing && (!ok || d.isSlow(ep.status.Service, h)):
		h.eject(now)
	case h.state == probing && h.successes >= probesToRecover:
		h.state, h.recoveredAt = healthy, now
	case h.state == healthy && (h.failures >= failuresToEject || (h.samples >= minSamples && d.isSlow(ep.status.Service, h))):
		if d.canEject(ep.status.Service) {
			h.eject(now)
		}
	}
}

// isSlow reports whether an endpoint's latency is far above the median of the
// other healthy endpoints of its service.
func (d *Directory) isSlow(s oleandervalve.ServiceName, h *health) bool {
	if h.samples == 0 || h.latency < minSlowLatency.Seconds() {
		return false
	}
	d.latencyBuffer = d.latencyBuffer[:0]
	for _, ep := range d.services[s] {
		if o := ep.health; o != h && o.state == healthy && o.samples >= minSamples {
			d.latencyBuffer = append(d.latencyBuffer, o.latency)
		}
	}
	// With fewer than two other endpoints, the outlier can't be identified.
	if len(d.latencyBuffer) < 2 {
		return false
	}
	sort.Float64s(d.latencyBuffer)
	return h.latency > slowLatencyRatio*d.latencyBuffer[len(d.latencyBuffer)/2]
}

// canEject reports whether another endpoint of a service may be ejected; at
// most a third of them may be ejected or probed at once.
func (d *Directory) canEject(s oleandervalve.ServiceName) bool {
	notHealthy := 0
	for _, ep := range d.services[s] {
		if ep.health.state != healthy {
			notHealthy++
		}
	}
	return (notHealthy+1)*3 <= len(d.services[s])
}

// Ejected lists the endpoints of a service that are ejected or being probed.
func (d *Directory) Ejected(s oleandervalve.ServiceName) []oleandervalve.EndpointID {
	var out []oleandervalve.EndpointID
	for _, ep := range d.services[s] {
		if ep.health.state != healthy {
			out = append(out, ep.status.Endpoint)
		}
	}
	return out
}
