package operator

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// UnknownField is a field of a spec that its kind does not have.
type UnknownField struct {
	// Path is the path from the object, such as spec.classes[0].wieght.
	Path string
	// Name is the last name of the path.
	Name string
	// Known are the sorted names of the fields at its place.
	Known []string
}

// UnknownFields returns the fields of a spec that its kind does not have, at all levels.
// It compares names exactly, as Validate does at the first level; below, encoding/json
// also accepts names that differ in case.
func UnknownFields(k Kind, spec json.RawMessage) []UnknownField {
	s := newSpec(k)
	if s == nil {
		return nil
	}
	return unknownFields(nil, "spec", spec, reflect.TypeOf(s).Elem())
}

func unknownFields(out []UnknownField, path string, raw json.RawMessage, t reflect.Type) []UnknownField {
	switch t.Kind() {
	case reflect.Slice:
		var elements []json.RawMessage
		if json.Unmarshal(raw, &elements) == nil {
			for i, e := range elements {
				out = unknownFields(out, fmt.Sprintf("%s[%d]", path, i), e, t.Elem())
			}
		}
	case reflect.Struct:
		var fields map[string]json.RawMessage
		if json.Unmarshal(raw, &fields) != nil {
			return out
		}
		known := specFields(reflect.New(t).Elem())
		for _, name := range sortedKeys(fields) {
			if f, ok := known[name]; ok {
				out = unknownFields(out, path+"."+name, fields[name], f.Type())
			} else {
				out = append(out, UnknownField{Path: path + "." + truncate(name), Name: name, Known: sortedKeys(known)})
			}
		}
	}
	return out
}

// specFields returns the fields of a spec by their JSON names.
func specFields(v reflect.Value) map[string]reflect.Value {
	known := make(map[string]reflect.Value, v.NumField())
	for i := range v.NumField() {
		tag, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		known[tag] = v.Field(i)
	}
	return known
}

// NewReplicaOf returns a replica with the given objects, which evaluates a configuration
// that is not in force as the processes would. If an object occurs twice, the later one
// counts.
func NewReplicaOf(objects []Object) *Replica {
	r := NewReplica()
	next := make(map[Ref]*indexedObject, len(objects))
	for _, o := range objects {
		next[o.Ref()] = newIndexedObject(o)
	}
	r.replaceAll(next, 1)
	return r
}
