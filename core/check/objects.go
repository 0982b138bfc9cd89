package check

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"oleandervalve"
	"oleandervalve/core/operator"
)

// Document is one object of a file.
type Document struct {
	// Object is canonical if the document is valid, and otherwise as given.
	Object operator.Object
	// Spec is nil if the document is invalid.
	Spec operator.Spec
	// Given is the spec as the file has it.
	Given json.RawMessage
	// Version is the version on which the change is based, if the file names one.
	Version *oleandervalve.Version
	// Problems are the reasons for which the processes refuse the object.
	Problems []oleandervalve.InvalidError
}

// NewDocument validates an object as the processes do.
func NewDocument(o operator.Object, v *oleandervalve.Version) Document {
	d := Document{Object: o, Given: o.Spec, Version: v}
	canonical, spec, err := operator.Validate(o)
	var invalid *operator.ValidationError
	switch {
	case errors.As(err, &invalid):
		d.Problems = invalid.Problems
	case err == nil:
		d.Object, d.Spec = canonical, spec
	}
	return d
}

// ObjectInput is a file of objects and what it is compared with.
type ObjectInput struct {
	Documents []Document
	// Compared reports whether InForce is known.
	Compared bool
	InForce  []operator.Object
	// Versioned reports whether the objects of InForce have their versions.
	Versioned bool
	// Complete means that the file is the whole configuration: objects of InForce that
	// it lacks are removed. Otherwise they stay, as with apply.
	Complete bool
}

// objectCheck collects the findings about a file of objects.
type objectCheck struct {
	ObjectInput
	inForce map[operator.Ref]operator.Object
	// documents is the index of the last document of each object.
	documents map[operator.Ref]int
	// after is the configuration with the valid objects of the file.
	after    map[operator.Ref]operator.Object
	findings []Finding
}

// Objects checks a file of objects.
func Objects(in ObjectInput) Report {
	x := &objectCheck{
		ObjectInput: in, inForce: map[operator.Ref]operator.Object{}, documents: map[operator.Ref]int{}, after: map[operator.Ref]operator.Object{},
	}
	for _, o := range in.InForce {
		x.inForce[o.Ref()] = o
		if !in.Complete {
			x.after[o.Ref()] = o
		}
	}
	for i, d := range in.Documents {
		x.documents[d.Object.Ref()] = i
		if d.Spec != nil {
			x.after[d.Object.Ref()] = d.Object
		}
	}
	x.checkDuplicates()
	for i, d := range in.Documents {
		x.checkProblems(i, d)
		x.checkAttempts(i, d)
		x.checkVersion(i, d)
	}
	x.checkSelectors()
	x.checkFloors()
	x.checkStranded()
	r := Report{Findings: x.findings}
	if in.Compared {
		r.Changes = x.changes()
	}
	return r
}

// add adds a finding about the document with an index.
func (x *objectCheck) add(k Kind, i int, field, remedy, format string, args ...any) {
	x.findings = append(x.findings, Finding{
		Kind: k, Index: i, Object: x.Documents[i].Object.Ref().String(), Field: field, Text: fmt.Sprintf(format, args...), Remedy: remedy,
	})
}

// checkProblems reports unknown fields and what operator.Validate refuses.
func (x *objectCheck) checkProblems(i int, d Document) {
	unknown := operator.UnknownFields(d.Object.Kind, d.Given)
	for _, u := range unknown {
		x.findings = append(x.findings, UnknownFieldFinding(i, d.Object.Ref().String(), u.Path, u.Name, u.Known))
	}
	for _, p := range d.Problems {
		// Validate reports a field within a list at the list.
		reported := slices.ContainsFunc(unknown, func(u operator.UnknownField) bool {
			return u.Path == p.Field || strings.HasPrefix(u.Path, p.Field+"[") || p.Field != "spec" && strings.HasPrefix(u.Path, p.Field+".")
		})
		switch {
		case reported:
		case p.Field == "spec.classes" && floorsExceedWhole(d):
			x.add(Floors, i, p.Field, p.Remedy, "%s", p.Value)
		default:
			x.add(InvalidValue, i, p.Field, p.Remedy, "%q is not accepted", p.Value)
		}
	}
}

// sortedObjects returns the objects of a configuration in the order of their references.
func sortedObjects(m map[operator.Ref]operator.Object) []operator.Object {
	out := make([]operator.Object, 0, len(m))
	for _, o := range m {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b operator.Object) int { return a.Ref().Compare(b.Ref()) })
	return out
}
