package check

import (
	"cmp"
	"maps"
	"slices"

	"oleandervalve/core/operator"
	"oleandervalve/core/work"
)

// Action is what a change does with an object.
type Action string

// Actions of changes.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change is the difference of one object from the version in force.
type Change struct {
	Object string              `json:"object"`
	Action Action              `json:"action"`
	Fields []operator.DiffLine `json:"fields,omitempty"`
	// OpenJobs is the number of waiting jobs that the change affects; nil if it is not known.
	OpenJobs *int `json:"openJobs,omitempty"`
}

// changes returns the difference of the valid documents from the version in force. Jobs
// are not counted: the operators' API does not tell them by object.
func (x *objectCheck) changes() []Change {
	out := []Change{}
	for _, o := range sortedObjects(x.inForce) {
		if _, kept := x.after[o.Ref()]; !kept && !x.refused(o.Ref()) {
			out = append(out, Change{Object: o.Ref().String(), Action: Removed, Fields: operator.Diff(&o, nil)})
		}
	}
	for _, o := range sortedObjects(x.after) {
		before, existed := x.inForce[o.Ref()]
		if !existed {
			out = append(out, Change{Object: o.Ref().String(), Action: Added, Fields: operator.Diff(nil, &o)})
		} else if fields := operator.Diff(&before, &o); len(fields) > 0 {
			out = append(out, Change{Object: o.Ref().String(), Action: Changed, Fields: fields})
		}
	}
	return sortChanges(out)
}

// refused reports whether the file contains the object in a form that is not valid. It
// then isn't removed, and its change is not known.
func (x *objectCheck) refused(r operator.Ref) bool { return x.documentOf(r) != None }

// documentOf returns the index of the document of an object, or None.
func (x *objectCheck) documentOf(r operator.Ref) int {
	if i, found := x.documents[r]; found {
		return i
	}
	return None
}

// Fields are the fields of one object by path, as written.
type Fields map[string]string

// Difference returns the changes from one set of objects to another.
func Difference(before, after map[string]Fields) []Change {
	out := []Change{}
	for name, b := range before {
		a, kept := after[name]
		switch {
		case !kept:
			out = append(out, Change{Object: name, Action: Removed, Fields: diffFields(b, nil)})
		case !maps.Equal(a, b):
			out = append(out, Change{Object: name, Action: Changed, Fields: diffFields(b, a)})
		}
	}
	for name, a := range after {
		if _, existed := before[name]; !existed {
			out = append(out, Change{Object: name, Action: Added, Fields: diffFields(nil, a)})
		}
	}
	return sortChanges(out)
}

func diffFields(before, after Fields) []operator.DiffLine {
	names := maps.Clone(before)
	if names == nil {
		names = Fields{}
	}
	maps.Copy(names, after)
	var out []operator.DiffLine
	for _, f := range slices.Sorted(maps.Keys(names)) {
		if before[f] != after[f] {
			out = append(out, operator.DiffLine{Field: f, Before: before[f], After: after[f]})
		}
	}
	return out
}

func sortChanges(c []Change) []Change {
	slices.SortFunc(c, func(a, b Change) int { return cmp.Compare(a.Object, b.Object) })
	return c
}

// RoutesToCount returns the routes in force whose waiting jobs a change affects, by
// itself or by a change of its service.
func RoutesToCount(changes []Change, inForce RouteConfiguration) []work.Route {
	changed := map[string]bool{}
	for _, c := range changes {
		changed[c.Object] = true
	}
	var out []work.Route
	counted := map[work.QueueName]bool{}
	for _, r := range inForce.Routes {
		affected := changed[RouteObject(r.Queue.Name)] || changed[ServiceObject(r.Queue.Service)]
		if affected && !counted[r.Queue.Name] {
			counted[r.Queue.Name] = true
			out = append(out, r)
		}
	}
	return out
}

// CountOpenJobs sets the number of waiting jobs of each change whose queues' numbers are
// all known. Other objects than routes and services affect no accepted job.
func CountOpenJobs(changes []Change, inForce RouteConfiguration, open map[work.QueueName]int) {
	queues := map[string][]work.QueueName{}
	counted := map[work.QueueName]bool{}
	for _, r := range inForce.Routes {
		if q := r.Queue.Name; !counted[q] {
			counted[q] = true
			service := ServiceObject(r.Queue.Service)
			queues[RouteObject(q)] = []work.QueueName{q}
			queues[service] = append(queues[service], q)
		}
	}
	for i := range changes {
		sum, known := 0, true
		for _, q := range queues[changes[i].Object] {
			n, ok := open[q]
			sum, known = sum+n, known && ok
		}
		if known {
			changes[i].OpenJobs = &sum
		}
	}
}
