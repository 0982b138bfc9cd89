package job

import (
	"fmt"
	"reflect"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"
	"unsafe"

	"github.com/cespare/xxhash/v2"
)

var timeType = reflect.TypeFor[time.Time]()

var idPattern = regexp.MustCompile(`e\d\.\d+-0-\d+`)

// hash returns a hash of the state of a cluster that is equal for states with the
// same further behaviour: times are relative to now, IDs are numbered by their
// first appearance, ID counters are left out and operations are sorted.
func (cl *cluster) hash() uint64 {
	var b strings.Builder
	writeState(&b, reflect.ValueOf(cl), cl.now)
	names := map[string]string{}
	return xxhash.Sum64String(idPattern.ReplaceAllStringFunc(b.String(), func(id string) string {
		if names[id] == "" {
			names[id] = "id" + strconv.Itoa(len(names))
		}
		return names[id]
	}))
}

// ignoredFields lists fields that differ between states of the same behaviour.
var ignoredFields = map[string]bool{"lastID": true, "name": true, "sequence": true, "nextPurge": true, "cursor": true, "now": true, "settings": true}

func writeState(b *strings.Builder, v reflect.Value, now time.Time) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			b.WriteString("-")
			return
		}
		writeState(b, addressable(v.Elem()), now)
	case reflect.Map:
		var list []string
		for it := v.MapRange(); it.Next(); {
			var s strings.Builder
			writeState(&s, addressable(it.Key()), now)
			s.WriteString("=")
			writeState(&s, addressable(it.Value()), now)
			list = append(list, s.String())
		}
		sort.Strings(list)
		b.WriteString(strings.Join(list, ";"))
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			b.Write(v.Bytes())
			return
		}
		var list []string
		for i := range v.Len() {
			var s strings.Builder
			writeState(&s, v.Index(i), now)
			list = append(list, s.String())
		}
		if v.Type() == reflect.TypeFor[[]*operation]() {
			sort.Strings(list)
		}
		b.WriteString(strings.Join(list, ";"))
	case reflect.Struct:
		if v.Type() == timeType {
			if t := v.Interface().(time.Time); t.IsZero() {
				b.WriteString("0")
			} else {
				b.WriteString(strconv.FormatInt(int64(t.Sub(now)), 10))
			}
			return
		}
		b.WriteString(v.Type().Name())
		for i := range v.NumField() {
			if !ignoredFields[v.Type().Field(i).Name] {
				b.WriteString(" ")
				f := v.Field(i)
				writeState(b, reflect.NewAt(f.Type(), unsafe.Pointer(f.UnsafeAddr())).Elem(), now)
			}
		}
	case reflect.String:
		b.WriteString(v.String())
	case reflect.Int, reflect.Int64:
		b.WriteString(strconv.FormatInt(v.Int(), 10))
	default:
		fmt.Fprint(b, v)
	}
}

// addressable returns v or an addressable copy of it, whose unexported fields can
// be read.
func addressable(v reflect.Value) reflect.Value {
	if v.CanAddr() {
		return v
	}
	c := reflect.New(v.Type()).Elem()
	c.Set(v)
	return c
}
