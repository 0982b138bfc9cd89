package check

import "oleandervalve/core/work"

// checkEstimate reports a timeout that is shorter than the estimate of the work: the
// declared estimate of the queue's jobs, if it is known, and the shortest request for a
// permit.
func (x *routeCheck) checkEstimate(i int, r work.Route) {
	estimate := x.facts.Estimates[r.Queue.Name]
	if p := r.Queue.Permits; p.Required() {
		estimate += p.DecisionTime + p.TimePerExecutor
	}
	if r.Timeout > 0 && r.Timeout < estimate {
		x.add(TimeoutUnderEstimate, i, FieldTimeout, "use a timeout of at least the estimate",
			"the timeout of %s is under the estimate of the work, %s", r.Timeout, estimate)
	}
}
