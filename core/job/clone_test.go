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

// clone copies a world with everything that it points to, so that an
// exploration can go on from it in several ways.
func (w *world) clone() *world {
	seen := map[unsafe.Pointer]reflect.Value{}
	return copyOf(reflect.ValueOf(w), seen).Interface().(*world)
}

var timeType = reflect.TypeFor[time.Time]()

func copyOf(v reflect.Value, seen map[unsafe.Pointer]reflect.Value) reflect.Value {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return v
		}
		if c, ok := seen[v.UnsafePointer()]; ok {
			return c
		}
		c := reflect.New(v.Type().Elem())
		seen[v.UnsafePointer()] = c
		c.Elem().Set(copyOf(v.Elem(), seen))
		return c
	case reflect.Interface:
		if v.IsNil() {
			return v
		}
		c := reflect.New(v.Type()).Elem()
		c.Set(copyOf(v.Elem(), seen))
		return c
	case reflect.Map:
		if v.IsNil() {
			return v
		}
		c := reflect.MakeMapWithSize(v.Type(), v.Len())
		for it := v.MapRange(); it.Next(); {
			c.SetMapIndex(it.Key(), copyOf(it.Value(), seen))
		}
		return c
	case reflect.Slice:
		if v.IsNil() || v.Type().Elem().Kind() == reflect.Uint8 {
			return v // bytes are never written in place
		}
		c := reflect.MakeSlice(v.Type(), v.Len(), v.Len())
		for i := range v.Len() {
			c.Index(i).Set(copyOf(v.Index(i), seen))
		}
		return c
	case reflect.Struct:
		c := reflect.New(v.Type()).Elem()
		c.Set(v)
		if v.Type() == timeType {
			return c
		}
		for i := range v.NumField() {
			f := c.Field(i)
			f = reflect.NewAt(f.Type(), unsafe.Pointer(f.UnsafeAddr())).Elem()
			f.Set(copyOf(f, seen))
		}
		return c
	}
	return v
}

var idPattern = regexp.MustCompile(`e\d\.\d+-0-\d+`)

// hash identifies the state of a world: times relative to now, ids numbered by
// their first appearance, counters of ids left out, items in a fixed order.
func (w *world) hash() uint64 {
	var b strings.Builder
	write(&b, reflect.ValueOf(w), w.now, 0)
	names := map[string]string{}
	return xxhash.Sum64String(idPattern.ReplaceAllStringFunc(b.String(), func(id string) string {
		if names[id] == "" {
			names[id] = "id" + strconv.Itoa(len(names))
		}
		return names[id]
	}))
}

// ignored fields differ between runs that behave alike.
var ignored = map[string]bool{"ids": true, "name": true, "sequence": true, "purgeAt": true, "spent": true, "cursor": true, "now": true, "settings": true, "starts": true, "places": true, "jobs": true}

func write(b *strings.Builder, v reflect.Value, now time.Time, depth int) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() || depth > 12 {
			b.WriteString("-")
			return
		}
		write(b, addressable(v.Elem()), now, depth+1)
	case reflect.Map:
		var list []string
		for it := v.MapRange(); it.Next(); {
			var s strings.Builder
			write(&s, addressable(it.Key()), now, depth+1)
			s.WriteString("=")
			write(&s, addressable(it.Value()), now, depth+1)
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
			write(&s, v.Index(i), now, depth+1)
			list = append(list, s.String())
		}
		if v.Type() == reflect.TypeFor[[]*item]() {
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
			if !ignored[v.Type().Field(i).Name] {
				b.WriteString(" ")
				f := v.Field(i)
				write(b, reflect.NewAt(f.Type(), unsafe.Pointer(f.UnsafeAddr())).Elem(), now, depth+1)
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

// addressable returns a copy whose unexported fields can be read.
func addressable(v reflect.Value) reflect.Value {
	if v.CanAddr() {
		return v
	}
	c := reflect.New(v.Type()).Elem()
	c.Set(v)
	return c
}
