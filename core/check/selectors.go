package check

import (
	"k8s.io/apimachinery/pkg/labels"

	"oleandervalve/core/operator"
)

// checkSelectors reports selectors of work that match no object. Candidates are the
// labels of the services; jobs bring theirs along, so a selector of jobs is compared
// with the labels of all other objects. Selectors of workers and endpoints match
// announced labels, which no configuration contains, and are not checked.
func (x *objectCheck) checkSelectors() {
	var services, others []labels.Set
	for _, o := range sortedObjects(x.after) {
		switch {
		case o.Kind == operator.KindService:
			services = append(services, o.Labels)
		case len(o.Labels) > 0:
			others = append(others, o.Labels)
		}
	}
	// A file that is applied beside objects that are not known may select those.
	if len(services) == 0 && !x.Compared {
		return
	}
	for i, d := range x.Documents {
		switch s := d.Spec.(type) {
		case *operator.PolicySpec:
			x.checkSelector(i, "spec.selector", s.Selector, services, others)
			x.checkSelector(i, "spec.avoid", s.Avoid, services, others)
		case *operator.JobDefaultsSpec:
			x.checkSelector(i, "spec.selector", s.Selector, services, others)
		}
	}
}

func (x *objectCheck) checkSelector(i int, field, text string, candidates ...[]labels.Set) {
	if text == "" {
		return // The empty selector selects everything, or is not set.
	}
	selector, err := operator.ParseSelector(text)
	if err != nil {
		return // checkProblems reports it.
	}
	for _, sets := range candidates {
		for _, s := range sets {
			if selector.Matches(s) {
				return
			}
		}
	}
	x.add(UnmatchedSelector, i, field, "correct the selector, or label the objects that it is meant for",
		"no object has labels that %q selects", text)
}
