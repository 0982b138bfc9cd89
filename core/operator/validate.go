package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"k8s.io/apimachinery/pkg/labels"

	"oleandervalve"
)

const (
	// MaxObjectBytes limits the encoded labels and spec of one object, so that a
	// delta of one object uses at most a few seconds of an agent's message budget.
	MaxObjectBytes = 8 << 10
	// MaxObjects limits the number of objects in the configuration.
	MaxObjects = 5000
	// MaxLabels limits the labels of one object.
	MaxLabels = 32
	// MaxNameLength is the maximum length of a name in bytes.
	MaxNameLength = 63
	// maxErrorValueBytes limits the length of a value quoted in an error.
	maxErrorValueBytes = 64
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([-a-z0-9.]*[a-z0-9])?$`)

// ValidationError reports all invalid fields of an object or change.
type ValidationError struct {
	Ref      Ref
	Problems []oleandervalve.InvalidError
}

func (e *ValidationError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s has %d invalid field(s)", e.Ref, len(e.Problems))
	for i := range e.Problems {
		b.WriteString("; " + e.Problems[i].Error())
	}
	return b.String()
}

// problems collects the invalid fields of an object or change.
type problems struct {
	redactSpec bool
	list       []oleandervalve.InvalidError
}

func (p *problems) add(field string, value any, remedy string) {
	v := fmt.Sprint(value)
	if len(v) > maxErrorValueBytes {
		v = v[:maxErrorValueBytes] + "..."
	}
	// An operator may paste a token in place of its hash, so errors never quote
	// the values of token specs.
	if p.redactSpec && strings.HasPrefix(field, "spec") {
		v = redactedHash
	}
	p.list = append(p.list, oleandervalve.InvalidError{Field: field, Value: v, Remedy: remedy})
}

func (p *problems) checkName(field, value string) {
	if len(value) > MaxNameLength || !namePattern.MatchString(value) {
		p.add(field, value, fmt.Sprintf("use 1 to %d lower case letters, digits, '-' and '.', with a letter or digit at both ends", MaxNameLength))
	}
}

// dataCentrePattern is the pattern of location.dataCentre in the settings, which
// permits more names than namePattern.
var dataCentrePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?$`)

// checkObjectName checks the name of an object. An evacuation has the name of its
// data centre.
func (p *problems) checkObjectName(k Kind, name string) {
	if k != KindEvacuation {
		p.checkName("name", name)
		return
	}
	if len(name) > MaxNameLength || !dataCentrePattern.MatchString(name) {
		p.add("name", name, fmt.Sprintf("name a data centre as in location.dataCentre of the settings, with 1 to %d characters", MaxNameLength))
	}
}

func (p *problems) checkRange(field string, value, minimum, maximum float64) {
	if !(value >= minimum && value <= maximum) {
		p.add(field, value, "use a number from "+formatNumber(minimum)+" to "+formatNumber(maximum))
	}
}

func formatNumber(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }

func (p *problems) checkSelector(field, value string) {
	if _, err := ParseSelector(value); err != nil {
		p.add(field, value, "use a Kubernetes label selector, for example \"tier=board,site in (north,south)\"")
	}
}

func (p *problems) checkLabels(field string, set map[string]string) {
	if len(set) > MaxLabels {
		p.add(field, len(set), fmt.Sprintf("use at most %d labels", MaxLabels))
	}
	for _, k := range sortedKeys(set) {
		if _, err := labels.ValidatedSelectorFromSet(labels.Set{k: set[k]}); err != nil {
			p.add(field+"."+k, set[k], "use a Kubernetes label: key and value of at most 63 letters, digits, '-', '_' and '.', the key with an optional DNS prefix")
		}
	}
}

func (p *problems) checkResources(field string, r oleandervalve.Resources) {
	if r.IsNegative() {
		p.add(field, fmt.Sprintf("%+v", r), "use amounts of zero or more")
	}
}

// ParseSelector parses a Kubernetes label selector; the empty selector selects everything.
func ParseSelector(s string) (labels.Selector, error) {
	sel, err := labels.Parse(s)
	// The library treats a zero byte as the end of the text and ignores the rest.
	if err != nil || strings.ContainsRune(s, 0) {
		return nil, &oleandervalve.InvalidError{
			Field: "selector", Value: truncate(s),
			Remedy: "use a Kubernetes label selector, for example \"tier=board,site in (north,south)\"",
		}
	}
	return sel, nil
}

