package check

import (
	"oleandervalve/core/work"
)

// routeKey is what a route matches.
type routeKey struct{ host, prefix string }

// checkPrecedence reports routes whose order misleads. work.Configuration.Match takes
// the longest prefix, and of equal ones the first: of two routes with the same host and
// prefix the second gets no requests, and a shorter prefix that is listed first does not
// precede a longer one. A shorter prefix after the longer one is the usual way to write
// a default route and is not reported.
func (x *routeCheck) checkPrecedence() {
	first := map[routeKey]int{}
	for i, r := range x.Routes {
		if r.Prefix == "" {
			continue
		}
		k := routeKey{r.Host, r.Prefix}
		if _, found := first[k]; found {
			winner, _ := x.Match(r.Host, r.Prefix)
			x.add(Precedence, i, FieldPrefix, "remove one of the routes, or give it another host or prefix",
				"%s with the same host and prefix always precedes the route, which gets no requests", nameOf(winner))
			continue
		}
		if j, found := x.longestBefore(first, r); found {
			o := x.Routes[j]
			x.add(Precedence, i, FieldPrefix, "list the longer prefix first if this is intended, or change one of the prefixes",
				"%s with the prefix %s is listed before, but never precedes the route: the longest prefix counts", nameOf(o), o.Prefix)
		}
		first[k] = i
	}
}

// longestBefore returns the route with the longest proper prefix of a route's prefix
// among the routes listed before.
func (x *routeCheck) longestBefore(before map[routeKey]int, r work.Route) (int, bool) {
	for n := len(r.Prefix) - 1; n > 0; n-- {
		if j, found := before[routeKey{r.Host, r.Prefix[:n]}]; found {
			return j, true
		}
	}
	return None, false
}

func nameOf(r work.Route) string {
	if r.Queue.Name == "" {
		return "a route without a name"
	}
	return "route " + string(r.Queue.Name)
}
