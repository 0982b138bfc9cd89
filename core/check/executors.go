package check

import (
	"oleandervalve"
	"oleandervalve/core/work"
)

func (x *routeCheck) serviceSet() map[oleandervalve.ServiceName]bool {
	out := map[oleandervalve.ServiceName]bool{}
	for _, s := range x.Services {
		out[s] = true
	}
	return out
}

// checkExecutors reports a queue whose service is not declared or is known to have no
// executors: its jobs are accepted and wait.
func (x *routeCheck) checkExecutors(i int, r work.Route, services map[oleandervalve.ServiceName]bool) {
	s := r.Queue.Service
	n, known := x.facts.Executors[s]
	switch {
	case s == "":
		x.add(NoExecutors, i, FieldService, "name the service whose executors run the tasks", "the route has no service")
	case known && n <= 0:
		x.add(NoExecutors, i, FieldService, "start executors of the service, or name another one", "service %s has no executors", s)
	case !known && x.Services != nil && !services[s]:
		x.add(NoExecutors, i, FieldService, "declare the service, or name a declared one", "service %s is not declared, so it has no executors", s)
	}
}
