package check

import "oleandervalve/core/work"

// checkDeadline reports a timeout that is shorter than the target latency: a request that
// still meets its target is already given up.
func (x *routeCheck) checkDeadline(i int, r work.Route) {
	if r.Timeout > 0 && r.Timeout < r.Queue.Slack {
		x.add(DeadlineUnderTarget, i, FieldTimeout, "use a timeout of at least the target latency",
			"the timeout of %s is under the target latency of %s", r.Timeout, r.Queue.Slack)
	}
}
