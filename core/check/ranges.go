package check

import (
	"strings"
	"time"

	"oleandervalve/core/work"
)

// maxTimeout is the longest accepted timeout and target latency, as for the deadlines of
// the operators' API.
const maxTimeout = 24 * time.Hour

// checkRanges reports values of a route that are out of range, or for which the route
// gets no requests.
func (x *routeCheck) checkRanges(i int, r work.Route) {
	invalid := func(field, remedy, format string, args ...any) {
		x.add(InvalidValue, i, field, remedy, format, args...)
	}
	if r.Queue.Name == "" {
		invalid(FieldName, "give the queue a name", "the name is empty")
	}
	if r.Host == "" || strings.ContainsAny(r.Host, ":/ ") {
		invalid(FieldHost, "write the host without scheme, port and path", "no request has the host %q", r.Host)
	}
	if !strings.HasPrefix(r.Prefix, "/") {
		invalid(FieldPrefix, "begin the prefix with /", "no request's path begins with %q", r.Prefix)
	}
	if r.Timeout <= 0 || r.Timeout > maxTimeout {
		invalid(FieldTimeout, "use a time over 0 and up to 24 h", "the timeout is %s", r.Timeout)
	}
	if r.Queue.Slack < 0 || r.Queue.Slack > maxTimeout {
		invalid(FieldTarget, "use a time from 0 to 24 h", "the target latency is %s", r.Queue.Slack)
	}
	if r.Queue.Priority < 0 {
		invalid(FieldPriority, "use 0 for the highest priority and greater numbers for lower ones", "the priority is %d", r.Queue.Priority)
	}
	if r.Queue.MaxAttempts < 0 {
		invalid(FieldMaxAttempts, "use 1 or more", "the number of attempts is %d", r.Queue.MaxAttempts)
	}
	// Queue.Objective treats a smaller factor as 1.
	if r.Queue.Stretch != 0 && !(r.Queue.Stretch >= 1) {
		invalid(FieldStretch, "use 1 or more, or leave the field out", "the factor %g counts as 1", r.Queue.Stretch)
	}
	p := r.Queue.Permits
	if p.DecisionTime < 0 || p.TimePerExecutor < 0 || p.Validity < 0 {
		invalid(FieldPermits, "use times of 0 or more", "a time of the permits is negative")
	}
	if p.Required() && p.DecisionTime+p.TimePerExecutor >= p.Validity {
		invalid(FieldPermits, "use a validity that is longer than the decision",
			"a permit is decided in %s or more and is valid for %s", p.DecisionTime+p.TimePerExecutor, p.Validity)
	}
}
