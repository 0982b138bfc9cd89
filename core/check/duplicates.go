package check

import (
	"oleandervalve/core/operator"
	"oleandervalve/core/work"
)

// checkDuplicates reports names that several routes have: their jobs share a queue whose
// policy depends on the route by which a job came.
func (x *routeCheck) checkDuplicates() {
	first := map[work.QueueName]int{}
	for i, r := range x.Routes {
		j, found := first[r.Queue.Name]
		switch {
		case r.Queue.Name == "":
		case found:
			x.add(DuplicateName, i, FieldName, "give each route a name of its own", "route %d has the same name", j+1)
		default:
			first[r.Queue.Name] = i
		}
	}
	seen := map[string]bool{}
	for _, s := range x.Services {
		if seen[string(s)] {
			x.findings = append(x.findings, Finding{
				Kind: DuplicateName, Index: None, Object: ServiceObject(s), Field: FieldName,
				Text: "the service is declared twice", Remedy: "declare each service once",
			})
		}
		seen[string(s)] = true
	}
}

// checkDuplicates reports objects that the file contains twice: the second one would
// overwrite the first.
func (x *objectCheck) checkDuplicates() {
	first := map[operator.Ref]int{}
	for i, d := range x.Documents {
		r := d.Object.Ref()
		j, found := first[r]
		switch {
		case r.Name == "":
		case found:
			x.add(DuplicateName, i, "name", "keep one of the documents", "document %d has the same kind and name", j+1)
		default:
			first[r] = i
		}
	}
}
