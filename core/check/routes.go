package check

import (
	"fmt"
	"time"

	"oleandervalve"
	"oleandervalve/core/work"
)

// Fields of routes in findings. The caller translates them to the names of its format.
const (
	FieldVersion     = "version"
	FieldName        = "name"
	FieldHost        = "host"
	FieldPrefix      = "prefix"
	FieldTimeout     = "timeout"
	FieldTarget      = "target"
	FieldPriority    = "priority"
	FieldService     = "service"
	FieldMaxAttempts = "maxAttempts"
	FieldStretch     = "stretch"
	FieldPermits     = "permits"
	FieldMaxBody     = "maxBody"
)

// RouteConfiguration is a configuration of routes with what it states beside them.
type RouteConfiguration struct {
	work.Configuration
	// Services are the declared services; nil if the configuration does not declare any.
	Services []oleandervalve.ServiceName
	// MaxBody is the limit of bodies of all routes in bytes; 0 means the platform's.
	MaxBody int64
}

// RouteFacts is what is known beside the configuration.
type RouteFacts struct {
	// Changed reports whether anything differs from the version in force.
	Changed bool
	// MaxBody is the platform's limit of a body in bytes.
	MaxBody int64
	// Executors is the number of executors of the services for which it is known.
	Executors map[oleandervalve.ServiceName]int
	// Estimates is the estimated work of one job of a queue, where it is known.
	Estimates map[work.QueueName]time.Duration
	// OpenJobs is the number of waiting jobs of a queue, where it is known.
	OpenJobs map[work.QueueName]int
}

// routeCheck collects the findings about one configuration of routes.
type routeCheck struct {
	RouteConfiguration
	facts    RouteFacts
	inForce  *RouteConfiguration
	findings []Finding
}

// Routes returns the findings about a configuration of routes. inForce is the version to
// compare with, or nil.
func Routes(c RouteConfiguration, inForce *RouteConfiguration, f RouteFacts) []Finding {
	x := &routeCheck{RouteConfiguration: c, facts: f, inForce: inForce}
	x.checkVersion()
	x.checkBodyLimit()
	x.checkDuplicates()
	x.checkPrecedence()
	services := x.serviceSet()
	for i, r := range c.Routes {
		x.checkRanges(i, r)
		x.checkAttempts(i, r)
		x.checkDeadline(i, r)
		x.checkEstimate(i, r)
		x.checkExecutors(i, r, services)
	}
	x.checkStranded()
	return x.findings
}

// add adds a finding about the route with an index.
func (x *routeCheck) add(k Kind, i int, field, remedy, format string, args ...any) {
	f := Finding{Kind: k, Index: i, Field: field, Text: fmt.Sprintf(format, args...), Remedy: remedy}
	if i != None {
		f.Object = routeName(i, x.Routes[i])
	}
	x.findings = append(x.findings, f)
}

// RouteObject returns the name of a queue's route in findings and changes.
func RouteObject(q work.QueueName) string { return "route/" + string(q) }

// ServiceObject returns the name of a declared service in findings and changes.
func ServiceObject(s oleandervalve.ServiceName) string { return "service/" + string(s) }

func routeName(i int, r work.Route) string {
	if r.Queue.Name == "" {
		return fmt.Sprintf("route %d", i+1)
	}
	return RouteObject(r.Queue.Name)
}
