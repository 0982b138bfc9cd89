package check

import (
	"encoding/json"

	"oleandervalve"
	"oleandervalve/core/operator"
)

// floorsExceedWhole reports whether the floors of one policy add up to more than 1.
func floorsExceedWhole(d Document) bool {
	var s operator.PolicySpec
	return d.Object.Kind == operator.KindPolicy && json.Unmarshal(d.Given, &s) == nil && operator.FloorsExceedWhole(s.FloorSum())
}

// checkFloors reports services whose classes get floors from several policies that add
// up to more than 1. Each policy is valid by itself; operator.Replica.Classes scales the
// floors down, so no class gets the share that its policy states. A sum to which the
// file contributes nothing is not reported.
func (x *objectCheck) checkFloors() {
	replica := operator.NewReplicaOf(sortedObjects(x.after))
	for _, o := range replica.List(operator.KindService) {
		spec, ok := replica.Service(oleandervalve.ServiceName(o.Name))
		if !ok {
			continue
		}
		i, sum := x.documentOf(o.Ref()), 0.0
		for _, c := range spec.Classes {
			rule := replica.ClassRuleFor(c, o.Labels)
			sum += rule.Floor
			if i == None && rule.Floor > 0 {
				i = x.documentOf(operator.Ref{Kind: operator.KindPolicy, Name: rule.Policy})
			}
		}
		if i != None && operator.FloorsExceedWhole(sum) {
			x.add(Floors, i, "spec.classes", "let the floors of all policies that select the service add up to at most 1",
				"the floors of the classes of %s add up to %.3g and are scaled down", o.Ref(), sum)
		}
	}
}
