package check

import (
	"k8s.io/apimachinery/pkg/labels"

	"oleandervalve/core/operator"
	"oleandervalve/core/work"
)

// checkStranded reports changes that keep waiting jobs from running or from being
// reached. A job keeps the service of its acceptance: if the service is no longer
// declared, no executor of it remains. Without the route, callers can't read or cancel
// the job. Queues whose number of waiting jobs is not known are not reported.
func (x *routeCheck) checkStranded() {
	if x.inForce == nil {
		return
	}
	routes := map[work.QueueName]int{}
	for i, r := range x.Routes {
		routes[r.Queue.Name] = i
	}
	services := x.serviceSet()
	before := (&routeCheck{RouteConfiguration: *x.inForce}).serviceSet()
	for _, r := range x.inForce.Routes {
		n := x.facts.OpenJobs[r.Queue.Name]
		if n <= 0 {
			continue
		}
		i, remains := routes[r.Queue.Name]
		switch s := r.Queue.Service; {
		case x.Services != nil && before[s] && !services[s]:
			x.addStranded(r.Queue.Name, i, remains, FieldService, "keep the service until the jobs have ended",
				n, "service "+string(s)+" is removed")
		case !remains:
			x.addStranded(r.Queue.Name, i, false, FieldName, "keep the route until the jobs have ended", n, "the route is removed")
		}
	}
}

func (x *routeCheck) addStranded(q work.QueueName, i int, remains bool, field, remedy string, n int, what string) {
	if !remains {
		i = None
	}
	x.add(StrandedWork, i, field, remedy, "%s while %d jobs wait", what, n)
	x.findings[len(x.findings)-1].Object = RouteObject(q)
}

// checkStranded reports changes of objects that keep accepted work from running: a
// removed service, and a label that no object adds to workers any more although a
// policy or default requires it. Workers may also announce the label, and the operators'
// API does not count waiting tasks, so this is reported whether or not any wait.
func (x *objectCheck) checkStranded() {
	var added, remaining []labels.Set
	for _, o := range sortedObjects(x.inForce) {
		if _, kept := x.after[o.Ref()]; !kept && !x.refused(o.Ref()) && o.Kind == operator.KindService {
			x.findings = append(x.findings, Finding{
				Kind: StrandedWork, Index: None, Object: o.Ref().String(), Text: "the service is removed; its accepted work can't run",
				Remedy: "keep the service until its work has ended",
			})
		}
		added = append(added, addedLabels(o)...)
	}
	for _, o := range x.after {
		remaining = append(remaining, addedLabels(o)...)
	}
	if len(added) == 0 {
		return
	}
	for _, o := range sortedObjects(x.after) {
		_, spec, err := operator.Validate(o)
		if err != nil {
			continue
		}
		var runOn string
		switch s := spec.(type) {
		case *operator.PolicySpec:
			runOn = s.RunOn
		case *operator.JobDefaultsSpec:
			runOn = s.RunOn
		}
		selector, err := operator.ParseSelector(runOn)
		if err != nil || runOn == "" {
			continue
		}
		requirements, _ := selector.Requirements()
		for _, q := range requirements {
			if matchesAny(q, added) && !matchesAny(q, remaining) {
				x.findings = append(x.findings, Finding{
					Kind: StrandedWork, Index: x.documentOf(o.Ref()), Object: o.Ref().String(), Field: "spec.runOn",
					Text:   "no object adds " + q.String() + " to workers any more; accepted work that requires it can't run",
					Remedy: "keep the label until that work has ended, or change the selector",
				})
			}
		}
	}
}

// addedLabels returns the labels that an object adds to workers.
func addedLabels(o operator.Object) []labels.Set {
	if o.Kind != operator.KindWorkerLabels {
		return nil
	}
	_, spec, err := operator.Validate(o)
	if s, ok := spec.(*operator.LabelsSpec); ok && err == nil {
		return []labels.Set{s.Add}
	}
	return nil
}

// matchesAny reports whether one of the sets has the key of a requirement and meets it.
// A set without the key meets requirements such as "!gpu", which no label provides.
func matchesAny(q labels.Requirement, sets []labels.Set) bool {
	for _, s := range sets {
		if s.Has(q.Key()) && q.Matches(s) {
			return true
		}
	}
	return false
}