func truncate(s string) string {
	if len(s) > maxErrorValueBytes {
		return s[:maxErrorValueBytes] + "..."
	}
	return s
}

// selectorOf returns the selector of a validated spec, or nil if it has none.
func selectorOf(s Spec) labels.Selector {
	var text string
	switch s := s.(type) {
	case *PolicySpec:
		text = s.Selector
	case *JobDefaultsSpec:
		text = s.Selector
	case *LabelsSpec:
		text = s.Selector
	default:
		return nil
	}
	sel, err := labels.Parse(text)
	if err != nil {
		return nil
	}
	return sel
}

// selects reports whether the object has a selector that matches a set of labels.
func (obj *indexedObject) selects(set map[string]string) bool {
	return obj.selector != nil && obj.selector.Matches(labels.Set(set))
}

// Validate returns the object in canonical form with its typed spec, or a *ValidationError.
func Validate(o Object) (Object, Spec, error) {
	p := &problems{redactSpec: o.Kind == KindToken}
	s := newSpec(o.Kind)
	if s == nil {
		p.add("kind", o.Kind, "use one of "+joinKinds())
	}
	p.checkObjectName(o.Kind, o.Name)
	p.checkLabels("labels", o.Labels)
	switch size := len(o.Spec) + len(mustJSON(o.Labels)); {
	case size > MaxObjectBytes:
		p.add("spec", fmt.Sprintf("%d bytes", size), fmt.Sprintf("keep labels and spec within %d bytes together", MaxObjectBytes))
	case s != nil && decodeSpec(p, o.Spec, s):
		s.check(p)
	}
	if len(p.list) > 0 {
		return Object{}, nil, &ValidationError{Ref: Ref{Kind: Kind(truncate(string(o.Kind))), Name: truncate(o.Name)}, Problems: p.list}
	}
	o.Spec = mustJSON(s)
	return o, s, nil
}

// decodeSpec decodes a spec field by field, so that all invalid fields are
// reported. It returns false if the spec is not a JSON object.
func decodeSpec(p *problems, raw json.RawMessage, dest Spec) bool {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil || fields == nil {
		p.add("spec", string(raw), "give the fields of the spec as an object")
		return false
	}
	known := specFields(reflect.ValueOf(dest).Elem())
	for _, k := range sortedKeys(fields) {
		f, ok := known[k]
		if !ok {
			p.add("spec."+truncate(k), string(fields[k]), "remove the field; the known fields are "+strings.Join(sortedKeys(known), ", "))
			continue
		}
		d := json.NewDecoder(bytes.NewReader(fields[k]))
		d.DisallowUnknownFields()
		if err := d.Decode(f.Addr().Interface()); err != nil {
			p.add("spec."+k, string(fields[k]), "use a value of the form "+jsonForm(f.Type()))
		}
	}
	return true
}

// jsonForm describes the JSON form of a Go type for error messages.
func jsonForm(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "\"text\""
	case reflect.Int, reflect.Int32, reflect.Int64:
		return "whole number"
	case reflect.Float64:
		return "number"
	case reflect.Slice:
		return "[" + jsonForm(t.Elem()) + ", ...]"
	case reflect.Map:
		return "{\"name\": " + jsonForm(t.Elem()) + "}"
	case reflect.Struct:
		var parts []string
		for i := range t.NumField() {
			tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
			parts = append(parts, fmt.Sprintf("%q: %s", tag, jsonForm(t.Field(i).Type)))
		}
		return "{" + strings.Join(parts, ", ") + "}"
	}
	return t.String()
}

func joinKinds() string {
	var out []string
	for _, k := range Kinds() {
		out = append(out, string(k))
	}
	return strings.Join(out, ", ")
}

// sortedKeys returns the sorted keys of a map with string keys.
func sortedKeys(m any) []string {
	keys := reflect.ValueOf(m).MapKeys()
	out := make([]string, len(keys))
	for i, k := range keys {
		out[i] = k.String()
	}
	sort.Strings(out)
	return out
}
